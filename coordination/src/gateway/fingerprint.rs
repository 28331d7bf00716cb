//! Detects requests that crash the endpoints that run them.
//!
//! Such a request is repeated with the same path, caller and body, at any host. Each
//! crash that a request may have caused is counted. After [`MAX_CRASHES`] crashes that lie
//! close together, the request runs only in trials, each at one host, and is refused
//! otherwise. All requests that an endpoint runs when it crashes are suspects, so a request
//! that is answered is cleared.

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use rosebend_state::deployment::EndpointIdentity;
use rosebend_util::hash_parts;

/// Hash that identifies a request.
pub type Fingerprint = u64;

/// Number of crashes after which a request runs only in trials. Endpoints that crash for
/// another reason often crash two at a time, and the same harmless request, such as
/// one without a body, may have run at both. It is cleared by its first trial.
pub const MAX_CRASHES: usize = 2;

/// Time within which [`MAX_CRASHES`] crashes count together.
pub const CRASH_WINDOW: Duration = Duration::from_secs(3_600);

/// Times from the last crash or trial of a request to its next trial.
pub const TRIAL_INTERVALS: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_secs(60),
    Duration::from_secs(600),
    Duration::from_secs(6_000),
];

/// The same for the content of a request. They are shorter, so that a harmless caller with the same
/// content can have a trial at a time at which the exact request that crashes endpoints can't.
pub const CONTENT_TRIAL_INTERVALS: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_secs(10),
    Duration::from_secs(60),
    Duration::from_secs(600),
];

/// Time after its last crash or trial for which a request is refused that has had all its
/// trials.
pub const QUARANTINE_RETENTION: Duration = Duration::from_secs(24 * 3_600);

/// Maximum number of fingerprints with crashes that are remembered.
pub const MAX_SUSPECTS: usize = 8_192;

/// Maximum length of a key in bytes. The store refuses longer ones.
const MAX_KEY_BYTES: usize = 200;
/// Separators between the fingerprint and the endpoint, or the number of the trial, in a key.
/// Neither occurs in an endpoint's id at this position.
const CRASH_SEPARATOR: char = '/';
const TRIAL_SEPARATOR: char = '#';

/// Computes the fingerprint of a request's content. Nothing of its connection is a part of it:
/// a balancer connects with addresses of its own, of which one caller's attempts have several.
pub fn content_fingerprint(
    method: &str,
    host: &str,
    path: &str,
    customer: &str,
    body: &[u8],
) -> Fingerprint {
    hash_parts(&[
        method.as_bytes(),
        host.as_bytes(),
        path.as_bytes(),
        customer.as_bytes(),
        body,
    ])
}

/// Computes the fingerprint of a request with its headers. It distinguishes callers that send the
/// same content. `headers` are those that all attempts of the request share.
pub fn exact_fingerprint(content: Fingerprint, headers: &[(&str, &[u8])]) -> Fingerprint {
    let content = content.to_le_bytes();
    let headers = headers
        .iter()
        .flat_map(|(name, value)| [name.as_bytes(), *value]);
    let parts: Vec<&[u8]> = std::iter::once(content.as_slice()).chain(headers).collect();
    hash_parts(&parts)
}

/// The fingerprints of a request. Crashes count under both.
///
/// The content alone is the same in all attempts, whatever else differs. An answer to another
/// caller with the same content clears it. The exact fingerprint is cleared only by an answer to
/// a request with the same headers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestIdentity {
    /// Fingerprint of the content.
    pub content: Fingerprint,
    /// Fingerprint of the content and the headers.
    pub exact: Fingerprint,
}

impl RequestIdentity {
    /// Returns both fingerprints.
    pub const fn fingerprints(self) -> [Fingerprint; 2] {
        [self.content, self.exact]
    }
}

/// One piece of evidence that a request crashes endpoints.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Evidence {
    /// The end of an endpoint's process while it ran the request. If the same instance
    /// crashes after a restart, that is another crash.
    Crash(EndpointIdentity),
    /// The trial with this number, counted from zero. It has no result if its host has ended.
    Trial(usize),
}

