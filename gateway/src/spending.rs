//! Spending of one turn from its program's budget.
//!
//! A turn reserves its maximum output tokens in the program's ledger before its first
//! event is delivered, and settles the emitted tokens when it ends. While the store is
//! unavailable, a turn may run on a grant of an escrow slot instead of a reservation.

use std::rc::Rc;
use std::time::Duration;

use rosebend_coordination::gateway::escrow::terms::EscrowTerms;
use rosebend_coordination::gateway::history::partition_of;
use rosebend_coordination::gateway::ledger::ProcessId;
use rosebend_coordination::gateway::pending_changes::{Change, Outcome, TurnRecord};
use rosebend_state::deployment::{AttemptId, ProgramHeader, Route};
use rosebend_transport::event::{Amount, Event, EventKind, log_event};
use tokio::sync::oneshot;

use crate::call::Call;
use crate::escrow::{self, Grant, GrantContext, GrantError};
use crate::gateway::Gateway;
use crate::interruption::Interruption;
use crate::reply::Refusal;

mod full_budget;
mod granted;

/// Number of further turns of the same size for which the program's budget must have room
/// if a turn is to be sent before its reservation is durable. Sub-agents on other
/// hosts spend from the same budget at the same time, and the work of a turn that was sent
/// early is lost if the turn then does not fit the budget. With less room, the turn waits
/// for its reservation.
const MIN_SPARE_TURNS: u64 = 3;
/// Part of a route's objective after which a reservation is late and a grant is
/// requested beside it. A store that loses answers or is slow would otherwise hold the
/// first event back until the turn is late, although the engine has answered.
const MAX_RESERVATION_WAIT: (u32, u32) = (2, 5);
/// Minimum time for which a ledger without records is kept after the last turn of its
/// program. If the ledger were deleted while the program pauses, the program would
/// start again with its full budget. The longest programs of the known deployments
/// take 16 s, and the longest retention of a route is 60 s.
const MIN_LEDGER_RETENTION: Duration = Duration::from_secs(60);
/// Interval between two requests to an owner that holds off. The owner may end its
/// hold-off early.
const HOLD_OFF_POLL_INTERVAL: Duration = Duration::from_millis(40);
/// Interval between two checks whether the store is reachable.
const REACHABILITY_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum output tokens of a turn that does not declare them. Only a turn without a
/// budget may omit the declaration.
const DEFAULT_MAX_OUTPUT_TOKENS: u64 = 4_096;

/// What a turn without a grant does when the store is unreachable.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum OnUnreachable {
    /// Refuse the turn, which has not been sent to an endpoint.
    Refuse,
    /// Wait for the reservation, because the turn is already running.
    Wait,
}

/// Tokens that one turn may spend, and those that it has emitted. Dropping the value settles
/// the turn.
#[derive(Debug)]
pub struct Spending {
    gateway: Rc<Gateway>,
    program: String,
    attempt: AttemptId,
    /// Tokens per event.
    tokens_per_event: u64,
    /// Number of events that were delivered.
    emitted_events: u64,
    /// Maximum output tokens of the turn, without `settled_tokens`.
    max_output_tokens: u64,
    /// Budget of the program, in tokens.
    budget_tokens: u64,
    /// Escrow slots for which the ledger withholds tokens.
    escrow: EscrowTerms,
    /// Time for which the program's ledger is kept after the turn.
    retention: Duration,
    /// Outcome of the reservation; `None` if it was received or if no reservation was
    /// requested. A turn with a grant keeps it, for the case that the grant can't be
    /// extended.
    pending_reservation: Option<oneshot::Receiver<Outcome>>,
    /// Grant on which the turn runs, if it has no reservation.
    grant: Option<Grant>,
    /// Whether a turn with a grant has a reservation, too, so that its grant need not cover
    /// its events.
    is_reserved: bool,
    /// Tokens of the turn that are in the ledger as a settled grant. The reservation is for the
    /// others.
    settled_tokens: u64,
    /// Whether events were counted that the grant does not cover yet.
    is_uncovered: bool,
    is_settled: bool,
}

