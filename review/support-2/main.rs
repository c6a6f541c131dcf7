//! Runs one case of the review. Usage: `harness CASE RECORD`, in the root of the repository.
//!
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With `TROUBLE=0` in
//! the environment, the case runs without its disruption.

mod http;
mod json;
mod mesh;
mod node;
mod record;
mod store;
mod upstream;

mod changed_settings;
mod foreign_beats;
mod lost_versions;
mod many_slashes;
mod unread_answers;

use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

/// Result of a case: whether the rule was broken, or why the case could not run.
pub type Verdict = Result<bool, String>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: harness CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::create(path));
    record.tell(&format!("case {case}, disruption {trouble}"));
    let verdict = match case.as_str() {
        "unread-answers" => unread_answers::run(&record, trouble),
        "foreign-beats" => foreign_beats::run(&record, trouble),
        "changed-settings" => changed_settings::run(&record, trouble),
        "lost-versions" => lost_versions::run(&record, trouble),
        "many-slashes" => many_slashes::run(&record, trouble),
        _ => Err("no such case".to_owned()),
    };
    let (text, code) = match verdict {
        Ok(true) => ("the rule was broken".to_owned(), 1),
        Ok(false) => ("the rule held".to_owned(), 0),
        Err(cause) => (format!("the case could not run: {cause}"), 2),
    };
    record.tell(&text);
    record.flush();
    ExitCode::from(code)
}
