//! Stand-ins for what rosebend runs against: the platform's store, model engines
//! and services. Tests, the quickstart and measurements start them as the
//! binary `rosebend-standin` or inside their own process.
//!
//! - [`engine`]: a model engine that batches continuously and caches prefixes.
//! - [`service`]: a plain service that counts the effects of its calls.
//! - [`store`] and [`backend`]: the platform's store and its endpoints, which
//!   speak the published protocol.
//! - [`endless`]: a server, and clients, that send bytes without an end.
//! - [`server`]: how each of them is started and stopped.
//! - [`options`]: the command line.
//!
//! Each takes its faults by `POST /faults` and tells by `GET /stats` or
//! `GET /effects` what it has done, so that a test can count effects at the
//! place where they happen.
//!
//! ```
//! # actix_rt::System::new().block_on(async {
//! use std::net::TcpListener;
//!
//! use rosebend_standin::service::{Service, ServiceConfig};
//!
//! let listener = TcpListener::bind("127.0.0.1:0")?;
//! let service = Service::start(listener, ServiceConfig::default())?;
//! println!("a plain service listens on {}", service.address());
//! service.stop().await?;
//! # Ok::<(), std::io::Error>(())
//! # }).unwrap();
//! ```

pub mod backend;
pub mod endless;
pub mod engine;
pub mod options;
mod reply;
pub mod server;
pub mod service;
pub mod store;
