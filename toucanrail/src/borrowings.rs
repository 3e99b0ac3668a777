//! What an entry has borrowed from lenders and not yet seen settled.
//!
//! A lender that dies takes its bills with it. Whoever reclaims its tenure learns from the ledgers of
//! the entries recorded in it what was used, so that the rest returns to the accounts. An entry that
//! is asked fences the tenure: it uses no loan of it any more that it has not begun to use.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::endpoints::RelayName;
use crate::ids::{CustomerId, EntryId, RequestId, ServiceName, Tokens};
use crate::loans::{LoanId, LoanTenure, TenureUse};
use crate::messages::{FenceReply, UsageRow};

/// Maximum number of loans in a ledger; bounds its memory to about 5 MB.
const MAX_ROWS: usize = 16_384;

/// Time after the last loan of a tenure in which it counts as current.
const CURRENT_TIME: Duration = Duration::from_secs(3);
/// Time after the last loan of a tenure in which its lender's end is reported.
const USE_TIME: Duration = Duration::from_secs(60);

/// One loan, as its borrower records it.
#[derive(Debug, Clone)]
pub struct BorrowedRow {
    /// The tenure of the lender.
    pub tenure: LoanTenure,
    /// The customer who pays.
    pub customer: CustomerId,
    /// The caller's request.
    pub request: RequestId,
    /// The service.
    pub service: ServiceName,
    /// The maximum usage.
    pub amount: Tokens,
    /// Tokens used; none while the request runs.
    pub used: Option<Tokens>,
}

/// The loans of one entry whose usage is not known to be settled.
#[derive(Debug)]
pub struct BorrowingLedger {
    entry: EntryId,
    rows: BTreeMap<LoanId, BorrowedRow>,
    fences: BTreeSet<LoanTenure>,
    /// Tenures of which rows were dropped because the ledger was full.
    incomplete: BTreeSet<LoanTenure>,
}

impl BorrowingLedger {
    /// Creates the empty ledger of an entry's process.
    ///
    /// # Examples
    /// ```
    /// use toucanrail::borrowings::{BorrowedRow, BorrowingLedger};
    /// use toucanrail::loans::LoanTenure;
    /// let tenure = LoanTenure { shard: "acme".into(), epoch: 1 };
    /// let row = BorrowedRow {
    ///     tenure: tenure.clone(),
    ///     customer: "acme".into(),
    ///     request: "r1".into(),
    ///     service: "llm".into(),
    ///     amount: 50,
    ///     used: None,
    /// };
    /// let mut ledger = BorrowingLedger::new("front-1.a".into());
    /// assert!(ledger.begin("front-1.a.0".into(), row.clone()));
    /// ledger.end("front-1.a.0", 7);
    /// let reply = ledger.fence(&tenure);
    /// assert_eq!((reply.running, reply.rows[0].used), (0, 7));
    /// assert!(!ledger.begin("front-1.a.1".into(), row));
    /// ```
    pub fn new(entry: EntryId) -> Self {
        let (rows, fences, incomplete) = Default::default();
        Self { entry, rows, fences, incomplete }
    }

    /// Records a loan before its request is sent. Returns false if its tenure is fenced, so that it
    /// must not be used.
    pub fn begin(&mut self, loan: LoanId, row: BorrowedRow) -> bool {
        if self.fences.contains(&row.tenure) {
            return false;
        }
        if self.rows.len() >= MAX_ROWS
            && let Some((_, dropped)) = self.rows.pop_first()
        {
            self.incomplete.insert(dropped.tenure);
        }
        self.rows.insert(loan, row);
        true
    }

    /// Records the end of a loan. One of which nothing was used needs no settlement.
    pub fn end(&mut self, loan: &str, used: Tokens) {
        if used == 0 {
            self.rows.remove(loan);
        } else if let Some(row) = self.rows.get_mut(loan) {
            row.used = Some(used);
        }
    }

    /// Drops loans that are settled.
    pub fn drop_settled(&mut self, loans: &[LoanId]) {
        for loan in loans {
            self.rows.remove(loan);
        }
    }

    /// Drops the ended loans of a tenure that is closed.
    pub fn drop_tenure(&mut self, tenure: &LoanTenure) {
        self.rows.retain(|_, row| row.tenure != *tenure || row.used.is_none());
        self.incomplete.remove(tenure);
    }

    /// Returns the shards of the loans that are not known to be settled.
    pub fn shards(&self) -> BTreeSet<Arc<str>> {
        self.rows.values().map(|row| Arc::clone(&row.tenure.shard)).collect()
    }

