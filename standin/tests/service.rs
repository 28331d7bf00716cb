//! The plain service: effects are counted where they happen, whatever becomes
//! of the answer.

use std::{net::TcpListener, time::Duration};

use awc::Client;
use rosebend_standin::{
    server::RunningServer,
    service::{Effects, Service, ServiceConfig, ToolAnswer},
};
use serde_json::{Value, json};

fn start() -> RunningServer {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    Service::start(listener, ServiceConfig::default()).unwrap()
}

async fn set_faults(server: &RunningServer, faults: Value) {
    let url = format!("{}/faults", server.url());
    let reply = Client::default().post(url).send_json(&faults).await;
    assert_eq!(reply.unwrap().status().as_u16(), 200);
}

async fn effects(server: &RunningServer) -> Effects {
    let url = format!("{}/effects", server.url());
    let mut reply = Client::default().get(url).send().await.unwrap();
    reply.json().await.unwrap()
}

/// Charges a fee; the answer when there is a whole one.
async fn charge(server: &RunningServer, call_id: &str, wait: Duration) -> Option<ToolAnswer> {
    let url = format!("{}/charge-fee", server.url());
    let request = Client::default().post(url).timeout(wait);
    let request = request.insert_header(("x-call-id", call_id));
    let body = json!({ "effect_key": "renewal-17" });
    let mut reply = request.send_json(&body).await.ok()?;
    reply.json().await.ok()
}

const PATIENT: Duration = Duration::from_secs(20);

#[actix_rt::test]
async fn effects_are_counted_by_call_and_by_key() {
    let server = start();
    let first = charge(&server, "call-1", PATIENT).await.unwrap();
    assert_eq!((first.tool.as_str(), first.effect), ("charge-fee", 1));
    assert_eq!(charge(&server, "call-1", PATIENT).await.unwrap().effect, 2);
    charge(&server, "call-2", PATIENT).await.unwrap();
    let effects = effects(&server).await;
    assert_eq!((effects.calls["call-1"], effects.calls["call-2"]), (2, 1));
    assert_eq!((effects.keys["renewal-17"], effects.total), (3, 3));
    server.stop().await.unwrap();
}

#[actix_rt::test]
async fn a_lost_answer_or_a_late_failure_had_its_effect() {
    let server = start();
    set_faults(&server, json!({ "cut_after_effect": 1 })).await;
    assert_eq!(charge(&server, "cut", PATIENT).await, None);
    set_faults(&server, json!({ "fail_next": 1 })).await;
    assert_eq!(charge(&server, "late", PATIENT).await, None);
    set_faults(&server, json!({ "fail_before_effect": 1 })).await;
    assert_eq!(charge(&server, "early", PATIENT).await, None);
    let effects = effects(&server).await;
    assert_eq!((effects.calls["cut"], effects.calls["late"]), (1, 1));
    assert!(!effects.calls.contains_key("early"));
    server.stop().await.unwrap();
}

#[actix_rt::test]
async fn a_call_whose_caller_went_away_still_has_its_effect() {
    let server = start();
    set_faults(&server, json!({ "hang": true })).await;
    let impatient = charge(&server, "gone", Duration::from_millis(100)).await;
    assert_eq!(impatient, None);
    assert_eq!(effects(&server).await.total, 0);
    set_faults(&server, json!({ "hang": false })).await;
    for _ in 0..500 {
        if effects(&server).await.total == 1 {
            break;
        }
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(effects(&server).await.calls["gone"], 1);
    server.stop().await.unwrap();
}
