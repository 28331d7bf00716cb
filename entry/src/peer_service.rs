//! What an entry serves to other entries.

use std::pin::Pin;

use actix_rt::time::timeout;
use futures_util::{Stream, stream};
use rosebend_protocol::peer::{
    ExchangeReply, ExchangeRequest, ForwardEvent, ForwardRequest, HandoffReply, HandoffRequest,
    Ping, Refusal, RefusalReason, entry_server::Entry, forward_event::Event,
};
use rosebend_transport::peers::PING_INTERVAL;
use tokio::sync::mpsc;
use tonic::{Request, Response, Status};

use crate::control::{Command, ControlHandle};
use crate::serve;

/// Serves other entries.
#[derive(Clone, Debug)]
pub struct PeerService {
    control: ControlHandle,
}

impl PeerService {
    /// A service over the control thread.
    pub fn new(control: ControlHandle) -> Self {
        Self { control }
    }
}

type ForwardStream = Pin<Box<dyn Stream<Item = Result<ForwardEvent, Status>> + Send>>;

#[tonic::async_trait]
impl Entry for PeerService {
    type ForwardStream = ForwardStream;

    async fn forward(
        &self,
        request: Request<ForwardRequest>,
    ) -> Result<Response<ForwardStream>, Status> {
        let (sender, receiver) = mpsc::channel(32);
        let control = self.control.clone();
        let request = request.into_inner();
        // The reply begins at once, so that pings flow while the call waits.
        tokio::spawn(async move { forward(&control, &request, &sender).await });
        let events = stream::unfold(receiver, |mut receiver| async move {
            let event = receiver.recv().await?;
            Some((Ok(ForwardEvent { event: Some(event) }), receiver))
        });
        Ok(Response::new(Box::pin(events)))
    }

    async fn exchange(
        &self,
        request: Request<ExchangeRequest>,
    ) -> Result<Response<ExchangeReply>, Status> {
        let revision = request.into_inner().config_revision;
        let lacking = self.control.config_lacking(revision).await;
        let stopped = || Status::unavailable("the entry has stopped");
        lacking.map(Response::new).ok_or_else(stopped)
    }

    async fn handoff(
        &self,
        request: Request<HandoffRequest>,
    ) -> Result<Response<HandoffReply>, Status> {
        let request = request.into_inner();
        let fences = request.fences.iter();
        let accepted_shards = fences.map(|fence| fence.shard).collect();
        self.control.send(Command::HandoffOffered(request.shards));
        Ok(Response::new(HandoffReply { accepted_shards }))
    }
}

async fn forward(control: &ControlHandle, request: &ForwardRequest, sender: &mpsc::Sender<Event>) {
    let served = serve::serve(control, request);
    let mut served = std::pin::pin!(served);
    let events = loop {
        match timeout(PING_INTERVAL, &mut served).await {
            Ok(events) => break events,
            Err(_) if sender.send(Event::Ping(Ping {})).await.is_err() => return,
            Err(_) => {}
        }
    };
    match events {
        Ok(events) => pass_on(events, sender).await,
        Err(not_owner) => {
            let refusal = Refusal {
                reason: RefusalReason::NotOwner.into(),
                owner_address: not_owner.address.unwrap_or_default(),
                ..Refusal::default()
            };
            let _ = sender.send(Event::Refusal(refusal)).await;
        }
    }
}

async fn pass_on(mut events: mpsc::Receiver<Event>, sender: &mpsc::Sender<Event>) {
    loop {
        let event = match timeout(PING_INTERVAL, events.recv()).await {
            Ok(Some(event)) => event,
            // The program moved; the other side asks the new owner.
            Ok(None) => return,
            Err(_) => Event::Ping(Ping {}),
        };
        if sender.send(event).await.is_err() {
            return;
        }
    }
}
