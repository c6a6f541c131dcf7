//! Transactions on a [`KeySpace`]: evaluates all comparisons, then applies one branch atomically.

use std::cmp::Ordering;

use bytes::Bytes;

use super::error::GatewayError;
use super::key_range::KeyRange;
use super::key_space::{KeySpace, check_delete, check_range};
use super::message::{
    Compare, CompareResult, CompareTarget, KeyEntry, RequestOp, ResponseOp, Revision, TxnRequest,
    TxnResponse,
};

/// Maximum number of comparisons, and of operations per branch, in the published protocol.
const MAX_TXN_OPS: usize = 128;

impl KeySpace {
    /// Runs the branch that the comparisons select. If any operation is invalid, nothing changes.
    ///
    /// # Errors
    ///
    /// Returns an error if there are too many comparisons or operations, if a branch modifies a key
    /// more than once, or if an operation would be rejected on its own.
    pub fn txn(&mut self, request: &TxnRequest) -> Result<TxnResponse, GatewayError> {
        check_size(request)?;
        check_compares(request)?;
        check_branch(&request.success)?;
        check_branch(&request.failure)?;
        let succeeded = request
            .compare
            .iter()
            .all(|compare| self.comparison_holds(compare));
        let branch = if succeeded {
            &request.success
        } else {
            &request.failure
        };
        for operation in branch {
            if let RequestOp::Put(put) = operation {
                self.check_put(put)?;
            }
        }
        let revision = self.revision() + 1;
        let responses = branch
            .iter()
            .map(|operation| self.apply(operation, revision))
            .collect::<Result<_, _>>()?;
        self.finish_changes(revision);
        Ok(TxnResponse {
            header: self.header(),
            succeeded,
            responses,
        })
    }

    fn apply(
        &mut self,
        operation: &RequestOp,
        revision: Revision,
    ) -> Result<ResponseOp, GatewayError> {
        match operation {
            RequestOp::Range(range) => self.range(range).map(ResponseOp::Range),
            RequestOp::Put(put) => Ok(ResponseOp::Put(self.apply_put(put, revision))),
            RequestOp::DeleteRange(delete) => {
                Ok(ResponseOp::DeleteRange(self.apply_delete(delete, revision)))
            }
        }
    }

    fn comparison_holds(&self, compare: &Compare) -> bool {
        let range = KeyRange::new(&compare.key, &compare.range_end);
        let entries = self.select(&range);
        if !entries.is_empty() {
            return entries
                .iter()
                .all(|entry| comparison_holds_for(entry, compare));
        }
        // In the protocol, the fields of a missing key compare as zero, but a comparison of its value
        // never holds.
        compare.target != CompareTarget::Value
            && comparison_holds_for(&KeyEntry::default(), compare)
    }
}

fn comparison_holds_for(entry: &KeyEntry, compare: &Compare) -> bool {
    let order = match compare.target {
        CompareTarget::Version => entry.version.cmp(&compare.version),
        CompareTarget::Create => entry.create_revision.cmp(&compare.create_revision),
        CompareTarget::Mod => entry.mod_revision.cmp(&compare.mod_revision),
        CompareTarget::Value => entry.value.cmp(&compare.value),
        CompareTarget::Lease => entry.lease.cmp(&compare.lease),
    };
    match compare.result {
        CompareResult::Equal => order == Ordering::Equal,
        CompareResult::Greater => order == Ordering::Greater,
        CompareResult::Less => order == Ordering::Less,
        CompareResult::NotEqual => order != Ordering::Equal,
    }
}

fn check_compares(request: &TxnRequest) -> Result<(), GatewayError> {
    let has_no_key = |compare: &Compare| compare.key.is_empty() && compare.range_end.is_empty();
    if request.compare.iter().any(has_no_key) {
        return Err(GatewayError::KeyMissing);
    }
    Ok(())
}

fn check_size(request: &TxnRequest) -> Result<(), GatewayError> {
    let largest = request
        .compare
        .len()
        .max(request.success.len())
        .max(request.failure.len());
    if largest > MAX_TXN_OPS {
        let text = "etcdserver: too many operations in txn request";
        return Err(GatewayError::InvalidArgument(text.to_owned()));
    }
    Ok(())
}

/// Rejects invalid reads and deletes, and a branch that modifies a key more than once, since its
/// result would depend on the order of the operations.
fn check_branch(branch: &[RequestOp]) -> Result<(), GatewayError> {
    let mut puts: Vec<&Bytes> = Vec::new();
    let mut deletes: Vec<KeyRange> = Vec::new();
    for operation in branch {
        match operation {
            RequestOp::Range(range) => check_range(range)?,
            RequestOp::Put(put) => puts.push(&put.key),
            RequestOp::DeleteRange(delete) => {
                check_delete(delete)?;
                deletes.push(KeyRange::new(&delete.key, &delete.range_end));
            }
        }
    }
    let is_deleted = |key: &Bytes| deletes.iter().any(|range| range.contains(key));
    let count = puts.len();
    let overlap = puts.iter().any(|key| is_deleted(key));
    puts.sort_unstable();
    puts.dedup();
    if overlap || puts.len() < count {
        return Err(GatewayError::DuplicateKey);
    }
    Ok(())
}
