//! Escrow messages and rows: requests to the owners of slots for spending while the store
//! is unavailable, and the duties of an owner.
//!
//! The decisions are made in `rosebend_coordination::gateway::escrow`. Messages are
//! datagrams. A request is repeated until its answer arrives, and a repeated answer has
//! no further effect.
//!
//! | topic | module |
//! |---|---|
//! | requests of a turn to the owners of its program's slots | `turns` |
//! | hold-off of an owner, and takeover of slots after a death | `hold_off` |
//! | release of a host's slots when its process stops | [`slot_release`] |

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rosebend_coordination::gateway::batchers::PeerHost;
use rosebend_coordination::gateway::escrow::message::{Answer, Ask, Question, Reply};
use rosebend_coordination::gateway::escrow::slot::{SlotId, SlotRow, SlotWrite};
use rosebend_coordination::gateway::escrow::slots::{Owner, Slots};
use rosebend_coordination::gateway::ledger::ProcessId;
use rosebend_state::deployment::{Condition, Row, RowId, RowWrite, Transaction};
use rosebend_transport::event::{Event, EventKind, log_event};
use rosebend_transport::store::Transacted;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::sync::{Notify, oneshot};

use crate::gateway::Gateway;
use crate::peers;

pub use self::turns::{Grant, GrantContext, GrantError, close, extend, grant, settle};

mod hold_off;
pub mod slot_release;
mod turns;

/// Prefix of every datagram of this module. Datagrams of other modules do not have it.
pub const DATAGRAM_PREFIX: [u8; 2] = *b"E2";
/// Timeout for an owner's answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(60);
/// Interval between repetitions of a request. Datagrams may be lost.
const ASK_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which an owner that did not answer is not asked for grants.
const AVOIDANCE_PERIOD: Duration = Duration::from_secs(1);
/// Interval between two checks for slots that this host should own.
const CLAIM_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum size of a datagram that is sent, in bytes.
const MAX_SENT_BYTES: usize = 8_000;

/// Message between gateway processes about slots.
#[derive(Debug, Deserialize, Serialize)]
enum Message {
    Question(Question),
    Answer(Answer),
}

/// State of all slots as known to this process, and the requests that await an answer.
#[derive(Debug)]
pub struct Escrow {
    own_process: ProcessId,
    slots: RefCell<Slots<SocketAddr>>,
    socket: OnceCell<Rc<UdpSocket>>,
    pending_replies: RefCell<HashMap<u64, oneshot::Sender<Reply>>>,
    last_number: Cell<u64>,
    /// Owners that did not answer, with the time until which they are avoided.
    unresponsive: RefCell<HashMap<ProcessId, Duration>>,
    /// Notifies the task that ends this host's hold-off.
    grant_requested: Notify,
    /// Release writes of this stopping process that may not have been applied.
    unwritten: RefCell<Vec<SlotWrite>>,
}

impl Escrow {
    /// Creates a state without any slots or other hosts.
    pub fn new(own_process: ProcessId) -> Self {
        Self {
            slots: RefCell::new(Slots::new(own_process.clone())),
            own_process,
            socket: OnceCell::new(),
            pending_replies: RefCell::default(),
            last_number: Cell::new(0),
            unresponsive: RefCell::default(),
            grant_requested: Notify::new(),
            unwritten: RefCell::default(),
        }
    }

    /// Sets the socket that sends the datagrams.
    pub fn set_socket(&self, socket: Rc<UdpSocket>) {
        // The process has one socket for datagrams and sets it only once.
        let _ = self.socket.set(socket);
    }

    /// Replaces the list of hosts, which includes this one.
    pub fn set_hosts(&self, hosts: Vec<PeerHost<SocketAddr>>, all_withhold: bool, now: Duration) {
        let mut slots = self.slots.borrow_mut();
        slots.set_hosts(hosts, all_withhold, now);
    }

    /// Records a slot's row.
    pub fn record_row(&self, slot: SlotId, row: &Row) {
        let Some(value) = &row.value else {
            return;
        };
        match SlotRow::decode(value) {
            Ok(decoded) => self
                .slots
                .borrow_mut()
                .observe_row(slot, row.version, decoded),
            Err(error) => log_event(&Event::new(EventKind::PeerRowUnusable).error(&error)),
        }
    }

    /// Returns the number of slots for which this host answers requests.
    pub fn held_slots(&self) -> u64 {
        self.slots.borrow().held().count() as u64
    }

