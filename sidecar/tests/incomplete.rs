//! Answers of a service that break off, with each way to frame a body.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use rosebend_protocol::peer::FailureReason;
use support::{TestSidecar, Told, dispatch, incarnation, tool_call};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const CALL: &str = "caribmar/renewal-17#1";

/// How the service closes a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Close {
    Orderly,
    Reset,
}

/// A service that answers one request with given bytes and closes the connection.
async fn start_service(answer: &'static str, close: Close) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = Vec::new();
        while !request.ends_with(b"}") {
            stream.read_buf(&mut request).await.unwrap();
        }
        stream.write_all(answer.as_bytes()).await.unwrap();
        if close == Close::Reset {
            tokio::time::sleep(Duration::from_millis(50)).await;
            stream.set_zero_linger().unwrap();
        }
    });
    address
}

async fn call_tool(answer: &'static str, close: Close) -> Told {
    let service = start_service(answer, close).await;
    let sidecar = TestSidecar::start("service", service, "");
    let mut client = sidecar.client().await;
    let run = incarnation(&mut client).await;
    dispatch(&mut client, tool_call(CALL, &run)).await
}

/// Guards against a part of an answer that its caller receives as the whole, and that is
/// retained as the answer of its call.
#[actix_rt::test]
async fn an_answer_that_breaks_off_is_a_failure() {
    let table = [
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\ndone",
            Close::Orderly,
        ),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\ndone\r\n",
            Close::Orderly,
        ),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n8\r\ndone",
            Close::Orderly,
        ),
        ("HTTP/1.1 200 OK\r\n\r\ndone", Close::Reset),
    ];
    for (answer, close) in table {
        let told = call_tool(answer, close).await;
        assert!(told.finished.is_none(), "{answer:?}");
        let failure = told.failure.unwrap();
        assert_eq!(failure.reason(), FailureReason::EndpointCrashed);
        assert!(failure.may_have_run, "{answer:?}");
    }
}

#[actix_rt::test]
async fn a_close_delimited_answer_is_whole() {
    let answer = "HTTP/1.1 200 OK\r\n\r\ndone";
    let told = call_tool(answer, Close::Orderly).await;
    assert_eq!(told.parts, ["done"]);
    assert_eq!(told.finished.unwrap().status, 200);
}

/// Guards against a status that HTTP does not define, and that a caller takes for an answer.
#[actix_rt::test]
async fn an_answer_with_an_undefined_status_is_a_failure() {
    for answer in [
        "HTTP/1.1 000 Odd\r\ncontent-length: 4\r\n\r\ndone",
        "HTTP/1.1 099 Odd\r\ncontent-length: 4\r\n\r\ndone",
        "HTTP/1.1 101 Odd\r\ncontent-length: 4\r\n\r\ndone",
        "HTTP/1.1 600 Odd\r\ncontent-length: 4\r\n\r\ndone",
        "HTTP/1.1 999 Odd\r\ncontent-length: 4\r\n\r\ndone",
    ] {
        let told = call_tool(answer, Close::Orderly).await;
        assert!(told.finished.is_none(), "{answer:?}");
        assert_eq!(told.parts, Vec::<String>::new(), "{answer:?}");
        assert!(told.failure.unwrap().may_have_run, "{answer:?}");
    }
}
