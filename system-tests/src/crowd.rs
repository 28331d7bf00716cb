//! Crowds of clients that send large, incomplete or oversized requests, and the memory and
//! descriptors of the process that serves them.

use std::{
    collections::HashSet,
    fs, io,
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};

/// Memory of the smallest host. Bytes that were received and not yet read count.
pub const MAX_MEMORY_BYTES: u64 = 88_000_000;
/// Descriptors of the smallest host.
pub const MAX_DESCRIPTORS: usize = 4_100;

/// Descriptors that a test process needs for the largest crowd and its servers.
const TEST_DESCRIPTORS: u64 = 12_000;
/// One of this many clients of a crowd ends its request; the others stop short of the end.
const WHOLE_INTERVAL: usize = 8;
/// Size of one write.
const WRITE_BYTES: usize = 64 << 10;
/// Number of pieces of a body that is sent piece by piece, and the pause between them.
const PIECES: usize = 8;
const PIECE_PAUSE: Duration = Duration::from_millis(20);
/// Number of chunks of one byte in a body of small chunks.
const SMALL_CHUNKS: usize = 24 << 10;
/// Factor by which oversized bodies exceed the limit, as announced and as sent.
const ANNOUNCED_FACTOR: usize = 64;
const SENT_FACTOR: usize = 2;
/// Sizes of the heads that stop short of their end.
const HEAD_BYTES: usize = 15_000;
const OVERSIZED_HEAD_BYTES: usize = 120_000;
/// Size of a header of such a head. Servers limit the number of headers.
const HEADER_BYTES: usize = 2_000;
/// Number of requests on a connection of HTTP/2, number of frames of each, and their size.
const HTTP2_STREAMS: u32 = 100;
const HTTP2_FRAMES: usize = 4;
const HTTP2_FRAME_BYTES: usize = 16_000;
/// Size of a header in a head of HTTP/2 that has no end.
const HTTP2_HEADER_BYTES: usize = 240;
/// Longest time in which nothing of a request is accepted before its client stops.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time between two samples of a process.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(15);

/// Form of the request that a client sends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Form {
    /// A body of the largest size, with its length, at once.
    Sized,
    /// A body of the largest size, with its length, in pieces.
    SizedInPieces,
    /// A body of the largest size in large chunks.
    LargeChunks,
    /// A body in chunks of one byte.
    SmallChunks,
    /// A body beyond the limit whose length is announced.
    AnnouncedOverLimit,
    /// A body of chunks beyond the limit.
    ChunkedOverLimit,
    /// A head that stops short of its end.
    Head,
    /// A head beyond the limit that stops short of its end.
    OversizedHead,
    /// Requests of HTTP/2 without a token, whose bodies stop short of their end.
    Http2Bodies,
    /// A head of HTTP/2 that has no end.
    Http2Head,
    /// Nothing.
    Idle,
}

impl Form {
    /// All forms that send a body.
    pub const BODIES: [Self; 6] = [
        Self::Sized,
        Self::SizedInPieces,
        Self::LargeChunks,
        Self::SmallChunks,
        Self::AnnouncedOverLimit,
        Self::ChunkedOverLimit,
    ];

    /// Number of clients that send one after the other. Bodies are sent at the same time.
    fn clients_per_thread(self) -> usize {
        match self {
            Self::Head | Self::OversizedHead | Self::Http2Head | Self::Idle => 100,
            _ => 1,
        }
    }
}

/// The request that the clients of a crowd send.
#[derive(Clone, Debug)]
pub struct CrowdRequest {
    /// Request line and headers, each with its line end, without those that frame the body.
    pub head: String,
    /// Largest legal body.
    pub max_body_bytes: usize,
}

/// Clients that have sent, or are sending, and keep their connections open until they are
/// dropped.
#[derive(Debug)]
pub struct Crowd {
    clients: Vec<JoinHandle<Vec<TcpStream>>>,
    /// Connections of clients that have sent.
    open: Vec<TcpStream>,
}

