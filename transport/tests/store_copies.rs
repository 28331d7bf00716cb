//! When a call to the store is sent again.

use std::time::Duration;

use rosebend_transport::store::{Answers, Copies, MIN_TIMEOUT};

const INTERVAL: Duration = Duration::from_millis(150);

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Times at which copies are sent when the store answers other calls from `answers_from`
/// on, looked at each millisecond.
fn sent_at(answers_from: Duration) -> Vec<Duration> {
    let mut copies = Copies::new(Duration::ZERO, INTERVAL);
    let mut sent = vec![Duration::ZERO];
    for now in (0..10_000).map(ms) {
        if copies
            .due(now >= answers_from)
            .is_some_and(|due| due <= now)
        {
            copies.sent(now);
            sent.push(now);
        }
    }
    sent
}

#[test]
fn a_store_that_answers_nothing_gets_three_copies_ever_more_rarely() {
    assert_eq!(sent_at(Duration::MAX), [ms(0), ms(150), ms(450)]);
}

#[test]
fn a_store_that_answers_others_gets_six_copies_at_equal_times() {
    let expected: Vec<Duration> = (0..6).map(|number| ms(150 * number)).collect();
    assert_eq!(sent_at(Duration::ZERO), expected);
}

/// The pattern of a store that answers nothing for a while, and then others.
#[test]
fn copies_go_on_as_soon_as_the_store_answers_others() {
    let expected = [0, 150, 450, 1_000, 1_150, 1_300].map(ms);
    assert_eq!(sent_at(ms(1_000)), expected);
}

#[test]
fn a_call_that_waits_looks_again_within_an_interval_and_never_past_a_copy_that_is_due() {
    for sent in 0..8 {
        let mut copies = Copies::new(Duration::ZERO, INTERVAL);
        (0..sent).for_each(|_| copies.sent(Duration::ZERO));
        for now in (0..2_000).map(ms) {
            for answers_others in [false, true] {
                let wait = copies.wait(now, answers_others);
                assert!(wait <= INTERVAL);
                if let Some(due) = copies.due(answers_others) {
                    assert!(now + wait <= due.max(now));
                }
            }
        }
    }
}

/// Answers of a store that takes 15 ms, and loses `lost` of 10 in a row.
fn answers(lost: usize) -> Answers {
    let mut answers = Answers::default();
    for number in 0..100 {
        answers.took(ms(15));
        answers.answered(number % 10 >= lost);
    }
    answers
}

#[test]
fn copies_are_sent_sooner_while_answers_are_lost() {
    assert_eq!(answers(0).interval(), MIN_TIMEOUT);
    for lost in 3..7 {
        let interval = answers(lost).interval();
        assert!(interval < ms(70), "{interval:?} with {lost} of 10 lost");
    }
}

#[test]
fn a_store_that_answers_all_again_gets_copies_as_seldom_as_before() {
    let mut answers = answers(6);
    for _ in 0..20 {
        answers.took(ms(15));
        answers.answered(true);
    }
    assert_eq!(answers.interval(), MIN_TIMEOUT);
}

/// A slow store answers the first copy, after others were sent.
#[test]
fn a_slow_store_gets_no_copies_sooner() {
    let mut answers = Answers::default();
    for _ in 0..50 {
        answers.took(ms(300));
        answers.answered(true);
    }
    assert_eq!(answers.interval(), ms(1_000));
}
