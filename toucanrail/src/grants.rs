//! The grants of one entry: confirmed amounts, the holds on them and the bills to settle.
//!
//! An entry spends only from its own confirmed grants, so serving a request depends neither on the
//! platform's object API being available nor on a clock.

#![deny(clippy::arithmetic_side_effects)]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;

use crate::accounts::GrantAccount;
use crate::batches::BatchRoom;
use crate::budgets::{AccountBalance, BillRow, BudgetAccount, BudgetShard, RECENT_KEY_LIMIT};
use crate::ids::{AgentId, CustomerId, EntryId, Epoch, RunId, ShardName, Tokens, Version};
use crate::policies::{GrantChange, GrantPolicy, GrantView};
use crate::sync_plans::SyncPlan;
use crate::syncs::SyncOutcome;
use crate::tenures::ShardTenure;
use crate::token_counts;

/// What a sync includes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SyncScope {
    /// Changes of grants only.
    TopUp,
    /// Bills and changes of grants.
    Settle,
    /// Bills, the return of all grants and the end of the tenure.
    Leave,
}

/// Tokens reserved for the maximum usage of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantHold {
    /// The customer who pays.
    pub customer: CustomerId,
    /// The shard that contains the account.
    pub shard: ShardName,
    /// Epoch of the tenure that holds the tokens.
    pub epoch: Epoch,
    /// The maximum usage.
    pub amount: Tokens,
}

/// Why a hold was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HoldRefusal {
    /// The grant is short by this amount; a sync may provide it.
    Short(Tokens),
    /// The grant is short by this amount, and the cached shard has fewer unallocated tokens; or the
    /// customer is not known.
    Exhausted(Tokens),
}

/// All grants of one entry, by customer.
#[derive(Debug, Serialize)]
pub struct GrantTable {
    entry: EntryId,
    #[serde(skip)]
    policy: GrantPolicy,
    shards: BTreeMap<ShardName, ShardTenure>,
    accounts: BTreeMap<CustomerId, GrantAccount>,
    homes: BTreeMap<CustomerId, ShardName>,
    wanted_agents: BTreeSet<AgentId>,
    /// Whether all tokens are lent to the agents, and none is used by this process itself.
    lends: bool,
}

impl GrantTable {
    /// Creates an empty table.
    pub fn new(entry: EntryId, policy: GrantPolicy) -> Self {
        Self {
            entry,
            policy,
            shards: BTreeMap::new(),
            accounts: BTreeMap::new(),
            homes: BTreeMap::new(),
            wanted_agents: BTreeSet::new(),
            lends: false,
        }
    }

    /// Adds a customer's account, which is stored in `shard`.
    pub fn add_account(&mut self, customer: &CustomerId, shard: &ShardName) {
        self.homes.insert(Arc::clone(customer), Arc::clone(shard));
        self.accounts.entry(Arc::clone(customer)).or_default();
        self.shards.entry(Arc::clone(shard)).or_default();
    }

    /// Raises a customer's prepaid total to the one in the configuration. It is never lowered.
    pub fn raise_prepaid(&mut self, customer: &CustomerId, total: Tokens) {
        if let Some(account) = self.accounts.get_mut(customer) {
            account.prepaid = account.prepaid.max(total);
        }
    }

    /// Returns the cached copy of a shard.
    pub fn cached_shard(&self, shard: &ShardName) -> Option<&BudgetShard> {
        self.shards.get(shard)?.cached.as_ref().map(|(_, shard)| shard)
    }

    /// Returns who holds an account's tokens according to the cached shard; for logs and metrics.
    pub fn cached_balance(&self, customer: &CustomerId) -> Option<AccountBalance> {
        let shard = self.cached_shard(self.homes.get(customer)?)?;
        Some(shard.balance(shard.accounts.get(customer)?, &self.entry))
    }

    /// Returns whether a customer's balance, according to the cached shard, cannot cover an amount.
    /// Tokens granted to other holders count as unspent, except for holders that a newer process of
    /// the same VM has replaced.
    pub fn is_uncovered(&self, customer: &CustomerId, amount: Tokens) -> bool {
        let home = self.homes.get(customer);
        let Some(shard) = home.and_then(|home| self.cached_shard(home)) else {
            return false;
        };
        let known = shard.accounts.get(customer);
        let (Some(known), Some(account)) = (known, self.accounts.get(customer)) else {
            return false;
        };
        let unavailable = known.spent().saturating_add(shard.stranded(known));
        let own = token_counts::sum([account.held, account.unsettled_total(), account.settling]);
        known.prepaid.max(account.prepaid) < token_counts::sum([unavailable, own, amount])
    }

