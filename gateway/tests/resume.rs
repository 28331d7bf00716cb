//! Streams that may be resumed, by their caller and within one answer, and
//! those that may not.

mod support;

use http_body_util::BodyExt;
use rosebend_standin::backend::{BackendFaults, Runs};
use rosebend_transport::connection::Connection;
use serde_json::{Value, json};
use support::{Gateway, Site, TestRequest, TestResponse, routes, wait_until};

const FIRST: usize = 0;
const EVENTS: &str = "id: 0\ndata: word0\n\nid: 1\ndata: word1\n\nid: 2\ndata: word2\n\n";
const OUTPUT: &str = "word0\nword1\nword2\n";
const EVENT_BYTES: usize = 19;

/// A route of streams, with each of its three properties apart.
fn stream_route(name: &str, keeps_history: bool, resumable: bool) -> Value {
    json!({
        "name": name, "host": "desk.example", "prefix": format!("/{name}/"),
        "kind": "streaming", "timeout-ms": 8000, "slo-ms": 400, "gap-slo-ms": 200,
        "priority": 0, "service": "models", "max-attempts": 2, "sticky": true,
        "resumable": resumable, "retain-history": keeps_history, "retention-s": 60.0,
    })
}

/// A site with one model endpoint that is chosen first and one that is chosen
/// after it.
struct World {
    site: Site,
    second: usize,
    gateway: Gateway,
}

impl World {
    async fn start() -> Self {
        let mut site = Site::start();
        let second = add_second_choice(&mut site);
        let mut config = routes(2);
        let declared = config["routes"].as_array_mut().unwrap();
        declared.push(stream_route("drafts", false, true));
        declared.push(stream_route("chats", true, true));
        declared.push(stream_route("live", false, false));
        declared.push(stream_route("talks", true, false));
        site.store.put("op", "config", &config);
        let gateway = site.start_gateway();
        gateway.wait_until_ready().await;
        let world = Self {
            site,
            second,
            gateway,
        };
        world
            .until_listed(&world.site.endpoints[second].instance)
            .await;
        world
    }

    async fn until_listed(&self, instance: &str) {
        wait_until("the endpoint is listed", async || {
            let listed = self.gateway.events("endpoint-listed");
            listed.iter().any(|event| event["endpoint"] == instance)
        })
        .await;
    }

    async fn first_faults(&self, faults: BackendFaults) {
        self.site.set_endpoint_faults(FIRST, &faults).await;
    }

    async fn second_faults(&self, faults: BackendFaults) {
        self.site.set_endpoint_faults(self.second, &faults).await;
    }

    async fn first_runs(&self) -> Runs {
        self.site.runs(FIRST).await
    }

    async fn second_runs(&self) -> Runs {
        self.site.runs(self.second).await
    }

    async fn send(&self, ask: &TestRequest) -> TestResponse {
        ask.send(self.gateway.front).await
    }
}

/// Adds an endpoint that says of itself that it is slow yet, so that it is chosen
/// only when the other one was asked already.
fn add_second_choice(site: &mut Site) -> usize {
    let index = site.add_endpoint("models");
    let endpoint = &site.endpoints[index];
    let entry = json!({
        "service": "models", "address": endpoint.server.address().to_string(),
        "zone": "newport-hall", "version": "v1", "slots": 8, "state": "ready",
        "cold-left-ms": 600_000, "seq": 2,
    });
    site.store.put("servers", &endpoint.instance, &entry);
    index
}

fn stream(route: &str, attempt: &str, input: &str) -> TestRequest {
    let path = format!("/{route}/stream");
    TestRequest::new(http::Method::POST, &path)
        .attempt(attempt)
        .header("program-id", "p1")
        .header("session-id", "s1")
        .header("token-budget", "1000")
        .header("token-counts", "100,100")
        .body(input)
}

fn breaks_at(break_at_bytes: usize) -> BackendFaults {
    BackendFaults {
        break_streams: 1,
        break_at_bytes,
        ..BackendFaults::default()
    }
}

