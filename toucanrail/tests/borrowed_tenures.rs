//! Tenures of lenders whose tokens are used by borrowers alone: who is named, who is asked, and what
//! returns.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use toucanrail::borrowings::{BorrowedRow, BorrowingLedger, TenureUses};
use toucanrail::budgets::{BillRow, BilledRun, BudgetShard};
use toucanrail::endpoints::RelayName;
use toucanrail::grants::{GrantHold, GrantTable};
use toucanrail::ids::{CustomerId, EntryId};
use toucanrail::loans::{self, LoanId, LoanReport, LoanTenure, TenureUse};
use toucanrail::messages::FenceReply;
use toucanrail::policies::GrantPolicy;
use toucanrail::storecalls::{self, StoreCall, StoreReply};
use toucanrail::sync_plans::SyncPlan;
use toucanrail::syncs::SyncMachine;
use toucanrail::tenure_watch::{DeathCause, TenureWatch};

const POLICY: GrantPolicy = GrantPolicy::FixedAmount { headroom: 1_000 };

fn customer() -> CustomerId {
    Arc::from("acme")
}

fn entry(name: &str) -> EntryId {
    Arc::from(name)
}

fn tenure(epoch: u64) -> LoanTenure {
    LoanTenure { shard: customer(), epoch }
}

fn row(epoch: u64) -> BorrowedRow {
    BorrowedRow {
        tenure: tenure(epoch),
        customer: customer(),
        request: Arc::from("r"),
        service: Arc::from("llm"),
        amount: 50,
        used: None,
    }
}

/// Returns the bill of a loan of which all was used.
fn bill(hold: &GrantHold, loan: &LoanId) -> BillRow {
    let agent = Arc::from(loans::borrower_of(loan));
    BillRow {
        request: Arc::from("r"),
        customer: customer(),
        service: Arc::from("llm"),
        epoch: hold.epoch,
        keyed: false,
        billed: hold.amount,
        written_off: 0,
        unproved: 0,
        runs: vec![BilledRun { run: Arc::clone(loan), agent, used: hold.amount }],
    }
}

/// A lender and its shard in the store.
struct Lender {
    table: GrantTable,
    shard: BudgetShard,
    version: u64,
}

impl Lender {
    fn new() -> Self {
        let mut table = GrantTable::new(entry("side-1.a"), POLICY);
        table.set_lends();
        table.add_account(&customer(), &customer());
        table.raise_prepaid(&customer(), 10_000);
        Self { table, shard: BudgetShard::default(), version: 0 }
    }

    fn want(&mut self, borrower: &EntryId) {
        self.table.want_borrower(&customer(), borrower, Duration::ZERO);
    }

    fn plan(&mut self) -> Option<SyncPlan> {
        self.table.begin_wait(&customer(), 10);
        let plan = self.table.plan_top_up(&customer());
        self.table.end_wait(&customer(), 10);
        plan
    }

    /// Runs a planned sync.
    fn run(&mut self, plan: SyncPlan) {
        let mut machine = SyncMachine::new(plan, POLICY, None);
        while let Some(call) = machine.next_call() {
            machine.handle_reply(match call {
                StoreCall::Get { .. } if self.version == 0 => StoreReply::Missing,
                StoreCall::Get { .. } => StoreReply::Found {
                    version: self.version,
                    value: storecalls::encode_value(&self.shard),
                },
                StoreCall::Put { path, .. } if path.starts_with("bills/") => {
                    StoreReply::Written { version: 1 }
                }
                StoreCall::Put { value, .. } => {
                    self.version += 1;
                    self.shard = storecalls::decode_value(&value).expect("a shard");
                    StoreReply::Written { version: self.version }
                }
            });
        }
        self.table.apply_sync(&customer(), machine.into_outcome());
    }

    fn sync(&mut self) {
        if let Some(plan) = self.plan() {
            self.run(plan);
        }
    }

    fn named(&self) -> BTreeSet<EntryId> {
        self.shard.holders["side-1.a"].agents.clone()
    }
}

