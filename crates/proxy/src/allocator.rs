//! Settings of the system's memory allocator, which decide how much freed memory the process keeps.

/// Size in bytes from which an allocation gets pages of its own, which go back to the system as soon as
/// it is freed.
#[cfg(target_env = "gnu")]
const SEPARATE_PAGES_BYTES: libc::c_int = 48 << 10;

/// Largest free part in bytes at the end of the heap that the process keeps.
#[cfg(target_env = "gnu")]
const MAX_KEPT_HEAP_END_BYTES: libc::c_int = 256 << 10;

/// Makes the allocator return large buffers to the system when they are freed. Has no effect with
/// another C library than glibc, whose thresholds otherwise grow with the largest buffer ever freed.
pub fn configure() {
    #[cfg(target_env = "gnu")]
    for (parameter, value) in [
        (libc::M_MMAP_THRESHOLD, SEPARATE_PAGES_BYTES),
        (libc::M_TRIM_THRESHOLD, MAX_KEPT_HEAP_END_BYTES),
    ] {
        // SAFETY: The call takes two integers and only changes settings of the allocator.
        #[allow(unsafe_code)]
        let _ = unsafe { libc::mallopt(parameter, value) };
    }
}

/// Returns free memory inside the heap to the system. Has no effect with another C library than glibc.
pub fn release_free_memory() {
    #[cfg(target_env = "gnu")]
    // SAFETY: The call takes an integer and only releases memory that is free.
    #[allow(unsafe_code)]
    let _ = unsafe { libc::malloc_trim(0) };
}
