//! Simulation of hosts that serve the turns of one program, with a store that may be
//! unavailable.

use std::collections::VecDeque;
use std::time::Duration;

use rosebend_coordination::gateway::batchers::PeerHost;
use rosebend_coordination::gateway::escrow::accounts::GrantRequest;
use rosebend_coordination::gateway::escrow::first_grant_tokens;
use rosebend_coordination::gateway::escrow::hold_off::HoldOffRow;
use rosebend_coordination::gateway::escrow::message::{Ask, ProgramAsk, Reply};
use rosebend_coordination::gateway::escrow::slot::{SlotId, SlotRow, SlotWrite};
use rosebend_coordination::gateway::escrow::slots::{Owner, Slots};
use rosebend_coordination::gateway::escrow::terms::{CloseReplies, EscrowTerms};
use rosebend_coordination::gateway::history::partition_of;
use rosebend_coordination::gateway::ledger::Ledger;
use rosebend_coordination::gateway::pending_changes::{Answer, Change, Outcome, PendingChanges};
use rosebend_state::deployment::{Condition, RowId, RowWrite, Transaction};

use crate::change_support::{MAX_OUTPUT_TOKENS, PROGRAM, Store, settle};

/// Table of the slot rows.
const TABLE: &str = "gateways";
/// Table of the hold-off rows and their end markers.
const HOLD_OFF_TABLE: &str = "escrow";

/// Permit by which a turn may emit tokens.
#[derive(Clone, Debug)]
enum Permit {
    /// A reservation that is not durable yet, with the number of its change.
    Pending(u64),
    /// A reservation in the ledger.
    Reserved,
    /// A grant of a slot's owner: the slot, the identifier of the grant and its tokens.
    Granted(SlotId, String, u64),
}

#[derive(Clone, Debug)]
struct Turn {
    attempt: String,
    permit: Permit,
    tokens: u64,
    /// Emitted tokens that were moved into the ledger because the grant was not extended.
    settled_tokens: u64,
    escrow: EscrowTerms,
    has_retried: bool,
}

/// A settlement that is not durable yet, and the grant that it settles.
#[derive(Clone, Debug)]
struct PendingSettlement {
    change: u64,
    grant: Option<(SlotId, String)>,
}

pub struct Host {
    pub process: String,
    changes: PendingChanges,
    slots: Slots<usize>,
    turns: VecDeque<Turn>,
    settlements: Vec<PendingSettlement>,
    late_transactions: Vec<Transaction>,
    /// Start time of the process.
    started_at: Duration,
    /// Whether the process has read the hold-off row of its predecessor.
    has_read_predecessor: bool,
    /// Whether messages between this host and other hosts are lost.
    pub is_isolated: bool,
}

impl Host {
    fn new(index: usize, process: usize, now: Duration) -> Self {
        let process = format!("host-{index}/{process}");
        Self {
            changes: PendingChanges::new(process.clone()),
            slots: Slots::new(process.clone()),
            process,
            turns: VecDeque::new(),
            settlements: Vec::new(),
            late_transactions: Vec::new(),
            started_at: now,
            has_read_predecessor: false,
            is_isolated: false,
        }
    }
}

/// The hosts, the store, and the tokens that callers have received.
pub struct Simulation {
    store: Store,
    pub is_store_up: bool,
    pub hosts: Vec<Host>,
    pub budget: u64,
    pub emitted_tokens: u64,
    pub now: Duration,
    started_turns: usize,
    started_processes: usize,
}

impl Simulation {
    /// Creates hosts that know each other and own all slots between them.
    pub fn new(hosts: usize, budget: u64) -> Self {
        let mut simulation = Self {
            store: Store::default(),
            is_store_up: true,
            hosts: (0..hosts)
                .map(|index| Host::new(index, index, Duration::ZERO))
                .collect(),
            budget,
            emitted_tokens: 0,
            now: Duration::from_secs(1),
            started_turns: 0,
            started_processes: hosts,
        };
        for host in 0..hosts {
            simulation.read_tables(host);
        }
        simulation.now += Duration::from_secs(10);
        for host in 0..hosts {
            simulation.claim_slots(host);
        }
        for host in 0..hosts {
            simulation.read_tables(host);
        }
        simulation
    }

