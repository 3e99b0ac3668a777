//! Endpoints for the platform and operators: readiness, metrics, a dump of the state, and
//! explanations of where requests would go.

use std::collections::BTreeMap;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use serde::Serialize;
use smol::Async;
use toucanrail::admissions::AdmissionLimit;
use toucanrail::backends::BackendTable;
use toucanrail::endpoints::EndpointTable;
use toucanrail::framing::BodyDecoder;
use toucanrail::grants::GrantTable;
use toucanrail::ids::ServiceName;
use toucanrail::remote_placement::OffloadShare;
use toucanrail_platform::names;
use toucanrail_wire::connections::BufferedConnection;
use toucanrail_wire::heads::RequestHead;
use toucanrail_wire::time_limits;

use crate::accepting;
use crate::explaining::{self, EXPLAIN_PATH};
use crate::listening;
use crate::state::Gateway;

const MAX_HEAD_BYTES: usize = 8 * 1024;
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Who reaches a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdminScope {
    /// The balancer, which gets no explanations.
    Balancer,
    /// Operators and other processes of the fleet.
    Internal,
}

#[derive(Serialize)]
struct StateDump<'tables> {
    id: &'tables str,
    data_centre: &'tables str,
    config_version: u64,
    stopping: bool,
    in_flight: usize,
    store_age_ms: u64,
    stream_origins: usize,
    store_ways: EndpointTable,
    backends: &'tables BackendTable,
    limits: &'tables BTreeMap<ServiceName, AdmissionLimit>,
    offloads: &'tables BTreeMap<ServiceName, OffloadShare>,
    grants: &'tables GrantTable,
}

/// Serves the endpoints on one listener.
pub async fn serve_admin(gateway: Rc<Gateway>, listener: Async<TcpListener>, scope: AdminScope) {
    let serve = |socket| {
        let gateway = Rc::clone(&gateway);
        async move { serve_connection(&gateway, socket, scope).await }
    };
    listening::serve_connections(&gateway.executor, listener, usize::MAX, serve, || ()).await;
}

async fn serve_connection(
    gateway: &Gateway,
    socket: Async<TcpStream>,
    scope: AdminScope,
) -> io::Result<()> {
    let mut connection = BufferedConnection::new(socket)?;
    while let Some(bytes) =
        time_limits::io_timeout(IDLE_TIMEOUT, connection.read_head(MAX_HEAD_BYTES)).await?
    {
        let head = RequestHead::parse(&bytes).map_err(|_| io::ErrorKind::InvalidData)?;
        let is_internal = scope == AdminScope::Internal;
        let (status, body, is_read) = match (head.method(), head.path()) {
            ("POST", EXPLAIN_PATH) if is_internal => {
                let explaining = explain(gateway, &mut connection, &head);
                time_limits::io_timeout(IDLE_TIMEOUT, explaining).await?
            }
            (_, path) => {
                let (status, body) = respond(gateway, path);
                (status, body, true)
            }
        };
        let length = body.len();
        let mut response =
            format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n").into_bytes();
        response.extend_from_slice(&body);
        connection.writer().write_all(&response).await?;
        if !is_read {
            return accepting::close_connection(connection, true).await;
        }
        if head.close {
            break;
        }
    }
    Ok(())
}

/// Reads a head from the body of a request and explains it. Also returns whether the body was read
/// to its end: what exceeds the limit on heads is not.
async fn explain(
    gateway: &Gateway,
    connection: &mut BufferedConnection,
    head: &RequestHead,
) -> io::Result<(&'static str, Vec<u8>, bool)> {
    let limit = gateway.tables.borrow().routes.limits().head;
    let mut decoder = BodyDecoder::for_request(head.length);
    let mut explained = Vec::new();
    loop {
        let consumed = decoder.feed(&connection.buffer, &mut explained);
        connection.buffer.drain(..consumed);
        if decoder.is_malformed() {
            return Err(io::ErrorKind::InvalidData.into());
        }
        if decoder.is_done() || explained.len() > limit {
            break;
        }
        if connection.fill().await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    let (is_valid, body) = explaining::explain(gateway, &explained);
    Ok((if is_valid { "200 OK" } else { "400 Bad Request" }, body, decoder.is_done()))
}

fn respond(gateway: &Gateway, path: &str) -> (&'static str, Vec<u8>) {
    match path {
        names::READY_PATH if gateway.is_ready() => ("200 OK", Vec::new()),
        names::READY_PATH => ("503 Not Ready", Vec::new()),
        "/metrics" => ("200 OK", gateway.metrics.encode().unwrap_or_default()),
        "/state" => ("200 OK", dump_state(gateway)),
        _ => ("404 Not Found", Vec::new()),
    }
}

fn dump_state(gateway: &Gateway) -> Vec<u8> {
    let tables = gateway.tables.borrow();
    let grants = gateway.grant_manager.grants.borrow();
    let dump = StateDump {
        id: &gateway.id,
        data_centre: &gateway.settings.data_centre,
        config_version: tables.routes.version(),
        stopping: gateway.stop_requested.get().is_some(),
        in_flight: gateway.in_flight.get(),
        store_age_ms: gateway.store.time_since_response().as_millis() as u64,
        stream_origins: tables.origins.len(),
        store_ways: gateway.store.endpoints(),
        backends: &tables.backends,
        limits: &tables.limits,
        offloads: &tables.offloads,
        grants: &grants,
    };
    // Serialization can only fail for maps whose keys are not strings.
    serde_json::to_vec(&dump).unwrap_or_default()
}
