//! Responses with which the daemon itself refuses a call, each with the outcome of the request.

use apricotfold_model::{CallOutcome, RefusalReason, headers};
use compact_str::CompactString;
use http::{HeaderMap, HeaderValue, StatusCode};
use salvo::http::ResBody;
use salvo::{Request, Response};

/// Why a request got no response from a target, and whether it ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRefusal {
    /// Whether a target ran the request, as far as this node knows.
    pub outcome: CallOutcome,
    /// Reason, also sent as a header.
    pub reason: RefusalReason,
    /// Further detail for the caller, such as the missing part; may be empty.
    pub detail: CompactString,
}

impl CallRefusal {
    /// Creates a refusal of a request that did not run at any target.
    pub fn not_run(reason: RefusalReason, detail: impl Into<CompactString>) -> Self {
        Self {
            outcome: CallOutcome::NotRun,
            reason,
            detail: detail.into(),
        }
    }

    /// Creates a refusal of a request that may have run at a target.
    pub fn may_have_run(reason: RefusalReason, detail: impl Into<CompactString>) -> Self {
        Self {
            outcome: CallOutcome::MayHaveRun,
            reason,
            detail: detail.into(),
        }
    }

    /// Returns the HTTP status that corresponds to the reason and outcome.
    pub fn status(&self) -> StatusCode {
        match self.reason {
            RefusalReason::NoRoute => StatusCode::NOT_FOUND,
            RefusalReason::BadRequest | RefusalReason::KeyMissing => StatusCode::BAD_REQUEST,
            RefusalReason::AlreadyClaimed => StatusCode::CONFLICT,
            RefusalReason::PoisonRequest => StatusCode::UNPROCESSABLE_ENTITY,
            RefusalReason::TooDeep => StatusCode::LOOP_DETECTED,
            RefusalReason::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RefusalReason::BodyLate => StatusCode::REQUEST_TIMEOUT,
            RefusalReason::UnknownKey => StatusCode::UNAUTHORIZED,
            RefusalReason::OverQuota => StatusCode::TOO_MANY_REQUESTS,
            RefusalReason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
            _ if self.outcome == CallOutcome::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::BAD_GATEWAY,
        }
    }

    /// Writes the refusal as the response to a request.
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

/// Sets the outcome header of a response.
pub fn set_outcome(headers: &mut HeaderMap, outcome: CallOutcome) {
    let outcome: &'static str = outcome.into();
    headers.insert(headers::OUTCOME, HeaderValue::from_static(outcome));
}

/// Parses a header; `None` if it is absent or malformed.
pub fn read_header<T: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Returns a header of a request as text; empty if it is absent or not text.
pub fn header_text<'a>(request: &'a Request, name: &str) -> &'a str {
    let value = request.headers().get(name);
    value
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}
