//! Figures of settings, whose form a template does not know.

use serde::{Deserialize, Deserializer};

/// A figure as JSON gives it.
#[derive(Deserialize)]
#[serde(untagged)]
enum RawFigure {
    Text(String),
    Whole(u64),
    Fraction(f64),
    Flag(bool),
    Missing(()),
}

/// Reads a figure as text, which is empty if there is none. Its value is checked with the other settings.
pub fn read_figure<'de, D: Deserializer<'de>>(deserializer: D) -> Result<String, D::Error> {
    Ok(match RawFigure::deserialize(deserializer)? {
        RawFigure::Text(text) => text,
        RawFigure::Whole(number) => number.to_string(),
        RawFigure::Fraction(number) => number.to_string(),
        RawFigure::Flag(flag) => flag.to_string(),
        RawFigure::Missing(()) => String::new(),
    })
}
