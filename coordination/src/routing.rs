//! Which endpoint a call is sent to.
//!
//! The owner of a program knows the endpoints, what it has sent to each, and
//! late load reports. [`Router::choose`] scores a bounded subset of the
//! endpoints that serve the target, and besides those the endpoints where the
//! program's history or a shared prefix is warm. The score is the predicted
//! time until the answer ends: wait, prefill of the cold part of the prompt,
//! decoding, and the hop to another availability zone. A program therefore
//! moves when waiting for its warm endpoint costs more than recomputing.
//!
//! The subset is drawn by hash of the root program, so the sub-agents of one
//! program meet at the same endpoints while programs spread over all of them.
//! Because every program compares only a few endpoints, a stale report cannot
//! draw all of them to the one endpoint that looked idle; and what the owner
//! itself has sent since a report was made is added to the report.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use rosebend_state::id::{CallId, EndpointId, Incarnation, ProgramId};

use crate::endpoint_load::{Endpoint, Outstanding};
use crate::queue::LoadView;
use crate::warmth::{PrefixId, WarmSites, Warmth};

mod request;
mod subset;

pub use self::request::{
    CallEnd, Choice, EndpointInfo, EndpointState, NoEndpoint, NoEndpointReason, Request,
    RouterSettings, RoutingPolicy, Scoring,
};

/// Most warm endpoints scored besides the subset.
const MAX_WARM_CANDIDATES: usize = 4;

/// Answer length assumed for a target before any call has ended.
const DEFAULT_ANSWER_TOKENS: u64 = 200;

/// Weight of a new answer length in the smoothed one, in 256ths.
const ANSWER_WEIGHT: u64 = 16;

/// When to come back if no endpoint can take a call.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// A call in flight, as its owner sent it.
#[derive(Debug)]
struct Sent {
    endpoint: usize,
    target: String,
    outstanding: Outstanding,
    prompt_tokens: u64,
}

/// Chooses endpoints for the calls of the programs of one owner.
///
/// ```
/// use std::time::Duration;
/// use rosebend_coordination::routing::{
///     CallEnd, EndpointInfo, EndpointState, Request, Router, RouterSettings,
/// };
/// use rosebend_state::id::CallId;
///
/// let mut router = Router::new(RouterSettings::default());
/// router.set_endpoints(vec![EndpointInfo {
///     id: "llm-1".to_owned(),
///     zone: "newport-hall".to_owned(),
///     targets: vec!["agent-llm".to_owned()],
///     incarnation: "a".to_owned(),
///     state: EndpointState::Live,
/// }]);
/// let call = CallId::try_from("caribmar/renewal-17#1")?;
/// let request = Request {
///     program: &call.program,
///     target: "agent-llm",
///     prompt_tokens: 2_000,
///     warm: None,
///     shared_prefixes: &[],
///     excluded: &[],
/// };
/// let choice = router.choose(Duration::ZERO, &request).expect("one is live");
/// router.sent(Duration::ZERO, &call, &request, &choice);
/// let end = CallEnd::Finished { answer_tokens: 180 };
/// router.ended(Duration::from_secs(4), &call, end);
/// # Ok::<(), rosebend_state::id::IdError>(())
/// ```
#[derive(Debug)]
pub struct Router {
    settings: RouterSettings,
    /// Endpoints by index. An index is never used for another endpoint, so
    /// calls in flight and warm sites stay valid; removed ones are `Leaving`.
    endpoints: Vec<Endpoint>,
    by_id: HashMap<EndpointId, usize>,
    /// Indexes of the listed endpoints that serve a target.
    by_target: BTreeMap<String, Vec<usize>>,
    answer_tokens: HashMap<String, u64>,
    sent: HashMap<CallId, Sent>,
    programs: WarmSites<ProgramId>,
    prefixes: WarmSites<PrefixId>,
    round_robin: usize,
}

impl Router {
    /// Makes a router that knows no endpoints.
    pub fn new(settings: RouterSettings) -> Self {
        let max_warm_entries = settings.max_warm_entries;
        Self {
            settings,
            endpoints: Vec::new(),
            by_id: HashMap::new(),
            by_target: BTreeMap::new(),
            answer_tokens: HashMap::new(),
            sent: HashMap::new(),
            programs: WarmSites::new(max_warm_entries),
            prefixes: WarmSites::new(max_warm_entries),
            round_robin: 0,
        }
    }

