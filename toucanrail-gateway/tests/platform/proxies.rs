//! A loopback proxy that injects faults into the connections passing through it.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::spawn_server;

/// What a proxy does with the bytes it receives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProxyFault {
    /// Forwards them.
    None,
    /// Forwards them after a delay.
    Delay(Duration),
    /// Drops what servers send.
    DropResponses,
    /// Drops what callers send.
    DropRequests,
}

/// One proxied connection, shared by the threads of its two directions.
#[derive(Debug, Clone)]
struct ProxiedConnection {
    client: Arc<TcpStream>,
    server: Arc<TcpStream>,
    stalled: Arc<AtomicBool>,
}

/// A proxy in front of one address.
#[derive(Debug, Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    fault: Arc<Mutex<ProxyFault>>,
    open: Arc<Mutex<Vec<ProxiedConnection>>>,
}

impl Proxy {
    /// Starts a proxy without a fault.
    pub fn start(target: SocketAddr) -> Self {
        let fault = Arc::new(Mutex::new(ProxyFault::None));
        let open: Arc<Mutex<Vec<ProxiedConnection>>> = Arc::default();
        let (shared, opened) = (Arc::clone(&fault), Arc::clone(&open));
        let address = spawn_server(move |client| {
            let Ok(server) = TcpStream::connect(target) else {
                return;
            };
            let stalled = Arc::default();
            let connection =
                ProxiedConnection { client: Arc::new(client), server: Arc::new(server), stalled };
            opened.lock().expect("connections").push(connection.clone());
            let (back, fault) = (connection.clone(), Arc::clone(&shared));
            let responses = thread::spawn(move || {
                forward_bytes(
                    &back.server,
                    &back.client,
                    &back.stalled,
                    &fault,
                    ProxyFault::DropResponses,
                );
            });
            forward_bytes(
                &connection.client,
                &connection.server,
                &connection.stalled,
                &shared,
                ProxyFault::DropRequests,
            );
            responses.join().expect("the other direction");
        });
        Self { address, fault, open }
    }

    /// Applies a fault to all bytes received from now on, on existing and new connections.
    pub fn set_fault(&self, fault: ProxyFault) {
        *self.fault.lock().expect("fault") = fault;
    }

    /// Resets all open connections. An orderly close would end a response without a stated length.
    pub fn reset_connections(&self) {
        for connection in self.open.lock().expect("connections").drain(..) {
            reset(&connection.client);
            reset(&connection.server);
        }
    }

    /// Stalls all open connections permanently, without closing them. New connections work.
    pub fn stall_connections(&self) {
        for connection in self.open.lock().expect("connections").drain(..) {
            connection.stalled.store(true, Ordering::Relaxed);
        }
    }
}

/// Sends a reset, unless the connection has ended already.
pub fn reset(stream: &TcpStream) {
    rustix::net::connect_unspec(stream).ok();
}

fn close(client: &TcpStream, server: &TcpStream) {
    // Either may be closed already.
    client.shutdown(Shutdown::Both).ok();
    server.shutdown(Shutdown::Both).ok();
}

/// Forwards one direction until either end closes. A direction that dropped bytes forwards nothing
/// more, like a TCP connection whose peer never receives the missing segment.
fn forward_bytes(
    mut from: &TcpStream,
    mut to: &TcpStream,
    stalled: &AtomicBool,
    fault: &Mutex<ProxyFault>,
    dropping: ProxyFault,
) {
    let mut buffer = [0; 4_096];
    let mut dropped = false;
    while let Ok(count) = from.read(&mut buffer) {
        if count == 0 {
            break;
        }
        let active = *fault.lock().expect("fault");
        dropped |= active == dropping;
        if dropped || stalled.load(Ordering::Relaxed) {
            continue;
        }
        if let ProxyFault::Delay(delay) = active {
            thread::sleep(delay);
        }
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    // The close of a stalled connection is not forwarded either.
    if !dropped && !stalled.load(Ordering::Relaxed) {
        close(from, to);
    }
}
