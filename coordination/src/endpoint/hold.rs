//! Leases of the KV caches that the engine holds for programs between calls.
//!
//! A hold belongs to the owner of its program, who renews it with the full
//! list of the programs of its shards. A hold that is absent from a full list
//! or whose lease ran out is freed. What the engine holds beyond the leases
//! here, after a lost order or a restart of the sidecar, is found by comparing
//! with the engine's own list.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use rosebend_state::id::{ProgramId, Shard};

/// Lease of a hold that its owner has not renewed yet.
pub const FIRST_LEASE: Duration = Duration::from_secs(10);
/// Longest lease that an owner is given.
pub const MAX_LEASE: Duration = Duration::from_secs(60);

/// One program's hold.
#[derive(Clone, Copy, Debug)]
struct Hold {
    shard: Shard,
    /// Tokens of the cache, as the last call told them.
    tokens: u64,
    /// When the last call that holds the cache ended.
    added_at: Duration,
    /// The hold is freed once this time has passed.
    expires_at: Duration,
}

/// All holds of one engine.
#[derive(Clone, Debug, Default)]
pub struct Holds {
    holds: HashMap<ProgramId, Hold>,
}

impl Holds {
    /// A call that holds its program's cache ended.
    pub fn add(&mut self, now: Duration, program: ProgramId, shard: Shard, tokens: u64) {
        let expires_at = now + FIRST_LEASE;
        self.holds.insert(
            program,
            Hold {
                shard,
                tokens,
                added_at: now,
                expires_at,
            },
        );
    }

    /// Renews the holds in a list that is complete for `shards`; returns the
    /// programs whose caches are to be freed.
    pub fn renew(
        &mut self,
        now: Duration,
        shards: &HashSet<Shard>,
        programs: &HashSet<ProgramId>,
        lease: Duration,
    ) -> Vec<ProgramId> {
        let expires_at = now + lease.min(MAX_LEASE);
        self.remove(|program, hold| {
            if !shards.contains(&hold.shard) {
                return false;
            }
            hold.expires_at = expires_at;
            !programs.contains(program)
        })
    }

    /// Removes the holds whose lease ran out; their caches are to be freed.
    pub fn expire(&mut self, now: Duration) -> Vec<ProgramId> {
        self.remove(|_, hold| hold.expires_at <= now)
    }

    /// Gives up holds until those of programs without a call in flight have at
    /// most `max_tokens`, those whose last call ended longest ago first. The caches
    /// given up are to be freed.
    ///
    /// Memory for calls goes before memory kept between calls: what is given
    /// up costs the prefill of one prompt, an engine without room stands still.
    pub fn trim(&mut self, max_tokens: u64, in_flight: &HashSet<ProgramId>) -> Vec<ProgramId> {
        let mut idle: Vec<_> = self
            .holds
            .iter()
            .filter(|(program, _)| !in_flight.contains(*program))
            .map(|(program, hold)| (hold.added_at, program.clone(), hold.tokens))
            .collect();
        let mut total: u64 = idle.iter().map(|(.., tokens)| tokens).sum();
        if total <= max_tokens {
            return Vec::new();
        }
        idle.sort();
        let mut given_up = Vec::new();
        for (_, program, tokens) in idle {
            if total <= max_tokens {
                break;
            }
            total -= tokens;
            self.holds.remove(&program);
            given_up.push(program);
        }
        given_up
    }

    /// Which of the names that the engine holds are to be freed: those that
    /// have no lease here and whose program has no call in flight that will
    /// hold them.
    pub fn unknown<'a>(
        &self,
        held_names: &'a [String],
        in_flight: &HashSet<ProgramId>,
    ) -> Vec<&'a String> {
        let is_known = |name: &String| {
            ProgramId::try_from(name.as_str()).is_ok_and(|program| {
                self.holds.contains_key(&program) || in_flight.contains(&program)
            })
        };
        held_names.iter().filter(|name| !is_known(name)).collect()
    }

    /// Tokens held for a program; zero without a hold.
    pub fn tokens(&self, program: &ProgramId) -> u64 {
        self.holds.get(program).map_or(0, |hold| hold.tokens)
    }

    /// Programs that have a hold, in order.
    pub fn programs(&self) -> Vec<ProgramId> {
        let mut programs: Vec<_> = self.holds.keys().cloned().collect();
        programs.sort();
        programs
    }

    /// Number of holds.
    pub fn len(&self) -> usize {
        self.holds.len()
    }

    /// Whether there are no holds.
    pub fn is_empty(&self) -> bool {
        self.holds.is_empty()
    }

    fn remove(&mut self, mut is_over: impl FnMut(&ProgramId, &mut Hold) -> bool) -> Vec<ProgramId> {
        let mut removed: Vec<_> = self
            .holds
            .extract_if(|program, hold| is_over(program, hold))
            .map(|(program, _)| program)
            .collect();
        removed.sort();
        removed
    }
}
