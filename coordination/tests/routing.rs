//! Choice of endpoints: what is never chosen, and when a program moves.

use std::time::Duration;

use rosebend_coordination::queue::LoadView;
use rosebend_coordination::routing::{
    CallEnd, Choice, EndpointInfo, EndpointState, NoEndpointReason, Request, Router, RouterSettings,
};
use rosebend_state::id::{CallId, EndpointId};

const NOW: Duration = Duration::from_secs(100);
const MODEL: &str = "agent-llm";

fn info(n: usize) -> EndpointInfo {
    EndpointInfo {
        id: format!("llm-{n}"),
        zone: "newport-hall".to_owned(),
        targets: vec![MODEL.to_owned()],
        incarnation: "a".to_owned(),
        state: EndpointState::Live,
    }
}

fn router(endpoints: usize) -> Router {
    let mut router = Router::new(RouterSettings::default());
    router.set_endpoints((0..endpoints).map(info).collect());
    router
}

fn call(program: usize, sequence: u64) -> CallId {
    CallId::try_from(format!("caribmar/p{program}#{sequence}")).unwrap()
}

fn request<'a>(call: &'a CallId, excluded: &'a [EndpointId]) -> Request<'a> {
    Request {
        program: &call.program,
        target: MODEL,
        prompt_tokens: 20_000,
        warm: None,
        shared_prefixes: &[],
        excluded,
    }
}

fn load(queued_tokens: u64) -> LoadView {
    LoadView {
        running: 8,
        queued: 0,
        queued_tokens,
        token_us: 20_000,
        prefill_token_us: 100,
        ..LoadView::default()
    }
}

/// Runs one call to its end, so that its program is warm where it ran.
fn run(router: &mut Router, call: &CallId) -> Choice {
    let request = request(call, &[]);
    let choice = router.choose(NOW, &request).unwrap();
    router.sent(NOW, call, &request, &choice);
    router.ended(NOW, call, CallEnd::Finished { answer_tokens: 100 });
    choice
}

#[test]
fn program_stays_warm_until_waiting_costs_more() {
    let mut router = router(9);
    let first = run(&mut router, &call(1, 1));
    let second = call(1, 2);
    let again = router.choose(NOW, &request(&second, &[])).unwrap();
    assert_eq!(
        (&again.endpoint, again.warm_tokens),
        (&first.endpoint, 20_000)
    );

    let report = |router: &mut Router, queued_tokens| {
        let at = NOW + Duration::from_secs(1);
        router.report(
            at,
            &first.endpoint,
            &"a".to_owned(),
            Duration::ZERO,
            load(queued_tokens),
        );
        router.choose(at, &request(&second, &[])).unwrap().endpoint
    };
    assert_eq!(report(&mut router, 10_000), first.endpoint);
    assert_ne!(report(&mut router, 30_000), first.endpoint);
}

#[test]
fn leaving_endpoint_is_not_revived_by_a_late_list() {
    let mut router = router(1);
    let call = call(1, 1);
    router.leaving(&"llm-0".to_owned());
    router.set_endpoints(vec![info(0)]);
    let none = router.choose(NOW, &request(&call, &[])).unwrap_err();
    assert_eq!(none.reason, NoEndpointReason::NoneLive);

    let restarted = EndpointInfo {
        incarnation: "b".to_owned(),
        ..info(0)
    };
    router.set_endpoints(vec![restarted]);
    let choice = router.choose(NOW, &request(&call, &[])).unwrap();
    assert_eq!(choice.incarnation, "b");
}

#[test]
fn down_endpoint_comes_back_only_by_a_newer_report() {
    let mut router = router(1);
    let call = call(1, 1);
    let id = "llm-0".to_owned();
    let incarnation = "a".to_owned();
    run(&mut router, &call);
    router.down(NOW, &id);
    router.report(
        NOW + Duration::from_secs(1),
        &id,
        &incarnation,
        Duration::from_secs(2),
        load(0),
    );
    assert_eq!(router.state(&id), Some(EndpointState::Down));
    router.report(
        NOW + Duration::from_secs(3),
        &id,
        &incarnation,
        Duration::from_secs(2),
        load(0),
    );
    let choice = router.choose(NOW, &request(&call, &[])).unwrap();
    assert_eq!(choice.warm_tokens, 0, "its cache is gone");
}

#[test]
fn refusing_and_excluded_endpoints_are_passed_over() {
    let mut router = router(2);
    let call = call(1, 1);
    router.refused(NOW, &"llm-0".to_owned(), Duration::from_secs(5));
    let choice = router.choose(NOW, &request(&call, &[])).unwrap();
    assert_eq!(choice.endpoint, "llm-1");
    let excluded = ["llm-1".to_owned()];
    let none = router.choose(NOW, &request(&call, &excluded)).unwrap_err();
    assert_eq!(none.reason, NoEndpointReason::AllRefuse);
    let later = NOW + Duration::from_secs(5);
    let choice = router.choose(later, &request(&call, &excluded)).unwrap();
    assert_eq!(choice.endpoint, "llm-0");
}

#[test]
fn unknown_target_is_told() {
    let mut router = router(1);
    let call = call(1, 1);
    let request = Request {
        target: "no-such",
        ..request(&call, &[])
    };
    let none = router.choose(NOW, &request).unwrap_err();
    assert_eq!(none.reason, NoEndpointReason::UnknownTarget);
}

#[test]
fn one_stale_report_does_not_draw_every_program() {
    const ENDPOINTS: usize = 9;
    let mut router = router(ENDPOINTS);
    for n in 0..ENDPOINTS {
        let queued_tokens = if n == 0 { 0 } else { 40_000 };
        let id = format!("llm-{n}");
        router.report(
            NOW,
            &id,
            &"a".to_owned(),
            Duration::ZERO,
            load(queued_tokens),
        );
    }
    for n in 0..90 {
        let call = call(n, 1);
        let request = request(&call, &[]);
        let choice = router.choose(NOW, &request).unwrap();
        router.sent(NOW, &call, &request, &choice);
    }
    let counts: Vec<u64> = (0..ENDPOINTS)
        .map(|n| router.in_flight(&format!("llm-{n}")))
        .collect();
    let largest = counts.iter().max().unwrap();
    assert!(*largest <= 15, "mean is 10, got {counts:?}");
    for n in 0..90 {
        router.ended(NOW, &call(n, 1), CallEnd::Failed);
    }
    assert!((0..ENDPOINTS).all(|n| router.in_flight(&format!("llm-{n}")) == 0));
}
