//! Case 2: a program whose turns arrive through three zones, on two routes that keep turns
//! for different times.

use std::error::Error;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use rosebend_review::lost;
use rosebend_review::process::Launcher;
use rosebend_review::program::{Client, Turn, continuing};
use rosebend_review::random::Random;
use rosebend_review::record::Record;
use rosebend_review::site::{OtherRoute, Routes, Site};
use rosebend_review::{Verdict, has_trouble};

/// Zones with two gateways each, as the small sites have them.
const ZONES: [&str; 6] = [
    "newport-hall",
    "newport-hall",
    "harbour-hall",
    "harbour-hall",
    "portmore-hall",
    "portmore-hall",
];
const GATEWAYS_PER_ZONE: usize = 2;
const PROGRAMS: usize = 8;
const NEW_PROGRAMS: usize = 20;
/// Time for which the route of the first turns keeps them.
const SHORT_RETENTION: Duration = Duration::from_secs(10);
/// Time between the second and the third turn, less than the retention of the second one.
const PAUSE: Duration = Duration::from_secs(52);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, repository, folder, work_folder] = &arguments[..] else {
        eprintln!("usage: short_retention REPOSITORY CASE-FOLDER WORK-FOLDER");
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
            timeout_ms: 1_000,
            retention: SHORT_RETENTION,
        },
    };
    let site = Site::start(launcher, &record, &random, routes, &ZONES)?;
    site.set_events(3, 5)?;
    let random = Arc::new(random);
    let client_of_zone = |zone: usize| Client {
        fronts: site
            .gateways
            .iter()
            .skip(zone * GATEWAYS_PER_ZONE)
            .take(GATEWAYS_PER_ZONE)
            .map(|gateway| gateway.front)
            .collect(),
        record: record.clone(),
        random: Arc::clone(&random),
    };
    let zones = match has_trouble() {
        true => [0, 1, 2],
        false => [0, 0, 0],
    };
    let [first, second, third] = zones.map(client_of_zone);
    thread::sleep(Duration::from_secs(3));

    record.line("first turns, on the route with the short retention");
    let first_turns = turns(&first, "/other/stream/turn", PROGRAMS);
    let answered = first.run_all(&first_turns);
    thread::sleep(Duration::from_secs(1));
    record.line("second turns, on the route with the long retention");
    let mut second_turns = continuing(&first_turns, &answered);
    for turn in &mut second_turns {
        turn.path = "/stream/turn";
    }
    let answered = second.run_all(&second_turns);
    let third_turns = continuing(&second_turns, &answered);
    if third_turns.len() < PROGRAMS {
        return Err("a first or second turn was not answered".into());
    }
    thread::sleep(PAUSE);

    record.line("third turns, and first turns of other programs");
    let new_programs = turns(&third, "/stream/turn", NEW_PROGRAMS);
    let (continued, begun) = thread::scope(|scope| {
        let begun = scope.spawn(|| third.run_all(&new_programs));
        let continued = third.run_all(&third_turns);
        (continued, begun.join().unwrap_or_default())
    });
    site.record_store_stats(&record);
    site.record_memory(&record);
    Ok(lost::judge(&site, &record, &continued, &begun)?)
}

fn turns(client: &Client, path: &'static str, count: usize) -> Vec<Turn> {
    let turn = |_| Turn {
        path,
        program: client.random.id(),
        session: client.random.id(),
        budget_tokens: 400,
        max_output_tokens: 40,
        previous: None,
        input: "a question".to_owned(),
        time_budget: Duration::from_millis(3_000),
    };
    (0..count).map(turn).collect()
}
