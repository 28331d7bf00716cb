//! Budgets under random sequences of events: concurrent hosts, lost requests, lost
//! answers, late transactions and crashes. No budget is overspent by more than
//! write-offs allow, and a turn that fits its budget is granted.

mod change_support;

use std::collections::HashSet;

use change_support::{
    MAX_OUTPUT_TOKENS, PROGRAM, Store, reserve, reserve_with_dead_processes, settle,
};
use proptest::prelude::*;
use rosebend_coordination::gateway::pending_changes::{Answer, Outcome, PendingChanges};
use rosebend_state::deployment::Transaction;

/// One event of a random simulation.
#[derive(Clone, Debug)]
enum Step {
    /// A host starts a turn.
    Start(usize),
    /// A host ends its oldest granted turn after it delivered this many tokens.
    End(usize, u64),
    /// A host sends its transaction to the store and receives the answer.
    Send(usize),
    /// A host sends its transaction to the store, and the answer is lost.
    SendAndLoseAnswer(usize),
    /// A host sends a transaction that does not reach the store or is refused.
    LoseRequest(usize),
    /// A transaction that was lost reaches the store late.
    DeliverLate(usize),
    /// The process of a host is replaced by a new one.
    Restart(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let host = 0_usize..3;
    prop_oneof![
        4 => host.clone().prop_map(Step::Start),
        4 => (host.clone(), 0..=MAX_OUTPUT_TOKENS).prop_map(|(host, tokens)| Step::End(host, tokens)),
        6 => host.clone().prop_map(Step::Send),
        2 => host.clone().prop_map(Step::SendAndLoseAnswer),
        1 => host.clone().prop_map(Step::LoseRequest),
        1 => host.clone().prop_map(Step::DeliverLate),
        1 => host.prop_map(Step::Restart),
    ]
}

struct Host {
    process: String,
    changes: PendingChanges,
    /// Running turns, as the attempt and the reservation while it is not durable.
    running: Vec<(String, Option<u64>)>,
    /// Turns whose reservation was rejected once and requested again.
    retried: HashSet<String>,
    /// Settlements that are not durable.
    settling: HashSet<u64>,
    /// Transactions that did not reach the store.
    lost_transactions: Vec<Transaction>,
}

impl Host {
    fn new(number: usize) -> Self {
        let process = format!("host/{number}");
        Self {
            changes: PendingChanges::new(process.clone()),
            process,
            running: Vec::new(),
            retried: HashSet::new(),
            settling: HashSet::new(),
            lost_transactions: Vec::new(),
        }
    }

    /// Returns the number of turns whose delivered tokens are lost if the host crashes.
    fn open_turns(&self) -> usize {
        self.running.len() + self.settling.len()
    }
}

/// Three hosts that run turns of one program.
struct Simulation {
    store: Store,
    hosts: Vec<Host>,
    /// Tokens that callers have received.
    delivered: u64,
    /// Turns that were started.
    turns: usize,
    /// Processes that were started.
    processes: usize,
    budget: u64,
    /// Turns that were not settled when the process of their host was replaced.
    unsettled_turns: usize,
    /// Whether queries to other processes are lost, so that each is presumed dead.
    are_queries_lost: bool,
}

impl Simulation {
    fn new(budget: u64) -> Self {
        Self {
            store: Store::default(),
            hosts: (0..3).map(Host::new).collect(),
            delivered: 0,
            turns: 0,
            processes: 3,
            budget,
            unsettled_turns: 0,
            are_queries_lost: false,
        }
    }

    fn apply_step(&mut self, step: Step) {
        match step {
            Step::Start(host) => {
                self.start(host);
            }
            Step::End(host, tokens) => self.end(host, tokens),
            Step::Send(host) => self.send(host, true, true),
            Step::SendAndLoseAnswer(host) => self.send(host, true, false),
            Step::LoseRequest(host) => self.send(host, false, false),
            Step::DeliverLate(host) => {
                if let Some(late) = self.hosts[host].lost_transactions.pop() {
                    self.store.apply(&late);
                }
            }
            Step::Restart(host) => {
                let lost_transactions = std::mem::take(&mut self.hosts[host].lost_transactions);
                self.unsettled_turns += self.hosts[host].open_turns();
                self.hosts[host] = Host::new(self.processes);
                self.hosts[host].lost_transactions = lost_transactions;
                self.processes += 1;
            }
        }
    }

    fn start(&mut self, host: usize) -> String {
        self.turns += 1;
        let attempt = format!("t{}", self.turns);
        let host = &mut self.hosts[host];
        let change = reserve(&attempt, self.budget);
        let id = host.changes.submit(PROGRAM.to_owned(), change);
        host.running.push((attempt.clone(), Some(id)));
        attempt
    }

    /// Ends a host's oldest turn whose reservation is durable. Tokens are delivered only
    /// after that.
    fn end(&mut self, host: usize, tokens: u64) {
        let host = &mut self.hosts[host];
        let granted = host
            .running
            .iter()
            .position(|(_, reserving)| reserving.is_none());
        let Some(index) = granted else {
            return;
        };
        let (attempt, _) = host.running.remove(index);
        self.delivered += tokens;
        let id = host
            .changes
            .submit(PROGRAM.to_owned(), settle(&attempt, tokens));
        host.settling.insert(id);
    }

