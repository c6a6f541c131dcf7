//! Hash function with the same result on every node and in every build.

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Hashes the parts with 64-bit FNV-1a and mixes the result, because the digest's buckets and the
/// ring depend on single bits of it. The standard library's hashers are not used, because they may
/// change between versions while nodes of different builds must agree.
pub(crate) fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut hash = FNV_OFFSET_BASIS;
    for part in parts {
        for byte in (part.len() as u64).to_le_bytes().iter().chain(*part) {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^ (hash >> 33)
}
