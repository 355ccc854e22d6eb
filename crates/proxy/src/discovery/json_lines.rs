//! Splits a stream of JSON objects into single ones, however they are indented and however the
//! stream is cut.

use bytes::{Buf, BytesMut};
use serde::de::IgnoredAny;

/// Longest object that is accepted.
pub const MAX_OBJECT_BYTES: usize = 4 << 20;

/// Why a stream cannot be decoded any further.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// Something else than an object begins.
    #[error("not the beginning of a list")]
    NotObject,
    /// An object exceeds [`MAX_OBJECT_BYTES`].
    #[error("over {MAX_OBJECT_BYTES} bytes")]
    TooLong,
    /// The part of an object received so far cannot be the beginning of a valid one.
    #[error("{0}")]
    InvalidJson(#[from] serde_json::Error),
}

/// Where in the JSON a byte stands.
#[derive(Clone, Copy, Default)]
enum Context {
    /// Outside of strings.
    #[default]
    Structure,
    /// In a string.
    String,
    /// In a string, after a backslash.
    Escape,
}

/// Decoder that accepts the stream in parts and returns complete objects.
#[derive(Default)]
pub struct JsonLineDecoder {
    /// The part of the present object received so far, and what follows it.
    buffer: BytesMut,
    /// Bytes of `buffer` that were scanned for the end of the object.
    scanned: usize,
    /// Braces and brackets that are open at `scanned`.
    depth: usize,
    /// Where the byte at `scanned` stands.
    context: Context,
    /// Bytes of `buffer` that were found to be the beginning of valid JSON.
    validated: usize,
}

impl JsonLineDecoder {
    /// Whether an object has begun and is not complete.
    pub fn is_mid_object(&self) -> bool {
        self.depth > 0
    }

    /// Appends a part of the stream.
    pub fn extend(&mut self, data: &[u8]) {
        self.buffer.extend_from_slice(data);
    }

    /// The next complete object, if all of it has been received.
    ///
    /// # Errors
    ///
    /// Fails as soon as the data received cannot become an object, which may be before its end. The
    /// decoder is of no further use then.
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
        // Not at each call: a long object may come a byte at a time.
        if self.buffer.len() > 2 * self.validated {
            self.validate()?;
        }
        Ok(None)
    }

    /// Scans the next byte of an object.
    fn scan(&mut self, byte: u8) -> Result<(), DecodeError> {
        self.scanned += 1;
        match (self.context, byte) {
            (Context::Escape, _) | (Context::Structure, b'"') => self.context = Context::String,
            (Context::String, b'\\') => self.context = Context::Escape,
            (Context::String, b'"') => self.context = Context::Structure,
            (Context::Structure, b'{' | b'[') => self.depth += 1,
            (Context::Structure, b'}' | b']') => self.depth -= 1,
            // After an empty line within an object the next line may belong to another object.
            (_, b'\n') if self.ends_empty_line() => self.validate()?,
            _ => {}
        }
        Ok(())
    }

    /// Whether the byte that was scanned last ends an empty line.
    fn ends_empty_line(&self) -> bool {
        let before = &self.buffer[..self.scanned - 1];
        let last_visible = before
            .iter()
            .rfind(|byte| !matches!(byte, b' ' | b'\t' | b'\r'));
        last_visible == Some(&b'\n')
    }

    /// Checks that what was scanned of the object is the beginning of valid JSON.
    fn validate(&mut self) -> Result<(), DecodeError> {
        let scanned = &self.buffer[..self.scanned];
        // A number that is cut short may be invalid, and yet the beginning of a valid one.
        let without_cut_number = scanned
            .iter()
            .rposition(|byte| !b"+-.0123456789eE".contains(byte))
            .map_or(0, |last| last + 1);
        match serde_json::from_slice::<IgnoredAny>(&scanned[..without_cut_number]) {
            Err(error) if !error.is_eof() => Err(error.into()),
            Ok(_) | Err(_) => {
                self.validated = scanned.len();
                Ok(())
            }
        }
    }
}

#[cfg(test)]
#[path = "json_lines_tests.rs"]
mod tests;
