//! What rosebend's processes say to each other, to callers and to
//! operators.
//!
//! - [`commit`]: transactions that one gateway commits for another.
//! - [`configuration`]: updates of the configuration as messages.
//! - [`follow`]: what changed in a table of the store, asked of another gateway.
//! - [`peer`]: the gRPC messages between entries and sidecars.
//! - [`problem`]: how errors are told.
//! - [`recent`]: history of programs that gateways keep for each other.
//! - [`sse`]: server-sent events out of the pieces of a body.
//! - [`table`]: rows of the platform's store that entries and sidecars share.
//!
//! This crate opens no connection: `rosebend-transport` does.

pub mod commit;
pub mod configuration;
pub mod follow;
pub mod peer;
pub mod problem;
pub mod recent;
mod rows;
pub mod sse;
pub mod table;
