//! Protobuf JSON field encodings: base64 for bytes, strings for 64-bit integers.

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

/// Serde codec for bytes as base64. As in protobuf JSON, decoding accepts the standard and the
/// URL-safe alphabet, with or without padding.
pub mod base64_bytes {
    use base64::Engine as _;

    use super::{
        Bytes, Deserialize as _, Deserializer, STANDARD, Serializer, URL_SAFE, Unexpected,
    };

    /// Encodes with the standard alphabet and padding.
    ///
    /// # Errors
    ///
    /// Returns the serializer's error.
    pub fn serialize<S: Serializer>(bytes: &Bytes, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(bytes))
    }

    /// Decodes either alphabet.
    ///
    /// # Errors
    ///
    /// Returns an error if the string is not valid base64.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Bytes, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD
            .decode(&text)
            .or_else(|_| URL_SAFE.decode(&text))
            .map(Bytes::from)
            .map_err(|_| serde::de::Error::invalid_value(Unexpected::Str(&text), &"base64"))
    }
}

/// Serde codec for 64-bit integers as strings. As in protobuf JSON, decoding also accepts numbers.
pub mod int64 {
    use super::{Deserialize, Deserializer, Display, Serializer};

    #[derive(Deserialize)]
    #[serde(untagged)]
    enum NumberOrText {
        Number(i64),
        Text(String),
    }

    /// Encodes as a decimal string.
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

    /// Decodes a decimal string or a number.
    ///
    /// # Errors
    ///
    /// Returns an error if the value is not a 64-bit integer.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<i64, D::Error> {
        match NumberOrText::deserialize(deserializer)? {
            NumberOrText::Number(number) => Ok(number),
            NumberOrText::Text(text) => text.parse().map_err(serde::de::Error::custom),
        }
    }
}
