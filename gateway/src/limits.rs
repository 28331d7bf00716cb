//! Enforces the rate limits of customers: exchanges quota requests and grants with
//! other hosts, and lets requests wait for a grant.
//!
//! The decisions are in `rosebend_coordination::gateway::limits`. Messages are sent
//! as datagrams. A lost datagram is replaced by a later request, and a datagram of a
//! process that does not belong to the deployment is ignored.

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

/// Prefix of every datagram of this module. The datagrams of other modules have other
/// prefixes.
pub const DATAGRAM_PREFIX: [u8; 2] = *b"L1";
/// Maximum time for which a request waits for a grant of the allocator.
const GRANT_TIMEOUT: Duration = Duration::from_millis(60);
/// Time after which a waiting request requests a grant again, because datagrams may be
/// lost.
const RETRANSMIT_INTERVAL: Duration = Duration::from_millis(21);
/// Minimum retry time after the allocator did not respond.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Interval at which due requests and reports are sent to allocators.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Messages that gateways exchange to enforce rate limits.
#[derive(Debug, Deserialize, Serialize)]
enum Message {
    Ask(AllocatorRequest),
    Answer(AllocatorResponse),
}

/// Enforces customers' limits on this host, and allocates those for which this host is
/// the allocator.
#[derive(Debug)]
pub struct RateLimiter {
    state: RefCell<HostLimits<SocketAddr>>,
    socket: OnceCell<Rc<UdpSocket>>,
    /// Wakes waiting requests after each response of an allocator.
    response_received: Notify,
}

impl RateLimiter {
    /// Creates a rate limiter without customers and without other hosts.
    pub fn new(own_process: ProcessId, tolerance: Tolerance) -> Self {
        Self {
            state: RefCell::new(HostLimits::new(own_process, tolerance)),
            socket: OnceCell::new(),
            response_received: Notify::new(),
        }
    }

    /// Sets the socket through which messages are sent.
    pub fn set_socket(&self, socket: Rc<UdpSocket>) {
        // The process sets its only datagram socket once, so this never fails.
        let _ = self.socket.set(socket);
    }

    /// Replaces the limits with those that operators have declared.
    pub fn set_limits(&self, limits: HashMap<CustomerName, CustomerLimit>) {
        self.state.borrow_mut().set_limits(limits);
    }

    /// Sets how far customers may exceed their limits.
    pub fn set_tolerance(&self, tolerance: Tolerance) {
        self.state.borrow_mut().set_tolerance(tolerance);
    }

    /// Replaces the set of known hosts, which includes this host.
    pub fn set_hosts(&self, hosts: Vec<PeerHost<SocketAddr>>) {
        self.state.borrow_mut().set_hosts(hosts);
    }

    fn send(&self, to: SocketAddr, message: &Message) {
        let Some(socket) = self.socket.get() else {
            return;
        };
        let mut datagram = DATAGRAM_PREFIX.to_vec();
        serde_json::to_writer(&mut datagram, message).expect("a message can be serialized as JSON");
        // A datagram that cannot be sent counts as lost; waiting requests send another one.
        let _ = socket.try_send_to(&datagram, to);
    }

    fn request_grant(&self, customer: &str, now: Duration) {
        let request = self.state.borrow_mut().urgent_request(customer, now);
        if let Some((to, request)) = request {
            self.send(to, &Message::Ask(request));
        }
    }
}

