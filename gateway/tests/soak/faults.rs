//! What strikes the fleet: series of one kind of fault each, which overlap.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rosebend_standin::backend::BackendFaults;
use rosebend_standin::store::StoreFaults;
use serde_json::json;

use crate::fleet::{self, SOUND_MARGIN, Shared};

/// Faults in one series at most.
const LONGEST_SERIES: u32 = 4;

/// A kind of fault.
#[derive(Clone, Copy, Debug)]
enum Kind {
    Door,
    WholeStore,
    SilentStore,
    CutStore,
    SilentEndpoint,
    CutEndpoint,
    FaultyEndpoint,
    RestartedEndpoint,
    DrainedEndpoint,
    ForgottenHistory,
    ChangedRoutes,
    Kill,
    KillMany,
    Stop,
    Freeze,
    Reload,
}

const KINDS: [Kind; 16] = [
    Kind::Door,
    Kind::WholeStore,
    Kind::SilentStore,
    Kind::CutStore,
    Kind::SilentEndpoint,
    Kind::CutEndpoint,
    Kind::FaultyEndpoint,
    Kind::RestartedEndpoint,
    Kind::DrainedEndpoint,
    Kind::ForgottenHistory,
    Kind::ChangedRoutes,
    Kind::Kill,
    Kind::KillMany,
    Kind::Stop,
    Kind::Freeze,
    Kind::Reload,
];

/// Begins a series of faults and waits for a short while. Earlier series may
/// still last.
pub async fn strike(fleet: &Shared, random: &mut ChaCha8Rng) {
    let kind = *KINDS.choose(random).unwrap();
    let own = ChaCha8Rng::seed_from_u64(random.next_u64());
    let series = actix_rt::spawn(series(fleet.clone(), kind, own));
    fleet.borrow_mut().keep(series);
    pause(random, 50, 600).await;
}

