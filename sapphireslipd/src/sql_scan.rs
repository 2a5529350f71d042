//! Just enough of SQL's lexical rules to tell code from quotes and comments.

/// What a piece of a text is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PieceKind {
    Code,
    Quoted,
    Comment,
}

/// A piece of a text.
#[derive(Clone, Copy, Debug)]
struct Piece<'a> {
    kind: PieceKind,
    text: &'a str,
}

/// Returns the text after which a quote or comment that opens `rest` is over.
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

/// Returns the comments of a text.
pub(crate) fn comments(sql: &str) -> Vec<&str> {
    let pieces = pieces(sql).into_iter();
    let comments = pieces.filter(|piece| piece.kind == PieceKind::Comment);
    comments.map(|piece| piece.text).collect()
}

/// Returns the statements of a text without their comments.
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
