//! The engine's held caches: listing and freeing.

use std::time::Duration;

use serde::Deserialize;

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
            let url = self.url(&format!("/kv/{}", encode_segment(&name)));
            let _ = self.client.delete(url).timeout(HOLDS_TIMEOUT).send().await;
        }
    }

    pub(super) async fn list_holds(&self) {
        let sent = self
            .client
            .get(self.url("/kv"))
            .timeout(HOLDS_TIMEOUT)
            .send();
        let Ok(mut response) = sent.await else {
            return;
        };
        if response.status().as_u16() != 200 {
            return;
        }
        let Ok(body) = response.body().limit(MAX_LIST_BYTES).await else {
            return;
        };
        if let Ok(list) = serde_json::from_slice::<HoldList>(&body) {
            let names = list.holds.into_iter().map(|hold| hold.name).collect();
            self.report(Command::EngineHolds(names)).await;
        }
    }
}
