//! How rosebend's processes prove to each other who they are.
//!
//! Each request between processes carries the bearer token of a host. The
//! receiver checks it before it reads anything else of the request.

use std::sync::Arc;

use rosebend_state::settings::{Role, Tokens};
use tonic::metadata::{Ascii, MetadataValue};
use tonic::service::Interceptor;
use tonic::{Request, Status};

/// The metadata key of the token.
const AUTHORIZATION: &str = "authorization";
/// What stands before the token.
const SCHEME: &str = "Bearer ";

/// The token that a process sends.
#[derive(Clone, Default)]
pub struct HostToken {
    /// None when the tokens file names no host; such a process is refused.
    value: Option<MetadataValue<Ascii>>,
}

impl HostToken {
    /// The token with which `host` calls other processes.
    pub fn new(tokens: &Tokens, host: &str) -> Self {
        let token = tokens.host_token(host);
        let value = token.and_then(|token| format!("{SCHEME}{token}").parse().ok());
        Self { value }
    }
}

impl std::fmt::Debug for HostToken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("HostToken")
            .field("is_set", &self.value.is_some())
            .finish()
    }
}

impl Interceptor for HostToken {
    fn call(&mut self, mut request: Request<()>) -> Result<Request<()>, Status> {
        if let Some(value) = &self.value {
            request.metadata_mut().insert(AUTHORIZATION, value.clone());
        }
        Ok(request)
    }
}

/// Refuses requests without the token of a host.
#[derive(Clone, Debug)]
pub struct HostCheck {
    tokens: Arc<Tokens>,
}

impl HostCheck {
    /// Accepts the hosts among these tokens.
    pub fn new(tokens: Arc<Tokens>) -> Self {
        Self { tokens }
    }
}

impl Interceptor for HostCheck {
    fn call(&mut self, request: Request<()>) -> Result<Request<()>, Status> {
        let value = request.metadata().get(AUTHORIZATION);
        let token = value.and_then(|value| value.to_str().ok()?.strip_prefix(SCHEME));
        let identity = token.and_then(|token| self.tokens.identify(token));
        match identity {
            Some(identity) if identity.role == Role::Host => Ok(request),
            _ => Err(Status::unauthenticated("the token of a host is wanted")),
        }
    }
}
