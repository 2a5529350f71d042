//! SQL texts as callers write them, made fit for SQLite.

use std::time::Duration;

/// A statement refused with a SQLSTATE.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct SqlError {
    /// The SQLSTATE.
    pub(crate) code: &'static str,
    /// What went wrong.
    pub(crate) message: String,
}

impl SqlError {
    /// Returns an error of this SQLSTATE.
    pub(crate) fn new(code: &'static str, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
        }
    }
}

impl From<rusqlite::Error> for SqlError {
    fn from(error: rusqlite::Error) -> Self {
        let message = error.to_string();
        let extended = error.sqlite_error().map_or(0, |error| error.extended_code);
        let code = match extended {
            rusqlite::ffi::SQLITE_CONSTRAINT_UNIQUE
            | rusqlite::ffi::SQLITE_CONSTRAINT_PRIMARYKEY => "23505",
            rusqlite::ffi::SQLITE_CONSTRAINT_NOTNULL => "23502",
            rusqlite::ffi::SQLITE_CONSTRAINT_CHECK => "23514",
            rusqlite::ffi::SQLITE_CONSTRAINT_FOREIGNKEY => "23503",
            _ if message.contains("no such table") => "42P01",
            _ if message.contains("no such column") => "42703",
            _ if message.contains("no such function") => "42883",
            _ if message.contains("already exists") => "42P07",
            _ if message.contains("syntax error") => "42601",
            _ => "XX000",
        };
        Self { code, message }
    }
}

/// What a statement asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StatementKind {
    Begin,
    BeginReadOnly,
    Commit,
    Rollback,
    Set,
    Show,
    Sleep,
    Read,
    Write,
}

/// Returns what a statement asks for, by its first words.
pub(crate) fn classify(sql: &str) -> StatementKind {
    let upper = strip_comments(sql).trim().to_ascii_uppercase();
    let word = upper
        .split(|c: char| !c.is_ascii_alphanumeric() && c != '_')
        .find(|word| !word.is_empty())
        .unwrap_or("");
    match word {
        "BEGIN" | "START" if upper.contains("READ ONLY") => StatementKind::BeginReadOnly,
        "BEGIN" | "START" => StatementKind::Begin,
        "COMMIT" | "END" => StatementKind::Commit,
        "ROLLBACK" | "ABORT" => StatementKind::Rollback,
        "SET" | "RESET" | "DISCARD" => StatementKind::Set,
        "SHOW" => StatementKind::Show,
        "SELECT" if upper.contains("PG_SLEEP(") => StatementKind::Sleep,
        "SELECT" if upper.ends_with("FOR UPDATE") => StatementKind::Write,
        "SELECT" | "VALUES" | "EXPLAIN" | "" => StatementKind::Read,
        "WITH" => {
            let writes = ["INSERT ", "UPDATE ", "DELETE "];
            match writes.iter().any(|word| upper.contains(word)) {
                true => StatementKind::Write,
                false => StatementKind::Read,
            }
        }
        _ => StatementKind::Write,
    }
}

/// Returns the setting and the milliseconds of a `SET LOCAL`; none of any other statement.
pub(crate) fn set_local(sql: &str) -> Option<(&str, Duration)> {
    let rest = sql.trim().strip_prefix("SET LOCAL ")?;
    let (name, value) = rest.split_once('=')?;
    let millis = value.trim().parse().ok()?;
    Some((name.trim(), Duration::from_millis(millis)))
}

/// Returns the argument of `pg_sleep` in seconds.
pub(crate) fn sleep_seconds(sql: &str) -> f64 {
    let lower = sql.to_ascii_lowercase();
    let argument = lower.split_once("pg_sleep(").map_or("", |(_, rest)| rest);
    let argument = argument.split(')').next().unwrap_or("");
    argument.trim().parse().unwrap_or(0.0)
}

