//! The requests of one host to the schedulers of engine groups.
//!
//! A request is sent again until it is answered, and stays open until the turn ends. If
//! the scheduler does not answer in time, the host selects an engine itself and leaves
//! the scheduler out for a while. The host reports at intervals which turns run or wait,
//! which corrects lost messages and tells a new scheduler what it has to know.

use std::collections::HashMap;
use std::time::Duration;

use rosebend_state::deployment::{EndpointIdentity, ServiceName};
use rosebend_state::id::AvailabilityZone;
use serde::Serialize;

use crate::gateway::batchers::PeerHost;
use crate::gateway::engine_scheduler::message::{
    AdmissionOutcome, AdmissionRequest, GroupId, GroupStatus, HeldPlacement, MessageContent,
    PlacementOutcome, PlacementRequest, ReleasedPlacement, RequestNumber, SchedulerMessage,
};
use crate::gateway::engine_scheduler::open_request::{OpenRequest, Progress};
use crate::gateway::engine_scheduler::schedulers::Schedulers;
use crate::gateway::ledger::ProcessId;

/// Time after which a request without an answer is sent again.
const RETRANSMIT_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which the request of a turn that waits is sent again.
const QUEUED_INTERVAL: Duration = Duration::from_millis(100);
/// Number of messages without an answer after which the scheduler counts as silent. They
/// take 60 ms. Messages are counted instead of time so that a host that did not run for
/// a while reads the answers that have arrived meanwhile before it gives up.
const MAX_UNANSWERED: u32 = 3;
/// Interval of the reports about placements.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Time after its last request for which a host without placements still reports.
const REPORT_AFTER_USE: Duration = Duration::from_secs(2);
/// Maximum age of a status by which the group is chosen.
const MAX_STATUS_AGE: Duration = Duration::from_secs(1);
/// Wait that is accepted before a turn goes to another availability zone, in
/// milliseconds. It is the cost of another zone in `directory::cost`.
const OTHER_ZONE_MS: u64 = 12;
/// Maximum encoded size of a message, in bytes. Gateways receive datagrams of at most
/// 8,192 bytes, of which 2 are the prefix.
pub const MAX_MESSAGE_BYTES: usize = 8_190;

/// Content of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Question {
    /// A slot for a turn.
    Place(PlacementRequest),
    /// The start of a program.
    Admit(AdmissionRequest),
}

/// The last answer to a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Answer {
    /// Answer to [`Question::Place`].
    Placed(PlacementOutcome),
    /// Answer to [`Question::Admit`].
    Admitted(AdmissionOutcome),
}

impl Answer {
    /// Returns whether the scheduler does not know yet which turns are running. The status
    /// that comes with such an answer looks like that of an idle group.
    pub fn is_unavailable(&self) -> bool {
        matches!(
            self,
            Self::Placed(PlacementOutcome::Unavailable)
                | Self::Admitted(AdmissionOutcome::Unavailable)
        )
    }
}

/// A message and the address to which it is sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Outgoing<A> {
    /// Address of the recipient.
    pub address: A,
    /// The message.
    pub message: SchedulerMessage,
}

/// Next step of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step<A> {
    /// Sends a message and calls [`SchedulerClient::next_step`] again.
    Send(Box<Outgoing<A>>),
    /// Waits until an answer arrives, but no longer than this time.
    Wait(Duration),
    /// The request is answered.
    Answered(Answer),
    /// The scheduler is silent. The backoff that begins now is given once.
    Silent(Option<Duration>),
}

/// Result of recording an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Delivery {
    /// The answer belongs to an open request, whose next step may be due.
    Accepted,
    /// The answer belongs to a request that has ended. If it assigns a slot, the slot has to be
    /// released.
    Late,
    /// The answer does not come from the process that was asked.
    Ignored,
}

#[derive(Clone, Debug)]
struct Use {
    last_asked: Duration,
    next_report_at: Duration,
    /// Process that was asked last.
    asked: ProcessId,
    /// Process that knows the placements of this host: the one that got the last report, or
    /// that was asked first.
    informed: ProcessId,
}

/// The state of one host as a client of schedulers.
#[derive(Debug)]
pub struct SchedulerClient<A> {
    own_process: ProcessId,
    own_zone: AvailabilityZone,
    schedulers: Schedulers<A>,
    statuses: HashMap<GroupId, (GroupStatus, Duration)>,
    open: HashMap<RequestNumber, OpenRequest<A>>,
    last_number: RequestNumber,
    used: HashMap<GroupId, Use>,
}

