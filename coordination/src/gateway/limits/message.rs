//! Messages that hosts exchange about rate limits.

use rosebend_state::deployment::CustomerName;
use serde::{Deserialize, Serialize};

use crate::gateway::ledger::ProcessId;
use crate::gateway::limits::Group;

/// Message of a host to an allocator: its report and its quota requests.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct AllocatorRequest {
    /// Process that sends the request.
    pub from: ProcessId,
    /// Process to which the request is addressed; another process of the same host
    /// does not respond.
    pub to: ProcessId,
    /// Number of the request, which increases with each request of a process.
    pub number: u64,
    /// Groups of customers for which the sender uses the recipient as their
    /// allocator.
    pub groups: Vec<Group>,
    /// Time since the sender last received a response of the recipient, in
    /// milliseconds; none if it never did.
    #[serde(rename = "heard_ms")]
    pub response_age_ms: Option<u64>,
    /// Reports and quota requests of the customers.
    pub customers: Vec<QuotaRequest>,
}

/// Report of a host about its use of a customer's limit, and the quota that it
/// requests.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct QuotaRequest {
    /// Name of the customer.
    pub customer: CustomerName,
    /// Requests that the sender has served, without those that were not run.
    pub served: u64,
    /// Programs that were started by these requests.
    #[serde(rename = "begun")]
    pub started: u64,
    /// Requests that the sender may still serve from its local quota.
    pub held: u32,
    /// Programs that the sender may still start from its local quota.
    #[serde(rename = "held_begins")]
    pub held_starts: u32,
    /// Requests that wait for a grant, without those that start a program.
    pub waiting: u32,
    /// Program starts that wait for a grant.
    #[serde(rename = "waiting_begins")]
    pub waiting_starts: u32,
    /// Requests that are expected before the next quota request.
    pub expected: u32,
}

/// Response of an allocator.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct AllocatorResponse {
    /// Process that sends the response.
    pub from: ProcessId,
    /// Process that sent the request.
    pub to: ProcessId,
    /// Number of the request.
    pub number: u64,
    /// Grants for the customers of the request.
    pub customers: Vec<QuotaGrant>,
}

/// Quota that a host may use for a customer, in addition to what it holds.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct QuotaGrant {
    /// Name of the customer.
    pub customer: CustomerName,
    /// Requests of programs in progress.
    pub requests: u32,
    /// Program starts; each covers the first request of the program.
    #[serde(rename = "begins")]
    pub starts: u32,
    /// Time until further quota is expected, in milliseconds. It is used if fewer
    /// requests were granted than wait.
    pub wait_ms: u64,
    /// Time until further program starts are expected, in milliseconds. It is used
    /// if fewer starts were granted than wait.
    #[serde(rename = "begin_wait_ms")]
    pub start_wait_ms: u64,
}
