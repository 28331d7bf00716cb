//! The engine's held caches: listing and freeing.

use std::time::Duration;

use super::{Endpoint, encode_segment};
use crate::control::Command;

/// Longest wait for the engine to list or free.
const HOLDS_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest list that is read.
const MAX_LIST_BYTES: usize = 8 << 20;

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
        if let Ok(list) = serde_json::from_slice(&body) {
            self.report(Command::EngineHolds(hold_names(&list))).await;
        }
    }
}

/// The names in a list of holds, which is a map from names to tokens or a
/// list of objects with a `name`.
fn hold_names(list: &serde_json::Value) -> Vec<String> {
    let list = list.get("held").unwrap_or(list);
    if let Some(map) = list.as_object() {
        return map.keys().cloned().collect();
    }
    let items = list.as_array().into_iter().flatten();
    items
        .filter_map(|item| item.get("name")?.as_str().map(str::to_owned))
        .collect()
}
