//! Parses a caller's request into a plan: the customer that pays, the service, and the maximum
//! usage.

use std::sync::Arc;
use std::time::Duration;

use serde_json::{Map, Value, json};
use toucanrail::catalogue::{CatalogueTable, CustomerEntry, ServiceEntry, ServiceKind};
use toucanrail::codes::ResultCode;
use toucanrail::codetable;
use toucanrail::ids::{RequestId, Tokens};
use toucanrail::messages::{HeaderField, UsageRule};
use toucanrail::paths;
use toucanrail::routing;
use toucanrail_wire::listeners::ReceivedRequest;
use toucanrail_wire::responses::ErrorDetails;

use crate::execution;

/// Number of tokens that an engine's chat template may add to each message.
const TEMPLATE_TOKENS: Tokens = 8;
/// Number of leading bytes of a prompt whose hash identifies its prefix when a server is chosen.
const PREFIX_BYTES: usize = 256;
/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 256;
/// Maximum number of tokens that a caller may request; ten times the longest context of current
/// models.
const MAX_OUTPUT_TOKENS: Tokens = 10_000_000;
/// Header fields of the caller that are not forwarded to backend servers.
const INTERNAL_FIELDS: [&str; 3] = ["authorization", "expect", "toucanrail-deadline-ms"];

/// A parsed and validated request.
#[derive(Debug, Clone)]
pub struct RequestPlan {
    /// Request id.
    pub request: RequestId,
    /// Whether the caller gave an idempotency key.
    pub keyed: bool,
    /// Customer that pays.
    pub customer: CustomerEntry,
    /// Service that is called.
    pub service: ServiceEntry,
    /// HTTP method.
    pub method: Arc<str>,
    /// Path and query to request from the backend server.
    pub path: Arc<str>,
    /// Header fields to forward.
    pub fields: Vec<HeaderField>,
    /// Body to forward.
    pub body: RequestBody,
    /// Whether the response is streamed as server-sent events.
    pub streamed: bool,
    /// How usage is determined.
    pub usage: UsageRule,
    /// Maximum number of tokens that one attempt uses.
    pub hold: Tokens,
    /// Hash of the prompt's prefix, if there is a prompt.
    pub prefix: Option<u64>,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Time limit of the request, counted from its arrival.
    pub deadline: Duration,
    /// Digest of method, path and body, by which reuse of an idempotency key for another request is
    /// detected; empty without a key.
    pub digest: Arc<str>,
}

/// Request body to forward.
#[derive(Debug, Clone)]
pub enum RequestBody {
    /// The body as the caller sent it.
    Plain(Vec<u8>),
    /// A completion request with its output limit.
    Completion {
        /// The fields of the JSON body.
        fields: Map<String, Value>,
        /// Maximum number of output tokens.
        max_output: Tokens,
    },
}

impl RequestBody {
    /// Encodes the body for an attempt that resumes after the first `resume_from` tokens.
    pub fn encode(&self, resume_from: Tokens) -> Vec<u8> {
        match self {
            Self::Plain(bytes) => bytes.clone(),
            Self::Completion { fields, max_output } if resume_from == 0 => {
                debug_assert_eq!(fields.get("max_tokens"), Some(&json!(max_output)));
                // Values that were parsed from JSON can always be encoded as JSON again.
                serde_json::to_vec(fields).unwrap_or_default()
            }
            Self::Completion { fields, max_output } => {
                let mut fields = fields.clone();
                let remaining = max_output.saturating_sub(resume_from);
                fields.insert("max_tokens".to_owned(), json!(remaining));
                serde_json::to_vec(&fields).unwrap_or_default()
            }
        }
    }
}

type PlanResult<Value> = Result<Value, Box<ErrorDetails>>;

fn reject<Value>(code: ResultCode, detail: &str) -> PlanResult<Value> {
    Err(Box::new(ErrorDetails::new(code).detail(detail)))
}

fn reject_field<Value>(field: &'static str, detail: &str) -> PlanResult<Value> {
    Err(Box::new(ErrorDetails::new(codetable::BAD_REQUEST).field(field).detail(detail)))
}

