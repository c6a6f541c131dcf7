//! Fingerprints of requests, by which a request that crashes targets is recognised and blocked.

use apricotfold_model::headers;
use apricotfold_policy::RequestFingerprint;
use sha2::{Digest, Sha256};

use crate::forward::BufferedRequest;

/// Returns a digest over method, path and body; an idempotency key takes the place of the body.
pub fn fingerprint(request: &BufferedRequest) -> RequestFingerprint {
    let mut digest = Sha256::new();
    digest.update(request.method.as_str());
    digest.update([0]);
    digest.update(&request.path);
    digest.update([0]);
    match request.headers.get(headers::IDEMPOTENCY_KEY) {
        Some(key) => digest.update(key.as_bytes()),
        None => digest.update(&request.body),
    }
    hex::encode(&digest.finalize()[..16]).into()
}
