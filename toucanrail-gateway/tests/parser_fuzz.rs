//! Fuzzing of every parser that meets bytes from outside: the examples in `corpus`, changed at
//! random.
//!
//! `TOUCANRAIL_FUZZ_ROUNDS` sets the number of changed examples for each parser, and
//! `TOUCANRAIL_FUZZ_SEED` the seed. An input that fails is printed; it is added to `corpus` with its
//! fix.

use std::fmt::Debug;
use std::path::Path;
use std::time::{Duration, Instant};

use fastrand::Rng;
use toucanrail::budgets::BudgetShard;
use toucanrail::call_patterns::CallPattern;
use toucanrail::framing::BodyDecoder;
use toucanrail::holds::{HoldQuery, SuspectReport};
use toucanrail::loans::{LoanEnd, LoanRequest};
use toucanrail::messages::ChangesQuery;
use toucanrail::origins::OriginReport;
use toucanrail::permits::PermitRequest;
use toucanrail::scanners::{self, BodyLength, ChunkScanner};
use toucanrail::sse::EventScanner;
use toucanrail::usages::{self, EventParser};
use toucanrail::{storecalls, token_counts};
use toucanrail_platform::requests::{self, ForwardInfo};
use toucanrail_platform::{configs, names, registrations, reports, settings};
use toucanrail_wire::heads::{RequestHead, ResponseHead};
use toucanrail_wire::{keepalive, rpc};

/// Changed examples for each parser in a CI run.
const ROUNDS: usize = 20_000;
const SEED: u64 = 1;
/// Maximum number of changes to an example.
const MAX_CHANGES: usize = 6;
/// Maximum time for one input; any parser takes microseconds.
const MAX_TIME: Duration = Duration::from_secs(1);
/// Words that are often inserted, as parsers decide by them.
const WORDS: [&[u8]; 22] = [
    b"\r\n",
    b"\n",
    b"\r",
    b"\r\n\r\n",
    b":",
    b" ",
    b"\t",
    b",",
    b";",
    b"0",
    b"-1",
    b"nan",
    b"1e400",
    b"18446744073709551615",
    b"18446744073709551616",
    b"null",
    b"\"",
    b"{",
    b"[",
    b"\0",
    b"\xff",
    b"Content-Length: 5\r\n",
];

fn setting<Number>(name: &str, default: Number) -> Number
where
    Number: std::str::FromStr,
{
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Returns the examples of all formats: one parser's example is another one's odd input.
fn read_corpus() -> Vec<Vec<u8>> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/corpus");
    let mut paths: Vec<_> = directory
        .read_dir()
        .expect("the corpus")
        .map(|entry| entry.expect("a file").path())
        .collect();
    paths.sort();
    paths.iter().map(|path| std::fs::read(path).expect("an example")).collect()
}

fn change(rng: &mut Rng, bytes: &mut Vec<u8>, corpus: &[Vec<u8>]) {
    let at = rng.usize(0..=bytes.len());
    let end = (at + rng.usize(0..=8)).min(bytes.len());
    match rng.u8(0..7) {
        0 if at < bytes.len() => bytes[at] ^= 1 << rng.u8(0..8),
        1 => bytes.insert(at, rng.u8(..)),
        2 => drop(bytes.drain(at..end)),
        3 => {
            let part = bytes[at..end].to_vec();
            bytes.splice(at..at, part);
        }
        4 => bytes.truncate(at),
        5 => {
            let other = &corpus[rng.usize(0..corpus.len())];
            let from = rng.usize(0..=other.len());
            let part = other[from..(from + rng.usize(0..=40)).min(other.len())].to_vec();
            bytes.splice(at..at, part);
        }
        _ => {
            let word = WORDS[rng.usize(0..WORDS.len())];
            bytes.splice(at..end, word.iter().copied());
        }
    }
}

/// Runs a check on changed examples, mostly of the format `name`.
fn fuzz<Check>(name: &str, check: Check)
where
    Check: Fn(&[u8], &mut Rng),
{
    let corpus = read_corpus();
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/corpus");
    let example = std::fs::read(directory.join(name)).expect("an example");
    let mut rng = Rng::with_seed(setting("TOUCANRAIL_FUZZ_SEED", SEED));
    for _ in 0..setting("TOUCANRAIL_FUZZ_ROUNDS", ROUNDS) {
        let foreign = rng.u8(0..8) == 0;
        let mut bytes =
            if foreign { corpus[rng.usize(0..corpus.len())].clone() } else { example.clone() };
        for _ in 0..rng.usize(0..=MAX_CHANGES) {
            change(&mut rng, &mut bytes, &corpus);
        }
        let input = FuzzInput(&bytes);
        let start = Instant::now();
        check(&bytes, &mut rng);
        assert!(start.elapsed() < MAX_TIME, "{:?}", start.elapsed());
        std::mem::forget(input);
    }
}

