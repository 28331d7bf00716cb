//! The store over HTTP, as its one client meets it: conflicts, lost answers,
//! outages, rates, partitions and objects.

use std::{net::TcpListener, time::Duration};

use bytes::Bytes;
use rosebend_standin::{
    server::RunningServer,
    store::{Store, StoreConfig, StoreFaults, StoreStats},
};
use rosebend_state::deployment::{RowId, RowRange, Transaction};
use rosebend_transport::clock::Clock;
use rosebend_transport::store::{StoreClient, StoreError, Transacted};
use serde::Serialize;

const TIMEOUT: Duration = Duration::from_secs(10);

fn start(config: StoreConfig) -> (RunningServer, StoreClient) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let server = Store::new(config).open_door(listener).unwrap();
    let client = StoreClient::new(server.address(), TIMEOUT, Clock::start());
    (server, client)
}

async fn post(server: &RunningServer, path: &str, body: &impl Serialize) -> u16 {
    let url = format!("{}{path}", server.url());
    let reply = awc::Client::default().post(url).send_json(body).await;
    reply.unwrap().status().as_u16()
}

async fn stats(server: &RunningServer) -> StoreStats {
    let url = format!("{}/stats", server.url());
    let mut reply = awc::Client::default().get(url).send().await.unwrap();
    reply.json().await.unwrap()
}

fn row(key: &str) -> RowId {
    RowId::new("table", "", key)
}

fn put(key: &str, value: &str) -> Transaction {
    Transaction::default().write(row(key), value.as_bytes().to_vec())
}

fn create(key: &str, value: &str) -> Transaction {
    put(key, value).expect_absent(row(key))
}

async fn value(client: &StoreClient, key: &str) -> Option<Vec<u8>> {
    client.read_row(&row(key)).await.unwrap()?.value
}

#[actix_rt::test]
async fn a_conflict_tells_the_rows_and_writes_nothing() {
    let (server, client) = start(StoreConfig::default());
    let applied = client.transact(&create("a", "1")).await.unwrap();
    let Transacted::Applied(version) = applied else {
        panic!("there was no such row");
    };
    let both = create("b", "2").expect_absent(row("a"));
    let Transacted::Conflict(rows) = client.transact(&both).await.unwrap() else {
        panic!("the second row's condition must fail");
    };
    assert_eq!(rows.len(), 1);
    assert_eq!((&rows[0].id, rows[0].version), (&row("a"), version));
    assert_eq!(value(&client, "a").await, Some(b"1".to_vec()));
    assert_eq!(value(&client, "b").await, None);
    let found = client.read_rows(&[row("a"), row("b")]).await.unwrap();
    assert_eq!(found.len(), 1);
    server.stop().await.unwrap();
}

#[actix_rt::test]
async fn a_lost_answer_took_effect() {
    let (server, client) = start(StoreConfig::default());
    let fault = StoreFaults {
        lose_answers: 1,
        ..StoreFaults::default()
    };
    assert_eq!(post(&server, "/faults", &fault).await, 200);
    let outcome = client.transact(&create("a", "7")).await;
    assert!(
        matches!(outcome, Err(StoreError::NoAnswer(_))),
        "{outcome:?}"
    );
    let found = client.read_row(&row("a")).await.unwrap().unwrap();
    assert_eq!(found.value, Some(b"7".to_vec()));
    let second = put("a", "8").expect(row("a"), found.version);
    let applied = client.transact(&second).await.unwrap();
    assert!(matches!(applied, Transacted::Applied(_)));
    let stats = stats(&server).await;
    assert_eq!((stats.transactions, stats.lost_answers), (2, 1));
    server.stop().await.unwrap();
}

#[actix_rt::test]
async fn an_outage_refuses_or_hangs_and_has_no_effect() {
    let (server, client) = start(StoreConfig::default());
    let refuse = StoreFaults {
        refuse: true,
        ..StoreFaults::default()
    };
    assert_eq!(post(&server, "/faults", &refuse).await, 200);
    let refused = client.transact(&put("a", "1")).await;
    assert!(matches!(refused, Err(StoreError::Refused)), "{refused:?}");

    let hang = StoreFaults {
        hang: true,
        ..StoreFaults::default()
    };
    assert_eq!(post(&server, "/faults", &hang).await, 200);
    let impatience = Duration::from_millis(100);
    let impatient = StoreClient::new(server.address(), impatience, Clock::start());
    let hung = impatient.transact(&put("a", "1")).await;
    assert!(matches!(hung, Err(StoreError::NoAnswer(_))), "{hung:?}");

    let over = StoreFaults::default();
    assert_eq!(post(&server, "/faults", &over).await, 200);
    assert_eq!(value(&client, "a").await, None);
    assert_eq!(stats(&server).await.outages, 2);
    server.stop().await.unwrap();
}

