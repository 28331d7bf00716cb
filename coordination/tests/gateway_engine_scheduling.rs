//! Tests the choice of the gateway that schedules a group of engines, the choice of the
//! group, and the client state of a host, without network or clock.

use std::collections::HashMap;
use std::time::Duration;

use rosebend_coordination::gateway::admission::Urgency;
use rosebend_coordination::gateway::batchers::PeerHost;
use rosebend_coordination::gateway::engine_scheduler::client::{
    Answer, Delivery, Outgoing, Question, SchedulerClient, Step,
};
use rosebend_coordination::gateway::engine_scheduler::message::{
    AdmissionOutcome, AdmissionRequest, GroupId, GroupStatus, HeldPlacement, MessageContent,
    PlacementOutcome, PlacementRequest, ReleasedPlacement, SchedulerMessage,
};
use rosebend_coordination::gateway::engine_scheduler::placement_history::PlacementHistory;
use rosebend_coordination::gateway::engine_scheduler::schedulers::Schedulers;
use rosebend_coordination::gateway::engine_scheduler::{EngineScheduler, EngineState};
use rosebend_state::deployment::EndpointIdentity;

const ZONES: [&str; 2] = ["east", "west"];
const OWN: &str = "client/1";

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn host(name: &str, processor_milli: u32) -> PeerHost<u16> {
    PeerHost {
        host: name.to_owned(),
        process: format!("{name}/1"),
        address: 1,
        processor_milli,
    }
}

/// Returns five strong hosts and one weak one in each zone.
fn zones() -> HashMap<String, Vec<PeerHost<u16>>> {
    let hosts = |zone: &str| {
        let strong = (0..5).map(|number| host(&format!("{zone}-{number}"), 500));
        let weak = std::iter::once(host(&format!("{zone}-weak"), 249));
        strong.chain(weak).collect()
    };
    ZONES
        .iter()
        .map(|zone| ((*zone).to_owned(), hosts(zone)))
        .collect()
}

fn client() -> SchedulerClient<u16> {
    let mut client = SchedulerClient::new(OWN.to_owned(), "east".to_owned());
    client.set_hosts(zones());
    client
}

fn group(zone: &str) -> GroupId {
    GroupId {
        service: "models".to_owned(),
        availability_zone: zone.to_owned(),
    }
}

fn engine(name: &str) -> EndpointIdentity {
    EndpointIdentity::unknown_start(name)
}

fn placement(number: u64) -> PlacementRequest {
    PlacementRequest {
        number,
        customer: None,
        program: 7,
        priority: Urgency::Normal,
        objective_ms: 400,
        turn_remaining_ms: 5_000,
        program_remaining_ms: None,
        expected_output_tokens: None,
        warm_engine: None,
        warm_tokens: 0,
        excluded: Vec::new(),
    }
}

fn open_turn(client: &mut SchedulerClient<u16>, now: Duration) -> u64 {
    open_in(client, "east", now)
}

fn open_in(client: &mut SchedulerClient<u16>, zone: &str, now: Duration) -> u64 {
    let question = |number| Question::Place(placement(number));
    client.open(&group(zone), question, now).unwrap()
}

fn sent(step: Step<u16>) -> Outgoing<u16> {
    match step {
        Step::Send(outgoing) => *outgoing,
        other => panic!("no message is sent: {other:?}"),
    }
}

fn asked(client: &SchedulerClient<u16>, number: u64) -> String {
    client.asked(number).unwrap().process.clone()
}

fn assigned() -> Answer {
    Answer::Placed(PlacementOutcome::Assigned(engine("e1")))
}

fn queued() -> Answer {
    Answer::Placed(PlacementOutcome::Queued {
        expected_wait_ms: 30,
    })
}

fn status(free_slots: u32, expected_wait_ms: u64) -> GroupStatus {
    GroupStatus {
        free_slots,
        waiting: 3,
        expected_wait_ms,
    }
}

