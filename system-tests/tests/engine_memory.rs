//! No engine memory stays held by programs that have ended.

use rosebend_system_tests::{Call, Caller, Cluster, ClusterConfig, Signal, settle, wait_until};

/// KV memory that is pinned on all engines.
async fn pinned_tokens(cluster: &Cluster) -> Option<u64> {
    let mut pinned = 0;
    for engine in cluster.engines() {
        pinned += engine.engine_stats().await.ok()?.kv_tokens_pinned;
    }
    Some(pinned)
}

async fn wait_until_free(cluster: &Cluster) {
    wait_until("the engines' memory to be free", || async {
        (pinned_tokens(cluster).await? == 0).then_some(())
    })
    .await
    .unwrap();
}

/// A program with a tool call between two model calls.
async fn run(cluster: &Cluster, session: &str) -> Caller {
    let caller = cluster.program(session).await.unwrap();
    let text = "sea service record ".repeat(60);
    for (sequence, call) in [
        (1, Call::model(&format!("{session}: {text}"), 16)),
        (2, Call::tool("lookup", session).repeatable()),
        (3, Call::model(&format!("{session}: go on: {text}"), 16)),
    ] {
        let call = call.key(&sequence.to_string()).sequence(sequence);
        let entries = cluster.entries_from(sequence as usize);
        let (settled, _) = settle(&caller, &entries, &call).await.unwrap();
        settled.done().unwrap();
    }
    caller
}

/// Ends a program, whoever owns it by now.
async fn finish(cluster: &Cluster, caller: &Caller) {
    wait_until("the program's end", || async {
        let reply = caller.finish(cluster.entry(1)).await.ok()?;
        reply.success("").ok()
    })
    .await
    .unwrap();
}

#[actix_rt::test]
async fn the_end_of_programs_frees_their_memory() {
    let cluster = Cluster::start(ClusterConfig::default()).await.unwrap();
    let mut callers = Vec::new();
    for number in 0..4 {
        callers.push(run(&cluster, &format!("renewal-80-{number}")).await);
    }
    // Otherwise this test would show nothing.
    assert!(pinned_tokens(&cluster).await.unwrap() > 500);
    for caller in &callers {
        finish(&cluster, caller).await;
    }
    for number in 0..3 {
        finish(
            &cluster,
            &Caller::new(rosebend_system_tests::settings::token::CARIBMAR)
                .session(&format!("ready-{number}")),
        )
        .await;
    }
    wait_until_free(&cluster).await;
}

#[actix_rt::test]
async fn memory_is_freed_when_owner_and_sidecars_were_replaced() {
    let mut cluster = Cluster::start(ClusterConfig::default()).await.unwrap();
    let caller = run(&cluster, "renewal-81").await;
    assert!(pinned_tokens(&cluster).await.unwrap() > 100);
    let owner = cluster.owner_of("caribmar", "renewal-81").await.unwrap();
    cluster.entries[owner]
        .process
        .end(Signal::Kill)
        .await
        .unwrap();
    for endpoint in &mut cluster.endpoints {
        endpoint.replace_sidecar().await.unwrap();
    }
    cluster.entries[owner].process.restart().unwrap();
    cluster.wait_ready().await.unwrap();
    finish(&cluster, &caller).await;
    for number in 0..3 {
        finish(
            &cluster,
            &Caller::new(rosebend_system_tests::settings::token::CARIBMAR)
                .session(&format!("ready-{number}")),
        )
        .await;
    }
    wait_until_free(&cluster).await;
}
