//! Validation of profiles, one case per file. A case has a profile or raw text, and the invalid
//! fields that must be reported.

use std::path::Path;

use apricotfold_model::{FieldError, ProfileBundle};
use serde::Deserialize;
use serde_json::Value;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ProfileCase {
    #[serde(default)]
    profile: Value,
    /// Raw text used instead of `profile`, for input that is not valid JSON.
    text: Option<String>,
    /// Length to which the path of the first route is padded, for a profile too large to be
    /// committed.
    pad_path_to: Option<usize>,
    wrong: Vec<WrongField>,
}

#[derive(Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
struct WrongField {
    field: String,
    value: String,
    expected: String,
}

impl From<&FieldError> for WrongField {
    fn from(error: &FieldError) -> Self {
        Self {
            field: error.field.to_string(),
            value: error.value.to_string(),
            expected: error.expected.to_string(),
        }
    }
}

impl ProfileCase {
    fn into_text(mut self) -> String {
        if let Some(text) = self.text {
            return text;
        }
        if let Some(length) = self.pad_path_to {
            self.profile["routes"][0]["path_prefix"] = format!("/{}", "a".repeat(length)).into();
        }
        self.profile.to_string()
    }
}

/// Guards against an invalid profile that is accepted, a valid one that is rejected, and an error
/// that omits an invalid field or names the wrong one.
fn check_case(path: &Path) -> datatest_stable::Result<()> {
    let mut case: ProfileCase = serde_json::from_str(&std::fs::read_to_string(path)?)?;
    let wrong = std::mem::take(&mut case.wrong);
    let result = ProfileBundle::parse(&case.into_text());
    let found: Vec<WrongField> = match &result {
        Ok(_) => Vec::new(),
        Err(errors) => errors.0.iter().map(WrongField::from).collect(),
    };
    assert_eq!(found, wrong);
    Ok(())
}

/// Guards against invalid example profiles in the guide, and against a canonical form that changes
/// when it is parsed again.
fn check_example(path: &Path) -> datatest_stable::Result<()> {
    let bundle = ProfileBundle::parse(&std::fs::read_to_string(path)?)?;
    assert_eq!(ProfileBundle::verify(&bundle.json, &bundle.digest)?, bundle);
    Ok(())
}

datatest_stable::harness! {
    { test = check_case, root = "tests/profiles", pattern = r"\.json$" },
    { test = check_example, root = "guide/examples", pattern = r"\.json$" },
}