/// Waits for the end of all series, ends all faults and starts every host.
pub async fn heal(fleet: &Shared) {
    let series = fleet.borrow_mut().take_series();
    for series in series {
        series.await.unwrap();
    }
    let doors = fleet.borrow().door_count();
    for door in 0..doors {
        fleet::set_door_faults(fleet, door, &StoreFaults::default()).await;
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

async fn series(fleet: Shared, kind: Kind, mut random: ChaCha8Rng) {
    for _ in 0..random.random_range(1..=LONGEST_SERIES) {
        fault(&fleet, kind, &mut random).await;
        pause(&mut random, 10, 400).await;
    }
}

async fn fault(fleet: &Shared, kind: Kind, random: &mut ChaCha8Rng) {
    let host = random.random_range(0..fleet.borrow().host_count());
    let door = random.random_range(0..fleet.borrow().door_count());
    let endpoint = random.random_range(0..fleet.borrow().endpoint_count());
    match kind {
        Kind::Door => fail_doors(fleet, door..door + 1, random).await,
        Kind::WholeStore => {
            let doors = fleet.borrow().door_count();
            fail_doors(fleet, 0..doors, random).await;
        }
        Kind::SilentStore => fleet.borrow().store_relays[door].silence(),
        Kind::CutStore => fleet.borrow().store_relays[door].cut(),
        Kind::SilentEndpoint => fleet.borrow().endpoint_relays[endpoint].silence(),
        Kind::CutEndpoint => fleet.borrow().endpoint_relays[endpoint].cut(),
        Kind::FaultyEndpoint => {
            let faults = endpoint_faults(random);
            fleet::set_endpoint_faults(fleet, endpoint, &faults).await;
        }
        Kind::RestartedEndpoint => restart_endpoint(fleet, endpoint, random).await,
        Kind::DrainedEndpoint => {
            announce(fleet, endpoint, "draining").await;
            pause(random, 200, 800).await;
            announce(fleet, endpoint, "ready").await;
        }
        Kind::ForgottenHistory => fleet.borrow().site.store.forget_history(),
        Kind::ChangedRoutes => fleet
            .borrow_mut()
            .declare_routes(random.random_range(2_500..3_500)),
        Kind::Kill => kill(fleet, &[host], random).await,
        Kind::KillMany => {
            let share = *[0.3, 0.6, 1.0].choose(random).unwrap();
            let hosts = 0..fleet.borrow().host_count();
            let struck: Vec<usize> = hosts.filter(|_| random.random_bool(share)).collect();
            kill(fleet, &struck, random).await;
        }
        Kind::Stop => stop(fleet, host, random).await,
        Kind::Freeze => freeze(fleet, host, random).await,
        Kind::Reload => reload(fleet, host, random).await,
    }
}

/// Waits without holding the fleet.
async fn pause(random: &mut ChaCha8Rng, from_ms: u64, to_ms: u64) {
    let wait_ms = random.random_range(from_ms..to_ms);
    actix_rt::time::sleep(Duration::from_millis(wait_ms)).await;
}

async fn fail_doors(fleet: &Shared, doors: std::ops::Range<usize>, random: &mut ChaCha8Rng) {
    let faults = store_faults(random);
    for door in doors.clone() {
        fleet::set_door_faults(fleet, door, &faults).await;
    }
    pause(random, 200, 1_500).await;
    for door in doors {
        fleet::set_door_faults(fleet, door, &StoreFaults::default()).await;
    }
}

fn store_faults(random: &mut ChaCha8Rng) -> StoreFaults {
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

fn endpoint_faults(random: &mut ChaCha8Rng) -> BackendFaults {
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
    faults
}

/// Writes the entry of an endpoint's present start.
async fn announce(fleet: &Shared, endpoint: usize, state: &str) {
    let address = fleet.borrow().endpoint_address(endpoint);
    let born_ms = fleet::report(address).await.born;
    fleet.borrow().announce(endpoint, state, born_ms);
}

/// Lets an endpoint fall and start again under its id, for a time that may be
/// shorter than any heartbeat. Its entry may lapse meanwhile, and the one of the
/// start before may be heard once more.
async fn restart_endpoint(fleet: &Shared, endpoint: usize, random: &mut ChaCha8Rng) {
    let address = fleet.borrow().endpoint_address(endpoint);
    let old_ms = fleet::report(address).await.born;
    fleet.borrow().endpoint_relays[endpoint].refuse(true);
    fleet.borrow().endpoint_relays[endpoint].cut();
    fleet::post(address, "/restart", &json!({})).await;
    if random.random_bool(0.3) {
        fleet.borrow().forget(endpoint);
    }
    pause(random, 10, 900).await;
    fleet.borrow().endpoint_relays[endpoint].refuse(false);
    if random.random_bool(0.3) {
        // It takes requests before its entry says that it has started.
        pause(random, 10, 300).await;
    }
    announce(fleet, endpoint, "ready").await;
    if random.random_bool(0.3) {
        fleet.borrow().announce(endpoint, "ready", old_ms);
        pause(random, 10, 100).await;
        announce(fleet, endpoint, "ready").await;
    }
}

/// Kills the processes of some hosts at once and starts them again.
async fn kill(fleet: &Shared, hosts: &[usize], random: &mut ChaCha8Rng) {
    for &host in hosts {
        // Dropping a process kills it.
        drop(fleet.borrow_mut().take(host));
    }
    pause(random, 50, 400).await;
    for &host in hosts {
        fleet.borrow_mut().start_host(host);
    }
}

/// Asks a process to stop. It may stand still or be killed on its way, and
/// another host may take its place at once.
async fn stop(fleet: &Shared, host: usize, random: &mut ChaCha8Rng) {
    let Some(mut old) = fleet.borrow_mut().take(host) else {
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
    fleet.borrow_mut().note_panics(&old);
    fleet.borrow_mut().start_host(host);
}

async fn freeze(fleet: &Shared, host: usize, random: &mut ChaCha8Rng) {
    let Some(id) = fleet.borrow_mut().freeze(host) else {
        return;
    };
    pause(random, 100, 1_500).await;
    fleet.borrow_mut().wake(host, id);
}

/// Changes a host's settings, or spoils them, and puts them right again.
async fn reload(fleet: &Shared, host: usize, random: &mut ChaCha8Rng) {
    let margin = *["600", "never"].choose(random).unwrap();
    fleet.borrow_mut().set_margin(host, margin);
    pause(random, 10, 300).await;
    fleet.borrow_mut().set_margin(host, SOUND_MARGIN);
}
