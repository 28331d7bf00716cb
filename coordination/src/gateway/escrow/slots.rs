//! Which run of a gateway owns each slot.
//!
//! A row in the store names the owner. A run writes its own name where nobody's
//! stands, under the version that it has seen. A run that stops writes that of a
//! successor, with its accounts; while the store is unavailable it sends them to
//! the successor instead. A successor has said before that it runs on: the table of
//! hosts is older than what has stopped since. Where nobody says so the row names
//! nobody, and any run takes it.
//!
//! What a run knew that died is lost. If it held off at its death, the next run on its
//! host takes its slots; otherwise they stay without an owner for [`QUARANTINE`], in which
//! ledgers go on keeping room for its grants. Either way the new owner writes the slot's
//! fence and reads from the ledgers which programs are closed before it answers for the
//! slot.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rosebend_state::deployment::{ProgramKey, RowVersion};

use super::accounts::{Accounts, Closing};
use super::hold_off::{DEMAND_TIME, Epoch, HOLD_OFF, HoldOffRow};
use super::message::{Ask, ProgramAsk, Reply};
use super::slot::{KEY_PREFIX, SlotId, SlotRow, SlotWrite};
use crate::gateway::batchers::{PeerHost, high_cpu_hosts, rank_hosts};
use crate::gateway::ledger::Holder;

/// How long a slot stays with an owner that is gone.
pub const QUARANTINE: Duration = Duration::from_secs(300);
/// How long the table of hosts must be unchanged before a slot that never had an
/// owner is taken, so that hosts which start together share the slots.
const STABLE_FOR: Duration = Duration::from_millis(1_500);
/// Longest wait for a table of hosts that keeps changing.
const MAX_CLAIM_DELAY: Duration = Duration::from_secs(4);
/// Largest value of a slot's row, in bytes.
const MAX_ROW_BYTES: usize = 40_000;
/// Who owns a slot, as far as this host knows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Owner<A> {
    /// This run.
    Own,
    /// Another run, which answers at an address.
    Other(Holder, A),
    /// A run that is not among the hosts any more.
    Gone,
    /// Nobody, and nothing is lost.
    Nobody,
}

/// A slot that this run answers for.
#[derive(Clone, Debug)]
struct Held {
    accounts: Accounts,
    fence: RowVersion,
}

#[derive(Clone, Debug, Default)]
struct Known {
    version: RowVersion,
    row: SlotRow,
    /// Since when the owner has been missing among the hosts.
    missing_since: Option<Duration>,
    /// The run that took the slot over from the row's owner.
    moved_to: Option<Holder>,
}

impl Known {
    fn owner(&self) -> Option<&Holder> {
        self.moved_to.as_ref().or(self.row.owner.as_ref())
    }
}

impl Held {
    /// The slot's row for another owner.
    fn row(&self, owner: Option<Holder>) -> SlotRow {
        SlotRow {
            owner,
            accounts: self.accounts.clone(),
            fence: self.fence,
            has_unread_closings: false,
        }
    }
}

/// The slots, as one run of a gateway knows them.
#[derive(Debug)]
pub struct Slots<A> {
    own_run: Holder,
    hosts: Vec<PeerHost<A>>,
    hosts_changed_at: Duration,
    /// Whether all hosts keep room for grants in their ledgers; no slot is taken
    /// before.
    all_withhold: bool,
    known: BTreeMap<SlotId, Known>,
    /// Since when there has been a slot without a row that this run should own.
    wanted_since: Option<Duration>,
    held: BTreeMap<SlotId, Held>,
    /// The run before this one on its host, if it died while it held off.
    quiet_run: Option<Holder>,
    /// Until when this run grants nothing.
    held_off_until: Duration,
    /// When a turn last wanted a grant.
    wanted_at: Option<Duration>,
    /// Epoch of this run's hold-off.
    epoch: Epoch,
    /// Slots that this run owned when it began to stop. It never answers for them
    /// again, as others may by now.
    released: BTreeSet<SlotId>,
    /// Slots that this run said it takes over, and whose new row it has not seen.
    accepted: BTreeSet<SlotId>,
    is_stopping: bool,
}

