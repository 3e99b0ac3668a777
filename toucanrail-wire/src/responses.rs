//! Constructors of responses.

use std::time::Duration;

use http_types::{Body, Response, StatusCode};
use serde::Serialize;
use toucanrail::codes::{ResultCode, RunState};

use crate::pipes::BodyPipe;

/// Header with the number of the result code.
pub const RESULT_HEADER: &str = "toucanrail-result";
/// Header that states whether the request ran.
pub const RUN_HEADER: &str = "toucanrail-run";
/// Header with the id of the request, for `toucanrail explain`.
pub const REQUEST_HEADER: &str = "toucanrail-request";

/// Content of an error response to a caller.
#[derive(Debug, Clone)]
pub struct ErrorDetails {
    /// The result code.
    pub code: ResultCode,
    /// Whether the request ran.
    pub run: RunState,
    /// Time after which the caller may retry, if a retry can help.
    pub retry_after: Option<Duration>,
    /// Detail that follows the code's message; may be empty.
    pub detail: String,
    /// The invalid field of the caller's body or head.
    pub field: Option<&'static str>,
}

impl ErrorDetails {
    /// Makes an error with the defaults of its result code.
    ///
    /// # Examples
    /// ```
    /// use toucanrail::codetable;
    /// let error = toucanrail_wire::responses::ErrorDetails::new(codetable::OVERLOADED);
    /// assert_eq!(error.run, toucanrail::codes::RunState::NotRun);
    /// ```
    pub fn new(code: ResultCode) -> Self {
        Self { code, run: code.row().run, retry_after: None, detail: String::new(), field: None }
    }

    /// Sets the time after which the caller may retry.
    #[must_use]
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Overrides the result code's default for whether the request ran.
    #[must_use]
    pub fn run(mut self, run: RunState) -> Self {
        self.run = run;
        self
    }

    /// Names the invalid field of the caller's body or head.
    #[must_use]
    pub fn field(mut self, name: &'static str) -> Self {
        self.field = Some(name);
        self
    }

    /// Sets the detail that follows the code's message.
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

/// Makes an empty response; an unknown status code becomes 500.
pub fn status(number: u16) -> Response {
    Response::new(StatusCode::try_from(number).unwrap_or(StatusCode::InternalServerError))
}

/// Makes a response with plain text.
pub fn text(number: u16, text: impl Into<String>) -> Response {
    let mut response = status(number);
    response.set_body(Body::from_string(text.into()));
    response
}

/// Makes a response with bytes.
pub fn bytes(number: u16, bytes: Vec<u8>) -> Response {
    let mut response = status(number);
    response.set_body(Body::from_bytes(bytes));
    response
}

/// Makes a response with JSON.
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

/// Makes a response with `MessagePack`, the format between the system's own processes.
pub fn msgpack<Value>(value: &Value) -> Response
where
    Value: Serialize,
{
    match rmp_serde::to_vec_named(value) {
        Ok(encoded) => bytes(200, encoded),
        Err(error) => text(500, error.to_string()),
    }
}

/// Makes a response with a streamed body.
pub fn stream(number: u16, body: BodyPipe) -> Response {
    let mut response = status(number);
    response.set_body(Body::from_reader(body, None));
    response
}

/// Returns the body of an error response: JSON in the format of the model APIs that callers use.
pub fn error_body(details: &ErrorDetails) -> Vec<u8> {
    // Serialization fails only for maps whose keys are not strings, and there are none.
    serde_json::to_vec(&error_envelope(details)).unwrap_or_default()
}

fn error_envelope(details: &ErrorDetails) -> ErrorEnvelope {
    let row = details.code.row();
    let message = if details.detail.is_empty() {
        row.text.to_owned()
    } else {
        format!("{} {}", row.text, details.detail)
    };
    let error = ErrorBody {
        message,
        kind: "toucanrail_error",
        param: details.field,
        code: row.name,
        result: row.number,
        run: details.run.as_str(),
    };
    ErrorEnvelope { error }
}

/// Makes an error response: the body of [`error_body`], and headers with the result code, whether
/// the request ran, and the time after which to retry.
pub fn error(details: &ErrorDetails) -> Response {
    let row = details.code.row();
    let mut response = json(row.status, &error_envelope(details));
    response.insert_header(RESULT_HEADER, row.number.to_string());
    response.insert_header(RUN_HEADER, details.run.as_str());
    if let Some(wait) = details.retry_after {
        let seconds = wait.as_secs_f64().ceil().max(1.0) as u64;
        response.insert_header("retry-after", seconds.to_string());
    }
    response
}
