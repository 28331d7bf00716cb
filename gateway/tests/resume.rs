//! Tests that streams are resumed, by the gateway within one response and by their
//! caller with a new request, if and only if their route allows that.

mod support;

use http_body_util::BodyExt;
use rosebend_standin::backend::{BackendFaults, Runs};
use rosebend_transport::connection::Connection;
use serde_json::{Value, json};
use support::{Gateway, Site, TestRequest, TestResponse, routes, wait_until};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

const FIRST: usize = 0;
const EVENTS: &str = "id: 0\ndata: word0\n\nid: 1\ndata: word1\n\nid: 2\ndata: word2\n\n";
const OUTPUT: &str = "word0\nword1\nword2\n";
const EVENT_BYTES: usize = 19;

/// Returns a streaming route that keeps history, or may be resumed, independently of
/// each other.
fn stream_route(name: &str, keeps_history: bool, resumable: bool) -> Value {
    json!({
        "name": name, "host": "desk.example", "prefix": format!("/{name}/"),
        "kind": "streaming", "timeout-ms": 8000, "slo-ms": 400, "gap-slo-ms": 200,
        "priority": 0, "service": "models", "max-attempts": 2, "sticky": true,
        "resumable": resumable, "retain-history": keeps_history, "retention-s": 60.0,
    })
}

/// A site with two model endpoints, of which the first is selected before the second.
struct Fixture {
    site: Site,
    second: usize,
    gateway: Gateway,
}

