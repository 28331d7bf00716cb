//! Sending and receiving messages about groups of engines.

use std::net::SocketAddr;
use std::time::Duration;

use rosebend_coordination::gateway::engine_scheduler::client::{
    Answer, Delivery, MAX_MESSAGE_BYTES,
};
use rosebend_coordination::gateway::engine_scheduler::message::{
    AdmissionOutcome, GroupStatus, MessageContent, PlacementOutcome, RequestNumber,
    SchedulerMessage,
};

use super::{DATAGRAM_PREFIX, groups};
use crate::gateway::Gateway;

/// Sends a message. A message to this process is handled directly.
pub(super) fn send(gateway: &Gateway, to: SocketAddr, message: SchedulerMessage) {
    if message.to == *gateway.commits.process_id() {
        handle(gateway, message);
        return;
    }
    let Some(socket) = gateway.engine_scheduling.socket.get() else {
        return;
    };
    let mut datagram = DATAGRAM_PREFIX.to_vec();
    serde_json::to_writer(&mut datagram, &message).expect("a message can be serialized as JSON");
    if datagram.len() > DATAGRAM_PREFIX.len() + MAX_MESSAGE_BYTES {
        gateway.metrics.scheduling.count_too_large();
        return;
    }
    gateway.metrics.scheduling.count_sent(&message.content);
    // A datagram that cannot be sent counts as lost; requests and reports are repeated.
    let _ = socket.try_send_to(&datagram, to);
}

/// Sends the reports that are due.
pub(super) fn send_reports(gateway: &Gateway, now: Duration) {
    let reports = gateway
        .engine_scheduling
        .client
        .borrow_mut()
        .due_reports(now);
    for report in reports {
        send(gateway, report.address, report.message);
    }
}

/// Sends a message to the address of its recipient in the table of gateways. The address
/// from which a datagram came may be forged.
pub(super) fn send_to_process(gateway: &Gateway, message: SchedulerMessage) {
    if message.to == *gateway.commits.process_id() {
        handle(gateway, message);
    } else if let Some(address) = gateway.holders.get(&message.to) {
        send(gateway, address, message);
    }
}

/// Answers a message with the same group.
fn reply(gateway: &Gateway, message: SchedulerMessage, content: MessageContent) {
    let answer = SchedulerMessage {
        from: message.to,
        to: message.from,
        group: message.group,
        content,
    };
    send_to_process(gateway, answer);
}

/// Handles a datagram of another gateway, without its prefix.
pub fn on_message(gateway: &Gateway, datagram: &[u8]) {
    // A message that cannot be decoded, such as one of another version, is treated as
    // lost.
    let Ok(message) = serde_json::from_slice::<SchedulerMessage>(datagram) else {
        return;
    };
    if message.to == *gateway.commits.process_id() && gateway.holders.get(&message.from).is_some() {
        handle(gateway, message);
    }
}

/// Handles a message that is addressed to this process.
fn handle(gateway: &Gateway, message: SchedulerMessage) {
    let now = gateway.clock.now();
    let from = &message.from;
    match &message.content {
        MessageContent::Place(request) => {
            let mut is_newly_queued = false;
            let (outcome, status) = groups::with_group(gateway, &message.group, now, |group| {
                let waiting = group.status(now).waiting;
                let outcome = group.place(from, request, now);
                let status = group.status(now);
                // The turn of a repeated request waits already.
                is_newly_queued = status.waiting > waiting;
                (outcome, status)
            })
            .unwrap_or((PlacementOutcome::Unavailable, GroupStatus::default()));
            let number = request.number;
            let group = message.group.clone();
            let content = MessageContent::Placed {
                number,
                outcome,
                status,
            };
            reply(gateway, message, content);
            if is_newly_queued {
                groups::advance(gateway, &group, now);
                gateway.engine_scheduling.turn_queued.notify_one();
            }
        }
        MessageContent::Admit(request) => {
            let (outcome, status) = groups::with_group(gateway, &message.group, now, |group| {
                (group.admit(from, request, now), group.status(now))
            })
            .unwrap_or((AdmissionOutcome::Unavailable, GroupStatus::default()));
            let number = request.number;
            let content = MessageContent::Admitted {
                number,
                outcome,
                status,
            };
            reply(gateway, message, content);
        }
        MessageContent::Release(released) => {
            groups::with_group(gateway, &message.group, now, |group| {
                group.release(from, released, now);
            });
            groups::advance(gateway, &message.group, now);
        }
        MessageContent::Held(held) => {
            let status = groups::with_group(gateway, &message.group, now, |group| {
                group.report_held(from, held, now);
                group.known_status(now)
            });
            groups::advance(gateway, &message.group, now);
            if let Some(status) = status.flatten() {
                reply(gateway, message, MessageContent::Status(status));
            }
        }
        MessageContent::Placed {
            number,
            outcome,
            status,
        } => {
            let answer = Answer::Placed(outcome.clone());
            deliver(gateway, &message, *number, answer, *status);
        }
        MessageContent::Admitted {
            number,
            outcome,
            status,
        } => {
            let answer = Answer::Admitted(outcome.clone());
            deliver(gateway, &message, *number, answer, *status);
        }
        MessageContent::Status(status) => {
            let mut client = gateway.engine_scheduling.client.borrow_mut();
            client.record_status(from, &message.group, *status, now);
        }
    }
}

/// Passes an answer to the request that waits for it.
fn deliver(
    gateway: &Gateway,
    message: &SchedulerMessage,
    number: RequestNumber,
    answer: Answer,
    status: GroupStatus,
) {
    let now = gateway.clock.now();
    let scheduling = &gateway.engine_scheduling;
    let is_unavailable = answer.is_unavailable();
    let is_assigned = matches!(answer, Answer::Placed(PlacementOutcome::Assigned(_)));
    let delivery = {
        let mut client = scheduling.client.borrow_mut();
        let delivery = client.record_answer(&message.from, number, answer, now);
        if delivery != Delivery::Ignored && !is_unavailable {
            client.record_status(&message.from, &message.group, status, now);
        }
        delivery
    };
    match delivery {
        Delivery::Accepted => {
            if let Some(waiting) = scheduling.waiting.borrow().get(&number) {
                waiting.notify_one();
            }
        }
        Delivery::Late if is_assigned => {
            let client = scheduling.client.borrow();
            let release = client.release_late(&message.group, &message.from, number);
            drop(client);
            send_to_process(gateway, release);
        }
        Delivery::Late | Delivery::Ignored => {}
    }
}
