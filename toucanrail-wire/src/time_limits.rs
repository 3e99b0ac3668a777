//! Timeouts for futures.

use std::io;
use std::time::Duration;

use smol::future::FutureExt;

/// Waits at most `limit` for an I/O future, then fails with `TimedOut`.
///
/// # Examples
/// ```
/// use std::time::Duration;
/// let result = smol::block_on(toucanrail_wire::time_limits::io_timeout(
///     Duration::from_millis(1),
///     std::future::pending::<std::io::Result<()>>(),
/// ));
/// assert_eq!(result.unwrap_err().kind(), std::io::ErrorKind::TimedOut);
/// ```
pub async fn io_timeout<Value, Fut>(limit: Duration, future: Fut) -> io::Result<Value>
where
    Fut: Future<Output = io::Result<Value>>,
{
    future
        .or(async {
            smol::Timer::after(limit).await;
            Err(io::ErrorKind::TimedOut.into())
        })
        .await
}

/// Waits at most `limit` for any future; none if it does not complete in time.
pub async fn timeout<Value, Fut>(limit: Duration, future: Fut) -> Option<Value>
where
    Fut: Future<Output = Value>,
{
    async { Some(future.await) }
        .or(async {
            smol::Timer::after(limit).await;
            None
        })
        .await
}
