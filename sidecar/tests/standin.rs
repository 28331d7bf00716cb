//! A sidecar before the stand-ins of an engine, a service and the platform.

mod support;

use std::{net::TcpListener, time::Duration};

use awc::Client as HttpClient;
use rosebend_protocol::{
    peer::{Fence, HoldsRequest, OrderReply, OrderRequest, RefusalReason},
    table::{row_id, shard_key},
};
use rosebend_standin::{
    engine::{Engine, EngineConfig, OrderList},
    server::RunningServer,
    service::{Service, ServiceConfig},
    store::Store,
};
use rosebend_state::deployment::Transaction;
use rosebend_transport::clock::Clock;
use rosebend_transport::store::StoreClient;
use serde_json::{Value, json};
use support::{Client, TestSidecar, dispatch, fence, incarnation, model_call, tool_call};

const CALL: &str = "caribmar/renewal-17#1";
const PROGRAM: &str = "caribmar/renewal-17";

fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

fn engine() -> RunningServer {
    let config = EngineConfig {
        token_time: Duration::from_millis(1),
        order_time: Duration::from_millis(10),
        ..EngineConfig::default()
    };
    Engine::start(listener(), config).unwrap()
}

async fn get(server: &RunningServer, path: &str) -> Value {
    let url = format!("http://{}/{path}", server.address());
    let mut reply = HttpClient::default().get(url).send().await.unwrap();
    reply.json().await.unwrap()
}

async fn set_faults(server: &RunningServer, faults: Value) {
    let url = format!("http://{}/faults", server.address());
    let sent = HttpClient::default().post(url).send_json(&faults);
    assert_eq!(sent.await.unwrap().status().as_u16(), 200);
}

fn chat(run: &str) -> rosebend_protocol::peer::DispatchRequest {
    let mut call = model_call(CALL, run, 40);
    let message = json!({"role": "user", "content": "Draft the endorsement letter."});
    let body = json!({"model": "agent-llm", "messages": [message], "max_tokens": 40});
    call.body = body.to_string().into();
    call
}

#[actix_rt::test]
async fn an_answer_that_the_engine_cuts_is_whole() {
    let engine = engine();
    let sidecar = TestSidecar::start("engine", engine.address(), "");
    let mut client = sidecar.client().await;
    let run = incarnation(&mut client).await;
    set_faults(&engine, json!({"cut_next": 1})).await;

    let told = dispatch(&mut client, chat(&run)).await;
    let finished = told.finished.unwrap();
    assert_eq!(finished.answer_tokens, 40);
    assert!(finished.prompt_tokens > 0);
    assert_eq!(told.offsets, (0..finished.parts).collect::<Vec<_>>());
    let whole = told.parts.concat();
    assert_eq!(finished.digest, rosebend_util::digest_hex(whole.as_bytes()));
    assert_eq!(finished.load.unwrap().running, 0);
    let texts = told.parts.iter().map(|part| {
        let chunk: Value = serde_json::from_str(part).unwrap();
        chunk["choices"][0]["delta"]["content"].clone()
    });
    assert_eq!(texts.filter(Value::is_string).count(), 40);
}

#[actix_rt::test]
async fn a_held_cache_is_kept_under_its_lease_and_then_freed() {
    let engine = engine();
    let sidecar = TestSidecar::start("engine", engine.address(), "");
    let mut client = sidecar.client().await;
    let run = incarnation(&mut client).await;
    let mut call = chat(&run);
    call.hold_kv = true;
    assert!(dispatch(&mut client, call).await.finished.is_some());
    let held = get(&engine, "kv").await;
    assert_eq!(held["holds"][0]["name"], PROGRAM);

    let request = HoldsRequest {
        fences: fence(1).into_iter().collect(),
        programs: Vec::new(),
        lease_ms: 10_000,
    };
    let reply = client.holds(request).await.unwrap().into_inner();
    assert_eq!(reply.freed, 1);
    while get(&engine, "kv").await["holds"] != json!([]) {
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
}

#[actix_rt::test]
async fn a_tool_has_its_effect_once() {
    let service = Service::start(listener(), ServiceConfig::default()).unwrap();
    let sidecar = TestSidecar::start("service", service.address(), "");
    let mut client = sidecar.client().await;
    let run = incarnation(&mut client).await;
    for _ in 0..3 {
        let told = dispatch(&mut client, tool_call(CALL, &run)).await;
        let answer: Value = serde_json::from_str(&told.parts[0]).unwrap();
        assert_eq!(
            (answer["tool"].clone(), answer["effect"].clone()),
            ("fee".into(), 1.into())
        );
    }
}

async fn set_epoch(store: &StoreClient, epoch: u64) {
    let value = json!({"owner": "entry-1", "incarnation": "x", "epoch": epoch, "write_id": 1});
    let value = serde_json::to_vec(&value).unwrap();
    let transaction = Transaction::default().write(row_id(shard_key(0)), value);
    store.transact(&transaction).await.unwrap();
}

async fn order(client: &mut Client, id: &str, epoch: u64) -> OrderReply {
    let request = OrderRequest {
        fence: Some(Fence { shard: 0, epoch }),
        order_id: id.to_owned(),
        kind: "load".to_owned(),
        target: "agent-llm".to_owned(),
    };
    client.order(request).await.unwrap().into_inner()
}

#[actix_rt::test]
async fn an_engine_that_ignores_fences_gets_each_order_once_from_the_newest_owner() {
    let engine = engine();
    let platform = Store::default().open_door(listener()).unwrap();
    let address = platform.address().to_string();
    let table = StoreClient::new(platform.address(), Duration::from_secs(1), Clock::start());
    set_epoch(&table, 4).await;
    let start = || TestSidecar::start_with_platform("engine", engine.address(), "", &address);
    let sidecar = start();
    let mut client = sidecar.client().await;
    for _ in 0..2 {
        assert!(order(&mut client, "a", 4).await.done);
    }

    // The next owner has never spoken to this sidecar, nor to a restarted one.
    set_epoch(&table, 5).await;
    let restarted = start();
    let mut restarted = restarted.client().await;
    for client in [&mut client, &mut restarted] {
        let reply = order(client, "b", 4).await;
        assert!(!reply.done);
        let refusal = reply.refusal.unwrap();
        assert_eq!(
            (refusal.reason(), refusal.epoch),
            (RefusalReason::StaleEpoch, 5)
        );
    }
    assert!(order(&mut restarted, "c", 5).await.done);

    // Without the table nobody knows the owner, so that no order is taken.
    platform.stop().await.unwrap();
    assert!(!order(&mut restarted, "d", 5).await.done);
    let list: OrderList = serde_json::from_value(get(&engine, "orders").await).unwrap();
    let done: Vec<_> = list
        .orders
        .iter()
        .map(|order| order.order_id.as_str())
        .collect();
    assert_eq!(done, ["a", "c"]);
}
