//! Hosts of an availability zone cache the history of programs for each other, and read the
//! store if the caching host does not have it.

mod support;

use support::{Gateway, Site, TestRequest, wait_until};

const READS_FROM_CACHING_HOST: &str = "history_reads_total{place=\"keeper\"}";
const READS_FROM_STORE: &str = "history_reads_total{place=\"store\"}";

/// Starts three gateways and waits until each of them has the rows of the others.
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

/// Returns the request for a turn that continues from the preceding one.
fn turn(program: &str, number: usize) -> TestRequest {
    let ask = TestRequest::turn(&format!("{program}-t{number}"), program, "x|");
    match number {
        0 => ask,
        _ => ask.previous(&format!("{program}-t{}", number - 1)),
    }
}

async fn assert_served(gateway: &Gateway, program: &str, number: usize) {
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

/// Each turn of a program arrives at another host, as in a large deployment.
#[actix_rt::test]
async fn history_is_read_from_a_host_of_the_zone() {
    let site = Site::start();
    let gateways = three_gateways(&site).await;
    let serve_program = async |program: &str| {
        for number in 0..6 {
            assert_served(&gateways[number % 3], program, number).await;
            // The turn is sent to the caching host concurrently with the answer.
            actix_rt::time::sleep(std::time::Duration::from_millis(20)).await;
        }
    };
    let tries = std::cell::Cell::new(0);
    wait_until(
        "a program is served without a read of the store",
        async || {
            let before = sum(&gateways, READS_FROM_STORE).await;
            tries.set(tries.get() + 1);
            serve_program(&format!("p{}", tries.get())).await;
            sum(&gateways, READS_FROM_STORE).await == before
        },
    )
    .await;
    assert!(sum(&gateways, READS_FROM_CACHING_HOST).await > 0);
}

#[actix_rt::test]
async fn the_prompt_of_a_turn_does_not_depend_on_the_source_of_its_history() {
    let site = Site::start();
    let gateways = three_gateways(&site).await;
    for number in 0..6 {
        assert_served(&gateways[number % 3], "p1", number).await;
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
async fn history_is_read_from_the_store_while_other_hosts_are_stopped() {
    let site = Site::start();
    let gateways = three_gateways(&site).await;
    for number in 0..3 {
        assert_served(&gateways[number % 3], "p1", number).await;
    }
    let [first, second, third] = &gateways;
    second.signal("STOP");
    third.signal("STOP");
    assert_served(first, "p1", 3).await;
    assert_served(first, "p1", 4).await;
    second.signal("CONT");
    third.signal("CONT");
    assert_served(second, "p1", 5).await;
}
