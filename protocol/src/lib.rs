//! What rosebend's processes say to each other, to callers, to operators and
//! to the platform.
//!
//! - [`configuration`]: updates of the configuration as messages.
//! - [`peer`]: the gRPC messages between entries and sidecars.
//! - [`platform`]: the JSON of the platform's table and stores.
//! - [`problem`]: how errors are told.
//! - [`sse`]: server-sent events out of the pieces of a body.
//!
//! This crate opens no connection: `rosebend-transport` does.

pub mod configuration;
pub mod peer;
pub mod platform;
pub mod problem;
pub mod sse;
