//! Admission of new programs.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::message::{AdmissionRefusal, AdmissionRequest};
use super::returns::ProgramHash;
use crate::gateway::admission::Urgency;

/// Time for which an admitted program is expected to place its first turn.
const START_WINDOW: Duration = Duration::from_millis(200);
/// Factor of the allowed wait for a program that was refused before. It decides between
/// returning and new programs; with a factor of 2, returning programs alone filled the
/// engines so far that most of them ended late.
const RETURN_FACTOR: f64 = 1.25;
/// Factor of the allowed wait for a program of a customer above its share. The longest wait
/// that such a program is allowed, after a refusal and with the highest urgency, is shorter
/// than the shortest that a program within its share is allowed on the same route.
const ABOVE_SHARE_FACTOR: f64 = 0.125;

/// Load of the group at the time of an admission.
#[derive(Clone, Copy, Debug)]
pub(super) struct StartLoad {
    pub(super) free_slots: u32,
    pub(super) waiting: usize,
    /// Admitted programs that have not placed a turn yet.
    pub(super) pending: usize,
}

impl StartLoad {
    /// Returns the number of turns that get a slot before the first turn of a new program,
    /// beyond the free slots, if `waiting_ahead` waiting turns are before it in the queue.
    pub(super) fn ahead(&self, waiting_ahead: usize) -> usize {
        let taken = waiting_ahead + self.pending;
        taken.saturating_sub(self.free_slots as usize)
    }

    /// Returns whether a slot is free beyond the turns that are expected.
    fn has_room(&self) -> bool {
        self.free_slots as usize > self.waiting + self.pending
    }
}

/// Decides whether a program may start.
///
/// A customer above its share is refused at a shorter wait than the others, so that it
/// takes only what they leave.
pub(super) fn refusal(
    request: &AdmissionRequest,
    load: StartLoad,
    wait_ms: f64,
    is_above_share: bool,
    is_returning: bool,
) -> Option<AdmissionRefusal> {
    if load.has_room() {
        return None;
    }
    let return_factor = if is_returning { RETURN_FACTOR } else { 1.0 };
    let allowed_ms = allowed_wait_ms(request) * return_factor;
    if is_above_share && wait_ms > allowed_ms * ABOVE_SHARE_FACTOR {
        return Some(AdmissionRefusal::OverShare);
    }
    (wait_ms > allowed_ms).then_some(AdmissionRefusal::NoCapacity)
}

/// Returns the wait of a turn up to which a program may start, in milliseconds.
///
/// Each of the 3 to 11 turns of a program waits as long, and its target leaves one
/// objective and a fifth to three tenths of its time on idle engines.
fn allowed_wait_ms(request: &AdmissionRequest) -> f64 {
    let part = match request.priority {
        Urgency::Normal => 0.125,
        Urgency::Route => 0.375,
        Urgency::Customer => 0.5,
        Urgency::Both => 0.75,
    };
    request.objective_ms as f64 * part
}

/// Admitted programs that have not placed a turn yet.
#[derive(Debug, Default)]
pub(super) struct PendingStarts {
    admitted_at: HashMap<ProgramHash, Duration>,
    order: VecDeque<(Duration, ProgramHash)>,
}

impl PendingStarts {
    /// Adds an admitted program.
    pub(super) fn insert(&mut self, program: ProgramHash, now: Duration) {
        self.admitted_at.insert(program, now);
        self.order.push_back((now, program));
    }

    /// Removes a program that places a turn.
    pub(super) fn remove(&mut self, program: ProgramHash) {
        self.admitted_at.remove(&program);
    }

    /// Returns the number of programs that are still expected to place their first turn.
    pub(super) fn count(&mut self, now: Duration) -> usize {
        while let Some(&(at, program)) = self.order.front() {
            if now < at + START_WINDOW {
                break;
            }
            self.order.pop_front();
            if self.admitted_at.get(&program) == Some(&at) {
                self.admitted_at.remove(&program);
            }
        }
        self.admitted_at.len()
    }
}