/// Guards against a loan to a borrower that the shard does not name: if the lender dies, nobody asks it
/// what it used.
#[test]
fn unnamed_borrower() {
    let (mut lender, first, second) = (Lender::new(), entry("front-1.a"), entry("front-2.a"));
    lender.want(&first);
    assert!(!lender.table.names_agent(&customer(), &first));
    lender.sync();
    assert!(lender.table.names_agent(&customer(), &first) && lender.named().contains(&first));
    assert!(!lender.table.names_agent(&customer(), &second));
    assert!(lender.shard.holders["side-1.a"].lends);
}

/// Guards against the same for a borrower that a sync under way is about to remove.
#[test]
fn borrower_being_removed() {
    let (mut lender, borrower) = (Lender::new(), entry("front-1.a"));
    lender.want(&borrower);
    lender.sync();
    lender.table.retain_borrowers(|_, _| false);
    let removing = lender.plan().expect("a plan");
    lender.want(&borrower);
    assert!(!lender.table.names_agent(&customer(), &borrower));
    lender.run(removing);
    assert!(!lender.named().contains(&borrower));
    lender.sync();
    assert!(lender.table.names_agent(&customer(), &borrower) && lender.named().contains(&borrower));
}

/// Guards against tokens that return although a borrower used them: it is removed from the shard while
/// its bill is not settled, and both it and the lender die.
#[test]
fn unsettled_borrower() {
    let (mut lender, borrower) = (Lender::new(), entry("front-1.a"));
    lender.want(&borrower);
    lender.sync();
    let loan: LoanId = Arc::from("front-1.a.0");
    let hold = lender.table.hold(&customer(), 10).expect("a hold");
    lender.table.mark_agent(&customer(), &borrower, true);
    lender.table.mark_agent(&customer(), &borrower, false);
    lender.table.end_hold(&hold, Some(bill(&hold, &loan)));
    lender.table.retain_borrowers(|_, _| false);
    lender.sync();
    assert!(lender.named().contains(&borrower));
    let settling = lender.table.plan_sync(&customer(), false).expect("a plan");
    lender.run(settling);
    lender.table.record_acked(&borrower, &BTreeSet::from([loan]), false);
    lender.sync();
    assert!(!lender.named().contains(&borrower));
}

/// A lender's tenure in a shard, with two borrowers, and another lender's watch on it.
struct WatchedTenure {
    shard: BudgetShard,
    watch: TenureWatch,
    borrowers: [EntryId; 2],
}

impl WatchedTenure {
    fn new() -> Self {
        let (mut shard, borrowers) =
            (BudgetShard::default(), ["front-1.a", "front-2.a"].map(entry));
        for holder in ["side-1.a", "side-2.a"] {
            shard.open_tenure(&entry(holder));
        }
        let holder = shard.holders.get_mut("side-1.a").expect("a holder");
        holder.lends = true;
        holder.agents.extend(borrowers.iter().map(Arc::clone));
        Self { shard, watch: TenureWatch::default(), borrowers }
    }

    fn settle(&mut self) {
        self.shard.holders.get_mut("side-1.a").expect("a holder").settled += 1;
    }

    /// Records a report of a borrower that has lately borrowed from these tenures.
    fn report(&mut self, borrower: usize, seconds: u64, uses: &[(LoanTenure, TenureUse)]) {
        let now = Duration::from_secs(seconds);
        self.watch.record_uses(&self.borrowers[borrower], uses, now);
    }

    /// Looks at the shard, and returns why the tenure is taken for dead, if it has not been before.
    fn observe(&mut self, seconds: u64) -> Option<DeathCause> {
        let (now, own) = (Duration::from_secs(seconds), entry("side-2.a"));
        let found = self.watch.observe(&customer(), &self.shard, &own, now, |_| false);
        let (holder, cause) = found.into_iter().next()?;
        assert_eq!(holder, entry("side-1.a"));
        assert_eq!(self.watch.fences_for(&self.borrowers[0]), [tenure(1)]);
        Some(cause)
    }
}

