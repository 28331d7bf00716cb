//! Turns whose records are larger than one transaction of the store are recorded, and do not
//! delay others.

mod support;

use rosebend_coordination::gateway::history::partition_of;
use rosebend_standin::backend::BackendFaults;
use rosebend_standin::store::StoreFaults;
use serde_json::json;
use support::{Gateway, Site, TestRequest, routes, wait_until};

const MODELS: usize = 0;
/// Turns of a program with a long history, and the size of the input of each.
const LONG_TURNS: usize = 14;
const LONG_INPUT_BYTES: usize = 90_000;

fn site() -> Site {
    let site = Site::with_long_timeouts();
    let mut config = routes(2);
    config["routes"][0]["timeout-ms"] = json!(20_000);
    config["limits"]["max-body-bytes"] = json!(2_000_000);
    site.store.put("op", "config", &config);
    site
}

fn turn(attempt: &str, program: &str, input: &str) -> TestRequest {
    TestRequest::turn(attempt, program, input).header("token-budget", "1000000")
}

/// Runs a program with a history of more than a megabyte. Its last turn is `long-13`.
async fn run_long_program(gateway: &Gateway) {
    let input = "x".repeat(LONG_INPUT_BYTES);
    for number in 0..LONG_TURNS {
        let mut ask = turn(&format!("long-{number}"), "long", &input);
        if number > 0 {
            ask = ask.previous(&format!("long-{}", number - 1));
        }
        assert_eq!(ask.send(gateway.front).await.status, 200, "turn {number}");
    }
}

/// Guards against a long history that stops all turns of a partition: its record was larger
/// than a call to the store may be, and was sent again without end.
#[actix_rt::test]
async fn a_program_that_continues_a_long_one_is_recorded() {
    let site = site();
    let gateway = site.start_ready_gateway().await;
    run_long_program(&gateway).await;
    for number in 0..3 {
        let program = format!("next-{number}");
        let ask = turn(&program, &program, "next|").previous("long-13");
        let answer = ask.send(gateway.front).await;
        assert_eq!((answer.status, answer.is_complete), (200, true), "{number}");
    }
    assert_eq!(gateway.events("changes-rejected").len(), 0);
    assert_eq!(gateway.events("store-lost").len(), 0);
    drop(gateway);

    // The record is whole for a host that has nothing of it in memory.
    let fresh = site.start_ready_gateway().await;
    let ask = turn("last", "next-0", "last").previous("next-0");
    assert_eq!(ask.send(fresh.front).await.status, 200);
    let runs = site.runs(MODELS).await;
    let (long, last) = (&runs["next-0"].body, &runs["last"].body);
    assert!(long.len() > LONG_TURNS * LONG_INPUT_BYTES);
    assert!(last.starts_with(long.as_str()) && last.ends_with("last"));
}

/// Guards against rows that stay for ever: those of a large record are written before its
/// turn is durable.
#[actix_rt::test]
async fn rows_of_large_records_are_deleted_with_their_programs() {
    let site = site();
    let mut config = routes(3);
    config["routes"][0]["retention-s"] = json!(2.0);
    config["limits"]["max-body-bytes"] = json!(2_000_000);
    site.store.put("op", "config", &config);
    let gateway = site.start_ready_gateway().await;
    run_long_program(&gateway).await;
    let ask = turn("next", "next", "next|").previous("long-13");
    assert_eq!(ask.send(gateway.front).await.status, 200);
    wait_until("all rows are deleted", async || {
        site.rows("programs") == 0 && site.rows("turns") == 0
    })
    .await;
}

/// Guards against records of a partition that wait in an outage and are then joined into a
/// transaction that the store rejects.
#[actix_rt::test]
async fn large_records_that_waited_in_an_outage_are_written_after_it() {
    let site = site();
    let gateway = site.start_ready_gateway().await;
    turn("warm-up", "warm-up", "x").send(gateway.front).await;
    let slow = BackendFaults {
        delay_ms: 100,
        ..BackendFaults::default()
    };
    site.set_endpoint_faults(MODELS, &slow).await;
    let input = "x".repeat(390_000);
    let programs = (0..).map(|number| format!("p{number}"));
    let programs = programs.filter(|program| partition_of(program) == "p00");
    let mut tasks = Vec::new();
    for program in programs.take(6) {
        let ask = turn(&format!("t-{program}"), &program, &input);
        let front = gateway.front;
        tasks.push(actix_rt::spawn(async move { ask.send(front).await }));
    }
    wait_until("all turns run", async || site.runs(MODELS).await.len() >= 7).await;
    let outage = StoreFaults {
        refuse: true,
        ..StoreFaults::default()
    };
    site.set_store_faults(&outage).await;
    actix_rt::time::sleep(std::time::Duration::from_millis(1_500)).await;
    site.set_store_faults(&StoreFaults::default()).await;
    for (number, task) in tasks.into_iter().enumerate() {
        let answer = task.await.unwrap();
        assert_eq!((answer.status, answer.is_complete), (200, true), "{number}");
    }
    assert_eq!(gateway.events("changes-rejected").len(), 0);
}
