//! Streamed answers, and what of a program's turn lasts.
//!
//! Two things may last, each without the other: what the program spends, where
//! the caller names a budget, and what was said, where the route keeps history.
//! What the turn may spend is durable before its first event goes out; that
//! commit runs while the endpoint reads the prompt. A record is durable before
//! the end of the answer goes out; what a turn without one really spent is
//! written afterwards.

use std::rc::Rc;

use actix_http::Response;
use actix_http::body::BoxBody;
use bytes::Bytes;
use rosebend_state::deployment::ProgramHeader;

use crate::call::{self, Call};
use crate::exchange::{Exchange, Exchanged, Warm};
use crate::gateway::Gateway;
use crate::plain;
use crate::programs;
use crate::reply::Refusal;
use crate::spending::Spending;
use crate::turn_stream::{Kept, Record, pass_on};

/// Largest input of a turn that is kept: it becomes durable in one transaction
/// together with its output, and one holds 1 MB of encoded rows.
const MAX_INPUT_BYTES: usize = 400_000;

/// Answers a turn.
pub async fn answer(gateway: &Rc<Gateway>, call: Call) -> Response<BoxBody> {
    let call = Rc::new(call);
    match run(gateway, &call).await {
        Ok(response) => response,
        Err(refusal) => call::refuse(gateway, &call, refusal),
    }
}

async fn run(gateway: &Rc<Gateway>, call: &Rc<Call>) -> Result<Response<BoxBody>, Refusal> {
    admit(gateway, call)?;
    let history = history(gateway, call).await?;
    let mut spending = match spender(call) {
        Some(program) => Some(Spending::reserve(gateway, call, &program).await?),
        None => None,
    };
    let (prompt, warm) = match history.as_ref().and_then(|record| record.previous.as_ref()) {
        Some(turn) => (
            Bytes::from(turn.prompt(&call.body)),
            Some(Warm {
                endpoint: turn.endpoint.clone(),
                tokens: turn.tokens,
            }),
        ),
        None => (call.body.clone(), None),
    };
    let mut exchange = Exchange::new(gateway, call, prompt, warm);
    let exchanged = exchange.next().await?;
    if !is_stream(&exchanged) {
        return pass_failure(gateway, call, exchanged).await;
    }
    if let Some(spending) = &mut spending {
        // It has run by now: that the budget is spent can't be said any more.
        let granted = spending.wait_until_granted(call).await;
        granted.map_err(|_| Refusal::OutcomeUnknown)?;
    }
    let kept = Kept {
        spending,
        record: history,
    };
    pass_on(gateway, call, exchange, exchanged, kept).await
}

/// Whether a new program may begin while engines have queues.
fn admit(gateway: &Gateway, call: &Call) -> Result<(), Refusal> {
    if !begins_program(gateway, call) {
        return Ok(());
    }
    let admission = gateway.admission.borrow();
    let now = gateway.clock.now();
    let retry_after =
        admission.refusal_delay(&call.service, call.urgency(), &call.header.attempt, now);
    retry_after.map_or(Ok(()), |retry_after| Err(Refusal::Overloaded(retry_after)))
}

/// Whether a turn begins its program, as far as this host can tell. Where no history
/// is kept, a program counts as new that this host has not served.
fn begins_program(gateway: &Gateway, call: &Call) -> bool {
    if call.route.keeps_history {
        return call.begins_program();
    }
    let program = spender(call);
    program.is_some_and(|program| !gateway.commits.knows(&program.program))
}

/// The beginning of the turn's record, where the route keeps history.
async fn history(gateway: &Rc<Gateway>, call: &Call) -> Result<Option<Record>, Refusal> {
    let Some(program) = call.program().filter(|_| call.route.keeps_history) else {
        return Ok(None);
    };
    if call.body.len() > MAX_INPUT_BYTES {
        return Err(Refusal::BodyTooLarge);
    }
    gateway.reach(&program.program)?;
    let previous = programs::previous_turn(gateway, call, &program).await?;
    Ok(Some(Record {
        program,
        previous,
        output: Vec::new(),
    }))
}

/// The program whose ledger the turn needs: it has a budget, or a record, which
/// lasts as long as the ledger.
fn spender(call: &Call) -> Option<ProgramHeader> {
    let program = call.program()?;
    let is_counted = program.budget_tokens.is_some() || call.route.keeps_history;
    is_counted.then_some(program)
}

fn is_stream(exchanged: &Exchanged) -> bool {
    exchanged.response.status().is_success()
}

async fn pass_failure(
    gateway: &Rc<Gateway>,
    call: &Call,
    exchanged: Exchanged,
) -> Result<Response<BoxBody>, Refusal> {
    match plain::read_whole(gateway, call, exchanged).await {
        Ok(reply) => Ok(reply.into_response()),
        Err(_) => Err(Refusal::OutcomeUnknown),
    }
}
