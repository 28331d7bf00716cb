//! Messages on their way, and what their arrival brings.

use std::collections::HashSet;

use rosebend_coordination::endpoint::fence::Fence;
use rosebend_coordination::endpoint::outcome::{Finished, Outcome};
use rosebend_coordination::owner::{Attempt, ClaimOutcome, Event, Placement};
use rosebend_state::id::{CallId, Epoch, ProgramId, Shard};

use super::World;
use super::sidecar::{Dispatch, OwnerRun, Sent, broken};

/// A message on its way.
#[derive(Clone, Debug)]
pub enum Message {
    /// Within one process, or from a caller: delayed, but not lost.
    Local { to: OwnerRun, event: Event },
    /// From a sidecar.
    ToOwner { to: OwnerRun, event: Event },
    /// To a sidecar, on a connection to this run of it.
    Dispatch { run: u32, dispatch: Box<Dispatch> },
    Claim {
        from: OwnerRun,
        call: CallId,
        attempt: Attempt,
        shard: Shard,
        epoch: Epoch,
        placement: Placement,
    },
    Acknowledge {
        call: CallId,
        shard: Shard,
        epoch: Epoch,
        placement: Placement,
    },
    Release {
        program: ProgramId,
        endpoint: String,
    },
    Renew {
        sidecar: usize,
        fences: Vec<(Shard, Epoch)>,
        programs: HashSet<ProgramId>,
    },
}

impl World {
    pub fn send_local(&mut self, to: OwnerRun, event: Event) {
        self.messages.push(Message::Local { to, event });
    }

    pub fn send_owner(&mut self, to: OwnerRun, event: Event) {
        self.messages.push(Message::ToOwner { to, event });
    }

    pub fn send_dispatch(&mut self, dispatch: Dispatch) {
        let sidecar = self.sidecar_index(&dispatch.placement.endpoint);
        self.messages.push(Message::Dispatch {
            run: self.sidecars[sidecar].run,
            dispatch: Box::new(dispatch),
        });
    }

    pub fn sidecar_index(&self, name: &str) -> usize {
        let mut sidecars = self.sidecars.iter();
        sidecars
            .position(|sidecar| sidecar.name == name)
            .expect("placements name known sidecars")
    }

    pub fn deliver(&mut self, index: usize) {
        if let Some(owner) = self.receiver(index)
            && self.processes[owner].is_paused
        {
            return;
        }
        match self.messages.remove(index) {
            Message::Local { to, event } | Message::ToOwner { to, event } => {
                if self.processes[to.0].run == to.1 && !self.is_outdated(to.0, &event) {
                    if let Event::TableState { answering } = &event {
                        self.processes[to.0].sees_table = *answering;
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
            Message::Dispatch { run, dispatch } => self.dispatched(run, *dispatch),
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
                let told = match outcome {
                    ClaimOutcome::Buried => sidecar.tell_waiting(&call),
                    _ => Vec::new(),
                };
                self.send_all(told);
                self.send_owner(
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
            } => self.sidecars[sidecar].renew(self.now, &fences, &programs),
        }
    }

    /// A process that took a shard again heard of its loss before.
    fn is_outdated(&self, index: usize, event: &Event) -> bool {
        matches!(event, Event::ShardLost { shard } if self.is_current(index, *shard))
    }

    /// A process resumes the stream of a call that a claim found running.
    fn resume(&mut self, to: OwnerRun, call: &CallId, attempt: Attempt) {
        let placement = self.processes[to.0]
            .owner
            .call(call)
            .and_then(|view| view.placement);
        if let Some(placement) = placement {
            let index = self.sidecar_index(&placement.endpoint);
            let sent = self.sidecars[index].resume(call, (to, attempt));
            self.send_all(sent);
        }
    }

    fn receiver(&self, index: usize) -> Option<usize> {
        match &self.messages[index] {
            Message::Local { to, .. } | Message::ToOwner { to, .. } => Some(to.0),
            _ => None,
        }
    }

    fn dispatched(&mut self, run: u32, dispatch: Dispatch) {
        let index = self.sidecar_index(&dispatch.placement.endpoint);
        if self.sidecars[index].run != run {
            return self.lose_connection(&dispatch);
        }
        let sent = self.sidecars[index].dispatch(self.now, dispatch);
        self.send_all(sent);
    }

    pub fn send_all(&mut self, sent: Vec<Sent>) {
        for (to, event) in sent {
            self.messages.push(Message::ToOwner { to, event });
        }
    }

    /// The stream of a dispatch broke.
    pub fn lose_connection(&mut self, dispatch: &Dispatch) {
        let stream = (dispatch.from, dispatch.attempt);
        let (to, event) = broken(stream, dispatch.call.clone());
        self.send_local(to, event);
    }

    /// Loses a message, if it is of a kind that can be lost.
    pub fn lose(&mut self, index: usize) {
        if matches!(self.messages[index], Message::Local { .. }) {
            return;
        }
        match self.messages.remove(index) {
            Message::Dispatch { dispatch, .. } => self.lose_connection(&dispatch),
            Message::ToOwner {
                to,
                event:
                    Event::Finished { call, attempt, .. }
                    | Event::DispatchRefused { call, attempt, .. }
                    | Event::DispatchFailed { call, attempt, .. },
            } => {
                let (to, event) = broken((to, attempt), call);
                self.send_local(to, event);
            }
            _ => {}
        }
    }

    /// Doubles a message; a caller's request gets no second ticket.
    pub fn double(&mut self, index: usize) {
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

    /// An endpoint takes a running call to its end.
    pub fn run_to_end(&mut self, sidecar: usize, call: &CallId, choice: u64) {
        let dispatch = self.sidecars[sidecar].given[call].dispatch.clone();
        self.take_effect(&dispatch, true);
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
        self.witness.spend(&call.program, spent_tokens);
        let outcome = Outcome::Finished(finished);
        let sent = self.sidecars[sidecar].end(self.now, call, outcome);
        self.send_all(sent);
    }

    pub fn take_effect(&mut self, dispatch: &Dispatch, is_known: bool) {
        if !dispatch.request.repeatable {
            let key = dispatch.request.key.clone().expect("calls have keys");
            self.witness.effect(&key, &dispatch.call, is_known);
        }
    }
}