impl Crowd {
    /// Starts clients of each form in the given number.
    ///
    /// # Panics
    ///
    /// Panics if the descriptors of the test process do not suffice.
    pub fn start(to: SocketAddr, request: &CrowdRequest, forms: &[(Form, usize)]) -> Self {
        raise_descriptor_limit();
        let mut clients = Vec::new();
        for &(form, count) in forms {
            let numbers: Vec<usize> = (0..count).collect();
            for numbers in numbers.chunks(form.clients_per_thread()) {
                let (request, numbers) = (request.clone(), numbers.to_vec());
                clients.push(thread::spawn(move || {
                    let send = |number: usize| {
                        let is_whole = number.is_multiple_of(WHOLE_INTERVAL);
                        // The server may refuse or close the connection.
                        send(to, &request, form, is_whole).ok()
                    };
                    numbers.into_iter().filter_map(send).collect()
                }));
            }
        }
        Self {
            clients,
            open: Vec::new(),
        }
    }

    /// Returns whether all clients have sent what they send, or were cut off.
    pub fn has_sent(&self) -> bool {
        self.clients.iter().all(JoinHandle::is_finished)
    }

    /// Returns whether the server has closed all connections. The clients must have sent what
    /// they send.
    ///
    /// # Panics
    ///
    /// Panics if a client did.
    pub fn is_disconnected(&mut self) -> bool {
        for client in self.clients.drain(..) {
            self.open
                .extend(client.join().expect("a client does not panic"));
        }
        self.open.retain_mut(|stream| !is_closed(stream));
        self.open.is_empty()
    }
}