    /// Replaces the list of endpoints; counts of those that stay are kept.
    ///
    /// The list lags, so it can't bring back an endpoint that is leaving or
    /// down under the incarnation that said so.
    pub fn set_endpoints(&mut self, listed: Vec<EndpointInfo>) {
        self.by_target.clear();
        let mut absent: Vec<bool> = vec![true; self.endpoints.len()];
        for info in listed {
            let targets = info.targets.clone();
            let index = self.put_endpoint(info);
            if let Some(flag) = absent.get_mut(index) {
                *flag = false;
            }
            for target in targets {
                self.by_target.entry(target).or_default().push(index);
            }
        }
        for (index, _) in absent.iter().enumerate().filter(|(_, gone)| **gone) {
            self.endpoints[index].state = EndpointState::Leaving;
            self.forget_warm(index);
        }
    }

    /// Chooses an endpoint for a call.
    ///
    /// # Errors
    ///
    /// Tells why no endpoint can take the call and when to try again.
    pub fn choose(&mut self, now: Duration, request: &Request<'_>) -> Result<Choice, NoEndpoint> {
        let serving = self.by_target.get(request.target);
        let Some(serving) = serving.filter(|serving| !serving.is_empty()) else {
            return Err(no_endpoint(NoEndpointReason::UnknownTarget));
        };
        let picked = match &self.settings.policy {
            RoutingPolicy::RoundRobin => {
                self.round_robin = self.round_robin.wrapping_add(1);
                self.first_open(now, request, serving, self.round_robin)
            }
            RoutingPolicy::LeastLoaded => self.least_loaded(now, request, serving),
            RoutingPolicy::SessionAffinity => {
                let start = self.program_hash(request.program);
                self.first_open(now, request, serving, start as usize)
            }
            RoutingPolicy::Scored(scoring) => self.least_time(now, request, serving, scoring),
        };
        match picked {
            Some(index) => Ok(self.choice(request, index)),
            None => Err(no_endpoint(self.why_none(request, serving))),
        }
    }

    /// Notes that a call was sent to the endpoint of `choice`.
    pub fn sent(&mut self, now: Duration, call: &CallId, request: &Request<'_>, choice: &Choice) {
        let Some(&endpoint) = self.by_id.get(&choice.endpoint) else {
            return;
        };
        let outstanding = Outstanding {
            calls: 1,
            cold_tokens: request.prompt_tokens.saturating_sub(choice.warm_tokens),
        };
        self.endpoints[endpoint].add(now, outstanding);
        if request.prompt_tokens > 0 {
            self.note_warm(now, endpoint, request);
        }
        let sent = Sent {
            endpoint,
            target: request.target.to_owned(),
            outstanding,
            prompt_tokens: request.prompt_tokens,
        };
        self.sent.insert(call.clone(), sent);
    }

    /// Notes the end of a call that was sent.
    pub fn ended(&mut self, now: Duration, call: &CallId, end: CallEnd) {
        let Some(sent) = self.sent.remove(call) else {
            return;
        };
        self.endpoints[sent.endpoint].subtract(now, sent.outstanding);
        match end {
            CallEnd::Finished { answer_tokens } => self.learn(now, call, &sent, answer_tokens),
            CallEnd::Refused { retry_after } => {
                self.endpoints[sent.endpoint].refuses_until = now + retry_after;
                self.programs.remove(&call.program, sent.endpoint);
            }
            CallEnd::Failed => self.programs.remove(&call.program, sent.endpoint),
        }
    }

    /// Takes a load report that describes the endpoint `age` ago.
    ///
    /// A report of a new incarnation makes the endpoint live with an empty
    /// cache.
    pub fn report(
        &mut self,
        now: Duration,
        id: &EndpointId,
        incarnation: &Incarnation,
        age: Duration,
        load: LoadView,
    ) {
        let Some(&index) = self.by_id.get(id) else {
            return;
        };
        let endpoint = &mut self.endpoints[index];
        if endpoint.incarnation != *incarnation {
            endpoint.restart(incarnation.clone());
            self.forget_warm(index);
        }
        self.endpoints[index].report(now.saturating_sub(age), load);
    }

    /// Notes that an endpoint said it is leaving; it gets no new calls.
    pub fn leaving(&mut self, id: &EndpointId) {
        if let Some(&index) = self.by_id.get(id) {
            self.endpoints[index].state = EndpointState::Leaving;
        }
    }

    /// Notes that an endpoint crashed or does not answer. Its cache is gone.
    pub fn down(&mut self, now: Duration, id: &EndpointId) {
        if let Some(&index) = self.by_id.get(id) {
            self.endpoints[index].down(now);
            self.forget_warm(index);
        }
    }

    /// Notes a refusal outside of a call: the endpoint gets no new calls for
    /// `retry_after`.
    pub fn refused(&mut self, now: Duration, id: &EndpointId, retry_after: Duration) {
        if let Some(&index) = self.by_id.get(id) {
            self.endpoints[index].refuses_until = now + retry_after;
        }
    }

