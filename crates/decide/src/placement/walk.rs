//! Walking all rows once, in an order that differs from choice to choice.

use {crate::view::UpstreamRow, rand::RngCore};

/// Larger than any number of rows, so that each is coprime to it and a walk by
/// one of them modulo the number of rows meets every row once.
const STRIDES: [usize; 8] =
    [1_048_583, 2_097_169, 4_194_319, 8_388_617, 16_777_259, 33_554_467, 67_108_879, 134_217_757];

/// Walks every row once, from a random one on and by a random stride.
///
/// It spares a shuffle and a random number a row. Rows near each other are of
/// one rack, which a stride larger than 1 parts.
#[derive(Debug)]
pub(super) struct Walk<'a> {
    rows: &'a [UpstreamRow],
    next: usize,
    stride: usize,
    left: usize,
}

impl<'a> Walk<'a> {
    pub(super) fn new(rows: &'a [UpstreamRow], rng: &mut dyn RngCore) -> Self {
        let count = rows.len().max(1);
        let random = rng.next_u64();
        let stride = STRIDES[(random & 7) as usize] % count;
        Self { rows, next: index_below(count, (random >> 32) as u32), stride, left: rows.len() }
    }
}

impl<'a> Iterator for Walk<'a> {
    type Item = &'a UpstreamRow;

    fn next(&mut self) -> Option<&'a UpstreamRow> {
        self.left = self.left.checked_sub(1)?;
        let row = &self.rows[self.next];
        self.next += self.stride;
        if self.next >= self.rows.len() {
            self.next -= self.rows.len();
        }
        Some(row)
    }
}

/// One of the rows at random; `None` without rows.
pub(super) fn any_row<'a>(
    rows: &'a [UpstreamRow],
    rng: &mut dyn RngCore,
) -> Option<&'a UpstreamRow> {
    rows.get(index_below(rows.len(), rng.next_u32()))
}

/// Maps a random number to an index below `count` by multiplication.
fn index_below(count: usize, random: u32) -> usize {
    ((count as u64 * u64::from(random)) >> 32) as usize
}
