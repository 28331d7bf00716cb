//! The control state of an entry, on a thread of its own.
//!
//! Everything that decides (owner, router, ownership, committer, the applied
//! configuration) lives in one [`Control`], which takes one
//! [`Command`] after another. Whatever waits for the network runs as a task
//! and sends its result back as a command, so no decision ever waits.

use std::sync::Arc;
use std::time::Duration;

use rosebend_coordination::commit::{BatchOutcome, ShardRowView, WriteId};
use rosebend_coordination::owner::{ClaimOutcome, RetainedTurn};
use rosebend_coordination::ownership::{HostRow, ShardRow, Takeover};
use rosebend_protocol::peer::{ExchangeReply, ForwardRequest, HandedShard, StatusReply};
use rosebend_protocol::problem::Problem;
use rosebend_state::deployment::RowVersion;
use rosebend_state::id::{CallId, EndpointId, Epoch, HostId, Incarnation, Revision, Shard};
use rosebend_state::record::{AnswerRecord, ProgramRecord, ShardRecords, TurnRecord};
use rosebend_state::resource::Change;
use tokio::sync::{mpsc, oneshot};

use crate::answer::LiveAnswer;
use crate::dispatch::AttemptEnd;
use crate::request::CallerRequest;
use crate::rows::HostValue;

mod answers;
mod attempts;
mod callers;
mod commits;
mod config;
mod directory;
mod handoff;
mod hosts;
mod owner_events;
mod retained;
mod shards;
mod sidecars;
mod state;
mod status;

pub use self::config::ReadConfig;
pub use self::directory::{Directory, DirectoryEndpoint, ProgramLimits};
pub use self::state::{Control, ControlSettings};
pub use self::status::EntryStatus;

/// What the control thread answers to a caller's request.
#[derive(Debug)]
pub enum ControlReply {
    /// Another entry owns the program, or nobody that is known.
    NotOwner {
        /// Where the owner is believed to be.
        address: Option<String>,
    },
    /// The request was refused or failed.
    Problem(Problem),
    /// A document that answers the request.
    Document {
        /// The HTTP status.
        status: u16,
        /// The document.
        document: serde_json::Value,
    },
    /// The request is a call; its answer grows here.
    Follow {
        /// The call.
        call: CallId,
        /// Its answer.
        answer: Arc<LiveAnswer>,
    },
}

/// Where a request is to be served.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Location {
    /// This entry owns the program.
    Here,
    /// The entry at this address is believed to.
    There(String),
    /// Nobody is known to.
    Nowhere,
}

/// The records of some shards, read after they were gained.
#[derive(Debug)]
pub struct LoadedShard {
    /// The shard.
    pub shard: Shard,
    /// The epoch under which it is owned.
    pub epoch: Epoch,
    /// Records of its programs.
    pub programs: Vec<ProgramRecord>,
    /// Records of its calls.
    pub turns: Vec<TurnRecord>,
    /// Calls that sidecars retain for it.
    pub retained: Vec<RetainedTurn>,
    /// The highest epoch at which one of the sidecars started, when all told
    /// what they retain.
    pub retained_after: Option<Epoch>,
}

