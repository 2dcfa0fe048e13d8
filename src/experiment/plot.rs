//! Plots as SVG files.

use std::path::Path;

use anyhow::Result;
use anyhow::anyhow;
use plotters::prelude::*;

/// Size of a plot, in pixels.
const SIZE: (u32, u32) = (800, 500);

/// A point of a group.
#[derive(Debug, Clone, PartialEq)]
pub struct Point {
    /// Group, shown by colour.
    pub group: &'static str,
    /// Horizontal place.
    pub x: f64,
    /// Vertical place.
    pub y: f64,
}

/// Draws points by group.
pub fn scatter(path: &Path, title: &str, x: &str, y: &str, points: &[Point]) -> Result<()> {
    draw(path, title, x, y, points)
        .map_err(|cause| anyhow!("cannot draw {}: {cause}", path.display()))
}

fn draw(
    path: &Path,
    title: &str,
    x: &str,
    y: &str,
    points: &[Point],
) -> Result<(), Box<dyn std::error::Error>> {
    let most =
        |value: fn(&Point) -> f64| points.iter().map(value).fold(0.0, f64::max) * 1.05 + 1e-9;
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..most(|point| point.x), 0.0..most(|point| point.y))?;
    chart.configure_mesh().x_desc(x).y_desc(y).draw()?;
    let mut groups: Vec<&'static str> = points.iter().map(|point| point.group).collect();
    groups.sort_unstable();
    groups.dedup();
    for (index, group) in groups.into_iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        let own = points.iter().filter(|point| point.group == group);
        chart
            .draw_series(own.map(|point| Circle::new((point.x, point.y), 4, colour.filled())))?
            .label(group)
            .legend(move |(x, y)| Circle::new((x + 10, y), 4, colour.filled()));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerRight)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