/// Guards against messages that hosts of one version encode differently from what they
/// decode, and against a turn that costs more bytes than `docs/CAPACITY.md` states.
#[test]
fn messages_round_trip_and_are_small() {
    let engine = EndpointIdentity {
        instance: "i-0123456789abcdef0".to_owned(),
        started_ms: Some(1_764_720_000_000),
    };
    let mut request = placement(123_456);
    request.program = u64::MAX;
    request.customer = Some("a-customer".to_owned());
    request.expected_output_tokens = Some(385);
    let warm = PlacementRequest {
        warm_engine: Some(engine.clone()),
        warm_tokens: 2_000,
        ..request.clone()
    };
    let held = HeldPlacement {
        number: 123_456,
        engine: Some(engine.clone()),
    };
    let contents = [
        (MessageContent::Place(request), 380),
        (MessageContent::Place(warm), 440),
        (
            MessageContent::Placed {
                number: 123_456,
                outcome: PlacementOutcome::Assigned(engine),
                status: status(12, 0),
            },
            320,
        ),
        (
            MessageContent::Release(vec![ReleasedPlacement {
                number: 123_456,
                first_event_ms: Some(31),
            }]),
            210,
        ),
        (MessageContent::Held(vec![held; 10]), 850),
        (MessageContent::Status(status(12, 0)), 220),
    ];
    for (content, max_bytes) in contents {
        let message = SchedulerMessage {
            from: "gateway-123/0123456789abcdef".to_owned(),
            to: "gateway-321/fedcba9876543210".to_owned(),
            group: group("availability-zone-1"),
            content,
        };
        let encoded = serde_json::to_vec(&message).unwrap();
        let decoded: SchedulerMessage = serde_json::from_slice(&encoded).unwrap();
        assert_eq!(decoded, message);
        println!("{} bytes: {:?}", encoded.len() + 2, message.content);
        assert!(encoded.len() + 2 <= max_bytes, "{}", encoded.len());
    }
}

/// Largest datagram that gateways receive, without its prefix.
const RECEIVED_BYTES: usize = 8_192 - 2;

/// Returns an engine with an id of 120 bytes, the longest that endpoints may have.
fn long_engine(number: usize) -> EndpointIdentity {
    EndpointIdentity {
        instance: format!("engine-{number:0113}"),
        started_ms: Some(1_764_720_000_000),
    }
}

fn encoded_bytes(outgoing: &Outgoing<u16>) -> usize {
    serde_json::to_vec(&outgoing.message).unwrap().len()
}

/// Guards against reports that are longer than the datagrams that gateways receive, and
/// against reports of only a part of the running turns, which would end the others.
#[test]
fn a_report_of_long_ids_fits_into_a_datagram_and_names_every_running_turn() {
    for (running, waiting, is_reported) in [
        (10, 20, true),
        (35, 400, true),
        (100, 0, false),
        (400, 0, false),
    ] {
        let mut client = client();
        let mut held = Vec::new();
        // The waiting turns are the older ones.
        for number in 0..waiting + running {
            let request = open_turn(&mut client, ms(0));
            sent(client.next_step(request, ms(0)));
            if number < waiting {
                let scheduler = asked(&client, request);
                client.record_answer(&scheduler, request, queued(), ms(1));
            } else {
                client.hold(request, long_engine(number));
                held.push(request);
            }
        }
        let reports = client.due_reports(ms(300));
        assert_eq!(
            reports.len(),
            usize::from(is_reported),
            "{running} {waiting}"
        );
        for report in reports {
            assert!(encoded_bytes(&report) <= RECEIVED_BYTES);
            let MessageContent::Held(reported) = report.message.content else {
                panic!("no report: {:?}", report.message);
            };
            let is_running = |placement: &&HeldPlacement| placement.engine.is_some();
            let running: Vec<u64> = reported
                .iter()
                .filter(is_running)
                .map(|p| p.number)
                .collect();
            assert_eq!(running, held);
            if waiting == 20 {
                assert_eq!(reported.len(), 30);
            }
        }
    }
}

