//! Turns that need the store only for their budget are served while it is unavailable,
//! without overspending a budget.

mod support;

use std::cell::Cell;

use actix_rt::task::JoinHandle;
use http_body_util::BodyExt;
use rosebend_coordination::gateway::history::partition_of;
use rosebend_standin::backend::BackendFaults;
use rosebend_standin::store::StoreFaults;
use rosebend_transport::connection::Connection;
use support::{Gateway, Site, TestRequest, TestResponse, wait_until};

/// Index of the endpoint that runs turns.
const MODELS: usize = 0;
/// Number of escrow slots of all partitions.
const ALL_SLOTS: u64 = 32;
/// Delay of a slow store's answers in milliseconds, below the time after which a
/// gateway considers the store unreachable.
const SLOW_STORE_MS: u64 = 300;
/// Number of tokens that the stand-in endpoint generates for a turn.
const TURN_TOKENS: u64 = 30;
/// Maximum output tokens of a [`turn`].
const MAX_OUTPUT_TOKENS: u64 = 100;
/// Number of turns for which a budget of 1,000 tokens has room.
const TURNS_PER_BUDGET: u64 = (1_000 - MAX_OUTPUT_TOKENS) / TURN_TOKENS + 1;

/// Builds a turn on a route that keeps no history.
fn turn(attempt: &str, program: &str, budget_tokens: u64) -> TestRequest {
    TestRequest::turn(attempt, program, "x")
        .header("token-budget", &budget_tokens.to_string())
        .at_path("/unkept/stream/turn")
}

/// Starts two gateways that together own all slots.
async fn two_owners(site: &Site) -> [Gateway; 2] {
    let gateways = site.start_two_ready_gateways().await;
    wait_until("all slots have an owner", async || {
        let [first, second] = &gateways;
        first.metric("escrow_slots").await + second.metric("escrow_slots").await == ALL_SLOTS
    })
    .await;
    for gateway in &gateways {
        until_owners_are_known(gateway).await;
    }
    gateways
}

async fn start_outage(site: &Site, gateways: &[Gateway]) {
    site.set_store_faults(&StoreFaults::refusing()).await;
    for gateway in gateways {
        wait_until("the outage is detected", async || {
            !gateway.events("store-lost").is_empty()
        })
        .await;
        gateway.wait_until_not_ready().await;
    }
}

async fn end_outage(site: &Site, gateways: &[Gateway]) {
    site.set_store_faults(&StoreFaults::default()).await;
    for gateway in gateways {
        gateway.wait_until_ready().await;
        wait_until("all grants are in the ledgers", async || {
            gateway.metric("open_changes").await == 0
                && gateway.metric("escrow_outstanding_tokens").await == 0
        })
        .await;
    }
}

/// Sends turns to the given hosts in rotation until one is not served. Returns the number
/// of served turns and the status of the last response.
async fn spend(gateways: &[Gateway], name: &str, program: &str, budget_tokens: u64) -> (u64, u16) {
    for number in 0.. {
        let gateway = &gateways[number % gateways.len()];
        let ask = turn(&format!("{name}{number}"), program, budget_tokens);
        let answer = ask.send(gateway.front).await;
        if answer.status != 200 {
            return (number as u64, answer.status);
        }
        assert!(answer.is_complete);
    }
    unreachable!("every budget is exhausted eventually")
}

#[actix_rt::test]
async fn a_program_without_history_starts_in_an_outage() {
    let site = Site::start();
    let gateways = two_owners(&site).await;
    start_outage(&site, &gateways).await;
    let (in_outage, status) = spend(&gateways, "a", "p1", 1_000).await;
    // Two slots grant a quarter of the budget each, and a turn starts only if half of its
    // maximum output tokens is left in a slot's share.
    assert_eq!((in_outage, status), (14, 503));
    let refused = TestRequest::turn("h1", "p2", "x")
        .send(gateways[0].front)
        .await;
    assert_eq!(refused.status, 503, "its history needs the store");
    assert!(refused.retry_after_s().is_some());
    end_outage(&site, &gateways).await;
    let (after, status) = spend(&gateways, "b", "p1", 1_000).await;
    let turns = (1_000 - MAX_OUTPUT_TOKENS) / TURN_TOKENS + 1;
    assert_eq!((in_outage + after, status), (turns, 402));
}

