//! The caller's side of a request: what it gets, and when.

use http_types::Response;
use toucanrail::codes::RunState;
use toucanrail::codetable;
use toucanrail::ids::Tokens;
use toucanrail::messages::HeaderField;
use toucanrail_wire::pipes::{self, PipeWriter};
use toucanrail_wire::responses;

use crate::attempts::ResponseSink;
use crate::planning::RequestPlan;

/// Bytes of an answer that does not stream which are held back until it is whole, so that a cut
/// one can be tried again unseen.
const MAX_HELD_BYTES: usize = 1024 * 1024;
/// Largest answer stored for a retry of a keyed request.
const MAX_REPLAY_BYTES: usize = 256 * 1024;

/// The caller's side of a request: its answer, sent once its head is due.
#[derive(Debug)]
pub struct ResponseWriter {
    /// Takes the answer once its head is due.
    pub reply: async_channel::Sender<Response>,
    pipe: Option<PipeWriter>,
    streamed: bool,
    /// Status and fields, once they came.
    pub head: Option<(u16, Vec<HeaderField>)>,
    /// The body of an answer that does not stream, until it is whole.
    pub held: Vec<u8>,
    /// The body so far, for a retry of a keyed request.
    pub replay_body: Option<Vec<u8>>,
    /// Tokens that the caller has.
    pub tokens: Tokens,
    repeatable: bool,
}

impl ResponseWriter {
    /// Makes the side of a caller who waits for an answer.
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

    /// Tells whether the caller has part of the answer.
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

    /// Ends a whole answer.
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

    /// Forgets what a failed try brought, none of which the caller has.
    pub fn reset(&mut self) {
        self.head = None;
        self.held.clear();
        self.tokens = 0;
        self.replay_body = self.replay_body.take().map(|_| Vec::new());
    }
}

/// Puts the fields of an answer that ran on a response.
pub fn set_fields(response: &mut Response, fields: &[HeaderField]) {
    for field in fields {
        response.insert_header(&*field.name, &*field.value);
    }
    response.insert_header(responses::RESULT_HEADER, codetable::OK.number().to_string());
    response.insert_header(responses::RUN_HEADER, RunState::Ran.as_str());
}

impl ResponseSink for ResponseWriter {
    fn handle_head(&mut self, status: u16, fields: Vec<HeaderField>) {
        if !self.has_started() {
            self.streamed &= status == 200;
            self.head = Some((status, fields));
        }
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
        // What may not be repeated goes on to its end: a retry must get its answer.
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
