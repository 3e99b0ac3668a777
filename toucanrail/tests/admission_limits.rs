//! The adaptive admission limit under bursts, against servers that prefill in order of arrival.

use std::collections::VecDeque;
use std::time::Duration;

use toucanrail::admissions::{AdmissionLimit, AdmissionQuery, PendingRow};

const TICK: Duration = Duration::from_millis(1);
const LATENCY_TARGET: Duration = Duration::from_millis(500);
const FIRST_RANK: AdmissionQuery = AdmissionQuery { rank: 0, returned: false };

/// Servers that prefill `rate` tokens per millisecond, and the entry in front of them.
struct Pool {
    rate: f64,
    limited: bool,
    limit: AdmissionLimit,
    queue: VecDeque<(u64, Duration, f64)>,
    rng: fastrand::Rng,
    now: Duration,
    next: u64,
}

/// Outcomes of the requests of one phase.
#[derive(Debug, Default, Clone)]
struct PhaseTally {
    timely: u32,
    late: u32,
    refused: u32,
    waits: Vec<Duration>,
}

impl Pool {
    fn new(rate: f64, limited: bool, seed: u64) -> Self {
        let rng = fastrand::Rng::with_seed(seed);
        let limit = AdmissionLimit::default();
        Self { rate, limited, limit, queue: VecDeque::new(), rng, now: Duration::ZERO, next: 0 }
    }

    /// Simulates a phase in which `load` times as many tokens arrive as the pool can prefill.
    fn simulate(&mut self, load: f64, length: Duration) -> PhaseTally {
        let mut tally = PhaseTally::default();
        let end = self.now + length;
        while self.now < end {
            self.now += TICK;
            self.send_prompt(load, &mut tally);
            self.prefill(&mut tally);
        }
        tally
    }

    fn send_prompt(&mut self, load: f64, tally: &mut PhaseTally) {
        // Prompts of 400 to 8,000 tokens, most of them short.
        let work = 400.0 * 20_f64.powf(self.rng.f64().powi(2));
        if self.rng.f64() >= load * self.rate / 1_540.0 {
            return;
        }
        if self.limited && !self.limit.admits(FIRST_RANK, self.now) {
            tally.refused += 1;
            return;
        }
        self.next += 1;
        self.limit.record_sent(
            self.next,
            PendingRow { sent_at: self.now, latency_target: LATENCY_TARGET },
        );
        self.queue.push_back((self.next, self.now, work));
    }

    fn prefill(&mut self, tally: &mut PhaseTally) {
        let mut tokens = self.rate;
        while let Some((number, sent, work)) = self.queue.front_mut() {
            if *work > tokens {
                *work -= tokens;
                return;
            }
            tokens -= *work;
            let wait = self.now.saturating_sub(*sent);
            self.limit.record_first_event(*number, self.now);
            tally.waits.push(wait);
            *(if wait > LATENCY_TARGET { &mut tally.late } else { &mut tally.timely }) += 1;
            self.queue.pop_front();
        }
    }
}

fn median(tally: &PhaseTally) -> Duration {
    let mut waits = tally.waits.clone();
    waits.sort_unstable();
    waits[waits.len() / 2]
}

/// For ten seconds, the load is 2.5 times the usual one and 1.5 times what the servers can prefill.
/// Without a limit all requests are sent and nearly all first events are late; with it, most of
/// what the servers can prefill begins in time.
#[test]
fn long_burst() {
    for (seed, rate) in [(1, 50.0), (2, 200.0), (3, 900.0)] {
        let simulate = |limited| {
            let mut pool = Pool::new(rate, limited, seed);
            pool.simulate(0.6, Duration::from_secs(10));
            pool.simulate(1.5, Duration::from_secs(10))
        };
        let (unlimited, limited) = (simulate(false), simulate(true));
        let all = limited.timely + limited.late + limited.refused;
        assert!(
            unlimited.timely * 3 < unlimited.late,
            "{seed}: {} of {}",
            unlimited.timely,
            unlimited.late
        );
        // Two thirds of the load can be prefilled at all.
        assert!(f64::from(limited.timely) > f64::from(all) * 0.4, "{seed}: {}", limited.timely);
    }
}

/// The load falls after a burst: within two seconds, first events arrive as fast as before the
/// burst, and hardly any request is refused.
#[test]
fn burst_ends() {
    for (seed, rate) in [(4, 50.0), (5, 200.0), (6, 900.0)] {
        let mut pool = Pool::new(rate, true, seed);
        pool.simulate(0.6, Duration::from_secs(4));
        let before = pool.simulate(0.6, Duration::from_secs(10));
        pool.simulate(2.0, Duration::from_secs(10));
        pool.simulate(0.6, Duration::from_secs(2));
        let after = pool.simulate(0.6, Duration::from_secs(10));
        assert!(median(&after) <= median(&before) * 3 / 2, "{seed}: {:?}", median(&after));
        assert!(after.refused * 50 < after.timely, "{seed}: {} refused", after.refused);
    }
}

/// A few late first events at normal load, as those of the largest prompts, must not cause
/// refusals.
#[test]
fn normal_load() {
    let mut pool = Pool::new(100.0, true, 7);
    let tally = pool.simulate(0.6, Duration::from_secs(60));
    assert_eq!(tally.refused, 0);
}

/// Under overload the first rank is preferred to others, and callers that return after their delay
/// to both.
#[test]
fn ranks_first() {
    let mut pool = Pool::new(200.0, true, 8);
    pool.simulate(2.0, Duration::from_secs(5));
    let mut admitted = [0, 0, 0];
    for _ in 0..2_000 {
        pool.simulate(2.0, TICK);
        let queries = [(0, false), (2, false), (2, true)];
        for (count, (rank, returned)) in admitted.iter_mut().zip(queries) {
            *count += u32::from(pool.limit.admits(AdmissionQuery { rank, returned }, pool.now));
        }
    }
    let [first, third, returning] = admitted;
    assert!(third * 2 < first && first < returning, "{admitted:?}");
}

/// Guards against a service that looks overloaded because one of its servers sends bytes that are no
/// responses: requests that waited for it, beside a sound server, must not limit others.
#[test]
fn malformed_responses() {
    let mut limit = AdmissionLimit::default();
    for number in 0..400 {
        let now = TICK * 10 * number;
        let sent_at = now.saturating_sub(LATENCY_TARGET * 2);
        limit.record_sent(
            2 * u64::from(number),
            PendingRow { sent_at, latency_target: LATENCY_TARGET },
        );
        limit.record_malformed(2 * u64::from(number), now);
        limit.record_sent(
            2 * u64::from(number) + 1,
            PendingRow { sent_at: now, latency_target: LATENCY_TARGET },
        );
        assert!(limit.admits(FIRST_RANK, now));
        limit.record_first_event(2 * u64::from(number) + 1, now + TICK);
    }
    assert_eq!(limit.waiting(), (0, None));
}
