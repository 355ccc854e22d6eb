//! The test's mapping of the shared memory.

#![allow(unsafe_code)] // Dereferences memory shared between processes.

use crate::FaultControl;
use memmap2::MmapRaw;
use std::fs::File;
use std::io;
use std::ops::Deref;
use std::path::Path;

/// A control file, mapped into the test's process. Dropping it unmaps the memory; the file stays.
pub struct ControlFile(MmapRaw);

impl ControlFile {
    /// Creates the file with no faults configured, or resets an existing one to that state.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be created, resized or mapped.
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
        // SAFETY: The mapping is as long as the structure, is page-aligned and lives as long as
        // `self`. Every field is an atomic integer, for which any bytes are valid and which other
        // processes may change at any time.
        unsafe { &*control }
    }
}
