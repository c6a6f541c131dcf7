//! Recognises equal requests, so that one which crashes targets can be stopped.

use apricotfold_policy::RequestFingerprint;
use bytes::Bytes;
use http::Method;
use sha2::{Digest, Sha256};

/// Bytes of the digest that are kept: enough to tell the requests of minutes apart.
const DIGEST_BYTES: usize = 16;

/// Digest over what is equal when the same caller sends the same request again.
pub fn fingerprint(
    method: &Method,
    path: &str,
    caller_service: &str,
    body: &Bytes,
) -> RequestFingerprint {
    let mut digest = Sha256::new();
    for part in [method.as_str(), path, caller_service] {
        digest.update(part);
        digest.update([0]);
    }
    digest.update(body);
    hex::encode(&digest.finalize()[..DIGEST_BYTES]).into()
}