impl<A: Clone> Slots<A> {
    /// No host and no row known.
    pub const fn new(own_run: Holder) -> Self {
        Self {
            own_run,
            hosts: Vec::new(),
            hosts_changed_at: Duration::ZERO,
            all_withhold: false,
            known: BTreeMap::new(),
            wanted_since: None,
            held: BTreeMap::new(),
            quiet_run: None,
            held_off_until: Duration::ZERO,
            wanted_at: None,
            epoch: 0,
            released: BTreeSet::new(),
            accepted: BTreeSet::new(),
            is_stopping: false,
        }
    }

    /// Takes all hosts that are there, this one among them.
    pub fn set_hosts(&mut self, hosts: Vec<PeerHost<A>>, all_withhold: bool, now: Duration) {
        let runs = |hosts: &[PeerHost<A>]| -> Vec<Holder> {
            hosts.iter().map(|host| host.process.clone()).collect()
        };
        if runs(&hosts) != runs(&self.hosts) {
            self.hosts_changed_at = now;
        }
        self.hosts = hosts;
        self.all_withhold = all_withhold;
    }

    /// Takes a slot's row.
    pub fn take_row(&mut self, slot: SlotId, version: RowVersion, row: SlotRow) {
        let known = self.known.entry(slot.clone()).or_default();
        if version < known.version {
            return;
        }
        let has_new_owner = known.row.owner != row.owner;
        known.version = version;
        known.row = row;
        if has_new_owner {
            known.missing_since = None;
            known.moved_to = None;
            self.accepted.remove(&slot);
        }
        let is_own = known.row.owner.as_ref() == Some(&self.own_run);
        let is_complete = is_own && !known.row.has_unread_closings;
        if is_complete && has_new_owner && !self.is_stopping && !self.held.contains_key(&slot) {
            let held = Held {
                accounts: known.row.accounts.clone(),
                fence: known.row.fence,
            };
            self.held.insert(slot, held);
        }
    }

    /// Who owns a slot.
    pub fn owner(&self, slot: &SlotId) -> Owner<A> {
        if self.held.contains_key(slot) {
            return Owner::Own;
        }
        let owner = self.known.get(slot).and_then(Known::owner);
        match owner {
            None => Owner::Nobody,
            Some(run) => match self.host(run) {
                Some(host) if *run != self.own_run => {
                    Owner::Other(run.clone(), host.address.clone())
                }
                _ => Owner::Gone,
            },
        }
    }

    fn host(&self, run: &Holder) -> Option<&PeerHost<A>> {
        self.hosts.iter().find(|host| host.process == *run)
    }

    /// Number of slots whose owner is among the hosts.
    pub fn owned(&self) -> usize {
        let owners = SlotId::all().map(|slot| self.owner(&slot));
        let owned = owners.filter(|owner| matches!(owner, Owner::Own | Owner::Other(..)));
        owned.count()
    }

    /// Slots that this run owns.
    pub fn held(&self) -> impl Iterator<Item = (&SlotId, &Accounts)> {
        self.held.iter().map(|(slot, held)| (slot, &held.accounts))
    }

    /// Slots that this run owns and does not answer for yet, since it does not know which
    /// programs are closed.
    pub fn incomplete(&self) -> Vec<SlotId> {
        let is_incomplete = |slot: &SlotId, known: &Known| {
            let is_own = known.row.owner.as_ref() == Some(&self.own_run);
            is_own && known.row.has_unread_closings && !self.held.contains_key(slot)
        };
        let known = self.known.iter();
        let incomplete = known.filter(|(slot, known)| is_incomplete(slot, known));
        match self.is_stopping {
            true => Vec::new(),
            false => incomplete.map(|(slot, _)| slot.clone()).collect(),
        }
    }

    /// Answers for a slot that was incomplete. `closed` are the programs that ledgers
    /// counted as closed when the slot had this fence already.
    pub fn complete(&mut self, slot: &SlotId, fence: RowVersion, closed: &[ProgramKey]) {
        if !self.incomplete().contains(slot) {
            return;
        }
        let mut accounts = self.known[slot].row.accounts.clone();
        for program in closed {
            accounts.close(program);
        }
        self.held.insert(slot.clone(), Held { accounts, fence });
    }

