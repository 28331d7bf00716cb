//! Scheduling of engines by one gateway, with gateway processes: turns do not queue at
//! engines, and the failure of any part costs no turn.

mod support;

use std::collections::BTreeMap;
use std::net::UdpSocket;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::future::join_all;
use http::Method;
use rosebend_coordination::gateway::engine_scheduler::message::{
    GroupStatus, MessageContent, PlacementOutcome, PlacementRefusal, PlacementRequest,
    SchedulerMessage,
};
use rosebend_gateway::engine_scheduling::DATAGRAM_PREFIX;
use rosebend_gateway::peers::row_id;
use rosebend_standin::backend::{BackendFaults, Turns};
use rosebend_standin::store::StoreFaults;
use rosebend_state::deployment::EndpointIdentity;
use serde_json::{Value, json};
use support::{FIRST_START_MS, Gateway, Site, TestRequest, TestResponse, routes, wait_until};

const KEY: &str = "ship-key-000001";
/// Slots of each engine.
const SLOTS: u64 = 2;
/// Pause of an engine before a turn's answer and between its three events.
const DELAY_MS: u64 = 20;

fn with_customers(version: u64) -> Value {
    let mut declared = routes(version);
    declared["tenants"] = json!([{"name": "ship", "api-keys": [KEY], "priority": 1}]);
    declared
}

/// Starts a site with customers and this number of engines of [`SLOTS`] slots, which are
/// always scheduled.
async fn site_with_engines(count: usize) -> Site {
    let mut site = Site::without_routes();
    site.gateway_settings = "[scheduling]\nengines = scheduled\n".to_owned();
    while engines(&site).len() < count {
        site.add_endpoint("models");
    }
    for index in engines(&site) {
        announce(&site, index, "ready");
        set_delay(&site, index, DELAY_MS).await;
    }
    site.store.put("op", "config", &with_customers(1));
    site
}

fn engines(site: &Site) -> Vec<usize> {
    let endpoints = site.endpoints.iter().enumerate();
    let engines = endpoints.filter(|(_, endpoint)| endpoint.service == "models");
    engines.map(|(index, _)| index).collect()
}

fn announce(site: &Site, index: usize, state: &str) {
    let endpoint = &site.endpoints[index];
    let entry = json!({
        "service": "models",
        "address": endpoint.server.address().to_string(),
        "zone": "newport-hall",
        "version": "v1",
        "slots": SLOTS,
        "state": state,
        "cold-left-ms": 0,
        "born": FIRST_START_MS,
        "seq": 2,
    });
    site.store.put("servers", &endpoint.instance, &entry);
}

async fn set_delay(site: &Site, index: usize, delay_ms: u64) {
    let faults = BackendFaults {
        delay_ms,
        ..BackendFaults::default()
    };
    site.set_endpoint_faults(index, &faults).await;
}

async fn turns_at(site: &Site, index: usize) -> Turns {
    let address = site.endpoints[index].server.address();
    let answer = TestRequest::get("/turns").send(address).await;
    serde_json::from_str(&answer.body).unwrap()
}

fn turn(attempt: &str) -> TestRequest {
    TestRequest::new(Method::POST, "/unkept/stream/turn")
        .attempt(attempt)
        .header("authorization", &format!("Bearer {KEY}"))
        .header("program-id", attempt)
        .header("session-id", "s1")
        .body("x")
}

async fn counter(gateway: &Gateway, family: &str, label: &str, value: &str) -> u64 {
    let name = format!("{family}_total{{{label}=\"{value}\"}}");
    gateway.metric(&name).await
}

async fn assigned(gateway: &Gateway) -> u64 {
    counter(gateway, "engine_placements", "reason", "assigned").await
}

/// Returns the number of decisions that a gateway made without a scheduler.
async fn bypasses(gateway: &Gateway) -> u64 {
    sum(gateway, "rosebend_gateway_engine_bypasses_total{").await
}

