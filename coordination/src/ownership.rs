//! Ownership of shards, determined only by rows of the table.
//!
//! Each entry renews a single row, regardless of the number of its shards. Other
//! entries observe its renewal counter on their own clocks. When the counter has
//! not changed for the duration of a lease, an observer may take over the shards
//! of the expired host in one transaction. The transaction is conditional on
//! the rows of the shards *and* the renewal row being as the observer read them.
//! Clocks of different hosts are never compared.
//!
//! Safety does not depend on the lease: every durable write is conditional on
//! the row of its shard (see [`commit`](crate::commit)), and sidecars refuse
//! an epoch lower than the highest that they received. The lease only
//! determines how soon a dead owner is replaced.
//!
//! In a large cluster each entry watches only a few others (see
//! [`neighbours`]), and the shards of an expired host go to the entries that
//! watch it. The takeover removes the renewal row of the expired host, and all
//! other entries detect the takeover by the missing row. So does the host
//! itself if it was only paused: it writes a new row and rejoins. Handoffs then
//! move the shards to the entries that should own them.
//!
//! Only time in which the table answered the observer counts towards a lease.
//! During an outage of the table, renewals and takeovers are impossible. After
//! the outage all observation periods restart, so that shards are not taken
//! over from owners that are alive.
//!
//! Rendezvous hashing determines which live entry should own a shard. A shard
//! whose owner is alive moves only by handoff, after its owner has drained it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rosebend_state::deployment::MAX_TRANSACTION_ENTRIES;
use rosebend_state::id::{Epoch, HostId, Incarnation, Shard};

use crate::neighbours;

/// Maximum number of shards of one takeover. Their rows and the row of the
/// expired host must fit into one transaction, which lists each row twice, as a
/// condition and as a write.
const MAX_TAKEOVER_SHARDS: usize = MAX_TRANSACTION_ENTRIES / 2 - 1;

/// Timeouts and limits of shard ownership.
#[derive(Clone, Copy, Debug)]
pub struct OwnershipConfig {
    /// Time without a change of the renewal counter after which a host expires.
    pub lease: Duration,
    /// Longest time between two answers of the table that counts towards a lease.
    pub watch_gap: Duration,
    /// Number of shards.
    pub shard_count: u32,
    /// Maximum number of shards that are drained concurrently for handoffs.
    pub handoffs_at_once: usize,
    /// Time for which the set of live entries must be unchanged before handoffs.
    pub settle: Duration,
    /// Minimum time between a handoff and the next one of the same shard. Entries
    /// may temporarily disagree on the set of live entries, and without this
    /// delay they would hand a shard back and forth.
    pub min_residence: Duration,
}

impl Default for OwnershipConfig {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(3),
            watch_gap: Duration::from_secs(2),
            shard_count: 128,
            handoffs_at_once: 16,
            settle: Duration::from_secs(2),
            min_residence: Duration::from_secs(6),
        }
    }
}

/// The renewal row of an entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostRow {
    /// Name of the entry's host.
    pub host: HostId,
    /// The process that renews the row.
    pub incarnation: Incarnation,
    /// Version of the row; changes with each renewal.
    pub version: u64,
    /// Address at which other entries reach this one.
    pub peer_address: String,
    /// Whether the entry is stopping.
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
    /// Incarnation of the owning process.
    pub incarnation: Incarnation,
    /// Fencing token; incremented with each change of owner.
    pub epoch: Epoch,
}

/// An input of the ownership state machine.
#[derive(Clone, Debug)]
pub enum OwnershipEvent {
    /// The table answered with all renewal rows.
    HostsRead(Vec<HostRow>),
    /// The table answered with the renewal rows of some hosts.
    HostsWatched {
        /// The hosts whose rows were requested.
        asked: Vec<HostId>,
        /// The requested rows that exist.
        rows: Vec<HostRow>,
    },
    /// The table answered with all shard rows.
    ShardsRead(Vec<ShardRow>),
    /// A shard was handed over. The row is the one that the previous owner wrote
    /// and sent to its successor.
    HandedOver(ShardRow),
    /// The table did not answer.
    TableUnavailable,
    /// A takeover succeeded, failed or has an unknown outcome. After an unknown
    /// outcome the rows are read.
    TakeoverEnded {
        /// The shards of the takeover.
        shards: Vec<Shard>,
        /// The new version of their rows, if the takeover is known to have succeeded.
        version: Option<u64>,
    },
    /// The handoff of a drained shard succeeded or failed.
    HandoffEnded {
        /// The shard.
        shard: Shard,
        /// Whether the row of the shard names the successor.
        passed_on: bool,
    },
    /// The committer found that a shard has another owner.
    ShardLost(Shard),
    /// This process is stopping.
    Leaving,
}

