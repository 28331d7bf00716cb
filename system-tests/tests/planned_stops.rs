//! Planned stops under load cut no request, and a rolling restart of every
//! process loses and doubles nothing.

use std::net::SocketAddr;
use std::time::Duration;

use rosebend_system_tests::{
    Call, Cluster, ClusterConfig, Signal,
    load::{Load, Report},
    settings::token,
    settle,
    sse::{StreamEnd, join_parts},
    wait_until,
};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Between the balancer's last request to an entry and the entry's stop.
const BALANCER_WAIT: Duration = Duration::from_millis(200);
const PROGRAMS: usize = 12;

async fn check(cluster: &Cluster, reports: &[Report]) {
    for report in reports {
        assert!(
            report.cut.is_empty(),
            "{}: {:#?}",
            report.session,
            report.cut
        );
        assert!(report.answered.len() > 3, "{report:?}");
        for key in report.answered.iter().flatten() {
            assert_eq!(cluster.effects_of(key).await.unwrap(), 1, "{key}");
        }
    }
    let mut effects = 0;
    for service in cluster.services() {
        let keys = service.effects().await.unwrap().keys;
        effects += keys.keys().filter(|key| key.starts_with("load-")).count();
    }
    let fees = reports
        .iter()
        .flat_map(|report| report.answered.iter().flatten());
    assert_eq!(effects, fees.count());
}

/// Stops an entry as an operator would, and starts it again.
async fn replace_entry(cluster: &mut Cluster, load: &Load, number: usize) {
    let address = cluster.entry(number);
    load.balancer.remove(address);
    actix_rt::time::sleep(BALANCER_WAIT).await;
    let process = &mut cluster.entries[number].process;
    let status = process.end(Signal::Terminate).await.unwrap();
    assert!(status.success(), "{}: {status}", process.name());
    process.restart().unwrap();
    cluster.wait_ready().await.unwrap();
    load.balancer.add(address);
}

/// Stops a sidecar and starts it again.
async fn replace_sidecar(cluster: &mut Cluster, number: usize) {
    let process = &mut cluster.endpoints[number].sidecar;
    let status = process.end(Signal::Terminate).await.unwrap();
    assert!(status.success(), "{}: {status}", process.name());
    process.restart().unwrap();
    cluster.wait_ready().await.unwrap();
}

/// Waits until the engines have done more work, so that stops happen under
/// load.
async fn wait_for_load(cluster: &Cluster) {
    let answered = async || {
        let mut tokens = 0;
        for engine in cluster.engines() {
            tokens += engine.engine_stats().await.ok()?.answer_tokens;
        }
        Some(tokens)
    };
    let before = answered().await.unwrap();
    wait_until("load", || async {
        let now = answered().await?;
        (now > before + 20 * PROGRAMS as u64).then_some(())
    })
    .await
    .unwrap();
}

#[actix_rt::test]
async fn a_rolling_restart_of_all_entries_cuts_no_request() {
    let mut cluster = Cluster::start(ClusterConfig::default()).await.unwrap();
    let load = Load::start(&cluster, PROGRAMS);
    for number in 0..3 {
        wait_for_load(&cluster).await;
        replace_entry(&mut cluster, &load, number).await;
    }
    wait_for_load(&cluster).await;
    let reports = load.finish().await.unwrap();
    check(&cluster, &reports).await;
}

#[actix_rt::test]
async fn a_rolling_restart_of_all_sidecars_cuts_no_request() {
    let mut cluster = Cluster::start(ClusterConfig::default()).await.unwrap();
    let load = Load::start(&cluster, PROGRAMS);
    for number in 0..cluster.endpoints.len() {
        wait_for_load(&cluster).await;
        replace_sidecar(&mut cluster, number).await;
    }
    wait_for_load(&cluster).await;
    let reports = load.finish().await.unwrap();
    check(&cluster, &reports).await;
}

