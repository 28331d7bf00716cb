//! The control state and its loop.

use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_rt::time::{interval, sleep};
use rosebend_coordination::commit::{Committer, CommitterConfig};
use rosebend_coordination::configuration::AppliedConfiguration;
use rosebend_coordination::owner::{Event, Owner, OwnerConfig, Ticket};
use rosebend_coordination::ownership::{Ownership, OwnershipConfig, OwnershipEvent};
use rosebend_coordination::pace::{self, Pace, PaceConfig};
use rosebend_coordination::routing::{Router, RouterSettings};
use rosebend_state::id::{CallId, EndpointId, Epoch, HostId, Incarnation, Shard};
use rosebend_state::record::ShardRecords;
use rosebend_state::settings::EntrySettings;
use rosebend_transport::metrics_page::{Metrics, Quantity};
use rosebend_transport::store::StoreClient;
use rosebend_transport::traffic::Traffic;
use tokio::sync::{mpsc, oneshot};
use tokio::time::MissedTickBehavior;

use super::answers::LiveCall;
use super::callers::PendingCaller;
use super::sidecars::SidecarView;
use super::{Command, ControlHandle, ControlReply, Directory};
use crate::request::CallerRequest;

/// Time between two ticks of the owner.
const TICK: Duration = Duration::from_millis(100);
/// Failed requests in a row after which the table counts as away.
const TABLE_AWAY_AFTER: u32 = 2;

/// What the control thread needs to start.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// The checked settings of the process.
    pub entry: EntrySettings,
    /// Distinguishes this process from others on the same host.
    pub incarnation: Incarnation,
    /// First write id; no other incarnation uses the ids after it.
    pub first_write_id: u64,
    /// Where other entries reach this one.
    pub peer_address: String,
    /// Where callers and operators reach this one.
    pub http_address: String,
    /// Number of shards of the cluster.
    pub shard_count: u32,
    /// Counters of the process.
    pub metrics: Metrics,
    /// Seed of what is drawn at random.
    pub seed: u64,
}

/// A caller that waits for its shard to be loaded.
#[derive(Debug)]
pub(super) struct QueuedCaller {
    pub(super) request: CallerRequest,
    pub(super) reply: oneshot::Sender<ControlReply>,
}

/// The control state of an entry.
#[derive(Debug)]
pub struct Control {
    pub(super) settings: ControlSettings,
    pub(super) started: Instant,
    pub(super) handle: ControlHandle,
    pub(super) store: Rc<StoreClient>,
    pub(super) traffic: Traffic,
    pub(super) owner: Owner,
    pub(super) ownership: Ownership,
    pub(super) committer: Committer,
    pub(super) router: Router,
    pub(super) directory: Directory,
    /// The configuration in force here; the directory is what it says.
    pub(super) configuration: AppliedConfiguration,
    /// Counts the peers asked for theirs.
    pub(super) config_turn: usize,
    pub(super) quarantine_version: u64,
    /// Epochs of the shards that the owner holds.
    pub(super) epochs: HashMap<Shard, Epoch>,
    /// Callers of shards that are owned and not yet loaded.
    pub(super) loading: HashMap<Shard, Vec<QueuedCaller>>,
    /// Shards being passed on.
    pub(super) successors: HashMap<Shard, (HostId, Incarnation)>,
    /// Whether the configuration, which names the sidecars, was read once.
    pub(super) knows_configuration: bool,
    /// Shards that were gained before.
    pub(super) unloaded: Vec<(Shard, Epoch, bool)>,
    /// Records that came with shards, until those are loaded.
    pub(super) handed: HashMap<Shard, (Epoch, ShardRecords)>,
    /// Shards passed on whose successors are being told.
    pub(super) untold_successors: usize,
    /// Callers that wait for the owner's answer.
    pub(super) pending: HashMap<Ticket, PendingCaller>,
    pub(super) next_ticket: Ticket,
    /// Answers that grow, or that were read lately.
    pub(super) live: HashMap<CallId, LiveCall>,
    /// Ended answers kept for late readers, oldest first.
    pub(super) ended: VecDeque<(CallId, usize)>,
    /// Bytes of the answers in `ended`.
    pub(super) ended_bytes: usize,
    pub(super) sidecars: HashMap<EndpointId, SidecarView>,
    /// Endpoints that this entry keeps up with.
    pub(super) tracked: HashSet<EndpointId>,
    /// Engines whose list of holds must be sent.
    pub(super) holds_due: HashSet<EndpointId>,
    /// The other live processes, from the rows of entries.
    pub(super) entries: Vec<crate::operators::LiveProcess>,
    pub(super) row_version: Option<u64>,
    /// Periods that follow from the number of entries.
    pub(super) pace: Pace,
    pub(super) full_read_at: Option<Duration>,
    pub(super) shards_read_at: Duration,
    pub(super) renewals: u64,
    pub(super) renewing: bool,
    pub(super) reading_hosts: bool,
    pub(super) reading_shards: bool,
    pub(super) read_shards_again: bool,
    /// When the rows were last read because an owner was doubted.
    pub(super) doubted_at: Option<Duration>,
    pub(super) reading_config: bool,
    pub(super) table_failures: u32,
    pub(super) table_answers: bool,
    pub(super) commit_timer: bool,
    pub(super) stopping: Option<Stopping>,
}

