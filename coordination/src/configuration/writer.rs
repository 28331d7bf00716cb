//! Takes one change through the table.

use rosebend_state::{
    id::Revision,
    resource::{Change, Resource},
};
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::change::{
    Before, ChangeRequest, ChangeRow, Conflict, Plan, PlannedWrite, REVISION_KEY, RowWrite,
    Versioned, change_key, plan,
};

/// Requests to the table that one change may make.
const MAX_REQUESTS: u32 = 24;

/// What to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Read these rows.
    Read(Vec<String>),
    /// Run this transaction.
    Transact(Vec<RowWrite>),
    /// It is over.
    Done(ChangeOutcome),
}

/// What came of the last step.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The rows that were found.
    Rows(Vec<SeenRow>),
    /// The transaction took effect.
    Committed,
    /// A condition did not hold; the transaction had no effect.
    Conflict,
    /// The platform refused; nothing took effect.
    Refused,
    /// No answer came; a transaction may have taken effect, or may yet.
    NoAnswer,
}

/// A row as it was read.
#[derive(Clone, Debug, PartialEq)]
pub struct SeenRow {
    /// The row's key.
    pub key: String,
    /// The row's version.
    pub version: u64,
    /// The row's value.
    pub value: Value,
}

/// How a change ended.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeOutcome {
    /// It is durable.
    Accepted(Change),
    /// The resource stands like this already; nothing was written.
    Unchanged(Option<Resource>),
    /// The operator saw another revision; it had no effect and never will.
    Conflict(Conflict),
    /// The table did not take it; it had no effect and never will.
    NotRun,
    /// Nobody could tell whether it took effect.
    Unknown {
        /// Its revision, if it did.
        revision: Revision,
    },
    /// A row could not be read as what it should hold; nothing was written.
    Damaged {
        /// The row's key.
        key: String,
    },
}

/// Takes one change through the table, step by step.
///
/// The driver does what [`step`](Self::step) says and tells what came of it,
/// until the change is over.
#[derive(Clone, Debug)]
pub struct ChangeWriter {
    request: ChangeRequest,
    state: State,
    /// Requests that the change may still make.
    requests_left: u32,
}

#[derive(Clone, Debug)]
enum State {
    /// Reads what stands before the change.
    Reading,
    /// Writes; in doubt when an earlier copy of the same transaction may have
    /// taken effect, or may yet.
    Writing { write: PlannedWrite, in_doubt: bool },
    /// Looks whose change stands at the planned revision. A conflict after a
    /// doubt has shown that the revision is taken, and so no copy of the
    /// transaction can take effect any more.
    ReadingBack { write: PlannedWrite },
    /// It is over.
    Done(ChangeOutcome),
}

impl ChangeWriter {
    /// Starts a change.
    pub fn new(request: ChangeRequest) -> Self {
        Self {
            request,
            state: State::Reading,
            requests_left: MAX_REQUESTS,
        }
    }

    /// What to do next.
    pub fn step(&self) -> Step {
        match &self.state {
            State::Reading => Step::Read(vec![REVISION_KEY.to_owned(), self.request.key.row_key()]),
            State::Writing { write, .. } => Step::Transact(write.rows.clone()),
            State::ReadingBack { write } => Step::Read(vec![change_key(write.change.revision)]),
            State::Done(outcome) => Step::Done(outcome.clone()),
        }
    }

    /// Takes in what came of the last step.
    ///
    /// # Panics
    ///
    /// Panics on an answer that the step cannot have, such as rows for a
    /// transaction.
    pub fn answer(&mut self, answer: Answer) {
        self.requests_left = self.requests_left.saturating_sub(1);
        let state = std::mem::replace(&mut self.state, State::Reading);
        self.state = match state {
            State::Reading => self.after_reading(answer),
            State::Writing { write, in_doubt } => self.after_writing(write, in_doubt, answer),
            State::ReadingBack { write } => self.after_reading_back(write, answer),
            State::Done(outcome) => State::Done(outcome),
        };
    }

