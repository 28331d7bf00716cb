//! The selection of an endpoint of a service whose endpoints report a speed, by the
//! time until the request is done there.
//!
//! A report is older than most requests that it counts. The estimate therefore uses
//! both figures of a report less the older it is, and the selection spreads requests
//! over endpoints between which the estimates can't tell, so that gateways with the
//! same reports do not all select the same endpoint.

use std::time::Duration;

use rosebend_state::deployment::EndpointIdentity;
use rosebend_util::hash_parts;

use super::service_times::ServiceTimes;
use super::work_time::decay;
use super::{Directory, Endpoint, EndpointQuery, Selection};

/// Age up to which a load report counts in the mean load of its service.
const MAX_MEAN_AGE: Duration = Duration::from_millis(1_500);
/// Largest number of other gateways' requests for each slot that counts in the mean, so
/// that a single endpoint with an impossible report does not change all estimates. An
/// engine with 6 slots and a queue of 18 has 4.
const MAX_MEAN_LOAD: f64 = 4.0;
/// Bounds of the time constant with which a reported load decays to the mean, so that a
/// service with very short or long requests keeps a usable one.
const LOAD_DECAY_BOUNDS_MS: (f64, f64) = (50.0, 2_000.0);
/// Exponent of the ratio of the lowest estimate to that of an endpoint in the
/// endpoint's probability to be drawn. With 4, an endpoint that takes twice as long is
/// drawn a sixteenth as often.
const DRAW_EXPONENT: i32 = 4;
/// Number of draws for a request. The best of the drawn endpoints is selected.
const DRAWS: u8 = 2;
/// Error of an estimate as a part of the estimate. With a larger one, requests go to
/// endpoints that are known to be slower; with a smaller one, gateways with the same
/// reports select the same endpoint.
const RELATIVE_ERROR: f64 = 0.05;
/// Further error if all reports were forwarded by peers: several gateways know a forwarded
/// report and act on it at the same time.
const FORWARDED_ERROR: f64 = 0.05;
/// Smallest time that is estimated, so that ratios of estimates are finite.
const MIN_TIME_MS: f64 = 0.1;

/// Scale of the distribution of the requests at an endpoint below which their number
/// counts as known.
const MIN_SCALE: f64 = 0.001;

/// Inputs that the estimates of all endpoints of a service share.
struct ServiceView {
    times: ServiceTimes,
    /// Mean work time factor of the endpoints that reported one.
    mean_factor: f64,
    /// Mean number of other gateways' requests for each slot.
    mean_load: f64,
    /// Standard deviation of that number between endpoints.
    load_deviation: f64,
    /// Part of the recent reports that peers forwarded.
    forwarded: f64,
    /// Time constant with which a reported load decays to the mean.
    load_decay: Duration,
    /// Time for which a request occupies a slot at the factor 1.
    slot_time_ms: f64,
}

/// Estimate for one endpoint.
struct Estimate<'a> {
    endpoint: &'a Endpoint,
    /// Time until the request is done there.
    time_ms: f64,
    /// Expected number of requests there, this one not included.
    requests: f64,
    factor: f64,
}

impl Directory {
    /// Returns true if an endpoint of the service reported a speed recently.
    pub fn reports_speed(&self, service: &str, now: Duration) -> bool {
        let mut endpoints = self.endpoints.values();
        endpoints.any(|endpoint| {
            let is_recent = endpoint.work_time.is_some_and(|time| time.is_recent(now));
            is_recent && endpoint.record.service == service
        })
    }