/// A stop under way.
#[derive(Debug)]
pub(super) struct Stopping {
    /// Told once.
    pub(super) done: Option<oneshot::Sender<()>>,
    pub(super) since: Duration,
}

impl Control {
    /// The control state, owning nothing yet.
    pub fn new(settings: ControlSettings, handle: ControlHandle, traffic: Traffic) -> Self {
        let entry = &settings.entry;
        let store = Rc::new(StoreClient::from_settings(&entry.platform));
        let owner = Owner::new(OwnerConfig {
            shard_count: settings.shard_count,
            seed: settings.seed,
            ..OwnerConfig::default()
        });
        let ownership_config = OwnershipConfig {
            lease: entry.timing.lease,
            shard_count: settings.shard_count,
            ..OwnershipConfig::default()
        };
        let ownership = Ownership::new(
            ownership_config,
            entry.host.clone(),
            settings.incarnation.clone(),
        );
        let committer_config = CommitterConfig {
            interval: entry.timing.commit,
            ..CommitterConfig::default()
        };
        let committer =
            Committer::new(committer_config).with_first_write_id(settings.first_write_id);
        let router = Router::new(RouterSettings {
            zone: entry.availability_zone.clone(),
            seed: settings.seed,
            ..RouterSettings::default()
        });
        Self {
            started: Instant::now(),
            handle,
            store,
            traffic,
            owner,
            ownership,
            committer,
            router,
            directory: Directory::default(),
            configuration: AppliedConfiguration::new(),
            config_turn: 0,
            quarantine_version: 0,
            epochs: HashMap::new(),
            loading: HashMap::new(),
            successors: HashMap::new(),
            knows_configuration: false,
            unloaded: Vec::new(),
            handed: HashMap::new(),
            untold_successors: 0,
            pending: HashMap::new(),
            next_ticket: 1,
            live: HashMap::new(),
            ended: VecDeque::new(),
            ended_bytes: 0,
            sidecars: HashMap::new(),
            tracked: HashSet::new(),
            holds_due: HashSet::new(),
            entries: Vec::new(),
            row_version: None,
            pace: Pace::new(&pace_config(&settings.entry), 1),
            full_read_at: None,
            shards_read_at: Duration::ZERO,
            renewals: 0,
            renewing: false,
            reading_hosts: false,
            reading_shards: false,
            read_shards_again: false,
            doubted_at: None,
            reading_config: false,
            table_failures: 0,
            table_answers: true,
            commit_timer: false,
            stopping: None,
            settings,
        }
    }

