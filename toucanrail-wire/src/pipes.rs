//! A body that is written while it is read, with back pressure and error propagation.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use smol::io::{AsyncBufRead, AsyncRead};
use smol::stream::Stream;

/// Number of chunks that a [`BodyPipe`] buffers before its writer has to wait.
const PIPE_DEPTH: usize = 16;

/// The writing end; dropping it without [`PipeWriter::finish`] makes the reader fail.
#[derive(Debug)]
pub struct PipeWriter {
    sender: async_channel::Sender<PipeItem>,
}

#[derive(Debug)]
enum PipeItem {
    Chunk(Vec<u8>),
    End,
}

/// The reading end, used as the body of a response.
///
/// The body ends only after [`PipeWriter::finish`]. If the writer is dropped on an error path,
/// reading fails and the connection is closed without the last chunk, so that a truncated response
/// never looks complete.
#[derive(Debug)]
pub struct BodyPipe {
    items: Pin<Box<async_channel::Receiver<PipeItem>>>,
    chunk: Vec<u8>,
    position: usize,
    finished: bool,
}

/// Makes both ends of a pipe.
///
/// # Examples
/// ```
/// use smol::io::AsyncReadExt;
/// smol::block_on(async {
///     let (writer, mut body) = toucanrail_wire::pipes::make_pipe();
///     writer.send(b"ab".to_vec()).await;
///     writer.finish().await;
///     let mut text = String::new();
///     body.read_to_string(&mut text).await.unwrap();
///     assert_eq!(text, "ab");
/// });
/// ```
pub fn make_pipe() -> (PipeWriter, BodyPipe) {
    let (sender, receiver) = async_channel::bounded(PIPE_DEPTH);
    let body =
        BodyPipe { items: Box::pin(receiver), chunk: Vec::new(), position: 0, finished: false };
    (PipeWriter { sender }, body)
}

impl PipeWriter {
    /// Sends a chunk; false if the reader has been dropped.
    pub async fn send(&self, chunk: Vec<u8>) -> bool {
        self.sender.send(PipeItem::Chunk(chunk)).await.is_ok()
    }

    /// Marks the body as complete.
    pub async fn finish(&self) {
        self.sender.send(PipeItem::End).await.ok();
    }

    /// Waits until the reader has been dropped.
    pub async fn wait_closed(&self) {
        let sender = self.sender.clone();
        sender.closed().await;
    }
}

impl AsyncBufRead for BodyPipe {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        while this.position == this.chunk.len() && !this.finished {
            match this.items.as_mut().poll_next(context) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(PipeItem::Chunk(chunk))) => {
                    this.chunk = chunk;
                    this.position = 0;
                }
                Poll::Ready(Some(PipeItem::End)) => this.finished = true,
                Poll::Ready(None) => {
                    return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
                }
            }
        }
        Poll::Ready(Ok(&this.chunk[this.position..]))
    }

    fn consume(self: Pin<&mut Self>, amount: usize) {
        self.get_mut().position += amount;
    }
}

impl AsyncRead for BodyPipe {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let filled = match self.as_mut().poll_fill_buf(context) {
            Poll::Ready(Ok(filled)) => filled,
            Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
            Poll::Pending => return Poll::Pending,
        };
        let count = filled.len().min(buffer.len());
        buffer[..count].copy_from_slice(&filled[..count]);
        self.consume(count);
        Poll::Ready(Ok(count))
    }
}
