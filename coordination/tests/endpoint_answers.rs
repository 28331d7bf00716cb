//! Receivers of an answer get all its parts once, in order, from any offset.

use proptest::prelude::*;
use rosebend_coordination::endpoint::{
    outcome::{Finished, Outcome},
    retention::AnswerLog,
};

/// The part that belongs at an offset.
fn part(offset: u64) -> Vec<u8> {
    format!("part {offset};").into_bytes()
}

#[derive(Clone, Debug)]
struct Receiver {
    /// Offset from which it resumes.
    from: u64,
    got: Vec<Vec<u8>>,
}

proptest! {
    #[test]
    fn an_answer_is_whole_and_in_order_from_any_offset(
        // Offsets as they come from the endpoint: late, doubled, out of order.
        offsets in prop::collection::vec(0u64..12, 0..200),
        parts in 1u64..12,
        froms in prop::collection::vec(0u64..14, 1..4),
        limit in 1usize..5,
    ) {
        let mut log = AnswerLog::default();
        let mut receivers: Vec<_> =
            froms.iter().map(|from| Receiver { from: *from, got: Vec::new() }).collect();
        let in_order = 0..parts;
        for (step, offset) in offsets.into_iter().chain(in_order).enumerate() {
            if offset < parts {
                let is_next = offset == log.next_offset();
                prop_assert_eq!(log.append(offset, part(offset)), is_next);
            }
            let receiver = step % receivers.len();
            receive(&log, &mut receivers[receiver], limit);
        }
        log.end(Outcome::Finished(Finished::default()));
        prop_assert!(!log.append(parts, part(parts)), "a part after the end");

        prop_assert_eq!(log.concatenate(), (0..parts).flat_map(part).collect::<Vec<_>>());
        prop_assert_eq!(log.bytes(), log.concatenate().len());
        for mut receiver in receivers {
            while receive(&log, &mut receiver, limit) {}
            let expected: Vec<_> = (receiver.from..parts).map(part).collect();
            prop_assert_eq!(receiver.got, expected);
        }
    }
}

/// Reads on; false when there was nothing new.
fn receive(log: &AnswerLog<Vec<u8>>, receiver: &mut Receiver, limit: usize) -> bool {
    let parts = log.read(receiver.from + receiver.got.len() as u64, limit);
    let has_new = !parts.is_empty();
    receiver.got.extend(parts);
    has_new
}
