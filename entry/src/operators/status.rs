//! Tells where a revision is in force.

use rosebend_protocol::problem::Problem;
use rosebend_state::id::{HostId, Revision};
use rosebend_transport::http_server::{HttpReply, HttpRequest};
use serde::Serialize;

use super::{LiveProcess, OperatorContext, reading, writing};

/// Answer to `GET /api/v1/status`.
#[derive(Debug)]
#[derive(Serialize)]
struct Status {
    /// The newest accepted revision; none while the table does not answer.
    accepted_revision: Option<Revision>,
    /// The revision that the counts are about: the one asked for, or the
    /// newest one known.
    revision: Revision,
    /// Live processes on which it is in force.
    in_force: usize,
    /// All live processes.
    live: usize,
    /// Hosts of the live processes that lag behind.
    lagging: Vec<HostId>,
    /// The live processes.
    processes: Vec<LiveProcess>,
}

pub(super) async fn show(
    context: &OperatorContext,
    request: &HttpRequest,
) -> Result<HttpReply, Problem> {
    let asked = request.query_value("revision");
    let asked = asked.map(|value| writing::parse_revision("revision", value));
    let asked = asked.transpose()?;
    // In an outage of the table the status still tells what the hosts have.
    let accepted_revision = reading::newest_revision(&context.store()).await.ok();
    let view = context.host_view().await;
    let revision = asked.or(accepted_revision).unwrap_or(view.revision);
    let (in_force, lagging): (Vec<_>, Vec<_>) = view
        .processes
        .iter()
        .partition(|process| process.config_revision >= revision);
    let status = Status {
        accepted_revision,
        revision,
        in_force: in_force.len(),
        live: view.processes.len(),
        lagging: lagging
            .into_iter()
            .map(|process| process.host.clone())
            .collect(),
        processes: view.processes.clone(),
    };
    Ok(HttpReply::json(200, &status))
}
