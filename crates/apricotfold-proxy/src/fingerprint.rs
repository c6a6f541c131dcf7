//! Fingerprints of requests, which identify requests that crash targets.

use apricotfold_policy::RequestFingerprint;
use http::Method;
use sha2::{Digest, Sha256};

use crate::callers::body_pieces::BodyPieces;

/// Length of the truncated digest, enough to distinguish the requests of several minutes.
const DIGEST_BYTES: usize = 16;

/// Returns a digest of everything that stays the same when a caller sends a request again.
pub fn fingerprint(
    method: &Method,
    path: &str,
    caller_service: &str,
    body: &BodyPieces,
) -> RequestFingerprint {
    let mut digest = Sha256::new();
    for part in [method.as_str(), path, caller_service] {
        digest.update(part);
        digest.update([0]);
    }
    for piece in body.iter() {
        digest.update(piece);
    }
    hex::encode(&digest.finalize()[..DIGEST_BYTES]).into()
}
