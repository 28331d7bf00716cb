//! Checks of resources: round trips, defaults, and what every error says.

use rosebend_state::resource::{RawResource, Resource, ResourceKey, ResourceKind};
use serde_json::{Value, json};

fn check(raw: Value) -> Result<Resource, String> {
    let raw: RawResource = serde_json::from_value(raw).map_err(|error| error.to_string())?;
    Resource::try_from(raw).map_err(|error| error.to_string())
}

#[test]
fn defaults_are_filled_in_and_kept_by_a_round_trip() {
    let least = [
        json!({"kind": "customer", "name": "caribmar", "spec": {"budget_ceiling_tokens": 500_000}}),
        json!({"kind": "session", "name": "caribmar/renewal-17", "spec": {"budget_tokens": 9000}}),
        json!({"kind": "model", "name": "agent-llm",
               "spec": {"context_tokens": 32768, "max_answer_tokens": 4096}}),
        json!({"kind": "endpoint", "name": "agent-llm-1",
               "spec": {"sidecar_address": "127.0.0.1:9101", "availability_zone": "harbour-hall",
                        "kind": "engine", "serves": ["agent-llm"]}}),
        json!({"kind": "tool", "name": "charge-fee", "spec": {}}),
        json!({"kind": "policy", "name": "default", "spec": {}}),
    ];
    for raw in least {
        let resource = check(raw).unwrap();
        let written = serde_json::to_value(&resource).unwrap();
        assert_eq!(check(written.clone()).unwrap(), resource);
        insta::assert_json_snapshot!(resource.key().to_string(), written);
    }
}

#[test]
fn every_error_names_the_field_its_value_and_what_is_allowed() {
    let wrong = [
        json!({"kind": "engine", "name": "a", "spec": {}}),
        json!({"kind": "model", "name": "Agent LLM", "spec": {}}),
        json!({"kind": "session", "name": "renewal-17", "spec": {}}),
        json!({"kind": "session", "name": "caribmar/renewal-17/check", "spec": {}}),
        json!({"kind": "policy", "name": "other", "spec": {}}),
        json!({"kind": "customer", "name": "caribmar",
               "spec": {"share_weight": 0, "budget_ceiling_tokens": "many", "colour": "red"}}),
        json!({"kind": "model", "name": "agent-llm",
               "spec": {"context_tokens": 1000, "max_answer_tokens": 1001}}),
        json!({"kind": "endpoint", "name": "agent-llm-1",
               "spec": {"sidecar_address": "harbour-hall", "kind": "gpu",
                        "availability_zone": 3, "serves": ["a", "a"], "draining": "no"}}),
        json!({"kind": "tool", "name": "charge-fee", "spec": {"timeout_ms": -1}}),
        json!({"kind": "tool", "name": "charge-fee", "spec": {}, "owner": "desk"}),
        json!({"kind": "tool", "name": "charge-fee"}),
    ];
    let errors: Vec<String> = wrong
        .into_iter()
        .map(|raw| check(raw).unwrap_err())
        .collect();
    insta::assert_snapshot!(errors.join("\n"));
}

#[test]
fn kinds_are_listed_once_and_found_by_their_word() {
    for kind in ResourceKind::ALL {
        assert_eq!(ResourceKind::try_from(kind.word()), Ok(kind));
        let name = match kind {
            ResourceKind::Session => "caribmar/renewal-17",
            _ => "default",
        };
        let key = ResourceKey::new(kind, name).unwrap();
        assert_eq!(key.row_key(), format!("resource/{key}"));
    }
}
