//! What others wrote and cannot be used: it costs that one thing, and no
//! process.

mod support;

use serde_json::json;
use support::{Ask, Gateway, Site, until};

const MODELS: usize = 0;
const DESK: usize = 1;

async fn status(gateway: &Gateway, path: &str, attempt: &str) -> u16 {
    let ask = Ask::get(path).attempt(attempt);
    ask.send(gateway.front).await.status
}

#[actix_rt::test]
async fn a_route_that_cannot_be_used_is_refused_alone() {
    let site = Site::start();
    let gateway = site.gateway();
    gateway.until_ready().await;
    let mut next = support::routes(7);
    next["routes"][0]["retention-s"] = json!(1e20);
    next["routes"][2]["max-attempts"] = json!(0);
    let mut wider = next["routes"][1].clone();
    wider["name"] = json!("all");
    wider["prefix"] = json!("/");
    next["routes"].as_array_mut().unwrap().push(wider);
    site.store.put("op", "config", &next);
    until("the new version serves", async || {
        status(&gateway, "/else/x", "a0").await == 200
    })
    .await;
    assert_eq!(status(&gateway, "/lookup/x", "a1").await, 200);
    // The wider route would serve it, more often than it may run.
    let answer = Ask::get("/fee/x").attempt("a2").send(gateway.front).await;
    assert_eq!(answer.status, 503);
    assert!(answer.retry_after_s().unwrap() > 0.0);
    assert!(answer.body.contains("route-unusable"), "{}", answer.body);
    let turn = Ask::turn("a3", "p1", "hello").send(gateway.front).await;
    assert_eq!(turn.status, 503);
    assert!(!site.runs(DESK).await.contains_key("a2"));
    until("both routes are told", async || {
        gateway.events("route-unusable").len() == 2
    })
    .await;
    let told = gateway.events("route-unusable");
    let routes: Vec<&str> = told
        .iter()
        .filter_map(|event| event["route"].as_str())
        .collect();
    assert_eq!(routes, ["turns", "fee"]);
    assert!(told.iter().all(|event| event["count"] == 2));
}

#[actix_rt::test]
async fn a_version_that_cannot_be_read_leaves_the_one_before_in_force() {
    let site = Site::start();
    let gateway = site.gateway();
    gateway.until_ready().await;
    let mut next = support::routes(7);
    next["limits"]["idle-timeout-ms"] = json!(u64::MAX);
    site.store.put("op", "config", &next);
    until("the version is refused", async || {
        !gateway.events("routes-unreadable").is_empty()
    })
    .await;
    assert_eq!(status(&gateway, "/lookup/x", "a1").await, 200);
    assert_eq!(gateway.events("routes-in-force").len(), 1);
}

#[actix_rt::test]
async fn a_header_that_cannot_be_used_is_told_and_runs_nowhere() {
    let site = Site::start();
    let gateway = site.gateway();
    gateway.until_ready().await;
    let long = "x".repeat(200);
    let table = [
        ("token-budget", "-5"),
        ("token-budget", "1e400"),
        ("token-budget", "all"),
        ("token-counts", "100,18446744073709551615"),
        ("token-counts", "100"),
        ("previous-turn", "a/b"),
        ("previous-turn", &long),
        ("program-id", "p/1"),
        ("deadline-ms", "inf"),
        ("attempt-id", &long),
    ];
    for (name, value) in table {
        let ask = Ask::turn("a1", "p1", "hello").header(name, value);
        let answer = ask.send(gateway.front).await;
        assert_eq!(answer.status, 400, "{name}: {value}");
        let told = answer.body.to_ascii_lowercase();
        assert!(told.contains(name), "{name}: {value}: {told}");
    }
    until("all refusals are told", async || {
        gateway.events("request-ended").len() == table.len()
    })
    .await;
    let ended = gateway.events("request-ended");
    assert!(
        ended
            .iter()
            .all(|event| event["reason"] == "header-unusable")
    );
    assert!(site.runs(MODELS).await.is_empty());
    let answer = Ask::turn("a2", "p1", "hello").send(gateway.front).await;
    assert_eq!(answer.status, 200);
}
