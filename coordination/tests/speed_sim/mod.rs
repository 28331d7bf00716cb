//! Simulation of hosts that send requests to endpoints of unequal and changing speed,
//! and that know the endpoints' loads from reports of different age.
//!
//! All random choices come from one seed.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rosebend_coordination::gateway::directory::{CompletedTurn, Directory, EndpointQuery};
use rosebend_state::deployment::{EndpointIdentity, EndpointLoad, EndpointRecord};

const SERVICE: &str = "service";
const ZONE: &str = "newport-hall";
/// Time between two reports of an endpoint to the same host.
const REPORT_INTERVAL_US: u64 = 1_500_000;
/// Time between two changes of the endpoints' speeds.
const SPEED_INTERVAL_US: u64 = 600_000;
/// Factor by which a hampered endpoint is slower.
const HAMPERED_FACTOR: f64 = 2.5;
/// Part of the endpoints that are hampered, in percent.
const HAMPERED_PERCENT: u32 = 15;
/// Work of a turn for each of its output tokens at the usual speed.
const TOKEN_US: u64 = 800;
/// Time before the measurement starts.
const WARM_UP_US: u64 = 3_000_000;

/// How the endpoint of a request is selected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// By a directory that receives no reports.
    Blind,
    /// By a directory that receives reports with speeds.
    ExpectedTime,
    /// The endpoint at which the request would be done first, by the true state of all
    /// endpoints.
    ExactKnowledge,
}

/// The load of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub hosts: usize,
    pub endpoints: usize,
    pub slots: u32,
    /// Speeds of the two kinds of endpoint, in percent of the usual time.
    pub percents: [u32; 2],
    /// Every how many endpoints one is of the second kind.
    pub slow_every: usize,
    /// True for turns of different lengths, false for requests of equal length.
    pub are_turns: bool,
    /// Number of peers to which a host forwards the reports of its own responses.
    pub peers: usize,
    /// Part of the endpoints' capacity that is used.
    pub utilization: f64,
    pub duration: Duration,
}

/// Results of a simulation, in milliseconds where they are times.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub mean_ms: f64,
    pub p95_ms: f64,
    pub max_waiting: usize,
    /// Requests that came to an endpoint where requests had been waiting for longer than
    /// [`REPORT_INTERVAL_US`], although an endpoint at least as fast had no request.
    pub waited_behind_old_queue: usize,
    /// Requests that came to an endpoint where at least as many requests were waiting as it
    /// has slots, although an endpoint at least as fast had no request.
    pub waited_a_round: usize,
    pub requests: usize,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Happening {
    End { endpoint: usize, request: usize },
    Report { host: usize, endpoint: usize },
    SpeedChange,
    Arrival,
}

#[derive(Debug)]
struct Request {
    host: usize,
    tokens: u64,
    arrived_us: u64,
    started_us: u64,
}

#[derive(Debug, Default)]
struct Server {
    percent: u32,
    is_hampered: bool,
    running: u32,
    waiting: VecDeque<usize>,
    /// Time since which requests have been waiting.
    waiting_since_us: u64,
}

impl Server {
    fn factor(&self) -> f64 {
        let usual = f64::from(self.percent) / 100.0;
        usual
            * if self.is_hampered {
                HAMPERED_FACTOR
            } else {
                1.0
            }
    }
}

struct Simulation {
    load: Load,
    policy: Policy,
    random: ChaCha8Rng,
    hosts: Vec<Directory>,
    servers: Vec<Server>,
    requests: Vec<Request>,
    agenda: BinaryHeap<Reverse<(u64, Happening)>>,
    now_us: u64,
    times_ms: Vec<f64>,
    outcome: Outcome,
}

/// Runs the load with the policy.
pub fn run(load: Load, policy: Policy, seed: u64) -> Outcome {
    let mut simulation = Simulation::new(load, policy, seed);
    simulation.run();
    simulation.finish()
}

fn id(endpoint: usize) -> EndpointIdentity {
    EndpointIdentity::unknown_start(format!("e{endpoint}"))
}

