//! The decisions of rosebend: who owns a program, what becomes durable when,
//! where a call runs, and when.
//!
//! Each module is a state machine that is given the time (as a `Duration`
//! since its process started) and an event, and returns typed actions. None
//! does I/O, reads a clock, or draws randomness that is not seeded; the same
//! code runs in the processes, in the property tests and in the replay.

pub mod client_memory;
pub mod commit;
pub mod configuration;
pub mod endpoint;
mod endpoint_load;
pub mod gateway;
pub mod neighbours;
pub mod owner;
pub mod ownership;
pub mod pace;
pub mod pause;
pub mod queue;
pub mod retry;
pub mod routing;
mod speed;
pub mod warmth;
