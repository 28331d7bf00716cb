//! Waiting for conditions.
//!
//! No test asserts how long something takes. A deadline here is so long that
//! only a condition which never comes true meets it.

use std::{
    future::Future,
    time::{Duration, Instant},
};

use crate::error::HarnessError;

/// Longest wait for a condition.
pub const DEADLINE: Duration = Duration::from_secs(60);
/// Time between two looks.
const POLL: Duration = Duration::from_millis(25);

/// Looks until `look` finds something.
///
/// # Errors
///
/// Fails, naming `what`, when nothing was found before the deadline.
pub async fn wait_until<T, F>(what: &str, mut look: impl FnMut() -> F) -> Result<T, HarnessError>
where
    F: Future<Output = Option<T>>,
{
    let start = Instant::now();
    while start.elapsed() < DEADLINE {
        if let Some(found) = look().await {
            return Ok(found);
        }
        actix_rt::time::sleep(POLL).await;
    }
    Err(HarnessError::Deadline(what.to_owned()))
}
