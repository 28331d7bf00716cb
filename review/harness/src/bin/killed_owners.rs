//! Case 3: programs in progress when all gateways are killed.

use std::error::Error;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use rosebend_review::process::Launcher;
use rosebend_review::program::{Client, Try, Turn};
use rosebend_review::random::Random;
use rosebend_review::record::Record;
use rosebend_review::site::{OtherRoute, RETENTION, Routes, Site, ZONE};
use rosebend_review::{Verdict, has_trouble};

const BUDGET_TOKENS: u64 = 400;
const MAX_OUTPUT_TOKENS: u64 = 100;
/// Programs in progress, and the turns that each of them ends before the fault.
const PROGRAMS: usize = 24;
const TURNS_BEFORE: usize = 4;
/// Turns of each program between the return of the machines and the time to recover, and
/// the pause before each of them.
const TURNS_BETWEEN: usize = 3;
const TURN_INTERVAL: Duration = Duration::from_secs(4);
/// Programs that begin after the time to recover, as many as go on.
const NEW_PROGRAMS: usize = PROGRAMS;
/// `recovery-s`, and a second.
const RECOVERY: Duration = Duration::from_secs(13);
const DOWN: Duration = Duration::from_millis(900);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, repository, folder, work_folder] = &arguments[..] else {
        eprintln!("usage: killed_owners REPOSITORY CASE-FOLDER WORK-FOLDER");
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
        turn_timeout_ms: 3_000,
        objective_ms: 250,
        other: OtherRoute {
            timeout_ms: 3_000,
            retention: RETENTION,
        },
    };
    let mut site = Site::start(launcher, &record, &random, routes, &[ZONE; 3])?;
    site.set_events(3, 2)?;
    let client = Client {
        fronts: site.gateways.iter().map(|gateway| gateway.front).collect(),
        record: record.clone(),
        random: Arc::new(random),
    };
    // The gateways divide the escrow slots between them within 4 s of their start.
    thread::sleep(Duration::from_secs(6));

    let programs = turns(&client, PROGRAMS);
    let mut before = Vec::new();
    for _ in 0..TURNS_BEFORE {
        before.extend(client.run_all(&programs).concat());
        thread::sleep(Duration::from_secs(1));
    }
    site.declare(2)?;
    record.line("another version of the routes is acknowledged");
    if has_trouble() {
        record.line("all gateways are killed");
        for gateway in &mut site.gateways {
            gateway.process.kill();
        }
        thread::sleep(DOWN);
        for gateway in &mut site.gateways {
            gateway.restart()?;
        }
    }
    site.wait_until_ready()?;
    record.line("the machines are back");
    let back_at = record.elapsed();
    for _ in 0..TURNS_BETWEEN {
        thread::sleep(TURN_INTERVAL);
        client.run_all(&programs);
    }
    thread::sleep((back_at + RECOVERY).saturating_sub(record.elapsed()));

    record.line("the time to recover is over");
    let mut sent = turns(&client, NEW_PROGRAMS);
    sent.extend(programs.iter().cloned());
    let after = client.run_all(&sent).concat();
    site.record_store_stats(&record);
    let (served_before, served) = (served_share(&before), served_share(&after));
    record.line(&format!(
        "served: {served_before:.2} of {} requests before, {served:.2} of {} after the time to \
         recover",
        before.len(),
        after.len()
    ));
    Ok(match served_before >= 0.25 && served < 0.25 {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

fn served_share(tries: &[Try]) -> f64 {
    let served = tries.iter().filter(|sent| sent.is_whole()).count();
    served as f64 / tries.len().max(1) as f64
}

fn turns(client: &Client, count: usize) -> Vec<Turn> {
    let turn = |_| Turn {
        path: "/unkept/stream/turn",
        program: client.random.id(),
        session: client.random.id(),
        budget_tokens: BUDGET_TOKENS,
        max_output_tokens: MAX_OUTPUT_TOKENS,
        previous: None,
        input: "a question".to_owned(),
        time_budget: Duration::from_millis(3_000),
    };
    (0..count).map(turn).collect()
}