/// Guards against a lender that works being taken for dead, and against one that died being left alone
/// because its VM does not come back, or came back and lends elsewhere.
#[test]
fn silent_lenders() {
    let mut watched = WatchedTenure::new();
    let current = [(tenure(1), TenureUse::Current)];
    assert_eq!(watched.observe(0), None);
    watched.settle();
    watched.report(0, 4, &[]);
    watched.report(1, 4, &[]);
    assert_eq!(watched.observe(4), None, "it settles");
    assert_eq!(watched.observe(30), None, "no borrower has told whether it uses the tenure");
    watched.report(0, 31, &[]);
    assert_eq!(watched.observe(31), None, "one borrower has not told it");
    watched.report(1, 31, &current);
    assert_eq!(watched.observe(31), None, "one borrower uses it");
    watched.report(0, 40, &[(tenure(2), TenureUse::Current)]);
    watched.report(1, 41, &[]);
    assert_eq!(watched.observe(43), None, "one report is old");
    watched.report(0, 43, &[]);
    assert_eq!(watched.observe(43), Some(DeathCause::Unused));
    assert_eq!(watched.observe(44), None);
}

/// Guards against reports that relays of the version before cannot read, and against taking silence of
/// entries of that version for a tenure that is not in use.
#[test]
fn earlier_reports() {
    let report = LoanReport {
        entry: entry("front-1.a"),
        ends: Vec::new(),
        dropped: Vec::new(),
        fenced: Vec::new(),
        failed: Vec::new(),
        uses: Some(Vec::new()),
    };
    let fields = rmp_serde::to_vec_named(&report).expect("a report");
    let mut fields: BTreeMap<String, serde_json::Value> =
        rmp_serde::from_slice(&fields).expect("fields");
    assert_eq!(fields["failed"], serde_json::json!([]));
    fields.remove("uses");
    let earlier = rmp_serde::to_vec_named(&fields).expect("a report");
    let earlier: LoanReport = rmp_serde::from_slice(&earlier).expect("a report");
    assert_eq!(earlier, LoanReport { uses: None, ..report });
}

/// Guards against waiting for the silence of a lender whose VM refuses connections.
#[test]
fn refusing_lender() {
    let mut watched = WatchedTenure::new();
    assert_eq!(watched.observe(0), None);
    watched.report(1, 1, &[(tenure(9), TenureUse::Ended)]);
    assert_eq!(watched.observe(1), None, "another tenure");
    watched.report(1, 1, &[(tenure(1), TenureUse::Ended)]);
    assert_eq!(watched.observe(1), Some(DeathCause::Ended));
}

/// Guards against a tenure that is reduced before each of its borrowers has fenced it, and one that is
/// reclaimed before they have ended its loans.
#[test]
fn missing_replies() {
    let mut watched = WatchedTenure::new();
    watched.observe(0);
    watched.report(0, 1, &[(tenure(1), TenureUse::Ended)]);
    watched.observe(1);
    let WatchedTenure { mut watch, borrowers: [first, second], .. } = watched;
    let ready = |watch: &TenureWatch| watch.find_ready(|_| false);
    let reply = |agent: &EntryId, running| FenceReply {
        agent: Arc::clone(agent),
        rows: Vec::new(),
        running,
        held: None,
    };
    watch.record_reply(&tenure(1), &second, reply(&second, 0));
    assert!(ready(&watch).is_none());
    watch.record_reply(&tenure(1), &first, reply(&first, 1));
    assert_eq!(ready(&watch), Some((tenure(1), entry("side-1.a"))));
    watch.record_reduced(&tenure(1));
    assert!(ready(&watch).is_none() && !watch.fences_for(&first).is_empty());
    watch.record_reply(&tenure(1), &first, reply(&first, 0));
    assert_eq!(ready(&watch), Some((tenure(1), entry("side-1.a"))));
}