/// Returns the tag with which a statement is reported as done.
pub(crate) fn tag(sql: &str, rows: usize, changes: usize) -> String {
    let upper = strip_comments(sql).trim().to_ascii_uppercase();
    let mut words = upper.split_whitespace();
    match words.next().unwrap_or("") {
        "INSERT" => format!("INSERT 0 {changes}"),
        "UPDATE" => format!("UPDATE {changes}"),
        "DELETE" => format!("DELETE {changes}"),
        "BEGIN" | "START" => "BEGIN".to_owned(),
        "COMMIT" | "END" => "COMMIT".to_owned(),
        "ROLLBACK" | "ABORT" => "ROLLBACK".to_owned(),
        "SET" | "RESET" => "SET".to_owned(),
        "SHOW" => "SHOW".to_owned(),
        first @ ("CREATE" | "DROP" | "ALTER") => {
            format!("{first} {}", words.next().unwrap_or(""))
        }
        _ => format!("SELECT {rows}"),
    }
}

/// A piece of a text: outside quotes and comments, or not.
struct Piece<'a> {
    text: &'a str,
    is_code: bool,
}

/// Cuts a text at the borders of its quotes and comments.
fn pieces(sql: &str) -> Vec<Piece<'_>> {
    let mut pieces = Vec::new();
    let mut rest = sql;
    while !rest.is_empty() {
        let start = ["'", "\"", "--", "/*"]
            .iter()
            .filter_map(|mark| rest.find(mark))
            .min()
            .unwrap_or(rest.len());
        let (code, tail) = rest.split_at(start);
        pieces.push(Piece {
            text: code,
            is_code: true,
        });
        let close = match tail.get(..2) {
            Some("--") => "\n",
            Some("/*") => "*/",
            _ => tail.get(..1).unwrap_or(""),
        };
        let skip = if close == "*/" { 2 } else { 1 }.min(tail.len());
        let end = tail[skip..]
            .find(close)
            .map_or(tail.len(), |at| skip + at + close.len());
        let (quoted, tail) = tail.split_at(if tail.is_empty() { 0 } else { end });
        pieces.push(Piece {
            text: quoted,
            is_code: false,
        });
        rest = tail;
    }
    pieces
}

fn is_comment(piece: &Piece<'_>) -> bool {
    !piece.is_code && (piece.text.starts_with("--") || piece.text.starts_with("/*"))
}

/// Returns a text without its comments.
pub(crate) fn strip_comments(sql: &str) -> String {
    let kept = pieces(sql)
        .into_iter()
        .map(|piece| if is_comment(&piece) { " " } else { piece.text });
    kept.collect()
}

