//! Tables for a terminal.

/// Renders rows as aligned columns below a header.
///
/// ```
/// let text = pistachiohall::status::table::render(&["a", "bb"], &[vec!["1".into(), "2".into()]]);
/// assert_eq!(text, "a  bb\n1  2\n");
/// ```
pub fn render(header: &[&str], rows: &[Vec<String>]) -> String {
    let width = |column: usize| {
        rows.iter()
            .filter_map(|row| row.get(column))
            .map(|cell| cell.chars().count())
            .chain([header[column].chars().count()])
            .max()
            .unwrap_or(0)
    };
    let widths: Vec<usize> = (0..header.len()).map(width).collect();
    let header_row: Vec<String> = header.iter().map(ToString::to_string).collect();
    std::iter::once(&header_row)
        .chain(rows)
        .map(|row| line(row, &widths))
        .collect()
}

fn line(row: &[String], widths: &[usize]) -> String {
    let cells: Vec<String> = row
        .iter()
        .zip(widths)
        .map(|(cell, width)| format!("{cell:width$}"))
        .collect();
    format!("{}\n", cells.join("  ").trim_end())
}
