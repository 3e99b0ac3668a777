//! Admission by the load of an entry's own network link.

use std::time::Duration;

use toucanrail::link_gauges::{LinkCounts, LinkGauge};

/// Capacity of a small entry's link, in bytes a second.
const CAPACITY: f64 = 1_250_000.0;
const STEP: Duration = Duration::from_millis(20);
/// Bytes of one request and its response, each of which crosses the link once in each direction.
const REQUEST_BYTES: u64 = 5_000;

/// Plays ten seconds in which `per_s` requests a second arrive. Returns how many were admitted in
/// the last eight, and the largest load in them.
fn play(per_s: f64) -> (f64, f64) {
    let mut gauge = LinkGauge::new(Some(CAPACITY));
    let (mut counts, mut now, mut due) = (LinkCounts::default(), Duration::ZERO, 0.0);
    let (mut admitted, mut arrived, mut most) = (0_u32, 0_u32, 0.0_f64);
    while now < Duration::from_secs(10) {
        now += STEP;
        due += per_s * STEP.as_secs_f64();
        while due >= 1.0 {
            due -= 1.0;
            arrived += 1;
            // A sequence that is spread evenly over 0..1.
            let random = (f64::from(arrived) * 0.618_034).fract();
            if gauge.admits(random) {
                counts.received += REQUEST_BYTES;
                counts.sent += REQUEST_BYTES;
                admitted += u32::from(now > Duration::from_secs(2));
            }
        }
        gauge.record_counts(counts, now);
        if now > Duration::from_secs(2) {
            most = most.max(gauge.load());
        }
    }
    (f64::from(admitted) / 8.0, most)
}

/// One caller sends most of a data centre's requests to one small entry: 320 a second, of which its
/// link carries 250. Without a limit all of them were late, and loans and connections timed out.
#[test]
fn one_heavy_caller() {
    let (admitted, most) = play(320.0);
    assert!(most < 0.95, "load {most}");
    assert!(admitted > 150.0, "{admitted} a second");
}

/// A link that is half full refuses nothing.
#[test]
fn calm_link() {
    let (admitted, _) = play(120.0);
    assert!(admitted > 119.0, "{admitted} a second");
}

/// A process whose settings state no capacity refuses nothing.
#[test]
fn unknown_capacity() {
    let mut gauge = LinkGauge::new(None);
    gauge.record_counts(LinkCounts { received: 1 << 40, sent: 0 }, STEP);
    assert!(gauge.admits(0.0));
}
