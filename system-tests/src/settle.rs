//! A caller that does not give up: it sends the same request again, under the
//! same key, until it knows what became of it.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use rosebend_protocol::problem::{Problem, Ran};

use crate::{
    caller::{Call, Caller, Reply},
    error::HarnessError,
    wait::DEADLINE,
};

/// Wait before a request is sent again. Shorter than the `Retry-After` of
/// refusals, so that a repetition meets a call that is still under way.
const RESEND_WAIT: Duration = Duration::from_millis(100);
/// The one reason of an unknown outcome that stays so.
const OUTCOME_UNKNOWN: &str = "outcome-unknown";

/// What became of a call.
#[derive(Clone, Debug)]
pub enum Settled {
    /// It was answered.
    Done(Reply),
    /// Nobody can tell, now or later.
    Unknown(Problem),
    /// It ran and failed.
    Failed(Problem),
    /// It was not run, and coming back does not help.
    Refused(Problem),
}

impl Settled {
    /// The answer of a call that was answered.
    ///
    /// # Errors
    ///
    /// Tells the other outcome.
    pub fn done(self) -> Result<Reply, HarnessError> {
        match self {
            Self::Done(reply) => Ok(reply),
            other => Err(HarnessError::NoAnswer {
                what: "a call that must be answered".to_owned(),
                detail: format!("{other:?}"),
            }),
        }
    }
}

/// How a request was tried.
#[derive(Clone, Debug, Default)]
pub struct Tries {
    /// Tries that ended in a refusal which said that the request was not run.
    pub refused: u32,
    /// Tries whose end said nothing.
    pub unanswered: u32,
}

/// Sends a call to the entries in turn until its outcome is known.
///
/// # Errors
///
/// Fails when it is not known for too long.
pub async fn settle(
    caller: &Caller,
    entries: &[SocketAddr],
    call: &Call,
) -> Result<(Settled, Tries), HarnessError> {
    let start = Instant::now();
    let mut tries = Tries::default();
    let mut last = String::new();
    for entry in entries.iter().cycle() {
        if start.elapsed() > DEADLINE {
            break;
        }
        match caller.call(*entry, call).await {
            Ok(reply) => match judge(reply, &mut tries) {
                Ok(settled) => return Ok((settled, tries)),
                Err(detail) => last = detail,
            },
            Err(error) => {
                tries.unanswered += 1;
                last = error.to_string();
            }
        }
        actix_rt::time::sleep(RESEND_WAIT).await;
    }
    Err(HarnessError::NoAnswer {
        what: "the outcome of a call".to_owned(),
        detail: last,
    })
}

/// The outcome, or why the request must be sent again.
fn judge(reply: Reply, tries: &mut Tries) -> Result<Settled, String> {
    if reply.status < 300 {
        return Ok(Settled::Done(reply));
    }
    let Some(problem) = reply.problem() else {
        tries.unanswered += 1;
        return Err(String::from_utf8_lossy(&reply.body).into_owned());
    };
    match problem.ran {
        Ran::Yes if problem.retry_after_ms.is_none() => Ok(Settled::Failed(problem)),
        Ran::No if problem.retry_after_ms.is_none() => Ok(Settled::Refused(problem)),
        Ran::Unknown if problem.reason == OUTCOME_UNKNOWN => Ok(Settled::Unknown(problem)),
        Ran::No => {
            tries.refused += 1;
            Err(format!("{problem:?}"))
        }
        Ran::Yes | Ran::Unknown => {
            tries.unanswered += 1;
            Err(format!("{problem:?}"))
        }
    }
}
