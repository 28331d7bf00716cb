//! The order in which a hash visits the positions of a list.

/// Visits every position below `length` once, in an order set by `hash`.
pub(super) fn order(hash: u64, length: usize) -> impl Iterator<Item = usize> {
    let start = position(hash, length);
    let step = coprime_step(position(hash >> 32, length), length);
    (0..length).map(move |k| (start + k * step) % length)
}

fn position(hash: u64, length: usize) -> usize {
    usize::try_from(hash % length.max(1) as u64).expect("it is below a usize")
}

/// The first number from `wanted` on that shares no factor with `length`, so
/// that steps of it visit every position once.
fn coprime_step(wanted: usize, length: usize) -> usize {
    (0..length)
        .map(|add| 1 + (wanted + add) % length)
        .find(|&step| greatest_common_divisor(step, length) == 1)
        .unwrap_or(1)
}

fn greatest_common_divisor(a: usize, b: usize) -> usize {
    if b == 0 {
        a
    } else {
        greatest_common_divisor(b, a % b)
    }
}
