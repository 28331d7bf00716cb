//! Hosts of one program's turns, with a store that may be unavailable.

use std::collections::VecDeque;
use std::time::Duration;

use rosebend_coordination::gateway::batchers::PeerHost;
use rosebend_coordination::gateway::escrow::accounts::GrantRequest;
use rosebend_coordination::gateway::escrow::first_grant_tokens;
use rosebend_coordination::gateway::escrow::hold_off::HoldOffRow;
use rosebend_coordination::gateway::escrow::message::{Ask, ProgramAsk, Reply};
use rosebend_coordination::gateway::escrow::slot::{SlotId, SlotRow, SlotWrite};
use rosebend_coordination::gateway::escrow::slots::{Owner, Slots};
use rosebend_coordination::gateway::escrow::terms::{ClosingAnswers, EscrowTerms};
use rosebend_coordination::gateway::history::partition_of;
use rosebend_coordination::gateway::ledger::Ledger;
use rosebend_coordination::gateway::pending_changes::{Answer, Change, Outcome, PendingChanges};
use rosebend_state::deployment::{Condition, RowId, RowWrite, Transaction};

use crate::change_support::{MOST, PROGRAM, Store, settle};

/// Table of the slots' rows.
const TABLE: &str = "gateways";
/// Table of the rows by which owners hold off.
const HOLD_OFF_TABLE: &str = "escrow";

/// What a turn runs by.
#[derive(Clone, Debug)]
enum Right {
    /// A reservation that is not durable yet, by the number of its change.
    Reserving(u64),
    /// A reservation in the ledger.
    Reserved,
    /// A grant of a slot's owner: its name and its tokens.
    Granted(SlotId, String, u64),
}

#[derive(Clone, Debug)]
struct Turn {
    attempt: String,
    right: Right,
    tokens: u64,
    escrow: EscrowTerms,
    has_recalled: bool,
}

/// A settlement on its way, and the grant that it settles.
#[derive(Clone, Debug)]
struct Settling {
    change: u64,
    grant: Option<(SlotId, String)>,
}

pub struct Host {
    pub run: String,
    changes: PendingChanges,
    slots: Slots<usize>,
    turns: VecDeque<Turn>,
    settling: Vec<Settling>,
    late: Vec<Transaction>,
    /// When its process began.
    began_at: Duration,
    /// Whether it has read what the run before it had said of its hold-off.
    knows_last_run: bool,
    /// Whether messages from and to it are lost.
    pub is_cut: bool,
}

impl Host {
    fn new(index: usize, run: usize, now: Duration) -> Self {
        let run = format!("host-{index}/{run}");
        Self {
            changes: PendingChanges::new(run.clone()),
            slots: Slots::new(run.clone()),
            run,
            turns: VecDeque::new(),
            settling: Vec::new(),
            late: Vec::new(),
            began_at: now,
            knows_last_run: false,
            is_cut: false,
        }
    }
}

/// The hosts, the store, and what callers have seen.
pub struct World {
    store: Store,
    pub is_store_up: bool,
    pub hosts: Vec<Host>,
    pub budget: u64,
    pub handed_out: u64,
    pub now: Duration,
    turns: usize,
    runs: usize,
}

impl World {
    /// Hosts that know each other and share the slots.
    pub fn new(hosts: usize, budget: u64) -> Self {
        let mut world = Self {
            store: Store::default(),
            is_store_up: true,
            hosts: (0..hosts)
                .map(|index| Host::new(index, index, Duration::ZERO))
                .collect(),
            budget,
            handed_out: 0,
            now: Duration::from_secs(1),
            turns: 0,
            runs: hosts,
        };
        for host in 0..hosts {
            world.learn(host);
        }
        world.now += Duration::from_secs(10);
        for host in 0..hosts {
            world.claim(host);
        }
        for host in 0..hosts {
            world.learn(host);
        }
        world
    }

