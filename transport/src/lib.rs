//! Where rosebend's processes meet the network: HTTP servers, the store's
//! client, gRPC channels, logs and the metrics page.
//!
//! - [`event`] and [`logging`]: numbered events and where they are written.
//! - [`bounded_log`]: a log that never blocks.
//! - [`byte_budget`]: a bound on the memory of bodies.
//! - [`clients`]: the connections and requests of clients, in bounded memory.
//! - [`clock`]: time since the process started.
//! - [`connection`]: one HTTP connection, owned by the code that sends on it.
//! - [`host_token`]: how processes prove who they are.
//! - [`http_server`]: requests in, replies out, whole or streamed.
//! - [`paced_stream`]: a stream whose reader gets bounded amounts.
//! - [`peers`]: gRPC channels to other processes.
//! - [`metrics_page`]: counters, gauges and histograms.
//! - [`store`]: the client of the platform's store.
//! - [`traffic`]: the threads that carry traffic.
//! - [`process_command`]: the command line of entries and sidecars.
//! - [`settings_file`]: settings and tokens from files.
//!
//! Nothing here decides: it carries bytes, keeps time limits and tells apart
//! "no effect" from "no answer".

pub mod bounded_log;
pub mod byte_budget;
pub mod clients;
pub mod clock;
pub mod connection;
pub mod event;
pub mod host_token;
pub mod http_server;
pub mod logging;
pub mod metrics_page;
pub mod paced_stream;
pub mod peers;
pub mod process_command;
pub mod settings_file;
pub mod store;
pub mod traffic;
