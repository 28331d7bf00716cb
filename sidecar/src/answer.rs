//! An answer that the endpoint's thread writes and many receivers read.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use bytes::Bytes;
use rosebend_coordination::endpoint::{outcome::Outcome, retention::AnswerLog};
use tokio::sync::Notify;

/// Parts that are read from the log at once.
const READ_PARTS: usize = 64;

/// What a receiver is told next.
#[derive(Clone, Debug)]
pub(crate) enum Progress {
    /// The call went to the endpoint after this time in the queue.
    Admitted(Duration),
    /// Parts from an offset on.
    Parts(u64, Vec<Bytes>),
    /// The call ended and all its parts were told.
    Ended(Outcome),
}

#[derive(Debug, Default)]
struct Inner {
    log: AnswerLog<Bytes>,
    /// Time in the queue, once the call is at the endpoint.
    admitted: Option<Duration>,
}

/// An answer as it grows. No lock is held across an await.
#[derive(Debug)]
pub(crate) struct SharedAnswer {
    inner: Mutex<Inner>,
    /// Wakes all readers. It is small, since many answers are retained.
    changed: Notify,
}

impl SharedAnswer {
    pub(crate) fn new() -> Arc<Self> {
        Arc::new(Self {
            inner: Mutex::default(),
            changed: Notify::new(),
        })
    }

    pub(crate) fn admit(&self, queued: Duration) {
        self.lock().admitted = Some(queued);
        self.changed.notify_waiters();
    }

    /// Appends the next part.
    pub(crate) fn push(&self, part: Bytes) {
        let mut inner = self.lock();
        let offset = inner.log.next_offset();
        inner.log.append(offset, part);
        drop(inner);
        self.changed.notify_waiters();
    }

    pub(crate) fn end(&self, outcome: Outcome) {
        self.lock().log.end(outcome);
        self.changed.notify_waiters();
    }

    /// Packs what will be retained, to which nothing is added any more.
    pub(crate) fn pack(&self) {
        self.lock().log.pack();
    }

    pub(crate) fn parts(&self) -> u64 {
        self.lock().log.next_offset()
    }

    pub(crate) fn bytes(&self) -> u64 {
        self.lock().log.bytes() as u64
    }

    /// SHA-256 over all parts.
    pub(crate) fn digest(&self) -> String {
        rosebend_util::digest_hex(&self.lock().log.concatenate())
    }

    /// A reader that starts at `offset`.
    pub(crate) fn reader(self: &Arc<Self>, offset: u64) -> AnswerReader {
        AnswerReader {
            answer: Arc::clone(self),
            told_admitted: false,
            offset,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .expect("no thread panics while it holds an answer")
    }
}

/// One receiver's place in an answer.
#[derive(Debug)]
pub(crate) struct AnswerReader {
    answer: Arc<SharedAnswer>,
    told_admitted: bool,
    /// The next offset that the receiver lacks.
    offset: u64,
}

impl AnswerReader {
    /// The next progress, as soon as there is some.
    pub(crate) async fn next(&mut self) -> Progress {
        let answer = Arc::clone(&self.answer);
        loop {
            // Made before the look, so that no change between the two is lost.
            let changed = answer.changed.notified();
            if let Some(progress) = self.step() {
                return progress;
            }
            changed.await;
        }
    }

    fn step(&mut self) -> Option<Progress> {
        let inner = self.answer.lock();
        if let Some(queued) = inner.admitted
            && !self.told_admitted
        {
            self.told_admitted = true;
            return Some(Progress::Admitted(queued));
        }
        let parts = inner.log.read(self.offset, READ_PARTS);
        if !parts.is_empty() {
            let offset = self.offset;
            self.offset += parts.len() as u64;
            return Some(Progress::Parts(offset, parts));
        }
        inner.log.outcome().cloned().map(Progress::Ended)
    }
}

impl Progress {
    /// Whether nothing follows.
    pub(crate) fn is_end(&self) -> bool {
        matches!(self, Self::Ended(_))
    }
}
