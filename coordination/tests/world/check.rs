//! What must hold at every step, and the witnesses kept to check it.

use std::collections::{BTreeMap, BTreeSet};

use rosebend_state::id::{CallId, ProgramId, Sequence, Shard};

/// Witnesses of what happened in the world.
#[derive(Debug, Default)]
pub struct Witness {
    /// Effects of each call that may not be repeated, by its key.
    pub effects: BTreeMap<String, u32>,
    /// Calls that were refused, with nobody asking for them since.
    pub refused: BTreeSet<String>,
    /// Digest of the answer that callers were told, by key.
    pub told: BTreeMap<String, (CallId, String)>,
    /// Keys whose only copy outside their owner was lost before it was
    /// durable; the promise for them ends with their owner.
    pub lost_copy: BTreeSet<String>,
    /// Shards for which a sidecar could not be asked at a takeover.
    pub weak_shards: BTreeSet<Shard>,
    /// The highest position of each program that had an effect.
    pub highest: BTreeMap<ProgramId, Sequence>,
    /// What each root program's calls really spent.
    pub spent: BTreeMap<ProgramId, u64>,
    /// What each root program may spend.
    pub budget: BTreeMap<ProgramId, u64>,
}

impl Witness {
    /// A call that may not be repeated took effect.
    pub fn effect(&mut self, key: &str, call: &CallId, is_known: bool) {
        let effects = self.effects.entry(key.to_owned()).or_default();
        *effects += 1;
        assert!(*effects == 1, "at most once: {key} had {effects} effects");
        assert!(
            !self.refused.contains(key),
            "true refusal: {key} had its effect after it was refused"
        );
        if is_known {
            let highest = self.highest.entry(call.program.clone()).or_default();
            assert!(
                *highest <= call.sequence,
                "order: {call} had its effect after #{highest}"
            );
            *highest = call.sequence;
        }
    }

    /// A run of a program spent tokens.
    pub fn spend(&mut self, program: &ProgramId, tokens: u64) {
        let root = program.root();
        let spent = self.spent.entry(root.clone()).or_default();
        *spent += tokens;
        let budget = self.budget.get(&root).copied().unwrap_or(0);
        assert!(*spent <= budget, "budget: {root} spent {spent} of {budget}");
    }

    /// The owner refused a call, and no other request for it is open.
    pub fn refuse(&mut self, key: &str) {
        let effects = self.effects.get(key).copied().unwrap_or(0);
        assert!(
            effects == 0,
            "true refusal: {key} was refused after its effect"
        );
        self.refused.insert(key.to_owned());
    }

    /// A caller was told that its call is done.
    pub fn done(&mut self, key: &str, repeatable: bool, call: &CallId, digest: &str, shard: Shard) {
        let whole = digest
            .strip_prefix(key)
            .is_some_and(|rest| rest.starts_with('/'));
        assert!(whole, "mixed: the caller of {key} was given {digest}");
        if !repeatable {
            let effects = self.effects.get(key).copied().unwrap_or(0);
            assert!(
                effects == 1,
                "done without effect: {key} had {effects} effects"
            );
        }
        let told = (call.clone(), digest.to_owned());
        if let Some(before) = self.told.insert(key.to_owned(), told.clone()) {
            assert!(
                before == told || self.is_exempt(key, repeatable, shard),
                "history: the caller of {key} was told {before:?}, then {told:?}"
            );
        }
    }

    /// A caller was told that its call ended without an answer.
    pub fn ended(&mut self, key: &str, repeatable: bool, shard: Shard) {
        let was_done = self.told.contains_key(key);
        assert!(
            !was_done || self.is_exempt(key, repeatable, shard),
            "history: {key} was done and is not any more"
        );
    }

    /// Whether both copies of an answer may have been lost.
    pub fn is_exempt(&self, key: &str, repeatable: bool, shard: Shard) -> bool {
        self.lost_copy.contains(key) || (repeatable && self.weak_shards.contains(&shard))
    }
}
