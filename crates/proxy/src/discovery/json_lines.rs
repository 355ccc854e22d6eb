//! Splits a stream of JSON objects into single ones.

use bytes::{Buf, BytesMut};
use serde::de::IgnoredAny;

/// Longest list that is taken in.
pub const LONGEST_LINE: usize = 4 << 20;

/// Why a stream cannot be decoded any further.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// An object has to begin with a brace.
    #[error("no list begins like this")]
    NoObject,
    /// An object exceeds [`LONGEST_LINE`].
    #[error("over {LONGEST_LINE} bytes")]
    TooLong,
    /// What has come of an object cannot be the beginning of any.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
}

/// Takes a stream of JSON objects apart, however it is cut and indented.
#[derive(Default)]
pub struct JsonLineDecoder {
    held: BytesMut,
    /// So much of it was looked at ...
    searched: usize,
    /// ... with so many braces and brackets open there, ...
    depth: usize,
    /// ... and whether inside a string, and there behind a backslash.
    string: bool,
    escaped: bool,
    /// Of what is not whole so much was found to be good JSON so far.
    sound: usize,
}

impl JsonLineDecoder {
    /// Whether one has begun.
    pub fn begun(&self) -> bool {
        self.depth > 0
    }

    pub fn extend(&mut self, data: &[u8]) {
        self.held.extend_from_slice(data);
    }

    /// The next whole one. What can't become one is an error at once, as far as that shows.
    pub fn next(&mut self) -> Result<Option<BytesMut>, DecodeError> {
        while let Some(&byte) = self.held.get(self.searched) {
            if self.depth == 0 && byte != b'{' {
                if !byte.is_ascii_whitespace() {
                    return Err(DecodeError::NoObject);
                }
                self.held.advance(1);
                continue;
            }
            self.searched += 1;
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' => self.escaped = self.string,
                b'"' => self.string = !self.string,
                b'{' | b'[' if !self.string => self.depth += 1,
                b'}' | b']' if !self.string => self.depth -= 1,
                // An empty line within one: the next line that says something may be another's.
                b'\n' if self.after_empty_line() => self.check()?,
                _ => {}
            }
            if self.depth == 0 {
                let whole = self.held.split_to(std::mem::take(&mut self.searched));
                self.sound = 0;
                return Ok(Some(whole));
            }
        }
        if self.held.len() > LONGEST_LINE {
            return Err(DecodeError::TooLong);
        }
        // Not each time: a long list may come a byte at a time.
        if self.held.len() > 2 * self.sound {
            self.check()?;
        }
        Ok(None)
    }

    fn after_empty_line(&self) -> bool {
        let before = &self.held[..self.searched - 1];
        before.iter().rfind(|b| !matches!(b, b' ' | b'\t' | b'\r')) == Some(&b'\n')
    }

    /// What has come of one has to be the beginning of some JSON.
    fn check(&mut self) -> Result<(), DecodeError> {
        let begun = &self.held[..self.searched];
        // A number that is cut is no good number, and yet the beginning of one.
        let cut = begun
            .iter()
            .rposition(|byte| !b"+-.0123456789eE".contains(byte))
            .map_or(0, |at| at + 1);
        match serde_json::from_slice::<IgnoredAny>(&begun[..cut]) {
            Err(error) if !error.is_eof() => Err(error.into()),
            _ => {
                self.sound = begun.len();
                Ok(())
            }
        }
    }
}

#[cfg(test)]
#[path = "json_lines_tests.rs"]
mod tests;
