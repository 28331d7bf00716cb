//! Sidecars: load reports, holds, acknowledgements.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use actix_rt::time::timeout;
use rosebend_coordination::neighbours::{self, Candidate};
use rosebend_coordination::queue::LoadView;
use rosebend_coordination::routing::{EndpointInfo, EndpointState};
use rosebend_protocol::peer::{
    AcknowledgeRequest, Fence, HoldsRequest, Load, StatusReply, StatusRequest,
    sidecar_client::SidecarClient,
};
use rosebend_state::id::{CallId, EndpointId, Epoch, Incarnation, Shard};
use rosebend_transport::event::{Event as LogEvent, EventKind, log_event};

use super::Command;
use super::directory::DirectoryEndpoint;
use super::state::Control;
use crate::dispatch::REQUEST_TIMEOUT;

/// Lease of a program's KV cache at an endpoint; renewed with each poll.
const HOLD_LEASE: Duration = Duration::from_secs(10);
/// Silent polls in a row after which an endpoint gets no new calls.
const SILENT_POLLS: u32 = 2;

/// Where a sidecar is reached.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct SidecarAddress {
    pub(super) endpoint: EndpointId,
    pub(super) address: String,
}

/// A sidecar as this entry sees it.
#[derive(Debug, Default)]
pub(super) struct SidecarView {
    pub(super) incarnation: Incarnation,
    pub(super) leaving: bool,
    pub(super) config_revision: u64,
    silent_polls: u32,
    polling: bool,
    /// Calls to acknowledge with the next poll.
    acknowledge: HashMap<Shard, (Epoch, Vec<CallId>)>,
    /// Whether the last list of holds that it got had any program.
    had_holds: bool,
}

impl SidecarView {
    /// Whether calls wait to be acknowledged there.
    pub(super) fn has_news(&self) -> bool {
        !self.acknowledge.is_empty()
    }

    /// Whether it is still to be told that calls are durable.
    pub(super) fn awaits_acknowledgement(&self) -> bool {
        !self.is_silent() && (self.polling || !self.acknowledge.is_empty())
    }

    pub(super) fn is_silent(&self) -> bool {
        self.silent_polls >= SILENT_POLLS
    }
}

impl Control {
    /// The addresses of all declared sidecars.
    pub(super) fn sidecar_addresses(&self) -> Vec<SidecarAddress> {
        self.directory
            .endpoints
            .values()
            .map(|endpoint| SidecarAddress {
                endpoint: endpoint.id.clone(),
                address: endpoint.address.clone(),
            })
            .collect()
    }

    /// The address of a sidecar; empty, and so never reached, when it is no
    /// longer declared.
    pub(super) fn sidecar_address(&self, endpoint: &str) -> String {
        self.directory
            .endpoints
            .get(endpoint)
            .map(|known| known.address.clone())
            .unwrap_or_default()
    }

    /// Tells the router which endpoints there are.
    pub(super) fn refresh_router(&mut self) {
        let targets = self.tracked_targets();
        self.tracked = targets.keys().cloned().collect();
        let tracked = |endpoint: &DirectoryEndpoint| targets.get(&endpoint.id).cloned();
        let endpoints = self.directory.endpoints.values();
        let listed = endpoints.filter_map(|endpoint| {
            let targets = tracked(endpoint)?;
            let view = self.sidecars.get(&endpoint.id);
            let incarnation = view
                .map(|view| view.incarnation.clone())
                .unwrap_or_default();
            let state = match view {
                _ if endpoint.draining => EndpointState::Draining,
                Some(view) if view.leaving => EndpointState::Leaving,
                Some(view) if view.is_silent() || view.incarnation.is_empty() => {
                    EndpointState::Down
                }
                Some(_) => EndpointState::Live,
                None => EndpointState::Down,
            };
            Some(EndpointInfo {
                id: endpoint.id.clone(),
                zone: endpoint.availability_zone.clone(),
                targets,
                incarnation,
                state,
            })
        });
        self.router.set_endpoints(listed.collect());
    }

