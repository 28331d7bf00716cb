//! Messages on their way, and what their arrival brings.

use std::collections::BTreeSet;
use std::time::Duration;

use rosebend_coordination::owner::{
    Attempt, ClaimOutcome, DispatchFailure, DispatchRefusal, Event, Placement,
};
use rosebend_state::id::{CallId, Epoch, ProgramId, Shard};
use rosebend_state::record::{AnswerBody, AnswerRecord};

use super::World;
use super::sidecar::{AttemptState, Dispatch, DispatchReply, OwnerRun};

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
        programs: BTreeSet<ProgramId>,
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

    pub fn deliver(&mut self, index: usize, is_full: bool) {
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
                    running.into_iter().for_each(|key| self.resume(to, &key));
                }
            }
            Message::Dispatch { run, dispatch } => self.dispatched(run, *dispatch, is_full),
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
                let outcome = sidecar.claim(from, &call, attempt, shard, epoch, &placement);
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
                self.sidecars[sidecar].acknowledge(&call, shard, epoch);
            }
            Message::Release { program, endpoint } => {
                let sidecar = self.sidecar_index(&endpoint);
                let holds = &mut self.sidecars[sidecar].holds;
                holds.retain(|(_, held)| *held != program);
            }
            Message::Renew {
                sidecar,
                fences,
                programs,
            } => self.sidecars[sidecar].renew(&fences, &programs),
        }
    }

    /// A process that took a shard again heard of its loss before.
    fn is_outdated(&self, index: usize, event: &Event) -> bool {
        matches!(event, Event::ShardLost { shard } if self.is_current(index, *shard))
    }

    /// A process resumes the stream of a call that a claim found running.
    fn resume(&mut self, to: OwnerRun, key: &(CallId, Attempt)) {
        let (call, attempt) = key.clone();
        let entry = self
            .sidecars
            .iter_mut()
            .find_map(|sidecar| sidecar.attempts.get_mut(key));
        let event = match entry {
            Some(entry) => {
                entry.dispatch.from = to;
                match entry.state.clone() {
                    AttemptState::Running => return,
                    AttemptState::Finished(answer) => Event::Finished {
                        call,
                        attempt,
                        answer,
                    },
                    _ => broken(call, attempt),
                }
            }
            None => broken(call, attempt),
        };
        self.send_local(to, event);
    }

    fn receiver(&self, index: usize) -> Option<usize> {
        match &self.messages[index] {
            Message::Local { to, .. } | Message::ToOwner { to, .. } => Some(to.0),
            _ => None,
        }
    }

    fn dispatched(&mut self, run: u32, dispatch: Dispatch, is_full: bool) {
        let index = self.sidecar_index(&dispatch.placement.endpoint);
        if self.sidecars[index].run != run {
            return self.lose_connection(&dispatch);
        }
        let (to, call, attempt) = (dispatch.from, dispatch.call.clone(), dispatch.attempt);
        match self.sidecars[index].dispatch(dispatch, is_full) {
            DispatchReply::Runs | DispatchReply::Silent => {}
            DispatchReply::Finished(answer) => self.send_owner(
                to,
                Event::Finished {
                    call,
                    attempt,
                    answer,
                },
            ),
            DispatchReply::Refused(reason) => {
                if reason == DispatchRefusal::OtherIncarnation {
                    self.seen_runs[index] = self.sidecars[index].run;
                }
                self.send_owner(
                    to,
                    Event::DispatchRefused {
                        call,
                        attempt,
                        reason,
                        retry_after: Duration::from_millis(200),
                    },
                );
            }
        }
    }

    /// The stream of a dispatch broke.
    pub fn lose_connection(&mut self, dispatch: &Dispatch) {
        let event = broken(dispatch.call.clone(), dispatch.attempt);
        self.send_local(dispatch.from, event);
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
            } => self.send_local(to, broken(call, attempt)),
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
    pub fn run_to_end(&mut self, sidecar: usize, key: &(CallId, Attempt), choice: u64) {
        let dispatch = self.sidecars[sidecar].attempts[key].dispatch.clone();
        self.take_effect(&dispatch, true);
        let answer_tokens = choice % (dispatch.request.max_answer_tokens + 1);
        let name = dispatch.request.key.clone().expect("calls have keys");
        let answer = AnswerRecord {
            status: 200,
            body: AnswerBody::Parts(vec![name.clone()]),
            prompt_tokens: dispatch.request.prompt_tokens,
            cached_tokens: 0,
            answer_tokens,
            digest: format!("{name}/{}", self.next_answer),
        };
        self.next_answer += 1;
        let spent_tokens = answer.spent_tokens();
        self.witness.spend(&key.0.program, spent_tokens);
        let entry = self.sidecars[sidecar].attempts.get_mut(key);
        entry.expect("it runs").state = AttemptState::Finished(answer.clone());
        self.send_owner(
            dispatch.from,
            Event::Finished {
                call: key.0.clone(),
                attempt: key.1,
                answer,
            },
        );
    }

    pub fn take_effect(&mut self, dispatch: &Dispatch, is_known: bool) {
        if !dispatch.request.repeatable {
            let key = dispatch.request.key.clone().expect("calls have keys");
            self.witness.effect(&key, &dispatch.call, is_known);
        }
    }
}

/// The stream of a dispatch broke.
fn broken(call: CallId, attempt: Attempt) -> Event {
    Event::DispatchFailed {
        call,
        attempt,
        reason: DispatchFailure::ConnectionLost,
        may_have_run: true,
        suspects: Vec::new(),
    }
}