    /// A host reads the table of hosts and slots.
    pub fn learn(&mut self, host: usize) {
        if !self.is_store_up {
            return;
        }
        let candidates = self.hosts.iter().enumerate().map(|(index, host)| PeerHost {
            host: format!("host-{index}"),
            process: host.run.clone(),
            address: index,
            processor_milli: 500,
        });
        let candidates = candidates.collect();
        let now = self.now;
        let slots = &mut self.hosts[host].slots;
        slots.set_hosts(candidates, true, now);
        for (id, (version, value)) in &self.store.rows {
            if let Some(slot) = SlotId::from_key(&id.key) {
                slots.take_row(slot, *version, SlotRow::decode(value).unwrap());
            }
        }
    }

    /// A host takes the slots that it should own.
    pub fn claim(&mut self, host: usize) {
        if self.is_store_up {
            let now = self.now;
            self.learn_last_run(host);
            let claims = self.hosts[host].slots.claims(now);
            self.write(host, claims);
        }
    }

    fn hold_off_row(host: usize) -> RowId {
        let key = HoldOffRow::key(&format!("host-{host}"));
        RowId::new(HOLD_OFF_TABLE, "", key)
    }

    fn learn_last_run(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        if host.knows_last_run {
            return;
        }
        host.knows_last_run = true;
        if let Some((_, value)) = self.store.rows.get(&Self::hold_off_row(index)) {
            let row = HoldOffRow::decode(value).unwrap();
            let mark = HoldOffRow::mark_key(&format!("host-{index}"), &row.run, row.epoch);
            let mark = RowId::new(HOLD_OFF_TABLE, "", mark);
            if !self.store.rows.contains_key(&mark) {
                host.slots.set_quiet_run(row.died_in_time(host.began_at));
            }
        }
    }

    /// A host says that it holds off, if it may.
    pub fn hold_off(&mut self, host: usize) {
        let now = self.now;
        if !self.is_store_up || !self.hosts[host].slots.is_owner() {
            return;
        }
        if let Some(row) = self.hosts[host].slots.hold_off(now, now) {
            let write = RowWrite {
                row: Self::hold_off_row(host),
                value: row.encode(),
            };
            self.store.apply(&Transaction {
                writes: vec![write],
                ..Transaction::default()
            });
        }
    }

    /// A host ends its hold-off if a turn wants a grant.
    pub fn end_hold_off(&mut self, host: usize) {
        let slots = &mut self.hosts[host].slots;
        let Some(epoch) = slots.epoch_to_end(self.now).filter(|_| self.is_store_up) else {
            return;
        };
        slots.end_epoch(epoch);
        let run = &self.hosts[host].run;
        let mark = HoldOffRow::mark_key(&format!("host-{host}"), run, epoch);
        let mark = RowId::new(HOLD_OFF_TABLE, "", mark);
        let mark = Transaction::default().write(mark, Vec::new());
        self.store.apply(&mark);
    }

    /// A turn at a host that is cut off from the store wants a grant.
    pub fn want(&mut self, host: usize) -> bool {
        let is_store_up = std::mem::replace(&mut self.is_store_up, false);
        let is_served = self.serve(host);
        self.is_store_up = is_store_up;
        is_served
    }

    /// A host is told to stop, and has not given up its slots yet.
    pub fn begin_stop(&mut self, host: usize) {
        self.hosts[host].slots.stop_taking();
    }

    /// A host completes the slots that it took after a death.
    pub fn complete(&mut self, host: usize) {
        if !self.is_store_up {
            return;
        }
        for slot in self.hosts[host].slots.incomplete() {
            let fence = Transaction::default().write(slot.fence_row(), Vec::new());
            let Answer::Applied(version) = self.store.apply(&fence) else {
                panic!("a fence has no condition here");
            };
            let is_of_program = slot.partition == partition_of(PROGRAM);
            let ledger = self.store.ledger();
            let is_closed = ledger.closed_at_fences().contains_key(&slot.index);
            let closed = (is_of_program && is_closed).then(|| PROGRAM.to_owned());
            let slots = &mut self.hosts[host].slots;
            slots.complete(&slot, version, closed.as_slice());
        }
    }

    /// All hosts learn what the others have written, and take and complete slots.
    pub fn settle_down(&mut self) {
        for host in 0..self.hosts.len() {
            self.learn(host);
            self.claim(host);
            self.complete(host);
        }
        for host in 0..self.hosts.len() {
            self.learn(host);
        }
    }

