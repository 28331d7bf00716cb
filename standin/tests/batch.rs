//! The engine's batch and prefix cache, without a clock.

use std::time::Duration;

use rosebend_standin::engine::{
    EngineConfig,
    batch::{Batch, Job, Plan, Progress},
    cache::{BLOCK_TOKENS, block_ids, token_count},
};

fn config(kv_tokens: u64, max_running: usize) -> EngineConfig {
    EngineConfig {
        kv_tokens,
        max_running,
        ..EngineConfig::default()
    }
}

/// A job whose prompt has `tokens` tokens that start with `name`.
fn job(id: u64, name: &str, tokens: usize, answer_tokens: u64) -> Job {
    let text = format!("{name:x<width$}", width = tokens * 4);
    Job {
        id,
        blocks: block_ids(&text),
        prompt_tokens: token_count(&text),
        answer_tokens,
        poisonous: false,
    }
}

/// Runs until idle; returns the cached tokens at each admission, and the
/// greatest number of jobs that ran at once.
fn run(batch: &mut Batch) -> (Vec<(u64, u64)>, usize) {
    let mut admitted = Vec::new();
    let mut most = 0;
    for _ in 0..10_000 {
        match batch.plan() {
            Plan::Idle => return (admitted, most),
            Plan::Crash => panic!("no job is poisonous"),
            Plan::Step(_) => most = most.max(batch.running_count()),
        }
        assert!(batch.cache.used_blocks() <= batch.cache.capacity_blocks());
        for progress in batch.complete() {
            match progress {
                Progress::Admitted { job, cached_tokens } => admitted.push((job, cached_tokens)),
                Progress::Token(_) => {}
                Progress::Finished(job) => assert!(batch.retire(job, &[], false)),
            }
        }
    }
    panic!("the batch does not come to its end");
}

#[test]
fn a_shared_prefix_is_computed_once() {
    let mut batch = Batch::new(&config(10_000, 4));
    batch.submit(job(1, "check", 160, 4));
    run(&mut batch);
    batch.submit(job(2, "check", 165, 4));
    batch.submit(job(3, "letter", 160, 4));
    let (admitted, _) = run(&mut batch);
    assert_eq!(admitted, [(2, 160), (3, 0)]);
    assert_eq!(batch.cache.pinned_blocks(), 0);
}

#[test]
fn no_more_run_than_the_limit_and_the_memory_allow() {
    let mut batch = Batch::new(&config(10_000, 3));
    for id in 0..8 {
        batch.submit(job(id, &format!("job {id}"), 32, 5));
    }
    let (admitted, most) = run(&mut batch);
    assert_eq!((admitted.len(), most), (8, 3));

    // Each job needs 3 blocks of the 6.
    let mut batch = Batch::new(&config(6 * BLOCK_TOKENS, 8));
    for id in 0..8 {
        batch.submit(job(id, &format!("job {id}"), 32, 5));
    }
    let (admitted, most) = run(&mut batch);
    assert_eq!((admitted.len(), most), (8, 2));
}

#[test]
fn the_least_recently_used_prefix_is_evicted() {
    let mut batch = Batch::new(&config(8 * BLOCK_TOKENS, 1));
    for (id, name) in [(1, "a"), (2, "b"), (3, "a"), (4, "c"), (5, "a"), (6, "b")] {
        batch.submit(job(id, name, 48, 1));
    }
    let (admitted, _) = run(&mut batch);
    let cached: Vec<u64> = admitted.iter().map(|(_, cached)| *cached).collect();
    // c takes the place of b, which was used less recently than a; the tail
    // of a prefix goes first, so a part of b is still there.
    assert_eq!(cached, [0, 0, 48, 0, 48, 16]);
}

#[test]
fn a_hold_keeps_its_blocks_until_it_is_unpinned() {
    let mut batch = Batch::new(&config(4 * BLOCK_TOKENS, 1));
    let held = job(1, "held", 32, 1);
    batch.submit(held.clone());
    while let Plan::Step(_) = batch.plan() {
        for progress in batch.complete() {
            if let Progress::Finished(id) = progress {
                batch.retire(id, &held.blocks, true);
            }
        }
    }
    assert_eq!(batch.cache.pinned_blocks(), 2);
    batch.submit(job(2, "other", 32, 1));
    assert_eq!(batch.plan(), Plan::Idle, "the held blocks leave no room");
    batch.cache.unpin(&held.blocks);
    let (admitted, _) = run(&mut batch);
    assert_eq!(admitted, [(2, 0)]);
}

#[test]
fn a_step_costs_prefill_and_a_little_more_with_each_running_job() {
    let config = config(10_000, 8);
    let mut batch = Batch::new(&config);
    batch.submit(job(1, "a", 100, 9));
    assert_eq!(batch.plan(), Plan::Step(config.prefill_token_time * 100));
    batch.complete();
    assert_eq!(batch.plan(), Plan::Step(config.token_time));
    batch.complete();
    batch.submit(job(2, "b", 100, 9));
    batch.plan();
    batch.complete();
    let Plan::Step(two) = batch.plan() else {
        panic!("two jobs run");
    };
    assert!(two > config.token_time && two < config.token_time * 2);
    batch.complete();
    batch.cancel(1);
    batch.cancel(2);
    assert_eq!(batch.plan(), Plan::Idle);
    assert_eq!(batch.cache.pinned_blocks(), 0);
    assert!(two > Duration::ZERO);
}