/// Reads what has arrived, and returns whether the connection has ended.
fn is_closed(stream: &mut TcpStream) -> bool {
    let mut part = [0; 4 << 10];
    loop {
        let read = stream
            .set_nonblocking(true)
            .and_then(|()| stream.read(&mut part));
        match read {
            Ok(0) => return true,
            Ok(_) => {}
            Err(error) => return error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

/// Allows the test process as many descriptors as the largest crowd needs.
fn raise_descriptor_limit() {
    let limit = getrlimit(Resource::Nofile);
    if limit
        .current
        .is_some_and(|current| current < TEST_DESCRIPTORS)
    {
        let raised = Rlimit {
            current: Some(TEST_DESCRIPTORS),
            maximum: limit.maximum,
        };
        setrlimit(Resource::Nofile, raised).expect("the limit of descriptors can be raised");
    }
}

/// Sends a request and returns its connection, which stays open.
fn send(
    to: SocketAddr,
    request: &CrowdRequest,
    form: Form,
    is_whole: bool,
) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(to)?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
    let (head, max_bytes) = (&request.head, request.max_body_bytes);
    let sent_bytes = max_bytes - usize::from(!is_whole);
    match form {
        Form::Sized => {
            write!(stream, "{head}content-length: {max_bytes}\r\n\r\n")?;
            write_body(&mut stream, sent_bytes)?;
        }
        Form::SizedInPieces => {
            write!(stream, "{head}content-length: {max_bytes}\r\n\r\n")?;
            for piece in 0..PIECES {
                let piece_bytes = sent_bytes * (piece + 1) / PIECES - sent_bytes * piece / PIECES;
                write_body(&mut stream, piece_bytes)?;
                thread::sleep(PIECE_PAUSE);
            }
        }
        Form::LargeChunks => {
            write!(stream, "{head}transfer-encoding: chunked\r\n\r\n")?;
            write_chunks(&mut stream, max_bytes, is_whole)?;
        }
        Form::SmallChunks => {
            write!(stream, "{head}transfer-encoding: chunked\r\n\r\n")?;
            let chunks = b"1\r\nx\r\n".repeat(SMALL_CHUNKS);
            stream.write_all(&chunks)?;
            if is_whole {
                stream.write_all(b"0\r\n\r\n")?;
            }
        }
        Form::AnnouncedOverLimit => {
            let announced_bytes = max_bytes * ANNOUNCED_FACTOR;
            write!(stream, "{head}content-length: {announced_bytes}\r\n\r\n")?;
            write_body(&mut stream, max_bytes * SENT_FACTOR)?;
        }
        Form::ChunkedOverLimit => {
            write!(stream, "{head}transfer-encoding: chunked\r\n\r\n")?;
            write_chunks(&mut stream, max_bytes * SENT_FACTOR, is_whole)?;
        }
        Form::Head => write_head(&mut stream, head, HEAD_BYTES)?,
        Form::OversizedHead => write_head(&mut stream, head, OVERSIZED_HEAD_BYTES)?,
        Form::Http2Bodies => write_http2_bodies(&mut stream, head)?,
        Form::Http2Head => write_http2_head(&mut stream, head)?,
        Form::Idle => {}
    }
    Ok(stream)
}

fn write_body(stream: &mut TcpStream, bytes: usize) -> io::Result<()> {
    let block = vec![b'x'; WRITE_BYTES.min(bytes)];
    let mut remaining = bytes;
    while remaining > 0 {
        let written = remaining.min(block.len());
        stream.write_all(&block[..written])?;
        remaining -= written;
    }
    Ok(())
}

/// Writes chunks of [`WRITE_BYTES`]. Unless the body is whole, the last one is a byte short.
fn write_chunks(stream: &mut TcpStream, bytes: usize, is_whole: bool) -> io::Result<()> {
    let block = vec![b'x'; WRITE_BYTES];
    let mut remaining = bytes;
    while remaining > 0 {
        let size = remaining.min(block.len());
        remaining -= size;
        write!(stream, "{size:x}\r\n")?;
        if remaining == 0 && !is_whole {
            return stream.write_all(&block[..size - 1]);
        }
        stream.write_all(&block[..size])?;
        stream.write_all(b"\r\n")?;
    }
    stream.write_all(b"0\r\n\r\n")
}

fn write_head(stream: &mut TcpStream, head: &str, bytes: usize) -> io::Result<()> {
    let line = format!("x-more: {}\r\n", "x".repeat(HEADER_BYTES));
    let lines = line.repeat(bytes.saturating_sub(head.len()) / line.len());
    write!(stream, "{head}{lines}")
}

/// Types and flags of frames of HTTP/2.
const DATA: u8 = 0;
const HEADERS: u8 = 1;
const SETTINGS: u8 = 4;
const CONTINUATION: u8 = 9;
const END_HEADERS: u8 = 4;

fn write_frame(
    stream: &mut TcpStream,
    kind: u8,
    flags: u8,
    id: u32,
    payload: &[u8],
) -> io::Result<()> {
    let length = u32::try_from(payload.len()).expect("a frame is small");
    let mut frame = length.to_be_bytes()[1..].to_vec();
    frame.extend([kind, flags]);
    frame.extend(id.to_be_bytes());
    frame.extend(payload);
    stream.write_all(&frame)
}

/// Appends a header without compression.
fn push_header(block: &mut Vec<u8>, name: &str, value: &str) {
    block.push(0);
    for text in [name, value] {
        block.push(u8::try_from(text.len()).expect("a header is short"));
        block.extend(text.as_bytes());
    }
}

fn start_http2(stream: &mut TcpStream, head: &str) -> io::Result<Vec<u8>> {
    stream.write_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")?;
    write_frame(stream, SETTINGS, 0, 0, &[])?;
    let path = head.split(' ').nth(1).unwrap_or("/");
    let mut block = Vec::new();
    push_header(&mut block, ":method", "POST");
    push_header(&mut block, ":scheme", "http");
    push_header(&mut block, ":path", path);
    push_header(&mut block, ":authority", "caribmar.example");
    push_header(&mut block, "content-type", "application/grpc");
    push_header(&mut block, "te", "trailers");
    Ok(block)
}

/// Starts many requests on a connection, as far as the server's windows allow.
fn write_http2_bodies(stream: &mut TcpStream, head: &str) -> io::Result<()> {
    let block = start_http2(stream, head)?;
    // The server's settings raise its windows.
    thread::sleep(PIECE_PAUSE);
    let mut body = vec![b'x'; HTTP2_FRAME_BYTES];
    // The prefix of a message of the largest size.
    body[..5].copy_from_slice(&[0, 0, 0x3f, 0xff, 0xff]);
    for number in 0..HTTP2_STREAMS {
        let id = 2 * number + 1;
        write_frame(stream, HEADERS, END_HEADERS, id, &block)?;
        for _ in 0..HTTP2_FRAMES {
            write_frame(stream, DATA, 0, id, &body)?;
        }
    }
    Ok(())
}

fn write_http2_head(stream: &mut TcpStream, head: &str) -> io::Result<()> {
    let block = start_http2(stream, head)?;
    write_frame(stream, HEADERS, 0, 1, &block)?;
    let mut block = Vec::new();
    while block.len() + HTTP2_HEADER_BYTES < HTTP2_FRAME_BYTES {
        push_header(&mut block, "x-more", &"x".repeat(HTTP2_HEADER_BYTES / 2));
    }
    for _ in 0..HTTP2_FRAMES {
        write_frame(stream, CONTINUATION, 0, 1, &block)?;
    }
    Ok(())
}

/// The most that a process has held at a time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PeakUsage {
    /// Resident memory and bytes that were received and not yet read.
    pub memory_bytes: u64,
    /// The part of them that was not yet read, at its own peak.
    pub unread_bytes: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

impl PeakUsage {
    /// Returns the larger of each value.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            memory_bytes: self.memory_bytes.max(other.memory_bytes),
            unread_bytes: self.unread_bytes.max(other.unread_bytes),
            descriptors: self.descriptors.max(other.descriptors),
        }
    }
}

