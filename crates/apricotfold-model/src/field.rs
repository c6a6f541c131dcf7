//! Errors of checked input. Each names the field, the value and what was expected, so that the
//! person who wrote the input can correct it without reading code.

use compact_str::{CompactString, ToCompactString};
use serde::de::DeserializeOwned;

/// One field that does not hold an allowed value.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct FieldError {
    /// Path of the field, such as `routes[2].cluster`.
    pub field: CompactString,
    /// The value found.
    pub value: CompactString,
    /// What would have been accepted.
    pub expected: CompactString,
}

impl FieldError {
    /// Describes a field that holds `value` although `expected` was wanted.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "callers pass numbers and texts alike"
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

/// All wrong fields of one input, so that they can be corrected in one pass.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize)]
#[serde(transparent)]
pub struct FieldErrors(pub Vec<FieldError>);

impl FieldErrors {
    /// Adds one wrong field.
    pub fn push(&mut self, error: FieldError) {
        self.0.push(error);
    }

    /// Adds an error unless `valid` holds.
    pub fn check(&mut self, valid: bool, error: impl FnOnce() -> FieldError) {
        if !valid {
            self.0.push(error());
        }
    }

    /// Returns `value` when no field was wrong.
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

/// Reads JSON into a raw type.
///
/// # Errors
///
/// Returns the path of the first field that is unknown or has the wrong type.
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

/// Longest part of a wrong value that is shown.
const MAX_SHOWN_CHARS: usize = 80;

/// Finds the value at a path such as `routes[2].timeout_ms`.
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
