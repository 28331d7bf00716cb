//! Asks sidecars what they retain for gained shards.

use std::time::Duration;

use actix_rt::time::timeout;
use futures_util::future::join_all;
use rosebend_coordination::owner::RetainedTurn;
use rosebend_protocol::peer::{
    DispatchRequest, Fence, RetainedCall, RetainedRequest, sidecar_client::SidecarClient,
};
use rosebend_state::id::Shard;
use rosebend_state::record::{AnswerRecord, TurnRecord};
use rosebend_transport::peers::{MAX_MESSAGE_BYTES, Peers};
use rosebend_transport::traffic::Traffic;
use tokio::sync::oneshot;

use super::calls::answer_record;
use super::shards::RetainedCalls;
use super::sidecars::SidecarAddress;
use crate::answer::LiveAnswer;
use crate::dispatch::{self, Attempt, AttemptEnd};

/// Asks all sidecars at once; those that do not answer in time are left out.
pub(super) async fn ask_all(
    traffic: &Traffic,
    sidecars: Vec<SidecarAddress>,
    fences: Vec<Fence>,
    wait: Duration,
) -> RetainedCalls {
    if fences.is_empty() {
        return RetainedCalls {
            is_complete: true,
            ..RetainedCalls::default()
        };
    }
    let asked = sidecars.into_iter().map(|sidecar| {
        let (sender, answer) = oneshot::channel();
        let fences = fences.clone();
        traffic.spawn(move |peers| async move {
            let calls = timeout(wait, ask(&peers, &sidecar.address, fences)).await;
            let _ = sender.send(calls.ok().flatten());
        });
        answer
    });
    let mut all = RetainedCalls {
        is_complete: true,
        ..RetainedCalls::default()
    };
    for answer in join_all(asked).await {
        match answer.ok().flatten() {
            Some(calls) => {
                for (shard, call) in calls {
                    all.calls.entry(shard).or_default().push(call);
                }
            }
            None => all.is_complete = false,
        }
    }
    all
}

/// None when the sidecar did not tell everything.
async fn ask(
    peers: &Peers,
    address: &str,
    fences: Vec<Fence>,
) -> Option<Vec<(Shard, RetainedTurn)>> {
    let channel = peers.channel(address).await.ok()?;
    let mut client = SidecarClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
    let reply = client
        .retained(RetainedRequest {
            fences: fences.clone(),
        })
        .await;
    let Ok(reply) = reply else {
        peers.forget(address);
        return None;
    };
    let reply = reply.into_inner();
    let mut turns = Vec::new();
    for call in reply.calls {
        let Ok(turn) = serde_json::from_slice::<TurnRecord>(&call.record) else {
            continue;
        };
        let fence = fences
            .iter()
            .find(|fence| fence.shard == call.shard)
            .copied();
        let answer = match &call.answer {
            Some(_) => Some(read_answer(peers, address, fence, &call).await?),
            None => None,
        };
        let attempt = call.attempt;
        let retained = RetainedTurn {
            turn,
            attempt,
            answer,
        };
        turns.push((call.shard, retained));
    }
    Some(turns)
}

async fn read_answer(
    peers: &Peers,
    address: &str,
    fence: Option<Fence>,
    call: &RetainedCall,
) -> Option<AnswerRecord> {
    let answer = LiveAnswer::new();
    let request = DispatchRequest {
        fence,
        call_id: call.call_id.clone(),
        ..DispatchRequest::default()
    };
    let attempt = Attempt {
        address: address.to_owned(),
        request,
        answer: answer.clone(),
        is_resume: true,
    };
    match dispatch::run(peers.clone(), attempt).await {
        AttemptEnd::Finished(finished) => Some(answer_record(&answer, &finished)),
        _ => None,
    }
}
