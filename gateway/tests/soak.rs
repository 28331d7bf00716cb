//! A randomized soak: gateways as processes, callers that never stop, and
//! faults from outside, several at a time.
//!
//! CI plays the seeds of `SEEDS` for a few seconds each. By hand, with fresh
//! seeds and for longer:
//!
//! ```text
//! ROSEBEND_SOAK_SEEDS=100-149 ROSEBEND_SOAK_SECONDS=20 \
//!     cargo test -p rosebend-gateway --test soak -- --nocapture
//! ```
//!
//! A seed that ever failed is added to `SEEDS` with a line on the cause.

mod support;

#[path = "soak/callers.rs"]
mod callers;
#[path = "soak/faults.rs"]
mod faults;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use callers::{Callers, Ledger};
use faults::Fleet;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use support::{Ask, until};

/// Seeds that CI plays.
const SEEDS: [u64; 2] = [1, 2];
/// How long the faults of a seed come in CI.
const SECONDS: u64 = 6;
/// Callers that run programs at the same time.
const CALLERS: usize = 8;

#[actix_rt::test]
async fn the_promises_hold_under_faults() {
    let seeds = seeds();
    for seed in seeds {
        println!("seed {seed}");
        play(seed, Duration::from_secs(seconds())).await;
    }
}

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("ROSEBEND_SOAK_SEEDS") else {
        return SEEDS.to_vec();
    };
    let (first, last) = text.split_once('-').unwrap_or((&text, &text));
    (first.parse().unwrap()..=last.parse().unwrap()).collect()
}

fn seconds() -> u64 {
    let text = std::env::var("ROSEBEND_SOAK_SECONDS");
    text.map_or(SECONDS, |text| text.parse().unwrap())
}

async fn play(seed: u64, time: Duration) {
    let fleet = Rc::new(RefCell::new(Fleet::start().await));
    let ledger = Rc::new(RefCell::new(Ledger::default()));
    let callers = Callers::start(CALLERS, seed, &fleet, &ledger);
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let end = Instant::now() + time;
    while Instant::now() < end {
        faults::strike(&fleet, &mut random).await;
    }
    faults::heal(&fleet).await;
    callers.stop().await;
    check_recovery(&fleet, seed).await;
    let runs = faults::all_runs(&fleet).await;
    let ledger = ledger.borrow();
    println!("seed {seed}: {}", ledger.summary());
    ledger.check(&runs, seed);
}

/// Every gateway serves a new program once the faults are over.
async fn check_recovery(fleet: &Rc<RefCell<Fleet>>, seed: u64) {
    let fronts = fleet.borrow().fronts();
    for (number, front) in fronts.into_iter().enumerate() {
        let front = front.unwrap_or_else(|| panic!("seed {seed}: gateway {number} is down"));
        let tries = RefCell::new(0);
        until("a gateway serves again", async || {
            *tries.borrow_mut() += 1;
            let attempt = format!("after-{seed}-{number}-{}", tries.borrow());
            let answer = Ask::turn(&attempt, &attempt, "x").send(front).await;
            answer.status == 200 && answer.is_whole
        })
        .await;
    }
}
