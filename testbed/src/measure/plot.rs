//! Line plots as SVG files.

use std::path::Path;

use eyre::eyre;
use plotters::prelude::*;

/// Size of a plot, pixels.
const SIZE_PX: (u32, u32) = (800, 500);
/// Ratio of the end of the vertical axis to the largest value.
const AXIS_HEADROOM: f64 = 1.1;

/// One line of a plot.
#[derive(Clone, Debug)]
pub struct Line {
    /// Name in the legend.
    pub name: String,
    /// Points, in ascending order of x.
    pub points: Vec<(f64, f64)>,
}

/// Writes a plot. Both axes are linear. The vertical axis starts at zero or below the smallest
/// negative value.
///
/// # Errors
/// Returns an error if the file cannot be written.
pub fn write(
    file: &Path,
    title: &str,
    x_title: &str,
    y_title: &str,
    lines: &[Line],
) -> eyre::Result<()> {
    draw(file, title, x_title, y_title, lines)
        .map_err(|e| eyre!("cannot write {}: {e}", file.display()))
}

fn draw(
    file: &Path,
    title: &str,
    x_title: &str,
    y_title: &str,
    lines: &[Line],
) -> Result<(), Box<dyn std::error::Error>> {
    let points = || lines.iter().flat_map(|line| line.points.iter());
    let x_max = points().map(|p| p.0).fold(1.0, f64::max);
    let y_max = points().map(|p| p.1).fold(0.0, f64::max);
    let y_min = points().map(|p| p.1).fold(0.0, f64::min);
    let y_max = if y_max > y_min { y_max } else { y_min + 1.0 };
    let area = SVGBackend::new(file, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(42)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..x_max, y_min * AXIS_HEADROOM..y_max * AXIS_HEADROOM)?;
    chart
        .configure_mesh()
        .x_desc(x_title)
        .y_desc(y_title)
        .draw()?;
    for (index, line) in lines.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(line.points.iter().copied(), color).point_size(3))?
            .label(line.name.as_str())
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], color));
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
