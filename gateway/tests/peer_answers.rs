//! Answers of other gateways, with each way to frame a body.

use std::cell::Cell;
use std::net::SocketAddr;

use rosebend_gateway::peer_connections::{PeerConnections, PeerError};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const BODY: &[u8] = b"message";

/// A gateway that gives one answer and closes the connection.
async fn peer_that_answers(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = Vec::new();
        while !request.ends_with(b"question") {
            stream.read_buf(&mut request).await.unwrap();
        }
        stream.write_all(answer.as_bytes()).await.unwrap();
    });
    address
}

async fn ask(answer: &'static str) -> Result<Vec<u8>, PeerError> {
    let address = peer_that_answers(answer).await;
    let accepted = Cell::new(false);
    let connections = PeerConnections::default();
    let asked = connections.ask(address, "/x", b"question".to_vec(), &accepted);
    asked.await.map(|body| body.to_vec())
}

#[actix_rt::test]
async fn a_complete_answer_is_used() {
    let answers = [
        "HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\nmessage",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n7\r\nmessage\r\n0\r\n\r\n",
    ];
    for answer in answers {
        assert_eq!(ask(answer).await.unwrap(), BODY, "{answer:?}");
    }
}

/// Guards against a part of a program's history, or of a table, that is used as the whole.
#[actix_rt::test]
async fn an_answer_that_may_be_incomplete_is_not_used() {
    let answers = [
        "HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\nmessage",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n7\r\nmessage\r\n",
        "HTTP/1.1 200 OK\r\n\r\nmessage",
    ];
    for answer in answers {
        let asked = ask(answer).await;
        assert!(
            matches!(asked, Err(PeerError::Broken)),
            "{answer:?}: {asked:?}"
        );
    }
}
