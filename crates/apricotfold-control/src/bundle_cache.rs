//! Cache of the compressed bundles of recent candidates and heads. A head that follows its
//! candidate is sent without the bundle, because the nodes have already received it with the
//! candidate.

use std::collections::VecDeque;

use apricotfold_model::BundleDigest;
use apricotfold_schema::peer::{HeadBody, Record, RecordKind};
use bytes::Bytes;
use prost::Message;

use crate::{RecordBody, RecordKey, record_body::split_id};

/// Total size above which the oldest bundles are evicted; the node's memory limit is 32 MB.
const MAX_BYTES: usize = 4 * 1024 * 1024;
const MAX_BUNDLES: usize = 16;

/// Compressed bundles by digest, oldest first.
#[derive(Debug, Default)]
pub(crate) struct BundleCache {
    bundles: VecDeque<(BundleDigest, Bytes)>,
}

impl BundleCache {
    /// Adds the bundle of a candidate or head and evicts the oldest ones above the limits.
    pub(crate) fn insert_bundle(&mut self, body: &RecordBody) {
        let (digest, bundle) = match body {
            RecordBody::Candidate(body) => (&body.digest, &body.bundle),
            RecordBody::Head(body) => (&body.digest, &body.bundle),
            _ => return,
        };
        if bundle.is_empty() || self.find(digest).is_some() {
            return;
        }
        self.bundles
            .push_back((digest.as_str().into(), bundle.clone()));
        while self.bundles.len() > MAX_BUNDLES || self.size() > MAX_BYTES {
            self.bundles.pop_front();
        }
    }

    fn size(&self) -> usize {
        self.bundles.iter().map(|(_, bundle)| bundle.len()).sum()
    }

    pub(crate) fn find(&self, digest: &str) -> Option<&Bytes> {
        let mut bundles = self.bundles.iter();
        bundles
            .find(|(known, _)| known == digest)
            .map(|(_, bundle)| bundle)
    }

    /// Restores the bundle of a head that was received without it. Returns the record's key if the
    /// bundle is not cached and the whole record has to be pulled.
    pub(crate) fn restore_bundle(&self, record: &mut Record) -> Result<(), RecordKey> {
        let Some((key, _)) = record.id.as_ref().and_then(split_id) else {
            return Ok(());
        };
        if key.kind != RecordKind::Head || record.removed {
            return Ok(());
        }
        let Ok(mut body) = HeadBody::decode(record.body.clone()) else {
            return Ok(());
        };
        if body.withdrawn || !body.bundle.is_empty() {
            return Ok(());
        }
        let Some(bundle) = self.find(&body.digest) else {
            return Err(key);
        };
        body.bundle = bundle.clone();
        record.body = body.encode_to_vec().into();
        Ok(())
    }
}

/// Removes the bundle from an encoded head.
pub(crate) fn strip_bundle(record: &mut Record, body: &HeadBody) {
    let stripped = HeadBody {
        bundle: Bytes::new(),
        ..body.clone()
    };
    record.body = stripped.encode_to_vec().into();
}
