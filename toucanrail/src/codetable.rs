//! The result code table: a constant and a row for each code.

use crate::codes::{CodeRow, ResultCode, RunState};

/// The request ran and its response is complete.
pub const OK: ResultCode = ResultCode::new(1000);
/// The request could not be parsed.
pub const BAD_REQUEST: ResultCode = ResultCode::new(2001);
/// The request states its body length more than once, in more than one way or incorrectly.
pub const AMBIGUOUS_LENGTH: ResultCode = ResultCode::new(2002);
/// The request head exceeds the size limit.
pub const HEAD_TOO_LARGE: ResultCode = ResultCode::new(2003);
/// The request body exceeds the size limit.
pub const BODY_TOO_LARGE: ResultCode = ResultCode::new(2004);
/// The request did not arrive within the time limit.
pub const SLOW_SENDER: ResultCode = ResultCode::new(2005);
/// The request ended before its declared length.
pub const CUT_REQUEST: ResultCode = ResultCode::new(2006);
/// The request does not have exactly one `Host` field.
pub const MISSING_HOST: ResultCode = ResultCode::new(2007);
/// The bearer key belongs to no customer.
pub const UNKNOWN_KEY: ResultCode = ResultCode::new(2101);
/// No service has this route.
pub const NO_SUCH_ROUTE: ResultCode = ResultCode::new(2102);
/// No service has this model.
pub const NO_SUCH_MODEL: ResultCode = ResultCode::new(2103);
/// The message is not signed with the fleet's key.
pub const NOT_AUTHENTIC: ResultCode = ResultCode::new(2104);
/// A request that may not be repeated has no `Idempotency-Key` field.
pub const KEY_REQUIRED: ResultCode = ResultCode::new(2201);
/// The `Idempotency-Key` was already used with a different request.
pub const KEY_REUSED: ResultCode = ResultCode::new(2202);
/// A request with this `Idempotency-Key` is still running.
pub const IN_FLIGHT: ResultCode = ResultCode::new(2203);
/// The outcome of the run with this `Idempotency-Key` is unknown; it is not run again.
pub const END_UNKNOWN: ResultCode = ResultCode::new(2204);
/// The run with this `Idempotency-Key` has ended, but its response was not stored; it is not run again.
pub const RESPONSE_NOT_STORED: ResultCode = ResultCode::new(2205);
/// The prepaid budget does not cover this request.
pub const BUDGET_EXHAUSTED: ResultCode = ResultCode::new(3001);
/// The budget cannot be confirmed at present.
pub const BUDGET_UNCONFIRMED: ResultCode = ResultCode::new(3002);
/// The service is at its capacity.
pub const OVERLOADED: ResultCode = ResultCode::new(3101);
/// The customer has reached its share of the service.
pub const CUSTOMER_LIMIT: ResultCode = ResultCode::new(3102);
/// The deadline passed before the request could run.
pub const DEADLINE_PASSED: ResultCode = ResultCode::new(3103);
/// No backend server of this service can take the request.
pub const NO_BACKEND_SERVER: ResultCode = ResultCode::new(3201);
/// This process is stopping.
pub const STOPPING: ResultCode = ResultCode::new(3202);
/// The process has reached its connection limit.
pub const TOO_MANY_CONNECTIONS: ResultCode = ResultCode::new(3203);
/// The process holds as many bytes for its callers as its memory allows.
pub const MEMORY_FULL: ResultCode = ResultCode::new(3204);
/// It is not known which software version began the stream that the caller takes up.
pub const ORIGIN_UNKNOWN: ResultCode = ResultCode::new(3205);
/// No backend server of the software version that began the stream is left.
pub const VERSION_GONE: ResultCode = ResultCode::new(3206);
/// Servers ended under the request; it is held back for some time.
pub const HELD_BACK: ResultCode = ResultCode::new(3207);
/// The entry's network link has no share left for the request.
pub const LINK_FULL: ResultCode = ResultCode::new(3208);
/// The backend server's response ended early.
pub const ANSWER_CUT: ResultCode = ResultCode::new(4001);
/// The connection to the backend server went silent.
pub const SILENT_CONNECTION: ResultCode = ResultCode::new(4002);
/// The backend server failed.
pub const BACKEND_FAILED: ResultCode = ResultCode::new(4003);
/// The caller disconnected.
pub const CANCELLED: ResultCode = ResultCode::new(4004);
/// A response to a different request was received and discarded.
pub const FOREIGN_ANSWER: ResultCode = ResultCode::new(4005);
/// The platform's object API does not respond.
pub const STORE_UNAVAILABLE: ResultCode = ResultCode::new(4101);
/// The holder's epoch has been fenced.
pub const FENCED: ResultCode = ResultCode::new(4201);
/// The command is addressed to another incarnation of this agent.
pub const WRONG_INCARNATION: ResultCode = ResultCode::new(4202);
/// The agent has already received this run.
pub const ALREADY_SEEN: ResultCode = ResultCode::new(4203);
/// The run was voided before it arrived.
pub const VOIDED: ResultCode = ResultCode::new(4204);
/// The command carries an outdated fencing number.
pub const STALE_ORDER: ResultCode = ResultCode::new(4205);
/// The catalogue is invalid.
pub const CATALOGUE_INVALID: ResultCode = ResultCode::new(5001);
/// The object was changed concurrently.
pub const EDIT_CONFLICT: ResultCode = ResultCode::new(5002);
/// The settings are invalid.
pub const SETTINGS_INVALID: ResultCode = ResultCode::new(5003);
/// The budget cannot go below what is billed, granted or frozen.
pub const BUDGET_COMMITTED: ResultCode = ResultCode::new(5004);
/// The change has not taken effect everywhere yet.
pub const NOT_IN_FORCE: ResultCode = ResultCode::new(5005);
/// A load test violated a guarantee.
pub const PROMISE_BROKEN: ResultCode = ResultCode::new(5006);