    /// Sets the agents that this entry wants to use.
    pub fn set_wanted_agents(&mut self, agents: BTreeSet<AgentId>) {
        self.wanted_agents = agents;
    }

    /// Records that a process requests a loan of a customer's tokens. Only the tenure in the shard of
    /// this customer will name it: a reclaim waits for all processes that the tenure names.
    pub fn want_borrower(&mut self, customer: &CustomerId, borrower: &AgentId, now: Duration) {
        let tenure = self.homes.get(customer).and_then(|shard| self.shards.get_mut(shard));
        if let Some(tenure) = tenure {
            tenure.want_borrower(borrower, now);
        }
    }

    /// Keeps the borrowers of each tenure for which `is_kept` returns true, given when they last
    /// requested a loan of it.
    pub fn retain_borrowers<IsKept>(&mut self, is_kept: IsKept)
    where
        IsKept: Fn(&AgentId, Duration) -> bool,
    {
        for tenure in self.shards.values_mut() {
            tenure.retain_borrowers(&is_kept);
        }
    }

    /// States in all later tenures that their tokens are used through loans of the agents only.
    pub fn set_lends(&mut self) {
        self.lends = true;
    }

    /// Returns whether all tokens are used through loans of the agents.
    pub fn lends(&self) -> bool {
        self.lends
    }

    /// Returns this process.
    pub fn holder(&self) -> &EntryId {
        &self.entry
    }

    /// Returns the shards of all known accounts.
    pub fn shards(&self) -> Vec<ShardName> {
        self.shards.keys().map(Arc::clone).collect()
    }

    /// Returns a customer's account at this entry.
    pub fn account(&self, customer: &CustomerId) -> Option<&GrantAccount> {
        self.accounts.get(customer)
    }

    /// Returns the agents that a customer's requests may be sent to.
    ///
    /// Only agents that are recorded in the shard are used, so that the reclaim of a dead entry can
    /// fence every agent that may have served it.
    pub fn usable_agents(&self, customer: &CustomerId) -> Option<&BTreeSet<AgentId>> {
        let shard = self.homes.get(customer)?;
        self.shards.get(shard).map(|tenure| &tenure.agents)
    }

    /// Returns whether the shard names an agent in the tenure that a customer's tokens are held in, now
    /// and after the sync that is under way.
    pub fn names_agent(&self, customer: &CustomerId, agent: &AgentId) -> bool {
        let tenure = self.homes.get(customer).and_then(|shard| self.shards.get(shard));
        tenure.is_some_and(|tenure| {
            let planned = tenure.plan.as_ref().is_none_or(|plan| plan.agents.contains(agent));
            planned && tenure.agents.contains(agent)
        })
    }

    /// Returns whether the shard names an agent for which `has_ended` returns true. What such an agent
    /// used is not known, so that a reclaim of the tenure would release nothing.
    pub fn names_ended<HasEnded>(&self, shard: &ShardName, has_ended: HasEnded) -> bool
    where
        HasEnded: Fn(&str) -> bool,
    {
        let tenure = self.shards.get(shard);
        tenure.is_some_and(|tenure| tenure.agents.iter().any(|agent| has_ended(agent)))
    }

    /// Reserves tokens for the maximum usage of a request.
    ///
    /// # Examples
    /// ```
    /// use std::sync::Arc;
    /// use toucanrail::{grants::{GrantTable, HoldRefusal}, policies::GrantPolicy};
    /// let mut table = GrantTable::new(Arc::from("entry-1"), GrantPolicy::default());
    /// table.add_account(&Arc::from("acme"), &Arc::from("acme"));
    /// assert_eq!(table.hold(&Arc::from("acme"), 10), Err(HoldRefusal::Short(10)));
    /// ```
    pub fn hold(
        &mut self,
        customer: &CustomerId,
        amount: Tokens,
    ) -> Result<GrantHold, HoldRefusal> {
        let Some(shard) = self.homes.get(customer).map(Arc::clone) else {
            return Err(HoldRefusal::Exhausted(amount));
        };
        let tenure = self.shards.get(&shard);
        // A sync that ends the tenure was planned when no hold was open, so none may start now.
        let is_leaving = |tenure: &ShardTenure| tenure.plan.as_ref().is_some_and(|plan| plan.leave);
        let tenure = tenure.filter(|tenure| !is_leaving(tenure));
        let epoch = tenure.map_or(0, |tenure| tenure.epoch);
        let unallocated = self.unallocated(customer);
        let Some(account) = self.accounts.get_mut(customer) else {
            return Err(HoldRefusal::Exhausted(amount));
        };
        let available = account.available();
        if epoch == 0 || available < amount {
            let missing = amount.saturating_sub(available);
            return match unallocated {
                Some(left) if left < missing => Err(HoldRefusal::Exhausted(missing)),
                _ => Err(HoldRefusal::Short(missing)),
            };
        }
        account.begin_hold(amount);
        Ok(GrantHold { customer: Arc::clone(customer), shard, epoch, amount })
    }

