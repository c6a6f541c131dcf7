//! Errors of the gateway, with the gRPC codes and messages of the published protocol.

use serde::Serialize;

/// Maximum size of a value.
pub const MAX_VALUE_BYTES: usize = 1_048_576;

/// Reason why the store rejects a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GatewayError {
    /// The request is malformed or uses a feature that the stand-in does not support.
    InvalidArgument(String),
    /// The request has an empty key.
    KeyMissing,
    /// A transaction branch modifies the same key more than once.
    DuplicateKey,
    /// A value exceeds [`MAX_VALUE_BYTES`].
    ValueTooLarge,
    /// The lease does not exist.
    LeaseNotFound,
    /// The requested lease id is already in use.
    LeaseExists,
    /// The rate limit for reads or writes is exceeded.
    ResourceExhausted,
    /// The stand-in does not implement the call.
    Unimplemented,
}

/// JSON body of an error response.
#[derive(Debug, Serialize)]
pub struct ErrorBody {
    error: String,
    code: u32,
    message: String,
}

impl GatewayError {
    /// gRPC status code.
    #[must_use]
    pub fn code(&self) -> u32 {
        match self {
            Self::InvalidArgument(_)
            | Self::KeyMissing
            | Self::DuplicateKey
            | Self::ValueTooLarge => 3,
            Self::LeaseNotFound => 5,
            Self::LeaseExists => 9,
            Self::ResourceExhausted => 8,
            Self::Unimplemented => 12,
        }
    }

    /// HTTP status that the gateway maps the gRPC status code to.
    #[must_use]
    pub fn status(&self) -> u16 {
        match self.code() {
            5 => 404,
            8 => 429,
            12 => 501,
            _ => 400,
        }
    }

    /// JSON body, in which `error` and `message` are the same.
    #[must_use]
    pub fn body(&self) -> ErrorBody {
        ErrorBody {
            error: self.to_string(),
            code: self.code(),
            message: self.to_string(),
        }
    }
}

impl std::fmt::Display for GatewayError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let text = match self {
            Self::InvalidArgument(text) => text,
            Self::KeyMissing => "etcdserver: key is not provided",
            Self::DuplicateKey => "etcdserver: duplicate key given in txn request",
            Self::ValueTooLarge => "etcdserver: request is too large",
            Self::LeaseNotFound => "etcdserver: requested lease not found",
            Self::LeaseExists => "etcdserver: lease already exists",
            Self::ResourceExhausted => "etcdserver: resource exhausted",
            Self::Unimplemented => "Not Implemented",
        };
        formatter.write_str(text)
    }
}

impl std::error::Error for GatewayError {}
