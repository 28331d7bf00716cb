//! Tests of the admission of clients by memory.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use rosebend_coordination::client_memory::{
    AdmittedClient, ClientId, ClientLimits, ClientMemory, OutOfMemory, TooManyConnections, WaitsFor,
};

const LIMITS: ClientLimits = ClientLimits {
    max_connections: 4,
    max_bytes: 1_000,
};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn connect(memory: &mut ClientMemory, ms: u64) -> ClientId {
    memory.connect(at(ms)).unwrap().client
}

#[test]
fn the_longest_waiting_client_is_disconnected_for_another() {
    let mut memory = ClientMemory::new(LIMITS);
    let clients: Vec<_> = (0..4).map(|ms| connect(&mut memory, ms)).collect();
    memory.stop_waiting(clients[0]);
    memory.start_waiting(clients[1], WaitsFor::Request, at(10));
    let AdmittedClient { closed, .. } = memory.connect(at(20)).unwrap();
    assert_eq!(closed, Some(clients[2]));
    assert_eq!(memory.connections(), 4);
}

#[test]
fn a_connection_is_refused_if_all_others_are_served() {
    let mut memory = ClientMemory::new(LIMITS);
    for _ in 0..4 {
        let client = connect(&mut memory, 0);
        memory.stop_waiting(client);
    }
    assert_eq!(memory.connect(at(1)), Err(TooManyConnections));
}

#[test]
fn the_client_that_has_stalled_longest_is_disconnected() {
    let mut memory = ClientMemory::new(LIMITS);
    let clients: Vec<_> = (0..3).map(|ms| connect(&mut memory, ms)).collect();
    memory.start_waiting(clients[2], WaitsFor::Answer, at(10));
    memory.start_waiting(clients[1], WaitsFor::Answer, at(20));
    assert_eq!(memory.disconnect_stalled(), Some(clients[2]));
    assert_eq!(memory.disconnect_stalled(), Some(clients[1]));
    assert_eq!(memory.disconnect_stalled(), None);
    assert_eq!(memory.connections(), 1);
}

#[test]
fn one_body_may_take_half_of_the_memory() {
    let mut memory = ClientMemory::new(LIMITS);
    let client = connect(&mut memory, 0);
    assert_eq!(memory.reserve(client, 500, at(0)), Ok(vec![]));
    assert_eq!(memory.reserve(client, 1, at(0)), Err(OutOfMemory));
    assert_eq!(memory.held_bytes(), 500);
}

/// Guards against clients that stop short of the end of large bodies and leave no memory for
/// others.
#[test]
fn a_client_that_stalls_loses_its_body_to_one_that_does_not() {
    let mut memory = ClientMemory::new(LIMITS);
    let stalled = [connect(&mut memory, 0), connect(&mut memory, 0)];
    memory.reserve(stalled[0], 400, at(0)).unwrap();
    memory.reserve(stalled[1], 200, at(0)).unwrap();
    let ordinary = connect(&mut memory, 500);
    assert_eq!(memory.reserve(ordinary, 250, at(501)), Ok(vec![stalled[0]]));
    assert_eq!(memory.held_bytes(), 450);
    // The client holds nothing any more.
    memory.release(stalled[0], 400);
    assert_eq!(memory.take_body(stalled[0], 400), Err(OutOfMemory));
    assert_eq!(memory.held_bytes(), 450);
}

#[test]
fn a_costly_client_takes_nothing_from_cheaper_ones() {
    let mut memory = ClientMemory::new(LIMITS);
    let large = connect(&mut memory, 0);
    memory.reserve(large, 300, at(0)).unwrap();
    let small = connect(&mut memory, 90);
    memory.reserve(small, 100, at(100)).unwrap();
    assert_eq!(memory.reserve(large, 180, at(100)), Err(OutOfMemory));
    assert_eq!(memory.held_bytes(), 400);
}

#[test]
fn a_client_with_a_weight_yields_to_one_that_holds_more() {
    let mut memory = ClientMemory::new(LIMITS);
    let weighted = connect(&mut memory, 0);
    memory.set_weight(weighted, 10);
    memory.reserve(weighted, 300, at(0)).unwrap();
    let other = connect(&mut memory, 0);
    memory.reserve(other, 300, at(0)).unwrap();
    assert_eq!(memory.reserve(other, 100, at(9)), Ok(vec![weighted]));
    assert_eq!(memory.reserve(weighted, 200, at(9)), Ok(vec![]));
    assert_eq!(memory.reserve(weighted, 200, at(9)), Err(OutOfMemory));
}

/// Guards against the eviction of bodies that may have been sent to an endpoint.
#[test]
fn complete_bodies_are_kept() {
    let mut memory = ClientMemory::new(LIMITS);
    let served = connect(&mut memory, 0);
    memory.reserve(served, 500, at(0)).unwrap();
    memory.take_body(served, 500).unwrap();
    memory.stop_waiting(served);
    let other = connect(&mut memory, 1_000);
    assert_eq!(memory.reserve(other, 251, at(1_000)), Err(OutOfMemory));
    assert_eq!(memory.reserve(other, 250, at(1_000)), Ok(vec![]));
    memory.disconnect(served);
    assert_eq!(memory.held_bytes(), 750);
    memory.release_body(500);
    assert_eq!(memory.held_bytes(), 250);
}

