//! The fleet under test, and what strikes it.

use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rosebend_standin::backend::{BackendFaults, Runs};
use rosebend_standin::server::RunningServer;
use rosebend_standin::store::StoreFaults;
use rosebend_system_tests::relay::Relay;
use serde_json::json;

use crate::support::{self, Ask, Gateway, Site};

const GATEWAYS: usize = 3;

/// Three gateways, each with a door and a relay to the store of its own, and
/// two endpoints of each service, each behind a relay.
pub struct Fleet {
    site: Site,
    doors: Vec<RunningServer>,
    store_relays: Vec<Relay>,
    endpoint_relays: Vec<Relay>,
    gateways: Vec<Option<Gateway>>,
    version: u64,
}

impl Fleet {
    pub async fn start() -> Self {
        let mut site = Site::without_routes();
        site.add_endpoint("models");
        site.add_endpoint("desk");
        let endpoints = site.endpoints.iter();
        let relays = endpoints.map(|endpoint| Relay::start(endpoint.server.address()).unwrap());
        let endpoint_relays: Vec<Relay> = relays.collect();
        let listener = || TcpListener::bind("127.0.0.1:0").unwrap();
        let doors = (0..GATEWAYS).map(|_| site.store.open_door(listener()).unwrap());
        let doors: Vec<RunningServer> = doors.collect();
        let store_relays = doors
            .iter()
            .map(|door| Relay::start(door.address()).unwrap());
        let store_relays: Vec<Relay> = store_relays.collect();
        let mut fleet = Self {
            site,
            doors,
            store_relays,
            endpoint_relays,
            gateways: Vec::new(),
            version: 1,
        };
        for index in 0..fleet.site.endpoints.len() {
            fleet.announce(index, "ready");
        }
        fleet.site.declare(1);
        fleet.gateways = (0..GATEWAYS)
            .map(|index| Some(fleet.gateway(index)))
            .collect();
        for gateway in fleet.gateways.iter().flatten() {
            gateway.until_ready().await;
        }
        fleet
    }

    fn gateway(&self, index: usize) -> Gateway {
        Gateway::start(self.store_relays[index].address())
    }

    /// Where each gateway takes callers, as far as it runs.
    pub fn fronts(&self) -> Vec<Option<SocketAddr>> {
        let gateways = self.gateways.iter();
        gateways
            .map(|gateway| Some(gateway.as_ref()?.front))
            .collect()
    }

    fn announce(&self, index: usize, state: &str) {
        let endpoint = &self.site.endpoints[index];
        let address = self.endpoint_relays[index].address().to_string();
        let entry = json!({
            "service": endpoint.service, "address": address, "zone": "newport-hall",
            "version": "v1", "slots": 8, "state": state, "cold-left-ms": 0, "seq": 1,
        });
        self.site.store.put("servers", &endpoint.instance, &entry);
    }
}

/// Waits without holding the fleet.
async fn pause(random: &mut ChaCha8Rng, from_ms: u64, to_ms: u64) {
    let wait_ms = random.random_range(from_ms..to_ms);
    actix_rt::time::sleep(Duration::from_millis(wait_ms)).await;
}

/// Begins one fault at random and waits for a short while. Earlier ones may
/// still last.
pub async fn strike(fleet: &Rc<RefCell<Fleet>>, random: &mut ChaCha8Rng) {
    let index = random.random_range(0..GATEWAYS);
    let endpoint = random.random_range(0..4);
    match random.random_range(0..14) {
        0 => door(fleet, index, store_faults(random)).await,
        1 => door(fleet, index, StoreFaults::default()).await,
        2 => fleet.borrow().store_relays[index].silence(),
        3 => fleet.borrow().store_relays[index].cut(),
        4 => fleet.borrow().endpoint_relays[endpoint].silence(),
        5 => fleet.borrow().endpoint_relays[endpoint].cut(),
        6 => endpoint_faults(fleet, endpoint, random).await,
        7 => fleet.borrow().site.store.forget_history(),
        8 => declare(fleet),
        9 => drain(fleet, endpoint, random).await,
        10 => kill(fleet, index).await,
        11 => stop(fleet, index),
        12 => freeze(fleet, index, random).await,
        _ => whole_store(fleet, random).await,
    }
    pause(random, 50, 400).await;
}

