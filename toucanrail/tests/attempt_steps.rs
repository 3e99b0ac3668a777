//! What follows a failed attempt, against the two promises it may not break.

use std::time::Duration;

use proptest::prelude::*;
use toucanrail::attempts::{AttemptHistory, AttemptOutcome, NextStep};
use toucanrail::codes::RunState;
use toucanrail::matching::RouteKind;
use toucanrail::retries::{RetryBounds, RetryBudget};

const LEFT: Duration = Duration::from_secs(1);
const WINDOW: Duration = Duration::from_secs(10);

fn any_fate() -> impl Strategy<Value = AttemptOutcome> {
    prop::sample::select(vec![
        AttemptOutcome::NotSent,
        AttemptOutcome::Declined,
        AttemptOutcome::Failed,
        AttemptOutcome::Lost,
        AttemptOutcome::TimedOut,
    ])
}

fn any_kind() -> impl Strategy<Value = RouteKind> {
    prop::sample::select(vec![
        RouteKind::Repeatable,
        RouteKind::Once,
        RouteKind::Stream { resumable: true },
        RouteKind::Stream { resumable: false },
    ])
}

proptest! {
    /// A request that may run once is sent again only while it provably has not run, and a status
    /// that promises so is given only then. No request goes to more servers than its route allows.
    #[test]
    fn promises_kept(
        kind in any_kind(),
        limit in 1_u32..4,
        fates in prop::collection::vec(any_fate(), 1..12),
    ) {
        let mut tally = AttemptHistory::new(kind, limit);
        for fate in fates {
            let ran = tally.may_have_run;
            prop_assert!(tally.sent < limit);
            prop_assert!(kind.is_repeatable() || !ran);
            tally.record(fate);
            match tally.next_step(fate, LEFT) {
                NextStep::Retry => continue,
                NextStep::Fail(code) if matches!(code.row().status, 429 | 503) => {
                    prop_assert_eq!(tally.run_state(), RunState::NotRun);
                }
                _ => {}
            }
            break;
        }
    }

    /// However entries divide a fleet's reserve of retries, they never exceed it together with
    /// their share of fresh requests.
    #[test]
    fn shared_budget(entries in 1_usize..30, steps in prop::collection::vec((0_usize..30, any::<bool>()), 0..400)) {
        let (share, reserve) = (0.12, 30.0);
        let bounds = RetryBounds { share, reserve: reserve / entries as f64, window: WINDOW };
        let mut budgets = vec![RetryBudget::with_bounds(bounds); entries];
        let (mut fresh, mut retries) = (0_u32, 0_u32);
        for (who, retry) in steps {
            let budget = &mut budgets[who % entries];
            if retry {
                retries += u32::from(budget.try_spend(Duration::ZERO));
            } else {
                budget.note_request(Duration::ZERO);
                fresh += 1;
            }
        }
        prop_assert!(f64::from(retries) <= reserve + share * f64::from(fresh) + 1e-6);
    }

    /// The same while time passes: in no window are there more retries than the reserve and twice the
    /// share of what was fresh in it or in the window before, whichever had more.
    #[test]
    fn sliding_windows(
        entries in 1_usize..8,
        steps in prop::collection::vec((0_usize..8, 0_u64..400, 0_u8..4), 0..600),
    ) {
        let (share, reserve) = (0.1, 8.0);
        let bounds = RetryBounds { share, reserve: reserve / entries as f64, window: WINDOW };
        let mut budgets = vec![RetryBudget::with_bounds(bounds); entries];
        let (mut fresh, mut retries) = (Vec::new(), Vec::new());
        let mut now = Duration::ZERO;
        for (who, pause, kind) in steps {
            now += Duration::from_millis(pause);
            let budget = &mut budgets[who % entries];
            if kind == 0 {
                budget.note_request(now);
                fresh.push(now);
            } else if budget.try_spend(now) {
                retries.push(now);
            }
        }
        let count = |times: &[Duration], from: Duration, to: Duration| {
            times.iter().filter(|time| (from..=to).contains(*time)).count() as f64
        };
        for end in &retries {
            let start = end.saturating_sub(WINDOW);
            let before = start.saturating_sub(WINDOW);
            let most = count(&fresh, start, *end).max(count(&fresh, before, start));
            let spent = count(&retries, start, *end);
            prop_assert!(spent <= reserve + 2.0 * share * most + 1e-6, "{spent} of {most}");
        }
    }
}

/// A service whose lookups fail one time in seven, in groups of three: callers got the failure although
/// another server would have answered. An entry's part of the fleet's reserve is 1.4, and what calm
/// seconds had earned was forgotten, so that of each group only the first was sent again.
#[test]
fn grouped_failures() {
    let bounds = RetryBounds { share: 0.1, reserve: 1.4, window: WINDOW };
    let mut budget = RetryBudget::with_bounds(bounds);
    // 13.7 requests a second, 4 of them lookups.
    let group = 13.7 / 4.0 * 7.0 * 3.0;
    let requests = (0..2_000).map(|number| Duration::from_secs_f64(f64::from(number) / 13.7));
    let mut refused = 0;
    for (number, now) in requests.enumerate() {
        budget.note_request(now);
        if number > 140 && (number as f64 % group) < 3.0 {
            refused += u32::from(!budget.try_spend(now));
        }
    }
    assert_eq!(refused, 0);
}

/// A stream breaks in the middle and may not be resumed: its caller must see that it is cut.
#[test]
fn broken_stream() {
    let mut tally = AttemptHistory::new(RouteKind::Stream { resumable: false }, 2);
    tally.begun = true;
    tally.record(AttemptOutcome::Broken);
    assert_eq!(tally.next_step(AttemptOutcome::Broken, LEFT), NextStep::Truncate);
}

/// A resumable stream breaks with an attempt and time to spare: another server goes on.
#[test]
fn resumed_stream() {
    let mut tally = AttemptHistory::new(RouteKind::Stream { resumable: true }, 2);
    tally.begun = true;
    tally.record(AttemptOutcome::Broken);
    assert_eq!(tally.next_step(AttemptOutcome::Broken, LEFT), NextStep::Retry);
    tally.record(AttemptOutcome::Broken);
    assert_eq!(tally.next_step(AttemptOutcome::Broken, LEFT), NextStep::Truncate);
}