/// A request and one piece of evidence against it, as the key of a row in the store.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct EvidenceKey {
    /// The request.
    pub request: Fingerprint,
    /// The evidence against it.
    pub evidence: Evidence,
}

/// Error of a text that is not the key of a row with evidence.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("not a fingerprint with an endpoint or a trial")]
pub struct EvidenceKeyError;

impl fmt::Display for EvidenceKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let request = self.request;
        match &self.evidence {
            Evidence::Crash(endpoint) => write!(f, "{request:016x}{CRASH_SEPARATOR}{endpoint}"),
            Evidence::Trial(number) => write!(f, "{request:016x}{TRIAL_SEPARATOR}{number}"),
        }
    }
}

impl FromStr for EvidenceKey {
    type Err = EvidenceKeyError;

    fn from_str(text: &str) -> Result<Self, EvidenceKeyError> {
        let is_plain = text.bytes().all(|byte| byte.is_ascii_graphic());
        if !is_plain || text.len() > MAX_KEY_BYTES {
            return Err(EvidenceKeyError);
        }
        let end = text.find([CRASH_SEPARATOR, TRIAL_SEPARATOR]);
        let (request, rest) = text.split_at(end.ok_or(EvidenceKeyError)?);
        let request = Fingerprint::from_str_radix(request, 16).map_err(|_| EvidenceKeyError)?;
        let evidence = match (
            rest.strip_prefix(CRASH_SEPARATOR),
            rest.strip_prefix(TRIAL_SEPARATOR),
        ) {
            (Some(endpoint), _) if !endpoint.is_empty() => {
                let endpoint = endpoint.parse().map_err(|_| EvidenceKeyError)?;
                Evidence::Crash(endpoint)
            }
            (_, Some(number)) => {
                let number: usize = number.parse().map_err(|_| EvidenceKeyError)?;
                Evidence::Trial(number)
            }
            _ => return Err(EvidenceKeyError),
        };
        Ok(Self { request, evidence })
    }
}

/// Where this host learned of evidence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// This host observed it.
    Own,
    /// Another host sent it by a message, because the store may not have it.
    Peer,
    /// The store has it.
    Store,
}

impl Source {
    /// Returns the code that logs and metrics contain.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Peer => "peer",
            Self::Store => "store",
        }
    }
}

/// Whether a request may be sent to an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The request may be sent.
    Allowed,
    /// The request is refused.
    Refused,
    /// The request may be sent as the trial with this number if no other host has claimed it.
    Trial(usize),
}

/// The decision by which a request was sent to an endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Admission {
    /// No crash of it was known.
    #[default]
    NoEvidence,
    /// Fewer crashes were known than make it run in trials.
    BelowLimit,
    /// The request is a trial.
    Trial,
}

impl Admission {
    /// Returns the code that logs contain.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoEvidence => "no-evidence",
            Self::BelowLimit => "below-limit",
            Self::Trial => "trial",
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    /// Time of the crash or trial.
    at: Duration,
    /// Whether the store has it. Hosts write what it lacks.
    is_stored: bool,
    /// Time from which this host writes it.
    write_from: Duration,
}

/// The evidence against requests that this host knows.
#[derive(Debug, Default)]
pub struct CrashCounts {
    /// No request has an empty map.
    requests: HashMap<Fingerprint, HashMap<Evidence, Entry>>,
    /// Requests that were forgotten because there were too many, and their evidence.
    evicted: Vec<(Fingerprint, usize)>,
}

impl CrashCounts {
    /// Records evidence of the time `at`. Returns true if it was not known. A host that has
    /// it from a peer writes it to the store from `write_from`, unless the store has it by
    /// then.
    pub fn record(
        &mut self,
        key: &EvidenceKey,
        source: Source,
        at: Duration,
        write_from: Duration,
    ) -> bool {
        let is_stored = source == Source::Store;
        let known = self.requests.entry(key.request).or_default();
        if let Some(entry) = known.get_mut(&key.evidence) {
            entry.is_stored |= is_stored;
            return false;
        }
        let entry = Entry {
            at,
            is_stored,
            write_from,
        };
        known.insert(key.evidence.clone(), entry);
        self.limit_suspects();
        true
    }

