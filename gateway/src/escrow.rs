//! Spending while the store is unavailable: asks the owners of escrow slots, and
//! answers as one.
//!
//! The decisions are in `rosebend_coordination::gateway::escrow`. Messages are
//! datagrams; a question is repeated until its answer comes, and every answer may
//! be given twice.
//!
//! | what | where |
//! |---|---|
//! | what a turn asks the owners of its program's slots | `turns` |
//! | when an owner grants nothing, and what a death leaves | `hold_off` |
//! | what a host does with its slots when it stops | [`giving_up`] |

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

pub use self::turns::{Denied, Grant, Wanted, close, extend, grant, settle};

pub mod giving_up;
mod hold_off;
mod turns;

/// Begins every datagram of this module; no other begins so.
pub const MARK: [u8; 2] = *b"E2";
/// Timeout for an owner's answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(60);
/// Pause before a question is repeated: datagrams are lost.
const ASK_AGAIN: Duration = Duration::from_millis(20);
/// How long an owner that did not answer is not asked for grants.
const AVOIDANCE: Duration = Duration::from_secs(1);
/// Time between two looks for slots that this host should own.
const CLAIM_INTERVAL: Duration = Duration::from_millis(500);
/// Largest datagram that is sent, in bytes.
const MAX_SENT_BYTES: usize = 8_000;

/// A message between gateways about slots.
#[derive(Debug, Deserialize, Serialize)]
enum Message {
    Question(Question),
    Answer(Answer),
}

/// The slots as this host knows them, and questions that wait for an answer.
#[derive(Debug)]
pub struct Escrow {
    own_run: ProcessId,
    slots: RefCell<Slots<SocketAddr>>,
    socket: OnceCell<Rc<UdpSocket>>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<Reply>>>,
    next_number: Cell<u64>,
    /// Owners that did not answer, and until when they are avoided.
    silent: RefCell<HashMap<ProcessId, Duration>>,
    /// Wakes up who ends this host's hold-off.
    grant_wanted: Notify,
    /// Rows by which this host gives up slots, when it stops, that may not be written.
    unwritten: RefCell<Vec<SlotWrite>>,
}

impl Escrow {
    /// No slot and no other host known.
    pub fn new(own_run: ProcessId) -> Self {
        Self {
            slots: RefCell::new(Slots::new(own_run.clone())),
            own_run,
            socket: OnceCell::new(),
            waiting: RefCell::default(),
            next_number: Cell::new(0),
            silent: RefCell::default(),
            grant_wanted: Notify::new(),
            unwritten: RefCell::default(),
        }
    }

    /// Sends by this socket from now on.
    pub fn set_socket(&self, socket: Rc<UdpSocket>) {
        // The process has one socket for datagrams, and sets it once.
        let _ = self.socket.set(socket);
    }

    /// Takes all hosts that are there, this one among them.
    pub fn set_hosts(&self, hosts: Vec<PeerHost<SocketAddr>>, all_withhold: bool, now: Duration) {
        let mut slots = self.slots.borrow_mut();
        slots.set_hosts(hosts, all_withhold, now);
    }

