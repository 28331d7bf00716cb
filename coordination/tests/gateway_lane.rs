//! Changes of programs on their way to the store: what is written, and that
//! no budget is ever overspent, whatever answers are lost and whoever races.

use std::collections::BTreeMap;

use proptest::prelude::*;
use rosebend_coordination::gateway::history::ledger_row;
use rosebend_coordination::gateway::lane::{Answer, Change, Lane, NextTurn, Outcome, Source};
use rosebend_coordination::gateway::ledger::Ledger;
use rosebend_state::deployment::{Row, RowId, RowVersion, Transaction};

const PROGRAM: &str = "renewal-1";
const MOST: u64 = 280;

/// A store that applies transactions under their conditions.
#[derive(Default)]
struct Store {
    rows: BTreeMap<RowId, (RowVersion, Vec<u8>)>,
    version: RowVersion,
}

impl Store {
    fn apply(&mut self, transaction: &Transaction) -> Answer {
        let version_of = |row: &RowId| self.rows.get(row).map_or(0, |(version, _)| *version);
        let holds = |condition: &rosebend_state::deployment::Condition| {
            version_of(&condition.row) == condition.version
        };
        if !transaction.conditions.iter().all(holds) {
            let present = transaction.conditions.iter().filter_map(|condition| {
                let (version, value) = self.rows.get(&condition.row)?;
                Some(Row {
                    id: condition.row.clone(),
                    version: *version,
                    value: Some(value.clone()),
                })
            });
            return Answer::Conflict(present.collect());
        }
        self.version += 1;
        for write in &transaction.writes {
            let value = (self.version, write.value.clone());
            self.rows.insert(write.row.clone(), value);
        }
        Answer::Applied(self.version)
    }

    fn ledger(&self) -> Ledger {
        match self.rows.get(&ledger_row(PROGRAM)) {
            Some((_, value)) => Ledger::decode(value).unwrap(),
            None => Ledger::default(),
        }
    }
}

fn reserve(attempt: &str, budget_tokens: u64) -> Change {
    Change::Reserve {
        attempt: attempt.to_owned(),
        most_tokens: MOST,
        budget_tokens,
    }
}

fn settle(attempt: &str, tokens: u64, source: Source, budget_tokens: u64) -> Change {
    Change::Settle {
        attempt: attempt.to_owned(),
        tokens,
        source,
        next: Some(NextTurn {
            most_tokens: MOST,
            budget_tokens,
        }),
        rows: Vec::new(),
    }
}

/// Sends until nothing waits.
fn flush(lane: &mut Lane, store: &mut Store) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    loop {
        let (transaction, ended) = lane.next_transaction();
        outcomes.extend(ended.into_iter().map(|(_, outcome)| outcome));
        let Some(transaction) = transaction else {
            return outcomes;
        };
        let answer = store.apply(&transaction);
        let ended = lane.answered(answer);
        outcomes.extend(ended.into_iter().map(|(_, outcome)| outcome));
    }
}

#[test]
fn a_turn_needs_one_write_where_its_host_drew_ahead() {
    let mut store = Store::default();
    let mut lane = Lane::new("run-a".to_owned());
    lane.submit(PROGRAM.to_owned(), reserve("t1", 2_000));
    flush(&mut lane, &mut store);
    lane.submit(
        PROGRAM.to_owned(),
        settle("t1", 70, Source::Reservation, 2_000),
    );
    flush(&mut lane, &mut store);
    let before = store.version;
    assert!(lane.take_ahead(PROGRAM, &"t2".to_owned(), MOST));
    lane.submit(PROGRAM.to_owned(), settle("t2", 70, Source::Ahead, 2_000));
    assert_eq!(flush(&mut lane, &mut store), [Outcome::Durable]);
    assert_eq!(store.version - before, 1);
    assert_eq!(store.ledger().committed_tokens(), 140 + MOST);
}

