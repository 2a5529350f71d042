//! Text in pieces that a pipe takes at once.

/// The most bytes of one write: up to `PIPE_BUF`, 4096 on Linux, a pipe keeps a write in one piece.
pub const WRITE_MAX_BYTES: usize = 4096;

/// Splits a text into pieces of whole lines, each of [`WRITE_MAX_BYTES`] at the most unless it is a
/// single line: a reader that takes a write at a time then never has half a line.
///
/// ```
/// let pieces: Vec<_> = sapphireslipd::whole_lines(b"one\ntwo\n").collect();
/// assert_eq!(pieces, [b"one\ntwo\n"]);
/// ```
pub fn whole_lines(text: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = text;
    std::iter::from_fn(move || {
        let newline = |byte: &u8| *byte == b'\n';
        let within = &rest[..rest.len().min(WRITE_MAX_BYTES)];
        let last = within.iter().rposition(newline);
        let last = last.or_else(|| rest.iter().position(newline));
        let end = last.map_or(rest.len(), |at| at + 1);
        let (piece, left) = rest.split_at(end);
        rest = left;
        (!piece.is_empty()).then_some(piece)
    })
}
