//! The sidecar's count of memory for prompts that begin alike.

use std::time::Duration;

use rosebend_coordination::endpoint::{
    CallSpec, Calls, Dispatched, EndpointLimits,
    fence::Fence,
    outcome::{Failure, FailureReason, Outcome},
};
use rosebend_coordination::warmth::SharedPrefix;
use rosebend_state::id::CallId;

const RULES: SharedPrefix = SharedPrefix {
    id: 7,
    tokens: 40_000,
};
const NOW: Duration = Duration::from_secs(1);

fn calls() -> Calls {
    let limits = EndpointLimits {
        kv_tokens: 400_000,
        ..EndpointLimits::default()
    };
    Calls::new("run-1".to_owned(), limits)
}

fn id(program: usize) -> CallId {
    CallId::try_from(format!("caribmar/renewal-{program}#1")).unwrap()
}

/// Dispatches a call of 41 000 prompt and 500 answer tokens and admits it.
fn start(calls: &mut Calls, program: usize, prefixes: &[SharedPrefix]) {
    let fence = Fence { shard: 1, epoch: 1 };
    let mut spec = CallSpec::new(id(program), fence, "run-1");
    spec.repeatable = true;
    spec.prompt_tokens = 41_000;
    spec.max_answer_tokens = 500;
    spec.shared_prefixes = prefixes.to_vec();
    assert_eq!(calls.dispatch(NOW, spec), Dispatched::Queued);
    assert_eq!(calls.admit(NOW).starts.len(), 1);
}

#[test]
fn prompts_that_begin_alike_count_their_start_once() {
    let mut calls = calls();
    start(&mut calls, 1, &[RULES]);
    calls.first_part(NOW, &id(1));
    start(&mut calls, 2, &[RULES]);
    start(&mut calls, 3, &[RULES]);
    assert_eq!(calls.load().kv_tokens_in_flight, 41_500 + 1_500 + 1_500);
    start(&mut calls, 4, &[]);
    assert_eq!(calls.load().kv_tokens_in_flight, 44_500 + 41_500);
}

#[test]
fn start_is_cold_until_computed_and_after_a_crash() {
    let mut calls = calls();
    start(&mut calls, 1, &[RULES]);
    start(&mut calls, 2, &[RULES]);
    assert_eq!(calls.load().kv_tokens_in_flight, 83_000, "both compute it");
    calls.first_part(NOW, &id(1));
    let crash = || {
        Outcome::Failed(Failure {
            reason: FailureReason::EndpointCrashed,
            may_have_run: true,
            detail: String::new(),
            suspects: Vec::new(),
        })
    };
    for program in [1, 2] {
        calls.ended(NOW, &id(program), crash(), 0);
    }
    start(&mut calls, 3, &[RULES]);
    assert_eq!(calls.load().kv_tokens_in_flight, 41_500);
    start(&mut calls, 4, &[RULES]);
    assert_eq!(calls.load().kv_tokens_in_flight, 83_000);
}
