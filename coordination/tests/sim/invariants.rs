//! Invariants that hold at each step of a run, and the observations needed to
//! check them.

use std::collections::{BTreeMap, BTreeSet};

use rosebend_state::id::{CallId, ProgramId, Sequence, Shard};

/// Records what happened in the simulation, and panics if an observation violates
/// an invariant.
#[derive(Debug, Default)]
pub struct InvariantChecker {
    /// The number of effects of each call that is not repeatable, by its key.
    pub effects: BTreeMap<String, u32>,
    /// The keys of refused calls that no caller has requested since.
    pub refused_keys: BTreeSet<String>,
    /// The id of each call that was reported as done and the digest of its answer,
    /// by key.
    pub reported_answers: BTreeMap<String, (CallId, String)>,
    /// The keys of calls whose retained answer at the sidecar was lost before it
    /// was durable. The owner then has the only copy, so the answer may be lost
    /// with it.
    pub lost_answers: BTreeSet<String>,
    /// The shards that were taken over while a sidecar was unreachable.
    pub partly_recovered_shards: BTreeSet<Shard>,
    /// The highest sequence number of each program whose call had an effect.
    pub highest: BTreeMap<ProgramId, Sequence>,
    /// The tokens that the calls of each root program and its sub-agents spent.
    pub spent: BTreeMap<ProgramId, u64>,
    /// The tokens that each root program and its sub-agents may spend.
    pub budget: BTreeMap<ProgramId, u64>,
}

impl InvariantChecker {
    /// Records the effect of a call that is not repeatable. Checks that it is the
    /// only one, that the call was not refused and, if `checks_order` is set, that
    /// no later call of the program had its effect before.
    pub fn record_effect(&mut self, key: &str, call: &CallId, checks_order: bool) {
        let effects = self.effects.entry(key.to_owned()).or_default();
        *effects += 1;
        assert!(*effects == 1, "at most once: {key} had {effects} effects");
        assert!(
            !self.refused_keys.contains(key),
            "true refusal: {key} had its effect after it was refused"
        );
        if checks_order {
            let highest = self.highest.entry(call.program.clone()).or_default();
            assert!(
                *highest <= call.sequence,
                "order: {call} had its effect after #{highest}"
            );
            *highest = call.sequence;
        }
    }

    /// Records tokens that an attempt spent, and checks the budget of the root
    /// program.
    pub fn record_spending(&mut self, program: &ProgramId, tokens: u64) {
        let root = program.root();
        let spent = self.spent.entry(root.clone()).or_default();
        *spent += tokens;
        let budget = self.budget.get(&root).copied().unwrap_or(0);
        assert!(*spent <= budget, "budget: {root} spent {spent} of {budget}");
    }

    /// Records that the owner refused a call for which no other request is open.
    /// Checks that the call had no effect.
    pub fn record_refusal(&mut self, key: &str) {
        let effects = self.effects.get(key).copied().unwrap_or(0);
        assert!(
            effects == 0,
            "true refusal: {key} was refused after its effect"
        );
        self.refused_keys.insert(key.to_owned());
    }

    /// Records that a call was reported as done. Checks that the answer belongs to
    /// the call, that a call that is not repeatable had its effect, and that the
    /// answer equals the one reported before.
    pub fn record_done(
        &mut self,
        key: &str,
        repeatable: bool,
        call: &CallId,
        digest: &str,
        shard: Shard,
    ) {
        let whole = digest
            .strip_prefix(key)
            .is_some_and(|rest| rest.starts_with('/'));
        assert!(whole, "mixed: the caller of {key} received {digest}");
        if !repeatable {
            let effects = self.effects.get(key).copied().unwrap_or(0);
            assert!(
                effects == 1,
                "done without effect: {key} had {effects} effects"
            );
        }
        let reported = (call.clone(), digest.to_owned());
        if let Some(before) = self
            .reported_answers
            .insert(key.to_owned(), reported.clone())
        {
            assert!(
                before == reported || self.may_be_lost(key, repeatable, shard),
                "history: the caller of {key} received {before:?}, then {reported:?}"
            );
        }
    }

    /// Checks that a call reported without an answer was not reported as done
    /// before.
    pub fn record_end_without_answer(&mut self, key: &str, repeatable: bool, shard: Shard) {
        let was_done = self.reported_answers.contains_key(key);
        assert!(
            !was_done || self.may_be_lost(key, repeatable, shard),
            "history: {key} was done and is not any more"
        );
    }

    /// Returns whether both copies of an answer, the owner's and the sidecar's, may
    /// have been lost.
    pub fn may_be_lost(&self, key: &str, repeatable: bool, shard: Shard) -> bool {
        self.lost_answers.contains(key)
            || (repeatable && self.partly_recovered_shards.contains(&shard))
    }
}
