//! Which calls may have crashed the endpoint.
//!
//! An endpoint that dies takes all calls in flight with it, and each of them
//! notices by itself, one after the other. The first to notice fixes the set
//! of suspects; the others of that set report the same one, and calls that
//! were admitted after it are not suspected.

use std::collections::HashSet;

use rosebend_state::id::CallId;

/// Suspects of the endpoint's last crash.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    /// Members that have not reported the crash yet.
    unreported: HashSet<CallId>,
    /// All in flight when the crash was noticed, in order.
    members: Vec<CallId>,
}

impl Suspects {
    /// The suspects of the crash that `call` noticed, given what is in
    /// flight now, `call` included.
    pub fn crashed<'a>(
        &mut self,
        call: &CallId,
        in_flight: impl Iterator<Item = &'a CallId>,
    ) -> Vec<CallId> {
        if !self.unreported.remove(call) {
            self.members = in_flight.cloned().collect();
            self.members.sort();
            self.unreported = self.members.iter().cloned().collect();
            self.unreported.remove(call);
        }
        self.members.clone()
    }

    /// Whether only one of these suspects has reported their crash.
    pub fn is_first(&self, suspects: &[CallId]) -> bool {
        self.members == suspects && self.unreported.len() + 1 == suspects.len()
    }

    /// Forgets a call that ended otherwise.
    pub fn ended(&mut self, call: &CallId) {
        self.unreported.remove(call);
    }
}