/// Samples the memory and descriptors of a process until it is stopped.
#[derive(Debug)]
pub struct UsageMonitor {
    is_stopped: Arc<AtomicBool>,
    sampling: JoinHandle<PeakUsage>,
}

impl UsageMonitor {
    /// Starts to sample a process that listens on these addresses.
    pub fn start(process: u32, listeners: &[SocketAddr]) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&is_stopped);
        let ports = listeners.iter().map(SocketAddr::port).collect();
        let sampling = thread::spawn(move || {
            let mut peak = PeakUsage::default();
            while !stopped.load(Ordering::Relaxed) {
                add_sample(&mut peak, process, &ports);
                thread::sleep(SAMPLE_INTERVAL);
            }
            // The peak between two samples.
            let resident_bytes = memory_bytes(process, "VmHWM:");
            peak.memory_bytes = peak.memory_bytes.max(resident_bytes);
            peak
        });
        Self {
            is_stopped,
            sampling,
        }
    }

    /// Returns what a process holds, and its peak of resident memory so far.
    pub fn sample(process: u32, listeners: &[SocketAddr]) -> PeakUsage {
        let mut usage = PeakUsage::default();
        let ports = listeners.iter().map(SocketAddr::port).collect();
        add_sample(&mut usage, process, &ports);
        usage.memory_bytes = usage.memory_bytes.max(memory_bytes(process, "VmHWM:"));
        usage
    }

    /// Ends the samples.
    ///
    /// # Panics
    ///
    /// Panics if a sample could not be read.
    pub fn stop(self) -> PeakUsage {
        self.is_stopped.store(true, Ordering::Relaxed);
        self.sampling.join().expect("samples can be read")
    }
}

fn add_sample(peak: &mut PeakUsage, process: u32, ports: &HashSet<u16>) {
    let mut sockets = HashSet::new();
    let mut descriptors = 0;
    if let Ok(entries) = fs::read_dir(format!("/proc/{process}/fd")) {
        for entry in entries.flatten() {
            descriptors += 1;
            // The descriptor may be closed already.
            let Ok(target) = fs::read_link(entry.path()) else {
                continue;
            };
            let target = target.to_string_lossy().into_owned();
            let inode = target.strip_prefix("socket:[");
            sockets.extend(inode.and_then(|inode| inode.strip_suffix(']')?.parse::<u64>().ok()));
        }
    }
    let unread_bytes = unread_bytes(&sockets, ports);
    let held_bytes = memory_bytes(process, "VmRSS:") + unread_bytes;
    peak.memory_bytes = peak.memory_bytes.max(held_bytes);
    peak.unread_bytes = peak.unread_bytes.max(unread_bytes);
    peak.descriptors = peak.descriptors.max(descriptors);
}

/// Returns a size that the status of a process has, or zero if the process has ended.
fn memory_bytes(process: u32, field: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let value = status.lines().find_map(|line| line.strip_prefix(field));
    let kib = value.and_then(|value| value.trim().strip_suffix(" kB")?.trim().parse::<u64>().ok());
    kib.unwrap_or_default() << 10
}

/// Returns the bytes in the receive queues of these sockets and of connections to these ports
/// that were not yet accepted.
fn unread_bytes(sockets: &HashSet<u64>, ports: &HashSet<u16>) -> u64 {
    /// State of a socket that listens. Its queue has connections, not bytes.
    const LISTENING: &str = "0A";
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let rows = table.lines().skip(1).filter_map(|line| {
        let mut fields = line.split_ascii_whitespace();
        let local = fields.nth(1)?;
        let state = fields.nth(1)?;
        let queues = fields.next()?;
        let inode: u64 = fields.nth(4)?.parse().ok()?;
        let port = u16::from_str_radix(local.split_once(':')?.1, 16).ok()?;
        let is_of_process = sockets.contains(&inode) || (inode == 0 && ports.contains(&port));
        let received = u64::from_str_radix(queues.split_once(':')?.1, 16).ok()?;
        (state != LISTENING && is_of_process).then_some(received)
    });
    rows.sum()
}