    /// Lets a host read the tables of hosts and slots.
    pub fn read_tables(&mut self, host: usize) {
        if !self.is_store_up {
            return;
        }
        let candidates = self.hosts.iter().enumerate().map(|(index, host)| PeerHost {
            host: format!("host-{index}"),
            process: host.process.clone(),
            address: index,
            processor_milli: 500,
        });
        let candidates = candidates.collect();
        let now = self.now;
        let slots = &mut self.hosts[host].slots;
        slots.set_hosts(candidates, true, now);
        for (id, (version, value)) in &self.store.rows {
            if let Some(slot) = SlotId::from_key(&id.key) {
                slots.observe_row(slot, *version, SlotRow::decode(value).unwrap());
            }
        }
    }

    /// Lets a host claim the slots that it should own.
    pub fn claim_slots(&mut self, host: usize) {
        if self.is_store_up {
            let now = self.now;
            self.read_predecessor(host);
            let claims = self.hosts[host].slots.claims(now);
            self.write(host, claims);
        }
    }

    fn hold_off_row(host: usize) -> RowId {
        let key = HoldOffRow::key(&format!("host-{host}"));
        RowId::new(HOLD_OFF_TABLE, "", key)
    }

    fn read_predecessor(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        if host.has_read_predecessor {
            return;
        }
        host.has_read_predecessor = true;
        if let Some((_, value)) = self.store.rows.get(&Self::hold_off_row(index)) {
            let row = HoldOffRow::decode(value).unwrap();
            let marker = HoldOffRow::marker_key(&format!("host-{index}"), &row.run, row.epoch);
            let marker = RowId::new(HOLD_OFF_TABLE, "", marker);
            if !self.store.rows.contains_key(&marker) {
                host.slots
                    .set_clean_predecessor(row.died_within_hold_off(host.started_at));
            }
        }
    }

