//! Reads big-endian fields at fixed offsets.

use std::time::Duration;

/// The bytes of a header, a record, an endpoint's entry or a load report. Offsets count from the
/// first of them.
///
/// # Panics
///
/// All methods panic if a field reaches beyond the bytes. Callers pass offsets that are constants
/// of the wire protocol, and bytes whose number has been checked.
#[derive(Clone, Copy)]
pub(super) struct FieldReader<'a>(pub(super) &'a [u8]);

impl<'a> FieldReader<'a> {
    /// Returns the `N` bytes from `offset` on.
    fn array<const N: usize>(self, offset: usize) -> [u8; N] {
        let mut bytes = [0; N];
        bytes.copy_from_slice(self.slice(offset, N));
        bytes
    }

    /// Returns the `length` bytes from `offset` on.
    pub(super) fn slice(self, offset: usize, length: usize) -> &'a [u8] {
        &self.0[offset..offset + length]
    }

    /// Reads an unsigned 8-bit number.
    pub(super) fn u8(self, offset: usize) -> u8 {
        self.0[offset]
    }

    /// Reads an unsigned 16-bit number.
    pub(super) fn u16(self, offset: usize) -> u16 {
        u16::from_be_bytes(self.array(offset))
    }

    /// Reads an unsigned 32-bit number.
    pub(super) fn u32(self, offset: usize) -> u32 {
        u32::from_be_bytes(self.array(offset))
    }

    /// Reads an unsigned 64-bit number.
    pub(super) fn u64(self, offset: usize) -> u64 {
        u64::from_be_bytes(self.array(offset))
    }

    /// Reads a 32-bit floating-point number and returns it in double precision.
    pub(super) fn f32(self, offset: usize) -> f64 {
        f64::from(f32::from_be_bytes(self.array(offset)))
    }

    /// Reads a duration: an unsigned 64-bit number of nanoseconds.
    pub(super) fn nanoseconds(self, offset: usize) -> Duration {
        Duration::from_nanos(self.u64(offset))
    }
}
