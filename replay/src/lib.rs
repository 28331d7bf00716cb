//! Replays recorded traces through the decisions of rosebend.
//!
//! [`trace`] reads a trace, [`replay`] runs it under a virtual clock against
//! the fakes in [`fake`], [`policies`] lists what is compared, and [`report`]
//! writes the outcome. [`generate`] makes the committed traces. [`run_program`]
//! runs a program against real entries.

pub mod bench;
pub mod cache;
pub mod clairvoyant;
pub mod command;
pub mod expected;
pub mod fake;
pub mod generate;
pub mod load;
pub mod measure;
pub mod plot;
pub mod policies;
pub mod program;
pub mod replay;
pub mod report;
pub mod run_program;
pub mod shares;
pub mod site;
pub mod trace;
