//! Benchmarks the call path with real processes and writes `docs/REPORT.md`.

mod added_time;
mod crest;
mod deployment;
mod head_of_line;
mod machine;
mod plot;
mod report;
mod results;
mod stragglers;

use std::process::ExitCode;
use std::time::Duration;

use strum::{Display, EnumString, IntoEnumIterator as _};

use crate::machine::Conditions;
use crate::results::BenchmarkResults;

const HELP: &str = "\
Benchmarks the call path with real processes and writes docs/REPORT.md, its plots and raw results.
Run it in the root of the repository, after cargo build --release --workspace --bins.

Usage: apricotfold-bench MEASURE [--seconds N] [--quick]

Arguments:
  MEASURE      head-of-line, stragglers, crest, added-time or all;
               page only renders the page from the raw results

Options:
  --seconds N  duration of each load, default 15; the peak of crest always takes 10
  --quick      5 seconds for each load; the results are marked as trials
  --help       print this text
  --version    print the version";

const DEFAULT_SECONDS: u64 = 15;
const QUICK_SECONDS: u64 = 5;
/// Exit code for invalid arguments.
const EXIT_USAGE: u8 = 2;

/// A benchmark of `docs/design.md`, section 1.5.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
enum Benchmark {
    HeadOfLine,
    Stragglers,
    Crest,
    AddedTime,
}

/// Parsed command-line arguments.
#[derive(Debug)]
struct BenchArgs {
    benchmarks: Vec<Benchmark>,
    seconds: u64,
    quick: bool,
}

impl BenchArgs {
    fn load_time(&self) -> Duration {
        Duration::from_secs(self.seconds)
    }
}

fn main() -> ExitCode {
    env_logger::init();
    let args = match read_args() {
        Ok(Some(args)) => args,
        Ok(None) => return ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("apricotfold-bench: {error:#}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let runtime = tokio::runtime::Runtime::new().map_err(eyre::Report::from);
    match runtime.and_then(|runtime| runtime.block_on(run(&args))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("apricotfold-bench: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn read_args() -> eyre::Result<Option<BenchArgs>> {
    use lexopt::prelude::*;
    let mut benchmarks = Vec::new();
    let mut seconds = None;
    let mut quick = false;
    let mut page_only = false;
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("seconds") => seconds = Some(parser.value()?.parse()?),
            Long("quick") => quick = true,
            Long("help") | Short('h') => {
                println!("{HELP}");
                return Ok(None);
            }
            Long("version") | Short('V') => {
                println!("apricotfold-bench {}", env!("CARGO_PKG_VERSION"));
                return Ok(None);
            }
            Value(name) if name == "all" => benchmarks.extend(Benchmark::iter()),
            Value(name) if name == "page" => page_only = true,
            Value(name) => benchmarks.push(name.parse_with(str::parse)?),
            other => return Err(other.unexpected().into()),
        }
    }
    let complete = page_only || !benchmarks.is_empty();
    eyre::ensure!(complete, "MEASURE is required; see --help");
    let default = if quick {
        QUICK_SECONDS
    } else {
        DEFAULT_SECONDS
    };
    Ok(Some(BenchArgs {
        benchmarks,
        seconds: seconds.unwrap_or(default),
        quick,
    }))
}

async fn run(args: &BenchArgs) -> eyre::Result<()> {
    for benchmark in &args.benchmarks {
        let mut results = BenchmarkResults::new(&benchmark.to_string());
        let before = Conditions::read()?;
        println!("{benchmark}: load average {:.2}", before.load_average);
        match benchmark {
            Benchmark::HeadOfLine => head_of_line::measure(&mut results, args.load_time()).await?,
            Benchmark::Stragglers => stragglers::measure(&mut results, args.load_time()).await?,
            Benchmark::Crest => crest::measure(&mut results, args.load_time()).await?,
            Benchmark::AddedTime => added_time::measure(&mut results, args.load_time()).await?,
        }
        results.finish(before, args.seconds, args.quick);
        report::save(&results)?;
    }
    report::write_page()
}
