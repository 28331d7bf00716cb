//! The owner's events and what follows from them.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use rosebend_coordination::owner::{Action, Event, Metric};

use super::ControlReply;
use super::state::Control;
use crate::rows;

/// Tries to make a quarantined request known to all.
const QUARANTINE_TRIES: u32 = 600;
/// Wait between these tries.
const QUARANTINE_WAIT: Duration = Duration::from_secs(1);

impl Control {
    /// Tells the owner something and does what it wants done.
    pub(super) fn owner_event(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let now = self.now();
            for action in self.owner.step(now, event) {
                events.extend(self.owner_action(action));
            }
        }
    }

    fn owner_action(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Reply { ticket, reply } => self.answer_ticket(ticket, reply),
            Action::Follow { ticket, call, .. } => {
                let answer = self.live_answer(&call);
                if let Some(caller) = self.pending.remove(&ticket) {
                    let _ = caller.reply.send(ControlReply::Follow { call, answer });
                }
            }
            Action::Place { .. } => return self.place(action),
            Action::Dispatch { .. } => self.dispatch(action),
            Action::Commit {
                commit,
                shard,
                epoch,
                programs,
                turns,
            } => {
                let records = rows::record_puts(shard, &programs, &turns);
                self.committer.push(shard, epoch, commit, records);
            }
            Action::Claim {
                call,
                attempt,
                shard,
                epoch,
                placement,
            } => {
                self.claim(call, attempt, shard, epoch, &placement);
            }
            Action::Acknowledge {
                call,
                shard,
                epoch,
                placement,
            } => {
                self.acknowledge(&call, shard, epoch, &placement.endpoint);
            }
            Action::CallEnded { call, outcome } => self.end_answer(&call, outcome),
            Action::ReleaseHolds { program, endpoints } => {
                self.router.program_ended(&program);
                self.holds_due.extend(endpoints);
            }
            Action::ShardDrained { shard } => self.pass_on(shard),
            Action::Quarantine { fingerprint } => self.quarantine(fingerprint),
            Action::Count { metric } => self.count(metric),
        }
        None
    }

    fn quarantine(&mut self, fingerprint: String) {
        // Durable and everywhere: the row is read with the configuration.
        let store = Rc::clone(&self.store);
        actix_rt::spawn(async move {
            let transaction = rows::quarantine_transaction(&fingerprint);
            for _ in 0..QUARANTINE_TRIES {
                if store.transact(&transaction).await.is_ok() {
                    return;
                }
                actix_rt::time::sleep(QUARANTINE_WAIT).await;
            }
        });
    }

    fn count(&mut self, metric: Metric) {
        let metrics = &self.settings.metrics;
        match metric {
            Metric::Refusal(reason) => metrics.count_refusal(reason.label()),
            Metric::Retry(reason) => metrics.count_retry(reason.label()),
            _ => {}
        }
    }
}