impl<A: Clone> SchedulerClient<A> {
    /// Creates the state of a host that knows no gateways.
    pub fn new(own_process: ProcessId, own_zone: AvailabilityZone) -> Self {
        Self {
            own_process,
            own_zone,
            schedulers: Schedulers::default(),
            statuses: HashMap::new(),
            open: HashMap::new(),
            last_number: 0,
            used: HashMap::new(),
        }
    }

    /// Replaces the known gateways of each availability zone, including this one.
    pub fn set_hosts(&mut self, zones: HashMap<AvailabilityZone, Vec<PeerHost<A>>>) {
        self.schedulers.set_hosts(zones);
    }

    /// Returns the gateways that may schedule.
    pub fn schedulers(&self) -> &Schedulers<A> {
        &self.schedulers
    }

    /// Returns whether this process is the scheduler of a group.
    pub fn is_own(&self, group: &GroupId, now: Duration) -> bool {
        let scheduler = self.schedulers.scheduler(group, now);
        scheduler.is_some_and(|scheduler| scheduler.process == self.own_process)
    }

    /// Returns the last status of a group and its age, unless it is too old to be used.
    pub fn status(&self, group: &GroupId, now: Duration) -> Option<(GroupStatus, Duration)> {
        let (status, at) = self.statuses.get(group)?;
        let age = now.saturating_sub(*at);
        (age <= MAX_STATUS_AGE).then_some((*status, age))
    }

    /// Moves a group to the front of the groups that are asked, if it is one of them.
    pub fn ask_first(groups: &mut [GroupId], first: &GroupId) {
        if let Some(index) = groups.iter().position(|group| group == first) {
            groups[..=index].rotate_right(1);
        }
    }

    /// Returns the groups of a service in the order in which they are asked. `zones` are
    /// the availability zones that have engines of the service, and `warm_zone` is that
    /// of the engine that has the prompt in memory.
    ///
    /// The group of the warm engine comes first, otherwise that of the own zone. Another
    /// group comes first if the last statuses of both show that the turn waits longer
    /// there by more than the cost of another zone.
    pub fn groups_to_ask(
        &self,
        service: &ServiceName,
        zones: &[AvailabilityZone],
        warm_zone: Option<&AvailabilityZone>,
        now: Duration,
    ) -> Vec<GroupId> {
        let usable = zones.iter().filter(|zone| self.schedulers.has_zone(zone));
        let groups = usable.map(|zone| GroupId {
            service: service.clone(),
            availability_zone: zone.clone(),
        });
        let preferred = warm_zone.unwrap_or(&self.own_zone);
        let wait_ms = |group: &GroupId| {
            let (status, _) = self.status(group, now)?;
            Some(match status.free_slots {
                0 => status.expected_wait_ms,
                _ => 0,
            })
        };
        let rank = |group: &GroupId| match group.availability_zone {
            _ if group.availability_zone == *preferred => 0_u8,
            _ if group.availability_zone == self.own_zone => 1,
            _ => 2,
        };
        let mut groups: Vec<GroupId> = groups.collect();
        groups.sort_by(|a, b| (rank(a), a).cmp(&(rank(b), b)));
        let Some(first_wait_ms) = groups.first().and_then(wait_ms) else {
            return groups;
        };
        let others = groups.iter().enumerate().skip(1);
        let waits = others.filter_map(|(index, group)| Some((wait_ms(group)?, index)));
        if let Some((least_ms, index)) = waits.min()
            && first_wait_ms > least_ms.saturating_add(OTHER_ZONE_MS)
        {
            let better = groups.remove(index);
            groups.insert(0, better);
        }
        groups
    }

    /// Opens a request to the scheduler of a group. `question` creates it from its
    /// number. Returns `None` if the group has no scheduler that can be asked.
    pub fn open(
        &mut self,
        group: &GroupId,
        question: impl FnOnce(RequestNumber) -> Question,
        now: Duration,
    ) -> Option<RequestNumber> {
        let scheduler = self.schedulers.scheduler(group, now)?.clone();
        let asked = scheduler.process.clone();
        self.last_number += 1;
        let mut request = OpenRequest {
            group: group.clone(),
            scheduler,
            question: question(self.last_number),
            progress: Progress::Asking {
                unanswered: 0,
                next_send_at: now,
            },
            is_queued: false,
        };
        request.limit_excluded(&self.own_process);
        self.open.insert(self.last_number, request);
        match self.used.get_mut(group) {
            Some(used) => {
                used.last_asked = now;
                used.asked = asked;
            }
            None => {
                let used = Use {
                    last_asked: now,
                    next_report_at: now + REPORT_INTERVAL,
                    informed: asked.clone(),
                    asked,
                };
                self.used.insert(group.clone(), used);
            }
        }
        Some(self.last_number)
    }

