//! Writes responses to callers: complete responses, event streams and refusals.

use std::fmt::Write;
use std::io;
use std::time::Duration;

use toucanrail::codes::{self, ResultCode, RunState};
use toucanrail::scanners::BodyLength;
use toucanrail_wire::heads::ResponseHead;
use toucanrail_wire::responses::{self, ErrorDetails};
use toucanrail_wire::time_limits;

use crate::buffers::WriteBacklog;

/// Maximum time for which a caller may take nothing of what there is for it.
const STALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Status of a refusal whose own status would imply that the request did not run, if it may have.
const UNPROVED_STATUS: u16 = 502;
/// The method whose responses have no body, whatever length their heads state.
pub const HEAD_METHOD: &str = "HEAD";

/// How much of a response has been written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ResponseStage {
    Unstarted,
    Started,
    Complete,
}

/// Writes the response to one request to a caller's connection.
///
/// Bytes that the caller does not take at once are kept; [`ResponseWriter::finish`] waits for them.
#[derive(Debug)]
pub struct ResponseWriter {
    backlog: WriteBacklog,
    /// Whether the connection is closed after this response.
    pub close: bool,
    /// Whether the request's method is `HEAD`, so that the response has no body.
    head_only: bool,
    stage: ResponseStage,
    /// Bytes of the response so far.
    pub size: usize,
}

/// Writes the head of a response, with its whole body or the start of a stream.
///
/// Each method consumes it, and a [`ResponseWriter`] hands it out only before its first byte, so that
/// no response has a second head.
#[derive(Debug)]
pub struct HeadWriter<'writer> {
    writer: &'writer mut ResponseWriter,
}

impl ResponseWriter {
    /// Creates a writer for the response to one request.
    pub fn new(backlog: WriteBacklog, close: bool, method: &str) -> Self {
        let head_only = method == HEAD_METHOD;
        Self { backlog, close, head_only, stage: ResponseStage::Unstarted, size: 0 }
    }

    /// Returns whether any part of the response has been written.
    pub fn has_started(&self) -> bool {
        self.stage != ResponseStage::Unstarted
    }

    /// Returns whether the response has been written to its end.
    pub fn is_complete(&self) -> bool {
        self.stage == ResponseStage::Complete
    }

    /// Returns the writer of the response's head, or `None` once the response has started.
    pub fn head_writer(&mut self) -> Option<HeadWriter<'_>> {
        (!self.has_started()).then_some(HeadWriter { writer: self })
    }

    /// Returns whether more of the response may be read from its server.
    pub fn may_grow(&self) -> bool {
        self.backlog.may_grow()
    }

    /// Gives the response up if the caller has taken nothing for too long. Returns whether it has.
    pub fn give_up_if_stalled(&mut self) -> bool {
        let stalled = self.backlog.stalled_for() > STALL_TIMEOUT;
        if stalled {
            self.backlog.clear();
        }
        stalled
    }

    /// Waits until the caller takes some of the bytes that are kept for it; forever if there are
    /// none.
    pub async fn flush_some(&mut self) -> io::Result<()> {
        self.backlog.flush_some().await
    }

    /// Waits until the caller has taken everything.
    pub async fn finish(&mut self) -> io::Result<()> {
        while !self.backlog.is_empty() {
            let flushed = time_limits::io_timeout(STALL_TIMEOUT, self.backlog.flush_some()).await;
            if let Err(error) = flushed {
                self.stage = ResponseStage::Started;
                return Err(error);
            }
        }
        Ok(())
    }

    /// Writes further events of a stream that has started.
    pub fn send_events(&mut self, events: &[u8]) -> io::Result<()> {
        let mut bytes = Vec::with_capacity(events.len() + 16);
        append_chunk(&mut bytes, events);
        self.write(bytes)
    }

    /// Writes the last events of a stream and terminates it.
    pub fn finish_stream(&mut self, events: &[u8]) -> io::Result<()> {
        let mut bytes = Vec::with_capacity(events.len() + 16);
        if !self.head_only {
            append_chunk(&mut bytes, events);
            bytes.extend_from_slice(b"0\r\n\r\n");
        }
        self.write_final(bytes)
    }

    fn write(&mut self, bytes: Vec<u8>) -> io::Result<()> {
        self.stage = ResponseStage::Started;
        self.size += bytes.len();
        if bytes.is_empty() { Ok(()) } else { self.backlog.write(bytes) }
    }

    fn write_final(&mut self, bytes: Vec<u8>) -> io::Result<()> {
        self.write(bytes)?;
        self.stage = ResponseStage::Complete;
        Ok(())
    }
}