/// Cuts a text into its statements.
pub(crate) fn split(sql: &str) -> Vec<String> {
    let mut statements = vec![String::new()];
    for piece in pieces(sql) {
        if is_comment(&piece) {
            continue;
        }
        let mut parts = match piece.is_code {
            true => piece.text.split(';').collect::<Vec<_>>(),
            false => vec![piece.text],
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

/// A statement in SQLite's dialect and the parameter types that casts name.
#[derive(Debug, Default)]
pub(crate) struct Translated {
    /// The text with `?1` in place of `$1` and without casts.
    pub(crate) sql: String,
    /// Each parameter's type as its cast names it, and the word before its operator.
    pub(crate) hints: Vec<ParameterHint>,
}

/// What the text tells of a parameter's type.
#[derive(Clone, Debug, Default)]
pub(crate) struct ParameterHint {
    /// The type that a cast names.
    pub(crate) cast: Option<String>,
    /// The word before a comparison, mostly a column.
    pub(crate) column: Option<String>,
}

/// Puts a statement into SQLite's dialect.
pub(crate) fn translate(sql: &str) -> Translated {
    let mut translated = Translated::default();
    for piece in pieces(sql) {
        match piece.is_code {
            true => translate_code(piece.text, &mut translated),
            false if is_comment(&piece) => translated.sql.push(' '),
            false => translated.sql.push_str(piece.text),
        }
    }
    let end = translated.sql.trim_end().len();
    if translated.sql[..end]
        .to_ascii_uppercase()
        .ends_with("FOR UPDATE")
    {
        translated.sql.truncate(end - "FOR UPDATE".len());
    }
    translated
}

fn translate_code(code: &str, out: &mut Translated) {
    let mut rest = code;
    let mut parameter = None;
    while let Some(c) = rest.chars().next() {
        if let Some(cast) = rest.strip_prefix("::") {
            let length = word_length(cast);
            let hint = parameter.and_then(|n: usize| out.hints.get_mut(n - 1));
            if let Some(hint) = hint {
                hint.cast = Some(cast[..length].to_ascii_uppercase());
            }
            rest = &cast[length..];
            continue;
        }
        let digits = rest[1.min(rest.len())..]
            .chars()
            .take_while(char::is_ascii_digit)
            .count();
        if c == '$' && digits > 0 {
            let n: usize = rest[1..=digits].parse().unwrap_or(1).clamp(1, 999);
            if out.hints.len() < n {
                out.hints.resize(n, ParameterHint::default());
            }
            out.hints[n - 1].column = column_before(&out.sql);
            if follows_limit_or_offset(&out.sql) {
                out.hints[n - 1].cast = Some("INT8".to_owned());
            }
            out.sql.push_str(&format!("?{n}"));
            parameter = Some(n);
            rest = &rest[1 + digits..];
            continue;
        }
        parameter = None;
        out.sql.push(c);
        rest = &rest[c.len_utf8()..];
    }
}

fn word_length(text: &str) -> usize {
    text.chars()
        .take_while(|c| c.is_ascii_alphanumeric() || *c == '_')
        .count()
}

fn follows_limit_or_offset(sql: &str) -> bool {
    let upper = sql.trim_end().to_ascii_uppercase();
    upper.ends_with("LIMIT") || upper.ends_with("OFFSET")
}

/// Returns the word before a comparison at the end of a text.
fn column_before(sql: &str) -> Option<String> {
    let text = sql.trim_end();
    let left = text.trim_end_matches(['=', '<', '>', '!', '+', '-']);
    if left.len() == text.len() {
        return None;
    }
    let word = left
        .trim_end()
        .rsplit(|c: char| !c.is_ascii_alphanumeric() && c != '_')
        .next()?;
    Some(word.to_ascii_lowercase())
}

/// Returns, for each parameter in the values of an `INSERT`, its place in the row.
pub(crate) fn insert_parameters(sql: &str) -> Vec<InsertParameter> {
    let upper = sql.to_ascii_uppercase();
    let Some(values) = upper.find("VALUES") else {
        return Vec::new();
    };
    let mut parameters = Vec::new();
    let (mut depth, mut column_index) = (0, 0);
    let mut chars = sql[values..].chars().peekable();
    while let Some(c) = chars.next() {
        match c {
            '(' => depth += 1,
            ')' => depth -= 1,
            ',' if depth == 1 => column_index += 1,
            '?' => {
                let mut digits = String::new();
                while let Some(digit) = chars.next_if(char::is_ascii_digit) {
                    digits.push(digit);
                }
                let number = digits.parse().unwrap_or(1);
                parameters.push(InsertParameter {
                    number,
                    column_index,
                });
            }
            _ => {}
        }
        if depth == 0 {
            column_index = 0;
        }
    }
    parameters
}

/// Where in the row of an `INSERT` a parameter stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct InsertParameter {
    /// The parameter's number from 1.
    pub(crate) number: usize,
    /// The place in the row from 0.
    pub(crate) column_index: usize,
}

/// Returns the columns that an `INSERT` names, if it names them.
pub(crate) fn insert_columns(sql: &str) -> Option<Vec<String>> {
    let upper = sql.to_ascii_uppercase();
    let end = upper.find("VALUES")?;
    let head = sql.get(..end)?;
    let (_, list) = head.split_once('(')?;
    let (list, _) = list.split_once(')')?;
    let names = list.split(',');
    Some(names.map(|name| name.trim().to_ascii_lowercase()).collect())
}
