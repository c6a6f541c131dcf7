//! Minimal header and message formats for tests.

use std::time::Duration;

use apricotfold_model::{
    ApiKeyDigest, CallOutcome, FieldErrors, InstanceAnnouncement, InstanceState, RateLimit,
    RawRolloutOrder, RawRouteTable, RefusalReason, RolloutOrder, RolloutStatus, RouteTable,
    parse_json,
};
use apricotfold_proxy::adapters::{
    AnnounceMessage, AnnounceProtocol, CallHead, CallProtocol, CallRefusal, RefusalHead,
    ResponseHead, RolloutSource, TableSource, TargetHead,
};
use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Response, StatusCode};

/// Key of the route table in the test store.
pub const TABLE_KEY: &str = "tables/newest";

pub struct TestCalls;

fn read(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

impl CallProtocol for TestCalls {
    fn read_call(&self, headers: &HeaderMap) -> CallHead {
        CallHead {
            request_id: read(headers, "request-id").map(Into::into),
            time_left: read(headers, "timeout-ms")
                .and_then(|text| text.parse().ok())
                .map(Duration::from_millis),
            api_key: read(headers, "api-key").map(|key| ApiKeyDigest::of(key.as_bytes())),
        }
    }

    fn parent_id<'a>(&self, id: &'a str) -> Option<&'a str> {
        id.rsplit_once('/').map(|(parent, _)| parent)
    }

    fn strip_credentials(&self, headers: &mut HeaderMap) {
        headers.remove("api-key");
        headers.remove("tenant");
    }

    fn prepare_call(&self, headers: &mut HeaderMap, head: &TargetHead<'_>) {
        let left = u64::try_from(head.time_left.as_millis()).expect("small");
        headers.insert("timeout-ms", HeaderValue::from(left));
        let value = |text: &str| HeaderValue::from_str(text).expect("plain text");
        headers.insert("meant-instance", value(head.instance));
        headers.insert("caller-service", value(head.caller_service));
        if let Some(tenant) = head.tenant {
            headers.insert("tenant", value(tenant));
        }
    }

    fn read_answer(&self, _: StatusCode, headers: &HeaderMap) -> ResponseHead {
        ResponseHead {
            request_id: read(headers, "request-id").map(Into::into),
            instance: read(headers, "instance").map(Into::into),
            not_run: headers.contains_key("not-run"),
            slots: read(headers, "slots").and_then(|text| text.parse().ok()),
            pace: None,
            idle_timeout: None,
            leaving: read(headers, "leaving").as_deref() == Some("1"),
            rate_limit: read(headers, "rate-limit")
                .and_then(|text| RateLimit::try_from(text.parse::<f64>().ok()?).ok()),
        }
    }

    fn promises_not_run(&self, status: StatusCode) -> bool {
        matches!(
            status,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
        )
    }

    fn write_refusal(&self, refusal: &CallRefusal) -> RefusalHead {
        let mut headers = HeaderMap::new();
        let value = |text: &str| HeaderValue::from_str(text).expect("plain text");
        headers.insert("outcome", value(&refusal.outcome.to_string()));
        headers.insert("reason", value(&refusal.reason.to_string()));
        if let Some(pause) = refusal.retry_after {
            headers.insert("retry-after-ms", value(&pause.as_millis().to_string()));
        }
        let status = match refusal.outcome {
            CallOutcome::NotRun if refusal.reason == RefusalReason::UnknownKey => {
                StatusCode::UNAUTHORIZED
            }
            CallOutcome::NotRun if refusal.reason == RefusalReason::OverQuota => {
                StatusCode::TOO_MANY_REQUESTS
            }
            CallOutcome::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::BAD_GATEWAY,
        };
        RefusalHead { status, headers }
    }
}

#[derive(serde::Deserialize)]
struct TestAnnouncement {
    instance: String,
    born: u64,
    number: u64,
    service: String,
    slots: u32,
    state: InstanceState,
    address: std::net::SocketAddr,
    version: Option<String>,
}

#[derive(serde::Deserialize)]
struct TestLeave {
    instance: String,
    born: Option<u64>,
}

pub struct TestAnnouncements;

impl AnnounceProtocol for TestAnnouncements {
    fn read(&self, parts: &Parts, body: &[u8]) -> Result<AnnounceMessage, FieldErrors> {
        let text = String::from_utf8_lossy(body);
        match parts.uri.path() {
            "/announce" => {
                let raw: TestAnnouncement = parse_json(&text)?;
                Ok(AnnounceMessage::Announce(InstanceAnnouncement {
                    instance: raw.instance.into(),
                    born: raw.born,
                    number: raw.number,
                    service: raw.service.into(),
                    address: raw.address,
                    slots: raw.slots,
                    state: raw.state,
                    cold: Duration::ZERO,
                    version: raw.version.map(Into::into),
                }))
            }
            "/leave" => {
                let raw: TestLeave = parse_json(&text)?;
                Ok(AnnounceMessage::Leave {
                    instance: raw.instance.into(),
                    born: raw.born,
                })
            }
            _ => Ok(AnnounceMessage::Unknown),
        }
    }

    fn acknowledge(&self) -> Response<Bytes> {
        Response::new(Bytes::from_static(b"{}"))
    }
}

pub struct TestTables;

impl TableSource for TestTables {
    fn key(&self) -> &str {
        TABLE_KEY
    }

    fn decode(&self, text: &str) -> Result<RouteTable, FieldErrors> {
        RouteTable::try_from(parse_json::<RawRouteTable>(text)?)
    }
}

/// Prefix of the keys of rollout orders in the test store.
pub const ORDER_PREFIX: &str = "tables/rollouts/";

pub struct TestRollouts;

impl RolloutSource for TestRollouts {
    fn order_prefix(&self) -> &str {
        ORDER_PREFIX
    }

    fn status_key(&self, service: &str) -> String {
        format!("status/{service}")
    }

    fn decode_order(&self, text: &str) -> Result<RolloutOrder, FieldErrors> {
        Ok(RolloutOrder::try_from(parse_json::<RawRolloutOrder>(
            text,
        )?)?)
    }

    fn encode_status(&self, status: &RolloutStatus) -> String {
        format!("{} {}", status.target_version, status.state)
    }
}