impl Simulation {
    fn new(load: Load, policy: Policy, seed: u64) -> Self {
        let mut hosts = Vec::new();
        for _ in 0..load.hosts {
            let mut directory = Directory::new(ZONE.to_owned());
            for endpoint in 0..load.endpoints {
                let record = EndpointRecord {
                    identity: id(endpoint),
                    service: SERVICE.to_owned(),
                    address: "127.0.0.1:9".parse().unwrap(),
                    availability_zone: ZONE.to_owned(),
                    slots: load.slots,
                    draining: false,
                    warming_up: Duration::ZERO,
                };
                directory.apply_entry(record, Duration::ZERO);
            }
            hosts.push(directory);
        }
        let server = |endpoint| Server {
            percent: load.percents[usize::from(endpoint % load.slow_every == 0)],
            ..Server::default()
        };
        let mut simulation = Self {
            load,
            policy,
            random: ChaCha8Rng::seed_from_u64(seed),
            hosts,
            servers: (0..load.endpoints).map(server).collect(),
            requests: Vec::new(),
            agenda: BinaryHeap::new(),
            now_us: 0,
            times_ms: Vec::new(),
            outcome: Outcome::default(),
        };
        simulation.schedule(0, Happening::SpeedChange);
        simulation.schedule(0, Happening::Arrival);
        for host in 0..load.hosts {
            for endpoint in 0..load.endpoints {
                let first_us = simulation.random.random_range(0..REPORT_INTERVAL_US);
                simulation.schedule(first_us, Happening::Report { host, endpoint });
            }
        }
        simulation
    }

    fn schedule(&mut self, after_us: u64, happening: Happening) {
        self.agenda
            .push(Reverse((self.now_us + after_us, happening)));
    }

    fn run(&mut self) {
        let end_us = self.load.duration.as_micros() as u64;
        while let Some(Reverse((at_us, happening))) = self.agenda.pop() {
            if at_us > end_us {
                break;
            }
            self.now_us = at_us;
            match happening {
                Happening::End { endpoint, request } => self.end(endpoint, request),
                Happening::Report { host, endpoint } => self.report(host, endpoint),
                Happening::SpeedChange => self.change_speeds(),
                Happening::Arrival => self.arrive(),
            }
        }
    }

    fn now(&self) -> Duration {
        Duration::from_secs(100) + Duration::from_micros(self.now_us)
    }

    fn change_speeds(&mut self) {
        for server in &mut self.servers {
            server.is_hampered = self.random.random_range(0..100) < HAMPERED_PERCENT;
        }
        self.schedule(SPEED_INTERVAL_US, Happening::SpeedChange);
    }

    /// Sends a report every 1.5 s, so that none is older.
    fn report(&mut self, host: usize, endpoint: usize) {
        self.send_report(host, endpoint, true);
        self.schedule(REPORT_INTERVAL_US, Happening::Report { host, endpoint });
    }

    fn send_and_forward_report(&mut self, request: usize, endpoint: usize) {
        let host = self.requests[request].host;
        self.send_report(host, endpoint, true);
        for peer in 1..=self.load.peers {
            self.send_report((host + peer) % self.load.hosts, endpoint, false);
        }
    }

    fn send_report(&mut self, host: usize, endpoint: usize, is_direct: bool) {
        let server = &self.servers[endpoint];
        let percent = (server.factor() * 100.0).round() as u32;
        let load = EndpointLoad {
            running: server.running,
            waiting: server.waiting.len() as u32,
            slots: self.load.slots,
            work_time_percent: Some(percent),
        };
        if self.policy == Policy::ExpectedTime {
            let now = self.now();
            let directory = &mut self.hosts[host];
            match is_direct {
                true => directory.record_report(&id(endpoint), load, now),
                false => directory.record_peer_report(&id(endpoint), load, now),
            }
        }
    }

    /// Rate of arrivals at which the endpoints are used as the load says.
    fn arrivals_per_us(&self) -> f64 {
        let hampered = f64::from(HAMPERED_PERCENT) / 100.0;
        let slowdown = 1.0 + hampered * (HAMPERED_FACTOR - 1.0);
        let work_us = (200 * TOKEN_US) as f64;
        let capacity = self.servers.iter().map(|server| {
            let factor = f64::from(server.percent) / 100.0 * slowdown;
            f64::from(self.load.slots) / (work_us * factor)
        });
        capacity.sum::<f64>() * self.load.utilization
    }

    fn arrive(&mut self) {
        let tokens = match self.load.are_turns {
            true => self.random.random_range(20..=380),
            false => 200,
        };
        let host = self.random.random_range(0..self.load.hosts);
        let request = self.requests.len();
        self.requests.push(Request {
            host,
            tokens,
            arrived_us: self.now_us,
            started_us: 0,
        });
        let endpoint = match self.policy {
            Policy::ExactKnowledge => self.select_exactly(tokens),
            _ => self.select(host, request, tokens),
        };
        self.send(endpoint, request);
        let uniform: f64 = self.random.random_range(1e-9..1.0);
        let pause_us = (-uniform.ln() / self.arrivals_per_us()) as u64;
        self.schedule(pause_us, Happening::Arrival);
    }

