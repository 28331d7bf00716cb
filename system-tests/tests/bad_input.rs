//! Bad input gets a clear error; nothing is lost and every process stays up.

use std::{
    fs,
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    process::Command,
    time::Duration,
};

use awc::http::Method;
use bytes::Bytes;
use rosebend_protocol::{
    peer::{
        DispatchRequest, ForwardRequest, entry_client::EntryClient, sidecar_client::SidecarClient,
    },
    problem::Ran,
};
use rosebend_system_tests::{
    Call, Caller, Cluster, ClusterConfig, Reply, binaries::Program, settings::token,
};
use serde_json::json;
use tonic::transport::Endpoint;

/// Fails unless the reply is a problem document with this status that says
/// that nothing was run.
fn check_refused(reply: &Reply, status: u16) {
    let problem = reply.problem().unwrap_or_else(|| panic!("{reply:?}"));
    assert_eq!(
        (reply.status, problem.ran),
        (status, Ran::No),
        "{problem:?}"
    );
    assert!(!problem.detail.is_empty());
}

/// Fails unless every process is up and the program takes a call.
async fn check_up(cluster: &mut Cluster, caller: &Caller, sequence: u64) {
    cluster.wait_ready().await.unwrap();
    for endpoint in &mut cluster.endpoints {
        endpoint.stand_in.check_running().unwrap();
    }
    let text = format!("call {sequence}");
    let call = Call::model(&text, 4).sequence(sequence);
    let reply = caller.call(cluster.entry(0), &call).await.unwrap();
    assert_eq!(reply.status, 200, "{reply:?}");
}

async fn post_raw(caller: &Caller, cluster: &Cluster, path: &str, body: Bytes) -> Reply {
    let entry = cluster.entry(1);
    caller
        .send(entry, Method::POST, path, &[], body)
        .await
        .unwrap()
}

#[actix_rt::test]
async fn requests_that_are_not_well_formed_are_refused() {
    let mut cluster = Cluster::start(ClusterConfig::default()).await.unwrap();
    let caller = cluster.program("renewal-60").await.unwrap();
    let chat = "/v1/chat/completions";
    let oversized = Bytes::from(vec![b' '; 5 << 20]);
    check_refused(&post_raw(&caller, &cluster, chat, oversized).await, 413);
    for body in [
        "{",
        "\u{feff}nonsense",
        "[1, 2]",
        r#"{"model": 7, "messages": []}"#,
        r#"{"model": "agent-llm", "messages": "none"}"#,
        r#"{"model": "agent-llm", "messages": [], "max_tokens": -1}"#,
        r#"{"model": "agent-llm", "messages": [], "stream": "yes"}"#,
    ] {
        check_refused(&post_raw(&caller, &cluster, chat, body.into()).await, 400);
    }
    let not_utf8 = Bytes::from_static(b"{\"model\": \"\xff\xfe\"}");
    check_refused(&post_raw(&caller, &cluster, chat, not_utf8).await, 400);
    check_refused(
        &post_raw(&caller, &cluster, "/v1/tools/charge-fee", "{".into()).await,
        400,
    );
    check_refused(
        &post_raw(&caller, &cluster, "/v1/sessions", "7".into()).await,
        400,
    );
    check_refused(
        &post_raw(&caller, &cluster, "/v1/nothing", "{}".into()).await,
        404,
    );

    let unknown = caller.session("renewal-61");
    let call = Call::model("hello", 4);
    check_refused(&unknown.call(cluster.entry(2), &call).await.unwrap(), 404);
    check_refused(&unknown.show(cluster.entry(2)).await.unwrap(), 404);
    let model = Call::new(chat, json!({ "model": "no-such", "messages": [] }));
    check_refused(&caller.call(cluster.entry(0), &model).await.unwrap(), 404);
    let bad_header = call.clone().header("Rosebend-Sequence", "first");
    check_refused(
        &caller.call(cluster.entry(0), &bad_header).await.unwrap(),
        400,
    );
    let bad_header = call.clone().header("Rosebend-Repeatable", "perhaps");
    check_refused(
        &caller.call(cluster.entry(0), &bad_header).await.unwrap(),
        400,
    );
    check_up(&mut cluster, &caller, 1).await;
}

