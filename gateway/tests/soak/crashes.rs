//! Requests that crash endpoints while other faults are injected, counted by the endpoints.

use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::Method;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::io::AsyncReadExt;

use crate::callers::{Callers, Observations, Workload};
use crate::faults;
use crate::fleet::{self, Fleet, SharedFleet};
use crate::support::{CRASHING_BODY, TestRequest};

/// Time for which faults of hosts, links and the store may explain a repeat.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Number of crashes after which only [`MAX_LATE_RUNS`] more are allowed.
const CRASHES: u64 = 3;
/// Maximum number of runs after the faults and [`CONTACT_TIME`].
const MAX_LATE_RUNS: u64 = 3;
/// Number of times that the request is sent after the faults, to one host after the other.
const LATE_ATTEMPTS: usize = 40;
/// Number of concurrent callers of other requests.
const CALLERS: usize = 4;
/// Interval at which a crash of an endpoint is detected.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Sends requests that crash endpoints while faults are injected, and checks after the faults
/// that few more of them run.
pub async fn run_seed(seed: u64, hosts: usize, time: Duration) {
    let fleet = Fleet::start(hosts).await;
    let observations = Rc::new(RefCell::new(Observations::default()));
    let callers = Callers::start(CALLERS, seed, Workload::Mixed, &fleet, &observations);
    let is_over = Rc::new(Cell::new(false));
    let endpoints = fleet.borrow().endpoint_count();
    let restarts =
        (0..endpoints).map(|endpoint| actix_rt::spawn(restart(fleet.clone(), endpoint, seed)));
    let restarts: Vec<_> = restarts.collect();
    let sending = actix_rt::spawn(send_until(fleet.clone(), Rc::clone(&is_over), seed));
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let end = Instant::now() + time;
    while Instant::now() < end {
        faults::inject_faults(&fleet, &mut random).await;
    }
    faults::remove_faults(&fleet).await;
    is_over.set(true);
    sending.await.unwrap();
    callers.stop().await;
    actix_rt::time::sleep(CONTACT_TIME).await;
    let before = crashing_runs(&fleet).await;
    for number in 0..LATE_ATTEMPTS {
        let fronts = fleet.borrow().front_addresses();
        let attempt = format!("late{seed}-{number}");
        let front = fronts[number % fronts.len()];
        let kind = CrashKind::of_seed(seed);
        send(&kind.request(&attempt), front, &mut random).await;
        if let Some(harmless) = kind.harmless(&format!("{attempt}-other")) {
            send(&harmless, front, &mut random).await;
        }
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    let after = crashing_runs(&fleet).await;
    let late = after.saturating_sub(before.max(CRASHES));
    restarts.iter().for_each(|restart| restart.abort());
    println!("seed {seed}: {before} runs under faults, {late} later");
    let defects = fleet.borrow_mut().defects();
    assert!(defects.is_empty(), "seed {seed}: {defects:#?}");
    assert!(late <= MAX_LATE_RUNS, "seed {seed}: {late} late runs");
}

/// The requests of one seed, which crash endpoints by different parts of them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CrashKind {
    /// A call that may not be repeated, by its body.
    Call,
    /// A lookup without a body, by its path.
    Lookup,
    /// A lookup by its program, while other programs' lookups of the path are answered.
    SharedLookup,
    /// A turn of a program, by its input.
    Turn,
}

impl CrashKind {
    fn of_seed(seed: u64) -> Self {
        let kinds = [Self::Call, Self::Lookup, Self::SharedLookup, Self::Turn];
        kinds[usize::try_from(seed % 4).unwrap()]
    }

    /// Returns the request that crashes endpoints, as one attempt.
    fn request(self, attempt: &str) -> TestRequest {
        match self {
            Self::Call => {
                let request = TestRequest::new(Method::POST, "/fee/receipt");
                request.attempt(attempt).body(CRASHING_BODY)
            }
            Self::Lookup => {
                let path = format!("/lookup/{CRASHING_BODY}");
                TestRequest::lookup(attempt).at_path(&path)
            }
            Self::SharedLookup => self.shared_lookup(attempt, CRASHING_BODY),
            Self::Turn => {
                TestRequest::turn(attempt, "crashing", CRASHING_BODY).at_path("/unkept/stream/turn")
            }
        }
    }

    /// Returns a harmless request of the same content, if there are any.
    fn harmless(self, attempt: &str) -> Option<TestRequest> {
        (self == Self::SharedLookup).then(|| self.shared_lookup(attempt, attempt))
    }

    fn shared_lookup(self, attempt: &str, program: &str) -> TestRequest {
        let request = TestRequest::lookup(attempt).at_path("/lookup/shared");
        let request = request.header("program-id", program);
        request.header("session-id", "s1")
    }
}

/// Sends a request from one of several addresses, as through the nodes of a balancer. Some callers
/// leave early.
async fn send(request: &TestRequest, front: SocketAddr, random: &mut ChaCha8Rng) {
    let address = Ipv4Addr::new(127, 0, 2, random.random_range(1..200));
    let patience = match random.random_range(0..4) {
        0 => Duration::from_millis(random.random_range(1..80)),
        _ => CONTACT_TIME,
    };
    // The answer makes no difference, nor does an error.
    let _ = tokio::time::timeout(patience, async {
        let mut stream = request.write_from(address, front).await?;
        stream.read_to_end(&mut Vec::new()).await
    })
    .await;
}

async fn send_until(fleet: SharedFleet, is_over: Rc<Cell<bool>>, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let kind = CrashKind::of_seed(seed);
    let mut number = 0;
    while !is_over.get() {
        number += 1;
        let fronts = fleet.borrow().front_addresses();
        if let Some(front) = fronts.choose(&mut random).copied() {
            let attempt = format!("crash{seed}-{number}");
            send(&kind.request(&attempt), front, &mut random).await;
            if let Some(harmless) = kind.harmless(&format!("other{seed}-{number}")) {
                send(&harmless, front, &mut random).await;
            }
        }
        let pause = Duration::from_millis(random.random_range(20..300));
        actix_rt::time::sleep(pause).await;
    }
}

/// Keeps an endpoint down for a while after each crash, behind its relay, and then writes the
/// entry of its next start. Never returns.
async fn restart(fleet: SharedFleet, endpoint: usize, seed: u64) {
    let mut random = ChaCha8Rng::seed_from_u64(seed + endpoint as u64);
    let address = fleet.borrow().endpoint_address(endpoint);
    let mut known = fleet::report(address).await.born;
    loop {
        actix_rt::time::sleep(CHECK_INTERVAL).await;
        let born = fleet::report(address).await.born;
        if born == known {
            continue;
        }
        known = born;
        fleet.borrow().endpoint_relays[endpoint].refuse(true);
        let down = Duration::from_millis(random.random_range(0..1_000));
        actix_rt::time::sleep(down).await;
        let fleet = fleet.borrow();
        fleet.endpoint_relays[endpoint].refuse(false);
        fleet.announce(endpoint, "ready", born);
    }
}

/// Returns how often endpoints began to run the request.
async fn crashing_runs(fleet: &SharedFleet) -> u64 {
    let runs = fleet::all_runs(fleet).await;
    let runs = runs.iter().flat_map(|runs| runs.values());
    let crashing = runs.filter(|run| {
        let mut headers = run.headers.values();
        run.body.contains(CRASHING_BODY)
            || run.target.contains(CRASHING_BODY)
            || headers.any(|value| value.contains(CRASHING_BODY))
    });
    crashing.map(|run| run.count).sum()
}
