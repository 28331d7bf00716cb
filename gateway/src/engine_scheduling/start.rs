//! The start of a program.

use std::rc::Rc;
use std::time::Duration;

use rosebend_coordination::gateway::engine_scheduler::client::{Answer, Question};
use rosebend_coordination::gateway::engine_scheduler::message::{
    AdmissionOutcome, AdmissionRefusal, AdmissionRequest, GroupId, RequestNumber,
};
use rosebend_transport::clock::whole_ms;
use rosebend_transport::event::{Event, EventKind};

use super::placement::{Placement, customer_name, program_hash, program_remaining_ms, with_status};
use super::{is_in_effect, known_engines};
use crate::call::Call;
use crate::gateway::Gateway;
use crate::reply::Refusal;

/// Asks whether the program of a call may start. Returns `None` if this host has to
/// decide itself.
///
/// If a group refuses the program, each other group is asked once. The caller gets the
/// refusal of the group that was asked first.
pub async fn admit(gateway: &Rc<Gateway>, call: &Call) -> Option<Result<(), Refusal>> {
    if !is_in_effect(gateway, call) {
        return None;
    }
    let asked_at = gateway.clock.now();
    let mut first_refusal = None;
    for group in groups(gateway, call) {
        match ask_group(gateway, call, &group, asked_at).await {
            Some(Ok(())) => {
                call.admitting_group.replace(Some(group));
                return Some(Ok(()));
            }
            Some(Err(refusal)) => {
                first_refusal.get_or_insert(refusal);
            }
            // The scheduler starts or is silent. The scheduler of another zone can still
            // decide; this host would admit every program, because the turns of the others
            // wait at schedulers and not at engines, where it would notice the queue.
            None => {}
        }
    }
    first_refusal.map(Err)
}

/// Returns the groups in the order in which they are asked.
fn groups(gateway: &Gateway, call: &Call) -> Vec<GroupId> {
    let engines = known_engines::of_service(gateway, &call.service);
    let now = gateway.clock.now();
    let client = gateway.engine_scheduling.client.borrow();
    client.groups_to_ask(&call.service, &engines.zone_names, None, now)
}

/// Asks one group. Returns `None` if its scheduler cannot tell.
async fn ask_group(
    gateway: &Rc<Gateway>,
    call: &Call,
    group: &GroupId,
    asked_at: Duration,
) -> Option<Result<(), Refusal>> {
    let question = |number| Question::Admit(request(gateway, call, number));
    let Some(placement) = Placement::open(gateway, group, question) else {
        return bypass(gateway, call, "no-scheduler", asked_at);
    };
    let decision = match placement.answer().await {
        Some(Answer::Admitted(AdmissionOutcome::Admitted)) => Ok(()),
        Some(Answer::Admitted(AdmissionOutcome::Refused {
            reason,
            retry_after_ms,
            ..
        })) => {
            let retry_after = Duration::from_millis(retry_after_ms);
            Err(match reason {
                AdmissionRefusal::NoCapacity => Refusal::Overloaded(retry_after),
                AdmissionRefusal::OverShare => Refusal::OverShare(retry_after),
            })
        }
        Some(Answer::Admitted(AdmissionOutcome::Unavailable)) => {
            return bypass(gateway, call, "scheduler-starting", asked_at);
        }
        Some(Answer::Placed(_)) | None => {
            return bypass(gateway, call, "scheduler-silent", asked_at);
        }
    };
    let reason = match decision {
        Ok(()) => "admitted",
        Err(Refusal::OverShare(_)) => "over-share",
        Err(_) => "no-capacity",
    };
    gateway.metrics.scheduling.count_start(reason);
    let elapsed = gateway.clock.now().saturating_sub(asked_at);
    let event = Event::new(EventKind::StartDecided).reason(reason);
    let event = with_status(gateway, event, group, &placement);
    call.request_log.add_step(event.elapsed(elapsed));
    Some(decision)
}

/// Counts and logs that this host decides itself.
fn bypass(
    gateway: &Gateway,
    call: &Call,
    reason: &'static str,
    asked_at: Duration,
) -> Option<Result<(), Refusal>> {
    let elapsed = gateway.clock.now().saturating_sub(asked_at);
    gateway.metrics.scheduling.count_bypass(reason);
    let event = Event::new(EventKind::SchedulerBypassed).reason(reason);
    call.request_log.add_step(event.elapsed(elapsed));
    None
}

fn request(gateway: &Gateway, call: &Call, number: RequestNumber) -> AdmissionRequest {
    let now = gateway.clock.now();
    AdmissionRequest {
        number,
        customer: customer_name(call),
        program: program_hash(call),
        priority: call.urgency(),
        objective_ms: whole_ms(call.route.objective),
        turn_remaining_ms: whole_ms(call.remaining(now)),
        program_remaining_ms: program_remaining_ms(call, now),
    }
}
