//! Cached responses to requests with an idempotency key.

use std::sync::Arc;

use toucanrail::messages::{HeaderField, StoredResponse};
use toucanrail::replays::ReplayTable;

/// Responses without a body but with large header fields must not fill the memory: the oldest are
/// evicted.
#[test]
fn large_fields() {
    let mut table = ReplayTable::new();
    let digest = Arc::from("digest");
    let field = HeaderField { name: Arc::from("x-trace"), value: Arc::from("a".repeat(4_096)) };
    let requests: Vec<Arc<str>> = (0..20_000).map(|at| Arc::from(format!("r{at}"))).collect();
    for request in &requests {
        assert_eq!(table.begin(request, &digest), Ok(None));
        let fields = vec![field.clone()];
        table.end(request, Some(StoredResponse { status: 200, fields, body: Vec::new() }));
    }
    let mut is_cached = |request| matches!(table.begin(request, &digest), Ok(Some(_)));
    assert!(is_cached(&requests[19_999]));
    let cached = requests.iter().filter(|request| is_cached(request)).count();
    assert!(cached * 4_096 <= 16 << 20, "{cached} responses are cached");
}
