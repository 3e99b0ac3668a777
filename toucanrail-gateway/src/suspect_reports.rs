//! Reports of the requests under which servers ended, which an entry sends to relays, and the replies
//! of the relays about what is held back.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use event_listener::Event;
use toucanrail::endpoints::LocatedRelay;
use toucanrail::holds::{HoldQuery, HoldReply, HoldTable, SuspectReport, TrialRequest};
use toucanrail::relay_backoffs::BackoffTable;
use toucanrail::relay_ranks;
use toucanrail::suspects::{EndNote, SuspectKey};

use crate::relay_api::{HOLD_PATH, SUSPECT_PATH, TRIAL_PATH};
use crate::relay_client;
use crate::request_context::RequestPlan;
use crate::state::Gateway;

/// Number of relays that keep the suspects, in different data centres.
pub const COPIES: usize = 3;
/// Purpose by which these relays are ranked.
const RANK_PURPOSE: &str = "suspects";
/// Timeout of a report; a live relay replies within a few milliseconds.
const REPORT_TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum time until the reply to a query of what is held back, and what is added to it before the
/// relay counts as failed.
const HOLD_WAIT: Duration = Duration::from_secs(8);
const HOLD_SLACK: Duration = Duration::from_millis(500);
/// Pause after a query that failed, or when there is no relay.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Time after the start in which an entry is not ready until it knows what the relays hold back. A live
/// relay replies within a few milliseconds; without one the entry is as useful as before.
pub const MAX_READY_DELAY: Duration = Duration::from_secs(1);
/// Interval between two lines in the log about these messages.
const LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum number of notes kept for relays that start again.
const MAX_KEPT_NOTES: usize = 256;

/// Messages to relays since the last line in the log.
#[derive(Debug, Clone, Copy, Default)]
struct MessageCounts {
    reports: usize,
    notes: usize,
    queries: usize,
}

/// Tells relays under which requests servers ended.
#[derive(Debug, Default)]
pub struct SuspectReporter {
    pending: RefCell<SuspectReport>,
    /// Notes that this entry has made, and when.
    kept: RefCell<VecDeque<(Duration, EndNote)>>,
    /// Number of the report that is filled next, and of the last one that was sent.
    filling: Cell<u64>,
    sent: Cell<u64>,
    added: Event,
    flushed: Event,
    /// Relays that did not respond.
    failed: RefCell<BackoffTable>,
    counts: Cell<MessageCounts>,
    /// When this entry last asked for a trial.
    trial_asked_at: Cell<Duration>,
}

impl SuspectReporter {
    /// Keeps a note for relays that start again, if it has suspects.
    fn keep_note(&self, note: &EndNote, now: Duration) {
        if note.suspects.is_empty() {
            return;
        }
        let mut kept = self.kept.borrow_mut();
        if kept.len() >= MAX_KEPT_NOTES {
            kept.pop_front();
        }
        kept.push_back((now, note.clone()));
    }

    fn count_messages<Change>(&self, change: Change)
    where
        Change: FnOnce(&mut MessageCounts),
    {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }

    /// Returns all kept notes as told now.
    fn kept_notes(&self, holds: &HoldTable, now: Duration) -> Vec<EndNote> {
        let kept = self.kept.borrow();
        kept.iter().map(|(at, note)| holds.renew_note(note, now.saturating_sub(*at), now)).collect()
    }
}

/// Records that a server ended under a request. Returns once the relays have replied, so that what
/// follows takes the ends into account that other entries have seen.
pub async fn report_end(gateway: &Gateway, note: EndNote) {
    let now = gateway.now();
    gateway.tables.borrow_mut().holds.record_end(&note, now);
    let reporter = &gateway.suspect_reporter;
    reporter.keep_note(&note, now);
    reporter.pending.borrow_mut().ends.push(note);
    let number = reporter.filling.get();
    reporter.added.notify(1);
    while reporter.sent.get() <= number {
        let flushed = reporter.flushed.listen();
        if reporter.sent.get() <= number {
            flushed.await;
        }
    }
}

/// Records that a request succeeded, and with it the parts of its prompt.
pub fn record_success(gateway: &Gateway, plan: &RequestPlan<'_>) {
    record_successes(gateway, plan, plan.suspects.iter().copied());
}

