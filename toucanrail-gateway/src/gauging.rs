//! A look at the server beside a relay, for the relay and for entries that ask.

use std::net::SocketAddr;
use std::time::Duration;

use toucanrail::paces::LoadReport;
use toucanrail_platform::stores::{StoreClient, StoreError};

/// Longest wait for a report; the server is on the same VM.
const REPORT_BOUND: Duration = Duration::from_millis(500);

/// Reads the load reports of the server on this VM; they are fresh here, and free.
#[derive(Debug)]
pub struct ServerGauge {
    client: StoreClient,
    /// The server.
    pub server: SocketAddr,
}

impl ServerGauge {
    /// Makes the gauge of a server.
    pub fn new(client: StoreClient, server: SocketAddr) -> Self {
        Self { client, server }
    }

    /// Reads a report.
    pub async fn read(&self) -> Result<LoadReport, StoreError> {
        self.client.fetch_report(self.server, REPORT_BOUND).await
    }

    /// Reads a report for an entry; none if the server does not report.
    pub async fn see(&self) -> Option<LoadReport> {
        match self.read().await {
            Ok(report) => Some(report),
            Err(failure) => {
                tracing::debug!(event = "report_failed", server = %self.server, %failure);
                None
            }
        }
    }
}