#[actix_rt::test]
async fn a_stream_that_breaks_off_anywhere_goes_on_at_another_endpoint() {
    let ends = [1, EVENT_BYTES - 1, EVENT_BYTES, EVENT_BYTES + 6, 56, 57];
    for bytes in ends {
        let world = World::start().await;
        world.first_faults(breaks_at(bytes)).await;
        let answer = world.send(&stream("drafts", "a1", "x")).await;
        let got = (answer.status, answer.body.as_str(), answer.is_complete);
        assert_eq!(got, (200, EVENTS, true), "cut after {bytes} bytes");
        let runs = world.second_runs().await;
        let last_event = runs["a1"].headers.get("last-event-id").cloned();
        let passed = bytes / EVENT_BYTES;
        let expected = passed.checked_sub(1).map(|last| last.to_string());
        assert_eq!(last_event, expected, "cut after {bytes} bytes");
        assert_eq!(runs["a1"].body, "x");
        // The headers are those of the run whose events went out first.
        let first = match passed {
            0 => world.second,
            _ => FIRST,
        };
        let stamp = format!("stamp.{}", world.site.endpoints[first].instance);
        assert_eq!(answer.header("response-stamp"), Some(stamp.as_str()));
        // Lines are written beside the traffic.
        wait_until("the stream's steps are written", async || {
            !world.gateway.events("stream-resumed").is_empty()
        })
        .await;
        let resumed = world.gateway.events("stream-resumed");
        assert_eq!(resumed.len(), 1);
        assert_eq!(resumed[0]["reason"], "broken");
    }
}

#[actix_rt::test]
async fn a_stream_whose_answer_never_began_goes_to_another_endpoint() {
    let world = World::start().await;
    let lost = BackendFaults {
        lose_answers: 1,
        ..BackendFaults::default()
    };
    world.first_faults(lost).await;
    let answer = world.send(&stream("drafts", "a1", "x")).await;
    assert_eq!((answer.status, answer.body.as_str()), (200, EVENTS));
    assert_eq!(world.site.run_count("a1").await, 2);
}

#[actix_rt::test]
async fn a_stream_that_falls_silent_goes_on_at_another_endpoint() {
    for bytes in [0, EVENT_BYTES + 3] {
        let world = World::start().await;
        let silent = BackendFaults {
            stall_streams: 1,
            break_at_bytes: bytes,
            ..BackendFaults::default()
        };
        world.first_faults(silent).await;
        let answer = world.send(&stream("drafts", "a1", "x")).await;
        let got = (answer.status, answer.body.as_str(), answer.is_complete);
        assert_eq!(got, (200, EVENTS, true), "silent after {bytes} bytes");
    }
}

#[actix_rt::test]
async fn a_stream_that_ends_within_an_event_is_not_whole() {
    let world = World::start().await;
    let short = BackendFaults {
        end_streams: 1,
        break_at_bytes: EVENT_BYTES + 3,
        ..BackendFaults::default()
    };
    world.first_faults(short).await;
    let answer = world.send(&stream("drafts", "a1", "x")).await;
    let got = (answer.status, answer.body.as_str(), answer.is_complete);
    assert_eq!(got, (200, EVENTS, true));
}

#[actix_rt::test]
async fn an_endpoint_that_drains_and_leaves_within_a_stream_costs_no_event() {
    let world = World::start().await;
    let leaves = BackendFaults {
        delay_ms: 200,
        ..breaks_at(EVENT_BYTES + 6)
    };
    world.first_faults(leaves).await;
    let front = world.gateway.front;
    let ask = stream("drafts", "a1", "x");
    let asking = actix_rt::spawn(async move { ask.send(front).await });
    wait_until("it runs", async || world.site.run_count("a1").await == 1).await;
    world.site.announce(FIRST, "draining");
    let answer = asking.await.unwrap();
    let got = (answer.status, answer.body.as_str(), answer.is_complete);
    assert_eq!(got, (200, EVENTS, true));
}

