//! Random numbers and ids.

use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

/// A generator that several threads may share.
#[derive(Debug)]
pub struct Random {
    state: Mutex<u64>,
}

impl Random {
    /// Creates a generator from a seed.
    pub fn new(seed: u64) -> Self {
        Self {
            state: Mutex::new(seed | 1),
        }
    }

    /// Creates a generator from the variable `SEED`, or from the time of day. Also returns
    /// the seed.
    pub fn from_environment() -> (Self, u64) {
        let given = std::env::var("SEED")
            .ok()
            .and_then(|seed| seed.parse().ok());
        let seed = given.unwrap_or_else(time_seed);
        (Self::new(seed), seed)
    }

    /// Returns the next number (xorshift64*).
    pub fn next(&self) -> u64 {
        let mut state = self.state.lock().expect("no holder of the lock panics");
        *state ^= *state >> 12;
        *state ^= *state << 25;
        *state ^= *state >> 27;
        state.wrapping_mul(0x2545_F491_4F6C_DD1D)
    }

    /// Returns true in a share of the calls.
    pub fn chance(&self, share: f64) -> bool {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64 <= share
    }

    /// Returns an id of 16 hexadecimal digits.
    pub fn id(&self) -> String {
        format!("{:016x}", self.next())
    }
}

fn time_seed() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(1, |elapsed| elapsed.as_nanos() as u64)
}
