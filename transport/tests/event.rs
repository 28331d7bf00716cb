//! The catalogue of events and the lines that the log gets.

use std::{collections::HashSet, fs, path::PathBuf};

use rosebend_state::{
    id::CallId,
    settings::{LogLevel, LogSettings},
};
use rosebend_transport::{
    event::{Event, EventKind, events_page, log_event},
    logging::init_logging,
};

#[test]
fn the_events_page_is_up_to_date() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../docs/EVENTS.md");
    assert_eq!(fs::read_to_string(path).unwrap(), events_page());
}

#[test]
fn no_event_is_left_out_of_the_list() {
    let source = include_str!("../src/event/catalogue.rs");
    let numbered = source.lines().filter(|line| {
        let number = line.trim().rsplit_once("=> ").map(|(_, number)| number);
        number.is_some_and(|number| number.trim_end_matches(',').parse::<u16>().is_ok())
    });
    assert_eq!(numbered.count(), EventKind::ALL.len());
}

#[test]
fn numbers_and_names_are_distinct_and_numbers_ascend() {
    let numbers: Vec<u16> = EventKind::ALL.iter().map(|kind| kind.number()).collect();
    assert!(numbers.is_sorted_by(|a, b| a < b));
    let names: HashSet<&str> = EventKind::ALL.iter().map(|kind| kind.name()).collect();
    assert_eq!(names.len(), EventKind::ALL.len());
}

#[test]
fn the_log_has_a_line_an_event_from_its_level_on() {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("event.log");
    let _ = fs::remove_file(&file);
    let settings = LogSettings {
        level: LogLevel::Info,
        file: Some(file.clone()),
    };
    init_logging(&settings).unwrap();
    assert!(init_logging(&settings).is_err());

    let call = CallId::try_from("caribmar/renewal-17/check-2#3").unwrap();
    let error = std::io::Error::other("refused\nby the other side");
    log_event(&Event::new(EventKind::CallFinished).call(&call));
    log_event(
        &Event::new(EventKind::CallFailed)
            .call(&call)
            .shard(7)
            .epoch(2)
            .error(&error),
    );

    let written = fs::read_to_string(&file).unwrap();
    let (time, rest) = written.split_once(' ').unwrap();
    assert!(time.ends_with('Z'));
    assert_eq!(
        rest,
        "WARN E306 call-failed customer=caribmar program=renewal-17/check-2 call=3 shard=7 \
         epoch=2 error=\"refused by the other side\"\n"
    );
}