#[actix_rt::test]
async fn a_stream_runs_at_no_more_endpoints_than_its_route_allows() {
    let world = World::start().await;
    world.first_faults(breaks_at(EVENT_BYTES + 6)).await;
    // Of its own bytes, which begin with the second event.
    world.second_faults(breaks_at(EVENT_BYTES + 6)).await;
    let answer = world.send(&stream("drafts", "a1", "x")).await;
    assert!(!answer.is_complete);
    assert_eq!(answer.body, EVENTS[..2 * EVENT_BYTES]);
    assert_eq!(world.site.run_count("a1").await, 2);
}

#[actix_rt::test]
async fn an_endpoint_that_refuses_is_passed_over() {
    let mut world = World::start().await;
    let third = add_second_choice(&mut world.site);
    let instance = world.site.endpoints[third].instance.clone();
    world.until_listed(&instance).await;
    world.first_faults(breaks_at(EVENT_BYTES + 6)).await;
    let full = BackendFaults {
        refuse: 1,
        ..BackendFaults::default()
    };
    world.second_faults(full).await;
    let answer = world.send(&stream("drafts", "a1", "x")).await;
    assert_eq!((answer.body.as_str(), answer.is_complete), (EVENTS, true));
    assert_eq!(world.site.run_count("a1").await, 2);
}

#[actix_rt::test]
async fn an_endpoint_that_begins_again_repeats_no_event() {
    let world = World::start().await;
    world.first_faults(breaks_at(EVENT_BYTES + 6)).await;
    let forgetful = BackendFaults {
        forget_events: 1,
        ..BackendFaults::default()
    };
    world.second_faults(forgetful).await;
    let answer = world.send(&stream("drafts", "a1", "x")).await;
    assert!(!answer.is_complete);
    assert_eq!(answer.body, EVENTS[..EVENT_BYTES]);
}

#[actix_rt::test]
async fn a_stream_that_may_not_be_resumed_runs_once() {
    for route in ["live", "talks"] {
        let world = World::start().await;
        world.first_faults(breaks_at(EVENT_BYTES + 6)).await;
        let attempt = format!("{route}-1");
        let answer = world.send(&stream(route, &attempt, "x")).await;
        assert!(!answer.is_complete);
        assert!(EVENTS.starts_with(&answer.body));
        assert_eq!(world.site.run_count(&attempt).await, 1, "{route}");
        // Nor does its caller's wish make it one.
        let again = format!("{route}-2");
        let ask = stream(route, &again, "x").header("last-event-id", "0");
        let answer = world.send(&ask).await;
        assert_eq!((answer.body.as_str(), answer.is_complete), (EVENTS, true));
        let mut runs = world.first_runs().await;
        runs.extend(world.second_runs().await);
        assert!(!runs[&again].headers.contains_key("last-event-id"));
    }
}

#[actix_rt::test]
async fn a_caller_resumes_its_stream_at_any_host() {
    let world = World::start().await;
    world.first_faults(breaks_at(EVENT_BYTES + 6)).await;
    world.second_faults(breaks_at(3)).await;
    let cut = world.send(&stream("drafts", "a1", "x")).await;
    assert!(!cut.is_complete);
    assert_eq!(cut.body, EVENTS[..EVENT_BYTES]);
    let other = world.site.start_gateway();
    other.wait_until_ready().await;
    // Its first endpoint breaks off before it has given an event.
    world.first_faults(breaks_at(3)).await;
    let ask = stream("drafts", "a2", "x").header("last-event-id", "0");
    let rest = ask.send(other.front).await;
    let got = (rest.status, rest.body.as_str(), rest.is_complete);
    assert_eq!(got, (200, &EVENTS[EVENT_BYTES..], true));
    for runs in [world.first_runs().await, world.second_runs().await] {
        assert_eq!(runs["a2"].headers["last-event-id"], "0");
    }
}