impl Fixture {
    async fn start() -> Self {
        let mut site = Site::start();
        let second = add_warming_endpoint(&mut site);
        let mut config = routes(2);
        let declared = config["routes"].as_array_mut().unwrap();
        declared.push(stream_route("drafts", false, true));
        declared.push(stream_route("chats", true, true));
        declared.push(stream_route("live", false, false));
        declared.push(stream_route("talks", true, false));
        site.store.put("op", "config", &config);
        let gateway = site.start_gateway();
        gateway.wait_until_ready().await;
        let fixture = Self {
            site,
            second,
            gateway,
        };
        fixture
            .until_listed(&fixture.site.endpoints[second].instance)
            .await;
        fixture
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

/// Adds an endpoint that announces a long warm-up, so that it is selected only after
/// the first endpoint was tried.
fn add_warming_endpoint(site: &mut Site) -> usize {
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
async fn a_stream_that_breaks_off_at_any_byte_is_resumed_at_another_endpoint() {
    let break_positions = [1, EVENT_BYTES - 1, EVENT_BYTES, EVENT_BYTES + 6, 56, 57];
    for bytes in break_positions {
        let fixture = Fixture::start().await;
        fixture.first_faults(breaks_at(bytes)).await;
        let answer = fixture.send(&stream("drafts", "a1", "x")).await;
        let got = (answer.status, answer.body.as_str(), answer.is_complete);
        assert_eq!(got, (200, EVENTS, true), "cut after {bytes} bytes");
        let runs = fixture.second_runs().await;
        let last_event = runs["a1"].headers.get("last-event-id").cloned();
        let passed = bytes / EVENT_BYTES;
        let expected = passed.checked_sub(1).map(|last| last.to_string());
        assert_eq!(last_event, expected, "cut after {bytes} bytes");
        assert_eq!(runs["a1"].body, "x");
        // The headers are those of the run whose events were forwarded first.
        let first = match passed {
            0 => fixture.second,
            _ => FIRST,
        };
        let stamp = format!("stamp.{}", fixture.site.endpoints[first].instance);
        assert_eq!(answer.header("response-stamp"), Some(stamp.as_str()));
        // Events are logged asynchronously.
        wait_until("the events of the stream are logged", async || {
            !fixture.gateway.events("stream-resumed").is_empty()
        })
        .await;
        let resumed = fixture.gateway.events("stream-resumed");
        assert_eq!(resumed.len(), 1);
        assert_eq!(resumed[0]["reason"], "broken");
    }
}

#[actix_rt::test]
async fn a_stream_without_a_response_is_retried_at_another_endpoint() {
    let fixture = Fixture::start().await;
    let lost = BackendFaults {
        lose_answers: 1,
        ..BackendFaults::default()
    };
    fixture.first_faults(lost).await;
    let answer = fixture.send(&stream("drafts", "a1", "x")).await;
    assert_eq!((answer.status, answer.body.as_str()), (200, EVENTS));
    assert_eq!(fixture.site.run_count("a1").await, 2);
}

#[actix_rt::test]
async fn a_stalled_stream_is_resumed_at_another_endpoint() {
    for bytes in [0, EVENT_BYTES + 3] {
        let fixture = Fixture::start().await;
        let stalled = BackendFaults {
            stall_streams: 1,
            break_at_bytes: bytes,
            ..BackendFaults::default()
        };
        fixture.first_faults(stalled).await;
        let answer = fixture.send(&stream("drafts", "a1", "x")).await;
        let got = (answer.status, answer.body.as_str(), answer.is_complete);
        assert_eq!(got, (200, EVENTS, true), "stalled after {bytes} bytes");
    }
}

/// Guards against an answer that is cut because its endpoint is silent for a while and no
/// other endpoint takes the stream.
#[actix_rt::test]
async fn a_silent_endpoint_is_waited_for_if_no_other_one_takes_the_stream() {
    let full = BackendFaults {
        refuse: 100,
        ..BackendFaults::default()
    };
    // The endpoint is silent before its first event, or between events.
    for (delay_ms, events) in [(1_200, 1), (700, 3)] {
        let fixture = Fixture::start().await;
        let slow = BackendFaults {
            delay_ms,
            events,
            ..BackendFaults::default()
        };
        fixture.first_faults(slow).await;
        fixture.second_faults(full.clone()).await;
        let answer = fixture.send(&stream("drafts", "a1", "x")).await;
        let got = (answer.status, answer.is_complete);
        assert_eq!(got, (200, true), "{delay_ms} ms, {}", answer.body);
        assert_eq!(answer.body.matches("data: ").count() as u64, events);
        assert_eq!(fixture.site.run_count("a1").await, 1);
    }
}

/// Guards against two endpoints that work on the same stream: a silent one has to stop when
/// another one has accepted the stream, although that one has not begun to answer.
#[actix_rt::test]
async fn a_silent_endpoint_is_stopped_once_another_one_has_accepted_the_stream() {
    let fixture = Fixture::start().await;
    let first = &fixture.site.endpoints[FIRST].instance;
    fixture.site.store.delete("servers", first);
    wait_until("the first endpoint is withdrawn", async || {
        !fixture.gateway.events("endpoint-withdrawn").is_empty()
    })
    .await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let site = &fixture.site;
    site.announce_external("i-silent", "models", address);
    fixture.until_listed("i-silent").await;
    let slow = BackendFaults {
        delay_ms: 2_500,
        events: 1,
        ..BackendFaults::default()
    };
    fixture.second_faults(slow).await;
    let front = fixture.gateway.front;
    let ask = stream("drafts", "a1", "x");
    let answer = actix_rt::spawn(async move { ask.send(front).await });
    let (mut silent, _) = listener.accept().await.unwrap();
    let mut request = Vec::new();
    silent.read_to_end(&mut request).await.unwrap();
    assert!(request.starts_with(b"POST /drafts/stream "));
    assert!(fixture.second_runs().await.contains_key("a1"));
    assert!(!answer.is_finished());
    let answer = answer.await.unwrap();
    assert_eq!((answer.status, answer.is_complete), (200, true));
}

#[actix_rt::test]
async fn a_stream_that_ends_within_an_event_is_resumed() {
    let at = BackendFaults {
        break_at_bytes: EVENT_BYTES + 3,
        ..BackendFaults::default()
    };
    let chunked = BackendFaults {
        end_streams: 1,
        ..at.clone()
    };
    let close_delimited = BackendFaults {
        break_streams: 1,
        unframed: 1,
        ..at
    };
    for faults in [chunked, close_delimited] {
        let fixture = Fixture::start().await;
        fixture.first_faults(faults).await;
        let answer = fixture.send(&stream("drafts", "a1", "x")).await;
        let got = (answer.status, answer.body.as_str(), answer.is_complete);
        assert_eq!(got, (200, EVENTS, true));
    }
}

#[actix_rt::test]
async fn no_event_is_lost_if_an_endpoint_drains_and_breaks_off_a_stream() {
    let fixture = Fixture::start().await;
    let drains = BackendFaults {
        delay_ms: 200,
        ..breaks_at(EVENT_BYTES + 6)
    };
    fixture.first_faults(drains).await;
    let front = fixture.gateway.front;
    let ask = stream("drafts", "a1", "x");
    let asking = actix_rt::spawn(async move { ask.send(front).await });
    wait_until("it runs", async || fixture.site.run_count("a1").await == 1).await;
    fixture.site.announce(FIRST, "draining");
    let answer = asking.await.unwrap();
    let got = (answer.status, answer.body.as_str(), answer.is_complete);
    assert_eq!(got, (200, EVENTS, true));
}

#[actix_rt::test]
async fn a_stream_runs_at_no_more_endpoints_than_its_route_allows() {
    let fixture = Fixture::start().await;
    fixture.first_faults(breaks_at(EVENT_BYTES + 6)).await;
    // The position is relative to the second run, which starts with the second event.
    fixture.second_faults(breaks_at(EVENT_BYTES + 6)).await;
    let answer = fixture.send(&stream("drafts", "a1", "x")).await;
    assert!(!answer.is_complete);
    assert_eq!(answer.body, EVENTS[..2 * EVENT_BYTES]);
    assert_eq!(fixture.site.run_count("a1").await, 2);
}

#[actix_rt::test]
async fn an_endpoint_that_refuses_is_skipped() {
    let mut fixture = Fixture::start().await;
    let third = add_warming_endpoint(&mut fixture.site);
    let instance = fixture.site.endpoints[third].instance.clone();
    fixture.until_listed(&instance).await;
    fixture.first_faults(breaks_at(EVENT_BYTES + 6)).await;
    let full = BackendFaults {
        refuse: 1,
        ..BackendFaults::default()
    };
    fixture.second_faults(full).await;
    let answer = fixture.send(&stream("drafts", "a1", "x")).await;
    assert_eq!((answer.body.as_str(), answer.is_complete), (EVENTS, true));
    assert_eq!(fixture.site.run_count("a1").await, 2);
}

#[actix_rt::test]
async fn events_are_not_repeated_if_an_endpoint_ignores_the_last_event() {
    let fixture = Fixture::start().await;
    fixture.first_faults(breaks_at(EVENT_BYTES + 6)).await;
    let ignores_last_event = BackendFaults {
        forget_events: 1,
        ..BackendFaults::default()
    };
    fixture.second_faults(ignores_last_event).await;
    let answer = fixture.send(&stream("drafts", "a1", "x")).await;
    assert!(!answer.is_complete);
    assert_eq!(answer.body, EVENTS[..EVENT_BYTES]);
}

#[actix_rt::test]
async fn a_stream_that_may_not_be_resumed_runs_once() {
    for route in ["live", "talks"] {
        let fixture = Fixture::start().await;
        fixture.first_faults(breaks_at(EVENT_BYTES + 6)).await;
        let attempt = format!("{route}-1");
        let answer = fixture.send(&stream(route, &attempt, "x")).await;
        assert!(!answer.is_complete);
        assert!(EVENTS.starts_with(&answer.body));
        assert_eq!(fixture.site.run_count(&attempt).await, 1, "{route}");
        // The stream is not resumed at the request of its caller either.
        let again = format!("{route}-2");
        let ask = stream(route, &again, "x").header("last-event-id", "0");
        let answer = fixture.send(&ask).await;
        assert_eq!((answer.body.as_str(), answer.is_complete), (EVENTS, true));
        let mut runs = fixture.first_runs().await;
        runs.extend(fixture.second_runs().await);
        assert!(!runs[&again].headers.contains_key("last-event-id"));
    }
}

#[actix_rt::test]
async fn a_caller_resumes_its_stream_at_any_host() {
    let fixture = Fixture::start().await;
    fixture.first_faults(breaks_at(EVENT_BYTES + 6)).await;
    fixture.second_faults(breaks_at(3)).await;
    let cut = fixture.send(&stream("drafts", "a1", "x")).await;
    assert!(!cut.is_complete);
    assert_eq!(cut.body, EVENTS[..EVENT_BYTES]);
    let other = fixture.site.start_gateway();
    other.wait_until_ready().await;
    // The first endpoint breaks off before it has sent a whole event.
    fixture.first_faults(breaks_at(3)).await;
    let ask = stream("drafts", "a2", "x").header("last-event-id", "0");
    let rest = ask.send(other.front).await;
    let got = (rest.status, rest.body.as_str(), rest.is_complete);
    assert_eq!(got, (200, &EVENTS[EVENT_BYTES..], true));
    for runs in [fixture.first_runs().await, fixture.second_runs().await] {
        assert_eq!(runs["a2"].headers["last-event-id"], "0");
    }
}

#[actix_rt::test]
async fn a_resumed_turn_is_recorded_completely_and_counted_once() {
    let fixture = Fixture::start().await;
    fixture.first_faults(breaks_at(EVENT_BYTES + 6)).await;
    let answer = fixture.send(&stream("chats", "t1", "first|")).await;
    assert_eq!((answer.body.as_str(), answer.is_complete), (EVENTS, true));
    // Events are logged asynchronously.
    wait_until("the events of the turn are logged", async || {
        !fixture.gateway.events("turn-recorded").is_empty()
    })
    .await;
    let recorded = fixture.gateway.events("turn-recorded");
    assert_eq!(recorded.len(), 1);
    assert_eq!(recorded[0]["tokens"], 30);
    let ask = stream("chats", "t2", "second|").previous("t1");
    let next = fixture.send(&ask).await;
    assert_eq!(next.status, 200);
    let mut runs = fixture.first_runs().await;
    runs.extend(fixture.second_runs().await);
    assert_eq!(runs["t2"].body, format!("first|{OUTPUT}second|"));
}

#[actix_rt::test]
async fn a_turn_that_its_caller_resumes_is_recorded_completely() {
    let fixture = Fixture::start().await;
    let ask = stream("chats", "t1", "first|").header("last-event-id", "0");
    let rest = fixture.send(&ask).await;
    let got = (rest.status, rest.body.as_str(), rest.is_complete);
    assert_eq!(got, (200, &EVENTS[EVENT_BYTES..], true));
    let runs = fixture.first_runs().await;
    assert!(!runs["t1"].headers.contains_key("last-event-id"));
    let ask = stream("chats", "t2", "second|").previous("t1");
    assert_eq!(fixture.send(&ask).await.status, 200);
    let runs = fixture.first_runs().await;
    assert_eq!(runs["t2"].body, format!("first|{OUTPUT}second|"));
}

/// Returns true if a program of a route without history may take another turn after a
/// turn of three events. The first turn's stream is resumed by the caller if
/// `by_caller`, otherwise by the gateway.
async fn may_take_another_turn(budget: &str, by_caller: bool) -> bool {
    let fixture = Fixture::start().await;
    let turn = |attempt: &str| stream("drafts", attempt, "x").header("token-budget", budget);
    fixture.first_faults(breaks_at(EVENT_BYTES + 6)).await;
    if by_caller {
        fixture.second_faults(breaks_at(3)).await;
        let cut = fixture.send(&turn("a1")).await;
        assert_eq!((cut.body.len(), cut.is_complete), (EVENT_BYTES, false));
        let ask = turn("a2").header("last-event-id", "0");
        let rest = fixture.send(&ask).await;
        let got = (rest.body.as_str(), rest.is_complete);
        assert_eq!(got, (&EVENTS[EVENT_BYTES..], true));
    } else {
        let answer = fixture.send(&turn("a1")).await;
        assert_eq!((answer.body.as_str(), answer.is_complete), (EVENTS, true));
    }
    let next = fixture.send(&turn("a3")).await;
    assert!(matches!(next.status, 200 | 402), "{}", next.status);
    next.status == 200
}

#[actix_rt::test]
async fn the_tokens_of_all_runs_count_once_against_the_budget() {
    // Three events of 10 tokens were forwarded, and a turn may generate 100 tokens.
    for by_caller in [false, true] {
        assert!(may_take_another_turn("130", by_caller).await);
        assert!(!may_take_another_turn("129", by_caller).await);
    }
}

#[actix_rt::test]
async fn a_stream_is_not_resumed_after_its_caller_disconnected() {
    let fixture = Fixture::start().await;
    let stalled = BackendFaults {
        stall_streams: 1,
        break_at_bytes: EVENT_BYTES,
        ..BackendFaults::default()
    };
    fixture.first_faults(stalled).await;
    let mut connection = Connection::open(fixture.gateway.front).await.unwrap();
    let ask = stream("drafts", "a1", "x");
    let response = connection.send(ask.request()).await.unwrap();
    let mut body = response.into_body();
    assert!(body.frame().await.unwrap().unwrap().is_data());
    drop(connection);
    wait_until("the disconnection of the caller is logged", async || {
        let ended = fixture.gateway.events("request-ended");
        ended.iter().any(|event| event["reason"] == "caller-left")
    })
    .await;
    assert_eq!(fixture.site.run_count("a1").await, 1);
}