/// Guards against requests with many excluded engines that are longer than the datagrams
/// that gateways receive.
#[test]
fn a_request_with_many_excluded_engines_fits_into_a_datagram() {
    let mut client = client();
    let excluded: Vec<String> = (0..720)
        .map(|number| long_engine(number).instance)
        .collect();
    let question = |number| {
        Question::Place(PlacementRequest {
            excluded: excluded.clone(),
            warm_engine: Some(long_engine(0)),
            ..placement(number)
        })
    };
    let number = client.open(&group("east"), question, ms(0)).unwrap();
    let outgoing = sent(client.next_step(number, ms(0)));
    assert!(encoded_bytes(&outgoing) <= RECEIVED_BYTES);
    let MessageContent::Place(request) = outgoing.message.content else {
        panic!("no request: {:?}", outgoing.message);
    };
    // The tried engines come first.
    assert!(request.excluded.len() > 50);
    assert_eq!(request.excluded, excluded[..request.excluded.len()]);
}

/// Guards against weak hosts and hosts of other zones that schedule a group, and against
/// hosts that disagree although they know the same hosts.
#[test]
fn hosts_that_know_the_same_gateways_choose_the_same_strong_one_of_the_zone() {
    let mut schedulers = Schedulers::default();
    schedulers.set_hosts(zones());
    let mut chosen = std::collections::BTreeSet::new();
    for number in 0..64 {
        for zone in ZONES {
            let group = GroupId {
                service: format!("models-{number}"),
                availability_zone: zone.to_owned(),
            };
            let scheduler = schedulers.scheduler(&group, ms(0)).unwrap();
            assert!(scheduler.host.starts_with(zone));
            assert!(!scheduler.host.ends_with("weak"));
            chosen.insert(scheduler.host.clone());
            let mut reversed = zones();
            reversed.values_mut().for_each(|hosts| hosts.reverse());
            let mut other = Schedulers::default();
            other.set_hosts(reversed);
            assert_eq!(other.scheduler(&group, ms(0)), Some(scheduler));
        }
    }
    assert_eq!(
        chosen.len(),
        10,
        "the groups are spread over all strong hosts"
    );
    assert_eq!(schedulers.scheduler(&group("north"), ms(0)), None);
}

/// Guards against hosts whose tables differ for a while: a host that one of them does not
/// know moves only its own groups.
#[test]
fn two_tables_that_differ_in_one_host_agree_on_the_other_groups() {
    let mut complete = Schedulers::default();
    complete.set_hosts(zones());
    let mut lacking = Schedulers::default();
    let mut known = zones();
    known.get_mut("east").unwrap().remove(0);
    lacking.set_hosts(known);
    for number in 0..200 {
        let group = GroupId {
            service: format!("models-{number}"),
            availability_zone: "east".to_owned(),
        };
        let by_complete = complete.scheduler(&group, ms(0)).unwrap();
        let by_lacking = lacking.scheduler(&group, ms(0)).unwrap();
        assert_ne!(by_lacking.host, "east-0");
        if by_complete.host != "east-0" {
            assert_eq!(by_complete, by_lacking);
        }
    }
}

/// Guards against turns that wait for a silent scheduler, and against one that is asked
/// again by every turn.
#[test]
fn a_silent_scheduler_is_left_out_and_the_next_of_the_order_is_asked() {
    let mut client = client();
    let number = open_turn(&mut client, ms(0));
    let first = asked(&client, number);
    let other = open_turn(&mut client, ms(30));
    for at in [0, 20, 40] {
        let outgoing = sent(client.next_step(number, ms(at)));
        assert_eq!(outgoing.message.to, first);
        assert_eq!(client.next_step(number, ms(at)), Step::Wait(ms(20)));
    }
    sent(client.next_step(other, ms(30)));
    let silent = client.next_step(number, ms(60));
    assert_eq!(silent, Step::Silent(Some(Duration::from_secs(1))));
    // Other turns that have no answer do not wait for their own timeout.
    assert_eq!(client.next_step(other, ms(60)), Step::Silent(None));
    let next = open_turn(&mut client, ms(61));
    let second = asked(&client, next);
    assert_ne!(second, first);
    sent(client.next_step(next, ms(61)));
    let delivery = client.record_answer(&second, next, assigned(), ms(63));
    assert_eq!(delivery, Delivery::Accepted);
    assert_eq!(client.next_step(next, ms(63)), Step::Answered(assigned()));
    let later = open_turn(&mut client, ms(1_061));
    assert_eq!(asked(&client, later), first);
}

