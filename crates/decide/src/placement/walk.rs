//! Iterates over all rows once, in a different order for each choice.

use {crate::view::UpstreamRow, rand::RngCore};

/// Primes larger than any number of rows. Each is coprime to the number of rows,
/// so that steps of this size modulo that number visit every row once.
const STRIDES: [usize; 8] =
    [1_048_583, 2_097_169, 4_194_319, 8_388_617, 16_777_259, 33_554_467, 67_108_879, 134_217_757];

/// Visits every row once, from a random row on and by a random stride.
///
/// It needs neither a shuffle nor a random number per row. Neighbouring rows are
/// often in the same rack; a stride larger than 1 separates them.
#[derive(Debug)]
pub(super) struct StridedRows<'a> {
    rows: &'a [UpstreamRow],
    next: usize,
    stride: usize,
    remaining: usize,
}

impl<'a> StridedRows<'a> {
    pub(super) fn new(rows: &'a [UpstreamRow], rng: &mut dyn RngCore) -> Self {
        let count = rows.len().max(1);
        let random = rng.next_u64();
        let stride = STRIDES[(random & 7) as usize] % count;
        Self {
            rows,
            next: index_below(count, (random >> 32) as u32),
            stride,
            remaining: rows.len(),
        }
    }
}

impl<'a> Iterator for StridedRows<'a> {
    type Item = &'a UpstreamRow;

    fn next(&mut self) -> Option<&'a UpstreamRow> {
        self.remaining = self.remaining.checked_sub(1)?;
        let row = &self.rows[self.next];
        self.next += self.stride;
        if self.next >= self.rows.len() {
            self.next -= self.rows.len();
        }
        Some(row)
    }
}

/// Returns a random row; `None` without rows.
pub(super) fn any_row<'a>(
    rows: &'a [UpstreamRow],
    rng: &mut dyn RngCore,
) -> Option<&'a UpstreamRow> {
    rows.get(index_below(rows.len(), rng.next_u32()))
}

/// Maps a random number to an index below `count`, by multiplication.
fn index_below(count: usize, random: u32) -> usize {
    ((count as u64 * u64::from(random)) >> 32) as usize
}
