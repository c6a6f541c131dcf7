//! Conditions under which figures are taken.

use std::process::Command;

use eyre::WrapErr as _;
use serde::{Deserialize, Serialize};

/// Date, code and machine of a measure.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Conditions {
    /// Start of the measure.
    pub date: String,
    /// Commit that was checked out.
    pub commit: String,
    /// Processors that the process may use.
    pub cores: usize,
    /// Memory of the machine in GiB.
    pub memory_gib: u64,
    /// Load average of the last minute at the start of the measure.
    pub load_average: f64,
    /// Whether this binary was built with optimization.
    pub release: bool,
}

impl Conditions {
    /// Reads the present conditions.
    ///
    /// # Errors
    ///
    /// Returns an error if `/proc` cannot be read.
    pub fn read() -> eyre::Result<Self> {
        let memory = std::fs::read_to_string("/proc/meminfo").wrap_err("reading memory size")?;
        let total: u64 = memory
            .split_whitespace()
            .nth(1)
            .and_then(|number| number.parse().ok())
            .unwrap_or_default();
        Ok(Self {
            date: output_of("date", &["-u", "+%Y-%m-%d %H:%M UTC"]),
            commit: output_of("git", &["describe", "--always", "--dirty", "--exclude=*"]),
            cores: std::thread::available_parallelism()?.get(),
            memory_gib: total.div_ceil(1024 * 1024),
            load_average: load_average()?,
            release: !cfg!(debug_assertions),
        })
    }
}

/// Load average of the last minute.
///
/// # Errors
///
/// Returns an error if `/proc` cannot be read.
pub fn load_average() -> eyre::Result<f64> {
    let text = std::fs::read_to_string("/proc/loadavg").wrap_err("reading the load average")?;
    let first = text.split_whitespace().next().unwrap_or_default();
    Ok(first.parse()?)
}

fn output_of(program: &str, args: &[&str]) -> String {
    let output = Command::new(program).args(args).output();
    let text = output.map(|output| String::from_utf8_lossy(&output.stdout).trim().to_owned());
    text.unwrap_or_else(|_| "unknown".to_owned())
}
