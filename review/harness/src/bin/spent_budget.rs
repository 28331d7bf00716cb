//! A program that has spent its budget, and an outage of the store.

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
/// Maximum output tokens of the turns before the outage.
const LONG_TURN_TOKENS: u64 = 410;
/// Output tokens of the turns before the outage, which spend the whole budget.
const SPENT_TOKENS: [u64; 3] = [380, 410, 410];
/// Maximum output tokens of the turns in the outage, and what endpoints generate then.
const SHORT_TURN_TOKENS: u64 = 300;
const SHORT_TURNS: usize = 2;
/// Duration of the outage.
const OUTAGE: Duration = Duration::from_millis(4_500);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, repository, folder, work_folder] = &arguments[..] else {
        eprintln!("usage: spent_budget REPOSITORY CASE-FOLDER WORK-FOLDER");
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
    let client = Client {
        fronts: site.gateways.iter().map(|gateway| gateway.front).collect(),
        record: record.clone(),
        random: Arc::new(random),
    };
    // The gateways divide the escrow slots between them within 4 s of their start.
    thread::sleep(Duration::from_secs(6));

    let program = client.random.id();
    let session = client.random.id();
    let mut tries: Vec<Try> = Vec::new();
    for tokens in SPENT_TOKENS {
        site.set_events(tokens / TOKENS_PER_EVENT, 2)?;
        let answered = client.run(&turn(&program, &session, LONG_TURN_TOKENS), 0);
        if !answered.last().is_some_and(Try::is_whole) {
            return Err("a turn was not answered before the disruption".into());
        }
        tries.extend(answered);
        thread::sleep(Duration::from_secs(1));
    }
    record.line(&format!("{} tokens were handed out", tokens(&tries)));

    site.set_events(SHORT_TURN_TOKENS / TOKENS_PER_EVENT, 2)?;
    if has_trouble() {
        record.line("the store is down");
        site.proxy.set_mode(Mode::Busy);
    }
    let answered = thread::scope(|scope| {
        let outage = scope.spawn(|| {
            thread::sleep(OUTAGE);
            site.proxy.set_mode(Mode::Pass);
            record.line("the store is back");
        });
        thread::sleep(Duration::from_secs(1));
        let short_turn = turn(&program, &session, SHORT_TURN_TOKENS);
        let answered: Vec<Try> = (0..SHORT_TURNS)
            .flat_map(|_| client.run(&short_turn, 0))
            .collect();
        // The thread has no result.
        let _ = outage.join();
        answered
    });
    tries.extend(answered);
    thread::sleep(Duration::from_secs(3));
    tries.extend(client.run(&turn(&program, &session, SHORT_TURN_TOKENS), 0));

    let handed_out = tokens(&tries);
    let allowed = BUDGET_TOKENS + LONG_TURN_TOKENS;
    record.line(&format!(
        "{handed_out} tokens were handed out; the budget and the most of one turn are {allowed}"
    ));
    Ok(match handed_out > allowed {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

fn turn(program: &str, session: &str, max_output_tokens: u64) -> Turn {
    Turn {
        path: "/unkept/stream/turn",
        program: program.to_owned(),
        session: session.to_owned(),
        budget_tokens: BUDGET_TOKENS,
        max_output_tokens,
        previous: None,
        input: "a question".to_owned(),
        time_budget: Duration::from_millis(3_000),
    }
}

/// Returns the tokens that clients received.
fn tokens(tries: &[Try]) -> u64 {
    let answered = tries.iter().filter(|sent| sent.response.status == 200);
    let events: usize = answered.map(|sent| sent.response.event_count()).sum();
    events as u64 * TOKENS_PER_EVENT
}
