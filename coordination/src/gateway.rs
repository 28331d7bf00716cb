//! What a gateway decides: which route a request takes, which endpoint runs
//! it, whether a program may spend, what becomes durable together, and what
//! follows when an endpoint fails.
//!
//! - [`route_table`]: requests to routes, and routes to services.
//! - [`directory`]: the endpoints that are there, and the choice among them.
//! - [`ledger`]: what a program has spent and what its running turns may spend.
//! - [`lane`]: changes of programs gathered into transactions.
//! - [`history`]: turns that were answered, and the prompts made of them.
//! - [`attempt`]: what follows when an endpoint did not answer as it should.
//! - [`event_series`]: the events of one answer, over the runs that made it.
//! - [`comeback`]: when a caller that was refused may come back.
//! - [`fingerprint`]: requests that crash endpoints.

pub mod attempt;
pub mod comeback;
pub mod directory;
pub mod event_series;
pub mod fingerprint;
pub mod history;
pub mod lane;
pub mod ledger;
pub mod route_table;