/// Guards against a store that answers late and holds back the first event of every
/// turn, although its budget could be granted from escrow. The budget must be counted
/// exactly once, because the late reservation takes effect as well.
#[actix_rt::test]
async fn a_turn_without_history_does_not_wait_for_a_late_reservation() {
    let site = Site::start();
    let gateways = two_owners(&site).await;
    let slow_store = StoreFaults {
        slow_ms: SLOW_STORE_MS,
        ..StoreFaults::default()
    };
    site.set_store_faults(&slow_store).await;
    let answer = turn("a0", "p1", 1_000).send(gateways[0].front).await;
    assert_eq!((answer.status, answer.is_complete), (200, true));
    let open_changes = gateways[0].metric("open_changes").await;
    assert!(open_changes > 0, "the reservation is not durable yet");
    let granted = "escrow_replies_total{reason=\"granted\"}";
    assert_eq!(gateways[0].metric(granted).await, 1);
    end_outage(&site, &gateways).await;
    let (after, status) = spend(&gateways, "b", "p1", 1_000).await;
    assert_eq!((1 + after, status), (TURNS_PER_BUDGET, 402));
}

/// Guards against an answer that is cut because its grant can't be extended, although the
/// reservation that was late covers it.
#[actix_rt::test]
async fn a_grant_that_is_not_extended_is_replaced_by_the_reservation() {
    let site = Site::start();
    let gateways = two_owners(&site).await;
    // Nine events are 90 tokens; a slot grants a quarter of the budget, 75.
    let long_answer = BackendFaults {
        events: 9,
        ..BackendFaults::default()
    };
    site.set_endpoint_faults(MODELS, &long_answer).await;
    let slow_store = StoreFaults {
        slow_ms: SLOW_STORE_MS,
        ..StoreFaults::default()
    };
    site.set_store_faults(&slow_store).await;
    let answer = turn("a0", "p1", 300).send(gateways[0].front).await;
    assert_eq!((answer.status, answer.is_complete), (200, true));
    let granted = "escrow_replies_total{reason=\"granted\"}";
    assert!(gateways[0].metric(granted).await > 0);
    let refused = "escrow_replies_total{reason=\"refused\"}";
    assert!(gateways[0].metric(refused).await > 0);
    end_outage(&site, &gateways).await;
    site.set_endpoint_faults(MODELS, &BackendFaults::default())
        .await;
    let (after, status) = spend(&gateways, "b", "p1", 300).await;
    // 90 tokens are spent; a turn needs room for its maximum of 100.
    let expected = (300 - 90 - MAX_OUTPUT_TOKENS) / TURN_TOKENS + 1;
    assert_eq!((after, status), (expected, 402));
}

/// Sets the pace and the length of the answers of the model endpoint.
async fn set_answers(site: &Site, delay_ms: u64, events: u64) {
    let faults = BackendFaults {
        delay_ms,
        events,
        ..BackendFaults::default()
    };
    site.set_endpoint_faults(MODELS, &faults).await;
}

async fn set_slow_store(site: &Site) {
    let slow_store = StoreFaults {
        slow_ms: SLOW_STORE_MS,
        ..StoreFaults::default()
    };
    site.set_store_faults(&slow_store).await;
}