    /// Ends the change where it stands, because the operator has waited long
    /// enough. Called between an answer and the next step.
    pub fn give_up(self) -> ChangeOutcome {
        match self.state {
            State::Reading
            | State::Writing {
                in_doubt: false, ..
            } => ChangeOutcome::NotRun,
            State::Writing { write, .. } | State::ReadingBack { write } => unknown(&write),
            State::Done(outcome) => outcome,
        }
    }

    fn after_reading(&self, answer: Answer) -> State {
        let rows = match answer {
            Answer::Rows(rows) => rows,
            Answer::Refused | Answer::NoAnswer => {
                return self.unless_spent(State::Reading, ChangeOutcome::NotRun);
            }
            Answer::Committed | Answer::Conflict => unreachable!("nothing was written"),
        };
        let before = match self.read_before(rows) {
            Ok(before) => before,
            Err(key) => return State::Done(ChangeOutcome::Damaged { key }),
        };
        match plan(&self.request, &before) {
            Plan::Unchanged(resource) => State::Done(ChangeOutcome::Unchanged(resource)),
            Plan::Conflict(conflict) => State::Done(ChangeOutcome::Conflict(conflict)),
            Plan::Write(write) => {
                let writing = State::Writing {
                    write,
                    in_doubt: false,
                };
                self.unless_spent(writing, ChangeOutcome::NotRun)
            }
        }
    }

    fn after_writing(&self, write: PlannedWrite, in_doubt: bool, answer: Answer) -> State {
        match answer {
            Answer::Committed => State::Done(ChangeOutcome::Accepted(write.change)),
            Answer::Conflict if in_doubt => {
                let unknown = unknown(&write);
                self.unless_spent(State::ReadingBack { write }, unknown)
            }
            // Somebody else's change came first, perhaps of another resource.
            Answer::Conflict => self.unless_spent(State::Reading, ChangeOutcome::NotRun),
            Answer::Refused if !in_doubt => {
                let again = State::Writing { write, in_doubt };
                self.unless_spent(again, ChangeOutcome::NotRun)
            }
            Answer::Refused | Answer::NoAnswer => {
                let unknown = unknown(&write);
                let again = State::Writing {
                    write,
                    in_doubt: true,
                };
                self.unless_spent(again, unknown)
            }
            Answer::Rows(_) => unreachable!("a transaction answers without rows"),
        }
    }

    fn after_reading_back(&self, write: PlannedWrite, answer: Answer) -> State {
        let rows = match answer {
            Answer::Rows(rows) => rows,
            Answer::Refused | Answer::NoAnswer => {
                let unknown = unknown(&write);
                return self.unless_spent(State::ReadingBack { write }, unknown);
            }
            Answer::Committed | Answer::Conflict => unreachable!("a read writes nothing"),
        };
        let key = change_key(write.change.revision);
        match find::<ChangeRow>(&rows, &key) {
            Ok(Some(row)) if row.value.write_id == self.request.write_id => {
                State::Done(ChangeOutcome::Accepted(write.change))
            }
            Ok(Some(_)) => self.unless_spent(State::Reading, ChangeOutcome::NotRun),
            // The row is gone or cannot be read: nothing tells whose it was.
            Ok(None) | Err(_) => State::Done(unknown(&write)),
        }
    }

    fn read_before(&self, rows: Vec<SeenRow>) -> Result<Before, String> {
        Ok(Before {
            newest: find(&rows, REVISION_KEY)?,
            resource: find(&rows, &self.request.key.row_key())?,
        })
    }

    /// Goes on, unless the change has made all the requests that it may.
    fn unless_spent(&self, next: State, spent: ChangeOutcome) -> State {
        match self.requests_left {
            0 => State::Done(spent),
            _ => next,
        }
    }
}

fn unknown(write: &PlannedWrite) -> ChangeOutcome {
    ChangeOutcome::Unknown {
        revision: write.change.revision,
    }
}

/// Finds a row; fails with its key when it does not hold what it should.
fn find<T: DeserializeOwned>(rows: &[SeenRow], key: &str) -> Result<Option<Versioned<T>>, String> {
    let Some(row) = rows.iter().find(|row| row.key == key) else {
        return Ok(None);
    };
    match T::deserialize(&row.value) {
        Ok(value) => Ok(Some(Versioned {
            version: row.version,
            value,
        })),
        Err(_) => Err(key.to_owned()),
    }
}