    /// Forgets a program that has ended.
    pub fn program_ended(&mut self, program: &ProgramId) {
        self.programs.forget(program);
    }

    /// The endpoint where the program's history is warm, and its tokens.
    pub fn warm_endpoint(&self, program: &ProgramId) -> Option<(&EndpointId, u64)> {
        let site = self.programs.sites(program).last()?;
        Some((&self.endpoints[site.endpoint].id, site.tokens))
    }

    /// Calls in flight from this owner at an endpoint.
    pub fn in_flight(&self, id: &EndpointId) -> u64 {
        self.by_id
            .get(id)
            .map_or(0, |&index| self.endpoints[index].own().calls)
    }

    /// The state of an endpoint, if it is known.
    pub fn state(&self, id: &EndpointId) -> Option<EndpointState> {
        let &index = self.by_id.get(id)?;
        Some(self.endpoints[index].state)
    }

    fn put_endpoint(&mut self, info: EndpointInfo) -> usize {
        if let Some(&index) = self.by_id.get(&info.id) {
            let restarted = self.endpoints[index].listed(info);
            if restarted {
                self.forget_warm(index);
            }
            return index;
        }
        let index = self.endpoints.len();
        self.by_id.insert(info.id.clone(), index);
        self.endpoints.push(Endpoint::new(info));
        index
    }

    fn forget_warm(&mut self, endpoint: usize) {
        self.endpoints[endpoint].cache_epoch += 1;
    }

    fn note_warm(&mut self, now: Duration, endpoint: usize, request: &Request<'_>) {
        let warmth = |tokens| Warmth {
            endpoint,
            cache_epoch: self.endpoints[endpoint].cache_epoch,
            tokens,
            used_at: now,
        };
        self.programs
            .put(request.program, warmth(request.prompt_tokens));
        for prefix in request.shared_prefixes {
            self.prefixes.put(&prefix.id, warmth(prefix.tokens));
        }
    }

    /// Learns the answer's length and that prompt and answer are warm now.
    fn learn(&mut self, now: Duration, call: &CallId, sent: &Sent, answer_tokens: u64) {
        let known = self
            .answer_tokens
            .entry(sent.target.clone())
            .or_insert(DEFAULT_ANSWER_TOKENS);
        *known = (*known * (256 - ANSWER_WEIGHT) + answer_tokens * ANSWER_WEIGHT) / 256;
        if sent.prompt_tokens == 0 {
            return;
        }
        let endpoint = &self.endpoints[sent.endpoint];
        let warmth = Warmth {
            endpoint: sent.endpoint,
            cache_epoch: endpoint.cache_epoch,
            tokens: sent.prompt_tokens + answer_tokens,
            used_at: now,
        };
        self.programs.put(&call.program, warmth);
    }

    fn choice(&self, request: &Request<'_>, index: usize) -> Choice {
        let endpoint = &self.endpoints[index];
        Choice {
            endpoint: endpoint.id.clone(),
            incarnation: endpoint.incarnation.clone(),
            warm_tokens: self.warm_tokens(request, index),
        }
    }

    fn program_hash(&self, program: &ProgramId) -> u64 {
        let root = program.session().split('/').next().unwrap_or_default();
        rosebend_util::hash_parts(&[
            &self.settings.seed.to_le_bytes(),
            program.customer().as_bytes(),
            root.as_bytes(),
        ])
    }

    fn is_open(&self, now: Duration, request: &Request<'_>, index: usize) -> bool {
        let endpoint = &self.endpoints[index];
        endpoint.state == EndpointState::Live
            && endpoint.refuses_until <= now
            && !request.excluded.contains(&endpoint.id)
    }

    fn first_open(
        &self,
        now: Duration,
        request: &Request<'_>,
        serving: &[usize],
        start: usize,
    ) -> Option<usize> {
        (0..serving.len())
            .map(|step| serving[start.wrapping_add(step) % serving.len()])
            .find(|&index| self.is_open(now, request, index))
    }

    fn least_loaded(
        &self,
        now: Duration,
        request: &Request<'_>,
        serving: &[usize],
    ) -> Option<usize> {
        serving
            .iter()
            .copied()
            .filter(|&index| self.is_open(now, request, index))
            .min_by_key(|&index| self.endpoints[index].estimated_calls())
    }

    fn least_time(
        &self,
        now: Duration,
        request: &Request<'_>,
        serving: &[usize],
        scoring: &Scoring,
    ) -> Option<usize> {
        let warm = self.warm_candidates(now, request, serving, scoring);
        if !scoring.moves
            && let Some(&index) = warm.first()
        {
            return Some(index);
        }
        let drawn = self.draw(now, request, serving, scoring.subset);
        let answer_tokens = self.expected_answer_tokens(request.target);
        warm.into_iter()
            .chain(drawn)
            .map(|index| {
                (
                    self.predicted_us(request, index, answer_tokens, scoring),
                    index,
                )
            })
            .min()
            .map(|(_, index)| index)
    }

