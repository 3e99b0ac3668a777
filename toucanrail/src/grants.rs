//! What an entry may spend: its confirmed grants, the holds against them and the bills to settle.
//!
//! An entry spends only against its own confirmed grant, so nothing here depends on the platform's
//! service being up or on a clock.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;

use crate::accounts::GrantAccount;
use crate::budgets::{BillRow, BudgetAccount, BudgetShard, RECENT_KEY_LIMIT};
use crate::ids::{AgentId, CustomerId, EntryId, Epoch, RunId, ShardName, Tokens, Version};
use crate::policies::{GrantChange, GrantPolicy, GrantView};
use crate::syncs::{SyncOutcome, SyncPlan};
use crate::tenures::ShardTenure;

/// Most bills in one batch; keeps its object well under a megabyte.
const BATCH_LIMIT: usize = 1_500;

/// What a sync is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SyncScope {
    /// Grants alone.
    TopUp,
    /// Bills as well.
    Settle,
    /// The end of the tenure.
    Leave,
}

/// A reservation of the worst case of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantHold {
    /// Who pays.
    pub customer: CustomerId,
    /// The shard of the account.
    pub shard: ShardName,
    /// The tenure that holds the money.
    pub epoch: Epoch,
    /// The worst case.
    pub amount: Tokens,
}

/// Why a hold was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HoldRefusal {
    /// The grant is short by this much; a sync may help.
    Short(Tokens),
    /// Known from the shard: not even all that is unallocated would cover it.
    Exhausted(Tokens),
}

/// All grants of one entry.
#[derive(Debug, Serialize)]
pub struct GrantTable {
    entry: EntryId,
    #[serde(skip)]
    policy: GrantPolicy,
    shards: BTreeMap<ShardName, ShardTenure>,
    accounts: BTreeMap<CustomerId, GrantAccount>,
    homes: BTreeMap<CustomerId, ShardName>,
    wanted_agents: BTreeSet<AgentId>,
}

impl GrantTable {
    /// Makes an empty table.
    pub fn new(entry: EntryId, policy: GrantPolicy) -> Self {
        Self {
            entry,
            policy,
            shards: BTreeMap::new(),
            accounts: BTreeMap::new(),
            homes: BTreeMap::new(),
            wanted_agents: BTreeSet::new(),
        }
    }

    /// Names the shard of a customer's account.
    pub fn add_account(&mut self, customer: &CustomerId, shard: &ShardName) {
        self.homes.insert(Arc::clone(customer), Arc::clone(shard));
        self.accounts.entry(Arc::clone(customer)).or_default();
        self.shards.entry(Arc::clone(shard)).or_default();
    }

    /// Notes the total that the configuration states for a customer; it only ever rises.
    pub fn raise_prepaid(&mut self, customer: &CustomerId, total: Tokens) {
        if let Some(account) = self.accounts.get_mut(customer) {
            account.prepaid = account.prepaid.max(total);
        }
    }

    /// Returns a shard as last seen; for logs.
    pub fn cached_shard(&self, shard: &ShardName) -> Option<&BudgetShard> {
        self.shards.get(shard)?.cached.as_ref().map(|(_, shard)| shard)
    }

    /// Returns what an account has prepaid, unspent and unallocated, as last seen; for logs.
    pub fn cached_balance(&self, customer: &CustomerId) -> Option<(Tokens, Tokens, Tokens)> {
        let known = self.cached_shard(self.homes.get(customer)?)?.accounts.get(customer)?;
        Some((known.prepaid, known.unspent(), known.unallocated()))
    }

    /// Tells whether a customer's balance, as last seen, provably does not cover an amount: what
    /// others hold unspent is counted as left, unless they are earlier runs of a VM that has started
    /// again.
    pub fn is_uncovered(&self, customer: &CustomerId, amount: Tokens) -> bool {
        let home = self.homes.get(customer);
        let Some(shard) = home.and_then(|home| self.cached_shard(home)) else {
            return false;
        };
        let known = shard.accounts.get(customer);
        let (Some(known), Some(account)) = (known, self.accounts.get(customer)) else {
            return false;
        };
        let stranded = shard.stranded(known);
        let gone =
            known.billed + known.written_off + known.frozen.values().sum::<Tokens>() + stranded;
        let own = account.held + account.unsettled_total() + account.settling;
        known.prepaid.max(account.prepaid) < gone + own + amount
    }

    /// Names the agents that this entry wants to use.
    pub fn set_wanted_agents(&mut self, agents: BTreeSet<AgentId>) {
        self.wanted_agents = agents;
    }

