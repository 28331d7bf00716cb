//! The choices that drive a run: deliveries, requests of callers, the passing of
//! time, and faults.

use std::time::Duration;

use rosebend_coordination::endpoint::outcome::{Failure, FailureReason, Outcome};
use rosebend_coordination::owner::{Event, Owner};
use rosebend_state::id::Shard;
use rosebend_state::record::ShardRecords;

use super::network::Message;
use super::sidecar::{Dispatch, Sidecar, connection_lost_event};
use super::{SHARDS, Simulation, config};

impl Simulation {
    /// Applies one choice. `kind` selects what happens, and `selector` the process,
    /// message or call that it affects. Faults are rare enough for programs to make
    /// progress between them.
    pub fn apply_choice(&mut self, kind: u8, selector: u16) {
        let pick = usize::from(selector);
        let shard = (pick / 3) as u32 % SHARDS;
        match kind {
            0..=117 if !self.messages.is_empty() => {
                let index = pick % self.messages.len();
                self.deliver(index);
            }
            118..=121 if !self.messages.is_empty() => self.discard(pick % self.messages.len()),
            122..=125 if !self.messages.is_empty() => self.duplicate(pick % self.messages.len()),
            126..=150 => self.run_client(pick),
            151..=185 => self.complete_some_call(pick),
            186 => self.crash_endpoint(pick % 2, pick / 2),
            187 => self.restart_sidecar(pick % 2, pick / 2),
            188 => self.crash_owner(pick % 3),
            189 => self.takeover(pick % 3, shard, pick / 6),
            190 => self.processes[pick % 3].is_paused = true,
            191..=192 if self.mode.outages && (kind == 191 || !self.is_table_up) => {
                self.toggle_table_availability();
            }
            193..=231 => self.deliver_some_write(pick),
            232..=241 => self.advance_time(pick),
            242..=245 => self.renew_holds(pick % 3, pick / 3 % 2),
            246 => self.start_draining(pick % 3, shard),
            247..=248 if !self.detached_attempts.is_empty() => {
                let detached = self
                    .detached_attempts
                    .remove(pick % self.detached_attempts.len());
                self.apply_effect(&detached, false);
            }
            249 => self.processes[pick % 3].is_paused = false,
            250..=252 => self.seen_generations[pick % 2] = self.sidecars[pick % 2].generation,
            253..=255 if !(0..3).any(|index| self.is_current_owner(index, shard)) => {
                self.takeover(pick % 3, shard, pick / 6);
            }
            _ => {}
        }
    }

    /// Delivers the oldest write of some process and shard, if there is any.
    fn deliver_some_write(&mut self, pick: usize) {
        let waiting: Vec<usize> = (0..6)
            .filter(|pick| self.has_pending_write(*pick))
            .collect();
        if !waiting.is_empty() {
            self.deliver_write(waiting[pick % waiting.len()] + pick / 8 * 6);
        }
    }

    /// Sends a request of some caller. The request opens the program, sends the
    /// first pending call, repeats an earlier call or sends the one after it.
    fn run_client(&mut self, pick: usize) {
        let client = pick % self.clients.len();
        let pick = pick / self.clients.len();
        let owner = self.choose_owner(client, pick);
        let pick = pick / 8;
        let caller = &self.clients[client];
        if !caller.is_open {
            return self.send_request(owner, client, None);
        }
        let Some(next) = caller.first_pending_call() else {
            return;
        };
        let index = match pick % 8 {
            // Repeats a call, which may have ended long before.
            0 => pick / 8 % (next + 1),
            // Sends the call after the pending one, before that one has ended.
            1 => (next + 1).min(caller.calls.len() - 1),
            _ => next,
        };
        self.send_request(owner, client, Some(index));
    }

    /// Returns the owner of the caller's shard by the table in seven of eight
    /// cases, and otherwise any process.
    fn choose_owner(&self, client: usize, pick: usize) -> usize {
        let shard = self.clients[client].program.shard(SHARDS);
        let row = self.table.shards.get(&shard);
        match (pick % 8, row) {
            (0, _) | (_, None) => pick / 8 % 3,
            (_, Some((owner, _))) => *owner,
        }
    }

    /// Completes one of the calls that run at the endpoints, if there is any.
    fn complete_some_call(&mut self, pick: usize) {
        let both = (0..2).flat_map(|sidecar| {
            let running = self.sidecars[sidecar].running();
            running.into_iter().map(move |call| (sidecar, call))
        });
        let running: Vec<_> = both.collect();
        if !running.is_empty() {
            let (sidecar, call) = &running[pick % running.len()];
            self.complete_call(*sidecar, call, (pick / 8) as u64);
        }
    }

