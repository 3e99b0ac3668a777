//! Bytes that an entry holds for its callers, counted against the memory budget of the process.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use toucanrail::memory_budgets::MemoryBudget;
use toucanrail_wire::connections::ConnectionWriter;

/// The memory budget of the process, shared by all that hold bytes.
pub type SharedBudget = Rc<RefCell<MemoryBudget>>;

/// Size up to which small writes are joined into one chunk, to save the overhead of an allocation
/// for each.
const CHUNK_SIZE: usize = 4 * 1024;

/// Time for which a caller must lag before its response is read on. A shorter lag holds the server
/// back, which leaves a full link to other messages.
const READ_ON_DELAY: Duration = Duration::from_millis(500);

/// Bytes of a request or a response body that count against the memory budget until dropped.
#[derive(Debug)]
pub struct BodyHold {
    budget: SharedBudget,
    bytes: usize,
}

impl BodyHold {
    /// Creates a hold of no bytes.
    pub fn new(budget: &SharedBudget) -> Self {
        Self { budget: Rc::clone(budget), bytes: 0 }
    }

    /// Raises the hold to `bytes`. Returns false if there is no room for them.
    pub fn try_raise(&mut self, bytes: usize) -> bool {
        let added = bytes.saturating_sub(self.bytes);
        let fits = self.budget.borrow_mut().try_hold(added);
        if fits {
            self.bytes += added;
        }
        fits
    }
}

impl Drop for BodyHold {
    fn drop(&mut self) {
        self.budget.borrow_mut().release(self.bytes);
    }
}

/// Bytes of a response that its caller has not taken yet, in order.
#[derive(Debug)]
pub struct WriteBacklog {
    connection: ConnectionWriter,
    budget: SharedBudget,
    chunks: VecDeque<Vec<u8>>,
    /// Number of bytes of the first chunk that the caller has taken.
    taken: usize,
    len: usize,
    /// Since when there has been a backlog without interruption.
    lagging_since: Instant,
    progressed_at: Instant,
}

impl WriteBacklog {
    /// Creates an empty backlog of a connection.
    pub fn new(connection: ConnectionWriter, budget: &SharedBudget) -> Self {
        let (chunks, now) = (VecDeque::new(), Instant::now());
        let (lagging_since, progressed_at) = (now, now);
        let budget = Rc::clone(budget);
        Self { connection, budget, chunks, taken: 0, len: 0, lagging_since, progressed_at }
    }

    /// Returns whether the caller has taken everything.
    pub fn is_empty(&self) -> bool {
        self.chunks.is_empty()
    }

    /// Returns whether more of the response may be read from its server.
    pub fn may_grow(&self) -> bool {
        let lags = self.lagging_since.elapsed() > READ_ON_DELAY;
        self.is_empty() || (lags && self.budget.borrow().may_read_on(self.len))
    }

    /// Discards what the caller has not taken.
    pub fn clear(&mut self) {
        self.budget.borrow_mut().release(self.len);
        self.chunks.clear();
        (self.len, self.taken) = (0, 0);
    }

    /// Returns for how long the caller has taken nothing although there is something to take.
    pub fn stalled_for(&self) -> Duration {
        if self.is_empty() { Duration::ZERO } else { self.progressed_at.elapsed() }
    }

    /// Writes bytes behind those of the backlog. What the caller does not take at once is kept.
    pub fn write(&mut self, bytes: Vec<u8>) -> io::Result<()> {
        self.flush_ready()?;
        let written = if self.is_empty() { self.connection.try_write(&bytes)? } else { 0 };
        if written == bytes.len() {
            return Ok(());
        }
        if self.is_empty() {
            let now = Instant::now();
            (self.lagging_since, self.progressed_at) = (now, now);
        }
        self.keep(bytes, written);
        Ok(())
    }

    fn keep(&mut self, mut bytes: Vec<u8>, written: usize) {
        let added = bytes.len() - written;
        self.len += added;
        self.budget.borrow_mut().hold(added);
        match self.chunks.back_mut() {
            Some(last) if last.len() + added <= CHUNK_SIZE => last.extend(&bytes[written..]),
            _ => {
                bytes.drain(..written);
                bytes.shrink_to_fit();
                self.chunks.push_back(bytes);
            }
        }
    }

    /// Waits until the caller takes some of the backlog; forever if it is empty.
    pub async fn flush_some(&mut self) -> io::Result<()> {
        let Some(first) = self.chunks.front() else {
            return std::future::pending().await;
        };
        let count = self.connection.write_some(&first[self.taken..]).await?;
        self.record_taken(count);
        Ok(())
    }

    /// Writes what the caller takes at once.
    fn flush_ready(&mut self) -> io::Result<()> {
        while let Some(first) = self.chunks.front() {
            let count = self.connection.try_write(&first[self.taken..])?;
            if count == 0 {
                break;
            }
            self.record_taken(count);
        }
        Ok(())
    }

    fn record_taken(&mut self, count: usize) {
        self.progressed_at = Instant::now();
        self.taken += count;
        self.len -= count;
        self.budget.borrow_mut().release(count);
        if self.chunks.front().is_some_and(|first| first.len() == self.taken) {
            self.chunks.pop_front();
            self.taken = 0;
        }
    }
}

impl Drop for WriteBacklog {
    fn drop(&mut self) {
        self.clear();
    }
}