    fn unallocated(&self, customer: &CustomerId) -> Option<Tokens> {
        let (_, shard) = self.shards.get(self.homes.get(customer)?)?.cached.as_ref()?;
        let known = shard.accounts.get(customer)?;
        // The next sync adds a top-up that is configured but not yet in the shard.
        let configured = self.accounts.get(customer).map_or(0, |account| account.prepaid);
        Some(known.unallocated().saturating_add(configured.saturating_sub(known.prepaid)))
    }

    /// Records that a request waits until `amount` more is granted.
    pub fn begin_wait(&mut self, customer: &CustomerId, amount: Tokens) {
        if let Some(account) = self.accounts.get_mut(customer) {
            account.begin_wait(amount);
        }
    }

    /// Requests another sync for requests that are already waiting.
    pub fn request_sync(&mut self, customer: &CustomerId) {
        if let Some(account) = self.accounts.get_mut(customer) {
            account.unseen = true;
        }
    }

    /// Records that a request no longer waits for `amount`.
    pub fn end_wait(&mut self, customer: &CustomerId, amount: Tokens) {
        if let Some(account) = self.accounts.get_mut(customer) {
            account.end_wait(amount);
        }
    }

    /// Records that a run of a hold is sent to an agent (`busy`), or has ended there.
    pub fn mark_agent(&mut self, shard: &ShardName, agent: &AgentId, busy: bool) {
        if let Some(tenure) = self.shards.get_mut(shard) {
            tenure.mark_agent(agent, busy);
        }
    }

    /// Removes one waiting request. Returns whether there was one.
    pub fn discard_wait(&mut self, customer: &CustomerId) -> bool {
        let account = self.accounts.get_mut(customer);
        account.is_some_and(|account| account.waiting.pop().is_some())
    }

    /// Ends a hold: its bill is queued for the next sync, the rest is available at once.
    pub fn end_hold(&mut self, hold: &GrantHold, bill: Option<BillRow>) {
        let Some(tenure) = self.shards.get_mut(&hold.shard) else {
            return;
        };
        // The tenure was revoked in the meantime, so its tokens are no longer in this account.
        if tenure.epoch != hold.epoch {
            tenure.late.extend(bill);
            return;
        }
        if let Some(account) = self.accounts.get_mut(&hold.customer) {
            account.end_hold(hold.amount, bill);
        }
    }

    /// Updates the burn rates of all accounts; called once per tick.
    pub fn update_burn_rates(&mut self, elapsed: Duration) {
        for account in self.accounts.values_mut() {
            account.update_burn_rate(elapsed);
        }
    }

    /// Sets aside unused tokens, at most `wanted`, to be returned to the shard for a peer that
    /// would otherwise refuse a request. Returns their number.
    ///
    /// Tokens that local requests wait for are kept unless the peer's id is the lower one: of two
    /// entries that each need the other's tokens, exactly one must yield.
    pub fn recall(&mut self, customer: &CustomerId, wanted: Tokens, requester: &EntryId) -> Tokens {
        let must_yield = *requester < self.entry;
        let Some(account) = self.accounts.get_mut(customer) else {
            return 0;
        };
        let kept = if must_yield { 0 } else { account.shortage() };
        let given = account.available().saturating_sub(kept).min(wanted);
        account.set_aside(given);
        given
    }

    /// Returns the plan of the next sync of a shard, or `None` if no sync is needed.
    ///
    /// A plan whose outcome is unknown is returned again unchanged. With `leave`, unused grants are
    /// returned, and the tenure ends once no hold is open.
    pub fn plan_sync(&mut self, shard: &ShardName, leave: bool) -> Option<SyncPlan> {
        self.plan(shard, if leave { SyncScope::Leave } else { SyncScope::Settle })
    }

