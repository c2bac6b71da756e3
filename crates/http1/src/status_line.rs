//! Status lines of HTTP/1 responses.

use memchr::memmem;

const START: &[u8] = b"HTTP/1.";

/// Returns whether a status line, as far as its code, stands anywhere in a line.
pub(crate) fn contains_status_line(line: &[u8]) -> bool {
    memmem::find_iter(line, START).any(|start| is_status_line(&line[start..]))
}

/// Returns whether a line is the status line of a response, whether or not its code is valid.
pub fn is_status_line(line: &[u8]) -> bool {
    match line.strip_prefix(START) {
        Some([minor, b' ', code @ ..]) if minor.is_ascii_digit() => {
            let digits = code.iter().take_while(|byte| byte.is_ascii_digit()).count();
            digits == 3 && matches!(code.get(digits), None | Some(b' '))
        }
        _ => false,
    }
}
