//! Customers' limits: asks their allocators, and answers as one.
//!
//! The decisions are in `rosebend_coordination::gateway::limits`. Messages are
//! datagrams: one that is lost is asked for again, and one that comes from no run
//! of a gateway that this host knows changes nothing.

use std::cell::{OnceCell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rosebend_coordination::gateway::batchers::PeerHost;
use rosebend_coordination::gateway::ledger::ProcessId;
use rosebend_coordination::gateway::limits::local_quota::RequestClass;
use rosebend_coordination::gateway::limits::message::{AllocatorRequest, AllocatorResponse};
use rosebend_coordination::gateway::limits::{Decision, HostLimits, Tolerance};
use rosebend_state::deployment::{CustomerLimit, CustomerName};
use rosebend_transport::clock::whole_ms;
use rosebend_transport::event::{Event, EventKind};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::call::Call;
use crate::gateway::Gateway;
use crate::reply::Refusal;

/// Begins every datagram of this module; no other begins so.
pub const MARK: [u8; 2] = *b"L1";
/// Timeout for a grant from the allocator.
const GRANT_TIMEOUT: Duration = Duration::from_millis(60);
/// Pause before a waiting request asks again: datagrams are lost.
const ASK_AGAIN: Duration = Duration::from_millis(21);
/// Shortest retry time where the allocator did not answer.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Time between two reports to allocators.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Messages that gateways exchange to enforce rate limits.
#[derive(Debug, Deserialize, Serialize)]
enum Message {
    Ask(AllocatorRequest),
    Answer(AllocatorResponse),
}

/// Customers' limits, as this host keeps to them and hands them out.
#[derive(Debug)]
pub struct Limits {
    state: RefCell<HostLimits<SocketAddr>>,
    socket: OnceCell<Rc<UdpSocket>>,
    /// Wakes requests that wait, with each answer.
    answered: Notify,
}

impl Limits {
    /// No customer and no other host known.
    pub fn new(own_run: ProcessId, tolerance: Tolerance) -> Self {
        Self {
            state: RefCell::new(HostLimits::new(own_run, tolerance)),
            socket: OnceCell::new(),
            answered: Notify::new(),
        }
    }

    /// Sends by this socket from now on.
    pub fn set_socket(&self, socket: Rc<UdpSocket>) {
        // The process has one socket for datagrams, and sets it once.
        let _ = self.socket.set(socket);
    }

    /// Takes the limits that operators declare.
    pub fn declare(&self, limits: HashMap<CustomerName, CustomerLimit>) {
        self.state.borrow_mut().set_limits(limits);
    }

    /// Sets how far customers may exceed their limits.
    pub fn set_tolerance(&self, tolerance: Tolerance) {
        self.state.borrow_mut().set_tolerance(tolerance);
    }

    /// Takes all hosts that are there, this one among them.
    pub fn set_hosts(&self, hosts: Vec<PeerHost<SocketAddr>>) {
        self.state.borrow_mut().set_hosts(hosts);
    }

    fn send(&self, to: SocketAddr, message: &Message) {
        let Some(socket) = self.socket.get() else {
            return;
        };
        let mut datagram = MARK.to_vec();
        serde_json::to_writer(&mut datagram, message).expect("text and numbers have a JSON form");
        // A full link, or a host that is gone: whoever waits asks again.
        let _ = socket.try_send_to(&datagram, to);
    }

    fn request_grant(&self, customer: &str, now: Duration) {
        let ask = self.state.borrow_mut().urgent_request(customer, now);
        if let Some((to, ask)) = ask {
            self.send(to, &Message::Ask(ask));
        }
    }
}

/// Whether a customer's limit allows a request, which counts there from then on.
///
/// # Errors
///
/// Says that it does not, or that nobody can tell.
pub async fn admit(gateway: &Gateway, call: &Call) -> Result<(), Refusal> {
    let Some(customer) = &call.customer else {
        return Ok(());
    };
    let customer = customer.name.as_str();
    let demand = demand_of(call);
    let now = gateway.clock.now();
    let decision = gateway
        .limits
        .state
        .borrow_mut()
        .decide(customer, demand, now);
    let decision = match decision {
        Decision::AwaitGrant => wait(gateway, customer, demand).await,
        decision => decision,
    };
    match decision {
        Decision::Admit => {
            call.counted_class.set(Some(demand));
            Ok(())
        }
        Decision::Refuse(wait) => Err(log_refusal(gateway, call, Refusal::LimitExceeded(wait))),
        Decision::AllocatorUnavailable(wait) => {
            let refusal = Refusal::LimitUnknown(wait.max(MIN_RETRY_AFTER));
            Err(log_refusal(gateway, call, refusal))
        }
        Decision::AwaitGrant => Err(Refusal::LimitUnknown(MIN_RETRY_AFTER)),
    }
}

/// Logs a refusal with what decided it.
fn log_refusal(gateway: &Gateway, call: &Call, refusal: Refusal) -> Refusal {
    let customer = call.customer.as_ref();
    let customer = customer.map_or("", |customer| customer.name.as_str());
    let now = gateway.clock.now();
    let facts = gateway.limits.state.borrow().status(customer, now);
    let demand = match demand_of(call) {
        RequestClass::ProgramStart => "begins-program",
        RequestClass::Continuation => "under-way",
    };
    let wait = refusal.retry_after().unwrap_or_default();
    let event = Event::new(EventKind::LimitRefused).customer(customer);
    let event = event.reason(demand).wait_ms(whole_ms(wait));
    let event = event.count(facts.served);
    let event = match &facts.allocator {
        Some(allocator) => event.host(allocator),
        None => event,
    };
    call.request_log.add_step(match facts.response_age {
        Some(heard) => event.age(heard),
        None => event,
    });
    refusal
}

/// Takes a request out of its customer's count that counts there and did not run.
pub fn refund_request(gateway: &Gateway, call: &Call) {
    if let (Some(customer), Some(demand)) = (&call.customer, call.counted_class.take()) {
        let mut state = gateway.limits.state.borrow_mut();
        state.refund(&customer.name, demand);
    }
}

fn demand_of(call: &Call) -> RequestClass {
    match call.starts_program() {
        true => RequestClass::ProgramStart,
        false => RequestClass::Continuation,
    }
}

/// Counts a waiting request until it is dropped, also when its caller leaves.
struct Waiting<'a> {
    limits: &'a Limits,
    customer: &'a str,
    demand: RequestClass,
}