    /// Fails all calls that run at an endpoint, as a crash of the endpoint does.
    /// Some of them have had their effect. The sidecar stays up.
    fn crash_endpoint(&mut self, sidecar: usize, pick: usize) {
        let running = self.sidecars[sidecar].running();
        for (position, call) in running.iter().enumerate() {
            let dispatch = self.sidecars[sidecar].tracked_calls[call].dispatch.clone();
            if (pick >> (position % 4)).is_multiple_of(2) {
                self.apply_effect(&dispatch, true);
            }
            self.spend_worst_case(&dispatch);
            let outcome = Outcome::Failed(Failure {
                reason: FailureReason::EndpointCrashed,
                may_have_run: true,
                detail: String::new(),
                suspects: Vec::new(),
            });
            let events = self.sidecars[sidecar].complete(self.now, call, outcome);
            self.send_to_owners(events);
        }
    }

    /// Records the largest number of tokens that an attempt may spend.
    fn spend_worst_case(&mut self, dispatch: &Dispatch) {
        let tokens = dispatch.request.worst_case_tokens();
        self.checker.record_spending(&dispatch.call.program, tokens);
    }

    /// Replaces a sidecar by a new incarnation without any state, and breaks the
    /// streams to the old one. The calls that ran have had their effect, have it
    /// later or never have it.
    fn restart_sidecar(&mut self, index: usize, pick: usize) {
        for call in self.sidecars[index]
            .tracked_calls
            .keys()
            .cloned()
            .collect::<Vec<_>>()
        {
            let tracked_call = &self.sidecars[index].tracked_calls[&call];
            let (dispatch, is_running) = (tracked_call.dispatch.clone(), tracked_call.is_running);
            let streams = tracked_call.followers.iter();
            let events = streams
                .map(|stream| connection_lost_event(*stream, call.clone()))
                .collect();
            self.send_to_owners(events);
            if is_running {
                self.spend_worst_case(&dispatch);
                match pick % 3 {
                    0 => self.apply_effect(&dispatch, true),
                    1 => self.detached_attempts.push(dispatch),
                    _ => {}
                }
            }
        }
        self.record_lost_answers(index, None);
        let shards = self.table.shards.iter();
        let epochs = shards.map(|(shard, row)| (*shard, row.1)).collect();
        let sidecar = &mut self.sidecars[index];
        *sidecar = Sidecar::new(&sidecar.name, sidecar.generation + 1, epochs);
    }

    /// Records the calls without an outcome in the table whose copy at this sidecar
    /// is lost, for one shard or for all.
    fn record_lost_answers(&mut self, index: usize, shard: Option<Shard>) {
        for tracked_call in self.sidecars[index].tracked_calls.values() {
            let dispatch = &tracked_call.dispatch;
            let is_in_shard = shard.is_none_or(|shard| shard == dispatch.shard);
            if is_in_shard && !self.table.has_end(&dispatch.call) {
                let key = dispatch.request.key.clone();
                self.checker.lost_answers.extend(key);
            }
        }
    }

    /// Restarts an owner process without its state.
    pub fn crash_owner(&mut self, index: usize) {
        let seed = self.next_answer + index as u64;
        let process = &mut self.processes[index];
        process.owner = Owner::new(config(self.mode, seed));
        process.generation += 1;
        process.is_paused = false;
        process.observed_table_up = self.is_table_up;
        let generation = process.generation;
        // The oldest write of each shard was already sent and may still be
        // applied, but no process receives its confirmation.
        for writes in process.writes.values_mut() {
            writes.truncate(1);
        }
        self.tickets
            .retain(|_, pending| pending.owner.0 != index || pending.owner.1 == generation);
        self.followers.retain(|(owner, _), _| owner.0 != index);
        if !self.is_table_up {
            let answering = false;
            self.step(index, Event::TableState { answering });
        }
    }

    /// Makes a process the owner of a shard, whether or not the previous owner is
    /// alive. The process reads the shard's records from the table.
    pub fn takeover(&mut self, index: usize, shard: Shard, pick: usize) {
        self.take_shard(index, shard, pick, None);
    }

