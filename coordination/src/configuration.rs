//! The configuration: how a change is accepted and how it comes into force.
//!
//! The table holds the truth: the row `revision` names the newest revision,
//! `change/RRRRRRRRRRRR` holds each accepted change, and `resource/KIND/NAME`
//! each resource as it stands. A change is one transaction over the three,
//! conditional on the versions that were read, so that changes have one order
//! and racing operators cannot undo each other.
//!
//! - [`ChangeWriter`] takes one change through the table. A write whose answer
//!   was lost is sent again under the same conditions and then read back by
//!   its write id, so that it is never guessed whether it took effect.
//! - [`AppliedConfiguration`] is what a process has in force. It takes changes
//!   in any order, doubled and with gaps, applies them in the order of their
//!   revisions, and never goes back.

mod applied;
mod change;
mod writer;

pub use rosebend_state::resource::{Change, ConfigUpdate, Snapshot};

pub use self::{
    applied::AppliedConfiguration,
    change::{
        ChangeRequest, ChangeRow, Conflict, REVISION_KEY, RevisionRow, RowCondition, RowWrite,
        WriteId, change_key,
    },
    writer::{Answer, ChangeOutcome, ChangeWriter, SeenRow, Step},
};
