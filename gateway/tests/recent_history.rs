//! Hosts of an availability zone keep the history of programs for each other, and the store
//! is asked where they do not know it.

mod support;

use support::{Gateway, Site, TestRequest, wait_until};

const BY_KEEPER: &str = "history_reads_total{place=\"keeper\"}";
const BY_STORE: &str = "history_reads_total{place=\"store\"}";

/// Hosts that know each other.
async fn three_gateways(site: &Site) -> [Gateway; 3] {
    let gateways = [
        site.start_gateway(),
        site.start_gateway(),
        site.start_gateway(),
    ];
    for gateway in &gateways {
        gateway.wait_until_ready().await;
        gateway.wait_for_peers(2).await;
    }
    gateways
}

/// A turn that continues from the one before it.
fn turn(program: &str, number: usize) -> TestRequest {
    let ask = TestRequest::turn(&format!("{program}-t{number}"), program, "x|");
    match number {
        0 => ask,
        _ => ask.previous(&format!("{program}-t{}", number - 1)),
    }
}

async fn is_served(gateway: &Gateway, program: &str, number: usize) {
    let answer = turn(program, number).send(gateway.front).await;
    assert_eq!(
        (answer.status, answer.is_complete),
        (200, true),
        "turn {number}: {}",
        answer.body
    );
}

async fn sum(gateways: &[Gateway], metric: &str) -> u64 {
    let mut sum = 0;
    for gateway in gateways {
        sum += gateway.metric(metric).await;
    }
    sum
}

/// The pattern of a large fleet: each turn of a program comes to another host.
#[actix_rt::test]
async fn history_is_told_by_a_host_of_the_zone() {
    let site = Site::start();
    let gateways = three_gateways(&site).await;
    let kept = async |program: &str| {
        for number in 0..6 {
            is_served(&gateways[number % 3], program, number).await;
            // What is kept is told beside the answer.
            actix_rt::time::sleep(std::time::Duration::from_millis(20)).await;
        }
    };
    let tries = std::cell::Cell::new(0);
    wait_until("a program is read from no store", async || {
        let before = sum(&gateways, BY_STORE).await;
        tries.set(tries.get() + 1);
        kept(&format!("p{}", tries.get())).await;
        sum(&gateways, BY_STORE).await == before
    })
    .await;
    assert!(sum(&gateways, BY_KEEPER).await > 0);
}

#[actix_rt::test]
async fn the_prompt_of_a_turn_is_the_same_whoever_told_its_history() {
    let site = Site::start();
    let gateways = three_gateways(&site).await;
    for number in 0..6 {
        is_served(&gateways[number % 3], "p1", number).await;
    }
    let runs = site.runs(0).await;
    let bodies: Vec<&String> = (0..6)
        .map(|number| &runs[&format!("p1-t{number}")].body)
        .collect();
    for pair in bodies.windows(2) {
        assert!(pair[1].starts_with(pair[0].as_str()), "{pair:?}");
    }
}

#[actix_rt::test]
async fn the_store_tells_history_while_other_hosts_stand_still() {
    let site = Site::start();
    let gateways = three_gateways(&site).await;
    for number in 0..3 {
        is_served(&gateways[number % 3], "p1", number).await;
    }
    let [first, second, third] = &gateways;
    second.signal("STOP");
    third.signal("STOP");
    is_served(first, "p1", 3).await;
    is_served(first, "p1", 4).await;
    second.signal("CONT");
    third.signal("CONT");
    is_served(second, "p1", 5).await;
}