impl Spending {
    /// Requests a reservation of the turn's maximum output tokens. The reservation must
    /// be durable before the first event is delivered.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the budget is exhausted or the store is unreachable.
    pub async fn reserve(
        gateway: &Rc<Gateway>,
        call: &Call,
        header: &ProgramHeader,
    ) -> Result<Self, Refusal> {
        let declared_tokens = call.header.tokens.map(|tokens| tokens.max_output_tokens);
        let max_output_tokens = declared_tokens.unwrap_or(DEFAULT_MAX_OUTPUT_TOKENS);
        let budget_tokens = header.budget_tokens.unwrap_or(u64::MAX);
        let program = header.program.clone();
        let attempt = call.turn_id();
        let mut spending = Self {
            gateway: Rc::clone(gateway),
            program: program.clone(),
            attempt: attempt.clone(),
            tokens_per_event: tokens_per_event(gateway, &call.service),
            emitted_events: 0,
            max_output_tokens,
            budget_tokens,
            escrow: escrow_terms(call, header, max_output_tokens),
            retention: ledger_retention(&call.route),
            pending_reservation: None,
            grant: None,
            is_reserved: false,
            settled_tokens: 0,
            is_uncovered: false,
            is_settled: false,
        };
        if let Err(refusal) = gateway.check_reachable(&program) {
            match spending.obtain_grant(call, refusal).await {
                Ok(()) => return Ok(spending),
                Err(refusal) if gateway.check_reachable(&program).is_err() => {
                    spending.is_settled = true;
                    return Err(refusal);
                }
                // The store is reachable again.
                Err(_) => {}
            }
        }
        let has_ample_budget = spending.has_ample_budget(call);
        spending.request_reservation(Vec::new());
        if !has_ample_budget {
            spending.wait_for_reservation_before_send(call).await?;
        }
        Ok(spending)
    }

    /// Returns whether the turn may be sent before its reservation is durable.
    fn has_ample_budget(&self, call: &Call) -> bool {
        let commits = &self.gateway.commits;
        let needed_tokens = self.max_output_tokens.saturating_mul(1 + MIN_SPARE_TURNS);
        // On a route with history, a turn that continues from a kept turn has loaded the
        // ledger together with that turn, and any other turn starts its program. On a
        // route without history, a program whose ledger is not cached here may already
        // have spent its budget.
        let is_known = call.route.keeps_history || commits.has_cached_ledger(&self.program);
        let partition = partition_of(&self.program);
        let is_doubted = self.gateway.store.is_partition_doubted(&partition);
        let fits_budget =
            commits.is_expected_to_fit(&self.program, needed_tokens, self.budget_tokens);
        is_known && !is_doubted && fits_budget
    }

    /// Waits for the reservation of a turn that has not been sent yet to become durable.
    /// If the store becomes unreachable, the turn switches to a grant or is refused.
    async fn wait_for_reservation_before_send(&mut self, call: &Call) -> Result<(), Refusal> {
        let until = self.gateway.clock.instant(call.deadline);
        let wait = self.wait_for_reservation_or_grant(call, OnUnreachable::Refuse);
        match tokio::time::timeout_at(until, wait).await {
            Ok(granted) => granted,
            Err(_) => Err(self.gateway.store_unreachable()),
        }
    }

    /// Requests a grant from the owners of the program's escrow slots while the store is
    /// unavailable. A turn whose history is kept receives none, because it needs the
    /// store anyway.
    async fn obtain_grant(&mut self, call: &Call, refusal: Refusal) -> Result<(), Refusal> {
        if !self.escrow.takes_grants() {
            return Err(refusal);
        }
        let gateway = &self.gateway;
        let grant = self.wait_for_grant(call).await;
        let elapsed = call.elapsed(gateway.clock.now());
        let Ok(grant) = grant else {
            let event = Event::new(EventKind::EscrowRefused)
                .amount(Amount::Budget, self.budget_tokens)
                .amount(Amount::Most, self.max_output_tokens);
            call.request_log.add_step(event.elapsed(elapsed));
            return Err(refusal);
        };
        let event = Event::new(EventKind::SpendingGranted).reason("escrow");
        call.request_log.add_step(event.elapsed(elapsed));
        self.grant = Some(grant);
        Ok(())
    }

    /// Requests a grant, and repeats the request while the owners hold off, unless the
    /// hold-off ends after the caller's deadline or the store becomes reachable first.
    async fn wait_for_grant(&self, call: &Call) -> Result<Grant, GrantError> {
        let gateway = &self.gateway;
        loop {
            let granted = escrow::grant(gateway, &self.grant_context()).await;
            let Err(GrantError::HeldOff(wait)) = granted else {
                return granted;
            };
            if gateway.clock.now() + wait >= call.deadline {
                return granted;
            }
            tokio::select! {
                () = tokio::time::sleep(wait.min(HOLD_OFF_POLL_INTERVAL)) => {}
                () = until_reachable(gateway, &self.program) => return granted,
            }
        }
    }