/// An output of the ownership state machine, for the process to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OwnershipAction {
    /// Read all shard rows.
    ReadShards,
    /// Take over shards in one transaction.
    TakeOver(Takeover),
    /// Load the programs of a shard that this process now owns.
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
    /// Drop the state of a shard that this process no longer owns.
    Lost(Shard),
    /// Stop accepting calls for the shard, then hand it over to the successor.
    Drain {
        /// The shard.
        shard: Shard,
        /// Host and incarnation of the successor.
        successor: (HostId, Incarnation),
    },
    /// Cancel the handoff of the shard and accept calls for it again.
    Stay(Shard),
}

/// A takeover of shards from one expired host, or of shards without an owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Takeover {
    /// The expired host and the version that its renewal row must still have. The
    /// row must be absent if the version is `None`.
    pub expired_host: Option<(HostId, Option<u64>)>,
    /// For each shard, the version that its row must have (`None` if the row must
    /// be absent) and the new epoch.
    pub shards: Vec<(Shard, Option<u64>, Epoch)>,
}

#[derive(Clone, Debug)]
struct WatchedHost {
    row: HostRow,
    /// Time since the last change of the version in which the table answered.
    unchanged_for: Duration,
    /// Time of the last read of the row; `None` after an outage of the table.
    seen_at: Option<Duration>,
}

/// The ownership state machine of one entry.
#[derive(Debug)]
pub struct Ownership {
    config: OwnershipConfig,
    host: HostId,
    incarnation: Incarnation,
    hosts: BTreeMap<HostId, WatchedHost>,
    shards: BTreeMap<Shard, ShardRow>,
    has_read_shards: bool,
    /// Shards that this process owns, with their epochs.
    owned: BTreeMap<Shard, Epoch>,
    /// Earliest time of the next handoff of shards that were handed over to this
    /// process, or whose handoff failed.
    earliest_handoff: BTreeMap<Shard, Duration>,
    /// Shards being drained for a handoff.
    draining: BTreeSet<Shard>,
    taking_over: bool,
    /// Whether the last takeover failed because of a newer row. The rows of hosts
    /// must be read before the next takeover, which would otherwise fail
    /// repeatedly on the same row.
    takeover_failed: bool,
    members: BTreeSet<HostId>,
    members_since: Duration,
    leaving: bool,
}

impl Ownership {
    /// Creates the state of the process `incarnation` on `host`, before any row
    /// was read.
    pub fn new(config: OwnershipConfig, host: HostId, incarnation: Incarnation) -> Self {
        Self {
            config,
            host,
            incarnation,
            hosts: BTreeMap::new(),
            shards: BTreeMap::new(),
            has_read_shards: false,
            owned: BTreeMap::new(),
            earliest_handoff: BTreeMap::new(),
            draining: BTreeSet::new(),
            taking_over: false,
            takeover_failed: false,
            members: BTreeSet::new(),
            members_since: Duration::ZERO,
            leaving: false,
        }
    }

