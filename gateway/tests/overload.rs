//! Tests of overload control: while an engine's responses are slow because of
//! its queue, a gateway refuses new programs and serves programs in progress.

mod support;

use std::cell::Cell;
use std::time::Duration;

use futures_util::future::join_all;
use rosebend_standin::backend::BackendFaults;
use rosebend_standin::store::StoreFaults;
use rosebend_transport::connection::Connection;
use support::{Gateway, Site, TestRequest, TestResponse, wait_until};

const MODELS: usize = 0;

fn program(number: usize) -> TestRequest {
    TestRequest::turn(&format!("t{number}"), &format!("p{number}"), "x")
}

#[actix_rt::test]
async fn new_programs_are_refused_while_the_engine_is_slow() {
    let (site, gateway) = Site::start_with_gateway().await;
    for number in 0..5 {
        let answer = program(number).send(gateway.front).await;
        assert_eq!(answer.status, 200);
    }
    let slow = BackendFaults {
        delay_ms: 400,
        events: 5,
        ..BackendFaults::default()
    };
    site.set_endpoint_faults(MODELS, &slow).await;
    let front = gateway.front;
    let new_programs = (10..40).map(move |number| async move { program(number).send(front).await });
    let new_programs = actix_rt::spawn(join_all(new_programs));
    let next_number = Cell::new(100);
    wait_until("a new program is refused", async || {
        let number = next_number.replace(next_number.get() + 1);
        let mut connection = Connection::open(front).await.unwrap();
        let request = program(number).request();
        let response = connection.send(request).await.unwrap();
        response.status() == 503
    })
    .await;
    let refused = format!("t{}", next_number.get() - 1);
    assert_eq!(site.run_count(&refused).await, 0);
    let ended = gateway.events("request-ended");
    let ended = ended.iter().find(|event| event["attempt"] == *refused);
    assert_eq!(ended.unwrap()["reason"], "overloaded");
    for answer in new_programs.await.unwrap() {
        assert_eq!((answer.status, answer.is_complete), (200, true));
    }
    // A program in progress is still served.
    let next = TestRequest::turn("next", "p10", "x").previous("t10");
    assert_eq!(next.send(gateway.front).await.status, 200);
    // The estimate of the engine's queue decays without new measurements, so
    // new programs are accepted again once the engine responds quickly.
    site.set_endpoint_faults(MODELS, &BackendFaults::default())
        .await;
    actix_rt::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(program(51).send(gateway.front).await.status, 200);
}

#[actix_rt::test]
async fn a_program_without_history_is_new_until_its_first_completed_turn() {
    let without_history = |attempt: &str, program: &str| {
        TestRequest::turn(attempt, program, "x").at_path("/unkept/stream/turn")
    };
    let (site, gateway) = Site::start_with_gateway().await;
    for number in 0..5 {
        let answer = without_history(&format!("t{number}"), "p")
            .send(gateway.front)
            .await;
        assert_eq!(answer.status, 200);
    }
    let slow = BackendFaults {
        delay_ms: 400,
        events: 5,
        ..BackendFaults::default()
    };
    site.set_endpoint_faults(MODELS, &slow).await;
    let front = gateway.front;
    let new_programs = (10..40).map(move |number| async move {
        let name = number.to_string();
        TestRequest::turn(&name, &name, "x").send(front).await
    });
    let new_programs = actix_rt::spawn(join_all(new_programs));
    let next_number = Cell::new(100);
    wait_until("a new program is refused", async || {
        let number = next_number.replace(next_number.get() + 1).to_string();
        let mut connection = Connection::open(front).await.unwrap();
        let request = without_history(&number, &number).request();
        let response = connection.send(request).await.unwrap();
        response.status() == 503
    })
    .await;
    let next = without_history("next", "p").send(front).await;
    assert_eq!(
        next.status, 200,
        "a program in progress was refused: {}",
        next.body
    );
    new_programs.await.unwrap();
}

/// Builds a turn on a route that keeps no history.
fn turn_without_history(attempt: &str, program: &str) -> TestRequest {
    TestRequest::turn(attempt, program, "x").at_path("/unkept/stream/turn")
}

/// Number of programs whose turns come to a gateway that refuses new programs.
const PROGRAMS: usize = 5;

