//! One choice of a run: a message arrives, or something fails.

use std::time::Duration;

use rosebend_coordination::endpoint::outcome::{Failure, FailureReason, Outcome};
use rosebend_coordination::owner::{Event, Owner};
use rosebend_state::id::Shard;
use rosebend_state::record::ShardRecords;

use super::network::Message;
use super::sidecar::{Dispatch, Sidecar, broken};
use super::{SHARDS, World, config};

impl World {
    /// Takes one choice; `what` chooses its kind and `which` the details.
    /// Faults are rare enough that programs make headway between them.
    pub fn choose(&mut self, what: u8, which: u16) {
        let pick = usize::from(which);
        let shard = (pick / 3) as u32 % SHARDS;
        match what {
            0..=117 if !self.messages.is_empty() => {
                let index = pick % self.messages.len();
                self.deliver(index);
            }
            118..=121 if !self.messages.is_empty() => self.lose(pick % self.messages.len()),
            122..=125 if !self.messages.is_empty() => self.double(pick % self.messages.len()),
            126..=150 => self.client_acts(pick),
            151..=185 => self.endpoint_runs(pick),
            186 => self.endpoint_crashes(pick % 2, pick / 2),
            187 => self.sidecar_restarts(pick % 2, pick / 2),
            188 => self.owner_crashes(pick % 3),
            189 => self.takeover(pick % 3, shard, pick / 6),
            190 => self.processes[pick % 3].is_paused = true,
            191..=192 if self.mode.outages && (what == 191 || !self.is_table_up) => {
                self.table_fails_or_returns();
            }
            193..=231 => self.some_write_arrives(pick),
            232..=241 => self.time_passes(pick),
            242..=245 => self.renew(pick % 3, pick / 3 % 2),
            246 => self.leave(pick % 3, shard),
            247..=248 if !self.zombies.is_empty() => {
                let zombie = self.zombies.remove(pick % self.zombies.len());
                self.take_effect(&zombie, false);
            }
            249 => self.processes[pick % 3].is_paused = false,
            250..=252 => self.seen_runs[pick % 2] = self.sidecars[pick % 2].run,
            253..=255 if !(0..3).any(|index| self.is_current(index, shard)) => {
                self.takeover(pick % 3, shard, pick / 6);
            }
            _ => {}
        }
    }

    fn some_write_arrives(&mut self, pick: usize) {
        let waiting: Vec<usize> = (0..6).filter(|pick| self.write_is_waiting(*pick)).collect();
        if !waiting.is_empty() {
            self.write_arrives(waiting[pick % waiting.len()] + pick / 8 * 6);
        }
    }

    fn client_acts(&mut self, pick: usize) {
        let client = pick % self.clients.len();
        let pick = pick / self.clients.len();
        let owner = self.guess_owner(client, pick);
        let pick = pick / 8;
        let caller = &self.clients[client];
        if !caller.is_open {
            return self.ask(owner, client, None);
        }
        let Some(next) = caller.next() else {
            return;
        };
        let index = match pick % 8 {
            // Again a call that may have ended long ago.
            0 => pick / 8 % (next + 1),
            // The call after it, before it ended.
            1 => (next + 1).min(caller.calls.len() - 1),
            _ => next,
        };
        self.ask(owner, client, Some(index));
    }

    /// Mostly the owner by the table, now and then another.
    fn guess_owner(&self, client: usize, pick: usize) -> usize {
        let shard = self.clients[client].program.shard(SHARDS);
        let row = self.table.shards.get(&shard);
        match (pick % 8, row) {
            (0, _) | (_, None) => pick / 8 % 3,
            (_, Some((owner, _))) => *owner,
        }
    }

    fn endpoint_runs(&mut self, pick: usize) {
        let both = (0..2).flat_map(|sidecar| {
            let running = self.sidecars[sidecar].running();
            running.into_iter().map(move |call| (sidecar, call))
        });
        let running: Vec<_> = both.collect();
        if !running.is_empty() {
            let (sidecar, call) = &running[pick % running.len()];
            self.run_to_end(*sidecar, call, (pick / 8) as u64);
        }
    }

    /// The endpoint dies with everything that runs on it; its sidecar lives.
    fn endpoint_crashes(&mut self, sidecar: usize, pick: usize) {
        let running = self.sidecars[sidecar].running();
        for (position, call) in running.iter().enumerate() {
            let dispatch = self.sidecars[sidecar].given[call].dispatch.clone();
            if (pick >> (position % 4)).is_multiple_of(2) {
                self.take_effect(&dispatch, true);
            }
            self.spend_worst_case(&dispatch);
            let outcome = Outcome::Failed(Failure {
                reason: FailureReason::EndpointCrashed,
                may_have_run: true,
                detail: String::new(),
                suspects: Vec::new(),
            });
            let sent = self.sidecars[sidecar].end(self.now, call, outcome);
            self.send_all(sent);
        }
    }

    fn spend_worst_case(&mut self, dispatch: &Dispatch) {
        let tokens = dispatch.request.worst_case_tokens();
        self.witness.spend(&dispatch.call.program, tokens);
    }

