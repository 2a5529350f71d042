//! Splits SQL text into words, without comments, literals and quoted names.

/// Splits SQL text into statements, each a list of upper-case words.
///
/// This reads only as much of the language as routing needs: comments, quoted text and
/// dollar-quoted text are skipped, and a word is a run of letters, digits and underscores.
/// Statements without a word are left out.
///
/// ```
/// use sapphireslip_core::sql_statements;
/// let statements = sql_statements("select ';' as a; -- done\nCOMMIT");
/// assert_eq!(statements, [vec!["SELECT", "AS", "A"], vec!["COMMIT"]]);
/// ```
#[must_use]
pub fn sql_statements(text: &str) -> Vec<Vec<String>> {
    let mut statements = vec![Vec::new()];
    let mut rest = text;
    while let Some(c) = rest.chars().next() {
        if c == ';' {
            statements.push(Vec::new());
            rest = &rest[1..];
            continue;
        }
        if let Some(after) = skip_comment_or_quoted(rest, c) {
            rest = after;
            continue;
        }
        if !is_word(c) {
            rest = &rest[c.len_utf8()..];
            continue;
        }
        let end = rest.find(|c| !is_word(c)).unwrap_or(rest.len());
        let word = rest[..end].to_ascii_uppercase();
        rest = &rest[end..];
        if word == "E" && rest.starts_with('\'') {
            rest = skip_escaped(&rest[1..]);
        } else if let Some(statement) = statements.last_mut() {
            statement.push(word);
        }
    }
    statements.retain(|words| !words.is_empty());
    statements
}

/// Returns whether a character may be part of a word.
fn is_word(c: char) -> bool {
    c.is_alphanumeric() || c == '_'
}

/// Returns the text after a comment or a quoted part, if `rest` starts with one; `first` is the
/// first character of `rest`.
fn skip_comment_or_quoted(rest: &str, first: char) -> Option<&str> {
    match first {
        '\'' => Some(skip_quoted(&rest[1..], '\'')),
        '"' => Some(skip_quoted(&rest[1..], '"')),
        '$' => skip_dollar_quoted(rest),
        '-' if rest.starts_with("--") => Some(rest.find('\n').map_or("", |end| &rest[end..])),
        '/' if rest.starts_with("/*") => Some(skip_block_comment(rest)),
        _ => None,
    }
}

/// Returns the text after the closing quote. A doubled quote is read as the end of one quoted part
/// and the start of the next, which skips the same text.
fn skip_quoted(rest: &str, quote: char) -> &str {
    rest.find(quote).map_or("", |end| &rest[end + 1..])
}

/// Returns the text after a literal of the form `E'...'`, in which a backslash escapes the next
/// character; `rest` starts after its opening quote.
fn skip_escaped(rest: &str) -> &str {
    let mut chars = rest.char_indices();
    while let Some((at, c)) = chars.next() {
        if c == '\'' {
            return &rest[at + 1..];
        }
        if c == '\\' {
            chars.next();
        }
    }
    ""
}

/// Returns the text after a literal of the form `$tag$...$tag$`; `None` if `rest` starts with none.
fn skip_dollar_quoted(rest: &str) -> Option<&str> {
    let tag_end = rest[1..].find('$')? + 2;
    let tag = &rest[..tag_end];
    if !tag[1..tag_end - 1].chars().all(is_word) {
        return None;
    }
    let body = &rest[tag_end..];
    Some(body.find(tag).map_or("", |end| &body[end + tag.len()..]))
}

/// Returns the text after a block comment, which may contain nested ones.
fn skip_block_comment(rest: &str) -> &str {
    let mut depth = 0_usize;
    let mut at = 0;
    while at < rest.len() {
        if rest[at..].starts_with("/*") {
            depth += 1;
            at += 2;
        } else if rest[at..].starts_with("*/") {
            depth -= 1;
            at += 2;
            if depth == 0 {
                return &rest[at..];
            }
        } else {
            at += rest[at..].chars().next().map_or(1, char::len_utf8);
        }
    }
    ""
}
