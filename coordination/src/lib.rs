//! Decisions of rosebend as state machines without I/O or a clock.

mod endpoint;
pub mod pause;
pub mod queue;
pub mod retry;
pub mod routing;
pub mod speed;
pub mod warmth;
