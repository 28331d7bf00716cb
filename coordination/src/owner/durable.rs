//! What is to be written, and what follows once it is.

use std::time::Duration;

use rosebend_state::id::{CallId, ProgramId, Shard};
use rosebend_state::record::{AnswerRecord, ShardRecords};

use super::Owner;
use super::action::{Action, Reply};
use super::event::CommitId;
use super::program::call_id;
use super::shard::{CommitInFlight, WrittenProgram, WrittenState, WrittenTurn};

impl Owner {
    /// Has a program's record written with the next commit.
    pub(super) fn mark_program(&mut self, id: &ProgramId) {
        let shard = id.shard(self.config.shard_count);
        if let Some(state) = self.shards.get_mut(&shard) {
            state.dirty_programs.insert(id.clone());
        }
    }

    /// Has the end of a call, or that it has not run, written with the next
    /// commit, and with it what its program has spent: a later owner takes
    /// what sidecars retain of such a call as counted.
    pub(super) fn mark_end(&mut self, call: &CallId) {
        self.mark_turn(call);
        self.mark_program(&call.program);
        self.mark_program(&call.program.root());
    }

    /// Has a call's record written with the next commit.
    pub(super) fn mark_turn(&mut self, call: &CallId) {
        let shard = call.program.shard(self.config.shard_count);
        if let Some(state) = self.shards.get_mut(&shard) {
            state.dirty_turns.insert(call.clone());
        }
    }

    /// Gives out what is to be written, a commit for each shard. During an
    /// outage it is held back, so that a record that changes again is written
    /// once.
    pub(super) fn flush(&mut self, now: Duration) {
        if !self.is_answering {
            return;
        }
        let dirty = self.shards.iter().filter(|(_, state)| state.is_dirty());
        let dirty: Vec<Shard> = dirty.map(|(shard, _)| *shard).collect();
        for shard in dirty {
            self.commit(now, shard);
        }
        self.report_drained();
    }

    fn commit(&mut self, now: Duration, shard: Shard) {
        let state = self.shards.get_mut(&shard).expect("flush() saw it");
        let epoch = state.epoch;
        let dirty_programs = std::mem::take(&mut state.dirty_programs);
        let dirty_turns = std::mem::take(&mut state.dirty_turns);
        let programs: Vec<_> = dirty_programs
            .iter()
            .filter_map(|id| Some(self.programs.get(id)?.record(now, id, epoch)))
            .collect();
        let turns: Vec<_> = dirty_turns
            .iter()
            .filter_map(|call| self.turn_record(call))
            .collect();
        if programs.is_empty() && turns.is_empty() {
            return;
        }
        let id = self.next_commit;
        self.next_commit += 1;
        let in_flight = CommitInFlight {
            id,
            programs: programs
                .iter()
                .map(|record| WrittenProgram {
                    program: record.program.clone(),
                    drawn_tokens: record.drawn_tokens,
                    is_ended: record.state != rosebend_state::record::ProgramState::Open,
                })
                .collect(),
            turns: turns
                .iter()
                .map(|record| WrittenTurn {
                    program: record.call.program.clone(),
                    sequence: record.call.sequence,
                    state: WrittenState::from(&record.state),
                })
                .collect(),
        };
        let state = self.shards.get_mut(&shard).expect("flush() saw it");
        state.in_flight.push_back(in_flight);
        self.out.push(Action::Commit {
            commit: id,
            shard,
            epoch,
            programs,
            turns,
        });
    }

    /// The durable records of a shard, for the successor to which it is handed
    /// over, so that this need not wait for the table. Answers are left out,
    /// which are read from the table when a caller asks for one. Calls at
    /// endpoints that have no record yet are told beside them, so that the
    /// successor knows of them even if their sidecars cannot be asked just now.
    ///
    /// None while anything is to be written: calls at endpoints may end after a
    /// shard was drained, and the successor must not take such an end as
    /// durable. It reads the table then.
    pub fn records(&self, now: Duration, shard: Shard) -> Option<ShardRecords> {
        let state = self.shards.get(&shard).filter(|state| state.is_written())?;
        let mut records = ShardRecords::default();
        let programs = self.programs.iter();
        for (id, program) in programs.filter(|(_, program)| program.shard == shard) {
            records.programs.push(program.record(now, id, state.epoch));
            let turns = program.turns.iter();
            let turns = turns
                .map(|(sequence, turn)| turn.record_with(id, *sequence, AnswerRecord::default()));
            records.turns.extend(turns);
            match program.active.as_deref() {
                Some(call) if call.has_record => records.turns.push(call.record(id)),
                Some(call) if call.stage.is_sent() => records.under_way.push(call.record(id)),
                _ => {}
            }
        }
        Some(records)
    }

