//! Stores raw results and renders the report page from them.

use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::fs;
use std::path::Path;

use eyre::WrapErr as _;
use strum::IntoEnumIterator as _;

use crate::Benchmark;
use crate::plot;
use crate::results::BenchmarkResults;

const RESULTS: &str = "docs/results";
const PLOTS: &str = "docs/plots";
const PAGE: &str = "docs/REPORT.md";
/// Findings written by hand, which are appended to the page.
const FINDINGS: &str = "docs/results/findings.md";

const INTRODUCTION: &str = "\
# Measurements of the call path

`apricotfold-bench` writes this page from docs/results; edit docs/results/findings.md instead. Real processes run on one machine
over loopback, and load is open-loop: arrivals are fixed before the start, and latency counts from the
planned arrival. Targets apply to the policy `least-latency`; the other policies are baselines. Load
averages include the benchmark's own processes, except the one at the start. Figures marked as trials were
taken on a busy machine or with short loads and do not decide whether a target is met.

Common to all benchmarks: configuration reaches the nodes by `distribution: \"store-watch\"`; each node has
one worker thread and logs every decision to a file. The delay of 1 ms between data centres is left out: a
link is in front of one target and cannot tell callers of its own data centre from others. For the same
reason, the limit of 30 Mbit/s applies to each node of the second region and is not shared.
";

/// Writes the raw results and the plots of a benchmark.
///
/// # Errors
///
/// Returns an error if a file cannot be written.
pub fn save(results: &BenchmarkResults) -> eyre::Result<()> {
    fs::create_dir_all(RESULTS)?;
    fs::create_dir_all(PLOTS)?;
    let path = Path::new(RESULTS).join(format!("{}.json", results.measure));
    fs::write(&path, serde_json::to_string_pretty(results)? + "\n")
        .wrap_err_with(|| format!("writing {}", path.display()))?;
    for data in &results.plots {
        plot::draw(data, &Path::new(PLOTS).join(format!("{}.svg", data.file)))?;
    }
    Ok(())
}

/// Renders the page from the stored results of all benchmarks.
///
/// # Errors
///
/// Returns an error if stored results are invalid or the page cannot be written.
pub fn write_page() -> eyre::Result<()> {
    let mut page = INTRODUCTION.to_owned();
    for benchmark in Benchmark::iter() {
        let path = Path::new(RESULTS).join(format!("{benchmark}.json"));
        let Ok(text) = fs::read_to_string(&path) else {
            write!(page, "\n## {benchmark}\n\nNot measured yet.\n")?;
            continue;
        };
        let results: BenchmarkResults =
            serde_json::from_str(&text).wrap_err_with(|| format!("reading {}", path.display()))?;
        add_section(&mut page, &results)?;
    }
    if let Ok(findings) = fs::read_to_string(FINDINGS) {
        write!(page, "\n## Findings\n\n{findings}")?;
    }
    fs::write(PAGE, page).wrap_err("writing docs/REPORT.md")
}

fn add_section(page: &mut String, results: &BenchmarkResults) -> std::fmt::Result {
    let conditions = &results.conditions;
    let build = if conditions.release {
        "release"
    } else {
        "debug"
    };
    writeln!(page, "\n## {}\n\n{}\n", results.measure, results.setup)?;
    if !results.trial.is_empty() {
        writeln!(page, "**Trial**: {}.\n", results.trial)?;
    }
    writeln!(
        page,
        "{}, commit {}, {build} build, {} cores, {} GiB, load average {:.2} at the start.\n\
         Rerun: `{}`\n",
        conditions.date,
        conditions.commit,
        conditions.cores,
        conditions.memory_gib,
        conditions.load_average,
        results.command
    )?;
    add_verdicts(page, results)?;
    let deployments: BTreeSet<&str> = results.rows.iter().map(|row| &*row.deployment).collect();
    for deployment in deployments {
        add_table(page, results, deployment)?;
    }
    for plot in &results.plots {
        writeln!(page, "![{}](plots/{}.svg)\n", plot.title, plot.file)?;
    }
    Ok(())
}

fn add_verdicts(page: &mut String, results: &BenchmarkResults) -> std::fmt::Result {
    writeln!(
        page,
        "| deployment | target | measured | met |\n|---|---|---|---|"
    )?;
    for verdict in &results.verdicts {
        let met = match (verdict.met, results.trial.is_empty()) {
            (true, true) => "yes",
            (false, true) => "**no**",
            (true, false) => "yes (trial)",
            (false, false) => "no (trial)",
        };
        let (deployment, target) = (&verdict.deployment, &verdict.target);
        writeln!(
            page,
            "| {deployment} | {target} | {:.2} | {met} |",
            verdict.measured
        )?;
    }
    writeln!(page)
}

fn add_table(page: &mut String, results: &BenchmarkResults, deployment: &str) -> std::fmt::Result {
    let rows = || {
        results
            .rows
            .iter()
            .filter(|row| row.deployment == deployment)
    };
    let names: BTreeSet<&String> = rows().flat_map(|row| row.figures.keys()).collect();
    write!(page, "| {deployment} |")?;
    for name in &names {
        write!(page, " {name} |")?;
    }
    writeln!(
        page,
        " load average |\n|---|{}---|",
        "---|".repeat(names.len())
    )?;
    for row in rows() {
        write!(page, "| {} |", row.variant)?;
        for name in &names {
            write!(
                page,
                " {:.2} |",
                row.figures.get(*name).unwrap_or(&f64::NAN)
            )?;
        }
        writeln!(page, " {:.2} |", row.load_average)?;
    }
    writeln!(page)
}
