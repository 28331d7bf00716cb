//! Endpoints that start again under the id that they had: what is believed of
//! an endpoint belongs to one start.

use std::time::Duration;

use rosebend_coordination::gateway::directory::{Directory, Listing, Wish};
use rosebend_coordination::gateway::history::{StoredProgram, Turn};
use rosebend_state::deployment::{EndpointIdentity, EndpointLoad, EndpointRecord, Row};

const NOW: Duration = Duration::from_secs(100);
const SOON: Duration = Duration::from_millis(100_400);
const ZONE: &str = "newport-hall";

/// A start of endpoint `a`.
fn start(started_ms: u64) -> EndpointIdentity {
    start_of("a", started_ms)
}

fn start_of(instance: &str, started_ms: u64) -> EndpointIdentity {
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

/// A directory that knows this start of `a`, and `b`.
fn directory(started_ms: u64) -> Directory {
    let mut directory = Directory::new(ZONE.to_owned());
    directory.announce(record(start(started_ms)), NOW);
    directory.announce(record(start_of("b", 1)), NOW);
    directory
}

fn load(running: u32) -> EndpointLoad {
    EndpointLoad {
        running,
        waiting: running,
        slots: 8,
    }
}

/// How many of a hundred requests go to `a`.
fn share(directory: &Directory, wish: Wish<'_>, now: Duration) -> usize {
    let is_for_a = |number: &i32| {
        let subject = format!("request-{number}");
        let wish = Wish {
            subject: &subject,
            is_turn: true,
            ..wish
        };
        let choice = directory.choose("models", wish, now, |_| true);
        choice.unwrap().record.identity.instance == "a"
    };
    (0..100).filter(is_for_a).count()
}

/// The share of an endpoint of which nothing is known, beside another one.
fn fresh_share() -> usize {
    share(&directory(1), Wish::default(), NOW)
}

/// Makes a host believe the worst of a start.
fn believe_the_worst(directory: &mut Directory, endpoint: &EndpointIdentity) {
    for _ in 0..20 {
        directory.begin(endpoint);
        directory.answered(endpoint, Some(Duration::from_secs(2)), NOW);
        directory.answered(&start_of("b", 1), Some(Duration::from_millis(20)), NOW);
        directory.failed(endpoint, NOW);
        directory.overhear_failure(endpoint, NOW);
    }
    directory.full(endpoint, NOW);
}

#[test]
fn all_that_is_believed_of_a_start_goes_with_it() {
    let mut directory = directory(1);
    believe_the_worst(&mut directory, &start(1));
    directory.refuse("a");
    assert_eq!(share(&directory, Wish::default(), SOON), 0);
    assert_eq!(
        directory.announce(record(start(2)), SOON),
        Some(Listing::StartedAgain)
    );
    assert_eq!(share(&directory, Wish::default(), SOON), fresh_share());
    assert!(directory.has_started_again(&start(1)));
    assert!(!directory.contains(&start(1)) && directory.contains(&start(2)));
    assert_eq!(directory.address(&start(1)), None);
    assert_eq!(directory.heard_since(NOW).count(), 0);
}

#[test]
fn what_ends_late_at_an_earlier_start_changes_nothing() {
    let mut directory = directory(1);
    directory.begin(&start(1));
    directory.announce(record(start(2)), NOW);
    for _ in 0..12 {
        directory.begin(&start(2));
    }
    assert_eq!(share(&directory, Wish::default(), SOON), 0);
    // Requests of the earlier start come to their end, in every way.
    for _ in 0..12 {
        directory.end(&start(1));
        directory.report(&start(1), load(0), SOON);
    }
    assert_eq!(share(&directory, Wish::default(), SOON), 0);
    for _ in 0..12 {
        directory.end(&start(2));
    }
    believe_the_worst(&mut directory, &start(1));
    assert_eq!(directory.failed(&start(1), SOON), None);
    assert_eq!(directory.failed_since(NOW).count(), 0);
    assert_eq!(share(&directory, Wish::default(), SOON), fresh_share());
}

#[test]
fn a_prompt_that_an_earlier_start_had_is_warm_nowhere() {
    let mut directory = directory(1);
    directory.report(&start(1), load(2), NOW);
    let first = start(1);
    let wish = Wish {
        warm: Some(&first),
        warm_tokens: 5_000,
        ..Wish::default()
    };
    assert_eq!(share(&directory, wish, NOW), 100);
    directory.announce(record(start(2)), NOW);
    assert_eq!(share(&directory, wish, NOW), fresh_share());
}

#[test]
fn a_start_that_was_asked_does_not_keep_the_next_from_being_asked() {
    let mut directory = directory(1);
    let asked = [start(1), start_of("b", 1)];
    let wish = Wish {
        asked: &asked,
        ..Wish::default()
    };
    assert!(directory.choose("models", wish, NOW, |_| true).is_none());
    directory.announce(record(start(2)), NOW);
    let choice = directory.choose("models", wish, NOW, |_| true).unwrap();
    assert_eq!(choice.record.identity, start(2));
}

#[test]
fn an_entry_of_an_earlier_start_changes_nothing_unless_it_stays() {
    // Of two starts within one heartbeat this host saw the second only.
    let mut directory = directory(3);
    directory.report(&start(3), load(1), NOW);
    let draining = EndpointRecord {
        draining: true,
        ..record(start(2))
    };
    for seconds in 0..7 {
        let now = NOW + Duration::from_secs(seconds);
        assert_eq!(directory.announce(draining.clone(), now), None);
        assert!(directory.contains(&start(3)) && directory.len() == 2);
    }
    // The later one is heard of again: the others were late.
    let later = NOW + Duration::from_secs(7);
    directory.announce(record(start(3)), later);
    assert_eq!(directory.announce(record(start(2)), later), None);
    // An earlier start that alone is heard of is the one that lives.
    let at_last = later + Duration::from_secs(7);
    assert_eq!(
        directory.announce(record(start(2)), at_last),
        Some(Listing::StartedAgain)
    );
    assert!(directory.contains(&start(2)));
}

#[test]
fn an_earlier_start_whose_entry_is_heard_once_is_listed_when_it_stays() {
    // A host that follows another one does not hear of heartbeats.
    let mut known = directory(3);
    let mut gone = directory(3);
    gone.withdraw("a", NOW, false);
    for directory in [&mut known, &mut gone] {
        assert_eq!(directory.announce(record(start(2)), NOW), None);
        let early = NOW + Duration::from_millis(6_900);
        assert_eq!(directory.list_earlier(early), Vec::new());
        assert!(!directory.contains(&start(2)));
        let late = NOW + Duration::from_secs(7);
        assert_eq!(directory.list_earlier(late).len(), 1);
        assert!(directory.contains(&start(2)));
        assert_eq!(directory.list_earlier(late), Vec::new());
    }
    // The later start is heard of again, or the entry of the earlier one is gone.
    let mut again = directory(3);
    again.announce(record(start(2)), NOW);
    again.announce(record(start(3)), SOON);
    let mut gone = directory(3);
    gone.withdraw("a", NOW, false);
    gone.announce(record(start(2)), NOW);
    gone.withdraw("a", SOON, false);
    for directory in [&mut again, &mut gone] {
        let late = NOW + Duration::from_secs(60);
        assert_eq!(directory.list_earlier(late), Vec::new());
        assert!(!directory.contains(&start(2)));
    }
}

#[test]
fn a_start_that_only_one_host_has_seen_is_no_news_to_another() {
    let mut behind = directory(1);
    behind.report(&start(1), load(4), NOW);
    behind.overhear(&start(2), load(0), SOON);
    behind.overhear_failure(&start(2), SOON);
    assert_eq!(share(&behind, Wish::default(), SOON), 0);
    let mut ahead = directory(2);
    ahead.overhear(&start(1), load(8), SOON);
    for _ in 0..20 {
        ahead.overhear_failure(&start(1), SOON);
    }
    assert_eq!(share(&ahead, Wish::default(), SOON), fresh_share());
}

#[test]
fn a_start_that_lapsed_in_an_outage_comes_back_as_it_was_and_a_new_one_does_not() {
    let outage = |directory: &mut Directory| {
        for _ in 0..12 {
            directory.begin(&start(1));
        }
        assert_eq!(directory.withdraw("a", NOW, true), None);
    };
    let mut same = directory(1);
    outage(&mut same);
    assert_eq!(same.announce(record(start(1)), SOON), None);
    assert_eq!(share(&same, Wish::default(), SOON), 0);
    let mut other = directory(1);
    outage(&mut other);
    assert_eq!(
        other.announce(record(start(2)), SOON),
        Some(Listing::StartedAgain)
    );
    assert_eq!(share(&other, Wish::default(), SOON), fresh_share());
    assert_eq!(
        other.expire(NOW + Duration::from_secs(60)),
        Vec::<String>::new()
    );
}

#[test]
fn an_earlier_start_that_comes_after_the_entry_is_gone_is_not_listed() {
    let mut directory = directory(2);
    directory.withdraw("a", NOW, false);
    assert_eq!(directory.announce(record(start(1)), SOON), None);
    assert_eq!(directory.len(), 1);
    // The start that was gone may come back, and one that stays is believed.
    assert_eq!(
        directory.announce(record(start(2)), SOON),
        Some(Listing::Listed)
    );
    directory.withdraw("a", SOON, false);
    let later = SOON + Duration::from_secs(8);
    directory.expire(later);
    assert_eq!(
        directory.announce(record(start(1)), later),
        Some(Listing::Listed)
    );
}

#[test]
fn an_endpoint_that_tells_no_start_counts_as_started_before_all_that_do() {
    let untold = EndpointIdentity::unknown_start("a");
    let mut directory = Directory::new(ZONE.to_owned());
    directory.announce(record(untold.clone()), NOW);
    directory.begin(&untold);
    assert_eq!(directory.announce(record(untold.clone()), NOW), None);
    assert_eq!(
        directory.announce(record(start(1)), NOW),
        Some(Listing::StartedAgain)
    );
    assert_eq!(directory.announce(record(untold), NOW), None);
    assert!(directory.contains(&start(1)));
}

#[test]
fn the_text_of_an_identity_is_read_as_it_was_written() {
    for identity in [
        start(1_764_723_309_000),
        EndpointIdentity::unknown_start("i-7"),
        start_of("b", u64::MAX),
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
        previous: None,
        input: b"a".to_vec(),
        output: b"b".to_vec(),
        endpoint,
        tokens: 7,
    }
}

/// The endpoint of a turn that is read from its rows, which an edit changed.
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
fn a_turn_keeps_the_start_that_ran_it() {
    assert_eq!(read_back(&turn(start(5)), |row| row), start(5));
    // Rows of older versions name the endpoint alone.
    let older = |row: Vec<u8>| {
        let text = String::from_utf8(row).unwrap();
        assert!(text.contains(r#""endpoint":"a/5""#), "{text}");
        text.replace("a/5", "a").into_bytes()
    };
    let read = read_back(&turn(start(5)), older);
    assert_eq!(read, EndpointIdentity::unknown_start("a"));
}
