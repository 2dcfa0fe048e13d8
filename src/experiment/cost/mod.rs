//! What control costs at growing sizes, with a line fitted through each.

mod accounts;
mod peers;
mod state;

use anyhow::Result;
use serde::Serialize;

use crate::status::table;

/// Costs of one kind at several sizes.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// Name of the experiment.
    pub name: &'static str,
    /// What is measured.
    pub what: &'static str,
    /// What the sizes count.
    pub size: &'static str,
    /// Unit of the costs.
    pub unit: &'static str,
    /// Sizes and costs.
    pub points: Vec<(f64, f64)>,
    /// Cost added by each one more.
    pub slope: f64,
    /// Cost at size zero.
    pub base: f64,
}

impl Row {
    /// Fits a line through points by least squares.
    ///
    /// ```
    /// use pistachiohall::experiment::cost::Row;
    /// let row = Row::fit("w", "n", "ms", vec![(1.0, 3.0), (2.0, 5.0), (3.0, 7.0)]);
    /// assert!((row.slope - 2.0).abs() < 1e-9 && (row.base - 1.0).abs() < 1e-9);
    /// ```
    pub fn fit(
        what: &'static str,
        size: &'static str,
        unit: &'static str,
        points: Vec<(f64, f64)>,
    ) -> Self {
        let count = points.len() as f64;
        let mean = |value: fn(&(f64, f64)) -> f64| points.iter().map(value).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let both: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = both / spread.max(f64::MIN_POSITIVE);
        Row {
            name: "cost",
            what,
            size,
            unit,
            points,
            slope,
            base: mean_y - slope * mean_x,
        }
    }
}

/// Measures all costs.
pub fn run() -> Result<Vec<Row>> {
    let mut rows = vec![accounts::memory()];
    rows.extend(state::run());
    rows.extend(accounts::run());
    rows.extend(peers::run()?);
    Ok(rows)
}

/// Returns the rows as a table.
pub fn render(rows: &[Row]) -> String {
    let cells: Vec<_> = rows
        .iter()
        .map(|row| {
            let points: Vec<String> = row
                .points
                .iter()
                .map(|(x, y)| format!("{x:.0}: {y:.4}"))
                .collect();
            vec![
                row.what.to_owned(),
                row.size.to_owned(),
                row.unit.to_owned(),
                points.join("  "),
                format!("{:.3e}", row.slope),
                format!("{:.3e}", row.base),
            ]
        })
        .collect();
    let head = ["COST", "SIZE", "UNIT", "MEASURED", "SLOPE", "BASE"];
    table::render(&head, &cells)
}
