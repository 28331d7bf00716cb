//! What hosts say to each other about customers' limits.

use rosebend_state::deployment::CustomerName;
use serde::{Deserialize, Serialize};

use crate::gateway::ledger::ProcessId;
use crate::gateway::limits::Group;

/// What a host asks an allocator, and tells it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Ask {
    /// The run that asks.
    pub from: ProcessId,
    /// The run that is asked; another run of the same host does not answer.
    pub to: ProcessId,
    /// Grows with each question of a run.
    pub number: u64,
    /// Groups of customers for which the one that asks keeps to the one that is
    /// asked.
    pub groups: Vec<Group>,
    /// How long ago the one that asks last heard the one that is asked; none when
    /// it never did.
    pub heard_ms: Option<u64>,
    /// What is wanted for each customer.
    pub customers: Vec<Wanted>,
}

/// What a host has of a customer's limit, and what it wants.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Wanted {
    /// The customer.
    pub customer: CustomerName,
    /// Requests that this run has served, less those that did not run.
    pub served: u64,
    /// Programs among them that were begun.
    pub begun: u64,
    /// Requests that it may serve without asking.
    pub held: u32,
    /// Programs that it may begin without asking.
    pub held_begins: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Programs that wait to be begun.
    pub waiting_begins: u32,
    /// Requests that are likely to come before the next question.
    pub expected: u32,
}

/// What an allocator answers.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Answer {
    /// The run that answers.
    pub from: ProcessId,
    /// The run that asked.
    pub to: ProcessId,
    /// The question's number.
    pub number: u64,
    /// What is granted.
    pub customers: Vec<Granted>,
}

/// What a host may serve of a customer's requests, besides what it had.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Granted {
    /// The customer.
    pub customer: CustomerName,
    /// Requests of what is under way.
    pub requests: u32,
    /// Programs that may begin, each with its first request.
    pub begins: u32,
    /// Milliseconds until there is likely to be more, where this was less than was
    /// waited for: for requests, and for programs.
    pub wait_ms: u64,
    /// The same for programs that wait to be begun.
    pub begin_wait_ms: u64,
}
