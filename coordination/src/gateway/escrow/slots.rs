//! Ownership of slots by gateway processes.
//!
//! A row in the store names the owner of each slot. A process becomes the owner of an
//! unowned slot by a conditional write of the row, under the row version that it has
//! read. A process that stops writes the name of a successor and its accounts into the
//! row; while the store is unavailable, it sends the accounts to the successor instead.
//! Before that, the successor must confirm that it keeps running, because the table of
//! hosts may still list a host that has stopped. If no host confirms,
//! the row names no owner, and any process may claim the slot.
//!
//! When an owner dies, its accounts are lost. If it died during a hold-off, the next
//! process on its host takes over its slots. Otherwise its slots stay without a live
//! owner for [`QUARANTINE`], and ledgers keep withholding tokens for its grants. In
//! both cases the new owner writes the slot's fence and reads from the ledgers which
//! programs are closed before it answers requests for the slot.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rosebend_state::deployment::{ProgramKey, RowVersion};

use super::accounts::{Accounts, CloseOutcome};
use super::hold_off::{DEMAND_WINDOW, Epoch, HOLD_OFF, HoldOffRow};
use super::message::{Ask, ProgramAsk, Reply};
use super::slot::{KEY_PREFIX, SlotId, SlotRow, SlotWrite};
use crate::gateway::batchers::{PeerHost, high_cpu_hosts, rank_hosts};
use crate::gateway::ledger::ProcessId;

/// Time for which a slot remains assigned to an owner that is absent.
pub const QUARANTINE: Duration = Duration::from_secs(300);
/// Time for which the table of hosts must be unchanged before a slot that never had an
/// owner is claimed. It lets hosts that start at the same time divide the slots between
/// them.
const STABLE_FOR: Duration = Duration::from_millis(1_500);
/// Maximum delay of a claim if the table of hosts keeps changing.
const MAX_CLAIM_DELAY: Duration = Duration::from_secs(4);
/// Maximum size of a slot's row, in bytes.
const MAX_ROW_BYTES: usize = 40_000;

/// Owner of a slot, as known to this process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Owner<A> {
    /// This process owns the slot.
    Local,
    /// Another process owns the slot; it is listed with this address.
    Remote(ProcessId, A),
    /// The owner is not in the table of hosts.
    Absent,
    /// The slot has no owner, and no grants were lost.
    Unowned,
}

/// State of a slot that this process owns and answers requests for.
#[derive(Clone, Debug)]
struct HeldSlot {
    accounts: Accounts,
    fence: RowVersion,
}

/// Latest known row of a slot, and the state of its owner.
#[derive(Clone, Debug, Default)]
struct ObservedSlot {
    version: RowVersion,
    row: SlotRow,
    /// Time since which the owner has been absent from the table of hosts.
    missing_since: Option<Duration>,
    /// Process that took over the slot from the owner that the row names.
    moved_to: Option<ProcessId>,
}

impl ObservedSlot {
    fn owner(&self) -> Option<&ProcessId> {
        self.moved_to.as_ref().or(self.row.owner.as_ref())
    }
}

impl HeldSlot {
    /// Returns the slot's row with the given owner.
    fn row(&self, owner: Option<ProcessId>) -> SlotRow {
        SlotRow {
            owner,
            accounts: self.accounts.clone(),
            fence: self.fence,
            has_unread_closings: false,
        }
    }
}

/// State of all slots, as known to one gateway process.
#[derive(Debug)]
pub struct Slots<A> {
    own_process: ProcessId,
    hosts: Vec<PeerHost<A>>,
    hosts_changed_at: Duration,
    /// Whether all hosts withhold tokens for grants in their ledgers. No slot is
    /// claimed before this is the case.
    all_withhold: bool,
    observed: BTreeMap<SlotId, ObservedSlot>,
    /// Time since which at least one slot that this process should own has had no row;
    /// `None` if there is no such slot.
    unclaimed_since: Option<Duration>,
    held: BTreeMap<SlotId, HeldSlot>,
    /// Previous process on this host, if it died during its hold-off.
    clean_predecessor: Option<ProcessId>,
    /// End of this process's hold-off; the process makes no grants until then.
    held_off_until: Duration,
    /// Time of the last request for a grant.
    last_demand_at: Option<Duration>,
    /// Epoch of this process's hold-off.
    epoch: Epoch,
    /// Slots that this process owned when it began to stop. It never answers requests
    /// for them again, because other processes may own them by now.
    released: BTreeSet<SlotId>,
    /// Slots that this process has agreed to take over and for which it has not read a
    /// row with a new owner.
    accepted: BTreeSet<SlotId>,
    is_stopping: bool,
}

