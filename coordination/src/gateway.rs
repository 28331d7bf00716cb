//! What a gateway decides: which route a request takes, which endpoint runs
//! it, whether a program may spend, what becomes durable together, and what
//! follows when an endpoint fails.
//!
//! | question | where | who asks |
//! |---|---|---|
//! | which route a request takes, and which service serves it | [`route_table`] | `intake` |
//! | which endpoints are there, and which of them runs a request | [`directory`], its prices in `directory::cost` | `watch`, `gossip`, `exchange` |
//! | whether a new program is begun while engines have queues | [`admission`] | `turn` |
//! | which entries name no endpoint to use | [`refusals`] | `watch` |
//! | what follows when an endpoint did not answer as it should | [`attempt`] | `exchange` |
//! | which events of a stream are sent, and where its next attempt resumes | [`event_series`] | `runs` |
//! | which requests crash endpoints | [`fingerprint`] | `quarantine`, `dispatch` |
//! | when a caller that was refused may come back | [`retry_after`] | `reply` |
//! | what a program has spent, and what its turns may spend | [`ledger`] | `spending` and `recall`, by [`pending_changes`] |
//! | what programs may spend while the store is unavailable | [`escrow`] | `spending`, by `escrow` |
//! | which changes of programs become durable together | [`pending_changes`] | `commits` |
//! | which hosts' transactions are batched into one | [`group_commit`] | `joined_commits` |
//! | which host batches the transactions of a partition | [`batchers`] | `joined_commits` |
//! | which hosts are not asked for a while since they did not answer | [`host_backoff`] | [`batchers`], [`follow_tree`] |
//! | whether a host reads a table of the store itself, or from which host | [`follow_tree`] | `feeds` |
//! | which rows of a table a host has, and which it sends to its followers | [`replica`] | `feeds` |
//! | what was said in earlier turns, and its rows in the store | [`history`] | `programs`, `turn_stream` |
//! | who keeps a program's history in an availability zone, and what | [`recent_programs`] | `recent_history` |
//!
//! The modules that ask are those of `rosebend_gateway`, which has the clock,
//! the connections and the store. Routes, endpoints, calls and rows come as the
//! checked types of `rosebend_state::deployment`; only rows of programs, whose
//! form is this folder's own, are decoded here.
//!
//! A turn goes through most of it: its route is found, its predecessor read
//! from [`history`] and joined to its prompt, its most reserved in the
//! [`ledger`] by a change in its [`pending_changes`], an endpoint chosen from the
//! [`directory`]; and at its end one transaction of the [`pending_changes`] holds its
//! rows and what it really spent.

pub mod admission;
pub mod attempt;
pub mod batchers;
pub mod directory;
pub mod escrow;
pub mod event_series;
pub mod fingerprint;
pub mod follow_tree;
pub mod group_commit;
pub mod history;
pub mod host_backoff;
pub mod identity;
pub mod ledger;
pub mod limits;
pub mod pending_changes;
pub mod recent_programs;
pub mod refusals;
pub mod replica;
pub mod retry_after;
pub mod route_table;
