//! Bodies of messages.

use std::fmt::Write as _;

/// Returns a text of this many bytes in which no two parts are alike: numbers in ascending order.
pub fn numbered_text(length: usize) -> String {
    let mut text = String::new();
    let mut number = 0;
    while text.len() < length {
        write!(text, "{number:07x} ").expect("writing to a string cannot fail");
        number += 1;
    }
    text.truncate(length);
    text
}