    /// Warm endpoints that are open, the program's own first.
    fn warm_candidates(
        &self,
        now: Duration,
        request: &Request<'_>,
        serving: &[usize],
        scoring: &Scoring,
    ) -> Vec<usize> {
        if !scoring.warm {
            return Vec::new();
        }
        let given = request.warm.and_then(|(id, _)| self.by_id.get(id)).copied();
        let own = self.programs.sites(request.program).iter().rev();
        let longest_first = request.shared_prefixes.iter().rev();
        let shared = longest_first.flat_map(|prefix| self.prefixes.sites(&prefix.id).iter().rev());
        let mut candidates: Vec<usize> = Vec::with_capacity(MAX_WARM_CANDIDATES);
        for index in given
            .into_iter()
            .chain(own.chain(shared).map(|site| site.endpoint))
        {
            let usable = !candidates.contains(&index)
                && self.endpoints[index].serves(request.target)
                && self.is_open(now, request, index);
            if usable && candidates.len() < MAX_WARM_CANDIDATES.min(serving.len()) {
                candidates.push(index);
            }
        }
        candidates
    }

    /// Draws open endpoints by the hash of the root program.
    fn draw(
        &self,
        now: Duration,
        request: &Request<'_>,
        serving: &[usize],
        subset: usize,
    ) -> Vec<usize> {
        if subset >= serving.len() {
            return serving
                .iter()
                .copied()
                .filter(|&index| self.is_open(now, request, index))
                .collect();
        }
        subset::order(self.program_hash(request.program), serving.len())
            .map(|position| serving[position])
            .filter(|&index| self.is_open(now, request, index))
            .take(subset)
            .collect()
    }

    fn expected_answer_tokens(&self, target: &str) -> u64 {
        self.answer_tokens
            .get(target)
            .copied()
            .unwrap_or(DEFAULT_ANSWER_TOKENS)
    }

    /// Prompt tokens believed to be in an endpoint's cache.
    fn warm_tokens(&self, request: &Request<'_>, index: usize) -> u64 {
        if let RoutingPolicy::Scored(scoring) = &self.settings.policy
            && !scoring.warm
        {
            return 0;
        }
        let epoch = self.endpoints[index].cache_epoch;
        let given = match request.warm {
            Some((id, tokens)) if *id == self.endpoints[index].id => tokens,
            _ => 0,
        };
        let own = self.programs.tokens(request.program, index, epoch);
        let shared = request.shared_prefixes.iter().map(|prefix| {
            let tokens = self.prefixes.tokens(&prefix.id, index, epoch);
            tokens.min(prefix.tokens)
        });
        given
            .max(own)
            .max(shared.max().unwrap_or(0))
            .min(request.prompt_tokens)
    }

    fn predicted_us(
        &self,
        request: &Request<'_>,
        index: usize,
        answer_tokens: u64,
        scoring: &Scoring,
    ) -> u64 {
        let endpoint = &self.endpoints[index];
        let load = endpoint.estimate(scoring.corrects_reports);
        let cold_tokens = request.prompt_tokens - self.warm_tokens(request, index);
        let wait_us = load.queued_tokens * load.prefill_token_us;
        // Every running answer waits while this prompt is computed.
        let prefill_us = cold_tokens * load.prefill_token_us * (1 + load.running + load.queued);
        let decode_us = answer_tokens * load.token_us;
        // A waiting call starts when one of the running ones ends.
        let slot_us = load.queued * decode_us / load.running.max(1);
        wait_us + prefill_us + slot_us + decode_us + self.hop_us(endpoint)
    }

    fn hop_us(&self, endpoint: &Endpoint) -> u64 {
        if endpoint.zone == self.settings.zone {
            0
        } else {
            u64::try_from(self.settings.zone_hop.as_micros()).unwrap_or(u64::MAX)
        }
    }

    fn why_none(&self, request: &Request<'_>, serving: &[usize]) -> NoEndpointReason {
        let any_live = serving.iter().any(|&index| {
            let endpoint = &self.endpoints[index];
            endpoint.state == EndpointState::Live && !request.excluded.contains(&endpoint.id)
        });
        if any_live {
            NoEndpointReason::AllRefuse
        } else {
            NoEndpointReason::NoneLive
        }
    }
}

fn no_endpoint(reason: NoEndpointReason) -> NoEndpoint {
    NoEndpoint {
        reason,
        retry_after: RETRY_AFTER,
    }
}
