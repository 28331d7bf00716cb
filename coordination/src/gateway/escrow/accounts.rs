//! What the owner of a slot has granted.

use std::collections::BTreeMap;

use rosebend_state::deployment::ProgramKey;
use serde::{Deserialize, Serialize};

use super::{GrantId, is_eligible, share_tokens};

/// Programs that one slot keeps at most. A slot that reaches it grants nothing
/// more, since it could not remember what it has closed.
const MAX_PROGRAMS: usize = 50_000;
/// Grants of one program that are outstanding at most.
const MAX_GRANTS: usize = 64;

/// A turn that asks for a grant.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct GrantRequest {
    /// Names the grant. A request that is repeated gets the same one, and one that
    /// wants more extends it.
    pub grant: GrantId,
    /// Tokens that it is to hold in all.
    pub tokens: u64,
    /// Most tokens that the turn generates.
    pub most_tokens: u64,
    /// Budget of the program.
    pub budget_tokens: u64,
}

/// Whether a slot is closed for a program.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Closing {
    /// Nothing is outstanding, and nothing will be granted.
    Closed,
    /// Nothing more will be granted, but so many tokens are outstanding.
    Outstanding(u64),
}

/// The programs that a slot has granted to or closed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Accounts {
    programs: BTreeMap<ProgramKey, Account>,
    /// Set for good once [`MAX_PROGRAMS`] is reached.
    #[serde(default)]
    is_full: bool,
}

#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
struct Account {
    /// Tokens of grants that are not in the ledger: what was granted until the turn
    /// has ended, then what it handed out.
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
    /// Grants a turn the tokens that it wants, if the program's share holds them.
    pub fn grant(&mut self, program: &str, request: &GrantRequest) -> bool {
        let share = share_tokens(request.budget_tokens);
        if !is_eligible(request.most_tokens, request.budget_tokens)
            || self.is_full
            || !self.make_room(program)
        {
            return false;
        }
        let account = self.programs.entry(program.to_owned()).or_default();
        let granted = account.grants.get(&request.grant).copied();
        if granted.is_some_and(|granted| granted >= request.tokens) {
            return true;
        }
        let others = account
            .outstanding_tokens()
            .saturating_sub(granted.unwrap_or(0));
        let is_held = others.saturating_add(request.tokens) <= share;
        let has_room = granted.is_some() || account.grants.len() < MAX_GRANTS;
        let is_granted = !account.is_closed && is_held && has_room;
        if is_granted {
            account.grants.insert(request.grant.clone(), request.tokens);
        }
        is_granted
    }

    /// Takes note of what a granted turn handed out in all.
    pub fn report(&mut self, program: &str, grant: &str, tokens: u64) {
        let account = self.programs.get_mut(program);
        if let Some(granted) = account.and_then(|account| account.grants.get_mut(grant)) {
            *granted = tokens.min(*granted);
        }
    }

    /// Takes note that the ledger has a grant.
    pub fn settle(&mut self, program: &str, grant: &str) {
        if let Some(account) = self.programs.get_mut(program) {
            account.grants.remove(grant);
            if *account == Account::default() {
                self.programs.remove(program);
            }
        }
    }

    /// Grants a program nothing more.
    pub fn close(&mut self, program: &str) -> Closing {
        let is_kept = self.make_room(program);
        if !is_kept {
            // A full slot grants nothing, so that there is nothing to remember.
            return Closing::Closed;
        }
        let account = self.programs.entry(program.to_owned()).or_default();
        account.is_closed = true;
        match account.outstanding_tokens() {
            0 => Closing::Closed,
            tokens => Closing::Outstanding(tokens),
        }
    }

    /// Whether the program has an account or may get one.
    fn make_room(&mut self, program: &str) -> bool {
        if self.programs.contains_key(program) {
            return true;
        }
        self.is_full |= self.programs.len() >= MAX_PROGRAMS;
        !self.is_full
    }

    /// Whether a grant is not in a ledger yet.
    pub fn has_grants(&self) -> bool {
        let mut accounts = self.programs.values();
        accounts.any(|account| !account.grants.is_empty())
    }

    /// Tokens that are granted and not in a ledger.
    pub fn outstanding_tokens(&self) -> u64 {
        let accounts = self.programs.values();
        accounts.fold(0, |sum, account| {
            sum.saturating_add(account.outstanding_tokens())
        })
    }
}
