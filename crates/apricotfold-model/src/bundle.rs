//! A published version as it is stored and sent: canonical JSON, addressed by its digest.

use std::io::{Read, Write};

use apricotfold_schema::settings::ProfileSpec;
use compact_str::{CompactString, format_compact};
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use sha2::{Digest, Sha256};

use crate::{BundleDigest, FieldError, FieldErrors, MeshProfile, parse_json};

/// Largest bundle in bytes. The store holds values up to one megabyte, and a request carries some
/// text around the value.
pub const MAX_BUNDLE_BYTES: usize = 1_000_000;

/// An immutable, checked version of a profile with everything that its routes name.
#[derive(Clone, Debug, PartialEq)]
pub struct ProfileBundle {
    /// The checked profile.
    pub profile: MeshProfile,
    /// Digest of `json`.
    pub digest: BundleDigest,
    /// Canonical JSON of the profile.
    pub json: String,
}

/// Why bytes are not a bundle.
#[derive(Debug)]
pub enum BundleError {
    /// The compressed bytes could not be expanded.
    Compression(std::io::Error),
    /// The expanded bytes exceed [`MAX_BUNDLE_BYTES`].
    TooLarge,
    /// The content has another digest than was promised.
    Digest {
        /// The promised digest.
        expected: BundleDigest,
        /// The digest of the content.
        found: BundleDigest,
    },
    /// The profile inside is not valid.
    Fields(FieldErrors),
}

impl std::fmt::Display for BundleError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Compression(error) => write!(formatter, "bundle cannot be expanded: {error}"),
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
    /// Reads a profile from JSON text and brings it into canonical form.
    ///
    /// # Errors
    ///
    /// Returns every wrong field, or the size when the bundle exceeds [`MAX_BUNDLE_BYTES`].
    pub fn parse(text: &str) -> Result<Self, FieldErrors> {
        if text.trim_start().starts_with('[') {
            // The generated type would accept a list as an object without field names.
            return Err(FieldError::new(".", "a list", "an object").into());
        }
        let spec: ProfileSpec = parse_json(text)?;
        Self::try_from(spec)
    }

    /// Compresses the canonical JSON for the way between nodes.
    ///
    /// # Panics
    ///
    /// Never: writing into memory does not fail.
    #[must_use]
    pub fn compress(&self) -> Vec<u8> {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
        encoder
            .write_all(self.json.as_bytes())
            .and_then(|()| encoder.finish())
            .expect("writing into memory does not fail")
    }

    /// Expands and checks bytes from [`compress`](Self::compress).
    ///
    /// # Errors
    ///
    /// Returns why the bytes are not the bundle with the given digest.
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

    /// Checks JSON that was read from the store under the given digest.
    ///
    /// # Errors
    ///
    /// Returns why the text is not the bundle with the given digest.
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
        let json = serde_json::to_string(&spec).expect("a profile always has a JSON form");
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
