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
