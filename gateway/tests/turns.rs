//! Turns of programs: their history and budget, also while the store or a gateway
//! fails.

mod support;

use std::time::Duration;

use http_body_util::BodyExt;
use rosebend_standin::backend::BackendFaults;
use rosebend_standin::store::StoreFaults;
use rosebend_transport::connection::Connection;
use support::{Gateway, Site, TestRequest, wait_until};

const MODELS: usize = 0;
const EVENTS: &str = "id: 0\ndata: word0\n\nid: 1\ndata: word1\n\nid: 2\ndata: word2\n\n";
/// Metric that counts the transactions to which the store responded.
const COMPLETED_TRANSACTIONS: &str = "store_calls_total{call=\"transact\",outcome=\"done\"}";
const OUTPUT: &str = "word0\nword1\nword2\n";

#[actix_rt::test]
async fn a_turn_receives_the_whole_history() {
    let (site, gateway) = Site::start_with_gateway().await;
    let first = TestRequest::turn("t1", "p1", "first|")
        .send(gateway.front)
        .await;
    assert_eq!(
        (first.status, first.body.as_str(), first.is_complete),
        (200, EVENTS, true)
    );
    let second = TestRequest::turn("t2", "p1", "second|")
        .previous("t1")
        .send(gateway.front)
        .await;
    assert_eq!(second.status, 200);
    let third = TestRequest::turn("t3", "p1", "third|")
        .previous("t2")
        .send(gateway.front)
        .await;
    assert_eq!(third.status, 200);
    let expected = format!("first|{OUTPUT}second|{OUTPUT}third|");
    assert_eq!(site.runs(MODELS).await["t3"].body, expected);
}

#[actix_rt::test]
async fn a_program_resumes_at_another_host_after_its_host_was_killed() {
    let site = Site::start();
    let mut first = site.start_ready_gateway().await;
    TestRequest::turn("t1", "p1", "first|")
        .send(first.front)
        .await;
    TestRequest::turn("t2", "p1", "second|")
        .previous("t1")
        .send(first.front)
        .await;
    first.kill();
    let second = site.start_ready_gateway().await;
    let answer = TestRequest::turn("t3", "p1", "third|")
        .previous("t2")
        .send(second.front)
        .await;
    assert_eq!(answer.status, 200);
    let expected = format!("first|{OUTPUT}second|{OUTPUT}third|");
    assert_eq!(site.runs(MODELS).await["t3"].body, expected);
}

#[actix_rt::test]
async fn another_program_may_continue_from_a_turn() {
    let site = Site::start();
    let first = site.start_ready_gateway().await;
    TestRequest::turn("t1", "p1", "first|")
        .send(first.front)
        .await;
    let second = site.start_ready_gateway().await;
    let answer = TestRequest::turn("u1", "p2", "other|")
        .previous("t1")
        .send(second.front)
        .await;
    assert_eq!(answer.status, 200);
    assert_eq!(
        site.runs(MODELS).await["u1"].body,
        format!("first|{OUTPUT}other|")
    );
    // A third host finds the history of the new program, which spans both programs.
    let third = site.start_ready_gateway().await;
    let answer = TestRequest::turn("u2", "p2", "more|")
        .previous("u1")
        .send(third.front)
        .await;
    assert_eq!(answer.status, 200);
    let expected = format!("first|{OUTPUT}other|{OUTPUT}more|");
    assert_eq!(site.runs(MODELS).await["u2"].body, expected);
}

#[actix_rt::test]
async fn long_inputs_are_stored_in_several_rows() {
    let (site, gateway) = Site::start_with_gateway().await;
    let long = "abcdefghij".repeat(9_500);
    let answer = TestRequest::turn("t1", "p1", &long)
        .send(gateway.front)
        .await;
    assert_eq!(answer.status, 200);
    let other = site.start_ready_gateway().await;
    let answer = TestRequest::turn("t2", "p1", "next")
        .previous("t1")
        .send(other.front)
        .await;
    assert_eq!(answer.status, 200);
    assert_eq!(
        site.runs(MODELS).await["t2"].body,
        format!("{long}{OUTPUT}next")
    );
}

#[actix_rt::test]
async fn a_missing_turn_is_not_found_only_while_the_store_responds() {
    let (site, gateway) = Site::start_with_gateway().await;
    let unknown = TestRequest::turn("t9", "p1", "x").previous("never");
    assert_eq!(unknown.send(gateway.front).await.status, 404);
    let unresponsive = StoreFaults {
        silent: true,
        ..StoreFaults::default()
    };
    site.set_store_faults(&unresponsive).await;
    let answer = unknown.send(gateway.front).await;
    assert_eq!(answer.status, 503);
    assert!(answer.retry_after_s().is_some());
    assert_eq!(site.run_count("t9").await, 0);
}