/// All rows, ordered by number.
#[rustfmt::skip]
pub const ROWS: [CodeRow; 47] = [
    CodeRow { number: 1000, name: "ok", status: 200, run: RunState::Ran, text: "The request ran and its answer is whole." },
    CodeRow { number: 2001, name: "bad_request", status: 400, run: RunState::NotRun, text: "The request could not be read." },
    CodeRow { number: 2002, name: "ambiguous_length", status: 400, run: RunState::NotRun, text: "The request gives its length in more than one way." },
    CodeRow { number: 2003, name: "head_too_large", status: 431, run: RunState::NotRun, text: "The request's head is larger than the limit." },
    CodeRow { number: 2004, name: "body_too_large", status: 413, run: RunState::NotRun, text: "The request's body is larger than the limit." },
    CodeRow { number: 2005, name: "slow_sender", status: 408, run: RunState::NotRun, text: "The request did not arrive in time." },
    CodeRow { number: 2006, name: "cut_request", status: 400, run: RunState::NotRun, text: "The request ended before its declared length." },
    CodeRow { number: 2007, name: "missing_host", status: 400, run: RunState::NotRun, text: "The request has no Host field." },
    CodeRow { number: 2101, name: "unknown_key", status: 401, run: RunState::NotRun, text: "The bearer key belongs to no customer." },
    CodeRow { number: 2102, name: "no_such_route", status: 404, run: RunState::NotRun, text: "No service has this route." },
    CodeRow { number: 2103, name: "no_such_model", status: 404, run: RunState::NotRun, text: "No service has this model." },
    CodeRow { number: 2104, name: "not_authentic", status: 403, run: RunState::NotRun, text: "The message does not carry the fleet's key." },
    CodeRow { number: 2201, name: "key_required", status: 400, run: RunState::NotRun, text: "A request that may not be repeated needs an Idempotency-Key." },
    CodeRow { number: 2202, name: "key_reused", status: 422, run: RunState::NotRun, text: "This Idempotency-Key was used with another request." },
    CodeRow { number: 2203, name: "in_flight", status: 409, run: RunState::Unknown, text: "A request with this Idempotency-Key is still running." },
    CodeRow { number: 2204, name: "end_unknown", status: 409, run: RunState::Unknown, text: "It is not known how the run with this key ended; it is not run again." },
    CodeRow { number: 2205, name: "response_not_stored", status: 409, run: RunState::Ran, text: "The run with this key has ended, but its response was not stored; it is not run again." },
    CodeRow { number: 3001, name: "budget_exhausted", status: 402, run: RunState::NotRun, text: "The prepaid budget does not cover this request." },
    CodeRow { number: 3002, name: "budget_unconfirmed", status: 503, run: RunState::NotRun, text: "The budget could not be confirmed just now." },
    CodeRow { number: 3101, name: "overloaded", status: 429, run: RunState::NotRun, text: "The service is at its capacity." },
    CodeRow { number: 3102, name: "customer_limit", status: 429, run: RunState::NotRun, text: "The customer is at its share of the service." },
    CodeRow { number: 3103, name: "deadline_passed", status: 504, run: RunState::NotRun, text: "The deadline passed before the request could run." },
    CodeRow { number: 3201, name: "no_backend_server", status: 503, run: RunState::NotRun, text: "No backend server of this service can take the request." },
    CodeRow { number: 3202, name: "stopping", status: 503, run: RunState::NotRun, text: "This process is stopping." },
    CodeRow { number: 3203, name: "too_many_connections", status: 503, run: RunState::NotRun, text: "The process is at its limit of connections." },
    CodeRow { number: 3204, name: "memory_full", status: 503, run: RunState::NotRun, text: "The process has no memory left for the request." },
    CodeRow { number: 3205, name: "origin_unknown", status: 503, run: RunState::NotRun, text: "It is not known which software version began this stream." },
    CodeRow { number: 3206, name: "version_gone", status: 503, run: RunState::NotRun, text: "No backend server of the software version that began this stream is left." },
    CodeRow { number: 3207, name: "held_back", status: 503, run: RunState::NotRun, text: "Backend servers ended under requests like this one; it is held back for now." },
    CodeRow { number: 3208, name: "link_full", status: 503, run: RunState::NotRun, text: "The process's network link has no room for the request." },
    CodeRow { number: 4001, name: "answer_cut", status: 502, run: RunState::Ran, text: "The backend server's answer ended early." },
    CodeRow { number: 4002, name: "silent_connection", status: 504, run: RunState::Unknown, text: "The connection to the backend server went silent." },
    CodeRow { number: 4003, name: "backend_failed", status: 502, run: RunState::Unknown, text: "The backend server failed." },
    CodeRow { number: 4004, name: "cancelled", status: 499, run: RunState::Ran, text: "The caller went away." },
    CodeRow { number: 4005, name: "foreign_answer", status: 502, run: RunState::Unknown, text: "An answer to another request was received and dropped." },
    CodeRow { number: 4101, name: "store_unavailable", status: 503, run: RunState::NotRun, text: "The platform's object API does not answer." },
    CodeRow { number: 4201, name: "fenced", status: 409, run: RunState::NotRun, text: "The holder's epoch has been fenced." },
    CodeRow { number: 4202, name: "wrong_incarnation", status: 409, run: RunState::NotRun, text: "The order is for another run of this agent." },
    CodeRow { number: 4203, name: "already_seen", status: 409, run: RunState::Unknown, text: "The agent has seen this run before." },
    CodeRow { number: 4204, name: "voided", status: 409, run: RunState::NotRun, text: "The run was voided before it arrived." },
    CodeRow { number: 4205, name: "stale_order", status: 409, run: RunState::NotRun, text: "The order carries an old fencing number." },
    CodeRow { number: 5001, name: "catalogue_invalid", status: 0, run: RunState::NotRun, text: "The catalogue has faults." },
    CodeRow { number: 5002, name: "edit_conflict", status: 0, run: RunState::NotRun, text: "The object was changed meanwhile." },
    CodeRow { number: 5003, name: "settings_invalid", status: 0, run: RunState::NotRun, text: "The settings have faults." },
    CodeRow { number: 5004, name: "budget_committed", status: 0, run: RunState::NotRun, text: "The budget cannot go below what is billed, granted or frozen." },
    CodeRow { number: 5005, name: "not_in_force", status: 0, run: RunState::NotRun, text: "The change is not in force everywhere yet." },
    CodeRow { number: 5006, name: "promise_broken", status: 0, run: RunState::Unknown, text: "A measured run broke a promise." },
];
