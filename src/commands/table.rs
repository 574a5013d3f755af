//! Text tables with aligned columns.

use serde_json::Value;
use time::OffsetDateTime;
use time::format_description::BorrowedFormatItem;
use time::macros::format_description;

use crate::commands::output::Output;
use crate::commands::output::Style;
use crate::commands::output::print_line;

const COLUMN_SEPARATOR: &str = "  ";

/// A table whose columns are each as wide as their widest cell.
pub struct Table {
    rows: Vec<(Vec<String>, Option<Style>)>,
}

impl Table {
    /// Creates a table with a heading row.
    pub fn new(heading: &[&str]) -> Self {
        let heading = heading.iter().map(|&cell| cell.to_owned()).collect();
        Self {
            rows: vec![(heading, Some(Style::Heading))],
        }
    }

    /// Adds a row whose last cell has the given style.
    pub fn add_row(&mut self, cells: Vec<String>, style: Option<Style>) {
        self.rows.push((cells, style));
    }

    pub fn print(&self, output: Output) {
        let columns = self.rows.iter().map(|(cells, _)| cells.len()).max();
        let widths: Vec<usize> = (0..columns.unwrap_or_default())
            .map(|column| {
                let cells = self.rows.iter().filter_map(|(cells, _)| cells.get(column));
                cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
            })
            .collect();
        for (index, (cells, style)) in self.rows.iter().enumerate() {
            let mut line = String::new();
            for (column, cell) in cells.iter().enumerate() {
                let last = column + 1 == cells.len();
                let padding = widths[column] - cell.chars().count();
                let colored = style.filter(|_| last || index == 0);
                line += &colored.map_or(cell.clone(), |style| output.paint(style, cell));
                if !last {
                    line += &" ".repeat(padding);
                    line += COLUMN_SEPARATOR;
                }
            }
            print_line(line.trim_end());
        }
    }
}

/// Formats Unix milliseconds as a date and time in UTC.
pub fn format_time(value: &Value) -> String {
    const FORMAT: &[BorrowedFormatItem<'_>] =
        format_description!("[year]-[month]-[day] [hour]:[minute]:[second]");
    let seconds = value.as_u64().unwrap_or_default() / 1_000;
    i64::try_from(seconds)
        .ok()
        .and_then(|seconds| OffsetDateTime::from_unix_timestamp(seconds).ok())
        .and_then(|time| time.format(FORMAT).ok())
        .unwrap_or_else(|| value.to_string())
}
