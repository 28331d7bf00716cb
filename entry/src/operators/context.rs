//! What the operators' API needs of its process.

use std::{
    fmt,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use futures_util::future::LocalBoxFuture;
use rosebend_coordination::configuration::WriteId;
use rosebend_state::{
    id::{AvailabilityZone, HostId, Revision},
    resource::Change,
    settings::PlatformSettings,
};
use rosebend_transport::store::StoreClient;
use serde::Serialize;

/// Asks the control thread what it knows.
type AskHost = dyn Fn() -> LocalBoxFuture<'static, HostView> + Send + Sync;
/// Tells the control thread that a change was accepted.
type TellAccepted = dyn Fn(Change) + Send + Sync;

/// What the operators' API needs of its process.
#[derive(Clone)]
pub struct OperatorContext {
    platform: PlatformSettings,
    write_ids: Arc<WriteIds>,
    ask_host: Arc<AskHost>,
    tell_accepted: Arc<TellAccepted>,
}

/// Ids of the writes of this process.
#[derive(Debug)]
pub struct WriteIds {
    /// Host and incarnation; no other process has the same.
    prefix: String,
    next: AtomicU64,
}

/// What a process knows of itself and of the others.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HostView {
    /// The revision in force here.
    pub revision: Revision,
    /// All processes known to be live, this one included.
    pub processes: Vec<LiveProcess>,
}

/// A process known to be live.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub struct LiveProcess {
    /// Its host.
    pub host: HostId,
    /// `entry` or `sidecar`.
    pub kind: &'static str,
    /// Its availability zone.
    pub availability_zone: AvailabilityZone,
    /// The revision in force there, as far as is known.
    pub config_revision: Revision,
    /// Whether it is stopping.
    pub leaving: bool,
}

impl OperatorContext {
    /// `ask_host` asks the control thread what it knows; `tell_accepted` tells
    /// it of an accepted change, so that it is in force here at once.
    pub fn new(
        platform: PlatformSettings,
        write_ids: WriteIds,
        ask_host: impl Fn() -> LocalBoxFuture<'static, HostView> + Send + Sync + 'static,
        tell_accepted: impl Fn(Change) + Send + Sync + 'static,
    ) -> Self {
        Self {
            platform,
            write_ids: Arc::new(write_ids),
            ask_host: Arc::new(ask_host),
            tell_accepted: Arc::new(tell_accepted),
        }
    }

    /// A client of the store. It belongs to the thread that asks, and so is
    /// made for each request; operators' requests are few.
    pub(super) fn store(&self) -> StoreClient {
        StoreClient::from_settings(&self.platform)
    }

    pub(super) fn write_id(&self) -> WriteId {
        self.write_ids.next()
    }

    pub(super) async fn host_view(&self) -> HostView {
        (self.ask_host)().await
    }

    pub(super) fn accepted(&self, change: Change) {
        (self.tell_accepted)(change);
    }
}

impl fmt::Debug for OperatorContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OperatorContext")
            .field("platform", &self.platform)
            .field("write_ids", &self.write_ids)
            .finish_non_exhaustive()
    }
}

impl WriteIds {
    /// Ids for one run of a process.
    pub fn new(host: &str, incarnation: &str) -> Self {
        Self {
            prefix: format!("{host}/{incarnation}"),
            next: AtomicU64::new(1),
        }
    }

    fn next(&self) -> WriteId {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        format!("{}/{number}", self.prefix)
    }
}
