//! Consistency of the numbered log events between their definition, the catalogue and the code that
//! logs them.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use apricotfold_model::{EventCode, event_message};

/// Guards against an event that is missing from the catalogue, or listed with a different message.
#[test]
fn listed_events() -> eyre::Result<()> {
    let page = std::fs::read_to_string(root().join("docs/events.md"))?;
    let rows = page.lines().filter(|line| line.starts_with("| AF"));
    let listed: BTreeSet<(String, String)> = rows
        .map(|row| {
            let mut cells = row
                .trim_matches('|')
                .split('|')
                .map(|cell| cell.trim().to_owned());
            (
                cells.next().unwrap_or_default(),
                cells.next().unwrap_or_default(),
            )
        })
        .collect();
    let defined: BTreeSet<(String, String)> = all_codes()
        .map(|code| (code.as_ref().to_owned(), event_message(code).to_owned()))
        .collect();
    assert_eq!(listed, defined);
    Ok(())
}

/// Guards against a defined event that no code logs.
#[test]
fn logged_events() -> eyre::Result<()> {
    let mut source = String::new();
    for folder in ["src", "crates"] {
        read_sources(&root().join(folder), &mut source)?;
    }
    let is_logged = |code: &EventCode| {
        let name = format!("{code:?}");
        let words = source.split(|character: char| !character.is_alphanumeric());
        words.filter(|word| *word == name).count() > 0
    };
    let silent: Vec<EventCode> = all_codes().filter(|code| !is_logged(code)).collect();
    assert!(silent.is_empty(), "never logged: {silent:?}");
    Ok(())
}

fn all_codes() -> impl Iterator<Item = EventCode> {
    <EventCode as strum::IntoEnumIterator>::iter()
}

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

/// Appends the sources under a folder, without tests, generated code and the event definitions.
fn read_sources(folder: &Path, source: &mut String) -> eyre::Result<()> {
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        let name = path
            .file_name()
            .unwrap_or_default()
            .to_string_lossy()
            .into_owned();
        if path.is_dir() && name != "tests" && name != "generated" {
            read_sources(&path, source)?;
        } else if path.extension().is_some_and(|ending| ending == "rs") && name != "event.rs" {
            source.push_str(&std::fs::read_to_string(&path)?);
        }
    }
    Ok(())
}
