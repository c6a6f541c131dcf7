//! Measures the call path with real processes and writes `docs/REPORT.md`.

mod added_time;
mod crest;
mod deployment;
mod head_of_line;
mod machine;
mod plot;
mod report;
mod sheet;
mod stragglers;

use std::process::ExitCode;
use std::time::Duration;

use strum::{Display, EnumString, IntoEnumIterator as _};

use crate::machine::Conditions;
use crate::sheet::MeasureSheet;

const HELP: &str = "\
Measures the call path with real processes, writes docs/REPORT.md with its plots and raw results.
Run it in the root of the repository, after cargo build --release --workspace --bins.

Usage: apricotfold-bench MEASURE [--seconds N] [--quick]

Arguments:
  MEASURE      head-of-line, stragglers, crest, added-time or all;
               page only writes the page from the raw results

Options:
  --seconds N  length of each load, default 15; the peak of crest always takes 10
  --quick      5 seconds for each load; the figures are trials
  --help       print this text
  --version    print the version";

const DEFAULT_SECONDS: u64 = 15;
const QUICK_SECONDS: u64 = 5;
/// Exit code of wrong arguments.
const EXIT_USAGE: u8 = 2;

/// A measure of `docs/design.md`, section 1.5.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
enum Measure {
    HeadOfLine,
    Stragglers,
    Crest,
    AddedTime,
}

/// What to run.
#[derive(Debug)]
struct BenchArgs {
    measures: Vec<Measure>,
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
    let mut measures = Vec::new();
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
            Value(name) if name == "all" => measures.extend(Measure::iter()),
            Value(name) if name == "page" => page_only = true,
            Value(name) => measures.push(name.parse_with(str::parse)?),
            other => return Err(other.unexpected().into()),
        }
    }
    let complete = page_only || !measures.is_empty();
    eyre::ensure!(complete, "MEASURE: expected one; see --help");
    let default = if quick {
        QUICK_SECONDS
    } else {
        DEFAULT_SECONDS
    };
    Ok(Some(BenchArgs {
        measures,
        seconds: seconds.unwrap_or(default),
        quick,
    }))
}

async fn run(args: &BenchArgs) -> eyre::Result<()> {
    for measure in &args.measures {
        let mut sheet = MeasureSheet::new(&measure.to_string());
        let before = Conditions::read()?;
        println!("{measure}: load average {:.2}", before.load_average);
        match measure {
            Measure::HeadOfLine => head_of_line::measure(&mut sheet, args.load_time()).await?,
            Measure::Stragglers => stragglers::measure(&mut sheet, args.load_time()).await?,
            Measure::Crest => crest::measure(&mut sheet, args.load_time()).await?,
            Measure::AddedTime => added_time::measure(&mut sheet, args.load_time()).await?,
        }
        sheet.finish(before, args.seconds, args.quick);
        report::save(&sheet)?;
    }
    report::write_page()
}
