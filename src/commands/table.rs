//! Tables of text.

use serde_json::Value;
use time::OffsetDateTime;
use time::format_description::BorrowedFormatItem;
use time::macros::format_description;

use crate::commands::output::Output;
use crate::commands::output::Tone;
use crate::commands::output::print_line;

/// Space between two columns.
const GAP: &str = "  ";

/// A table whose columns are as wide as their widest cell.
pub struct Table {
    rows: Vec<(Vec<String>, Option<Tone>)>,
}

impl Table {
    /// Creates a table with a heading.
    pub fn new(heading: &[&str]) -> Self {
        let heading = heading.iter().map(|&cell| cell.to_owned()).collect();
        Self {
            rows: vec![(heading, Some(Tone::Strong))],
        }
    }

    /// Adds a row; the tone colours its last cell.
    pub fn row(&mut self, cells: Vec<String>, tone: Option<Tone>) {
        self.rows.push((cells, tone));
    }

    /// Prints the table.
    pub fn print(&self, output: Output) {
        let columns = self.rows.iter().map(|(cells, _)| cells.len()).max();
        let widths: Vec<usize> = (0..columns.unwrap_or_default())
            .map(|column| {
                let cells = self.rows.iter().filter_map(|(cells, _)| cells.get(column));
                cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
            })
            .collect();
        for (index, (cells, tone)) in self.rows.iter().enumerate() {
            let mut line = String::new();
            for (column, cell) in cells.iter().enumerate() {
                let last = column + 1 == cells.len();
                let padding = widths[column] - cell.chars().count();
                let colored = tone.filter(|_| last || index == 0);
                line += &colored.map_or(cell.clone(), |tone| output.paint(tone, cell));
                if !last {
                    line += &" ".repeat(padding);
                    line += GAP;
                }
            }
            print_line(line.trim_end());
        }
    }
}

/// Shows Unix milliseconds as a date and time, UTC.
pub fn time_of(value: &Value) -> String {
    const FORM: &[BorrowedFormatItem<'_>] =
        format_description!("[year]-[month]-[day] [hour]:[minute]:[second]");
    let seconds = value.as_u64().unwrap_or_default() / 1_000;
    i64::try_from(seconds)
        .ok()
        .and_then(|seconds| OffsetDateTime::from_unix_timestamp(seconds).ok())
        .and_then(|time| time.format(FORM).ok())
        .unwrap_or_else(|| value.to_string())
}
