//! Loans: late orders, repeated ends, and which lender serves a customer.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use proptest::prelude::*;
use toucanrail::grants::GrantHold;
use toucanrail::loans::{self, LoanId, LoanTable};

fn hold(amount: u64) -> GrantHold {
    GrantHold { customer: Arc::from("acme"), shard: Arc::from("acme"), epoch: 1, amount }
}

/// A customer's budget shrinks although nobody uses it: an entry gives an order up without an answer
/// and ends the loan; the order arrives behind the end, is granted, and nobody ever returns it.
#[test]
fn late_order() {
    let mut table = LoanTable::new();
    let loan: LoanId = Arc::from("e1.1");
    assert!(table.end(&loan).is_none());
    assert!(!table.can_open(&loan));
}

/// The answer to an end is lost, and the entry sends it again. The second one must not end another
/// loan or give the amount back twice.
#[test]
fn repeated_end() {
    let mut table = LoanTable::new();
    let loan: LoanId = Arc::from("e1.1");
    table.open(&loan, hold(7));
    assert_eq!(table.end(&loan).map(|hold| hold.amount), Some(7));
    assert!(table.end(&loan).is_none());
    assert!(table.is_empty());
}

proptest! {
    /// A lender that is lost moves only its own customers, and entries that know the same lenders
    /// agree in whatever order they know them.
    #[test]
    fn stable_ranks(count in 2_usize..12, lost in 0_usize..12) {
        let address = SocketAddr::from(([10, 0, 0, 1], 1));
        let lenders: Vec<(Arc<str>, SocketAddr)> =
            (0..count).map(|at| (Arc::from(format!("side-{at}")), address)).collect();
        let lost = Arc::clone(&lenders[lost % count].0);
        let rest: Vec<_> =
            lenders.iter().rev().filter(|(name, _)| *name != lost).cloned().collect();
        let mut moved = BTreeMap::new();
        for customer in (0..50).map(|at| format!("c{at}")) {
            let before = Arc::clone(&loans::rank_lenders(&lenders, &customer)[0].0);
            let after = Arc::clone(&loans::rank_lenders(&rest, &customer)[0].0);
            if before != after {
                moved.insert(customer, before);
            }
        }
        prop_assert!(moved.values().all(|before| *before == lost));
    }
}