/// Prints the input if its check panics.
struct FuzzInput<'bytes>(&'bytes [u8]);

impl Drop for FuzzInput<'_> {
    fn drop(&mut self) {
        eprintln!("input: {:?}", String::from_utf8_lossy(self.0));
    }
}

/// Returns the fields of a head by a second, plain reading.
fn read_fields(head: &[u8]) -> Vec<(String, String)> {
    let text = String::from_utf8_lossy(head);
    let lines = text.split("\r\n").skip(1).take_while(|line| !line.is_empty());
    let fields = lines.filter_map(|line| line.split_once(':'));
    fields
        .map(|(name, value)| (name.to_lowercase(), value.trim_matches([' ', '\t']).to_owned()))
        .collect()
}

fn count(fields: &[(String, String)], name: &str) -> usize {
    fields.iter().filter(|(known, _)| *known == name.to_lowercase()).count()
}

/// A request's head is forwarded as one head: with the fleet's fields once, at most one length, and
/// nothing that a server reads as another request.
#[test]
fn request_heads() {
    for name in ["request-head", "request-head-chunked", "request-head-odd"] {
        fuzz(name, |bytes, _| {
            let Some(end) = scanners::find_head_end(bytes) else {
                return;
            };
            let Ok(head) = RequestHead::parse(&bytes[..end]) else {
                return;
            };
            let known = read_fields(&bytes[..end]);
            assert_eq!(head.fields.iter().count(), known.len());
            assert!(count(&known, "content-length") + count(&known, "transfer-encoding") <= 1);
            let info = requests::parse_request(&head);
            if let Some(prompt) = &info.prompt {
                assert!(prompt.max_usage() <= 2 * token_counts::MAX_COUNT);
                assert!(prompt.parts.iter().all(|part| part.tokens <= token_counts::MAX_COUNT));
            }
            let forward = ForwardInfo {
                backend: &"i-1".into(),
                customer: Some(&"acme".into()),
                time_left: info.timeout.unwrap_or_default(),
                urgency: 3,
                fetch_source: None,
                last_event: info.last_event,
                body_length: Some(7),
            };
            let written = requests::write_request_head(&head, &forward);
            assert_eq!(scanners::find_head_end(&written), Some(written.len()));
            let again = RequestHead::parse(&written).expect("a valid head");
            assert_eq!((again.method(), again.target()), (head.method(), head.target()));
            assert_eq!(again.length, BodyLength::Exact(7));
            let fields = read_fields(&written);
            for name in [names::TARGET_HEADER, names::CUSTOMER_HEADER, names::TIMEOUT_HEADER] {
                assert_eq!(count(&fields, name), 1, "{name}");
            }
            for name in ["authorization", "proxy-authorization", "transfer-encoding", "connection"]
            {
                assert_eq!(count(&fields, name), 0, "{name}");
            }
        });
    }
}

#[test]
fn response_heads() {
    for name in ["response-head", "response-head-declined", "response-head-status"] {
        fuzz(name, |bytes, _| {
            let Some(end) = scanners::find_head_end(bytes) else {
                return;
            };
            let Ok(head) = ResponseHead::parse(&bytes[..end]) else {
                return;
            };
            let info = requests::parse_response(&head, "9c41");
            assert!(info.rate_limit.is_none_or(|rate| rate.is_finite() && rate >= 0.0));
            assert!((100..600).contains(&head.status));
            let has_line_end = |text: &str| text.contains(['\r', '\n', '\0']);
            assert!(!has_line_end(head.reason()));
            for (name, value) in head.fields.iter() {
                assert!(!has_line_end(name) && !has_line_end(value), "{name}: {value}");
                keepalive::parse_keep_alive(value);
            }
        });
    }
}

