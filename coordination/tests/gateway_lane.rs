//! Changes of programs on their way to the store: what is written, and that
//! no budget is ever overspent, whatever answers are lost and whoever races.

use std::collections::{BTreeMap, HashSet};

use proptest::prelude::*;
use rosebend_coordination::gateway::history::ledger_row;
use rosebend_coordination::gateway::lane::{
    Answer, Change, DrawState, Lane, NextTurn, Outcome, Source,
};
use rosebend_coordination::gateway::ledger::{Draw, DrawRule, Freed, Ledger};
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

    fn ledger_version(&self) -> RowVersion {
        self.rows
            .get(&ledger_row(PROGRAM))
            .map_or(0, |(version, _)| *version)
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
        freed: Vec::new(),
    }
}

fn settle(attempt: &str, tokens: u64, source: Source, budget_tokens: u64) -> Change {
    settle_under(DrawRule::Alone, attempt, tokens, source, budget_tokens)
}

fn settle_under(
    draw_rule: DrawRule,
    attempt: &str,
    tokens: u64,
    source: Source,
    budget_tokens: u64,
) -> Change {
    Change::Settle {
        attempt: attempt.to_owned(),
        tokens,
        source,
        next: Some(NextTurn {
            most_tokens: MOST,
            budget_tokens,
            draw_rule,
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

/// Two hosts, the first of which has drawn ahead after a turn of 70 tokens.
fn drawn_at_the_first(store: &mut Store, budget_tokens: u64) -> (Lane, Lane) {
    let mut first = Lane::new("host-1/a".to_owned());
    first.submit(PROGRAM.to_owned(), reserve("t1", budget_tokens));
    first.submit(
        PROGRAM.to_owned(),
        settle("t1", 70, Source::Reservation, budget_tokens),
    );
    flush(&mut first, store);
    let mut second = Lane::new("host-2/b".to_owned());
    second.learn(PROGRAM, store.version, store.ledger());
    (first, second)
}

fn draw(after: &str) -> Draw {
    Draw {
        holder: "host-1/a".to_owned(),
        after: after.to_owned(),
    }
}

/// Reserves with tokens of others.
fn reserve_with(attempt: &str, budget_tokens: u64, freed: Vec<Freed>) -> Change {
    Change::Reserve {
        attempt: attempt.to_owned(),
        most_tokens: MOST,
        budget_tokens,
        freed,
    }
}

#[test]
fn nothing_is_drawn_ahead_that_a_further_turn_would_need() {
    let mut store = Store::default();
    // 70 tokens are spent, so that it holds the draw and 279 more.
    drawn_at_the_first(&mut store, 70 + 2 * MOST - 1);
    assert_eq!(store.ledger().committed_tokens(), 70);
}

#[test]
fn a_second_host_draws_only_under_a_busy_store_and_while_half_is_free() {
    let half = 140 + 2 * MOST;
    let cases = [
        (DrawRule::Alone, 100 * half, 1),
        (DrawRule::BesideOthers, 2 * half, 2),
        (DrawRule::BesideOthers, 2 * half - 1, 1),
    ];
    for (rule, budget, drawn) in cases {
        let mut store = Store::default();
        let (_first, mut second) = drawn_at_the_first(&mut store, budget);
        second.submit(PROGRAM.to_owned(), reserve("t2", budget));
        let change = settle_under(rule, "t2", 70, Source::Reservation, budget);
        second.submit(PROGRAM.to_owned(), change);
        flush(&mut second, &mut store);
        assert_eq!(store.ledger().committed_tokens(), 140 + drawn * MOST);
    }
}

#[test]
fn a_draw_that_is_given_up_serves_another_host_and_no_more_its_own() {
    let budget = 70 + 2 * MOST;
    let mut store = Store::default();
    let (mut first, mut second) = drawn_at_the_first(&mut store, budget);
    second.submit(PROGRAM.to_owned(), reserve("t2", budget));
    second.submit(PROGRAM.to_owned(), reserve("t3", budget));
    let outcomes = flush(&mut second, &mut store);
    assert!(outcomes.contains(&Outcome::Exhausted), "{outcomes:?}");
    let state = first.return_draw(PROGRAM, &draw("t1"));
    assert_eq!(state, DrawState::Returned);
    assert!(!first.take_ahead(PROGRAM, &"t4".to_owned(), MOST));
    let freed = vec![Freed::Returned(draw("t1"))];
    second.submit(PROGRAM.to_owned(), reserve_with("t3", budget, freed));
    assert_eq!(flush(&mut second, &mut store), [Outcome::Durable]);
    assert_eq!(store.ledger().committed_tokens(), budget);
}

#[test]
fn a_draw_that_a_turn_uses_is_not_given_up() {
    let mut store = Store::default();
    let (mut first, _) = drawn_at_the_first(&mut store, 100 * MOST);
    assert!(first.take_ahead(PROGRAM, &"t2".to_owned(), MOST));
    let state = first.return_draw(PROGRAM, &draw("t1"));
    assert_eq!(state, DrawState::InUse);
    first.submit(PROGRAM.to_owned(), settle("t2", 70, Source::Ahead, 0));
    let state = first.return_draw(PROGRAM, &draw("t1"));
    assert_eq!(state, DrawState::Settling);
}

#[test]
fn a_question_that_comes_late_frees_no_draw_that_was_given_up() {
    let budget = 100 * MOST;
    let mut store = Store::default();
    let (mut first, _) = drawn_at_the_first(&mut store, budget);
    assert!(first.take_ahead(PROGRAM, &"t2".to_owned(), MOST));
    first.submit(PROGRAM.to_owned(), settle("t2", 70, Source::Ahead, budget));
    flush(&mut first, &mut store);
    assert_eq!(first.return_draw(PROGRAM, &draw("t2")), DrawState::Returned);
    // Asked by a host that read the ledger before the second turn was settled.
    assert_eq!(first.return_draw(PROGRAM, &draw("t1")), DrawState::Returned);
    assert!(!first.take_ahead(PROGRAM, &"t3".to_owned(), MOST));
}

#[test]
fn a_turn_that_used_a_draw_is_counted_once_beside_one_that_draws_anew() {
    let budget = 10 + 2 * MOST + 150;
    let mut store = Store::default();
    let mut lane = Lane::new("host-1/a".to_owned());
    lane.submit(PROGRAM.to_owned(), reserve("t1", budget));
    let change = settle("t1", 10, Source::Reservation, budget);
    lane.submit(PROGRAM.to_owned(), change);
    flush(&mut lane, &mut store);
    assert!(lane.take_ahead(PROGRAM, &"t2".to_owned(), MOST));
    lane.submit(PROGRAM.to_owned(), reserve("t3", budget));
    flush(&mut lane, &mut store);
    lane.submit(PROGRAM.to_owned(), settle("t2", 100, Source::Ahead, budget));
    let change = settle("t3", 5, Source::Reservation, budget);
    lane.submit(PROGRAM.to_owned(), change);
    // The transaction takes effect; its answer is lost and it is sent again.
    let (transaction, _) = lane.next_transaction();
    store.apply(&transaction.unwrap());
    lane.answered(Answer::NotKnown);
    flush(&mut lane, &mut store);
    assert_eq!(store.ledger().account().spent_tokens, 115);
}

#[test]
fn draws_of_a_host_that_stops_come_back() {
    let mut store = Store::default();
    let (mut first, _) = drawn_at_the_first(&mut store, 100 * MOST);
    assert!(first.return_all_draws());
    flush(&mut first, &mut store);
    assert_eq!(store.ledger().committed_tokens(), 70);
    assert!(!first.take_ahead(PROGRAM, &"t2".to_owned(), MOST));
}

#[test]
fn a_gone_host_s_draw_is_forgiven_in_part_to_a_smaller_turn() {
    let budget = 70 + 2 * MOST;
    let mut store = Store::default();
    let (_first, mut second) = drawn_at_the_first(&mut store, budget);
    second.submit(PROGRAM.to_owned(), reserve("t2", budget));
    let small = Change::Reserve {
        attempt: "t3".to_owned(),
        most_tokens: MOST / 4,
        budget_tokens: budget,
        freed: vec![Freed::Gone("host-1/a".to_owned())],
    };
    second.submit(PROGRAM.to_owned(), small);
    let outcomes = flush(&mut second, &mut store);
    assert_eq!(outcomes, [Outcome::Durable, Outcome::Durable]);
    assert_eq!(store.ledger().committed_tokens(), budget);
}

#[test]
fn only_what_a_turn_needs_is_taken_from_others() {
    let budget = 100 * MOST;
    let mut store = Store::default();
    let (_first, mut second) = drawn_at_the_first(&mut store, budget);
    let freed = vec![Freed::Gone("host-1/a".to_owned())];
    second.submit(PROGRAM.to_owned(), reserve_with("t2", budget, freed));
    flush(&mut second, &mut store);
    assert_eq!(store.ledger().committed_tokens(), 70 + 2 * MOST);
}

#[test]
fn at_most_one_turn_s_most_of_gone_holders_is_forgiven() {
    let budget = 70 + 2 * MOST;
    let mut store = Store::default();
    let (mut first, mut second) = drawn_at_the_first(&mut store, budget);
    // Beside the draw, a turn runs at the first host when it goes.
    first.submit(PROGRAM.to_owned(), reserve("t2", budget));
    flush(&mut first, &mut store);
    drop(first);
    let gone = || vec![Freed::Gone("host-1/a".to_owned())];
    second.submit(PROGRAM.to_owned(), reserve_with("t3", budget, gone()));
    assert_eq!(flush(&mut second, &mut store), [Outcome::Durable]);
    second.submit(PROGRAM.to_owned(), reserve_with("t4", budget, gone()));
    assert_eq!(flush(&mut second, &mut store), [Outcome::Exhausted]);
}

#[test]
fn nothing_is_drawn_once_tokens_were_forgiven() {
    let budget = 70 + 2 * MOST;
    let mut store = Store::default();
    let (_first, mut second) = drawn_at_the_first(&mut store, budget);
    second.submit(PROGRAM.to_owned(), reserve("t2", budget));
    let freed = vec![Freed::Gone("host-1/a".to_owned())];
    second.submit(PROGRAM.to_owned(), reserve_with("t3", budget, freed));
    for attempt in ["t2", "t3"] {
        let change = settle(attempt, 0, Source::Reservation, budget);
        second.submit(PROGRAM.to_owned(), change);
    }
    flush(&mut second, &mut store);
    // The budget holds a draw and a turn, but a draw of a second host that dies
    // could not be forgiven any more.
    assert_eq!(store.ledger().committed_tokens(), 70);
}

#[test]
fn a_draw_that_was_forgiven_while_it_was_used_is_counted_all_the_same() {
    let budget = 70 + 2 * MOST;
    let mut store = Store::default();
    let (mut first, mut second) = drawn_at_the_first(&mut store, budget);
    assert!(first.take_ahead(PROGRAM, &"t2".to_owned(), MOST));
    second.submit(PROGRAM.to_owned(), reserve("t3", budget));
    let freed = vec![Freed::Gone("host-1/a".to_owned())];
    second.submit(PROGRAM.to_owned(), reserve_with("t4", budget, freed));
    flush(&mut second, &mut store);
    first.submit(PROGRAM.to_owned(), settle("t2", 200, Source::Ahead, budget));
    flush(&mut first, &mut store);
    assert_eq!(store.ledger().committed_tokens(), 270 + 2 * MOST);
}

#[test]
fn a_ledger_that_cannot_be_read_is_not_written_over() {
    let mut store = Store::default();
    let row = ledger_row(PROGRAM);
    store.version = 7;
    store.rows.insert(row.clone(), (7, b"{\"spent\":".to_vec()));
    let mut lane = Lane::new("host-1/a".to_owned());
    lane.submit(PROGRAM.to_owned(), reserve("t1", 2_000));
    assert_eq!(flush(&mut lane, &mut store), [Outcome::Unreadable]);
    assert_eq!(store.rows[&row].0, 7);
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
    /// A question about a draw that somebody once saw arrives.
    AskLate(usize),
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
        1 => (0_usize..64).prop_map(Step::AskLate),
    ]
}

struct Host {
    holder: String,
    lane: Lane,
    /// Turns that run: attempt, source and the change that reserves.
    running: Vec<(String, Source, Option<u64>)>,
    /// Turns whose budget was asked for again, with what others gave up.
    recalled: HashSet<String>,
    /// Settlements that are not durable yet.
    settling: HashSet<u64>,
    lost: Vec<Transaction>,
}

impl Host {
    fn new(run: usize) -> Self {
        let holder = format!("host/{run}");
        Self {
            lane: Lane::new(holder.clone()),
            holder,
            running: Vec::new(),
            recalled: HashSet::new(),
            settling: HashSet::new(),
            lost: Vec::new(),
        }
    }

    /// Turns whose tokens nobody can tell any more once this host is gone.
    fn open_turns(&self) -> usize {
        self.running.len() + self.settling.len()
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
    /// Turns that were open when their host was replaced.
    died: usize,
    /// Whether questions to holders are lost, so that each seems gone.
    is_silent: bool,
    draw_rule: DrawRule,
    /// Draws that were ever seen in the ledger, about which a late question may
    /// come at any time.
    asked: Vec<(String, Draw)>,
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
            died: 0,
            is_silent: false,
            draw_rule: DrawRule::BesideOthers,
            asked: Vec::new(),
        }
    }

    fn play(&mut self, step: Step) {
        match step {
            Step::Begin(host) => {
                self.begin(host);
            }
            Step::End(host, tokens) => self.end(host, tokens),
            Step::Send(host) => self.send(host, true, true),
            Step::SendAndLose(host) => self.send(host, true, false),
            Step::Lose(host) => self.send(host, false, false),
            Step::ArriveLate(host) => {
                if let Some(late) = self.hosts[host].lost.pop() {
                    self.store.apply(&late);
                }
            }
            Step::AskLate(which) => self.ask_late(which),
            Step::Restart(host) => {
                let lost = std::mem::take(&mut self.hosts[host].lost);
                self.died += self.hosts[host].open_turns();
                self.hosts[host] = Host::new(self.runs);
                self.hosts[host].lost = lost;
                self.runs += 1;
            }
        }
    }

    /// Notes the draws of the ledger as it stands, and lets an old question about
    /// one of them arrive.
    fn ask_late(&mut self, which: usize) {
        for holding in self.store.ledger().holdings() {
            let draw = holding.draw.map(|draw| (holding.holder, draw));
            self.asked.extend(draw);
        }
        if self.asked.is_empty() {
            return;
        }
        let (holder, draw) = self.asked[which % self.asked.len()].clone();
        let host = self.hosts.iter_mut().find(|host| host.holder == holder);
        if let Some(host) = host {
            host.lane.return_draw(PROGRAM, &draw);
        }
    }

    fn begin(&mut self, host: usize) -> String {
        self.turns += 1;
        let attempt = format!("t{}", self.turns);
        let host = &mut self.hosts[host];
        if host.lane.take_ahead(PROGRAM, &attempt, MOST) {
            host.running.push((attempt.clone(), Source::Ahead, None));
            return attempt;
        }
        let change = reserve(&attempt, self.budget);
        let id = host.lane.submit(PROGRAM.to_owned(), change);
        let turn = (attempt.clone(), Source::Reservation, Some(id));
        host.running.push(turn);
        attempt
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
        let change = settle_under(self.draw_rule, &attempt, tokens, source, self.budget);
        let id = host.lane.submit(PROGRAM.to_owned(), change);
        host.settling.insert(id);
    }

    fn send(&mut self, index: usize, arrives: bool, answered: bool) {
        let host = &mut self.hosts[index];
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
            self.ended(index, id, outcome);
        }
    }

    fn ended(&mut self, index: usize, id: u64, outcome: Outcome) {
        let host = &mut self.hosts[index];
        host.settling.remove(&id);
        let turn = host
            .running
            .iter()
            .position(|(_, _, reserving)| *reserving == Some(id));
        match (turn, outcome) {
            (Some(turn), Outcome::Durable) => host.running[turn].2 = None,
            (Some(turn), Outcome::Exhausted) => self.ask_again(index, turn),
            (Some(_), Outcome::Unreadable) => panic!("the ledger is always readable"),
            (None, _) => {}
        }
    }

    /// A turn that the budget does not hold asks the holders, once.
    fn ask_again(&mut self, index: usize, turn: usize) {
        let attempt = self.hosts[index].running[turn].0.clone();
        if !self.hosts[index].recalled.insert(attempt.clone()) {
            self.hosts[index].running.remove(turn);
            return;
        }
        let (version, ledger) = (self.store.ledger_version(), self.store.ledger());
        self.hosts[index].lane.learn(PROGRAM, version, ledger);
        let mut freed = Vec::new();
        for holding in self.hosts[index].lane.holdings(PROGRAM) {
            let is_holder = |host: &&mut Host| host.holder == holding.holder;
            let holder = self.hosts.iter_mut().find(is_holder);
            let is_own = holder
                .as_ref()
                .is_some_and(|host| host.recalled.contains(&attempt));
            match (holder, holding.draw) {
                (Some(host), Some(draw)) if is_own || !self.is_silent => {
                    self.asked.push((holding.holder, draw.clone()));
                    if host.lane.return_draw(PROGRAM, &draw) == DrawState::Returned {
                        freed.push(Freed::Returned(draw));
                    }
                }
                (Some(_), None) if is_own || !self.is_silent => {}
                _ => freed.push(Freed::Gone(holding.holder)),
            }
        }
        let host = &mut self.hosts[index];
        let change = reserve_with(&attempt, self.budget, freed);
        let id = host.lane.submit(PROGRAM.to_owned(), change);
        host.running[turn].2 = Some(id);
    }

    /// Ends all turns and sends until nothing waits.
    fn settle_all(&mut self) {
        for host in 0..self.hosts.len() {
            self.flush(host);
            while !self.hosts[host].running.is_empty() {
                self.end(host, 0);
                self.flush(host);
            }
        }
    }

    fn flush(&mut self, host: usize) {
        while self.hosts[host].lane.open_changes() > 0 {
            self.send(host, true, true);
        }
    }

    /// Whether one more turn is granted at a host.
    fn grants(&mut self, host: usize) -> bool {
        let attempt = self.begin(host);
        self.flush(host);
        let running = &self.hosts[host].running;
        running.iter().any(|(running, _, _)| *running == attempt)
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    prop::collection::vec(step(), 1..120)
}

proptest! {
    #[test]
    fn no_budget_is_overspent(budget in MOST..6 * MOST, steps in steps()) {
        let mut world = World::new(budget);
        for step in steps {
            if !matches!(step, Step::Restart(_)) {
                world.play(step);
            }
            prop_assert!(world.handed_out <= budget, "{} of {budget}", world.handed_out);
        }
    }

    #[test]
    fn deaths_and_silence_overspend_one_turn_s_most_at_most(
        budget in MOST..6 * MOST,
        silences in prop::collection::vec(any::<bool>(), 120),
        steps in steps(),
    ) {
        let mut world = World::new(budget);
        for (step, is_silent) in steps.into_iter().zip(silences) {
            world.is_silent = is_silent;
            world.play(step);
            let handed_out = world.handed_out;
            prop_assert!(handed_out <= budget + MOST, "{handed_out} of {budget}");
        }
    }

    #[test]
    fn a_turn_that_the_budget_holds_is_granted_at_any_host(
        budget in MOST..6 * MOST,
        host in 0_usize..3,
        steps in steps(),
    ) {
        let mut world = World::new(budget);
        for step in steps {
            if !matches!(step, Step::Restart(_)) {
                world.play(step);
            }
        }
        world.settle_all();
        let holds = world.handed_out + MOST <= budget;
        let granted = world.grants(host);
        prop_assert_eq!(granted, holds, "{} of {}", world.handed_out, budget);
    }

    #[test]
    fn a_turn_is_granted_whatever_died_beside_it(
        budget in MOST..8 * MOST,
        host in 0_usize..3,
        steps in steps(),
    ) {
        let mut world = World::new(budget);
        world.draw_rule = DrawRule::Alone;
        for step in steps {
            world.play(step);
        }
        world.settle_all();
        // Of turns that died with their host nobody knows what they spent.
        let unknown = world.died as u64 * MOST;
        let holds = world.handed_out + unknown + MOST <= budget;
        let granted = world.grants(host);
        prop_assert!(granted || !holds, "{} and {unknown} of {budget}", world.handed_out);
    }

    #[test]
    fn whatever_dies_under_a_busy_store_half_of_a_budget_can_be_spent(
        budget in MOST..12 * MOST,
        host in 0_usize..3,
        steps in steps(),
    ) {
        let mut world = World::new(budget);
        for step in steps {
            world.play(step);
        }
        world.settle_all();
        // Of turns that died with their host nobody knows what they spent.
        let unknown = world.died as u64 * MOST;
        let holds = world.handed_out + unknown + MOST <= budget / 2;
        let granted = world.grants(host);
        prop_assert!(granted || !holds, "{} and {unknown} of {budget}", world.handed_out);
    }

    #[test]
    fn what_was_handed_out_is_counted_once_all_is_sent(
        budget in MOST..100 * MOST,
        steps in prop::collection::vec(step(), 1..80),
    ) {
        let mut world = World::new(budget);
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
        let account = world.store.ledger().account();
        prop_assert_eq!(account.spent_tokens, world.handed_out);
        prop_assert!(account.drawn_tokens <= 3 * MOST);
        prop_assert!(account.reserved_tokens <= running as u64 * MOST);
    }
}