    fn select(&mut self, host: usize, request: usize, tokens: u64) -> usize {
        // The callers' estimates are right at the median, and off by up to four.
        let error: f64 = self.random.random_range(-2.0..2.0);
        let hint = (tokens as f64 * error.exp2()) as u64;
        let key = format!("attempt-{request}");
        let query = EndpointQuery {
            is_turn: self.load.are_turns,
            expected_output_tokens: self.load.are_turns.then_some(hint),
            jitter_key: &key,
            ..EndpointQuery::default()
        };
        let now = self.now();
        let chosen = self.hosts[host]
            .select(SERVICE, query, now, |_| true)
            .unwrap();
        let endpoint = chosen.record.identity.instance[1..].parse().unwrap();
        self.hosts[host].record_request_start(&id(endpoint));
        endpoint
    }

    fn select_exactly(&self, tokens: u64) -> usize {
        let slots = f64::from(self.load.slots);
        let time_us = |server: &Server| {
            let present = f64::from(server.running) + server.waiting.len() as f64;
            let wait_us = (present + 1.0 - slots).max(0.0) * (200 * TOKEN_US) as f64 / slots;
            (wait_us + (tokens * TOKEN_US) as f64) * server.factor()
        };
        let endpoints = 0..self.servers.len();
        let by_time = |a: &usize, b: &usize| {
            let (a, b) = (&self.servers[*a], &self.servers[*b]);
            let by_requests = || a.running.cmp(&b.running);
            time_us(a).total_cmp(&time_us(b)).then_with(by_requests)
        };
        endpoints.min_by(by_time).unwrap()
    }

    fn send(&mut self, endpoint: usize, request: usize) {
        let is_measured = self.now_us >= WARM_UP_US;
        if self.servers[endpoint].running < self.load.slots {
            self.start(endpoint, request);
            return;
        }
        let factor = self.servers[endpoint].factor();
        let mut others = self.servers.iter();
        let has_idle = others.any(|server| server.running == 0 && server.factor() <= factor);
        if self.servers[endpoint].waiting.is_empty() {
            self.servers[endpoint].waiting_since_us = self.now_us;
        }
        self.servers[endpoint].waiting.push_back(request);
        if is_measured {
            let waiting = self.servers[endpoint].waiting.len();
            let waiting_us = self.now_us - self.servers[endpoint].waiting_since_us;
            let is_known = waiting_us > REPORT_INTERVAL_US;
            self.outcome.max_waiting = self.outcome.max_waiting.max(waiting);
            self.outcome.waited_behind_old_queue += usize::from(is_known && has_idle);
            let is_round = waiting > self.load.slots as usize;
            self.outcome.waited_a_round += usize::from(is_round && has_idle);
        }
    }

    fn start(&mut self, endpoint: usize, request: usize) {
        self.servers[endpoint].running += 1;
        self.requests[request].started_us = self.now_us;
        let work_us = (self.requests[request].tokens * TOKEN_US) as f64;
        let time_us = (work_us * self.servers[endpoint].factor()) as u64;
        self.schedule(time_us, Happening::End { endpoint, request });
        if self.load.are_turns {
            self.send_and_forward_report(request, endpoint);
        }
    }

    fn end(&mut self, endpoint: usize, request: usize) {
        self.servers[endpoint].running -= 1;
        if !self.load.are_turns {
            self.send_and_forward_report(request, endpoint);
        }
        self.record_end(endpoint, request);
        if let Some(next) = self.servers[endpoint].waiting.pop_front() {
            self.start(endpoint, next);
        }
    }

    fn record_end(&mut self, endpoint: usize, request: usize) {
        let Request {
            host,
            tokens,
            arrived_us,
            started_us,
        } = self.requests[request];
        let duration = Duration::from_micros(self.now_us - arrived_us);
        if arrived_us >= WARM_UP_US {
            self.times_ms.push(duration.as_secs_f64() * 1_000.0);
        }
        let now = self.now();
        if self.policy == Policy::ExactKnowledge {
            return;
        }
        let directory = &mut self.hosts[host];
        directory.record_request_end(&id(endpoint));
        match self.load.are_turns {
            false => directory.record_response(&id(endpoint), Some(duration), now),
            true => {
                let first_event = Duration::from_micros(started_us - arrived_us);
                directory.record_response(&id(endpoint), Some(first_event), now);
                let turn = CompletedTurn {
                    prompt_tokens: 0,
                    output_tokens: tokens,
                    first_event,
                    duration,
                };
                directory.record_turn(&id(endpoint), &turn, now);
            }
        }
    }

    fn finish(mut self) -> Outcome {
        self.times_ms.sort_by(f64::total_cmp);
        let count = self.times_ms.len();
        Outcome {
            mean_ms: self.times_ms.iter().sum::<f64>() / count as f64,
            p95_ms: self.times_ms[count * 95 / 100],
            requests: count,
            ..self.outcome
        }
    }
}
