//! Time bounds around futures.

use std::io;
use std::time::Duration;

use smol::future::FutureExt;

/// Waits for a future of I/O at most `bound`, then gives `TimedOut`.
///
/// # Examples
/// ```
/// use std::time::Duration;
/// let waited = smol::block_on(toucanrail_wire::time_limits::io_timeout(
///     Duration::from_millis(1),
///     std::future::pending::<std::io::Result<()>>(),
/// ));
/// assert_eq!(waited.unwrap_err().kind(), std::io::ErrorKind::TimedOut);
/// ```
pub async fn io_timeout<Value, Work>(bound: Duration, work: Work) -> io::Result<Value>
where
    Work: Future<Output = io::Result<Value>>,
{
    work.or(async {
        smol::Timer::after(bound).await;
        Err(io::ErrorKind::TimedOut.into())
    })
    .await
}

/// Waits for any future at most `bound`.
pub async fn timeout<Value, Work>(bound: Duration, work: Work) -> Option<Value>
where
    Work: Future<Output = Value>,
{
    async { Some(work.await) }
        .or(async {
            smol::Timer::after(bound).await;
            None
        })
        .await
}
