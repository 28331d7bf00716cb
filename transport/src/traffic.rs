//! Threads that carry traffic, apart from the thread of control state.

use std::{
    cell::RefCell,
    future::Future,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use actix_rt::Arbiter;

use crate::{host_token::HostToken, peers::Peers};

thread_local! {
    /// Channels belong to the thread that opened them.
    static PEERS: RefCell<Option<Peers>> = const { RefCell::new(None) };
}

/// A set of threads, each with its own channels to other processes.
#[derive(Clone, Debug)]
pub struct Traffic {
    arbiters: Arc<Vec<Arbiter>>,
    next: Arc<AtomicUsize>,
    token: HostToken,
}

impl Traffic {
    /// Starts `threads` threads, at least one; requests to other processes will
    /// carry `token`.
    pub fn start(threads: usize, token: HostToken) -> Self {
        let arbiters = (0..threads.max(1)).map(|_| Arbiter::new()).collect();
        Self {
            arbiters: Arc::new(arbiters),
            next: Arc::default(),
            token,
        }
    }

    /// Runs a job on the next thread in turn, with that thread's channels.
    pub fn spawn<J, F>(&self, job: J)
    where
        J: FnOnce(Peers) -> F + Send + 'static,
        F: Future<Output = ()> + 'static,
    {
        let turn = self.next.fetch_add(1, Ordering::Relaxed) % self.arbiters.len();
        // A thread that has stopped takes no job; its callers see their
        // channels closed.
        let token = self.token.clone();
        self.arbiters[turn].spawn_fn(move || {
            let peers = PEERS
                .with_borrow_mut(|peers| peers.get_or_insert_with(|| Peers::new(token)).clone());
            actix_rt::spawn(job(peers));
        });
    }
}
