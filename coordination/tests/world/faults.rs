//! One choice of a run: a message arrives, or something fails.

use std::collections::BTreeSet;
use std::time::Duration;

use rosebend_coordination::owner::{DispatchFailure, Event, Owner};
use rosebend_state::id::{CallId, Shard};

use super::network::Message;
use super::sidecar::{AttemptState, Dispatch};
use super::{SHARDS, World, config};

impl World {
    /// Takes one choice; `what` chooses its kind and `which` the details.
    pub fn choose(&mut self, what: u8, which: u16) {
        let pick = usize::from(which);
        match what % 100 {
            0..=42 if !self.messages.is_empty() => {
                let index = pick % self.messages.len();
                self.deliver(index, pick / 7 % 9 == 0);
            }
            43..=46 if !self.messages.is_empty() => self.lose(pick % self.messages.len()),
            47..=49 if !self.messages.is_empty() => self.double(pick % self.messages.len()),
            50..=60 => self.client_acts(pick),
            61..=70 => self.endpoint_runs(pick),
            71 => self.endpoint_crashes(pick % 2, pick / 2),
            72 => self.sidecar_restarts(pick % 2, pick / 2),
            73 => self.owner_crashes(pick % 3),
            74..=76 => self.takeover(pick % 3, (pick / 3) as u32 % SHARDS, pick / 6),
            77..=78 => self.pause_or_wake(pick % 3),
            79 if self.mode.outages => self.table_fails_or_returns(),
            80..=89 => self.write_arrives(pick),
            90..=94 => self.time_passes(pick),
            95..=96 => self.renew(pick % 3, pick / 3 % 2),
            97 => self.leave(pick % 3, (pick / 3) as u32 % SHARDS),
            98 if !self.zombies.is_empty() => {
                let zombie = self.zombies.remove(pick % self.zombies.len());
                self.take_effect(&zombie, false);
            }
            99 => self.seen_runs[pick % 2] = self.sidecars[pick % 2].run,
            _ => {}
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
            1 | 2 if caller.is_numbered => (next + 1).min(caller.calls.len() - 1),
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
        let sidecar = pick % 2;
        let running = self.sidecars[sidecar].running();
        if !running.is_empty() {
            let key = &running[pick / 2 % running.len()];
            self.run_to_end(sidecar, key, (pick / 8) as u64);
        }
    }

    /// The endpoint dies with everything that runs on it; its sidecar lives.
    fn endpoint_crashes(&mut self, sidecar: usize, pick: usize) {
        let running = self.sidecars[sidecar].running();
        let suspects: Vec<CallId> = running.iter().map(|(call, _)| call.clone()).collect();
        self.sidecars[sidecar].holds.clear();
        for (position, key) in running.iter().enumerate() {
            let entry = self.sidecars[sidecar].attempts.get_mut(key);
            let entry = entry.expect("it runs");
            entry.state = AttemptState::Failed;
            let dispatch = entry.dispatch.clone();
            if (pick >> (position % 4)).is_multiple_of(2) {
                self.take_effect(&dispatch, true);
            }
            self.spend_worst_case(&dispatch);
            self.send_owner(
                dispatch.from,
                Event::DispatchFailed {
                    call: key.0.clone(),
                    attempt: key.1,
                    reason: DispatchFailure::EndpointCrashed,
                    may_have_run: true,
                    suspects: suspects.clone(),
                },
            );
        }
    }

    fn spend_worst_case(&mut self, dispatch: &Dispatch) {
        let tokens = dispatch.request.worst_case_tokens();
        self.witness.spend(&dispatch.call.program, tokens);
    }

    /// The sidecar is replaced: it forgets everything, and connections to it
    /// break. What ran may still have its effect.
    fn sidecar_restarts(&mut self, index: usize, pick: usize) {
        for key in self.sidecars[index].running() {
            let dispatch = self.sidecars[index].attempts[&key].dispatch.clone();
            self.spend_worst_case(&dispatch);
            self.lose_connection(&dispatch);
            match pick % 3 {
                0 => self.take_effect(&dispatch, true),
                1 => self.zombies.push(dispatch),
                _ => {}
            }
        }
        self.note_lost_copies(index, None);
        let sidecar = &mut self.sidecars[index];
        sidecar.run += 1;
        sidecar.attempts.clear();
        sidecar.buried.clear();
        sidecar.holds.clear();
        // A sidecar reads the shards' epochs before it takes any call.
        let shards = self.table.shards.iter();
        sidecar.fences = shards.map(|(shard, row)| (*shard, row.1)).collect();
        sidecar.started_at = sidecar.fences.clone();
    }

    /// Notes the answers of which this sidecar had the second copy.
    fn note_lost_copies(&mut self, index: usize, shard: Option<Shard>) {
        for entry in self.sidecars[index].attempts.values() {
            let is_of = shard.is_none_or(|shard| shard == entry.dispatch.shard);
            let is_copy = matches!(
                entry.state,
                AttemptState::Running | AttemptState::Finished(_)
            );
            if is_of && is_copy && !self.table.has_end(&entry.dispatch.call) {
                let key = entry.dispatch.request.key.clone();
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

    /// An owner takes a shard, whether or not the last one is alive.
    pub fn takeover(&mut self, index: usize, shard: Shard, pick: usize) {
        let is_held = self.is_current(index, shard);
        if !self.is_table_up || self.processes[index].is_paused || is_held {
            return;
        }
        let epoch = self.table.epoch(shard) + 1;
        let last = self.table.shards.insert(shard, (index, epoch));
        let programs = self.table.programs.values();
        let programs = programs.filter(|record| record.program.shard(SHARDS) == shard);
        let programs = programs.cloned().collect();
        let turns = self.table.turns.values();
        let turns = turns.filter(|record| record.call.program.shard(SHARDS) == shard);
        let turns = turns.cloned().collect();
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
            self.takeover((index + 1) % 3, shard, 1);
        }
    }

    fn leave(&mut self, index: usize, shard: Shard) {
        let run = self.run_of(index);
        self.send_local(run, Event::ShardLeaving { shard });
    }

    fn pause_or_wake(&mut self, index: usize) {
        let process = &mut self.processes[index];
        process.is_paused = !process.is_paused;
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
            programs: programs.into_iter().collect::<BTreeSet<_>>(),
        });
    }
}
