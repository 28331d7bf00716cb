//! Tests of overload control: while an engine's responses are slow because of
//! its queue, a gateway refuses new programs and serves programs in progress.

mod support;

use std::cell::Cell;
use std::time::Duration;

use futures_util::future::join_all;
use rosebend_standin::backend::BackendFaults;
use rosebend_transport::connection::Connection;
use support::{Site, TestRequest, wait_until};

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