async fn datagrams(gateway: &Gateway) -> u64 {
    sum(gateway, "rosebend_gateway_engine_datagrams_total{").await
}

async fn sum(gateway: &Gateway, prefix: &str) -> u64 {
    let page = TestRequest::get("/metrics").send(gateway.metrics).await;
    let lines = page.body.lines().filter(|line| line.starts_with(prefix));
    let values = lines.filter_map(|line| line.rsplit_once(' '));
    values.map(|(_, value)| value.parse::<u64>().unwrap()).sum()
}

/// Sends turns until a scheduler assigns a slot to one of them. A new scheduler first
/// learns which turns are running.
async fn wait_until_scheduled(gateways: &[&Gateway], name: &str) {
    for (number, gateway) in gateways.iter().enumerate() {
        let before = assigned(gateway).await;
        wait_until("a scheduler assigns slots", async || {
            let ask = turn(&format!("{name}-{number}-{}", support_number()));
            assert_eq!(ask.send(gateway.front).await.status, 200);
            assigned(gateway).await > before
        })
        .await;
    }
}

fn support_number() -> u64 {
    use std::sync::atomic::{AtomicU64, Ordering};
    static NEXT: AtomicU64 = AtomicU64::new(0);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

/// Starts two gateways, the first of which schedules the engines.
async fn start_two(site: &Site) -> (Gateway, Gateway) {
    let gateways = site.start_two_ready_gateways().await;
    for gateway in &gateways {
        gateway.wait_for_peers(1).await;
    }
    wait_until("one gateway schedules", async || {
        schedules(&gateways[0]).await != schedules(&gateways[1]).await
    })
    .await;
    let [a, b] = gateways;
    let (scheduler, other) = match schedules(&a).await {
        true => (a, b),
        false => (b, a),
    };
    wait_until_scheduled(&[&scheduler, &other], "start").await;
    (scheduler, other)
}

async fn schedules(gateway: &Gateway) -> bool {
    gateway.metric("engine_groups").await == 1
}

async fn send_turns(gateways: &[&Gateway], name: &str, count: usize) -> Vec<TestResponse> {
    let asks = (0..count).map(|number| {
        let front = gateways[number % gateways.len()].front;
        async move { turn(&format!("{name}-{number}")).send(front).await }
    });
    join_all(asks).await
}

fn statuses(answers: &[TestResponse]) -> BTreeMap<u16, usize> {
    let mut statuses = BTreeMap::new();
    for answer in answers {
        *statuses.entry(answer.status).or_default() += 1;
    }
    statuses
}

/// Guards against turns that queue at one engine while another has a free slot.
#[actix_rt::test]
async fn turns_of_two_gateways_never_exceed_the_slots_of_an_engine() {
    let site = site_with_engines(3).await;
    let (scheduler, other) = start_two(&site).await;
    // A round in which a process did not run for 60 ms, so that a gateway selected engines
    // by itself, shows nothing about the scheduler.
    for round in 0..8 {
        most_turns(&site).await;
        let before = bypasses(&scheduler).await + bypasses(&other).await;
        let answers = send_turns(&[&scheduler, &other], &format!("r{round}"), 30).await;
        assert_eq!(statuses(&answers), BTreeMap::from([(200, 30)]));
        let most = most_turns(&site).await;
        if bypasses(&scheduler).await + bypasses(&other).await == before {
            assert_eq!(most, SLOTS);
            return;
        }
    }
    panic!("a gateway bypassed the scheduler in every round");
}

/// Returns the most turns that an engine has run at a time since the last call.
async fn most_turns(site: &Site) -> u64 {
    let mut most = 0;
    for index in engines(site) {
        most = most.max(turns_at(site, index).await.most);
    }
    most
}

/// Guards against messages that the design does not need: a scheduler sends none for its
/// own turns.
#[actix_rt::test]
async fn the_scheduler_asks_itself_without_datagrams() {
    let site = site_with_engines(2).await;
    let (scheduler, other) = start_two(&site).await;
    let place = async |gateway: &Gateway| {
        counter(gateway, "engine_datagrams", "kind", "place").await
            + counter(gateway, "engine_datagrams", "kind", "release").await
    };
    let before = place(&scheduler).await;
    let answers = send_turns(&[&scheduler], "own", 12).await;
    assert_eq!(statuses(&answers), BTreeMap::from([(200, 12)]));
    assert_eq!(place(&scheduler).await, before);
    let released = async || counter(&other, "engine_datagrams", "kind", "release").await;
    let before = released().await;
    for number in 0..4 {
        let answer = turn(&format!("other-{number}")).send(other.front).await;
        assert_eq!(answer.status, 200);
    }
    wait_until("each turn has sent one release", async || {
        released().await == before + 4
    })
    .await;
}

/// Guards against turns that fail or hang when the scheduler's process dies.
#[actix_rt::test]
async fn turns_go_on_if_the_scheduler_is_killed() {
    let site = site_with_engines(2).await;
    let (mut scheduler, other) = start_two(&site).await;
    let gateways = [&other];
    let turns = send_turns(&gateways, "during", 16);
    let kill = async {
        actix_rt::time::sleep(Duration::from_millis(30)).await;
        scheduler.kill();
    };
    let (answers, ()) = futures_util::future::join(turns, kill).await;
    assert_eq!(statuses(&answers), BTreeMap::from([(200, 16)]));
    // The table still lists the dead process, so this turn or an earlier one finds out.
    let answer = turn("after").send(other.front).await;
    assert_eq!(answer.status, 200);
    assert!(!other.events("scheduler-avoided").is_empty());
    assert!(counter(&other, "engine_bypasses", "reason", "scheduler-silent").await > 0);
    // The other gateway is the next one of the order.
    wait_until_scheduled(&[&other], "next").await;
    assert!(schedules(&other).await);
}

/// Guards against turns that hang while the scheduler is frozen, and against a scheduler
/// that is left out for ever.
#[actix_rt::test]
async fn turns_go_on_while_the_scheduler_is_frozen() {
    let site = site_with_engines(2).await;
    let (scheduler, other) = start_two(&site).await;
    scheduler.signal("STOP");
    let answers = send_turns(&[&other], "frozen", 8).await;
    scheduler.signal("CONT");
    assert_eq!(statuses(&answers), BTreeMap::from([(200, 8)]));
    assert!(!other.events("scheduler-avoided").is_empty());
    let place = async || counter(&scheduler, "engine_datagrams", "kind", "placed").await;
    let before = place().await;
    wait_until("the scheduler is asked again", async || {
        let ask = turn(&format!("again-{}", support_number()));
        assert_eq!(ask.send(other.front).await.status, 200);
        place().await > before
    })
    .await;
}

/// Guards against slots and places in the queue that are lost when a caller leaves.
#[actix_rt::test]
async fn a_caller_that_leaves_while_its_turn_waits_frees_its_place() {
    let site = site_with_engines(1).await;
    let gateway = site.start_ready_gateway().await;
    wait_until("the gateway schedules", async || schedules(&gateway).await).await;
    wait_until_scheduled(&[&gateway], "start").await;
    set_delay(&site, 0, 400).await;
    let front = gateway.front;
    let running = actix_rt::spawn(async move {
        join_all((0..2).map(|number| async move {
            let attempt = format!("running-{number}");
            turn(&attempt).send(front).await.status
        }))
        .await
    });
    wait_until("all slots are in use", async || {
        turns_at(&site, 0).await.running == SLOTS
    })
    .await;
    let waiting = actix_rt::spawn(async move { turn("leaves").send(front).await });
    wait_until("the turn waits", async || {
        gateway.metric("engine_queue").await == 1
    })
    .await;
    waiting.abort();
    wait_until("the turn has left the queue", async || {
        gateway.metric("engine_queue").await == 0
    })
    .await;
    assert_eq!(running.await.unwrap(), [200, 200]);
    set_delay(&site, 0, DELAY_MS).await;
    let answers = send_turns(&[&gateway], "later", 4).await;
    assert_eq!(statuses(&answers), BTreeMap::from([(200, 4)]));
    assert_eq!(site.run_count("leaves").await, 0);
}

/// Guards against turns that are sent to an engine that leaves.
#[actix_rt::test]
async fn an_engine_that_leaves_gets_no_turns() {
    let site = site_with_engines(2).await;
    let (scheduler, other) = start_two(&site).await;
    announce(&site, 0, "draining");
    let instance = site.endpoints[0].instance.clone();
    for gateway in [&scheduler, &other] {
        wait_until("the engine is known to leave", async || {
            let events = gateway.events("endpoint-withdrawn");
            events.iter().any(|event| event["endpoint"] == instance)
        })
        .await;
    }
    // The engines of a group are listed again at most 100 ms later.
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    let before = site.runs(0).await.len();
    let assigned_before = assigned(&scheduler).await + assigned(&other).await;
    let answers = send_turns(&[&scheduler, &other], "left", 8).await;
    assert_eq!(statuses(&answers), BTreeMap::from([(200, 8)]));
    assert_eq!(site.runs(0).await.len(), before);
    // The scheduler chose the other engine, and not only the hosts by themselves.
    assert!(assigned(&scheduler).await + assigned(&other).await > assigned_before);
}

/// Guards against a scheduler that depends on the store.
#[actix_rt::test]
async fn slots_are_assigned_while_the_store_fails() {
    let site = site_with_engines(2).await;
    let (scheduler, other) = start_two(&site).await;
    let faults = StoreFaults {
        refuse: true,
        ..StoreFaults::default()
    };
    site.set_store_faults(&faults).await;
    let before = assigned(&other).await + assigned(&scheduler).await;
    let answers = send_turns(&[&scheduler, &other], "outage", 8).await;
    assert_eq!(statuses(&answers), BTreeMap::from([(200, 8)]));
    assert!(assigned(&other).await + assigned(&scheduler).await > before);
}

/// Guards against costs for deployments that did not ask for the scheduling of engines.
#[actix_rt::test]
async fn no_datagrams_are_sent_where_scheduling_is_not_in_effect() {
    let site = Site::start();
    let gateways = site.start_two_ready_gateways().await;
    for gateway in &gateways {
        gateway.wait_for_peers(1).await;
    }
    let [a, b] = &gateways;
    let answers = send_turns(&[a, b], "plain", 12).await;
    assert_eq!(statuses(&answers), BTreeMap::from([(200, 12)]));
    assert_eq!(datagrams(a).await + datagrams(b).await, 0);
    assert_eq!(bypasses(a).await + bypasses(b).await, 0);
}

/// Guards against a deployment without customers whose engines of unequal speed are not
/// scheduled.
#[actix_rt::test]
async fn engines_that_report_a_speed_are_scheduled_without_customers() {
    assert_scheduled_at_speed(170).await;
}

/// Guards against engines that are not scheduled because all report the usual speed.
#[actix_rt::test]
async fn engines_that_report_the_usual_speed_are_scheduled_without_customers() {
    assert_scheduled_at_speed(100).await;
}

async fn assert_scheduled_at_speed(work_time_percent: u32) {
    let mut site = site_with_engines(2).await;
    site.gateway_settings.clear();
    site.store.put("op", "config", &routes(1));
    for index in engines(&site) {
        let faults = BackendFaults {
            delay_ms: DELAY_MS,
            work_time_percent: Some(work_time_percent),
            ..BackendFaults::default()
        };
        site.set_endpoint_faults(index, &faults).await;
    }
    let (scheduler, other) = start_two_with_turns(&site).await;
    let before = assigned(&scheduler).await + assigned(&other).await;
    let answers = send_turns(&[&scheduler, &other], "speed", 8).await;
    assert_eq!(statuses(&answers), BTreeMap::from([(200, 8)]));
    assert!(assigned(&scheduler).await + assigned(&other).await > before);
    assert!(datagrams(&other).await > 0);
}

/// Does the same as [`start_two`] where scheduling begins only after an engine has
/// reported its speed.
async fn start_two_with_turns(site: &Site) -> (Gateway, Gateway) {
    let gateways = site.start_two_ready_gateways().await;
    for gateway in &gateways {
        gateway.wait_for_peers(1).await;
    }
    let [a, b] = gateways;
    wait_until_scheduled(&[&a, &b], "speed-start").await;
    match schedules(&a).await {
        true => (a, b),
        false => (b, a),
    }
}

/// Guards against a setting that does not take effect.
#[actix_rt::test]
async fn local_selection_sends_no_datagrams() {
    let site = site_with_engines(2).await;
    let start = || {
        Gateway::start_with_customers(
            site.store_listener.address(),
            "[scheduling]\nengines = local\n",
        )
    };
    let gateways = [start(), start()];
    for gateway in &gateways {
        gateway.wait_until_ready().await;
        gateway.wait_for_peers(1).await;
    }
    let [a, b] = &gateways;
    let answers = send_turns(&[a, b], "local", 12).await;
    assert_eq!(statuses(&answers), BTreeMap::from([(200, 12)]));
    assert_eq!(datagrams(a).await + datagrams(b).await, 0);
    assert!(!schedules(a).await && !schedules(b).await);
}

/// Guards against turns that hang where the chosen gateway has a version that answers no
/// message about engines.
#[actix_rt::test]
async fn a_gateway_that_answers_no_message_is_left_out() {
    let site = site_with_engines(2).await;
    let silent = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let row = row_id("silent");
    // It has by far the largest processor share, so it is the only one that may schedule.
    let peer = json!({
        "host": "silent",
        "availability_zone": "newport-hall",
        "relay": silent.local_addr().unwrap(),
        "holder": "silent/1",
        "processor_milli": 64_000,
        "fences_escrow": true,
    });
    site.store.put(&row.table, &row.key, &peer);
    let gateway = site.start_ready_gateway().await;
    gateway.wait_for_peers(1).await;
    let answers = send_turns(&[&gateway], "mixed", 6).await;
    assert_eq!(statuses(&answers), BTreeMap::from([(200, 6)]));
    let events = gateway.events("scheduler-avoided");
    assert!(events.iter().all(|event| event["peer"] == "silent"));
    assert!(!events.is_empty());
    let answers = send_turns(&[&gateway], "later", 6).await;
    assert_eq!(statuses(&answers), BTreeMap::from([(200, 6)]));
    assert!(counter(&gateway, "engine_bypasses", "reason", "no-scheduler").await > 0);
}

/// Guards against turns that are held until their deadline although they cannot be served,
/// and against programs that start while turns of others wait too long.
#[actix_rt::test]
async fn turns_and_programs_that_cannot_be_served_are_refused_at_once() {
    let site = site_with_engines(1).await;
    let gateway = site.start_ready_gateway().await;
    wait_until("the gateway schedules", async || schedules(&gateway).await).await;
    wait_until_scheduled(&[&gateway], "start").await;
    set_delay(&site, 0, 200).await;
    let front = gateway.front;
    let busy = actix_rt::spawn(async move {
        join_all((0..10).map(|number| async move {
            let attempt = format!("busy-{number}");
            turn(&attempt).send(front).await.status
        }))
        .await
    });
    wait_until("turns wait", async || {
        gateway.metric("engine_queue").await == 8
    })
    .await;
    let late = turn("late").header("deadline-ms", "60").send(front).await;
    assert_eq!(reason(&late), "too-late");
    let program = TestRequest::turn("start", "p1", "first|");
    let program = program.header("authorization", &format!("Bearer {KEY}"));
    let refused = program.send(front).await;
    assert_eq!(reason(&refused), "overloaded");
    assert!(refused.retry_after_s().is_some());
    assert_eq!(
        counter(&gateway, "engine_starts", "reason", "no-capacity").await,
        1
    );
    let steps = gateway.events("start-decided");
    assert!(
        steps.iter().any(|step| step["attempt"] == "start"),
        "{steps:?}"
    );
    busy.await.unwrap();
    assert_eq!(site.run_count("late").await, 0);
    assert_eq!(site.run_count("start").await, 0);
}

fn reason(answer: &TestResponse) -> String {
    assert_eq!(answer.status, 503, "{}", answer.body);
    let problem: Value = serde_json::from_str(&answer.body).unwrap();
    assert_eq!(problem["ran"], "no");
    problem["reason"].as_str().unwrap().to_owned()
}

/// A scheduler that a test plays, and the requests and releases that it got.
struct FakeScheduler {
    messages: Arc<Mutex<Vec<SchedulerMessage>>>,
}

impl FakeScheduler {
    /// Starts a scheduler that answers each first `place` message of a request with
    /// `decide`, which gets the number of requests before it.
    fn start(
        site: &Site,
        decide: impl Fn(usize, &PlacementRequest) -> PlacementOutcome + Send + 'static,
    ) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        let row = row_id("fake");
        // It has by far the largest processor share, so it is the only one that may schedule.
        let peer = json!({
            "host": "fake",
            "availability_zone": "newport-hall",
            "relay": socket.local_addr().unwrap(),
            "holder": "fake/1",
            "processor_milli": 64_000,
            "fences_escrow": true,
        });
        site.store.put(&row.table, &row.key, &peer);
        let messages = Arc::new(Mutex::new(Vec::new()));
        let received = Arc::clone(&messages);
        std::thread::spawn(move || {
            let mut numbers = Vec::new();
            let mut datagram = [0; 8_192];
            while let Ok((length, from)) = socket.recv_from(&mut datagram) {
                let Some(json) = datagram[..length].strip_prefix(&DATAGRAM_PREFIX) else {
                    continue;
                };
                let message: SchedulerMessage = serde_json::from_slice(json).unwrap();
                received.lock().unwrap().push(message.clone());
                let MessageContent::Place(request) = &message.content else {
                    continue;
                };
                if numbers.contains(&request.number) {
                    continue;
                }
                let outcome = decide(numbers.len(), request);
                numbers.push(request.number);
                let answer = SchedulerMessage {
                    from: message.to,
                    to: message.from,
                    group: message.group,
                    content: MessageContent::Placed {
                        number: request.number,
                        outcome,
                        status: GroupStatus::default(),
                    },
                };
                let mut datagram = DATAGRAM_PREFIX.to_vec();
                serde_json::to_writer(&mut datagram, &answer).unwrap();
                socket.send_to(&datagram, from).unwrap();
            }
        });
        Self { messages }
    }

    /// Returns the number and the excluded engines of each request, without repetitions.
    fn requests(&self) -> Vec<(u64, Vec<String>)> {
        let messages = self.messages.lock().unwrap();
        let requests = messages
            .iter()
            .filter_map(|message| match &message.content {
                MessageContent::Place(request) => Some((request.number, request.excluded.clone())),
                _ => None,
            });
        let mut requests: Vec<(u64, Vec<String>)> = requests.collect();
        requests.dedup();
        requests
    }

    /// Returns how many times a request was released.
    fn releases(&self, number: u64) -> usize {
        let messages = self.messages.lock().unwrap();
        let released = messages
            .iter()
            .filter_map(|message| match &message.content {
                MessageContent::Release(released) => Some(released),
                _ => None,
            });
        released
            .flatten()
            .filter(|released| released.number == number)
            .count()
    }
}

