//! The bytes of one streamed answer, from one endpoint, or from several one
//! after another where the route lets a stream be resumed.
//!
//! The run before is stopped, by closing its connection, before the next one is
//! asked for: two endpoints never work on one answer at once.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::response::Parts;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use rosebend_coordination::gateway::attempt::Failure;
use rosebend_coordination::gateway::event_series::{EventSeries, Events, ResumePoint};
use rosebend_platform::headers::AnswerHeader;
use rosebend_state::deployment::EndpointIdentity;
use rosebend_transport::connection::Connection;
use rosebend_transport::event::{Event, EventKind};

use crate::call::Call;
use crate::exchange::{Exchange, Exchanged};
use crate::gateway::{Gateway, OpenEndpointRequest};
use crate::reply::Refusal;

/// Bytes of an answer; both parts are whole events where the stream may be
/// resumed.
#[derive(Debug, Default)]
pub struct Piece {
    /// What the caller has from an earlier attempt.
    pub repeated: Bytes,
    /// What goes out.
    pub fresh: Bytes,
}

/// A streamed answer over the runs that make it.
#[derive(Debug)]
pub struct Runs {
    gateway: Rc<Gateway>,
    call: Rc<Call>,
    exchange: Exchange,
    /// Set where the stream may be resumed.
    series: Option<EventSeries>,
    /// Status and headers of the run whose events went out first.
    head: Parts,
    /// Whether events went out, so that `head` is fixed.
    has_begun: bool,
    run: Run,
}

/// One endpoint's answer on its way.
#[derive(Debug)]
struct Run {
    body: Incoming,
    /// Kept until the body was read whole.
    connection: Option<Connection>,
    header: AnswerHeader,
    at: OpenEndpointRequest,
    sent: Duration,
    has_begun: bool,
}

impl Runs {
    /// An answer whose first run has begun.
    pub fn new(
        gateway: &Rc<Gateway>,
        call: &Rc<Call>,
        exchange: Exchange,
        exchanged: Exchanged,
    ) -> Self {
        let (head, run) = Run::begin(exchanged);
        Self {
            gateway: Rc::clone(gateway),
            call: Rc::clone(call),
            exchange,
            series: series(call),
            head,
            has_begun: false,
            run,
        }
    }

    /// Status and headers of the answer.
    pub fn head(&self) -> &Parts {
        &self.head
    }

    /// The endpoint of the present run.
    pub fn endpoint(&self) -> &EndpointIdentity {
        &self.run.at.endpoint
    }

    /// Gives the connection back after the last run's body was read whole.
    pub fn keep_connection(&mut self) {
        if let Some(connection) = self.run.connection.take() {
            let endpoint = &self.run.at.endpoint;
            Exchanged::keep_connection(&self.gateway, endpoint, connection, &self.run.header);
        }
    }

    /// The next bytes; none once the answer is whole.
    ///
    /// # Errors
    ///
    /// Fails when a run broke off and no other may go on.
    pub async fn next(&mut self) -> io::Result<Option<Piece>> {
        loop {
            match self.next_of_run().await {
                Ok(piece) => return Ok(piece),
                Err(failure) => self.go_on(failure).await?,
            }
        }
    }

    async fn next_of_run(&mut self) -> Result<Option<Piece>, Failure> {
        while let Some(frame) = self.next_frame().await? {
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            if bytes.is_empty() {
                continue;
            }
            self.run.note_begun(&self.gateway);
            let piece = match &mut self.series {
                None => Piece::all_of(bytes),
                Some(series) => series.push(&bytes).map_err(|_| Failure::Broken)?.into(),
            };
            self.has_begun |= !piece.fresh.is_empty();
            if !piece.is_empty() {
                return Ok(Some(piece));
            }
        }
        // A stream without a length that ends within an event was cut.
        match &self.series {
            Some(series) if series.is_within_event() => Err(Failure::Broken),
            _ => Ok(None),
        }
    }