impl<A: Clone> Slots<A> {
    /// Creates a state without any hosts or rows.
    pub const fn new(own_process: ProcessId) -> Self {
        Self {
            own_process,
            hosts: Vec::new(),
            hosts_changed_at: Duration::ZERO,
            all_withhold: false,
            observed: BTreeMap::new(),
            unclaimed_since: None,
            held: BTreeMap::new(),
            clean_predecessor: None,
            held_off_until: Duration::ZERO,
            last_demand_at: None,
            epoch: 0,
            released: BTreeSet::new(),
            accepted: BTreeSet::new(),
            is_stopping: false,
        }
    }

    /// Replaces the list of hosts, which includes this one.
    pub fn set_hosts(&mut self, hosts: Vec<PeerHost<A>>, all_withhold: bool, now: Duration) {
        let processes = |hosts: &[PeerHost<A>]| -> Vec<ProcessId> {
            hosts.iter().map(|host| host.process.clone()).collect()
        };
        if processes(&hosts) != processes(&self.hosts) {
            self.hosts_changed_at = now;
        }
        self.hosts = hosts;
        self.all_withhold = all_withhold;
    }

    /// Records a slot's row that was read from or written to the store. A row older than
    /// the recorded one is ignored.
    pub fn observe_row(&mut self, slot: SlotId, version: RowVersion, row: SlotRow) {
        let observed = self.observed.entry(slot.clone()).or_default();
        if version < observed.version {
            return;
        }
        let has_new_owner = observed.row.owner != row.owner;
        observed.version = version;
        observed.row = row;
        if has_new_owner {
            observed.missing_since = None;
            observed.moved_to = None;
            self.accepted.remove(&slot);
        }
        let is_own = observed.row.owner.as_ref() == Some(&self.own_process);
        let is_complete = is_own && !observed.row.has_unread_closings;
        if is_complete && has_new_owner && !self.is_stopping && !self.held.contains_key(&slot) {
            let held = HeldSlot {
                accounts: observed.row.accounts.clone(),
                fence: observed.row.fence,
            };
            self.held.insert(slot, held);
        }
    }

    /// Returns the owner of a slot.
    pub fn owner(&self, slot: &SlotId) -> Owner<A> {
        if self.held.contains_key(slot) {
            return Owner::Local;
        }
        let owner = self.observed.get(slot).and_then(ObservedSlot::owner);
        match owner {
            None => Owner::Unowned,
            Some(process) => match self.host(process) {
                Some(host) if *process != self.own_process => {
                    Owner::Remote(process.clone(), host.address.clone())
                }
                _ => Owner::Absent,
            },
        }
    }

    fn host(&self, process: &ProcessId) -> Option<&PeerHost<A>> {
        self.hosts.iter().find(|host| host.process == *process)
    }

    /// Returns the number of slots whose owner is in the table of hosts.
    pub fn live_owner_count(&self) -> usize {
        let owners = SlotId::all().map(|slot| self.owner(&slot));
        let owned = owners.filter(|owner| matches!(owner, Owner::Local | Owner::Remote(..)));
        owned.count()
    }

    /// Returns the slots that this process answers requests for, with their accounts.
    pub fn held(&self) -> impl Iterator<Item = (&SlotId, &Accounts)> {
        self.held.iter().map(|(slot, held)| (slot, &held.accounts))
    }

    /// Returns the slots that this process owns but does not answer requests for yet,
    /// because it has not read which programs are closed.
    pub fn incomplete(&self) -> Vec<SlotId> {
        let is_incomplete = |slot: &SlotId, observed: &ObservedSlot| {
            let is_own = observed.row.owner.as_ref() == Some(&self.own_process);
            is_own && observed.row.has_unread_closings && !self.held.contains_key(slot)
        };
        let observed = self.observed.iter();
        let incomplete = observed.filter(|(slot, observed)| is_incomplete(slot, observed));
        match self.is_stopping {
            true => Vec::new(),
            false => incomplete.map(|(slot, _)| slot.clone()).collect(),
        }
    }

