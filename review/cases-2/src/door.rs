//! The address at which one host, or all, reach the store's stand-in.
//!
//! It applies the limit of a call that the pages tell and the stand-in does not check, and can
//! turn its callers away.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::client::find;

/// Most bytes of a call that writes: "at most 1 MB".
const MAX_CALL_BYTES: usize = 1 << 20;

/// What a door does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// Passes calls on.
    Open,
    /// Answers 503 and does nothing.
    Refusing,
}

/// A door.
#[derive(Clone)]
pub struct Door {
    pub address: SocketAddr,
    pub mode: Rc<Cell<Mode>>,
    /// Number of calls that were larger than the store takes.
    pub oversize: Rc<Cell<u64>>,
}

impl Door {
    /// Opens a door to the store at an address.
    pub fn open(store: SocketAddr) -> std::io::Result<Self> {
        let listener = crate::site::free_listener();
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let listener = TcpListener::from_std(listener)?;
        let door = Self {
            address,
            mode: Rc::new(Cell::new(Mode::Open)),
            oversize: Rc::default(),
        };
        let accepting = door.clone();
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let door = accepting.clone();
                actix_rt::spawn(async move {
                    let _ = door.serve(stream, store).await;
                });
            }
        });
        Ok(door)
    }

    async fn serve(&self, mut caller: TcpStream, store: SocketAddr) -> std::io::Result<()> {
        caller.set_nodelay(true)?;
        let mut upstream = TcpStream::connect(store).await?;
        upstream.set_nodelay(true)?;
        let mut buffer = Vec::new();
        loop {
            let Some(call) = read_message(&mut caller, &mut buffer).await? else {
                return Ok(());
            };
            if self.mode.get() == Mode::Refusing {
                caller
                    .write_all(&empty_answer("503 Service Unavailable"))
                    .await?;
                continue;
            }
            if call.len() > MAX_CALL_BYTES && call.starts_with(b"POST /rows-tx") {
                self.oversize.set(self.oversize.get() + 1);
                caller.write_all(&empty_answer("400 Bad Request")).await?;
                continue;
            }
            upstream.write_all(&call).await?;
            let mut answers = Vec::new();
            let Some(answer) = read_message(&mut upstream, &mut answers).await? else {
                return Ok(());
            };
            caller.write_all(&answer).await?;
        }
    }
}

fn empty_answer(status: &str) -> Vec<u8> {
    let text = format!(
        "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{{}}"
    );
    text.into_bytes()
}

/// Reads a message with a length, and returns its bytes; `None` at the end of the connection.
async fn read_message(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> std::io::Result<Option<Vec<u8>>> {
    let end = loop {
        if let Some(end) = find(buffer, b"\r\n\r\n") {
            break end + 4;
        }
        if !fill(stream, buffer).await? {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).to_ascii_lowercase();
    let length = head
        .split("\r\n")
        .find_map(|line| line.strip_prefix("content-length:"));
    let length: usize = length
        .and_then(|length| length.trim().parse().ok())
        .unwrap_or(0);
    while buffer.len() < end + length {
        if !fill(stream, buffer).await? {
            return Ok(None);
        }
    }
    let rest = buffer.split_off(end + length);
    Ok(Some(std::mem::replace(buffer, rest)))
}

async fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<bool> {
    let mut bytes = vec![0; 64 << 10];
    let count = stream.read(&mut bytes).await?;
    buffer.extend_from_slice(&bytes[..count]);
    Ok(count > 0)
}
