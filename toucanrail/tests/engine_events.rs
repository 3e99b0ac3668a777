//! Events of an engine's stream, as the project's own interface reads them.

use toucanrail::usages::{EventKind, EventParser};

const TOKEN: &str = "data: {\"choices\":[{\"text\":\"a\"}]}";

fn kinds(parser: &mut EventParser) -> Vec<EventKind> {
    std::iter::from_fn(|| parser.next_event()).map(|event| event.kind).collect()
}

/// An engine ends its lines with CR LF. Its events must reach the caller as they come.
#[test]
fn line_ends() {
    for end in ["\n", "\r\n"] {
        let mut parser = EventParser::new();
        parser.feed(
            format!("{TOKEN}{end}{end}id: 2{end}{TOKEN}{end}{end}data: [DONE]{end}{end}da")
                .as_bytes(),
        );
        assert_eq!(kinds(&mut parser), [EventKind::Token, EventKind::Token, EventKind::Done]);
        assert!(parser.has_partial_event());
    }
}

/// A field's value may follow its colon with or without a blank.
#[test]
fn blank_before_value() {
    let mut parser = EventParser::new();
    parser.feed(b"data:[DONE]\n\n");
    assert_eq!(kinds(&mut parser), [EventKind::Done]);
}

/// An engine that never ends its event does not fill the memory.
#[test]
fn endless_event() {
    let mut parser = EventParser::new();
    let (mut fed, mut returned) = (0, 0);
    for _ in 0..400 {
        parser.feed(&[b'x'; 16 * 1_024]);
        fed += 16 * 1_024;
        while let Some(event) = parser.next_event() {
            assert_eq!(event.kind, EventKind::Other);
            returned += event.bytes.len();
        }
        assert!(fed - returned <= 2 << 20, "{} bytes are kept", fed - returned);
    }
    assert!(parser.has_partial_event());
    parser.feed(format!("\n\n{TOKEN}\n\n").as_bytes());
    assert_eq!(kinds(&mut parser), [EventKind::Other, EventKind::Token]);
    assert!(!parser.has_partial_event());
}
