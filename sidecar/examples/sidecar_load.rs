//! Puts calls into one running sidecar, to measure what they cost it.
//!
//! ```text
//! sidecar_load TOKENS_FILE ADDRESS MODE CALLS [TOKENS]
//! ```
//!
//! Modes: `tools` and `models` run calls to their end, one after the other on
//! each of 16 streams, and leave their answers unacknowledged; `timed-tools`
//! and `timed-models` run them one at a time, acknowledge each, and print the
//! times; `queue` dispatches model calls and leaves them to the queue; `polls`
//! asks for the status, as entries do, one time after the other.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use prost::Message;
use rosebend_protocol::peer::{
    AcknowledgeRequest, AnswerEvent, CallKind, DispatchRequest, Fence, StatusRequest,
    answer_event::Event, sidecar_client::SidecarClient,
};
use rosebend_transport::{
    host_token::HostToken,
    peers::{PeerChannel, Peers},
    settings_file::load_tokens,
};
use tonic::Streaming;

/// Streams on which calls run at once.
const STREAMS: usize = 16;

type Client = SidecarClient<PeerChannel>;
type Error = Box<dyn std::error::Error + Send + Sync>;

#[actix_rt::main]
async fn main() -> Result<(), Error> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [tokens_file, address, mode, calls, rest @ ..] = args.as_slice() else {
        return Err("usage: sidecar_load TOKENS_FILE ADDRESS MODE CALLS [TOKENS]".into());
    };
    let tokens = rest.first().map_or(Ok(100), |tokens| tokens.parse())?;
    let calls: usize = calls.parse()?;
    let host_token = HostToken::new(&load_tokens(tokens_file.as_ref())?, "");
    let mut client = Client::new(Peers::new(host_token).channel(address).await?);
    let status = client.status(StatusRequest::default()).await?.into_inner();
    let incarnation = status.load.unwrap_or_default().incarnation;
    let is_tool = mode.ends_with("tools");
    let request = Arc::new(move |call| request(call, is_tool, tokens, &incarnation));
    match mode.as_str() {
        "tools" | "models" => run_all(&client, calls, request).await,
        "timed-tools" | "timed-models" => time_all(client, calls, &*request).await,
        "queue" => queue_all(client, calls, &*request).await,
        "polls" => poll(client, calls).await,
        _ => Err("the mode is tools, models, timed-tools, timed-models, queue or polls".into()),
    }
}

fn request(call: usize, is_tool: bool, tokens: u64, incarnation: &str) -> DispatchRequest {
    let body = serde_json::json!({
        "model": "agent-llm",
        "messages": [{"role": "user", "content": format!("Check sea service {call}.")}],
        "max_tokens": tokens,
    });
    let kind = if is_tool {
        CallKind::Tool
    } else {
        CallKind::Model
    };
    DispatchRequest {
        fence: Some(Fence { shard: 1, epoch: 1 }),
        call_id: format!("caribmar/load-{}-{call}#1", std::process::id()),
        attempt: 1,
        kind: kind.into(),
        target: "lookup".to_owned(),
        body: body.to_string().into(),
        incarnation: incarnation.to_owned(),
        prompt_tokens: 16,
        max_answer_tokens: if is_tool { 0 } else { tokens },
        attained_tokens: 1,
        ..DispatchRequest::default()
    }
}

/// Reads an answer to its end; fails unless it is whole.
async fn read(mut stream: Streaming<AnswerEvent>) -> Result<(), Error> {
    while let Some(event) = stream.message().await? {
        match event.event {
            Some(Event::Refusal(refusal)) => return Err(format!("{refusal:?}").into()),
            Some(Event::Failure(failure)) => return Err(format!("{failure:?}").into()),
            _ => {}
        }
    }
    Ok(())
}

async fn run_all<R>(client: &Client, calls: usize, request: Arc<R>) -> Result<(), Error>
where
    R: Fn(usize) -> DispatchRequest + 'static,
{
    let started = Instant::now();
    let streams: Vec<_> = (0..STREAMS)
        .map(|first| {
            let (mut client, request) = (client.clone(), Arc::clone(&request));
            actix_rt::spawn(async move {
                for call in (first..calls).step_by(STREAMS) {
                    read(client.dispatch(request(call)).await?.into_inner()).await?;
                }
                Ok::<(), Error>(())
            })
        })
        .collect();
    for stream in streams {
        stream.await??;
    }
    let seconds = started.elapsed().as_secs_f64();
    println!("{calls} calls in {seconds:.2} s");
    Ok(())
}

async fn time_all(
    mut client: Client,
    calls: usize,
    request: &impl Fn(usize) -> DispatchRequest,
) -> Result<(), Error> {
    let mut times = Vec::with_capacity(calls);
    for call in 0..calls {
        let request = request(call);
        let acknowledge = AcknowledgeRequest {
            fence: request.fence,
            call_ids: vec![request.call_id.clone()],
        };
        let started = Instant::now();
        read(client.dispatch(request).await?.into_inner()).await?;
        times.push(started.elapsed());
        client.acknowledge(acknowledge).await?;
    }
    times.sort();
    let at = |share: usize| times[(times.len() - 1) * share / 100];
    println!("p50 {:?}, p99 {:?} of {calls}", at(50), at(99));
    Ok(())
}

async fn poll(mut client: Client, polls: usize) -> Result<(), Error> {
    let mut bytes = 0;
    for _ in 0..polls {
        let reply = client.status(StatusRequest::default()).await?.into_inner();
        bytes += reply.encoded_len();
    }
    println!(
        "{polls} polls, {} bytes in each reply",
        bytes / polls.max(1)
    );
    Ok(())
}

async fn queue_all(
    mut client: Client,
    calls: usize,
    request: &impl Fn(usize) -> DispatchRequest,
) -> Result<(), Error> {
    let mut refused = 0;
    for call in 0..calls {
        let mut stream = client.dispatch(request(call)).await?.into_inner();
        let first = actix_rt::time::timeout(Duration::from_millis(2), stream.message()).await;
        if let Ok(Ok(Some(event))) = first {
            refused += usize::from(matches!(event.event, Some(Event::Refusal(_))));
        }
    }
    println!("{calls} calls dispatched, {refused} refused");
    Ok(())
}
