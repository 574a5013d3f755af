//! Measurements of real node processes. Each measurement prints its results as JSON lines when they
//! arrive, and a table at the end.

pub mod convergence;
pub mod latency;
pub mod plot;
pub mod process_usage;
pub mod rollback;
pub mod table;
pub mod workspaces;

use serde::Serialize;

/// Median and range of the values of several rounds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Spread {
    /// Median.
    pub median: f64,
    /// Smallest value.
    pub min: f64,
    /// Largest value.
    pub max: f64,
}

impl Spread {
    /// Returns the median and range of the values; all zero if there are no values.
    #[must_use]
    pub fn of(values: &[f64]) -> Self {
        let mut sorted = values.to_vec();
        sorted.sort_by(f64::total_cmp);
        let (Some(min), Some(max)) = (sorted.first(), sorted.last()) else {
            return Self::default();
        };
        let middle = sorted.len() / 2;
        let median = if sorted.len().is_multiple_of(2) {
            f64::midpoint(sorted[middle - 1], sorted[middle])
        } else {
            sorted[middle]
        };
        Self {
            median,
            min: *min,
            max: *max,
        }
    }
}

/// Returns a number of nodes, calls or records, which is small.
#[allow(clippy::cast_precision_loss, reason = "the number is small")]
fn to_f64(number: usize) -> f64 {
    number as f64
}

/// Prints one result as a JSON line.
///
/// # Errors
/// Returns an error if the value cannot be represented as JSON.
pub fn print_json<T: Serialize>(value: &T) -> eyre::Result<()> {
    println!("{}", serde_json::to_string(value)?);
    Ok(())
}
