//! What a new owner learns about a call whose owner is gone.
//!
//! A claim either tells the call's outcome or makes sure that the call never
//! runs here. Only the run of the sidecar to which the call was given can
//! promise the latter: a later run cannot know what the earlier one did.

use super::outcome::{Failure, Finished, Refusal};

/// Answer to a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// The claim itself was refused; nothing is said about the call.
    Refused(Refusal),
    /// The answer is retained here.
    Finished(Finished),
    /// The call is at the endpoint; its answer can be followed.
    Running,
    /// The call has not run here and never will.
    Buried,
    /// This run of the sidecar cannot know.
    Unknown,
    /// The call was handed over and ended badly.
    Failed(Failure),
}
