//! The engine over HTTP: streams, resume, cancel, holds, orders and faults.

use std::{net::TcpListener, time::Duration};

use awc::Client;
use rosebend_standin::{
    engine::{Engine, EngineConfig, EngineStats, OrderList},
    server::RunningServer,
};
use serde_json::{Value, json};

fn start(config: EngineConfig) -> RunningServer {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    Engine::start(listener, config).unwrap()
}

fn fast() -> EngineConfig {
    EngineConfig {
        load_lag: Duration::ZERO,
        event_lag: Duration::ZERO,
        ..EngineConfig::default().sped_up(50.0)
    }
}

fn client() -> Client {
    Client::builder().timeout(Duration::from_secs(20)).finish()
}

async fn post(server: &RunningServer, path: &str, body: Value) -> (u16, Value) {
    let url = format!("{}{path}", server.url());
    let mut reply = client().post(url).send_json(&body).await.unwrap();
    (reply.status().as_u16(), reply.json().await.unwrap())
}

async fn get(server: &RunningServer, path: &str) -> Value {
    let url = format!("{}{path}", server.url());
    let mut reply = client().get(url).send().await.unwrap();
    reply.json().limit(1 << 20).await.unwrap()
}

fn chat(text: &str, tokens: u64, stream: bool) -> Value {
    let messages = json!([{ "role": "user", "content": text }]);
    json!({ "model": "agent-llm", "messages": messages, "max_tokens": tokens, "stream": stream })
}

/// Sends a chat completion and returns all of its body that arrives.
async fn complete(server: &RunningServer, id: &str, body: Value) -> String {
    let url = format!("{}/v1/chat/completions", server.url());
    let request = client().post(url).insert_header(("x-request-id", id));
    let request = request.insert_header(("x-hold-kv", format!("hold of {id}")));
    read_all(request.send_json(&body).await.unwrap()).await
}

async fn resume(server: &RunningServer, id: &str, offset: u64) -> String {
    let url = format!("{}/v1/requests/{id}?offset={offset}", server.url());
    read_all(client().get(url).send().await.unwrap()).await
}

async fn read_all<S>(mut reply: awc::ClientResponse<S>) -> String
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    use futures_util::StreamExt;
    let mut text = Vec::new();
    while let Some(Ok(bytes)) = reply.next().await {
        text.extend_from_slice(&bytes);
    }
    String::from_utf8(text).unwrap()
}

/// Ids and contents of the events of a stream.
fn events(stream: &str) -> Vec<(u64, String)> {
    let blocks = stream.split("\n\n");
    let event = |block: &str| {
        let id = block.strip_prefix("id: ")?.split('\n').next()?;
        let data: Value = serde_json::from_str(block.split_once("data: ")?.1).ok()?;
        let content = data["choices"][0]["delta"]["content"].as_str()?.to_owned();
        Some((id.parse().ok()?, content))
    };
    blocks.filter_map(event).collect()
}

#[actix_rt::test]
async fn a_stream_has_every_token_once_and_resumes_from_an_offset() {
    let server = start(fast());
    let whole: Value =
        serde_json::from_str(&complete(&server, "whole", chat("renew", 12, false)).await).unwrap();
    let stream = complete(&server, "streamed", chat("renew", 12, true)).await;
    let tokens = events(&stream);
    let offsets: Vec<u64> = tokens.iter().map(|(offset, _)| *offset).collect();
    assert_eq!(offsets, (0..12).collect::<Vec<_>>());
    let text: String = tokens.iter().map(|(_, text)| text.as_str()).collect();
    assert_eq!(whole["choices"][0]["message"]["content"], json!(text));
    assert!(stream.ends_with("data: [DONE]\n\n"));
    assert_eq!(events(&resume(&server, "streamed", 9).await), tokens[9..]);
    server.stop().await.unwrap();
}

#[actix_rt::test]
async fn a_cut_stream_runs_on_and_a_repetition_is_counted() {
    let server = start(fast());
    post(&server, "/faults", json!({ "cut_next": 1 })).await;
    let cut = complete(&server, "a", chat("renew", 10, true)).await;
    assert!(!cut.contains("[DONE]"));
    let rest = resume(&server, "a", events(&cut).len() as u64).await;
    assert_eq!(events(&cut).len() + events(&rest).len(), 10);
    complete(&server, "a", chat("renew", 10, false)).await;
    let stats: EngineStats = serde_json::from_value(get(&server, "/stats").await).unwrap();
    assert_eq!(stats.runs["a"], 2);
    server.stop().await.unwrap();
}