#[actix_rt::test]
async fn an_entry_and_a_sidecar_that_stop_at_once_cut_no_request() {
    let mut cluster = Cluster::start(ClusterConfig::default()).await.unwrap();
    let load = Load::start(&cluster, PROGRAMS);
    wait_for_load(&cluster).await;
    let address = cluster.entry(0);
    load.balancer.remove(address);
    actix_rt::time::sleep(BALANCER_WAIT).await;
    cluster.endpoints[0]
        .sidecar
        .signal(Signal::Terminate)
        .unwrap();
    cluster.entries[0]
        .process
        .signal(Signal::Terminate)
        .unwrap();
    assert!(cluster.entries[0].process.wait().await.unwrap().success());
    assert!(cluster.endpoints[0].sidecar.wait().await.unwrap().success());
    wait_for_load(&cluster).await;
    let reports = load.finish().await.unwrap();
    check(&cluster, &reports).await;
}

#[actix_rt::test]
async fn a_stopping_owner_passes_its_programs_on_while_a_long_tool_runs() {
    let mut cluster = Cluster::start(ClusterConfig::default()).await.unwrap();
    let caller = cluster.program("renewal-95").await.unwrap();
    // A sub-agent has the same owner, and calls of its own.
    let agent = caller.session("renewal-95/letter");
    agent
        .open(cluster.entry(0), 0)
        .await
        .unwrap()
        .success("")
        .unwrap();
    let service = cluster.services().next().unwrap();
    service
        .set_faults(&json!({ "delay_ms": 10_000 }))
        .await
        .unwrap();
    let owner = cluster.owner_of("caribmar", "renewal-95").await.unwrap();
    let others = [cluster.entry(owner + 1), cluster.entry(owner + 2)];
    let fee = Call::tool("charge-fee", "renewal-95")
        .key("fee")
        .sequence(1);
    let charged = actix_rt::spawn(async move { settle(&caller, &others, &fee).await });
    wait_until("the fee at the service", || async {
        (cluster.open_effects().await.ok()? == 1).then_some(())
    })
    .await
    .unwrap();
    cluster.entries[owner]
        .process
        .signal(Signal::Terminate)
        .unwrap();
    for sequence in 1..=5_u64 {
        let call = Call::model(&format!("page {sequence}"), 8).sequence(sequence);
        let reply = agent.call(others[0], &call).await.unwrap();
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    // Otherwise the stop was waited out.
    assert_eq!(cluster.open_effects().await.unwrap(), 1);
    let (settled, tries) = charged.await.unwrap().unwrap();
    settled.done().unwrap();
    assert_eq!((tries.refused, tries.unanswered), (0, 0));
    assert_eq!(cluster.effects_of("renewal-95").await.unwrap(), 1);
    let status = cluster.entries[owner].process.wait().await.unwrap();
    assert!(status.success(), "{status}");
}

#[actix_rt::test]
async fn a_stream_goes_on_when_its_shard_is_handed_over_and_its_sidecar_is_paused() {
    let cluster = Cluster::start(ClusterConfig::default()).await.unwrap();
    let caller = cluster.program("renewal-97").await.unwrap();
    let owner = cluster.owner_of("caribmar", "renewal-97").await.unwrap();
    let shard = cluster.shard_of("caribmar", "renewal-97").unwrap();
    let entry = cluster.entry(cluster.other_than(owner));
    let call = Call::model("record", 600).sequence(1);
    let mut stream = caller.stream(entry, &call).await.unwrap();
    let first = stream.next().await.unwrap();
    for engine in cluster.engines() {
        engine.sidecar.signal(Signal::Stop).unwrap();
    }
    let process = &cluster.entries[owner].process;
    process.signal(Signal::Terminate).unwrap();
    // Its successor serves the shard, and was told nothing by these sidecars.
    let recovered = format!("shard-recovered shard={shard} epoch=2");
    wait_until("the successor", || async {
        let mut entries = cluster.entries.iter();
        let is_served = entries.any(|entry| entry.process.log().contains(&recovered));
        is_served.then_some(())
    })
    .await
    .unwrap();
    for engine in cluster.engines() {
        engine.sidecar.signal(Signal::Continue).unwrap();
    }
    let (rest, end) = stream.collect().await;
    assert_eq!(end, StreamEnd::Done);
    let first = first.id.zip(first.content());
    let parts: Vec<_> = first.into_iter().chain(rest).collect();
    join_parts(0, &parts).unwrap();
    assert_eq!(parts.len(), 600);
    assert_eq!(cluster.runs_of("renewal-97").await.unwrap(), 1);
}

#[actix_rt::test]
async fn a_stream_ends_with_an_error_when_its_engine_dies_after_a_handoff() {
    let mut cluster = Cluster::start(ClusterConfig::default()).await.unwrap();
    let caller = cluster.program("renewal-96").await.unwrap();
    let owner = cluster.owner_of("caribmar", "renewal-96").await.unwrap();
    let entry = cluster.entry(cluster.other_than(owner));
    let call = Call::model("record", 4000).sequence(1);
    let mut stream = caller.stream(entry, &call).await.unwrap();
    stream.next().await.unwrap();
    let process = &mut cluster.entries[owner].process;
    assert!(process.end(Signal::Terminate).await.unwrap().success());
    // The successor goes on with the stream, and has no request to send again.
    for endpoint in &mut cluster.endpoints {
        endpoint.stand_in.end(Signal::Kill).await.unwrap();
    }
    let (_, end) = stream.collect().await;
    let StreamEnd::Error(problem) = end else {
        panic!("{end:?}");
    };
    assert!(problem.contains("\"ran\":\"unknown\""), "{problem}");
    // Whoever asks for it from now on is told so at once.
    let reply = caller.fetch(entry, 1).await.unwrap();
    assert_eq!(reply.status, 503, "{reply:?}");
    assert_eq!(reply.json()["reason"], "not-under-way", "{reply:?}");
}

/// Sends the body of a request late in a planned stop of its entry, and returns the answer.
async fn send_late(entry: SocketAddr, request: String) -> String {
    let mut stream = TcpStream::connect(entry).await.unwrap();
    let split = request.find("\r\n\r\n").unwrap() + 8;
    let (first, rest) = request.as_bytes().split_at(split);
    stream.write_all(first).await.unwrap();
    actix_rt::time::sleep(Duration::from_millis(3_500)).await;
    // The entry may have closed the connection.
    let _ = stream.write_all(rest).await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

fn raw_request(session: &str, path: &str, sequence: u64, headers: &str, body: &Value) -> String {
    let body = body.to_string();
    format!(
        "POST {path} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {}\r\n\
         rosebend-session: {session}\r\nrosebend-sequence: {sequence}\r\n{headers}\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        token::CARIBMAR,
        body.len(),
    )
}

/// Guards against requests that arrive late in a planned stop, are passed on, and are then cut
/// at its end, although they may have run.
#[actix_rt::test]
async fn a_request_that_arrives_late_in_a_planned_stop_is_answered_or_refused() {
    let mut cluster = Cluster::start(ClusterConfig::default()).await.unwrap();
    for session in ["renewal-96", "renewal-97"] {
        cluster.program(session).await.unwrap();
    }
    let service = cluster.services().next().unwrap();
    service
        .set_faults(&json!({ "delay_ms": 5_000 }))
        .await
        .unwrap();
    let fee = json!({ "effect_key": "late-fee" });
    let fee = raw_request(
        "renewal-96",
        "/v1/tools/charge-fee",
        1,
        "idempotency-key: late-fee\r\n",
        &fee,
    );
    let page = json!({
        "model": "agent-llm", "max_tokens": 4,
        "messages": [{ "role": "user", "content": "page 1" }],
    });
    let page = raw_request("renewal-97", "/v1/chat/completions", 1, "", &page);
    let entry = cluster.entry(0);
    let sent = [fee, page].map(|request| actix_rt::spawn(send_late(entry, request)));
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    cluster.entries[0]
        .process
        .signal(Signal::Terminate)
        .unwrap();
    let mut answers = Vec::new();
    for sending in sent {
        answers.push(sending.await.unwrap());
    }
    let status = cluster.entries[0].process.wait().await.unwrap();
    assert!(status.success(), "{status}");
    let effects = cluster.effects_of("late-fee").await.unwrap();
    for (answer, effects) in answers.iter().zip([effects, 0]) {
        let is_whole = answer.starts_with("HTTP/1.1 200");
        let is_refused = answer.is_empty() || answer.starts_with("HTTP/1.1 503");
        assert!(is_whole || is_refused, "{answer}");
        assert!(is_whole || effects == 0, "{answer}: {effects} effects");
    }
    assert!(effects <= 1, "{effects} effects");
}