    /// Completes a slot, so that this process answers requests for it. `fence` is
    /// the version of the slot's fence. `closed` lists the programs whose ledgers
    /// counted the slot as closed when the fence already had this version.
    pub fn complete(&mut self, slot: &SlotId, fence: RowVersion, closed: &[ProgramKey]) {
        if !self.incomplete().contains(slot) {
            return;
        }
        let mut accounts = self.observed[slot].row.accounts.clone();
        for program in closed {
            accounts.close(program);
        }
        self.held.insert(slot.clone(), HeldSlot { accounts, fence });
    }

    /// Sets the previous process on this host, if it died during its hold-off.
    pub fn set_clean_predecessor(&mut self, process: Option<ProcessId>) {
        self.clean_predecessor = process;
    }

    /// Returns the writes by which this process takes over the slots of the previous
    /// process on its host that died during its hold-off.
    pub fn inheritance_claims(&self) -> Vec<SlotWrite> {
        let observed = self.observed.iter();
        let inherited = observed.filter(|(slot, observed)| {
            let is_predecessor_owned =
                observed.row.owner.is_some() && observed.row.owner == self.clean_predecessor;
            is_predecessor_owned && !self.held.contains_key(slot)
        });
        match self.is_stopping {
            true => Vec::new(),
            false => inherited
                .map(|(slot, _)| self.claim(slot.clone()))
                .collect(),
        }
    }

    /// Returns whether this process owns any slot.
    pub fn is_owner(&self) -> bool {
        !self.held.is_empty() || !self.incomplete().is_empty()
    }

    /// Starts or renews the hold-off and returns the row that announces it. Returns
    /// `None` if grants are outstanding or a grant was requested recently. `store_now`
    /// is a lower bound of the store's clock. A process that is stopping keeps renewing
    /// its hold-off until it has released its slots, because it may be killed before
    /// that.
    pub fn renew_hold_off(&mut self, now: Duration, store_now: Duration) -> Option<HoldOffRow> {
        let mut accounts = self.held.values().map(|held| &held.accounts);
        let is_recent = |at: Duration| now.saturating_sub(at) < DEMAND_WINDOW;
        if self.last_demand_at.is_some_and(is_recent) || accounts.any(Accounts::has_grants) {
            return None;
        }
        self.held_off_until = now + HOLD_OFF;
        Some(HoldOffRow::new(
            self.own_process.clone(),
            self.epoch,
            store_now,
        ))
    }

    /// Returns the epoch that this process should end, because a grant was requested
    /// during its hold-off.
    pub fn epoch_to_end(&self, now: Duration) -> Option<Epoch> {
        let is_held_off = !self.hold_off_remaining(now).is_zero();
        let is_recent = |at: Duration| now.saturating_sub(at) < DEMAND_WINDOW;
        (is_held_off && self.last_demand_at.is_some_and(is_recent)).then_some(self.epoch)
    }

    /// Ends the hold-off after the end marker of its epoch has become durable.
    pub fn end_epoch(&mut self, epoch: Epoch) {
        if epoch == self.epoch {
            self.epoch += 1;
            self.held_off_until = Duration::ZERO;
        }
    }

    /// Returns the time until this process's hold-off ends.
    pub fn hold_off_remaining(&self, now: Duration) -> Duration {
        self.held_off_until.saturating_sub(now)
    }

    /// Handles a request about a slot and returns the reply.
    pub fn answer(&mut self, slot: &SlotId, from: &ProcessId, ask: Ask, now: Duration) -> Reply {
        match ask {
            Ask::Accept => self.accept(slot),
            Ask::TakeOver { accounts, fence } => {
                self.take_over(slot, from, HeldSlot { accounts, fence })
            }
            Ask::Moved(owner) => self.record_move(slot, &owner, from),
            Ask::Program(program, ask) => self.answer_program(slot, &program, ask, now),
        }
    }