#[test]
fn tokens_drawn_ahead_serve_one_turn_at_a_time() {
    let mut store = Store::default();
    let mut lane = Lane::new("run-a".to_owned());
    lane.submit(PROGRAM.to_owned(), reserve("t1", 2_000));
    lane.submit(
        PROGRAM.to_owned(),
        settle("t1", 70, Source::Reservation, 2_000),
    );
    flush(&mut lane, &mut store);
    assert!(lane.take_ahead(PROGRAM, &"t2".to_owned(), MOST));
    assert!(!lane.take_ahead(PROGRAM, &"t3".to_owned(), MOST));
    lane.return_ahead(PROGRAM, &"t2".to_owned());
    assert!(lane.take_ahead(PROGRAM, &"t3".to_owned(), MOST));
}

#[test]
fn another_run_of_the_host_does_not_use_what_the_last_one_drew() {
    let mut store = Store::default();
    let mut lane = Lane::new("run-a".to_owned());
    lane.submit(PROGRAM.to_owned(), reserve("t1", 2_000));
    lane.submit(
        PROGRAM.to_owned(),
        settle("t1", 70, Source::Reservation, 2_000),
    );
    flush(&mut lane, &mut store);
    let mut next = Lane::new("run-b".to_owned());
    next.learn(PROGRAM, store.version, store.ledger());
    assert!(!next.take_ahead(PROGRAM, &"t2".to_owned(), MOST));
}

#[test]
fn a_spent_budget_ends_a_reservation_and_writes_nothing() {
    let mut store = Store::default();
    let mut lane = Lane::new("run-a".to_owned());
    lane.submit(PROGRAM.to_owned(), reserve("t1", MOST));
    flush(&mut lane, &mut store);
    let before = store.version;
    lane.submit(PROGRAM.to_owned(), reserve("t2", MOST));
    assert_eq!(flush(&mut lane, &mut store), [Outcome::Exhausted]);
    assert_eq!(store.version, before);
}

#[test]
fn a_change_that_meets_a_newer_ledger_is_applied_to_it() {
    let mut store = Store::default();
    let mut first = Lane::new("run-a".to_owned());
    let mut second = Lane::new("run-b".to_owned());
    first.submit(PROGRAM.to_owned(), reserve("t1", 2 * MOST));
    flush(&mut first, &mut store);
    second.submit(PROGRAM.to_owned(), reserve("t2", 2 * MOST));
    assert_eq!(flush(&mut second, &mut store), [Outcome::Durable]);
    assert_eq!(store.ledger().committed_tokens(), 2 * MOST);
}

/// What may happen next in a random run.
#[derive(Clone, Debug)]
enum Step {
    /// A host begins a turn.
    Begin(usize),
    /// A host ends its oldest turn after so many tokens.
    End(usize, u64),
    /// A host's transaction goes to the store, and its answer comes back.
    Send(usize),
    /// The same, but the answer is lost.
    SendAndLose(usize),
    /// A host's transaction is lost, or refused.
    Lose(usize),
    /// A transaction that was thought lost arrives after all.
    ArriveLate(usize),
    /// A host's process is replaced.
    Restart(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let host = 0_usize..3;
    prop_oneof![
        4 => host.clone().prop_map(Step::Begin),
        4 => (host.clone(), 0..=MOST).prop_map(|(host, tokens)| Step::End(host, tokens)),
        6 => host.clone().prop_map(Step::Send),
        2 => host.clone().prop_map(Step::SendAndLose),
        1 => host.clone().prop_map(Step::Lose),
        1 => host.clone().prop_map(Step::ArriveLate),
        1 => host.prop_map(Step::Restart),
    ]
}

struct Host {
    lane: Lane,
    /// Turns that run: attempt, source and the change that reserves.
    running: Vec<(String, Source, Option<u64>)>,
    lost: Vec<Transaction>,
}

impl Host {
    fn new(run: usize) -> Self {
        Self {
            lane: Lane::new(format!("run-{run}")),
            running: Vec::new(),
            lost: Vec::new(),
        }
    }
}

/// Three hosts of one program's turns. `handed_out` is what callers have seen.
struct World {
    store: Store,
    hosts: Vec<Host>,
    handed_out: u64,
    turns: usize,
    runs: usize,
    budget: u64,
}

impl World {
    fn new(budget: u64) -> Self {
        Self {
            store: Store::default(),
            hosts: (0..3).map(Host::new).collect(),
            handed_out: 0,
            turns: 0,
            runs: 3,
            budget,
        }
    }

