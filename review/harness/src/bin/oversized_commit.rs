//! Case 1: turns with long inputs that end in an outage of the store.

use std::error::Error;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use rosebend_review::lost;
use rosebend_review::process::Launcher;
use rosebend_review::program::{Client, Turn, continuing, is_whole};
use rosebend_review::random::Random;
use rosebend_review::record::Record;
use rosebend_review::site::{OtherRoute, RETENTION, Routes, Site, TOKENS_PER_EVENT, ZONE};
use rosebend_review::store_proxy::Mode;
use rosebend_review::{Verdict, has_trouble};

/// Bytes of a long input: 67,500 tokens of four bytes.
const LONG_INPUT_BYTES: usize = 270_000;
/// Programs with a long input, and the time between the starts of two of them.
const LONG_PROGRAMS: usize = 200;
const LONG_PROGRAM_INTERVAL: Duration = Duration::from_millis(50);
/// Events of a turn with a long input, and the time between two events of any turn.
const LONG_TURN_EVENTS: u64 = 100;
const EVENT_INTERVAL_MS: u64 = 40;
/// Time from the first of these starts to the outage.
const OUTAGE_AFTER: Duration = Duration::from_millis(4_500);
/// Duration of the outage.
const OUTAGE: Duration = Duration::from_millis(4_500);
/// `contact-ms` of the small sites, and half a second.
const CALM: Duration = Duration::from_millis(3_500);
/// Programs that are in progress.
const ACTIVE_PROGRAMS: usize = 48;
/// Programs that begin while the active ones continue, one after the other.
const NEW_PROGRAMS: usize = 20;
const NEW_PROGRAM_INTERVAL: Duration = Duration::from_millis(300);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, repository, folder, work_folder] = &arguments[..] else {
        eprintln!("usage: oversized_commit REPOSITORY CASE-FOLDER WORK-FOLDER");
        return Verdict::CouldNotRun.into();
    };
    let launcher = Launcher::new(Path::new(repository), Path::new(work_folder));
    match run(&launcher, Path::new(folder)) {
        Ok(verdict) => verdict.into(),
        Err(error) => {
            eprintln!("{error}");
            Verdict::CouldNotRun.into()
        }
    }
}

fn run(launcher: &Launcher, folder: &Path) -> Result<Verdict, Box<dyn Error>> {
    let record = Record::create(folder)?;
    let (random, seed) = Random::from_environment();
    record.line(&format!("seed {seed}, trouble {}", has_trouble()));
    let routes = Routes {
        turn_timeout_ms: 1_000,
        objective_ms: 250,
        other: OtherRoute {
            timeout_ms: 6_000,
            retention: RETENTION,
        },
    };
    let site = Site::start(launcher, &record, &random, routes, &[ZONE; 2])?;
    let client = Client {
        fronts: site.gateways.iter().map(|gateway| gateway.front).collect(),
        record: record.clone(),
        random: Arc::new(random),
    };
    thread::sleep(Duration::from_secs(3));

    record.line("programs begin");
    site.set_events(3, EVENT_INTERVAL_MS)?;
    let active = turns(&client, "/stream/turn", ACTIVE_PROGRAMS, 130);
    let active_tries = client.run_all(&active);

    record.line("programs with long inputs begin");
    site.set_events(LONG_TURN_EVENTS, EVENT_INTERVAL_MS)?;
    let long_turns = long_turns(&client);
    let long_tries = thread::scope(|scope| {
        let outage = scope.spawn(|| {
            thread::sleep(OUTAGE_AFTER);
            if has_trouble() {
                record.line("the store is down");
                site.proxy.set_mode(Mode::Busy);
            }
            thread::sleep(OUTAGE);
            site.proxy.set_mode(Mode::Pass);
            record.line("the store is not down");
        });
        let tries = client.run_one_by_one(&long_turns, LONG_PROGRAM_INTERVAL);
        // The thread has no result.
        let _ = outage.join();
        tries
    });
    let whole = long_tries.iter().filter(|tries| is_whole(tries)).count();
    record.line(&format!(
        "{whole} of {LONG_PROGRAMS} turns with long inputs were answered; the store refused {} \
         transactions as too large",
        site.proxy.refused_as_too_large()
    ));
    thread::sleep(CALM);

    record.line("the active programs continue, and new ones begin");
    site.set_events(3, EVENT_INTERVAL_MS)?;
    let next_turns = continuing(&active, &active_tries);
    if next_turns.len() < ACTIVE_PROGRAMS * 9 / 10 {
        return Err("first turns were not answered".into());
    }
    let new_programs = turns(&client, "/stream/turn", NEW_PROGRAMS, 4_000);
    let (continued, begun) = thread::scope(|scope| {
        let begun = scope.spawn(|| client.run_one_by_one(&new_programs, NEW_PROGRAM_INTERVAL));
        let continued = client.run_all(&next_turns);
        (continued, begun.join().unwrap_or_default())
    });
    record.line(&format!(
        "the store refused {} transactions as too large",
        site.proxy.refused_as_too_large()
    ));
    site.record_store_stats(&record);
    site.record_memory(&record);
    Ok(lost::judge(&site, &record, &continued, &begun)?)
}

fn long_turns(client: &Client) -> Vec<Turn> {
    let mut turns = turns(client, "/other/stream/turn", LONG_PROGRAMS, 4_000);
    for turn in &mut turns {
        turn.max_output_tokens = LONG_TURN_EVENTS * TOKENS_PER_EVENT;
        turn.input = "long ".repeat(LONG_INPUT_BYTES / 5);
        turn.time_budget = Duration::from_millis(6_000);
    }
    turns
}

fn turns(client: &Client, path: &'static str, count: usize, budget_tokens: u64) -> Vec<Turn> {
    let turn = |_| Turn {
        path,
        program: client.random.id(),
        session: client.random.id(),
        budget_tokens,
        max_output_tokens: 40,
        previous: None,
        input: "a question".to_owned(),
        time_budget: Duration::from_millis(3_000),
    };
    (0..count).map(turn).collect()
}
