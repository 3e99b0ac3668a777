//! Events found in the bytes of a stream, however these are cut.

use proptest::prelude::*;
use toucanrail::framing::BodyDecoder;
use toucanrail::scanners::BodyLength;
use toucanrail::sse::EventScanner;

fn make_stream(events: u64) -> Vec<u8> {
    (1..=events).flat_map(|id| format!("id: {id}\ndata: x{id}\n\n").into_bytes()).collect()
}

proptest! {
    /// A server breaks off in the middle of an event and another goes on behind the last whole one:
    /// what was passed on must end with a whole event, wherever the reads were cut.
    #[test]
    fn whole_events(events in 0_u64..20, cuts in prop::collection::vec(1_usize..40, 0..40), end in 0_usize..400) {
        let stream = make_stream(events);
        let stream = &stream[..end.min(stream.len())];
        let mut scanner = EventScanner::new();
        let (mut pending, mut passed) = (Vec::new(), Vec::new());
        let mut rest = stream;
        for cut in cuts.into_iter().chain([usize::MAX]) {
            let (part, left) = rest.split_at(cut.min(rest.len()));
            rest = left;
            pending.extend_from_slice(part);
            let whole = scanner.scan(&pending);
            passed.extend(pending.drain(..whole));
        }
        prop_assert_eq!(&passed[..], &make_stream(scanner.count)[..]);
        prop_assert_eq!(scanner.last_id.unwrap_or(0), scanner.count);
    }

    /// The data of a chunked body is the same however its bytes arrive, and bytes behind it are
    /// left alone.
    #[test]
    fn chunked_data(parts in prop::collection::vec(prop::collection::vec(any::<u8>(), 1..30), 0..10), step in 1_usize..50) {
        let mut bytes = Vec::new();
        for part in &parts {
            bytes.extend_from_slice(format!("{:X}\r\n", part.len()).as_bytes());
            bytes.extend_from_slice(part);
            bytes.extend_from_slice(b"\r\n");
        }
        bytes.extend_from_slice(b"0\r\n\r\n");
        let length = bytes.len();
        bytes.extend_from_slice(b"HTTP/1.1 200 OK");
        let mut framer = BodyDecoder::for_response(BodyLength::Chunked);
        let (mut data, mut taken) = (Vec::new(), 0);
        for piece in bytes.chunks(step) {
            taken += framer.feed(piece, &mut data);
        }
        prop_assert!(framer.is_done());
        prop_assert_eq!(taken, length);
        prop_assert_eq!(data, parts.concat());
    }
}

/// A server sends bytes that are no chunked body; none of them may pass as an answer.
#[test]
fn broken_chunks() {
    let mut framer = BodyDecoder::for_response(BodyLength::Chunked);
    framer.feed(b"zz\r\nabc", &mut Vec::new());
    assert!(framer.is_malformed() && !framer.is_done());
}