    async fn next_frame(&mut self) -> Result<Option<Frame<Bytes>>, Failure> {
        let frame = match self.exchange.timeout() {
            None => self.run.body.frame().await,
            Some(timeout) => tokio::time::timeout(timeout, self.run.body.frame())
                .await
                .map_err(|_| Failure::Stalled)?,
        };
        frame.transpose().map_err(|_| Failure::Broken)
    }

    /// Lets another endpoint go on after the last whole event.
    async fn go_on(&mut self, failure: Failure) -> io::Result<()> {
        // The endpoint stops its work when its connection closes.
        self.run.connection = None;
        let endpoint = self.run.at.endpoint.clone();
        self.exchange.failed(&endpoint, failure).map_err(cut)?;
        let point = self.series.as_mut().map(EventSeries::discard_partial);
        match point {
            None | Some(ResumePoint::Impossible) => return Err(cut(Refusal::OutcomeUnknown)),
            Some(ResumePoint::FromStart) => {}
            Some(ResumePoint::After(last)) => self.exchange.go_on_after(last),
        }
        let (head, run) = self.next_run().await?;
        let event = Event::new(EventKind::StreamResumed).endpoint(&run.at.endpoint.instance);
        self.call.trail.notable(event.reason(failure.as_str()));
        self.gateway.metrics.count_resumption(failure);
        self.run = run;
        if !self.has_begun {
            self.head = head;
        }
        Ok(())
    }

    /// The next endpoint's stream. What an endpoint answers instead of one
    /// cannot be passed on within the answer.
    async fn next_run(&mut self) -> io::Result<(Parts, Run)> {
        loop {
            let exchanged = self.exchange.next().await.map_err(cut)?;
            if exchanged.response.status().is_success() {
                return Ok(Run::begin(exchanged));
            }
            let endpoint = exchanged.at.endpoint.clone();
            drop(exchanged);
            let failure = Failure::Broken;
            self.exchange.failed(&endpoint, failure).map_err(cut)?;
        }
    }
}

impl Run {
    fn begin(exchanged: Exchanged) -> (Parts, Self) {
        let (head, body) = exchanged.response.into_parts();
        let run = Self {
            body,
            connection: Some(exchanged.connection),
            header: exchanged.header,
            at: exchanged.at,
            sent: exchanged.sent,
            has_begun: false,
        };
        (head, run)
    }

    /// Takes note of the first bytes, whose time tells how busy the endpoint is.
    fn note_begun(&mut self, gateway: &Gateway) {
        if self.has_begun {
            return;
        }
        self.has_begun = true;
        let now = gateway.clock.now();
        let latency = now.saturating_sub(self.sent);
        let mut directory = gateway.directory.borrow_mut();
        directory.record_response(&self.at.endpoint, Some(latency), now);
    }
}

impl Piece {
    fn all_of(bytes: Bytes) -> Self {
        Self {
            repeated: Bytes::new(),
            fresh: bytes,
        }
    }

    fn is_empty(&self) -> bool {
        self.repeated.is_empty() && self.fresh.is_empty()
    }
}

impl From<Events> for Piece {
    fn from(events: Events) -> Self {
        Self {
            repeated: Bytes::from(events.repeated),
            fresh: Bytes::from(events.fresh),
        }
    }
}

/// Where a stream begins that may be resumed; none where it may not.
fn series(call: &Call) -> Option<EventSeries> {
    let may_resume = call.route.resumes_streams();
    may_resume.then(|| match call.resumes_after() {
        Some(last) => EventSeries::after(Some(last)),
        None => EventSeries::repeating(call.header.last_event),
    })
}

/// How an answer ends that cannot go on.
fn cut(refusal: Refusal) -> io::Error {
    let kind = match refusal {
        Refusal::TimeIsUp => io::ErrorKind::TimedOut,
        _ => io::ErrorKind::Other,
    };
    io::Error::new(kind, refusal.word())
}
