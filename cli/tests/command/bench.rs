//! An entry's operators' API on a port of its own.

use std::{
    fs,
    net::TcpListener,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicU8, AtomicU64, Ordering},
    },
    time::Duration,
};

use actix_rt::task::JoinHandle;
use rosebend::report::Exit;
use rosebend_entry::operators::{
    HostView, LiveProcess, OperatorContext, WriteIds, as_program_request, handle,
};
use rosebend_protocol::problem::{Problem, Ran};
use rosebend_standin::{server::RunningServer, store::Store};
use rosebend_state::settings::PlatformSettings;
use rosebend_transport::http_server::{
    HttpReply, HttpRequest, HttpServerConfig, ReplyBody, StreamPiece, serve,
};
use serde_json::{Value, json};

const ANSWERS_ALL: u8 = 0;
/// The next change is done and its answer cut off.
const CUTS_NEXT_PUT: u8 = 1;
/// Changes get the answer that their outcome is unknown.
const LOSES_PUTS: u8 = 2;

/// An entry's operators' API, its platform, and a folder for files.
pub struct Bench {
    platform: RunningServer,
    url: String,
    server: actix_server::ServerHandle,
    served: JoinHandle<std::io::Result<()>>,
    folder: PathBuf,
    fault: Arc<AtomicU8>,
}

impl Bench {
    /// Starts with an empty table and an empty folder of this name.
    pub async fn start(name: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let platform = Store::default().open_door(listener).unwrap();
        let fault = Arc::new(AtomicU8::new(ANSWERS_ALL));
        let context = context(&platform);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let url = format!("http://{}", listener.local_addr().unwrap());
        let current = fault.clone();
        let server = serve(HttpServerConfig::default(), listener, move |request| {
            answer(request, context.clone(), current.clone())
        });
        let server = server.unwrap();
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).unwrap();
        fs::write(folder.join("token"), "example-operator-token\n").unwrap();
        Self {
            platform,
            url,
            server: server.handle(),
            served: actix_rt::spawn(server),
            folder,
            fault,
        }
    }

    pub async fn stop(self) {
        self.server.stop(true).await;
        self.served.await.unwrap().unwrap();
        self.platform.stop().await.unwrap();
    }

    pub async fn run(&self, arguments: &[&str]) -> (Exit, String, String) {
        run(&self.url, &self.token_file(), arguments).await
    }

    pub fn token_file(&self) -> String {
        self.path("token")
    }

    pub fn folder(&self, name: &str) -> String {
        fs::create_dir_all(self.folder.join(name)).unwrap();
        self.path(name)
    }

    pub fn file(&self, name: &str, content: &Value) -> String {
        fs::write(self.folder.join(name), content.to_string()).unwrap();
        self.path(name)
    }

    pub fn cut_next_put(&self) {
        self.fault.store(CUTS_NEXT_PUT, Ordering::SeqCst);
    }

    pub fn lose_answers_to_puts(&self) {
        self.fault.store(LOSES_PUTS, Ordering::SeqCst);
    }

    fn path(&self, name: &str) -> String {
        self.folder.join(name).to_str().unwrap().to_owned()
    }
}

/// Runs a command against an entry.
pub async fn run(url: &str, token_file: &str, arguments: &[&str]) -> (Exit, String, String) {
    let mut all: Vec<String> = arguments.iter().map(|word| (*word).to_owned()).collect();
    for word in ["--url", url, "--token-file", token_file] {
        all.push(word.to_owned());
    }
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = rosebend::run(&all, &mut out, &mut err).await;
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (exit, text(out), text(err))
}

fn context(platform: &RunningServer) -> OperatorContext {
    let settings = PlatformSettings {
        address: platform.address(),
        timeout: Duration::from_millis(500),
    };
    let revision = Arc::new(AtomicU64::new(0));
    let told = revision.clone();
    OperatorContext::new(
        settings,
        WriteIds::new("entry-a", "1"),
        move || {
            let revision = revision.load(Ordering::SeqCst);
            Box::pin(async move { host_view(revision) })
        },
        move |change| {
            told.fetch_max(change.revision, Ordering::SeqCst);
        },
    )
}

fn host_view(revision: u64) -> HostView {
    let entry = LiveProcess {
        host: "entry-a".to_owned(),
        kind: "entry",
        availability_zone: "newport-hall".to_owned(),
        config_revision: revision,
        leaving: false,
    };
    let sidecar = LiveProcess {
        host: "agent-llm-1".to_owned(),
        kind: "sidecar",
        availability_zone: "harbour-hall".to_owned(),
        config_revision: revision.saturating_sub(1),
        leaving: false,
    };
    HostView {
        revision,
        processes: vec![entry, sidecar],
    }
}

async fn answer(request: HttpRequest, context: OperatorContext, fault: Arc<AtomicU8>) -> HttpReply {
    assert_eq!(request.bearer_token(), Some("example-operator-token"));
    if let Some((own, customer)) = as_program_request(&request) {
        return program(&own, &customer);
    }
    let is_put = request.method == "PUT";
    let reply = handle(request, "desk", &context).await;
    match fault.load(Ordering::SeqCst) {
        CUTS_NEXT_PUT if is_put => {
            fault.store(ANSWERS_ALL, Ordering::SeqCst);
            cut_off(reply)
        }
        LOSES_PUTS if is_put => {
            let detail = "the table told nothing";
            HttpReply::problem(&Problem::new(504, "outcome-unknown", Ran::Unknown, detail))
        }
        _ => reply,
    }
}

/// The head of a reply whose body never becomes whole.
fn cut_off(mut reply: HttpReply) -> HttpReply {
    let (sender, receiver) = tokio::sync::mpsc::channel(1);
    sender.try_send(StreamPiece::Data("{".into())).unwrap();
    reply.body = ReplyBody::Stream(receiver);
    reply
}

fn program(own: &HttpRequest, customer: &str) -> HttpReply {
    let session = own.path.strip_prefix("/v1/sessions/").unwrap();
    let call = |sequence, kind, target, stage| {
        json!({"sequence": sequence, "kind": kind, "target": target, "stage": stage,
               "attempts": 1, "endpoint": "agent-llm-1"})
    };
    let shown = json!({
        "customer": customer,
        "session": session.replace("%2F", "/"),
        "state": {"ended": {"reason": "requested"}},
        "budget_tokens": 90_000,
        "spent_tokens": 1_200,
        "calls": [call(1, "model", "agent-llm", "ended"), call(2, "tool", "charge-fee", "waiting")],
    });
    HttpReply::json(200, &shown)
}
