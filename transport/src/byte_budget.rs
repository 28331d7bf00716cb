//! A bound on the memory of all bodies that are read at the same time.

use std::cell::Cell;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Size in bytes up to which a body is read whatever the others take.
const SMALL_BODY_BYTES: usize = 64 << 10;
/// Divisor of the remaining budget that gives the most that one body may take.
const SHARE_DIVISOR: usize = 2;

/// Why a body was not read to its end.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The connection failed.
    #[error("the body broke off: {0}")]
    Broken(#[from] hyper::Error),
    /// The body is longer than allowed, or than its share of the budget.
    #[error("the body is too long: more than {0} bytes")]
    TooLong(usize),
}

/// Memory for the bodies that are read at the same time.
#[derive(Debug)]
pub struct ByteBudget {
    /// Largest sum of bodies beyond small ones.
    max_bytes: usize,
    held_bytes: Rc<Cell<usize>>,
}

/// Bytes of a body that is being read.
struct HeldBytes {
    bytes: usize,
    held_bytes: Rc<Cell<usize>>,
}

impl ByteBudget {
    /// Creates a budget of this number of bytes.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            held_bytes: Rc::default(),
        }
    }

    /// Reads a body to its end.
    ///
    /// # Errors
    ///
    /// Fails if the body breaks off, is longer than `max_bytes`, or would take more than its
    /// share of what other bodies leave.
    pub async fn read(&self, mut body: Incoming, max_bytes: usize) -> Result<Bytes, BodyError> {
        let mut held = HeldBytes {
            bytes: 0,
            held_bytes: Rc::clone(&self.held_bytes),
        };
        let mut whole = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            held.add(data.len());
            let allowed = max_bytes.min(self.allowed_beside(&held));
            if held.bytes > allowed {
                return Err(BodyError::TooLong(allowed));
            }
            whole.extend_from_slice(&data);
        }
        Ok(whole.freeze())
    }

    fn allowed_beside(&self, held: &HeldBytes) -> usize {
        let others = self.held_bytes.get() - held.bytes;
        let share = self.max_bytes.saturating_sub(others) / SHARE_DIVISOR;
        share.max(SMALL_BODY_BYTES)
    }
}

impl HeldBytes {
    fn add(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.held_bytes.set(self.held_bytes.get() + bytes);
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.held_bytes.set(self.held_bytes.get() - self.bytes);
    }
}
