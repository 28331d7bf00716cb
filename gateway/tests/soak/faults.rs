//! Injects faults into the fleet as overlapping series. Each series consists of
//! faults of one kind.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rosebend_standin::backend::BackendFaults;
use rosebend_standin::store::StoreFaults;
use serde_json::json;

use crate::fleet::{self, INITIAL_RETENTION_MARGIN_MS, SharedFleet};

/// Maximum number of faults in one series.
const MAX_FAULTS_PER_SERIES: u32 = 4;

/// Size of an event of the stand-in endpoint.
const EVENT_BYTES: usize = 19;

/// A kind of fault.
#[derive(Clone, Copy, Debug)]
enum FaultKind {
    StoreListener,
    WholeStore,
    UnresponsiveStore,
    DisconnectedStore,
    UnresponsiveEndpoint,
    DisconnectedEndpoint,
    FaultyEndpoint,
    RestartedEndpoint,
    DrainedEndpoint,
    DeletedHistory,
    ChangedRoutes,
    Kill,
    KillMany,
    Stop,
    Freeze,
    Reload,
}

const KINDS: [FaultKind; 16] = [
    FaultKind::StoreListener,
    FaultKind::WholeStore,
    FaultKind::UnresponsiveStore,
    FaultKind::DisconnectedStore,
    FaultKind::UnresponsiveEndpoint,
    FaultKind::DisconnectedEndpoint,
    FaultKind::FaultyEndpoint,
    FaultKind::RestartedEndpoint,
    FaultKind::DrainedEndpoint,
    FaultKind::DeletedHistory,
    FaultKind::ChangedRoutes,
    FaultKind::Kill,
    FaultKind::KillMany,
    FaultKind::Stop,
    FaultKind::Freeze,
    FaultKind::Reload,
];

/// Starts a series of faults of a random kind and waits for a short time.
/// Earlier series may still be running.
pub async fn inject_faults(fleet: &SharedFleet, random: &mut ChaCha8Rng) {
    let kind = *KINDS.choose(random).unwrap();
    let series_random = ChaCha8Rng::seed_from_u64(random.next_u64());
    let series = actix_rt::spawn(series(fleet.clone(), kind, series_random));
    fleet.borrow_mut().add_series(series);
    pause(random, 50, 600).await;
}

/// Waits for the end of all series, removes all faults and starts every host
/// that has no process.
pub async fn remove_faults(fleet: &SharedFleet) {
    let series = fleet.borrow_mut().take_series();
    for series in series {
        series.await.unwrap();
    }
    let listeners = fleet.borrow().listener_count();
    for listener in 0..listeners {
        fleet::set_listener_faults(fleet, listener, &StoreFaults::default()).await;
    }
    let endpoints = fleet.borrow().endpoint_count();
    for endpoint in 0..endpoints {
        fleet::set_endpoint_faults(fleet, endpoint, &BackendFaults::default()).await;
        announce(fleet, endpoint, "ready").await;
    }
    let mut fleet = fleet.borrow_mut();
    for host in 0..fleet.host_count() {
        fleet.start_host(host);
    }
}

/// Injects a random number of faults of one kind.
async fn series(fleet: SharedFleet, kind: FaultKind, mut random: ChaCha8Rng) {
    for _ in 0..random.random_range(1..=MAX_FAULTS_PER_SERIES) {
        inject_fault(&fleet, kind, &mut random).await;
        pause(&mut random, 10, 400).await;
    }
}

