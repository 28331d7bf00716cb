//! Who owns which shard, decided by rows of the table and nothing else.
//!
//! Each entry renews one row of its own, whatever the number of its shards.
//! An observer watches the renewal counters of the others on its own clock.
//! When a counter has stood still for a lease time, the observer may take the
//! silent entry's shards, in one transaction on the condition that the rows of
//! the shards *and* the renewal row are as it saw them. No clock is compared
//! between hosts.
//!
//! Safety does not rest on the lease: every durable write is conditional on
//! the row of its shard (see [`commit`](crate::commit)), and sidecars refuse
//! an epoch lower than the highest that they saw. The lease only decides how
//! soon a dead owner is replaced.
//!
//! With many entries each watches a few others (see
//! [`neighbours`]), and the shards of a silent host go to
//! those who watch it. The takeover removes the silent host's row, by which all
//! others learn of it, and so does the host itself, if it was only paused: it
//! writes a new row and starts anew. Handoffs then bring the shards to the
//! entries that should own them.
//!
//! Only time in which the table answered the observer counts. While the table
//! is away nobody can renew and nobody can take over; when it comes back all
//! watch windows start anew, so that an outage is not followed by takeovers
//! from owners that are alive.
//!
//! Which live entry should own a shard is decided by rendezvous hashing. A
//! shard whose owner is alive moves only by handoff, when its owner drains it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rosebend_state::deployment::MAX_TRANSACTION_ENTRIES;
use rosebend_state::id::{Epoch, HostId, Incarnation, Shard};

use crate::neighbours;

/// Most shards of one takeover: their rows and the silent host's row fit into
/// one transaction, where each is named twice, as a condition and as a write.
const MAX_TAKEOVER_SHARDS: usize = MAX_TRANSACTION_ENTRIES / 2 - 1;

/// How ownership keeps time.
#[derive(Clone, Copy, Debug)]
pub struct OwnershipConfig {
    /// How long a renewal counter must stand still before its host is silent.
    pub lease: Duration,
    /// Longest time between two answers of the table that counts as watched.
    pub watch_gap: Duration,
    /// Number of shards.
    pub shard_count: u32,
    /// Most shards that are drained for a handoff at once.
    pub handoffs_at_once: usize,
    /// How long the set of live entries must be stable before handoffs.
    pub settle: Duration,
    /// How long a shard stays before it is handed on. Entries may disagree for a
    /// while on who is there; without this they would pass a shard around.
    pub stay: Duration,
}

impl Default for OwnershipConfig {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(3),
            watch_gap: Duration::from_secs(2),
            shard_count: 128,
            handoffs_at_once: 16,
            settle: Duration::from_secs(2),
            stay: Duration::from_secs(6),
        }
    }
}

/// An entry as its renewal row describes it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostRow {
    /// Name of the entry's host.
    pub host: HostId,
    /// The process that renews the row.
    pub incarnation: Incarnation,
    /// Version of the row, which each renewal changes.
    pub version: u64,
    /// Where other entries reach it.
    pub peer_address: String,
    /// Whether it is stopping.
    pub leaving: bool,
}

/// The row of a shard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ShardRow {
    /// The shard.
    pub shard: Shard,
    /// Version of the row.
    pub version: u64,
    /// Name of the owner's host.
    pub owner: HostId,
    /// The owning process.
    pub incarnation: Incarnation,
    /// Counts the owners.
    pub epoch: Epoch,
}

/// What the process saw.
#[derive(Clone, Debug)]
pub enum OwnershipEvent {
    /// The table answered with all renewal rows.
    HostsRead(Vec<HostRow>),
    /// The table answered with the renewal rows of some hosts.
    HostsWatched {
        /// The hosts that were asked for.
        asked: Vec<HostId>,
        /// Those of their rows that are there.
        rows: Vec<HostRow>,
    },
    /// The table answered with all shard rows.
    ShardsRead(Vec<ShardRow>),
    /// A shard was passed on; this is its row since then, as the last owner
    /// wrote it and told its successor.
    HandedOver(ShardRow),
    /// The table did not answer.
    TableSilent,
    /// A takeover ended; `version` is the new version of all rows when it took
    /// effect. After an unknown outcome the rows are read instead.
    TakeoverEnded {
        /// The shards that it was for.
        shards: Vec<Shard>,
        /// The version of their rows, when it took effect.
        version: Option<u64>,
    },
    /// A shard being drained has nothing in flight; it was or was not passed on.
    HandoffEnded {
        /// The shard.
        shard: Shard,
        /// Whether the row names the successor.
        passed_on: bool,
    },
    /// The committer found that a shard has another owner.
    ShardLost(Shard),
    /// This process is stopping.
    Leaving,
}

