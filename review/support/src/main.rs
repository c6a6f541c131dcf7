//! Drivers of the cases: `review-case NAME FOLDER`. Each exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run.

mod answer_stream;
mod client;
mod drain_pipeline;
mod http;
mod json;
mod late_beats;
mod link;
mod lost_watch;
mod node;
mod record;
mod store;
mod upstream;

use record::Record;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = arguments.as_slice() else {
        node::cannot_run("usage: review-case NAME FOLDER");
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(&format!("{folder}/record.txt"));
    record.say(&format!("case {name}, trouble {trouble}"));
    let broken = match name.as_str() {
        "drain-pipeline" => drain_pipeline::run(trouble, &record),
        "stream-close" => answer_stream::run_close(trouble, &record),
        "stream-cut" => answer_stream::run_cut(trouble, &record),
        "late-beats" => late_beats::run(trouble, &record),
        "lost-watch" => lost_watch::run(trouble, &record),
        _ => node::cannot_run("no such case"),
    };
    record.say(if broken {
        "the rule was broken"
    } else {
        "the rule held"
    });
    std::process::exit(i32::from(broken));
}