/// Guards against a host that did not run for a while and takes the scheduler for silent
/// although the answer has arrived meanwhile.
#[test]
fn a_host_that_was_paused_sends_again_before_it_gives_up() {
    let mut client = client();
    let number = open_turn(&mut client, ms(0));
    let scheduler = asked(&client, number);
    sent(client.next_step(number, ms(0)));
    sent(client.next_step(number, ms(900)));
    client.record_answer(&scheduler, number, assigned(), ms(901));
    assert_eq!(
        client.next_step(number, ms(901)),
        Step::Answered(assigned())
    );
}

/// Guards against turns that are withdrawn from the queue because they are not repeated,
/// and against a scheduler that dies while turns wait.
#[test]
fn a_waiting_turn_repeats_its_request_and_notices_silence() {
    let mut client = client();
    let number = open_turn(&mut client, ms(0));
    let scheduler = asked(&client, number);
    let first = sent(client.next_step(number, ms(0)));
    client.record_answer(&scheduler, number, queued(), ms(2));
    assert_eq!(client.next_step(number, ms(2)), Step::Wait(ms(100)));
    let repeated = sent(client.next_step(number, ms(102)));
    assert_eq!(repeated, first);
    client.record_answer(&scheduler, number, queued(), ms(104));
    for at in [204, 224, 244] {
        sent(client.next_step(number, ms(at)));
    }
    assert!(matches!(
        client.next_step(number, ms(264)),
        Step::Silent(Some(_))
    ));
}

/// Guards against a scheduler that is slow once and loses its whole queue to the engines.
#[test]
fn waiting_turns_keep_their_place_while_a_slow_scheduler_is_left_out() {
    let mut client = client();
    let waiting = open_turn(&mut client, ms(0));
    let scheduler = asked(&client, waiting);
    sent(client.next_step(waiting, ms(0)));
    client.record_answer(&scheduler, waiting, queued(), ms(2));
    let new = open_turn(&mut client, ms(35));
    for at in [35, 55, 75] {
        sent(client.next_step(new, ms(at)));
    }
    assert!(matches!(client.next_step(new, ms(95)), Step::Silent(_)));
    client.hold(new, engine("e2"));
    sent(client.next_step(waiting, ms(102)));
    assert_eq!(client.next_step(waiting, ms(102)), Step::Wait(ms(20)));
    // Any answer ends the backoff.
    client.record_answer(&scheduler, new, assigned(), ms(110));
    let next = open_turn(&mut client, ms(111));
    assert_eq!(asked(&client, next), scheduler);
}

/// Guards against two slots for one turn if an answer is lost.
#[test]
fn a_repeated_request_gets_the_same_answer() {
    let mut scheduler = scheduler_with(&["e1", "e2"], 1);
    let first = scheduler.place(&OWN.to_owned(), &placement(1), ms(600));
    let repeated = scheduler.place(&OWN.to_owned(), &placement(1), ms(620));
    assert!(matches!(first, PlacementOutcome::Assigned(_)));
    assert_eq!(first, repeated);
    assert_eq!(scheduler.status(ms(620)).free_slots, 1);
}

fn scheduler_with(engines: &[&str], slots: u32) -> EngineScheduler {
    let mut scheduler = EngineScheduler::new();
    let states = engines.iter().map(|name| EngineState {
        identity: engine(name),
        slots,
        work_time_percent: 100,
        unplaced_requests: 0,
        is_avoided: false,
    });
    scheduler.set_engines(states.collect(), ms(0));
    scheduler.advance(ms(300));
    scheduler
}

