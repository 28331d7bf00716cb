//! Receivers of an answer get all its parts once, in order, from any offset.

use proptest::prelude::*;
use rosebend_coordination::endpoint::{
    outcome::{Finished, Outcome},
    retention::AnswerLog,
};

/// The part that belongs at an offset: a chunk of a stream, or of any form.
fn part(offset: u64) -> Vec<u8> {
    match offset {
        0 => br#"{"id":"x","delta":{"role":"assistant"}}"#.to_vec(),
        5 => Vec::new(),
        7 => b"aaaa".to_vec(),
        8 => b"aaaaaaaa".to_vec(),
        _ => format!("{{\"id\":\"x\",\"delta\":{{\"content\":\"{offset}\"}}}}").into_bytes(),
    }
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
        is_packed: bool,
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
        let growing_bytes = log.bytes();
        if is_packed {
            log.pack();
        }
        log.end(Outcome::Finished(Finished::default()));
        prop_assert!(!log.append(parts, part(parts)), "a part after the end");

        prop_assert_eq!(log.concatenate(), (0..parts).flat_map(part).collect::<Vec<_>>());
        prop_assert_eq!(growing_bytes, log.concatenate().len());
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

#[test]
fn a_packed_stream_takes_a_small_part_of_its_bytes() {
    let mut log = AnswerLog::<Vec<u8>>::default();
    for offset in 0..1000 {
        let chunk = format!(
            "{{\"id\":\"caribmar/renewal-17#1.1\",\"object\":\"chat.completion.chunk\",\
             \"model\":\"agent-llm\",\"choices\":[{{\"index\":0,\
             \"delta\":{{\"content\":\"word {offset}\"}},\"finish_reason\":null}}]}}"
        );
        assert!(log.append(offset, chunk.into_bytes()));
    }
    let growing_bytes = log.bytes();
    log.pack();
    assert!(
        log.bytes() * 5 < growing_bytes,
        "{} of {growing_bytes}",
        log.bytes()
    );
    assert!(!log.append(1000, Vec::new()), "a part after packing");
}