    /// Returns the plan of a sync that changes grants only, or `None` if no sync is needed. It
    /// takes one write instead of two; bills stay queued until the next settlement.
    pub fn plan_top_up(&mut self, shard: &ShardName) -> Option<SyncPlan> {
        self.plan(shard, SyncScope::TopUp)
    }

    fn plan(&mut self, shard: &ShardName, scope: SyncScope) -> Option<SyncPlan> {
        let tenure = self.shards.get(shard)?;
        if let Some(plan) = &tenure.plan {
            return Some(plan.clone());
        }
        let customers = self.customers_of(shard);
        let mut agents = tenure.agents_in_use(&self.wanted_agents);
        agents.extend(self.unsettled_agents(&customers));
        let agents_recorded = agents == tenure.agents;
        let holds = self.has_holds(&customers);
        let leave = scope == SyncScope::Leave;
        let changed = if leave && holds {
            self.return_unused(&customers)
        } else {
            self.plan_returns(&customers)
        };
        // Running requests may still use their holds, so a tenure with open holds is not ended.
        let leave = leave && !holds;
        let has_tenure = self.shards.get(shard)?.epoch != 0;
        let has_bills = scope != SyncScope::TopUp && self.has_bills(shard, &customers);
        let is_needed = changed || has_bills || (has_tenure && (leave || !agents_recorded));
        if !is_needed {
            return None;
        }
        let scope = if leave || scope != SyncScope::Leave { scope } else { SyncScope::Settle };
        let plan = self.build_plan(shard, &customers, agents, scope)?;
        self.shards.get_mut(shard)?.plan = Some(plan.clone());
        Some(plan)
    }

    /// Takes the cached copy of a shard. There is none after a sync with an unknown outcome, so
    /// that the shard is read again.
    pub fn take_cached(&mut self, shard: &ShardName) -> Option<(Version, BudgetShard)> {
        self.shards.get_mut(shard)?.cached.take()
    }

    fn customers_of(&self, shard: &ShardName) -> Vec<CustomerId> {
        let homes = self.homes.iter().filter(|(_, home)| *home == shard);
        homes.map(|(customer, _)| Arc::clone(customer)).collect()
    }

    fn has_bills(&self, shard: &ShardName, customers: &[CustomerId]) -> bool {
        let late = self.shards.get(shard).is_some_and(|tenure| !tenure.late.is_empty());
        let accounts = customers.iter().filter_map(|customer| self.accounts.get(customer));
        late || accounts.into_iter().any(|account| !account.unsettled.is_empty())
    }

    /// Returns the agents whose usage is not settled yet. If this process dies, only they can tell it.
    fn unsettled_agents(&self, customers: &[CustomerId]) -> BTreeSet<AgentId> {
        let accounts = customers.iter().filter_map(|customer| self.accounts.get(customer));
        let runs = accounts.flat_map(|account| &account.unsettled).flat_map(|row| &row.runs);
        runs.map(|billed| Arc::clone(&billed.agent)).collect()
    }

    fn has_holds(&self, customers: &[CustomerId]) -> bool {
        let mut accounts = customers.iter().filter_map(|customer| self.accounts.get(customer));
        accounts.any(|account| account.held > 0)
    }

    /// Returns whether any hold is open on a shard's grants.
    pub fn has_open_holds(&self, shard: &ShardName) -> bool {
        self.has_holds(&self.customers_of(shard))
    }

    /// Sets aside all tokens that no request holds, to be returned. Returns whether there are any.
    fn return_unused(&mut self, customers: &[CustomerId]) -> bool {
        let mut changed = false;
        for customer in customers {
            if let Some(account) = self.accounts.get_mut(customer) {
                account.set_aside(account.available());
                changed |= account.returning > 0;
            }
        }
        changed
    }

    /// Returns whether any account needs a change of its grant, and sets aside what is returned.
    fn plan_returns(&mut self, customers: &[CustomerId]) -> bool {
        let mut changed = false;
        for customer in customers {
            let Some(view) = self.view(customer) else {
                continue;
            };
            let change = self.policy.adjust(&view);
            let Some(account) = self.accounts.get_mut(customer) else {
                continue;
            };
            if let GrantChange::Return(amount) = change {
                account.set_aside(amount.min(account.available()));
            }
            changed |= account.returning > 0 || !account.waiting.is_empty();
            changed |= matches!(change, GrantChange::Ask(amount) if amount > 0);
        }
        changed
    }

