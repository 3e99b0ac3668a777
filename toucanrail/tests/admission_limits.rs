//! The limit of unread work under bursts, against servers that read in order of arrival.

use std::collections::VecDeque;
use std::time::Duration;

use toucanrail::admissions::{AdmissionLimit, AdmissionQuery, PendingRow};

const TICK: Duration = Duration::from_millis(1);
const AIM: Duration = Duration::from_millis(500);
const FIRST: AdmissionQuery = AdmissionQuery { rank: 0, returned: false };

/// A pool of servers that reads a number of tokens in a millisecond, and the entry before it.
struct Pool {
    rate: f64,
    limited: bool,
    limit: AdmissionLimit,
    queue: VecDeque<(u64, Duration, f64)>,
    rng: fastrand::Rng,
    now: Duration,
    next: u64,
}

/// What became of the requests of one phase.
#[derive(Debug, Default, Clone)]
struct Tally {
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

    /// Plays a phase in which `load` times the tokens come that the pool reads.
    fn play(&mut self, load: f64, length: Duration) -> Tally {
        let mut tally = Tally::default();
        let end = self.now + length;
        while self.now < end {
            self.now += TICK;
            self.arrive(load, &mut tally);
            self.read(&mut tally);
        }
        tally
    }

    fn arrive(&mut self, load: f64, tally: &mut Tally) {
        // Prompts of 400 to 8,000 tokens, most of them short.
        let work = 400.0 * 20_f64.powf(self.rng.f64().powi(2));
        if self.rng.f64() >= load * self.rate / 1_540.0 {
            return;
        }
        if self.limited && !self.limit.admits(FIRST, self.now) {
            tally.refused += 1;
            return;
        }
        self.next += 1;
        self.limit.note_sent(self.next, PendingRow { sent_at: self.now, latency_target: AIM });
        self.queue.push_back((self.next, self.now, work));
    }

    fn read(&mut self, tally: &mut Tally) {
        let mut tokens = self.rate;
        while let Some((number, sent, work)) = self.queue.front_mut() {
            if *work > tokens {
                *work -= tokens;
                return;
            }
            tokens -= *work;
            let wait = self.now.saturating_sub(*sent);
            self.limit.note_first_event(*number, self.now);
            tally.waits.push(wait);
            *(if wait > AIM { &mut tally.late } else { &mut tally.timely }) += 1;
            self.queue.pop_front();
        }
    }
}

fn median(tally: &Tally) -> Duration {
    let mut waits = tally.waits.clone();
    waits.sort_unstable();
    waits[waits.len() / 2]
}

/// Two and a half times the usual load for ten seconds: all of it was sent, and nearly all first events
/// were late. With a limit most of what the servers can read is read in time.
#[test]
fn long_burst() {
    for (seed, rate) in [(1, 50.0), (2, 200.0), (3, 900.0)] {
        let play = |limited| {
            let mut pool = Pool::new(rate, limited, seed);
            pool.play(0.6, Duration::from_secs(10));
            pool.play(1.5, Duration::from_secs(10))
        };
        let (free, limited) = (play(false), play(true));
        let all = limited.timely + limited.late + limited.refused;
        assert!(free.timely * 3 < free.late, "{seed}: {} of {}", free.timely, free.late);
        // Two thirds of the load can be read at all.
        assert!(f64::from(limited.timely) > f64::from(all) * 0.4, "{seed}: {}", limited.timely);
    }
}

/// The load falls after a burst: within two seconds first events come as fast as before, and nobody is
/// refused any more.
#[test]
fn burst_ends() {
    for (seed, rate) in [(4, 50.0), (5, 200.0), (6, 900.0)] {
        let mut pool = Pool::new(rate, true, seed);
        pool.play(0.6, Duration::from_secs(4));
        let calm = pool.play(0.6, Duration::from_secs(10));
        pool.play(2.0, Duration::from_secs(10));
        pool.play(0.6, Duration::from_secs(2));
        let after = pool.play(0.6, Duration::from_secs(10));
        assert!(median(&after) <= median(&calm) * 3 / 2, "{seed}: {:?}", median(&after));
        assert!(after.refused * 50 < after.timely, "{seed}: {} refused", after.refused);
    }
}

/// Some first events are late in calm times, as those of the largest prompts: nothing is refused.
#[test]
fn calm_load() {
    let mut pool = Pool::new(100.0, true, 7);
    let calm = pool.play(0.6, Duration::from_secs(60));
    assert_eq!(calm.refused, 0);
}

/// Under pressure the first rank goes before others, and who comes back as told before both.
#[test]
fn ranks_first() {
    let mut pool = Pool::new(200.0, true, 8);
    pool.play(2.0, Duration::from_secs(5));
    let mut admitted = [0, 0, 0];
    for _ in 0..2_000 {
        pool.play(2.0, TICK);
        let queries = [(0, false), (2, false), (2, true)];
        for (count, (rank, returned)) in admitted.iter_mut().zip(queries) {
            *count += u32::from(pool.limit.admits(AdmissionQuery { rank, returned }, pool.now));
        }
    }
    let [first, third, back] = admitted;
    assert!(third * 2 < first && first < back, "{admitted:?}");
}
