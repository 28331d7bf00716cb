//! Shows changes as they are accepted.

use std::{io::Write, time::Duration};

use rosebend_state::id::Revision;
use serde_json::Value;

use crate::{
    api::Api,
    invocation::Output,
    report::{Failure, Report},
    table::cell,
};

/// Wait before an entry is asked again that could not be reached.
const RETRY_WAIT: Duration = Duration::from_secs(1);
/// Tries in a row that may fail before the watch ends.
const MAX_FAILURES: u32 = 30;

/// Shows changes after a revision, one a line. A change is shown once, also
/// when an entry could not be reached in between.
pub(super) async fn watch(
    api: &Api,
    after: Option<Revision>,
    count: Option<u64>,
    output: Output,
    out: &mut dyn Write,
) -> Result<Report, Failure> {
    let mut after = match after {
        Some(after) => after,
        None => newest_revision(api).await?,
    };
    let mut left = count.unwrap_or(u64::MAX);
    let mut failures = 0;
    while left > 0 {
        let page = match api.changes(after).await {
            Ok(page) => page,
            Err(failure) if failures < MAX_FAILURES && may_pass(&failure) => {
                failures += 1;
                actix_rt::time::sleep(RETRY_WAIT).await;
                continue;
            }
            Err(failure) => return Err(failure),
        };
        failures = 0;
        for change in page["changes"].as_array().into_iter().flatten() {
            if left == 0 || writeln!(out, "{}", line(change, output)).is_err() {
                return Ok(Report::default());
            }
            left -= 1;
        }
        after = page["after"].as_u64().unwrap_or(after);
    }
    Ok(Report::default())
}

/// Whether asking again later may go better.
fn may_pass(failure: &Failure) -> bool {
    match failure {
        Failure::NotReachable(_) | Failure::LostAnswer(_) => true,
        Failure::Problem(problem) => problem.status == 503,
        Failure::Usage(_) => false,
    }
}

async fn newest_revision(api: &Api) -> Result<Revision, Failure> {
    let status = api.status(None).await?;
    let accepted = status["accepted_revision"].as_u64();
    let in_force = status["revision"].as_u64();
    Ok(accepted.or(in_force).unwrap_or_default())
}

/// One line a change: for programs the JSON, for people who did what.
fn line(change: &Value, output: Output) -> String {
    if output == Output::Json {
        return change.to_string();
    }
    let did = match change["resource"].is_null() {
        true => "removed",
        false => "changed",
    };
    format!(
        "revision {}: {} {did} {}/{}",
        change["revision"],
        cell(&change["changed_by"]),
        cell(&change["kind"]),
        cell(&change["name"])
    )
}
