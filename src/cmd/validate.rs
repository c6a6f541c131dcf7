//! `apricotfold validate FILE...`

use apricotfold::{CommandError, ErrorDetail, ExitKind};
use apricotfold_model::{FieldError, FieldErrors, ProfileBundle};
use compact_str::CompactString;
use serde::Serialize;
use serde_json::json;

use super::output::{CommandReport, error_document};
use super::read_file;

/// Validation result of one file.
#[derive(Serialize)]
struct FileReport<'a> {
    file: &'a CompactString,
    valid: bool,
    profile: Option<CompactString>,
    digest: Option<CompactString>,
    fields: FieldErrors,
}

impl FileReport<'_> {
    fn line(&self) -> String {
        if self.valid {
            return format!("{}: valid", self.file);
        }
        let lines = self.fields.0.iter();
        let lines: Vec<String> = lines
            .map(|error| format!("{}: {error}", self.file))
            .collect();
        lines.join("\n")
    }
}

/// Validates every file, even after an invalid one.
pub fn run(files: &[CompactString]) -> CommandReport {
    let reports: Vec<FileReport> = files.iter().map(check_file).collect();
    let lines: Vec<String> = reports.iter().map(FileReport::line).collect();
    let wrong = reports.iter().filter(|report| !report.valid).count();
    let mut document = json!({"files": reports});
    if wrong == 0 {
        return CommandReport::done(lines.join("\n"), document);
    }
    let message = format!("{wrong} of {} files are invalid", reports.len());
    document["error"] = error_document(&CommandError::bad_input(message));
    CommandReport::with_exit(ExitKind::BadInput, lines.join("\n"), document)
}

fn check_file(file: &CompactString) -> FileReport<'_> {
    match read_profile(file) {
        Ok(bundle) => FileReport {
            file,
            valid: true,
            profile: Some(bundle.profile.name),
            digest: Some(bundle.digest),
            fields: FieldErrors::default(),
        },
        Err(error) => FileReport {
            file,
            valid: false,
            profile: None,
            digest: None,
            fields: match error.detail {
                ErrorDetail::Fields { fields, .. } => fields,
                _ => FieldError::new(".", "", error.message).into(),
            },
        },
    }
}

/// Reads and validates the profile in a file.
pub fn read_profile(file: &CompactString) -> Result<ProfileBundle, CommandError> {
    let text = read_file(file)?;
    ProfileBundle::parse(&text).map_err(|fields| {
        let count = fields.0.len();
        let message = format!("{file}: not a valid profile, invalid fields: {count}");
        CommandError::bad_input(message).with_detail(ErrorDetail::Fields {
            file: file.clone(),
            fields,
        })
    })
}