    fn answer_program(
        &mut self,
        slot: &SlotId,
        program: &str,
        ask: ProgramAsk,
        now: Duration,
    ) -> Reply {
        let wait_ms = self.hold_off_remaining(now);
        let Some(HeldSlot { accounts, fence }) = self.held.get_mut(slot) else {
            return Reply::NotOwner;
        };
        if matches!(ask, ProgramAsk::Grant(_)) {
            self.last_demand_at = Some(now);
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
                CloseOutcome::Closed => Reply::Closed { fence: *fence },
                CloseOutcome::Outstanding(_) => Reply::Outstanding,
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

    fn take_over(&mut self, slot: &SlotId, from: &ProcessId, held: HeldSlot) -> Reply {
        let observed = self.observed.entry(slot.clone()).or_default();
        if observed.moved_to.as_ref() == Some(&self.own_process) {
            // The request was repeated.
            return Reply::Noted;
        }
        if self.is_stopping || observed.owner() != Some(from) {
            return Reply::NotOwner;
        }
        observed.moved_to = Some(self.own_process.clone());
        self.held.insert(slot.clone(), held);
        Reply::Noted
    }

    fn record_move(&mut self, slot: &SlotId, owner: &ProcessId, to: &ProcessId) -> Reply {
        let observed = self.observed.entry(slot.clone()).or_default();
        if observed.owner() == Some(owner) {
            observed.moved_to = Some(to.clone());
        }
        Reply::Noted
    }

    /// Returns the writes by which this process becomes the owner of the slots that it
    /// should own.
    pub fn claims(&mut self, now: Duration) -> Vec<SlotWrite> {
        self.update_missing(now);
        let claimable = SlotId::all().filter(|slot| self.should_claim(slot, now));
        let (mut claimable, without_row): (Vec<SlotId>, Vec<SlotId>) =
            claimable.partition(|slot| self.observed.contains_key(slot));
        if without_row.is_empty() {
            self.unclaimed_since = None;
        } else {
            let since = *self.unclaimed_since.get_or_insert(now);
            let is_stable = now.saturating_sub(self.hosts_changed_at) >= STABLE_FOR;
            if is_stable || now.saturating_sub(since) >= MAX_CLAIM_DELAY {
                claimable.extend(without_row);
            }
        }
        claimable.into_iter().map(|slot| self.claim(slot)).collect()
    }

    /// Returns the write by which this process becomes the owner of an unowned slot.
    pub fn claim_if_unowned(&self, slot: &SlotId) -> Option<SlotWrite> {
        let is_free = matches!(self.owner(slot), Owner::Unowned);
        let may_own = self.all_withhold && !self.is_stopping;
        (is_free && may_own).then(|| self.claim(slot.clone()))
    }

    fn claim(&self, slot: SlotId) -> SlotWrite {
        let observed = self.observed.get(&slot).cloned().unwrap_or_default();
        let owner = Some(self.own_process.clone());
        let row = match self.held.get(&slot) {
            Some(held) => held.row(owner),
            None => SlotRow {
                has_unread_closings: observed.row.has_unread_closings
                    || observed.row.owner.is_some(),
                owner,
                ..observed.row
            },
        };
        SlotWrite {
            slot,
            version: observed.version,
            row,
        }
    }

    fn update_missing(&mut self, now: Duration) {
        let processes: Vec<&ProcessId> = self.hosts.iter().map(|host| &host.process).collect();
        for observed in self.observed.values_mut() {
            let is_missing = observed
                .owner()
                .is_some_and(|owner| !processes.contains(&owner));
            match is_missing {
                true => observed.missing_since = Some(observed.missing_since.unwrap_or(now)),
                false => observed.missing_since = None,
            }
        }
    }

    /// Returns whether this process should write its name into a slot's row.
    fn should_claim(&self, slot: &SlotId, now: Duration) -> bool {
        if !self.all_withhold || self.is_stopping {
            return false;
        }
        let observed = self.observed.get(slot);
        let row_owner = observed.and_then(|observed| observed.row.owner.as_ref());
        if self.held.contains_key(slot) {
            // The slot was taken over from a process that could not write the row.
            return row_owner != Some(&self.own_process);
        }
        if row_owner.is_some() && row_owner == self.clean_predecessor.as_ref() {
            return true;
        }
        let missing_since = observed.and_then(|observed| observed.missing_since);
        let is_quarantine_over =
            missing_since.is_some_and(|since| now.saturating_sub(since) >= QUARANTINE);
        let is_free = row_owner.is_none() || is_quarantine_over;
        is_free && self.preferred_owner(slot) == Some(&self.own_process)
    }

    /// Returns the process that should claim an unowned slot: the first one in the
    /// partition's rendezvous order that does not own the partition's other slot.
    fn preferred_owner(&self, slot: &SlotId) -> Option<&ProcessId> {
        let hosts = high_cpu_hosts(self.hosts.clone());
        let ranked = rank_hosts(&format!("{KEY_PREFIX}{}", slot.partition), hosts.iter());
        let ranked: Vec<ProcessId> = ranked
            .into_iter()
            .map(|host| host.process.clone())
            .collect();
        let mut taken = Vec::new();
        for partition_slot in SlotId::of_partition(&slot.partition) {
            let owner = self
                .observed
                .get(&partition_slot)
                .and_then(ObservedSlot::owner);
            let owner = owner.filter(|owner| ranked.contains(owner));
            let is_free = |process: &&ProcessId| !taken.contains(*process);
            let slot_owner = match owner {
                Some(owner) if partition_slot != *slot => Some(owner.clone()),
                _ => ranked.iter().find(is_free).or(ranked.first()).cloned(),
            };
            if partition_slot == *slot {
                return self.host(&slot_owner?).map(|host| &host.process);
            }
            taken.extend(slot_owner);
        }
        None
    }

    /// Marks this process as stopping, after which it neither claims nor accepts slots.
    pub const fn stop_acquiring(&mut self) {
        self.is_stopping = true;
    }

    /// Returns the slots that this process has agreed to take over and whose new row it
    /// has not read. The process reads these rows before it releases its slots.
    pub fn accepted(&self) -> Vec<SlotId> {
        self.accepted.iter().cloned().collect()
    }

    /// Releases all slots of this process and returns the writes that store their
    /// accounts. The rows do not name a successor yet. The process no longer answers
    /// requests for the slots.
    pub fn release(&mut self) -> Vec<SlotWrite> {
        self.stop_acquiring();
        let held = std::mem::take(&mut self.held).into_iter();
        let mut released: BTreeMap<SlotId, SlotRow> =
            held.map(|(slot, held)| (slot, held.row(None))).collect();
        // Other processes may have named this one as their successor since it began to
        // stop.
        for (slot, observed) in &self.observed {
            let is_own = observed.row.owner.as_ref() == Some(&self.own_process);
            if is_own && !self.released.contains(slot) {
                let row = || SlotRow {
                    owner: None,
                    ..observed.row.clone()
                };
                released.entry(slot.clone()).or_insert_with(row);
            }
        }
        self.released.extend(released.keys().cloned());
        let mut writes = Vec::new();
        for (slot, row) in released {
            let version = self
                .observed
                .get(&slot)
                .map_or(0, |observed| observed.version);
            // A slot whose row would be too large remains assigned to this process
            // after it has stopped.
            if row.encode().len() <= MAX_ROW_BYTES {
                writes.push(SlotWrite { slot, version, row });
            }
        }
        writes
    }

    /// Returns those of the given release writes that have not been applied, with the
    /// row versions that are known now.
    pub fn unwritten_releases(&self, writes: Vec<SlotWrite>) -> Vec<SlotWrite> {
        let renew = |mut write: SlotWrite| {
            let observed = self.observed.get(&write.slot)?;
            write.version = observed.version;
            (observed.owner() == Some(&self.own_process)).then_some(write)
        };
        writes.into_iter().filter_map(renew).collect()
    }

    /// Returns the hosts that may take over a slot from this process, which is
    /// stopping, in the order in which they are asked. Hosts that own other slots of
    /// the partition come last.
    pub fn successors(&self, slot: &SlotId) -> Vec<PeerHost<A>> {
        let hosts = high_cpu_hosts(self.hosts.clone());
        let ranked = rank_hosts(&format!("{KEY_PREFIX}{}", slot.partition), hosts.iter());
        let others = SlotId::of_partition(&slot.partition).filter(|other| other != slot);
        let others: Vec<&ProcessId> = others
            .filter_map(|other| self.observed.get(&other)?.owner())
            .collect();
        let mut ranked: Vec<&PeerHost<A>> = ranked
            .into_iter()
            .filter(|host| host.process != self.own_process)
            .collect();
        // The sort is stable, so that hosts otherwise keep their rendezvous order.
        ranked.sort_by_key(|host| others.contains(&&host.process));
        ranked.into_iter().cloned().collect()
    }

    /// Returns all hosts but this one.
    pub fn peers(&self) -> impl Iterator<Item = &PeerHost<A>> {
        self.hosts
            .iter()
            .filter(|host| host.process != self.own_process)
    }
}
