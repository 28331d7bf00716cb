//! A table in memory and three operators who change it at once.

use std::collections::BTreeMap;

use rosebend_coordination::configuration::{
    Answer, Change, ChangeOutcome, ChangeRequest, ChangeRow, ChangeWriter, RowCondition, RowWrite,
    SeenRow, Step,
};
use rosebend_state::resource::{RawResource, Resource, ResourceKey};
use serde_json::{Value, json};

/// What becomes of an operator's next request to the table.
#[derive(Clone, Copy, Debug)]
pub enum Delivery {
    /// It is done and answered.
    Answered,
    /// It is done, and the answer is lost.
    AnswerLost,
    /// No answer comes, and it is done later, if ever.
    DelayedUntilLater,
    /// The table refuses it.
    Refused,
    /// The oldest delayed request of anybody arrives; the operator waits.
    LateCopyArrives,
}

/// One of two customers, with a weight that tells the writes apart.
pub fn customer(number: u64) -> Resource {
    let raw = json!({
        "kind": "customer",
        "name": format!("customer-{}", number % 2),
        "spec": {"budget_ceiling_tokens": 1_000 + number},
    });
    Resource::try_from(serde_json::from_value::<RawResource>(raw).unwrap()).unwrap()
}

#[derive(Default)]
struct Table {
    rows: BTreeMap<String, (u64, Value)>,
    last_version: u64,
}

impl Table {
    fn transact(&mut self, writes: &[RowWrite]) -> Answer {
        let holds = |write: &RowWrite| {
            let version = self.rows.get(&write.key).map(|(version, _)| *version);
            match write.condition {
                RowCondition::Any => true,
                RowCondition::Absent => version.is_none(),
                RowCondition::Version(expected) => version == Some(expected),
            }
        };
        if !writes.iter().all(holds) {
            return Answer::Conflict;
        }
        self.last_version += 1;
        for write in writes {
            match &write.value {
                Some(value) => {
                    let row = (self.last_version, value.clone());
                    self.rows.insert(write.key.clone(), row);
                }
                None => {
                    self.rows.remove(&write.key);
                }
            }
        }
        Answer::Committed
    }

    fn read(&self, keys: &[String]) -> Answer {
        let found = keys.iter().filter_map(|key| {
            let (version, value) = self.rows.get(key)?;
            Some(SeenRow {
                key: key.clone(),
                version: *version,
                value: value.clone(),
            })
        });
        Answer::Rows(found.collect())
    }

    fn resource(&self, key: &ResourceKey) -> Option<Resource> {
        let (_, value) = self.rows.get(&key.row_key())?;
        Some(serde_json::from_value(value.clone()).unwrap())
    }
}

/// What the race left behind.
pub struct RaceEnd {
    /// The rows of accepted changes, in their order, with their write ids.
    pub log: Vec<(Change, String)>,
    /// What each operator was told.
    pub outcomes: Vec<(String, ChangeOutcome)>,
    /// The resources as the table holds them.
    pub resources: BTreeMap<ResourceKey, Resource>,
}

/// Three operators and their table.
#[derive(Default)]
pub struct Race {
    table: Table,
    writers: [Option<(String, ChangeWriter)>; 3],
    delayed: Vec<Vec<RowWrite>>,
    outcomes: Vec<(String, ChangeOutcome)>,
    started: u64,
}

impl Race {
    /// Runs a race in which each move takes one operator one step further.
    pub fn run(moves: &[(usize, Delivery)]) -> RaceEnd {
        let mut race = Self::default();
        for (operator, delivery) in moves {
            race.step(*operator, *delivery);
        }
        // Operators are told what stands, and only then do late copies arrive:
        // none may undo what was said.
        for operator in 0..race.writers.len() {
            if let Some((write_id, writer)) = race.writers[operator].take() {
                race.outcomes.push((write_id, writer.give_up()));
            }
        }
        for writes in std::mem::take(&mut race.delayed) {
            race.table.transact(&writes);
        }
        race.end()
    }

    fn step(&mut self, operator: usize, delivery: Delivery) {
        if matches!(delivery, Delivery::LateCopyArrives) {
            if !self.delayed.is_empty() {
                let writes = self.delayed.remove(0);
                self.table.transact(&writes);
            }
            return;
        }
        let (write_id, mut writer) = match self.writers[operator].take() {
            Some(running) => running,
            None => self.start(operator),
        };
        let answer = self.deliver(writer.step(), delivery);
        writer.answer(answer);
        match writer.step() {
            Step::Done(outcome) => self.outcomes.push((write_id, outcome)),
            _ => self.writers[operator] = Some((write_id, writer)),
        }
    }

    /// Starts a change on what the operator sees now; every fifth is a removal
    /// and every seventh expects a revision that does not stand.
    fn start(&mut self, operator: usize) -> (String, ChangeWriter) {
        self.started += 1;
        let resource = customer(self.started);
        let seen = self.table.resource(&resource.key());
        let mut expected_revision = seen.as_ref().map_or(0, Resource::revision);
        if self.started.is_multiple_of(7) {
            expected_revision += 1;
        }
        let removes = seen.is_some() && self.started.is_multiple_of(5);
        let write_id = format!("operator-{operator}/{}", self.started);
        let request = ChangeRequest {
            write_id: write_id.clone(),
            operator: format!("operator-{operator}"),
            key: resource.key(),
            expected_revision,
            spec: (!removes).then_some(resource.spec),
        };
        (write_id, ChangeWriter::new(request))
    }

    fn deliver(&mut self, step: Step, delivery: Delivery) -> Answer {
        let writes = match step {
            Step::Read(keys) => {
                return match delivery {
                    Delivery::Answered => self.table.read(&keys),
                    Delivery::Refused => Answer::Refused,
                    _ => Answer::NoAnswer,
                };
            }
            Step::Transact(writes) => writes,
            Step::Done(_) => unreachable!("a finished writer is taken away"),
        };
        match delivery {
            Delivery::Answered => self.table.transact(&writes),
            Delivery::AnswerLost => {
                self.table.transact(&writes);
                Answer::NoAnswer
            }
            Delivery::DelayedUntilLater => {
                self.delayed.push(writes);
                Answer::NoAnswer
            }
            Delivery::Refused | Delivery::LateCopyArrives => Answer::Refused,
        }
    }

    fn end(self) -> RaceEnd {
        let mut log = Vec::new();
        let mut resources = BTreeMap::new();
        for (key, (_, value)) in self.table.rows {
            if key.starts_with("change/") {
                let row: ChangeRow = serde_json::from_value(value).unwrap();
                let write_id = row.write_id.clone();
                log.push((Change::try_from(row).unwrap(), write_id));
            } else if key.starts_with("resource/") {
                let resource: Resource = serde_json::from_value(value).unwrap();
                resources.insert(resource.key(), resource);
            }
        }
        RaceEnd {
            log,
            outcomes: self.outcomes,
            resources,
        }
    }
}