/// A body's end does not depend on how its bytes are split.
#[test]
fn chunked_bodies() {
    let scan = |parts: &[&[u8]]| {
        let mut scanner = ChunkScanner::new();
        let (mut data, mut length) = (Vec::new(), 0);
        for part in parts {
            let used = scanner.feed_into(part, &mut data);
            length += used;
            if used < part.len() {
                break;
            }
        }
        (scanner.is_done(), scanner.is_malformed(), length, data)
    };
    fuzz("chunked-body", |bytes, rng| {
        let (first, second) = bytes.split_at(rng.usize(0..=bytes.len()));
        let whole = scan(&[bytes]);
        assert_eq!(scan(&[first, second]), whole);
        let (is_done, is_malformed, length, data) = whole;
        assert!(!(is_done && is_malformed) && length <= bytes.len() && data.len() <= length);
        let mut decoder = BodyDecoder::for_response(BodyLength::Chunked);
        let mut body = Vec::new();
        decoder.feed(bytes, &mut body);
        assert_eq!((decoder.is_done(), body), (is_done, data));
    });
}

/// The events of a stream do not depend on how its bytes are split.
#[test]
fn event_streams() {
    let scan = |parts: &[&[u8]]| {
        let mut scanner = EventScanner::new();
        let (mut pending, mut forwarded) = (Vec::new(), Vec::new());
        for part in parts {
            pending.extend_from_slice(part);
            let complete = scanner.scan(&pending);
            forwarded.extend(pending.drain(..complete));
        }
        (scanner.count, scanner.last_id, forwarded, pending)
    };
    fuzz("event-stream", |bytes, rng| {
        let (first, second) = bytes.split_at(rng.usize(0..=bytes.len()));
        let whole = scan(&[bytes]);
        assert_eq!(scan(&[first, second]), whole);
        let (count, _, forwarded, pending) = whole;
        assert_eq!([forwarded, pending].concat(), bytes);
        assert!(count as usize <= bytes.len());
    });
}

/// Usage that engines report.
#[test]
fn usage_fields() {
    fuzz("usage-body", |bytes, _| {
        usages::parse_usage(bytes).map(|usage| usage.total());
    });
    fuzz("usage-events", |bytes, rng| {
        let (first, second) = bytes.split_at(rng.usize(0..=bytes.len()));
        let mut parser = EventParser::new();
        let mut events = 0;
        for part in [first, second] {
            parser.feed(part);
            while let Some(event) = parser.next_event() {
                events += 1;
                assert!(!event.bytes.is_empty());
            }
        }
        assert!(events <= bytes.len());
    });
}

/// What servers and the operator write into the store.
#[test]
fn store_objects() {
    fuzz("registration", |bytes, _| {
        registrations::decode_server(&"i-1".into(), 1, bytes).ok();
    });
    fuzz("load-report", |bytes, _| drop(reports::decode_report(bytes)));
    fuzz("configuration", |bytes, _| drop(configs::decode_config(bytes)));
    fuzz("budget-shard", |bytes, _| {
        let shard: Option<BudgetShard> = storecalls::decode_value(bytes);
        if let Some(shard) = shard {
            shard.is_within_prepaid();
            shard.count_holder_names();
            shard.accounts.values().for_each(|account| {
                shard.stranded(account);
                assert!(account.unallocated() <= account.prepaid);
            });
        }
    });
}

#[test]
fn settings_files() {
    fuzz("settings", |bytes, _| {
        settings::decode_settings(&String::from_utf8_lossy(bytes)).ok();
    });
}

/// Paths that callers choose.
#[test]
fn call_paths() {
    fuzz("call-path", |bytes, _| {
        let text = String::from_utf8_lossy(bytes);
        CallPattern::parse(&text).map(|pattern| pattern.matches("POST", &text));
        let pattern = CallPattern::parse("POST /deposits").expect("a pattern");
        let is_plain = text.starts_with("/deposits");
        assert!(pattern.matches("POST", &text) || !is_plain);
    });
}

/// Messages between the system's own processes.
#[test]
fn internal_messages() {
    fn decode<Message>(bytes: &[u8])
    where
        Message: serde::de::DeserializeOwned + Debug,
    {
        rpc::decode::<Message>(bytes).ok();
    }
    fuzz("load-report", |bytes, _| {
        decode::<LoanRequest>(bytes);
        decode::<Vec<LoanEnd>>(bytes);
        decode::<ChangesQuery>(bytes);
        decode::<PermitRequest>(bytes);
        decode::<OriginReport>(bytes);
        decode::<SuspectReport>(bytes);
        decode::<HoldQuery>(bytes);
    });
}
