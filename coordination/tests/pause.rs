//! What a paused program does with its cache, as pauses are learned.

use std::time::Duration;

use rosebend_coordination::pause::{Pause, PauseAction, PauseDecider, PausePolicy};

const TOOL: &str = "registry";

fn learned(can_export: bool, pause: Duration) -> PauseDecider {
    let mut decider = PauseDecider::new(PausePolicy::Learned { can_export });
    for _ in 0..40 {
        decider.observe(TOOL, pause);
    }
    decider
}

fn pause(kv_used_percent: u64) -> Pause<'static> {
    Pause {
        tool: TOOL,
        kv_tokens: 10_000,
        elapsed: Duration::ZERO,
        prefill_token_us: 100,
        transfer_token_us: 10,
        kv_used_percent,
    }
}

#[test]
fn short_pauses_keep_and_long_ones_export_or_drop() {
    let short = learned(true, Duration::from_millis(200));
    assert!(matches!(short.decide(&pause(80)), PauseAction::Keep { .. }));
    let long = learned(true, Duration::from_secs(120));
    assert_eq!(long.decide(&pause(80)), PauseAction::Export);
    let long = learned(false, Duration::from_secs(120));
    assert_eq!(long.decide(&pause(80)), PauseAction::Drop);
}

#[test]
fn free_memory_is_kept_however_long_the_pause() {
    let long = learned(true, Duration::from_secs(120));
    assert!(matches!(long.decide(&pause(40)), PauseAction::Keep { .. }));
}

#[test]
fn slow_copies_are_not_exported() {
    let long = learned(true, Duration::from_secs(120));
    let slow = Pause {
        transfer_token_us: 200,
        ..pause(90)
    };
    assert_eq!(long.decide(&slow), PauseAction::Drop);
}

#[test]
fn a_pause_that_outlasts_all_learned_is_expected_to_go_on() {
    let short = learned(true, Duration::from_millis(200));
    let at_first = short.expected(TOOL, Duration::ZERO);
    assert!(at_first < Duration::from_millis(400), "{at_first:?}");
    let later = short.expected(TOOL, Duration::from_secs(60));
    assert_eq!(later, Duration::from_secs(60));
}

#[test]
fn a_tool_that_changes_is_followed() {
    let mut decider = learned(true, Duration::from_millis(200));
    for _ in 0..2_000 {
        decider.observe(TOOL, Duration::from_secs(60));
    }
    let expected = decider.expected(TOOL, Duration::ZERO);
    assert!(expected > Duration::from_secs(30), "{expected:?}");
}
