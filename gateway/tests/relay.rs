//! A gateway that the store turns away goes on by a peer that it answers.

mod support;

use rosebend_standin::backend::BackendFaults;
use rosebend_standin::store::StoreFaults;
use support::{Site, TestRequest, wait_until};

const MODELS: usize = 0;

fn faults() -> [(&'static str, StoreFaults); 2] {
    let refuse = StoreFaults {
        refuse: true,
        ..StoreFaults::default()
    };
    let silent = StoreFaults {
        silent: true,
        ..StoreFaults::default()
    };
    [("refused", refuse), ("silent", silent)]
}

#[actix_rt::test]
async fn a_host_that_is_turned_away_serves_turns_by_a_peer() {
    for (name, faults) in faults() {
        let (site, _open_door, peer, gateway) = Site::start_with_peer().await;
        TestRequest::turn("t1", "p1", "first|")
            .send(gateway.front)
            .await;
        site.set_store_faults(&faults).await;
        wait_until("calls go by the peer", async || {
            !gateway.events("store-relayed").is_empty()
        })
        .await;
        gateway.wait_until_ready().await;
        let ask = TestRequest::turn("t2", "p1", "second|").previous("t1");
        let answer = ask.send(gateway.front).await;
        assert_eq!((answer.status, answer.is_complete), (200, true), "{name}");
        // What it recorded by the peer is there for others.
        let ask = TestRequest::turn("t3", "p1", "third|").previous("t2");
        assert_eq!(ask.send(peer.front).await.status, 200, "{name}");
        // It learns of new routes.
        site.declare_routes(5);
        wait_until("the new version is in force", async || {
            let events = gateway.events("routes-in-force");
            events.iter().any(|event| event["version"] == 5)
        })
        .await;
    }
}

#[actix_rt::test]
async fn a_turn_that_runs_while_its_host_is_turned_away_is_recorded_by_a_peer() {
    let (site, _open_door, peer, gateway) = Site::start_with_peer().await;
    let slow = BackendFaults {
        delay_ms: 100,
        ..BackendFaults::default()
    };
    site.set_endpoint_faults(MODELS, &slow).await;
    let front = gateway.front;
    let turn =
        actix_rt::spawn(async move { TestRequest::turn("t1", "p1", "x|").send(front).await });
    wait_until("the turn runs", async || site.run_count("t1").await == 1).await;
    site.set_store_faults(&StoreFaults::refusing()).await;
    let answer = turn.await.unwrap();
    assert_eq!((answer.status, answer.is_complete), (200, true));
    let ask = TestRequest::turn("t2", "p1", "y").previous("t1");
    assert_eq!(ask.send(peer.front).await.status, 200);
}

#[actix_rt::test]
async fn an_outage_of_the_whole_store_is_told_as_one_by_every_host() {
    let site = Site::start();
    let gateways = site.start_two_ready_gateways().await;
    for each in &gateways {
        each.wait_for_peers(1).await;
    }
    site.set_store_faults(&StoreFaults::refusing()).await;
    for gateway in &gateways {
        gateway.wait_until_not_ready().await;
        let answer = TestRequest::turn("t1", "p1", "x").send(gateway.front).await;
        assert_eq!(answer.status, 503);
    }
    assert_eq!(site.run_count("t1").await, 0);
}

#[actix_rt::test]
async fn calls_beyond_the_rate_are_sent_again_and_not_by_peers() {
    let (site, _open_door, _peer, gateway) = Site::start_with_peer().await;
    let throttle = StoreFaults {
        throttle: 3,
        ..StoreFaults::default()
    };
    site.set_store_faults(&throttle).await;
    let answer = TestRequest::turn("t1", "p1", "x").send(gateway.front).await;
    assert_eq!((answer.status, answer.is_complete), (200, true));
    assert!(gateway.events("store-relayed").is_empty());
}

/// The pattern of an address that a host of another site has taken: its store has other
/// rows, and takes writes that are lost for this one.
#[actix_rt::test]
async fn a_call_to_the_store_for_another_process_is_refused() {
    let (_site, gateway) = Site::start_with_gateway().await;
    let read = "/kv/rows?table=servers";
    let call = |run: Option<&str>| {
        let ask = TestRequest::get(read);
        match run {
            Some(run) => ask.header("asked-run", run),
            None => ask,
        }
    };
    let another = call(Some("gateway-0/another")).send(gateway.relay).await;
    assert_eq!(another.status, 421);
    let own = call(None).send(gateway.relay).await;
    assert_ne!(own.status, 421);
}