    fn write(&mut self, host: usize, writes: Vec<SlotWrite>) {
        for write in writes {
            let row = RowId::new(TABLE, "", write.slot.key());
            let transaction = Transaction {
                conditions: vec![Condition {
                    row: row.clone(),
                    version: write.version,
                }],
                writes: vec![RowWrite {
                    row,
                    value: write.row.encode(),
                }],
                deletes: Vec::new(),
            };
            if let Answer::Applied(version) = self.store.apply(&transaction) {
                let slots = &mut self.hosts[host].slots;
                slots.take_row(write.slot, version, write.row);
            }
        }
    }

    /// A host's process is killed; another one takes its place.
    pub fn kill(&mut self, host: usize) {
        let late = std::mem::take(&mut self.hosts[host].late);
        self.hosts[host] = Host::new(host, self.runs, self.now);
        self.hosts[host].late = late;
        self.runs += 1;
        self.learn(host);
    }

    /// A host stops as planned, after its turns have ended; another process takes
    /// its place.
    pub fn stop(&mut self, host: usize) {
        while !self.hosts[host].turns.is_empty() {
            self.end(host);
        }
        if self.is_store_up {
            self.flush(host);
            self.read_accepted(host);
            let mut writes = self.hosts[host].slots.release();
            for write in &mut writes {
                let successor = self.successor(host, &write.slot);
                write.row.owner = successor.map(|to| self.hosts[to].run.clone());
            }
            self.write(host, writes);
        } else if self.hosts[host].settling.is_empty() {
            let is_held_off = !self.hosts[host].slots.held_off_for(self.now).is_zero();
            if !is_held_off {
                self.hand_over(host);
            }
        }
        self.kill(host);
    }

    /// A host reads the rows of slots that it said it takes over.
    fn read_accepted(&mut self, host: usize) {
        let slots = &mut self.hosts[host].slots;
        slots.stop_taking();
        for slot in slots.accepted() {
            let row = RowId::new(TABLE, "", slot.key());
            if let Some((version, value)) = self.store.rows.get(&row) {
                slots.take_row(slot, *version, SlotRow::decode(value).unwrap());
            }
        }
    }

    /// The first host that says that it takes a slot over.
    fn successor(&mut self, host: usize, slot: &SlotId) -> Option<usize> {
        let from = self.hosts[host].run.clone();
        for successor in self.hosts[host].slots.successors(slot) {
            let to = successor.address;
            let is_there = self.hosts[to].run == successor.process;
            let is_cut = self.hosts[to].is_cut || self.hosts[host].is_cut;
            if is_there && !is_cut {
                let reply = self.hosts[to]
                    .slots
                    .answer(slot, &from, Ask::Accept, self.now);
                if reply == Reply::Noted {
                    return Some(to);
                }
            }
        }
        None
    }

    fn hand_over(&mut self, host: usize) {
        let from = self.hosts[host].run.clone();
        let writes = self.hosts[host].slots.release().into_iter();
        for write in writes.filter(|write| !write.row.has_unread_closings) {
            let Some(to) = self.successor(host, &write.slot) else {
                continue;
            };
            let ask = Ask::TakeOver {
                accounts: write.row.accounts,
                fence: write.row.fence,
            };
            let now = self.now;
            let reply = self.hosts[to].slots.answer(&write.slot, &from, ask, now);
            if reply == Reply::Noted {
                let owner = self.hosts[to].run.clone();
                for other in (0..self.hosts.len()).filter(|other| *other != to) {
                    let moved = Ask::Moved(from.clone());
                    if !self.hosts[other].is_cut {
                        let slots = &mut self.hosts[other].slots;
                        slots.answer(&write.slot, &owner, moved, now);
                    }
                }
            }
        }
    }

    /// A host asks a slot's owner.
    fn ask(&mut self, host: usize, slot: &SlotId, ask: Ask) -> Option<Reply> {
        let run = self.hosts[host].run.clone();
        let to = match self.hosts[host].slots.owner(slot) {
            Owner::Own => host,
            Owner::Other(owner, address) => {
                let is_there = self.hosts[address].run == owner;
                let is_cut = self.hosts[host].is_cut || self.hosts[address].is_cut;
                if !is_there || is_cut {
                    return None;
                }
                address
            }
            Owner::Gone | Owner::Nobody => return None,
        };
        Some(self.hosts[to].slots.answer(slot, &run, ask, self.now))
    }

