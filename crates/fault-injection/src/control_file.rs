//! The test's side of the shared memory.

#![allow(unsafe_code)] // Maps memory that two processes share.

use crate::FaultControl;
use memmap2::MmapRaw;
use std::fs::File;
use std::io;
use std::ops::Deref;
use std::path::Path;

/// A control file, mapped into this process. Dropping it ends the mapping; the file stays.
pub struct ControlFile(MmapRaw);

impl ControlFile {
    /// Creates the file without any faults, or resets the one that is there.
    ///
    /// # Errors
    ///
    /// The file cannot be created, sized or mapped.
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = File::options()
            .read(true)
            .write(true)
            .create(true)
            .truncate(true)
            .open(path)?;
        file.set_len(size_of::<FaultControl>() as u64)?;
        Ok(ControlFile(MmapRaw::map_raw(&file)?))
    }
}

impl Deref for ControlFile {
    type Target = FaultControl;

    #[expect(clippy::cast_ptr_alignment, reason = "a mapping begins at a page")]
    fn deref(&self) -> &FaultControl {
        let control = self.0.as_ptr().cast::<FaultControl>();
        // SAFETY: The mapping is as long as the structure, aligned to a page and lives as long as
        // `self`. Every field is an atomic integer, for which any bytes are valid and which other
        // processes may change.
        unsafe { &*control }
    }
}
