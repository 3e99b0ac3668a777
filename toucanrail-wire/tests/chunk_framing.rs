//! The end of a chunked body: a sender, this process and a server behind it must agree on it, or
//! one of them takes a part of the body for another message.

use proptest::prelude::*;
use toucanrail::scanners::ChunkScanner;

/// What a scanner found.
#[derive(Debug, PartialEq)]
enum Scanned {
    /// The body ends after this many bytes, and has this data.
    Done(usize, Vec<u8>),
    Incomplete,
    Malformed,
}

fn scan(bytes: &[u8], split: usize) -> Scanned {
    let mut scanner = ChunkScanner::new();
    let mut data = Vec::new();
    let (first, second) = bytes.split_at(split.min(bytes.len()));
    let mut length = scanner.feed_into(first, &mut data);
    if length == first.len() {
        length += scanner.feed_into(second, &mut data);
    }
    if scanner.is_malformed() {
        Scanned::Malformed
    } else if scanner.is_done() {
        Scanned::Done(length, data)
    } else {
        Scanned::Incomplete
    }
}

/// A second reading, with the chunk sizes of `httparse`; trailers are lines up to an empty one.
fn read_again(bytes: &[u8]) -> Option<(usize, Vec<u8>)> {
    let (mut position, mut data) = (0, Vec::new());
    loop {
        let line_end = position + find(&bytes[position..], b"\r\n")?;
        if bytes[position..line_end].contains(&b'\n') {
            return None;
        }
        let parsed = httparse::parse_chunk_size(&bytes[position..]).ok()?;
        let httparse::Status::Complete((used, size)) = parsed else {
            return None;
        };
        position += used;
        if size == 0 {
            break;
        }
        let end = position.checked_add(usize::try_from(size).ok()?)?;
        data.extend_from_slice(bytes.get(position..end)?);
        position = end;
        if bytes.get(position..position + 2)? != b"\r\n" {
            return None;
        }
        position += 2;
    }
    loop {
        let end = position + find(&bytes[position..], b"\r\n")?;
        let line = &bytes[position..end];
        if line.contains(&b'\n') || line.contains(&b'\r') {
            return None;
        }
        position = end + 2;
        if line.is_empty() {
            return Some((position, data));
        }
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|window| window == wanted)
}

/// A size line without a size is not the last chunk.
#[test]
fn empty_size() {
    for body in [&b"\r\n\r\n"[..], b"3\r\nabc\r\n\r\n\r\n", b";x\r\n\r\n"] {
        assert_eq!(scan(body, 0), Scanned::Malformed, "{body:?}");
    }
}

/// A carriage return is followed by a line feed, and by nothing else.
#[test]
fn broken_line_ends() {
    let bodies = [
        &b"3\rxabc\r\n0\r\n\r\n"[..],
        b"3\r\nabcx\n0\r\n\r\n",
        b"3\r\nabc\n0\r\n\r\n",
        b"3\r\nabc\rx0\r\n\r\n",
        b"3\r\nabc\r\n0\rx\r\n",
        b"3\r\nabc\r\n0\r\na: b\rx\r\n\r\n",
        b"3\r\nabc\r\n0\r\n\rx",
        b"3;a\nb\r\nabc\r\n0\r\n\r\n",
        b"3\nabc\r\n0\r\n\r\n",
    ];
    for body in bodies {
        assert_eq!(scan(body, 0), Scanned::Malformed, "{body:?}");
    }
}

/// A size that no number holds is not the largest one.
#[test]
fn huge_size() {
    assert_eq!(scan(b"10000000000000000\r\nabc", 0), Scanned::Malformed);
    assert_eq!(scan(b"ffffffffffffffff\r\nabc", 0), Scanned::Incomplete);
}

/// Trailers, which count as no part of a body, do not go on without end, and neither do extensions.
#[test]
fn endless_lines() {
    let mut trailers = b"0\r\n".to_vec();
    let mut extension = b"3;".to_vec();
    for _ in 0..10_000 {
        trailers.extend_from_slice(b"a: b\r\n");
        extension.extend_from_slice(b"a=b;");
    }
    assert_eq!(scan(&trailers, 0), Scanned::Malformed);
    assert_eq!(scan(&extension, 0), Scanned::Malformed);
}

/// A piece of a chunked body, as it should be or not.
fn piece() -> impl Strategy<Value = Vec<u8>> {
    let sound = prop_oneof![
        Just(b"3\r\nabc\r\n".to_vec()),
        Just(b"a;x=\"y\"\r\n0123456789\r\n".to_vec()),
        Just(b"0\r\n\r\n".to_vec()),
        Just(b"0\r\nx: y\r\n\r\n".to_vec()),
    ];
    let odd = prop::collection::vec(
        prop::sample::select(vec![b'\r', b'\n', b'0', b'1', b'f', b';', b' ', b'x', b':']),
        0..6,
    );
    prop_oneof![4 => sound, 1 => odd]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4_000))]

    /// Both readings agree on the end and the data of each body that this process takes for
    /// complete, however its bytes are split.
    #[test]
    fn second_reading(pieces in prop::collection::vec(piece(), 0..8), split in 0_usize..40) {
        let bytes = pieces.concat();
        let scanned = scan(&bytes, split);
        prop_assert_eq!(&scanned, &scan(&bytes, 0));
        match (scanned, read_again(&bytes)) {
            (Scanned::Done(length, data), again) => prop_assert_eq!(again, Some((length, data))),
            (Scanned::Incomplete, again) => prop_assert_eq!(again, None),
            (Scanned::Malformed, _) => {}
        }
    }
}