/// Records that a response has gone on for some time, which clears the parts of the prompt.
pub fn record_progress(gateway: &Gateway, plan: &RequestPlan<'_>) {
    let is_part = |key: &SuspectKey| matches!(key, SuspectKey::Part(_));
    record_successes(gateway, plan, plan.suspects.iter().copied().filter(is_part));
}

fn record_successes<Keys>(gateway: &Gateway, plan: &RequestPlan<'_>, keys: Keys)
where
    Keys: Iterator<Item = SuspectKey>,
{
    let now = gateway.now();
    let mut tables = gateway.tables.borrow_mut();
    tables.holds.record_served(&plan.service, now);
    let held: Vec<SuspectKey> = keys.filter(|key| tables.holds.record_success(*key, now)).collect();
    drop(tables);
    if !held.is_empty() {
        let reporter = &gateway.suspect_reporter;
        let successes = held.into_iter().map(|key| (key, Duration::ZERO));
        reporter.pending.borrow_mut().successes.extend(successes);
        reporter.added.notify(1);
    }
}

/// Returns when this entry last asked for a trial.
pub fn trial_asked_at(gateway: &Gateway) -> Duration {
    gateway.suspect_reporter.trial_asked_at.get()
}

/// Records that this entry asks for a trial now.
pub fn record_trial_asked(gateway: &Gateway) {
    gateway.suspect_reporter.trial_asked_at.set(gateway.now());
}

/// Asks the first of the relays that keep the suspects whether one request with these may be tried.
/// Without relays, this entry decides.
pub async fn request_trial(gateway: &Gateway, suspects: &TrialRequest) -> bool {
    let Some(relay) = list_keepers(gateway).into_iter().next() else {
        return gateway.tables.borrow_mut().holds.grant_trial(suspects, gateway.now());
    };
    let (path, timeout) = (TRIAL_PATH, REPORT_TIMEOUT);
    let asked =
        relay_client::call_relay_anew(gateway, &relay.name, relay.address, path, suspects, timeout);
    asked.await.unwrap_or(false)
}

/// Takes back a trial whose request was not sent to any server.
pub fn return_trial(gateway: &Gateway, suspects: &[SuspectKey]) {
    gateway.tables.borrow_mut().holds.return_trial(suspects, gateway.now());
    let reporter = &gateway.suspect_reporter;
    reporter.pending.borrow_mut().unused_trials.push(suspects.to_vec());
    reporter.added.notify(1);
}

/// Sends what there is to report until the process exits.
pub async fn send_reports(gateway: Rc<Gateway>) {
    let reporter = &gateway.suspect_reporter;
    loop {
        let added = reporter.added.listen();
        if *reporter.pending.borrow() == SuspectReport::default() {
            added.await;
        }
        let (report, taken_at) = (Rc::new(reporter.pending.take()), gateway.now());
        reporter.filling.set(reporter.filling.get() + 1);
        let sending = list_keepers(&gateway).into_iter().map(|relay| {
            let (gateway, report) = (Rc::clone(&gateway), Rc::clone(&report));
            let executor = Rc::clone(&gateway.executor);
            executor.spawn(async move { send_report(&gateway, &relay, &report).await })
        });
        for task in sending.collect::<Vec<_>>() {
            if task.await {
                gateway.tables.borrow_mut().holds.record_told(taken_at);
            }
        }
        reporter.sent.set(reporter.filling.get());
        reporter.flushed.notify(usize::MAX);
    }
}

/// Returns the relays that keep the suspects: of those that respond, or of all if none does.
fn list_keepers(gateway: &Gateway) -> Vec<LocatedRelay> {
    rank_keepers(gateway, COPIES)
}

/// Returns the first relays by rank as keepers of the suspects.
pub(crate) fn rank_keepers(gateway: &Gateway, count: usize) -> Vec<LocatedRelay> {
    let now = gateway.now();
    let health = gateway.relay_checker.health();
    let relays = health.working(gateway.store.located_relays(), |relay| relay.address, now);
    let responds = |relay: &&LocatedRelay| {
        !gateway.suspect_reporter.failed.borrow().is_active(&relay.name, now)
    };
    let working: Vec<LocatedRelay> = relays.iter().filter(responds).cloned().collect();
    let relays = if working.is_empty() { &relays } else { &working };
    relay_ranks::pick_relays(relays, relay_ranks::rank_seed(RANK_PURPOSE), count)
}

/// Sends a report to a relay. Returns whether the relay has got it.
async fn send_report(gateway: &Gateway, relay: &LocatedRelay, report: &SuspectReport) -> bool {
    let LocatedRelay { name, address, .. } = relay;
    let (path, timeout) = (SUSPECT_PATH, REPORT_TIMEOUT);
    let sent = relay_client::call_relay_again(gateway, name, *address, path, report, timeout).await;
    gateway.suspect_reporter.count_messages(|counts| {
        counts.reports += 1;
        counts.notes += report.ends.len();
    });
    match &sent {
        Ok(reply) => apply_reply(gateway, relay, reply),
        Err(error) => {
            tracing::info!(event = "suspects_unsent", relay = %name, %error);
            gateway.suspect_reporter.failed.borrow_mut().record_failure(name, gateway.now());
        }
    }
    sent.is_ok()
}

/// Applies a relay's reply. Tells the relays of suspects that have succeeded here, and a relay that is
/// new to this entry of all ends that it has seen.
fn apply_reply(gateway: &Gateway, relay: &LocatedRelay, reply: &HoldReply) {
    let now = gateway.now();
    let reporter = &gateway.suspect_reporter;
    reporter.failed.borrow_mut().reset(&relay.name);
    let mut tables = gateway.tables.borrow_mut();
    let is_new = tables.holds.known(&relay.name).is_none_or(|(known, _)| known != reply.process);
    let succeeded = tables.holds.apply_reply(&relay.name, reply, now);
    let ends = if is_new { reporter.kept_notes(&tables.holds, now) } else { Vec::new() };
    drop(tables);
    if succeeded.is_empty() && ends.is_empty() {
        return;
    }
    let mut pending = reporter.pending.borrow_mut();
    pending.successes.extend(succeeded);
    pending.ends.extend(ends);
    reporter.added.notify(1);
}

/// Logs at intervals how many messages about suspects this entry sent, if there are any suspects.
pub async fn log_messages(gateway: Rc<Gateway>) {
    loop {
        smol::Timer::after(LOG_INTERVAL).await;
        let MessageCounts { reports, notes, queries } = gateway.suspect_reporter.counts.take();
        let held = gateway.tables.borrow().holds.held_counts();
        if reports > 0 || held.values().any(|count| *count > 0) {
            tracing::info!(event = "suspects_told", reports, notes, queries, held = ?held);
        }
    }
}

/// Returns whether this entry knows what each of the relays that keep the suspects holds back, or has
/// waited long enough for it. Nothing is held back in a fleet that starts for the first time.
pub fn is_informed(gateway: &Gateway) -> bool {
    if gateway.settings.starts_fleet || gateway.now() >= MAX_READY_DELAY {
        return true;
    }
    let tables = gateway.tables.borrow();
    let is_known = |relay: &LocatedRelay| tables.holds.known(&relay.name).is_some();
    gateway.store.time_since_relays_listed().is_some() && list_keepers(gateway).iter().all(is_known)
}

/// Follows what one of the relays holds back, until the process exits.
pub async fn follow_holds(gateway: Rc<Gateway>, slot: usize) {
    gateway.store.wait_relays_listed().await;
    loop {
        let Some(relay) = list_keepers(&gateway).into_iter().nth(slot) else {
            smol::Timer::after(RETRY_PAUSE).await;
            continue;
        };
        if let Err(error) = query_holds(&gateway, &relay).await {
            tracing::info!(event = "holds_unknown", relay = %relay.name, %error);
            gateway.suspect_reporter.failed.borrow_mut().record_failure(&relay.name, gateway.now());
            let checker = &gateway.relay_checker;
            if checker.health().is_passed_over(relay.address, gateway.now()) {
                checker.await_search(RETRY_PAUSE).await;
            } else {
                smol::Timer::after(RETRY_PAUSE).await;
            }
        }
    }
}

async fn query_holds(gateway: &Gateway, relay: &LocatedRelay) -> io::Result<()> {
    let LocatedRelay { name, address, .. } = relay;
    let known = gateway.tables.borrow().holds.known(name);
    let query = HoldQuery { known, wait: HOLD_WAIT };
    gateway.suspect_reporter.count_messages(|counts| counts.queries += 1);
    let (path, timeout) = (HOLD_PATH, HOLD_WAIT + HOLD_SLACK);
    let reply =
        relay_client::call_relay_again(gateway, name, *address, path, &query, timeout).await?;
    apply_reply(gateway, relay, &reply);
    Ok(())
}
