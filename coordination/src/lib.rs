//! Decisions of rosebend as state machines without I/O or a clock.

pub mod queue;
pub mod speed;
