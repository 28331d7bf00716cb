//! Turns of programs: streamed answers whose history and spending are kept.
//!
//! What the turn may spend is durable before its first event goes out; that
//! commit runs while the endpoint reads the prompt. The turn's record and what
//! it really spent are durable before the end of the answer goes out.

use std::rc::Rc;

use actix_http::Response;
use actix_http::body::BoxBody;
use bytes::Bytes;

use crate::call::{self, Call};
use crate::exchange::{Exchange, Exchanged, Warm};
use crate::gateway::Gateway;
use crate::plain;
use crate::programs;
use crate::reply::Refusal;
use crate::spending::Spending;
use crate::turn_stream::{Record, pass_on};

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
    let program = call.header.program.clone();
    let Some(program) = program.filter(|_| call.route.keeps_history) else {
        return run_unrecorded(gateway, call).await;
    };
    if call.body.len() > MAX_INPUT_BYTES {
        return Err(Refusal::BodyTooLarge);
    }
    if !gateway.store.is_reachable() {
        return Err(gateway.store_unreachable());
    }
    let previous = programs::previous_turn(gateway, call, &program).await?;
    let mut spending = Spending::reserve(gateway, call, &program).await?;
    let (prompt, warm) = match &previous {
        Some(turn) => (
            Bytes::from(turn.prompt(&call.body)),
            Some(Warm {
                instance: turn.endpoint.clone(),
                tokens: turn.tokens,
            }),
        ),
        None => (call.body.clone(), None),
    };
    let exchanged = Exchange::new(gateway, call, prompt, warm).next().await?;
    if !is_stream(&exchanged) {
        return pass_failure(gateway, call, exchanged).await;
    }
    // It has run by now: that the budget is spent can't be said any more.
    let granted = spending.granted(call).await;
    granted.map_err(|_| Refusal::OutcomeUnknown)?;
    let record = Record {
        program,
        previous,
        output: Vec::new(),
    };
    pass_on(gateway, call, exchanged, Some((spending, record))).await
}

/// A streamed request that no program's history contains.
async fn run_unrecorded(
    gateway: &Rc<Gateway>,
    call: &Rc<Call>,
) -> Result<Response<BoxBody>, Refusal> {
    let exchanged = Exchange::new(gateway, call, call.body.clone(), None)
        .next()
        .await?;
    if !is_stream(&exchanged) {
        return pass_failure(gateway, call, exchanged).await;
    }
    pass_on(gateway, call, exchanged, None).await
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