    /// Takes note of the run before this one on its host, if it died while it held off.
    pub fn set_quiet_run(&mut self, run: Option<Holder>) {
        self.quiet_run = run;
    }

    /// Rows by which this run becomes the owner of the slots of that run.
    pub fn inherit(&self) -> Vec<SlotWrite> {
        let known = self.known.iter();
        let inherited = known.filter(|(slot, known)| {
            let is_quiet = known.row.owner.is_some() && known.row.owner == self.quiet_run;
            is_quiet && !self.held.contains_key(slot)
        });
        match self.is_stopping {
            true => Vec::new(),
            false => inherited
                .map(|(slot, _)| self.claim(slot.clone()))
                .collect(),
        }
    }

    /// Whether this run owns a slot.
    pub fn is_owner(&self) -> bool {
        !self.held.is_empty() || !self.incomplete().is_empty()
    }

    /// Holds off from now on. Returns the row that says so; none while grants are
    /// outstanding or were wanted lately. `store_now` is what the store's clock shows at
    /// least. A run that stops goes on until it has given up its slots: it may be killed on
    /// its way.
    pub fn hold_off(&mut self, now: Duration, store_now: Duration) -> Option<HoldOffRow> {
        let mut accounts = self.held.values().map(|held| &held.accounts);
        let was_wanted = |at: Duration| now.saturating_sub(at) < DEMAND_TIME;
        if self.wanted_at.is_some_and(was_wanted) || accounts.any(Accounts::has_grants) {
            return None;
        }
        self.held_off_until = now + HOLD_OFF;
        Some(HoldOffRow::new(self.own_run.clone(), self.epoch, store_now))
    }

    /// The epoch that this run should end, since a turn wants a grant while it holds off.
    pub fn epoch_to_end(&self, now: Duration) -> Option<Epoch> {
        let is_held_off = !self.held_off_for(now).is_zero();
        let was_wanted = |at: Duration| now.saturating_sub(at) < DEMAND_TIME;
        (is_held_off && self.wanted_at.is_some_and(was_wanted)).then_some(self.epoch)
    }

    /// Holds off no more: the mark of the epoch is durable.
    pub fn end_epoch(&mut self, epoch: Epoch) {
        if epoch == self.epoch {
            self.epoch += 1;
            self.held_off_until = Duration::ZERO;
        }
    }

    /// For how long this run holds off.
    pub fn held_off_for(&self, now: Duration) -> Duration {
        self.held_off_until.saturating_sub(now)
    }

    /// What this run answers to a question about a slot.
    pub fn answer(&mut self, slot: &SlotId, from: &Holder, ask: Ask, now: Duration) -> Reply {
        match ask {
            Ask::Accept => self.accept(slot),
            Ask::TakeOver { accounts, fence } => {
                self.take_over(slot, from, Held { accounts, fence })
            }
            Ask::Moved(owner) => self.moved(slot, &owner, from),
            Ask::Program(program, ask) => self.answer_for(slot, &program, ask, now),
        }
    }

    fn answer_for(
        &mut self,
        slot: &SlotId,
        program: &str,
        ask: ProgramAsk,
        now: Duration,
    ) -> Reply {
        let wait_ms = self.held_off_for(now);
        let Some(Held { accounts, fence }) = self.held.get_mut(slot) else {
            return Reply::NotOwner;
        };
        if matches!(ask, ProgramAsk::Grant(_)) {
            self.wanted_at = Some(now);
        }
        match ask {
            ProgramAsk::Grant(_) if !wait_ms.is_zero() => Reply::HeldOff { wait_ms },
            ProgramAsk::Grant(request) => match accounts.grant(program, &request) {
                true => Reply::Granted,
                false => Reply::Refused,
            },
            ProgramAsk::Report(grant, tokens) => {
                accounts.report(program, &grant, tokens);
                Reply::Noted
            }
            ProgramAsk::Settle(grant) => {
                accounts.settle(program, &grant);
                Reply::Noted
            }
            ProgramAsk::Close => match accounts.close(program) {
                Closing::Closed => Reply::Closed { fence: *fence },
                Closing::Outstanding(_) => Reply::Outstanding,
            },
        }
    }