    /// Returns the host that was asked, if the request is open.
    pub fn asked(&self, number: RequestNumber) -> Option<&PeerHost<A>> {
        self.open.get(&number).map(|request| &request.scheduler)
    }

    /// Returns what to do about a request now.
    pub fn next_step(&mut self, number: RequestNumber, now: Duration) -> Step<A> {
        let Some(request) = self.open.get_mut(&number) else {
            return Step::Silent(None);
        };
        let scheduler = &request.scheduler;
        let is_left_out = self
            .schedulers
            .is_left_out(&scheduler.host, &scheduler.process, now);
        match &mut request.progress {
            Progress::Answered(answer) => return Step::Answered(answer.clone()),
            Progress::Held(engine) => {
                let outcome = PlacementOutcome::Assigned(engine.clone());
                return Step::Answered(Answer::Placed(outcome));
            }
            Progress::Abandoned => return Step::Silent(None),
            // A turn that waits in the queue keeps its place until its own messages are
            // unanswered: the scheduler may only have been slow.
            Progress::Asking { unanswered, .. }
                if is_left_out && *unanswered > 0 && !request.is_queued =>
            {
                request.progress = Progress::Abandoned;
                return Step::Silent(None);
            }
            Progress::Asking { next_send_at, .. } if now < *next_send_at => {
                return Step::Wait(*next_send_at - now);
            }
            Progress::Asking { unanswered, .. } if *unanswered >= MAX_UNANSWERED => {}
            Progress::Asking {
                unanswered,
                next_send_at,
            } => {
                *unanswered += 1;
                *next_send_at = now + RETRANSMIT_INTERVAL;
                let content = request.content();
                return Step::Send(Box::new(request.outgoing(&self.own_process, content)));
            }
        }
        request.progress = Progress::Abandoned;
        let (host, process) = (&scheduler.host, &scheduler.process);
        Step::Silent(self.schedulers.record_timeout(host, process, now))
    }

    /// Records an answer to a request, and the status of the group.
    pub fn record_answer(
        &mut self,
        from: &ProcessId,
        number: RequestNumber,
        answer: Answer,
        now: Duration,
    ) -> Delivery {
        let Some(request) = self.open.get_mut(&number) else {
            return Delivery::Late;
        };
        if request.scheduler.process != *from {
            return Delivery::Ignored;
        }
        self.schedulers.record_response(&request.scheduler.host);
        match &mut request.progress {
            Progress::Asking {
                unanswered,
                next_send_at,
            } => match answer {
                Answer::Placed(PlacementOutcome::Queued { .. }) => {
                    *unanswered = 0;
                    *next_send_at = now + QUEUED_INTERVAL;
                    request.is_queued = true;
                }
                answer => request.progress = Progress::Answered(answer),
            },
            // The answer to a repeated message, or to one that was given up.
            Progress::Answered(_) | Progress::Held(_) | Progress::Abandoned => {}
        }
        Delivery::Accepted
    }

    /// Records the status of a group that this host uses. A status that comes neither from
    /// the process that was asked last nor from the present scheduler is ignored.
    pub fn record_status(
        &mut self,
        from: &ProcessId,
        group: &GroupId,
        status: GroupStatus,
        now: Duration,
    ) {
        let Some(used) = self.used.get(group) else {
            return;
        };
        let scheduler = self.schedulers.scheduler(group, now);
        if used.asked == *from || scheduler.is_some_and(|scheduler| scheduler.process == *from) {
            self.statuses.insert(group.clone(), (status, now));
        }
    }

    /// Records that the turn of a request runs at an engine, whoever selected it.
    pub fn hold(&mut self, number: RequestNumber, engine: EndpointIdentity) {
        if let Some(request) = self.open.get_mut(&number) {
            request.progress = Progress::Held(engine);
        }
    }

