//! Loans: delayed requests, repeated ends, and the choice of a customer's lender.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use proptest::prelude::*;
use toucanrail::grants::GrantHold;
use toucanrail::loans::{self, LoanId, LoanTable};

fn hold(amount: u64) -> GrantHold {
    GrantHold { customer: Arc::from("acme"), shard: Arc::from("acme"), epoch: 1, amount }
}

/// Guards against a loan that is never ended. An entry gives up on a loan request without a reply
/// and sends the end of the loan; the request arrives after the end and must not be granted.
#[test]
fn request_after_end() {
    let mut table = LoanTable::new();
    let loan: LoanId = Arc::from("e1.1");
    assert!(table.end(&loan).is_none());
    assert!(!table.can_open(&loan));
}

/// Guards against returning a loan twice. The reply to an end is lost and the entry sends the end
/// again; the second one must have no effect.
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
    /// The loss of a lender moves only its own customers, and the choice does not depend on the
    /// order of the list of lenders.
    #[test]
    fn stable_ranking(count in 2_usize..12, lost in 0_usize..12) {
        let address = SocketAddr::from(([10, 0, 0, 1], 1));
        let lenders: Vec<(Arc<str>, SocketAddr)> =
            (0..count).map(|number| (Arc::from(format!("side-{number}")), address)).collect();
        let lost = Arc::clone(&lenders[lost % count].0);
        let rest: Vec<_> =
            lenders.iter().rev().filter(|(name, _)| *name != lost).cloned().collect();
        let mut moved = BTreeMap::new();
        for customer in (0..50).map(|number| format!("c{number}")) {
            let before = Arc::clone(&loans::rank_lenders(&lenders, &customer)[0].0);
            let after = Arc::clone(&loans::rank_lenders(&rest, &customer)[0].0);
            if before != after {
                moved.insert(customer, before);
            }
        }
        prop_assert!(moved.values().all(|before| *before == lost));
    }
}
