//! Tests that a client which sends small chunks does not keep other tasks of its thread waiting.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::poll_fn;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use actix_http::body::{BoxBody, MessageBody};
use actix_http::{Extensions, HttpService, Request, Response, StatusCode};
use actix_service::{IntoServiceFactory, Service, ServiceFactory, fn_service};
use futures_util::FutureExt;
use rosebend_state::settings::ClientSettings;
use rosebend_transport::clients::{
    BodyLimits, ClientMetrics, ClientStream, Clients, Protocol, listen, read_body, serve_request,
};
use rosebend_transport::clock::Clock;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const SETTINGS: ClientSettings = ClientSettings {
    memory_bytes: 88_000_000,
    max_descriptors: 4_100,
    body_timeout: Duration::from_secs(60),
    answer_timeout: Duration::from_secs(60),
};
const LIMITS: BodyLimits = BodyLimits {
    max_bytes: 4 << 20,
    copies: 1,
    max_discarded_bytes: 4 << 20,
    timeout: Duration::from_secs(60),
};
/// Number of chunks of the body, which fits into the receive buffer of a connection.
const CHUNKS: usize = 2_000;
/// Most chunks that may be read between two turns of another task.
const MAX_CHUNKS_PER_TURN: usize = 128;

/// Accepts one connection and serves it. Stores in `turns_of_body` how much `turns` grew while a
/// body was read.
async fn serve_one(listener: TcpListener, turns: Rc<Cell<usize>>, turns_of_body: Rc<Cell<usize>>) {
    let clients = Clients::new(&SETTINGS, Clock::start(), ClientMetrics::default());
    let handler = move |request: Request| {
        let (turns, turns_of_body) = (Rc::clone(&turns), Rc::clone(&turns_of_body));
        let handler = async move |mut request: Request| {
            let turns_before = turns.get();
            let body = read_body(&mut request, LIMITS).await;
            turns_of_body.set(turns.get() - turns_before);
            let length = body.map_or(0, |body| body.len()).to_string();
            Ok::<Response<BoxBody>, Infallible>(Response::with_body(StatusCode::OK, length.boxed()))
        };
        serve_request(request, 0, handler).boxed_local()
    };
    let service = HttpService::build()
        .on_connect_ext(|stream: &ClientStream, data: &mut Extensions| {
            data.insert(stream.limit());
            data.insert(stream.connection());
        })
        .h1(fn_service(handler).into_factory());
    let service = service.new_service(()).await.unwrap();
    let (stream, peer) = listener.accept().await.unwrap();
    let connection = clients.connect(Protocol::Http1).unwrap();
    let stream = ClientStream::new(stream, connection);
    // The client closes the connection.
    let _ = service.call((stream, Some(peer))).await;
}

/// Guards against a thread that parses small chunks without a pause, so that its calls to
/// other processes time out.
#[actix_rt::test]
async fn other_tasks_run_beside_small_chunks() {
    let listener = TcpListener::from_std(listen((Ipv4Addr::LOCALHOST, 0).into()).unwrap()).unwrap();
    // The whole request arrives before it is served.
    let mut stream = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let head = "POST / HTTP/1.1\r\nhost: desk.example\r\ntransfer-encoding: chunked\r\n\r\n";
    let request = [head, &"1\r\nx\r\n".repeat(CHUNKS), "0\r\n\r\n"].concat();
    stream.write_all(request.as_bytes()).await.unwrap();

    let turns = Rc::new(Cell::new(0));
    let counted = Rc::clone(&turns);
    actix_rt::spawn(poll_fn(move |context| {
        counted.set(counted.get() + 1);
        // Queues this task again behind those that are ready.
        context.waker().wake_by_ref();
        Poll::<()>::Pending
    }));
    let turns_of_body = Rc::new(Cell::new(0));
    actix_rt::spawn(serve_one(listener, turns, Rc::clone(&turns_of_body)));
    let expected = format!("\r\n\r\n{CHUNKS}");
    let mut answer = String::new();
    while !answer.ends_with(&expected) {
        let mut part = [0; 1_024];
        let bytes = stream.read(&mut part).await.unwrap();
        assert!(bytes > 0, "{answer}");
        answer.push_str(std::str::from_utf8(&part[..bytes]).unwrap());
    }
    let turns = turns_of_body.get();
    assert!(turns >= CHUNKS / MAX_CHUNKS_PER_TURN, "{turns} turns");
}
