//! Splits a stream of JSON objects into the single objects. They may be indented in any way, and
//! the stream may arrive in parts of any size.

use bytes::{Buf, BytesMut};
use serde::de::IgnoredAny;

/// Length in bytes of the longest object that is accepted.
pub const MAX_OBJECT_BYTES: usize = 4 << 20;

/// Why a stream of JSON objects cannot be decoded any further.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// Something other than an object begins.
    #[error("expected a JSON object")]
    NotObject,
    /// An object exceeds [`MAX_OBJECT_BYTES`].
    #[error("over {MAX_OBJECT_BYTES} bytes")]
    TooLong,
    /// The part of an object received so far cannot be the beginning of a valid one.
    #[error("{0}")]
    InvalidJson(#[from] serde_json::Error),
}

/// The kind of JSON text that a byte belongs to, which decides how a quote or a brace is read.
#[derive(Clone, Copy, Default)]
enum Context {
    /// Outside strings: a quote begins a string, and braces and brackets nest.
    #[default]
    Structure,
    /// Inside a string: a quote ends it, and braces and brackets are text.
    String,
    /// Inside a string, directly after a backslash.
    Escape,
}

/// Incremental decoder that accepts parts of the stream and returns complete objects.
#[derive(Default)]
pub struct JsonObjectDecoder {
    /// Data received and not yet returned: the current object as far as it has arrived, and what
    /// follows it.
    buffer: BytesMut,
    /// Number of bytes of `buffer` that have been scanned for the end of the object.
    scanned: usize,
    /// Number of braces and brackets open at `scanned`; 0 between objects.
    depth: usize,
    /// Context of the byte at `scanned`.
    context: Context,
    /// Number of bytes of `buffer` that have been checked to be the beginning of valid JSON.
    validated: usize,
}

impl JsonObjectDecoder {
    /// Returns whether an object has begun and is not yet complete, as of the last
    /// [`next_object`](Self::next_object).
    pub fn is_mid_object(&self) -> bool {
        self.depth > 0
    }

    /// Appends a part of the stream, to be decoded by [`next_object`](Self::next_object).
    pub fn extend(&mut self, data: &[u8]) {
        self.buffer.extend_from_slice(data);
    }

    /// Returns the next complete object, or `None` if it has not been received to its end.
    ///
    /// The braces and brackets of a returned object are balanced; its JSON may still be invalid.
    ///
    /// # Errors
    ///
    /// Returns a [`DecodeError`] once the data received is found not to be the beginning of an
    /// object, or exceeds [`MAX_OBJECT_BYTES`] without its end. This may happen before the object's
    /// end. The decoder must not be used after an error.
    pub fn next_object(&mut self) -> Result<Option<BytesMut>, DecodeError> {
        while let Some(&byte) = self.buffer.get(self.scanned) {
            if self.depth == 0 && byte != b'{' {
                if !byte.is_ascii_whitespace() {
                    return Err(DecodeError::NotObject);
                }
                self.buffer.advance(1);
                continue;
            }
            self.scan(byte)?;
            if self.depth == 0 {
                self.validated = 0;
                let length = std::mem::take(&mut self.scanned);
                return Ok(Some(self.buffer.split_to(length)));
            }
        }
        if self.buffer.len() > MAX_OBJECT_BYTES {
            return Err(DecodeError::TooLong);
        }
        // Only once the data has doubled: validating at each call would take quadratic time for a
        // long object that arrives a byte at a time.
        if self.buffer.len() > 2 * self.validated {
            self.validate()?;
        }
        Ok(None)
    }

    /// Updates the context and the depth for the next byte of an object.
    fn scan(&mut self, byte: u8) -> Result<(), DecodeError> {
        self.scanned += 1;
        match (self.context, byte) {
            (Context::Escape, _) | (Context::Structure, b'"') => self.context = Context::String,
            (Context::String, b'\\') => self.context = Context::Escape,
            (Context::String, b'"') => self.context = Context::Structure,
            (Context::Structure, b'{' | b'[') => self.depth += 1,
            (Context::Structure, b'}' | b']') => self.depth -= 1,
            // After an empty line within an object the next line may belong to another object, if
            // this one lacks its end.
            (_, b'\n') if self.ends_empty_line() => self.validate()?,
            _ => {}
        }
        Ok(())
    }

    /// Returns whether the byte scanned last, a line feed, ends a line that has only blanks.
    fn ends_empty_line(&self) -> bool {
        let before = &self.buffer[..self.scanned - 1];
        let last_visible = before
            .iter()
            .rfind(|byte| !matches!(byte, b' ' | b'\t' | b'\r'));
        last_visible == Some(&b'\n')
    }

    /// Checks that the scanned part of the object is the beginning of valid JSON.
    fn validate(&mut self) -> Result<(), DecodeError> {
        let scanned = &self.buffer[..self.scanned];
        // A number at the end is left out: it may be cut short, and be invalid as it is and yet the
        // beginning of a valid number.
        let without_last_number = scanned
            .iter()
            .rposition(|byte| !b"+-.0123456789eE".contains(byte))
            .map_or(0, |last| last + 1);
        match serde_json::from_slice::<IgnoredAny>(&scanned[..without_last_number]) {
            Err(error) if !error.is_eof() => Err(error.into()),
            Ok(_) | Err(_) => {
                self.validated = scanned.len();
                Ok(())
            }
        }
    }
}

#[cfg(test)]
#[path = "json_objects_tests.rs"]
mod tests;
