//! Answers of the store that lead nowhere, and calls that are none: reading
//! ends, and no process does.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use rosebend_state::deployment::RowRange;
use rosebend_transport::clock::Clock;
use rosebend_transport::store::{Outgoing, StoreClient};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Calls after which a reading that goes on is taken for an endless one.
const MANY_CALLS: usize = 50;

/// A store that gives one answer to each call, up to [`MANY_CALLS`]; with the
/// number of calls so far.
async fn store_that_answers(body: &Value) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let calls = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&calls);
    let body = body.to_string();
    let answer = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut bytes = [0; 4_096];
            while stream.read(&mut bytes).await.is_ok_and(|length| length > 0) {
                if counted.fetch_add(1, Ordering::Relaxed) >= MANY_CALLS {
                    return;
                }
                stream.write_all(answer.as_bytes()).await.unwrap();
            }
        }
    });
    (address, calls)
}

fn client(address: SocketAddr) -> Rc<StoreClient> {
    Rc::new(StoreClient::new(
        address,
        Duration::from_secs(5),
        Clock::start(),
    ))
}

fn row(key: &str) -> Value {
    json!({"table": "t", "part": "", "key": key, "value": "Z29vZA==", "ver": 3})
}

#[actix_rt::test]
async fn pages_that_do_not_go_on_end_the_reading() {
    let table = [
        ("an empty page", json!([])),
        ("the same page again", json!([row("a"), row("b")])),
        ("a page that goes back", json!([row("b"), row("a")])),
    ];
    for (what, rows) in table {
        let body = json!({"rows": rows, "has-more": true, "ver": 9});
        let (address, calls) = store_that_answers(&body).await;
        let read = client(address).read(&RowRange::whole("t", "")).await;
        assert!(read.is_err(), "{what}");
        let calls = calls.load(Ordering::Relaxed);
        assert!(calls <= 2, "{what}: {calls} calls");
    }
}

#[actix_rt::test]
async fn an_answer_that_tells_no_rows_is_not_an_empty_table() {
    let (address, _) = store_that_answers(&json!({})).await;
    let client = client(address);
    assert!(client.read_table("t").await.is_err());
    assert!(client.feed("t", 3, Duration::ZERO).await.is_err());
}

#[test]
fn a_call_that_is_none_is_not_made() {
    for path in ["no path", "", "/a b", "/\u{7f}", "http://", "/a\r\nx: y"] {
        assert!(Outgoing::get(path, "").is_err(), "{path:?}");
    }
    let long = format!("/rows-get?from={}", "x".repeat(100_000));
    assert!(Outgoing::get(&long, "").is_err());
    assert!(Outgoing::get("/rows-get?table=t&from=%2F", "").is_ok());
}

#[actix_rt::test]
async fn a_key_that_no_call_can_name_ends_the_reading() {
    let long = "x".repeat(100_000);
    let body = json!({"rows": [row(&long)], "has-more": true, "ver": 9});
    let (address, calls) = store_that_answers(&body).await;
    assert!(client(address).read_table("t").await.is_err());
    assert_eq!(calls.load(Ordering::Relaxed), 1);
}

/// Guards against a part of an answer that is used as the whole: an answer with neither a
/// length nor chunks may end at any byte.
#[actix_rt::test]
async fn a_close_delimited_answer_that_is_cut_is_no_answer() {
    let rows = json!([row("a"), row("b")]);
    let body = json!({"rows": rows, "has-more": false, "ver": 9}).to_string();
    for length in 0..=body.len() {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let answer = format!("HTTP/1.1 200 OK\r\n\r\n{}", &body[..length]);
        actix_rt::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let mut bytes = [0; 4_096];
                assert!(stream.read(&mut bytes).await.unwrap() > 0);
                stream.write_all(answer.as_bytes()).await.unwrap();
            }
        });
        let read = client(address).read(&RowRange::whole("t", "")).await;
        match length == body.len() {
            true => assert_eq!(read.unwrap().rows.len(), 2),
            false => assert!(read.is_err(), "cut after {length} bytes"),
        }
    }
}
