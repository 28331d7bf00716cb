//! The log of one request's steps.
//!
//! The steps are held in memory until the request ends. For a request that was
//! answered in time and without incident, a single event is written. For a request
//! that was refused, failed, answered late, retried or abandoned by its caller, all
//! steps are written with their times. The size of the log is thereby bounded by the
//! number of requests, and the requests that operators investigate are complete in
//! it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use rosebend_state::deployment::{AttemptId, CustomerName, ProgramKey};
use rosebend_transport::event::{Event, EventKind, log_event, log_event_at, now_ms};

/// The log of one request's steps.
#[derive(Debug)]
pub struct RequestLog {
    attempt: AttemptId,
    program: Option<ProgramKey>,
    customer: Option<CustomerName>,
    route: String,
    /// Steps, each with its wall-clock time in milliseconds.
    steps: RefCell<Vec<(u64, Event)>>,
    /// Whether a step occurred that requires all steps to be written.
    is_notable: Cell<bool>,
    /// Whether an answer of an endpoint had neither a length nor chunks.
    is_close_delimited: Cell<bool>,
    has_ended: Cell<bool>,
    /// Whether the process is about to exit, so that a request ends although its caller has
    /// not left.
    is_exiting: Rc<Cell<bool>>,
}

impl RequestLog {
    /// Creates the log of a request that has just been read. `is_exiting` is set before the
    /// process exits.
    pub fn new(
        attempt: AttemptId,
        program: Option<ProgramKey>,
        customer: Option<CustomerName>,
        route: String,
        is_exiting: Rc<Cell<bool>>,
    ) -> Self {
        Self {
            attempt,
            program,
            customer,
            route,
            steps: RefCell::default(),
            is_notable: Cell::new(false),
            is_close_delimited: Cell::new(false),
            has_ended: Cell::new(false),
            is_exiting,
        }
    }

    /// Adds a step.
    pub fn add_step(&self, event: Event) {
        let event = event.attempt(&self.attempt);
        self.steps.borrow_mut().push((now_ms(), event));
    }

    /// Adds a step that requires all steps of the request to be written.
    pub fn add_notable_step(&self, event: Event) {
        self.is_notable.set(true);
        self.add_step(event);
    }

    /// Records that an answer had neither a length nor chunks. The event that ends the
    /// request contains it, because the steps of a request that was served in time are not
    /// written.
    pub fn set_close_delimited(&self) {
        self.is_close_delimited.set(true);
    }

    /// Records that an endpoint answered the request, in time or late.
    pub fn record_served(&self, endpoint: &str, status: u16, elapsed: Duration, in_time: bool) {
        if self.has_ended.replace(true) {
            return;
        }
        let notable = self.is_notable.get() || !in_time;
        let kind = match notable {
            true => EventKind::RequestEnded,
            false => EventKind::RequestServed,
        };
        let event = self.with_request(Event::new(kind)).endpoint(endpoint);
        let event = event.status(status).elapsed(elapsed);
        match (notable, in_time) {
            (false, _) => log_event(&event),
            (true, true) => self.write_all(&event.reason("retried")),
            (true, false) => self.write_all(&event.reason("late")),
        }
    }

    /// Records that the request ended without a complete answer of an endpoint.
    pub fn record_ended(&self, reason: &'static str, status: u16, elapsed: Duration) {
        if self.has_ended.replace(true) {
            return;
        }
        let event = self.with_request(Event::new(EventKind::RequestEnded));
        self.write_all(&event.status(status).elapsed(elapsed).reason(reason));
    }

    /// Adds the identity of the request to an event.
    fn with_request(&self, event: Event) -> Event {
        let event = event.attempt(&self.attempt).route(&self.route);
        let event = match &self.customer {
            Some(customer) => event.customer(customer),
            None => event,
        };
        let event = match &self.program {
            Some(program) => event.program_key(program),
            None => event,
        };
        match self.is_close_delimited.get() {
            true => event.close_delimited(),
            false => event,
        }
    }

    fn write_all(&self, last: &Event) {
        for (at_ms, step) in self.steps.borrow().iter() {
            log_event_at(step, *at_ms);
        }
        log_event(last);
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        if !self.has_ended.get() {
            let reason = match (std::thread::panicking(), self.is_exiting.get()) {
                (true, _) => "panicked",
                (false, true) => "process-stopped",
                (false, false) => "caller-left",
            };
            let event = self.with_request(Event::new(EventKind::RequestEnded));
            self.write_all(&event.reason(reason));
        }
    }
}
