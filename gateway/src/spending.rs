//! What one turn may spend of its program's budget.

use std::rc::Rc;

use rosebend_coordination::gateway::lane::{Change, NextTurn, Outcome, Source};
use rosebend_state::deployment::{AttemptId, ProgramHeader, RowWrite};
use rosebend_transport::event::{Amount, Event, EventKind};
use tokio::sync::oneshot;

use crate::call::Call;
use crate::gateway::Gateway;
use crate::programs;
use crate::reply::Refusal;

/// Turns of its size that a program's budget must hold beside a turn for it to
/// be sent before its reservation is durable. Sub-agents spend at other hosts
/// at the same time; a turn that turns out to be too much then has run in vain.
/// With less in hand the turn waits for its reservation, about 13 ms.
const TURNS_IN_HAND: u64 = 3;
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
    source: Source,
    next: NextTurn,
    /// Set until the reservation is known to be durable.
    reserving: Option<oneshot::Receiver<Outcome>>,
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
        let attempt = call.header.attempt.clone();
        let mut spending = Self {
            gateway: Rc::clone(gateway),
            program: program.clone(),
            attempt: attempt.clone(),
            tokens_per_event: tokens_per_event(gateway, &call.service),
            events: 0,
            source: Source::Ahead,
            next: NextTurn {
                most_tokens,
                budget_tokens,
            },
            reserving: None,
            // Nothing is reserved before one of the two ways below.
            is_settled: true,
        };
        if gateway.commits.take_ahead(&program, &attempt, most_tokens) {
            spending.is_settled = false;
            let event = Event::new(EventKind::SpendingGranted).reason("drawn-ahead");
            call.trail.step(event);
            return Ok(spending);
        }
        if !gateway
            .commits
            .seems_to_hold(&program, most_tokens, budget_tokens)
        {
            // Others may have settled for less since the ledger was read.
            programs::refresh_ledger(gateway, &program).await?;
            if !gateway
                .commits
                .seems_to_hold(&program, most_tokens, budget_tokens)
            {
                return Err(spending.exhausted(call));
            }
        }
        let change = Change::Reserve {
            attempt,
            most_tokens,
            budget_tokens,
        };
        let in_hand = most_tokens.saturating_mul(1 + TURNS_IN_HAND);
        let is_ample = gateway
            .commits
            .seems_to_hold(&program, in_hand, budget_tokens);
        spending.source = Source::Reservation;
        spending.is_settled = false;
        spending.reserving = Some(gateway.commits.submit(program, change));
        if !is_ample {
            spending.granted(call).await?;
        }
        Ok(spending)
    }

    /// Waits until the reservation is durable, and no longer than the caller.
    ///
    /// # Errors
    ///
    /// Says that the budget was spent meanwhile, or that nothing is known.
    pub async fn granted(&mut self, call: &Call) -> Result<(), Refusal> {
        let Some(reserving) = &mut self.reserving else {
            return Ok(());
        };
        let until = self.gateway.clock.instant(call.deadline);
        let outcome = tokio::time::timeout_at(until, reserving).await;
        match outcome {
            Ok(Ok(Outcome::Durable)) => {
                self.reserving = None;
                let event = Event::new(EventKind::SpendingGranted).reason("reservation");
                call.trail
                    .step(event.elapsed(call.elapsed(self.gateway.clock.now())));
                Ok(())
            }
            Ok(Ok(Outcome::Exhausted)) => Err(self.exhausted(call)),
            Ok(Err(_)) | Err(_) => Err(self.gateway.store_unreachable()),
        }
    }

    /// Writes what fills the budget, so that a refusal can be explained.
    fn exhausted(&self, call: &Call) -> Refusal {
        let account = self.gateway.commits.account(&self.program);
        let NextTurn {
            most_tokens,
            budget_tokens,
        } = self.next;
        let filled_by = account.filled_by(most_tokens, budget_tokens);
        self.gateway.metrics.count_budget_refusal(filled_by);
        let drawers = account.drawers.iter();
        let holders: Vec<String> = drawers
            .map(|(holder, tokens)| format!("{holder}:{tokens}"))
            .collect();
        let event = Event::new(EventKind::SpendingRefused)
            .reason(filled_by.word())
            .amount(Amount::Budget, budget_tokens)
            .amount(Amount::Most, most_tokens)
            .amount(Amount::Spent, account.spent_tokens)
            .amount(Amount::Reserved, account.reserved_tokens)
            .amount(Amount::Drawn, account.drawn_tokens)
            .holders(&holders.join(","))
            .elapsed(call.elapsed(self.gateway.clock.now()));
        call.trail.step(event);
        Refusal::BudgetSpent
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
            source: self.source,
            next: Some(self.next),
            rows,
        };
        self.gateway.commits.submit(self.program.clone(), change)
    }
}

impl Drop for Spending {
    fn drop(&mut self) {
        if self.is_settled {
            return;
        }
        if self.source == Source::Ahead && self.events == 0 {
            self.gateway
                .commits
                .return_ahead(&self.program, &self.attempt);
        } else {
            // Nobody waits for it: a reservation that stays is only too much.
            drop(self.settle(Vec::new()));
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
