//! The entry process: callers' and operators' HTTP, the owner of program
//! shards, and the way to the sidecars.
//!
//! - [`http`] takes requests; [`request`] checks them; [`forward`] brings them
//!   to the owner of their program, and the answer back.
//! - [`serve`] answers at the owner; [`answer`] is an answer while it grows;
//!   [`render`] and [`problems`] are how answers and errors look.
//! - [`control`] decides, on one thread; [`dispatch`] runs an attempt of a call
//!   at a sidecar.
//! - [`operators`] is the resource API; [`configuration`] reads what is newer
//!   from the table.
//! - [`process`] starts all of this and stops it.
//!
//! The decisions themselves are in `rosebend-coordination`.

pub mod answer;
pub mod configuration;
pub mod control;
pub mod dispatch;
pub mod forward;
pub mod http;
pub mod operators;
pub mod peer_service;
pub mod prefix;
pub mod problems;
pub mod process;
pub mod render;
pub mod request;
pub mod rows;
pub mod serve;
