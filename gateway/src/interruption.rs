//! Reasons for which an answer ends before it is complete.

use rosebend_coordination::gateway::attempt::Failure;

/// The reason for which an answer whose head was sent ends before it is complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
pub enum Interruption {
    /// The endpoint broke off its answer, which may not be resumed at another endpoint.
    #[error("the endpoint broke off its answer")]
    EndpointFailed,
    /// The endpoint broke off its answer, and no other endpoint resumed it.
    #[error("the endpoint broke off its answer, and no other endpoint resumed it")]
    NotResumed,
    /// The endpoint was silent, and no other endpoint resumed its answer.
    #[error("the endpoint was silent, and no other endpoint resumed its answer")]
    EndpointSilent,
    /// The endpoint sent far more than the turn may generate.
    #[error("the answer is longer than the turn may be")]
    AnswerTooLong,
    /// The deadline of the request passed.
    #[error("the deadline passed")]
    DeadlineExceeded,
    /// The turn ran on an escrow grant that did not cover its events, and was not extended or
    /// replaced by a reservation before the deadline.
    #[error("the turn's escrow grant could not be extended before the deadline")]
    GrantNotExtended,
    /// The turn ran on an escrow grant that did not cover its events, and other turns have
    /// spent the rest of the program's budget.
    #[error("the program's budget does not hold the rest of the turn")]
    BudgetSpent,
    /// The program's ledger could not be decoded, so that the turn was not recorded.
    #[error("the program's ledger could not be decoded")]
    RecordUnreadable,
    /// The store rejects the turn's record.
    #[error("the store rejects the turn's record")]
    RecordRejected,
    /// The process stopped before the turn's record was durable.
    #[error("the process stopped before the turn's record was durable")]
    RecordNotDurable,
}

impl Interruption {
    /// Returns the interruption of an answer whose endpoint failed and that no other endpoint
    /// resumed.
    pub const fn not_resumed(failure: Failure) -> Self {
        match failure {
            Failure::Stalled => Self::EndpointSilent,
            Failure::TimedOut => Self::DeadlineExceeded,
            Failure::NotSent | Failure::Refused | Failure::Broken | Failure::Truncated => {
                Self::NotResumed
            }
        }
    }

    /// Returns the code that logs and metrics contain.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::EndpointFailed => "endpoint-failed",
            Self::NotResumed => "not-resumed",
            Self::EndpointSilent => "endpoint-silent",
            Self::AnswerTooLong => "answer-too-long",
            Self::DeadlineExceeded => "time-is-up",
            Self::GrantNotExtended => "grant-not-extended",
            Self::BudgetSpent => "budget-spent",
            Self::RecordUnreadable => "record-unreadable",
            Self::RecordRejected => "record-rejected",
            Self::RecordNotDurable => "record-not-durable",
        }
    }
}