/// Sends a turn and waits until an endpoint runs it. Returns a handle to its answer.
async fn start_turn(site: &Site, gateway: &Gateway, turn: TestRequest) -> JoinHandle<TestResponse> {
    let front = gateway.front;
    let attempt = turn.attempt_id().to_owned();
    let answer = actix_rt::spawn(async move { turn.send(front).await });
    wait_until("the turn runs", async || {
        site.run_count(&attempt).await == 1
    })
    .await;
    answer
}

/// Starts a turn of another program in the partition of `program`, and waits until its
/// reservation is in flight. The reservations of later turns wait for it, so that they are late
/// even if they are rejected.
async fn block_partition(gateway: &Gateway, program: &str) -> JoinHandle<TestResponse> {
    let mut names = (0..).map(|number| format!("other-{number}"));
    let other = names.find(|other| partition_of(other) == partition_of(program));
    let turn = turn("blocking", &other.unwrap(), 1_000);
    let front = gateway.front;
    let answer = actix_rt::spawn(async move { turn.send(front).await });
    wait_until("the reservation is in flight", async || {
        gateway.metric("open_changes").await > 0
    })
    .await;
    answer
}

/// Waits for an answer of nine events, which are 90 tokens, and checks that it is whole.
async fn assert_whole(answer: JoinHandle<TestResponse>) {
    let answer = answer.await.unwrap();
    assert_eq!((answer.status, answer.is_complete), (200, true));
    assert_eq!(answer.body.matches("data: ").count(), 9);
}

/// Guards against an answer that is cut because its turn began in an outage, without a
/// reservation, and its grant can't be extended.
#[actix_rt::test]
async fn a_turn_that_began_in_an_outage_is_whole_after_it() {
    let site = Site::with_long_timeouts();
    let gateways = two_owners(&site).await;
    set_answers(&site, 60, 9).await;
    start_outage(&site, &gateways).await;
    // A slot grants a quarter of the budget, 75 tokens.
    let answer = start_turn(&site, &gateways[0], turn("a0", "p1", 300)).await;
    site.set_store_faults(&StoreFaults::default()).await;
    assert_whole(answer).await;
    end_outage(&site, &gateways).await;
    set_answers(&site, 0, 3).await;
    let (after, status) = spend(&gateways, "b", "p1", 300).await;
    let expected = (300 - 90 - MAX_OUTPUT_TOKENS) / TURN_TOKENS + 1;
    assert_eq!((after, status), (expected, 402));
}

/// Guards against an answer that is cut because its late reservation does not fit beside the
/// shares of the program's slots, and its grant can't be extended.
#[actix_rt::test]
async fn a_turn_on_a_grant_is_whole_although_its_late_reservation_does_not_fit() {
    let site = Site::with_long_timeouts();
    let gateways = two_owners(&site).await;
    for number in 0..2 {
        let turn = turn(&format!("a{number}"), "p1", 300);
        assert_eq!(turn.send(gateways[0].front).await.status, 200);
    }
    end_outage(&site, &gateways).await;
    set_answers(&site, 40, 9).await;
    set_slow_store(&site).await;
    let blocking = block_partition(&gateways[0], "p1").await;
    // 60 tokens are spent, and the two slots have 75 each: a reservation of 100 does not fit.
    let answer = start_turn(&site, &gateways[0], turn("a2", "p1", 300)).await;
    assert_whole(answer).await;
    assert_whole(blocking).await;
    end_outage(&site, &gateways).await;
    set_answers(&site, 0, 3).await;
    let (after, status) = spend(&gateways, "b", "p1", 300).await;
    let expected = (300 - 60 - 90 - MAX_OUTPUT_TOKENS) / TURN_TOKENS + 1;
    assert_eq!((after, status), (expected, 402));
}