    /// Makes a process the owner of a shard in a new epoch. The records are those
    /// that the previous owner handed over, or else those in the table. The process
    /// collects the retained calls of all sidecars that it can reach.
    fn take_shard(
        &mut self,
        index: usize,
        shard: Shard,
        pick: usize,
        handed_over: Option<ShardRecords>,
    ) {
        let is_already_owner = self.is_current_owner(index, shard);
        if !self.is_table_up || self.processes[index].is_paused || is_already_owner {
            return;
        }
        let epoch = self.table.epoch(shard) + 1;
        let previous = self.table.shards.insert(shard, (index, epoch));
        let ShardRecords {
            programs,
            turns,
            under_way,
        } = handed_over.unwrap_or_else(|| self.table.records(shard));
        let unreachable = (self.mode.partitions && pick.is_multiple_of(4)).then_some(pick / 4 % 2);
        let mut retained = Vec::new();
        for sidecar in 0..self.sidecars.len() {
            if Some(sidecar) == unreachable {
                self.record_lost_answers(sidecar, Some(shard));
                self.checker.partly_recovered_shards.insert(shard);
            } else {
                retained.extend(self.sidecars[sidecar].retained(shard, epoch));
            }
        }
        let epochs_at_start = self.sidecars.iter().map(|sidecar| {
            let epoch = sidecar.epochs_at_start.get(&shard);
            epoch.copied().unwrap_or(0)
        });
        let retained_after = epochs_at_start.max().filter(|_| unreachable.is_none());
        let event = Event::ShardGained {
            shard,
            epoch,
            programs,
            turns,
            retained,
            under_way,
            retained_after,
        };
        self.send_local(self.incarnation_of(index), event);
        if let Some((previous, _)) = previous {
            self.send_local(self.incarnation_of(previous), Event::ShardLost { shard });
        }
    }

    /// Hands a drained shard over to the next process.
    pub fn handoff(&mut self, index: usize, shard: Shard) {
        if self.is_current_owner(index, shard) {
            let records = self.processes[index].owner.records(self.now, shard);
            // The time decides whether a sidecar is unreachable.
            let pick = self.now.as_millis() as usize / 10;
            self.take_shard((index + 1) % 3, shard, pick, records);
        }
    }

    /// Asks a process to drain a shard.
    fn start_draining(&mut self, index: usize, shard: Shard) {
        let owner_incarnation = self.incarnation_of(index);
        self.send_local(owner_incarnation, Event::ShardLeaving { shard });
    }

    /// Starts or ends an outage of the table and notifies all processes.
    pub fn toggle_table_availability(&mut self) {
        self.is_table_up = !self.is_table_up;
        let answering = self.is_table_up;
        for index in 0..self.processes.len() {
            self.send_local(self.incarnation_of(index), Event::TableState { answering });
        }
    }

    /// Delivers the oldest write of a process and shard to the table. If the
    /// confirmation is lost, the process sends the same write again.
    pub fn deliver_write(&mut self, pick: usize) {
        let owner = pick % 3;
        let shard = (pick / 3) as u32 % SHARDS;
        let owner_incarnation = self.incarnation_of(owner);
        let Some(writes) = self.processes[owner].writes.get_mut(&shard) else {
            return;
        };
        let (true, Some(write)) = (self.is_table_up, writes.front()) else {
            return;
        };
        let is_answer_lost = (pick / 6).is_multiple_of(4);
        let (commit, is_orphan) = (write.commit, write.generation != owner_incarnation.1);
        let is_applied = self.table.apply(write);
        if is_answer_lost && is_applied && !is_orphan {
            return;
        }
        match is_applied || is_orphan {
            true => drop(writes.pop_front()),
            false => writes.clear(),
        }
        if is_orphan {
            return;
        }
        match is_applied {
            true => self.send_local(owner_incarnation, Event::Committed { commit }),
            // The process receives the loss at once, before it can take over the
            // shard again.
            false => self.step(owner, Event::CommitLost { shard }),
        }
    }

    /// Advances the time by 10 to 640 ms and sends a tick to one process.
    pub fn advance_time(&mut self, pick: usize) {
        self.now += Duration::from_millis(10 + (pick % 64) as u64 * 10);
        let index = pick / 64 % 3;
        if !self.processes[index].is_paused {
            self.step(index, Event::Tick);
        }
    }

    /// Sends a sidecar the programs for which an owner renews the holds of KV cache.
    pub fn renew_holds(&mut self, index: usize, sidecar: usize) {
        let owner = &self.processes[index].owner;
        let fences = owner.shards().iter().map(|s| (s.shard, s.epoch)).collect();
        let programs = owner.programs_holding(&self.sidecars[sidecar].name);
        self.messages.push(Message::Renew {
            sidecar,
            fences,
            programs: programs.into_iter().collect(),
        });
    }
}