/// Guards against a slot that stays in use for ever after its release was lost.
#[test]
fn a_lost_release_is_corrected_by_a_report() {
    let mut scheduler = scheduler_with(&["e1"], 1);
    let mut client = client();
    let number = open_turn(&mut client, ms(600));
    let process = asked(&client, number);
    let MessageContent::Place(request) = sent(client.next_step(number, ms(600))).message.content
    else {
        panic!("the message asks for a slot");
    };
    let own = OWN.to_owned();
    let outcome = scheduler.place(&own, &request, ms(601));
    client.record_answer(&process, number, Answer::Placed(outcome), ms(602));
    let report = |client: &mut SchedulerClient<u16>, now| {
        let reports = client.due_reports(now);
        assert_eq!(reports.len(), 1);
        let MessageContent::Held(held) = reports[0].message.content.clone() else {
            panic!("the message is a report");
        };
        held
    };
    let held = report(&mut client, ms(850));
    let expected = HeldPlacement {
        number,
        engine: Some(engine("e1")),
    };
    assert_eq!(held, [expected]);
    scheduler.report_held(&own, &held, ms(851));
    scheduler.advance(ms(851));
    assert_eq!(scheduler.status(ms(851)).free_slots, 0);
    // The release is lost.
    assert_eq!(client.close(number, Some(30), ms(900)).len(), 1);
    let held = report(&mut client, ms(1_100));
    assert!(held.is_empty());
    scheduler.report_held(&own, &held, ms(1_101));
    scheduler.advance(ms(1_101));
    assert_eq!(scheduler.status(ms(1_101)).free_slots, 1);
}

/// Guards against reports of hosts that do not use a scheduler.
#[test]
fn reports_end_two_seconds_after_the_last_use() {
    let mut client = client();
    assert!(client.due_reports(ms(0)).is_empty());
    let number = open_turn(&mut client, ms(0));
    sent(client.next_step(number, ms(0)));
    client.hold(number, engine("e1"));
    let reports = (0..100).map(|step| client.due_reports(ms(step * 50)).len());
    // A turn that runs is reported for as long as it runs.
    assert_eq!(reports.sum::<usize>(), 19);
    assert_eq!(client.close(number, None, ms(5_000)).len(), 1);
    assert!(client.due_reports(ms(5_000)).is_empty());
    let next = open_turn(&mut client, ms(6_000));
    client.close(next, None, ms(6_000));
    let reports = (0..100).map(|step| client.due_reports(ms(6_000 + step * 50)).len());
    assert_eq!(reports.sum::<usize>(), 8);
}

/// Guards against a new scheduler that does not know which turns run, and against its
/// reports that go to a scheduler which is left out.
#[test]
fn placements_are_reported_to_the_scheduler_that_takes_over() {
    let mut client = client();
    let number = open_turn(&mut client, ms(0));
    let first = asked(&client, number);
    for at in [0, 20, 40] {
        sent(client.next_step(number, ms(at)));
    }
    client.next_step(number, ms(60));
    // The host selects the engine itself.
    client.hold(number, engine("e2"));
    let reports = client.due_reports(ms(300));
    assert_ne!(reports[0].message.to, first);
    let held = HeldPlacement {
        number,
        engine: Some(engine("e2")),
    };
    assert_eq!(reports[0].message.content, MessageContent::Held(vec![held]));
}

/// Guards against slots that nobody releases: the answer arrives after the turn has left.
#[test]
fn a_slot_that_is_assigned_too_late_is_released() {
    let mut client = client();
    let number = open_turn(&mut client, ms(0));
    let scheduler = asked(&client, number);
    sent(client.next_step(number, ms(0)));
    let releases = client.close(number, None, ms(8));
    let [release] = releases.as_slice() else {
        panic!("not one release: {releases:?}");
    };
    let expected = MessageContent::Release(vec![ReleasedPlacement {
        number,
        first_event_ms: None,
    }]);
    assert_eq!(release.message.content, expected);
    let delivery = client.record_answer(&scheduler, number, assigned(), ms(9));
    assert_eq!(delivery, Delivery::Late);
    let release = client.release_late(&group("east"), &scheduler, number);
    assert_eq!(release.content, expected);
    assert_eq!(release.to, scheduler);
}

