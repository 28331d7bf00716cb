//! Entries and sidecars read a bounded part of what has no end, from the store and from
//! whoever connects to them.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::Duration;

use futures_util::future::join_all;
use rosebend_standin::endless::{ANSWERS, Endless, EndlessServer, send};
use rosebend_system_tests::binaries::Program;
use rosebend_system_tests::process::Process;
use rosebend_system_tests::settings::{Ini, free_address, write_tokens};
use rosebend_system_tests::{Cluster, ClusterConfig, wait_until};

/// Maximum growth of a process's memory in KiB.
const MAX_GROWTH_KB: u64 = 64 << 10;

/// Pause of a server after each block, so that several of them leave the processor to others.
const PAUSE: Duration = Duration::from_micros(200);

/// Returns the peak of a process's resident memory in KiB.
fn peak_memory_kb(process: &Process) -> u64 {
    let path = format!("/proc/{}/status", process.id());
    let status = fs::read_to_string(path).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let number = line.unwrap().trim().strip_suffix(" kB").unwrap();
    number.trim().parse().unwrap()
}

fn check(process: &mut Process, before_kb: u64, what: &str) {
    process.check_running().unwrap();
    let growth_kb = peak_memory_kb(process).saturating_sub(before_kb);
    println!("{what}: {growth_kb} KiB more");
    assert!(growth_kb <= MAX_GROWTH_KB, "{what}: {growth_kb} KiB more");
}

/// Starts an entry and a sidecar whose store, and whose endpoint, are the same server.
fn start(directory: &Path, name: &str, server: SocketAddr) -> [Process; 2] {
    let entry = Ini::default()
        .section("entry")
        .key("host", format!("entry-{name}"))
        .key("availability_zone", "newport-hall")
        .key("http_listen", free_address().unwrap())
        .key("peer_listen", free_address().unwrap());
    let sidecar = Ini::default()
        .section("sidecar")
        .key("host", format!("sidecar-{name}"))
        .key("availability_zone", "newport-hall")
        .key("listen", free_address().unwrap())
        .key("metrics_listen", free_address().unwrap())
        .key("kind", "engine")
        .key("endpoint_url", format!("http://{server}"));
    [
        ("entry", Program::Entry, entry),
        ("sidecar", Program::Sidecar, sidecar),
    ]
    .map(|(role, program, settings)| {
        let settings = settings
            .section("platform")
            .key("address", server)
            .section("auth")
            .key("tokens_file", directory.join("tokens").display());
        let name = format!("{role}-{name}");
        let path = settings.write(directory, &format!("{name}.ini")).unwrap();
        let arguments = vec!["--config".into(), path.into()];
        Process::start(&name, program, arguments, directory).unwrap()
    })
}

/// Guards against answers of the store that are read until the process is out of memory.
#[actix_rt::test]
async fn answers_of_the_store_may_have_no_end() {
    let directory = std::env::temp_dir().join(format!("rosebend-endless-{}", std::process::id()));
    fs::create_dir_all(&directory).unwrap();
    write_tokens(&directory).unwrap();
    let directory = directory.as_path();
    let checks = ANSWERS.map(|endless| async move {
        let name = format!("{endless:?}").to_lowercase();
        let server = EndlessServer::start(endless, PAUSE).unwrap();
        let mut processes = start(directory, &name, server.address);
        let before_kb = processes.each_ref().map(peak_memory_kb);
        wait_until("calls to the store have failed", || async {
            (server.answer_count() >= 4).then_some(())
        })
        .await
        .unwrap();
        for (process, before_kb) in processes.iter_mut().zip(before_kb) {
            let what = format!("{} {endless:?}", process.name());
            check(process, before_kb, &what);
        }
    });
    join_all(checks).await;
    // The files are in the folder for temporary ones anyway.
    let _ = fs::remove_dir_all(directory);
}

/// Guards against heads and bodies of callers and of other hosts that are read until the
/// process is out of memory.
#[actix_rt::test]
async fn requests_may_have_no_end() {
    let mut cluster = Cluster::start(ClusterConfig::default()).await.unwrap();
    let entry = &cluster.entries[0];
    let endpoint = &cluster.endpoints[0];
    let listeners = [
        ("callers", entry.address),
        ("entries", entry.peer_address),
        ("sidecar", endpoint.sidecar_address),
        ("pages", endpoint.pages_address),
    ];
    let before_kb = [
        peak_memory_kb(&entry.process),
        peak_memory_kb(&endpoint.sidecar),
    ];
    let head = "POST /v1/sessions HTTP/1.1\r\nhost: desk.example\r\n";
    let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n");
    let sized = format!("{head}content-length: 1000000000000\r\n\r\n");
    let preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    let forms = [
        ("", Endless::Line),
        ("", Endless::EmptyLines),
        (head, Endless::Headers),
        (&chunked, Endless::ChunkSize),
        (&chunked, Endless::Chunks),
        (&sized, Endless::Unframed),
        (preface, Endless::Unframed),
    ];
    let mut sent = Vec::new();
    for (_, address) in listeners {
        for (prefix, endless) in forms {
            let prefix = prefix.to_owned();
            sent.push(thread::spawn(move || {
                send(address, &prefix, endless, Duration::ZERO)
            }));
        }
    }
    // Others are served meanwhile.
    let caller = cluster.program("renewal-1").await.unwrap();
    let call = rosebend_system_tests::Call::model("call 1", 4).sequence(1);
    let reply = caller.call(cluster.entry(0), &call).await.unwrap();
    assert_eq!(reply.status, 200, "{reply:?}");
    for sending in sent {
        let waiting = actix_rt::task::spawn_blocking(move || sending.join().unwrap());
        waiting.await.unwrap().unwrap();
    }
    check(&mut cluster.entries[0].process, before_kb[0], "entry");
    check(&mut cluster.endpoints[0].sidecar, before_kb[1], "sidecar");
    cluster.wait_ready().await.unwrap();
}