    fn accept(&mut self, slot: &SlotId) -> Reply {
        if self.is_stopping {
            return Reply::NotOwner;
        }
        self.accepted.insert(slot.clone());
        Reply::Noted
    }

    fn take_over(&mut self, slot: &SlotId, from: &Holder, held: Held) -> Reply {
        let known = self.known.entry(slot.clone()).or_default();
        if known.moved_to.as_ref() == Some(&self.own_run) {
            // The question was repeated.
            return Reply::Noted;
        }
        if self.is_stopping || known.owner() != Some(from) {
            return Reply::NotOwner;
        }
        known.moved_to = Some(self.own_run.clone());
        self.held.insert(slot.clone(), held);
        Reply::Noted
    }

    fn moved(&mut self, slot: &SlotId, owner: &Holder, to: &Holder) -> Reply {
        let known = self.known.entry(slot.clone()).or_default();
        if known.owner() == Some(owner) {
            known.moved_to = Some(to.clone());
        }
        Reply::Noted
    }

    /// Rows by which this run becomes the owner of what it should own.
    pub fn claims(&mut self, now: Duration) -> Vec<SlotWrite> {
        self.note_missing(now);
        let wanted = SlotId::all().filter(|slot| self.is_wanted(slot, now));
        let (mut wanted, new): (Vec<SlotId>, Vec<SlotId>) =
            wanted.partition(|slot| self.known.contains_key(slot));
        if new.is_empty() {
            self.wanted_since = None;
        } else {
            let since = *self.wanted_since.get_or_insert(now);
            let is_stable = now.saturating_sub(self.hosts_changed_at) >= STABLE_FOR;
            if is_stable || now.saturating_sub(since) >= MAX_CLAIM_DELAY {
                wanted.extend(new);
            }
        }
        wanted.into_iter().map(|slot| self.claim(slot)).collect()
    }

    /// A row by which this run becomes the owner of a slot that nobody owns.
    pub fn claim_now(&self, slot: &SlotId) -> Option<SlotWrite> {
        let is_free = matches!(self.owner(slot), Owner::Nobody);
        let may_own = self.all_withhold && !self.is_stopping;
        (is_free && may_own).then(|| self.claim(slot.clone()))
    }

    fn claim(&self, slot: SlotId) -> SlotWrite {
        let known = self.known.get(&slot).cloned().unwrap_or_default();
        let owner = Some(self.own_run.clone());
        let row = match self.held.get(&slot) {
            Some(held) => held.row(owner),
            None => SlotRow {
                has_unread_closings: known.row.has_unread_closings || known.row.owner.is_some(),
                owner,
                ..known.row
            },
        };
        SlotWrite {
            slot,
            version: known.version,
            row,
        }
    }

    fn note_missing(&mut self, now: Duration) {
        let runs: Vec<&Holder> = self.hosts.iter().map(|host| &host.process).collect();
        for known in self.known.values_mut() {
            let is_missing = known.owner().is_some_and(|owner| !runs.contains(&owner));
            match is_missing {
                true => known.missing_since = Some(known.missing_since.unwrap_or(now)),
                false => known.missing_since = None,
            }
        }
    }

    /// Whether this run should write its name into a slot's row.
    fn is_wanted(&self, slot: &SlotId, now: Duration) -> bool {
        if !self.all_withhold || self.is_stopping {
            return false;
        }
        let known = self.known.get(slot);
        let row_owner = known.and_then(|known| known.row.owner.as_ref());
        if self.held.contains_key(slot) {
            // It was taken over from a run that could not write the row.
            return row_owner != Some(&self.own_run);
        }
        if row_owner.is_some() && row_owner == self.quiet_run.as_ref() {
            return true;
        }
        let missing_since = known.and_then(|known| known.missing_since);
        let is_lapsed = missing_since.is_some_and(|since| now.saturating_sub(since) >= QUARANTINE);
        let is_free = row_owner.is_none() || is_lapsed;
        is_free && self.next_owner(slot) == Some(&self.own_run)
    }