/// Ends all faults and brings every process back.
pub async fn heal(fleet: &Rc<RefCell<Fleet>>) {
    for index in 0..GATEWAYS {
        door(fleet, index, StoreFaults::default()).await;
    }
    for endpoint in 0..4 {
        let address = fleet.borrow().site.endpoints[endpoint].server.address();
        post(address, &json!(BackendFaults::default())).await;
        fleet.borrow().announce(endpoint, "ready");
    }
    for index in 0..GATEWAYS {
        if fleet.borrow().gateways[index].is_none() {
            start(fleet, index);
        }
    }
}

/// What ran at all endpoints.
pub async fn all_runs(fleet: &Rc<RefCell<Fleet>>) -> Vec<Runs> {
    let mut runs = Vec::new();
    for endpoint in 0..4 {
        let address = fleet.borrow().site.endpoints[endpoint].server.address();
        let answer = Ask::get("/runs").send(address).await;
        runs.push(serde_json::from_str(&answer.body).unwrap());
    }
    runs
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

async fn door(fleet: &Rc<RefCell<Fleet>>, index: usize, faults: StoreFaults) {
    let address = fleet.borrow().doors[index].address();
    post(address, &json!(faults)).await;
}

async fn whole_store(fleet: &Rc<RefCell<Fleet>>, random: &mut ChaCha8Rng) {
    let faults = store_faults(random);
    for index in 0..GATEWAYS {
        door(fleet, index, faults.clone()).await;
    }
    pause(random, 200, 1_500).await;
    for index in 0..GATEWAYS {
        door(fleet, index, StoreFaults::default()).await;
    }
}

async fn endpoint_faults(fleet: &Rc<RefCell<Fleet>>, endpoint: usize, random: &mut ChaCha8Rng) {
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
    let address = fleet.borrow().site.endpoints[endpoint].server.address();
    post(address, &json!(faults)).await;
}

async fn post(address: SocketAddr, faults: &serde_json::Value) {
    let ask = Ask::new(http::Method::POST, "/faults").body(&faults.to_string());
    assert_eq!(ask.send(address).await.status, 200);
}

fn declare(fleet: &Rc<RefCell<Fleet>>) {
    let mut fleet = fleet.borrow_mut();
    fleet.version += 3;
    let version = fleet.version;
    fleet
        .site
        .store
        .put("op", "config", &support::routes(version));
}

async fn drain(fleet: &Rc<RefCell<Fleet>>, endpoint: usize, random: &mut ChaCha8Rng) {
    fleet.borrow().announce(endpoint, "draining");
    pause(random, 200, 800).await;
    fleet.borrow().announce(endpoint, "ready");
}

fn start(fleet: &Rc<RefCell<Fleet>>, index: usize) {
    let gateway = fleet.borrow().gateway(index);
    fleet.borrow_mut().gateways[index] = Some(gateway);
}

async fn kill(fleet: &Rc<RefCell<Fleet>>, index: usize) {
    // Dropping a gateway kills it.
    drop(fleet.borrow_mut().gateways[index].take());
    actix_rt::time::sleep(Duration::from_millis(100)).await;
    start(fleet, index);
}

/// Asks a gateway to stop, and starts another in its place at once.
fn stop(fleet: &Rc<RefCell<Fleet>>, index: usize) {
    let old = fleet.borrow_mut().gateways[index].take();
    start(fleet, index);
    if let Some(mut old) = old {
        old.signal("TERM");
        actix_rt::spawn(async move {
            assert_eq!(old.exit_code().await, Some(0));
        });
    }
}

async fn freeze(fleet: &Rc<RefCell<Fleet>>, index: usize, random: &mut ChaCha8Rng) {
    let frozen = fleet.borrow_mut().gateways[index].take();
    let Some(gateway) = frozen else {
        return;
    };
    gateway.signal("STOP");
    pause(random, 100, 1_500).await;
    gateway.signal("CONT");
    fleet.borrow_mut().gateways[index] = Some(gateway);
}