#[actix_rt::test]
async fn the_next_turn_finds_the_earlier_one_in_the_cache() {
    let server = start(fast());
    let text = "sea service record ".repeat(20);
    let first: Value =
        serde_json::from_str(&complete(&server, "1", chat(&text, 32, false)).await).unwrap();
    let answer = &first["choices"][0]["message"];
    let mut second = chat(&text, 4, false);
    let messages = second["messages"].as_array_mut().unwrap();
    messages.push(answer.clone());
    messages.push(json!({ "role": "user", "content": "go on" }));
    let second: Value = serde_json::from_str(&complete(&server, "2", second).await).unwrap();
    let cached = &second["usage"]["prompt_tokens_details"]["cached_tokens"];
    let earlier = first["usage"]["total_tokens"].as_u64().unwrap();
    assert_eq!(cached.as_u64().unwrap(), earlier / 16 * 16);
    server.stop().await.unwrap();
}

#[actix_rt::test]
async fn holds_are_listed_exported_imported_and_freed() {
    let (server, other) = (start(fast()), start(fast()));
    complete(&server, "1", chat(&"page ".repeat(50), 8, false)).await;
    let holds = get(&server, "/kv").await;
    assert_eq!(holds["holds"][0]["name"], json!("hold of 1"));
    let (status, bytes) = post(&server, "/kv/hold%20of%201/export", json!(null)).await;
    assert_eq!(status, 200);
    assert_eq!(post(&other, "/kv/moved/import", bytes).await.0, 200);
    assert_eq!(
        get(&other, "/kv").await["holds"][0]["tokens"],
        holds["holds"][0]["tokens"]
    );
    for (status, left) in [(200, 0), (404, 0)] {
        let url = format!("{}/kv/hold%20of%201", server.url());
        let reply = client().delete(url).send().await.unwrap();
        assert_eq!(reply.status().as_u16(), status);
        let stats: EngineStats = serde_json::from_value(get(&server, "/stats").await).unwrap();
        assert_eq!(stats.kv_tokens_pinned, left);
    }
    assert_eq!(get(&server, "/load").await["kv_tokens_used"], json!(0));
    let events = get(&server, "/cache/events?after=0").await;
    assert!(!events["events"].as_array().unwrap().is_empty());
    server.stop().await.unwrap();
    other.stop().await.unwrap();
}

#[actix_rt::test]
async fn a_cancel_ends_a_request_and_frees_its_memory() {
    let server = start(fast());
    let running = complete(&server, "long", chat("renew", 10_000, true));
    let cancel = async {
        while get(&server, "/stats").await["running"] != json!(1) {
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
        let url = format!("{}/v1/requests/long", server.url());
        client().delete(url).send().await.unwrap();
    };
    let (stream, ()) = futures_util::join!(running, cancel);
    assert!(!stream.contains("[DONE]"));
    assert_eq!(get(&server, "/stats").await["kv_tokens_pinned"], json!(0));
    server.stop().await.unwrap();
}

#[actix_rt::test]
async fn an_engine_that_checks_fences_refuses_old_ones() {
    for (check_fences, status, done) in [(true, 409, 1), (false, 200, 2)] {
        let server = start(EngineConfig {
            check_fences,
            ..fast()
        });
        let order = |id: &str, fence: u64| json!({ "order_id": id, "kind": "load", "target": "m", "fence": fence });
        assert_eq!(post(&server, "/orders", order("new", 5)).await.0, 200);
        assert_eq!(post(&server, "/orders", order("old", 4)).await.0, status);
        let list: OrderList = serde_json::from_value(get(&server, "/orders").await).unwrap();
        assert_eq!((list.orders.len(), list.highest_fence), (done, 5));
        server.stop().await.unwrap();
    }
}

#[actix_rt::test]
async fn failures_and_refusals_run_nothing() {
    let server = start(EngineConfig {
        kv_tokens: 160,
        ..fast()
    });
    post(&server, "/faults", json!({ "fail_next": 1 })).await;
    let failed = post(&server, "/v1/chat/completions", chat("a", 4, false)).await;
    assert_eq!(failed.0, 500);
    let too_long = post(&server, "/v1/chat/completions", chat("a", 200, false)).await;
    assert_eq!(
        (too_long.0, &too_long.1["reason"]),
        (400, &json!("context-too-long"))
    );
    let bad = post(&server, "/v1/chat/completions", json!({ "model": 1 })).await;
    assert_eq!(bad.0, 400);
    let stats: EngineStats = serde_json::from_value(get(&server, "/stats").await).unwrap();
    assert!(stats.runs.is_empty());
    server.stop().await.unwrap();
}
