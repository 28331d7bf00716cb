//! The fault-free phase at the end of a run. All messages are delivered, all calls
//! and programs end, and the final state is checked.

use std::time::Duration;

use rosebend_coordination::owner::Event;
use rosebend_state::id::Shard;
use rosebend_state::record::TurnState;

use super::client::CallStatus;
use super::{SHARDS, Simulation};

/// The number of rounds within which all programs must end.
const MAX_ROUNDS: usize = 400;

impl Simulation {
    /// Runs without faults until all programs have ended, then checks the final
    /// state.
    pub fn run_fault_free_phase(&mut self) {
        self.end_faults();
        let mut rounds = 0;
        while !self.is_idle() {
            rounds += 1;
            assert!(
                rounds < MAX_ROUNDS,
                "programs do not end: {}",
                self.describe_state()
            );
            self.run_round();
        }
        self.release_unused_holds();
        self.check_final_state();
    }

    /// Ends the outage of the table and all pauses, and updates placement.
    fn end_faults(&mut self) {
        if !self.is_table_up {
            self.toggle_table_availability();
        }
        for index in 0..self.processes.len() {
            self.processes[index].is_paused = false;
        }
        for sidecar in 0..self.sidecars.len() {
            self.seen_generations[sidecar] = self.sidecars[sidecar].generation;
        }
    }

    /// Delivers all messages, gives each shard an owner that is not leaving, and
    /// lets each caller send one request.
    fn run_round(&mut self) {
        self.deliver_all();
        self.now += Duration::from_millis(500);
        for index in 0..self.processes.len() {
            // A delayed notice of an outage may have been delivered last.
            let answering = true;
            self.step(index, Event::TableState { answering });
            self.step(index, Event::Tick);
        }
        self.deliver_all();
        for shard in 0..SHARDS {
            let is_owned = (0..3).any(|index| self.is_current_owner(index, shard));
            if !is_owned || self.is_leaving(shard) {
                self.takeover(self.next_owner(shard), shard, 1);
            }
        }
        self.deliver_all();
        for client in 0..self.clients.len() {
            self.advance_client(client);
        }
    }

    /// Returns whether some process drains the shard.
    fn is_leaving(&self, shard: Shard) -> bool {
        let mut processes = self.processes.iter();
        processes.any(|process| {
            let mut shards = process.owner.shards().into_iter();
            shards.any(|view| view.shard == shard && view.leaving)
        })
    }

    /// Returns the process after the owner of a shard in the table.
    fn next_owner(&self, shard: Shard) -> usize {
        let row = self.table.shards.get(&shard);
        row.map_or(0, |(owner, _)| (owner + 1) % self.processes.len())
    }

    /// Delivers messages and writes and completes running calls until none is left.
    fn deliver_all(&mut self) {
        let mut is_busy = true;
        while is_busy {
            is_busy = !self.messages.is_empty();
            while !self.messages.is_empty() {
                self.deliver(0);
            }
            for sidecar in 0..self.sidecars.len() {
                for call in self.sidecars[sidecar].running() {
                    self.complete_call(sidecar, &call, 1);
                    is_busy = true;
                }
            }
            for pick in 0..6 {
                is_busy |= self.has_pending_write(pick);
                self.deliver_write(pick + 6);
            }
        }
    }

    /// Returns whether the process and shard that `pick` selects have a write that
    /// did not reach the table.
    pub fn has_pending_write(&self, pick: usize) -> bool {
        let writes = self.processes[pick % 3]
            .writes
            .get(&((pick / 3) as u32 % SHARDS));
        writes.is_some_and(|writes| !writes.is_empty())
    }

    /// Sends the next request of a caller that waits for no reply.
    fn advance_client(&mut self, client: usize) {
        let has_ticket = self
            .tickets
            .values()
            .any(|pending| pending.client == client);
        let shard = self.clients[client].program.shard(SHARDS);
        let Some((owner, _)) = self.table.shards.get(&shard).copied() else {
            return;
        };
        let caller = &self.clients[client];
        if has_ticket || caller.has_ended {
            return;
        }
        // A program ends after all calls, including those of its sub-agents.
        let all_calls_ended = self
            .clients
            .iter()
            .all(|other| other.first_pending_call().is_none());
        match caller.first_pending_call() {
            Some(index) if caller.is_open => self.send_request(owner, client, Some(index)),
            None if !all_calls_ended => {}
            _ => self.send_request(owner, client, None),
        }
    }

    /// Returns whether all programs have ended and nothing is in progress.
    fn is_idle(&self) -> bool {
        self.clients.iter().all(|client| client.has_ended)
            && self.tickets.is_empty()
            && self.messages.is_empty()
            && (0..6).all(|pick| !self.has_pending_write(pick))
    }

    /// Renews the holds of all owners at both sidecars, which releases those of
    /// ended programs.
    fn release_unused_holds(&mut self) {
        for index in 0..self.processes.len() {
            self.renew_holds(index, 0);
            self.renew_holds(index, 1);
        }
        self.deliver_all();
    }

    /// Checks that no hold is left, that the table has each answer as reported, and
    /// that it records at least the tokens that were spent.
    fn check_final_state(&mut self) {
        for sidecar in &mut self.sidecars {
            let held = sidecar.held_programs();
            let name = &sidecar.name;
            assert!(held.is_empty(), "holds: {held:?} remain at {name}");
        }
        for (key, (call, digest)) in &self.checker.reported_answers {
            let turn = self.table.turns.get(call).map(|turn| &turn.state);
            let is_recorded =
                matches!(turn, Some(TurnState::Done { answer }) if answer.digest == *digest);
            let shard = call.program.shard(SHARDS);
            let repeatable = self.is_repeatable(key);
            assert!(
                is_recorded || self.checker.may_be_lost(key, repeatable, shard),
                "history: {key} was reported with {digest} as {call} and the table has {turn:?}"
            );
        }
        for (root, spent) in &self.checker.spent {
            let recorded = self.table.programs[root].spent_tokens;
            assert!(
                *spent <= recorded,
                "budget: {root} spent {spent} and its record says {recorded}"
            );
        }
    }

    /// Returns whether the call with this key is repeatable.
    fn is_repeatable(&self, key: &str) -> bool {
        let mut calls = self.clients.iter().flat_map(|client| &client.calls);
        calls.any(|call| call.key == key && call.repeatable)
    }

    /// Describes the programs that have not ended and the work in progress, for the
    /// message of a failure.
    fn describe_state(&self) -> String {
        let open_clients = self
            .clients
            .iter()
            .filter(|client| !client.has_ended)
            .map(|client| {
                let position = client
                    .statuses
                    .iter()
                    .position(|status| *status == CallStatus::Pending);
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
            open_clients.collect::<Vec<_>>(),
            self.tickets,
            self.messages.len(),
            self.table.shards
        )
    }
}
