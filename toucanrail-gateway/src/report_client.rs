//! Reads load reports of the backend server beside a relay.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use toucanrail::paces::BackendReport;
use toucanrail_platform::stores::{StoreClient, StoreError};

/// Timeout of a report call; the server is on the same VM.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of a report, in bytes. It has a row for each running request, with the id that its
/// caller chose.
const MAX_REPORT_SIZE: u64 = 1024 * 1024;

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
        let report = self.client.fetch_report(self.server, REPORT_TIMEOUT, MAX_REPORT_SIZE).await;
        if let Err(StoreError::NoResponse(error)) = &report
            && error.kind() == io::ErrorKind::FileTooLarge
        {
            tracing::info!(event = "report_too_large", server = %self.server);
        }
        report
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
