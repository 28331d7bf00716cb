//! Starting and stopping a stand-in's HTTP server.

use std::{
    future::Future,
    io,
    net::{SocketAddr, TcpListener},
    time::Duration,
};

use actix_rt::task::JoinHandle;
use actix_server::ServerHandle;
use rosebend_transport::http_server::{HttpReply, HttpRequest, HttpServerConfig, serve_until};
use tokio::sync::watch;

/// Threads that serve the requests of one stand-in.
const WORKERS: usize = 2;
/// Largest body that a stand-in reads.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Tells the parts of a stand-in that it is being stopped.
#[derive(Clone, Debug)]
pub struct Stopping(watch::Receiver<bool>);

impl Stopping {
    /// Whether the stand-in is being stopped.
    pub fn is_stopping(&self) -> bool {
        *self.0.borrow()
    }

    /// Waits until the stand-in is being stopped.
    pub async fn stopped(&mut self) {
        // A vanished sender means that the server is gone, which is a stop.
        let _ = self.0.wait_for(|stopping| *stopping).await;
    }
}

/// A stand-in that serves requests until it is stopped.
#[derive(Debug)]
pub struct RunningServer {
    address: SocketAddr,
    handle: ServerHandle,
    stopping: watch::Sender<bool>,
    served: JoinHandle<io::Result<()>>,
}

impl RunningServer {
    /// Serves requests with the handler that `make_handler` builds.
    ///
    /// Must be called inside an `actix_rt` system.
    ///
    /// # Errors
    ///
    /// Fails when the listener cannot be used.
    pub(crate) fn start<H, F>(
        name: &'static str,
        listener: TcpListener,
        make_handler: impl FnOnce(Stopping) -> H,
    ) -> io::Result<Self>
    where
        H: Fn(HttpRequest) -> F + Clone + Send + 'static,
        F: Future<Output = HttpReply> + 'static,
    {
        let address = listener.local_addr()?;
        let (stopping, receiver) = watch::channel(false);
        let handler = make_handler(Stopping(receiver.clone()));
        let config = HttpServerConfig {
            name,
            workers: WORKERS,
            max_body_bytes: MAX_BODY_BYTES,
            shutdown_timeout: Duration::from_secs(60),
            ..HttpServerConfig::default()
        };
        let server = serve_until(config, listener, receiver, handler)?;
        let handle = server.handle();
        Ok(Self {
            address,
            handle,
            stopping,
            served: actix_rt::spawn(server),
        })
    }

    /// The address that the stand-in listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The stand-in's base URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Finishes the requests in flight and stops.
    ///
    /// # Errors
    ///
    /// Fails when the server ended with an error.
    pub async fn stop(self) -> io::Result<()> {
        self.stopping.send_replace(true);
        self.handle.stop(true).await;
        self.served.await.map_err(io::Error::other)?
    }
}
