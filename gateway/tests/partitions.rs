//! The store refuses one partition and serves the others: only requests of programs in the
//! refused partition fail.

mod support;

use rosebend_coordination::gateway::history::partition_of;
use rosebend_standin::store::StoreFaults;
use support::{Gateway, Site, TestRequest, wait_until};

/// Returns the names of two programs in different partitions.
fn programs() -> (String, String) {
    let mut names = (0..).map(|number| format!("p{number}"));
    let first = names.next().unwrap();
    let other = names.find(|name| partition_of(name) != partition_of(&first));
    (first, other.unwrap())
}

fn refusing(partition: &str) -> StoreFaults {
    StoreFaults {
        refuse_partition: partition.to_owned(),
        ..StoreFaults::default()
    }
}

/// Sends turns of a program one after another and returns the statuses of the answers.
async fn send_turns(gateways: &[Gateway], program: &str, name: &str, count: usize) -> Vec<u16> {
    let mut statuses = Vec::new();
    for number in 0..count {
        let ask = TestRequest::turn(&format!("{name}{number}"), program, "x")
            .header("token-budget", "1000000");
        let front = gateways[number % gateways.len()].front;
        statuses.push(ask.send(front).await.status);
    }
    statuses
}

/// Sends a turn to a host that has not tried the refused partition yet. Since a turn runs
/// while its reservation is in flight, this one may run before the refusal is known.
async fn trigger_refusal(gateway: &Gateway, program: &str) {
    let ask = TestRequest::turn("first", program, "x").header("deadline-ms", "200");
    let status = ask.send(gateway.front).await.status;
    assert!([502, 503, 504].contains(&status), "{status}");
}

#[actix_rt::test]
async fn a_refused_partition_affects_only_its_own_programs() {
    let site = Site::start();
    let gateways = site.start_two_ready_gateways().await;
    for gateway in &gateways {
        gateway.wait_for_peers(1).await;
    }
    let (refused, other) = programs();
    assert_eq!(send_turns(&gateways, &refused, "a", 2).await, [200, 200]);
    site.set_store_faults(&refusing(&partition_of(&refused)))
        .await;
    for gateway in &gateways {
        trigger_refusal(gateway, &refused).await;
    }
    for round in 0..6 {
        let statuses = send_turns(&gateways, &refused, &format!("r{round}-"), 2).await;
        assert_eq!(statuses, [503, 503]);
        let statuses = send_turns(&gateways, &other, &format!("o{round}-"), 6).await;
        assert_eq!(statuses, [200; 6]);
    }
    for gateway in &gateways {
        assert!(gateway.is_ready().await);
        assert!(gateway.events("store-lost").is_empty());
        assert!(gateway.events("gatherer-avoided").is_empty());
    }
    site.set_store_faults(&StoreFaults::default()).await;
    wait_until("the partition is served again", async || {
        send_turns(&gateways, &refused, "b", 2).await == [200, 200]
    })
    .await;
}

#[actix_rt::test]
async fn answers_for_a_refused_partition_contain_a_retry_time() {
    let (site, gateway) = Site::start_with_gateway().await;
    let (refused, _) = programs();
    site.set_store_faults(&refusing(&partition_of(&refused)))
        .await;
    trigger_refusal(&gateway, &refused).await;
    let ask = TestRequest::turn("t1", &refused, "x");
    for _ in 0..2 {
        let answer = ask.send(gateway.front).await;
        assert_eq!(answer.status, 503);
        assert!(answer.retry_after_s().unwrap() >= 0.25);
        assert!(answer.body.contains("store-unreachable"), "{}", answer.body);
    }
    assert_eq!(site.run_count("t1").await, 0);
}