    fn turn_record(&self, call: &CallId) -> Option<rosebend_state::record::TurnRecord> {
        let program = self.programs.get(&call.program)?;
        if let Some(turn) = program.turns.get(&call.sequence) {
            return turn.record(&call.program, call.sequence);
        }
        let active = program.active.as_deref()?;
        (active.sequence == call.sequence && active.has_record)
            .then(|| active.record(&call.program))
    }

    /// Takes note that a commit, and all of its shard before it, is durable.
    pub(super) fn committed(&mut self, now: Duration, commit: CommitId) {
        let is_of = |state: &super::shard::ShardState| {
            state
                .in_flight
                .iter()
                .any(|in_flight| in_flight.id == commit)
        };
        let Some((shard, _)) = self.shards.iter().find(|(_, state)| is_of(state)) else {
            return;
        };
        let shard = *shard;
        while let Some(state) = self.shards.get_mut(&shard)
            && let Some(written) = state.in_flight.pop_front()
        {
            let is_last = written.id == commit;
            self.written(now, written);
            if is_last {
                break;
            }
        }
    }

    fn written(&mut self, now: Duration, written: CommitInFlight) {
        for program in written.programs {
            self.program_written(now, &program);
        }
        for turn in written.turns {
            let call = call_id(&turn.program, turn.sequence);
            match turn.state {
                WrittenState::Intent(attempt) => self.intent_committed(now, &call, attempt),
                WrittenState::NotRun => {}
                WrittenState::Ended => self.end_written(&call),
            }
        }
    }

    fn program_written(&mut self, now: Duration, written: &WrittenProgram) {
        let id = &written.program;
        let Some(program) = self.programs.get_mut(id) else {
            return;
        };
        program.is_durable = true;
        let openers = std::mem::take(&mut program.openers);
        let enders = match written.is_ended {
            true => std::mem::take(&mut program.enders),
            false => Vec::new(),
        };
        let reason = program.end_reason();
        if let Some(account) = program.account.as_deref_mut() {
            account.drawn_durably(written.drawn_tokens);
        }
        for ticket in openers {
            self.reply(ticket, Reply::Opened { created: true });
        }
        if let Some(reason) = reason {
            for ticket in enders {
                self.reply(ticket, Reply::Ended { reason });
            }
        }
        self.wake_waiters(now, id);
    }

    /// Takes note that a call's end is durable: followers are told, and the
    /// sidecars may drop what they keep of it.
    fn end_written(&mut self, call: &CallId) {
        let id = &call.program;
        let is_there = self
            .programs
            .get(id)
            .is_some_and(|program| program.turns.contains_key(&call.sequence));
        if !is_there {
            return;
        }
        self.report_end(id, call.sequence);
        let program = self.programs.get_mut(id).expect("seen above");
        let turn = program.turns.get_mut(&call.sequence).expect("seen above");
        let shard = program.shard;
        let Some(unwritten) = turn.unwritten.take() else {
            return;
        };
        let answer_bytes = unwritten
            .answer
            .as_ref()
            .map_or(0, AnswerRecord::body_bytes);
        self.uncommitted -= 1;
        self.uncommitted_bytes -= answer_bytes;
        for placement in unwritten.acknowledge {
            self.acknowledge(call, shard, placement);
        }
    }

    pub(super) fn acknowledge(
        &mut self,
        call: &CallId,
        shard: Shard,
        placement: super::event::Placement,
    ) {
        if let Some(state) = self.shards.get(&shard) {
            self.out.push(Action::Acknowledge {
                call: call.clone(),
                shard,
                epoch: state.epoch,
                placement,
            });
        }
    }

    /// Says which leaving shards have nothing left to wait for: all records are
    /// written, and no call is about to be sent. The next owner finds the calls
    /// at endpoints with their sidecars, as after a takeover; waiting for them
    /// would keep every program of the shard waiting for the slowest tool.
    fn report_drained(&mut self) {
        let is_quiet = |shard: Shard| {
            let mut programs = self.programs.values();
            programs.all(|program| program.shard != shard || !program.is_sending())
        };
        let leaving = self.shards.iter().filter(|(shard, state)| {
            state.is_leaving && !state.is_drained && state.is_written() && is_quiet(**shard)
        });
        let drained: Vec<Shard> = leaving.map(|(shard, _)| *shard).collect();
        for shard in drained {
            let state = self.shards.get_mut(&shard).expect("found above");
            state.is_drained = true;
            self.out.push(Action::ShardDrained { shard });
        }
    }
}
