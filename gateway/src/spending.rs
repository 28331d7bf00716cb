//! What one turn may spend of its program's budget.

use std::rc::Rc;
use std::time::Duration;

use rosebend_coordination::gateway::escrow::terms::EscrowTerms;
use rosebend_coordination::gateway::history::partition_of;
use rosebend_coordination::gateway::ledger::ProcessId;
use rosebend_coordination::gateway::pending_changes::{Change, Outcome};
use rosebend_state::deployment::{AttemptId, ProgramHeader, RowWrite};
use rosebend_transport::event::{Amount, Event, EventKind, log_event};
use tokio::sync::oneshot;

use crate::call::Call;
use crate::escrow::{self, Grant, GrantContext, GrantError};
use crate::gateway::Gateway;
use crate::reply::Refusal;

mod full_budget;

/// Turns of its size that a program's budget must hold beside a turn for it to
/// be sent before its reservation is durable. Sub-agents spend at other hosts
/// at the same time; a turn that turns out to be too much then has run in vain.
/// With less in hand the turn waits for its reservation.
const TURNS_IN_HAND: u64 = 3;
/// Time between two questions to an owner that holds off: it may end that before.
const HELD_OFF_POLL: Duration = Duration::from_millis(40);
/// Time between two looks whether the store is still in reach.
const REACH_POLL: Duration = Duration::from_millis(20);
/// Tokens of a turn that does not say its most; only a turn without a budget
/// may leave it out.
const UNTOLD_MOST_TOKENS: u64 = 4_096;

/// What a turn may spend, and what it did. Dropping it settles the turn.
#[derive(Debug)]
pub struct Spending {
    gateway: Rc<Gateway>,
    program: String,
    attempt: AttemptId,
    /// Tokens of one event.
    tokens_per_event: u64,
    /// Events that were handed out.
    events: u64,
    /// Most tokens that it generates.
    most_tokens: u64,
    /// Budget of the program.
    budget_tokens: u64,
    /// What the ledger keeps room for.
    escrow: EscrowTerms,
    /// Set until the reservation is known to be durable.
    reserving: Option<oneshot::Receiver<Outcome>>,
    /// Set when the turn runs by a grant in place of a reservation.
    grant: Option<Grant>,
    is_settled: bool,
}

impl Spending {
    /// Asks for a turn's most. The answer is awaited before the first event.
    ///
    /// # Errors
    ///
    /// Says that the budget is spent, or that the store is out of reach.
    pub async fn reserve(
        gateway: &Rc<Gateway>,
        call: &Call,
        header: &ProgramHeader,
    ) -> Result<Self, Refusal> {
        let most = call.header.tokens.map(|tokens| tokens.max_output_tokens);
        let most_tokens = most.unwrap_or(UNTOLD_MOST_TOKENS);
        let budget_tokens = header.budget_tokens.unwrap_or(u64::MAX);
        let program = header.program.clone();
        let attempt = call.turn();
        let mut spending = Self {
            gateway: Rc::clone(gateway),
            program: program.clone(),
            attempt: attempt.clone(),
            tokens_per_event: tokens_per_event(gateway, &call.service),
            events: 0,
            most_tokens,
            budget_tokens,
            escrow: escrow_terms(call, header, most_tokens),
            reserving: None,
            grant: None,
            is_settled: false,
        };
        if let Err(refusal) = gateway.reach(&program) {
            match spending.take_grant(call, refusal).await {
                Ok(()) => return Ok(spending),
                Err(refusal) if gateway.reach(&program).is_err() => {
                    spending.is_settled = true;
                    return Err(refusal);
                }
                // The store is back.
                Err(_) => {}
            }
        }
        let is_ample = spending.is_ample(call);
        spending.ask(Vec::new());
        if !is_ample {
            spending.granted_before_it_is_sent(call).await?;
        }
        Ok(spending)
    }

    /// Whether the turn may be sent before its reservation is durable.
    fn is_ample(&self, call: &Call) -> bool {
        let commits = &self.gateway.commits;
        let in_hand = self.most_tokens.saturating_mul(1 + TURNS_IN_HAND);
        // A turn that continues from a kept one has brought its ledger along, and
        // one that continues from none begins its program. Without history
        // nothing tells whether a program that is new here has spent its budget.
        let is_known = call.route.keeps_history || commits.knows(&self.program);
        let partition = partition_of(&self.program);
        let is_doubted = self.gateway.store.is_partition_doubted(&partition);
        let is_held = commits.seems_to_hold(&self.program, in_hand, self.budget_tokens);
        is_known && !is_doubted && is_held
    }