#[actix_rt::test]
async fn writes_over_a_rate_are_refused() {
    let all = StoreConfig {
        writes_per_second: 2,
        ..StoreConfig::default()
    };
    let of_a_partition = StoreConfig {
        partition_transactions_per_second: 2,
        ..StoreConfig::default()
    };
    for config in [all, of_a_partition] {
        let (server, client) = start(config);
        let mut refused = 0;
        for number in 0..20 {
            match client.transact(&create(&number.to_string(), "x")).await {
                Ok(_) => {}
                Err(StoreError::Throttled) => refused += 1,
                other => panic!("{other:?}"),
            }
        }
        assert!(refused > 0);
        let stats = stats(&server).await;
        assert_eq!((stats.throttled, stats.rows), (refused, 20 - refused));
        server.stop().await.unwrap();
    }
}

#[actix_rt::test]
async fn a_transaction_over_partitions_is_taken_whole() {
    let (server, client) = start(StoreConfig::default());
    let rows = [RowId::new("table", "p", "a"), RowId::new("table", "q", "b")];
    let [a, b] = rows.clone();
    let both = Transaction::default()
        .write(a, b"1".to_vec())
        .expect_absent(b.clone())
        .write(b, b"2".to_vec());
    assert!(matches!(
        client.transact(&both).await,
        Ok(Transacted::Applied(_))
    ));
    assert_eq!(client.read_rows(&rows).await.unwrap().len(), 2);
    let url = format!("{}/rows-parts?table=table", server.url());
    let mut reply = awc::Client::default().get(url).send().await.unwrap();
    let parts: serde_json::Value = reply.json().await.unwrap();
    assert_eq!(parts["parts"], serde_json::json!(["p", "q"]));
    server.stop().await.unwrap();
}

#[actix_rt::test]
async fn pages_join_to_the_rows_of_a_prefix() {
    let (server, client) = start(StoreConfig::default());
    for group in 0..12 {
        let mut transaction = Transaction::default();
        for number in 0..100 {
            let key = format!("p/{group:02}{number:02}");
            transaction = transaction.write(row(&key), b"x".to_vec());
        }
        client.transact(&transaction).await.unwrap();
    }
    client.transact(&put("q", "x")).await.unwrap();
    let range = RowRange::prefix("table", "", "p/");
    let rows = client.read(&range).await.unwrap().rows;
    assert_eq!(rows.len(), 1_200);
    assert!(rows.is_sorted_by(|a, b| a.id.key < b.id.key));
    let behind = range.after("p/0599");
    let some = client.read_some(&behind, 3).await.unwrap().rows;
    let keys: Vec<&str> = some.iter().map(|row| row.id.key.as_str()).collect();
    assert_eq!(keys, ["p/0600", "p/0601", "p/0602"]);
    server.stop().await.unwrap();
}

#[actix_rt::test]
async fn objects_are_created_once_listed_and_dropped() {
    let (server, _) = start(StoreConfig::default());
    let client = awc::Client::default();
    let url = |call: &str| format!("{}{call}", server.url());
    let create = || {
        let request = client.put(url("/blob-put/letters/x"));
        request.insert_header(("If-None-Match", "*"))
    };
    assert_eq!(create().send_body("body").await.unwrap().status(), 200);
    assert_eq!(create().send_body("other").await.unwrap().status(), 412);
    let mut read = client.get(url("/blob-get/letters/x")).send().await.unwrap();
    assert_eq!(read.body().await.unwrap(), Bytes::from("body"));
    let mut list = client.get(url("/blob-list?prefix=l")).send().await.unwrap();
    let names: serde_json::Value = list.json().await.unwrap();
    assert_eq!(names["names"], serde_json::json!(["letters/x"]));
    let dropped = client.delete(url("/blob-drop/letters/x")).send().await;
    assert_eq!(dropped.unwrap().status(), 200);
    let gone = client.get(url("/blob-get/letters/x")).send().await;
    assert_eq!(gone.unwrap().status(), 404);
    server.stop().await.unwrap();
}

#[actix_rt::test]
async fn a_transaction_of_more_than_a_megabyte_is_rejected() {
    let (server, client) = start(StoreConfig::default());
    let large = |bytes: usize| Transaction::default().write(row("a"), vec![0; bytes]);
    let rejected = client.transact(&large(760_000)).await;
    assert!(
        matches!(rejected, Err(StoreError::Rejected(_))),
        "{rejected:?}"
    );
    assert_eq!(value(&client, "a").await, None);
    // The store answers, and is not taken for one that does not.
    assert!(client.is_reachable());
    assert_eq!(client.unreachable_for(), Duration::ZERO);
    let applied = client.transact(&large(740_000)).await.unwrap();
    assert!(matches!(applied, Transacted::Applied(_)));
    server.stop().await.unwrap();
}