#[actix_rt::test]
async fn wrong_positions_and_keys_are_refused() {
    let mut cluster = Cluster::start(ClusterConfig::default()).await.unwrap();
    let caller = cluster.program("renewal-62").await.unwrap();
    check_up(&mut cluster, &caller, 1).await;
    let fee = Call::tool("charge-fee", "renewal-62").key("fee");
    let charged = caller.call(cluster.entry(0), &fee).await.unwrap();
    assert_eq!(charged.status, 200, "{charged:?}");
    // The key of the fee with another body, and its position for another call.
    let other = Call::tool("charge-fee", "renewal-62-other").key("fee");
    check_refused(&caller.call(cluster.entry(1), &other).await.unwrap(), 422);
    let other = Call::tool("charge-fee", "renewal-62-other")
        .sequence(2)
        .key("x");
    check_refused(&caller.call(cluster.entry(2), &other).await.unwrap(), 409);
    let gap = Call::tool("charge-fee", "renewal-62-other")
        .sequence(9)
        .key("y");
    check_refused(&caller.call(cluster.entry(0), &gap).await.unwrap(), 409);
    assert_eq!(cluster.effects_of("renewal-62").await.unwrap(), 1);
    assert_eq!(cluster.effects_of("renewal-62-other").await.unwrap(), 0);
    check_up(&mut cluster, &caller, 3).await;
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(40)))
        .unwrap();
    stream
}

/// Writes what the peer still takes, and reads until it closes.
fn exchange(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = connect(address);
    let _ = stream.write_all(bytes);
    let _ = stream.shutdown(Shutdown::Write);
    let mut reply = Vec::new();
    // A reset is an answer as good as a close.
    let _ = stream.read_to_end(&mut reply);
    reply
}

#[actix_rt::test]
async fn broken_connections_and_garbage_leave_every_process_up() {
    let mut cluster = Cluster::start(ClusterConfig::default()).await.unwrap();
    let caller = cluster.program("renewal-63").await.unwrap();
    let entry = cluster.entry(0);
    // Slow headers: the connection is answered or closed, not held for good.
    let mut slow = connect(entry);
    slow.write_all(b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Slow: ")
        .unwrap();
    // Half closed in the middle of the body.
    let half = format!(
        "POST /v1/tools/charge-fee HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {}\r\n\
         Rosebend-Session: renewal-63\r\nContent-Length: 500\r\n\r\n{{\"effect_key\":",
        token::CARIBMAR
    );
    exchange(entry, half.as_bytes());
    let garbage: Vec<u8> = (0..20_000_u32).map(|n| (n * 7919 % 251) as u8).collect();
    let preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    let truncated = [preface.as_slice(), &[0, 64, 0, 1, 4, 0, 0, 0, 1, 0x83]].concat();
    let sidecars = cluster.endpoints.iter().map(|e| e.sidecar_address);
    let peers = cluster.entries.iter().map(|e| e.peer_address);
    for address in peers.chain(sidecars).chain([entry]) {
        exchange(address, &garbage);
        exchange(address, &truncated);
    }
    let mut answer = Vec::new();
    let _ = slow.read_to_end(&mut answer);
    check_up(&mut cluster, &caller, 1).await;
    assert_eq!(cluster.open_effects().await.unwrap(), 0);
}

#[actix_rt::test]
async fn huge_messages_between_processes_are_refused() {
    let mut cluster = Cluster::start(ClusterConfig::default()).await.unwrap();
    let caller = cluster.program("renewal-64").await.unwrap();
    let body = vec![b'x'; 96 << 20];
    let sidecar = format!("http://{}", cluster.endpoints[0].sidecar_address);
    let channel = Endpoint::from_shared(sidecar)
        .unwrap()
        .connect()
        .await
        .unwrap();
    let request = DispatchRequest {
        body: body.clone().into(),
        ..DispatchRequest::default()
    };
    assert!(SidecarClient::new(channel).dispatch(request).await.is_err());
    let peer = format!("http://{}", cluster.entries[0].peer_address);
    let channel = Endpoint::from_shared(peer)
        .unwrap()
        .connect()
        .await
        .unwrap();
    let request = ForwardRequest {
        body: body.into(),
        ..ForwardRequest::default()
    };
    assert!(EntryClient::new(channel).forward(request).await.is_err());
    check_up(&mut cluster, &caller, 1).await;
}

#[test]
fn settings_that_are_wrong_are_named_by_line() {
    let directory = std::env::temp_dir().join(format!("rosebend-settings-{}", std::process::id()));
    fs::create_dir_all(&directory).unwrap();
    for program in [Program::Entry, Program::Sidecar] {
        for (name, text) in [
            ("utf8", b"[entry]\nhost = \xff\xfe\n".as_slice()),
            ("unknown", b"[log]\nlevel = info\nno_such_key = 1\n"),
            ("section", b"[no-such-section]\nx = 1\n"),
        ] {
            let path = directory.join(format!("{}-{name}.ini", program.file_name()));
            fs::write(&path, text).unwrap();
            let output = Command::new(program.path().unwrap())
                .arg("--config")
                .arg(&path)
                .arg("--check")
                .output()
                .unwrap();
            let said = String::from_utf8_lossy(&output.stderr).into_owned();
            assert!(!output.status.success(), "{program:?} {name}");
            assert!(said.contains("line"), "{program:?} {name}: {said}");
        }
    }
    fs::remove_dir_all(&directory).unwrap();
}
