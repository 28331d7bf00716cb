//! Schedules the turns of all hosts on a group of model engines.
//!
//! The engines of one service in one availability zone form a group. One gateway
//! schedules each group: it assigns the slots of the engines to turns, so that no
//! turn waits at one engine while another one has a free slot.

pub mod client;
pub mod message;
pub mod schedulers;
