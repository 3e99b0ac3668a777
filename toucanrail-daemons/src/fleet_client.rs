//! Signed calls between the fleet's processes, with bodies in `MessagePack`.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use http_types::Response;
use serde::Serialize;
use serde::de::DeserializeOwned;
use toucanrail::codetable;
use toucanrail::signatures::{self, FleetKey};
use toucanrail_wire::clients::OutboundRequest;
use toucanrail_wire::clients::{ClientLimits, ConnectionPool, RequestError, StreamingResponse};
use toucanrail_wire::listeners::ReceivedRequest;
use toucanrail_wire::responses::{self, ErrorDetails};

/// Paths of the calls between the fleet's processes.
pub mod routes {
    /// Runs a request at an agent.
    pub const RUN: &str = "/fleet/run";
    /// Fences a tenure at an agent.
    pub const FENCE: &str = "/fleet/fence";
    /// Acknowledges settled runs, which the agent then deletes.
    pub const ACK: &str = "/fleet/ack";
    /// Queries an agent for the outcome of an attempt.
    pub const RUN_QUERY: &str = "/fleet/ask";
    /// Fetches an agent's load report.
    pub const LOAD: &str = "/fleet/load";
    /// Sends a command to an agent's model engine.
    pub const ENGINE_COMMAND: &str = "/fleet/order";
    /// Fetches updates from a peer's local replicas.
    pub const MIRROR: &str = "/fleet/mirror";
    /// Recalls the unused part of a peer's grant.
    pub const RECALL: &str = "/fleet/recall";
}

/// Client for signed calls to other processes of the fleet.
#[derive(Debug, Clone)]
pub struct FleetClient {
    pool: ConnectionPool,
    key: FleetKey,
}

impl FleetClient {
    /// Creates a client that signs with the fleet's secret.
    pub fn new(secret: &str) -> Self {
        let limits =
            ClientLimits { connect_timeout: Duration::from_millis(500), ..ClientLimits::default() };
        Self { pool: ConnectionPool::new(limits), key: FleetKey::new(secret) }
    }

    fn signed_request<Message>(&self, path: &str, message: &Message) -> io::Result<OutboundRequest>
    where
        Message: Serialize,
    {
        let body = encode_message(message)?;
        let signature = self.key.sign(path, &body);
        Ok(OutboundRequest::post(path, body).field(signatures::SIGNATURE_HEADER, signature))
    }

    /// Sends a message and reads the whole reply within `timeout`.
    ///
    /// A failed call evicts the idle connections to the address, since they may be unresponsive too.
    ///
    /// # Errors
    /// Returns an error if the call fails or times out, or if the status is not 200, with kind
    /// `PermissionDenied` if the process refused the message, and with kind `InvalidData` if the
    /// reply cannot be decoded.
    pub async fn send<Message, Reply>(
        &self,
        address: SocketAddr,
        path: &str,
        message: &Message,
        timeout: Duration,
    ) -> io::Result<Reply>
    where
        Message: Serialize,
        Reply: DeserializeOwned,
    {
        let request = self.signed_request(path, message)?;
        let response = self.pool.fetch(address, request, timeout).await;
        let response = response.inspect_err(|_| self.pool.evict(address))?;
        if response.status != 200 {
            let kind = match response.status {
                400..500 => io::ErrorKind::PermissionDenied,
                _ => io::ErrorKind::Other,
            };
            return Err(io::Error::new(kind, format!("unexpected status {}", response.status)));
        }
        rmp_serde::from_slice(&response.body)
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
    }

    /// Sends a message and returns the response for streaming, once its head has arrived.
    pub async fn open<Message>(
        &self,
        address: SocketAddr,
        path: &str,
        message: &Message,
        timeout: Duration,
    ) -> Result<StreamingResponse, RequestError>
    where
        Message: Serialize,
    {
        let request = self.signed_request(path, message).map_err(RequestError::NotSent)?;
        self.pool.open(address, request, timeout).await
    }

    /// Evicts the idle connections to an address.
    pub fn evict(&self, address: SocketAddr) {
        self.pool.evict(address);
    }

    /// Verifies the signature of a request and decodes its message.
    ///
    /// # Errors
    /// Returns the error response to send if the signature or the body is invalid.
    pub fn decode<Message>(&self, request: &ReceivedRequest) -> Result<Message, Box<Response>>
    where
        Message: DeserializeOwned,
    {
        let signature = request.field(signatures::SIGNATURE_HEADER).unwrap_or_default();
        if !self.key.verify(request.path(), &request.body, signature) {
            return Err(error_response(codetable::NOT_AUTHENTIC));
        }
        rmp_serde::from_slice(&request.body).map_err(|_| error_response(codetable::BAD_REQUEST))
    }
}

fn error_response(code: toucanrail::codes::ResultCode) -> Box<Response> {
    Box::new(responses::error(&ErrorDetails::new(code)))
}

fn encode_message<Message>(message: &Message) -> io::Result<Vec<u8>>
where
    Message: Serialize,
{
    rmp_serde::to_vec_named(message)
        .map_err(|error| io::Error::new(io::ErrorKind::InvalidInput, error))
}