    /// Fences a tenure, and returns what was used of it. The reply of a ledger that has lost rows of
    /// the tenure names no entry.
    pub fn fence(&mut self, tenure: &LoanTenure) -> FenceReply {
        self.fences.insert(tenure.clone());
        let is_complete = !self.incomplete.contains(tenure);
        let agent = if is_complete { Arc::clone(&self.entry) } else { Arc::from("") };
        let mut held: BTreeMap<CustomerId, Tokens> = BTreeMap::new();
        let mut reply = FenceReply { agent, rows: Vec::new(), running: 0, held: None };
        for (loan, row) in self.rows.iter().filter(|(_, row)| row.tenure == *tenure) {
            if let Some(used) = row.used {
                reply.rows.push(usage_row(loan, row, used));
            } else {
                reply.running += 1;
                let sum = held.entry(Arc::clone(&row.customer)).or_default();
                *sum = sum.saturating_add(row.amount);
            }
        }
        FenceReply { held: Some(held), ..reply }
    }

    /// Returns the number of loans that are not known to be settled.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether all loans are known to be settled.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}

#[derive(Debug)]
struct UseRow {
    lender: RelayName,
    lent_at: Duration,
    has_ended: bool,
}

/// The tenures that an entry has lately borrowed from, and which of their lenders have ended.
#[derive(Debug, Default)]
pub struct TenureUses {
    rows: BTreeMap<LoanTenure, UseRow>,
}

impl TenureUses {
    /// Records that a lender has opened a loan. Earlier tenures of the same VM in the shard have ended.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// use toucanrail::borrowings::TenureUses;
    /// use toucanrail::loans::{LoanTenure, TenureUse};
    /// let tenure = |epoch| LoanTenure { shard: "acme".into(), epoch };
    /// let (mut uses, now) = (TenureUses::default(), Duration::ZERO);
    /// uses.record_loan(&tenure(1), &"side-1".into(), now);
    /// assert_eq!(uses.list(now), [(tenure(1), TenureUse::Current)]);
    /// uses.record_loan(&tenure(2), &"side-1".into(), now);
    /// assert_eq!(uses.list(now)[0], (tenure(1), TenureUse::Ended));
    /// ```
    pub fn record_loan(&mut self, tenure: &LoanTenure, lender: &RelayName, now: Duration) {
        self.rows.retain(|_, row| now.saturating_sub(row.lent_at) <= USE_TIME);
        for (known, row) in &mut self.rows {
            let is_earlier = known.shard == tenure.shard && known.epoch < tenure.epoch;
            row.has_ended |= is_earlier && row.lender == *lender;
        }
        let row = UseRow { lender: Arc::clone(lender), lent_at: now, has_ended: false };
        self.rows.insert(tenure.clone(), row);
    }

    /// Records that the process of a lender has ended: its VM refuses connections.
    pub fn record_end(&mut self, lender: &str) {
        for row in self.rows.values_mut().filter(|row| *row.lender == *lender) {
            row.has_ended = true;
        }
    }

    /// Forgets a tenure that is closed.
    pub fn remove(&mut self, tenure: &LoanTenure) {
        self.rows.remove(tenure);
    }

    /// Returns the tenures whose lenders have ended.
    pub fn list_ended(&self) -> BTreeSet<LoanTenure> {
        let ended = self.rows.iter().filter(|(_, row)| row.has_ended);
        ended.map(|(tenure, _)| tenure.clone()).collect()
    }

    /// Returns the tenures that are in use, and those whose lenders have ended.
    pub fn list(&self, now: Duration) -> Vec<(LoanTenure, TenureUse)> {
        let state = |row: &UseRow| match now.saturating_sub(row.lent_at) {
            age if age > USE_TIME => None,
            _ if row.has_ended => Some(TenureUse::Ended),
            age => (age <= CURRENT_TIME).then_some(TenureUse::Current),
        };
        let rows = self.rows.iter();
        rows.filter_map(|(tenure, row)| Some((tenure.clone(), state(row)?))).collect()
    }
}

fn usage_row(loan: &LoanId, row: &BorrowedRow, used: Tokens) -> UsageRow {
    UsageRow {
        run: Arc::clone(loan),
        request: Arc::clone(&row.request),
        customer: Arc::clone(&row.customer),
        service: Arc::clone(&row.service),
        keyed: false,
        resumed: false,
        whole: true,
        used,
        unproved: 0,
    }
}
