//! Memory budget of one entry: how much it buffers for callers and servers that send or read
//! slowly.
//!
//! A server cuts off a response that stays unread for some seconds, so an entry reads on while its
//! caller lags. What it holds counts towards its memory, and a process that exceeds that is killed
//! with all of its requests.

/// Fraction of a process's memory for request bodies and responses that callers have not read yet.
/// Allocators need up to twice the bytes that are held.
const BUFFER_FRACTION: f64 = 0.2;
/// Fraction of a process's memory for callers' connections.
const CONNECTION_FRACTION: f64 = 0.4;
/// Memory of one caller's connection and its request, without bodies and responses.
const CONNECTION_BYTES: usize = 20 * 1024;
/// Fraction of a process's file descriptors for callers' connections. The rest is for backend
/// servers, relays, the store and files.
const DESCRIPTOR_FRACTION: f64 = 0.7;
/// Fractions of the maximum number of callers' connections: up to which they are kept open after a
/// response, and from which the entry has no room for new callers.
const KEPT_FRACTION: f64 = 0.75;
const ROOM_FRACTION: f64 = 0.9;
/// Memory and file descriptors of a process whose settings state none.
const DEFAULT_MEMORY: usize = 160 * 1024 * 1024;
const DEFAULT_DESCRIPTORS: usize = 4_096;

/// Limits of one process, as stated by its settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Memory in bytes.
    pub memory: usize,
    /// Number of file descriptors.
    pub descriptors: usize,
}

impl Default for ProcessLimits {
    fn default() -> Self {
        Self { memory: DEFAULT_MEMORY, descriptors: DEFAULT_DESCRIPTORS }
    }
}

impl ProcessLimits {
    /// Returns the maximum number of callers' connections.
    ///
    /// # Examples
    /// ```
    /// use toucanrail::memory_budgets::ProcessLimits;
    /// assert!(ProcessLimits::default().max_connections() > 1_000);
    /// ```
    pub fn max_connections(&self) -> usize {
        let by_memory = (self.memory as f64 * CONNECTION_FRACTION) as usize / CONNECTION_BYTES;
        let by_descriptors = (self.descriptors as f64 * DESCRIPTOR_FRACTION) as usize;
        by_memory.min(by_descriptors)
    }

    /// Returns whether connections are kept open after their responses while there are `count`.
    ///
    /// # Examples
    /// ```
    /// use toucanrail::memory_budgets::ProcessLimits;
    /// let limits = ProcessLimits::default();
    /// assert!(limits.keeps_connections(limits.max_connections() / 2));
    /// assert!(!limits.keeps_connections(limits.max_connections() - 1));
    /// ```
    pub fn keeps_connections(&self, count: usize) -> bool {
        (count as f64) < self.max_connections() as f64 * KEPT_FRACTION
    }

    /// Returns whether there is room for new callers beside `count` connections.
    ///
    /// # Examples
    /// ```
    /// use toucanrail::memory_budgets::ProcessLimits;
    /// let limits = ProcessLimits::default();
    /// assert!(limits.has_room(0) && !limits.has_room(limits.max_connections()));
    /// ```
    pub fn has_room(&self, count: usize) -> bool {
        (count as f64) < self.max_connections() as f64 * ROOM_FRACTION
    }
}

/// The bytes that one process holds for its callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryBudget {
    limit: usize,
    held: usize,
}

impl MemoryBudget {
    /// Creates the budget of a process that holds nothing yet.
    pub fn new(limits: ProcessLimits) -> Self {
        Self { limit: (limits.memory as f64 * BUFFER_FRACTION) as usize, held: 0 }
    }

    /// Returns the number of bytes held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Returns whether more of a response may be read from its server while its caller has not read
    /// the `backlog` bytes before it.
    ///
    /// The bound of one backlog is what is free for all. So one slow caller may use half of the
    /// budget, many share it evenly, and those with the largest backlogs wait first. A response
    /// without a backlog is always read on.
    ///
    /// # Examples
    /// ```
    /// use toucanrail::memory_budgets::{MemoryBudget, ProcessLimits};
    /// let budget = MemoryBudget::new(ProcessLimits::default());
    /// assert!(budget.may_read_on(1_000_000));
    /// assert!(!budget.may_read_on(100_000_000));
    /// ```
    pub fn may_read_on(&self, backlog: usize) -> bool {
        backlog == 0 || backlog < self.limit.saturating_sub(self.held)
    }

    /// Holds the bytes of a request body if there is room for them. If not, the request is refused
    /// at once.
    pub fn try_hold(&mut self, bytes: usize) -> bool {
        let fits = bytes <= self.limit.saturating_sub(self.held);
        if fits {
            self.held += bytes;
        }
        fits
    }

    /// Holds bytes that have been received already.
    pub fn hold(&mut self, bytes: usize) {
        self.held += bytes;
    }

    /// Releases bytes that were held.
    pub fn release(&mut self, bytes: usize) {
        self.held = self.held.saturating_sub(bytes);
    }
}
