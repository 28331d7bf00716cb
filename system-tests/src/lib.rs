//! A harness that runs rosebend's real processes, the stand-ins beside them,
//! and the failures that the tests in `tests/` induce.
//!
//! - [`cluster`]: entries, sidecars, stand-ins and their settings files.
//! - [`process`]: one process, its signals and its end.
//! - [`caller`]: what callers and operators send.
//! - [`mod@settle`]: a caller that sends again until it knows the outcome.
//! - [`sse`]: streams of server-sent events.
//! - [`load`]: programs that run while processes stop and start.
//! - [`crowd`]: many clients with large or incomplete requests, and the resources they take.
//! - [`relay`]: a connection between two processes that goes silent or breaks.
//! - [`binaries`]: where the programs are, and their build.
//! - [`wait`]: waiting for a condition instead of for a time.
//!
//! Every process listens on loopback, on a port that was free. All processes
//! of a cluster end with it; when a test panics, the ends of their logs are
//! written to standard error first.

pub mod binaries;
pub mod caller;
pub mod cluster;
pub mod crowd;
pub mod endpoint;
pub mod error;
pub mod load;
pub mod process;
pub mod relay;
pub mod settings;
pub mod settle;
pub mod sse;
pub mod wait;

pub use self::{
    caller::{Call, Caller, Reply},
    cluster::{Cluster, ClusterConfig, row_json},
    error::HarnessError,
    process::Signal,
    settle::{Settled, settle},
    wait::wait_until,
};