/// Guards against an answer that is cut because another turn of its program needed the shares
/// of the slots, so that their owners closed them for the program.
#[actix_rt::test]
async fn a_turn_on_a_grant_is_whole_after_its_slots_were_closed() {
    let site = Site::with_long_timeouts();
    let gateways = two_owners(&site).await;
    for number in 0..6 {
        let turn = turn(&format!("a{number}"), "p1", 500);
        assert_eq!(turn.send(gateways[0].front).await.status, 200);
    }
    end_outage(&site, &gateways).await;
    set_answers(&site, 150, 9).await;
    set_slow_store(&site).await;
    let blocking = block_partition(&gateways[0], "p1").await;
    // 180 tokens are spent, and the two slots have 125 each: a reservation of 100 does not fit.
    let first = start_turn(&site, &gateways[0], turn("b0", "p1", 500)).await;
    wait_until("the reservation is rejected", async || {
        gateways[0].metric("open_changes").await == 0
    })
    .await;
    // It is refused as long as the owner of the other slot does not answer in time.
    let tries = Cell::new(0);
    wait_until("the second turn is served", async || {
        tries.set(tries.get() + 1);
        let second = turn(&format!("b1-{}", tries.get()), "p1", 500);
        second.send(gateways[0].front).await.status == 200
    })
    .await;
    assert_whole(first).await;
    assert_whole(blocking).await;
}

/// Guards against an answer that is cut because running turns have reserved the rest of the
/// budget, although they settle for less.
#[actix_rt::test]
async fn a_turn_on_a_grant_waits_for_running_turns_that_reserved_the_rest() {
    let site = Site::with_long_timeouts();
    let gateways = two_owners(&site).await;
    let first = turn("a0", "p1", 310).send(gateways[0].front).await;
    assert_eq!(first.status, 200);
    end_outage(&site, &gateways).await;
    set_answers(&site, 600, 9).await;
    start_outage(&site, &gateways).await;
    let granted = start_turn(&site, &gateways[0], turn("a1", "p1", 310)).await;
    site.set_store_faults(&StoreFaults::default()).await;
    gateways[1].wait_until_ready().await;
    // 30 tokens are spent. With these two, 230 are spent or reserved, and the slot of the turn
    // on the grant withholds a share of 77.
    let second = start_turn(&site, &gateways[1], turn("a2", "p1", 310)).await;
    let third = start_turn(&site, &gateways[1], turn("a3", "p1", 310)).await;
    assert_whole(granted).await;
    assert_whole(second).await;
    assert_whole(third).await;
}

/// Guards against an answer that is cut because the owner of its turn's slot stops as planned.
#[actix_rt::test]
async fn a_turn_on_a_grant_is_whole_after_the_owners_of_its_slots_stopped() {
    let site = Site::with_long_timeouts();
    let owners = two_owners(&site).await;
    let host = site.start_ready_gateway().await;
    until_owners_are_known(&host).await;
    let [first, second] = owners;
    let gateways = [first, second, host];
    set_answers(&site, 1_000, 7).await;
    start_outage(&site, &gateways).await;
    let [first, second, host] = gateways;
    let mut connection = Connection::open(host.front).await.unwrap();
    let response = connection.send(turn("a0", "p1", 1_000).request()).await;
    let mut body = response.unwrap().into_body();
    // The next owner of the slots learns late that it owns them.
    set_slow_store(&site).await;
    // The first grant covers five events.
    let mut received = String::new();
    while received.matches("data: ").count() < 5 {
        let frame = body.frame().await.unwrap().unwrap();
        received.push_str(str::from_utf8(frame.data_ref().unwrap()).unwrap());
    }
    for owner in [&first, &second] {
        owner.wait_until_ready().await;
        owner.signal("TERM");
    }
    let rest = body.collect().await.unwrap().to_bytes();
    received.push_str(str::from_utf8(&rest).unwrap());
    assert_eq!(received.matches("data: ").count(), 7);
    for mut owner in [first, second] {
        assert_eq!(owner.exit_code().await, Some(0));
    }
}

