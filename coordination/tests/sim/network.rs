//! Messages between processes, and the effects of their delivery and loss.

use std::collections::HashSet;

use rosebend_coordination::endpoint::fence::Fence;
use rosebend_coordination::endpoint::outcome::{Finished, Outcome};
use rosebend_coordination::owner::{Attempt, ClaimOutcome, Event, Placement};
use rosebend_state::id::{CallId, Epoch, ProgramId, Shard};

use super::Simulation;
use super::sidecar::{AddressedEvent, Dispatch, OwnerIncarnation, connection_lost_event};

/// A message that was sent and not delivered.
#[derive(Clone, Debug)]
pub enum Message {
    /// An event from within the process or from a caller. It can be delayed, but
    /// not lost.
    Local { to: OwnerIncarnation, event: Event },
    /// An event from a sidecar.
    ToOwner { to: OwnerIncarnation, event: Event },
    /// A dispatch on a connection to one incarnation of a sidecar. It breaks if
    /// the sidecar was replaced.
    Dispatch {
        generation: u32,
        dispatch: Box<Dispatch>,
    },
    /// An owner's claim of an attempt whose state it does not have.
    Claim {
        from: OwnerIncarnation,
        call: CallId,
        attempt: Attempt,
        shard: Shard,
        epoch: Epoch,
        placement: Placement,
    },
    /// An owner's notice that the sidecar may discard the retained answer.
    Acknowledge {
        call: CallId,
        shard: Shard,
        epoch: Epoch,
        placement: Placement,
    },
    /// An owner's order to release the KV cache that a program holds.
    Release {
        program: ProgramId,
        endpoint: String,
    },
    /// The programs of an owner's shards whose holds of KV cache are renewed.
    Renew {
        sidecar: usize,
        fences: Vec<(Shard, Epoch)>,
        programs: HashSet<ProgramId>,
    },
}

impl Simulation {
    /// Sends an event that can't be lost.
    pub fn send_local(&mut self, to: OwnerIncarnation, event: Event) {
        self.messages.push(Message::Local { to, event });
    }

    /// Sends an event from a sidecar.
    pub fn send_to_owner(&mut self, to: OwnerIncarnation, event: Event) {
        self.messages.push(Message::ToOwner { to, event });
    }

    /// Sends a dispatch to the current incarnation of its sidecar.
    pub fn send_dispatch(&mut self, dispatch: Dispatch) {
        let sidecar = self.sidecar_index(&dispatch.placement.endpoint);
        self.messages.push(Message::Dispatch {
            generation: self.sidecars[sidecar].generation,
            dispatch: Box::new(dispatch),
        });
    }

    /// Returns the index of the sidecar with this name.
    pub fn sidecar_index(&self, name: &str) -> usize {
        let mut sidecars = self.sidecars.iter();
        sidecars
            .position(|sidecar| sidecar.name == name)
            .expect("placements name known sidecars")
    }

    /// Delivers the message at `index`, unless its receiver is paused.
    pub fn deliver(&mut self, index: usize) {
        if let Some(owner) = self.receiving_process(index)
            && self.processes[owner].is_paused
        {
            return;
        }
        match self.messages.remove(index) {
            Message::Local { to, event } | Message::ToOwner { to, event } => {
                if self.processes[to.0].generation == to.1 && !self.is_superseded_loss(to.0, &event)
                {
                    if let Event::TableState { answering } = &event {
                        self.processes[to.0].observed_table_up = *answering;
                    }
                    let running = match &event {
                        Event::Claimed {
                            call,
                            attempt,
                            outcome: ClaimOutcome::Running,
                        } => Some((call.clone(), *attempt)),
                        _ => None,
                    };
                    self.step(to.0, event);
                    if let Some((call, attempt)) = running {
                        self.resume(to, &call, attempt);
                    }
                }
            }
            Message::Dispatch {
                generation,
                dispatch,
            } => self.deliver_dispatch(generation, *dispatch),
            Message::Claim {
                from,
                call,
                attempt,
                shard,
                epoch,
                placement,
            } => {
                let sidecar = self.sidecar_index(&placement.endpoint);
                let sidecar = &mut self.sidecars[sidecar];
                let outcome = sidecar.claim(self.now, &call, attempt, (shard, epoch), &placement);
                let notifications = match outcome {
                    ClaimOutcome::Buried => sidecar.notify_followers_if_tracked(&call),
                    _ => Vec::new(),
                };
                self.send_to_owners(notifications);
                self.send_to_owner(
                    from,
                    Event::Claimed {
                        call,
                        attempt,
                        outcome,
                    },
                );
            }
            Message::Acknowledge {
                call,
                shard,
                epoch,
                placement,
            } => {
                let sidecar = self.sidecar_index(&placement.endpoint);
                let fence = Fence { shard, epoch };
                let calls = &mut self.sidecars[sidecar].calls;
                calls.acknowledge(self.now, fence, &[call]);
            }
            Message::Release { program, endpoint } => {
                let sidecar = self.sidecar_index(&endpoint);
                self.sidecars[sidecar].release(self.now, &program);
            }
            Message::Renew {
                sidecar,
                fences,
                programs,
            } => self.sidecars[sidecar].renew_holds(self.now, &fences, &programs),
        }
    }

