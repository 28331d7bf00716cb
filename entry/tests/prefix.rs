//! Prefixes of prompts: equal starts have equal hashes, and nothing else has.

use rosebend_coordination::warmth::SharedPrefix;
use rosebend_entry::prefix::shared_prefixes;
use serde_json::{Value, json};

const MODEL: &str = "agent-llm";

fn message(text: &str) -> Value {
    json!({"role": "user", "content": text.repeat(100)})
}

fn messages(texts: &[&str]) -> Vec<Value> {
    texts.iter().map(|text| message(text)).collect()
}

fn common(a: &[SharedPrefix], b: &[SharedPrefix]) -> usize {
    a.iter().filter(|prefix| b.contains(prefix)).count()
}

#[test]
fn sub_agent_shares_the_history_of_its_parent() {
    let parent = shared_prefixes(MODEL, &messages(&["rules", "record", "check"]));
    let child = shared_prefixes(
        MODEL,
        &messages(&["rules", "record", "check", "answer", "part"]),
    );
    assert_eq!(common(&parent, &child), 3);
}

#[test]
fn programs_share_their_first_message_however_long_they_are() {
    let long: Vec<String> = (0..20).map(|n| format!("turn {n}")).collect();
    let mut texts = vec!["rules"];
    texts.extend(long.iter().map(String::as_str));
    let long = shared_prefixes(MODEL, &messages(&texts));
    let short = shared_prefixes(MODEL, &messages(&["rules", "other"]));
    assert_eq!(long.len(), 5);
    assert_eq!(common(&long, &short), 1);
    assert!(long.is_sorted_by(|a, b| a.tokens < b.tokens));
}

#[test]
fn models_and_different_starts_share_nothing() {
    let one = shared_prefixes(MODEL, &messages(&["rules", "record"]));
    let other_model = shared_prefixes("desk-llm", &messages(&["rules", "record"]));
    let other_start = shared_prefixes(MODEL, &messages(&["terms", "record"]));
    assert_eq!(common(&one, &other_model), 0);
    assert_eq!(common(&one, &other_start), 0);
    assert!(shared_prefixes(MODEL, &[json!({"content": "short"})]).is_empty());
}
