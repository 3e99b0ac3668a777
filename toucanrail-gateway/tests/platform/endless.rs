//! Backend servers whose responses never end.

use std::io::Write;
use std::net::{Ipv4Addr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::{Backend, Message};

/// Bytes and time after which a server ends a response all the same, so that no test fills memory.
const MAX_BYTES: u64 = 64 * 1024 * 1024;
const MAX_TIME: Duration = Duration::from_secs(15);
/// Size of one write of a server that sends as fast as it can.
const WRITE_SIZE: usize = 16 * 1024;

/// A response that does not end before its connection is closed.
#[derive(Debug, Clone, Copy)]
pub struct EndlessResponse {
    /// Written at once; `ID` stands for the attempt's id.
    pub opening: &'static str,
    /// Repeated from then on.
    pub filler: &'static str,
    /// Interval of single bytes; zero to write as fast as the connection takes.
    pub interval: Duration,
    /// Response to queries for the server's load; empty if it is endless as well.
    pub report: &'static str,
}

impl EndlessResponse {
    /// Writes the response. Returns the number of bytes that the connection has taken.
    fn write_to(&self, stream: &mut TcpStream, id: &str) -> u64 {
        let (begun, opening) = (Instant::now(), self.opening.replace("ID", id));
        if stream.write_all(opening.as_bytes()).is_err() {
            return 0;
        }
        let mut taken = opening.len() as u64;
        let count = if self.interval.is_zero() { WRITE_SIZE / self.filler.len() } else { 1 };
        let block = self.filler.repeat(count).into_bytes();
        let mut position = 0;
        while taken < MAX_BYTES && begun.elapsed() < MAX_TIME {
            let end = if self.interval.is_zero() { block.len() } else { position + 1 };
            let Ok(written) = stream.write(&block[position..end]) else {
                break;
            };
            taken += written as u64;
            position = (position + written) % block.len();
            thread::sleep(self.interval);
        }
        taken
    }
}

impl Backend {
    /// Starts a server that responds to everything like this. Returns it, and the largest number of
    /// bytes that it could send in one response.
    pub fn start_endless(id: &str, response: EndlessResponse) -> (Self, Arc<AtomicU64>) {
        let (seen, largest): (Arc<Mutex<Vec<Message>>>, Arc<AtomicU64>) = Default::default();
        let (received, counted) = (Arc::clone(&seen), Arc::clone(&largest));
        let address = super::spawn_server_on(Ipv4Addr::LOCALHOST, move |mut stream| {
            stream.set_write_timeout(Some(MAX_TIME)).expect("a timeout");
            while let Some(message) = super::read_message(&mut stream) {
                if message.target() == "/api/report" && !response.report.is_empty() {
                    if stream.write_all(response.report.as_bytes()).is_err() {
                        return;
                    }
                    continue;
                }
                let response = match message.target() {
                    "/api/report" => EndlessResponse { interval: Duration::ZERO, ..response },
                    _ => response,
                };
                let id = message.field("x-attempt-id").unwrap_or_default().to_owned();
                received.lock().expect("requests").push(message);
                let taken = response.write_to(&mut stream, &id);
                counted.fetch_max(taken, Ordering::Relaxed);
                if !response.interval.is_zero() || taken >= MAX_BYTES {
                    return;
                }
            }
        });
        (Self { id: id.to_owned(), address, seen }, largest)
    }
}
