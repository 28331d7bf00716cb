//! A client that sends one request on a connection of its own.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A request.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: &'static str,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// What came back.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Zero if no head came.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub is_complete: bool,
    /// Whether the connection was closed, or silent for the timeout, before that.
    pub end: &'static str,
    pub took: Duration,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn is_served(&self) -> bool {
        self.status == 200 && self.is_complete && self.header("response-stamp").is_some()
    }
}

impl Request {
    pub fn get(path: &str, attempt: &str) -> Self {
        Self {
            method: "GET",
            path: path.to_owned(),
            headers: vec![("Attempt-Id".to_owned(), attempt.to_owned())],
            body: Vec::new(),
        }
    }

    pub fn post(path: &str, attempt: &str, body: Vec<u8>) -> Self {
        Self {
            method: "POST",
            body,
            ..Self::get(path, attempt)
        }
    }

    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    fn encode(&self) -> Vec<u8> {
        let mut text = format!(
            "{} {} HTTP/1.1\r\nHost: desk.example\r\n",
            self.method, self.path
        );
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if self.method != "GET" {
            text.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// Sends a request on a new connection, and reads the answer until it is complete, the
/// connection ends or the timeout passes.
pub async fn send(address: SocketAddr, request: &Request, timeout: Duration) -> Answer {
    let started = Instant::now();
    let mut answer = Answer::default();
    let exchange = exchange(address, request, &mut answer);
    let end = match tokio::time::timeout(timeout, exchange).await {
        Ok(Ok(())) => "complete",
        Ok(Err(_)) => "closed",
        Err(_) => "timeout",
    };
    answer.end = end;
    answer.is_complete = end == "complete";
    answer.took = started.elapsed();
    answer
}

async fn exchange(
    address: SocketAddr,
    request: &Request,
    answer: &mut Answer,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    stream.write_all(&request.encode()).await?;
    read_answer(&mut stream, answer).await
}

/// Reads an answer.
pub async fn read_answer(stream: &mut TcpStream, answer: &mut Answer) -> std::io::Result<()> {
    let mut buffer = Vec::new();
    let end = loop {
        if let Some(end) = find(&buffer, b"\r\n\r\n") {
            break end;
        }
        fill(stream, &mut buffer).await?;
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let status = lines.next().and_then(|line| line.split(' ').nth(1));
    answer.status = status.and_then(|status| status.parse().ok()).unwrap_or(0);
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            answer.headers.push((name, value.trim().to_owned()));
        }
    }
    buffer.drain(..end + 4);
    if let Some(length) = answer.header("content-length") {
        let length: usize = length.parse().unwrap_or(0);
        while buffer.len() < length {
            fill(stream, &mut buffer).await?;
        }
        answer.body = buffer[..length].to_vec();
        return Ok(());
    }
    if answer.header("transfer-encoding").is_none() {
        loop {
            answer.body.append(&mut buffer);
            if fill(stream, &mut buffer).await.is_err() {
                return Ok(());
            }
        }
    }
    loop {
        let line_end = loop {
            if let Some(end) = find(&buffer, b"\r\n") {
                break end;
            }
            fill(stream, &mut buffer).await?;
        };
        let size = String::from_utf8_lossy(&buffer[..line_end]).into_owned();
        let size = usize::from_str_radix(size.trim(), 16).map_err(std::io::Error::other)?;
        buffer.drain(..line_end + 2);
        while buffer.len() < size + 2 {
            fill(stream, &mut buffer).await?;
        }
        answer.body.extend_from_slice(&buffer[..size]);
        buffer.drain(..size + 2);
        if size == 0 {
            return Ok(());
        }
    }
}

async fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<()> {
    let mut bytes = [0; 16 << 10];
    match stream.read(&mut bytes).await? {
        0 => Err(std::io::ErrorKind::UnexpectedEof.into()),
        count => {
            buffer.extend_from_slice(&bytes[..count]);
            Ok(())
        }
    }
}

pub fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}
