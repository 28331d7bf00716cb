//! A relay between two processes that loses track of open connections.
//!
//! It passes bytes both ways. [`Relay::silence`] makes every open connection
//! silent for good, without closing it, while new ones work; [`Relay::cut`]
//! closes every open connection; [`Relay::refuse`] accepts no new ones.

use std::{
    collections::HashMap,
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
};

/// Bytes that are passed at once.
const BUFFER_BYTES: usize = 16 << 10;

/// A relay to one address.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    state: Arc<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Connections with a number below this are silent.
    silent_below: AtomicU64,
    /// Number of the next connection.
    next: AtomicU64,
    refuse: AtomicBool,
    /// The open connections by their numbers.
    open: Mutex<HashMap<u64, Open>>,
}

/// A connection that is passed on.
#[derive(Debug)]
struct Open {
    ends: [TcpStream; 2],
    /// Directions in which it is still passed on; it is forgotten with the last.
    directions: u8,
}

impl Relay {
    /// Starts a relay on a free port.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub fn start(to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = Arc::new(State::default());
        let shared = Arc::clone(&state);
        thread::spawn(move || accept(&listener, to, &shared));
        Ok(Self { address, state })
    }

    /// Where the relay listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes the open connections silent for good; new ones work.
    pub fn silence(&self) {
        let next = self.state.next.load(Ordering::SeqCst);
        self.state.silent_below.store(next, Ordering::SeqCst);
    }

    /// Closes the open connections.
    pub fn cut(&self) {
        for (_, open) in self.state.lock_open().drain() {
            for end in open.ends {
                // It may be closed already.
                let _ = end.shutdown(Shutdown::Both);
            }
        }
    }

    /// Accepts no new connections, or accepts them again.
    pub fn refuse(&self, refuse: bool) {
        self.state.refuse.store(refuse, Ordering::SeqCst);
    }

    /// Number of connections so far.
    pub fn connection_count(&self) -> u64 {
        self.state.next.load(Ordering::SeqCst)
    }
}

impl State {
    fn lock_open(&self) -> std::sync::MutexGuard<'_, HashMap<u64, Open>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that a connection is not passed on any more in one direction.
    fn end_direction(&self, number: u64) {
        let mut connections = self.lock_open();
        if let Some(open) = connections.get_mut(&number) {
            open.directions -= 1;
            if open.directions == 0 {
                connections.remove(&number);
            }
        }
    }

    fn is_silent(&self, number: u64) -> bool {
        number < self.silent_below.load(Ordering::SeqCst)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.refuse(true);
        self.cut();
        // Wakes the listener, which then ends.
        let _ = TcpStream::connect(self.address);
    }
}

fn accept(listener: &TcpListener, to: SocketAddr, state: &Arc<State>) {
    for near in listener.incoming() {
        if Arc::strong_count(state) == 1 {
            return;
        }
        let Ok(near) = near else { continue };
        if state.refuse.load(Ordering::SeqCst) {
            continue;
        }
        // A connection that cannot be passed on is dropped, and so closed.
        let _ = connect(near, to, state);
    }
}

fn connect(near: TcpStream, to: SocketAddr, state: &Arc<State>) -> io::Result<()> {
    let far = TcpStream::connect(to)?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let number = state.next.fetch_add(1, Ordering::SeqCst);
    let open = Open {
        ends: [near.try_clone()?, far.try_clone()?],
        directions: 2,
    };
    state.lock_open().insert(number, open);
    pass(near.try_clone()?, far.try_clone()?, number, state);
    pass(far, near, number, state);
    Ok(())
}

/// Passes bytes one way, on a thread of its own. What comes on a silent
/// connection, its end included, is read and thrown away.
fn pass(mut from: TcpStream, mut to: TcpStream, number: u64, state: &Arc<State>) {
    let state = Arc::downgrade(state);
    thread::spawn(move || {
        let mut buffer = vec![0; BUFFER_BYTES];
        while let Ok(count @ 1..) = from.read(&mut buffer) {
            let Some(state) = state.upgrade() else { return };
            if !state.is_silent(number) && to.write_all(&buffer[..count]).is_err() {
                break;
            }
        }
        let Some(state) = state.upgrade() else { return };
        if !state.is_silent(number) {
            let _ = to.shutdown(Shutdown::Write);
        }
        state.end_direction(number);
    });
}