/// Injects one fault of the given kind at a random host, listener or endpoint.
async fn inject_fault(fleet: &SharedFleet, kind: FaultKind, random: &mut ChaCha8Rng) {
    let host = random.random_range(0..fleet.borrow().host_count());
    let listener = random.random_range(0..fleet.borrow().listener_count());
    let endpoint = random.random_range(0..fleet.borrow().endpoint_count());
    match kind {
        FaultKind::StoreListener => fail_listeners(fleet, listener..listener + 1, random).await,
        FaultKind::WholeStore => {
            let listeners = fleet.borrow().listener_count();
            fail_listeners(fleet, 0..listeners, random).await;
        }
        FaultKind::UnresponsiveStore => fleet.borrow().store_relays[listener].silence(),
        FaultKind::DisconnectedStore => fleet.borrow().store_relays[listener].cut(),
        FaultKind::UnresponsiveEndpoint => fleet.borrow().endpoint_relays[endpoint].silence(),
        FaultKind::DisconnectedEndpoint => fleet.borrow().endpoint_relays[endpoint].cut(),
        FaultKind::FaultyEndpoint => {
            let faults = random_endpoint_faults(random);
            fleet::set_endpoint_faults(fleet, endpoint, &faults).await;
        }
        FaultKind::RestartedEndpoint => restart_endpoint(fleet, endpoint, random).await,
        FaultKind::DrainedEndpoint => drain_endpoint(fleet, endpoint, random).await,
        FaultKind::DeletedHistory => fleet.borrow().site.store.forget_history(),
        FaultKind::ChangedRoutes => fleet
            .borrow_mut()
            .declare_routes(random.random_range(2_500..3_500)),
        FaultKind::Kill => kill(fleet, &[host], random).await,
        FaultKind::KillMany => {
            let share = *[0.3, 0.6, 1.0].choose(random).unwrap();
            let hosts = 0..fleet.borrow().host_count();
            let selected: Vec<usize> = hosts.filter(|_| random.random_bool(share)).collect();
            kill(fleet, &selected, random).await;
        }
        FaultKind::Stop => stop(fleet, host, random).await,
        FaultKind::Freeze => freeze(fleet, host, random).await,
        FaultKind::Reload => reload_settings(fleet, host, random).await,
    }
}

/// Waits for a random time, during which the fleet is not borrowed.
pub async fn pause(random: &mut ChaCha8Rng, from_ms: u64, to_ms: u64) {
    let wait_ms = random.random_range(from_ms..to_ms);
    actix_rt::time::sleep(Duration::from_millis(wait_ms)).await;
}

/// Sets the same random faults on some listeners of the store and removes them
/// later.
async fn fail_listeners(
    fleet: &SharedFleet,
    listeners: std::ops::Range<usize>,
    random: &mut ChaCha8Rng,
) {
    let faults = random_store_faults(random);
    for listener in listeners.clone() {
        fleet::set_listener_faults(fleet, listener, &faults).await;
    }
    pause(random, 200, 1_500).await;
    for listener in listeners {
        fleet::set_listener_faults(fleet, listener, &StoreFaults::default()).await;
    }
}

pub fn random_store_faults(random: &mut ChaCha8Rng) -> StoreFaults {
    let mut faults = StoreFaults::default();
    match random.random_range(0..5) {
        0 => faults.refuse = true,
        1 => faults.silent = true,
        2 => faults.slow_ms = random.random_range(50..500),
        3 => faults.lose_answers = random.random_range(1..6),
        _ => faults.lose_calls = random.random_range(1..6),
    }
    faults
}

fn random_endpoint_faults(random: &mut ChaCha8Rng) -> BackendFaults {
    let mut faults = BackendFaults {
        delay_ms: random.random_range(0..60),
        events: random.random_range(1..6),
        ..BackendFaults::default()
    };
    let count = random.random_range(1..6);
    match random.random_range(0..5) {
        0 => faults.refuse = count,
        1 => faults.lose_answers = count,
        2 => faults.cut_bodies = count,
        3 => faults.other_attempt = count,
        _ => faults.unstamped = count,
    }
    if faults.cut_bodies == 0 {
        // Derived from the drawn values, so that each seed keeps its other faults.
        faults.break_streams = 2 * count;
        faults.break_at_bytes = EVENT_BYTES * (faults.delay_ms as usize % 3) + EVENT_BYTES / 2;
        faults.unframed = 3 * count;
    }
    faults
}

