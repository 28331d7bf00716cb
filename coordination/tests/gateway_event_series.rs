//! Tests of streams that are cut at any byte and resumed at another endpoint: every event
//! must be sent once, in order and complete.

use proptest::prelude::*;
use rosebend_coordination::gateway::event_series::{EventSeries, Events, ResumePoint, SeriesError};
use rosebend_state::deployment::EventId;

/// Returns an event as an engine writes it; some forms have a line before or after it.
fn event(id: EventId, form: u8) -> Vec<u8> {
    let text = match form % 5 {
        0 => format!("id: {id}\ndata: word{id}\n\n"),
        1 => format!("weight-versions: 7\nid: {id}\ndata: a\ndata: b\n\n"),
        2 => format!("id:{id}\r\ndata:{{\"x\":\"\\n\"}}\r\n\r\n"),
        3 => format!(": a comment\n\nid: {id}\ndata:\n\n"),
        _ => format!("data: text\nid: {id}\nevent: token\n\n"),
    };
    text.into_bytes()
}

/// Generates events with increasing ids, each with a random distance to the id before.
fn events() -> impl Strategy<Value = Vec<(EventId, Vec<u8>)>> {
    let steps = prop::collection::vec((1_u64..4, any::<u8>()), 0..12);
    steps.prop_map(|steps| {
        let mut id = 0;
        let mut events = Vec::new();
        for (step, form) in steps {
            id += step;
            events.push((id, event(id, form)));
        }
        events
    })
}

/// Returns the bytes that an endpoint sends when asked to begin at `point`.
fn bytes_from(events: &[(EventId, Vec<u8>)], point: ResumePoint) -> Vec<u8> {
    let is_requested = |id: EventId| match point {
        ResumePoint::FromStart => true,
        ResumePoint::After(last) => id > last,
        ResumePoint::Impossible => panic!("each event has an id"),
    };
    let requested = events.iter().filter(|(id, _)| is_requested(*id));
    requested.flat_map(|(_, bytes)| bytes.clone()).collect()
}

/// Pushes bytes in pieces of the given lengths, and returns the events that they complete.
fn feed(series: &mut EventSeries, bytes: &[u8], lengths: &[usize]) -> Vec<Events> {
    let mut rest = bytes;
    let mut out = Vec::new();
    for length in lengths.iter().cycle() {
        if rest.is_empty() {
            break;
        }
        let (piece, tail) = rest.split_at((*length).min(rest.len()));
        out.push(series.push(piece).unwrap());
        rest = tail;
    }
    out
}

fn fresh(events: &[Events]) -> Vec<u8> {
    events
        .iter()
        .flat_map(|events| events.fresh.clone())
        .collect()
}

proptest! {
    #[test]
    fn a_stream_that_is_cut_anywhere_any_number_of_times_is_sent_as_one(
        events in events(),
        cuts in prop::collection::vec(any::<prop::sample::Index>(), 0..5),
        lengths in prop::collection::vec(1_usize..40, 1..6),
    ) {
        let whole: Vec<u8> = events.iter().flat_map(|(_, bytes)| bytes.clone()).collect();
        let mut series = EventSeries::default();
        let mut out = Vec::new();
        let mut point = ResumePoint::FromStart;
        for cut in cuts {
            let attempt = bytes_from(&events, point);
            let attempt = &attempt[..cut.index(attempt.len() + 1)];
            out.extend(fresh(&feed(&mut series, attempt, &lengths)));
            prop_assert!(without_comments(&whole).starts_with(&without_comments(&out)));
            point = series.discard_partial();
        }
        out.extend(fresh(&feed(&mut series, &bytes_from(&events, point), &lengths)));
        // A comment before an event may be sent again by the attempt that sends the event.
        prop_assert_eq!(without_comments(&out), without_comments(&whole));
        prop_assert!(!series.is_within_event());
    }

    #[test]
    fn only_complete_events_are_sent(events in events(), cut in any::<prop::sample::Index>()) {
        let bytes = bytes_from(&events, ResumePoint::FromStart);
        let cut = cut.index(bytes.len() + 1);
        let mut series = EventSeries::default();
        let out = series.push(&bytes[..cut]).unwrap();
        prop_assert!(out.fresh.is_empty() || out.fresh.ends_with(b"\n\n") || out.fresh.ends_with(b"\n\r\n"));
        prop_assert_eq!(series.is_within_event(), out.fresh.len() < cut);
        prop_assert!(out.repeated.is_empty());
    }

    #[test]
    fn a_caller_that_has_some_events_gets_the_others(events in events(), caller_last in 0_u64..40) {
        let bytes = bytes_from(&events, ResumePoint::FromStart);
        let mut series = EventSeries::repeating(Some(caller_last));
        let out = series.push(&bytes).unwrap();
        let (repeated, rest): (Vec<_>, Vec<_>) =
            events.iter().partition(|(id, _)| *id <= caller_last);
        let bytes_of = |events: Vec<&(EventId, Vec<u8>)>| -> Vec<u8> {
            without_comments(&events.iter().flat_map(|(_, bytes)| bytes.clone()).collect::<Vec<_>>())
        };
        prop_assert_eq!(without_comments(&out.repeated), bytes_of(repeated));
        prop_assert_eq!(without_comments(&out.fresh), bytes_of(rest));
    }

    #[test]
    fn arbitrary_bytes_are_sent_unchanged_or_refused(
        pieces in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..60), 0..20),
    ) {
        let mut series = EventSeries::default();
        let mut out = Vec::new();
        for piece in &pieces {
            match series.push(piece) {
                Ok(events) => out.extend(events.fresh),
                Err(_) => {
                    series.discard_partial();
                    return Ok(());
                }
            }
        }
        prop_assert!(pieces.concat().starts_with(&out));
    }
}

