//! Streams of events of any bytes, in pieces of any size.

use proptest::collection::vec;
use proptest::prelude::*;
use rosebend_protocol::sse::{SseEvent, SseReader};

fn read(pieces: &[&[u8]]) -> Vec<SseEvent> {
    let mut reader = SseReader::default();
    pieces.iter().flat_map(|piece| reader.push(piece)).collect()
}

fn event(id: Option<u64>, data: &'static [u8]) -> SseEvent {
    SseEvent {
        id,
        data: bytes::Bytes::from_static(data),
    }
}

#[test]
fn an_id_that_is_no_number_is_none() {
    let table: [&[u8]; 7] = [
        b"",
        b"x",
        b"-1",
        b"1.5",
        b"1e400",
        b"18446744073709551616",
        b"\xff",
    ];
    for id in table {
        // An id counts for the event that it stands in, and the last one does.
        let text = [b"id: 7\nid: ", id, b"\ndata: a\n\n"].concat();
        assert_eq!(read(&[&text]), [event(None, b"a")], "{id:?}");
    }
    assert_eq!(
        read(&[b"id: 18446744073709551615\ndata\n\n"]),
        [event(Some(u64::MAX), b"")]
    );
}

#[test]
fn what_is_no_event_gives_none() {
    let texts: [&[u8]; 6] = [
        b"",
        b"\n\n\n",
        b"id: 7\n\n",
        b": data: a\n\n",
        b"data: a\n",
        b"\0\0\n\n",
    ];
    for text in texts {
        assert_eq!(read(&[text]), [], "{text:?}");
    }
}

fn line() -> impl Strategy<Value = Vec<u8>> {
    prop_oneof![
        "(data|id|event|retry|:|)(:| |: )[0-9a-z]{0,6}\r?".prop_map(String::into_bytes),
        Just(Vec::new()),
        vec(any::<u8>(), 0..12),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(512) })]

    /// No event is lost, made up or joined with another one by how its bytes
    /// came.
    #[test]
    fn pieces_of_any_size_give_the_same_events(lines in vec(line(), 0..30), sizes in vec(1_usize..9, 1..20)) {
        let bytes = lines.join(&b'\n');
        let whole = read(&[&bytes]);
        let mut pieces = Vec::new();
        let mut rest = bytes.as_slice();
        for size in sizes.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (piece, later) = rest.split_at((*size).min(rest.len()));
            pieces.push(piece);
            rest = later;
        }
        prop_assert_eq!(read(&pieces), whole.clone());
        let data: usize = whole.iter().map(|event| event.data.len()).sum();
        prop_assert!(data <= bytes.len());
    }
}