    fn grant_context(&self) -> GrantContext<'_> {
        GrantContext {
            program: &self.program,
            max_output_tokens: self.max_output_tokens,
            budget_tokens: self.budget_tokens,
        }
    }

    /// Requests a reservation of the turn's maximum output tokens. Reservations of
    /// `dead_processes` may be written off if the turn does not fit the budget otherwise.
    fn request_reservation(&mut self, dead_processes: Vec<ProcessId>) {
        let change = Change::Reserve {
            attempt: self.attempt.clone(),
            max_output_tokens: self.max_output_tokens,
            budget_tokens: self.budget_tokens,
            dead_processes,
            escrow: self.escrow.clone(),
            retention: self.retention,
        };
        let outcome = self.gateway.commits.submit(self.program.clone(), change);
        self.pending_reservation = Some(outcome);
    }

    /// Waits until the turn may spend its maximum output tokens, at most until the
    /// caller's deadline. While the store is unavailable, the turn switches to a grant if
    /// it receives one.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the budget was exhausted in the meantime or the outcome is
    /// unknown.
    pub async fn wait_until_granted(&mut self, call: &Call) -> Result<(), Refusal> {
        if self.grant.is_some() {
            return Ok(());
        }
        let until = self.gateway.clock.instant(call.deadline);
        let wait = self.wait_for_reservation_or_grant(call, OnUnreachable::Wait);
        let granted = tokio::time::timeout_at(until, wait).await;
        granted.unwrap_or_else(|_| Err(self.gateway.store_unreachable()))
    }

    /// Waits until the reservation is durable, or until the turn has a grant instead
    /// because the reservation is late or the store became unreachable.
    async fn wait_for_reservation_or_grant(
        &mut self,
        call: &Call,
        on_unreachable: OnUnreachable,
    ) -> Result<(), Refusal> {
        let gateway = Rc::clone(&self.gateway);
        let program = self.program.clone();
        let takes_grants = self.escrow.takes_grants();
        let (part, whole) = MAX_RESERVATION_WAIT;
        let late_after = call.route.objective * part / whole;
        let outcome = tokio::select! {
            outcome = self.reservation_outcome() => Ok(outcome),
            refusal = until_unreachable(&gateway, &program) => Err(refusal),
            () = tokio::time::sleep(late_after), if takes_grants => {
                Err(gateway.program_unreachable(&program))
            }
        };
        let refusal = match outcome {
            Ok(outcome) => return self.finish_reservation(call, outcome?).await,
            Err(refusal) => refusal,
        };
        if self.obtain_grant(call, refusal).await.is_ok() {
            return Ok(());
        }
        if on_unreachable == OnUnreachable::Wait {
            return self.wait_for_reservation(call).await;
        }
        let refusal = tokio::select! {
            granted = self.wait_for_reservation(call) => return granted,
            refusal = until_unreachable(&gateway, &program) => refusal,
        };
        self.obtain_grant(call, refusal).await
    }

    /// Waits until the reservation is durable.
    async fn wait_for_reservation(&mut self, call: &Call) -> Result<(), Refusal> {
        let outcome = self.reservation_outcome().await?;
        self.finish_reservation(call, outcome).await
    }

    async fn finish_reservation(
        &mut self,
        call: &Call,
        outcome: Option<Outcome>,
    ) -> Result<(), Refusal> {
        match outcome {
            None => return Ok(()),
            Some(Outcome::Exhausted) => self.retry_exhausted_reservation(call).await?,
            Some(_) => {}
        }
        let event = Event::new(EventKind::SpendingGranted).reason("reservation");
        let elapsed = call.elapsed(self.gateway.clock.now());
        call.request_log.add_step(event.elapsed(elapsed));
        Ok(())
    }

    /// Returns the outcome of the reservation, or `None` if it was received before.
    async fn reservation_outcome(&mut self) -> Result<Option<Outcome>, Refusal> {
        let Some(pending_reservation) = &mut self.pending_reservation else {
            return Ok(None);
        };
        let outcome = pending_reservation.await;
        self.pending_reservation = None;
        match outcome {
            Ok(outcome @ (Outcome::Durable | Outcome::Exhausted)) => Ok(Some(outcome)),
            Ok(Outcome::Unreadable) => {
                self.is_settled = true;
                let event = Event::new(EventKind::RecordUnreadable);
                log_event(&event.program_key(&self.program));
                Err(self.gateway.store_unreachable())
            }
            // The store rejects the ledger. Only settlements end for their generation.
            Ok(Outcome::Rejected | Outcome::GenerationEnded) => {
                self.is_settled = true;
                Err(self.gateway.store_unreachable())
            }
            // The process is stopping.
            Err(_) => Err(self.gateway.store_unreachable()),
        }
    }

    /// Counts an event that is about to be delivered.
    pub fn count_event(&mut self) {
        self.emitted_events += 1;
    }

    /// Returns the number of tokens that were delivered.
    pub fn emitted_tokens(&self) -> u64 {
        self.emitted_events * self.tokens_per_event
    }

    /// Returns the number of tokens that were delivered and are not in the ledger.
    fn unsettled_tokens(&self) -> u64 {
        self.emitted_tokens().saturating_sub(self.settled_tokens)
    }

    /// Replaces the reservation with the tokens that were delivered. `record` becomes
    /// durable in the same transaction. The returned receiver yields the outcome.
    pub fn settle(&mut self, record: Option<TurnRecord>) -> oneshot::Receiver<Outcome> {
        self.is_settled = true;
        let change = Change::Settle {
            attempt: self.attempt.clone(),
            tokens: self.unsettled_tokens(),
            record,
        };
        self.gateway.commits.submit(self.program.clone(), change)
    }

    /// Reserves the turn's maximum output tokens in the present ledger of its program, after
    /// the one that had its reservation was deleted.
    ///
    /// # Errors
    ///
    /// Returns an error if the reservation did not become durable.
    pub async fn reserve_again(&mut self) -> Result<(), Interruption> {
        self.is_settled = false;
        self.request_reservation(Vec::new());
        match self.reservation_outcome().await {
            Ok(Some(Outcome::Durable)) => Ok(()),
            Ok(_) | Err(_) => Err(Interruption::RecordNotDurable),
        }
    }

    /// Settles the turn without waiting for the outcome. The change may be deferred and
    /// sent together with another one.
    pub fn settle_later(&mut self) {
        self.is_settled = true;
        if let Some(grant) = self.grant.take() {
            return self.settle_grant(grant, self.emitted_tokens());
        }
        let change = Change::Settle {
            attempt: self.attempt.clone(),
            tokens: self.unsettled_tokens(),
            record: None,
        };
        self.gateway
            .commits
            .submit_deferred(self.program.clone(), change);
    }

    fn settle_grant(&self, grant: Grant, tokens: u64) {
        let change = Change::SettleGrant {
            attempt: self.attempt.clone(),
            grant: grant.id.clone(),
            tokens,
        };
        let outcome = self.gateway.commits.submit(self.program.clone(), change);
        let gateway = Rc::clone(&self.gateway);
        let program = self.program.clone();
        actix_rt::spawn(escrow::settle(gateway, program, grant, tokens, outcome));
    }
}

