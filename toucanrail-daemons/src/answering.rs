//! The caller's side of a request: what it gets, and when.

use http_types::Response;
use toucanrail::codes::RunState;
use toucanrail::codetable;
use toucanrail::ids::Tokens;
use toucanrail::messages::HeaderField;
use toucanrail_wire::pipes::{self, PipeWriter};
use toucanrail_wire::responses;

use crate::attempts::AnswerSink;
use crate::callers::CallPlan;

/// Bytes of an answer that does not stream which are held back until it is whole, so that a cut
/// one can be tried again unseen.
const HELD_BYTES: usize = 1024 * 1024;
/// Largest answer kept for a retry of a keyed request.
const KEPT_BYTES: usize = 256 * 1024;

/// The caller's side of a request: its answer, sent once its head is due.
#[derive(Debug)]
pub struct CallerSide {
    /// Takes the answer once its head is due.
    pub reply: async_channel::Sender<Response>,
    writer: Option<PipeWriter>,
    streamed: bool,
    /// Status and fields, once they came.
    pub head: Option<(u16, Vec<HeaderField>)>,
    /// The body of an answer that does not stream, until it is whole.
    pub held: Vec<u8>,
    /// The body so far, for a retry of a keyed request.
    pub kept: Option<Vec<u8>>,
    /// Tokens that the caller has.
    pub tokens: Tokens,
    repeatable: bool,
}

impl CallerSide {
    /// Makes the side of a caller who waits for an answer.
    pub fn new(plan: &CallPlan, reply: async_channel::Sender<Response>) -> Self {
        Self {
            reply,
            writer: None,
            streamed: plan.streamed,
            head: None,
            held: Vec::new(),
            kept: plan.keyed.then(Vec::new),
            tokens: 0,
            repeatable: plan.repeatable,
        }
    }

    /// Tells whether the caller has part of the answer.
    pub fn is_begun(&self) -> bool {
        self.writer.is_some()
    }

    async fn begin(&mut self) {
        let (status, fields) = self.head.clone().unwrap_or((200, Vec::new()));
        let (writer, body) = pipes::make_pipe();
        let mut response = responses::stream(status, body);
        dress(&mut response, &fields);
        self.writer = Some(writer);
        self.reply.send(response).await.ok();
    }

    fn keep(&mut self, bytes: &[u8]) {
        if let Some(kept) = &mut self.kept {
            kept.extend_from_slice(bytes);
        }
        if self.kept.as_ref().is_some_and(|kept| kept.len() > KEPT_BYTES) {
            self.kept = None;
        }
    }

    /// Ends a whole answer.
    pub async fn finish(&mut self) {
        if self.writer.is_none() && self.held.len() <= HELD_BYTES {
            let (status, fields) = self.head.clone().unwrap_or((200, Vec::new()));
            let mut response = responses::bytes(status, std::mem::take(&mut self.held));
            dress(&mut response, &fields);
            self.reply.send(response).await.ok();
            return;
        }
        if let Some(writer) = self.writer.take() {
            writer.finish().await;
        }
    }

    /// Forgets what a failed try brought, none of which the caller has.
    pub fn reset(&mut self) {
        self.head = None;
        self.held.clear();
        self.tokens = 0;
        self.kept = self.kept.take().map(|_| Vec::new());
    }
}

/// Puts the fields of an answer that ran on a response.
pub fn dress(response: &mut Response, fields: &[HeaderField]) {
    for field in fields {
        response.insert_header(&*field.name, &*field.value);
    }
    response.insert_header(responses::RESULT_HEADER, codetable::OK.number().to_string());
    response.insert_header(responses::RUN_HEADER, RunState::Ran.as_str());
}

impl AnswerSink for CallerSide {
    fn take_head(&mut self, status: u16, fields: Vec<HeaderField>) {
        if !self.is_begun() {
            self.streamed &= status == 200;
            self.head = Some((status, fields));
        }
    }

    async fn take_body(&mut self, bytes: Vec<u8>, tokens: Tokens) -> bool {
        self.tokens = tokens;
        self.keep(&bytes);
        if !self.streamed && self.writer.is_none() {
            self.held.extend_from_slice(&bytes);
            if self.held.len() <= HELD_BYTES {
                return true;
            }
            self.begin().await;
            let held = std::mem::take(&mut self.held);
            return self.pass(held).await;
        }
        if self.writer.is_none() {
            self.begin().await;
        }
        self.pass(bytes).await
    }

    async fn wait_gone(&self) {
        // What may not be repeated goes on to its end: a retry must get its answer.
        if !self.repeatable {
            return std::future::pending().await;
        }
        if let Some(writer) = &self.writer {
            writer.wait_closed().await;
        } else {
            let reply = self.reply.clone();
            reply.closed().await;
        }
    }
}

impl CallerSide {
    async fn pass(&self, bytes: Vec<u8>) -> bool {
        match &self.writer {
            Some(writer) => writer.send(bytes).await,
            None => false,
        }
    }
}
