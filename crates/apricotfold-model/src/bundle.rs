//! The stored and transmitted form of a published profile version: canonical JSON, addressed by its
//! SHA-256 digest.

use std::io::{Read, Write};

use apricotfold_schema::settings::ProfileSpec;
use compact_str::{CompactString, format_compact};
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use sha2::{Digest, Sha256};

use crate::{BundleDigest, FieldError, FieldErrors, MeshProfile, parse_json};

/// Maximum size of a bundle's canonical JSON in bytes. The store accepts values up to one megabyte,
/// and the request that carries the value adds some text around it.
pub const MAX_BUNDLE_BYTES: usize = 1_000_000;

/// An immutable, validated version of a profile, including everything that its routes reference.
#[derive(Clone, Debug, PartialEq)]
pub struct ProfileBundle {
    /// The validated profile, parsed from `json`.
    pub profile: MeshProfile,
    /// SHA-256 digest of `json`.
    pub digest: BundleDigest,
    /// Canonical JSON of the profile, at most [`MAX_BUNDLE_BYTES`] long.
    pub json: String,
}

/// Reasons for rejecting the bytes of a bundle.
#[derive(Debug)]
pub enum BundleError {
    /// The bytes are not valid Deflate data, or do not decompress to UTF-8.
    Compression(std::io::Error),
    /// The decompressed bytes exceed [`MAX_BUNDLE_BYTES`].
    TooLarge,
    /// The digest of the content does not match the expected digest.
    Digest {
        /// The digest that identifies the requested bundle.
        expected: BundleDigest,
        /// The digest computed from the content.
        found: BundleDigest,
    },
    /// The content does not describe a valid profile.
    Fields(FieldErrors),
}

impl std::fmt::Display for BundleError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Compression(error) => write!(formatter, "bundle cannot be decompressed: {error}"),
            Self::TooLarge => write!(formatter, "bundle exceeds {MAX_BUNDLE_BYTES} bytes"),
            Self::Digest { expected, found } => {
                write!(formatter, "bundle has digest {found}, expected {expected}")
            }
            Self::Fields(errors) => write!(formatter, "{errors}"),
        }
    }
}

impl std::error::Error for BundleError {}

impl ProfileBundle {
    /// Parses and validates a profile from JSON text and converts it to canonical form.
    ///
    /// # Errors
    ///
    /// Returns a syntax or type error, or every invalid field, or the size if the bundle exceeds
    /// [`MAX_BUNDLE_BYTES`].
    pub fn parse(text: &str) -> Result<Self, FieldErrors> {
        if text.trim_start().starts_with('[') {
            // Serde's derived deserializer would accept an array as a sequence of field values.
            return Err(FieldError::new(".", "a list", "an object").into());
        }
        let spec: ProfileSpec = parse_json(text)?;
        Self::try_from(spec)
    }

    /// Compresses the canonical JSON with Deflate for transmission between nodes.
    ///
    /// # Panics
    ///
    /// Never panics, because writing to an in-memory buffer cannot fail.
    #[must_use]
    pub fn compress(&self) -> Vec<u8> {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
        encoder
            .write_all(self.json.as_bytes())
            .and_then(|()| encoder.finish())
            .expect("writing to memory cannot fail")
    }

    /// Decompresses and validates the output of [`compress`](Self::compress). Decompression stops
    /// just above [`MAX_BUNDLE_BYTES`], so that a small input cannot expand without limit.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid bundle with the given digest.
    pub fn expand(bytes: &[u8], digest: &str) -> Result<Self, BundleError> {
        let limit = MAX_BUNDLE_BYTES as u64 + 1;
        let mut json = String::new();
        DeflateDecoder::new(bytes)
            .take(limit)
            .read_to_string(&mut json)
            .map_err(BundleError::Compression)?;
        if json.len() > MAX_BUNDLE_BYTES {
            return Err(BundleError::TooLarge);
        }
        Self::verify(&json, digest)
    }

    /// Validates JSON that was read from the store under the given digest.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a valid bundle with the given digest.
    pub fn verify(json: &str, digest: &str) -> Result<Self, BundleError> {
        let found = digest_of(json);
        if found != digest {
            return Err(BundleError::Digest {
                expected: digest.into(),
                found,
            });
        }
        Self::parse(json).map_err(BundleError::Fields)
    }
}

impl TryFrom<ProfileSpec> for ProfileBundle {
    type Error = FieldErrors;

    fn try_from(spec: ProfileSpec) -> Result<Self, Self::Error> {
        let json = serde_json::to_string(&spec).expect("a profile always serializes to JSON");
        if json.len() > MAX_BUNDLE_BYTES {
            let size = format_compact!("{} bytes", json.len());
            let expected = format_compact!("at most {MAX_BUNDLE_BYTES} bytes of JSON");
            return Err(FieldError::new(".", size, expected).into());
        }
        let digest = digest_of(&json);
        let profile = MeshProfile::try_from(spec)?;
        Ok(Self {
            profile,
            digest,
            json,
        })
    }
}

fn digest_of(json: &str) -> CompactString {
    hex::encode(Sha256::digest(json.as_bytes())).into()
}
