//! The decisions of rosebend: state machines that are given the time and an
//! event and return typed actions. They do no I/O and read no clock.

pub mod endpoint;
