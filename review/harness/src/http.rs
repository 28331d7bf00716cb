//! Requests of clients, each on a new connection, and their responses.

use std::fmt::Write as _;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Time for which a client waits for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request of HTTP/1.1.
#[derive(Clone, Debug)]
pub struct Request {
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers with lower-case names, without `content-length`.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

/// A response as far as it was received.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// Status code, or zero if no response began.
    pub status: u16,
    /// Headers with lower-case names.
    pub headers: Vec<(String, String)>,
    /// Bytes of the body.
    pub body: Vec<u8>,
    /// Whether the body was received up to its end.
    pub is_complete: bool,
}

impl Request {
    /// Creates a request without headers and body.
    pub fn new(method: &str, target: &str) -> Self {
        Self {
            method: method.to_owned(),
            target: target.to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: impl Into<Vec<u8>>) -> Self {
        self.body = body.into();
        self
    }

    /// Returns the bytes of the request.
    pub fn encode(&self) -> Vec<u8> {
        let mut head = format!("{} {} HTTP/1.1\r\n", self.method, self.target);
        if find_header(&self.headers, "host").is_none() {
            head.push_str("host: loopback\r\n");
        }
        for (name, value) in &self.headers {
            let _ = write!(head, "{name}: {value}\r\n");
        }
        let _ = write!(head, "content-length: {}\r\n\r\n", self.body.len());
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }

    /// Sends the request on a new connection and receives the response until `timeout` is
    /// over.
    pub fn send(&self, address: SocketAddr, timeout: Duration) -> Response {
        let mut response = Response::default();
        // What was received before an error counts.
        let _ = self.exchange(address, timeout, &mut response);
        response
    }

    fn exchange(
        &self,
        address: SocketAddr,
        timeout: Duration,
        response: &mut Response,
    ) -> io::Result<()> {
        let deadline = Instant::now() + timeout;
        let mut stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT.min(timeout))?;
        stream.set_nodelay(true)?;
        stream.write_all(&self.encode())?;
        let mut reader = BufReader::new(DeadlineReader { stream, deadline });
        (response.status, response.headers) = read_response_head(&mut reader)?;
        response.is_complete = read_body(&mut reader, &response.headers, &mut response.body)?;
        Ok(())
    }
}

impl Response {
    /// Returns the value of a header by its lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the number of complete events in the body.
    pub fn event_count(&self) -> usize {
        self.text().matches("\n\n").count()
    }
}

/// Reads from a connection until a deadline.
struct DeadlineReader {
    stream: TcpStream,
    deadline: Instant,
}

impl Read for DeadlineReader {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        self.stream.read(buffer)
    }
}

/// Reads the status and the headers of a response.
///
/// # Errors
///
/// Returns an error if the connection ends before the end of the head.
pub fn read_response_head(reader: &mut impl BufRead) -> io::Result<(u16, Vec<(String, String)>)> {
    let first = read_line(reader)?;
    let status = first.split(' ').nth(1).and_then(|code| code.parse().ok());
    let status = status.ok_or_else(|| io::Error::other("no status line"))?;
    Ok((status, read_headers(reader)?))
}

/// Reads headers up to the empty line.
///
/// # Errors
///
/// Returns an error if the connection ends before that.
pub fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a line without its end.
///
/// # Errors
///
/// Returns an error at the end of the connection.
pub fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    match reader.read_line(&mut line)? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(line.trim_end_matches(['\r', '\n']).to_owned()),
    }
}

/// Returns the value of a header by its lower-case name.
pub fn find_header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(known, _)| known == name);
    found.map(|(_, value)| value.as_str())
}

/// Reads a body by its length, its chunks or up to the end of the connection, and returns
/// whether it is complete.
///
/// # Errors
///
/// Returns an error if the connection fails; `body` holds what was received before that.
pub fn read_body(
    reader: &mut impl BufRead,
    headers: &[(String, String)],
    body: &mut Vec<u8>,
) -> io::Result<bool> {
    if find_header(headers, "transfer-encoding") == Some("chunked") {
        return read_chunks(reader, body);
    }
    let length = find_header(headers, "content-length").and_then(|text| text.parse().ok());
    let Some(length) = length else {
        reader.read_to_end(body)?;
        return Ok(true);
    };
    let length: u64 = length;
    reader.take(length).read_to_end(body)?;
    Ok(body.len() as u64 == length)
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<bool> {
    loop {
        let size = read_line(reader)?;
        let size = size.split(';').next().unwrap_or_default().trim();
        let size = u64::from_str_radix(size, 16).map_err(io::Error::other)?;
        let before = body.len() as u64;
        reader.take(size).read_to_end(body)?;
        if body.len() as u64 != before + size {
            return Ok(false);
        }
        read_line(reader)?;
        if size == 0 {
            return Ok(true);
        }
    }
}
