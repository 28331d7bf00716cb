//! Rows of programs whose retention has expired are deleted, and those of other programs
//! are not.

mod support;

use std::time::Duration;

use serde_json::json;
use support::{Site, TestRequest, routes, wait_until};

const MODELS: usize = 0;

/// Returns a deployment whose routes have a retention time of one second.
fn site() -> Site {
    let site = Site::without_routes();
    let mut short = routes(1);
    short["routes"][0]["retention-s"] = json!(1.0);
    site.store.put("op", "config", &short);
    site
}

#[actix_rt::test]
async fn an_expired_program_leaves_no_rows() {
    let site = site();
    let gateway = site.start_ready_gateway().await;
    TestRequest::turn("t1", "p1", "first|")
        .send(gateway.front)
        .await;
    TestRequest::turn("t2", "p1", "second|")
        .previous("t1")
        .send(gateway.front)
        .await;
    assert_eq!((site.rows("programs"), site.rows("turns")), (3, 2));
    wait_until("its rows are deleted", async || {
        site.rows("programs") == 0 && site.rows("turns") == 0
    })
    .await;
}

#[actix_rt::test]
async fn rows_of_a_program_of_two_hosts_are_deleted_only_after_it_expires() {
    let site = site();
    let gateways = site.start_two_ready_gateways().await;
    let mut previous: Option<String> = None;
    for number in 0..8 {
        let attempt = format!("t{number}");
        let mut ask = TestRequest::turn(&attempt, "p1", "x|");
        if let Some(previous) = &previous {
            ask = ask.previous(previous);
        }
        let answer = ask.send(gateways[number % 2].front).await;
        assert_eq!(answer.status, 200, "turn {number}");
        previous = Some(attempt);
        // All turns together take longer than the retention time of one turn.
        actix_rt::time::sleep(Duration::from_millis(400)).await;
    }
    wait_until("its rows are deleted", async || {
        site.rows("programs") == 0 && site.rows("turns") == 0
    })
    .await;
}

#[actix_rt::test]
async fn a_program_that_continues_from_another_one_survives_its_deletion() {
    let site = site();
    let gateway = site.start_ready_gateway().await;
    TestRequest::turn("t1", "p1", "first|")
        .send(gateway.front)
        .await;
    TestRequest::turn("u1", "p2", "other|")
        .previous("t1")
        .send(gateway.front)
        .await;
    // The second program continues while the first one is deleted.
    let mut previous = "u1".to_owned();
    for number in 2..10 {
        actix_rt::time::sleep(Duration::from_millis(400)).await;
        let attempt = format!("u{number}");
        let ask = TestRequest::turn(&attempt, "p2", "x|").previous(&previous);
        assert_eq!(ask.send(gateway.front).await.status, 200);
        previous = attempt;
    }
    let fresh = site.start_ready_gateway().await;
    let ask = TestRequest::turn("u99", "p2", "last").previous(&previous);
    assert_eq!(ask.send(fresh.front).await.status, 200);
    let prompt = site.runs(MODELS).await["u99"].body.clone();
    assert!(prompt.starts_with("first|word0\n"), "{prompt}");
    assert!(prompt.ends_with("last"), "{prompt}");
}

/// Waits until a host has deleted all programs.
async fn wait_until_deleted(site: &Site) {
    wait_until("all programs are deleted", async || {
        site.rows("programs") == 0 && site.rows("turns") == 0
    })
    .await;
}

/// Asserts that a new program can continue from a turn whose chain starts with `first|`,
/// according to a host that has none of it in memory.
async fn assert_stored(site: &Site, previous: &str) {
    let fresh = site.start_ready_gateway().await;
    let ask = TestRequest::turn("u1", "p2", "next").previous(previous);
    let answer = ask.send(fresh.front).await;
    assert_eq!(answer.status, 200, "{}", answer.body);
    let prompt = site.runs(MODELS).await["u1"].body.clone();
    assert!(prompt.starts_with("first|word0\n"), "{prompt}");
    assert!(prompt.ends_with("next"), "{prompt}");
}

/// Guards against a turn that cannot be continued: its record referred to a turn that was
/// still in memory after its rows had been deleted.
#[actix_rt::test]
async fn a_turn_that_continues_a_deleted_one_is_stored_with_its_history() {
    let site = site();
    let gateway = site.start_ready_gateway().await;
    TestRequest::turn("t1", "p1", "first|")
        .send(gateway.front)
        .await;
    wait_until_deleted(&site).await;
    let ask = TestRequest::turn("t2", "p1", "second|").previous("t1");
    assert_eq!(ask.send(gateway.front).await.status, 200);
    let ask = TestRequest::turn("t3", "p1", "third|").previous("t2");
    assert_eq!(ask.send(gateway.front).await.status, 200);
    drop(gateway);
    assert_stored(&site, "t3").await;
    assert_eq!(
        site.runs(MODELS).await["t3"].body.matches("first|").count(),
        1
    );
}

/// Guards against the same failure at a host that did not delete the rows itself.
#[actix_rt::test]
async fn a_turn_that_continues_one_deleted_by_another_host_is_stored_with_its_history() {
    let site = site();
    let [writer, reader] = site.start_two_ready_gateways().await;
    TestRequest::turn("t1", "p1", "first|")
        .send(writer.front)
        .await;
    // The turn comes into the memory of the second host, whose own program survives it.
    let ask = TestRequest::turn("o1", "p3", "other|").previous("t1");
    assert_eq!(ask.send(reader.front).await.status, 200);
    wait_until_deleted(&site).await;
    let ask = TestRequest::turn("t2", "p1", "second|").previous("t1");
    assert_eq!(ask.send(reader.front).await.status, 200);
    drop((writer, reader));
    assert_stored(&site, "t2").await;
}

/// A turn whose rows were deleted and that no host has in memory does not exist, which a
/// caller is told at once.
#[actix_rt::test]
async fn a_deleted_turn_is_not_found() {
    let site = site();
    let gateway = site.start_ready_gateway().await;
    TestRequest::turn("t1", "p1", "first|")
        .send(gateway.front)
        .await;
    wait_until_deleted(&site).await;
    drop(gateway);
    let fresh = site.start_ready_gateway().await;
    let ask = TestRequest::turn("t2", "p1", "second|").previous("t1");
    assert_eq!(ask.send(fresh.front).await.status, 404);
}

/// Guards against a host that deletes a turn after the retention time of its own route,
/// although a later turn at another host continues from it and is kept for longer.
#[actix_rt::test]
async fn a_turn_is_kept_as_long_as_a_later_one_of_another_host() {
    let site = Site::without_routes();
    let mut config = routes(1);
    config["routes"][0]["retention-s"] = json!(1.0);
    let mut kept_longer = config["routes"][0].clone();
    kept_longer["name"] = json!("kept-longer");
    kept_longer["prefix"] = json!("/longer/stream/");
    kept_longer["retention-s"] = json!(60.0);
    config["routes"].as_array_mut().unwrap().push(kept_longer);
    site.store.put("op", "config", &config);
    let [first, second] = site.start_two_ready_gateways().await;
    TestRequest::turn("t1", "p1", "first|")
        .send(first.front)
        .await;
    let ask = TestRequest::turn("t2", "p1", "second|").previous("t1");
    let ask = ask.at_path("/longer/stream/turn");
    assert_eq!(ask.send(second.front).await.status, 200);
    // The first host scans every second, and its turn was to be kept for 1.5 s.
    actix_rt::time::sleep(Duration::from_secs(6)).await;
    assert_stored(&site, "t2").await;
}