/// Guards against answers of a process that was not asked, and against releases of
/// nothing.
#[test]
fn answers_of_other_processes_are_ignored() {
    let mut client = client();
    let number = open_turn(&mut client, ms(0));
    sent(client.next_step(number, ms(0)));
    let delivery = client.record_answer(&"east-9/1".to_owned(), number, assigned(), ms(1));
    assert_eq!(delivery, Delivery::Ignored);
    assert_eq!(client.next_step(number, ms(1)), Step::Wait(ms(19)));
    let admit = |number| {
        Question::Admit(AdmissionRequest {
            number,
            customer: None,
            program: 7,
            priority: Urgency::Route,
            objective_ms: 200,
            turn_remaining_ms: 2_000,
            program_remaining_ms: None,
        })
    };
    let admission = client.open(&group("east"), admit, ms(2)).unwrap();
    sent(client.next_step(admission, ms(2)));
    let scheduler = asked(&client, admission);
    let admitted = Answer::Admitted(AdmissionOutcome::Admitted);
    client.record_answer(&scheduler, admission, admitted.clone(), ms(3));
    assert_eq!(client.next_step(admission, ms(3)), Step::Answered(admitted));
    assert_eq!(client.close(admission, None, ms(3)), []);
    assert_eq!(client.open_requests(), 1);
}

/// Guards against turns that wait in their own zone while another one is free, and
/// against turns that change the zone for nothing.
#[test]
fn the_group_is_chosen_by_the_warm_engine_and_the_last_statuses() {
    let mut client = client();
    for zone in ZONES {
        open_in(&mut client, zone, ms(0));
    }
    let record = |client: &mut SchedulerClient<u16>, zone, status, now| {
        let scheduler = client.schedulers().scheduler(&group(zone), now).unwrap();
        let process = scheduler.process.clone();
        client.record_status(&process, &group(zone), status, now);
    };
    let service = "models".to_owned();
    let zones = ["east", "west", "north"].map(str::to_owned);
    let first = |client: &SchedulerClient<u16>, warm: Option<&str>, now| {
        let warm = warm.map(str::to_owned);
        let groups = client.groups_to_ask(&service, &zones, warm.as_ref(), now);
        // The zone without gateways has no scheduler.
        assert_eq!(groups.len(), 2);
        groups[0].availability_zone.clone()
    };
    assert_eq!(first(&client, None, ms(0)), "east");
    assert_eq!(first(&client, Some("west"), ms(0)), "west");
    record(&mut client, "east", status(0, 40), ms(0));
    // Nothing is known of the other group.
    assert_eq!(first(&client, None, ms(0)), "east");
    record(&mut client, "west", status(0, 28), ms(0));
    assert_eq!(first(&client, None, ms(0)), "east");
    record(&mut client, "west", status(0, 27), ms(0));
    assert_eq!(first(&client, None, ms(1_000)), "west");
    assert_eq!(first(&client, None, ms(1_001)), "east");
    record(&mut client, "east", status(1, 40), ms(1_001));
    record(&mut client, "west", status(5, 0), ms(1_001));
    assert_eq!(first(&client, None, ms(1_001)), "east");
    record(&mut client, "west", status(0, 90), ms(1_002));
    assert_eq!(first(&client, Some("west"), ms(1_002)), "east");
}

/// Guards against statuses that a process which does not schedule the group sends, and
/// against statuses of groups that are not used, whose number has no bound.
#[test]
fn statuses_are_accepted_only_for_used_groups_from_their_scheduler() {
    let mut client = client();
    let scheduler = |client: &SchedulerClient<u16>, zone| {
        let scheduler = client.schedulers().scheduler(&group(zone), ms(0));
        scheduler.unwrap().process.clone()
    };
    let (east, west) = (scheduler(&client, "east"), scheduler(&client, "west"));
    open_turn(&mut client, ms(0));
    client.record_status(&west, &group("west"), status(9, 0), ms(1));
    assert_eq!(client.status(&group("west"), ms(1)), None);
    client.record_status(&west, &group("east"), status(9, 0), ms(1));
    assert_eq!(client.status(&group("east"), ms(1)), None);
    client.record_status(&east, &group("east"), status(9, 0), ms(1));
    assert_eq!(
        client.status(&group("east"), ms(1)),
        Some((status(9, 0), ms(0)))
    );
}