    /// Forgets the request that has been unsuspicious for longest if there are too many.
    fn limit_suspects(&mut self) {
        if self.requests.len() <= MAX_SUSPECTS {
            return;
        }
        let oldest = self.requests.iter().min_by_key(|(_, known)| {
            let is_quarantined = is_quarantined(known);
            (is_quarantined, last_at(known))
        });
        if let Some(request) = oldest.map(|(request, _)| *request) {
            let known = self.requests.remove(&request).unwrap_or_default();
            self.evicted.push((request, known.len()));
        }
    }

    /// Returns the requests that were forgotten since the last call because there were too
    /// many, each with its number of pieces of evidence.
    pub fn take_evicted(&mut self) -> Vec<(Fingerprint, usize)> {
        std::mem::take(&mut self.evicted)
    }

    /// Removes all evidence against a request that was answered, and returns its keys.
    pub fn clear(&mut self, request: Fingerprint) -> Vec<EvidenceKey> {
        let known = self.requests.remove(&request).unwrap_or_default();
        let evidence = known.into_keys();
        let mut keys: Vec<EvidenceKey> = evidence
            .map(|evidence| EvidenceKey { request, evidence })
            .collect();
        keys.sort();
        keys
    }

    /// Removes evidence whose row was deleted from the store. Returns whether it was known.
    pub fn remove(&mut self, key: &EvidenceKey) -> bool {
        let Some(known) = self.requests.get_mut(&key.request) else {
            return false;
        };
        let was_known = known.remove(&key.evidence).is_some();
        if known.is_empty() {
            self.requests.remove(&key.request);
        }
        was_known
    }

    /// Removes evidence that the store had and no longer has, and returns its keys. `is_stored`
    /// returns whether the store has a key.
    pub fn retain_stored(&mut self, is_stored: impl Fn(&EvidenceKey) -> bool) -> Vec<EvidenceKey> {
        let mut removed = Vec::new();
        self.retain(|key, entry| {
            let is_kept = !entry.is_stored || is_stored(key);
            if !is_kept {
                removed.push(key.clone());
            }
            is_kept
        });
        removed
    }

    /// Removes evidence that no longer counts, `margin` later than that, and returns the keys
    /// of what the store has.
    pub fn expire(&mut self, now: Duration, margin: Duration) -> Vec<EvidenceKey> {
        let mut expired = Vec::new();
        let quarantined: Vec<Fingerprint> = self
            .requests
            .iter()
            .filter(|(_, known)| is_quarantined(known))
            .map(|(request, known)| (*request, last_at(known)))
            .filter(|(_, last)| now < *last + QUARANTINE_RETENTION + margin)
            .map(|(request, _)| request)
            .collect();
        self.retain(|key, entry| {
            let is_kept =
                quarantined.contains(&key.request) || now < entry.at + CRASH_WINDOW + margin;
            if !is_kept && entry.is_stored {
                expired.push(key.clone());
            }
            is_kept
        });
        expired
    }

    fn retain(&mut self, mut keep: impl FnMut(&EvidenceKey, &Entry) -> bool) {
        for (request, known) in &mut self.requests {
            known.retain(|evidence, entry| {
                let evidence = evidence.clone();
                let request = *request;
                keep(&EvidenceKey { request, evidence }, entry)
            });
        }
        self.requests.retain(|_, known| !known.is_empty());
    }

    /// Returns whether there is evidence against the request.
    pub fn has_evidence(&self, request: Fingerprint) -> bool {
        self.requests.contains_key(&request)
    }

    /// Returns the number of crashes that are known of the request.
    pub fn count(&self, request: Fingerprint) -> usize {
        let known = self.requests.get(&request);
        known.map_or(0, |known| crash_times(known).len())
    }

