//! What new requests must leave of a balance for streams that break off.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use toucanrail::loans::LoanId;
use toucanrail::resume_reserves::ReserveTable;

/// Time for which something is reserved for a stream that broke off.
const RETURN_TIME: u64 = 10;

fn loan(number: u64) -> LoanId {
    Arc::from(format!("front-1.a.{number}"))
}

/// Guards against a part of a balance that stays reserved for callers who do not return.
#[test]
fn absent_callers() {
    let (mut table, seconds) = (ReserveTable::default(), Duration::from_secs);
    table.begin(&loan(0), &Arc::from("acme"), 50);
    table.break_off(&loan(0), seconds(3));
    assert_eq!(table.reserved("acme", seconds(3 + RETURN_TIME - 1)), 50);
    assert_eq!(table.reserved("acme", seconds(3 + RETURN_TIME)), 0);
}

proptest! {
    /// Whatever begins, ends, breaks off and is taken up in any order: what runs is reserved, and what
    /// broke off lately less what was taken up since.
    #[test]
    fn reserved_amounts(steps in prop::collection::vec((0_u8..4, 0_u64..6, 1_u64..90, 0_u64..4), 0..80)) {
        let mut table = ReserveTable::default();
        let mut running: BTreeMap<u64, u64> = BTreeMap::new();
        let mut broken: Vec<(u64, u64)> = Vec::new();
        let mut now = 0;
        for (step, number, amount, elapsed) in steps {
            now += elapsed;
            broken.retain(|(at, left)| now < at + RETURN_TIME && *left > 0);
            let time = Duration::from_secs(now);
            match step {
                0 => {
                    table.begin(&loan(number), &Arc::from("acme"), amount);
                    running.entry(number).or_insert(amount);
                }
                1 => {
                    table.end(&loan(number));
                    running.remove(&number);
                }
                2 => {
                    table.break_off(&loan(number), time);
                    broken.extend(running.remove(&number).map(|amount| (now, amount)));
                }
                _ => {
                    table.take_up("acme", amount, time);
                    let mut left = amount;
                    for (_, reserved) in &mut broken {
                        let taken = left.min(*reserved);
                        (left, *reserved) = (left - taken, *reserved - taken);
                    }
                }
            }
            let expected = running.values().sum::<u64>()
                + broken.iter().map(|(_, left)| left).sum::<u64>();
            prop_assert_eq!(table.reserved("acme", time), expected);
            prop_assert_eq!(table.reserved("beta", time), 0);
        }
    }
}
