//! A sound client of one request, and the platform's readiness checks.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use crate::http::Connection;

/// A request for a model.
#[derive(Debug, Clone)]
pub struct ModelRequest<'call> {
    pub host: &'call str,
    pub path: &'call str,
    pub key: &'call str,
    pub attempt: &'call str,
    pub prompt: u64,
    pub max_output: u64,
    pub timeout: Duration,
}

/// How a request ended for its client.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// A whole answer with this status, a replica's digest if it has one, the number of events in it,
    /// and the start of its body.
    Answer { status: u16, signed: bool, digest: String, events: usize, body: String },
    /// No connection could be opened.
    NoConnection,
    /// The channel ended, or the time limit passed, before a whole answer.
    Cut(String),
}

impl ModelRequest<'_> {
    /// Sends the request on a new channel and reads the whole answer.
    pub fn send(&self, front: SocketAddr) -> Outcome {
        let Ok(connection) = Connection::open(front, Duration::from_secs(1)) else {
            return Outcome::NoConnection;
        };
        match self.exchange(connection) {
            Ok(outcome) => outcome,
            Err(error) => Outcome::Cut(error.to_string()),
        }
    }

    fn exchange(&self, mut connection: Connection) -> io::Result<Outcome> {
        let body = "x".repeat(self.prompt as usize);
        let ModelRequest { host, path, key, attempt, prompt, max_output, timeout } = self;
        let text = format!(
            "POST {path} HTTP/1.1\r\nHost: {host}\r\nX-Attempt-Id: {attempt}\r\nX-Model: m\r\n\
             X-Token-Usage: {prompt},{max_output}\r\nX-Prefix-Hash: {attempt}:{prompt}\r\n\
             X-Timeout-Ms: {}\r\nAuthorization: Bearer {key}\r\nContent-Length: {}\r\n\
             Connection: close\r\n\r\n{body}",
            timeout.as_millis(),
            body.len(),
        );
        read_answer(&mut connection, &text, *timeout)
    }
}

/// A request to a plain service, which may not be repeated.
#[derive(Debug, Clone)]
pub struct Submission<'call> {
    pub host: &'call str,
    pub path: &'call str,
    pub key: &'call str,
    pub attempt: &'call str,
    pub body: &'call str,
    pub timeout: Duration,
}

impl Submission<'_> {
    /// Sends the request on a new channel and reads the whole answer.
    pub fn send(&self, front: SocketAddr) -> Outcome {
        let Ok(mut connection) = Connection::open(front, Duration::from_secs(1)) else {
            return Outcome::NoConnection;
        };
        let Submission { host, path, key, attempt, body, timeout } = self;
        let text = format!(
            "POST {path} HTTP/1.1\r\nHost: {host}\r\nX-Attempt-Id: {attempt}\r\n\
             X-Timeout-Ms: {}\r\nAuthorization: Bearer {key}\r\nContent-Length: {}\r\n\
             Connection: close\r\n\r\n{body}",
            timeout.as_millis(),
            body.len(),
        );
        let answered = read_answer(&mut connection, &text, *timeout);
        answered.unwrap_or_else(|error| Outcome::Cut(error.to_string()))
    }
}

fn read_answer(connection: &mut Connection, text: &str, timeout: Duration) -> io::Result<Outcome> {
    connection.stream.set_read_timeout(Some(timeout))?;
    connection.send(text.as_bytes())?;
    let head = connection.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body = connection.read_body(&head)?;
    let events = body.windows(2).filter(|part| part == b"\n\n").count();
    let body = String::from_utf8_lossy(&body[..body.len().min(60)]).replace('\n', " ");
    let digest = head.field("X-Replica-Signature").unwrap_or_default().to_owned();
    let signed = !digest.is_empty();
    Ok(Outcome::Answer { status: head.status(), signed, digest, events, body })
}

/// Asks an entry whether it is ready, as the platform does.
pub fn is_ready(address: SocketAddr) -> bool {
    let ask = || -> io::Result<bool> {
        let mut connection = Connection::open(address, Duration::from_secs(1))?;
        connection.stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        connection.send(b"GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
        Ok(connection.read_head()?.is_some_and(|head| head.status() == 200))
    };
    ask().unwrap_or(false)
}