#[actix_rt::test]
async fn a_small_budget_waits_for_the_store() {
    let site = Site::start();
    let gateways = two_owners(&site).await;
    start_outage(&site, &gateways).await;
    let (in_outage, status) = spend(&gateways, "a", "p1", 200).await;
    assert_eq!((in_outage, status), (0, 503));
    assert_eq!(site.run_count("a0").await, 0);
}

#[actix_rt::test]
async fn a_crash_of_all_hosts_in_an_outage_overspends_no_budget() {
    let site = Site::start();
    let mut gateways = two_owners(&site).await;
    start_outage(&site, &gateways).await;
    let (in_outage, _) = spend(&gateways, "a", "p1", 400).await;
    assert!(in_outage > 0);
    for gateway in &mut gateways {
        gateway.kill();
    }
    site.set_store_faults(&StoreFaults::default()).await;
    let gateways = site.start_two_ready_gateways().await;
    let (after, status) = spend(&gateways, "b", "p1", 400).await;
    // The dead hosts may have granted all of their shares, of which one turn's maximum
    // output tokens are written off. Whether the budget has room for more is unknown.
    assert_eq!(status, 503);
    assert!((in_outage + after) * TURN_TOKENS <= 400 + MAX_OUTPUT_TOKENS);
}

/// Kills hosts that hold off and have no turn to settle, and starts their next processes.
async fn kill_all_and_restart(
    site: &Site,
    hosts: &[String; 2],
    gateways: [Gateway; 2],
) -> [Gateway; 2] {
    for gateway in &gateways {
        wait_until(
            "all turns are settled and the owner holds off",
            async || {
                gateway.metric("open_changes").await == 0
                    && gateway.metric("escrow_held_off_ms").await > 0
            },
        )
        .await;
    }
    drop(gateways);
    let gateways = hosts
        .each_ref()
        .map(|host| Gateway::start_holding_off(host, site.store_listener.address()));
    for gateway in &gateways {
        gateway.wait_until_ready().await;
    }
    wait_until("all slots have an owner again", async || {
        let [first, second] = &gateways;
        first.metric("escrow_slots").await + second.metric("escrow_slots").await == ALL_SLOTS
    })
    .await;
    for gateway in &gateways {
        until_owners_are_known(gateway).await;
    }
    gateways
}

/// Waits until a host knows the owners of all slots; its table may still list earlier
/// processes. A program that spends its whole budget at the host needs both owners of its
/// slots.
async fn until_owners_are_known(gateway: &Gateway) {
    let tries = Cell::new(0);
    wait_until("the owners are known", async || {
        tries.set(tries.get() + 1);
        let program = format!("known-to-{}-{}", gateway.front.port(), tries.get());
        let (served, _) = spend(std::slice::from_ref(gateway), &program, &program, 1_000).await;
        served == TURNS_PER_BUDGET
    })
    .await;
}

/// Starts two gateways with fixed host names that together own all slots.
async fn two_named_owners(site: &Site) -> ([String; 2], [Gateway; 2]) {
    let hosts = [Gateway::new_host_name(), Gateway::new_host_name()];
    let gateways = hosts
        .each_ref()
        .map(|host| Gateway::start_holding_off(host, site.store_listener.address()));
    for gateway in &gateways {
        until_owners_are_known(gateway).await;
    }
    (hosts, gateways)
}

#[actix_rt::test]
async fn crashes_of_all_hosts_with_the_store_available_lose_no_budget() {
    let site = Site::start();
    let (hosts, mut gateways) = two_named_owners(&site).await;
    let mut served = 0;
    for round in 0..2 {
        for turn_number in 0..8 {
            let attempt = format!("a{round}-{turn_number}");
            let front = gateways[turn_number % 2].front;
            let answer = turn(&attempt, "p1", 1_000).send(front).await;
            assert_eq!(answer.status, 200, "{attempt}");
            served += 1;
        }
        gateways = kill_all_and_restart(&site, &hosts, gateways).await;
    }
    let (after, status) = spend(&gateways, "b", "p1", 1_000).await;
    assert_eq!((served + after, status), (TURNS_PER_BUDGET, 402));
}