    /// Takes a slot's row.
    pub fn take_row(&self, slot: SlotId, row: &Row) {
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

    /// Slots that this host owns.
    pub fn held_slots(&self) -> u64 {
        self.slots.borrow().held().count() as u64
    }

    /// Whether this host, which stops, has slots whose rows name it still.
    pub fn has_slots_to_give_up(&self) -> bool {
        self.slots.borrow().is_owner() || !self.unwritten.borrow().is_empty()
    }

    /// Slots whose owner is known here.
    pub fn owned_slots(&self) -> u64 {
        self.slots.borrow().live_owner_count() as u64
    }

    /// Tokens that this host has granted and no ledger has.
    pub fn outstanding_tokens(&self) -> u64 {
        let slots = self.slots.borrow();
        let accounts = slots.held().map(|(_, accounts)| accounts);
        accounts.fold(0, |sum, accounts| {
            sum.saturating_add(accounts.outstanding_tokens())
        })
    }

    /// For how long this host grants nothing.
    pub fn held_off_for(&self, now: Duration) -> Duration {
        self.slots.borrow().hold_off_remaining(now)
    }

    fn send(&self, to: SocketAddr, message: &Message) {
        let Some(socket) = self.socket.get() else {
            return;
        };
        let mut datagram = MARK.to_vec();
        serde_json::to_writer(&mut datagram, message).expect("text and numbers have a JSON form");
        if datagram.len() <= MAX_SENT_BYTES {
            // A full link, or a host that is gone: the question is repeated.
            let _ = socket.try_send_to(&datagram, to);
        }
    }

    fn question(&self, to: &ProcessId, slot: &SlotId, ask: Ask) -> Question {
        let number = self.next_number.get() + 1;
        self.next_number.set(number);
        Question {
            number,
            from: self.own_run.clone(),
            to: to.clone(),
            slot: slot.clone(),
            ask,
        }
    }

    /// Asks a slot's owner; none when there is none or it does not answer.
    async fn ask(&self, slot: &SlotId, ask: Ask, now: Duration) -> Option<Reply> {
        let owner = self.slots.borrow().owner(slot);
        match owner {
            Owner::Local => {
                let reply = self
                    .slots
                    .borrow_mut()
                    .answer(slot, &self.own_run, ask, now);
                self.note_reply(reply);
                Some(reply)
            }
            Owner::Remote(run, address) => self.ask_run(&run, address, slot, ask).await,
            Owner::Absent | Owner::Unowned => None,
        }
    }

    fn note_reply(&self, reply: Reply) {
        if matches!(reply, Reply::HeldOff { .. }) {
            self.grant_wanted.notify_one();
        }
    }

    async fn ask_run(
        &self,
        run: &ProcessId,
        address: SocketAddr,
        slot: &SlotId,
        ask: Ask,
    ) -> Option<Reply> {
        let question = self.question(run, slot, ask);
        let number = question.number;
        let message = Message::Question(question);
        let (told, mut reply) = oneshot::channel();
        self.waiting.borrow_mut().insert(number, told);
        let mut tries = ASK_TIMEOUT.as_millis() / ASK_AGAIN.as_millis();
        let answered = loop {
            self.send(address, &message);
            if let Ok(reply) = tokio::time::timeout(ASK_AGAIN, &mut reply).await {
                break reply.ok();
            }
            tries -= 1;
            if tries == 0 {
                break None;
            }
        };
        self.waiting.borrow_mut().remove(&number);
        answered
    }

    /// Whether a slot's owner was silent lately.
    fn is_avoided(&self, slot: &SlotId, now: Duration) -> bool {
        match self.slots.borrow().owner(slot) {
            Owner::Remote(run, _) => {
                let silent = self.silent.borrow();
                silent.get(&run).is_some_and(|until| now < *until)
            }
            Owner::Local => false,
            Owner::Absent | Owner::Unowned => true,
        }
    }

    fn avoid(&self, slot: &SlotId, now: Duration) {
        if let Owner::Remote(run, _) = self.slots.borrow().owner(slot) {
            let mut silent = self.silent.borrow_mut();
            silent.retain(|_, until| now < *until);
            silent.insert(run, now + AVOIDANCE);
        }
    }
}

/// Takes slots that this host should own, and holds off as their owner, for ever.
pub async fn run(gateway: Rc<Gateway>) {
    tokio::join!(take_slots(&gateway), hold_off::renew(&gateway));
}

async fn take_slots(gateway: &Gateway) {
    hold_off::inherit(gateway).await;
    loop {
        tokio::time::sleep(CLAIM_INTERVAL).await;
        if !gateway.store.is_reachable() {
            continue;
        }
        let now = gateway.clock.now();
        let claims = gateway.escrow.slots.borrow_mut().claims(now);
        if !claims.is_empty() {
            write(gateway, claims).await;
        }
        hold_off::complete(gateway).await;
    }
}

/// Writes rows of slots, all or none. Returns whether they were written.
async fn write(gateway: &Gateway, writes: Vec<SlotWrite>) -> bool {
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
    let is_taking = |write: &SlotWrite| write.row.owner.as_ref() == Some(&escrow.own_run);
    if writes.iter().any(is_taking) {
        transaction.writes.extend(hold_off::begin(gateway));
    }
    match gateway.store.transact(&transaction).await {
        Ok(Transacted::Applied(version)) => {
            let owner = writes.first().and_then(|write| write.row.owner.as_ref());
            let event = match owner == Some(&escrow.own_run) {
                true => EventKind::EscrowTaken,
                false => EventKind::EscrowReleased,
            };
            let event = Event::new(event).count(writes.len() as u64).reason("row");
            log_event(&event.holders(&owners(&writes)));
            let mut slots = escrow.slots.borrow_mut();
            for write in writes {
                slots.observe_row(write.slot, version, write.row);
            }
            true
        }
        Ok(Transacted::Conflict(rows)) => {
            for row in &rows {
                if let Some(slot) = SlotId::from_key(&row.id.key) {
                    escrow.take_row(slot, row);
                }
            }
            false
        }
        // The client has logged how the call failed; the feed tells what was written.
        Err(_) => false,
    }
}

/// Who owns which slot from then on, for logs.
fn owners(writes: &[SlotWrite]) -> String {
    let owners = writes.iter().map(|write| {
        let owner = write.row.owner.as_ref().map_or("nobody", String::as_str);
        format!("{}/{}:{owner}", write.slot.partition, write.slot.index)
    });
    owners.collect::<Vec<String>>().join(",")
}

/// Handles a message of another gateway.
pub fn on_message(gateway: &Gateway, message: &[u8], from: SocketAddr) {
    // What no gateway of this version sent is passed over, as one that is lost.
    let Ok(message) = serde_json::from_slice(message) else {
        return;
    };
    let escrow = &gateway.escrow;
    match message {
        Message::Question(question) => answer(escrow, question, from, gateway.clock.now()),
        Message::Answer(answer) if answer.to == escrow.own_run => {
            if let Some(waiting) = escrow.waiting.borrow_mut().remove(&answer.number) {
                // Who asked may have gone.
                let _ = waiting.send(answer.reply);
            }
        }
        Message::Answer(_) => {}
    }
}

fn answer(escrow: &Escrow, question: Question, from: SocketAddr, now: Duration) {
    if question.to != escrow.own_run {
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
    escrow.note_reply(reply);
    escrow.send(from, &Message::Answer(answer));
    if is_take_over && reply == Reply::Noted {
        for peer in slots.peers() {
            // One that does not hear it grants by the other slot.
            let moved = Ask::Moved(question.from.clone());
            let moved = escrow.question(&peer.process, &question.slot, moved);
            escrow.send(peer.address, &Message::Question(moved));
        }
    }
}
