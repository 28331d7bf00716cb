//! The gateway process: it takes callers' requests, sends each to an endpoint,
//! and keeps the programs' turns in the platform's store.
//!
//! | what | where |
//! |---|---|
//! | a request, step by step | [`front`], [`dispatch`], [`intake`], [`plain`] or [`turn`], [`exchange`], [`pool`]; all work on a [`call`] |
//! | a turn's budget, and its answer on the way | [`spending`], [`escrow`], [`reservation_lookup`], [`holders`], [`turn_stream`], [`runs`] |
//! | whose a request is, and how much its customer may send | [`intake`], [`limits`] |
//! | what lasts | [`commits`], [`joined_commits`], [`programs`], [`recent_history`], [`retention`] |
//! | what the process believes of routes and endpoints | [`watch`], [`unusable`], [`entries`], [`gossip`], [`quarantine`] |
//! | from whom it learns what changes in the store's tables | [`feeds`] |
//! | calls to the store by other gateways, and questions to them | [`peers`], [`peer_connections`] |
//! | what is written and counted | [`trail`], [`metrics`] |
//! | start, stop and changed settings | [`process`], [`reload`] |
//!
//! [`gateway`] is the state that they share. The decisions themselves are in
//! `rosebend_coordination::gateway`, the names of the wire in
//! `rosebend_platform`, connections and the client of the store in
//! `rosebend_transport`.

pub mod call;
pub mod commits;
pub mod dispatch;
pub mod entries;
pub mod escrow;
pub mod exchange;
pub mod feeds;
pub mod front;
pub mod gateway;
pub mod gossip;
pub mod holders;
pub mod intake;
pub mod joined_commits;
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
pub mod reservation_lookup;
pub mod retention;
pub mod runs;
pub mod spending;
pub mod trail;
pub mod turn;
pub mod turn_stream;
pub mod unusable;
pub mod watch;