    /// Returns the shards in use.
    pub fn shards(&self) -> Vec<ShardName> {
        self.shards.keys().map(Arc::clone).collect()
    }

    /// Returns one account.
    pub fn account(&self, customer: &CustomerId) -> Option<&GrantAccount> {
        self.accounts.get(customer)
    }

    /// Returns the agents that a customer's requests may be sent to.
    ///
    /// Guards against an agent that no reclaim would ask: only agents named in the shard before
    /// the first order are used, so the fence of a dead holder reaches all that may have served it.
    pub fn usable_agents(&self, customer: &CustomerId) -> Option<&BTreeSet<AgentId>> {
        let shard = self.homes.get(customer)?;
        self.shards.get(shard).map(|tenure| &tenure.agents)
    }

    /// Reserves the worst case of a request.
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
        // A sync that ends the tenure takes the holds that were there when it was planned.
        let leaves = |tenure: &ShardTenure| tenure.plan.as_ref().is_some_and(|plan| plan.leave);
        let tenure = tenure.filter(|tenure| !leaves(tenure));
        let epoch = tenure.map_or(0, |tenure| tenure.epoch);
        let unallocated = self.unallocated(customer);
        let Some(account) = self.accounts.get_mut(customer) else {
            return Err(HoldRefusal::Exhausted(amount));
        };
        let available = account.available();
        if epoch == 0 || available < amount {
            let missing = amount - available.min(amount);
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
        // A top-up that the shard does not have yet is brought there by the next sync.
        let stated = self.accounts.get(customer).map_or(0, |account| account.prepaid);
        Some(known.unallocated() + stated.saturating_sub(known.prepaid))
    }

    /// Notes that a request waits for so much more.
    pub fn begin_wait(&mut self, customer: &CustomerId, amount: Tokens) {
        if let Some(account) = self.accounts.get_mut(customer) {
            account.begin_wait(amount);
        }
    }

    /// Asks for another sync for requests that wait already.
    pub fn request_sync(&mut self, customer: &CustomerId) {
        if let Some(account) = self.accounts.get_mut(customer) {
            account.unseen = true;
        }
    }

    /// Notes that a request no longer waits.
    pub fn end_wait(&mut self, customer: &CustomerId, amount: Tokens) {
        if let Some(account) = self.accounts.get_mut(customer) {
            account.end_wait(amount);
        }
    }

    /// Notes that a hold's order goes to an agent, or has ended there.
    pub fn mark_agent(&mut self, shard: &ShardName, agent: &AgentId, busy: bool) {
        if let Some(tenure) = self.shards.get_mut(shard) {
            tenure.mark_agent(agent, busy);
        }
    }

    /// Forgets one waiting request; false if none waits.
    pub fn discard_wait(&mut self, customer: &CustomerId) -> bool {
        let account = self.accounts.get_mut(customer);
        account.is_some_and(|account| account.waiting.pop().is_some())
    }

    /// Ends a hold: its bill waits for the next sync, the rest is free at once.
    pub fn end_hold(&mut self, hold: &GrantHold, bill: Option<BillRow>) {
        let Some(tenure) = self.shards.get_mut(&hold.shard) else {
            return;
        };
        // The tenure was revoked meanwhile: its money is no longer in this entry's account.
        if tenure.epoch != hold.epoch {
            tenure.late.extend(bill);
            return;
        }
        if let Some(account) = self.accounts.get_mut(&hold.customer) {
            account.end_hold(hold.amount, bill);
        }
    }

    /// Updates the burn rates; once a tick.
    pub fn update_burn_rates(&mut self, elapsed: Duration) {
        for account in self.accounts.values_mut() {
            account.update_burn_rate(elapsed);
        }
    }

    /// Reserves unused grant to give back to a peer that would otherwise refuse.
    ///
    /// What requests wait for here is kept, unless the peer's id is the lower one: of two entries
    /// that could each serve with what the other has, one must give way, and only one.
    pub fn recall(&mut self, customer: &CustomerId, wanted: Tokens, asker: &EntryId) -> Tokens {
        let yields = *asker < self.entry;
        let Some(account) = self.accounts.get_mut(customer) else {
            return 0;
        };
        let kept = if yields { 0 } else { account.shortage() };
        let given = account.available().saturating_sub(kept).min(wanted);
        account.returning += given;
        given
    }

    /// Returns the plan of the next sync of a shard, or none if nothing calls for one.
    ///
    /// A plan whose outcome is unknown is returned again, unchanged, until it is known.
    pub fn plan_sync(&mut self, shard: &ShardName, leave: bool) -> Option<SyncPlan> {
        self.plan(shard, if leave { SyncScope::Leave } else { SyncScope::Settle })
    }