/// Guards against sums that overflow with the numbers of a datagram.
#[test]
fn a_status_with_the_largest_numbers_changes_nothing() {
    let mut client = client();
    for zone in ZONES {
        open_in(&mut client, zone, ms(0));
        let scheduler = client.schedulers().scheduler(&group(zone), ms(0)).unwrap();
        let process = scheduler.process.clone();
        client.record_status(&process, &group(zone), status(0, u64::MAX), ms(0));
    }
    let zones = ZONES.map(str::to_owned);
    let groups = client.groups_to_ask(&"models".to_owned(), &zones, None, ms(0));
    assert_eq!(groups, [group("east"), group("west")]);
}

/// Guards against a scheduler that is starting and whose status, that of an idle group,
/// attracts the turns of other zones.
#[test]
fn only_answers_of_a_scheduler_that_learns_are_unavailable() {
    assert!(Answer::Placed(PlacementOutcome::Unavailable).is_unavailable());
    assert!(Answer::Admitted(AdmissionOutcome::Unavailable).is_unavailable());
    assert!(!Answer::Admitted(AdmissionOutcome::Admitted).is_unavailable());
    assert!(!assigned().is_unavailable());
    assert!(!queued().is_unavailable());
}

/// Guards against a new scheduler that assigns slots before it knows which turns run, and
/// that keeps the slots of turns that have ended until the next report.
#[test]
fn a_new_scheduler_gets_a_report_at_once_and_the_releases() {
    let mut client = client();
    let number = open_turn(&mut client, ms(0));
    sent(client.next_step(number, ms(0)));
    let first = asked(&client, number);
    client.record_answer(&first, number, assigned(), ms(1));
    client.hold(number, engine("e1"));
    assert!(!client.has_new_scheduler(&group("east"), ms(10)));
    assert!(client.due_reports(ms(10)).is_empty());
    let mut hosts = zones();
    hosts
        .get_mut("east")
        .unwrap()
        .retain(|host| host.process != first);
    client.set_hosts(hosts);
    assert!(client.has_new_scheduler(&group("east"), ms(10)));
    let reports = client.due_reports(ms(10));
    let second = reports[0].message.to.clone();
    assert_ne!(second, first);
    let held = HeldPlacement {
        number,
        engine: Some(engine("e1")),
    };
    assert_eq!(reports[0].message.content, MessageContent::Held(vec![held]));
    assert!(!client.has_new_scheduler(&group("east"), ms(11)));
    assert!(client.due_reports(ms(11)).is_empty());
    let releases = client.close(number, None, ms(12)).into_iter();
    let recipients: Vec<String> = releases.map(|release| release.message.to).collect();
    assert_eq!(recipients, [first, second]);
}

/// Guards against a program that one group admitted and that is placed in another one,
/// which refused it.
#[test]
fn the_group_that_admitted_a_program_is_asked_first() {
    let all = ["east", "west", "north"].map(group);
    let mut groups = all.to_vec();
    SchedulerClient::<u16>::ask_first(&mut groups, &group("north"));
    assert_eq!(groups, [group("north"), group("east"), group("west")]);
    SchedulerClient::<u16>::ask_first(&mut groups, &group("south"));
    assert_eq!(groups, [group("north"), group("east"), group("west")]);
}

/// Guards against slots that stay empty because turns which have just ended are still in
/// the last load report, and against requests that the scheduler overlooks.
#[test]
fn requests_of_a_report_are_compared_with_the_placements_of_its_time() {
    let mut history = PlacementHistory::default();
    let engine = engine("e1");
    for (at, placements) in [(0, 0), (100, 6), (180, 2)] {
        history.record(&engine, placements, ms(at));
    }
    let unplaced =
        |requests, age, now| history.unplaced_requests(&engine, requests, ms(age), ms(now));
    assert_eq!(unplaced(6, 50, 200), 0);
    assert_eq!(unplaced(8, 50, 200), 2);
    assert_eq!(unplaced(6, 5, 400), 4);
    assert_eq!(unplaced(6, 201, 400), 0);
}