    /// Takes commands as long as the process runs.
    pub async fn run(mut self, mut commands: mpsc::UnboundedReceiver<Command>) {
        let mut tick = steady(TICK);
        let mut renew = std::pin::pin!(sleep(Duration::ZERO));
        let mut config_poll = std::pin::pin!(sleep(Duration::ZERO));
        let mut status_poll = std::pin::pin!(sleep(Duration::ZERO));
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.take(command),
                    None => return,
                },
                _ = tick.tick() => self.tick(),
                () = &mut renew => {
                    self.renew();
                    renew.set(sleep(self.pace.renew));
                }
                () = &mut config_poll => {
                    self.poll_config();
                    config_poll.set(sleep(self.pace.config_poll));
                }
                () = &mut status_poll => {
                    self.poll_sidecars();
                    status_poll.set(sleep(self.status_poll()));
                }
            }
            self.start_commit();
            self.finish_stop();
        }
    }

    fn status_poll(&self) -> Duration {
        pace::status_poll(&pace_config(&self.settings.entry), self.tracked.len())
    }

    /// Time since the process started.
    pub(super) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn take(&mut self, command: Command) {
        match command {
            Command::Caller { request, reply } => self.caller(*request, reply),
            Command::Locate { request, reply } => {
                let _ = reply.send(self.locate(&request));
            }
            Command::AttemptEnded { call, attempt, end } => self.attempt_ended(call, attempt, end),
            Command::Claimed {
                call,
                attempt,
                outcome,
            } => {
                self.owner_event(Event::Claimed {
                    call,
                    attempt,
                    outcome,
                });
            }
            Command::AnswerRead { call, answer } => self.answer_read(&call, answer),
            Command::CommitEnded { write_id, outcome } => self.commit_ended(write_id, &outcome),
            Command::CommitRowsRead(rows) => self.commit_rows_read(rows),
            Command::CommitDue => self.commit_timer = false,
            Command::HostsRead(rows) => self.hosts_read(rows),
            Command::HostsWatched { asked, rows } => self.hosts_watched(asked, rows),
            Command::ShardsRead(rows) => self.shards_read(rows),
            Command::Renewed { outcome } => self.renewed(outcome),
            Command::TakeoverEnded { takeover, version } => self.takeover_ended(&takeover, version),
            Command::ShardsLoaded(shards) => self.shards_loaded(shards),
            Command::LoadFailed(shards) => self.load_failed(&shards),
            Command::HandedOver {
                shard,
                epoch,
                successor,
                row_version,
                records,
            } => self.handed_over(shard, epoch, successor, row_version, records),
            Command::NotHandedOver {
                shard,
                epoch,
                tried_version,
            } => self.not_handed_over(shard, epoch, tried_version),
            Command::SuccessorTold => self.untold_successors -= 1,
            Command::HandoffDue { shard } => self.pass_on(shard),
            Command::HandoffOffered(shards) => self.take_handed(shards),
            Command::OwnerDoubted => self.owner_doubted(),
            Command::SidecarStatus {
                endpoint,
                asked_at,
                status,
            } => {
                self.sidecar_status(&endpoint, asked_at, status);
            }
            Command::ConfigRead(read) => self.config_read(read),
            Command::ConfigAccepted(change) => self.config_accepted(change),
            Command::PeerConfig { host, reply } => self.peer_config(&host, &reply),
            Command::ConfigLacking(revision, reply) => {
                let _ = reply.send(self.config_lacking(revision));
            }
            Command::Status(reply) => {
                let _ = reply.send(self.status());
            }
            Command::Stop(done) => self.stop(done),
            Command::Leave(done) => self.leave(done),
        }
    }

    fn tick(&mut self) {
        self.owner_event(Event::Tick);
        let metrics = &self.settings.metrics;
        metrics.set(Quantity::Shards, self.epochs.len() as u64);
        metrics.set(Quantity::ConfigRevision, self.configuration.revision());
        metrics.set(Quantity::UnwrittenRecords, self.committer.waiting() as u64);
        self.drive_stop();
    }

    /// Notes whether a request to the table was answered.
    pub(super) fn note_table(&mut self, answered: bool) {
        self.table_failures = if answered { 0 } else { self.table_failures + 1 };
        let answers = self.table_failures < TABLE_AWAY_AFTER;
        if answers != self.table_answers {
            self.table_answers = answers;
            self.owner_event(Event::TableState { answering: answers });
        }
        if !answered {
            self.ownership_event(OwnershipEvent::TableUnavailable);
        }
    }

    /// Sends a command after a while.
    pub(super) fn send_later(&self, wait: Duration, command: Command) {
        let handle = self.handle.clone();
        actix_rt::spawn(async move {
            sleep(wait).await;
            handle.send(command);
        });
    }
}

/// What the settings and the table allow.
pub(super) fn pace_config(entry: &EntrySettings) -> PaceConfig {
    PaceConfig {
        renew: entry.timing.renew,
        lease: entry.timing.lease,
        commit: entry.timing.commit,
        config_poll: entry.timing.config_poll,
        status_poll: entry.timing.status_poll,
        ..PaceConfig::default()
    }
}

/// An interval that does not catch up on ticks that a pause made it miss.
fn steady(period: Duration) -> actix_rt::time::Interval {
    let mut interval = interval(period);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    interval
}