    /// Returns whether this stopping process still has slots whose rows name it.
    pub fn has_slots_to_release(&self) -> bool {
        self.slots.borrow().is_owner() || !self.unwritten.borrow().is_empty()
    }

    /// Returns the number of slots whose owner is in the table of hosts.
    pub fn slots_with_live_owner(&self) -> u64 {
        self.slots.borrow().live_owner_count() as u64
    }

    /// Returns the number of tokens that this host has granted and that are not in a
    /// ledger yet.
    pub fn outstanding_tokens(&self) -> u64 {
        let slots = self.slots.borrow();
        let accounts = slots.held().map(|(_, accounts)| accounts);
        accounts.fold(0, |sum, accounts| {
            sum.saturating_add(accounts.outstanding_tokens())
        })
    }

    /// Returns the time until this host grants again.
    pub fn remaining_hold_off(&self, now: Duration) -> Duration {
        self.slots.borrow().hold_off_remaining(now)
    }

    fn send(&self, to: SocketAddr, message: &Message) {
        let Some(socket) = self.socket.get() else {
            return;
        };
        let mut datagram = DATAGRAM_PREFIX.to_vec();
        serde_json::to_writer(&mut datagram, message).expect("text and numbers have a JSON form");
        if datagram.len() <= MAX_SENT_BYTES {
            // The link may be congested or the host dead; the request is repeated.
            let _ = socket.try_send_to(&datagram, to);
        }
    }

    fn question(&self, to: &ProcessId, slot: &SlotId, ask: Ask) -> Question {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        Question {
            number,
            from: self.own_process.clone(),
            to: to.clone(),
            slot: slot.clone(),
            ask,
        }
    }

    /// Sends a request to a slot's owner. Returns `None` if the slot has no owner or the
    /// owner does not answer.
    async fn ask(&self, slot: &SlotId, ask: Ask, now: Duration) -> Option<Reply> {
        let owner = self.slots.borrow().owner(slot);
        match owner {
            Owner::Local => {
                let reply = self
                    .slots
                    .borrow_mut()
                    .answer(slot, &self.own_process, ask, now);
                self.notify_on_hold_off(reply);
                Some(reply)
            }
            Owner::Remote(process, address) => self.ask_process(&process, address, slot, ask).await,
            Owner::Absent | Owner::Unowned => None,
        }
    }

    fn notify_on_hold_off(&self, reply: Reply) {
        if matches!(reply, Reply::HeldOff { .. }) {
            self.grant_requested.notify_one();
        }
    }

    async fn ask_process(
        &self,
        process: &ProcessId,
        address: SocketAddr,
        slot: &SlotId,
        ask: Ask,
    ) -> Option<Reply> {
        let question = self.question(process, slot, ask);
        let number = question.number;
        let message = Message::Question(question);
        let (reply_sender, mut reply) = oneshot::channel();
        self.pending_replies
            .borrow_mut()
            .insert(number, reply_sender);
        let mut tries = ASK_TIMEOUT.as_millis() / ASK_RETRY_INTERVAL.as_millis();
        let received = loop {
            self.send(address, &message);
            if let Ok(reply) = tokio::time::timeout(ASK_RETRY_INTERVAL, &mut reply).await {
                break reply.ok();
            }
            tries -= 1;
            if tries == 0 {
                break None;
            }
        };
        self.pending_replies.borrow_mut().remove(&number);
        received
    }

    /// Returns whether the owner of a slot is absent or did not answer recently.
    fn is_avoided(&self, slot: &SlotId, now: Duration) -> bool {
        match self.slots.borrow().owner(slot) {
            Owner::Remote(process, _) => {
                let unresponsive = self.unresponsive.borrow();
                unresponsive.get(&process).is_some_and(|until| now < *until)
            }
            Owner::Local => false,
            Owner::Absent | Owner::Unowned => true,
        }
    }

    fn avoid(&self, slot: &SlotId, now: Duration) {
        if let Owner::Remote(process, _) = self.slots.borrow().owner(slot) {
            let mut unresponsive = self.unresponsive.borrow_mut();
            unresponsive.retain(|_, until| now < *until);
            unresponsive.insert(process, now + AVOIDANCE_PERIOD);
        }
    }
}

