//! Fields that belong to one connection and are not forwarded.

use toucanrail_wire::heads::RequestHead;

fn forwarded(fields: &str) -> Vec<String> {
    let text = format!("GET / HTTP/1.1\r\nHost: x\r\n{fields}\r\n");
    let head = RequestHead::parse(text.as_bytes()).expect("a head");
    head.fields.end_to_end().map(|(name, _)| name.to_lowercase()).collect()
}

/// Each `Connection` field counts, not the first one alone.
#[test]
fn repeated_connection() {
    let fields = "Connection: close\r\nconnection: X-A, x-b\r\nX-A: 1\r\nX-B: 2\r\nX-C: 3\r\n";
    assert_eq!(forwarded(fields), ["host", "x-c"]);
}
