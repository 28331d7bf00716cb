//! Turns are not refused while their program's budget has room for them.
//!
//! A reservation that only its holder can use, and that nobody reclaims, makes other
//! hosts refuse turns although hardly any tokens were spent. Gateways used to reserve a
//! program's next turn in advance at each settlement, even after a turn that no endpoint
//! had accepted. The caller's next attempt, 160 ms later in one case, reached another
//! gateway, for which those tokens were unavailable. After all gateways had been killed,
//! the reservations remained, and the programs received 402 from every host until their
//! callers gave up. Nothing is reserved in advance any more.

mod support;

use std::net::TcpListener;
use std::time::Duration;

use rosebend_standin::backend::BackendFaults;
use rosebend_standin::store::StoreFaults;
use support::{Gateway, Site, TestRequest, wait_until};

const MODELS: usize = 0;

/// Builds a turn that may generate 100 tokens and generates 30.
fn turn(attempt: &str, budget_tokens: u64) -> TestRequest {
    TestRequest::turn(attempt, "p1", "x").header("token-budget", &budget_tokens.to_string())
}

#[actix_rt::test]
async fn a_turn_that_found_no_room_at_one_host_is_served_at_another() {
    let site = Site::start();
    let gateways = site.start_two_ready_gateways().await;
    let full = BackendFaults {
        refuse: 1,
        ..BackendFaults::default()
    };
    site.set_endpoint_faults(MODELS, &full).await;
    // The budget has room for this turn and no other one.
    let refused = turn("t1", 100).send(gateways[0].front).await;
    assert_eq!(refused.status, 503);
    assert_eq!(site.run_count("t1").await, 0);
    let served = turn("t2", 100).send(gateways[1].front).await;
    assert_eq!(served.status, 200, "{}", served.body);
    // 30 tokens are spent, and the budget has no room for another turn.
    let spent = turn("t3", 100).previous("t2").send(gateways[0].front).await;
    assert_eq!(spent.status, 402);
}

#[actix_rt::test]
async fn unused_tokens_of_a_killed_host_remain_available() {
    let site = Site::start();
    let mut first = site.start_ready_gateway().await;
    let answer = turn("t1", 200).send(first.front).await;
    assert_eq!(answer.status, 200);
    first.kill();
    let second = site.start_ready_gateway().await;
    // 30 tokens are spent, so that the budget has room for another turn.
    let next = turn("t2", 200).previous("t1");
    let answer = next.send(second.front).await;
    assert_eq!(answer.status, 200, "{}", answer.body);
    let more = turn("t3", 200).previous("t2").send(second.front).await;
    assert_eq!(
        more.status, 200,
        "60 tokens of 200 are spent: {}",
        more.body
    );
}

/// Guards against reservations in advance, of which each death could leave one behind: a
/// program that had spent 720 of 1,000 tokens was refused after one host had died with an
/// unused advance reservation and another one with a turn that had reached no endpoint.
/// Only one turn's maximum output tokens of dead hosts are written off per program.
#[actix_rt::test]
async fn two_killed_hosts_leave_room_for_a_turn_that_fits() {
    type TurnBuilder = fn(&str, u64) -> TestRequest;
    for ask in [turn as TurnBuilder, unrecorded as TurnBuilder] {
        check_two_killed_hosts(ask).await;
    }
}