/// Runs the first turns of [`PROGRAMS`] programs without history at one gateway, and
/// fills the engines through the other until that one refuses a new program.
async fn start_programs_and_overload(site: &Site, first: &Gateway, second: &Gateway) {
    for number in 0..PROGRAMS {
        let ask = turn_without_history(&format!("first{number}"), &format!("p{number}"));
        assert_eq!(ask.send(first.front).await.status, 200);
        // The second gateway needs a first byte on an idle engine.
        let warm = program(100 + number).send(second.front).await;
        assert_eq!(warm.status, 200);
    }
    wait_until("the ledgers are stored", async || {
        first.metric("open_changes").await == 0 && second.metric("open_changes").await == 0
    })
    .await;
    let slow = BackendFaults {
        delay_ms: 700,
        events: 1,
        ..BackendFaults::default()
    };
    site.set_endpoint_faults(MODELS, &slow).await;
    let front = second.front;
    // Only the heads of the responses are awaited: the estimated wait of the queue halves
    // in 500 ms without first bytes.
    let new_programs = (10..50).map(move |number| async move {
        let mut connection = Connection::open(front).await.unwrap();
        connection.send(program(number).request()).await.unwrap();
    });
    join_all(new_programs).await;
    assert_new_program_is_refused(second, "probe-before").await;
}

async fn assert_new_program_is_refused(gateway: &Gateway, name: &str) {
    let answer = turn_without_history(name, name).send(gateway.front).await;
    assert_eq!(answer.status, 503, "a new program was admitted");
    assert!(answer.retry_after_s().is_some());
    let step = |kind| {
        let events = gateway.events(kind);
        events.into_iter().find(|event| event["attempt"] == *name)
    };
    // The log is read by another thread; the steps precede the end of the request in it.
    wait_until("the refusal is in the log", async || {
        step("request-ended").is_some()
    })
    .await;
    assert_eq!(step("request-ended").unwrap()["reason"], "overloaded");
    assert_eq!(step("ledger-read").unwrap()["reason"], "new");
    let decision = step("admission-refused").unwrap();
    // A wait of 50 ms is the least for which programs of this route are refused.
    assert!(decision["wait_ms"].as_u64() >= Some(50), "{decision}");
    assert!(decision["age_ms"].is_u64(), "{decision}");
}

/// Sends the second turns of all programs at the same time.
async fn send_second_turns(gateway: &Gateway) -> Vec<TestResponse> {
    let turns = (0..PROGRAMS).map(|number| async move {
        let ask = turn_without_history(&format!("second{number}"), &format!("p{number}"));
        ask.send(gateway.front).await
    });
    join_all(turns).await
}

/// Guards against the refusal of programs in progress at hosts that have not seen them:
/// the turns of one program come to several hosts, and a route without history does not
/// say whether a turn is the first.
#[actix_rt::test]
async fn a_program_without_history_that_started_at_another_gateway_is_not_refused() {
    let site = Site::start();
    let [first, second] = site.start_two_ready_gateways().await;
    start_programs_and_overload(&site, &first, &second).await;
    let (answers, ()) = futures_util::future::join(
        send_second_turns(&second),
        assert_new_program_is_refused(&second, "probe-after"),
    )
    .await;
    for answer in answers {
        assert_eq!(
            (answer.status, answer.is_complete),
            (200, true),
            "{}",
            answer.body
        );
    }
    // The turns were admitted because of the store, not because the queue was short.
    let lookups = |reason: &str| format!("ledger_lookups_total{{reason=\"{reason}\"}}");
    let in_progress = second.metric(&lookups("in-progress")).await;
    assert_eq!(in_progress, PROGRAMS as u64);
    assert_eq!(second.metric(&lookups("new")).await, 2);
    for probe in ["probe-before", "probe-after"] {
        assert_eq!(site.run_count(probe).await, 0);
    }
}

/// Guards against turns that wait for an unavailable store before they are refused, and
/// against admission of all programs while the store is unavailable.
#[actix_rt::test]
async fn programs_without_history_are_refused_as_new_while_the_store_does_not_answer() {
    let cases = [
        StoreFaults::refusing(),
        StoreFaults {
            slow_ms: 400,
            ..StoreFaults::default()
        },
    ];
    for faults in cases {
        let site = Site::start();
        let [first, second] = site.start_two_ready_gateways().await;
        start_programs_and_overload(&site, &first, &second).await;
        site.set_store_faults(&faults).await;
        for (number, answer) in send_second_turns(&second).await.iter().enumerate() {
            assert_eq!(answer.status, 503, "{}", answer.body);
            assert!(answer.retry_after_s().is_some());
            assert!(answer.body.contains("overloaded"), "{}", answer.body);
            assert_eq!(site.run_count(&format!("second{number}")).await, 0);
        }
    }
}