#[actix_rt::test]
async fn a_resumed_turn_is_recorded_whole_and_counted_once() {
    let world = World::start().await;
    world.first_faults(breaks_at(EVENT_BYTES + 6)).await;
    let answer = world.send(&stream("chats", "t1", "first|")).await;
    assert_eq!((answer.body.as_str(), answer.is_complete), (EVENTS, true));
    // Lines are written beside the traffic.
    wait_until("the turn's steps are written", async || {
        !world.gateway.events("turn-recorded").is_empty()
    })
    .await;
    let recorded = world.gateway.events("turn-recorded");
    assert_eq!(recorded.len(), 1);
    assert_eq!(recorded[0]["tokens"], 30);
    let ask = stream("chats", "t2", "second|").previous("t1");
    let next = world.send(&ask).await;
    assert_eq!(next.status, 200);
    let mut runs = world.first_runs().await;
    runs.extend(world.second_runs().await);
    assert_eq!(runs["t2"].body, format!("first|{OUTPUT}second|"));
}

#[actix_rt::test]
async fn a_turn_that_its_caller_resumes_is_recorded_whole() {
    let world = World::start().await;
    let ask = stream("chats", "t1", "first|").header("last-event-id", "0");
    let rest = world.send(&ask).await;
    let got = (rest.status, rest.body.as_str(), rest.is_complete);
    assert_eq!(got, (200, &EVENTS[EVENT_BYTES..], true));
    let runs = world.first_runs().await;
    assert!(!runs["t1"].headers.contains_key("last-event-id"));
    let ask = stream("chats", "t2", "second|").previous("t1");
    assert_eq!(world.send(&ask).await.status, 200);
    let runs = world.first_runs().await;
    assert_eq!(runs["t2"].body, format!("first|{OUTPUT}second|"));
}

/// Whether a program of a route without history may take another turn after one
/// of three events, which its caller resumed itself or not.
async fn may_go_on(budget: &str, by_caller: bool) -> bool {
    let world = World::start().await;
    let turn = |attempt: &str| stream("drafts", attempt, "x").header("token-budget", budget);
    world.first_faults(breaks_at(EVENT_BYTES + 6)).await;
    if by_caller {
        world.second_faults(breaks_at(3)).await;
        let cut = world.send(&turn("a1")).await;
        assert_eq!((cut.body.len(), cut.is_complete), (EVENT_BYTES, false));
        let ask = turn("a2").header("last-event-id", "0");
        let rest = world.send(&ask).await;
        let got = (rest.body.as_str(), rest.is_complete);
        assert_eq!(got, (&EVENTS[EVENT_BYTES..], true));
    } else {
        let answer = world.send(&turn("a1")).await;
        assert_eq!((answer.body.as_str(), answer.is_complete), (EVENTS, true));
    }
    let next = world.send(&turn("a3")).await;
    assert!(matches!(next.status, 200 | 402), "{}", next.status);
    next.status == 200
}

#[actix_rt::test]
async fn the_tokens_of_all_runs_count_against_the_budget_and_each_once() {
    // Three events of 10 tokens were handed out; a turn may generate 100.
    for by_caller in [false, true] {
        assert!(may_go_on("130", by_caller).await);
        assert!(!may_go_on("129", by_caller).await);
    }
}

#[actix_rt::test]
async fn a_stream_whose_caller_left_is_not_resumed() {
    let world = World::start().await;
    let silent = BackendFaults {
        stall_streams: 1,
        break_at_bytes: EVENT_BYTES,
        ..BackendFaults::default()
    };
    world.first_faults(silent).await;
    let mut connection = Connection::open(world.gateway.front).await.unwrap();
    let ask = stream("drafts", "a1", "x");
    let response = connection.send(ask.request()).await.unwrap();
    let mut body = response.into_body();
    assert!(body.frame().await.unwrap().unwrap().is_data());
    drop(connection);
    wait_until("the gateway has seen it", async || {
        let ended = world.gateway.events("request-ended");
        ended.iter().any(|event| event["reason"] == "caller-left")
    })
    .await;
    assert_eq!(world.site.run_count("a1").await, 1);
}
