//! The command line, and the binary's start and stop.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    process::{Child, Command as Process, Stdio},
    time::Duration,
};

use rosebend_standin::backend::BackendConfig;
use rosebend_standin::options::{Command, OptionsError, StandIn, parse};
use rosebend_standin::store::StoreConfig;

fn arguments(line: &str) -> Vec<String> {
    line.split_whitespace().map(str::to_owned).collect()
}

#[test]
fn options_are_read_and_their_errors_named() {
    let command = parse(&arguments(
        "engine --token-us 1000 --speed 10 --max-running 3",
    ))
    .unwrap();
    let Command::Run(address, StandIn::Engine(config)) = command else {
        panic!("{command:?}");
    };
    assert_eq!(address.port(), 0);
    assert_eq!(config.token_time, Duration::from_micros(100));
    assert_eq!(config.max_running, 3);
    for line in [
        "",
        "desk",
        "store --writes-per-second many",
        "service --delay 3",
    ] {
        assert!(parse(&arguments(line)).is_err(), "{line}");
    }
    let error = parse(&arguments("engine --speed 0")).unwrap_err();
    assert!(matches!(error, OptionsError::Value { name: "speed", .. }));
    let Ok(Command::Help(help)) = parse(&arguments("store --help")) else {
        panic!("help is no error");
    };
    assert!(help.contains("--writes-per-second"));
}

fn start(line: &str) -> (Child, SocketAddr) {
    let mut child = Process::new(env!("CARGO_BIN_EXE_rosebend-standin"))
        .args(arguments(line))
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut first = String::new();
    let stdout = child.stdout.take().unwrap();
    BufReader::new(stdout).read_line(&mut first).unwrap();
    let address = first.trim().strip_prefix("listening on ").unwrap();
    (child, address.parse().unwrap())
}

fn wait_for_open_call(address: SocketAddr) {
    for _ in 0..1000 {
        let mut asking = TcpStream::connect(address).unwrap();
        asking
            .write_all(b"GET /effects HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            .unwrap();
        let mut reply = String::new();
        asking.read_to_string(&mut reply).unwrap();
        if reply.contains("\"open\":1") {
            return;
        }
    }
    panic!("the call does not reach the service");
}

#[test]
fn a_request_in_flight_at_sigterm_is_finished() {
    let (mut child, address) = start("service --listen 127.0.0.1:0 --delay-ms 1500");
    let mut idle = TcpStream::connect(address).unwrap();
    let mut busy = TcpStream::connect(address).unwrap();
    busy.write_all(b"POST /fee HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}")
        .unwrap();
    wait_for_open_call(address);
    let killed = Process::new("kill").arg(child.id().to_string()).status();
    assert!(killed.unwrap().success());
    busy.set_read_timeout(Some(Duration::from_secs(30)))
        .unwrap();
    let mut reply = String::new();
    busy.read_to_string(&mut reply).unwrap();
    assert!(reply.starts_with("HTTP/1.1 200"), "{reply}");
    assert!(child.wait().unwrap().success());
    // The idle connection was closed rather than waited for.
    assert_eq!(idle.read(&mut [0]).unwrap_or(0), 0);
}

#[test]
fn the_stand_ins_of_the_users_platform_have_sub_commands() {
    let words = |text: &str| text.split(' ').map(str::to_owned).collect::<Vec<_>>();
    let store = parse(&words("store --listen 127.0.0.1:7340")).unwrap();
    let address = "127.0.0.1:7340".parse().unwrap();
    assert_eq!(
        store,
        Command::Run(address, StandIn::Store(StoreConfig::default()))
    );
    let backend = parse(&words("backend --listen 127.0.0.1:7340 --instance i-7")).unwrap();
    let expected = StandIn::Backend(BackendConfig::new("i-7"));
    assert_eq!(backend, Command::Run(address, expected));
    assert!(matches!(
        parse(&words("--version")).unwrap(),
        Command::Help(_)
    ));
}
