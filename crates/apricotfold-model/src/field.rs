//! Validation errors. Each gives the field, the value found and the values allowed, so that the
//! author of the input can correct it without reading code.

use compact_str::{CompactString, ToCompactString};
use serde::de::DeserializeOwned;

/// A field with an invalid value.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct FieldError {
    /// Path of the field, such as `routes[2].cluster`.
    pub field: CompactString,
    /// Value found, or its position in the input if the value cannot be shown.
    pub value: CompactString,
    /// Description of the allowed values.
    pub expected: CompactString,
}

impl FieldError {
    /// Creates an error for a field that holds `value`; `expected` describes the allowed values.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "callers pass both numbers and strings"
    )]
    pub fn new(
        field: impl Into<CompactString>,
        value: impl ToCompactString,
        expected: impl Into<CompactString>,
    ) -> Self {
        Self {
            field: field.into(),
            value: value.to_compact_string(),
            expected: expected.into(),
        }
    }
}

impl std::fmt::Display for FieldError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "{}: found {:?}, expected {}",
            self.field, self.value, self.expected
        )
    }
}

impl std::error::Error for FieldError {}

/// All invalid fields of an input, collected so that they can be corrected in one pass.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
#[serde(transparent)]
pub struct FieldErrors(pub Vec<FieldError>);

impl FieldErrors {
    /// Adds an error.
    pub fn push(&mut self, error: FieldError) {
        self.0.push(error);
    }

    /// Adds an error unless `valid` holds.
    pub fn check(&mut self, valid: bool, error: impl FnOnce() -> FieldError) {
        if !valid {
            self.0.push(error());
        }
    }

    /// Returns `value` if no errors were collected.
    ///
    /// # Errors
    ///
    /// Returns the collected errors otherwise.
    pub fn finish<T>(self, value: T) -> Result<T, Self> {
        if self.0.is_empty() {
            return Ok(value);
        }
        Err(self)
    }
}

impl From<FieldError> for FieldErrors {
    fn from(error: FieldError) -> Self {
        Self(vec![error])
    }
}

impl std::fmt::Display for FieldErrors {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            if index > 0 {
                formatter.write_str("\n")?;
            }
            write!(formatter, "{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for FieldErrors {}

/// Parses JSON into a type whose values are not yet validated.
///
/// # Errors
///
/// Returns the position of a syntax error, or the path of the first field that is unknown or has
/// the wrong type.
pub fn parse_json<T: DeserializeOwned>(text: &str) -> Result<T, FieldError> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut reader).map_err(|error| {
        let path = error.path().to_string();
        let cause = error.into_inner();
        let position = format!("line {} column {}", cause.line(), cause.column());
        let message = cause.to_string();
        if !cause.is_data() {
            return FieldError::new(path, position, message);
        }
        let expected = message.replace(&format!(" at {position}"), "");
        let value = find_value(text, &path).unwrap_or(position);
        FieldError::new(path, value, expected)
    })?;
    reader
        .end()
        .map_err(|error| FieldError::new(".", "trailing characters", error.to_string()))?;
    Ok(value)
}

/// Length at which an invalid value is truncated in an error.
const MAX_SHOWN_CHARS: usize = 80;

/// Returns the value at a path such as `routes[2].timeout_ms`, truncated to [`MAX_SHOWN_CHARS`].
/// `None` if the path does not exist.
fn find_value(text: &str, path: &str) -> Option<String> {
    let document: serde_json::Value = serde_json::from_str(text).ok()?;
    let steps = path.split(['.', '[']).filter(|step| !step.is_empty());
    let value =
        steps
            .into_iter()
            .try_fold(&document, |value, step| match step.strip_suffix(']') {
                Some(index) => value.get(index.parse::<usize>().ok()?),
                None => value.get(step),
            })?;
    let shown = match value {
        serde_json::Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    Some(shown.chars().take(MAX_SHOWN_CHARS).collect())
}
