//! Contention for the engines of a group: a burst of a less urgent route, and one customer
//! beside others.
//!
//! The tests guard against two failures of hosts that choose engines by themselves: in a
//! burst, all programs of all routes become late, and one customer takes the engines from
//! the others.

mod engine_scheduler_sim;

use engine_scheduler_sim::{Mode, Stream, Tally, engine, run};
use rosebend_coordination::gateway::admission::Urgency;
use rosebend_coordination::gateway::engine_scheduler::EngineState;

const ENGINES: u32 = 12;
const SLOTS: u32 = 6;
const TURN_MS: u64 = 200;
const PAUSE_MS: u64 = 150;
/// Turns that the engines run per second.
const TURNS_PER_S: f64 = (ENGINES * SLOTS) as f64 * 1_000.0 / TURN_MS as f64;

fn engines() -> Vec<EngineState> {
    (0..ENGINES)
        .map(|index| engine(&format!("engine-{index}"), SLOTS, 100))
        .collect()
}

fn idle_ms(turns: u64) -> u64 {
    turns * TURN_MS + (turns - 1) * PAUSE_MS
}

/// The urgent route: 3 turns, target 1.3 times the time on idle engines plus 200 ms.
fn short(per_s: f64, arrivals_ms: std::ops::Range<u64>) -> Stream {
    Stream {
        customer: None,
        priority: Urgency::Route,
        objective_ms: 200,
        turns: 3,
        turn_ms: TURN_MS,
        pause_ms: PAUSE_MS,
        target_ms: idle_ms(3) * 13 / 10 + 200,
        per_s,
        arrivals_ms,
    }
}

/// The less urgent route: 9 turns, target 1.2 times the time on idle engines plus 400 ms.
fn long(per_s: f64, arrivals_ms: std::ops::Range<u64>) -> Stream {
    Stream {
        priority: Urgency::Normal,
        objective_ms: 400,
        turns: 9,
        target_ms: idle_ms(9) * 12 / 10 + 400,
        ..short(per_s, arrivals_ms)
    }
}

fn burst(mode: Mode) -> (Tally, Tally) {
    let streams = [
        short(20.0, 0..10_000),
        long(TURNS_PER_S * 2.0 / 9.0, 2_000..6_000),
    ];
    let tallies = run(&engines(), &streams, mode);
    println!("{mode:?}: short {:?}, long {:?}", tallies[0], tallies[1]);
    (tallies[0], tallies[1])
}

/// A burst of the less urgent route at twice the rate of the engines.
#[test]
fn a_burst_of_the_less_urgent_route_leaves_programs_of_both_routes_in_time() {
    let (short_neither, long_neither) = burst(Mode::Neither);
    let (short_admission, long_admission) = burst(Mode::AdmissionOnly);
    let (short_order, _) = burst(Mode::OrderOnly);
    let (short_both, long_both) = burst(Mode::Both);
    // Without admission, turns of all programs wait behind the whole burst.
    assert!(long_both.in_time > long_neither.in_time);
    assert!(short_both.in_time > short_neither.in_time);
    assert!(short_admission.in_time > short_neither.in_time);
    assert!(long_admission.in_time > long_neither.in_time);
    // The queue order alone serves the urgent route before the burst.
    assert!(short_order.in_time > short_neither.in_time);
    assert!(short_both.in_time >= short_admission.in_time);
    // The urgent route is not served worse.
    assert!(short_both.in_time_percent() >= long_both.in_time_percent());
    // Neither starves: the engines could serve four ninths of the burst beside the urgent
    // route, and half of that is the least that a program of the long route can expect.
    assert!(long_both.in_time_percent() >= 20.0);
}

/// A burst of the urgent route at twice the rate of the engines beside the other route.
#[test]
fn a_burst_of_the_urgent_route_does_not_starve_the_other_one() {
    let streams = [
        short(TURNS_PER_S * 2.0 / 3.0, 2_000..6_000),
        long(10.0, 2_000..6_000),
    ];
    let tallies = run(&engines(), &streams, Mode::Both);
    println!("short {:?}, long {:?}", tallies[0], tallies[1]);
    let (short, long) = (tallies[0], tallies[1]);
    assert!(long.in_time + long.late > 0, "the long route starves");
    assert!(short.in_time_percent() >= long.in_time_percent());
}

fn customer(name: &str, per_s: f64) -> Stream {
    Stream {
        customer: Some(name.to_owned()),
        priority: Urgency::Normal,
        objective_ms: 400,
        ..short(per_s, 0..10_000)
    }
}

fn sum(tallies: &[Tally]) -> Tally {
    tallies.iter().fold(Tally::default(), |sum, one| Tally {
        programs: sum.programs + one.programs,
        in_time: sum.in_time + one.in_time,
        late: sum.late + one.late,
        refused: sum.refused + one.refused,
    })
}

/// One customer at six times its usual rate beside seventy quiet ones.
#[test]
fn quiet_customers_are_served_as_if_the_busy_one_were_not_there() {
    let programs_per_s = TURNS_PER_S / 3.0;
    let quiet: Vec<Stream> = (0..70)
        .map(|index| customer(&format!("quiet-{index}"), programs_per_s * 0.65 / 70.0))
        .collect();
    let usual = programs_per_s * 0.1;
    let alone = sum(&run(&engines(), &quiet, Mode::Both));
    let mut streams = quiet;
    streams.push(customer("busy", usual * 6.0));
    let tallies = run(&engines(), &streams, Mode::Both);
    let (busy, quiet) = tallies.split_last().expect("there are customers");
    let quiet = sum(quiet);
    println!("alone {alone:?}, quiet {quiet:?}, busy {busy:?}");
    assert!(quiet.in_time_percent() >= alone.in_time_percent() - 2.0);
    // The quiet customers leave 35 % of the engines, and the busy one uses most of it.
    let left = programs_per_s * 0.35 * 10.0;
    assert!(f64::from(busy.in_time + busy.late) >= left * 0.8);
}
