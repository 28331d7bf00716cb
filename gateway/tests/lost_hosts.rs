//! Rows of hosts that were lost for good are deleted from the table of hosts, and those of
//! hosts that run are not.

mod support;

use support::{Gateway, Site, TestRequest, wait_until};

/// Starts gateways that delete the rows of hosts which do not respond for 1.2 s, and waits
/// until each of them has discovered the others.
async fn start(count: usize) -> (Site, Vec<Gateway>) {
    let mut site = Site::start();
    site.gateway_settings = "host_expiry_ms = 1200\n".to_owned();
    let gateways: Vec<Gateway> = (0..count).map(|_| site.start_gateway()).collect();
    for gateway in &gateways {
        gateway.wait_until_ready().await;
        gateway.wait_for_peers(count - 1).await;
    }
    (site, gateways)
}

/// Guards against lists of hosts that count those which are gone, among which limits are
/// divided and work is distributed.
#[actix_rt::test]
async fn rows_of_lost_hosts_are_deleted() {
    let (_site, mut gateways) = start(5).await;
    gateways[2..].iter_mut().for_each(Gateway::kill);
    for gateway in &gateways[..2] {
        gateway.wait_for_peers(1).await;
    }
    for gateway in &gateways[..2] {
        let ask = TestRequest::turn("t1", "p1", "first|");
        assert_eq!(ask.send(gateway.front).await.status, 200);
    }
}

/// A host that was suspended for longer runs on afterwards, and is listed again.
#[actix_rt::test]
async fn a_host_whose_row_was_deleted_writes_it_again() {
    let (_site, gateways) = start(3).await;
    gateways[0].signal("STOP");
    for gateway in &gateways[1..] {
        gateway.wait_for_peers(1).await;
    }
    gateways[0].signal("CONT");
    for gateway in &gateways {
        gateway.wait_for_peers(2).await;
    }
    wait_until("the host serves callers", async || {
        let ask = TestRequest::turn("t1", "p1", "first|");
        ask.send(gateways[0].front).await.status == 200
    })
    .await;
}

/// Guards against a host that deletes all rows because no host responds to it.
#[actix_rt::test]
async fn the_only_host_that_is_left_deletes_no_rows() {
    let (_site, mut gateways) = start(3).await;
    gateways[1..].iter_mut().for_each(Gateway::kill);
    actix_rt::time::sleep(std::time::Duration::from_secs(4)).await;
    gateways[0].wait_for_peers(2).await;
    assert_eq!(gateways[0].events("host-expired").len(), 0);
}