    /// Returns the plan of a sync that only changes grants: one write instead of two, and the bills
    /// wait for the next settlement.
    pub fn plan_top_up(&mut self, shard: &ShardName) -> Option<SyncPlan> {
        self.plan(shard, SyncScope::TopUp)
    }

    fn plan(&mut self, shard: &ShardName, scope: SyncScope) -> Option<SyncPlan> {
        let tenure = self.shards.get(shard)?;
        if let Some(plan) = &tenure.plan {
            return Some(plan.clone());
        }
        let agents = tenure.agents_in_use(&self.wanted_agents);
        let named = agents == tenure.agents;
        let customers = self.customers_of(shard);
        let holds = self.has_holds(&customers);
        let leave = scope == SyncScope::Leave;
        let changed = if leave && holds {
            self.return_unused(&customers)
        } else {
            self.plan_returns(&customers)
        };
        // What runs may still use its hold: a tenure with open holds is not ended.
        let leave = leave && !holds;
        let open = self.shards.get(shard)?.epoch != 0;
        let rows = scope != SyncScope::TopUp && self.has_rows(shard, &customers);
        let calls = changed || rows || (open && (leave || !named));
        if !calls {
            return None;
        }
        let scope = if leave || scope != SyncScope::Leave { scope } else { SyncScope::Settle };
        let plan = self.build_plan(shard, &customers, agents, scope)?;
        self.shards.get_mut(shard)?.plan = Some(plan.clone());
        Some(plan)
    }

    /// Returns a cached copy of a shard; none after an unknown outcome, so that it is read anew.
    pub fn take_cached(&mut self, shard: &ShardName) -> Option<(Version, BudgetShard)> {
        self.shards.get_mut(shard)?.cached.take()
    }

    fn customers_of(&self, shard: &ShardName) -> Vec<CustomerId> {
        let homes = self.homes.iter().filter(|(_, home)| *home == shard);
        homes.map(|(customer, _)| Arc::clone(customer)).collect()
    }

    fn has_rows(&self, shard: &ShardName, customers: &[CustomerId]) -> bool {
        let late = self.shards.get(shard).is_some_and(|tenure| !tenure.late.is_empty());
        let accounts = customers.iter().filter_map(|customer| self.accounts.get(customer));
        late || accounts.into_iter().any(|account| !account.unsettled.is_empty())
    }

    fn has_holds(&self, customers: &[CustomerId]) -> bool {
        let mut accounts = customers.iter().filter_map(|customer| self.accounts.get(customer));
        accounts.any(|account| account.held > 0)
    }

    /// Tells whether requests hold any of a shard's grants.
    pub fn has_open_holds(&self, shard: &ShardName) -> bool {
        self.has_holds(&self.customers_of(shard))
    }

    /// Reserves all that no request holds to be given back; false if there is nothing.
    fn return_unused(&mut self, customers: &[CustomerId]) -> bool {
        let mut changed = false;
        for customer in customers {
            if let Some(account) = self.accounts.get_mut(customer) {
                account.returning += account.available();
                changed |= account.returning > 0;
            }
        }
        changed
    }