#[test]
fn what_a_request_needs_to_be_served_takes_the_memory_of_unfinished_ones() {
    let mut memory = ClientMemory::new(LIMITS);
    let stalled = connect(&mut memory, 0);
    memory.reserve(stalled, 400, at(0)).unwrap();
    assert_eq!(memory.reserve_body(300, at(1)), Ok(vec![]));
    assert_eq!(memory.reserve_body(200, at(1)), Ok(vec![stalled]));
    assert_eq!(memory.reserve_body(251, at(1)), Err(OutOfMemory));
    memory.release_body(300);
    memory.release_body(200);
    assert_eq!(memory.held_bytes(), 0);
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Connect,
    Disconnect(usize),
    Reserve(usize, usize),
    Release(usize, usize),
    TakeBody(usize),
    ReserveBody(usize),
    ReleaseBody,
    StartWaiting(usize),
    StopWaiting(usize),
}

fn steps() -> impl Strategy<Value = Vec<(u64, Step)>> {
    let step = prop_oneof![
        2 => Just(Step::Connect),
        1 => any::<usize>().prop_map(Step::Disconnect),
        6 => (any::<usize>(), 1..600_usize).prop_map(|(client, bytes)| Step::Reserve(client, bytes)),
        1 => (any::<usize>(), 1..600_usize).prop_map(|(client, bytes)| Step::Release(client, bytes)),
        2 => any::<usize>().prop_map(Step::TakeBody),
        1 => (1..600_usize).prop_map(Step::ReserveBody),
        2 => Just(Step::ReleaseBody),
        1 => any::<usize>().prop_map(Step::StartWaiting),
        1 => any::<usize>().prop_map(Step::StopWaiting),
    ];
    prop::collection::vec((0..50_u64, step), 1..200)
}

proptest! {
    /// The sum is that of a simple account and stays within the limit.
    #[test]
    fn memory_stays_within_the_limit(steps in steps()) {
        let mut memory = ClientMemory::new(LIMITS);
        let mut held: BTreeMap<ClientId, usize> = BTreeMap::new();
        let mut bodies: Vec<usize> = Vec::new();
        let mut now = 0;
        for (pause, step) in steps {
            now += pause;
            let pick = |number: usize| {
                let count = held.len().max(1);
                held.keys().nth(number % count).copied()
            };
            match step {
                Step::Connect => {
                    if let Ok(admitted) = memory.connect(at(now)) {
                        if let Some(closed) = admitted.closed {
                            held.remove(&closed);
                        }
                        held.insert(admitted.client, 0);
                    }
                }
                Step::Disconnect(number) => {
                    if let Some(client) = pick(number) {
                        memory.disconnect(client);
                        held.remove(&client);
                    }
                }
                Step::Reserve(number, bytes) => {
                    if let Some(client) = pick(number)
                        && let Ok(evicted) = memory.reserve(client, bytes, at(now))
                    {
                        prop_assert!(!evicted.contains(&client));
                        for evicted in evicted {
                            held.insert(evicted, 0);
                        }
                        *held.get_mut(&client).unwrap() += bytes;
                        let own = held[&client];
                        prop_assert!(memory.held_bytes() + own <= LIMITS.max_bytes);
                    }
                }
                Step::Release(number, bytes) => {
                    if let Some(client) = pick(number) {
                        memory.release(client, bytes);
                        let own = held.get_mut(&client).unwrap();
                        *own = own.saturating_sub(bytes);
                    }
                }
                Step::TakeBody(number) => {
                    if let Some(client) = pick(number) {
                        let bytes = held[&client];
                        memory.take_body(client, bytes).unwrap();
                        held.insert(client, 0);
                        bodies.push(bytes);
                    }
                }
                Step::ReserveBody(bytes) => {
                    if let Ok(evicted) = memory.reserve_body(bytes, at(now)) {
                        for evicted in evicted {
                            held.insert(evicted, 0);
                        }
                        bodies.push(bytes);
                    }
                }
                Step::ReleaseBody => {
                    if let Some(bytes) = bodies.pop() {
                        memory.release_body(bytes);
                    }
                }
                Step::StartWaiting(number) => {
                    if let Some(client) = pick(number) {
                        memory.start_waiting(client, WaitsFor::Request, at(now));
                    }
                }
                Step::StopWaiting(number) => {
                    if let Some(client) = pick(number) {
                        memory.stop_waiting(client);
                    }
                }
            }
            let sum = held.values().sum::<usize>() + bodies.iter().sum::<usize>();
            prop_assert_eq!(memory.held_bytes(), sum);
            prop_assert_eq!(memory.connections(), held.len());
            prop_assert!(memory.held_bytes() <= LIMITS.max_bytes);
            prop_assert!(memory.connections() <= LIMITS.max_connections);
        }
    }
}
