//! Endpoints that restart under the same id. The state that a gateway keeps for an
//! endpoint belongs to one incarnation.

use std::time::Duration;

use rosebend_coordination::gateway::directory::{Directory, EndpointQuery, ListingChange};
use rosebend_coordination::gateway::history::{StoredProgram, Turn};
use rosebend_state::deployment::{EndpointIdentity, EndpointLoad, EndpointRecord, Row};

const NOW: Duration = Duration::from_secs(100);
const SOON: Duration = Duration::from_millis(100_400);
const ZONE: &str = "newport-hall";

/// Returns the identity of an incarnation of endpoint `a`.
fn incarnation(started_ms: u64) -> EndpointIdentity {
    incarnation_of("a", started_ms)
}

fn incarnation_of(instance: &str, started_ms: u64) -> EndpointIdentity {
    EndpointIdentity {
        instance: instance.to_owned(),
        started_ms: Some(started_ms),
    }
}

fn record(identity: EndpointIdentity) -> EndpointRecord {
    EndpointRecord {
        identity,
        service: "models".to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        availability_zone: ZONE.to_owned(),
        slots: 8,
        draining: false,
        warming_up: Duration::ZERO,
    }
}

/// Returns a directory that lists this incarnation of `a`, and `b`.
fn directory(started_ms: u64) -> Directory {
    let mut directory = Directory::new(ZONE.to_owned());
    directory.apply_entry(record(incarnation(started_ms)), NOW);
    directory.apply_entry(record(incarnation_of("b", 1)), NOW);
    directory
}

fn load(running: u32) -> EndpointLoad {
    EndpointLoad {
        running,
        waiting: running,
        slots: 8,
        work_time_percent: None,
    }
}

/// Returns how many of a hundred requests are sent to `a`.
fn share(directory: &Directory, query: EndpointQuery<'_>, now: Duration) -> usize {
    let is_for_a = |number: &i32| {
        let jitter_key = format!("request-{number}");
        let query = EndpointQuery {
            jitter_key: &jitter_key,
            is_turn: true,
            ..query
        };
        let selection = directory.select("models", query, now, |_| true);
        selection.unwrap().record.identity.instance == "a"
    };
    (0..100).filter(is_for_a).count()
}

/// Returns the share of a newly listed `a` while `b` is listed, too.
fn initial_share() -> usize {
    share(&directory(1), EndpointQuery::default(), NOW)
}

/// Records a high load, a high latency and many failures for an incarnation.
/// Guards against the present endpoint of an address that is taken for one that was there before.
#[test]
fn a_later_endpoint_at_the_address_is_the_successor() {
    let mut directory = directory(1);
    let address = record(incarnation(1)).address;
    assert!(!directory.has_successor(&incarnation(1), address));
    directory.apply_entry(record(incarnation_of("b", 2)), NOW);
    assert!(directory.has_successor(&incarnation(1), address));
    assert!(!directory.has_successor(&incarnation_of("b", 2), address));
}

fn record_bad_state(directory: &mut Directory, endpoint: &EndpointIdentity) {
    for _ in 0..20 {
        directory.record_request_start(endpoint);
        directory.record_response(endpoint, Some(Duration::from_secs(2)), NOW);
        directory.record_response(
            &incarnation_of("b", 1),
            Some(Duration::from_millis(20)),
            NOW,
        );
        directory.record_failure(endpoint, NOW);
        directory.record_peer_failure(endpoint, NOW);
    }
    directory.record_rejection(endpoint, NOW);
}

#[test]
fn a_restart_resets_the_state_of_an_endpoint() {
    let mut directory = directory(1);
    record_bad_state(&mut directory, &incarnation(1));
    directory.mark_invalid("a");
    assert_eq!(share(&directory, EndpointQuery::default(), SOON), 0);
    assert_eq!(
        directory.apply_entry(record(incarnation(2)), SOON),
        Some(ListingChange::Restarted)
    );
    assert_eq!(
        share(&directory, EndpointQuery::default(), SOON),
        initial_share()
    );
    assert!(directory.has_restarted(&incarnation(1)));
    assert!(!directory.contains(&incarnation(1)) && directory.contains(&incarnation(2)));
    assert_eq!(directory.address(&incarnation(1)), None);
    assert_eq!(directory.reports_since(NOW).count(), 0);
}

#[test]
fn results_of_an_earlier_incarnation_change_nothing() {
    let mut directory = directory(1);
    directory.record_request_start(&incarnation(1));
    directory.apply_entry(record(incarnation(2)), NOW);
    for _ in 0..12 {
        directory.record_request_start(&incarnation(2));
    }
    assert_eq!(share(&directory, EndpointQuery::default(), SOON), 0);
    // The requests of the earlier incarnation end, with each kind of result.
    for _ in 0..12 {
        directory.record_request_end(&incarnation(1));
        directory.record_report(&incarnation(1), load(0), SOON);
    }
    assert_eq!(share(&directory, EndpointQuery::default(), SOON), 0);
    for _ in 0..12 {
        directory.record_request_end(&incarnation(2));
    }
    record_bad_state(&mut directory, &incarnation(1));
    assert_eq!(directory.record_failure(&incarnation(1), SOON), None);
    assert_eq!(directory.failures_since(NOW).count(), 0);
    assert_eq!(
        share(&directory, EndpointQuery::default(), SOON),
        initial_share()
    );
}