fn without_comments(bytes: &[u8]) -> Vec<u8> {
    let text = String::from_utf8(bytes.to_vec()).unwrap();
    text.replace(": a comment\n\n", "").into_bytes()
}

#[test]
fn an_attempt_that_repeats_an_event_is_refused_and_does_not_change_the_resume_point() {
    let mut series = EventSeries::default();
    series
        .push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda")
        .unwrap();
    assert_eq!(series.discard_partial(), ResumePoint::After(2));
    // The first event is in order, the second is not: neither is sent.
    let refused = series.push(b"id: 3\ndata: c\n\nid: 2\ndata: b\n\n");
    assert_eq!(refused, Err(SeriesError::OutOfOrder(2, 3)));
    assert_eq!(series.discard_partial(), ResumePoint::After(2));
    let again = series.push(b"id: 0\ndata: x\n\n");
    assert_eq!(again, Err(SeriesError::OutOfOrder(0, 2)));
    assert_eq!(series.discard_partial(), ResumePoint::After(2));
    let events = series.push(b"id: 3\ndata: c\n\n").unwrap();
    assert_eq!(events.fresh, b"id: 3\ndata: c\n\n");
}

#[test]
fn an_answer_without_a_complete_event_is_resumed_at_its_first_event() {
    let mut series = EventSeries::default();
    assert!(series.push(b"id: 0\ndata: wor").unwrap().is_empty());
    assert_eq!(series.discard_partial(), ResumePoint::FromStart);
    let events = series.push(b"id: 0\ndata: word\n\n").unwrap();
    assert_eq!(events.fresh, b"id: 0\ndata: word\n\n");
}

#[test]
fn a_stream_that_the_caller_resumed_is_resumed_after_the_caller_s_last_event() {
    let mut series = EventSeries::after(Some(4));
    assert_eq!(series.discard_partial(), ResumePoint::After(4));
    let again = series.push(b"id: 4\ndata: x\n\n");
    assert_eq!(again, Err(SeriesError::OutOfOrder(4, 4)));
}

#[test]
fn an_answer_with_an_event_without_an_id_cannot_be_resumed() {
    let mut series = EventSeries::default();
    series.push(b"id: 0\ndata: a\n\ndata: b\n\n").unwrap();
    assert_eq!(series.discard_partial(), ResumePoint::Impossible);
}

#[test]
fn an_event_without_an_end_is_not_buffered_without_a_limit() {
    let mut series = EventSeries::default();
    let mut outcome = series.push(b"data: ");
    for _ in 0..300 {
        if outcome.is_err() {
            break;
        }
        outcome = series.push(&[b'x'; 4_096]);
    }
    assert_eq!(outcome, Err(SeriesError::TooLong));
}
