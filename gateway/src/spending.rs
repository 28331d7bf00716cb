//! What one turn may spend of its program's budget.

use std::rc::Rc;
use std::time::Duration;

use rosebend_coordination::gateway::history::partition_of;
use rosebend_coordination::gateway::ledger::{FilledBy, Holder};
use rosebend_coordination::gateway::pending_changes::{Change, Outcome};
use rosebend_state::deployment::{AttemptId, ProgramHeader, RowWrite};
use rosebend_transport::event::{Amount, Event, EventKind, log_event};
use tokio::sync::oneshot;

use crate::call::Call;
use crate::gateway::Gateway;
use crate::reply::Refusal;
use crate::{programs, recall};

/// Turns of its size that a program's budget must hold beside a turn for it to
/// be sent before its reservation is durable. Sub-agents spend at other hosts
/// at the same time; a turn that turns out to be too much then has run in vain.
/// With less in hand the turn waits for its reservation, about 13 ms.
const TURNS_IN_HAND: u64 = 3;
/// How long a turn waits here for the settlement of another one that has ended:
/// one write takes 13 to 17 ms, and a refusal costs its caller a new connection
/// and one of few retries.
const SETTLE_WAIT: Duration = Duration::from_millis(120);
/// Pause before the second look whether it is settled; each next one is twice
/// as long, which makes four looks in all.
const FIRST_SETTLE_POLL: Duration = Duration::from_millis(15);
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
        let attempt = call.turn();
        gateway.reach(&program)?;
        let mut spending = Self {
            gateway: Rc::clone(gateway),
            program: program.clone(),
            attempt: attempt.clone(),
            tokens_per_event: tokens_per_event(gateway, &call.service),
            events: 0,
            most_tokens,
            budget_tokens,
            reserving: None,
            is_settled: false,
        };
        let in_hand = most_tokens.saturating_mul(1 + TURNS_IN_HAND);
        // A turn that continues from a kept one has brought its ledger along, and
        // one that continues from none begins its program. Without history
        // nothing tells whether a program that is new here has spent its budget.
        let is_known = call.route.keeps_history || gateway.commits.knows(&program);
        let is_doubted = gateway.store.is_partition_doubted(&partition_of(&program));
        let is_ample = is_known
            && !is_doubted
            && gateway
                .commits
                .seems_to_hold(&program, in_hand, budget_tokens);
        spending.ask(Vec::new());
        if !is_ample {
            spending.granted_before_it_is_sent(call).await?;
        }
        Ok(spending)
    }

    /// Waits until the reservation of a turn is durable that was not sent yet: it
    /// is refused as soon as the store is out of reach.
    async fn granted_before_it_is_sent(&mut self, call: &Call) -> Result<(), Refusal> {
        let gateway = Rc::clone(&self.gateway);
        let program = self.program.clone();
        tokio::select! {
            granted = self.granted(call) => granted,
            refusal = until_unreachable(&gateway, &program) => Err(refusal),
        }
    }

    /// Asks for the turn's most, with what it may have of hosts that are gone.
    fn ask(&mut self, gone: Vec<Holder>) {
        let change = Change::Reserve {
            attempt: self.attempt.clone(),
            most_tokens: self.most_tokens,
            budget_tokens: self.budget_tokens,
            gone,
        };
        let outcome = self.gateway.commits.submit(self.program.clone(), change);
        self.reserving = Some(outcome);
    }

    /// Waits until the reservation is durable, and no longer than the caller.
    ///
    /// # Errors
    ///
    /// Says that the budget was spent meanwhile, or that nothing is known.
    pub async fn granted(&mut self, call: &Call) -> Result<(), Refusal> {
        let until = self.gateway.clock.instant(call.deadline);
        let granted = tokio::time::timeout_at(until, self.wait(call)).await;
        granted.unwrap_or_else(|_| Err(self.gateway.store_unreachable()))
    }

    async fn wait(&mut self, call: &Call) -> Result<(), Refusal> {
        let Some(outcome) = self.outcome().await? else {
            return Ok(());
        };
        if outcome == Outcome::Exhausted {
            self.recall(call).await?;
        }
        let event = Event::new(EventKind::SpendingGranted).reason("reservation");
        let elapsed = call.elapsed(self.gateway.clock.now());
        call.trail.step(event.elapsed(elapsed));
        Ok(())
    }

    /// Asks for the turn's most with what gone hosts held, and while one that lives
    /// is settling a turn, once more.
    async fn recall(&mut self, call: &Call) -> Result<(), Refusal> {
        let until = self.gateway.clock.now() + SETTLE_WAIT;
        let mut pause = FIRST_SETTLE_POLL;
        loop {
            // Others may have settled for less since the ledger was read.
            programs::refresh_ledger(&self.gateway, &self.program).await?;
            if self.filled_by() == FilledBy::Spent {
                self.is_settled = true;
                return Err(self.exhausted(call));
            }
            let recalled = recall::recall(&self.gateway, &self.program, &call.trail).await?;
            self.ask(recalled.gone);
            if self.outcome().await? != Some(Outcome::Exhausted) {
                return Ok(());
            }
            let is_over = self.gateway.clock.now() >= until;
            // Holders of a newer ledger were not asked yet.
            let is_newer = self.gateway.commits.version(&self.program) != recalled.version;
            match recalled.is_settling || is_newer {
                true if is_over => {
                    self.is_settled = true;
                    return Err(Refusal::BudgetUnsettled);
                }
                true => {
                    tokio::time::sleep(pause).await;
                    pause *= 2;
                }
                false => {
                    self.is_settled = true;
                    return Err(self.exhausted(call));
                }
            }
        }
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

    /// What keeps the budget from holding the turn, if it does not.
    fn filled_by(&self) -> FilledBy {
        let account = self.gateway.commits.account(&self.program);
        account.filled_by(self.most_tokens, self.budget_tokens)
    }

    /// Writes what fills the budget, so that a refusal can be explained.
    fn exhausted(&self, call: &Call) -> Refusal {
        let account = self.gateway.commits.account(&self.program);
        let filled_by = self.filled_by();
        self.gateway.metrics.count_budget_refusal(filled_by);
        let held = account.held.iter();
        let holders: Vec<String> = held
            .map(|(holder, tokens)| format!("{holder}:{tokens}"))
            .collect();
        let event = Event::new(EventKind::SpendingRefused)
            .reason(filled_by.word())
            .amount(Amount::Budget, self.budget_tokens)
            .amount(Amount::Most, self.most_tokens)
            .amount(Amount::Spent, account.spent_tokens)
            .amount(Amount::Reserved, account.reserved_tokens)
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
        let change = self.settlement(rows);
        self.gateway.commits.submit(self.program.clone(), change)
    }

    /// The same where nobody waits for it: it may go with another change.
    pub fn settle_later(&mut self) {
        self.is_settled = true;
        let change = self.settlement(Vec::new());
        self.gateway
            .commits
            .submit_later(self.program.clone(), change);
    }

    fn settlement(&self, rows: Vec<RowWrite>) -> Change {
        Change::Settle {
            attempt: self.attempt.clone(),
            tokens: self.tokens(),
            rows,
        }
    }
}

impl Drop for Spending {
    fn drop(&mut self) {
        if !self.is_settled {
            // The caller may try again at once, at another host.
            drop(self.settle(Vec::new()));
        }
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