async fn check_two_killed_hosts(ask: impl Fn(&str, u64) -> TestRequest) {
    let site = Site::start();
    let mut first = site.start_ready_gateway().await;
    assert_eq!(ask("t1", 230).send(first.front).await.status, 200);
    until_settled(&first).await;
    first.kill();
    let mut second = site.start_ready_gateway().await;
    let next = ask("t2", 230).previous("t1");
    assert_eq!(next.send(second.front).await.status, 200);
    until_settled(&second).await;
    // From now on the only endpoint accepts requests and runs none.
    let unresponsive = TcpListener::bind("127.0.0.1:0").unwrap();
    site.announce_external("i-mute", "models", unresponsive.local_addr().unwrap());
    site.announce(MODELS, "draining");
    wait_until("only the unresponsive endpoint is listed", async || {
        !second.events("endpoint-withdrawn").is_empty()
    })
    .await;
    let before = second.metric("joined_parts_total").await;
    let front = second.front;
    let interrupted = ask("t3", 230).previous("t2");
    let interrupted = actix_rt::spawn(async move { interrupted.send(front).await });
    wait_until("the tokens of the turn are reserved", async || {
        second.metric("joined_parts_total").await > before
    })
    .await;
    second.kill();
    assert_eq!(interrupted.await.unwrap().status, 0);
    assert_eq!(site.run_count("t3").await, 0);
    site.announce(MODELS, "ready");
    site.store.delete("servers", "i-mute");
    let third = site.start_ready_gateway().await;
    // 60 tokens are spent and nothing runs, so that the budget has room for another turn.
    let answer = ask("t4", 230).previous("t2").send(third.front).await;
    assert_eq!(answer.status, 200, "{}", answer.body);
}

#[actix_rt::test]
async fn a_host_reserves_nothing_for_turns_that_have_not_arrived() {
    let site = Site::start();
    let gateways = site.start_two_ready_gateways().await;
    let [first, second] = &gateways;
    assert_eq!(turn("t1", 230).send(first.front).await.status, 200);
    // 30 tokens are spent. Two turns at the second host need the whole rest.
    let paced = BackendFaults {
        delay_ms: 200,
        ..BackendFaults::default()
    };
    site.set_endpoint_faults(MODELS, &paced).await;
    let ask = |attempt| turn(attempt, 230).previous("t1");
    let (one, other) = (ask("t2"), ask("t3"));
    let answers = futures_util::join!(one.send(second.front), other.send(second.front));
    assert_eq!((answers.0.status, answers.1.status), (200, 200));
    // No holder of a reservation had to be asked.
    assert!(second.events("holders-asked").is_empty());
    // 90 tokens are spent, and the budget has room for another turn at any host.
    let last = turn("t4", 230).previous("t2").send(first.front).await;
    assert_eq!(last.status, 200, "{}", last.body);
    let spent = turn("t5", 230).previous("t4").send(second.front).await;
    assert_eq!(spent.status, 200, "120 tokens are spent: {}", spent.body);
    let spent = turn("t6", 230).previous("t5").send(first.front).await;
    assert_eq!(spent.status, 402, "150 tokens are spent");
}