    /// Waits until the reservation of a turn is durable that was not sent yet. As soon
    /// as the store is out of reach it takes a grant, or is refused.
    async fn granted_before_it_is_sent(&mut self, call: &Call) -> Result<(), Refusal> {
        let gateway = Rc::clone(&self.gateway);
        let program = self.program.clone();
        let until = gateway.clock.instant(call.deadline);
        let granted = tokio::select! {
            granted = self.reserved(call) => granted,
            refusal = until_unreachable(&gateway, &program) => Err(refusal),
            () = tokio::time::sleep_until(until) => return Err(gateway.store_unreachable()),
        };
        match granted {
            Err(refusal @ Refusal::StoreUnreachable(_)) => self.take_grant(call, refusal).await,
            granted => granted,
        }
    }

    /// Asks the owners of the program's escrow slots for the turn's most while the
    /// store is unavailable. A turn whose history is kept needs the store anyway.
    async fn take_grant(&mut self, call: &Call, refusal: Refusal) -> Result<(), Refusal> {
        if !self.escrow.takes_grants() {
            return Err(refusal);
        }
        let gateway = &self.gateway;
        let grant = self.first_grant(call).await;
        let elapsed = call.elapsed(gateway.clock.now());
        let Ok(grant) = grant else {
            let event = Event::new(EventKind::EscrowRefused)
                .amount(Amount::Budget, self.budget_tokens)
                .amount(Amount::Most, self.most_tokens);
            call.trail.step(event.elapsed(elapsed));
            return Err(refusal);
        };
        let event = Event::new(EventKind::SpendingGranted).reason("escrow");
        call.trail.step(event.elapsed(elapsed));
        self.grant = Some(grant);
        self.reserving = None;
        Ok(())
    }

    /// Asks for a grant, and again once the owners hold off no more, if the caller waits for
    /// so long and the store is not back before.
    async fn first_grant(&self, call: &Call) -> Result<Grant, GrantError> {
        let gateway = &self.gateway;
        loop {
            let granted = escrow::grant(gateway, &self.wanted()).await;
            let Err(GrantError::HeldOff(wait)) = granted else {
                return granted;
            };
            if gateway.clock.now() + wait >= call.deadline {
                return granted;
            }
            tokio::select! {
                () = tokio::time::sleep(wait.min(HELD_OFF_POLL)) => {}
                () = until_reachable(gateway, &self.program) => return granted,
            }
        }
    }

