//! Concurrent exchanges over one pool: each caller gets its own bytes or an error.

// Tests panic at the first unexpected result.
#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use toucanrail_wire::clients::{ClientLimits, ConnectionPool, OutboundRequest};
use toucanrail_wire::listeners::{self, ReceivedRequest, ServerLimits};
use toucanrail_wire::{pipes, responses};

const TIMEOUT: Duration = Duration::from_secs(20);
const CASES: u32 = 120;

/// Parameters of one exchange.
#[derive(Debug, Clone, Copy)]
struct Exchange {
    /// Number of chunks of the complete response.
    chunks: usize,
    /// Number of chunks after which the server aborts, if it is less than `chunks`.
    abort_after: usize,
    /// Number of reads after which the caller drops the response, unless it ends before.
    disconnect_after: usize,
    /// Whether the response has a Content-Length instead of chunked encoding.
    has_length: bool,
}

fn arbitrary_exchange() -> impl Strategy<Value = Exchange> {
    (1..8usize, 0..24usize, 0..24usize, any::<bool>()).prop_map(
        |(chunks, abort_after, disconnect_after, has_length)| Exchange {
            chunks,
            abort_after,
            disconnect_after,
            has_length,
        },
    )
}

fn expected_chunk(id: usize, index: usize) -> Vec<u8> {
    format!("<{id}:{index}>").repeat(1 + (id * 7 + index * 3) % 60).into_bytes()
}

fn expected_body(id: usize, chunks: usize) -> Vec<u8> {
    (0..chunks).flat_map(|index| expected_chunk(id, index)).collect()
}

async fn respond(request: ReceivedRequest) -> http_types::Response {
    let number = |name: &str| request.query(name).unwrap().parse::<usize>().unwrap();
    let (id, chunks, abort_after) = (number("id"), number("chunks"), number("abort_after"));
    if request.query("has_length").unwrap() == "true" {
        return responses::bytes(200, expected_body(id, chunks));
    }
    let (writer, body) = pipes::make_pipe();
    smol::spawn(async move {
        for index in 0..chunks.min(abort_after) {
            if !writer.send(expected_chunk(id, index)).await {
                return;
            }
            smol::future::yield_now().await;
        }
        if abort_after >= chunks {
            writer.finish().await;
        }
    })
    .detach();
    responses::stream(200, body)
}

/// Makes one exchange; the error describes a response that is wrong or failed unexpectedly.
async fn exchange(
    pool: ConnectionPool,
    address: SocketAddr,
    id: usize,
    parameters: Exchange,
) -> Result<(), String> {
    let Exchange { chunks, abort_after, disconnect_after, has_length } = parameters;
    let path =
        format!("/?id={id}&chunks={chunks}&abort_after={abort_after}&has_length={has_length}");
    let mut response = pool.open(address, OutboundRequest::get(path), TIMEOUT).await.unwrap();
    let mut body = Vec::new();
    for _ in 0..disconnect_after.max(1) {
        match response.read_chunk(TIMEOUT).await {
            Ok(chunk) if chunk.is_empty() => {
                response.release();
                let matches = body == expected_body(id, chunks);
                return if matches { Ok(()) } else { Err(format!("{id} got a wrong response")) };
            }
            Ok(chunk) => body.extend(chunk),
            Err(_) if abort_after < chunks && !has_length => return Ok(()),
            Err(error) => return Err(format!("{id} failed: {error}")),
        }
        if !expected_body(id, chunks).starts_with(&body) {
            return Err(format!("{id} got bytes of another response"));
        }
    }
    // Dropping the response closes its connection.
    Ok(())
}

/// Callers share a pool and reuse connections in any order, while some callers disconnect and some
/// responses are aborted halfway. No caller may get bytes of another response, or a truncated
/// response as complete.
#[test]
fn shared_pool() {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let listener = listeners::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    smol::spawn(listeners::serve(listener, ServerLimits::default(), respond)).detach();
    let pool = ConnectionPool::new(ClientLimits::default());
    let callers = prop::collection::vec(prop::collection::vec(arbitrary_exchange(), 1..8), 1..8);
    let run = runner.run(&callers, |callers| {
        let pool = pool.clone();
        let results = smol::block_on(async move {
            let tasks = callers.into_iter().enumerate().map(|(caller, exchanges)| {
                let pool = pool.clone();
                smol::spawn(async move {
                    for (index, parameters) in exchanges.into_iter().enumerate() {
                        exchange(pool.clone(), address, caller * 100 + index, parameters).await?;
                    }
                    Ok::<(), String>(())
                })
            });
            let mut results = Vec::new();
            for task in tasks.collect::<Vec<_>>() {
                results.push(task.await);
            }
            results
        });
        for result in results {
            prop_assert_eq!(result, Ok(()));
        }
        Ok(())
    });
    if let Err(error) = run {
        panic!("{error}");
    }
}