    fn play(&mut self, step: Step) {
        match step {
            Step::Begin(host) => self.begin(host),
            Step::End(host, tokens) => self.end(host, tokens),
            Step::Send(host) => self.send(host, true, true),
            Step::SendAndLose(host) => self.send(host, true, false),
            Step::Lose(host) => self.send(host, false, false),
            Step::ArriveLate(host) => {
                if let Some(late) = self.hosts[host].lost.pop() {
                    self.store.apply(&late);
                }
            }
            Step::Restart(host) => {
                let lost = std::mem::take(&mut self.hosts[host].lost);
                self.hosts[host] = Host::new(self.runs);
                self.hosts[host].lost = lost;
                self.runs += 1;
            }
        }
    }

    fn begin(&mut self, host: usize) {
        self.turns += 1;
        let attempt = format!("t{}", self.turns);
        let host = &mut self.hosts[host];
        if host.lane.take_ahead(PROGRAM, &attempt, MOST) {
            host.running.push((attempt, Source::Ahead, None));
            return;
        }
        let id = host
            .lane
            .submit(PROGRAM.to_owned(), reserve(&attempt, self.budget));
        host.running.push((attempt, Source::Reservation, Some(id)));
    }

    /// Tokens are handed out only once the reservation is durable.
    fn end(&mut self, host: usize, tokens: u64) {
        let host = &mut self.hosts[host];
        let granted = host
            .running
            .iter()
            .position(|(_, _, reserving)| reserving.is_none());
        let Some(index) = granted else {
            return;
        };
        let (attempt, source, _) = host.running.remove(index);
        self.handed_out += tokens;
        let change = settle(&attempt, tokens, source, self.budget);
        host.lane.submit(PROGRAM.to_owned(), change);
    }

    fn send(&mut self, host: usize, arrives: bool, answered: bool) {
        let host = &mut self.hosts[host];
        let (transaction, mut ended) = host.lane.next_transaction();
        if let Some(transaction) = transaction {
            let answer = match arrives {
                true => self.store.apply(&transaction),
                false => Answer::NotKnown,
            };
            if !arrives {
                host.lost.push(transaction);
            }
            let seen = if answered { answer } else { Answer::NotKnown };
            ended.extend(host.lane.answered(seen));
        }
        for (id, outcome) in ended {
            let index = host
                .running
                .iter()
                .position(|(_, _, reserving)| *reserving == Some(id));
            match (index, outcome) {
                (Some(index), Outcome::Durable) => host.running[index].2 = None,
                (Some(index), Outcome::Exhausted) => {
                    host.running.remove(index);
                }
                (None, _) => {}
            }
        }
    }
}

proptest! {
    #[test]
    fn no_budget_is_overspent(
        budget in MOST..6 * MOST,
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let mut world = World::new(budget);
        for step in steps {
            world.play(step);
            prop_assert!(world.handed_out <= budget, "{} of {budget}", world.handed_out);
        }
    }

    #[test]
    fn what_was_handed_out_is_counted_once_all_is_sent(
        steps in prop::collection::vec(step(), 1..80),
    ) {
        let mut world = World::new(100 * MOST);
        for step in steps {
            if !matches!(step, Step::Restart(_)) {
                world.play(step);
            }
        }
        for host in 0..3 {
            while world.hosts[host].lane.open_changes() > 0 {
                world.send(host, true, true);
            }
        }
        let running: usize = world.hosts.iter().map(|host| host.running.len()).sum();
        let committed = world.store.ledger().committed_tokens();
        prop_assert!(committed >= world.handed_out);
        prop_assert!(committed <= world.handed_out + (running as u64 + 3) * MOST);
    }
}
