//! Reads frames from the simulator one by one and writes the reply to each.

use crate::instances::{FrameError, InstanceTable};
use crate::wire::{frame_length, WireError, EVENT_HEADER_BYTES};
use std::io::{self, Read, Write};

/// Why the adapter stops before its input ends.
#[derive(Debug, thiserror::Error)]
pub enum StreamError {
    /// A frame that cannot be handled.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// Reading or writing failed.
    #[error("input or output: {0}")]
    Io(#[from] io::Error),
}

impl From<WireError> for StreamError {
    fn from(error: WireError) -> Self {
        StreamError::Frame(error.into())
    }
}

/// Answers frames until the input ends between two of them. Each reply is flushed.
///
/// # Errors
///
/// Input that ends inside a frame, a frame that [`InstanceTable::handle_frame`] rejects, or a failure
/// to read or write.
pub fn serve(
    instances: &mut InstanceTable,
    mut input: impl Read,
    mut output: impl Write,
) -> Result<(), StreamError> {
    let mut frame = Vec::new();
    while read_frame(&mut input, &mut frame)? {
        let reply = instances.handle_frame(&frame)?;
        output.write_all(&reply)?;
        output.flush()?;
    }
    Ok(())
}

/// Reads the next frame into `frame`. Returns `false` where the input has ended before it.
fn read_frame(input: &mut impl Read, frame: &mut Vec<u8>) -> Result<bool, StreamError> {
    frame.clear();
    let header_bytes = read_up_to(input, EVENT_HEADER_BYTES, frame)?;
    if header_bytes == 0 {
        return Ok(false);
    }
    let Some(header) = frame.first_chunk() else {
        return Err(StreamError::from(WireError::Truncated {
            read: header_bytes,
            announced: EVENT_HEADER_BYTES,
        }));
    };
    let announced = frame_length(header)?;
    read_up_to(input, announced - EVENT_HEADER_BYTES, frame)?;
    if frame.len() < announced {
        return Err(StreamError::from(WireError::Truncated {
            read: frame.len(),
            announced,
        }));
    }
    Ok(true)
}

/// Appends `limit` bytes to `buffer`, or fewer where the input ends. Returns how many.
fn read_up_to(input: &mut impl Read, limit: usize, buffer: &mut Vec<u8>) -> io::Result<usize> {
    input.by_ref().take(limit as u64).read_to_end(buffer)
}
