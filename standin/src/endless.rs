//! Servers and clients that send bytes until the other side closes the connection.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Size in bytes of a block that is written at once.
const BLOCK_BYTES: usize = 16 << 10;
/// Longest time for which a connection is written to.
const MAX_TIME: Duration = Duration::from_secs(30);

/// A form of bytes that are sent without an end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Endless {
    /// Bytes without a line break, in place of a head.
    Line,
    /// Empty lines in place of a head.
    EmptyLines,
    /// Header lines.
    Headers,
    /// Interim responses.
    InterimResponses,
    /// The size of a chunk.
    ChunkSize,
    /// A body of chunks.
    Chunks,
    /// A body that ends with its connection.
    Unframed,
    /// Trailers after a body of chunks.
    Trailers,
    /// An event of a stream.
    Event,
    /// Events of a stream, each of which is valid.
    Events,
}

/// All forms of answers.
pub const ANSWERS: [Endless; 10] = [
    Endless::Line,
    Endless::EmptyLines,
    Endless::Headers,
    Endless::InterimResponses,
    Endless::ChunkSize,
    Endless::Chunks,
    Endless::Unframed,
    Endless::Trailers,
    Endless::Event,
    Endless::Events,
];

impl Endless {
    /// Returns the bytes before those that are repeated, as the answer to an attempt.
    fn prefix(self, attempt: &str) -> String {
        let head = format!(
            "HTTP/1.1 200 OK\r\nattempt-id: {attempt}\r\nresponse-stamp: stamp\r\n\
             content-type: text/event-stream\r\n"
        );
        let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n");
        match self {
            Self::Line | Self::EmptyLines | Self::InterimResponses => String::new(),
            Self::Headers => head,
            Self::Unframed => format!("{head}\r\n"),
            Self::Event => format!("{head}\r\nid: 0\ndata: "),
            Self::Events => format!("{head}\r\n"),
            Self::ChunkSize | Self::Chunks => chunked,
            Self::Trailers => format!("{chunked}4\r\nbody\r\n0\r\n"),
        }
    }

    /// Returns the bytes that are repeated, for the `number`-th time.
    fn block(self, number: usize) -> Vec<u8> {
        let repeated = |text: &str| text.repeat(BLOCK_BYTES / text.len()).into_bytes();
        match self {
            Self::Line | Self::Unframed | Self::Event => repeated("x"),
            Self::EmptyLines => repeated("\r\n"),
            Self::Headers | Self::Trailers => repeated("x-more: value\r\n"),
            Self::InterimResponses => repeated("HTTP/1.1 100 Continue\r\n\r\n"),
            Self::ChunkSize => repeated("0"),
            Self::Chunks => {
                let size = BLOCK_BYTES;
                let mut block = format!("{size:x}\r\n").into_bytes();
                block.extend(std::iter::repeat_n(b'x', size));
                block.extend(b"\r\n");
                block
            }
            Self::Events => {
                let events = (0..100).map(|event| {
                    let id = number * 100 + event;
                    format!("id: {id}\ndata: {}\n\n", "x".repeat(150))
                });
                events.collect::<String>().into_bytes()
            }
        }
    }
}

/// A server whose answers have no end. Its threads end with the process.
#[derive(Debug)]
pub struct EndlessServer {
    /// The address that it listens on.
    pub address: SocketAddr,
    state: Arc<State>,
}

#[derive(Debug, Default)]
struct State {
    open: AtomicUsize,
    /// Time for which each connection was written to, once it is closed.
    times: Mutex<Vec<Duration>>,
}

impl EndlessServer {
    /// Starts a server. After each block it pauses for `pause`.
    ///
    /// # Errors
    ///
    /// Fails when loopback has no free port.
    pub fn start(endless: Endless, pause: Duration) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = Arc::new(State::default());
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let state = Arc::clone(&shared);
                state.open.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    let time = answer(stream, endless, pause);
                    lock(&state.times).extend(time);
                    state.open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        Ok(Self { address, state })
    }

    /// Returns the number of connections that are open.
    pub fn open_count(&self) -> usize {
        self.state.open.load(Ordering::SeqCst)
    }

    /// Returns the number of answers so far that were closed by the other side.
    pub fn answer_count(&self) -> usize {
        lock(&self.state.times).len()
    }

    /// Returns the longest time for which an answer was read.
    pub fn longest_answer(&self) -> Duration {
        let times = lock(&self.state.times);
        times.iter().copied().max().unwrap_or_default()
    }
}

/// Reads the head of a request and answers it until the connection is closed. Returns how long
/// that took, or none if there was no request.
fn answer(mut stream: TcpStream, endless: Endless, pause: Duration) -> Option<Duration> {
    let mut request = Vec::new();
    let mut buffer = [0; 4_096];
    while !request.windows(4).any(|end| end == b"\r\n\r\n") {
        let bytes = stream.read(&mut buffer).ok().filter(|bytes| *bytes > 0)?;
        request.extend_from_slice(&buffer[..bytes]);
    }
    let head = String::from_utf8_lossy(&request).to_ascii_lowercase();
    let mut lines = head.lines();
    let attempt = lines.find_map(|line| line.strip_prefix("attempt-id: "));
    let prefix = endless.prefix(attempt.unwrap_or("none"));
    Some(write(&mut stream, prefix.as_bytes(), endless, pause))
}

/// Sends a prefix and then blocks without an end, and returns the time until the other side
/// closed the connection.
///
/// # Errors
///
/// Fails when no connection is accepted.
pub fn send(
    to: SocketAddr,
    prefix: &str,
    endless: Endless,
    pause: Duration,
) -> io::Result<Duration> {
    let mut stream = TcpStream::connect(to)?;
    Ok(write(&mut stream, prefix.as_bytes(), endless, pause))
}

/// Locks times; a thread that panicked has left them as they were.
fn lock(times: &Mutex<Vec<Duration>>) -> MutexGuard<'_, Vec<Duration>> {
    times.lock().unwrap_or_else(PoisonError::into_inner)
}

fn write(stream: &mut TcpStream, prefix: &[u8], endless: Endless, pause: Duration) -> Duration {
    let started = Instant::now();
    let has_timeout = stream.set_write_timeout(Some(MAX_TIME)).is_ok();
    if has_timeout && stream.write_all(prefix).is_ok() {
        for number in 0.. {
            let is_late = started.elapsed() > MAX_TIME;
            if is_late || stream.write_all(&endless.block(number)).is_err() {
                break;
            }
            thread::sleep(pause);
        }
    }
    let elapsed = started.elapsed();
    // It may be closed already.
    let _ = stream.shutdown(Shutdown::Both);
    elapsed
}
