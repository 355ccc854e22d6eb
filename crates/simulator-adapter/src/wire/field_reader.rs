//! Big-endian fields at fixed offsets.

use std::time::Duration;

/// The bytes of a record, an endpoint or a header. Offsets count from its first byte.
///
/// # Panics
///
/// All methods panic where a field reaches beyond the bytes: offsets are constants of the wire, and
/// the size is checked before.
#[derive(Clone, Copy)]
pub(super) struct FieldReader<'a>(pub(super) &'a [u8]);

impl<'a> FieldReader<'a> {
    fn array<const N: usize>(self, offset: usize) -> [u8; N] {
        let mut bytes = [0; N];
        bytes.copy_from_slice(self.slice(offset, N));
        bytes
    }

    pub(super) fn slice(self, offset: usize, length: usize) -> &'a [u8] {
        &self.0[offset..offset + length]
    }

    pub(super) fn u8(self, offset: usize) -> u8 {
        self.0[offset]
    }

    pub(super) fn u16(self, offset: usize) -> u16 {
        u16::from_be_bytes(self.array(offset))
    }

    pub(super) fn u32(self, offset: usize) -> u32 {
        u32::from_be_bytes(self.array(offset))
    }

    pub(super) fn u64(self, offset: usize) -> u64 {
        u64::from_be_bytes(self.array(offset))
    }

    pub(super) fn f32(self, offset: usize) -> f64 {
        f64::from(f32::from_be_bytes(self.array(offset)))
    }

    pub(super) fn nanoseconds(self, offset: usize) -> Duration {
        Duration::from_nanos(self.u64(offset))
    }
}