#[test]
fn a_prompt_cached_by_an_earlier_incarnation_is_cached_nowhere() {
    let mut directory = directory(1);
    directory.record_report(&incarnation(1), load(2), NOW);
    let first = incarnation(1);
    let query = EndpointQuery {
        warm_endpoint: Some(&first),
        warm_tokens: 5_000,
        ..EndpointQuery::default()
    };
    assert_eq!(share(&directory, query, NOW), 100);
    directory.apply_entry(record(incarnation(2)), NOW);
    assert_eq!(share(&directory, query, NOW), initial_share());
}

#[test]
fn a_tried_incarnation_does_not_exclude_the_next_one() {
    let mut directory = directory(1);
    let tried = [incarnation(1), incarnation_of("b", 1)];
    let query = EndpointQuery {
        tried: &tried,
        ..EndpointQuery::default()
    };
    assert!(directory.select("models", query, NOW, |_| true).is_none());
    directory.apply_entry(record(incarnation(2)), NOW);
    let selection = directory.select("models", query, NOW, |_| true).unwrap();
    assert_eq!(selection.record.identity, incarnation(2));
}

#[test]
fn an_entry_of_an_earlier_incarnation_changes_nothing_unless_it_persists() {
    // The endpoint restarted twice within one heartbeat interval, and this gateway
    // received an entry of the later incarnation only.
    let mut directory = directory(3);
    directory.record_report(&incarnation(3), load(1), NOW);
    let draining = EndpointRecord {
        draining: true,
        ..record(incarnation(2))
    };
    for seconds in 0..7 {
        let now = NOW + Duration::from_secs(seconds);
        assert_eq!(directory.apply_entry(draining.clone(), now), None);
        assert!(directory.contains(&incarnation(3)) && directory.len() == 2);
    }
    // A further entry of the later incarnation arrives, so the others were late.
    let later = NOW + Duration::from_secs(7);
    directory.apply_entry(record(incarnation(3)), later);
    assert_eq!(directory.apply_entry(record(incarnation(2)), later), None);
    // An earlier incarnation is the running one if only its entries still arrive.
    let last = later + Duration::from_secs(7);
    assert_eq!(
        directory.apply_entry(record(incarnation(2)), last),
        Some(ListingChange::Restarted)
    );
    assert!(directory.contains(&incarnation(2)));
}

#[test]
fn an_earlier_incarnation_whose_entry_is_received_once_is_listed_if_it_persists() {
    // A gateway that reads the table from another host does not receive heartbeats.
    let mut listed = directory(3);
    let mut removed = directory(3);
    removed.apply_deletion("a", NOW, false);
    for directory in [&mut listed, &mut removed] {
        assert_eq!(directory.apply_entry(record(incarnation(2)), NOW), None);
        let early = NOW + Duration::from_millis(6_900);
        assert_eq!(directory.adopt_older_incarnations(early), Vec::new());
        assert!(!directory.contains(&incarnation(2)));
        let late = NOW + Duration::from_secs(7);
        assert_eq!(directory.adopt_older_incarnations(late).len(), 1);
        assert!(directory.contains(&incarnation(2)));
        assert_eq!(directory.adopt_older_incarnations(late), Vec::new());
    }
    // A further entry of the later incarnation arrives, or the entry of the earlier
    // one is deleted.
    let mut confirmed = directory(3);
    confirmed.apply_entry(record(incarnation(2)), NOW);
    confirmed.apply_entry(record(incarnation(3)), SOON);
    let mut removed = directory(3);
    removed.apply_deletion("a", NOW, false);
    removed.apply_entry(record(incarnation(2)), NOW);
    removed.apply_deletion("a", SOON, false);
    for directory in [&mut confirmed, &mut removed] {
        let late = NOW + Duration::from_secs(60);
        assert_eq!(directory.adopt_older_incarnations(late), Vec::new());
        assert!(!directory.contains(&incarnation(2)));
    }
}

#[test]
fn peer_reports_on_an_incarnation_that_is_not_listed_are_ignored() {
    let mut outdated = directory(1);
    outdated.record_report(&incarnation(1), load(4), NOW);
    outdated.record_peer_report(&incarnation(2), load(0), SOON);
    outdated.record_peer_failure(&incarnation(2), SOON);
    assert_eq!(share(&outdated, EndpointQuery::default(), SOON), 0);
    let mut current = directory(2);
    current.record_peer_report(&incarnation(1), load(8), SOON);
    for _ in 0..20 {
        current.record_peer_failure(&incarnation(1), SOON);
    }
    assert_eq!(
        share(&current, EndpointQuery::default(), SOON),
        initial_share()
    );
}