fn identity(site: &Site, index: usize) -> EndpointIdentity {
    EndpointIdentity {
        instance: site.endpoints[index].instance.clone(),
        started_ms: Some(FIRST_START_MS),
    }
}

/// Makes an engine refuse its next request as not run.
async fn refuse_next(site: &Site, index: usize) {
    let faults = BackendFaults {
        delay_ms: DELAY_MS,
        refuse: 1,
        ..BackendFaults::default()
    };
    site.set_endpoint_faults(index, &faults).await;
}

async fn start_with_fake(site: &Site) -> Gateway {
    let gateway = site.start_ready_gateway().await;
    gateway.wait_for_peers(1).await;
    gateway
}

/// Guards against turns that are sent to an engine that leaves because the scheduler does
/// not know it yet, and against the slot of such a turn, which nobody releases.
#[actix_rt::test]
async fn an_assigned_engine_that_leaves_is_rejected_and_excluded() {
    let site = site_with_engines(2).await;
    announce(&site, engines(&site)[0], "draining");
    let models = engines(&site);
    let assigned = [identity(&site, models[0]), identity(&site, models[1])];
    let leaving = assigned[0].instance.clone();
    let fake = FakeScheduler::start(&site, move |before, _| {
        PlacementOutcome::Assigned(assigned[before.min(1)].clone())
    });
    let gateway = start_with_fake(&site).await;
    assert_eq!(turn("leaving").send(gateway.front).await.status, 200);
    assert!(site.runs(models[0]).await.is_empty());
    let requests = fake.requests();
    assert_eq!(requests.len(), 2, "{requests:?}");
    assert_eq!(requests[1].1, [leaving]);
    wait_until("the rejected slot is released", async || {
        fake.releases(requests[0].0) == 1
    })
    .await;
}

