//! An endpoint that starts again under the id that it had.

use std::net::TcpListener;
use std::time::Duration;

use awc::Client;
use rosebend_standin::backend::{Backend, Report, Runs};
use rosebend_standin::server::RunningServer;
use serde::de::DeserializeOwned;
use serde_json::json;

fn start() -> RunningServer {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    Backend::start(listener, "i-1").unwrap()
}

async fn get<T: DeserializeOwned>(server: &RunningServer, path: &str) -> T {
    let url = format!("{}{path}", server.url());
    let mut reply = Client::default().get(url).send().await.unwrap();
    reply.json().await.unwrap()
}

/// The body of an answer, if it is whole.
async fn ask(server: &RunningServer, path: &str, attempt: &str) -> Option<String> {
    let url = format!("{}{path}", server.url());
    let request = Client::default()
        .post(url)
        .timeout(Duration::from_secs(20))
        .insert_header(("attempt-id", attempt))
        .insert_header(("target-instance", "i-1"));
    let mut reply = request.send().await.ok()?;
    let body = reply.body().await.ok()?;
    Some(String::from_utf8_lossy(&body).into_owned())
}

async fn restart(server: &RunningServer) -> Report {
    let url = format!("{}/restart", server.url());
    let mut reply = Client::default().post(url).send().await.unwrap();
    reply.json().await.unwrap()
}

#[actix_rt::test]
async fn a_new_start_counts_anew_under_the_same_id() {
    let server = start();
    assert!(ask(&server, "/lookup", "a1").await.is_some());
    let before: Report = get(&server, "/report").await;
    assert_eq!(before.seq, 1);
    let after = restart(&server).await;
    assert!(after.born > before.born);
    assert_eq!(after.seq, 0);
    // The record of tests outlasts the start.
    assert!(ask(&server, "/lookup", "a2").await.is_some());
    let runs: Runs = get(&server, "/runs").await;
    assert_eq!((runs["a1"].count, runs["a2"].count), (1, 1));
    server.stop().await.unwrap();
}

#[actix_rt::test]
async fn a_restart_breaks_off_what_runs() {
    let server = start();
    let faults = format!("{}/faults", server.url());
    let slow = json!({ "delay_ms": 60_000 });
    let reply = Client::default().post(faults).send_json(&slow).await;
    assert_eq!(reply.unwrap().status().as_u16(), 200);
    let restart = async {
        while get::<Report>(&server, "/report").await.active == 0 {
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
        restart(&server).await
    };
    let (answer, _) = futures_util::future::join(ask(&server, "/lookup", "a1"), restart).await;
    assert_eq!(answer, None);
    // The faults of the start before are gone with it.
    assert!(ask(&server, "/stream/turn", "a2").await.is_some());
    server.stop().await.unwrap();
}
