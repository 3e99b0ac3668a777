//! Signal handling: SIGTERM shuts the process down gracefully, SIGHUP reloads the settings file.

use std::rc::Rc;
use std::time::{Duration, Instant};

use async_signal::{Signal, Signals};
use smol::stream::StreamExt;
use toucanrail_platform::settings;

use crate::grant_manager;
use crate::lending;
use crate::loan_client;
use crate::relay_api::RelayApi;
use crate::state::Gateway;

/// Time after SIGTERM for which idle connections stay open. In this time the balancer learns that
/// the entry is not ready, and requests already on their way still arrive.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(2_500);
/// Taken off the grace period for finishing requests, because the platform kills the process at its
/// end.
const DRAIN_MARGIN: Duration = Duration::from_millis(1_100);
/// Taken off the grace period for finishing the loans of a relay hosted by this process.
const LENDING_MARGIN: Duration = Duration::from_millis(1_800);
/// Taken off the grace period for the exit of the process.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// Least time in which lenders may accept the last loan ends.
const LOAN_ENDS_TIMEOUT: Duration = Duration::from_millis(300);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Waits for a stop signal, then until all requests have finished.
pub async fn run_until_stopped(gateway: Rc<Gateway>) {
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

/// Logs whether the settings file has changed. Changes are not applied, because the addresses of a
/// process stay the same while it runs.
fn reload(gateway: &Gateway) {
    match settings::read_settings() {
        Ok(read) if read == gateway.settings => tracing::info!(event = "reload", changed = false),
        Ok(read) => tracing::info!(event = "reload", changed = true, settings = ?read),
        Err(fault) => tracing::error!(event = "reload_failed", %fault),
    }
}

async fn drain(gateway: &Rc<Gateway>) {
    let stop_requested = Instant::now();
    gateway.stop_requested.set(Some(stop_requested));
    tracing::info!(event = "stop", in_flight = gateway.in_flight.get());
    let lending = gateway.hosted_relay.borrow().as_ref().map(|api| {
        let timeout = gateway.settings.shutdown_grace.saturating_sub(LENDING_MARGIN);
        gateway.executor.spawn(drain_loans(Rc::clone(api), timeout))
    });
    smol::Timer::after(IDLE_CLOSE_DELAY).await;
    gateway.close_idle.set(true);
    gateway.close_idle_event.notify(usize::MAX);
    let grace = gateway.settings.shutdown_grace;
    wait_until_idle(gateway, stop_requested, grace.saturating_sub(DRAIN_MARGIN)).await;
    // Set before the following waits: a request admitted during one of them would be cut off when
    // the process exits.
    gateway.admission_closed.set(true);
    if let Some(lending) = lending {
        lending.await;
    }
    grant_manager::settle_all(&gateway.grant_manager).await;
    let limit = grace.saturating_sub(EXIT_MARGIN);
    wait_until_idle(gateway, stop_requested, limit).await;
    let left = limit.saturating_sub(stop_requested.elapsed()).max(LOAN_ENDS_TIMEOUT);
    loan_client::await_loan_ends(gateway, left).await;
    tracing::info!(
        event = "stopped",
        in_flight = gateway.in_flight.get(),
        took_ms = stop_requested.elapsed().as_millis() as u64,
    );
}

async fn drain_loans(api: Rc<RelayApi>, timeout: Duration) {
    lending::drain(&api, timeout).await;
}

/// Waits until no request is in flight, at most until `limit` after the stop signal.
async fn wait_until_idle(gateway: &Gateway, stop_requested: Instant, limit: Duration) {
    while gateway.in_flight.get() > 0 && stop_requested.elapsed() < limit {
        smol::Timer::after(POLL_INTERVAL).await;
    }
}
