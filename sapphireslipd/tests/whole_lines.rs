//! Tests of splitting the log into writes of whole lines.

use rstest::rstest;
use sapphireslipd::{WRITE_MAX_BYTES, whole_lines};

#[rstest]
#[case::nothing(&[], &[])]
#[case::some_short_lines(&[100, 100], &[200])]
#[case::more_than_one_write(&[1_500; 5], &[3_000, 3_000, 1_500])]
#[case::exactly_one_write(&[WRITE_MAX_BYTES, 10], &[WRITE_MAX_BYTES, 10])]
#[case::a_long_line_alone(&[10, 2 * WRITE_MAX_BYTES, 10], &[10, 2 * WRITE_MAX_BYTES, 10])]
fn whole_lines_in_pieces(#[case] lines: &[usize], #[case] expected: &[usize]) {
    let mut text = Vec::new();
    for length in lines {
        text.resize(text.len() + length - 1, b'x');
        text.push(b'\n');
    }
    let pieces: Vec<&[u8]> = whole_lines(&text).collect();
    let lengths: Vec<usize> = pieces.iter().map(|piece| piece.len()).collect();
    assert_eq!(lengths, expected);
    assert!(pieces.iter().all(|piece| piece.ends_with(b"\n")));
    assert_eq!(pieces.concat(), text);
}
