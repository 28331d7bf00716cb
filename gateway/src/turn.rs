//! Serves turns: requests with a streamed answer, which may belong to a program.
//!
//! A turn may have two kinds of durable state, each independent of the other. If the
//! caller gives a budget, the tokens that the program spends are stored in its
//! ledger. If the route keeps history, the input and output of the turn are stored in
//! a record. The reservation of the turn's tokens is durable before the first event
//! is forwarded; that commit runs while the endpoint processes the prompt. The record
//! is durable before the end of the answer is forwarded. If there is no record, the
//! tokens that the turn spent are written after the answer has ended.

use std::rc::Rc;

use actix_http::Response;
use actix_http::body::BoxBody;
use rosebend_state::deployment::ProgramHeader;
use rosebend_transport::event::{Event, EventKind};

use crate::call::{self, Call};
use crate::endpoint_request::EndpointResponse;
use crate::engine_scheduling;
use crate::exchange::{Exchange, WarmEndpoint};
use crate::gateway::Gateway;
use crate::plain;
use crate::programs::{self, LedgerLookup};
use crate::reply::Refusal;
use crate::spending::Spending;
use crate::turn_stream::{DurableState, Record, forward_stream};

/// Maximum size of a recorded turn's input. The input is written in one transaction
/// with the output, and a transaction holds at most 1 MB of encoded rows.
const MAX_INPUT_BYTES: usize = 400_000;

/// Serves a turn and returns the response to its caller.
pub async fn answer(gateway: &Rc<Gateway>, call: Call) -> Response<BoxBody> {
    let call = Rc::new(call);
    match run(gateway, &call).await {
        Ok(response) => response,
        Err(refusal) => call::refuse(gateway, &call, refusal),
    }
}

async fn run(gateway: &Rc<Gateway>, call: &Rc<Call>) -> Result<Response<BoxBody>, Refusal> {
    admit(gateway, call).await?;
    let turn_record = start_record(gateway, call).await?;
    let mut spending = match program_with_ledger(call) {
        Some(program) => Some(Spending::reserve(gateway, call, &program).await?),
        None => None,
    };
    let (prompt, warm) = match turn_record
        .as_ref()
        .and_then(|record| record.previous.as_ref())
    {
        Some(turn) => (
            gateway.clients.hold(turn.prompt(&call.body))?,
            Some(WarmEndpoint {
                endpoint: turn.endpoint.clone(),
                tokens: turn.tokens,
            }),
        ),
        None => (call.body.clone(), None),
    };
    let mut exchange = Exchange::new(gateway, call, prompt, warm);
    let exchanged = exchange.next().await?;
    if !is_stream(&exchanged) {
        return forward_failure(gateway, call, exchanged).await;
    }
    if let Some(spending) = &mut spending {
        // The endpoint has started the turn, so the response may no longer state that the
        // turn did not run.
        let granted = spending.wait_until_granted(call).await;
        granted.map_err(|_| Refusal::OutcomeUnknown)?;
    }
    let durable_state = DurableState {
        spending,
        record: turn_record,
    };
    forward_stream(gateway, call, exchange, exchanged, durable_state).await
}

/// Refuses the first turn of a program if the queues of the engines are too long.
/// Turns of programs in progress are always admitted.
async fn admit(gateway: &Rc<Gateway>, call: &Call) -> Result<(), Refusal> {
    if !starts_program(gateway, call) {
        return Ok(());
    }
    let decision = match engine_scheduling::admit(gateway, call).await {
        Some(decision) => decision,
        None => admit_new_program(gateway, call),
    };
    let Err(refusal) = decision else {
        return Ok(());
    };
    match is_in_progress_elsewhere(gateway, call).await {
        true => Ok(()),
        false => Err(refusal),
    }
}

/// Decides whether a new program may start, by the queues that this host observed.
fn admit_new_program(gateway: &Gateway, call: &Call) -> Result<(), Refusal> {
    let admission = gateway.admission.borrow();
    let now = gateway.clock.now();
    let retry_after =
        admission.refusal_delay(&call.service, call.urgency(), &call.header.attempt, now);
    let Some(retry_after) = retry_after else {
        return Ok(());
    };
    let age = admission.sample_age(&call.service, now).unwrap_or_default();
    let event = Event::new(EventKind::AdmissionRefused).elapsed(call.elapsed(now));
    let event = event.wait_ms(admission.wait_ms(&call.service, now) as u64);
    call.request_log.add_step(event.age(age));
    Err(Refusal::Overloaded(retry_after))
}

/// Returns whether a program without history that seems new to this host is in progress
/// at other hosts, according to the store. Until the store has answered, a first turn here
/// may be a later turn of the program.
async fn is_in_progress_elsewhere(gateway: &Gateway, call: &Call) -> bool {
    let program = program_with_ledger(call).filter(|_| !call.route.keeps_history);
    let Some(program) = program else {
        return false;
    };
    let lookup = programs::look_up_ledger(gateway, call, &program.program).await;
    lookup == LedgerLookup::InProgress
}

/// Returns whether a turn is the first of its program. If the route keeps no history,
/// a program is considered new unless this host has its ledger in the cache; see
/// [`is_in_progress_elsewhere`].
fn starts_program(gateway: &Gateway, call: &Call) -> bool {
    if call.route.keeps_history {
        return call.starts_program();
    }
    let program = program_with_ledger(call);
    program.is_some_and(|program| !gateway.commits.has_cached_ledger(&program.program))
}

/// Returns the turn's record, still without output, or `None` if the route keeps no
/// history.
async fn start_record(gateway: &Rc<Gateway>, call: &Call) -> Result<Option<Record>, Refusal> {
    let Some(program) = call.program().filter(|_| call.route.keeps_history) else {
        return Ok(None);
    };
    if call.body.len() > MAX_INPUT_BYTES {
        return Err(Refusal::BodyTooLarge);
    }
    gateway.check_reachable(&program.program)?;
    let previous = programs::previous_turn(gateway, call, &program).await?;
    Ok(Some(Record {
        program,
        previous,
        output: Vec::new(),
    }))
}

/// Returns the turn's program if the turn needs the program's ledger. That is the case
/// if the program has a budget, or if the turn has a record, because records are
/// deleted together with the ledger.
fn program_with_ledger(call: &Call) -> Option<ProgramHeader> {
    let program = call.program()?;
    let needs_ledger = program.budget_tokens.is_some() || call.route.keeps_history;
    needs_ledger.then_some(program)
}

fn is_stream(exchanged: &EndpointResponse) -> bool {
    exchanged.response.status().is_success()
}

/// Forwards an unsuccessful answer of an endpoint, which is not streamed.
async fn forward_failure(
    gateway: &Rc<Gateway>,
    call: &Call,
    exchanged: EndpointResponse,
) -> Result<Response<BoxBody>, Refusal> {
    match plain::read_response(gateway, call, exchanged).await {
        Ok(reply) => Ok(reply.into_response()),
        Err(_) => Err(Refusal::OutcomeUnknown),
    }
}
