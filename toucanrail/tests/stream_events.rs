//! Scanning of event streams and chunked bodies, however their bytes are split.

use proptest::prelude::*;
use toucanrail::framing::{BodyDecoder, BodyEnd, ConnectionEnd};
use toucanrail::scanners::BodyLength;
use toucanrail::sse::{self, EventScanner};

fn make_stream(events: u64) -> Vec<u8> {
    (1..=events).flat_map(|id| format!("id: {id}\ndata: x{id}\n\n").into_bytes()).collect()
}

proptest! {
    /// A server may fail in the middle of an event, and another one resumes after the last complete
    /// event: the forwarded bytes must end with a complete event, however the reads are split.
    #[test]
    fn complete_events(events in 0_u64..20, splits in prop::collection::vec(1_usize..40, 0..40), end in 0_usize..400) {
        let stream = make_stream(events);
        let stream = &stream[..end.min(stream.len())];
        let mut scanner = EventScanner::new();
        let (mut pending, mut forwarded) = (Vec::new(), Vec::new());
        let mut rest = stream;
        for split in splits.into_iter().chain([usize::MAX]) {
            let (part, remaining) = rest.split_at(split.min(rest.len()));
            rest = remaining;
            pending.extend_from_slice(part);
            let complete = scanner.scan(&pending);
            forwarded.extend(pending.drain(..complete));
        }
        prop_assert_eq!(&forwarded[..], &make_stream(scanner.count)[..]);
        prop_assert_eq!(scanner.last_id.unwrap_or(0), scanner.count);
    }

    /// Guards against a stream that is broken off inside an event being taken for complete: without
    /// a length or chunks, it is complete only if the connection is closed behind an event.
    #[test]
    fn closed_connection(events in 0_u64..6, end in 0_usize..120, reset in any::<bool>()) {
        let stream = make_stream(events);
        let stream = &stream[..end.min(stream.len())];
        let mut decoder = BodyDecoder::for_response(BodyLength::Absent);
        let mut pending = Vec::new();
        decoder.feed(stream, &mut pending);
        let mut scanner = EventScanner::new();
        let partial_bytes = pending.len() - scanner.scan(&pending);
        let ending = if reset { ConnectionEnd::Reset } else { ConnectionEnd::Closed };
        let complete = sse::is_stream_complete(decoder.end_with(ending), scanner.count, partial_bytes);
        let boundaries: Vec<usize> = (1..=events).map(|count| make_stream(count).len()).collect();
        prop_assert_eq!(complete, !reset && boundaries.contains(&stream.len()));
    }

    /// Guards against a connection that ends early being taken for the end of a framed body.
    #[test]
    fn framed_end(length in 0_u64..50, received in 0_usize..50, reset in any::<bool>()) {
        let mut decoder = BodyDecoder::for_response(BodyLength::Exact(length));
        decoder.feed(&vec![b'x'; received], &mut Vec::new());
        let ending = if reset { ConnectionEnd::Reset } else { ConnectionEnd::Closed };
        let complete = received as u64 >= length;
        let expected = if complete { BodyEnd::Framed } else { BodyEnd::Truncated };
        prop_assert_eq!(decoder.end_with(ending), expected);
    }

    /// A chunked body is decoded to the same data however its bytes are split, and the bytes after
    /// it are not consumed.
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
        let mut decoder = BodyDecoder::for_response(BodyLength::Chunked);
        let (mut data, mut consumed) = (Vec::new(), 0);
        for piece in bytes.chunks(step) {
            consumed += decoder.feed(piece, &mut data);
        }
        prop_assert!(decoder.is_done());
        prop_assert_eq!(consumed, length);
        prop_assert_eq!(data, parts.concat());
    }
}

/// Bytes that are not a valid chunked body must not be accepted as a response.
#[test]
fn malformed_chunks() {
    let mut decoder = BodyDecoder::for_response(BodyLength::Chunked);
    decoder.feed(b"zz\r\nabc", &mut Vec::new());
    assert!(decoder.is_malformed() && !decoder.is_done());
    assert_eq!(decoder.end_with(ConnectionEnd::Closed), BodyEnd::Truncated);
}

/// Comments, which keep a connection open, and empty lines are no events: their callers are not
/// billed for them.
#[test]
fn blocks_without_fields() {
    let stream =
        b": ping\n\nid: 1\ndata: a\n\n\n\n:\n: id: 7\n\r\n: b\nid: 2\r\ndata:\r\n\r\ndata\n\n";
    let mut scanner = EventScanner::new();
    assert_eq!(scanner.scan(stream), stream.len());
    assert_eq!((scanner.count, scanner.last_id), (3, Some(2)));
}

/// A line of blanks is no end of an event.
#[test]
fn blank_line() {
    let mut scanner = EventScanner::new();
    let stream = b"id: 1\n  \ndata: a\n\n";
    assert_eq!(scanner.scan(stream), stream.len());
    assert_eq!((scanner.count, scanner.last_id), (1, Some(1)));
}

proptest! {
    /// Guards against an event that is held back because its end fell between two reads.
    #[test]
    fn split_event_ends(
        parts in prop::collection::vec(
            prop::sample::select(vec!["\n", "\r", "\r\n", "id: 1", ": c", "data: a\n", "\n\n"]),
            1..24,
        ),
    ) {
        let (mut scanner, mut lazy) = (EventScanner::new(), EventScanner::new());
        let (mut pending, mut scanned) = (Vec::new(), 0);
        for byte in parts.concat().bytes() {
            pending.push(byte);
            let complete = scanner.scan(&pending);
            let ends = sse::may_end_event(&pending, scanned);
            prop_assert_eq!(if ends { lazy.scan(&pending) } else { 0 }, complete);
            pending.drain(..complete);
            scanned = pending.len();
        }
        prop_assert_eq!((lazy.last_id, lazy.count), (scanner.last_id, scanner.count));
    }
}