    fn slots_of_program() -> Vec<SlotId> {
        SlotId::of(&partition_of(PROGRAM)).collect()
    }

    /// A host begins a turn. Returns whether it may run, or may yet.
    pub fn begin(&mut self, host: usize) -> bool {
        self.turns += 1;
        let attempt = format!("t{}", self.turns);
        let escrow = EscrowTerms::new(true, MOST, self.budget);
        let mut turn = Turn {
            attempt,
            right: Right::Reserved,
            tokens: 0,
            escrow,
            has_recalled: false,
        };
        if self.is_store_up {
            turn.right = Right::Reserving(self.reserve(host, &turn, Vec::new()));
        } else {
            match self.grant(host, &turn.attempt) {
                Some(right) => turn.right = right,
                None => return false,
            }
        }
        self.hosts[host].turns.push_back(turn);
        true
    }

    fn reserve(&mut self, host: usize, turn: &Turn, gone: Vec<String>) -> u64 {
        let change = Change::Reserve {
            attempt: turn.attempt.clone(),
            most_tokens: MOST,
            budget_tokens: self.budget,
            gone,
            escrow: turn.escrow.clone(),
        };
        let changes = &mut self.hosts[host].changes;
        changes.submit(PROGRAM.to_owned(), change)
    }

    fn request(&self, grant: &str, tokens: u64) -> Ask {
        let request = GrantRequest {
            grant: grant.to_owned(),
            tokens,
            most_tokens: MOST,
            budget_tokens: self.budget,
        };
        Ask::Program(PROGRAM.to_owned(), ProgramAsk::Grant(request))
    }

    fn grant(&mut self, host: usize, attempt: &str) -> Option<Right> {
        let tokens = first_grant_tokens(MOST);
        for slot in Self::slots_of_program() {
            let grant = format!("g-{attempt}-{}", slot.index);
            let request = self.request(&grant, tokens);
            if self.ask(host, &slot, request) == Some(Reply::Granted) {
                return Some(Right::Granted(slot, grant, tokens));
            }
        }
        None
    }

    /// The host's oldest turn hands out tokens, if it may.
    pub fn hand_out(&mut self, host: usize, tokens: u64) -> bool {
        let Some(turn) = self.hosts[host].turns.front().cloned() else {
            return false;
        };
        let wanted = turn.tokens + tokens;
        if wanted > MOST {
            return false;
        }
        let right = match turn.right {
            Right::Reserving(_) => return false,
            Right::Reserved => Right::Reserved,
            Right::Granted(slot, grant, held) => {
                let held = held.max(wanted);
                let request = self.request(&grant, held);
                if self.ask(host, &slot, request) != Some(Reply::Granted) {
                    return false;
                }
                Right::Granted(slot, grant, held)
            }
        };
        let turn = self.hosts[host].turns.front_mut().unwrap();
        turn.right = right;
        turn.tokens = wanted;
        self.handed_out += tokens;
        true
    }

    /// The host's oldest turn ends.
    pub fn end(&mut self, host: usize) {
        let Some(turn) = self.hosts[host].turns.pop_front() else {
            return;
        };
        let (change, grant) = match turn.right {
            Right::Reserving(_) | Right::Reserved => (settle(&turn.attempt, turn.tokens), None),
            Right::Granted(slot, grant, _) => {
                let report = ProgramAsk::Report(grant.clone(), turn.tokens);
                self.ask(host, &slot, Ask::Program(PROGRAM.to_owned(), report));
                let change = Change::SettleGrant {
                    attempt: turn.attempt,
                    grant: grant.clone(),
                    tokens: turn.tokens,
                };
                (change, Some((slot, grant)))
            }
        };
        let host = &mut self.hosts[host];
        let change = host.changes.submit(PROGRAM.to_owned(), change);
        host.settling.push(Settling { change, grant });
    }

