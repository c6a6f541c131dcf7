//! Child processes of a mesh.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use eyre::WrapErr;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// CPU time and memory usage of a process.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub struct ProcessUsage {
    /// User and system CPU time since the process started.
    pub cpu: Duration,
    /// Resident memory in bytes.
    pub resident: u64,
}

/// A child process, killed when dropped.
#[derive(Debug)]
pub struct MeshProcess {
    name: String,
    binary: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl MeshProcess {
    /// Starts a binary of this workspace with a settings file. Its output is appended to a log file
    /// next to the settings file.
    ///
    /// # Errors
    ///
    /// Returns an error when the binary cannot be started.
    pub fn start(name: &str, binary: &str, settings: &Path) -> eyre::Result<Self> {
        let binary = find_binary(binary)?;
        let log = settings.with_extension("log");
        let child = spawn(&binary, settings, &log)?;
        Ok(Self {
            name: name.to_owned(),
            binary,
            settings: settings.to_owned(),
            log,
            child,
        })
    }

    /// Kills the process if it still runs and starts it again with the same settings and log file.
    /// No other state is carried over.
    ///
    /// # Errors
    ///
    /// Returns an error when the binary cannot be started.
    pub fn restart(&mut self) -> eyre::Result<()> {
        self.kill();
        self.child = spawn(&self.binary, &self.settings, &self.log)?;
        Ok(())
    }

    /// Kills the process with SIGKILL and waits for it to end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends SIGTERM to the process.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Suspends the process with SIGSTOP.
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Resumes a suspended process with SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Waits until the process ends.
    ///
    /// # Errors
    ///
    /// Returns an error when the process still runs after `limit`.
    pub async fn wait_exit(&mut self, limit: Duration) -> eyre::Result<ExitStatus> {
        let end = Instant::now() + limit;
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            eyre::ensure!(
                Instant::now() < end,
                "{} still runs after {limit:?}",
                self.name
            );
            tokio::time::sleep(EXIT_POLL_INTERVAL).await;
        }
    }

    /// Returns whether the process has not ended; a suspended process counts as running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the log of the process, including the output from before restarts.
    #[must_use]
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Reads CPU time and memory usage from `/proc`. Returns zeros when they cannot be read.
    #[must_use]
    pub fn usage(&self) -> ProcessUsage {
        read_usage(self.child.id()).unwrap_or_default()
    }

    fn signal(&self, signal: Signal) {
        if let Ok(id) = i32::try_from(self.child.id()) {
            let _ = kill(Pid::from_raw(id), signal);
        }
    }
}

impl Drop for MeshProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(binary: &Path, settings: &Path, log: &Path) -> eyre::Result<Child> {
    let output = File::options().create(true).append(true).open(log)?;
    Command::new(binary)
        .arg("--settings")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(output.try_clone()?)
        .stderr(output)
        .spawn()
        .wrap_err_with(|| format!("starting {}", binary.display()))
}

/// Finds a binary in the folder of the running executable or its parent. Test executables are one
/// folder below the binaries.
///
/// # Errors
///
/// Returns an error when the binary has not been built.
pub fn find_binary(name: &str) -> eyre::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folders = own.ancestors().skip(1).take(2);
    let found = folders
        .map(|folder| folder.join(name))
        .find(|path| path.is_file());
    found
        .ok_or_else(|| eyre::eyre!("{name} is not built; run cargo build --workspace --bins first"))
}

/// Unit of CPU time in `/proc`; 100 ticks per second on Linux.
const TICKS_PER_SECOND: u64 = 100;
const PAGE_BYTES: u64 = 4096;

fn read_usage(id: u32) -> Option<ProcessUsage> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let user: u64 = fields.get(11)?.parse().ok()?;
    let system: u64 = fields.get(12)?.parse().ok()?;
    let pages: u64 = fields.get(21)?.parse().ok()?;
    Some(ProcessUsage {
        cpu: Duration::from_millis((user + system) * 1_000 / TICKS_PER_SECOND),
        resident: pages * PAGE_BYTES,
    })
}
