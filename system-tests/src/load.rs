//! Programs that run while processes stop and start.

use std::{
    net::SocketAddr,
    rc::Rc,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use actix_rt::task::JoinHandle;
use rosebend_protocol::problem::Ran;

use crate::{
    caller::{Call, Caller, Reply},
    cluster::Cluster,
    error::HarnessError,
    settings::token,
    wait::DEADLINE,
};

/// Wait before a refused call is sent again.
const RESEND_WAIT: Duration = Duration::from_millis(50);

/// The entries that the balancer sends callers to.
#[derive(Clone, Debug, Default)]
pub struct Balancer(Arc<Mutex<Vec<SocketAddr>>>);

impl Balancer {
    /// Sends callers to an entry.
    pub fn add(&self, entry: SocketAddr) {
        self.lock().push(entry);
    }

    /// Sends callers to an entry no more.
    pub fn remove(&self, entry: SocketAddr) {
        self.lock().retain(|address| *address != entry);
    }

    fn pick(&self, number: usize) -> Option<SocketAddr> {
        let entries = self.lock();
        let count = entries.len();
        (count > 0).then(|| entries[number % count])
    }

    fn lock(&self) -> MutexGuard<'_, Vec<SocketAddr>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What one program met.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// The program.
    pub session: String,
    /// Calls that were answered, in their order: the key of a fee, or none
    /// for a model call.
    pub answered: Vec<Option<String>>,
    /// Refusals that said that the call was not run.
    pub refused: u64,
    /// Requests that were sent and had no whole answer, or one that did not
    /// say what became of the call.
    pub cut: Vec<String>,
}

/// Running programs.
#[derive(Debug)]
pub struct Load {
    /// Where their callers are sent.
    pub balancer: Balancer,
    stop: Arc<AtomicBool>,
    programs: Vec<JoinHandle<Result<Report, HarnessError>>>,
}

impl Load {
    /// Starts programs whose every third call is a fee.
    pub fn start(cluster: &Cluster, programs: usize) -> Self {
        let balancer = Balancer::default();
        for entry in &cluster.entries {
            balancer.add(entry.address);
        }
        let stop = Arc::new(AtomicBool::new(false));
        let start = |number: usize| {
            let program = Program {
                number,
                caller: Caller::new(token::CARIBMAR).session(&format!("load-{number}")),
                balancer: balancer.clone(),
                stop: Arc::clone(&stop),
            };
            actix_rt::spawn(Rc::new(program).run())
        };
        Self {
            programs: (0..programs).map(start).collect(),
            balancer,
            stop,
        }
    }

    /// Lets the programs finish their calls and returns what they met.
    ///
    /// # Errors
    ///
    /// Fails when a call did not come to its end.
    pub async fn finish(self) -> Result<Vec<Report>, HarnessError> {
        self.stop.store(true, Ordering::SeqCst);
        let mut reports = Vec::new();
        for program in self.programs {
            let report = program.await.map_err(|error| HarnessError::NoAnswer {
                what: "a program of the load".to_owned(),
                detail: error.to_string(),
            })?;
            reports.push(report?);
        }
        Ok(reports)
    }
}

#[derive(Debug)]
struct Program {
    number: usize,
    caller: Caller,
    balancer: Balancer,
    stop: Arc<AtomicBool>,
}

impl Program {
    async fn run(self: Rc<Self>) -> Result<Report, HarnessError> {
        let mut report = Report {
            session: self.caller.session_name().to_owned(),
            ..Report::default()
        };
        self.retry(&mut report, async |entry| {
            self.caller.open(entry, 5_000_000).await
        })
        .await?;
        for sequence in 1..=300_u64 {
            if self.stop.load(Ordering::SeqCst) {
                break;
            }
            let (call, key) = self.next_call(sequence);
            self.retry(&mut report, async |entry| {
                self.caller.call(entry, &call).await
            })
            .await?;
            report.answered.push(key);
        }
        Ok(report)
    }

    fn next_call(&self, sequence: u64) -> (Call, Option<String>) {
        let name = format!("{}-{sequence}", self.caller.session_name());
        let (call, key) = match sequence % 3 {
            0 => (Call::tool("charge-fee", &name), Some(name.clone())),
            _ => (Call::model(&name, 12), None),
        };
        (call.key(&name).sequence(sequence), key)
    }

    /// Sends a request until it is answered well.
    async fn retry(
        &self,
        report: &mut Report,
        send: impl AsyncFn(SocketAddr) -> Result<Reply, HarnessError>,
    ) -> Result<Reply, HarnessError> {
        let start = Instant::now();
        for turn in 0.. {
            if start.elapsed() > DEADLINE {
                break;
            }
            if let Some(entry) = self.balancer.pick(self.number + turn) {
                match send(entry).await {
                    Ok(reply) if reply.status < 300 => return Ok(reply),
                    // The balancer would try the next entry.
                    Err(HarnessError::NotConnected { .. }) => {}
                    Ok(reply) => match reply.problem() {
                        Some(problem) if problem.ran == Ran::No => report.refused += 1,
                        _ => report.cut.push(format!("{reply:?}")),
                    },
                    Err(error) => report.cut.push(error.to_string()),
                }
            }
            actix_rt::time::sleep(RESEND_WAIT).await;
        }
        let last = report.cut.last().cloned().unwrap_or_default();
        Err(HarnessError::Deadline(format!(
            "an answer to {} ({last})",
            report.session
        )))
    }
}
