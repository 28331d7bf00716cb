//! A program never spends beyond its budget, sub-agents included, also when
//! its owners die.

use rosebend_system_tests::{
    Call, Caller, Cluster, ClusterConfig, Settled, Signal, settings::token, settle,
};

const BUDGET_TOKENS: u64 = 1500;

/// Tokens that the engines have computed, found in caches and answered.
async fn engine_tokens(cluster: &Cluster) -> u64 {
    let mut tokens = 0;
    for engine in cluster.engines() {
        let stats = engine.engine_stats().await.unwrap();
        tokens += stats.prefilled_tokens + stats.cached_tokens + stats.answer_tokens;
    }
    tokens
}

/// Makes calls until the budget is used up; returns how many were answered.
async fn spend(caller: Caller, entries: Vec<std::net::SocketAddr>) -> u64 {
    for sequence in 1..=60_u64 {
        let text = format!("{}: page {sequence}", caller.session_name());
        let call = Call::model(&text, 24).key(&text).sequence(sequence);
        let (settled, _) = settle(&caller, &entries, &call).await.unwrap();
        match settled {
            Settled::Done(_) => {}
            Settled::Refused(problem) if problem.status == 402 => return sequence - 1,
            Settled::Failed(problem) if problem.status == 402 => return sequence - 1,
            other => panic!("{other:?}"),
        }
    }
    panic!("the budget has no end");
}

#[actix_rt::test]
async fn a_program_and_its_sub_agents_do_not_overspend_though_owners_die() {
    let mut cluster = Cluster::start(ClusterConfig::default()).await.unwrap();
    let before = engine_tokens(&cluster).await;
    let caller = Caller::new(token::CARIBMAR).session("renewal-90");
    let opened = caller.open(cluster.entry(0), BUDGET_TOKENS).await.unwrap();
    opened.success("opening").unwrap();
    let mut programs = vec![caller.clone()];
    for name in ["renewal-90/check", "renewal-90/letter"] {
        let agent = caller.session(name);
        agent
            .open(cluster.entry(1), 0)
            .await
            .unwrap()
            .success(name)
            .unwrap();
        programs.push(agent);
    }
    let spending: Vec<_> = programs
        .into_iter()
        .enumerate()
        .map(|(number, program)| actix_rt::spawn(spend(program, cluster.entries_from(number))))
        .collect();
    for _ in 0..2 {
        actix_rt::time::sleep(std::time::Duration::from_millis(300)).await;
        let owner = cluster.owner_of("caribmar", "renewal-90").await.unwrap();
        let process = &mut cluster.entries[owner].process;
        process.end(Signal::Kill).await.unwrap();
        process.restart().unwrap();
        cluster.wait_ready().await.unwrap();
    }
    let mut answered = 0;
    for program in spending {
        answered += program.await.unwrap();
    }
    assert!(answered > 3, "only {answered} calls were answered");
    let spent = engine_tokens(&cluster).await - before;
    assert!(
        spent <= BUDGET_TOKENS,
        "{spent} tokens for {answered} calls"
    );
    let shown = caller.show(cluster.entry(2)).await.unwrap().json();
    assert!(
        shown["spent_tokens"].as_u64().unwrap() <= BUDGET_TOKENS,
        "{shown}"
    );
}