/// Returns the customer to whom the request's bearer key belongs.
pub fn find_customer<'table>(
    table: &'table CatalogueTable,
    call: &ReceivedRequest,
) -> PlanResult<&'table CustomerEntry> {
    let bearer = call.field("authorization").and_then(|value| value.strip_prefix("Bearer "));
    let customer =
        bearer.and_then(|key| table.customer_by_key_digest(&paths::hash_text(key.trim())));
    customer.map_or_else(|| reject(codetable::UNKNOWN_KEY, ""), Ok)
}

/// Parses a request into a plan.
pub fn parse_plan(table: &CatalogueTable, call: &ReceivedRequest) -> PlanResult<RequestPlan> {
    let customer = find_customer(table, call)?.clone();
    match call.path() {
        "/v1/chat/completions" | "/v1/completions" => parse_completion(table, customer, call),
        _ => parse_plain(table, customer, call),
    }
}

fn parse_completion(
    table: &CatalogueTable,
    customer: CustomerEntry,
    call: &ReceivedRequest,
) -> PlanResult<RequestPlan> {
    let fields: Result<Map<String, Value>, _> = serde_json::from_slice(&call.body);
    let Ok(mut fields) = fields else {
        return reject(codetable::BAD_REQUEST, "The body is not a JSON object.");
    };
    let model = fields.get("model").and_then(Value::as_str).unwrap_or_default();
    let Some(service) = table.service_by_model(model).filter(|found| may_use(&customer, found))
    else {
        return reject(codetable::NO_SUCH_MODEL, "See GET /v1/models.");
    };
    let service = service.clone();
    let is_chat = call.path() == "/v1/chat/completions";
    let Some((prompt, messages)) = parse_prompt(&fields, is_chat) else {
        return reject(codetable::BAD_REQUEST, "It has no messages, or no prompt text.");
    };
    if fields.get("n").and_then(Value::as_u64).unwrap_or(1) != 1 {
        return reject(codetable::BAD_REQUEST, "Only n = 1 is supported.");
    }
    let max_output =
        parse_max_output(&fields)?.unwrap_or(service.max_output).min(service.max_output);
    fields.remove("max_completion_tokens");
    fields.insert("max_tokens".to_owned(), json!(max_output));
    let streamed = fields.get("stream").and_then(Value::as_bool).unwrap_or(false);
    let hidden = streamed && !wants_usage(&fields);
    if streamed {
        fields.insert("stream_options".to_owned(), json!({ "include_usage": true }));
    }
    let body = RequestBody::Completion { fields, max_output };
    let prompt_bytes = body.encode(0).len() as u64;
    let max_prompt_tokens =
        prompt_bytes.div_ceil(service.least_bytes_per_token) + messages * TEMPLATE_TOKENS;
    let plan = base_plan(customer, service, call, call.path(), body)?;
    Ok(RequestPlan {
        streamed,
        usage: UsageRule::Reported { hidden },
        hold: max_prompt_tokens + max_output,
        prefix: Some(routing::hash_prefix(prompt.as_bytes(), PREFIX_BYTES)),
        ..plan
    })
}

/// Returns the text of the prompt and the number of its messages.
fn parse_prompt(fields: &Map<String, Value>, is_chat: bool) -> Option<(String, u64)> {
    if !is_chat {
        return fields.get("prompt")?.as_str().map(|prompt| (prompt.to_owned(), 1));
    }
    let messages = fields.get("messages")?.as_array().filter(|messages| !messages.is_empty())?;
    let contents = messages.iter().filter_map(|message| message.get("content"));
    let texts = contents.map(|content| match content.as_str() {
        Some(text) => text.to_owned(),
        None => content.to_string(),
    });
    Some((texts.collect::<Vec<_>>().join("\n"), messages.len() as u64))
}

/// Returns the maximum number of output tokens in the request, if there is one.
///
/// More tokens than the service allows are accepted, as the caller of this function reduces them to
/// the service's limit; a number that no engine supports is an error of the request.
fn parse_max_output(fields: &Map<String, Value>) -> PlanResult<Option<Tokens>> {
    for name in ["max_tokens", "max_completion_tokens"] {
        let Some(value) = fields.get(name).filter(|value| !value.is_null()) else {
            continue;
        };
        return match value.as_u64().filter(|count| (1..=MAX_OUTPUT_TOKENS).contains(count)) {
            Some(count) => Ok(Some(count)),
            None => reject_field(name, "It is no number of tokens."),
        };
    }
    Ok(None)
}