impl<'a> Waiting<'a> {
    fn begin(limits: &'a Limits, customer: &'a str, demand: RequestClass) -> Self {
        limits.state.borrow_mut().add_waiting(customer, demand);
        Self {
            limits,
            customer,
            demand,
        }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut state = self.limits.state.borrow_mut();
        state.remove_waiting(self.customer, self.demand);
    }
}

async fn wait(gateway: &Gateway, customer: &str, demand: RequestClass) -> Decision {
    let limits = &gateway.limits;
    let until = gateway.clock.now() + GRANT_TIMEOUT;
    let _waiting = Waiting::begin(limits, customer, demand);
    loop {
        let answered = limits.answered.notified();
        let now = gateway.clock.now();
        limits.request_grant(customer, now);
        // What this host allocates itself is there at once.
        let decision = limits.state.borrow_mut().decide(customer, demand, now);
        if decision != Decision::AwaitGrant {
            return decision;
        }
        if now >= until {
            return limits
                .state
                .borrow_mut()
                .decide_after_timeout(customer, demand, now);
        }
        let pause = tokio::time::sleep(ASK_AGAIN.min(until - now));
        tokio::select! {
            () = answered => {}
            () = pause => {}
        }
    }
}

/// Reports to allocators, for ever.
pub async fn run(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        let now = gateway.clock.now();
        let asks = {
            let mut state = gateway.limits.state.borrow_mut();
            state.expire(now);
            state.due_requests(now)
        };
        for (to, ask) in asks {
            gateway.limits.send(to, &Message::Ask(ask));
        }
    }
}

/// Handles a message of another gateway.
pub fn on_message(gateway: &Gateway, message: &[u8], from: SocketAddr) {
    // What no gateway of this version sent is passed over, as one that is lost.
    let Ok(message) = serde_json::from_slice(message) else {
        return;
    };
    let limits = &gateway.limits;
    let now = gateway.clock.now();
    match message {
        Message::Ask(ask) => {
            let answer = limits.state.borrow_mut().handle_request(&ask, now);
            if let Some(answer) = answer {
                limits.send(from, &Message::Answer(answer));
            }
        }
        Message::Answer(answer) => {
            if limits.state.borrow_mut().handle_response(&answer, now) {
                limits.answered.notify_waiters();
            }
        }
    }
}
