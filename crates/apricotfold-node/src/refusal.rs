//! Answers that the daemon gives itself, each with the outcome of the request.

use apricotfold_model::{CallOutcome, RefusalReason, headers};
use compact_str::CompactString;
use http::{HeaderMap, HeaderValue, StatusCode};
use salvo::http::ResBody;
use salvo::{Request, Response};

/// Why a request got no answer from a target, and whether it ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRefusal {
    /// Whether the request ran.
    pub outcome: CallOutcome,
    /// The reason.
    pub reason: RefusalReason,
    /// Further detail for the caller, such as the missing part.
    pub detail: CompactString,
}

impl CallRefusal {
    /// A refusal of a request that no target has received.
    pub fn not_run(reason: RefusalReason, detail: impl Into<CompactString>) -> Self {
        Self {
            outcome: CallOutcome::NotRun,
            reason,
            detail: detail.into(),
        }
    }

    /// A refusal of a request that a target may have received.
    pub fn may_have_run(reason: RefusalReason, detail: impl Into<CompactString>) -> Self {
        Self {
            outcome: CallOutcome::MayHaveRun,
            reason,
            detail: detail.into(),
        }
    }

    /// HTTP status of the answer.
    pub fn status(&self) -> StatusCode {
        match self.reason {
            RefusalReason::NoRoute => StatusCode::NOT_FOUND,
            RefusalReason::BadRequest | RefusalReason::KeyMissing => StatusCode::BAD_REQUEST,
            RefusalReason::AlreadyClaimed => StatusCode::CONFLICT,
            RefusalReason::PoisonRequest => StatusCode::UNPROCESSABLE_ENTITY,
            RefusalReason::TooDeep => StatusCode::LOOP_DETECTED,
            RefusalReason::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RefusalReason::BodyLate => StatusCode::REQUEST_TIMEOUT,
            RefusalReason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
            _ if self.outcome == CallOutcome::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::BAD_GATEWAY,
        }
    }

    /// Writes the refusal as the answer to a request.
    pub fn write(&self, response: &mut Response) {
        let body = serde_json::json!({
            "outcome": self.outcome,
            "reason": self.reason,
            "detail": self.detail,
        });
        response.status_code(self.status());
        let headers = response.headers_mut();
        set_outcome(headers, self.outcome);
        let reason: &'static str = self.reason.into();
        headers.insert(headers::REASON, HeaderValue::from_static(reason));
        headers.insert(
            http::header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        response.replace_body(ResBody::Once(body.to_string().into()));
    }
}

/// Marks an answer with the outcome of its request.
pub fn set_outcome(headers: &mut HeaderMap, outcome: CallOutcome) {
    let outcome: &'static str = outcome.into();
    headers.insert(headers::OUTCOME, HeaderValue::from_static(outcome));
}

/// Reads a header that holds a named value or a number.
pub fn read_header<T: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Reads a text header of a request; empty when it is absent.
pub fn header_text<'a>(request: &'a Request, name: &str) -> &'a str {
    let value = request.headers().get(name);
    value
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}
