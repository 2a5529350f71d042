//! Classifies the SQL that clients send and translates it to SQLite's dialect.

use std::time::Duration;

/// The error with which a statement is refused.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct SqlError {
    /// The SQLSTATE, five characters.
    pub(crate) code: &'static str,
    /// The message for the client.
    pub(crate) message: String,
}

impl SqlError {
    /// Creates an error with a SQLSTATE and a message.
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

/// The kind of a statement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StatementKind {
    /// Opens a transaction block that may write.
    Begin,
    /// Opens a read-only transaction block.
    BeginReadOnly,
    /// Commits the transaction block.
    Commit,
    /// Rolls the transaction block back.
    Rollback,
    /// Changes a setting.
    Set,
    /// Returns a setting.
    Show,
    /// Calls `pg_sleep`.
    Sleep,
    /// Reads from the database.
    Read,
    /// Writes to the database or locks rows.
    Write,
}

/// Returns the kind of a statement, judged by its first word and a few others.
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

/// Returns the setting and the duration of a `SET LOCAL` whose value is in milliseconds; `None` for
/// any other statement.
pub(crate) fn set_local(sql: &str) -> Option<(&str, Duration)> {
    let rest = sql.trim().strip_prefix("SET LOCAL ")?;
    let (name, value) = rest.split_once('=')?;
    let millis = value.trim().parse().ok()?;
    Some((name.trim(), Duration::from_millis(millis)))
}

/// Returns the argument of `pg_sleep` in seconds; 0 if it is not a number.
pub(crate) fn sleep_seconds(sql: &str) -> f64 {
    let lower = sql.to_ascii_lowercase();
    let argument = lower.split_once("pg_sleep(").map_or("", |(_, rest)| rest);
    let argument = argument.split(')').next().unwrap_or("");
    argument.trim().parse().unwrap_or(0.0)
}

/// Returns the command tag that reports a statement's completion.
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

/// A part of an SQL text.
struct Piece<'a> {
    /// The text of the part, with its quotes or comment marks.
    text: &'a str,
    /// Whether the part is outside quotes and comments.
    is_code: bool,
}

/// Splits an SQL text at the boundaries of its quotes and comments.
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

/// Returns an SQL text with each comment replaced by a space.
pub(crate) fn strip_comments(sql: &str) -> String {
    let kept = pieces(sql)
        .into_iter()
        .map(|piece| if is_comment(&piece) { " " } else { piece.text });
    kept.collect()
}

/// Splits an SQL text into its statements, without comments and empty statements.
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

/// A statement in SQLite's dialect with hints about the types of its parameters.
#[derive(Debug, Default)]
pub(crate) struct Translated {
    /// The SQL text, with `?1` instead of `$1` and without casts.
    pub(crate) sql: String,
    /// The hint for each parameter, in order.
    pub(crate) hints: Vec<ParameterHint>,
}

/// The indications of a parameter's type in an SQL text.
#[derive(Clone, Debug, Default)]
pub(crate) struct ParameterHint {
    /// The type that the parameter is cast to, in upper case; `INT8` after `LIMIT` and `OFFSET`.
    pub(crate) cast: Option<String>,
    /// The word before the operator in front of the parameter, in lower case; usually a column.
    pub(crate) column: Option<String>,
}

/// Translates a statement to SQLite's dialect; a final `FOR UPDATE` is dropped.
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

/// Translates a part outside quotes and comments and appends it to `out`.
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

/// Returns the length in bytes of the word at the beginning of a text.
fn word_length(text: &str) -> usize {
    text.chars()
        .take_while(|c| c.is_ascii_alphanumeric() || *c == '_')
        .count()
}

/// Returns whether a text ends in `LIMIT` or `OFFSET`, which an integer follows.
fn follows_limit_or_offset(sql: &str) -> bool {
    let upper = sql.trim_end().to_ascii_uppercase();
    upper.ends_with("LIMIT") || upper.ends_with("OFFSET")
}

/// Returns the word before the operator at the end of a text, in lower case; `None` if the text
/// does not end in an operator.
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

/// Returns the parameters in the values of an `INSERT` with their column indices.
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

/// A parameter in the values of an `INSERT`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct InsertParameter {
    /// The parameter's number, counted from 1.
    pub(crate) number: usize,
    /// The index of the parameter's column in the row, counted from 0.
    pub(crate) column_index: usize,
}

/// Returns the columns that an `INSERT` lists, in lower case; `None` if it lists none.
pub(crate) fn insert_columns(sql: &str) -> Option<Vec<String>> {
    let upper = sql.to_ascii_uppercase();
    let end = upper.find("VALUES")?;
    let head = sql.get(..end)?;
    let (_, list) = head.split_once('(')?;
    let (list, _) = list.split_once(')')?;
    let names = list.split(',');
    Some(names.map(|name| name.trim().to_ascii_lowercase()).collect())
}
