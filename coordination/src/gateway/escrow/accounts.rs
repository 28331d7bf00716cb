//! Grants that the owner of a slot has made.

use std::collections::BTreeMap;

use rosebend_state::deployment::ProgramKey;
use serde::{Deserialize, Serialize};

use super::{GrantId, is_eligible, share_tokens};

/// Maximum number of programs that one slot records. A slot that would exceed it makes
/// no more grants, because it could not record which programs it has closed.
const MAX_PROGRAMS: usize = 50_000;
/// Maximum number of outstanding grants of one program.
const MAX_GRANTS: usize = 64;

/// Request of a turn for a grant.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct GrantRequest {
    /// Identifier of the grant. A repeated request receives the same grant, and a
    /// request for more tokens extends it.
    pub grant: GrantId,
    /// Total tokens that the grant must hold.
    pub tokens: u64,
    /// Maximum output tokens of the turn.
    pub most_tokens: u64,
    /// Budget of the program, in tokens.
    pub budget_tokens: u64,
}

/// Outcome of closing a slot for a program.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CloseOutcome {
    /// No grant is outstanding, and the slot makes no new one.
    Closed,
    /// The slot makes no new grant, but this number of tokens is outstanding.
    Outstanding(u64),
}

/// Accounts of the programs for which a slot has made grants or been closed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Accounts {
    programs: BTreeMap<ProgramKey, Account>,
    /// Whether the slot has had to reject a program because of [`MAX_PROGRAMS`]. It is
    /// never reset, and a full slot makes no grants.
    #[serde(default)]
    is_full: bool,
}

#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
struct Account {
    /// Tokens of each grant that is not in the ledger: the granted tokens until the
    /// turn ends, then the tokens that the turn emitted.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    grants: BTreeMap<GrantId, u64>,
    #[serde(default)]
    is_closed: bool,
}

impl Account {
    fn outstanding_tokens(&self) -> u64 {
        self.grants
            .values()
            .fold(0, |sum, tokens| sum.saturating_add(*tokens))
    }
}

impl Accounts {
    /// Grants a turn the requested tokens if the program's share of the slot holds
    /// them. Returns whether the grant holds at least the requested tokens.
    pub fn grant(&mut self, program: &str, request: &GrantRequest) -> bool {
        let share = share_tokens(request.budget_tokens);
        if !is_eligible(request.most_tokens, request.budget_tokens)
            || self.is_full
            || !self.has_capacity_for(program)
        {
            return false;
        }
        let account = self.programs.entry(program.to_owned()).or_default();
        let granted = account.grants.get(&request.grant).copied();
        if granted.is_some_and(|granted| granted >= request.tokens) {
            return true;
        }
        let other_tokens = account
            .outstanding_tokens()
            .saturating_sub(granted.unwrap_or(0));
        let fits_share = other_tokens.saturating_add(request.tokens) <= share;
        let has_free_entry = granted.is_some() || account.grants.len() < MAX_GRANTS;
        let is_granted = !account.is_closed && fits_share && has_free_entry;
        if is_granted {
            account.grants.insert(request.grant.clone(), request.tokens);
        }
        is_granted
    }

    /// Records the total tokens that a granted turn emitted.
    pub fn report(&mut self, program: &str, grant: &str, tokens: u64) {
        let account = self.programs.get_mut(program);
        if let Some(granted) = account.and_then(|account| account.grants.get_mut(grant)) {
            *granted = tokens.min(*granted);
        }
    }

    /// Removes a grant that is in the ledger.
    pub fn settle(&mut self, program: &str, grant: &str) {
        if let Some(account) = self.programs.get_mut(program) {
            account.grants.remove(grant);
            if *account == Account::default() {
                self.programs.remove(program);
            }
        }
    }

    /// Closes the slot for a program: the program receives no more grants.
    pub fn close(&mut self, program: &str) -> CloseOutcome {
        let can_record = self.has_capacity_for(program);
        if !can_record {
            // A full slot makes no grants, so the closure need not be recorded.
            return CloseOutcome::Closed;
        }
        let account = self.programs.entry(program.to_owned()).or_default();
        account.is_closed = true;
        match account.outstanding_tokens() {
            0 => CloseOutcome::Closed,
            tokens => CloseOutcome::Outstanding(tokens),
        }
    }

    /// Returns whether the program has an account or an account can be added for it. If
    /// not, the slot is marked as full.
    fn has_capacity_for(&mut self, program: &str) -> bool {
        if self.programs.contains_key(program) {
            return true;
        }
        self.is_full |= self.programs.len() >= MAX_PROGRAMS;
        !self.is_full
    }

    /// Returns whether any grant is not yet in a ledger.
    pub fn has_grants(&self) -> bool {
        let mut accounts = self.programs.values();
        accounts.any(|account| !account.grants.is_empty())
    }

    /// Returns the granted tokens that are not yet in a ledger.
    pub fn outstanding_tokens(&self) -> u64 {
        let accounts = self.programs.values();
        accounts.fold(0, |sum, account| {
            sum.saturating_add(account.outstanding_tokens())
        })
    }
}
