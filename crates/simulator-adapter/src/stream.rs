//! Reads event frames from the simulator one by one and writes the reply to each.

use crate::instances::{FrameError, InstanceTable};
use crate::wire::{frame_length, WireError, EVENT_HEADER_BYTES};
use std::io::{self, Read, Write};

/// An error that stops the adapter before its input ends.
#[derive(Debug, thiserror::Error)]
pub enum StreamError {
    /// A frame that cannot be handled.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// Reading or writing failed.
    #[error("reading input or writing output failed: {0}")]
    Io(#[from] io::Error),
}

impl From<WireError> for StreamError {
    fn from(error: WireError) -> Self {
        StreamError::Frame(error.into())
    }
}

/// Answers frames until the input ends between two of them. Each reply is flushed before the next
/// frame is read.
///
/// # Errors
///
/// [`StreamError::Frame`] if the input ends inside a frame, if the frame's length is invalid or if
/// [`InstanceTable::handle_frame`] rejects it, and [`StreamError::Io`] if reading or writing fails.
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

/// Reads the next frame into `frame`, whose former content is dropped. Returns `false` if the input
/// has ended before the frame.
///
/// # Errors
///
/// As in [`serve`], except for errors of handling and writing.
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

/// Appends `limit` bytes to `buffer`, or fewer if the input ends before. Returns the number of
/// bytes appended.
fn read_up_to(input: &mut impl Read, limit: usize, buffer: &mut Vec<u8>) -> io::Result<usize> {
    input.by_ref().take(limit as u64).read_to_end(buffer)
}
