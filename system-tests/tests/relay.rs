//! The relay itself.

use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    thread,
    time::Duration,
};

use rosebend_system_tests::{relay::Relay, sse::join_parts};

/// An address whose connections get back what they send.
fn echo() -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            thread::spawn(move || {
                let mut buffer = [0; 64];
                while let Ok(count @ 1..) = stream.read(&mut buffer) {
                    stream.write_all(&buffer[..count]).unwrap();
                }
            });
        }
    });
    address
}

fn connect(relay: &Relay) -> TcpStream {
    let stream = TcpStream::connect(relay.address()).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_millis(300)))
        .unwrap();
    stream
}

fn answers(stream: &mut TcpStream) -> bool {
    let mut buffer = [0; 5];
    stream.write_all(b"hello").unwrap();
    stream
        .read_exact(&mut buffer)
        .is_ok_and(|()| &buffer == b"hello")
}

#[test]
fn open_connections_go_silent_and_new_ones_work() {
    let relay = Relay::start(echo()).unwrap();
    let mut old = connect(&relay);
    assert!(answers(&mut old));
    relay.silence();
    assert!(!answers(&mut old));
    let mut new = connect(&relay);
    assert!(answers(&mut new));
    assert!(!answers(&mut old));
    relay.cut();
    assert_eq!(new.read(&mut [0; 5]).unwrap_or(0), 0);
    assert_eq!(relay.connection_count(), 2);
}

#[test]
fn a_gap_or_a_repetition_in_a_stream_is_found() {
    let part = |offset: u64| (offset, format!("{offset} "));
    assert_eq!(join_parts(3, &[part(3), part(4)]).unwrap(), "3 4 ");
    assert!(join_parts(0, &[part(0), part(2)]).is_err());
    assert!(join_parts(0, &[part(0), part(0)]).is_err());
}
