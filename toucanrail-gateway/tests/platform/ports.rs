//! Loopback ports for the processes under test. No two live processes share one.

use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::{LazyLock, Mutex};

/// Ports of one test program, and the first port of all programs. They lie below the kernel's range
/// of ephemeral ports: a port in that range can be taken by an outgoing connection between being
/// chosen and being used.
const PORT_COUNT: u16 = 500;
const PORT_BASE: u16 = 10_000;
/// Number of test programs with disjoint port ranges.
const PORT_BLOCKS: u32 = 40;
/// Ports of one process.
const LEASE_PORTS: u16 = 5;

/// The first port of this program's range, and the socket that keeps other programs from using the
/// same range.
///
/// Two programs with the same range could take each other's processes for their own: both find a
/// port free, one of their gateways cannot bind it and exits, and its test goes on with the
/// other's.
static PORT_RANGE: LazyLock<(UdpSocket, u16)> = LazyLock::new(|| {
    let first = std::process::id() % PORT_BLOCKS;
    let blocks = (first..PORT_BLOCKS).chain(0..first);
    let bases = blocks.map(|block| PORT_BASE + block as u16 * PORT_COUNT);
    let reserve = |base: u16| Some((UdpSocket::bind(("127.0.0.1", base)).ok()?, base));
    bases.into_iter().find_map(reserve).expect("a range of ports")
});

/// Leases of this program.
static LEASES: Mutex<LeaseTable> = Mutex::new(LeaseTable { held: BTreeSet::new(), next: 0 });

#[derive(Debug)]
struct LeaseTable {
    /// Numbers of the leases that are held.
    held: BTreeSet<u16>,
    /// Number of the lease to try next. A released lease is used again as late as possible.
    next: u16,
}

/// Ports that belong to one process until this is dropped, also while the process restarts.
#[derive(Debug)]
pub struct PortLease {
    number: u16,
}

impl PortLease {
    /// Takes ports on which nothing listens.
    pub fn take() -> Self {
        let mut table = LEASES.lock().expect("leases");
        let limit = PORT_COUNT / LEASE_PORTS;
        let mut numbers = (table.next..limit).chain(0..table.next);
        let is_free = |number: &u16| !table.held.contains(number) && is_unused(*number);
        let number = numbers.find(is_free).expect("ports that no process has");
        table.held.insert(number);
        table.next = (number + 1) % limit;
        Self { number }
    }

    /// Returns the address of one of the ports, counted from 0.
    pub fn address(&self, index: u16) -> SocketAddr {
        assert!(index < LEASE_PORTS, "port {index} of {LEASE_PORTS}");
        port_address(self.number, index)
    }
}

impl Drop for PortLease {
    fn drop(&mut self) {
        LEASES.lock().expect("leases").held.remove(&self.number);
    }
}

fn port_address(lease: u16, index: u16) -> SocketAddr {
    let (_, base) = &*PORT_RANGE;
    SocketAddr::from(([127, 0, 0, 1], base + lease * LEASE_PORTS + index))
}

/// Returns whether nothing listens on the ports of a lease.
fn is_unused(lease: u16) -> bool {
    (0..LEASE_PORTS).all(|index| TcpListener::bind(port_address(lease, index)).is_ok())
}