    /// A host's transaction goes to the store; its answer may be lost.
    pub fn send(&mut self, index: usize, is_answered: bool) {
        let (transaction, mut ended) = self.hosts[index].changes.next_transaction();
        if let Some(transaction) = transaction {
            let answer = match self.is_store_up {
                true => self.store.apply(&transaction),
                false => Answer::NotKnown,
            };
            let host = &mut self.hosts[index];
            if !self.is_store_up {
                host.late.push(transaction);
            }
            let seen = if is_answered {
                answer
            } else {
                Answer::NotKnown
            };
            ended.extend(host.changes.answered(seen));
        }
        for (id, outcome) in ended {
            self.ended(index, id, outcome);
        }
    }

    /// A transaction that had no answer takes effect after all.
    pub fn arrive_late(&mut self, host: usize) {
        if let Some(late) = self.hosts[host].late.pop() {
            self.store.apply(&late);
        }
    }

    fn ended(&mut self, index: usize, id: u64, outcome: Outcome) {
        let host = &mut self.hosts[index];
        if let Some(position) = host.settling.iter().position(|it| it.change == id) {
            if let Some((slot, grant)) = host.settling.remove(position).grant {
                let settle = ProgramAsk::Settle(grant);
                self.ask(index, &slot, Ask::Program(PROGRAM.to_owned(), settle));
            }
            return;
        }
        let is_it = |turn: &Turn| matches!(turn.right, Right::Reserving(change) if change == id);
        let Some(position) = host.turns.iter().position(is_it) else {
            return;
        };
        match outcome {
            Outcome::Durable => host.turns[position].right = Right::Reserved,
            Outcome::Exhausted => self.recall(index, position),
            Outcome::Unreadable => panic!("the ledger is always readable"),
        }
    }

    /// A turn that the ledger does not hold asks owners and holders, once.
    fn recall(&mut self, index: usize, position: usize) {
        let mut turn = self.hosts[index].turns.remove(position).unwrap();
        if turn.has_recalled || !self.is_store_up {
            return;
        }
        turn.has_recalled = true;
        let (version, ledger) = (self.store.ledger_version(), self.store.ledger());
        let changes = &mut self.hosts[index].changes;
        changes.learn(PROGRAM, version, ledger);
        let holdings = changes.holdings(PROGRAM);
        let mut answers = ClosingAnswers::default();
        for slot in Self::slots_of_program() {
            let claim = self.hosts[index].slots.claim_now(&slot);
            self.write(index, claim.into_iter().collect());
            let reply = self.ask(
                index,
                &slot,
                Ask::Program(PROGRAM.to_owned(), ProgramAsk::Close),
            );
            answers.add(slot.index, reply);
        }
        turn.escrow = turn.escrow.with_answers(&answers);
        let runs: Vec<&String> = self.hosts.iter().map(|host| &host.run).collect();
        let gone = holdings.into_iter().map(|holding| holding.holder);
        let gone = gone.filter(|holder| !runs.contains(&holder)).collect();
        turn.right = Right::Reserving(self.reserve(index, &turn, gone));
        self.hosts[index].turns.insert(position, turn);
    }

    /// Sends until nothing waits, as far as the store is there.
    pub fn flush(&mut self, host: usize) {
        while self.is_store_up && self.hosts[host].changes.open_changes() > 0 {
            self.send(host, true);
        }
    }

    /// Serves a whole turn of a quarter of its most at a host.
    pub fn serve(&mut self, host: usize) -> bool {
        if !self.begin(host) {
            return false;
        }
        self.flush(host);
        let tokens = MOST / 4;
        let is_served = self.hand_out(host, tokens);
        self.end(host);
        self.flush(host);
        is_served
    }

    /// Serves turns of their most at a host, as long as it may.
    pub fn spend(&mut self, host: usize) {
        loop {
            let before = self.handed_out;
            if !self.begin(host) {
                return;
            }
            self.flush(host);
            while self.hand_out(host, MOST / 4) {}
            self.end(host);
            self.flush(host);
            if self.handed_out == before {
                return;
            }
        }
    }

    /// The program's ledger in the store.
    pub fn ledger(&self) -> Ledger {
        self.store.ledger()
    }

    /// Tokens that the ledger has as spent.
    pub fn spent(&self) -> u64 {
        self.store.ledger().account().spent_tokens
    }
}