#[actix_rt::test]
async fn a_turn_waits_for_the_settlement_of_one_that_has_ended() {
    let site = Site::start();
    let door = site
        .store
        .open_door(TcpListener::bind("127.0.0.1:0").unwrap())
        .unwrap();
    // The gateway sends its commits to the store itself. If it used the other gateway as
    // its batcher, its commits would still reach the store.
    let disconnected = Gateway::start_batcher(door.address());
    let other = site.start_gateway();
    disconnected.wait_until_ready().await;
    other.wait_until_ready().await;
    // The first turn breaks off after some events, and its host is disconnected from the
    // store before it can write the settlement.
    let breaking = BackendFaults {
        cut_bodies: 1,
        delay_ms: 100,
        ..BackendFaults::default()
    };
    site.set_endpoint_faults(MODELS, &breaking).await;
    let broken = turn("t1", 150);
    let disconnect = async {
        wait_until("the tokens of the turn are reserved", async || {
            site.rows("programs") > 0
        })
        .await;
        let silent = StoreFaults {
            silent: true,
            ..StoreFaults::default()
        };
        support::set_listener_faults(&door, &silent).await;
    };
    let (broken, ()) = futures_util::join!(broken.send(disconnected.front), disconnect);
    assert!(!broken.is_complete);
    let mut number = 2;
    loop {
        let answer = turn(&format!("t{number}"), 150).send(other.front).await;
        if answer.status == 200 {
            // The turn was refused until the settlement arrived, or waited for it
            // instead. It also waits if its own commit takes equally long because the
            // disconnected host is its batcher.
            let has_waited = number > 2 || received_settling_state(&other, "t2").await;
            assert!(has_waited, "the turn did not wait for the settlement");
            break;
        }
        assert_eq!(answer.status, 503, "{}", answer.body);
        assert!(answer.body.contains("budget-unsettled"), "{}", answer.body);
        assert!(answer.retry_after_s().is_some());
        number += 1;
        assert!(number < 500, "the settlement was not written");
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Returns whether the holder of another turn's reservation reported to this turn that
/// the other turn is being settled.
async fn received_settling_state(gateway: &Gateway, attempt: &str) -> bool {
    wait_until("the end of the turn is logged", async || {
        let ended = gateway.events("request-ended");
        let served = gateway.events("request-served");
        let mut ends = ended.iter().chain(&served);
        ends.any(|event| event["attempt"] == attempt)
    })
    .await;
    let asked = gateway.events("holders-asked");
    asked.iter().any(|event| {
        let holders = event["holders"].as_str().unwrap_or_default();
        event["attempt"] == attempt && holders.ends_with(":settling")
    })
}

/// Builds a turn like [`turn`] on a route that keeps no history.
fn unrecorded(attempt: &str, budget_tokens: u64) -> TestRequest {
    turn(attempt, budget_tokens).at_path("/unkept/stream/turn")
}

/// Waits for settlements that are still in progress after the responses have ended.
async fn until_settled(gateway: &Gateway) {
    wait_until("all turns are settled", async || {
        let page = TestRequest::get("/metrics")
            .send(gateway.metrics)
            .await
            .body;
        page.contains("open_changes 0")
    })
    .await;
}

#[actix_rt::test]
async fn a_budget_holds_on_a_route_without_history() {
    let site = Site::start();
    let gateways = site.start_two_ready_gateways().await;
    let mut statuses = Vec::new();
    for number in 0..10 {
        let attempt = format!("t{number}");
        let answer = unrecorded(&attempt, 300)
            .send(gateways[number % 2].front)
            .await;
        statuses.push(answer.status);
        let ran = site.run_count(&attempt).await;
        assert_eq!(ran, u64::from(answer.status == 200), "{attempt}");
    }
    // The seventh turn finds 180 tokens spent, the eighth one 210.
    let expected: Vec<u16> = [200; 7].into_iter().chain([402; 3]).collect();
    assert_eq!(statuses, expected);
}

/// Represents a program in an endless loop, which keeps sending turns after its budget is
/// spent.
#[actix_rt::test]
async fn a_spent_budget_is_refused_without_a_read() {
    let site = Site::start();
    let gateway = site.start_ready_gateway().await;
    for number in 0..7 {
        let answer = unrecorded(&format!("t{number}"), 300)
            .send(gateway.front)
            .await;
        assert_eq!(answer.status, 200);
    }
    until_settled(&gateway).await;
    let reads = "store_calls_total{call=\"read\",outcome=\"done\"}";
    let before = gateway.metric(reads).await;
    for number in 7..12 {
        let answer = unrecorded(&format!("t{number}"), 300)
            .send(gateway.front)
            .await;
        assert_eq!(answer.status, 402);
    }
    assert_eq!(gateway.metric(reads).await, before);
}

#[actix_rt::test]
async fn a_ledger_without_history_survives_the_death_of_its_host() {
    let site = Site::start();
    let mut first = site.start_ready_gateway().await;
    for attempt in ["t1", "t2", "t3"] {
        let answer = unrecorded(attempt, 190).send(first.front).await;
        assert_eq!(answer.status, 200);
    }
    until_settled(&first).await;
    first.kill();
    let second = site.start_ready_gateway().await;
    assert_eq!(unrecorded("t4", 190).send(second.front).await.status, 200);
    assert_eq!(unrecorded("t5", 190).send(second.front).await.status, 402);
}

#[actix_rt::test]
async fn turns_without_history_cost_a_write_each() {
    let (site, gateway) = Site::start_with_gateway().await;
    wait_until("the row of the gateway is written", async || {
        site.store.stats().transactions > 0
    })
    .await;
    let before = site.store.stats().transactions;
    for number in 0..5 {
        let ask = unrecorded(&format!("t{number}"), 1_000);
        assert_eq!(ask.send(gateway.front).await.status, 200);
    }
    until_settled(&gateway).await;
    // The first turn reserved in a write of its own, each further turn together with the
    // settlement of the previous one, and the last settlement was written alone.
    assert_eq!(site.store.stats().transactions - before, 1 + 5);
    // Without the store it is unknown whether the budget has room for a turn.
    site.set_store_faults(&StoreFaults::refusing()).await;
    gateway.wait_until_not_ready().await;
    let refused = unrecorded("t5", 1_000).send(gateway.front).await;
    assert_eq!(refused.status, 503, "{}", refused.body);
    assert!(refused.retry_after_s().is_some());
    assert_eq!(site.run_count("t5").await, 0);
}

#[actix_rt::test]
async fn a_deferred_settlement_is_written_when_another_host_asks() {
    let site = Site::start();
    let gateways = site.start_two_ready_gateways().await;
    let [first, second] = &gateways;
    assert_eq!(unrecorded("t1", 150).send(first.front).await.status, 200);
    // 30 tokens are spent. Until the settlement is written, the turn counts as 100.
    let answer = unrecorded("t2", 150).send(second.front).await;
    assert_eq!(answer.status, 200, "{}", answer.body);
    let spent = unrecorded("t3", 150).send(first.front).await;
    assert_eq!(spent.status, 402, "60 tokens are spent: {}", spent.body);
}

#[actix_rt::test]
async fn a_request_without_a_program_needs_no_store() {
    let (site, gateway) = Site::start_with_gateway().await;
    wait_until("the row of the gateway is written", async || {
        site.store.stats().transactions > 0
    })
    .await;
    let before = site.store.stats().transactions;
    let ask = TestRequest::new(http::Method::POST, "/unkept/stream/turn").attempt("t1");
    assert_eq!(ask.send(gateway.front).await.status, 200);
    assert_eq!(site.store.stats().transactions, before);
}

#[actix_rt::test]
async fn a_turn_waits_for_the_settlement_of_one_without_history() {
    let site = Site::start();
    let door = site
        .store
        .open_door(TcpListener::bind("127.0.0.1:0").unwrap())
        .unwrap();
    // The gateway sends its commits to the store itself. If it used the other gateway as
    // its batcher, its commits would still reach the store.
    let disconnected = Gateway::start_batcher(door.address());
    let other = site.start_gateway();
    disconnected.wait_until_ready().await;
    other.wait_until_ready().await;
    assert_eq!(
        unrecorded("t1", 250).send(disconnected.front).await.status,
        200
    );
    until_settled(&disconnected).await;
    // The second turn ends while its host is disconnected.
    let paced = BackendFaults {
        delay_ms: 100,
        ..BackendFaults::default()
    };
    site.set_endpoint_faults(MODELS, &paced).await;
    let used = unrecorded("t2", 250);
    let disconnect = async {
        wait_until("the turn runs", async || site.run_count("t2").await > 0).await;
        let silent = StoreFaults {
            silent: true,
            ..StoreFaults::default()
        };
        support::set_listener_faults(&door, &silent).await;
    };
    let (used, ()) = futures_util::join!(used.send(disconnected.front), disconnect);
    assert_eq!((used.status, used.is_complete), (200, true));
    // 60 tokens are spent, so that the budget has room for one turn besides another one.
    let (one, two) = (unrecorded("t3", 250), unrecorded("t4", 250));
    let answers = futures_util::join!(one.send(other.front), two.send(other.front));
    for answer in [answers.0, answers.1] {
        assert_ne!(answer.status, 402, "{}", answer.body);
    }
}

#[actix_rt::test]
async fn a_stopping_host_answers_lookups_of_its_running_turns() {
    let site = Site::start();
    let stopping = site.start_gateway();
    let other = site.start_gateway();
    stopping.wait_until_ready().await;
    other.wait_until_ready().await;
    assert_eq!(turn("t1", 230).send(stopping.front).await.status, 200);
    let paced = BackendFaults {
        delay_ms: 300,
        ..BackendFaults::default()
    };
    site.set_endpoint_faults(MODELS, &paced).await;
    let running = turn("t2", 230).previous("t1");
    let asking = async {
        wait_until("the turn runs", async || site.run_count("t2").await > 0).await;
        stopping.signal("TERM");
        wait_until("the gateway is stopping", async || {
            !stopping.events("process-stopping").is_empty()
        })
        .await;
        // 30 tokens are spent and up to 100 are reserved, so that the budget does not
        // have room for two more turns.
        let turns = [
            turn("t3", 230).previous("t1"),
            turn("t4", 230).previous("t1"),
        ];
        let [one, two] = &turns;
        futures_util::join!(one.send(other.front), two.send(other.front))
    };
    let (running, answers) = futures_util::join!(running.send(stopping.front), asking);
    assert_eq!((running.status, running.is_complete), (200, true));
    let mut statuses = [answers.0.status, answers.1.status];
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 402]);
}

