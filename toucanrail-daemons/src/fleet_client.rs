//! Calls between the system's own processes: `rmp-serde` bodies under the fleet's seal.

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

/// The paths of the system's own calls.
pub mod routes {
    /// Runs a request at an agent.
    pub const RUN: &str = "/fleet/run";
    /// Fences a tenure at an agent.
    pub const FENCE: &str = "/fleet/fence";
    /// Drops settled runs at an agent.
    pub const ACK: &str = "/fleet/ack";
    /// Asks an agent what became of a try.
    pub const ASK: &str = "/fleet/ask";
    /// Reads an agent's load report.
    pub const LOAD: &str = "/fleet/load";
    /// Orders an agent's model engine.
    pub const ORDER: &str = "/fleet/order";
    /// Reads a peer's mirrors.
    pub const MIRROR: &str = "/fleet/mirror";
    /// Recalls unused grant from a peer.
    pub const RECALL: &str = "/fleet/recall";
}

/// Makes sealed calls to other processes of the fleet.
#[derive(Debug, Clone)]
pub struct FleetClient {
    pool: ConnectionPool,
    key: FleetKey,
}

impl FleetClient {
    /// Makes a client with the fleet's secret.
    pub fn new(secret: &str) -> Self {
        let limits =
            ClientLimits { connect_timeout: Duration::from_millis(500), ..ClientLimits::default() };
        Self { pool: ConnectionPool::new(limits), key: FleetKey::new(secret) }
    }

    fn call<Message>(&self, path: &str, message: &Message) -> io::Result<OutboundRequest>
    where
        Message: Serialize,
    {
        let body = rmp_serde_vec(message)?;
        let seal = self.key.sign(path, &body);
        Ok(OutboundRequest::post(path, body).field(signatures::SIGNATURE_HEADER, seal))
    }

    /// Sends a message and reads its reply, all within `bound`.
    ///
    /// After a failure the idle connections to that address are dropped: they may be as silent.
    pub async fn send<Message, Reply>(
        &self,
        address: SocketAddr,
        path: &str,
        message: &Message,
        bound: Duration,
    ) -> io::Result<Reply>
    where
        Message: Serialize,
        Reply: DeserializeOwned,
    {
        let call = self.call(path, message)?;
        let answer = self.pool.fetch(address, call, bound).await;
        let answer = answer.inspect_err(|_| self.pool.evict(address))?;
        if answer.status != 200 {
            return Err(io::Error::other(format!("status {}", answer.status)));
        }
        rmp_serde::from_slice(&answer.body)
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
    }

    /// Sends a message and gives its answer back open.
    pub async fn open<Message>(
        &self,
        address: SocketAddr,
        path: &str,
        message: &Message,
        bound: Duration,
    ) -> Result<StreamingResponse, RequestError>
    where
        Message: Serialize,
    {
        let call = self.call(path, message).map_err(RequestError::NotSent)?;
        self.pool.open(address, call, bound).await
    }

    /// Drops the idle connections to an address.
    pub fn evict(&self, address: SocketAddr) {
        self.pool.evict(address);
    }

    /// Reads a sealed message, or gives the refusal.
    pub fn decode<Message>(&self, call: &ReceivedRequest) -> Result<Message, Box<Response>>
    where
        Message: DeserializeOwned,
    {
        let seal = call.field(signatures::SIGNATURE_HEADER).unwrap_or_default();
        if !self.key.verify(call.path(), &call.body, seal) {
            return Err(refuse(codetable::NOT_AUTHENTIC));
        }
        rmp_serde::from_slice(&call.body).map_err(|_| refuse(codetable::BAD_REQUEST))
    }
}

fn refuse(code: toucanrail::codes::ResultCode) -> Box<Response> {
    Box::new(responses::error(&ErrorDetails::new(code)))
}

fn rmp_serde_vec<Message>(message: &Message) -> io::Result<Vec<u8>>
where
    Message: Serialize,
{
    rmp_serde::to_vec_named(message)
        .map_err(|error| io::Error::new(io::ErrorKind::InvalidInput, error))
}