    /// Ends a request. Returns the messages that release its placement or withdraw it. The
    /// present scheduler gets one too if another process was asked: it may know the
    /// placement from a report.
    pub fn close(
        &mut self,
        number: RequestNumber,
        first_event_ms: Option<u64>,
        now: Duration,
    ) -> Vec<Outgoing<A>> {
        let Some(request) = self.open.remove(&number) else {
            return Vec::new();
        };
        if !request.may_be_known() {
            return Vec::new();
        }
        let released = ReleasedPlacement {
            number,
            first_event_ms,
        };
        let content = MessageContent::Release(vec![released]);
        let mut releases = vec![request.outgoing(&self.own_process, content)];
        if let Some(scheduler) = self.schedulers.scheduler(&request.group, now)
            && scheduler.process != request.scheduler.process
        {
            let message = SchedulerMessage {
                to: scheduler.process.clone(),
                ..releases[0].message.clone()
            };
            releases.push(Outgoing {
                address: scheduler.address.clone(),
                message,
            });
        }
        releases
    }

    /// Returns the message that releases a placement whose request has ended.
    pub fn release_late(&self, group: &GroupId, to: &ProcessId, number: u64) -> SchedulerMessage {
        let released = ReleasedPlacement {
            number,
            first_event_ms: None,
        };
        SchedulerMessage {
            from: self.own_process.clone(),
            to: to.clone(),
            group: group.clone(),
            content: MessageContent::Release(vec![released]),
        }
    }

    /// Returns whether the scheduler of a used group is another process than the one that
    /// knows this host's placements. A report is then due at once.
    pub fn has_new_scheduler(&self, group: &GroupId, now: Duration) -> bool {
        let Some(used) = self.used.get(group) else {
            return false;
        };
        let scheduler = self.schedulers.scheduler(group, now);
        scheduler.is_some_and(|scheduler| scheduler.process != used.informed)
    }

    /// Returns the reports that are due, each to the present scheduler of its group. A
    /// report is due at intervals, and at once if the scheduler has changed.
    pub fn due_reports(&mut self, now: Duration) -> Vec<Outgoing<A>> {
        let mut held: HashMap<&GroupId, Vec<HeldPlacement>> = HashMap::new();
        for (number, request) in &self.open {
            if let Some(placement) = request.held(*number) {
                held.entry(&request.group).or_default().push(placement);
            }
        }
        self.used.retain(|group, used| {
            now.saturating_sub(used.last_asked) <= REPORT_AFTER_USE || held.contains_key(group)
        });
        self.statuses
            .retain(|group, _| self.used.contains_key(group));
        let mut reports = Vec::new();
        for (group, used) in &mut self.used {
            let Some(scheduler) = self.schedulers.scheduler(group, now) else {
                continue;
            };
            if now < used.next_report_at && scheduler.process == used.informed {
                continue;
            }
            used.next_report_at = now + REPORT_INTERVAL;
            used.informed.clone_from(&scheduler.process);
            let message = SchedulerMessage {
                from: self.own_process.clone(),
                to: scheduler.process.clone(),
                group: group.clone(),
                content: MessageContent::Held(Vec::new()),
            };
            let held = held.remove(group).unwrap_or_default();
            let Some(held) = fitting(held, encoded_bytes(&message)) else {
                continue;
            };
            let content = MessageContent::Held(held);
            reports.push(Outgoing {
                address: scheduler.address.clone(),
                message: SchedulerMessage { content, ..message },
            });
        }
        reports
    }

    /// Returns the number of requests whose turns have not ended.
    pub fn open_requests(&self) -> usize {
        self.open.len()
    }
}

/// Returns the placements that fit into a report whose message has `empty_bytes` without
/// them, ordered by number. Waiting turns are left out first, because their requests are
/// repeated anyway. Returns `None` if the running turns do not fit: a report of a part of
/// them would end the others.
fn fitting(mut held: Vec<HeldPlacement>, empty_bytes: usize) -> Option<Vec<HeldPlacement>> {
    held.sort_by_key(|placement| (placement.engine.is_none(), placement.number));
    let mut bytes = empty_bytes;
    let fits = |placement: &HeldPlacement| {
        // The entry and a comma.
        bytes += encoded_bytes(placement) + 1;
        bytes <= MAX_MESSAGE_BYTES
    };
    let fitting = held.iter().map(fits).take_while(|fits| *fits).count();
    if held
        .get(fitting)
        .is_some_and(|left_out| left_out.engine.is_some())
    {
        return None;
    }
    held.truncate(fitting);
    held.sort_by_key(|placement| placement.number);
    Some(held)
}

/// Returns the encoded size of a message or of a part of one.
pub(super) fn encoded_bytes(value: &impl Serialize) -> usize {
    let encoded = serde_json::to_vec(value).expect("a message can be serialized as JSON");
    encoded.len()
}
