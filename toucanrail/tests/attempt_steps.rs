//! What follows a failed attempt, and the guarantees on repeated requests.

use std::time::Duration;

use proptest::prelude::*;
use toucanrail::attempts::{AttemptHistory, AttemptOutcome, NextStep};
use toucanrail::codes::{self, RunState};
use toucanrail::matching::RouteKind;
use toucanrail::retries::{RetryBudget, RetryLimits};

const LEFT: Duration = Duration::from_secs(1);
const WINDOW: Duration = Duration::from_secs(10);

fn any_outcome() -> impl Strategy<Value = AttemptOutcome> {
    prop::sample::select(vec![
        AttemptOutcome::NotSent,
        AttemptOutcome::Declined,
        AttemptOutcome::Failed,
        AttemptOutcome::Unproved,
        AttemptOutcome::Lost,
        AttemptOutcome::Malformed,
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
    /// A request that must run at most once is sent again only while it has provably not run, and a
    /// status that says so is returned only in that case. No request is sent to more servers than
    /// its route allows.
    #[test]
    fn guarantees_kept(
        kind in any_kind(),
        limit in 1_u32..4,
        outcomes in prop::collection::vec(any_outcome(), 1..12),
    ) {
        let mut history = AttemptHistory::new(kind, limit);
        for outcome in outcomes {
            let ran = history.may_have_run;
            prop_assert!(history.sent < limit);
            prop_assert!(kind.is_repeatable() || !ran);
            history.record(outcome);
            match history.next_step(outcome, LEFT) {
                NextStep::Retry => continue,
                NextStep::Fail(code) if codes::implies_not_run(code.row().status) => {
                    prop_assert_eq!(history.run_state(), RunState::NotRun);
                }
                NextStep::Forward => prop_assert_ne!(outcome, AttemptOutcome::Unproved),
                _ => {}
            }
            break;
        }
    }

    /// Entries that divide the fleet's retry reserve in any way never exceed the reserve and their
    /// share of the original requests together.
    #[test]
    fn shared_budget(entries in 1_usize..30, steps in prop::collection::vec((0_usize..30, any::<bool>()), 0..400)) {
        let (share, reserve) = (0.12, 30.0);
        let limits = RetryLimits { share, reserve: reserve / entries as f64, window: WINDOW };
        let mut budgets = vec![RetryBudget::with_limits(limits); entries];
        let (mut fresh, mut retries) = (0_u32, 0_u32);
        for (index, retry) in steps {
            let budget = &mut budgets[index % entries];
            if retry {
                retries += u32::from(budget.try_spend(Duration::ZERO));
            } else {
                budget.record_request(Duration::ZERO);
                fresh += 1;
            }
        }
        prop_assert!(f64::from(retries) <= reserve + share * f64::from(fresh) + 1e-6);
    }

    /// The same bound over time: in no window are there more retries than the reserve plus twice
    /// the share of the original requests in it or in the window before, whichever had more.
    #[test]
    fn sliding_windows(
        entries in 1_usize..8,
        steps in prop::collection::vec((0_usize..8, 0_u64..400, 0_u8..4), 0..600),
    ) {
        let (share, reserve) = (0.1, 8.0);
        let limits = RetryLimits { share, reserve: reserve / entries as f64, window: WINDOW };
        let mut budgets = vec![RetryBudget::with_limits(limits); entries];
        let (mut fresh, mut retries) = (Vec::new(), Vec::new());
        let mut now = Duration::ZERO;
        for (index, pause, kind) in steps {
            now += Duration::from_millis(pause);
            let budget = &mut budgets[index % entries];
            if kind == 0 {
                budget.record_request(now);
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

/// Lookups fail one time in seven, in groups of three, and another server would have responded.
/// Guards against a budget that forgets what quiet seconds have earned: an entry whose part of the
/// fleet's reserve is 1.4 then retries only the first of each group, and callers get the other
/// failures.
#[test]
fn grouped_failures() {
    let limits = RetryLimits { share: 0.1, reserve: 1.4, window: WINDOW };
    let mut budget = RetryBudget::with_limits(limits);
    // 13.7 requests a second, 4 of them lookups.
    let group = 13.7 / 4.0 * 7.0 * 3.0;
    let requests = (0..2_000).map(|number| Duration::from_secs_f64(f64::from(number) / 13.7));
    let mut refused = 0;
    for (number, now) in requests.enumerate() {
        budget.record_request(now);
        if number > 140 && (number as f64 % group) < 3.0 {
            refused += u32::from(!budget.try_spend(now));
        }
    }
    assert_eq!(refused, 0);
}

/// A stream breaks and must not be resumed: its caller must see that it is truncated.
#[test]
fn broken_stream() {
    let mut history = AttemptHistory::new(RouteKind::Stream { resumable: false }, 2);
    history.begun = true;
    history.record(AttemptOutcome::Broken);
    assert_eq!(history.next_step(AttemptOutcome::Broken, LEFT), NextStep::Truncate);
}

/// A resumable stream breaks with an attempt and time left: another server continues it.
#[test]
fn resumed_stream() {
    let mut history = AttemptHistory::new(RouteKind::Stream { resumable: true }, 2);
    history.begun = true;
    history.record(AttemptOutcome::Broken);
    assert_eq!(history.next_step(AttemptOutcome::Broken, LEFT), NextStep::Retry);
    history.record(AttemptOutcome::Broken);
    assert_eq!(history.next_step(AttemptOutcome::Broken, LEFT), NextStep::Truncate);
}

/// The window of a budget changes. Retries spent before count until they are outside the new window,
/// and no longer.
#[test]
fn changed_window() {
    let limits = RetryLimits { share: 0.0, reserve: 10.0, window: Duration::from_secs(1) };
    for window in [WINDOW, Duration::from_millis(300)] {
        let mut budget = RetryBudget::with_limits(limits);
        let spent_at = Duration::from_secs(100);
        while budget.try_spend(spent_at) {}
        budget.set_limits(RetryLimits { window, ..limits });
        assert!(!budget.may_spend(spent_at + window.mul_f64(0.9)), "{window:?}");
        assert!(budget.may_spend(spent_at + window * 2), "{window:?}");
    }
}