/// Claims the slots that this host should own and renews its hold-off as their owner.
/// Never returns.
pub async fn run(gateway: Rc<Gateway>) {
    tokio::join!(claim_slots(&gateway), hold_off::renew(&gateway));
}

async fn claim_slots(gateway: &Gateway) {
    hold_off::inherit(gateway).await;
    loop {
        tokio::time::sleep(CLAIM_INTERVAL).await;
        if !gateway.store.is_reachable() {
            continue;
        }
        let now = gateway.clock.now();
        let claims = gateway.escrow.slots.borrow_mut().claims(now);
        if !claims.is_empty() {
            write_slots(gateway, claims).await;
        }
        hold_off::complete(gateway).await;
    }
}

/// Writes rows of slots in one transaction. Returns whether the transaction was applied.
async fn write_slots(gateway: &Gateway, writes: Vec<SlotWrite>) -> bool {
    let mut transaction = Transaction::default();
    for write in &writes {
        let row = RowId::new(peers::TABLE, "", write.slot.key());
        transaction.conditions.push(Condition {
            row: row.clone(),
            version: write.version,
        });
        let value = write.row.encode();
        transaction.writes.push(RowWrite { row, value });
    }
    let escrow = &gateway.escrow;
    let is_claim = |write: &SlotWrite| write.row.owner.as_ref() == Some(&escrow.own_process);
    if writes.iter().any(is_claim) {
        transaction.writes.extend(hold_off::announce(gateway));
    }
    match gateway.store.transact(&transaction).await {
        Ok(Transacted::Applied(version)) => {
            let owner = writes.first().and_then(|write| write.row.owner.as_ref());
            let event = match owner == Some(&escrow.own_process) {
                true => EventKind::EscrowTaken,
                false => EventKind::EscrowReleased,
            };
            let event = Event::new(event).count(writes.len() as u64).reason("row");
            log_event(&event.holders(&describe_owners(&writes)));
            let mut slots = escrow.slots.borrow_mut();
            for write in writes {
                slots.observe_row(write.slot, version, write.row);
            }
            true
        }
        Ok(Transacted::Conflict(rows)) => {
            for row in &rows {
                if let Some(slot) = SlotId::from_key(&row.id.key) {
                    escrow.record_row(slot, row);
                }
            }
            false
        }
        // The store client has logged the failure. The table's feed delivers the rows if
        // they were written.
        Err(_) => false,
    }
}

/// Returns a log text that lists the slots and their new owners.
fn describe_owners(writes: &[SlotWrite]) -> String {
    let owners = writes.iter().map(|write| {
        let owner = write.row.owner.as_ref().map_or("nobody", String::as_str);
        format!("{}/{}:{owner}", write.slot.partition, write.slot.index)
    });
    owners.collect::<Vec<String>>().join(",")
}

/// Handles a message from another gateway.
pub fn on_message(gateway: &Gateway, message: &[u8], from: SocketAddr) {
    // A datagram that cannot be decoded was not sent by a gateway of this version and is
    // ignored like a lost one.
    let Ok(message) = serde_json::from_slice(message) else {
        return;
    };
    let escrow = &gateway.escrow;
    match message {
        Message::Question(question) => answer(escrow, question, from, gateway.clock.now()),
        Message::Answer(answer) if answer.to == escrow.own_process => {
            if let Some(reply_sender) = escrow.pending_replies.borrow_mut().remove(&answer.number) {
                // The requesting task may have been cancelled.
                let _ = reply_sender.send(answer.reply);
            }
        }
        Message::Answer(_) => {}
    }
}

fn answer(escrow: &Escrow, question: Question, from: SocketAddr, now: Duration) {
    if question.to != escrow.own_process {
        return;
    }
    let is_take_over = matches!(question.ask, Ask::TakeOver { .. });
    let mut slots = escrow.slots.borrow_mut();
    let reply = slots.answer(&question.slot, &question.from, question.ask, now);
    let answer = Answer {
        number: question.number,
        to: question.from.clone(),
        reply,
    };
    escrow.notify_on_hold_off(reply);
    escrow.send(from, &Message::Answer(answer));
    if is_take_over && reply == Reply::Noted {
        for peer in slots.peers() {
            // A peer that does not receive this message requests its grants from the
            // partition's other slot.
            let moved = Ask::Moved(question.from.clone());
            let moved = escrow.question(&peer.process, &question.slot, moved);
            escrow.send(peer.address, &Message::Question(moved));
        }
    }
}