impl Drop for Spending {
    fn drop(&mut self) {
        if self.is_settled {
            return;
        }
        match self.grant.take() {
            Some(grant) => self.settle_grant(grant, self.emitted_tokens()),
            // The settlement is sent at once, because the caller may retry immediately at
            // another host.
            None => drop(self.settle(None)),
        }
    }
}

/// Returns the escrow slots that limit the reservation of a turn.
fn escrow_terms(call: &Call, header: &ProgramHeader, max_output_tokens: u64) -> EscrowTerms {
    let Some(budget_tokens) = header.budget_tokens else {
        return EscrowTerms::Excluded;
    };
    EscrowTerms::new(call.route.takes_grants(), max_output_tokens, budget_tokens)
}

/// Returns the time for which a program's ledger is kept after a turn of a route.
pub fn ledger_retention(route: &Route) -> Duration {
    match route.keeps_history {
        true => route.retention,
        false => route.retention.max(MIN_LEDGER_RETENTION),
    }
}

/// Waits until the store is reachable for a program.
async fn until_reachable(gateway: &Gateway, program: &str) {
    while gateway.check_reachable(program).is_err() {
        tokio::time::sleep(REACHABILITY_POLL_INTERVAL).await;
    }
}

/// Waits until the store is unreachable for a program, and returns the refusal.
async fn until_unreachable(gateway: &Gateway, program: &str) -> Refusal {
    loop {
        tokio::time::sleep(REACHABILITY_POLL_INTERVAL).await;
        if let Err(refusal) = gateway.check_reachable(program) {
            return refusal;
        }
    }
}

/// Returns the number of output tokens that one event of a service's streams contains.
pub fn tokens_per_event(gateway: &Gateway, service: &str) -> u64 {
    let routes = gateway.routes();
    let service = routes
        .as_ref()
        .and_then(|routes| routes.deployment().services.get(service));
    let engine = service.and_then(|service| service.engine);
    engine.map_or(1, |engine| engine.tokens_per_event)
}