#[actix_rt::test]
async fn a_pause_does_not_reset_a_budget() {
    let site = Site::start();
    let gateway = site.start_gateway();
    gateway.wait_until_ready().await;
    assert_eq!(unrecorded("t1", 100).send(gateway.front).await.status, 200);
    assert_eq!(unrecorded("t2", 100).send(gateway.front).await.status, 402);
    // The route sets no retention, and the margin in this test is 500 ms; expired rows
    // are searched for every second.
    actix_rt::time::sleep(Duration::from_millis(3_500)).await;
    assert_eq!(unrecorded("t3", 100).send(gateway.front).await.status, 402);
}

/// A turn has ended and its settlement is in progress when the program's next turn
/// reaches another host.
#[actix_rt::test]
async fn a_turn_waits_for_a_slow_settlement() {
    let site = Site::start();
    let door = site
        .store
        .open_door(TcpListener::bind("127.0.0.1:0").unwrap())
        .unwrap();
    // The gateway sends its commits to the store itself. If it used the other gateway as
    // its batcher, its commits would not be slow.
    let slow = Gateway::start_batcher(door.address());
    let other = site.start_gateway();
    slow.wait_until_ready().await;
    other.wait_until_ready().await;
    for (attempt, host) in [("t1", &slow), ("t2", &other)] {
        assert_eq!(unrecorded(attempt, 250).send(host.front).await.status, 200);
        until_settled(host).await;
    }
    let faults = StoreFaults {
        slow_ms: 250,
        ..StoreFaults::default()
    };
    let faults = TestRequest::new(http::Method::POST, "/faults")
        .body(&serde_json::json!(faults).to_string());
    assert_eq!(faults.send(door.address()).await.status, 200);
    assert_eq!(unrecorded("t3", 250).send(slow.front).await.status, 200);
    // 90 of 250 tokens are spent, and the budget has room for another turn.
    let answer = unrecorded("t4", 250).send(other.front).await;
    assert_ne!(answer.status, 402, "{}", answer.body);
    until_settled(&slow).await;
    let answer = unrecorded("t5", 250).send(other.front).await;
    assert_eq!(answer.status, 200, "{}", answer.body);
}

