//! A lost answer to the deletion of a program's ledger, and the program's return.

use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use rosebend_review::lost;
use rosebend_review::process::Launcher;
use rosebend_review::program::{Client, Turn, continuing, is_whole};
use rosebend_review::random::Random;
use rosebend_review::record::Record;
use rosebend_review::site::{OtherRoute, RETENTION, Routes, Site, ZONE};
use rosebend_review::store_proxy::Mode;
use rosebend_review::{Verdict, has_trouble};

/// Programs that pause for longer than the retention.
const PAUSING_PROGRAMS: usize = 32;
/// Programs that are in progress when the others return.
const ACTIVE_PROGRAMS: usize = 150;
/// Programs that begin while the active ones continue, one after the other.
const NEW_PROGRAMS: usize = 6;
const NEW_PROGRAM_INTERVAL: Duration = Duration::from_millis(1_200);
/// Share of transactions whose answer is lost, and for how long.
const LOST_SHARE: f64 = 0.35;
const LOST_FOR: Duration = Duration::from_millis(4_500);
/// Time after the retention at which the gateways delete a program's rows, as the settings
/// page tells it, less a margin.
const DELETED_AFTER_RETENTION: Duration = Duration::from_millis(14_500);
/// `contact-ms` of the small sites, and half a second.
const CALM: Duration = Duration::from_millis(3_500);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, repository, folder, work_folder] = &arguments[..] else {
        eprintln!("usage: stale_ledger REPOSITORY CASE-FOLDER WORK-FOLDER");
        return Verdict::CouldNotRun.into();
    };
    let launcher = Launcher::new(Path::new(repository), Path::new(work_folder));
    match run(&launcher, &PathBuf::from(folder)) {
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
            retention: RETENTION,
        },
    };
    let site = Site::start(launcher, &record, &random, routes, &[ZONE; 2])?;
    site.set_events(3, 5)?;
    let client = Client {
        fronts: site.gateways.iter().map(|gateway| gateway.front).collect(),
        record: record.clone(),
        random: Arc::new(random),
    };
    thread::sleep(Duration::from_secs(2));

    record.line("programs begin that pause then");
    let pausing = turns(&client, PAUSING_PROGRAMS, 130);
    let answered = client.run_all(&pausing);
    if !answered.iter().all(|tries| is_whole(tries)) {
        return Err("a first turn was not answered before the disruption".into());
    }
    thread::sleep(RETENTION + DELETED_AFTER_RETENTION);

    if has_trouble() {
        record.line("the store loses answers");
        site.proxy.set_mode(Mode::LoseAnswers(LOST_SHARE));
    }
    thread::sleep(LOST_FOR);
    let (transactions, lost) = site.proxy.counts();
    site.proxy.set_mode(Mode::Pass);
    record.line(&format!(
        "the store answers; {lost} of {transactions} answers were lost"
    ));
    thread::sleep(CALM);

    record.line("programs begin that continue soon");
    let active = turns(&client, ACTIVE_PROGRAMS, 130);
    let active_tries = client.run_all(&active);
    record.line("the pausing programs return with a new line of turns");
    let returns: Vec<Turn> = pausing
        .iter()
        .map(|turn| returning(&client, turn))
        .collect();
    let new_programs = turns(&client, NEW_PROGRAMS, 4_000);
    let (continued, returned, begun) = thread::scope(|scope| {
        let returning = scope.spawn(|| client.run_all(&returns));
        thread::sleep(Duration::from_millis(2_500));
        record.line("the active programs continue, and new ones begin");
        let begun = scope.spawn(|| client.run_one_by_one(&new_programs, NEW_PROGRAM_INTERVAL));
        let next_turns = continuing(&active, &active_tries);
        record.line(&format!("{} programs continue", next_turns.len()));
        let continued = client.run_all(&next_turns);
        let returned = returning.join().unwrap_or_default();
        (continued, returned, begun.join().unwrap_or_default())
    });
    site.record_store_stats(&record);
    site.record_memory(&record);
    if continued.len() < ACTIVE_PROGRAMS * 9 / 10 {
        return Err("first turns were not answered".into());
    }
    let first_turns = [active_tries, returned, begun].concat();
    Ok(lost::judge(&site, &record, &continued, &first_turns)?)
}

/// Returns first turns of new programs, each with a budget of a few turns.
fn turns(client: &Client, count: usize, budget_tokens: u64) -> Vec<Turn> {
    let turn = |_| Turn {
        path: "/stream/turn",
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

/// Returns the first turn of a new line of a program.
fn returning(client: &Client, turn: &Turn) -> Turn {
    Turn {
        session: client.random.id(),
        input: "a question after a pause".to_owned(),
        ..turn.clone()
    }
}
