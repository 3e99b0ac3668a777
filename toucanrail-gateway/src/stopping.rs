//! Signals: SIGTERM ends the process without cutting an answer off, SIGHUP reads the settings anew.

use std::rc::Rc;
use std::time::{Duration, Instant};

use async_signal::{Signal, Signals};
use smol::stream::StreamExt;
use toucanrail_platform::settings;
use toucanrail_wire::clocks;

use crate::borrowing;
use crate::budgeting;
use crate::lending::{self, LoanOffice};
use crate::state::Gateway;

/// Time after SIGTERM for which idle connections stay open: the balancer learns in this time that
/// the entry is not ready, and a request under way still finds it.
const IDLE_NOTICE: Duration = Duration::from_millis(2_500);
/// Taken off the grace period: after that the platform kills.
const GRACE_MARGIN: Duration = Duration::from_millis(1_100);
/// Taken off the grace period for the end of loans of a relay that is hosted here.
const LOANS_MARGIN: Duration = Duration::from_millis(1_800);
/// Taken off the grace period for the process's own end.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// Longest wait for lenders to take the last ends.
const ENDS_BOUND: Duration = Duration::from_millis(300);
const STEP: Duration = Duration::from_millis(50);

/// Waits for SIGTERM, then until nothing is in flight.
pub async fn wait_end(gateway: Rc<Gateway>) {
    match Signals::new([Signal::Term, Signal::Int, Signal::Hup]) {
        Ok(mut signals) => {
            while let Some(Ok(signal)) = signals.next().await {
                if signal != Signal::Hup {
                    break;
                }
                reload(&gateway);
            }
        }
        Err(error) => {
            tracing::error!(event = "no_signals", %error);
            std::future::pending::<()>().await;
        }
    }
    drain(&gateway).await;
}

/// The addresses of a process do not change while it runs; what a new file says of them is logged.
fn reload(gateway: &Gateway) {
    match settings::read_settings() {
        Ok(read) if read == gateway.settings => tracing::info!(event = "reload", changed = false),
        Ok(read) => tracing::info!(event = "reload", changed = true, settings = ?read),
        Err(fault) => tracing::error!(event = "reload_failed", %fault),
    }
}

async fn drain(gateway: &Rc<Gateway>) {
    let since = Instant::now();
    gateway.stop_requested.set(Some(since));
    tracing::info!(event = "stop", in_flight = gateway.in_flight.get());
    let lending = gateway.hosted_relay.borrow().as_ref().map(|office| {
        let bound = gateway.settings.grace.saturating_sub(LOANS_MARGIN);
        gateway.executor.spawn(drain_loans(Rc::clone(office), bound))
    });
    smol::Timer::after(IDLE_NOTICE).await;
    gateway.closes_idle.set(true);
    gateway.leaving.notify(usize::MAX);
    let grace = gateway.settings.grace;
    wait_idle(gateway, since, grace.saturating_sub(GRACE_MARGIN)).await;
    // Before the waits below: what is admitted in one of them would be cut off at its end.
    gateway.closed.set(true);
    clocks::bounded(ENDS_BOUND, borrowing::flush_ends(gateway)).await;
    if let Some(lending) = lending {
        lending.await;
    }
    budgeting::leave(&gateway.keeper).await;
    wait_idle(gateway, since, grace.saturating_sub(EXIT_MARGIN)).await;
    tracing::info!(
        event = "stopped",
        in_flight = gateway.in_flight.get(),
        took_ms = since.elapsed().as_millis() as u64,
    );
}

async fn drain_loans(office: Rc<LoanOffice>, bound: Duration) {
    lending::drain(&office, bound).await;
}

/// Waits until nothing is in flight, at most until `limit` after the signal.
async fn wait_idle(gateway: &Gateway, since: Instant, limit: Duration) {
    while gateway.in_flight.get() > 0 && since.elapsed() < limit {
        smol::Timer::after(STEP).await;
    }
}
