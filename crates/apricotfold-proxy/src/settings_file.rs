//! Reloads the settings file when it changes.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use apricotfold_model::{
    FieldErrors, ProxyConfig, REQUIRED_SETTINGS, SharedRetryLimit, log_event, parse_json,
};
use eyre::WrapErr;
use serde_json::{Map, Value};
use tokio::signal::unix::{SignalKind, signal};

use crate::engine::Engine;

/// Interval at which the file is compared, because it may change without a SIGHUP.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Settings as read from a file.
#[derive(Clone, Debug)]
pub struct ReadSettings {
    /// Text of the file.
    pub text: String,
    /// The settings, with defaults for those that are missing or ignored.
    pub config: ProxyConfig,
    /// Settings that are ignored because they are invalid or unknown.
    pub ignored: FieldErrors,
}

impl ReadSettings {
    /// Logs each ignored setting.
    pub fn log_ignored(&self) {
        for error in &self.ignored.0 {
            log_event!(warn, SettingIgnored, "{error}");
        }
    }

    /// Returns the new value of a setting, or the former one if any of the fields that give it is ignored.
    fn choose<T>(&self, names: &[&str], new: T, former: T) -> T {
        let mut ignored = self
            .ignored
            .0
            .iter()
            .map(|error| setting_name(&error.field));
        if ignored.any(|name| names.contains(&name)) {
            former
        } else {
            new
        }
    }
}

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

    /// Reads and validates the file.
    ///
    /// # Errors
    ///
    /// Returns an error with the path and the invalid fields if the proxy cannot serve without one of
    /// them, or why the file cannot be read.
    pub fn read(&self) -> eyre::Result<ReadSettings> {
        let path = self.path.display();
        let text =
            std::fs::read_to_string(&self.path).wrap_err_with(|| format!("reading {path}"))?;
        let (config, ignored) =
            parse_settings(&text).wrap_err_with(|| format!("settings in {path}"))?;
        Ok(ReadSettings {
            text,
            config,
            ignored,
        })
    }
}

/// Validates the text of a settings file. Returns the settings, and those that are ignored.
fn parse_settings(text: &str) -> Result<(ProxyConfig, FieldErrors), FieldErrors> {
    let mut fields: Map<String, Value> = parse_json(text)?;
    let mut ignored = FieldErrors::default();
    loop {
        let errors = match check_fields(&fields) {
            Ok(config) => return Ok((config, ignored)),
            Err(errors) => errors,
        };
        let can_ignore = |name: &str| !REQUIRED_SETTINGS.contains(&name);
        for error in &errors.0 {
            let name = setting_name(&error.field);
            if !can_ignore(name) || fields.remove(name).is_none() {
                return Err(errors);
            }
            ignored.push(error.clone());
        }
    }
}

fn check_fields(fields: &Map<String, Value>) -> Result<ProxyConfig, FieldErrors> {
    let text = Value::Object(fields.clone()).to_string();
    let raw: apricotfold_schema::settings::ProxySettings = parse_json(&text)?;
    ProxyConfig::try_from(raw)
}

/// Returns the name of the setting that has a field, such as `data_centres` for `data_centres.poa-a`.
fn setting_name(field: &str) -> &str {
    let end = field.find(['.', '[']).unwrap_or(field.len());
    &field[..end]
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
            Ok(read) if read.text == known && !signalled => {}
            Ok(read) => {
                let waiting = engine.config.load().restart_differences(&read.config);
                log_event!(
                    info,
                    SettingsReloaded,
                    "signal {signalled}, waiting for a restart: {waiting:?}"
                );
                read.log_ignored();
                apply(&engine, &read);
                known = read.text;
            }
            Err(error) => log_event!(error, SettingsRefused, "{error:#}"),
        }
    }
}

/// Applies the settings that can change while the process runs. Of those that are invalid, the former
/// value stays.
fn apply(engine: &Engine, read: &ReadSettings) {
    let former = engine.config.load_full();
    let config = read.config.clone();
    let (limit, known) = (config.retry_limit, former.retry_limit);
    let window = ["retry_window_s", "retry_window_ms"];
    let merged = ProxyConfig {
        retry_limit: SharedRetryLimit {
            share: read.choose(&["retry_share"], limit.share, known.share),
            slack: read.choose(&["retry_slack"], limit.slack, known.slack),
            window: read.choose(&window, limit.window, known.window),
        },
        grace: read.choose(&["grace_s", "grace_ms"], config.grace, former.grace),
        pace_targets: read.choose(&["pace_targets"], config.pace_targets, former.pace_targets),
        announce_interval: read.choose(
            &["announce_interval_ms"],
            config.announce_interval,
            former.announce_interval,
        ),
        data_centres: read.choose(
            &["data_centres"],
            config.data_centres,
            former.data_centres.clone(),
        ),
        ..(*former).clone()
    };
    engine.config.store(Arc::new(merged));
}