    /// The run that takes a slot that is free: the first in the partition's order
    /// that does not own the other slot.
    fn next_owner(&self, slot: &SlotId) -> Option<&Holder> {
        let hosts = high_cpu_hosts(self.hosts.clone());
        let ranked = rank_hosts(&format!("{KEY_PREFIX}{}", slot.partition), hosts.iter());
        let ranked: Vec<Holder> = ranked
            .into_iter()
            .map(|host| host.process.clone())
            .collect();
        let mut taken = Vec::new();
        for other in SlotId::of(&slot.partition) {
            let owner = self.known.get(&other).and_then(Known::owner);
            let owner = owner.filter(|owner| ranked.contains(owner));
            let is_free = |run: &&Holder| !taken.contains(*run);
            let next = match owner {
                Some(owner) if other != *slot => Some(owner.clone()),
                _ => ranked.iter().find(is_free).or(ranked.first()).cloned(),
            };
            if other == *slot {
                return self.host(&next?).map(|host| &host.process);
            }
            taken.extend(next);
        }
        None
    }

    /// Takes no slot any more, since the process stops.
    pub const fn stop_taking(&mut self) {
        self.is_stopping = true;
    }

    /// Slots that this run said it takes over, and whose new row it has not seen. Before
    /// it gives up its slots it reads these rows.
    pub fn accepted(&self) -> Vec<SlotId> {
        self.accepted.iter().cloned().collect()
    }

    /// Rows by which this run gives up its slots, with what it knows of them. They name
    /// nobody yet. It answers for the slots no more.
    pub fn release(&mut self) -> Vec<SlotWrite> {
        self.stop_taking();
        let held = std::mem::take(&mut self.held).into_iter();
        let mut released: BTreeMap<SlotId, SlotRow> =
            held.map(|(slot, held)| (slot, held.row(None))).collect();
        // Others may have named this run as their successor since it began to stop.
        for (slot, known) in &self.known {
            let is_own = known.row.owner.as_ref() == Some(&self.own_run);
            if is_own && !self.released.contains(slot) {
                let row = || SlotRow {
                    owner: None,
                    ..known.row.clone()
                };
                released.entry(slot.clone()).or_insert_with(row);
            }
        }
        self.released.extend(released.keys().cloned());
        let mut writes = Vec::new();
        for (slot, row) in released {
            let version = self.known.get(&slot).map_or(0, |known| known.version);
            // One that has no room in its row stays with a run that is gone.
            if row.encode().len() <= MAX_ROW_BYTES {
                writes.push(SlotWrite { slot, version, row });
            }
        }
        writes
    }

    /// Those of the rows by which this run gives up slots that are not written yet, under
    /// the versions that are known now.
    pub fn not_given_up(&self, writes: Vec<SlotWrite>) -> Vec<SlotWrite> {
        let renew = |mut write: SlotWrite| {
            let known = self.known.get(&write.slot)?;
            write.version = known.version;
            (known.owner() == Some(&self.own_run)).then_some(write)
        };
        writes.into_iter().filter_map(renew).collect()
    }

    /// The hosts that may take a slot over from this run, which stops, in the order in
    /// which they are asked. Those that own the partition's other slots come last.
    pub fn successors(&self, slot: &SlotId) -> Vec<PeerHost<A>> {
        let hosts = high_cpu_hosts(self.hosts.clone());
        let ranked = rank_hosts(&format!("{KEY_PREFIX}{}", slot.partition), hosts.iter());
        let others = SlotId::of(&slot.partition).filter(|other| other != slot);
        let others: Vec<&Holder> = others
            .filter_map(|other| self.known.get(&other)?.owner())
            .collect();
        let mut ranked: Vec<&PeerHost<A>> = ranked
            .into_iter()
            .filter(|host| host.process != self.own_run)
            .collect();
        // Stable: otherwise they stay in their order.
        ranked.sort_by_key(|host| others.contains(&&host.process));
        ranked.into_iter().cloned().collect()
    }

    /// Other hosts.
    pub fn peers(&self) -> impl Iterator<Item = &PeerHost<A>> {
        self.hosts
            .iter()
            .filter(|host| host.process != self.own_run)
    }
}
