//! Reads load reports of the backend server beside a relay.

use std::net::SocketAddr;
use std::time::Duration;

use toucanrail::paces::BackendReport;
use toucanrail_platform::stores::{StoreClient, StoreError};

/// Timeout of a report call; the server is on the same VM.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Reads the load reports of the backend server on this VM, where they are current and cost no call
/// to the store.
#[derive(Debug)]
pub struct ReportClient {
    client: StoreClient,
    /// Address of the backend server.
    pub server: SocketAddr,
}

impl ReportClient {
    /// Creates a client for one backend server.
    pub fn new(client: StoreClient, server: SocketAddr) -> Self {
        Self { client, server }
    }

    /// Fetches a report.
    pub async fn fetch(&self) -> Result<BackendReport, StoreError> {
        self.client.fetch_report(self.server, REPORT_TIMEOUT).await
    }

    /// Fetches a report, or returns `None` if the server does not respond with one.
    pub async fn try_fetch(&self) -> Option<BackendReport> {
        match self.fetch().await {
            Ok(report) => Some(report),
            Err(failure) => {
                tracing::debug!(event = "report_failed", server = %self.server, %failure);
                None
            }
        }
    }
}
