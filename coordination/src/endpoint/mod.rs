//! Decisions of the sidecar beside one endpoint.
//!
//! [`Calls`] composes the smaller machines: every call passes the [`fence`],
//! waits in a queue, is handed to the endpoint once, and its answer is
//! retained until the owner says that it is durable. A [`claim`] settles what
//! became of a call whose owner is gone.
//!
//! ```
//! use std::time::Duration;
//!
//! use rosebend_coordination::endpoint::{
//!     Calls, CallSpec, Dispatched, EndpointLimits, fence::Fence,
//! };
//!
//! let mut calls = Calls::new("inc-1".to_owned(), EndpointLimits::default());
//! let fence = Fence { shard: 3, epoch: 1 };
//! let call = CallSpec::new("caribmar/renewal-17#1".try_into()?, fence, "inc-1");
//! let now = Duration::from_secs(1);
//! assert_eq!(calls.dispatch(now, call.clone()), Dispatched::Queued);
//! assert_eq!(calls.admit(now).starts.len(), 1);
//! // A doubled message follows the first one.
//! assert_eq!(calls.dispatch(now, call), Dispatched::Follow);
//! # Ok::<(), rosebend_state::id::IdError>(())
//! ```

mod calls;
pub mod claim;
pub mod fence;
pub mod hold;
pub mod order;
pub mod outcome;
mod packed;
pub mod retention;
pub mod suspect;

pub use calls::{
    Admission, CallSpec, Calls, Dispatched, EndpointLimits, EndpointLoad, REMEMBERED, RetainedCall,
    Start,
};
