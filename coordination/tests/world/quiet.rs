//! After the faults: everything arrives, callers get their ends, programs
//! end, and the last things that must hold are checked.

use std::time::Duration;

use rosebend_coordination::owner::Event;
use rosebend_state::id::Shard;
use rosebend_state::record::TurnState;

use super::client::Told;
use super::{SHARDS, World};

/// Rounds in which the world must come to rest.
const ROUNDS: usize = 400;

impl World {
    /// Lets the world come to rest and checks what it rests in.
    pub fn come_to_rest(&mut self) {
        self.heal();
        let mut rounds = 0;
        while !self.is_done() {
            rounds += 1;
            assert!(rounds < ROUNDS, "no rest: {}", self.describe());
            self.round();
        }
        self.free_holds();
        self.check_rest();
    }

    fn heal(&mut self) {
        if !self.is_table_up {
            self.table_fails_or_returns();
        }
        for index in 0..self.processes.len() {
            self.processes[index].is_paused = false;
        }
        for sidecar in 0..self.sidecars.len() {
            self.seen_runs[sidecar] = self.sidecars[sidecar].run;
        }
    }

    /// Everything that is on its way arrives, and every caller acts once.
    fn round(&mut self) {
        self.drain();
        self.now += Duration::from_millis(500);
        for index in 0..self.processes.len() {
            // Old news of an outage may have come last.
            let answering = true;
            self.step(index, Event::TableState { answering });
            self.step(index, Event::Tick);
        }
        self.drain();
        for shard in 0..SHARDS {
            let is_owned = (0..3).any(|index| self.is_current(index, shard));
            if !is_owned || self.is_leaving(shard) {
                self.takeover(self.next_owner(shard), shard, 1);
            }
        }
        self.drain();
        for client in 0..self.clients.len() {
            self.client_goes_on(client);
        }
    }

    fn is_leaving(&self, shard: Shard) -> bool {
        let mut processes = self.processes.iter();
        processes.any(|process| {
            let mut shards = process.owner.shards().into_iter();
            shards.any(|view| view.shard == shard && view.leaving)
        })
    }

    fn next_owner(&self, shard: Shard) -> usize {
        let row = self.table.shards.get(&shard);
        row.map_or(0, |(owner, _)| (owner + 1) % self.processes.len())
    }

    fn drain(&mut self) {
        let mut is_busy = true;
        while is_busy {
            is_busy = !self.messages.is_empty();
            while !self.messages.is_empty() {
                self.deliver(0);
            }
            for sidecar in 0..self.sidecars.len() {
                for call in self.sidecars[sidecar].running() {
                    self.run_to_end(sidecar, &call, 1);
                    is_busy = true;
                }
            }
            for pick in 0..6 {
                is_busy |= self.write_is_waiting(pick);
                self.write_arrives(pick + 6);
            }
        }
    }

    pub fn write_is_waiting(&self, pick: usize) -> bool {
        let writes = self.processes[pick % 3]
            .writes
            .get(&((pick / 3) as u32 % SHARDS));
        writes.is_some_and(|writes| !writes.is_empty())
    }

    fn client_goes_on(&mut self, client: usize) {
        let has_ticket = self.tickets.values().any(|asked| asked.client == client);
        let shard = self.clients[client].program.shard(SHARDS);
        let Some((owner, _)) = self.table.shards.get(&shard).copied() else {
            return;
        };
        let caller = &self.clients[client];
        if has_ticket || caller.has_ended {
            return;
        }
        // A program ends after its sub-agents are through.
        let others_done = self.clients.iter().all(|other| other.next().is_none());
        match caller.next() {
            Some(index) if caller.is_open => self.ask(owner, client, Some(index)),
            None if !others_done => {}
            _ => self.ask(owner, client, None),
        }
    }

    fn is_done(&self) -> bool {
        self.clients.iter().all(|client| client.has_ended)
            && self.tickets.is_empty()
            && self.messages.is_empty()
            && (0..6).all(|pick| !self.write_is_waiting(pick))
    }

    fn free_holds(&mut self) {
        for index in 0..self.processes.len() {
            self.renew(index, 0);
            self.renew(index, 1);
        }
        self.drain();
    }

    fn check_rest(&mut self) {
        for sidecar in &mut self.sidecars {
            let held = sidecar.held();
            let name = &sidecar.name;
            assert!(held.is_empty(), "holds: {held:?} stay at {name}");
        }
        for (key, (call, digest)) in &self.witness.told {
            let turn = self.table.turns.get(call).map(|turn| &turn.state);
            let is_there =
                matches!(turn, Some(TurnState::Done { answer }) if answer.digest == *digest);
            let shard = call.program.shard(SHARDS);
            let repeatable = self.is_repeatable(key);
            assert!(
                is_there || self.witness.is_exempt(key, repeatable, shard),
                "history: {key} was told {digest} as {call} and the table has {turn:?}"
            );
        }
        for (root, spent) in &self.witness.spent {
            let recorded = self.table.programs[root].spent_tokens;
            assert!(
                *spent <= recorded,
                "budget: {root} spent {spent} and its record says {recorded}"
            );
        }
    }

    fn is_repeatable(&self, key: &str) -> bool {
        let mut calls = self.clients.iter().flat_map(|client| &client.calls);
        calls.any(|call| call.key == key && call.repeatable)
    }

    fn describe(&self) -> String {
        let stuck = self
            .clients
            .iter()
            .filter(|client| !client.has_ended)
            .map(|client| {
                let position = client.told.iter().position(|told| *told == Told::Nothing);
                let view = self
                    .processes
                    .iter()
                    .map(|process| process.owner.program(self.now, &client.program));
                format!(
                    "{} open {} at {position:?}, {:?}",
                    client.program,
                    client.is_open,
                    view.collect::<Vec<_>>()
                )
            });
        format!(
            "{:?}; tickets {:?}; messages {:?}; rows {:?}",
            stuck.collect::<Vec<_>>(),
            self.tickets,
            self.messages.len(),
            self.table.shards
        )
    }
}