#[test]
fn an_endpoint_whose_entry_expired_in_an_outage_keeps_its_state_unless_it_restarted() {
    let expire_in_outage = |directory: &mut Directory| {
        for _ in 0..12 {
            directory.record_request_start(&incarnation(1));
        }
        assert_eq!(directory.apply_deletion("a", NOW, true), None);
    };
    let mut same = directory(1);
    expire_in_outage(&mut same);
    assert_eq!(same.apply_entry(record(incarnation(1)), SOON), None);
    assert_eq!(share(&same, EndpointQuery::default(), SOON), 0);
    let mut restarted = directory(1);
    expire_in_outage(&mut restarted);
    assert_eq!(
        restarted.apply_entry(record(incarnation(2)), SOON),
        Some(ListingChange::Restarted)
    );
    assert_eq!(
        share(&restarted, EndpointQuery::default(), SOON),
        initial_share()
    );
    assert_eq!(
        restarted.expire(NOW + Duration::from_secs(60)),
        Vec::<String>::new()
    );
}

#[test]
fn a_late_entry_of_an_earlier_incarnation_is_not_listed_after_a_removal() {
    let mut directory = directory(2);
    directory.apply_deletion("a", NOW, false);
    assert_eq!(directory.apply_entry(record(incarnation(1)), SOON), None);
    assert_eq!(directory.len(), 1);
    // The removed incarnation may be listed again, and an earlier one is listed if
    // its entry arrives after the period in which late writes are possible.
    assert_eq!(
        directory.apply_entry(record(incarnation(2)), SOON),
        Some(ListingChange::Added)
    );
    directory.apply_deletion("a", SOON, false);
    let later = SOON + Duration::from_secs(8);
    directory.expire(later);
    assert_eq!(
        directory.apply_entry(record(incarnation(1)), later),
        Some(ListingChange::Added)
    );
}

#[test]
fn an_entry_without_a_start_time_counts_as_the_earliest_incarnation() {
    let without_start = EndpointIdentity::unknown_start("a");
    let mut directory = Directory::new(ZONE.to_owned());
    directory.apply_entry(record(without_start.clone()), NOW);
    directory.record_request_start(&without_start);
    assert_eq!(
        directory.apply_entry(record(without_start.clone()), NOW),
        None
    );
    assert_eq!(
        directory.apply_entry(record(incarnation(1)), NOW),
        Some(ListingChange::Restarted)
    );
    assert_eq!(directory.apply_entry(record(without_start), NOW), None);
    assert!(directory.contains(&incarnation(1)));
}

#[test]
fn the_text_of_an_identity_parses_to_the_same_identity() {
    for identity in [
        incarnation(1_764_723_309_000),
        EndpointIdentity::unknown_start("i-7"),
        incarnation_of("b", u64::MAX),
    ] {
        assert_eq!(identity.to_string().parse(), Ok(identity));
    }
    let other: EndpointIdentity = "a/x".parse().unwrap();
    assert_eq!(other, EndpointIdentity::unknown_start("a/x"));
}

fn turn(endpoint: EndpointIdentity) -> Turn {
    Turn {
        attempt: "t1".to_owned(),
        program: "p1".to_owned(),
        generation: None,
        previous: None,
        input: b"a".to_vec(),
        output: b"b".to_vec(),
        endpoint,
        tokens: 7,
    }
}

/// Returns the endpoint of a turn after its first row was edited and read back.
fn read_back(turn: &Turn, edit: impl Fn(Vec<u8>) -> Vec<u8>) -> EndpointIdentity {
    let rows = turn.rows(10_000).into_iter().take(1);
    let rows = rows.map(|write| Row {
        id: write.row,
        version: 1,
        value: Some(edit(write.value)),
    });
    let stored = StoredProgram::from_rows("p1", &rows.collect::<Vec<_>>()).unwrap();
    let cache = rosebend_coordination::gateway::history::TurnCache::new(0);
    let read = stored.turn("p1", "t1", &cache).unwrap();
    read.endpoint.clone()
}

#[test]
fn a_stored_turn_keeps_the_incarnation_that_ran_it() {
    assert_eq!(read_back(&turn(incarnation(5)), |row| row), incarnation(5));
    // Rows of older versions contain the endpoint's id without a start time.
    let older = |row: Vec<u8>| {
        let text = String::from_utf8(row).unwrap();
        assert!(text.contains(r#""endpoint":"a/5""#), "{text}");
        text.replace("a/5", "a").into_bytes()
    };
    let read = read_back(&turn(incarnation(5)), older);
    assert_eq!(read, EndpointIdentity::unknown_start("a"));
}
