//! Max-min fair division of a limit.

/// Divides `total` so that each gets what it wants or as much as anybody else who gets less than it
/// wants. Returns the part of each, in the order of `wanted`.
#[must_use]
pub fn divide_fairly(total: f64, wanted: &[f64]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..wanted.len()).collect();
    order.sort_by(|a, b| wanted[*a].total_cmp(&wanted[*b]));
    let mut parts = vec![0.0; wanted.len()];
    let mut left = total.max(0.0);
    let mut others = wanted.len();
    for index in order {
        let equal = left / to_float(others);
        let part = wanted[index].clamp(0.0, equal);
        parts[index] = part;
        left -= part;
        others -= 1;
    }
    parts
}

#[expect(
    clippy::cast_precision_loss,
    reason = "the number of nodes is far below 2^52"
)]
fn to_float(count: usize) -> f64 {
    count as f64
}
