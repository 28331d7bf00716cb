//! Planned work that goes on while turns run, and the answers that it must not end early.
//!
//! Hosts are stopped, replaced and reloaded, versions of the routes are declared and
//! endpoints drain, in series that overlap. Now and then the store fails for some or all
//! hosts. An answer that ends early counts unless the store failed within
//! [`CONTACT_TIME`] before its request, or before its end.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rosebend_standin::backend::{BackendFaults, Runs};
use rosebend_standin::store::StoreFaults;

use crate::faults;
use crate::fleet::{self, SharedFleet};

/// Time after a fault from which answers must be whole again.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Minimum timeout of the declared routes. An answer that ends later may have reached it.
const MIN_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time within which a request may cross the close of its connection.
const CROSSING_TIME: Duration = Duration::from_millis(200);
/// Maximum number of works in one series.
const MAX_WORKS_PER_SERIES: u32 = 3;
/// Share of the rounds in which endpoints are silent for longer than the idle timeout of
/// streams that may be resumed.
const SILENT_SHARE: f64 = 0.25;

/// An answer that ended before it was complete.
#[derive(Clone, Debug)]
pub struct EarlyEnd {
    pub attempt: String,
    pub sent_at: Instant,
    pub ended_at: Instant,
}

impl EarlyEnd {
    fn duration(&self) -> Duration {
        self.ended_at - self.sent_at
    }
}

/// Kinds of planned work.
#[derive(Clone, Copy, Debug)]
enum Work {
    Stop,
    Replace,
    Reload,
    DeclareRoutes,
    DrainEndpoint,
}

const WORKS: [Work; 5] = [
    Work::Stop,
    Work::Replace,
    Work::Reload,
    Work::DeclareRoutes,
    Work::DrainEndpoint,
];

/// The times at which the store failed for at least one host.
#[derive(Debug, Default)]
pub struct StoreFailures(RefCell<Vec<(Instant, Instant)>>);

impl StoreFailures {
    /// Returns whether the store failed neither during an answer nor shortly before it.
    fn were_absent(&self, answer: &EarlyEnd) -> bool {
        let failures = self.0.borrow();
        let mut failures = failures.iter();
        failures.all(|(from, to)| answer.ended_at < *from || answer.sent_at > *to + CONTACT_TIME)
    }

    /// Returns the answers that ended early beside planned work only.
    pub fn unexplained(&self, early_ends: &[EarlyEnd], all_runs: &[Runs]) -> Vec<EarlyEnd> {
        let ran: HashSet<&String> = all_runs.iter().flat_map(|runs| runs.keys()).collect();
        let is_crossing =
            |end: &EarlyEnd| end.duration() <= CROSSING_TIME && !ran.contains(&end.attempt);
        let counted = early_ends.iter().filter(|end| {
            end.duration() < MIN_TIMEOUT && !is_crossing(end) && self.were_absent(end)
        });
        counted.cloned().collect()
    }
}

/// Does planned work until a time, while the store fails now and then.
pub async fn work_until(
    end: Instant,
    fleet: &SharedFleet,
    random: &mut ChaCha8Rng,
    failures: &Rc<StoreFailures>,
) {
    let usual = usual_store(random);
    set_store(fleet, &usual).await;
    let store_random = ChaCha8Rng::seed_from_u64(random.next_u64());
    let store = fail_store_until(
        end,
        fleet.clone(),
        store_random,
        usual.clone(),
        failures.clone(),
    );
    let store = actix_rt::spawn(store);
    while Instant::now() < end {
        set_endpoints(fleet, random).await;
        let work = *WORKS.choose(random).unwrap();
        let work_random = ChaCha8Rng::seed_from_u64(random.next_u64());
        let series = actix_rt::spawn(series(fleet.clone(), work, work_random));
        fleet.borrow_mut().add_series(series);
        faults::pause(random, 50, 900).await;
    }
    store.await.unwrap();
}

/// Returns the usual state of the store. A slow one holds reservations back, so that turns
/// run on escrow grants.
fn usual_store(random: &mut ChaCha8Rng) -> StoreFaults {
    StoreFaults {
        slow_ms: *[0, 120, 200, 250].choose(random).unwrap(),
        ..StoreFaults::default()
    }
}

async fn set_store(fleet: &SharedFleet, faults: &StoreFaults) {
    let listeners = fleet.borrow().listener_count();
    for listener in 0..listeners {
        fleet::set_listener_faults(fleet, listener, faults).await;
    }
}

/// Lets the store fail for some or all hosts, with pauses in which answers are checked.
async fn fail_store_until(
    end: Instant,
    fleet: SharedFleet,
    mut random: ChaCha8Rng,
    usual: StoreFaults,
    failures: Rc<StoreFailures>,
) {
    loop {
        faults::pause(&mut random, 2_000, 4_000).await;
        let from = Instant::now();
        if from >= end {
            return;
        }
        let listeners = fleet.borrow().listener_count();
        let failing = random.random_range(1..=listeners);
        let mut faults = faults::random_store_faults(&mut random);
        faults.slow_ms = faults.slow_ms.max(usual.slow_ms);
        for listener in 0..failing {
            fleet::set_listener_faults(&fleet, listener, &faults).await;
        }
        faults::pause(&mut random, 300, 1_500).await;
        set_store(&fleet, &usual).await;
        failures.0.borrow_mut().push((from, Instant::now()));
        tokio::time::sleep(CONTACT_TIME).await;
    }
}

/// Sets the speed of the endpoints and the length of their answers. Some are full.
async fn set_endpoints(fleet: &SharedFleet, random: &mut ChaCha8Rng) {
    let endpoints = fleet.borrow().endpoint_count();
    for endpoint in 0..endpoints {
        let mut faults = BackendFaults {
            delay_ms: random.random_range(10..200),
            events: random.random_range(3..=10),
            ..BackendFaults::default()
        };
        if random.random_bool(SILENT_SHARE) {
            faults.delay_ms = random.random_range(550..700);
            faults.events = 2;
        }
        if random.random_bool(0.3) {
            faults.refuse = random.random_range(1..6);
        }
        fleet::set_endpoint_faults(fleet, endpoint, &faults).await;
    }
}

async fn series(fleet: SharedFleet, work: Work, mut random: ChaCha8Rng) {
    for _ in 0..random.random_range(1..=MAX_WORKS_PER_SERIES) {
        let host = random.random_range(0..fleet.borrow().host_count());
        match work {
            Work::Stop => stop(&fleet, host, false).await,
            Work::Replace => stop(&fleet, host, true).await,
            Work::Reload => faults::reload_settings(&fleet, host, &mut random).await,
            Work::DeclareRoutes => {
                let timeout_ms = random.random_range(2_500..3_500);
                fleet.borrow_mut().declare_routes(timeout_ms);
            }
            Work::DrainEndpoint => {
                let endpoint = random.random_range(0..fleet.borrow().endpoint_count());
                faults::drain_endpoint(&fleet, endpoint, &mut random).await;
            }
        }
        faults::pause(&mut random, 10, 400).await;
    }
}

/// Stops the process of a host as planned. Another host replaces it at once, or the next
/// process of the host starts after it has exited.
async fn stop(fleet: &SharedFleet, host: usize, is_replaced: bool) {
    let Some(mut old) = fleet.borrow_mut().take_process(host) else {
        return;
    };
    old.signal("TERM");
    if is_replaced {
        fleet.borrow_mut().replace_host(host);
    }
    assert_eq!(old.exit_code().await, Some(0));
    fleet.borrow_mut().record_panics(&old);
    fleet.borrow_mut().start_host(host);
}