    /// Lets a host start or renew its hold-off, if it may.
    pub fn renew_hold_off(&mut self, host: usize) {
        let now = self.now;
        if !self.is_store_up || !self.hosts[host].slots.is_owner() {
            return;
        }
        if let Some(row) = self.hosts[host].slots.renew_hold_off(now, now) {
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

    /// Lets a host end its hold-off if a grant was requested.
    pub fn end_hold_off(&mut self, host: usize) {
        let slots = &mut self.hosts[host].slots;
        let Some(epoch) = slots.epoch_to_end(self.now).filter(|_| self.is_store_up) else {
            return;
        };
        slots.end_epoch(epoch);
        let process = &self.hosts[host].process;
        let marker = HoldOffRow::marker_key(&format!("host-{host}"), process, epoch);
        let marker = RowId::new(HOLD_OFF_TABLE, "", marker);
        let marker = Transaction::default().write(marker, Vec::new());
        self.store.apply(&marker);
    }

    /// Serves a turn on a host that is disconnected from the store, so that the turn
    /// needs a grant. Returns whether it was served.
    pub fn request_offline_grant(&mut self, host: usize) -> bool {
        let is_store_up = std::mem::replace(&mut self.is_store_up, false);
        let is_served = self.serve_turn(host);
        self.is_store_up = is_store_up;
        is_served
    }

    /// Signals a host to stop. The host does not release its slots yet.
    pub fn start_stopping(&mut self, host: usize) {
        self.hosts[host].slots.stop_acquiring();
    }

    /// Lets a host complete the slots that it took over after a death.
    pub fn complete_slots(&mut self, host: usize) {
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

    /// Lets all hosts read the tables, claim slots and complete them, and read the
    /// tables again.
    pub fn converge(&mut self) {
        for host in 0..self.hosts.len() {
            self.read_tables(host);
            self.claim_slots(host);
            self.complete_slots(host);
        }
        for host in 0..self.hosts.len() {
            self.read_tables(host);
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
                slots.observe_row(write.slot, version, write.row);
            }
        }
    }

    /// Kills a host's process and starts another one in its place.
    pub fn kill(&mut self, host: usize) {
        let late_transactions = std::mem::take(&mut self.hosts[host].late_transactions);
        self.hosts[host] = Host::new(host, self.started_processes, self.now);
        self.hosts[host].late_transactions = late_transactions;
        self.started_processes += 1;
        self.read_tables(host);
    }

    /// Stops a host as planned after its turns have ended, and starts another process
    /// in its place.
    pub fn stop(&mut self, host: usize) {
        while !self.hosts[host].turns.is_empty() {
            self.end_turn(host);
        }
        if self.is_store_up {
            self.flush(host);
            self.read_accepted(host);
            let mut writes = self.hosts[host].slots.release();
            for write in &mut writes {
                let successor = self.successor(host, &write.slot);
                write.row.owner = successor.map(|to| self.hosts[to].process.clone());
            }
            self.write(host, writes);
        } else if self.hosts[host].settlements.is_empty() {
            let is_held_off = !self.hosts[host]
                .slots
                .hold_off_remaining(self.now)
                .is_zero();
            if !is_held_off {
                self.hand_over(host);
            }
        }
        self.kill(host);
    }

    /// Lets a host read the rows of the slots that it has agreed to take over.
    fn read_accepted(&mut self, host: usize) {
        let slots = &mut self.hosts[host].slots;
        slots.stop_acquiring();
        for slot in slots.accepted() {
            let row = RowId::new(TABLE, "", slot.key());
            if let Some((version, value)) = self.store.rows.get(&row) {
                slots.observe_row(slot, *version, SlotRow::decode(value).unwrap());
            }
        }
    }

    /// Returns the first host that agrees to take over a slot.
    fn successor(&mut self, host: usize, slot: &SlotId) -> Option<usize> {
        let from = self.hosts[host].process.clone();
        for successor in self.hosts[host].slots.successors(slot) {
            let to = successor.address;
            let is_running = self.hosts[to].process == successor.process;
            let is_isolated = self.hosts[to].is_isolated || self.hosts[host].is_isolated;
            if is_running && !is_isolated {
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
        let from = self.hosts[host].process.clone();
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
                let owner = self.hosts[to].process.clone();
                for other in (0..self.hosts.len()).filter(|other| *other != to) {
                    let moved = Ask::Moved(from.clone());
                    if !self.hosts[other].is_isolated {
                        let slots = &mut self.hosts[other].slots;
                        slots.answer(&write.slot, &owner, moved, now);
                    }
                }
            }
        }
    }

    /// Sends a request to a slot's owner and returns the reply; `None` if there is no
    /// owner that is running and connected.
    fn ask(&mut self, host: usize, slot: &SlotId, ask: Ask) -> Option<Reply> {
        let process = self.hosts[host].process.clone();
        let to = match self.hosts[host].slots.owner(slot) {
            Owner::Local => host,
            Owner::Remote(owner, address) => {
                let is_running = self.hosts[address].process == owner;
                let is_isolated = self.hosts[host].is_isolated || self.hosts[address].is_isolated;
                if !is_running || is_isolated {
                    return None;
                }
                address
            }
            Owner::Absent | Owner::Unowned => return None,
        };
        Some(self.hosts[to].slots.answer(slot, &process, ask, self.now))
    }

    fn slots_of_program() -> Vec<SlotId> {
        SlotId::of_partition(&partition_of(PROGRAM)).collect()
    }

    /// Starts a turn on a host. Returns whether the turn has a grant or a reservation
    /// that may become durable.
    pub fn start_turn(&mut self, host: usize) -> bool {
        self.started_turns += 1;
        let attempt = format!("t{}", self.started_turns);
        let escrow = EscrowTerms::new(true, MAX_OUTPUT_TOKENS, self.budget);
        let mut turn = Turn {
            attempt,
            permit: Permit::Reserved,
            tokens: 0,
            settled_tokens: 0,
            escrow,
            has_retried: false,
        };
        if self.is_store_up {
            turn.permit = Permit::Pending(self.reserve(host, &turn, Vec::new()));
        } else {
            match self.request_grant(host, &turn.attempt) {
                Some(permit) => turn.permit = permit,
                None => return false,
            }
        }
        self.hosts[host].turns.push_back(turn);
        true
    }

    fn reserve(&mut self, host: usize, turn: &Turn, dead_processes: Vec<String>) -> u64 {
        let change = Change::Reserve {
            attempt: turn.attempt.clone(),
            max_output_tokens: MAX_OUTPUT_TOKENS - turn.settled_tokens,
            budget_tokens: self.budget,
            dead_processes,
            escrow: turn.escrow.clone(),
            retention: Duration::from_secs(60),
        };
        let changes = &mut self.hosts[host].changes;
        changes.submit(PROGRAM.to_owned(), change)
    }

    fn grant_request(&self, grant: &str, tokens: u64) -> Ask {
        let request = GrantRequest {
            grant: grant.to_owned(),
            tokens,
            most_tokens: MAX_OUTPUT_TOKENS,
            budget_tokens: self.budget,
        };
        Ask::Program(PROGRAM.to_owned(), ProgramAsk::Grant(request))
    }

    fn request_grant(&mut self, host: usize, attempt: &str) -> Option<Permit> {
        let tokens = first_grant_tokens(MAX_OUTPUT_TOKENS);
        for slot in Self::slots_of_program() {
            let grant = format!("g-{attempt}-{}", slot.index);
            let request = self.grant_request(&grant, tokens);
            if self.ask(host, &slot, request) == Some(Reply::Granted) {
                return Some(Permit::Granted(slot, grant, tokens));
            }
        }
        None
    }

    /// Lets the host's oldest turn emit tokens. Returns whether it was allowed to.
    pub fn emit_tokens(&mut self, host: usize, tokens: u64) -> bool {
        let Some(turn) = self.hosts[host].turns.front().cloned() else {
            return false;
        };
        let total_tokens = turn.tokens + tokens;
        if total_tokens > MAX_OUTPUT_TOKENS {
            return false;
        }
        let permit = match turn.permit {
            Permit::Pending(_) => return false,
            Permit::Reserved => Permit::Reserved,
            Permit::Granted(slot, grant, granted_tokens) => {
                let needed_tokens = granted_tokens.max(total_tokens);
                let request = self.grant_request(&grant, needed_tokens);
                if self.ask(host, &slot, request) != Some(Reply::Granted) {
                    if self.is_store_up {
                        self.replace_grant(host, slot, grant, granted_tokens);
                    }
                    return false;
                }
                Permit::Granted(slot, grant, needed_tokens)
            }
        };
        let turn = self.hosts[host].turns.front_mut().unwrap();
        turn.permit = permit;
        turn.tokens = total_tokens;
        self.emitted_tokens += tokens;
        true
    }

    /// Moves the granted tokens of the host's oldest turn into the ledger, and requests a
    /// reservation of the rest of its maximum.
    fn replace_grant(&mut self, host: usize, slot: SlotId, grant: String, granted_tokens: u64) {
        let mut turn = self.hosts[host].turns.pop_front().unwrap();
        turn.settled_tokens = granted_tokens;
        let change = Change::SettleGrant {
            attempt: turn.attempt.clone(),
            grant: grant.clone(),
            tokens: granted_tokens,
        };
        let changes = &mut self.hosts[host].changes;
        let change = changes.submit(PROGRAM.to_owned(), change);
        let grant = Some((slot, grant));
        let settlement = PendingSettlement { change, grant };
        self.hosts[host].settlements.push(settlement);
        turn.permit = Permit::Pending(self.reserve(host, &turn, Vec::new()));
        self.hosts[host].turns.push_front(turn);
    }

    /// Ends the host's oldest turn.
    pub fn end_turn(&mut self, host: usize) {
        let Some(turn) = self.hosts[host].turns.pop_front() else {
            return;
        };
        let (change, grant) = match turn.permit {
            Permit::Pending(_) | Permit::Reserved => {
                let tokens = turn.tokens.saturating_sub(turn.settled_tokens);
                (settle(&turn.attempt, tokens), None)
            }
            Permit::Granted(slot, grant, _) => {
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
        host.settlements.push(PendingSettlement { change, grant });
    }

    /// Sends a host's next transaction to the store. The answer is lost unless
    /// `is_answered` is set.
    pub fn send(&mut self, index: usize, is_answered: bool) {
        let (transaction, mut completed) = self.hosts[index].changes.next_transaction();
        if let Some(transaction) = transaction {
            let answer = match self.is_store_up {
                true => self.store.apply(&transaction),
                false => Answer::NotKnown,
            };
            let host = &mut self.hosts[index];
            if !self.is_store_up {
                host.late_transactions.push(transaction);
            }
            let received = if is_answered {
                answer
            } else {
                Answer::NotKnown
            };
            completed.extend(host.changes.handle_answer(received));
        }
        for (id, outcome) in completed {
            self.complete_change(index, id, outcome);
        }
    }

    /// Applies a transaction that was sent during an outage and had no answer.
    pub fn deliver_late(&mut self, host: usize) {
        if let Some(late_transaction) = self.hosts[host].late_transactions.pop() {
            self.store.apply(&late_transaction);
        }
    }

    fn complete_change(&mut self, index: usize, id: u64, outcome: Outcome) {
        let host = &mut self.hosts[index];
        if let Some(position) = host.settlements.iter().position(|it| it.change == id) {
            if let Some((slot, grant)) = host.settlements.remove(position).grant {
                let settle = ProgramAsk::Settle(grant);
                self.ask(index, &slot, Ask::Program(PROGRAM.to_owned(), settle));
            }
            return;
        }
        let is_match = |turn: &Turn| matches!(turn.permit, Permit::Pending(change) if change == id);
        let Some(position) = host.turns.iter().position(is_match) else {
            return;
        };
        match outcome {
            Outcome::Durable => host.turns[position].permit = Permit::Reserved,
            Outcome::Exhausted => self.retry_exhausted(index, position),
            outcome => panic!("a reservation ends with {outcome:?}"),
        }
    }

    /// Retries a reservation that did not fit into the budget, once per turn, after it
    /// has asked the slots' owners to close them and has looked for reservations of
    /// dead hosts.
    fn retry_exhausted(&mut self, index: usize, position: usize) {
        let mut turn = self.hosts[index].turns.remove(position).unwrap();
        if turn.has_retried || !self.is_store_up {
            return;
        }
        turn.has_retried = true;
        let (version, ledger) = (self.store.ledger_version(), self.store.ledger());
        let changes = &mut self.hosts[index].changes;
        changes.cache(PROGRAM, version, ledger);
        let holdings = changes.reservations_by_process(PROGRAM);
        let mut answers = CloseReplies::default();
        for slot in Self::slots_of_program() {
            let claim = self.hosts[index].slots.claim_if_unowned(&slot);
            self.write(index, claim.into_iter().collect());
            let reply = self.ask(
                index,
                &slot,
                Ask::Program(PROGRAM.to_owned(), ProgramAsk::Close),
            );
            answers.add(slot.index, reply);
        }
        turn.escrow = turn.escrow.with_close_replies(&answers);
        let processes: Vec<&String> = self.hosts.iter().map(|host| &host.process).collect();
        let gone = holdings.into_iter().map(|holding| holding.process);
        let gone = gone.filter(|holder| !processes.contains(&holder)).collect();
        turn.permit = Permit::Pending(self.reserve(index, &turn, gone));
        self.hosts[index].turns.insert(position, turn);
    }

    /// Sends transactions until no change is pending or the store is unavailable.
    pub fn flush(&mut self, host: usize) {
        while self.is_store_up && self.hosts[host].changes.open_changes() > 0 {
            self.send(host, true);
        }
    }

    /// Serves a whole turn on a host that emits a quarter of its maximum. Returns
    /// whether the turn emitted tokens.
    pub fn serve_turn(&mut self, host: usize) -> bool {
        if !self.start_turn(host) {
            return false;
        }
        self.flush(host);
        let tokens = MAX_OUTPUT_TOKENS / 4;
        let is_served = self.emit_tokens(host, tokens);
        self.end_turn(host);
        self.flush(host);
        is_served
    }

    /// Serves turns on a host, each of which emits as much as it may, until one emits
    /// nothing.
    pub fn spend_all(&mut self, host: usize) {
        loop {
            let before = self.emitted_tokens;
            if !self.start_turn(host) {
                return;
            }
            self.flush(host);
            while self.emit_tokens(host, MAX_OUTPUT_TOKENS / 4) {}
            self.end_turn(host);
            self.flush(host);
            if self.emitted_tokens == before {
                return;
            }
        }
    }

    /// Returns the program's ledger in the store.
    pub fn ledger(&self) -> Ledger {
        self.store.ledger()
    }

    /// Returns the tokens that the ledger counts as spent.
    pub fn spent_in_ledger(&self) -> u64 {
        self.store.ledger().account().spent_tokens
    }
}
