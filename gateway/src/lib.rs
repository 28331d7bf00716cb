//! The gateway process: it takes callers' requests, sends each to an endpoint,
//! and keeps the programs' turns in the platform's store.
//!
//! A request goes [`front`] -> [`call`] -> [`plain`] or [`turn`] ->
//! [`exchange`] -> [`connection`]. What lasts goes through [`commits`] and
//! [`store`]; what the process believes of routes and endpoints comes from
//! [`watch`]. [`peers`] pass on each other's calls to the store,
//! [`gossip`] tells them loads of endpoints,
//! [`retention`] deletes what is over,
//! [`quarantine`] tells between hosts which requests crash endpoints. [`process`] starts and stops all of it.
//!
//! [`trail`] is what is written of a request, [`metrics`] what is counted.
//!
//! The decisions themselves are in `rosebend_coordination::gateway`, the names
//! of the wire in `rosebend_platform`.

pub mod call;
pub mod clock;
pub mod commits;
pub mod connection;
pub mod exchange;
pub mod front;
pub mod gateway;
pub mod gossip;
pub mod metrics;
pub mod peers;
pub mod plain;
pub mod pool;
pub mod process;
pub mod programs;
pub mod quarantine;
pub mod reply;
pub mod retention;
pub mod store;
pub mod trail;
pub mod turn;
pub mod watch;