    /// Selects an endpoint of a service whose endpoints report a speed.
    pub(super) fn select_by_time(
        &self,
        service: &str,
        query: EndpointQuery<'_>,
        now: Duration,
        is_connected: impl Fn(&EndpointIdentity) -> bool,
    ) -> Option<Selection<'_>> {
        let view = self.service_view(service, query, now);
        let candidates = self.candidates(service, query);
        let estimates = candidates.map(|endpoint| {
            let has_connection = is_connected(&endpoint.record.identity);
            self.estimate(&view, endpoint, query, has_connection, now)
        });
        let estimates: Vec<Estimate<'_>> = estimates.collect();
        let chosen = choose(&estimates, view.relative_error(), query.jitter_key)?;
        Some(Selection {
            record: &chosen.endpoint.record,
            expected_load: chosen.requests as u64,
            report_age: chosen.endpoint.report_age(now),
            work_time_percent: Some((chosen.factor * 100.0).round() as u32),
            expected_time: Duration::try_from_secs_f64(chosen.time_ms / 1_000.0).ok(),
        })
    }

    /// Computes the inputs that the estimates of a service's endpoints share.
    fn service_view(&self, service: &str, query: EndpointQuery<'_>, now: Duration) -> ServiceView {
        let times = self.service_times.get(service).copied();
        let times = times.unwrap_or_default();
        let endpoints = self.endpoints.values();
        let of_service = endpoints.filter(|endpoint| endpoint.record.service == service);
        let (mut factors, mut reported_factors) = (0.0, 0.0);
        let (mut loads, mut load_squares, mut reported_loads) = (0.0, 0.0, 0.0);
        let mut forwarded = 0.0;
        for endpoint in of_service {
            if let Some(work_time) = endpoint.work_time.filter(|time| time.is_recent(now)) {
                factors += work_time.factor(now);
                reported_factors += 1.0;
            }
            if endpoint
                .report_age(now)
                .is_some_and(|age| age < MAX_MEAN_AGE)
            {
                let load = endpoint.others_requests() / f64::from(endpoint.record.slots);
                let load = load.min(MAX_MEAN_LOAD);
                loads += load;
                load_squares += load * load;
                reported_loads += 1.0;
                if endpoint.load.is_some_and(|report| !report.is_direct) {
                    forwarded += 1.0;
                }
            }
        }
        let mean_factor = if reported_factors > 0.0 {
            factors / reported_factors
        } else {
            1.0
        };
        let count = f64::max(reported_loads, 1.0);
        let mean_load = loads / count;
        let slot_time_ms = match query.is_turn {
            true => times.turn_ms(),
            false => times.request_ms(),
        };
        let (min_ms, max_ms) = LOAD_DECAY_BOUNDS_MS;
        let decay_ms = (slot_time_ms * mean_factor).clamp(min_ms, max_ms);
        ServiceView {
            times,
            mean_factor,
            mean_load,
            forwarded: forwarded / count,
            load_deviation: (load_squares / count - mean_load * mean_load)
                .max(0.0)
                .sqrt(),
            load_decay: Duration::from_secs_f64(decay_ms / 1_000.0),
            slot_time_ms,
        }
    }

    fn estimate<'a>(
        &self,
        view: &ServiceView,
        endpoint: &'a Endpoint,
        query: EndpointQuery<'_>,
        has_connection: bool,
        now: Duration,
    ) -> Estimate<'a> {
        let work_time = endpoint.work_time;
        let factor = work_time.map_or(view.mean_factor, |work_time| {
            work_time.factor_or_mean(view.mean_factor, now)
        });
        let slots = f64::from(endpoint.record.slots);
        let (others, deviation) = view.others_requests(endpoint, now);
        let requests = f64::from(endpoint.in_flight) + others;
        let excess = expected_excess(requests + 1.0 - slots, deviation);
        let wait_ms = excess * view.slot_time_ms / slots;
        let work_ms = view.work_ms(endpoint, query);
        let time_ms = (wait_ms + work_ms) * factor;
        let time_ms = self.add_placement_costs(time_ms, endpoint, has_connection);
        let time_ms = endpoint.add_condition_costs(time_ms, now);
        Estimate {
            endpoint,
            time_ms: time_ms.max(MIN_TIME_MS),
            requests,
            factor,
        }
    }
}

