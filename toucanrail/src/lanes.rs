//! Which servers take which prompts: some are set aside for long ones, slow ones take short ones, and
//! each session has a first server among those of its lane.
//!
//! All entries must find the same servers without telling one another, or a session's parts are read
//! twice; so all of it follows from ranks of the servers' ids, and from paces that all entries learn
//! alike.

use std::time::Duration;

use xxhash_rust::xxh3;

use crate::backends::BackendRow;
use crate::ids::Tokens;
use crate::paces;

/// Part of the servers set aside for prompts that are read for longer. They are about 13 % of the
/// prompts of long routes and a third of all tokens read, so that both parts are equally busy.
const LONG_PART: f64 = 1.0 / 3.0;
/// The same, of the others, where slow servers take the short prompts. Of 12 other servers 4 were too few:
/// the worst seconds of a day served 0.42 of what is owed, against 0.55 with 5.
const LONG_PART_BESIDE_SHORT: f64 = 0.4;
/// Fewest servers of which some are set aside.
const LONG_LEAST: usize = 4;
/// Seed of the rank by which servers are set aside; all entries pick the same.
const LONG_SEED: u64 = 0x746f_7563_616e;
/// Prompt tokens that an engine reads between two tokens of the other streams, and the time that it
/// takes with such a step, in milliseconds; from the users' engine sheet.
const STEP_TOKENS: Tokens = 4_096;
const STEP_TIME: f64 = 76.0;
/// Sessions of short prompts that a fast server is first for, against a slow one that takes only these.
/// Short prompts are two fifths of all tokens read and slow servers a third of all servers, which are then
/// equally busy.
const FAST_WEIGHT: f64 = 0.3;

/// How a prompt's reading shows in the streams beside it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromptSize {
    /// One step of the engine takes it in.
    Short,
    /// It takes some steps; together with another one they pause a slow server's streams for too long.
    Medium,
    /// It pauses every stream for longer than callers bear.
    Long,
}

impl PromptSize {
    /// Tells the size of a prompt by its tokens, its shared parts among them, and whether reading it
    /// pauses other streams for too long. All prompts of a session should be of one size.
    ///
    /// # Examples
    /// ```
    /// use toucanrail::lanes::PromptSize;
    /// assert_eq!(PromptSize::of(600, false), PromptSize::Short);
    /// ```
    pub fn of(prompt: Tokens, pauses: bool) -> Self {
        match prompt {
            _ if pauses => Self::Long,
            ..=STEP_TOKENS => Self::Short,
            _ => Self::Medium,
        }
    }
}

/// What a server is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerLane {
    /// Set aside for long prompts.
    Long,
    /// All others.
    Ordinary,
    /// Short prompts, since it is so slow that its streams pause for too long whenever it reads all the
    /// while. Seven steps make an event there after 692 ms, against 532 ms at a fast one; with prompts of
    /// all sizes two busy ones of 16 made 280 of 330 streams late.
    Short,
}

/// What the streams of a service bear.
#[derive(Debug, Clone, Copy)]
pub struct StreamBounds {
    /// Tokens in one event.
    pub stride: u64,
    /// Longest pause between events that callers bear; 0 for a plain service.
    pub pause: Duration,
}

impl StreamBounds {
    /// Tells whether an event comes in time at a server that reads prompts all the while.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// use toucanrail::lanes::StreamBounds;
    /// let bounds = StreamBounds { stride: 7, pause: Duration::from_millis(600) };
    /// assert!(bounds.bears(1.0) && !bounds.bears(1.3));
    /// ```
    pub fn bears(&self, factor: f64) -> bool {
        self.stride as f64 * STEP_TIME * factor <= self.pause.as_secs_f64() * 1_000.0
    }
}

/// A server that may take a request.
#[derive(Debug, Clone, Copy)]
pub struct LaneRow<'rows> {
    /// The server.
    pub row: &'rows BackendRow,
    /// How slow it is against the fast ones; 1 for these.
    pub factor: f64,
    /// What it is for.
    pub lane: ServerLane,
}

impl LaneRow<'_> {
    /// Tells whether sessions of prompts of a size may have this server as their first.
    pub fn suits(&self, size: PromptSize) -> bool {
        match size {
            PromptSize::Long => self.lane == ServerLane::Long,
            PromptSize::Medium => self.lane == ServerLane::Ordinary,
            PromptSize::Short => self.lane != ServerLane::Long,
        }
    }

    /// Returns how many sessions this server is first for, against others that suit them.
    fn weight(&self, size: PromptSize, has_short: bool) -> f64 {
        match self.lane {
            ServerLane::Ordinary if has_short && size == PromptSize::Short => FAST_WEIGHT,
            ServerLane::Ordinary => 1.0 / self.factor,
            _ => 1.0,
        }
    }
}

/// Divides servers into lanes, so that long prompts disturb one another and not the many short streams:
/// placed anywhere, 5 % of the prompts made a fifth of all streams late. The fast servers are set aside
/// first: what a fast one reads within the pauses that callers bear, a slow one does not.
pub fn divide_rows<'rows>(rows: &[&'rows BackendRow], bounds: StreamBounds) -> Vec<LaneRow<'rows>> {
    let paces: Vec<_> = rows.iter().map(|row| row.pace).collect();
    let factors = paces::compare_paces(&paces);
    let lane = |(row, factor): (&&'rows BackendRow, f64)| {
        let short = factor > 1.0 && !bounds.bears(factor);
        let lane = if short { ServerLane::Short } else { ServerLane::Ordinary };
        LaneRow { row, factor, lane }
    };
    let mut lanes: Vec<LaneRow<'_>> = rows.iter().zip(factors).map(lane).collect();
    if bounds.pause.is_zero() || rows.len() < LONG_LEAST {
        return lanes;
    }
    lanes.sort_by_cached_key(|lane| {
        let rank = xxh3::xxh3_64_with_seed(lane.row.entry.id.as_bytes(), LONG_SEED);
        (lane.factor > 1.0, rank)
    });
    let medium = lanes.iter().filter(|lane| lane.lane == ServerLane::Ordinary).count();
    let part = if medium < rows.len() { LONG_PART_BESIDE_SHORT } else { LONG_PART };
    for lane in lanes.iter_mut().take((medium as f64 * part).ceil() as usize) {
        lane.lane = ServerLane::Long;
    }
    lanes
}

/// Returns the server that is first by rendezvous rank for a key among those that suit a size, so that
/// all entries keep a session's parts at one server without telling one another; among all where none
/// suits.
pub fn rank_first<'lanes, 'rows>(
    lanes: &'lanes [LaneRow<'rows>],
    size: PromptSize,
    key: u64,
) -> Option<&'lanes LaneRow<'rows>> {
    let has_short = lanes.iter().any(|lane| lane.lane == ServerLane::Short);
    let wait = |lane: &&LaneRow<'_>| {
        let hash = xxh3::xxh3_64_with_seed(lane.row.entry.id.as_bytes(), key);
        let draw = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        -draw.ln() / lane.weight(size, has_short)
    };
    let first = |suits: bool| {
        let rows = lanes.iter().filter(|lane| !suits || lane.suits(size));
        rows.min_by(|one, other| wait(one).total_cmp(&wait(other)))
    };
    first(true).or_else(|| first(false))
}
