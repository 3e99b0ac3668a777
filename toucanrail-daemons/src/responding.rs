//! Writes the response of a request to its caller.

use std::collections::BTreeSet;

use http_types::Response;
use toucanrail::body_formats::BodyFormat;
use toucanrail::codes::RunState;
use toucanrail::codetable;
use toucanrail::ids::Tokens;
use toucanrail::messages::HeaderField;
use toucanrail_wire::pipes::{self, PipeWriter};
use toucanrail_wire::responses;

use crate::attempts::ResponseSink;
use crate::planning::RequestPlan;

/// Maximum size of a non-streamed response body that is held back until it is complete. While it is
/// held back, a truncated response can be retried without the caller noticing.
const MAX_HELD_BYTES: usize = 1024 * 1024;
/// Maximum size of a response body that is stored for retries of a keyed request.
const MAX_REPLAY_BYTES: usize = 256 * 1024;

/// Writes the response of one request, which may come from several attempts.
#[derive(Debug)]
pub struct ResponseWriter {
    /// Receives the response once its head can be sent.
    pub reply: async_channel::Sender<Response>,
    pipe: Option<PipeWriter>,
    streamed: bool,
    /// Status code and header fields, once received.
    pub head: Option<(u16, Vec<HeaderField>)>,
    /// Body of a non-streamed response, held back until it is complete.
    pub held: Vec<u8>,
    /// Body so far, to be stored for retries of a keyed request; `None` if it is not stored.
    pub replay_body: Option<Vec<u8>>,
    /// Number of tokens that the caller has received.
    pub tokens: Tokens,
    repeatable: bool,
}

impl ResponseWriter {
    /// Creates a writer that sends the response to `reply`.
    pub fn new(plan: &RequestPlan, reply: async_channel::Sender<Response>) -> Self {
        Self {
            reply,
            pipe: None,
            streamed: plan.streamed,
            head: None,
            held: Vec::new(),
            replay_body: plan.keyed.then(Vec::new),
            tokens: 0,
            repeatable: plan.repeatable,
        }
    }

    /// Tells whether the head of the response has been sent to the caller.
    pub fn has_started(&self) -> bool {
        self.pipe.is_some()
    }

    async fn start(&mut self) {
        let (status, fields) = self.head.clone().unwrap_or((200, Vec::new()));
        let (pipe, body) = pipes::make_pipe();
        let mut response = responses::stream(status, body);
        set_fields(&mut response, &fields);
        self.pipe = Some(pipe);
        self.reply.send(response).await.ok();
    }

    fn store_for_replay(&mut self, bytes: &[u8]) {
        if let Some(replay_body) = &mut self.replay_body {
            replay_body.extend_from_slice(bytes);
        }
        if self.replay_body.as_ref().is_some_and(|replay_body| replay_body.len() > MAX_REPLAY_BYTES)
        {
            self.replay_body = None;
        }
    }

    /// Completes the response.
    pub async fn finish(&mut self) {
        if self.pipe.is_none() && self.held.len() <= MAX_HELD_BYTES {
            let (status, fields) = self.head.clone().unwrap_or((200, Vec::new()));
            let mut response = responses::bytes(status, std::mem::take(&mut self.held));
            set_fields(&mut response, &fields);
            self.reply.send(response).await.ok();
            return;
        }
        if let Some(pipe) = self.pipe.take() {
            pipe.finish().await;
        }
    }

    /// Discards the response of a failed attempt, of which nothing has been sent to the caller.
    pub fn reset(&mut self) {
        self.head = None;
        self.held.clear();
        self.tokens = 0;
        self.replay_body = self.replay_body.take().map(|_| Vec::new());
    }
}

fn body_format(status: u16, fields: &[HeaderField]) -> BodyFormat {
    let value = |name| {
        let field = fields.iter().find(|field| field.name.eq_ignore_ascii_case(name));
        field.map(|field| &*field.value)
    };
    BodyFormat::new(status, value("content-type"), value("content-encoding"))
}

/// Adds the header fields of a backend server's response, and those that mark it as run.
pub fn set_fields(response: &mut Response, fields: &[HeaderField]) {
    let mut known = BTreeSet::new();
    for field in fields {
        // The first value replaces a default, the others are added to it.
        if known.insert(&field.name) {
            response.insert_header(&*field.name, &*field.value);
        } else {
            response.append_header(&*field.name, &*field.value);
        }
    }
    response.insert_header(responses::RESULT_HEADER, codetable::OK.number().to_string());
    response.insert_header(responses::RUN_HEADER, RunState::Ran.as_str());
}

impl ResponseSink for ResponseWriter {
    fn handle_head(&mut self, status: u16, fields: Vec<HeaderField>) -> bool {
        if self.has_started() {
            let begun = self.head.as_ref().map(|(status, fields)| body_format(*status, fields));
            return begun == Some(body_format(status, &fields));
        }
        self.streamed &= status == 200;
        self.head = Some((status, fields));
        true
    }

    async fn handle_body(&mut self, bytes: Vec<u8>, tokens: Tokens) -> bool {
        self.tokens = tokens;
        self.store_for_replay(&bytes);
        if !self.streamed && self.pipe.is_none() {
            self.held.extend_from_slice(&bytes);
            if self.held.len() <= MAX_HELD_BYTES {
                return true;
            }
            self.start().await;
            let held = std::mem::take(&mut self.held);
            return self.forward(held).await;
        }
        if self.pipe.is_none() {
            self.start().await;
        }
        self.forward(bytes).await
    }

    async fn wait_caller_gone(&self) {
        // A non-repeatable request runs to its end even if the caller disconnects, as a retry has
        // to get its response.
        if !self.repeatable {
            return std::future::pending().await;
        }
        if let Some(pipe) = &self.pipe {
            pipe.wait_closed().await;
        } else {
            let reply = self.reply.clone();
            reply.closed().await;
        }
    }
}

impl ResponseWriter {
    async fn forward(&self, bytes: Vec<u8>) -> bool {
        match &self.pipe {
            Some(pipe) => pipe.send(bytes).await,
            None => false,
        }
    }
}