/// Guards against a program with budget left that no host serves any more because all
/// owners of its escrow slots were killed while the store was available.
#[actix_rt::test]
async fn a_program_resumes_after_all_owners_of_its_slots_were_killed() {
    let site = Site::start();
    let store = site.store_listener.address();
    let hosts = [Gateway::new_host_name(), Gateway::new_host_name()];
    let start = || {
        hosts
            .each_ref()
            .map(|host| Gateway::start_on(host, store, true))
    };
    let gateways = start();
    for gateway in &gateways {
        until_owners_are_known(gateway).await;
    }
    // A turn that does not fit beside the slots' shares would close them for the program, so
    // each one is settled before the next.
    for number in 0..4 {
        let gateway = &gateways[number % 2];
        let next = turn(&format!("a{number}"), "p1", 400);
        assert_eq!(next.send(gateway.front).await.status, 200, "turn {number}");
        wait_until("the turn is settled", async || {
            gateway.metric("open_changes").await == 0
        })
        .await;
    }
    drop(gateways);
    let gateways = start();
    for gateway in &gateways {
        gateway.wait_until_ready().await;
    }
    let (tries, served) = (Cell::new(0), Cell::new(4));
    wait_until("the budget is spent", async || {
        tries.set(tries.get() + 1);
        let (further, status) = spend(&gateways, &format!("b{}-", tries.get()), "p1", 400).await;
        served.set(served.get() + further);
        status == 402
    })
    .await;
    assert_eq!(served.get(), (400 - MAX_OUTPUT_TOKENS) / TURN_TOKENS + 1);
}

#[actix_rt::test]
async fn turns_are_served_in_an_outage_soon_after_a_crash_of_all_hosts() {
    let site = Site::start();
    let (hosts, gateways) = two_named_owners(&site).await;
    let gateways = kill_all_and_restart(&site, &hosts, gateways).await;
    start_outage(&site, &gateways).await;
    let (in_outage, status) = spend(&gateways, "a", "p1", 1_000).await;
    assert_eq!((in_outage, status), (14, 503));
}

#[actix_rt::test]
async fn a_host_that_stops_in_an_outage_hands_its_slots_over() {
    let site = Site::start();
    let mut gateways = two_owners(&site).await;
    start_outage(&site, &gateways).await;
    let (in_outage, _) = spend(&gateways, "a", "p1", 400).await;
    let [first, second] = &mut gateways;
    first.signal("TERM");
    assert_eq!(first.exit_code().await, Some(0));
    assert_eq!(second.metric("escrow_slots").await, ALL_SLOTS);
    let served = turn("b", "p2", 400).send(second.front).await;
    assert_eq!(served.status, 200, "{}", served.body);
    // The second host has received the grants that the first one had made.
    let spent = turn("c", "p1", 400).send(second.front).await;
    assert_eq!(spent.status, 503);
    site.set_store_faults(&StoreFaults::default()).await;
    second.wait_until_ready().await;
    wait_until(
        "the grants of the remaining host are in the ledgers",
        async || second.metric("open_changes").await == 0,
    )
    .await;
    let (after, status) = spend(std::slice::from_ref(second), "d", "p1", 400).await;
    let turns = (400 - MAX_OUTPUT_TOKENS) / TURN_TOKENS + 1;
    assert!(
        (in_outage + after) <= turns,
        "{in_outage} and {after}, then {status}"
    );
}

#[actix_rt::test]
async fn a_planned_stop_transfers_the_slots() {
    let site = Site::start();
    let mut gateways = two_owners(&site).await;
    let [first, second] = &mut gateways;
    first.signal("TERM");
    wait_until("the other host owns all slots", async || {
        second.metric("escrow_slots").await == ALL_SLOTS
    })
    .await;
    assert_eq!(first.exit_code().await, Some(0));
}