/// What the process should do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OwnershipAction {
    /// Read all shard rows.
    ReadShards,
    /// Take shards in one transaction.
    TakeOver(Takeover),
    /// The shard is owned by this process; load its programs.
    Gained {
        /// The shard.
        shard: Shard,
        /// The epoch of this owner.
        epoch: Epoch,
        /// Version of the shard's row.
        version: u64,
        /// Whether the shard never had an owner, so that no program can exist.
        is_new: bool,
    },
    /// The shard is no longer owned by this process.
    Lost(Shard),
    /// Stop taking calls for the shard, then pass it to the successor.
    Drain {
        /// The shard.
        shard: Shard,
        /// The host and incarnation to pass it to.
        successor: (HostId, Incarnation),
    },
    /// The shard is not passed on after all: take calls for it again.
    Stay(Shard),
}

/// A takeover of some shards from one silent host, or of shards without owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Takeover {
    /// The renewal row that must still have its version; with none, the row of
    /// `silent_host` must be absent.
    pub silent_host: Option<(HostId, Option<u64>)>,
    /// Shards, the version each row must have (none: absent), the new epoch.
    pub shards: Vec<(Shard, Option<u64>, Epoch)>,
}

#[derive(Clone, Debug)]
struct WatchedHost {
    row: HostRow,
    /// Time watched, with the table answering, since the version changed.
    still_for: Duration,
    /// When the row was read last; none since the table was silent.
    seen_at: Option<Duration>,
}

/// Ownership as one entry sees it.
#[derive(Debug)]
pub struct Ownership {
    config: OwnershipConfig,
    host: HostId,
    incarnation: Incarnation,
    hosts: BTreeMap<HostId, WatchedHost>,
    shards: BTreeMap<Shard, ShardRow>,
    shards_known: bool,
    /// Shards that this process owns.
    owned: BTreeMap<Shard, Epoch>,
    /// Until when shards that were handed to this process, or could not be
    /// handed on, stay.
    stays_until: BTreeMap<Shard, Duration>,
    /// Shards being drained for a handoff.
    draining: BTreeSet<Shard>,
    taking_over: bool,
    /// A takeover met a newer row; the rows of hosts must be read before the
    /// next one, or it would meet the same row again and again.
    takeover_failed: bool,
    members: BTreeSet<HostId>,
    members_since: Duration,
    leaving: bool,
}

impl Ownership {
    /// Ownership as the process `incarnation` on `host` sees it, before it has
    /// read anything.
    pub fn new(config: OwnershipConfig, host: HostId, incarnation: Incarnation) -> Self {
        Self {
            config,
            host,
            incarnation,
            hosts: BTreeMap::new(),
            shards: BTreeMap::new(),
            shards_known: false,
            owned: BTreeMap::new(),
            stays_until: BTreeMap::new(),
            draining: BTreeSet::new(),
            taking_over: false,
            takeover_failed: false,
            members: BTreeSet::new(),
            members_since: Duration::ZERO,
            leaving: false,
        }
    }

    /// Takes an event at `now` and tells what follows.
    pub fn step(&mut self, now: Duration, event: OwnershipEvent) -> Vec<OwnershipAction> {
        match event {
            OwnershipEvent::HostsRead(rows) => self.hosts_read(now, rows),
            OwnershipEvent::HostsWatched { asked, rows } => self.hosts_watched(now, &asked, rows),
            OwnershipEvent::ShardsRead(rows) => self.shards_read(now, rows),
            OwnershipEvent::HandedOver(row) => {
                self.note_row(row);
                self.reconcile_owned(now)
            }
            OwnershipEvent::TableSilent => {
                for watched in self.hosts.values_mut() {
                    watched.seen_at = None;
                }
                self.stay()
            }
            OwnershipEvent::TakeoverEnded { shards, version } => {
                self.takeover_ended(now, &shards, version)
            }
            OwnershipEvent::HandoffEnded { shard, passed_on } => {
                self.handoff_ended(now, shard, passed_on)
            }
            OwnershipEvent::ShardLost(shard) => {
                let mut actions = self.lose(shard);
                actions.push(OwnershipAction::ReadShards);
                actions
            }
            OwnershipEvent::Leaving => {
                self.leaving = true;
                self.decide(now)
            }
        }
    }

