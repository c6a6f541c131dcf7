//! Renders curves as SVG plots.

use std::path::Path;

use apricotfold_load::LatencySummary;
use eyre::WrapErr as _;
use plotters::prelude::*;

use crate::results::PlotData;

const SIZE: (u32, u32) = (800, 420);
const MARGIN: u32 = 12;
const X_LABELS: u32 = 36;
const Y_LABELS: u32 = 64;
const LINE_WIDTH: u32 = 2;
/// Ratio of the upper end of the vertical axis to the highest point.
const HEADROOM: f64 = 1.1;

/// Returns the points of a latency curve: percentile and milliseconds.
pub fn latency_curve(latency: LatencySummary) -> Vec<(f64, f64)> {
    vec![
        (50.0, latency.p50_ms),
        (90.0, latency.p90_ms),
        (99.0, latency.p99_ms),
        (99.9, latency.p999_ms),
    ]
}

/// Draws a plot and writes it to a file.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub fn draw(data: &PlotData, path: &Path) -> eyre::Result<()> {
    render(data, path)
        .map_err(|error| eyre::eyre!("{error}"))
        .wrap_err_with(|| format!("drawing {}", path.display()))
}

fn render(data: &PlotData, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let points = || data.curves.iter().flat_map(|(_, points)| points);
    let left = points().map(|point| point.0).fold(f64::MAX, f64::min);
    let right = points().map(|point| point.0).fold(left, f64::max);
    let top = points().map(|point| point.1).fold(0.0, f64::max);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(&data.title, ("sans-serif", 18))
        .margin(MARGIN)
        .x_label_area_size(X_LABELS)
        .y_label_area_size(Y_LABELS)
        .build_cartesian_2d(left..right, 0.0..top * HEADROOM)?;
    chart
        .configure_mesh()
        .x_desc(&data.x_label)
        .y_desc(&data.y_label)
        .draw()?;
    for (index, (name, points)) in data.curves.iter().enumerate() {
        let style = Palette99::pick(index).stroke_width(LINE_WIDTH);
        chart
            .draw_series(LineSeries::new(points.iter().copied(), style))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], style));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
