//! Faults that are changed while they are injected.

// Tests panic at the first unexpected result.
#![allow(clippy::unwrap_used)]

use http_types::{Method, Request, Url};
use toucanrail_standins::faults::FaultInjector;
use toucanrail_wire::listeners::ReceivedRequest;

const FAULTS: u64 = 20_000;

/// A control request that changes one fault must not restore another that was consumed meanwhile.
#[test]
fn concurrent_change() {
    let faults = FaultInjector::new();
    faults.change(|plan| plan.lose_answers = FAULTS);
    let control = faults.clone();
    let changing = std::thread::spawn(move || {
        while control.plan().lose_answers > 0 {
            let url = Url::parse("http://a/control/faults").unwrap();
            let request = Request::new(Method::Post, url);
            control.handle_control(&ReceivedRequest { request, body: b"{\"cut_after\":1}".into() });
        }
    });
    let consumed =
        std::iter::from_fn(|| faults.consume(|plan| &mut plan.lose_answers).then_some(()));
    assert_eq!(consumed.take(2 * FAULTS as usize).count() as u64, FAULTS);
    changing.join().unwrap();
}
