//! The sidecar: one small process beside each endpoint.
//!
//! Every call of a program reaches its endpoint through the sidecar on the
//! same host. The sidecar queues calls, hands each over once, keeps the answer
//! until the program's owner has made it durable, and says at once and
//! truthfully when it will not run a call.
//!
//! - [`process`]: starting and stopping.
//! - `server`: the gRPC service towards owners; it carries traffic.
//! - `control`: the one thread that holds control state. Its decisions are
//!   made by [`rosebend_coordination::endpoint`].
//! - `endpoint`: HTTP towards the engine or service, on a thread of its own.
//! - `answer`: an answer that one thread writes and many receivers read.

mod answer;
mod control;
mod convert;
mod endpoint;
pub mod process;
mod server;
mod start_epochs;
