//! The engine's held caches: listing and freeing.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde::Deserialize;

use super::client::RequestHead;
use super::{Endpoint, encode_segment};
use crate::control::Command;

/// Longest wait for the engine to list or free.
const HOLDS_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest list that is read.
const MAX_LIST_BYTES: usize = 8 << 20;

#[derive(Debug)]
#[derive(Deserialize)]
struct HoldList {
    holds: Vec<EngineHold>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct EngineHold {
    name: String,
}

impl Endpoint {
    /// Frees caches one after the other. What fails is found again by the
    /// next comparison with the engine's list.
    pub(super) async fn free_holds(&self, names: Vec<String>) {
        for name in names {
            let request = RequestHead {
                method: Method::DELETE,
                path: &format!("/kv/{}", encode_segment(&name)),
                headers: &[],
            };
            let sent = self.client.send(request, Bytes::new());
            let _ = actix_rt::time::timeout(HOLDS_TIMEOUT, sent).await;
        }
    }

    pub(super) async fn list_holds(&self) {
        let listing = actix_rt::time::timeout(HOLDS_TIMEOUT, self.fetch_holds());
        let Ok(Some(body)) = listing.await else {
            return;
        };
        if let Ok(list) = serde_json::from_slice::<HoldList>(&body) {
            let names = list.holds.into_iter().map(|hold| hold.name).collect();
            self.report(Command::EngineHolds(names)).await;
        }
    }

    async fn fetch_holds(&self) -> Option<Bytes> {
        let request = RequestHead {
            method: Method::GET,
            path: "/kv",
            headers: &[],
        };
        let response = self.client.send(request, Bytes::new()).await.ok()?;
        if response.status() != 200 {
            return None;
        }
        response.read_to_end(MAX_LIST_BYTES).await.ok()
    }
}