    /// Tells whether any account asks or gives back, and reserves what is given back.
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
                account.returning += amount.min(account.available());
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
            burn: account.burn,
            busy: account.held + account.unsettled_total(),
            granted: account.granted.saturating_sub(account.returning),
            shortage: account.shortage(),
            unallocated: self.unallocated(customer).unwrap_or(0),
            prepaid: known.map_or(0, |account| account.prepaid),
            holders: cached.map_or(1, BudgetShard::count_holder_names),
            others: known.map_or(0, |account| account.granted_to_others(&self.entry)),
            unspent: known.map_or(0, BudgetAccount::unspent),
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
        let limit = if scope == SyncScope::TopUp { 0 } else { BATCH_LIMIT };
        let mut rows = if limit > 0 { tenure.take_reclaimed_rows() } else { Vec::new() };
        let mut demands = BTreeMap::new();
        for customer in customers {
            let Some(account) = self.accounts.get_mut(customer) else {
                continue;
            };
            rows.extend(account.take_bills(limit.saturating_sub(rows.len())));
            let demand = account.demand();
            demands.insert(Arc::clone(customer), demand);
        }
        Some(SyncPlan {
            shard: Arc::clone(shard),
            entry: Arc::clone(&self.entry),
            epoch: tenure.epoch,
            sequence: tenure.applied + 1,
            rows,
            demands,
            acked: tenure.acked,
            agents,
            leave: scope == SyncScope::Leave,
        })
    }

    /// Takes the outcome of the shard's sync.
    pub fn apply_sync(&mut self, shard: &ShardName, outcome: SyncOutcome) {
        let Some(tenure) = self.shards.get_mut(shard) else {
            return;
        };
        match outcome {
            // The plan stays: whether it took effect is read from the shard next time.
            SyncOutcome::Unavailable => tenure.cached = None,
            SyncOutcome::Unchanged { shard: content, version } => {
                tenure.looks += 1;
                tenure.plan = None;
                tenure.cached = Some((version, content));
            }
            SyncOutcome::Revoked { applied } => self.drop_tenure(shard, applied),
            SyncOutcome::Applied { shard: content, version, epoch } => {
                tenure.epoch = epoch;
                tenure.looks += 1;
                if let Some(plan) = tenure.plan.take() {
                    if plan.leave {
                        return self.drop_tenure(shard, true);
                    }
                    tenure.note_applied(&plan);
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

    /// The tenure is another's to settle now: nothing of it may be spent or settled here.
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
            *tenure = ShardTenure::with_late(late);
        }
    }

    /// Returns the runs that agents may drop, by agent.
    pub fn pending_acks(&self) -> BTreeMap<AgentId, Vec<RunId>> {
        let mut due: BTreeMap<AgentId, Vec<RunId>> = BTreeMap::new();
        for batches in self.shards.values().flat_map(|tenure| tenure.unacked.values()) {
            for (agent, runs) in batches {
                due.entry(Arc::clone(agent)).or_default().extend(runs.iter().map(Arc::clone));
            }
        }
        due
    }

    /// Notes that an agent dropped runs, or that its incarnation is gone with all it knew.
    pub fn record_acked(&mut self, agent: &AgentId, dropped: &BTreeSet<RunId>, gone: bool) {
        for tenure in self.shards.values_mut() {
            tenure.record_acked(agent, dropped, gone);
        }
    }

    /// Tells whether nothing waits to be settled.
    pub fn is_settled(&self) -> bool {
        self.accounts.values().all(GrantAccount::is_settled)
            && self.shards.values().all(|tenure| tenure.plan.is_none())
    }

    /// Returns the holders of a shard, as last seen.
    pub fn holders(&self, shard: &ShardName) -> Vec<EntryId> {
        let tenure = self.shards.get(shard);
        let cached = tenure.and_then(|tenure| tenure.cached.as_ref());
        let holders = cached.map(|(_, content)| content.holders.keys().map(Arc::clone));
        holders.map(Iterator::collect).unwrap_or_default()
    }

    /// Tells whether a request began to wait in a shard that no plan has seen.
    pub fn has_unplanned_waits(&self, shard: &ShardName) -> bool {
        let customers = self.customers_of(shard);
        let accounts = customers.iter().filter_map(|customer| self.accounts.get(customer));
        accounts.into_iter().any(|account| account.unseen)
    }

    /// Tells whether a shard's next sync should not wait for the settlement: a request waits, a grant
    /// runs low, or the outcome of the last one is unknown.
    pub fn needs_early_sync(&self, shard: &ShardName) -> bool {
        let unknown = self.shards.get(shard).is_some_and(|tenure| tenure.plan.is_some());
        let low = |customer: &CustomerId| {
            let view = self.view(customer);
            view.is_some_and(|view| matches!(self.policy.adjust(&view), GrantChange::Ask(1..)))
        };
        unknown || self.has_unplanned_waits(shard) || self.customers_of(shard).iter().any(low)
    }

    /// Returns how often a sync has seen the newest version of a shard.
    pub fn confirmed_syncs(&self, shard: &ShardName) -> u64 {
        self.shards.get(shard).map_or(0, |tenure| tenure.looks)
    }

    /// Tells whether an account of a shard remembers too many keyed requests.
    pub fn needs_archiving(&self, shard: &ShardName) -> bool {
        let cached = self.shards.get(shard).and_then(|tenure| tenure.cached.as_ref());
        cached.is_some_and(|(_, content)| {
            let mut accounts = content.accounts.values();
            accounts.any(|account| account.recent.len() > RECENT_KEY_LIMIT)
        })
    }

    /// Tells whether there is a tenure in a shard.
    pub fn has_tenure(&self, shard: &ShardName) -> bool {
        self.shards.get(shard).is_some_and(|tenure| tenure.epoch != 0)
    }
}
