//! The problem documents of the entry, one for each way to refuse or fail.

use std::time::Duration;

use rosebend_coordination::owner::RefusalReason;
use rosebend_protocol::problem::{Problem, Ran};
use rosebend_state::id::{CallId, ProgramId};
use rosebend_state::record::{EndReason, FailReason, UnknownReason};

use crate::control::ControlReply;

/// The answer to a refused request. Refusals that only say that another entry
/// has the program are never shown to callers: the request goes there.
pub fn refused_reply(reason: RefusalReason, retry_after: Duration) -> ControlReply {
    match reason {
        RefusalReason::NotOwner | RefusalReason::ShardLeaving => {
            ControlReply::NotOwner { address: None }
        }
        _ => ControlReply::Problem(refused(reason, retry_after)),
    }
}

/// A request that was refused and not run.
pub fn refused(reason: RefusalReason, retry_after: Duration) -> Problem {
    let (status, detail, comes_back) = refusal_text(reason);
    let word = reason.label().replace('_', "-");
    let problem = Problem::new(status, &word, Ran::No, detail);
    if comes_back {
        problem.retry_after(retry_after)
    } else {
        problem
    }
}

/// Status, sentence, and whether coming back can help.
fn refusal_text(reason: RefusalReason) -> (u16, &'static str, bool) {
    match reason {
        RefusalReason::NotOwner | RefusalReason::ShardLeaving => {
            (503, "the program is moving to another owner", true)
        }
        RefusalReason::UnknownProgram => (404, "there is no such program; open it first", false),
        RefusalReason::AlreadyOpen => (409, "the program was opened with another request", false),
        RefusalReason::ProgramEnded(reason) => (409, ended_text(reason), false),
        RefusalReason::KeyReused => (422, "the key belongs to a call with another body", false),
        RefusalReason::WrongSequence => (409, "the position belongs to another call", false),
        RefusalReason::SequenceGap => (409, "the call before this one did not come in time", true),
        RefusalReason::ProgramQueueFull => (429, "the program has too many waiting calls", true),
        RefusalReason::BudgetExhausted => (
            402,
            "the budget does not cover the call's worst case",
            false,
        ),
        RefusalReason::TableUnavailable => (
            503,
            "the platform's table is away, and this request needs it",
            true,
        ),
        RefusalReason::UncommittedFull => (503, "too many answers wait to be written", true),
        RefusalReason::Quarantined => (422, "the request crashed endpoints", false),
        RefusalReason::Deadline => (504, "the deadline passed before the call was sent", false),
        RefusalReason::UnknownTarget => (404, "no endpoint serves this model or tool", false),
        RefusalReason::NoEndpoint => (503, "no endpoint of this model or tool takes calls", true),
        RefusalReason::Saturated => (503, "all endpoints of this model or tool are busy", true),
        RefusalReason::Attempts => (503, "endpoints refused the call on every attempt", true),
        RefusalReason::RetryBudget => (503, "retries are used up for now", true),
        RefusalReason::Invalid => (400, "the endpoint does not accept this call", false),
        RefusalReason::Superseded => (409, "the call had not run when its program went on", false),
    }
}

fn ended_text(reason: EndReason) -> &'static str {
    match reason {
        EndReason::Requested => "the program was ended on request",
        EndReason::TurnLimit => "the program was ended: it made as many calls as it may",
        EndReason::WallLimit => "the program was ended: it grew as old as it may",
        EndReason::LoopLimit => "the program was ended: it repeated the same call too often",
        EndReason::ParentEnded => "the program was ended with the one that started it",
    }
}

/// A call that ended without an answer, after it was sent.
pub fn call_failed(reason: FailReason) -> Problem {
    let (status, word, detail) = match reason {
        FailReason::Attempts => (
            502,
            "attempts-failed",
            "the endpoint failed on every attempt",
        ),
        FailReason::RetryBudget => (
            502,
            "retry-budget",
            "the call failed and retries are used up",
        ),
        FailReason::NoEndpoint => (
            502,
            "no-endpoint",
            "no endpoint could take a further attempt",
        ),
        FailReason::Quarantined => (422, "quarantined", "the request crashed endpoints twice"),
        FailReason::BudgetExhausted => (
            402,
            "budget-exhausted",
            "the budget does not allow a further attempt",
        ),
        FailReason::Deadline => (
            504,
            "deadline",
            "the deadline passed before a further attempt",
        ),
        FailReason::Abandoned => (
            502,
            "abandoned",
            "the program went on before the call was asked for again",
        ),
    };
    Problem::new(status, word, Ran::Yes, detail)
}

/// A call that may not be repeated and may have run.
pub fn outcome_unknown(reason: UnknownReason) -> Problem {
    let detail = match reason {
        UnknownReason::EndpointFailed => "the endpoint failed while it ran the call",
        UnknownReason::SidecarReplaced => "the process that ran the call was replaced",
        UnknownReason::SidecarUnreachable => "the process that ran the call cannot be reached",
    };
    Problem::new(502, "outcome-unknown", Ran::Unknown, detail)
}

/// A request that was being written when the table stopped answering.
pub fn undecided(retry_after: Duration) -> Problem {
    let detail = "the request may or may not take hold; the same request can be sent again";
    Problem::new(503, "undecided", Ran::Unknown, detail).retry_after(retry_after)
}

/// A program that is not known.
pub fn unknown_program(program: &ProgramId) -> Problem {
    let detail = format!("there is no program {}", program.session());
    Problem::new(404, "unknown-program", Ran::No, detail)
}

/// A call that is not known.
pub fn unknown_call(call: &CallId) -> Problem {
    let detail = format!(
        "the program {} has no call {}",
        call.program.session(),
        call.sequence
    );
    Problem::new(404, "unknown-call", Ran::No, detail)
}

/// A call that is not under way, and goes on when its request comes again.
pub fn not_under_way(may_have_run: bool) -> Problem {
    let ran = match may_have_run {
        true => Ran::Unknown,
        false => Ran::No,
    };
    let detail = "the call is not under way any more; the same request can be sent again";
    Problem::new(503, "not-under-way", ran, detail).retry_after(Duration::from_secs(1))
}

/// A recorded answer that could not be read just now.
pub fn answer_not_read() -> Problem {
    let detail = "the call has ended; its answer cannot be read just now";
    Problem::new(503, "answer-not-read", Ran::Yes, detail).retry_after(Duration::from_secs(1))
}

/// A request without a valid token.
pub fn unauthorized() -> Problem {
    Problem::new(
        401,
        "unauthorized",
        Ran::No,
        "a valid bearer token is wanted",
    )
}

/// A request whose token does not allow it.
pub fn forbidden() -> Problem {
    Problem::new(
        403,
        "forbidden",
        Ran::No,
        "the token does not allow this request",
    )
}
