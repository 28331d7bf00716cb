//! The platform over HTTP: conflicts, lost answers, outages, rates and the
//! lagging host list.

use std::{net::TcpListener, time::Duration};

use bytes::Bytes;
use rosebend_protocol::platform::{
    Action, Condition, HostList, HostState, ListedHost, Operation, Transaction,
};
use rosebend_standin::{
    platform::{FaultRequest, Outage, OutageRequest, Platform, PlatformConfig, PlatformStats},
    server::RunningServer,
};
use rosebend_transport::platform_client::{PlatformClient, PlatformError};
use serde::Serialize;
use serde_json::json;

const TIMEOUT: Duration = Duration::from_secs(10);

fn start(config: PlatformConfig) -> (RunningServer, PlatformClient) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let server = Platform::start(listener, config).unwrap();
    let client = PlatformClient::new(&server.url(), TIMEOUT);
    (server, client)
}

async fn post(server: &RunningServer, path: &str, body: &impl Serialize) -> u16 {
    let url = format!("{}{path}", server.url());
    let reply = awc::Client::default().post(url).send_json(body).await;
    reply.unwrap().status().as_u16()
}

async fn stats(server: &RunningServer) -> PlatformStats {
    let url = format!("{}/stats", server.url());
    let mut reply = awc::Client::default().get(url).send().await.unwrap();
    reply.json().await.unwrap()
}

fn put(key: &str, condition: Condition, value: u32) -> Transaction {
    let operation = Operation {
        key: key.to_owned(),
        condition,
        action: Action::Put(json!(value)),
    };
    Transaction {
        operations: vec![operation],
    }
}

#[actix_rt::test]
async fn a_conflict_names_the_first_row_that_fails_and_writes_nothing() {
    let (server, client) = start(PlatformConfig::default());
    let first = put("a", Condition::Absent, 1);
    let version = client.transact(&first).await.unwrap().version;
    let mut both = put("b", Condition::Absent, 2);
    both.operations
        .extend(put("a", Condition::Absent, 3).operations);
    let Err(PlatformError::Conflict(conflict)) = client.transact(&both).await else {
        panic!("the second row's condition must fail");
    };
    assert_eq!(
        (conflict.key.as_str(), conflict.version),
        ("a", Some(version))
    );
    let rows = client.read(vec!["a".into(), "b".into()]).await.unwrap();
    assert_eq!(rows.len(), 1);
    assert_eq!(rows[0].value, json!(1));
    server.stop().await.unwrap();
}

#[actix_rt::test]
async fn a_lost_answer_took_effect() {
    let (server, client) = start(PlatformConfig::default());
    let fault = FaultRequest {
        lose_answers: Some(1),
        ..FaultRequest::default()
    };
    assert_eq!(post(&server, "/faults", &fault).await, 200);
    let outcome = client.transact(&put("a", Condition::Absent, 7)).await;
    assert!(
        matches!(outcome, Err(PlatformError::NoAnswer(_))),
        "{outcome:?}"
    );
    let rows = client.read(vec!["a".into()]).await.unwrap();
    assert_eq!(rows[0].value, json!(7));
    let second = put("a", Condition::Version(rows[0].version), 8);
    client.transact(&second).await.unwrap();
    let stats = stats(&server).await;
    assert_eq!((stats.writes, stats.lost_answers), (2, 1));
    server.stop().await.unwrap();
}

#[actix_rt::test]
async fn an_outage_refuses_or_hangs_and_has_no_effect() {
    let (server, client) = start(PlatformConfig::default());
    let outage = |outage| FaultRequest {
        outage: Some(outage),
        ..FaultRequest::default()
    };
    let refuse = outage(OutageRequest::Named(Outage::Refuse));
    assert_eq!(post(&server, "/faults", &refuse).await, 200);
    let refused = client.transact(&put("a", Condition::Any, 1)).await;
    assert_eq!(refused, Err(PlatformError::Refused(503)));

    let hang = outage(OutageRequest::Named(Outage::Hang));
    assert_eq!(post(&server, "/faults", &hang).await, 200);
    let impatient = PlatformClient::new(&server.url(), Duration::from_millis(100));
    let hung = impatient.transact(&put("a", Condition::Any, 1)).await;
    assert!(matches!(hung, Err(PlatformError::NoAnswer(_))), "{hung:?}");

    let over = outage(OutageRequest::Switch(false));
    assert_eq!(post(&server, "/faults", &over).await, 200);
    assert!(client.read(vec!["a".into()]).await.unwrap().is_empty());
    server.stop().await.unwrap();
}

#[actix_rt::test]
async fn writes_over_the_rate_are_rejected() {
    let (server, client) = start(PlatformConfig {
        writes_per_second: 2,
        ..PlatformConfig::default()
    });
    let mut rejected = 0;
    for row in 0..20 {
        match client
            .transact(&put(&row.to_string(), Condition::Absent, row))
            .await
        {
            Ok(_) => {}
            Err(PlatformError::Refused(429)) => rejected += 1,
            other => panic!("{other:?}"),
        }
    }
    assert!(rejected > 0);
    let stats = stats(&server).await;
    assert_eq!((stats.rejected, stats.rows), (rejected, 20 - rejected));
    server.stop().await.unwrap();
}

#[actix_rt::test]
async fn objects_and_a_late_host_list_are_served() {
    let (server, client) = start(PlatformConfig {
        host_list_lag: Duration::from_millis(50),
        ..PlatformConfig::default()
    });
    assert_eq!(client.get_object("x").await, Err(PlatformError::Absent));
    client.put_object("x", Bytes::from("body")).await.unwrap();
    assert_eq!(client.get_object("x").await.unwrap(), "body");

    let list = HostList {
        hosts: vec![ListedHost {
            host: "newport-hall-1".into(),
            state: HostState::Leaving,
        }],
    };
    assert_eq!(post(&server, "/hosts", &list).await, 200);
    let mut seen = client.hosts().await.unwrap();
    for _ in 0..500 {
        if seen == list {
            break;
        }
        actix_rt::time::sleep(Duration::from_millis(10)).await;
        seen = client.hosts().await.unwrap();
    }
    assert_eq!(seen, list);
    server.stop().await.unwrap();
}
