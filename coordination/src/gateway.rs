//! The decisions of a gateway: the route and the endpoint of a request, the budget
//! of a program, the changes that are committed together, and the reaction to
//! failures of endpoints.
//!
//! | decision or state | module | used by |
//! |---|---|---|
//! | The route of a request, and the service that serves it | [`route_table`] | `intake` |
//! | The customer of a request | [`identity`] | `intake` |
//! | The limits of customers over all hosts together | [`limits`] | `limits` |
//! | The known endpoints, and the one that runs a request | [`directory`], its costs in `directory::cost` | `entries`, `watch`, `gossip`, `exchange` |
//! | The admission of new programs while engines have queues | [`admission`] | `turn` |
//! | The slots of the engines of a service and availability zone | [`engine_scheduler`] | `engine_scheduling` |
//! | The invalid entries in the table of endpoints | [`refusals`] | `entries` |
//! | The next step after an endpoint failed | [`attempt`] | `exchange` |
//! | The events of a stream that are forwarded, and the position at which another endpoint resumes it | [`event_series`] | `runs` |
//! | The requests that crash endpoints | [`fingerprint`] | `quarantine`, `dispatch` |
//! | The time after which a refused caller may retry | [`retry_after`] | `reply` |
//! | The tokens that a program has spent, and those that its turns may spend | [`ledger`] | `spending` and `reservation_lookup`, by [`pending_changes`] |
//! | The tokens that programs may spend while the store is unavailable | [`escrow`] | `spending`, by `escrow` |
//! | The changes of programs that are committed in one transaction | [`pending_changes`] | `commits` |
//! | The transactions of several hosts that are batched into one | [`group_commit`] | `batched_commits` |
//! | The time at which the next batch of a partition may be sent | [`batch_pacing`] | `batched_commits` |
//! | The host that batches the transactions of a partition | [`batchers`] | `batched_commits` |
//! | Detection of hosts that were lost for good | [`lost_hosts`] | the table of hosts |
//! | The hosts that are in backoff because they did not respond | [`host_backoff`] | [`batchers`], [`follow_tree`] |
//! | The source from which a host reads a table: the store or another host | [`follow_tree`] | `feeds` |
//! | The cached rows of a table, and the changes that are sent to followers | [`replica`] | `feeds` |
//! | The messages of earlier turns, and their rows in the store | [`history`] | `programs`, `turn_stream` |
//! | The host that caches a program's history for an availability zone, and the cached programs | [`recent_programs`] | `recent_history` |
//!
//! The modules in the last column belong to `rosebend_gateway`, which has the clock,
//! the connections and the store; links refer to modules of this folder. Routes,
//! endpoints, calls and rows are passed as the validated types of
//! `rosebend_state::deployment`. Only the rows of programs are decoded here, because
//! this folder defines their format.
//!
//! A turn passes through most of these modules. The gateway finds its route, reads
//! the preceding turn from [`history`] and prepends it to the prompt, reserves the
//! turn's maximum output tokens in the [`ledger`] by a change in [`pending_changes`],
//! and selects an endpoint from the [`directory`]. At the end of the turn, one
//! transaction of [`pending_changes`] contains its rows and the tokens that it spent.

pub mod admission;
pub mod attempt;
pub mod batch_pacing;
pub mod batchers;
pub mod directory;
pub mod engine_scheduler;
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
pub mod lost_hosts;
pub mod pending_changes;
pub mod recent_programs;
pub mod refusals;
pub mod replica;
pub mod retry_after;
pub mod route_table;
