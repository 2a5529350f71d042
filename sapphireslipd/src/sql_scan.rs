//! Splits SQL text into code, quoted text and comments, by just enough of SQL's lexical rules.

/// The kind of a piece of SQL text.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PieceKind {
    /// Text outside quotes and comments.
    Code,
    /// A string literal, quoted identifier or dollar-quoted string, with its delimiters.
    Quoted,
    /// A comment with its delimiters.
    Comment,
}

/// A piece of SQL text.
#[derive(Clone, Copy, Debug)]
struct Piece<'a> {
    /// What the piece is.
    kind: PieceKind,
    /// The text of the piece.
    text: &'a str,
}

/// Returns the kind and the closing delimiter of the quote or comment at the start of `rest`, or
/// `None` if there is none.
fn closing_delimiter(rest: &str) -> Option<(PieceKind, &str)> {
    if rest.starts_with("--") {
        return Some((PieceKind::Comment, "\n"));
    }
    if rest.starts_with("/*") {
        return Some((PieceKind::Comment, "*/"));
    }
    if rest.starts_with(['\'', '"']) {
        return Some((PieceKind::Quoted, &rest[..1]));
    }
    let tag = rest.strip_prefix('$')?;
    let end = tag.find('$')?;
    let is_tag_char = |c: char| c.is_ascii_alphanumeric() || c == '_';
    let is_tag =
        tag[..end].chars().all(is_tag_char) && !tag.starts_with(|c: char| c.is_ascii_digit());
    is_tag.then(|| (PieceKind::Quoted, &rest[..end + 2]))
}

/// Splits a text into its pieces, in order.
///
/// A quote or comment that is not closed extends to the end of the text.
fn pieces(sql: &str) -> Vec<Piece<'_>> {
    let mut pieces = Vec::new();
    let mut code_start = 0;
    let mut position = 0;
    while let Some(c) = sql[position..].chars().next() {
        let Some((kind, close)) = closing_delimiter(&sql[position..]) else {
            position += c.len_utf8();
            continue;
        };
        pieces.push(Piece {
            kind: PieceKind::Code,
            text: &sql[code_start..position],
        });
        let open = if kind == PieceKind::Comment {
            2
        } else {
            close.len()
        };
        let inside = position + open;
        let end = sql[inside..].find(close);
        let end = end.map_or(sql.len(), |end| inside + end + close.len());
        pieces.push(Piece {
            kind,
            text: &sql[position..end],
        });
        position = end;
        code_start = end;
    }
    pieces.push(Piece {
        kind: PieceKind::Code,
        text: &sql[code_start..],
    });
    pieces
}

/// Returns the comments of a text, with their delimiters.
pub(crate) fn comments(sql: &str) -> Vec<&str> {
    let pieces = pieces(sql).into_iter();
    let comments = pieces.filter(|piece| piece.kind == PieceKind::Comment);
    comments.map(|piece| piece.text).collect()
}

/// Returns the statements of a text, which semicolons separate, with comments replaced by spaces;
/// empty statements are left out.
pub(crate) fn statements(sql: &str) -> Vec<String> {
    let mut statements = vec![String::new()];
    for piece in pieces(sql) {
        let mut parts = match piece.kind {
            PieceKind::Comment => vec![" "],
            PieceKind::Quoted => vec![piece.text],
            PieceKind::Code => piece.text.split(';').collect(),
        }
        .into_iter();
        if let (Some(first), Some(last)) = (parts.next(), statements.last_mut()) {
            last.push_str(first);
        }
        statements.extend(parts.map(str::to_owned));
    }
    statements.retain(|statement| !statement.trim().is_empty());
    statements
}
