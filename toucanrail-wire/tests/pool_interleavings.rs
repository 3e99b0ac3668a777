//! Many exchanges over one pool: each caller gets its own bytes, or a visible failure.

// A test stops at the first thing that is not as it should be.
#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use toucanrail_wire::clients::{ClientLimits, ConnectionPool, OutboundRequest};
use toucanrail_wire::listeners::{self, ReceivedRequest, ServerLimits};
use toucanrail_wire::{pipes, responses};

const BOUND: Duration = Duration::from_secs(20);
const CASES: u32 = 120;

/// What a caller does with one exchange.
#[derive(Debug, Clone, Copy)]
struct Exchange {
    /// Chunks of the whole answer.
    chunks: usize,
    /// Chunks after which the server dies, if before the end.
    dies_after: usize,
    /// Chunks after which the caller goes away, if before the end.
    leaves_after: usize,
    /// Whether the answer has its length stated instead of chunks.
    sized: bool,
}

fn any_exchange() -> impl Strategy<Value = Exchange> {
    (1..8usize, 0..24usize, 0..24usize, any::<bool>()).prop_map(
        |(chunks, dies_after, leaves_after, sized)| Exchange {
            chunks,
            dies_after,
            leaves_after,
            sized,
        },
    )
}

fn chunk_of(id: usize, at: usize) -> Vec<u8> {
    format!("<{id}:{at}>").repeat(1 + (id * 7 + at * 3) % 60).into_bytes()
}

fn answer_of(id: usize, chunks: usize) -> Vec<u8> {
    (0..chunks).flat_map(|at| chunk_of(id, at)).collect()
}

async fn answer(call: ReceivedRequest) -> http_types::Response {
    let number = |name: &str| call.query(name).unwrap().parse::<usize>().unwrap();
    let (id, chunks, dies) = (number("id"), number("chunks"), number("dies"));
    if call.query("sized").unwrap() == "true" {
        return responses::bytes(200, answer_of(id, chunks));
    }
    let (writer, body) = pipes::make_pipe();
    smol::spawn(async move {
        for at in 0..chunks.min(dies) {
            if !writer.send(chunk_of(id, at)).await {
                return;
            }
            smol::future::yield_now().await;
        }
        if dies >= chunks {
            writer.finish().await;
        }
    })
    .detach();
    responses::stream(200, body)
}

/// Makes one exchange and tells what is wrong with it, if anything.
async fn exchange(
    pool: ConnectionPool,
    address: SocketAddr,
    id: usize,
    plan: Exchange,
) -> Result<(), String> {
    let Exchange { chunks, dies_after, leaves_after, sized } = plan;
    let path = format!("/?id={id}&chunks={chunks}&dies={dies_after}&sized={sized}");
    let mut answer = pool.open(address, OutboundRequest::get(path), BOUND).await.unwrap();
    let mut body = Vec::new();
    for _ in 0..leaves_after.max(1) {
        match answer.read_chunk(BOUND).await {
            Ok(chunk) if chunk.is_empty() => {
                answer.release();
                let right = body == answer_of(id, chunks);
                return if right { Ok(()) } else { Err(format!("{id} got other bytes")) };
            }
            Ok(chunk) => body.extend(chunk),
            Err(_) if dies_after < chunks && !sized => return Ok(()),
            Err(error) => return Err(format!("{id} failed: {error}")),
        }
        if !answer_of(id, chunks).starts_with(&body) {
            return Err(format!("{id} got foreign bytes"));
        }
    }
    // Leaving drops the answer, and its connection with it.
    Ok(())
}

/// Callers share a pool; some leave in the middle, some servers die in the middle, connections are
/// used again in any order. Nobody may get a byte of another's answer, nor a cut one as whole.
#[test]
fn shared_pool() {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let listener = listeners::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    smol::spawn(listeners::serve(listener, ServerLimits::default(), answer)).detach();
    let pool = ConnectionPool::new(ClientLimits::default());
    let callers = prop::collection::vec(prop::collection::vec(any_exchange(), 1..8), 1..8);
    let run = runner.run(&callers, |callers| {
        let pool = pool.clone();
        let results = smol::block_on(async move {
            let tasks = callers.into_iter().enumerate().map(|(caller, plans)| {
                let pool = pool.clone();
                smol::spawn(async move {
                    for (at, plan) in plans.into_iter().enumerate() {
                        exchange(pool.clone(), address, caller * 100 + at, plan).await?;
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
