//! Compressed JSON, in which nodes send each other large values.

use std::io::{Read, Write};

use apricotfold_model::parse_json;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest decompressed value. Tables in the store are smaller than 1 MiB, and one with named fields
/// is up to a few times as long.
const MAX_DECOMPRESSED_BYTES: u64 = 16 * 1024 * 1024;

/// Compresses the JSON form of a value; the result is text.
pub fn compress(value: &impl Serialize) -> String {
    let text = serde_json::to_vec(value).expect("types of this crate can always be serialised");
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::default());
    let compressed = encoder.write_all(&text).and_then(|()| encoder.finish());
    STANDARD.encode(compressed.expect("writing to memory cannot fail"))
}

/// Reads a value written by [`compress`].
///
/// # Errors
///
/// Returns an error if the data is damaged. A text above the size limit is truncated, so that it
/// cannot be parsed.
pub fn decompress<T: DeserializeOwned>(compressed: &str) -> eyre::Result<T> {
    let bytes = STANDARD.decode(compressed)?;
    let mut text = String::new();
    ZlibDecoder::new(bytes.as_slice())
        .take(MAX_DECOMPRESSED_BYTES)
        .read_to_string(&mut text)?;
    Ok(parse_json(&text)?)
}
