//! Token amounts of any size: none wraps, and no account commits more than it has.

mod bills;

use std::sync::Arc;
use std::time::Duration;

use bills::customer;
use proptest::prelude::*;
use toucanrail::accounts::GrantAccount;
use toucanrail::batches::BatchRoom;
use toucanrail::budgets::{BillRow, BudgetAccount, BudgetShard};
use toucanrail::grants::GrantTable;
use toucanrail::ids::{Epoch, Tokens};
use toucanrail::policies::{self, GrantChange, GrantPolicy, GrantView};
use toucanrail::storecalls::{self, StoreCall, StoreReply};
use toucanrail::syncs::{SyncMachine, SyncOutcome};

const POLICIES: [GrantPolicy; 4] = [
    GrantPolicy::EqualSplit,
    GrantPolicy::FixedAmount { headroom: Tokens::MAX },
    GrantPolicy::BurnRate { horizon: Duration::from_secs(5), floor: 2_000, recall: true },
    GrantPolicy::OutageTolerant {
        horizon: Duration::from_secs(5),
        floor: 15_000,
        max_fraction: 0.15,
    },
];

/// Amounts near the ends of the type's range, near zero, and any.
fn amount() -> impl Strategy<Value = Tokens> {
    prop_oneof![
        0..1_000_u64,
        Tokens::MAX - 1_000..=Tokens::MAX,
        Just(Tokens::MAX / 2 + 1),
        any::<Tokens>(),
    ]
}

fn make_bill(epoch: Epoch, billed: Tokens, written_off: Tokens, unproved: Tokens) -> BillRow {
    BillRow { written_off, unproved, ..bills::make_bill("r1", epoch, billed) }
}

/// A server reports more usage than the request's hold. The bill takes no more than the hold, so
/// that the grant covers it and the shard settles it.
#[test]
fn bill_over_hold() {
    let mut account = GrantAccount::with_total(100);
    account.granted = 100;
    account.begin_hold(50);
    account.end_hold(50, Some(make_bill(1, 40, 0, 40)));
    assert_eq!((account.unsettled_total(), account.available()), (50, 50));
    assert_eq!(account.unsettled[0].billed, 40);
    account.update_burn_rate(Duration::from_secs(1));
    assert!((49.0..=51.0).contains(&account.burn), "{}", account.burn);
}

fn run_sync(table: &mut GrantTable, shard: &BudgetShard, policy: GrantPolicy) -> BudgetShard {
    let mut stored = (1, shard.clone());
    let Some(plan) = table.plan_sync(&customer(), false) else {
        return stored.1;
    };
    let mut machine = SyncMachine::new(plan, policy, None);
    while let Some(call) = machine.next_call() {
        let reply = match call {
            StoreCall::Get { path } if path.starts_with("budgets/") => {
                StoreReply::Found { version: stored.0, value: storecalls::encode_value(&stored.1) }
            }
            StoreCall::Get { .. } => StoreReply::Missing,
            StoreCall::Put { path, value, .. } if path.starts_with("budgets/") => {
                stored = (stored.0 + 1, storecalls::decode_value(&value).expect("a shard"));
                StoreReply::Written { version: stored.0 }
            }
            StoreCall::Put { .. } => StoreReply::Written { version: 1 },
        };
        machine.handle_reply(reply);
    }
    let outcome = machine.into_outcome();
    assert!(!matches!(outcome, SyncOutcome::Unavailable));
    table.apply_sync(&customer(), outcome);
    stored.1
}

proptest! {
    /// No policy wraps, and none asks for more than is left.
    #[test]
    fn grant_changes(
        amounts in prop::array::uniform8(amount()),
        holders in amount(),
        burn in prop_oneof![Just(0.0), 0.0..1e6, Just(1e30), Just(f64::MAX)],
    ) {
        let [in_use, granted, shortage, unallocated, prepaid, granted_to_others, unspent, frozen] =
            amounts;
        let view = GrantView {
            burn_rate: burn, in_use, granted, shortage, unallocated, prepaid, holders,
            granted_to_others, unspent, frozen,
        };
        for policy in POLICIES {
            for change in [policy.adjust(&view), policy.adjust_on_write(&view)] {
                match change {
                    GrantChange::Ask(more) => prop_assert!(more <= unallocated),
                    GrantChange::Return(less) => prop_assert!(less <= granted),
                    GrantChange::Keep => {}
                }
            }
        }
        policies::may_spend_in_outage(granted, in_use, u8::MAX);
    }

    /// An account never has more available than its grant, whatever it is told.
    #[test]
    fn account_state(amounts in prop::array::uniform8(amount())) {
        let [granted, settling, returning, first, second, billed, written_off, unproved] = amounts;
        let mut account = GrantAccount::default();
        (account.granted, account.settling, account.returning) = (granted, settling, returning);
        let mut held = Vec::new();
        for amount in [first, second] {
            let available = account.available();
            account.begin_wait(amount);
            if amount <= available {
                account.begin_hold(amount);
                held.push(amount);
                prop_assert_eq!(account.available(), available - amount);
            }
        }
        account.shortage();
        let available = account.available();
        for amount in held {
            let unsettled = account.unsettled_total();
            account.end_hold(amount, Some(make_bill(1, billed, written_off, unproved)));
            prop_assert!(account.unsettled_total() - unsettled <= amount);
            prop_assert!(account.available() >= available);
        }
        account.demand();
        prop_assert!(account.available() <= granted);
        account.update_burn_rate(Duration::from_millis(200));
        prop_assert!(account.burn.is_finite());
        account.take_bills(&mut BatchRoom::empty_batch());
        account.confirm(second, returning);
        prop_assert!(account.available() <= second);
    }

    /// A shard whose accounts are within their prepaid totals stays so, whatever requests ask for
    /// and whatever the store holds; an account that is not gives nothing out.
    #[test]
    fn stored_accounts(
        amounts in prop::array::uniform6(amount()),
        requests in prop::array::uniform4(amount()),
        top_up in amount(),
    ) {
        let [prepaid, billed, written_off, frozen, granted, other] = amounts;
        for policy in POLICIES {
            let mut account = BudgetAccount { prepaid, billed, written_off, ..Default::default() };
            account.frozen.insert(9, frozen);
            account.grants.insert(Arc::from("vm-9.x"), granted);
            account.grants.insert(Arc::from("vm-8.x"), other);
            let mut shard = BudgetShard { epochs: 9, ..BudgetShard::default() };
            shard.accounts.insert(customer(), account);
            let was_within = shard.is_within_prepaid();
            let mut table = GrantTable::new(Arc::from("vm-1.x"), policy);
            table.add_account(&customer(), &customer());
            table.raise_prepaid(&customer(), top_up);
            for amount in requests {
                table.begin_wait(&customer(), amount);
            }
            let shard = run_sync(&mut table, &shard, policy);
            let account = &shard.accounts[&customer()];
            let own = account.grants.get("vm-1.x").copied().unwrap_or_default();
            prop_assert!(shard.is_within_prepaid() || own == 0, "{policy:?}");
            prop_assert!(!was_within || shard.is_within_prepaid(), "{policy:?}");
            for amount in requests {
                table.is_uncovered(&customer(), amount);
                if let Ok(hold) = table.hold(&customer(), amount) {
                    prop_assert!(amount <= own);
                    table.end_hold(&hold, Some(make_bill(hold.epoch, Tokens::MAX, 1, 1)));
                }
            }
            let shard = run_sync(&mut table, &shard, policy);
            prop_assert!(!was_within || shard.is_within_prepaid(), "{policy:?}");
        }
    }
}
