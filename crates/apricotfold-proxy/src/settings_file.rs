//! Reloads the settings file when it changes.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use apricotfold_model::{ProxyConfig, log_event};
use eyre::WrapErr;
use tokio::signal::unix::{SignalKind, signal};

use crate::engine::Engine;

/// Interval at which the file is compared, because it may change without a SIGHUP.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Reads and validates the settings file of a platform.
#[derive(Clone, Debug)]
pub struct SettingsReader {
    path: PathBuf,
}

impl SettingsReader {
    /// Creates a reader of the file at `path`.
    #[must_use]
    pub fn new(path: PathBuf) -> Self {
        Self { path }
    }

    /// Reads and validates the file. Returns its text and the settings.
    ///
    /// # Errors
    ///
    /// Returns an error with the path and the invalid fields, or why the file cannot be read.
    pub fn read(&self) -> eyre::Result<(String, ProxyConfig)> {
        let path = self.path.display();
        let text =
            std::fs::read_to_string(&self.path).wrap_err_with(|| format!("reading {path}"))?;
        let config = parse_settings(&text).wrap_err_with(|| format!("settings in {path}"))?;
        Ok((text, config))
    }
}

/// Validates the text of a settings file.
///
/// # Errors
///
/// Returns the invalid fields.
pub fn parse_settings(text: &str) -> eyre::Result<ProxyConfig> {
    let raw: apricotfold_schema::settings::ProxySettings = apricotfold_model::parse_json(text)?;
    Ok(ProxyConfig::try_from(raw)?)
}

/// Reloads the file on SIGHUP and when its text changes, until the process ends. A file that is
/// invalid leaves the current settings active.
pub async fn follow(engine: Arc<Engine>, reader: SettingsReader, first: String) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            log_event!(error, SettingsRefused, "no SIGHUP handler: {error}");
            return;
        }
    };
    let mut known = first;
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(CHECK_INTERVAL) => false,
        };
        match reader.read() {
            Ok((text, _)) if text == known && !signalled => {}
            Ok((text, config)) => {
                let waiting = engine.config.load().restart_differences(&config);
                log_event!(
                    info,
                    SettingsReloaded,
                    "signal {signalled}, waiting for a restart: {waiting:?}"
                );
                apply(&engine, config);
                known = text;
            }
            Err(error) => log_event!(error, SettingsRefused, "{error:#}"),
        }
    }
}

/// Applies the settings that can change while the process runs.
fn apply(engine: &Engine, config: ProxyConfig) {
    let former = engine.config.load_full();
    let merged = ProxyConfig {
        retry_limit: config.retry_limit,
        grace: config.grace,
        pace_targets: config.pace_targets,
        announce_interval: config.announce_interval,
        data_centres: config.data_centres,
        ..(*former).clone()
    };
    engine.config.store(Arc::new(merged));
}