    /// The sidecar is replaced: it forgets everything, and connections to it
    /// break. What ran may still have its effect.
    fn sidecar_restarts(&mut self, index: usize, pick: usize) {
        for call in self.sidecars[index]
            .given
            .keys()
            .cloned()
            .collect::<Vec<_>>()
        {
            let given = &self.sidecars[index].given[&call];
            let (dispatch, is_running) = (given.dispatch.clone(), given.is_running);
            let streams = given.followers.iter();
            let sent = streams
                .map(|stream| broken(*stream, call.clone()))
                .collect();
            self.send_all(sent);
            if is_running {
                self.spend_worst_case(&dispatch);
                match pick % 3 {
                    0 => self.take_effect(&dispatch, true),
                    1 => self.zombies.push(dispatch),
                    _ => {}
                }
            }
        }
        self.note_lost_copies(index, None);
        let shards = self.table.shards.iter();
        let epochs = shards.map(|(shard, row)| (*shard, row.1)).collect();
        let sidecar = &mut self.sidecars[index];
        *sidecar = Sidecar::new(&sidecar.name, sidecar.run + 1, epochs);
    }

    /// Notes the answers of which this sidecar had the second copy.
    fn note_lost_copies(&mut self, index: usize, shard: Option<Shard>) {
        for given in self.sidecars[index].given.values() {
            let dispatch = &given.dispatch;
            let is_of = shard.is_none_or(|shard| shard == dispatch.shard);
            if is_of && !self.table.has_end(&dispatch.call) {
                let key = dispatch.request.key.clone();
                self.witness.lost_copy.extend(key);
            }
        }
    }

    pub fn owner_crashes(&mut self, index: usize) {
        let seed = self.next_answer + index as u64;
        let process = &mut self.processes[index];
        process.owner = Owner::new(config(self.mode, seed));
        process.run += 1;
        process.is_paused = false;
        process.sees_table = self.is_table_up;
        let run = process.run;
        // One write may still be on its way; its answer reaches nobody.
        for writes in process.writes.values_mut() {
            writes.truncate(1);
        }
        self.tickets
            .retain(|_, asked| asked.owner.0 != index || asked.owner.1 == run);
        self.followers.retain(|(owner, _), _| owner.0 != index);
        if !self.is_table_up {
            let answering = false;
            self.step(index, Event::TableState { answering });
        }
    }

    /// An owner takes a shard, whether or not the last one is alive, and reads
    /// its records from the table.
    pub fn takeover(&mut self, index: usize, shard: Shard, pick: usize) {
        self.take(index, shard, pick, None);
    }

    /// An owner takes a shard, with the records that the last one handed over.
    fn take(&mut self, index: usize, shard: Shard, pick: usize, handed: Option<ShardRecords>) {
        let is_held = self.is_current(index, shard);
        if !self.is_table_up || self.processes[index].is_paused || is_held {
            return;
        }
        let epoch = self.table.epoch(shard) + 1;
        let last = self.table.shards.insert(shard, (index, epoch));
        let ShardRecords {
            programs,
            turns,
            under_way,
        } = handed.unwrap_or_else(|| self.table.records(shard));
        let unreachable = (self.mode.partitions && pick.is_multiple_of(4)).then_some(pick / 4 % 2);
        let mut retained = Vec::new();
        for sidecar in 0..self.sidecars.len() {
            if Some(sidecar) == unreachable {
                self.note_lost_copies(sidecar, Some(shard));
                self.witness.weak_shards.insert(shard);
            } else {
                retained.extend(self.sidecars[sidecar].retained(shard, epoch));
            }
        }
        let started_at = self.sidecars.iter().map(|sidecar| {
            let epoch = sidecar.started_at.get(&shard);
            epoch.copied().unwrap_or(0)
        });
        let retained_after = started_at.max().filter(|_| unreachable.is_none());
        let event = Event::ShardGained {
            shard,
            epoch,
            programs,
            turns,
            retained,
            under_way,
            retained_after,
        };
        self.send_local(self.run_of(index), event);
        if let Some((last, _)) = last {
            self.send_local(self.run_of(last), Event::ShardLost { shard });
        }
    }

    /// A drained shard goes to the next owner.
    pub fn handoff(&mut self, index: usize, shard: Shard) {
        if self.is_current(index, shard) {
            let records = self.processes[index].owner.records(self.now, shard);
            // Sidecars that cannot be reached, now and then.
            let pick = self.now.as_millis() as usize / 10;
            self.take((index + 1) % 3, shard, pick, records);
        }
    }

    fn leave(&mut self, index: usize, shard: Shard) {
        let run = self.run_of(index);
        self.send_local(run, Event::ShardLeaving { shard });
    }

    pub fn table_fails_or_returns(&mut self) {
        self.is_table_up = !self.is_table_up;
        let answering = self.is_table_up;
        for index in 0..self.processes.len() {
            self.send_local(self.run_of(index), Event::TableState { answering });
        }
    }

    /// The oldest write of a shard reaches the table; its answer can be lost,
    /// and then the same write is sent again.
    pub fn write_arrives(&mut self, pick: usize) {
        let owner = pick % 3;
        let shard = (pick / 3) as u32 % SHARDS;
        let run = self.run_of(owner);
        let Some(writes) = self.processes[owner].writes.get_mut(&shard) else {
            return;
        };
        let (true, Some(write)) = (self.is_table_up, writes.front()) else {
            return;
        };
        let is_answer_lost = (pick / 6).is_multiple_of(4);
        let (commit, is_orphan) = (write.commit, write.run != run.1);
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
            true => self.send_local(run, Event::Committed { commit }),
            // A process hears of a loss before it can take the shard again.
            false => self.step(owner, Event::CommitLost { shard }),
        }
    }

    pub fn time_passes(&mut self, pick: usize) {
        self.now += Duration::from_millis(10 + (pick % 64) as u64 * 10);
        let index = pick / 64 % 3;
        if !self.processes[index].is_paused {
            self.step(index, Event::Tick);
        }
    }

    /// An owner tells a sidecar which programs may keep engine memory.
    pub fn renew(&mut self, index: usize, sidecar: usize) {
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
