//! Messages and services between the processes of rosebend.
//!
//! The code in `generated` is made from `protocol/proto/peer.proto` by
//! `cargo run -p rosebend-regenerate` and committed.

#[allow(missing_docs, clippy::all, clippy::use_self, missing_debug_implementations)]
#[rustfmt::skip]
mod generated;

pub use generated::*;
