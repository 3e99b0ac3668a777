//! Short constructors of answers.

use std::time::Duration;

use http_types::{Body, Response, StatusCode};
use serde::Serialize;
use toucanrail::codes::{ResultCode, RunState};

use crate::pipes::BodyPipe;

/// Header with the numbered result.
pub const RESULT_HEADER: &str = "toucanrail-result";
/// Header that says whether the request ran.
pub const RUN_HEADER: &str = "toucanrail-run";
/// Header with the id of the request, for `toucanrail explain`.
pub const REQUEST_HEADER: &str = "toucanrail-request";

/// A refusal, as it goes to a caller.
#[derive(Debug, Clone)]
pub struct ErrorDetails {
    /// The numbered result.
    pub code: ResultCode,
    /// Whether the request ran.
    pub run: RunState,
    /// When to come back, where that helps.
    pub retry_after: Option<Duration>,
    /// Detail for the caller, behind the code's sentence.
    pub detail: String,
    /// The field of the caller's body that is at fault.
    pub field: Option<&'static str>,
}

impl ErrorDetails {
    /// Makes a refusal as the code's row of the table has it.
    ///
    /// # Examples
    /// ```
    /// use toucanrail::codetable;
    /// let note = toucanrail_wire::responses::ErrorDetails::new(codetable::OVERLOADED);
    /// assert_eq!(note.run, toucanrail::codes::RunState::NotRun);
    /// ```
    pub fn new(code: ResultCode) -> Self {
        Self { code, run: code.row().run, retry_after: None, detail: String::new(), field: None }
    }

    /// Adds when to come back.
    #[must_use]
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Replaces what the table says about the run.
    #[must_use]
    pub fn run(mut self, run: RunState) -> Self {
        self.run = run;
        self
    }

    /// Names the field of the caller's body that is at fault.
    #[must_use]
    pub fn field(mut self, name: &'static str) -> Self {
        self.field = Some(name);
        self
    }

    /// Adds detail for the caller.
    #[must_use]
    pub fn detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = detail.into();
        self
    }
}

#[derive(Debug, Serialize)]
struct ErrorEnvelope {
    error: ErrorBody,
}

#[derive(Debug, Serialize)]
struct ErrorBody {
    message: String,
    #[serde(rename = "type")]
    kind: &'static str,
    param: Option<&'static str>,
    code: &'static str,
    result: u16,
    run: &'static str,
}

/// Makes an answer with a status number; an unknown number becomes 500.
pub fn status(number: u16) -> Response {
    Response::new(StatusCode::try_from(number).unwrap_or(StatusCode::InternalServerError))
}

/// Makes an answer of plain text.
pub fn text(number: u16, text: impl Into<String>) -> Response {
    let mut response = status(number);
    response.set_body(Body::from_string(text.into()));
    response
}

/// Makes an answer of bytes.
pub fn bytes(number: u16, bytes: Vec<u8>) -> Response {
    let mut response = status(number);
    response.set_body(Body::from_bytes(bytes));
    response
}

/// Makes an answer of JSON.
pub fn json<Value>(number: u16, value: &Value) -> Response
where
    Value: Serialize,
{
    match serde_json::to_vec(value) {
        Ok(encoded) => {
            let mut response = bytes(number, encoded);
            response.insert_header("content-type", "application/json");
            response
        }
        Err(error) => text(500, error.to_string()),
    }
}

/// Makes an answer of `rmp-serde`, the codec between the system's own processes.
pub fn msgpack<Value>(value: &Value) -> Response
where
    Value: Serialize,
{
    match rmp_serde::to_vec_named(value) {
        Ok(encoded) => bytes(200, encoded),
        Err(error) => text(500, error.to_string()),
    }
}

/// Makes an answer whose body streams.
pub fn stream(number: u16, body: BodyPipe) -> Response {
    let mut response = status(number);
    response.set_body(Body::from_reader(body, None));
    response
}

/// Returns the body of a refusal: a JSON error in the callers' usual form.
pub fn error_body(note: &ErrorDetails) -> Vec<u8> {
    // Only maps with keys other than text can fail here.
    serde_json::to_vec(&error_envelope(note)).unwrap_or_default()
}

fn error_envelope(note: &ErrorDetails) -> ErrorEnvelope {
    let row = note.code.row();
    let message = if note.detail.is_empty() {
        row.text.to_owned()
    } else {
        format!("{} {}", row.text, note.detail)
    };
    let error = ErrorBody {
        message,
        kind: "toucanrail_error",
        param: note.field,
        code: row.name,
        result: row.number,
        run: note.run.as_str(),
    };
    ErrorEnvelope { error }
}

/// Makes the answer of a refusal: a JSON error in the callers' usual form, and the headers that
/// say the result, the run and when to come back.
pub fn error(note: &ErrorDetails) -> Response {
    let row = note.code.row();
    let mut response = json(row.status, &error_envelope(note));
    response.insert_header(RESULT_HEADER, row.number.to_string());
    response.insert_header(RUN_HEADER, note.run.as_str());
    if let Some(wait) = note.retry_after {
        let seconds = wait.as_secs_f64().ceil().max(1.0) as u64;
        response.insert_header("retry-after", seconds.to_string());
    }
    response
}
