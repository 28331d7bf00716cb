//! Measures how long an engine holds a KV cache after its program has no more
//! right to it: `hold_times TOKENS_FILE ENGINE SIDECAR ROUNDS`, with
//! the addresses of a stand-in engine and of a running sidecar before it.
//!
//! The ways are: the owner's full list lacks the program; nobody renews the
//! lease (the time beyond the lease is printed); the sidecar never knew the
//! hold, as after its restart.

use std::time::{Duration, Instant};

use rosebend_protocol::peer::{
    CallKind, DispatchRequest, Fence, HoldsRequest, StatusRequest, sidecar_client::SidecarClient,
};
use rosebend_transport::{
    host_token::HostToken,
    peers::{PeerChannel, Peers},
    settings_file::load_tokens,
};
use serde_json::{Value, json};

/// Lease in the second way.
const LEASE: Duration = Duration::from_millis(500);
/// Pause between two looks at the engine.
const LOOK: Duration = Duration::from_millis(2);

type Client = SidecarClient<PeerChannel>;
type Error = Box<dyn std::error::Error>;

#[actix_rt::main]
async fn main() -> Result<(), Error> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [tokens_file, engine, sidecar, rounds] = args.as_slice() else {
        return Err("usage: hold_times TOKENS_FILE ENGINE SIDECAR ROUNDS".into());
    };
    let rounds = rounds.parse()?;
    let host_token = HostToken::new(&load_tokens(tokens_file.as_ref())?, "");
    let mut client = Client::new(Peers::new(host_token).channel(sidecar).await?);
    let engine = Engine(format!("http://{engine}"));
    let mut listed = Vec::new();
    let mut lapsed = Vec::new();
    let mut unknown = Vec::new();
    for round in 0..rounds {
        hold(&mut client, &format!("caribmar/listed-{round}")).await?;
        listed.push(end_by_list(&mut client, &engine).await?);

        let program = format!("caribmar/lapsed-{round}");
        hold(&mut client, &program).await?;
        renew(&mut client, vec![program], LEASE).await?;
        actix_rt::time::sleep(LEASE).await;
        time_until_empty(&engine, &mut lapsed).await?;

        engine.hold(&format!("caribmar/unknown-{round}")).await?;
        time_until_empty(&engine, &mut unknown).await?;
    }
    print("absent from the owner's list", listed);
    print("beyond a lease that nobody renewed", lapsed);
    print("unknown to the sidecar", unknown);
    Ok(())
}

/// The engine, asked and used beside the sidecar.
struct Engine(String);

impl Engine {
    async fn is_empty(&self) -> Result<bool, Error> {
        let mut reply = awc::Client::default()
            .get(format!("{}/kv", self.0))
            .send()
            .await
            .map_err(|error| error.to_string())?;
        let list: Value = reply.json().await?;
        Ok(list["holds"] == json!([]))
    }

    async fn hold(&self, program: &str) -> Result<(), Error> {
        let mut reply = awc::Client::default()
            .post(format!("{}/v1/chat/completions", self.0))
            .insert_header(("x-hold-kv", program))
            .send_json(&body(program))
            .await
            .map_err(|error| error.to_string())?;
        reply.body().await?;
        Ok(())
    }

    async fn until_empty(&self) -> Result<(), Error> {
        while !self.is_empty().await? {
            actix_rt::time::sleep(LOOK).await;
        }
        Ok(())
    }
}

fn body(program: &str) -> Value {
    let message = json!({"role": "user", "content": format!("Check {program}.")});
    json!({"model": "agent-llm", "messages": [message], "max_tokens": 2})
}

async fn hold(client: &mut Client, program: &str) -> Result<(), Error> {
    let status = client.status(StatusRequest::default()).await?.into_inner();
    let request = DispatchRequest {
        fence: Some(Fence { shard: 1, epoch: 1 }),
        call_id: format!("{program}#1"),
        attempt: 1,
        kind: CallKind::Model.into(),
        target: "agent-llm".to_owned(),
        repeatable: true,
        body: body(program).to_string().into(),
        incarnation: status.load.unwrap_or_default().incarnation,
        prompt_tokens: 16,
        max_answer_tokens: 2,
        hold_kv: true,
        ..DispatchRequest::default()
    };
    let mut stream = client.dispatch(request).await?.into_inner();
    while stream.message().await?.is_some() {}
    Ok(())
}

async fn renew(client: &mut Client, programs: Vec<String>, lease: Duration) -> Result<(), Error> {
    let request = HoldsRequest {
        fences: vec![Fence { shard: 1, epoch: 1 }],
        programs,
        lease_ms: u64::try_from(lease.as_millis())?,
    };
    client.holds(request).await?;
    Ok(())
}

async fn end_by_list(client: &mut Client, engine: &Engine) -> Result<Duration, Error> {
    let started = Instant::now();
    renew(client, Vec::new(), LEASE).await?;
    engine.until_empty().await?;
    Ok(started.elapsed())
}

async fn time_until_empty(engine: &Engine, times: &mut Vec<Duration>) -> Result<(), Error> {
    let started = Instant::now();
    engine.until_empty().await?;
    times.push(started.elapsed());
    Ok(())
}

fn print(way: &str, mut times: Vec<Duration>) {
    times.sort();
    let at = |share: usize| times[(times.len() - 1) * share / 100];
    println!(
        "{way}: p50 {:?}, largest {:?} of {}",
        at(50),
        at(100),
        times.len()
    );
}