    /// Handles an event at `now` and returns the resulting actions.
    pub fn step(&mut self, now: Duration, event: OwnershipEvent) -> Vec<OwnershipAction> {
        match event {
            OwnershipEvent::HostsRead(rows) => self.hosts_read(now, rows),
            OwnershipEvent::HostsWatched { asked, rows } => self.hosts_watched(now, &asked, rows),
            OwnershipEvent::ShardsRead(rows) => self.shards_read(now, rows),
            OwnershipEvent::HandedOver(row) => {
                self.update_row(row);
                self.reconcile_owned(now)
            }
            OwnershipEvent::TableUnavailable => {
                for watched in self.hosts.values_mut() {
                    watched.seen_at = None;
                }
                self.cancel_handoffs()
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

    /// Returns the address of a shard's owner according to the rows that this
    /// process read last. The address may be outdated; the receiver of a request
    /// corrects it.
    pub fn owner_address(&self, shard: Shard) -> Option<&str> {
        let row = self.shards.get(&shard)?;
        Some(self.hosts.get(&row.owner)?.row.peer_address.as_str())
    }

    /// Returns whether this process owns a shard.
    pub fn owns(&self, shard: Shard) -> bool {
        self.owned.contains_key(&shard)
    }

    /// Returns the shards that this process owns.
    pub fn owned(&self) -> impl Iterator<Item = Shard> + '_ {
        self.owned.keys().copied()
    }

    /// Returns the rows of the other entries whose lease has not expired.
    pub fn live_peers(&self) -> impl Iterator<Item = &HostRow> {
        let peers = self.hosts.values().filter(|watched| self.is_live(watched));
        peers
            .map(|watched| &watched.row)
            .filter(|row| row.host != self.host)
    }

    /// Returns whether every shard has a live owner, according to the rows that
    /// this process read last.
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
        self.update_hosts(now, hosts)
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
        self.update_hosts(now, hosts)
    }

    /// Adds the time since the row was last read to the time without a renewal, if
    /// that time counts towards the lease.
    fn watched(&self, now: Duration, row: HostRow) -> WatchedHost {
        let known = self.hosts.get(&row.host);
        let same = known.filter(|known| known.row.version == row.version);
        let unchanged_for = same.map_or(Duration::ZERO, |known| {
            let gap = known.seen_at.map(|seen_at| now.saturating_sub(seen_at));
            let gap = gap.filter(|gap| *gap <= self.config.watch_gap);
            gap.map_or(Duration::ZERO, |gap| known.unchanged_for + gap)
        });
        WatchedHost {
            row,
            unchanged_for,
            seen_at: Some(now),
        }
    }

    /// Replaces the observed hosts, and decides on takeovers and handoffs.
    fn update_hosts(
        &mut self,
        now: Duration,
        hosts: BTreeMap<HostId, WatchedHost>,
    ) -> Vec<OwnershipAction> {
        let joined_or_left = !hosts.keys().eq(self.hosts.keys());
        self.hosts = hosts;
        self.takeover_failed = false;
        self.update_members(now);
        // Another entry may have taken a shard that has no known live owner since
        // the rows of shards were read.
        let settled = self.is_settled();
        let mut actions = self.decide(now);
        if !self.has_read_shards || joined_or_left || !settled {
            actions.push(OwnershipAction::ReadShards);
        }
        actions
    }

    /// Returns the hosts whose rows must be read with each renewal: all hosts of a
    /// small cluster, and a bounded number of neighbours in a large one.
    pub fn watched_hosts(&self) -> Vec<HostId> {
        let watched = neighbours::watched_entries(&self.host, self.hosts.keys());
        watched.into_iter().cloned().collect()
    }

    /// Returns the number of known entries, including this one.
    pub fn entry_count(&self) -> usize {
        self.hosts.len().max(1)
    }

    /// Sets the lease, which depends on the number of entries.
    pub fn set_lease(&mut self, lease: Duration) {
        self.config.lease = lease;
        self.config.watch_gap = self.config.watch_gap.max(lease / 2);
    }

    /// Updates the set of entries that may own shards and the time of its last
    /// change.
    fn update_members(&mut self, now: Duration) {
        let members = self.candidates().cloned().collect();
        if members != self.members {
            self.members = members;
            self.members_since = now;
        }
    }

    fn shards_read(&mut self, now: Duration, rows: Vec<ShardRow>) -> Vec<OwnershipAction> {
        self.has_read_shards = true;
        for row in rows {
            self.update_row(row);
        }
        let mut actions = self.reconcile_owned(now);
        actions.extend(self.decide(now));
        actions
    }

    /// Updates the row of a shard unless a newer version is known. A read that was
    /// in flight when this process took the shard must not make it lose the
    /// shard again.
    fn update_row(&mut self, row: ShardRow) {
        let is_newer = self
            .shards
            .get(&row.shard)
            .is_none_or(|known| known.version <= row.version);
        if is_newer {
            self.shards.insert(row.shard, row);
        }
    }

    /// Gains shards that were handed over to this process, and loses shards that
    /// other processes own. A shard that returned under a new epoch is first lost
    /// and then gained, because its state in memory predates another owner.
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
                self.earliest_handoff
                    .insert(shard, now + self.config.min_residence);
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

    /// Returns whether this process is the owner according to a row.
    fn is_mine(&self, row: &ShardRow) -> bool {
        row.owner == self.host && row.incarnation == self.incarnation
    }

    fn lose(&mut self, shard: Shard) -> Vec<OwnershipAction> {
        self.draining.remove(&shard);
        self.earliest_handoff.remove(&shard);
        if self.owned.remove(&shard).is_some() {
            vec![OwnershipAction::Lost(shard)]
        } else {
            Vec::new()
        }
    }

    fn is_live(&self, watched: &WatchedHost) -> bool {
        watched.row.host == self.host || watched.unchanged_for < self.config.lease
    }

    /// Returns whether a shard has no live owner: its host has expired, has no row,
    /// or runs another incarnation.
    fn is_orphan(&self, row: &ShardRow) -> bool {
        match self.hosts.get(&row.owner) {
            None => true,
            Some(watched) => row.incarnation != watched.row.incarnation || !self.is_live(watched),
        }
    }

    /// Returns the live entries that are not stopping and may receive shards.
    fn candidates(&self) -> impl Iterator<Item = &HostId> {
        let live = self.hosts.values().filter(|watched| self.is_live(watched));
        live.filter(|watched| !self.is_leaving(&watched.row))
            .map(|watched| &watched.row.host)
    }

    fn is_leaving(&self, row: &HostRow) -> bool {
        row.leaving || (self.leaving && row.host == self.host)
    }

    /// Returns the entry that should own a shard.
    fn preferred(&self, shard: Shard) -> Option<&HostId> {
        Self::first_choice(self.candidates(), shard)
    }

    /// Chooses one of `hosts` for a shard by rendezvous hashing.
    fn first_choice<'a>(
        hosts: impl Iterator<Item = &'a HostId>,
        shard: Shard,
    ) -> Option<&'a HostId> {
        hosts.max_by_key(|host| rosebend_util::hash_parts(&[host.as_bytes(), &shard.to_le_bytes()]))
    }

    /// Starts the takeovers and handoffs that are due at `now`.
    fn decide(&mut self, now: Duration) -> Vec<OwnershipAction> {
        if !self.has_read_shards || !self.hosts.contains_key(&self.host) {
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

    /// Returns whether this process should take over a shard without a live owner.
    /// The entries that watch its host are the first to detect that the host has
    /// expired, has no row or runs another incarnation. A new incarnation of
    /// the host detects this by itself. Other entries may detect it much later.
    fn should_take_over(&self, row: &ShardRow) -> bool {
        let watchers = neighbours::watchers_of(&row.owner, self.hosts.keys());
        let eligible = self
            .candidates()
            .filter(|host| watchers.contains(host) || **host == row.owner);
        let chosen = Self::first_choice(eligible, row.shard);
        chosen.or_else(|| self.preferred(row.shard)) == Some(&self.host)
    }

    /// Returns the next takeover, either of shards without a row or of the shards
    /// of one expired host.
    fn takeover(&self) -> Option<Takeover> {
        let is_preferred = |shard: &Shard| self.preferred(*shard) == Some(&self.host);
        let new: Vec<_> = (0..self.config.shard_count)
            .filter(|shard| !self.shards.contains_key(shard))
            .filter(is_preferred)
            .take(MAX_TAKEOVER_SHARDS)
            .map(|shard| (shard, None, 1))
            .collect();
        if !new.is_empty() {
            return Some(Takeover {
                expired_host: None,
                shards: new,
            });
        }
        let orphan = |row: &&ShardRow| self.is_orphan(row) && self.should_take_over(row);
        let expired = self.shards.values().find(orphan)?.owner.clone();
        let shards = self
            .shards
            .values()
            .filter(orphan)
            .filter(|row| row.owner == expired)
            .take(MAX_TAKEOVER_SHARDS)
            .map(|row| (row.shard, Some(row.version), row.epoch + 1))
            .collect();
        let version = self.hosts.get(&expired).map(|watched| watched.row.version);
        // A process that replaces an earlier incarnation on its own host renews
        // the same row, so the row cannot be a condition. The versions of the
        // shard rows, which hold the earlier incarnation, are conditions instead.
        let expired_host = (expired != self.host).then_some((expired, version));
        Some(Takeover {
            expired_host,
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

    /// Starts to drain shards that another live entry should own. The number of
    /// concurrent handoffs is limited, and the set of entries must have been
    /// stable for `settle`. Neither applies if this process is stopping.
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
            .filter(|shard| self.leaving || !self.is_too_early(now, **shard))
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

    /// Returns whether it is too early to hand a shard over.
    fn is_too_early(&self, now: Duration, shard: Shard) -> bool {
        self.earliest_handoff
            .get(&shard)
            .is_some_and(|until| now < *until)
    }

    /// Returns the entry that should own a shard, unless it is this one.
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
        self.earliest_handoff
            .insert(shard, now + self.config.min_residence);
        vec![OwnershipAction::Stay(shard)]
    }

    /// Cancels the handoffs in progress. They cannot complete without the table,
    /// and until then no process would serve the shards. A handoff whose answer
    /// was lost may have taken effect, which the next write or read detects.
    fn cancel_handoffs(&mut self) -> Vec<OwnershipAction> {
        if self.leaving {
            return Vec::new();
        }
        let draining = std::mem::take(&mut self.draining);
        draining.into_iter().map(OwnershipAction::Stay).collect()
    }
}
