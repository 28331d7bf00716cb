//! A program that spends its budget in outages of the store, one after the other.

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
use rosebend_review::site::{OtherRoute, RETENTION, Routes, Site, TOKENS_PER_EVENT, ZONE};
use rosebend_review::store_proxy::Mode;
use rosebend_review::{Verdict, has_trouble};

const BUDGET_TOKENS: u64 = 1_200;
/// Output tokens of each turn, which are also its maximum.
const TURN_TOKENS: u64 = 100;
/// Turns that the program sends in each outage.
const TURNS_PER_OUTAGE: usize = 6;
const OUTAGES: usize = 3;
const OUTAGE: Duration = Duration::from_millis(4_000);
/// Time between two outages, in which the program sends nothing.
const PAUSE: Duration = Duration::from_millis(6_000);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, repository, folder, work_folder] = &arguments[..] else {
        eprintln!("usage: repeated_outages REPOSITORY CASE-FOLDER WORK-FOLDER");
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
    let site = Site::start(launcher, &record, &random, routes, &[ZONE; 3])?;
    site.set_events(TURN_TOKENS / TOKENS_PER_EVENT, 2)?;
    let client = Client {
        fronts: site.gateways.iter().map(|gateway| gateway.front).collect(),
        record: record.clone(),
        random: Arc::new(random),
    };
    // The gateways divide the escrow slots between them within 4 s of their start.
    thread::sleep(Duration::from_secs(6));

    let turn = Turn {
        path: "/unkept/stream/turn",
        program: client.random.id(),
        session: client.random.id(),
        budget_tokens: BUDGET_TOKENS,
        max_output_tokens: TURN_TOKENS,
        previous: None,
        input: "a question".to_owned(),
        time_budget: Duration::from_millis(3_000),
    };
    let mut tries: Vec<Try> = Vec::new();
    for _ in 0..OUTAGES {
        if has_trouble() {
            record.line("the store is down");
            site.proxy.set_mode(Mode::Busy);
        }
        let answered = thread::scope(|scope| {
            let outage = scope.spawn(|| {
                thread::sleep(OUTAGE);
                site.proxy.set_mode(Mode::Pass);
                record.line("the store is not down");
            });
            thread::sleep(Duration::from_secs(1));
            let answered: Vec<Try> = (0..TURNS_PER_OUTAGE)
                .flat_map(|_| client.run(&turn, 0))
                .collect();
            // The thread has no result.
            let _ = outage.join();
            answered
        });
        tries.extend(answered);
        record.line(&format!("{} tokens were handed out", tokens(&tries)));
        thread::sleep(PAUSE);
    }

    let handed_out = tokens(&tries);
    let allowed = BUDGET_TOKENS + TURN_TOKENS;
    record.line(&format!(
        "{handed_out} tokens were handed out; the budget and the most of one turn are {allowed}"
    ));
    Ok(match handed_out > allowed {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

/// Returns the tokens that clients received.
fn tokens(tries: &[Try]) -> u64 {
    let answered = tries.iter().filter(|sent| sent.response.status == 200);
    let events: usize = answered.map(|sent| sent.response.event_count()).sum();
    events as u64 * TOKENS_PER_EVENT
}
