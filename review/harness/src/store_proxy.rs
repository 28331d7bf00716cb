//! A proxy between the gateways and the store. It passes calls on, loses the answers of a
//! share of the transactions, or takes no calls. It refuses transactions beyond the limits of
//! the platform's store.

use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Response, find_header, read_body, read_headers, read_line, read_response_head};
use crate::random::Random;

/// Path of the calls that write.
const TRANSACTION_PATH: &str = "/rows-tx";
/// Most bytes and entries of one transaction.
const MAX_TRANSACTION_BYTES: usize = 1 << 20;
const MAX_TRANSACTION_ENTRIES: usize = 100;
/// Interval at which a call that is not answered looks whether the proxy takes calls again.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// What the proxy does with a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// Pass it on.
    Pass,
    /// Pass it on, and lose the answers of this share of the transactions that were done.
    LoseAnswers(f64),
    /// Answer 503 and do nothing.
    Busy,
}

/// A proxy on a loopback address.
#[derive(Clone, Debug)]
pub struct StoreProxy {
    address: SocketAddr,
    state: Arc<State>,
}

#[derive(Debug)]
struct State {
    store: SocketAddr,
    random: Random,
    mode: Mutex<Mode>,
    transactions: AtomicU64,
    lost_answers: AtomicU64,
    refused_as_too_large: AtomicU64,
}

/// A call as it was received.
struct Call {
    first_line: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl StoreProxy {
    /// Starts a proxy in threads of this process.
    ///
    /// # Errors
    ///
    /// Returns an error if no loopback port is free.
    pub fn start(store: SocketAddr, random: Random) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = Arc::new(State {
            store,
            random,
            mode: Mutex::new(Mode::Pass),
            transactions: AtomicU64::new(0),
            lost_answers: AtomicU64::new(0),
            refused_as_too_large: AtomicU64::new(0),
        });
        let served = Arc::clone(&state);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = Arc::clone(&served);
                thread::spawn(move || {
                    // The caller sees the end of its connection.
                    let _ = state.serve(stream);
                });
            }
        });
        Ok(Self { address, state })
    }

    /// Returns the address of the proxy.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what the proxy does with calls from now on, and restarts the counters.
    pub fn set_mode(&self, mode: Mode) {
        *self.state.mode.lock().expect("no holder panics") = mode;
        self.state.transactions.store(0, Ordering::Relaxed);
        self.state.lost_answers.store(0, Ordering::Relaxed);
    }

    /// Returns the numbers of transactions that were done and of answers that were lost
    /// since the mode was set.
    pub fn counts(&self) -> (u64, u64) {
        (
            self.state.transactions.load(Ordering::Relaxed),
            self.state.lost_answers.load(Ordering::Relaxed),
        )
    }

    /// Returns the number of transactions that were larger than the store takes.
    pub fn refused_as_too_large(&self) -> u64 {
        self.state.refused_as_too_large.load(Ordering::Relaxed)
    }
}

impl State {
    fn mode(&self) -> Mode {
        *self.mode.lock().expect("no holder panics")
    }

    fn serve(&self, mut caller: TcpStream) -> io::Result<()> {
        caller.set_nodelay(true)?;
        let mut calls = BufReader::new(caller.try_clone()?);
        loop {
            let call = Call::read(&mut calls)?;
            if self.mode() == Mode::Busy {
                caller.write_all(b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n")?;
                continue;
            }
            if call.is_too_large() {
                self.refused_as_too_large.fetch_add(1, Ordering::Relaxed);
                caller.write_all(b"HTTP/1.1 413 Too Large\r\ncontent-length: 0\r\n\r\n")?;
                continue;
            }
            let answer = self.pass_on(&call)?;
            if self.is_lost(&call, &answer) {
                // A channel on which an answer is lost delivers nothing further.
                let mut ignored = [0; 1024];
                while calls.read(&mut ignored)? > 0 {
                    thread::sleep(POLL_INTERVAL);
                }
                return Ok(());
            }
            caller.write_all(&encode_answer(&answer))?;
        }
    }

    /// Passes a call on over a connection of its own, which the store does not close as idle.
    fn pass_on(&self, call: &Call) -> io::Result<Response> {
        let mut upstream = TcpStream::connect(self.store)?;
        upstream.set_nodelay(true)?;
        upstream.write_all(&call.encode())?;
        read_answer(&mut BufReader::new(upstream))
    }

    fn is_lost(&self, call: &Call, answer: &Response) -> bool {
        if !call.first_line.contains(TRANSACTION_PATH) || answer.status != 200 {
            return false;
        }
        self.transactions.fetch_add(1, Ordering::Relaxed);
        let Mode::LoseAnswers(share) = self.mode() else {
            return false;
        };
        let is_lost = self.random.chance(share);
        if is_lost {
            self.lost_answers.fetch_add(1, Ordering::Relaxed);
        }
        is_lost
    }
}

impl Call {
    fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Self> {
        let first_line = read_line(reader)?;
        let headers = read_headers(reader)?;
        let mut body = Vec::new();
        // A call without a length has no body.
        if find_header(&headers, "content-length").is_some() {
            read_body(reader, &headers, &mut body)?;
        }
        Ok(Self {
            first_line,
            headers,
            body,
        })
    }

    /// Returns whether it is a transaction beyond the published limits. The stand-in of the
    /// store does not enforce that of bytes.
    fn is_too_large(&self) -> bool {
        let is_transaction = self.first_line.contains(TRANSACTION_PATH);
        let key = b"\"key\":";
        let entries = self.body.windows(key.len()).filter(|bytes| bytes == key);
        is_transaction
            && (self.body.len() > MAX_TRANSACTION_BYTES
                || entries.count() > MAX_TRANSACTION_ENTRIES)
    }

    fn encode(&self) -> Vec<u8> {
        let mut head = format!("{}\r\n", self.first_line);
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

fn read_answer(reader: &mut BufReader<TcpStream>) -> io::Result<Response> {
    let (status, headers) = read_response_head(reader)?;
    let mut body = Vec::new();
    let is_complete = read_body(reader, &headers, &mut body)?;
    Ok(Response {
        status,
        headers,
        body,
        is_complete,
    })
}

fn encode_answer(answer: &Response) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {} Status\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
        answer.status,
        answer.body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(&answer.body);
    bytes
}