impl ServiceView {
    /// Returns the error of the estimates as a part of them.
    fn relative_error(&self) -> f64 {
        RELATIVE_ERROR + FORWARDED_ERROR * self.forwarded
    }

    /// Returns the expected number of other gateways' requests at an endpoint and its
    /// standard deviation: the reported number, decayed to the mean of the service.
    fn others_requests(&self, endpoint: &Endpoint, now: Duration) -> (f64, f64) {
        let slots = f64::from(endpoint.record.slots);
        let mean = self.mean_load * slots;
        let remaining = endpoint
            .report_age(now)
            .map_or(0.0, |age| decay(age, self.load_decay));
        let others = mean + (endpoint.others_requests() - mean) * remaining;
        let unknown = (1.0 - remaining * remaining).max(0.0).sqrt();
        (others, self.load_deviation * slots * unknown)
    }

    /// Returns the time of the request's work at the factor 1.
    fn work_ms(&self, endpoint: &Endpoint, query: EndpointQuery<'_>) -> f64 {
        if !query.is_turn {
            return self.times.request_ms();
        }
        let is_warm = query.warm_endpoint == Some(&endpoint.record.identity);
        let prompt_tokens = query.prompt_tokens.max(query.warm_tokens);
        let uncached_tokens = match is_warm {
            true => prompt_tokens - query.warm_tokens,
            false => prompt_tokens,
        };
        let output_ms = self.times.output_ms(query.expected_output_tokens);
        self.times.prompt_ms(uncached_tokens) + output_ms
    }
}

/// Returns the expected value of the positive part of a number, by the logistic
/// distribution with this mean and standard deviation.
fn expected_excess(mean: f64, deviation: f64) -> f64 {
    let scale = deviation * 3.0_f64.sqrt() / std::f64::consts::PI;
    if scale < MIN_SCALE {
        return mean.max(0.0);
    }
    let ratio = mean / scale;
    // The logarithm of `1 + exp(ratio)`, without an overflow for large ratios.
    scale * (ratio.max(0.0) + (-ratio.abs()).exp().ln_1p())
}

/// Chooses between the estimates. Two endpoints are drawn by hashes of the request from
/// those that the lowest estimate leads by no more than the error, and the better one of
/// the two is taken. Both draws may be of the same endpoint, so that the best of a few
/// endpoints does not get all requests.
fn choose<'a, 'b>(
    estimates: &'b [Estimate<'a>],
    relative_error: f64,
    jitter_key: &str,
) -> Option<&'b Estimate<'a>> {
    let times_ms = estimates.iter().map(|estimate| estimate.time_ms);
    let best_ms = times_ms.min_by(f64::total_cmp)?;
    let limit_ms = best_ms * (1.0 + relative_error);
    let draws = (0..DRAWS).filter_map(|draw| {
        let near_best = estimates
            .iter()
            .filter(|estimate| estimate.time_ms <= limit_ms);
        let keys =
            near_best.map(|estimate| (draw_key(estimate, best_ms, jitter_key, draw), estimate));
        let drawn = keys.min_by(|a, b| a.0.total_cmp(&b.0));
        drawn.map(|(_, estimate)| estimate)
    });
    draws.min_by(|a, b| a.time_ms.total_cmp(&b.time_ms))
}

/// Returns the key by which an endpoint is drawn, the lowest first. It is distributed
/// exponentially with the endpoint's weight as its rate, so that an endpoint is drawn
/// with a probability in proportion to its weight.
fn draw_key(estimate: &Estimate<'_>, best_ms: f64, jitter_key: &str, draw: u8) -> f64 {
    let instance = &estimate.endpoint.record.identity.instance;
    let hash = hash_parts(&[jitter_key.as_bytes(), instance.as_bytes(), &[draw]]);
    // Strictly between 0 and 1, with 52 bits of the hash.
    let uniform = ((hash >> 12) as f64 + 0.5) / (1_u64 << 52) as f64;
    let weight = (best_ms / estimate.time_ms).powi(DRAW_EXPONENT);
    -uniform.ln() / weight
}