    /// Returns whether a request may be sent to an endpoint, by each of its fingerprints.
    pub fn verdicts(&self, request: RequestIdentity, now: Duration) -> [(Fingerprint, Verdict); 2] {
        let RequestIdentity { content, exact } = request;
        let by_content = self.verdict_with(content, &CONTENT_TRIAL_INTERVALS, now);
        [(content, by_content), (exact, self.verdict(exact, now))]
    }

    /// Returns whether the exact request may be sent to an endpoint.
    pub fn verdict(&self, request: Fingerprint, now: Duration) -> Verdict {
        self.verdict_with(request, &TRIAL_INTERVALS, now)
    }

    fn verdict_with(
        &self,
        request: Fingerprint,
        trial_intervals: &[Duration; 4],
        now: Duration,
    ) -> Verdict {
        let Some(known) = self.requests.get(&request) else {
            return Verdict::Allowed;
        };
        let last = last_at(known);
        if !is_quarantined(known) || now >= last + QUARANTINE_RETENTION {
            return Verdict::Allowed;
        }
        let trials = trial_count(known).max(usize::from(crash_times(known).len() > MAX_CRASHES));
        match trial_intervals.get(trials) {
            Some(interval) if now >= last + *interval => Verdict::Trial(trials),
            Some(_) | None => Verdict::Refused,
        }
    }

    /// Returns evidence that the store may lack, and its time, the newest first.
    pub fn unstored(&self) -> Vec<(EvidenceKey, Duration)> {
        let mut unstored = self.unstored_entries(|_| true);
        unstored.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
        unstored
    }

    /// Returns evidence that this host has to write to the store now, and its time.
    pub fn to_write(&self, now: Duration) -> Vec<(EvidenceKey, Duration)> {
        self.unstored_entries(|entry| now >= entry.write_from)
    }

    fn unstored_entries(&self, is_wanted: impl Fn(&Entry) -> bool) -> Vec<(EvidenceKey, Duration)> {
        let mut found = Vec::new();
        for (request, known) in &self.requests {
            for (evidence, entry) in known {
                if !entry.is_stored && is_wanted(entry) {
                    let evidence = evidence.clone();
                    let request = *request;
                    found.push((EvidenceKey { request, evidence }, entry.at));
                }
            }
        }
        found
    }

    /// Records that the store has evidence.
    pub fn set_stored(&mut self, key: &EvidenceKey) {
        let known = self.requests.get_mut(&key.request);
        if let Some(entry) = known.and_then(|known| known.get_mut(&key.evidence)) {
            entry.is_stored = true;
        }
    }
}

/// Returns whether the request runs only in trials.
fn is_quarantined(known: &HashMap<Evidence, Entry>) -> bool {
    let mut times = crash_times(known);
    times.sort();
    let is_close = |crashes: &[Duration]| crashes[MAX_CRASHES - 1] < crashes[0] + CRASH_WINDOW;
    trial_count(known) > 0 || times.windows(MAX_CRASHES).any(is_close)
}

fn crash_times(known: &HashMap<Evidence, Entry>) -> Vec<Duration> {
    let crashes = known
        .iter()
        .filter(|(evidence, _)| matches!(evidence, Evidence::Crash(_)));
    crashes.map(|(_, entry)| entry.at).collect()
}

/// Returns the number of trials that have begun. A trial that another host has claimed may
/// not be known yet when a later one is.
fn trial_count(known: &HashMap<Evidence, Entry>) -> usize {
    let numbers = known.keys().filter_map(|evidence| match evidence {
        Evidence::Trial(number) => Some(number.saturating_add(1)),
        Evidence::Crash(_) => None,
    });
    numbers.max().unwrap_or(0)
}

fn last_at(known: &HashMap<Evidence, Entry>) -> Duration {
    let times = known.values().map(|entry| entry.at);
    times.max().unwrap_or(Duration::ZERO)
}