/// Represents programs that call without end on many hosts. Each refusal asks the holders
/// of other turns' reservations, and reading their addresses would cost a store call for
/// each pair of hosts.
#[actix_rt::test]
async fn listed_holders_are_asked_without_a_read() {
    let site = Site::start();
    let gateways = site.start_two_ready_gateways().await;
    for gateway in &gateways {
        gateway.wait_for_peers(1).await;
    }
    let [first, second] = &gateways;
    let paced = BackendFaults {
        delay_ms: 400,
        ..BackendFaults::default()
    };
    site.set_endpoint_faults(MODELS, &paced).await;
    let front = first.front;
    let running = actix_rt::spawn(async move { unrecorded("t1", 150).send(front).await });
    wait_until("the turn runs", async || site.run_count("t1").await == 1).await;
    let reads = "store_calls_total{call=\"read\",outcome=\"done\"}";
    let before = second.metric(reads).await;
    assert_eq!(unrecorded("t2", 150).send(second.front).await.status, 402);
    // Only the ledger is read, after the holder has answered.
    assert_eq!(second.metric(reads).await, before + 1);
    // Log lines are written after responses are sent.
    wait_until("the holder was asked", async || {
        !second.events("holders-asked").is_empty()
    })
    .await;
    assert_eq!(second.events("holders-asked").len(), 1);
    assert_eq!(running.await.unwrap().status, 200);
}
