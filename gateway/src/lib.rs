//! The gateway process: it accepts the requests of callers, forwards each to an
//! endpoint, and stores the turns of programs in the platform's store.
//!
//! | responsibility | modules |
//! |---|---|
//! | the steps of a request | [`front`], [`dispatch`], [`intake`], [`plain`] or [`turn`], [`exchange`], [`pool`]; all of them use a [`call`] |
//! | the budget of a turn, and its streamed answer | [`spending`], [`escrow`], [`reservation_lookup`], [`holders`], [`turn_stream`], [`runs`] |
//! | the customer of a request, and the customer's limits | [`intake`], [`limits`] |
//! | the slots of engines, which one gateway assigns for a whole zone | [`engine_scheduling`] |
//! | durable state | [`commits`], [`batched_commits`], [`programs`], [`recent_history`], [`retention`] |
//! | the process's view of routes and endpoints | [`watch`], [`unusable`], [`entries`], [`gossip`], [`quarantine`] |
//! | the subscriptions to changes of the store's tables | [`feeds`] |
//! | calls to the store on behalf of other gateways, and requests to other gateways | [`peers`], [`peer_connections`] |
//! | the log of requests, and the metrics | [`request_log`], [`metrics`] |
//! | start, stop and changes of settings | [`process`], [`reload`] |
//!
//! These modules share the state in [`gateway`]. The decisions are in
//! `rosebend_coordination::gateway`, the names used on the wire in `rosebend_platform`,
//! and the connections and the client of the store in `rosebend_transport`.

pub mod batched_commits;
pub mod call;
pub mod commits;
pub mod dispatch;
pub mod endpoint_request;
pub mod engine_scheduling;
pub mod entries;
pub mod escrow;
pub mod exchange;
pub mod feeds;
pub mod front;
pub mod gateway;
pub mod gossip;
pub mod holders;
pub mod intake;
pub mod interruption;
pub mod limits;
pub mod metrics;
pub mod peer_connections;
pub mod peers;
pub mod plain;
pub mod pool;
pub mod process;
pub mod programs;
pub mod quarantine;
pub mod recent_history;
pub mod reload;
pub mod reply;
pub mod request_log;
pub mod reservation_lookup;
pub mod retention;
pub mod runs;
pub mod spending;
pub mod turn;
pub mod turn_stream;
pub mod unusable;
pub mod watch;
