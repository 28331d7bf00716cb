//! The rule LOST for turns that continue a turn which was answered whole.

use std::io;

use crate::Verdict;
use crate::program::{Try, is_whole};
use crate::record::Record;
use crate::site::Site;

/// Tries of a turn that must not all miss the servers.
const MIN_TRIES: usize = 5;

/// Judges turns that continued a turn answered whole less than the retention ago. Their
/// programs' aim had not passed, the gateways were in touch, and the servers were nearly
/// idle. `begun` are the turns without a predecessor that were sent in the same time.
///
/// # Errors
///
/// Returns an error if an endpoint does not tell what it ran, or if too few first turns
/// reached one, so that the rule does not apply.
pub fn judge(
    site: &Site,
    record: &Record,
    continued: &[Vec<Try>],
    begun: &[Vec<Try>],
) -> io::Result<Verdict> {
    let counts = site.run_counts()?;
    let reached = |tries: &[Try]| {
        let mut has_reached = false;
        for sent in tries {
            let count = counts.get(&sent.attempt).copied().unwrap_or(0);
            record.line(&format!("attempt {} was run {count} times", sent.attempt));
            has_reached |= count > 0;
        }
        has_reached
    };
    let mut lost = 0;
    let mut unanswered = 0;
    for tries in continued {
        let has_reached = reached(tries);
        unanswered += usize::from(!is_whole(tries));
        lost += usize::from(tries.len() >= MIN_TRIES && !has_reached);
    }
    let mut begun_reached = 0;
    for tries in begun {
        begun_reached += usize::from(reached(tries));
    }
    record.line(&format!(
        "of {} turns that continue a turn answered whole, {unanswered} were not answered, and \
         {lost} reached no server in {MIN_TRIES} tries or more; {begun_reached} of {} first \
         turns reached one",
        continued.len(),
        begun.len()
    ));
    if begun_reached * 10 < begun.len() * 9 {
        return Err(io::Error::other("first turns reached no server"));
    }
    Ok(match lost {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}
