//! The smallest service: one server that responds to all requests alike, and one entry.

use serde_json::Value;

use super::{Action, Backend, Message, Process, Store};

/// A store, a server and an entry, with a customer of 1,000 tokens.
#[derive(Debug)]
pub struct PlainService {
    pub store: Store,
    pub backend: Backend,
    pub gateway: Process,
}

impl PlainService {
    pub fn start() -> Self {
        Self::start_changed(|_| ())
    }

    /// Starts the service with a changed configuration.
    pub fn start_changed<Change>(change: Change) -> Self
    where
        Change: FnOnce(&mut Value),
    {
        let store = Store::start();
        let respond = |_: usize, _: &Message| Action::Respond(super::signed_response("fine"));
        let backend = Backend::start("i-1", respond);
        super::configure(&store, 1, &[&backend]);
        let mut config = super::current_config(&store);
        change(&mut config);
        store.put("config", "main", config);
        let gateway = Process::start_gateway(&store);
        Self { store, backend, gateway }
    }

    /// Sends a request and returns the response.
    pub fn call(&self, text: &str) -> Message {
        super::call(self.gateway.callers, text).expect("a response")
    }

    /// Sends a request that is served, and returns what the server received.
    pub fn forward(&self, text: &str) -> Message {
        let before = self.backend.seen().len();
        let response = self.call(text);
        assert_eq!(response.status(), 200, "{}", response.head);
        let mut seen = self.backend.seen();
        assert_eq!(seen.len(), before + 1);
        seen.pop().expect("a request")
    }

    /// Asserts that a request is refused with this status, as not run, before it reaches the server.
    /// Returns the error.
    pub fn assert_refused(&self, text: &str, status: u16) -> Value {
        let before = self.backend.seen().len();
        let response = self.call(text);
        assert_eq!(response.status(), status, "{text:.300}: {}", response.head);
        let body: Value = serde_json::from_slice(&response.body).expect("JSON");
        assert_eq!(body["error"]["run"], "not-run", "{text:.300}");
        assert_eq!(self.backend.seen().len(), before, "{text:.300}");
        body["error"].clone()
    }
}
