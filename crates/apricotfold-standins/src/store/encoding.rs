//! Field encodings of the gateway's JSON: base64 for bytes and strings for 64-bit numbers.

use std::fmt::Display;

use base64::alphabet;
use base64::engine::{DecodePaddingMode, GeneralPurpose, GeneralPurposeConfig};
use bytes::Bytes;
use serde::de::Unexpected;
use serde::{Deserialize, Deserializer, Serializer};

const PADDING_OPTIONAL: GeneralPurposeConfig =
    GeneralPurposeConfig::new().with_decode_padding_mode(DecodePaddingMode::Indifferent);
const STANDARD: GeneralPurpose = GeneralPurpose::new(&alphabet::STANDARD, PADDING_OPTIONAL);
const URL_SAFE: GeneralPurpose = GeneralPurpose::new(&alphabet::URL_SAFE, PADDING_OPTIONAL);

/// Bytes as base64. Proto JSON readers accept both alphabets, with and without padding.
pub mod base64_bytes {
    use base64::Engine as _;

    use super::{
        Bytes, Deserialize as _, Deserializer, STANDARD, Serializer, URL_SAFE, Unexpected,
    };

    /// Writes the standard alphabet with padding.
    ///
    /// # Errors
    ///
    /// Returns the serializer's error.
    pub fn serialize<S: Serializer>(bytes: &Bytes, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(bytes))
    }

    /// Reads either alphabet.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not base64.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Bytes, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD
            .decode(&text)
            .or_else(|_| URL_SAFE.decode(&text))
            .map(Bytes::from)
            .map_err(|_| serde::de::Error::invalid_value(Unexpected::Str(&text), &"base64"))
    }
}

/// 64-bit numbers as strings. Proto JSON readers accept numbers, too.
pub mod int64 {
    use super::{Deserialize, Deserializer, Display, Serializer};

    #[derive(Deserialize)]
    #[serde(untagged)]
    enum NumberOrText {
        Number(i64),
        Text(String),
    }

    /// Writes a string.
    ///
    /// # Errors
    ///
    /// Returns the serializer's error.
    pub fn serialize<T: Display, S: Serializer>(
        number: &T,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_str(number)
    }

    /// Reads a string or a number.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a 64-bit number.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<i64, D::Error> {
        match NumberOrText::deserialize(deserializer)? {
            NumberOrText::Number(number) => Ok(number),
            NumberOrText::Text(text) => text.parse().map_err(serde::de::Error::custom),
        }
    }
}
