//! What follows a failed attempt, against the two promises it may not break.

use std::time::Duration;

use proptest::prelude::*;
use toucanrail::attempting::{AttemptFate, AttemptTally, NextStep};
use toucanrail::codes::RunState;
use toucanrail::matching::RouteKind;
use toucanrail::retries::RetryBudget;

const LEFT: Duration = Duration::from_secs(1);

fn any_fate() -> impl Strategy<Value = AttemptFate> {
    prop::sample::select(vec![
        AttemptFate::NotSent,
        AttemptFate::Declined,
        AttemptFate::Failed,
        AttemptFate::Lost,
        AttemptFate::TimedOut,
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
        let mut tally = AttemptTally::new(kind, limit);
        for fate in fates {
            let ran = tally.may_have_run;
            prop_assert!(tally.sent < limit);
            prop_assert!(kind.is_repeatable() || !ran);
            tally.note(fate);
            match tally.decide(fate, LEFT) {
                NextStep::Again => continue,
                NextStep::Answer(code) if matches!(code.row().status, 429 | 503) => {
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
        let mut budgets = vec![RetryBudget::with_bounds(share, reserve / entries as f64); entries];
        let (mut fresh, mut retries) = (0_u32, 0_u32);
        for (who, retry) in steps {
            let budget = &mut budgets[who % entries];
            if retry {
                retries += u32::from(budget.try_spend());
            } else {
                budget.note_fresh();
                fresh += 1;
            }
        }
        prop_assert!(f64::from(retries) <= reserve + share * f64::from(fresh) + 1e-6);
    }
}

/// A stream breaks in the middle and may not be resumed: its caller must see that it is cut.
#[test]
fn broken_stream() {
    let mut tally = AttemptTally::new(RouteKind::Stream { resumable: false }, 2);
    tally.begun = true;
    tally.note(AttemptFate::Broken);
    assert_eq!(tally.decide(AttemptFate::Broken, LEFT), NextStep::Cut);
}

/// A resumable stream breaks with an attempt and time to spare: another server goes on.
#[test]
fn resumed_stream() {
    let mut tally = AttemptTally::new(RouteKind::Stream { resumable: true }, 2);
    tally.begun = true;
    tally.note(AttemptFate::Broken);
    assert_eq!(tally.decide(AttemptFate::Broken, LEFT), NextStep::Again);
    tally.note(AttemptFate::Broken);
    assert_eq!(tally.decide(AttemptFate::Broken, LEFT), NextStep::Cut);
}
