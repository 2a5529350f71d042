//! Splits text into whole lines that a pipe accepts in one write.

/// The most bytes of one write: a pipe keeps writes of up to `PIPE_BUF`, 4096 on Linux, together.
pub const WRITE_MAX_BYTES: usize = 4096;

/// Splits a text into pieces of whole lines.
///
/// Each piece has at most [`WRITE_MAX_BYTES`], unless it is a single longer line. A reader that
/// processes one write at a time then never sees part of a line.
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
