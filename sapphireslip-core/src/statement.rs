//! Classifies statements for routing.

use quick_error::quick_error;

use crate::{StatementKind, sql_statements};

quick_error! {
    /// The reason why a statement is not supported through the proxy.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum StatementError {
        /// The statement would leave state on a connection, but the session's next statement may
        /// run on another one.
        SessionState(word: String) {
            display("`{word}` keeps state on the connection, which may change between statements: connect to the backend server directly for it")
        }
    }
}

/// The first words of statements that leave state on the connection or need a protocol of their
/// own.
const SESSION_STATE: [&str; 9] = [
    "LISTEN",
    "UNLISTEN",
    "DECLARE",
    "PREPARE",
    "EXECUTE",
    "DEALLOCATE",
    "DISCARD",
    "COPY",
    "LOAD",
];

/// The words that make a statement a write although it begins like a read, such as `SELECT INTO`,
/// `FOR SHARE` and a `WITH` that changes data.
const WRITE_WORDS: [&str; 12] = [
    "INSERT", "UPDATE", "DELETE", "MERGE", "INTO", "SHARE", "NEXTVAL", "SETVAL", "CREATE", "ALTER",
    "DROP", "TRUNCATE",
];

/// Returns the kind of a text of one or more statements.
///
/// A text that is wrongly taken for a read is refused by the replica that gets it, so a doubtful
/// text may count as a read. It must not count as a kind that needs no acknowledgement by a
/// majority.
///
/// ```
/// use sapphireslip_core::{StatementKind, classify};
/// assert_eq!(classify("select 1")?, StatementKind::Read);
/// assert_eq!(classify("begin read only")?, StatementKind::BeginReadOnly);
/// assert_eq!(classify("select 1; insert into t values (1)")?, StatementKind::Write);
/// # Ok::<(), sapphireslip_core::StatementError>(())
/// ```
///
/// # Errors
///
/// Returns [`StatementError`] for statements that depend on the state of one connection.
pub fn classify(text: &str) -> Result<StatementKind, StatementError> {
    let mut combined = None;
    for words in sql_statements(text) {
        let kind = classify_one(&words)?;
        combined = Some(combined.map_or(kind, |earlier| combine(earlier, kind)));
    }
    Ok(combined.unwrap_or(StatementKind::Read))
}

/// Returns the kind of a text from the kinds of its earlier statements and of the next one. All of
/// them run on one connection, so the most demanding one decides.
///
/// A text that begins and ends a transaction counts as a write, and one that ends a transaction
/// among other statements counts as a commit: neither may be run again when its answer is lost.
fn combine(earlier: StatementKind, next: StatementKind) -> StatementKind {
    use StatementKind::{Begin, BeginReadOnly, Commit, Read, Rollback, Write};
    match (earlier, next) {
        (Read, Read) => Read,
        (BeginReadOnly, Read) => BeginReadOnly,
        (Begin | BeginReadOnly, Commit | Rollback) => Write,
        (Begin | BeginReadOnly, _) => Begin,
        (Commit | Rollback, _) | (_, Commit | Rollback) => Commit,
        _ => Write,
    }
}

/// Returns the kind of one statement, given as its upper-case words.
fn classify_one(words: &[String]) -> Result<StatementKind, StatementError> {
    let has = |word: &str| words.iter().any(|w| w == word);
    let follows = |first: &str, second: &str| {
        words
            .windows(2)
            .any(|pair| pair[0] == first && pair[1] == second)
    };
    let first = words.first().map_or("", String::as_str);
    if first == "PREPARE" && words.get(1).is_some_and(|w| w == "TRANSACTION") {
        return Err(StatementError::SessionState(
            "PREPARE TRANSACTION".to_owned(),
        ));
    }
    if SESSION_STATE.contains(&first) {
        return Err(StatementError::SessionState(first.to_owned()));
    }
    if let Some(lock) = words.iter().find(|word| is_session_lock(word)) {
        return Err(StatementError::SessionState(lock.to_ascii_lowercase()));
    }
    if first == "CREATE" && (has("TEMP") || has("TEMPORARY")) {
        return Err(StatementError::SessionState("CREATE TEMPORARY".to_owned()));
    }
    Ok(match first {
        "BEGIN" | "START" if follows("READ", "ONLY") => StatementKind::BeginReadOnly,
        "BEGIN" | "START" => StatementKind::Begin,
        "COMMIT" | "END" => StatementKind::Commit,
        "ROLLBACK" if has("TO") => StatementKind::Write,
        "ROLLBACK" | "ABORT" => StatementKind::Rollback,
        "SELECT" | "WITH" | "VALUES" | "TABLE" | "SHOW" => read_unless_writing(words),
        "EXPLAIN" if !has("ANALYZE") => StatementKind::Read,
        _ => StatementKind::Write,
    })
}

/// Returns whether a word is a function that takes or releases an advisory lock of the session,
/// which outlives its transaction.
fn is_session_lock(word: &str) -> bool {
    is_advisory_lock(word) && !word.contains("XACT")
}

/// Returns whether a word is a function that takes or releases an advisory lock.
fn is_advisory_lock(word: &str) -> bool {
    word.starts_with("PG_ADVISORY") || word.starts_with("PG_TRY_ADVISORY")
}

/// Returns the kind of a statement that begins like a read.
fn read_unless_writing(words: &[String]) -> StatementKind {
    let writes = words
        .iter()
        .any(|word| WRITE_WORDS.contains(&word.as_str()) || is_advisory_lock(word));
    if writes {
        StatementKind::Write
    } else {
        StatementKind::Read
    }
}