/// Guards against a turn that is sent again to an engine that refused it.
#[actix_rt::test]
async fn a_tried_engine_is_rejected() {
    let site = site_with_engines(2).await;
    refuse_next(&site, engines(&site)[0]).await;
    let models = engines(&site);
    let assigned = [identity(&site, models[0]), identity(&site, models[1])];
    let fake = FakeScheduler::start(&site, move |before, _| {
        PlacementOutcome::Assigned(assigned[before / 2].clone())
    });
    let gateway = start_with_fake(&site).await;
    assert_eq!(turn("tried").send(gateway.front).await.status, 200);
    assert!(site.runs(models[0]).await.is_empty());
    assert_eq!(site.runs(models[1]).await.len(), 1);
    assert_eq!(fake.requests().len(), 3);
}

/// Guards against the refusal of a turn that was already sent to an engine.
#[actix_rt::test]
async fn a_turn_that_was_sent_is_not_refused_as_too_late() {
    let site = site_with_engines(2).await;
    refuse_next(&site, engines(&site)[0]).await;
    let engine = identity(&site, engines(&site)[0]);
    let fake = FakeScheduler::start(&site, move |before, _| match before {
        0 => PlacementOutcome::Assigned(engine.clone()),
        _ => PlacementOutcome::Refused {
            reason: PlacementRefusal::CannotEndInTime,
            retry_after_ms: 0,
        },
    });
    let gateway = start_with_fake(&site).await;
    assert_eq!(turn("sent").send(gateway.front).await.status, 200);
    assert_eq!(fake.requests().len(), 2);
    let reason = "cannot-end-in-time";
    assert_eq!(
        counter(&gateway, "engine_bypasses", "reason", reason).await,
        1
    );
}

/// Guards against a slot that is assigned after its turn has ended and that nobody
/// releases.
#[actix_rt::test]
async fn a_late_assignment_is_released() {
    let site = site_with_engines(2).await;
    let engine = identity(&site, engines(&site)[0]);
    let fake = FakeScheduler::start(&site, move |_, _| {
        std::thread::sleep(Duration::from_millis(1_000));
        PlacementOutcome::Assigned(engine.clone())
    });
    let gateway = start_with_fake(&site).await;
    assert_eq!(turn("late").send(gateway.front).await.status, 200);
    // The first release is that of the turn's end.
    wait_until("the late slot is released", async || {
        let requests = fake.requests();
        requests
            .first()
            .is_some_and(|(number, _)| fake.releases(*number) == 2)
    })
    .await;
}
