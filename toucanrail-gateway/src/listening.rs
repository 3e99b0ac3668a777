//! The accept loop used by every listener of both programs.

use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use smol::{Async, LocalExecutor};

/// Delay after a failed accept, usually caused by a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves each connection in its own task until the process exits. Connections beyond `limit` are
/// closed unread, after a call to `refuse`.
///
/// Errors of a connection are ignored, since its peer is no longer there to be told.
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
    let connections = Rc::new(());
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            smol::Timer::after(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // The loop itself holds one of the references.
        if Rc::strong_count(&connections) > limit {
            refuse();
            continue;
        }
        let (reference, serving) = (Rc::clone(&connections), serve(socket));
        let counted = async move {
            serving.await.ok();
            drop(reference);
        };
        executor.spawn(counted).detach();
    }
}