    /// The models and tools for which this entry keeps up with an endpoint, by
    /// endpoint.
    fn tracked_targets(&self) -> BTreeMap<EndpointId, Vec<String>> {
        let mut serving: BTreeMap<&String, Vec<Candidate<'_>>> = BTreeMap::new();
        for endpoint in self.directory.endpoints.values() {
            for target in &endpoint.targets {
                serving.entry(target).or_default().push(Candidate {
                    endpoint: &endpoint.id,
                    availability_zone: &endpoint.availability_zone,
                });
            }
        }
        let entry = &self.settings.entry;
        let mut tracked: BTreeMap<EndpointId, Vec<String>> = BTreeMap::new();
        for (target, candidates) in serving {
            let chosen =
                neighbours::endpoints_of(&entry.host, &entry.availability_zone, &candidates);
            for endpoint in chosen {
                tracked
                    .entry(endpoint.clone())
                    .or_default()
                    .push(target.clone());
            }
        }
        tracked
    }

    /// Tells sidecars at once which answers are durable.
    pub(super) fn poll_sidecars_with_news(&mut self) {
        for endpoint in self.endpoints_with_news() {
            self.poll_sidecar(&endpoint);
        }
    }

    fn endpoints_with_news(&self) -> BTreeSet<EndpointId> {
        let with_news = self.sidecars.iter().filter(|(_, view)| view.has_news());
        with_news.map(|(id, _)| id.clone()).collect()
    }

    pub(super) fn poll_sidecars(&mut self) {
        let mut due = self.endpoints_with_news();
        due.extend(self.tracked.iter().cloned());
        for endpoint in due {
            self.poll_sidecar(&endpoint);
        }
        let due = std::mem::take(&mut self.holds_due);
        for endpoint in self.engines_with_holds(due) {
            self.send_holds(&endpoint);
        }
    }

    pub(super) fn poll_sidecar(&mut self, endpoint: &EndpointId) {
        let address = self.sidecar_address(endpoint);
        let view = self.sidecars.entry(endpoint.clone()).or_default();
        if view.polling || address.is_empty() {
            return;
        }
        view.polling = true;
        let acknowledge = std::mem::take(&mut view.acknowledge);
        let request = self.status_request(endpoint);
        let endpoint = endpoint.clone();
        let handle = self.handle.clone();
        let asked_at = self.now();
        self.traffic.spawn(move |peers| async move {
            let status = async {
                let channel = peers.channel(&address).await.ok()?;
                let mut client = SidecarClient::new(channel);
                for (shard, (epoch, calls)) in acknowledge {
                    let call_ids = calls.iter().map(ToString::to_string).collect();
                    let fence = Some(Fence { shard, epoch });
                    // A lost acknowledgement costs memory at the sidecar until
                    // the shard's next owner lists what it retains.
                    let _ = client
                        .acknowledge(AcknowledgeRequest { fence, call_ids })
                        .await;
                }
                Some(client.status(request).await.ok()?.into_inner())
            };
            let status: Option<StatusReply> = timeout(REQUEST_TIMEOUT, status).await.ok().flatten();
            if status.is_none() {
                peers.forget(&address);
            }
            handle.send(Command::SidecarStatus {
                endpoint,
                asked_at,
                status,
            });
        });
    }

    /// Asks for the status, and hands over what the sidecar lacked when it
    /// last told its revision; nothing before it ever did.
    fn status_request(&self, endpoint: &EndpointId) -> StatusRequest {
        let view = self.sidecars.get(endpoint);
        let known = view.filter(|view| !view.incarnation.is_empty());
        let lacking = known.map(|view| self.config_lacking(view.config_revision));
        let lacking = lacking.unwrap_or_default();
        StatusRequest {
            sender: self.settings.entry.host.clone(),
            config_revision: self.configuration.revision(),
            changes: lacking.changes,
            snapshot: lacking.snapshot,
        }
    }

