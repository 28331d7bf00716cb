//! Commits of dirty records to the table.
//!
//! Records that change are marked and written with the next commit of their
//! shard. When a commit is durable, the owner sends the replies and
//! acknowledgements that waited for it.

use std::time::Duration;

use rosebend_state::id::{CallId, ProgramId, Shard};
use rosebend_state::record::{AnswerRecord, ShardRecords};

use super::Owner;
use super::action::{Action, Reply};
use super::event::CommitId;
use super::program::call_id;
use super::shard::{CommitInFlight, WrittenProgram, WrittenState, WrittenTurn};

impl Owner {
    /// Marks a program's record for the next commit.
    pub(super) fn mark_program(&mut self, id: &ProgramId) {
        let shard = id.shard(self.config.shard_count);
        if let Some(state) = self.shards.get_mut(&shard) {
            state.dirty_programs.insert(id.clone());
        }
    }

    /// Marks the record of a call that ended or did not run for the next commit,
    /// together with the records that hold its program's spending. All of them
    /// must change in one commit, because a later owner assumes that the
    /// spending includes what sidecars retain of such a call.
    pub(super) fn mark_end(&mut self, call: &CallId) {
        self.mark_turn(call);
        self.mark_program(&call.program);
        self.mark_program(&call.program.root());
    }

    /// Marks a call's record for the next commit.
    pub(super) fn mark_turn(&mut self, call: &CallId) {
        let shard = call.program.shard(self.config.shard_count);
        if let Some(state) = self.shards.get_mut(&shard) {
            state.dirty_turns.insert(call.clone());
        }
    }

    /// Issues one commit for each shard with dirty records. During an outage of
    /// the table nothing is issued, so that a record that changes again is
    /// written only once.
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

    /// Issues a commit with all dirty records of a shard.
    fn commit(&mut self, now: Duration, shard: Shard) {
        let state = self
            .shards
            .get_mut(&shard)
            .expect("flush() found the shard");
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
        let state = self
            .shards
            .get_mut(&shard)
            .expect("flush() found the shard");
        state.in_flight.push_back(in_flight);
        self.out.push(Action::Commit {
            commit: id,
            shard,
            epoch,
            programs,
            turns,
        });
    }

    /// Returns the durable records of a shard for the successor of a handoff, so
    /// that the successor does not have to read the table. Answers are omitted;
    /// they are read from the table when a caller requests one. Calls at
    /// endpoints that have no record yet are listed separately, so that the
    /// successor can restore them even if their sidecars cannot be reached.
    ///
    /// Returns `None` while any record is not yet durable: a call at an endpoint
    /// may end after the shard was drained, and the successor must not treat
    /// such an end as durable. The successor then reads the table.
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

    /// Returns the current record of a call, if it has one to write.
    fn turn_record(&self, call: &CallId) -> Option<rosebend_state::record::TurnRecord> {
        let program = self.programs.get(&call.program)?;
        if let Some(turn) = program.turns.get(&call.sequence) {
            return turn.record(&call.program, call.sequence);
        }
        let active = program.active.as_deref()?;
        (active.sequence == call.sequence && active.has_record)
            .then(|| active.record(&call.program))
    }

    /// Handles a durable commit, and all earlier commits of its shard with it.
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

    /// Handles the records of one durable commit.
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

    /// Replies to callers that waited for a program's record to become durable,
    /// and makes the durably drawn budget available.
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
            account.record_durable_draw(written.drawn_tokens);
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

    /// Handles the durable end of a call: reports the outcome to followers, and
    /// acknowledges the answer so that the sidecars may drop their copies.
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
        let program = self.programs.get_mut(id).expect("checked above");
        let turn = program
            .turns
            .get_mut(&call.sequence)
            .expect("checked above");
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

    /// Allows a sidecar to drop the retained answer of a call.
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

    /// Reports the leaving shards that are drained: all of their records are
    /// durable, and no call is about to be sent. Calls at endpoints do not delay
    /// the handoff, because every program of the shard would wait for the
    /// slowest tool. The next owner restores these calls from the sidecars, as
    /// after a takeover.
    fn report_drained(&mut self) {
        let has_nothing_to_send = |shard: Shard| {
            let mut programs = self.programs.values();
            programs.all(|program| program.shard != shard || !program.is_sending())
        };
        let leaving = self.shards.iter().filter(|(shard, state)| {
            state.is_leaving
                && !state.is_drained
                && state.is_written()
                && has_nothing_to_send(**shard)
        });
        let drained: Vec<Shard> = leaving.map(|(shard, _)| *shard).collect();
        for shard in drained {
            let state = self.shards.get_mut(&shard).expect("found above");
            state.is_drained = true;
            self.out.push(Action::ShardDrained { shard });
        }
    }
}