/// Writes an endpoint's entry with its current start time.
async fn announce(fleet: &SharedFleet, endpoint: usize, state: &str) {
    let address = fleet.borrow().endpoint_address(endpoint);
    let started_ms = fleet::report(address).await.born;
    fleet.borrow().announce(endpoint, state, started_ms);
}

/// Announces an endpoint as draining, and as ready again later.
pub async fn drain_endpoint(fleet: &SharedFleet, endpoint: usize, random: &mut ChaCha8Rng) {
    announce(fleet, endpoint, "draining").await;
    pause(random, 200, 800).await;
    announce(fleet, endpoint, "ready").await;
}

/// Stops an endpoint and restarts it under the same id. The downtime may be
/// shorter than a heartbeat interval. The endpoint's entry may expire
/// meanwhile, and the entry of its previous start may be written once more.
async fn restart_endpoint(fleet: &SharedFleet, endpoint: usize, random: &mut ChaCha8Rng) {
    let address = fleet.borrow().endpoint_address(endpoint);
    let previous_start_ms = fleet::report(address).await.born;
    fleet.borrow().endpoint_relays[endpoint].refuse(true);
    fleet.borrow().endpoint_relays[endpoint].cut();
    fleet::post(address, "/restart", &json!({})).await;
    if random.random_bool(0.3) {
        fleet.borrow().delete_entry(endpoint);
    }
    pause(random, 10, 900).await;
    fleet.borrow().endpoint_relays[endpoint].refuse(false);
    if random.random_bool(0.3) {
        // The endpoint accepts requests before its entry contains the new start
        // time.
        pause(random, 10, 300).await;
    }
    announce(fleet, endpoint, "ready").await;
    if random.random_bool(0.3) {
        fleet
            .borrow()
            .announce(endpoint, "ready", previous_start_ms);
        pause(random, 10, 100).await;
        announce(fleet, endpoint, "ready").await;
    }
}

/// Kills the processes of some hosts at the same time and starts new ones
/// later.
async fn kill(fleet: &SharedFleet, hosts: &[usize], random: &mut ChaCha8Rng) {
    for &host in hosts {
        // Dropping a `Gateway` kills its process.
        drop(fleet.borrow_mut().take_process(host));
    }
    pause(random, 50, 400).await;
    for &host in hosts {
        fleet.borrow_mut().start_host(host);
    }
}

/// Sends a process the signal to stop. The process may be suspended or killed
/// while it stops, and another host may replace it immediately.
async fn stop(fleet: &SharedFleet, host: usize, random: &mut ChaCha8Rng) {
    let Some(mut old) = fleet.borrow_mut().take_process(host) else {
        return;
    };
    old.signal("TERM");
    if random.random_bool(0.5) {
        fleet.borrow_mut().replace_host(host);
    }
    if random.random_bool(0.2) {
        old.signal("STOP");
        pause(random, 50, 800).await;
        old.signal("CONT");
    }
    if random.random_bool(0.2) {
        pause(random, 10, 800).await;
        old.kill();
    } else {
        assert_eq!(old.exit_code().await, Some(0));
    }
    fleet.borrow_mut().record_panics(&old);
    fleet.borrow_mut().start_host(host);
}

/// Suspends the process of a host for a random time.
async fn freeze(fleet: &SharedFleet, host: usize, random: &mut ChaCha8Rng) {
    let Some(id) = fleet.borrow_mut().freeze(host) else {
        return;
    };
    pause(random, 100, 1_500).await;
    fleet.borrow_mut().unfreeze(host, id);
}

/// Changes a host's settings to another valid or to an invalid value, and
/// restores them later.
pub async fn reload_settings(fleet: &SharedFleet, host: usize, random: &mut ChaCha8Rng) {
    let margin = *["600", "never"].choose(random).unwrap();
    fleet.borrow_mut().set_retention_margin(host, margin);
    pause(random, 10, 300).await;
    fleet
        .borrow_mut()
        .set_retention_margin(host, INITIAL_RETENTION_MARGIN_MS);
}
