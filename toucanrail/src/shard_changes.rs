//! What a sync changes in its shard, without the calls that it takes.

#![deny(clippy::arithmetic_side_effects)]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::budgets::{BillRow, BudgetShard};
use crate::ids::{CustomerId, EntryId, Epoch, RequestId, Tokens};
use crate::policies::{GrantChange, GrantPolicy, GrantView};
use crate::sync_plans::{GrantDemand, SyncPlan};

/// Selects the rows of a plan that are settled: those of the tenure with this epoch, and late rows
/// that the reclaim of their tenure did not bill and that what it left frozen covers. Requests that
/// are billed already are written off.
pub fn select_rows(
    shard: &BudgetShard,
    plan: &SyncPlan,
    epoch: Epoch,
    reclaimed: &BTreeSet<RequestId>,
    archived: &BTreeSet<RequestId>,
) -> Vec<BillRow> {
    let mut frozen = FrozenBalance::new(shard);
    let mut is_settled = |row: &&BillRow| {
        row.epoch == epoch || (!reclaimed.contains(&row.request) && frozen.take(row))
    };
    let rows = plan.rows.iter().filter(|row| is_settled(row));
    let mut rows: Vec<BillRow> = rows.cloned().collect();
    shard.write_off_duplicates(&mut rows, archived);
    rows
}

/// Returns the shard with a plan applied and its selected rows settled, and the tenure's epoch.
///
/// # Examples
/// ```
/// use toucanrail::budgets::BudgetShard;
/// use toucanrail::grants::GrantTable;
/// use toucanrail::policies::GrantPolicy;
/// use toucanrail::shard_changes;
///
/// let policy = GrantPolicy::FixedAmount { headroom: 100 };
/// let mut table = GrantTable::new("vm-1.a".into(), policy);
/// table.add_account(&"acme".into(), &"shard-0".into());
/// table.begin_wait(&"acme".into(), 50);
/// let plan = table.plan_sync(&"shard-0".into(), false).expect("a request waits");
/// let mut shard = BudgetShard::default();
/// shard.accounts.entry("acme".into()).or_default().prepaid = 1_000;
/// let (epoch, shard) = shard_changes::apply_plan(&shard, &plan, &[], policy);
/// assert_eq!((epoch, shard.accounts["acme"].grants["vm-1.a"]), (1, 150));
/// ```
pub fn apply_plan(
    shard: &BudgetShard,
    plan: &SyncPlan,
    rows: &[BillRow],
    policy: GrantPolicy,
) -> (Epoch, BudgetShard) {
    let entry = &plan.entry;
    let mut shard = shard.clone();
    let epoch = shard.open_tenure(entry);
    shard.settle_rows(entry, epoch, rows);
    for (customer, demand) in &plan.demands {
        if demand.prepaid > 0 {
            let account = shard.accounts.entry(Arc::clone(customer)).or_default();
            account.prepaid = account.prepaid.max(demand.prepaid);
        }
    }
    let changes = list_changes(&shard, plan, rows, policy);
    for ((customer, demand), change) in plan.demands.iter().zip(changes) {
        apply_change(&mut shard, entry, customer, demand, change);
    }
    if let Some(row) = shard.live_tenure(entry, epoch) {
        row.settled = plan.sequence;
        row.acked = row.acked.max(plan.acked);
        row.agents.clone_from(&plan.agents);
        row.lends = plan.lends;
    }
    if plan.leave {
        shard.close_tenure(entry, true);
    }
    (epoch, shard)
}

/// Returns the changes of all grants. If any grant or bill requires a write, it also fills up the
/// other grants.
fn list_changes(
    shard: &BudgetShard,
    plan: &SyncPlan,
    rows: &[BillRow],
    policy: GrantPolicy,
) -> Vec<GrantChange> {
    let holders = shard.count_holder_names();
    let views = plan.demands.iter().map(|(customer, demand)| {
        let view = view_account(shard, &plan.entry, customer, demand);
        GrantView { holders, ..view.unwrap_or_default() }
    });
    let views: Vec<GrantView> = views.collect();
    let needs_more = |view: &GrantView| matches!(policy.adjust(view), GrantChange::Ask(1..));
    let returning = plan.demands.values().any(|demand| demand.returning > 0);
    let must_write = returning || !rows.is_empty() || views.iter().any(needs_more);
    let change = |view: &GrantView| {
        if must_write { policy.adjust_on_write(view) } else { policy.adjust(view) }
    };
    views.iter().map(change).collect()
}

/// What closed tenures left frozen, less the late rows already selected.
struct FrozenBalance<'shard> {
    shard: &'shard BudgetShard,
    taken: BTreeMap<(CustomerId, Epoch), Tokens>,
}

impl<'shard> FrozenBalance<'shard> {
    fn new(shard: &'shard BudgetShard) -> Self {
        Self { shard, taken: BTreeMap::new() }
    }

    /// Takes a row's total. Returns false if it is not covered.
    fn take(&mut self, row: &BillRow) -> bool {
        let account = self.shard.accounts.get(&row.customer);
        let frozen = account.and_then(|account| account.frozen.get(&row.epoch)).copied();
        let taken = self.taken.entry((Arc::clone(&row.customer), row.epoch)).or_default();
        let total = taken.saturating_add(row.total());
        let is_covered = frozen.is_some_and(|frozen| frozen >= total);
        if is_covered {
            *taken = total;
        }
        is_covered
    }
}

/// Returns the policy's view of an account after the return of tokens. `holders` is left at 0,
/// since it is a property of the shard.
fn view_account(
    shard: &BudgetShard,
    entry: &EntryId,
    customer: &CustomerId,
    demand: &GrantDemand,
) -> Option<GrantView> {
    let account = shard.accounts.get(customer)?;
    let granted = account.grants.get(entry).copied().unwrap_or_default();
    Some(GrantView {
        burn_rate: demand.burn_rate,
        in_use: demand.in_use,
        granted: granted.saturating_sub(demand.returning),
        shortage: demand.shortage,
        unallocated: account.unallocated().saturating_add(demand.returning.min(granted)),
        prepaid: account.prepaid,
        granted_to_others: account.granted_to_others(entry),
        unspent: account.unspent(),
        frozen: account.frozen_total(),
        ..GrantView::default()
    })
}

fn apply_change(
    shard: &mut BudgetShard,
    entry: &EntryId,
    customer: &CustomerId,
    demand: &GrantDemand,
    change: GrantChange,
) {
    let Some(account) = shard.accounts.get_mut(customer) else {
        return;
    };
    let grant = account.grants.entry(Arc::clone(entry)).or_default();
    *grant = grant.saturating_sub(demand.returning);
    let granted = *grant;
    let unallocated = account.unallocated();
    // An increase that satisfies none of the waiting requests would only be stranded here.
    let needed = demand.in_use.saturating_add(demand.smallest_wait);
    let is_useful = demand.shortage == 0 || granted.saturating_add(unallocated) >= needed;
    // Tokens returned by this sync must not be requested again by it.
    if is_useful
        && demand.returning == 0
        && let GrantChange::Ask(amount) = change
        && let Some(grant) = account.grants.get_mut(entry)
    {
        *grant = grant.saturating_add(amount.min(unallocated));
    }
}
