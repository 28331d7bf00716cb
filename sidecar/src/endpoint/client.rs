//! HTTP client of the endpoint.
//!
//! Each request has a connection of its own: on a reused one that the endpoint has just
//! closed, nobody could tell whether the endpoint saw the request. `awc` is not used,
//! because it ends a body without an error if its connection closes before the declared
//! length or the last chunk, and reads a body with neither as empty.

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST};
use http::{Method, Request};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use rosebend_transport::connection::{Connection, ConnectionError};

/// Why the endpoint gave no answer.
#[derive(Debug, thiserror::Error)]
pub(super) enum ClientError {
    /// The path or a header of the request is invalid.
    #[error("invalid request: {0}")]
    InvalidRequest(http::Error),
    /// There was no connection, so the endpoint did not see the request.
    #[error("no connection to the endpoint: {0}")]
    NotConnected(std::io::Error),
    /// The connection failed after it was opened.
    #[error(transparent)]
    Connection(ConnectionError),
}

impl From<ConnectionError> for ClientError {
    fn from(error: ConnectionError) -> Self {
        match error {
            ConnectionError::Connect(error) => Self::NotConnected(error),
            error => Self::Connection(error),
        }
    }
}

/// The client of one endpoint.
#[derive(Debug)]
pub(super) struct EndpointClient {
    /// Host and port of the endpoint.
    authority: String,
}

/// A request to the endpoint.
#[derive(Debug)]
pub(super) struct RequestHead<'a> {
    pub(super) method: Method,
    /// Path and query.
    pub(super) path: &'a str,
    /// Further headers, with lower-case names.
    pub(super) headers: &'a [(&'static str, &'a str)],
}

/// An answer whose body is read from its connection.
#[derive(Debug)]
pub(super) struct EndpointResponse {
    status: u16,
    body: Incoming,
    /// The body ends without an error when this is dropped.
    _connection: Connection,
}

impl EndpointClient {
    /// Creates the client for a checked URL of the form `http://HOST:PORT`.
    pub(super) fn new(url: &str) -> Self {
        let authority = url.strip_prefix("http://").unwrap_or(url);
        Self {
            authority: authority.trim_end_matches('/').to_owned(),
        }
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Says whether the endpoint may have seen the request.
    pub(super) async fn send(
        &self,
        head: RequestHead<'_>,
        body: Bytes,
    ) -> Result<EndpointResponse, ClientError> {
        let request = self.request(head, body)?;
        let mut connection = self.connect().await?;
        let response = connection.send(request).await?;
        Ok(EndpointResponse {
            status: response.status().as_u16(),
            body: response.into_body(),
            _connection: connection,
        })
    }

    async fn connect(&self) -> Result<Connection, ClientError> {
        let mut addresses = tokio::net::lookup_host(&self.authority)
            .await
            .map_err(ClientError::NotConnected)?;
        let address = addresses
            .next()
            .ok_or_else(|| ClientError::NotConnected(std::io::ErrorKind::NotFound.into()))?;
        Ok(Connection::open(address).await?)
    }

    fn request(
        &self,
        head: RequestHead<'_>,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, ClientError> {
        let mut request = Request::builder()
            .method(head.method)
            .uri(head.path)
            .header(HOST, &self.authority)
            .header(CONTENT_TYPE, "application/json");
        for (name, value) in head.headers {
            request = request.header(*name, *value);
        }
        request
            .body(Full::new(body))
            .map_err(ClientError::InvalidRequest)
    }
}

impl EndpointResponse {
    pub(super) fn status(&self) -> u16 {
        self.status
    }

    /// The next piece of the body, or `None` after its end.
    ///
    /// # Errors
    ///
    /// Fails when the body breaks off.
    pub(super) async fn next(&mut self) -> Result<Option<Bytes>, hyper::Error> {
        while let Some(frame) = self.body.frame().await {
            if let Ok(bytes) = frame?.into_data() {
                return Ok(Some(bytes));
            }
        }
        Ok(None)
    }

    /// The whole body of at most `max_bytes`.
    ///
    /// # Errors
    ///
    /// Fails when the body breaks off or is longer.
    pub(super) async fn read_to_end(self, max_bytes: usize) -> Result<Bytes, String> {
        let body = Limited::new(self.body, max_bytes).collect().await;
        let body = body.map_err(|error| error.to_string())?;
        Ok(body.to_bytes())
    }
}