    pub(super) fn sidecar_status(
        &mut self,
        endpoint: &EndpointId,
        asked_at: Duration,
        status: Option<StatusReply>,
    ) {
        let Some(view) = self.sidecars.get_mut(endpoint) else {
            return;
        };
        view.polling = false;
        let before = (view.incarnation.clone(), view.leaving, view.is_silent());
        match &status {
            Some(reply) => {
                view.silent_polls = 0;
                view.config_revision = reply.config_revision;
                if let Some(load) = &reply.load {
                    view.incarnation.clone_from(&load.incarnation);
                    view.leaving = load.leaving;
                }
            }
            None => view.silent_polls += 1,
        }
        let after = (view.incarnation.clone(), view.leaving, view.is_silent());
        if before != after {
            log_endpoint(endpoint, &before, &after);
            self.refresh_router();
        }
        if let Some(load) = status.and_then(|reply| reply.load) {
            self.take_load(endpoint, asked_at, &load);
        }
    }

    pub(super) fn take_load(&mut self, endpoint: &EndpointId, as_of: Duration, load: &Load) {
        let now = self.now();
        if load.leaving {
            self.router.leaving(endpoint);
            return;
        }
        let view = LoadView {
            running: load.running,
            queued: load.queued,
            kv_tokens_in_flight: load.kv_tokens_in_flight,
            kv_tokens_limit: load.kv_tokens_limit,
            queued_tokens: load.queued_tokens,
            token_us: load.token_us,
            prefill_token_us: load.prefill_token_us,
        };
        let age = now.saturating_sub(as_of);
        self.router
            .report(now, endpoint, &load.incarnation, age, view);
    }

    /// Notes that a call's end is durable; the sidecar is told with the next
    /// poll.
    pub(super) fn acknowledge(
        &mut self,
        call: &CallId,
        shard: Shard,
        epoch: Epoch,
        endpoint: &str,
    ) {
        if let Some(view) = self.sidecars.get_mut(endpoint) {
            let entry = view.acknowledge.entry(shard).or_insert((epoch, Vec::new()));
            entry.0 = epoch;
            entry.1.push(call.clone());
        }
    }

    /// Engines that hold memory for programs of this owner, or did when they
    /// were last told.
    fn engines_with_holds(
        &mut self,
        due: std::collections::HashSet<EndpointId>,
    ) -> Vec<EndpointId> {
        let engines = self
            .directory
            .endpoints
            .values()
            .filter(|endpoint| endpoint.is_engine);
        engines
            .filter(|endpoint| {
                let had = self
                    .sidecars
                    .get(&endpoint.id)
                    .is_some_and(|view| view.had_holds);
                had || due.contains(&endpoint.id)
                    || !self.owner.programs_holding(&endpoint.id).is_empty()
            })
            .map(|endpoint| endpoint.id.clone())
            .collect()
    }

    fn send_holds(&mut self, endpoint: &EndpointId) {
        let address = self.sidecar_address(endpoint);
        let programs: Vec<String> = self
            .owner
            .programs_holding(endpoint)
            .iter()
            .map(ToString::to_string)
            .collect();
        if let Some(view) = self.sidecars.get_mut(endpoint) {
            view.had_holds = !programs.is_empty();
        }
        let loaded = self
            .epochs
            .iter()
            .filter(|(shard, _)| !self.loading.contains_key(shard));
        let fences = loaded
            .map(|(&shard, &epoch)| Fence { shard, epoch })
            .collect();
        let lease_ms = u64::try_from(HOLD_LEASE.as_millis()).expect("a lease is short");
        let request = HoldsRequest {
            fences,
            programs,
            lease_ms,
        };
        self.traffic.spawn(move |peers| async move {
            if let Ok(channel) = peers.channel(&address).await {
                let _ = timeout(REQUEST_TIMEOUT, SidecarClient::new(channel).holds(request)).await;
            }
        });
    }
}

type EndpointSight = (Incarnation, bool, bool);

fn log_endpoint(endpoint: &str, before: &EndpointSight, after: &EndpointSight) {
    let kind = match (before, after) {
        (_, (_, _, true)) => EventKind::EndpointDown,
        ((_, false, _), (_, true, _)) => EventKind::EndpointLeaving,
        _ => EventKind::EndpointUp,
    };
    log_event(&LogEvent::new(kind).endpoint(endpoint));
}