/// Checks a request against its customer's limit. An admitted request is counted
/// against the limit.
///
/// # Errors
///
/// Returns an error if the limit does not allow the request, or if the allocator does
/// not respond.
pub async fn admit(gateway: &Gateway, call: &Call) -> Result<(), Refusal> {
    let Some(customer) = &call.customer else {
        return Ok(());
    };
    let customer = customer.name.as_str();
    let class = request_class(call);
    let now = gateway.clock.now();
    let decision = gateway
        .limits
        .state
        .borrow_mut()
        .decide(customer, class, now);
    let decision = match decision {
        Decision::AwaitGrant => await_grant(gateway, customer, class).await,
        decision => decision,
    };
    match decision {
        Decision::Admit => {
            call.counted_class.set(Some(class));
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

/// Logs a refusal with the state on which it is based.
fn log_refusal(gateway: &Gateway, call: &Call, refusal: Refusal) -> Refusal {
    let customer = call.customer.as_ref();
    let customer = customer.map_or("", |customer| customer.name.as_str());
    let now = gateway.clock.now();
    let limit_status = gateway.limits.state.borrow().status(customer, now);
    let class = match request_class(call) {
        RequestClass::ProgramStart => "begins-program",
        RequestClass::Continuation => "under-way",
    };
    let wait = refusal.retry_after().unwrap_or_default();
    let event = Event::new(EventKind::LimitRefused).customer(customer);
    let event = event.reason(class).wait_ms(whole_ms(wait));
    let event = event.count(limit_status.served);
    let event = match &limit_status.allocator {
        Some(allocator) => event.host(allocator),
        None => event,
    };
    call.request_log.add_step(match limit_status.response_age {
        Some(since_response) => event.age(since_response),
        None => event,
    });
    refusal
}

/// Subtracts a request that did not run from its customer's count, if it was counted.
pub fn refund_request(gateway: &Gateway, call: &Call) {
    if let (Some(customer), Some(class)) = (&call.customer, call.counted_class.take()) {
        let mut state = gateway.limits.state.borrow_mut();
        state.refund(&customer.name, class);
    }
}

fn request_class(call: &Call) -> RequestClass {
    match call.starts_program() {
        true => RequestClass::ProgramStart,
        false => RequestClass::Continuation,
    }
}

/// Counts a request as waiting until this guard is dropped, also if the caller closes
/// its connection meanwhile.
struct WaitingRequest<'a> {
    limits: &'a RateLimiter,
    customer: &'a str,
    class: RequestClass,
}

impl<'a> WaitingRequest<'a> {
    fn register(limits: &'a RateLimiter, customer: &'a str, class: RequestClass) -> Self {
        limits.state.borrow_mut().add_waiting(customer, class);
        Self {
            limits,
            customer,
            class,
        }
    }
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        let mut state = self.limits.state.borrow_mut();
        state.remove_waiting(self.customer, self.class);
    }
}

async fn await_grant(gateway: &Gateway, customer: &str, class: RequestClass) -> Decision {
    let limits = &gateway.limits;
    let until = gateway.clock.now() + GRANT_TIMEOUT;
    let _waiting = WaitingRequest::register(limits, customer, class);
    loop {
        let response_received = limits.response_received.notified();
        let now = gateway.clock.now();
        limits.request_grant(customer, now);
        // If this host is the allocator, the request was already handled locally.
        let decision = limits.state.borrow_mut().decide(customer, class, now);
        if decision != Decision::AwaitGrant {
            return decision;
        }
        if now >= until {
            return limits
                .state
                .borrow_mut()
                .decide_after_timeout(customer, class, now);
        }
        let pause = tokio::time::sleep(RETRANSMIT_INTERVAL.min(until - now));
        tokio::select! {
            () = response_received => {}
            () = pause => {}
        }
    }
}

/// Periodically sends the due requests and reports to allocators, and never returns.
pub async fn run(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        let now = gateway.clock.now();
        let requests = {
            let mut state = gateway.limits.state.borrow_mut();
            state.expire(now);
            state.due_requests(now)
        };
        for (to, request) in requests {
            gateway.limits.send(to, &Message::Ask(request));
        }
    }
}

/// Handles a datagram of another gateway, without its prefix.
pub fn on_message(gateway: &Gateway, message: &[u8], from: SocketAddr) {
    // A message that cannot be decoded, such as one of another version, is treated as
    // lost.
    let Ok(message) = serde_json::from_slice(message) else {
        return;
    };
    let limits = &gateway.limits;
    let now = gateway.clock.now();
    match message {
        Message::Ask(request) => {
            let response = limits.state.borrow_mut().handle_request(&request, now);
            if let Some(response) = response {
                limits.send(from, &Message::Answer(response));
            }
        }
        Message::Answer(response) => {
            if limits.state.borrow_mut().handle_response(&response, now) {
                limits.response_received.notify_waiters();
            }
        }
    }
}
