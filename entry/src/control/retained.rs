//! Asks sidecars what they retain for gained shards.

use std::collections::HashMap;
use std::pin::pin;
use std::time::Duration;

use actix_rt::time::timeout;
use futures_util::future::{Either, join_all, select};
use rosebend_coordination::owner::RetainedTurn;
use rosebend_protocol::peer::{
    DispatchRequest, Fence, RetainedCall, RetainedReply, RetainedRequest,
    sidecar_client::SidecarClient,
};
use rosebend_state::id::{Epoch, Shard};
use rosebend_state::record::{AnswerRecord, TurnRecord};
use rosebend_transport::peers::{MAX_MESSAGE_BYTES, Peers};
use rosebend_transport::traffic::Traffic;
use tokio::sync::oneshot;

use super::answers::answer_record;
use super::sidecars::SidecarAddress;
use crate::answer::LiveAnswer;
use crate::dispatch::{self, Attempt, AttemptEnd};

/// Silence after which a sidecar is asked again on a new connection. A reply takes
/// a few milliseconds; what is left of the 1.5 s in which all have to answer is
/// enough to connect, which may take 0.8 s, and for a reply.
const ASK_AGAIN_WAIT: Duration = Duration::from_millis(300);

/// Calls that sidecars retain, by shard.
#[derive(Debug, Default)]
pub(super) struct RetainedCalls {
    /// By shard.
    pub(super) calls: HashMap<Shard, Vec<RetainedTurn>>,
    /// The highest epoch of a shard at which one of the sidecars started, for
    /// each shard of which all sidecars told what they retain.
    pub(super) started: HashMap<Shard, Epoch>,
}

/// Asks all sidecars at once; those that do not answer in time are left out.
pub(super) async fn ask_all(
    traffic: &Traffic,
    sidecars: Vec<SidecarAddress>,
    fences: Vec<Fence>,
    wait: Duration,
) -> RetainedCalls {
    if fences.is_empty() {
        return RetainedCalls::default();
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
    let mut answers = Vec::new();
    for answer in join_all(asked).await {
        answers.push(answer.ok().flatten());
    }
    RetainedCalls {
        started: newest_starts(&answers),
        calls: by_shard(answers),
    }
}

/// What one sidecar told.
#[derive(Debug)]
struct Told {
    calls: Vec<(Shard, RetainedTurn)>,
    /// Epochs of the shards when it started, as far as it knows them.
    started: HashMap<Shard, Epoch>,
}

/// The highest epoch of each shard at which any of the sidecars started; no
/// shard, when one of them did not answer.
fn newest_starts(answers: &[Option<Told>]) -> HashMap<Shard, Epoch> {
    let mut newest: Option<HashMap<Shard, Epoch>> = None;
    for answer in answers {
        let Some(told) = answer else {
            return HashMap::new();
        };
        newest = Some(match newest {
            None => told.started.clone(),
            Some(newest) => later_of(newest, &told.started),
        });
    }
    newest.unwrap_or_default()
}

/// The later epoch of each shard that both sides know.
fn later_of(one: HashMap<Shard, Epoch>, other: &HashMap<Shard, Epoch>) -> HashMap<Shard, Epoch> {
    let both = one.into_iter().filter_map(|(shard, epoch)| {
        let other = other.get(&shard)?;
        Some((shard, epoch.max(*other)))
    });
    both.collect()
}

fn by_shard(answers: Vec<Option<Told>>) -> HashMap<Shard, Vec<RetainedTurn>> {
    let mut calls: HashMap<Shard, Vec<RetainedTurn>> = HashMap::new();
    for (shard, call) in answers.into_iter().flatten().flat_map(|told| told.calls) {
        calls.entry(shard).or_default().push(call);
    }
    calls
}

/// None when the sidecar did not tell everything.
async fn ask(peers: &Peers, address: &str, fences: Vec<Fence>) -> Option<Told> {
    let reply = ask_twice(peers, address, &fences).await?;
    let started = reply
        .started
        .iter()
        .map(|fence| (fence.shard, fence.epoch))
        .collect();
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
    Some(Told {
        calls: turns,
        started,
    })
}

/// Asks on the connection that is open and, when nothing comes on it, on a new
/// one. The open one may have gone silent just now, and a call that its sidecar
/// does not tell is unknown to the shard's new owner. The first reply counts.
async fn ask_twice(peers: &Peers, address: &str, fences: &[Fence]) -> Option<RetainedReply> {
    let mut first = pin!(ask_once(peers, address, fences));
    match timeout(ASK_AGAIN_WAIT, &mut first).await {
        Ok(Some(reply)) => return Some(reply),
        // It broke.
        Ok(None) => return ask_once(peers, address, fences).await,
        Err(_) => peers.forget(address),
    }
    let second = pin!(ask_once(peers, address, fences));
    match select(first, second).await {
        Either::Left((Some(reply), _)) | Either::Right((Some(reply), _)) => Some(reply),
        Either::Left((None, second)) => second.await,
        Either::Right((None, first)) => first.await,
    }
}

async fn ask_once(peers: &Peers, address: &str, fences: &[Fence]) -> Option<RetainedReply> {
    let channel = peers.channel(address).await.ok()?;
    let mut client = SidecarClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
    let fences = fences.to_vec();
    let Ok(reply) = client.retained(RetainedRequest { fences }).await else {
        peers.forget(address);
        return None;
    };
    Some(reply.into_inner())
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