/// Guards against a borrower that reports a lender's end by a failure of the one before, or of another
/// VM.
#[test]
fn reported_ends() {
    let (mut uses, seconds) = (TenureUses::default(), Duration::from_secs);
    let (first, second): (RelayName, RelayName) = (Arc::from("side-1"), Arc::from("side-2"));
    uses.record_loan(&tenure(1), &first, seconds(0));
    uses.record_loan(&tenure(2), &second, seconds(0));
    uses.record_end(&first);
    uses.record_loan(&tenure(3), &first, seconds(5));
    let listed = [(tenure(1), TenureUse::Ended), (tenure(3), TenureUse::Current)];
    assert_eq!(uses.list(seconds(5)), listed);
    uses.remove(&tenure(1));
    assert!(uses.list(seconds(9)).is_empty());
}

/// Guards against the reclaim of a holder that uses tokens itself, such as an entry or a lender of
/// before.
#[test]
fn holders_for_themselves() {
    let (mut shard, mut watch) = (BudgetShard::default(), TenureWatch::default());
    for holder in ["front-1.a", "front-1.b", "side-1.a"] {
        shard.open_tenure(&entry(holder));
    }
    watch.observe(&customer(), &shard, &entry("side-1.b"), Duration::from_secs(60), |_| true);
    assert!(watch.find_ready(|_| true).is_none());
}

/// Guards against a ledger that has lost loans and reports as if it had all.
#[test]
fn full_ledger() {
    let mut ledger = BorrowingLedger::new(entry("front-1.a"));
    for number in 0..17_000 {
        assert!(ledger.begin(Arc::from(format!("front-1.a.{number:05}")), row(1)));
    }
    assert_ne!(ledger.fence(&tenure(1)).agent, entry("front-1.a"));
    assert_eq!(ledger.fence(&tenure(2)).agent, entry("front-1.a"));
}

proptest! {
    /// Whatever is borrowed, ended, settled and fenced in any order: a report has each loan that was
    /// used and not settled, with its tokens, and no loan of a fenced tenure begins.
    #[test]
    fn complete_reports(steps in prop::collection::vec((0_u8..5, 0_u64..8, 1_u64..4, 0_u64..50), 0..80)) {
        let mut ledger = BorrowingLedger::new(entry("front-1.a"));
        let mut model: BTreeMap<Arc<str>, (u64, Option<u64>)> = BTreeMap::new();
        let mut fenced = BTreeSet::new();
        for (step, number, epoch, used) in steps {
            let loan: Arc<str> = Arc::from(format!("front-1.a.{number}"));
            match step {
                0 if !model.contains_key(&loan) => {
                    let began = ledger.begin(Arc::clone(&loan), row(epoch));
                    prop_assert_eq!(began, !fenced.contains(&epoch));
                    if began {
                        model.insert(loan, (epoch, None));
                    }
                }
                1 if model.get(&loan).is_some_and(|(_, ended)| ended.is_none()) => {
                    ledger.end(&loan, used);
                    if used == 0 {
                        model.remove(&loan);
                    } else if let Some(row) = model.get_mut(&loan) {
                        row.1 = Some(used);
                    }
                }
                2 if model.get(&loan).is_some_and(|(_, ended)| ended.is_some()) => {
                    ledger.drop_settled(&[Arc::clone(&loan)]);
                    model.remove(&loan);
                }
                3 => {
                    fenced.insert(epoch);
                    let reply = ledger.fence(&tenure(epoch));
                    let rows = model.values().filter(|(known, _)| *known == epoch);
                    let (running, ended): (Vec<_>, Vec<_>) =
                        rows.partition(|(_, ended)| ended.is_none());
                    prop_assert_eq!(reply.running, running.len() as u64);
                    let total: u64 = ended.iter().filter_map(|(_, used)| *used).sum();
                    prop_assert_eq!(reply.rows.iter().map(|row| row.used).sum::<u64>(), total);
                }
                _ => {}
            }
        }
    }
}