    fn view(&self, customer: &CustomerId) -> Option<GrantView> {
        let tenure = self.shards.get(self.homes.get(customer)?)?;
        let account = self.accounts.get(customer)?;
        let cached = tenure.cached.as_ref().map(|(_, shard)| shard);
        let known = cached.and_then(|shard| shard.accounts.get(customer));
        Some(GrantView {
            burn_rate: account.burn,
            in_use: account.held.saturating_add(account.unsettled_total()),
            granted: account.granted.saturating_sub(account.returning),
            shortage: account.shortage(),
            unallocated: self.unallocated(customer).unwrap_or(0),
            prepaid: known.map_or(0, |account| account.prepaid),
            holders: cached.map_or(1, BudgetShard::count_holder_names),
            granted_to_others: known.map_or(0, |account| account.granted_to_others(&self.entry)),
            unspent: known.map_or(0, BudgetAccount::unspent),
            frozen: known.map_or(0, BudgetAccount::frozen_total),
        })
    }

    fn build_plan(
        &mut self,
        shard: &ShardName,
        customers: &[CustomerId],
        agents: BTreeSet<AgentId>,
        scope: SyncScope,
    ) -> Option<SyncPlan> {
        let tenure = self.shards.get_mut(shard)?;
        let mut room = match scope {
            SyncScope::TopUp => BatchRoom::no_batch(),
            SyncScope::Settle | SyncScope::Leave => BatchRoom::empty_batch(),
        };
        let mut rows = tenure.take_reclaimed_rows(&mut room);
        let mut are_left = false;
        let mut demands = BTreeMap::new();
        for customer in customers {
            let Some(account) = self.accounts.get_mut(customer) else {
                continue;
            };
            rows.extend(account.take_bills(&mut room));
            are_left |= !account.unsettled.is_empty();
            let demand = account.demand();
            demands.insert(Arc::clone(customer), demand);
        }
        Some(SyncPlan {
            shard: Arc::clone(shard),
            entry: Arc::clone(&self.entry),
            epoch: tenure.epoch,
            sequence: tenure.applied.saturating_add(1),
            rows,
            demands,
            acked: tenure.acked,
            agents,
            lends: self.lends,
            // The end of a tenure returns its grants as unspent.
            leave: scope == SyncScope::Leave && !are_left,
        })
    }

    /// Applies the outcome of a shard's sync.
    pub fn apply_sync(&mut self, shard: &ShardName, outcome: SyncOutcome) {
        let Some(tenure) = self.shards.get_mut(shard) else {
            return;
        };
        match outcome {
            // The plan is kept; the next sync reads from the shard whether it took effect.
            SyncOutcome::Unavailable => tenure.cached = None,
            SyncOutcome::Unchanged { shard: content, version } => {
                tenure.confirmed_syncs = tenure.confirmed_syncs.saturating_add(1);
                tenure.plan = None;
                tenure.cached = Some((version, content));
            }
            SyncOutcome::Revoked { applied } => self.drop_tenure(shard, applied),
            SyncOutcome::Applied { shard: content, version, epoch } => {
                tenure.epoch = epoch;
                tenure.confirmed_syncs = tenure.confirmed_syncs.saturating_add(1);
                if let Some(plan) = tenure.plan.take() {
                    if plan.leave {
                        return self.drop_tenure(shard, true);
                    }
                    tenure.record_applied(&plan);
                    self.confirm(&plan, &content);
                }
                if let Some(tenure) = self.shards.get_mut(shard) {
                    tenure.cached = Some((version, content));
                }
            }
        }
    }

    fn confirm(&mut self, plan: &SyncPlan, content: &BudgetShard) {
        for (customer, demand) in &plan.demands {
            let Some(account) = self.accounts.get_mut(customer) else {
                continue;
            };
            let known = content.accounts.get(customer);
            let grants = known.map(|known| &known.grants);
            let granted = grants.and_then(|grants| grants.get(&self.entry)).copied();
            account.confirm(granted.unwrap_or(0), demand.returning);
        }
    }

    /// Discards the tenure's state. If it was revoked, another entry settles it: nothing of it may
    /// be spent here any more, and unsettled bills become late ones.
    fn drop_tenure(&mut self, shard: &ShardName, applied: bool) {
        for customer in self.customers_of(shard) {
            let account = self.accounts.entry(customer).or_default();
            let prepaid = account.prepaid;
            let left = std::mem::replace(account, GrantAccount::with_total(prepaid));
            let rows = left.unsettled;
            if let Some(tenure) = self.shards.get_mut(shard) {
                tenure.late.extend(rows);
            }
        }
        if let Some(tenure) = self.shards.get_mut(shard) {
            let plan = tenure.plan.take().filter(|_| !applied);
            let rows = plan.map(|plan| plan.rows).unwrap_or_default();
            let mut late = std::mem::take(&mut tenure.late);
            late.extend(rows);
            *tenure = ShardTenure::with_late_bills(late);
        }
    }