#[actix_rt::test]
async fn an_incomplete_turn_is_not_part_of_the_history() {
    let (site, gateway) = Site::start_with_gateway().await;
    let faults = BackendFaults {
        cut_bodies: 1,
        delay_ms: 30,
        ..BackendFaults::default()
    };
    site.set_endpoint_faults(MODELS, &faults).await;
    let cut = TestRequest::turn("t1", "p1", "first|")
        .send(gateway.front)
        .await;
    assert!(!cut.is_complete);
    let answer = TestRequest::turn("t2", "p1", "x")
        .previous("t1")
        .send(gateway.front)
        .await;
    assert_eq!(answer.status, 404);
}

#[actix_rt::test]
async fn a_program_never_gets_more_than_its_budget() {
    let site = Site::start();
    let gateways = site.start_two_ready_gateways().await;
    // Each turn may generate up to 100 tokens and generates 30.
    let mut served = 0;
    let mut previous: Option<String> = None;
    let mut refused = 0;
    for number in 0..14 {
        let attempt = format!("t{number}");
        let mut ask = TestRequest::turn(&attempt, "p1", "x").header("token-budget", "300");
        if let Some(previous) = &previous {
            ask = ask.previous(previous);
        }
        let answer = ask.send(gateways[number % 2].front).await;
        match answer.status {
            200 => {
                served += 1;
                previous = Some(attempt);
            }
            402 => {
                refused += 1;
                assert_eq!(site.run_count(&attempt).await, 0);
            }
            status => panic!("{status}"),
        }
    }
    // 180 tokens are spent before the seventh turn, and 210 before the eighth.
    assert_eq!((served, refused), (7, 7));
}

/// Waits until the gateway has written its own row to the table of peers, and returns
/// the number of writes so far. On a busy machine, the response to the write may be late
/// and the row is then written twice.
async fn writes_after_own_peer_row(site: &Site, gateway: &Gateway) -> u64 {
    wait_until("the gateway's peer row is written", async || {
        gateway.metric(COMPLETED_TRANSACTIONS).await == 1
    })
    .await;
    site.store.stats().transactions
}

#[actix_rt::test]
async fn no_event_is_forwarded_before_the_reservation_is_durable() {
    let (site, gateway) = Site::start_with_gateway().await;
    let before = writes_after_own_peer_row(&site, &gateway).await;
    let slow = StoreFaults {
        slow_ms: 100,
        ..StoreFaults::default()
    };
    site.set_store_faults(&slow).await;
    let paced = BackendFaults {
        delay_ms: 300,
        ..BackendFaults::default()
    };
    site.set_endpoint_faults(MODELS, &paced).await;
    let mut connection = Connection::open(gateway.front).await.unwrap();
    let response = connection
        .send(TestRequest::turn("t1", "p1", "x").request())
        .await
        .unwrap();
    let first = response.into_body().frame().await.unwrap().unwrap();
    assert!(first.is_data());
    assert_eq!(site.store.stats().transactions - before, 1);
}

#[actix_rt::test]
async fn a_single_turn_needs_two_writes_and_no_read_if_its_program_is_cached() {
    let (site, gateway) = Site::start_with_gateway().await;
    writes_after_own_peer_row(&site, &gateway).await;
    TestRequest::turn("t0", "p1", "x").send(gateway.front).await;
    const READS: &str = "store_calls_total{call=\"read\",outcome=\"done\"}";
    let reads = gateway.metric(READS).await;
    let before = site.store.stats().transactions;
    for number in 1..5 {
        let ask = TestRequest::turn(&format!("t{number}"), "p1", "x")
            .previous(&format!("t{}", number - 1));
        assert_eq!(ask.send(gateway.front).await.status, 200);
    }
    assert_eq!(site.store.stats().transactions - before, 4 * 2);
    assert_eq!(gateway.metric(READS).await, reads);
}

/// A single turn needs two writes. The writes of concurrent turns are batched.
#[actix_rt::test]
async fn concurrent_turns_need_at_most_one_write_each() {
    const TURNS: u64 = 128;
    let (site, gateway) = Site::start_with_gateway().await;
    let slow = StoreFaults {
        slow_ms: 50,
        ..StoreFaults::default()
    };
    site.set_store_faults(&slow).await;
    let before = site.store.stats().transactions;
    let asks: Vec<TestRequest> = (0..TURNS)
        .map(|number| TestRequest::turn(&format!("t{number}"), &format!("p{number}"), "x"))
        .collect();
    let answers = asks.iter().map(|ask| ask.send(gateway.front));
    for answer in futures_util::future::join_all(answers).await {
        assert_eq!((answer.status, answer.is_complete), (200, true));
    }
    let writes = site.store.stats().transactions - before;
    assert!(writes <= TURNS, "{writes} writes for {TURNS} turns");
}

#[actix_rt::test]
async fn lost_responses_of_the_store_lose_no_turn() {
    let (site, gateway) = Site::start_with_gateway().await;
    let mut previous = String::new();
    for number in 0..6 {
        let faults = StoreFaults {
            lose_answers: number % 2,
            lose_calls: (number + 1) % 2,
            ..StoreFaults::default()
        };
        site.set_store_faults(&faults).await;
        let attempt = format!("t{number}");
        let mut ask = TestRequest::turn(&attempt, "p1", "x|");
        if number > 0 {
            ask = ask.previous(&previous);
        }
        let answer = ask.send(gateway.front).await;
        assert_eq!(
            (answer.status, answer.is_complete),
            (200, true),
            "turn {number}"
        );
        previous = attempt;
    }
    let expected = format!("{}x|", format!("x|{OUTPUT}").repeat(5));
    assert_eq!(site.runs(MODELS).await["t5"].body, expected);
}

