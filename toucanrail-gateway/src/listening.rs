//! The loop that takes connections, for every listener of both programs.

use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use smol::{Async, LocalExecutor};

/// Pause after a failed accept, usually for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves each connection on its own, until the process ends; beyond `limit` at once, `refuse` is called
/// and the connection closed unread.
///
/// How a connection ends is no news here: a broken one has nobody left to tell.
pub async fn serve_connections<Serve, Serving, Refuse>(
    executor: &LocalExecutor<'static>,
    listener: Async<TcpListener>,
    limit: usize,
    serve: Serve,
    refuse: Refuse,
) where
    Serve: Fn(Async<TcpStream>) -> Serving,
    Serving: Future<Output = io::Result<()>> + 'static,
    Refuse: Fn(),
{
    let open = Rc::new(());
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            smol::Timer::after(ACCEPT_PAUSE).await;
            continue;
        };
        // The loop holds one of the references itself.
        if Rc::strong_count(&open) > limit {
            refuse();
            continue;
        }
        let (guard, serving) = (Rc::clone(&open), serve(socket));
        let counted = async move {
            serving.await.ok();
            drop(guard);
        };
        executor.spawn(counted).detach();
    }
}