    /// Returns the settled runs that agents may drop, by agent.
    pub fn pending_acks(&self) -> BTreeMap<AgentId, Vec<RunId>> {
        let mut pending: BTreeMap<AgentId, Vec<RunId>> = BTreeMap::new();
        for batches in self.shards.values().flat_map(|tenure| tenure.unacked.values()) {
            for (agent, runs) in batches {
                pending.entry(Arc::clone(agent)).or_default().extend(runs.iter().map(Arc::clone));
            }
        }
        pending
    }

    /// Returns the settled runs that one agent may drop.
    pub fn pending_acks_of(&self, agent: &AgentId) -> Vec<RunId> {
        let batches = self.shards.values().flat_map(|tenure| tenure.unacked.values());
        let runs = batches.filter_map(|batch| batch.get(agent)).flatten();
        runs.map(Arc::clone).collect()
    }

    /// Records that an agent dropped runs, or, if `gone`, that its process ended with all its
    /// state.
    pub fn record_acked(&mut self, agent: &AgentId, dropped: &BTreeSet<RunId>, gone: bool) {
        for tenure in self.shards.values_mut() {
            tenure.record_acked(agent, dropped, gone);
        }
    }

    /// Returns whether no bill is queued and no sync is under way.
    pub fn is_settled(&self) -> bool {
        self.accounts.values().all(GrantAccount::is_settled)
            && self.shards.values().all(|tenure| tenure.plan.is_none())
    }

    /// Returns the holders in the cached copy of a shard.
    pub fn holders(&self, shard: &ShardName) -> Vec<EntryId> {
        let tenure = self.shards.get(shard);
        let cached = tenure.and_then(|tenure| tenure.cached.as_ref());
        let holders = cached.map(|(_, content)| content.holders.keys().map(Arc::clone));
        holders.map(Iterator::collect).unwrap_or_default()
    }

    /// Returns whether a request has started to wait in a shard since its last sync was planned.
    pub fn has_unplanned_waits(&self, shard: &ShardName) -> bool {
        let customers = self.customers_of(shard);
        let accounts = customers.iter().filter_map(|customer| self.accounts.get(customer));
        accounts.into_iter().any(|account| account.unseen)
    }

    /// Returns whether a shard's next sync should start before the next settlement is due: a
    /// request waits, a grant is low, or the outcome of the last sync is unknown.
    pub fn needs_early_sync(&self, shard: &ShardName) -> bool {
        let unknown = self.shards.get(shard).is_some_and(|tenure| tenure.plan.is_some());
        let low = |customer: &CustomerId| {
            let view = self.view(customer);
            view.is_some_and(|view| matches!(self.policy.adjust(&view), GrantChange::Ask(1..)))
        };
        unknown || self.has_unplanned_waits(shard) || self.customers_of(shard).iter().any(low)
    }

    /// Returns the number of syncs that have seen the newest version of a shard.
    pub fn confirmed_syncs(&self, shard: &ShardName) -> u64 {
        self.shards.get(shard).map_or(0, |tenure| tenure.confirmed_syncs)
    }

    /// Returns whether an account of a shard has more recent keyed requests than the limit.
    pub fn needs_archiving(&self, shard: &ShardName) -> bool {
        let cached = self.shards.get(shard).and_then(|tenure| tenure.cached.as_ref());
        cached.is_some_and(|(_, content)| {
            let mut accounts = content.accounts.values();
            accounts.any(|account| account.recent.len() > RECENT_KEY_LIMIT)
        })
    }

    /// Returns whether this entry has a tenure in a shard that nobody uses: no loan of it was requested
    /// after `since`, and all that was used of it is settled.
    pub fn is_unused(&self, shard: &ShardName, since: Duration) -> bool {
        let customers = self.customers_of(shard);
        let mut accounts = customers.iter().filter_map(|customer| self.accounts.get(customer));
        let tenure = self.shards.get(shard);
        tenure.is_some_and(|tenure| tenure.is_unused(since))
            && accounts.all(GrantAccount::is_unused)
    }

    /// Returns whether this entry has a tenure in a shard.
    pub fn has_tenure(&self, shard: &ShardName) -> bool {
        self.shards.get(shard).is_some_and(|tenure| tenure.epoch != 0)
    }
}
