//! What is written of a request.
//!
//! Its steps are kept until it ends. Of a request that ended well one line is
//! written; of one that was refused, failed, came late, was retried or left by
//! its caller, every step with its time. That bounds the log by the requests
//! and keeps the whole story of those that somebody will ask about.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use rosebend_state::deployment::{AttemptId, CustomerName, ProgramKey};
use rosebend_transport::event::{Event, EventKind, log_event, log_event_at, now_ms};

/// The steps of one request.
#[derive(Debug)]
pub struct Trail {
    attempt: AttemptId,
    program: Option<ProgramKey>,
    customer: Option<CustomerName>,
    route: String,
    /// Steps with the time of day.
    steps: RefCell<Vec<(u64, Event)>>,
    /// Set when something happened for which the whole trail is wanted.
    is_notable: Cell<bool>,
    has_ended: Cell<bool>,
}

impl Trail {
    /// The trail of a request that has just been read.
    pub fn new(
        attempt: AttemptId,
        program: Option<ProgramKey>,
        customer: Option<CustomerName>,
        route: String,
    ) -> Self {
        Self {
            attempt,
            program,
            customer,
            route,
            steps: RefCell::default(),
            is_notable: Cell::new(false),
            has_ended: Cell::new(false),
        }
    }

    /// Adds a step.
    pub fn step(&self, event: Event) {
        let event = event.attempt(&self.attempt);
        self.steps.borrow_mut().push((now_ms(), event));
    }

    /// Adds a step for which the whole trail is wanted.
    pub fn notable(&self, event: Event) {
        self.is_notable.set(true);
        self.step(event);
    }

    /// The request was answered by an endpoint, in time or late.
    pub fn served(&self, endpoint: &str, status: u16, elapsed: Duration, in_time: bool) {
        if self.has_ended.replace(true) {
            return;
        }
        let notable = self.is_notable.get() || !in_time;
        let kind = match notable {
            true => EventKind::RequestEnded,
            false => EventKind::RequestServed,
        };
        let event = self.about(Event::new(kind)).endpoint(endpoint);
        let event = event.status(status).elapsed(elapsed);
        match (notable, in_time) {
            (false, _) => log_event(&event),
            (true, true) => self.write(&event.reason("retried")),
            (true, false) => self.write(&event.reason("late")),
        }
    }

    /// The request ended otherwise.
    pub fn ended(&self, reason: &'static str, status: u16, elapsed: Duration) {
        if self.has_ended.replace(true) {
            return;
        }
        let event = self.about(Event::new(EventKind::RequestEnded));
        self.write(&event.status(status).elapsed(elapsed).reason(reason));
    }

    fn about(&self, event: Event) -> Event {
        let event = event.attempt(&self.attempt).route(&self.route);
        let event = match &self.customer {
            Some(customer) => event.customer(customer),
            None => event,
        };
        match &self.program {
            Some(program) => event.program_key(program),
            None => event,
        }
    }

    fn write(&self, last: &Event) {
        for (at_ms, step) in self.steps.borrow().iter() {
            log_event_at(step, *at_ms);
        }
        log_event(last);
    }
}

impl Drop for Trail {
    fn drop(&mut self) {
        if !self.has_ended.get() {
            let event = self.about(Event::new(EventKind::RequestEnded));
            self.write(&event.reason("caller-left"));
        }
    }
}
