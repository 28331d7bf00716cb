//! The answer of a call while it grows, read by any number of callers.
//!
//! One task writes the parts as they come from the endpoint; each caller reads
//! from the offset that it lacks, at its own pace. Parts are kept, so a caller
//! that lost its connection finds everything again.

use std::sync::{Arc, Mutex, MutexGuard};

use bytes::Bytes;
use rosebend_protocol::problem::Problem;
use tokio::sync::watch;

/// Memory that a part costs besides its bytes.
const PART_OVERHEAD_BYTES: usize = 64;

/// How an answer ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AnswerEnd {
    /// All parts are there.
    Whole {
        /// Status of the endpoint's answer.
        status: u16,
    },
    /// The call has no whole answer.
    Problem(Problem),
    /// The program has another owner, where the call goes on.
    Moved,
}

/// What a reader finds at an offset.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AnswerPiece {
    /// The part at the offset asked for.
    Part(Bytes),
    /// There is no part at this offset and there will be none.
    End(AnswerEnd),
}

/// A part that differs from the one that callers were given at its offset.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
#[error("the part at offset {offset} differs from the one already given")]
pub struct DivergedError {
    /// The offset.
    pub offset: u64,
}

#[derive(Debug, Default)]
struct Growth {
    /// Parts from offset zero, without gaps.
    parts: Vec<Bytes>,
    /// Set once, after the last part.
    end: Option<AnswerEnd>,
    /// Number of parts that were given to a caller before the end.
    given: u64,
}

/// The answer of one call.
#[derive(Debug)]
pub struct LiveAnswer {
    growth: Mutex<Growth>,
    /// Changes whenever `growth` does.
    changed: watch::Sender<u64>,
}

impl LiveAnswer {
    /// An answer without any part.
    pub fn new() -> Arc<Self> {
        Self::with(Growth::default())
    }

    /// An answer that is whole already.
    pub fn whole(status: u16, parts: Vec<Bytes>) -> Arc<Self> {
        Self::with(Growth {
            parts,
            end: Some(AnswerEnd::Whole { status }),
            given: 0,
        })
    }

    fn with(growth: Growth) -> Arc<Self> {
        Arc::new(Self {
            growth: Mutex::new(growth),
            changed: watch::Sender::new(0),
        })
    }

    /// Number of parts so far.
    pub fn len(&self) -> u64 {
        self.lock().parts.len() as u64
    }

    /// Memory that the parts take, with what each costs besides its bytes.
    pub fn size_bytes(&self) -> usize {
        let growth = self.lock();
        let parts = growth.parts.iter();
        size_of::<Self>()
            + parts
                .map(|part| part.len() + PART_OVERHEAD_BYTES)
                .sum::<usize>()
    }

    /// Whether there is no part yet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether the answer has ended.
    pub fn is_ended(&self) -> bool {
        self.lock().end.is_some()
    }

    /// Adds the part at `offset`. A part that is there already, as a resumed or
    /// repeated run gives it, must be the same.
    ///
    /// # Errors
    ///
    /// Fails when another part was given at this offset, or when the offset
    /// would leave a gap.
    pub fn add(&self, offset: u64, part: Bytes) -> Result<(), DivergedError> {
        let mut growth = self.lock();
        let length = growth.parts.len() as u64;
        if offset > length || growth.end.is_some() {
            return Err(DivergedError { offset });
        }
        if offset < length {
            let index = usize::try_from(offset).expect("an offset below a length is an index");
            let same = growth.parts[index] == part;
            return if same {
                Ok(())
            } else {
                Err(DivergedError { offset })
            };
        }
        growth.parts.push(part);
        drop(growth);
        self.notify();
        Ok(())
    }

    /// Prepares for another run of the call. Parts that no caller was given are
    /// dropped; the run must repeat the others.
    pub fn begin_attempt(&self) {
        let mut growth = self.lock();
        if growth.end.is_none() {
            let given = usize::try_from(growth.given).unwrap_or(usize::MAX);
            growth.parts.truncate(given);
        }
    }

    /// Waits for the end of the answer.
    pub async fn end(&self) -> AnswerEnd {
        let mut changed = self.changed.subscribe();
        loop {
            if let Some(end) = self.lock().end.clone() {
                return end;
            }
            // The sender lives in `self`, so waiting cannot fail.
            let _ = changed.changed().await;
        }
    }

    /// Ends the answer; only the first end counts.
    pub fn finish(&self, end: AnswerEnd) {
        let mut growth = self.lock();
        if growth.end.is_none() {
            growth.end = Some(end);
        }
        drop(growth);
        self.notify();
    }

    /// All parts so far.
    pub fn parts(&self) -> Vec<Bytes> {
        self.lock().parts.clone()
    }

    /// Waits for the part at `offset`, or for the end before it.
    pub async fn piece(&self, offset: u64) -> AnswerPiece {
        let mut changed = self.changed.subscribe();
        loop {
            if let Some(piece) = self.try_piece(offset) {
                return piece;
            }
            // The sender lives in `self`, so waiting cannot fail.
            let _ = changed.changed().await;
        }
    }

    fn try_piece(&self, offset: u64) -> Option<AnswerPiece> {
        let mut growth = self.lock();
        let index = usize::try_from(offset).ok()?;
        let Some(part) = growth.parts.get(index).cloned() else {
            return growth.end.clone().map(AnswerPiece::End);
        };
        growth.given = growth.given.max(offset + 1);
        Some(AnswerPiece::Part(part))
    }

    fn notify(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    fn lock(&self) -> MutexGuard<'_, Growth> {
        self.growth.lock().expect("no holder of this lock panics")
    }
}