    fn send(&mut self, index: usize, arrives: bool, answered: bool) {
        let host = &mut self.hosts[index];
        let (transaction, mut ended) = host.changes.next_transaction();
        if let Some(transaction) = transaction {
            let answer = match arrives {
                true => self.store.apply(&transaction),
                false => Answer::NotKnown,
            };
            if !arrives {
                host.lost_transactions.push(transaction);
            }
            let seen = if answered { answer } else { Answer::NotKnown };
            ended.extend(host.changes.handle_answer(seen));
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
            .position(|(_, reserving)| *reserving == Some(id));
        match (turn, outcome) {
            (Some(turn), Outcome::Durable) => host.running[turn].1 = None,
            (Some(turn), Outcome::Exhausted) => self.retry(index, turn),
            (Some(_), outcome) => panic!("a reservation ends with {outcome:?}"),
            (None, _) => {}
        }
    }

    /// Requests a rejected reservation again, once, after a query of the processes that
    /// hold reservations.
    fn retry(&mut self, index: usize, turn: usize) {
        let attempt = self.hosts[index].running[turn].0.clone();
        if !self.hosts[index].retried.insert(attempt.clone()) {
            self.hosts[index].running.remove(turn);
            return;
        }
        let (version, ledger) = (self.store.ledger_version(), self.store.ledger());
        self.hosts[index].changes.cache(PROGRAM, version, ledger);
        let mut dead_processes = Vec::new();
        for reservations in self.hosts[index].changes.reservations_by_process(PROGRAM) {
            let is_process = |host: &&Host| host.process == reservations.process;
            let owner = self.hosts.iter().find(is_process);
            let is_own = owner.is_some_and(|host| host.retried.contains(&attempt));
            let answers = owner.is_some() && (is_own || !self.are_queries_lost);
            if !answers {
                dead_processes.push(reservations.process);
            }
        }
        let host = &mut self.hosts[index];
        let change = reserve_with_dead_processes(&attempt, self.budget, dead_processes);
        let id = host.changes.submit(PROGRAM.to_owned(), change);
        host.running[turn].1 = Some(id);
    }

    /// Ends all turns and sends until no change is pending.
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
        while self.hosts[host].changes.open_changes() > 0 {
            self.send(host, true, true);
        }
    }

    /// Returns whether a host grants one more turn.
    fn grants_turn(&mut self, host: usize) -> bool {
        let attempt = self.start(host);
        self.flush(host);
        let running = &self.hosts[host].running;
        running.iter().any(|(running, _)| *running == attempt)
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    prop::collection::vec(step(), 1..120)
}

proptest! {
    #[test]
    fn no_budget_is_overspent(budget in MAX_OUTPUT_TOKENS..6 * MAX_OUTPUT_TOKENS, steps in steps()) {
        let mut simulation = Simulation::new(budget);
        for step in steps {
            if !matches!(step, Step::Restart(_)) {
                simulation.apply_step(step);
            }
            prop_assert!(simulation.delivered <= budget, "{} of {budget}", simulation.delivered);
        }
    }

    #[test]
    fn crashes_and_lost_queries_overspend_at_most_one_turn(
        budget in MAX_OUTPUT_TOKENS..6 * MAX_OUTPUT_TOKENS,
        lost_queries in prop::collection::vec(any::<bool>(), 120),
        steps in steps(),
    ) {
        let mut simulation = Simulation::new(budget);
        for (step, are_queries_lost) in steps.into_iter().zip(lost_queries) {
            simulation.are_queries_lost = are_queries_lost;
            simulation.apply_step(step);
            let delivered = simulation.delivered;
            prop_assert!(delivered <= budget + MAX_OUTPUT_TOKENS, "{delivered} of {budget}");
        }
    }

    #[test]
    fn a_turn_that_fits_the_budget_is_granted_at_any_host(
        budget in MAX_OUTPUT_TOKENS..6 * MAX_OUTPUT_TOKENS,
        host in 0_usize..3,
        steps in steps(),
    ) {
        let mut simulation = Simulation::new(budget);
        for step in steps {
            if !matches!(step, Step::Restart(_)) {
                simulation.apply_step(step);
            }
        }
        simulation.settle_all();
        let holds = simulation.delivered + MAX_OUTPUT_TOKENS <= budget;
        let granted = simulation.grants_turn(host);
        prop_assert_eq!(granted, holds, "{} of {}", simulation.delivered, budget);
    }

    #[test]
    fn reservations_of_crashed_hosts_do_not_reject_a_turn(
        budget in MAX_OUTPUT_TOKENS..8 * MAX_OUTPUT_TOKENS,
        host in 0_usize..3,
        steps in steps(),
    ) {
        let mut simulation = Simulation::new(budget);
        for step in steps {
            simulation.apply_step(step);
        }
        simulation.settle_all();
        // A crashed turn may have spent all of its reservation.
        let unsettled_tokens = simulation.unsettled_turns as u64 * MAX_OUTPUT_TOKENS;
        let holds = simulation.delivered + unsettled_tokens + MAX_OUTPUT_TOKENS <= budget;
        let granted = simulation.grants_turn(host);
        prop_assert!(granted || !holds, "{} and {unsettled_tokens} of {budget}", simulation.delivered);
    }

    #[test]
    fn delivered_tokens_are_counted_exactly_once(
        budget in MAX_OUTPUT_TOKENS..100 * MAX_OUTPUT_TOKENS,
        steps in prop::collection::vec(step(), 1..80),
    ) {
        let mut simulation = Simulation::new(budget);
        for step in steps {
            if !matches!(step, Step::Restart(_)) {
                simulation.apply_step(step);
            }
        }
        for host in 0..3 {
            while simulation.hosts[host].changes.open_changes() > 0 {
                simulation.send(host, true, true);
            }
        }
        let running: usize = simulation.hosts.iter().map(|host| host.running.len()).sum();
        let account = simulation.store.ledger().account();
        prop_assert_eq!(account.spent_tokens, simulation.delivered);
        prop_assert!(account.reserved_tokens <= running as u64 * MAX_OUTPUT_TOKENS);
    }
}