    /// Returns whether an event reports the loss of a shard that the process has
    /// acquired again. A process receives a loss before it can acquire the shard
    /// again, so such an event is dropped.
    fn is_superseded_loss(&self, index: usize, event: &Event) -> bool {
        matches!(event, Event::ShardLost { shard } if self.is_current_owner(index, *shard))
    }

    /// Resumes the stream of a call that a claim found running.
    fn resume(&mut self, to: OwnerIncarnation, call: &CallId, attempt: Attempt) {
        let placement = self.processes[to.0]
            .owner
            .call(call)
            .and_then(|view| view.placement);
        if let Some(placement) = placement {
            let index = self.sidecar_index(&placement.endpoint);
            let events = self.sidecars[index].resume(call, (to, attempt));
            self.send_to_owners(events);
        }
    }

    /// Returns the owner process that receives the message at `index`, if it is
    /// addressed to one.
    fn receiving_process(&self, index: usize) -> Option<usize> {
        match &self.messages[index] {
            Message::Local { to, .. } | Message::ToOwner { to, .. } => Some(to.0),
            _ => None,
        }
    }

    /// Delivers a dispatch, or breaks its stream if the sidecar was replaced.
    fn deliver_dispatch(&mut self, generation: u32, dispatch: Dispatch) {
        let index = self.sidecar_index(&dispatch.placement.endpoint);
        if self.sidecars[index].generation != generation {
            return self.break_stream(&dispatch);
        }
        let events = self.sidecars[index].dispatch(self.now, dispatch);
        self.send_to_owners(events);
    }

    /// Sends events from a sidecar.
    pub fn send_to_owners(&mut self, events: Vec<AddressedEvent>) {
        for (to, event) in events {
            self.messages.push(Message::ToOwner { to, event });
        }
    }

    /// Notifies the owner that the stream of a dispatch broke.
    pub fn break_stream(&mut self, dispatch: &Dispatch) {
        let stream = (dispatch.from, dispatch.attempt);
        let (to, event) = connection_lost_event(stream, dispatch.call.clone());
        self.send_local(to, event);
    }

    /// Drops the message at `index` if it can be lost. The owner receives a
    /// connection loss in place of a dispatch or its outcome.
    pub fn discard(&mut self, index: usize) {
        if matches!(self.messages[index], Message::Local { .. }) {
            return;
        }
        match self.messages.remove(index) {
            Message::Dispatch { dispatch, .. } => self.break_stream(&dispatch),
            Message::ToOwner {
                to,
                event:
                    Event::Finished { call, attempt, .. }
                    | Event::DispatchRefused { call, attempt, .. }
                    | Event::DispatchFailed { call, attempt, .. },
            } => {
                let (to, event) = connection_lost_event((to, attempt), call);
                self.send_local(to, event);
            }
            _ => {}
        }
    }

    /// Duplicates the message at `index`, unless it is a caller's request: each
    /// ticket stands for one request.
    pub fn duplicate(&mut self, index: usize) {
        let is_request = matches!(
            self.messages[index],
            Message::Local {
                event: Event::Submit { .. } | Event::Open { .. } | Event::End { .. },
                ..
            }
        );
        if !is_request {
            self.messages.push(self.messages[index].clone());
        }
    }

    /// Completes a running call with an answer. `choice` sets the length of the
    /// answer.
    pub fn complete_call(&mut self, sidecar: usize, call: &CallId, choice: u64) {
        let dispatch = self.sidecars[sidecar].tracked_calls[call].dispatch.clone();
        self.apply_effect(&dispatch, true);
        let name = dispatch.request.key.as_deref().expect("calls have keys");
        let finished = Finished {
            status: 200,
            prompt_tokens: dispatch.request.prompt_tokens,
            answer_tokens: choice % (dispatch.request.max_answer_tokens + 1),
            digest: format!("{name}/{}", self.next_answer),
            ..Finished::default()
        };
        self.next_answer += 1;
        let spent_tokens = finished.prompt_tokens + finished.answer_tokens;
        self.checker.record_spending(&call.program, spent_tokens);
        let outcome = Outcome::Finished(finished);
        let events = self.sidecars[sidecar].complete(self.now, call, outcome);
        self.send_to_owners(events);
    }

    /// Records the effect of an attempt, if its call is not repeatable.
    pub fn apply_effect(&mut self, dispatch: &Dispatch, checks_order: bool) {
        if !dispatch.request.repeatable {
            let key = dispatch.request.key.clone().expect("calls have keys");
            self.checker
                .record_effect(&key, &dispatch.call, checks_order);
        }
    }
}