/// What the control thread is told.
#[derive(Debug)]
pub enum Command {
    /// A caller asks for something.
    Caller {
        /// What.
        request: Box<CallerRequest>,
        /// Takes the answer.
        reply: oneshot::Sender<ControlReply>,
    },
    /// Someone asks where a program is owned.
    Locate {
        /// The request about the program.
        request: Box<ForwardRequest>,
        /// Takes the answer.
        reply: oneshot::Sender<Location>,
    },
    /// An attempt of a call ended.
    AttemptEnded {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u32,
        /// How.
        end: AttemptEnd,
    },
    /// A claim was answered, and a retained answer was read.
    Claimed {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: u32,
        /// The answer.
        outcome: ClaimOutcome,
    },
    /// The answer of an ended call was read from the table.
    AnswerRead {
        /// The call.
        call: CallId,
        /// The answer, unless it could not be read.
        answer: Option<AnswerRecord>,
    },
    /// A group commit ended.
    CommitEnded {
        /// Its id.
        write_id: WriteId,
        /// How.
        outcome: BatchOutcome,
    },
    /// The rows of a group commit were read; none when the table was silent.
    CommitRowsRead(Option<Vec<ShardRowView>>),
    /// A group commit may be due.
    CommitDue,
    /// The rows of entries were read; none when the table was silent.
    HostsRead(Option<Vec<(HostRow, HostValue)>>),
    /// The rows of watched entries were read; none when the table was silent.
    HostsWatched {
        /// The entries that were asked for.
        asked: Vec<HostId>,
        /// Their rows.
        rows: Option<Vec<(HostRow, HostValue)>>,
    },
    /// The rows of shards were read; none when the table was silent.
    ShardsRead(Option<Vec<ShardRow>>),
    /// The own row was renewed.
    Renewed {
        /// Version of the row, or what went wrong.
        outcome: RenewOutcome,
    },
    /// A takeover ended.
    TakeoverEnded {
        /// What was to be taken.
        takeover: Takeover,
        /// Version of the rows when it took effect.
        version: Option<u64>,
    },
    /// Shards that were gained have been read.
    ShardsLoaded(Vec<LoadedShard>),
    /// Shards that were gained could not be read.
    LoadFailed(Vec<Shard>),
    /// A shard was passed on.
    HandedOver {
        /// The shard.
        shard: Shard,
        /// The epoch that was given up.
        epoch: Epoch,
        /// The successor.
        successor: (HostId, Incarnation),
        /// Version of the row that names the successor.
        row_version: RowVersion,
        /// The shard's records as of the row that the handoff replaced.
        records: Option<ShardRecords>,
    },
    /// A shard was not passed on.
    NotHandedOver {
        /// The shard.
        shard: Shard,
        /// This owner's epoch.
        epoch: Epoch,
        /// The version that the shard's row was thought to have.
        tried_version: RowVersion,
    },
    /// A successor was told of its shard, or did not answer.
    SuccessorTold,
    /// A handoff is to be tried again.
    HandoffDue {
        /// The shard.
        shard: Shard,
    },
    /// Another entry passed shards to this one.
    HandoffOffered(Vec<HandedShard>),
    /// An entry that was believed to own a shard does not.
    OwnerDoubted,
    /// A sidecar answered a poll; none when it was silent.
    SidecarStatus {
        /// The endpoint.
        endpoint: EndpointId,
        /// When it was asked, since the process started.
        asked_at: Duration,
        /// The answer.
        status: Option<StatusReply>,
    },
    /// The configuration was read; none when the table was silent.
    ConfigRead(Option<ReadConfig>),
    /// A change of the configuration was accepted here.
    ConfigAccepted(Change),
    /// A peer handed over the configuration that it has.
    PeerConfig {
        /// The peer's host.
        host: HostId,
        /// What it has, as far as this entry lacks it.
        reply: ExchangeReply,
    },
    /// A peer at this revision asks for what it lacks.
    ConfigLacking(Revision, oneshot::Sender<ExchangeReply>),
    /// Someone asks for the state of this entry.
    Status(oneshot::Sender<EntryStatus>),
    /// The process is to stop; the sender is told when nothing is owned.
    Stop(oneshot::Sender<()>),
    /// The process has stopped; its row is removed.
    Leave(oneshot::Sender<()>),
}

/// How a renewal ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RenewOutcome {
    /// The row has this version now.
    Renewed(u64),
    /// Another process writes the row.
    Replaced,
    /// The table did not answer, or refused.
    Silent,
}

/// Sends commands to the control thread.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    commands: mpsc::UnboundedSender<Command>,
}

impl ControlHandle {
    /// A handle, and the receiver that the control thread reads.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<Command>) {
        let (commands, receiver) = mpsc::unbounded_channel();
        (Self { commands }, receiver)
    }

    /// Sends a command. After the control thread has stopped there is nobody
    /// to act on it, and it is dropped.
    pub fn send(&self, command: Command) {
        let _ = self.commands.send(command);
    }

    /// Serves a caller's request, if this entry owns its program.
    pub async fn serve(&self, request: CallerRequest) -> ControlReply {
        let (reply, answer) = oneshot::channel();
        self.send(Command::Caller {
            request: Box::new(request),
            reply,
        });
        answer
            .await
            .unwrap_or(ControlReply::NotOwner { address: None })
    }

    /// Where a request is to be served.
    pub async fn locate(&self, request: &ForwardRequest) -> Location {
        let (reply, answer) = oneshot::channel();
        self.send(Command::Locate {
            request: Box::new(request.clone()),
            reply,
        });
        answer.await.unwrap_or(Location::Nowhere)
    }

    /// What a peer at `revision` lacks; none when the control thread has
    /// stopped.
    pub async fn config_lacking(&self, revision: Revision) -> Option<ExchangeReply> {
        let (reply, answer) = oneshot::channel();
        self.send(Command::ConfigLacking(revision, reply));
        answer.await.ok()
    }

    /// The state of this entry; none when the control thread has stopped.
    pub async fn status(&self) -> Option<EntryStatus> {
        let (reply, answer) = oneshot::channel();
        self.send(Command::Status(reply));
        answer.await.ok()
    }

    /// Removes the row of this entry.
    pub async fn leave(&self) {
        let (reply, answer) = oneshot::channel();
        self.send(Command::Leave(reply));
        let _ = answer.await;
    }

    /// Begins to stop, and waits until nothing is owned any more.
    pub async fn stop(&self) {
        let (reply, answer) = oneshot::channel();
        self.send(Command::Stop(reply));
        let _ = answer.await;
    }
}