fn wants_usage(fields: &Map<String, Value>) -> bool {
    let options = fields.get("stream_options");
    let wanted = options.and_then(|options| options.get("include_usage"));
    wanted.and_then(Value::as_bool).unwrap_or(false)
}

fn may_use(customer: &CustomerEntry, service: &ServiceEntry) -> bool {
    customer.services.is_empty() || customer.services.contains(&service.name)
}

fn parse_plain(
    table: &CatalogueTable,
    customer: CustomerEntry,
    call: &ReceivedRequest,
) -> PlanResult<RequestPlan> {
    let found = table.service_by_path(call.path()).filter(|found| may_use(&customer, found));
    let Some(service) = found.filter(|found| found.kind == ServiceKind::Plain) else {
        return reject(codetable::NO_SUCH_ROUTE, "");
    };
    let service = service.clone();
    let subpath = service.subpath(call.path()).unwrap_or("/");
    let repeatable = service.is_repeatable(call.request.method().as_ref(), subpath);
    let path = match call.request.url().query() {
        Some(query) => format!("{subpath}?{query}"),
        None => subpath.to_owned(),
    };
    let price = service.price;
    let plan = base_plan(customer, service, call, &path, RequestBody::Plain(call.body.clone()))?;
    if !repeatable && !plan.keyed {
        return reject(codetable::KEY_REQUIRED, "");
    }
    Ok(RequestPlan { usage: UsageRule::Fixed(price), hold: price, repeatable, ..plan })
}

fn base_plan(
    customer: CustomerEntry,
    service: ServiceEntry,
    call: &ReceivedRequest,
    path: &str,
    body: RequestBody,
) -> PlanResult<RequestPlan> {
    let key = call.field("idempotency-key").filter(|key| !key.is_empty());
    if key.is_some_and(|key| key.len() > MAX_KEY_BYTES) {
        return reject(codetable::BAD_REQUEST, "The Idempotency-Key is too long.");
    }
    let request = match key {
        Some(key) => paths::keyed_request_id(&customer.name, key),
        None => Arc::from(format!("{:032x}", fastrand::u128(..))),
    };
    let method: Arc<str> = Arc::from(call.request.method().as_ref());
    let max_deadline = Duration::from_secs(service.deadline_seconds);
    let requested = call.field("toucanrail-deadline-ms").and_then(|text| text.parse().ok());
    let deadline =
        requested.map_or(max_deadline, |millis| Duration::from_millis(millis).min(max_deadline));
    let digest = key.map_or_else(String::new, |_| {
        let body = paths::hash_bytes(&call.body);
        paths::hash_text(&format!("{method} {path} {body}"))
    });
    Ok(RequestPlan {
        request,
        keyed: key.is_some(),
        customer,
        service,
        method,
        path: Arc::from(path),
        fields: forwarded_fields(call),
        body,
        streamed: false,
        usage: UsageRule::Fixed(0),
        hold: 0,
        prefix: None,
        repeatable: true,
        deadline,
        digest: Arc::from(digest),
    })
}

fn forwarded_fields(call: &ReceivedRequest) -> Vec<HeaderField> {
    let mut fields = execution::end_to_end_fields(call.request.as_ref());
    fields.retain(|field| {
        !INTERNAL_FIELDS.contains(&&*field.name) && !field.name.starts_with("engine-")
    });
    fields
}

/// Returns the response body of `GET /v1/models`: the models that a customer may use.
pub fn list_models(table: &CatalogueTable, customer: &CustomerEntry) -> Value {
    let services = table.services().filter(|service| may_use(customer, service));
    let models = services.filter_map(|service| {
        let model = service.model.as_deref()?;
        Some(json!({ "id": model, "object": "model", "created": 0, "owned_by": service.owner }))
    });
    json!({ "object": "list", "data": models.collect::<Vec<_>>() })
}