    fn wanted(&self) -> GrantContext<'_> {
        GrantContext {
            program: &self.program,
            max_output_tokens: self.most_tokens,
            budget_tokens: self.budget_tokens,
        }
    }

    /// Makes sure that a turn which runs by a grant may hand out all events that
    /// were counted. Returns whether it may.
    pub async fn cover(&mut self) -> bool {
        let Some(grant) = &self.grant else {
            return true;
        };
        let tokens = escrow::extend(&self.gateway, &self.wanted(), grant, self.tokens()).await;
        if let (Some(grant), Some(tokens)) = (&mut self.grant, tokens) {
            grant.tokens = tokens;
        }
        tokens.is_some()
    }

    /// Asks for the turn's most, with what it may have of hosts that are gone.
    fn ask(&mut self, dead_processes: Vec<ProcessId>) {
        let change = Change::Reserve {
            attempt: self.attempt.clone(),
            max_output_tokens: self.most_tokens,
            budget_tokens: self.budget_tokens,
            dead_processes,
            escrow: self.escrow.clone(),
        };
        let outcome = self.gateway.commits.submit(self.program.clone(), change);
        self.reserving = Some(outcome);
    }

    /// Waits until the turn may spend its most, and no longer than the caller. While
    /// the store is unavailable it takes a grant, if there is one.
    ///
    /// # Errors
    ///
    /// Says that the budget was spent meanwhile, or that nothing is known.
    pub async fn granted(&mut self, call: &Call) -> Result<(), Refusal> {
        if self.grant.is_some() {
            return Ok(());
        }
        let until = self.gateway.clock.instant(call.deadline);
        let granted = tokio::time::timeout_at(until, self.reserved_or_granted(call)).await;
        granted.unwrap_or_else(|_| Err(self.gateway.store_unreachable()))
    }

    async fn reserved_or_granted(&mut self, call: &Call) -> Result<(), Refusal> {
        if !self.escrow.takes_grants() {
            return self.reserved(call).await;
        }
        let gateway = Rc::clone(&self.gateway);
        let program = self.program.clone();
        let outcome = tokio::select! {
            outcome = self.outcome() => Ok(outcome),
            refusal = until_unreachable(&gateway, &program) => Err(refusal),
        };
        match outcome {
            Ok(outcome) => self.conclude(call, outcome?).await,
            Err(refusal) => match self.take_grant(call, refusal).await {
                Ok(()) => Ok(()),
                // The turn runs: its caller waits for the store.
                Err(_) => self.reserved(call).await,
            },
        }
    }

    /// Waits until the reservation is durable.
    async fn reserved(&mut self, call: &Call) -> Result<(), Refusal> {
        let outcome = self.outcome().await?;
        self.conclude(call, outcome).await
    }

    async fn conclude(&mut self, call: &Call, outcome: Option<Outcome>) -> Result<(), Refusal> {
        match outcome {
            None => return Ok(()),
            Some(Outcome::Exhausted) => self.recall(call).await?,
            Some(_) => {}
        }
        let event = Event::new(EventKind::SpendingGranted).reason("reservation");
        let elapsed = call.elapsed(self.gateway.clock.now());
        call.trail.step(event.elapsed(elapsed));
        Ok(())
    }

    /// How the change that asks for the turn's most ended; none when that is
    /// known already.
    async fn outcome(&mut self) -> Result<Option<Outcome>, Refusal> {
        let Some(reserving) = &mut self.reserving else {
            return Ok(None);
        };
        let outcome = reserving.await;
        self.reserving = None;
        match outcome {
            Ok(outcome @ (Outcome::Durable | Outcome::Exhausted)) => Ok(Some(outcome)),
            Ok(Outcome::Unreadable) => {
                self.is_settled = true;
                let event = Event::new(EventKind::RecordUnreadable);
                log_event(&event.program_key(&self.program));
                Err(self.gateway.store_unreachable())
            }
            // The process stops.
            Err(_) => Err(self.gateway.store_unreachable()),
        }
    }

    /// Counts an event that is handed out.
    pub fn count_event(&mut self) {
        self.events += 1;
    }

    /// Tokens that were handed out.
    pub fn tokens(&self) -> u64 {
        self.events * self.tokens_per_event
    }

    /// Replaces the reservation by what was handed out; `rows` become durable
    /// with it. The receiver hears when they are.
    pub fn settle(&mut self, rows: Vec<RowWrite>) -> oneshot::Receiver<Outcome> {
        self.is_settled = true;
        let change = Change::Settle {
            attempt: self.attempt.clone(),
            tokens: self.tokens(),
            rows,
        };
        self.gateway.commits.submit(self.program.clone(), change)
    }

    /// The same where nobody waits for it: it may go with another change.
    pub fn settle_later(&mut self) {
        self.is_settled = true;
        if let Some(grant) = self.grant.take() {
            return self.settle_grant(grant);
        }
        let change = Change::Settle {
            attempt: self.attempt.clone(),
            tokens: self.tokens(),
            rows: Vec::new(),
        };
        self.gateway
            .commits
            .submit_later(self.program.clone(), change);
    }

    fn settle_grant(&self, grant: Grant) {
        let change = Change::SettleGrant {
            attempt: self.attempt.clone(),
            grant: grant.id.clone(),
            tokens: self.tokens(),
        };
        let outcome = self.gateway.commits.submit(self.program.clone(), change);
        let gateway = Rc::clone(&self.gateway);
        let (program, tokens) = (self.program.clone(), self.tokens());
        actix_rt::spawn(escrow::settle(gateway, program, grant, tokens, outcome));
    }
}

impl Drop for Spending {
    fn drop(&mut self) {
        if self.is_settled {
            return;
        }
        match self.grant.take() {
            Some(grant) => self.settle_grant(grant),
            // The caller may try again at once, at another host.
            None => drop(self.settle(Vec::new())),
        }
    }
}

/// What of its budget a turn must leave to escrow slots.
fn escrow_terms(call: &Call, header: &ProgramHeader, most_tokens: u64) -> EscrowTerms {
    let Some(budget_tokens) = header.budget_tokens else {
        return EscrowTerms::Excluded;
    };
    EscrowTerms::new(call.route.takes_grants(), most_tokens, budget_tokens)
}

/// Ends once the store is in reach for a program.
async fn until_reachable(gateway: &Gateway, program: &str) {
    while gateway.reach(program).is_err() {
        tokio::time::sleep(REACH_POLL).await;
    }
}

/// Ends once the store is out of reach for a program.
async fn until_unreachable(gateway: &Gateway, program: &str) -> Refusal {
    loop {
        tokio::time::sleep(REACH_POLL).await;
        if let Err(refusal) = gateway.reach(program) {
            return refusal;
        }
    }
}

fn tokens_per_event(gateway: &Gateway, service: &str) -> u64 {
    let routes = gateway.routes();
    let service = routes
        .as_ref()
        .and_then(|routes| routes.deployment().services.get(service));
    let engine = service.and_then(|service| service.engine);
    engine.map_or(1, |engine| engine.tokens_per_event)
}
