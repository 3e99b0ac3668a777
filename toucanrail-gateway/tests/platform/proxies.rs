//! A loopback proxy that harms the connections that pass through it.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::spawn_server;

/// What a proxy does with bytes that arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProxyFault {
    /// Passes them on.
    None,
    /// Passes them on late.
    Delay(Duration),
    /// Loses what servers send.
    DropResponses,
    /// Loses what callers send.
    DropRequests,
}

/// One connection, as both of its directions see it.
#[derive(Debug, Clone)]
struct Passage {
    near: Arc<TcpStream>,
    far: Arc<TcpStream>,
    silent: Arc<AtomicBool>,
}

/// A proxy before one address.
#[derive(Debug, Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    harm: Arc<Mutex<ProxyFault>>,
    open: Arc<Mutex<Vec<Passage>>>,
}

impl Proxy {
    /// Starts a proxy that harms nothing yet.
    pub fn start(target: SocketAddr) -> Self {
        let harm = Arc::new(Mutex::new(ProxyFault::None));
        let open: Arc<Mutex<Vec<Passage>>> = Arc::default();
        let (known, opened) = (Arc::clone(&harm), Arc::clone(&open));
        let address = spawn_server(move |near| {
            let Ok(far) = TcpStream::connect(target) else {
                return;
            };
            let silent = Arc::default();
            let passage = Passage { near: Arc::new(near), far: Arc::new(far), silent };
            opened.lock().expect("passages").push(passage.clone());
            let (back, harm) = (passage.clone(), Arc::clone(&known));
            let answers = thread::spawn(move || {
                pass_bytes(&back.far, &back.near, &back.silent, &harm, ProxyFault::DropResponses);
            });
            pass_bytes(
                &passage.near,
                &passage.far,
                &passage.silent,
                &known,
                ProxyFault::DropRequests,
            );
            answers.join().expect("the other direction");
        });
        Self { address, harm, open }
    }

    /// Harms what arrives from now on, on old connections and new ones.
    pub fn set_fault(&self, harm: ProxyFault) {
        *self.harm.lock().expect("harm") = harm;
    }

    /// Ends all open connections.
    pub fn reset_connections(&self) {
        for passage in self.open.lock().expect("passages").drain(..) {
            close(&passage.near, &passage.far);
        }
    }

    /// Lets all open connections go silent for good; new ones work.
    pub fn stall_connections(&self) {
        for passage in self.open.lock().expect("passages").drain(..) {
            passage.silent.store(true, Ordering::Relaxed);
        }
    }
}

fn close(near: &TcpStream, far: &TcpStream) {
    // Either may be closed already.
    near.shutdown(Shutdown::Both).ok();
    far.shutdown(Shutdown::Both).ok();
}

/// Passes one direction on until either end closes. A direction that lost bytes is silent for good, as
/// one whose peer never gets what is missing.
fn pass_bytes(
    mut from: &TcpStream,
    mut to: &TcpStream,
    silent: &AtomicBool,
    harm: &Mutex<ProxyFault>,
    losing: ProxyFault,
) {
    let mut buffer = [0; 4_096];
    let mut lost = false;
    while let Ok(count) = from.read(&mut buffer) {
        if count == 0 {
            break;
        }
        let now = *harm.lock().expect("harm");
        lost |= now == losing;
        if lost || silent.load(Ordering::Relaxed) {
            continue;
        }
        if let ProxyFault::Delay(time) = now {
            thread::sleep(time);
        }
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    // The end of a silent connection does not arrive either.
    if !lost && !silent.load(Ordering::Relaxed) {
        close(from, to);
    }
}