impl HeadWriter<'_> {
    /// Writes a server's response with its complete body.
    pub fn send_response(self, head: &ResponseHead, body: &[u8]) -> io::Result<()> {
        let length = match head.length {
            _ if !self.writer.head_only => BodyLength::Exact(body.len() as u64),
            stated => stated,
        };
        let mut bytes = self.encode_head(head, length);
        bytes.extend_from_slice(body);
        self.writer.write_final(bytes)
    }

    /// Writes the head of a server's response and the first events of its stream.
    pub fn start_stream(self, head: &ResponseHead, events: &[u8]) -> io::Result<()> {
        let mut bytes = self.encode_head(head, BodyLength::Chunked);
        append_chunk(&mut bytes, events);
        self.writer.write(bytes)
    }

    /// Writes a refusal generated by this entry.
    pub fn send_refusal(self, details: &ErrorDetails) -> io::Result<()> {
        let (mut bytes, body) = encode_refusal(details, self.writer.close);
        if !self.writer.head_only {
            bytes.extend_from_slice(&body);
        }
        self.writer.write_final(bytes)
    }

    fn encode_head(&self, head: &ResponseHead, length: BodyLength) -> Vec<u8> {
        let mut text = String::with_capacity(512);
        // Writing to a `String` cannot fail.
        let _ = write!(text, "HTTP/1.1 {} {}\r\n", head.status, head.reason());
        for (name, value) in head.fields.end_to_end() {
            let _ = write!(text, "{name}: {value}\r\n");
        }
        text += if self.writer.close { "Connection: close\r\n" } else { "" };
        text += &match length {
            BodyLength::Exact(count) => format!("Content-Length: {count}\r\n\r\n"),
            BodyLength::Chunked => "Transfer-Encoding: chunked\r\n\r\n".to_owned(),
            BodyLength::Absent => "\r\n".to_owned(),
        };
        text.into_bytes()
    }
}

fn append_chunk(bytes: &mut Vec<u8>, data: &[u8]) {
    if data.is_empty() {
        return;
    }
    bytes.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    bytes.extend_from_slice(data);
    bytes.extend_from_slice(b"\r\n");
}

/// Encodes a refusal as the head and the body of an HTTP response.
pub fn encode_refusal(details: &ErrorDetails, close: bool) -> (Vec<u8>, Vec<u8>) {
    let row = details.code.row();
    let is_false = codes::implies_not_run(row.status) && details.run != RunState::NotRun;
    let status = if is_false { UNPROVED_STATUS } else { row.status };
    let body = responses::error_body(details);
    let mut text = format!("HTTP/1.1 {status} {}\r\n", row.name);
    let _ = write!(text, "{}: {}\r\n", responses::RESULT_HEADER, row.number);
    let _ = write!(text, "{}: {}\r\n", responses::RUN_HEADER, details.run.as_str());
    if let Some(wait) = details.retry_after {
        let _ = write!(text, "Retry-After: {:.2}\r\n", wait.as_secs_f64());
    }
    text += if close { "Connection: close\r\n" } else { "" };
    let _ =
        write!(text, "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n", body.len());
    (text.into_bytes(), body)
}

/// Creates the details of a refusal.
pub fn make_refusal(
    code: ResultCode,
    run: RunState,
    retry_after: Option<Duration>,
) -> ErrorDetails {
    let details = ErrorDetails::new(code).run(run);
    match retry_after {
        Some(wait) => details.retry_after(wait),
        None => details,
    }
}