    /// Where the owner of a shard is reached, as far as this process knows.
    /// The guess may be old; the receiver corrects it.
    pub fn owner_address(&self, shard: Shard) -> Option<&str> {
        let row = self.shards.get(&shard)?;
        Some(self.hosts.get(&row.owner)?.row.peer_address.as_str())
    }

    /// Whether this process owns a shard.
    pub fn owns(&self, shard: Shard) -> bool {
        self.owned.contains_key(&shard)
    }

    /// The shards that this process owns.
    pub fn owned(&self) -> impl Iterator<Item = Shard> + '_ {
        self.owned.keys().copied()
    }

    /// The other entries that are neither silent nor replaced.
    pub fn live_peers(&self) -> impl Iterator<Item = &HostRow> {
        let peers = self.hosts.values().filter(|watched| self.is_live(watched));
        peers
            .map(|watched| &watched.row)
            .filter(|row| row.host != self.host)
    }

    /// Whether every shard has a live owner, as far as this process knows.
    pub fn is_settled(&self) -> bool {
        self.knows_all_shards() && self.shards.values().all(|row| !self.is_orphan(row))
    }

    fn knows_all_shards(&self) -> bool {
        u32::try_from(self.shards.len()) == Ok(self.config.shard_count)
    }

    fn hosts_read(&mut self, now: Duration, rows: Vec<HostRow>) -> Vec<OwnershipAction> {
        let hosts = rows
            .into_iter()
            .map(|row| (row.host.clone(), self.watched(now, row)))
            .collect();
        self.take_hosts(now, hosts)
    }

    fn hosts_watched(
        &mut self,
        now: Duration,
        asked: &[HostId],
        rows: Vec<HostRow>,
    ) -> Vec<OwnershipAction> {
        let mut hosts = self.hosts.clone();
        for host in asked {
            hosts.remove(host);
        }
        for row in rows {
            hosts.insert(row.host.clone(), self.watched(now, row));
        }
        self.take_hosts(now, hosts)
    }

    /// Adds the time since a row was last read to the time for which it has
    /// stood still, if that time counts as watched.
    fn watched(&self, now: Duration, row: HostRow) -> WatchedHost {
        let known = self.hosts.get(&row.host);
        let same = known.filter(|known| known.row.version == row.version);
        let still_for = same.map_or(Duration::ZERO, |known| {
            let gap = known.seen_at.map(|seen_at| now.saturating_sub(seen_at));
            let gap = gap.filter(|gap| *gap <= self.config.watch_gap);
            gap.map_or(Duration::ZERO, |gap| known.still_for + gap)
        });
        WatchedHost {
            row,
            still_for,
            seen_at: Some(now),
        }
    }

    fn take_hosts(
        &mut self,
        now: Duration,
        hosts: BTreeMap<HostId, WatchedHost>,
    ) -> Vec<OwnershipAction> {
        let joined_or_left = !hosts.keys().eq(self.hosts.keys());
        self.hosts = hosts;
        self.takeover_failed = false;
        self.note_members(now);
        // A shard without a row here may have been taken by another since the
        // rows were read.
        let settled = self.is_settled();
        let mut actions = self.decide(now);
        if !self.shards_known || joined_or_left || !settled {
            actions.push(OwnershipAction::ReadShards);
        }
        actions
    }

    /// The hosts whose rows are to be read with each renewal: all when there
    /// are few, and a bounded number of neighbours otherwise.
    pub fn watched_hosts(&self) -> Vec<HostId> {
        let watched = neighbours::watched_entries(&self.host, self.hosts.keys());
        watched.into_iter().cloned().collect()
    }

    /// Number of entries known, this one included.
    pub fn entry_count(&self) -> usize {
        self.hosts.len().max(1)
    }

    /// Takes the lease that follows from the number of entries.
    pub fn set_lease(&mut self, lease: Duration) {
        self.config.lease = lease;
        self.config.watch_gap = self.config.watch_gap.max(lease / 2);
    }

    fn note_members(&mut self, now: Duration) {
        let members = self.candidates().cloned().collect();
        if members != self.members {
            self.members = members;
            self.members_since = now;
        }
    }

    fn shards_read(&mut self, now: Duration, rows: Vec<ShardRow>) -> Vec<OwnershipAction> {
        self.shards_known = true;
        for row in rows {
            self.note_row(row);
        }
        let mut actions = self.reconcile_owned(now);
        actions.extend(self.decide(now));
        actions
    }

    /// Keeps the newer of two views of a row: an answer that was under way when
    /// this process took the shard must not make it lose the shard again.
    fn note_row(&mut self, row: ShardRow) {
        let is_newer = self
            .shards
            .get(&row.shard)
            .is_none_or(|known| known.version <= row.version);
        if is_newer {
            self.shards.insert(row.shard, row);
        }
    }

    /// Shards passed to this process are gained; those that others have are
    /// lost. A shard that came back under a new epoch is both: what is in
    /// memory of it is from before another owner's time.
    fn reconcile_owned(&mut self, now: Duration) -> Vec<OwnershipAction> {
        let mine: BTreeMap<Shard, ShardRow> = self
            .shards
            .values()
            .filter(|row| self.is_mine(row))
            .map(|row| (row.shard, row.clone()))
            .collect();
        let is_current =
            |shard: &Shard, epoch: &Epoch| mine.get(shard).is_some_and(|row| row.epoch == *epoch);
        let lost: Vec<Shard> = self
            .owned
            .iter()
            .filter(|(shard, epoch)| !is_current(shard, epoch))
            .map(|(shard, _)| *shard)
            .collect();
        let mut actions = Vec::new();
        for shard in lost {
            actions.extend(self.lose(shard));
        }
        for (shard, row) in mine {
            if self.owned.insert(shard, row.epoch).is_none() {
                self.stays_until.insert(shard, now + self.config.stay);
                actions.push(OwnershipAction::Gained {
                    shard,
                    epoch: row.epoch,
                    version: row.version,
                    is_new: false,
                });
            }
        }
        actions
    }

    fn is_mine(&self, row: &ShardRow) -> bool {
        row.owner == self.host && row.incarnation == self.incarnation
    }

    fn lose(&mut self, shard: Shard) -> Vec<OwnershipAction> {
        self.draining.remove(&shard);
        self.stays_until.remove(&shard);
        if self.owned.remove(&shard).is_some() {
            vec![OwnershipAction::Lost(shard)]
        } else {
            Vec::new()
        }
    }

    fn is_live(&self, watched: &WatchedHost) -> bool {
        watched.row.host == self.host || watched.still_for < self.config.lease
    }

    /// Whether nobody serves a shard: its host is silent, gone, or runs another
    /// process now.
    fn is_orphan(&self, row: &ShardRow) -> bool {
        match self.hosts.get(&row.owner) {
            None => true,
            Some(watched) => row.incarnation != watched.row.incarnation || !self.is_live(watched),
        }
    }

    /// Entries that may be given shards.
    fn candidates(&self) -> impl Iterator<Item = &HostId> {
        let live = self.hosts.values().filter(|watched| self.is_live(watched));
        live.filter(|watched| !self.is_leaving(&watched.row))
            .map(|watched| &watched.row.host)
    }

    fn is_leaving(&self, row: &HostRow) -> bool {
        row.leaving || (self.leaving && row.host == self.host)
    }

    fn preferred(&self, shard: Shard) -> Option<&HostId> {
        Self::first_choice(self.candidates(), shard)
    }

    fn first_choice<'a>(
        hosts: impl Iterator<Item = &'a HostId>,
        shard: Shard,
    ) -> Option<&'a HostId> {
        hosts.max_by_key(|host| rosebend_util::hash_parts(&[host.as_bytes(), &shard.to_le_bytes()]))
    }

    fn decide(&mut self, now: Duration) -> Vec<OwnershipAction> {
        if !self.shards_known || !self.hosts.contains_key(&self.host) {
            return Vec::new();
        }
        let mut actions = Vec::new();
        if !self.taking_over && !self.takeover_failed && !self.leaving {
            actions.extend(self.takeover().map(OwnershipAction::TakeOver));
            self.taking_over = !actions.is_empty();
        }
        actions.extend(self.handoffs(now));
        actions
    }

    /// Whether this process is the one to take an orphan: those who watch its
    /// host know first that it is silent, gone or replaced, and the new process
    /// of a replaced host knows it of itself. Others may learn of it much later.
    fn is_heir(&self, row: &ShardRow) -> bool {
        let watchers = neighbours::watchers_of(&row.owner, self.hosts.keys());
        let heirs = self
            .candidates()
            .filter(|host| watchers.contains(host) || **host == row.owner);
        let heir = Self::first_choice(heirs, row.shard);
        heir.or_else(|| self.preferred(row.shard)) == Some(&self.host)
    }

    /// One takeover: of shards without a row, or of one silent host's shards.
    fn takeover(&self) -> Option<Takeover> {
        let wanted = |shard: &Shard| self.preferred(*shard) == Some(&self.host);
        let new: Vec<_> = (0..self.config.shard_count)
            .filter(|shard| !self.shards.contains_key(shard))
            .filter(wanted)
            .take(MAX_TAKEOVER_SHARDS)
            .map(|shard| (shard, None, 1))
            .collect();
        if !new.is_empty() {
            return Some(Takeover {
                silent_host: None,
                shards: new,
            });
        }
        let orphan = |row: &&ShardRow| self.is_orphan(row) && self.is_heir(row);
        let silent = self.shards.values().find(orphan)?.owner.clone();
        let shards = self
            .shards
            .values()
            .filter(orphan)
            .filter(|row| row.owner == silent)
            .take(MAX_TAKEOVER_SHARDS)
            .map(|row| (row.shard, Some(row.version), row.epoch + 1))
            .collect();
        let version = self.hosts.get(&silent).map(|watched| watched.row.version);
        // A process that replaced its own predecessor renews this very row, so
        // it cannot be a condition; the incarnation in the shard rows is one.
        let silent_host = (silent != self.host).then_some((silent, version));
        Some(Takeover {
            silent_host,
            shards,
        })
    }

    fn takeover_ended(
        &mut self,
        now: Duration,
        shards: &[Shard],
        version: Option<u64>,
    ) -> Vec<OwnershipAction> {
        self.taking_over = false;
        let Some(version) = version else {
            self.takeover_failed = true;
            return vec![OwnershipAction::ReadShards];
        };
        let mut actions = Vec::new();
        for &shard in shards {
            if self.owned.contains_key(&shard) {
                continue;
            }
            let before = self.shards.get(&shard).map(|row| row.epoch);
            let epoch = before.map_or(1, |epoch| epoch + 1);
            let row = ShardRow {
                shard,
                version,
                owner: self.host.clone(),
                incarnation: self.incarnation.clone(),
                epoch,
            };
            self.shards.insert(shard, row);
            self.owned.insert(shard, epoch);
            let is_new = before.is_none();
            actions.push(OwnershipAction::Gained {
                shard,
                epoch,
                version,
                is_new,
            });
        }
        actions.extend(self.decide(now));
        actions
    }

    /// Drains shards that another live entry should own, a few at a time, once
    /// the set of entries has been stable for a while; at once when leaving.
    fn handoffs(&mut self, now: Duration) -> Vec<OwnershipAction> {
        let stable = now.saturating_sub(self.members_since) >= self.config.settle;
        if !self.leaving && !stable {
            return Vec::new();
        }
        let limit = if self.leaving {
            usize::MAX
        } else {
            self.config.handoffs_at_once
        };
        let room = limit.saturating_sub(self.draining.len());
        let moves: Vec<(Shard, (HostId, Incarnation))> = self
            .owned
            .keys()
            .filter(|shard| !self.draining.contains(shard))
            .filter(|shard| self.leaving || !self.stays(now, **shard))
            .filter_map(|shard| Some((*shard, self.successor(*shard)?)))
            .take(room)
            .collect();
        let mut actions = Vec::new();
        for (shard, successor) in moves {
            self.draining.insert(shard);
            actions.push(OwnershipAction::Drain { shard, successor });
        }
        actions
    }

    fn stays(&self, now: Duration, shard: Shard) -> bool {
        self.stays_until
            .get(&shard)
            .is_some_and(|until| now < *until)
    }

    fn successor(&self, shard: Shard) -> Option<(HostId, Incarnation)> {
        let host = self.preferred(shard)?;
        if *host == self.host {
            return None;
        }
        let incarnation = self.hosts.get(host)?.row.incarnation.clone();
        Some((host.clone(), incarnation))
    }

    fn handoff_ended(
        &mut self,
        now: Duration,
        shard: Shard,
        passed_on: bool,
    ) -> Vec<OwnershipAction> {
        self.draining.remove(&shard);
        if passed_on {
            let mut actions = self.lose(shard);
            actions.push(OwnershipAction::ReadShards);
            return actions;
        }
        self.stays_until.insert(shard, now + self.config.stay);
        vec![OwnershipAction::Stay(shard)]
    }

    /// Gives up the handoffs that are under way: without the table they cannot
    /// end, and meanwhile nobody would serve the shards. A handoff whose answer
    /// was lost may have taken effect; then the next write or read tells.
    fn stay(&mut self) -> Vec<OwnershipAction> {
        if self.leaving {
            return Vec::new();
        }
        let draining = std::mem::take(&mut self.draining);
        draining.into_iter().map(OwnershipAction::Stay).collect()
    }
}
