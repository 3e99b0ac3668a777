//! What a caller's connection is sent: whole answers, streams and refusals.

use std::fmt::Write;
use std::io;
use std::time::Duration;

use toucanrail::codes::{ResultCode, RunState};
use toucanrail_wire::channels::ChannelWriter;
use toucanrail_wire::clocks;
use toucanrail_wire::heads::AnswerHead;
use toucanrail_wire::replies::{self, RefusalNote};

/// Longest time in which a caller takes nothing of what is written to it.
const WRITE_BOUND: Duration = Duration::from_secs(20);

/// The writing side of one caller, for one request.
#[derive(Debug)]
pub struct CallerSide {
    writer: ChannelWriter,
    /// Whether the connection ends after this answer.
    pub close: bool,
    /// Whether any of the answer was written.
    pub begun: bool,
    /// Whether the answer was written whole.
    pub whole: bool,
}

impl CallerSide {
    /// Starts the answer to a request.
    pub fn new(writer: ChannelWriter, close: bool) -> Self {
        Self { writer, close, begun: false, whole: false }
    }

    /// Writes a server's answer with its whole body.
    pub async fn send_whole(&mut self, head: &AnswerHead, body: &[u8]) -> io::Result<()> {
        let mut bytes = self.encode_head(head);
        bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
        bytes.extend_from_slice(body);
        self.write_last(&bytes).await
    }

    /// Writes a server's head, with the first events of its stream.
    pub async fn begin_stream(&mut self, head: &AnswerHead, events: &[u8]) -> io::Result<()> {
        let mut bytes = self.encode_head(head);
        bytes.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
        put_chunk(&mut bytes, events);
        self.write(&bytes).await
    }

    /// Writes more events of a stream.
    pub async fn send_events(&mut self, events: &[u8]) -> io::Result<()> {
        let mut bytes = Vec::with_capacity(events.len() + 16);
        put_chunk(&mut bytes, events);
        self.write(&bytes).await
    }

    /// Writes the last events of a stream and its end.
    pub async fn end_stream(&mut self, events: &[u8]) -> io::Result<()> {
        let mut bytes = Vec::with_capacity(events.len() + 16);
        put_chunk(&mut bytes, events);
        bytes.extend_from_slice(b"0\r\n\r\n");
        self.write_last(&bytes).await
    }

    /// Writes a refusal of the fleet's own.
    pub async fn send_refusal(&mut self, note: &RefusalNote) -> io::Result<()> {
        let bytes = encode_refusal(note, self.close);
        self.write_last(&bytes).await
    }

    fn encode_head(&self, head: &AnswerHead) -> Vec<u8> {
        let mut text = String::with_capacity(512);
        // Writing to a String cannot fail.
        let _ = write!(text, "HTTP/1.1 {} {}\r\n", head.status, head.reason());
        for (name, value) in head.fields.end_to_end() {
            let _ = write!(text, "{name}: {value}\r\n");
        }
        text += if self.close { "Connection: close\r\n" } else { "" };
        text.into_bytes()
    }

    async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.begun = true;
        clocks::within(WRITE_BOUND, self.writer.write_all(bytes)).await
    }

    async fn write_last(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write(bytes).await?;
        self.whole = true;
        Ok(())
    }
}

fn put_chunk(bytes: &mut Vec<u8>, data: &[u8]) {
    if data.is_empty() {
        return;
    }
    bytes.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    bytes.extend_from_slice(data);
    bytes.extend_from_slice(b"\r\n");
}

/// Encodes a refusal.
pub fn encode_refusal(note: &RefusalNote, close: bool) -> Vec<u8> {
    let row = note.code.row();
    // A status that promises that nothing ran is only for what did not run.
    let status = match (row.status, note.run) {
        (429 | 503 | 408 | 421, RunState::Ran | RunState::Unknown) => 502,
        (status, _) => status,
    };
    let body = replies::refusal_body(note);
    let mut text = format!("HTTP/1.1 {status} {}\r\n", row.name);
    let _ = write!(text, "{}: {}\r\n", replies::RESULT_HEADER, row.number);
    let _ = write!(text, "{}: {}\r\n", replies::RUN_HEADER, note.run.as_str());
    if let Some(wait) = note.retry_after {
        let _ = write!(text, "Retry-After: {:.2}\r\n", wait.as_secs_f64());
    }
    text += if close { "Connection: close\r\n" } else { "" };
    let _ =
        write!(text, "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(&body);
    bytes
}

/// Makes the note of a refusal.
pub fn make_note(code: ResultCode, run: RunState, retry_after: Option<Duration>) -> RefusalNote {
    let note = RefusalNote::new(code).run(run);
    match retry_after {
        Some(wait) => note.retry_after(wait),
        None => note,
    }
}