/// Sets the gateway's store timeout to a time longer than any test takes.
async fn set_long_store_timeout(site: &Site, gateway: &Gateway) {
    let address = site.store_listener.address().to_string();
    gateway.change_settings(&address, &format!("{address}\ntimeout_ms = 60000"));
    gateway.signal("HUP");
    wait_until("the timeout is in force", async || {
        !gateway.events("settings-taken").is_empty()
    })
    .await;
}

/// Guards against a turn that waits for the whole store timeout when the store loses
/// responses. A turn at another host than the previous turn reads the history from the
/// store.
#[actix_rt::test]
async fn a_read_without_response_is_sent_again_before_its_timeout() {
    let site = Site::start();
    let [first, second] = site.start_two_ready_gateways().await;
    let turn = TestRequest::turn("t1", "p1", "x").send(first.front).await;
    assert_eq!(turn.status, 200);
    set_long_store_timeout(&site, &second).await;
    let lossy = StoreFaults {
        swallow_reads: 2,
        ..StoreFaults::default()
    };
    site.set_store_faults(&lossy).await;
    let next = TestRequest::turn("t2", "p1", "y").previous("t1");
    let answer = tokio::time::timeout(Duration::from_secs(20), next.send(second.front)).await;
    let answer = answer.expect("the turn does not wait for the timeout");
    assert_eq!((answer.status, answer.is_complete), (200, true));
}

#[actix_rt::test]
async fn a_transaction_without_response_is_sent_again_before_its_timeout() {
    let (site, gateway) = Site::start_with_gateway().await;
    set_long_store_timeout(&site, &gateway).await;
    let lossy = StoreFaults {
        swallow_answers: 2,
        ..StoreFaults::default()
    };
    site.set_store_faults(&lossy).await;
    let turn = TestRequest::turn("t1", "p1", "x");
    let answer = tokio::time::timeout(Duration::from_secs(20), turn.send(gateway.front)).await;
    let answer = answer.expect("the turn does not wait for the timeout");
    assert_eq!((answer.status, answer.is_complete), (200, true));
    let next = TestRequest::turn("t2", "p1", "y").previous("t1");
    assert_eq!(next.send(gateway.front).await.status, 200);
    assert_eq!(site.store.stats().lost_answers, 2);
}

/// Guards against a turn that waits for the whole store timeout when the store loses
/// most responses. The store responds to other calls meanwhile, which shows that the
/// missing response is lost and not late.
#[actix_rt::test]
async fn a_transaction_is_sent_again_while_the_store_responds_to_other_calls() {
    let (site, gateway) = Site::start_with_gateway().await;
    set_long_store_timeout(&site, &gateway).await;
    let lossy = StoreFaults {
        swallow_answers: 4,
        ..StoreFaults::default()
    };
    site.set_store_faults(&lossy).await;
    let turn = TestRequest::turn("t1", "p1", "x");
    let answer = tokio::time::timeout(Duration::from_secs(20), turn.send(gateway.front)).await;
    let answer = answer.expect("the turn does not wait for the timeout");
    assert_eq!((answer.status, answer.is_complete), (200, true));
    let next = TestRequest::turn("t2", "p1", "y").previous("t1");
    assert_eq!(next.send(gateway.front).await.status, 200);
}

#[actix_rt::test]
async fn turns_refused_in_an_outage_get_a_retry_time_that_grows_with_it() {
    let (site, gateway) = Site::start_with_gateway().await;
    site.set_store_faults(&StoreFaults::refusing()).await;
    gateway.wait_until_not_ready().await;
    actix_rt::time::sleep(Duration::from_millis(1_200)).await;
    let answer = TestRequest::turn("t1", "p1", "x").send(gateway.front).await;
    assert_eq!(answer.status, 503);
    assert_eq!(answer.retry_after_s(), Some(1.0));
    assert_eq!(site.run_count("t1").await, 0);
    // Requests that do not need the store are still served.
    let lookup = TestRequest::lookup("a1").send(gateway.front).await;
    assert_eq!(lookup.status, 200);
    site.set_store_faults(&StoreFaults::default()).await;
    gateway.wait_until_ready().await;
    let answer = TestRequest::turn("t2", "p1", "x").send(gateway.front).await;
    assert_eq!(answer.status, 200);
}

#[actix_rt::test]
async fn an_unresponsive_store_is_detected_before_a_timeout() {
    let (site, gateway) = Site::start_with_gateway().await;
    let unresponsive = StoreFaults {
        silent: true,
        ..StoreFaults::default()
    };
    site.set_store_faults(&unresponsive).await;
    gateway.wait_until_not_ready().await;
    let answer = TestRequest::turn("t1", "p1", "x").send(gateway.front).await;
    assert_eq!(answer.status, 503);
    assert_eq!(site.run_count("t1").await, 0);
}
