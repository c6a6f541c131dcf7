//! Refusals of calls, with the codes and texts of the published protocol.

use serde::Serialize;

/// Largest size of a value in bytes.
pub const MAX_VALUE_BYTES: usize = 1_048_576;

/// Why a call is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GatewayError {
    /// The request is malformed or asks for something that the store does not offer.
    InvalidArgument(String),
    /// A key is empty.
    KeyMissing,
    /// A transaction writes a key twice.
    DuplicateKey,
    /// A value exceeds [`MAX_VALUE_BYTES`].
    ValueTooLarge,
    /// The lease does not exist.
    LeaseNotFound,
    /// The wanted lease id is in use.
    LeaseExists,
    /// The rate limit of reads or writes is used up.
    ResourceExhausted,
    /// The call is not part of the stand-in.
    Unimplemented,
}

/// Body of a refusal.
#[derive(Debug, Serialize)]
pub struct ErrorBody {
    error: String,
    code: u32,
    message: String,
}

impl GatewayError {
    /// Code of the published protocol.
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

    /// HTTP status that belongs to the code.
    #[must_use]
    pub fn status(&self) -> u16 {
        match self.code() {
            5 => 404,
            8 => 429,
            12 => 501,
            _ => 400,
        }
    }

    /// Body of the answer.
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
