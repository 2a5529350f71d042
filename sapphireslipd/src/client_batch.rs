//! What a batch of a caller's messages asks for, and answers to session commands.

use bytes::BytesMut;
use pgwire::messages::PgWireBackendMessage as Out;
use pgwire::messages::data::ParameterDescription;
use pgwire::messages::extendedquery::{BindComplete, CloseComplete, ParseComplete};
use sapphireslip_core::{DatabaseName, RequestKey, SessionToken, TermPosition, Text};

use crate::client_messages::{
    Severity, put, put_complete, put_error, put_no_data, put_text_column, put_text_row,
};
use crate::prepared::BatchStep;
use crate::session_command::{SessionCommand, TOKEN_PARAMETER, session_commands};

/// The text of a batch that runs nothing and can go to any server.
const DESCRIBES_ONLY: &str = "SELECT /* describes only */";

/// An answer to session commands.
#[derive(Debug)]
pub(crate) struct LocalAnswer {
    /// The messages.
    pub(crate) buf: BytesMut,
    /// The token that the caller gave.
    pub(crate) token_given: Option<TermPosition>,
    /// The key that the caller gave.
    pub(crate) key_given: Option<RequestKey>,
    /// Whether prepared statements are forgotten.
    pub(crate) clears_prepared: bool,
    token: Option<TermPosition>,
    database: Text,
}

impl LocalAnswer {
    /// Returns an empty answer for a session that has this token.
    pub(crate) fn new(token: Option<TermPosition>, database: &Text) -> Self {
        Self {
            buf: BytesMut::new(),
            token_given: None,
            key_given: None,
            clears_prepared: false,
            token,
            database: Text::clone(database),
        }
    }

    /// Describes a command's columns, if it has any.
    pub(crate) fn describe(&mut self, command: &SessionCommand) -> bool {
        let has_columns = *command == SessionCommand::ShowToken;
        if has_columns {
            put_text_column(&mut self.buf, TOKEN_PARAMETER);
        }
        has_columns
    }

    /// Answers a command; returns false after a refusal.
    pub(crate) fn execute(&mut self, command: &SessionCommand) -> bool {
        let tag = match command {
            SessionCommand::SetToken(token) => match token.seen_in(&self.database) {
                Ok(seen) => {
                    self.token_given = Some(seen);
                    self.token = Some(seen);
                    "SET"
                }
                Err(error) => {
                    let message = error.to_string();
                    put_error(&mut self.buf, Severity::Error, "22023", &message);
                    return false;
                }
            },
            SessionCommand::SetKey(key) => {
                self.key_given = Some(key.clone());
                "SET"
            }
            SessionCommand::ShowToken => {
                let token = self.token.map(|seen| token_text(&self.database, seen));
                put_text_row(&mut self.buf, &token.unwrap_or_default());
                "SHOW"
            }
            SessionCommand::Acknowledge { tag } => tag,
            SessionCommand::ClearPrepared { tag } => {
                self.clears_prepared = true;
                tag
            }
            SessionCommand::Refuse { sqlstate, message } => {
                put_error(&mut self.buf, Severity::Error, sqlstate, message);
                return false;
            }
        };
        put_complete(&mut self.buf, tag);
        true
    }
}

/// Returns the token that tells what a session of a database has seen.
pub(crate) fn token_text(database: &Text, seen: TermPosition) -> String {
    let database = DatabaseName::try_from(database.as_ref()).ok();
    SessionToken { database, seen }.to_string()
}

/// The commands of a batch, one for each message that names a text.
pub(crate) type BatchCommands = Vec<SessionCommand>;

/// Returns the commands of a batch that needs no backend server.
///
/// Such a batch has only session commands, or only closes and a sync.
pub(crate) fn batch_commands(steps: &[BatchStep]) -> Option<BatchCommands> {
    let mut commands = Vec::new();
    let mut has_other_statements = false;
    for step in steps {
        match step {
            BatchStep::Parse(text) | BatchStep::Bind(Some(text)) => match session_commands(text) {
                Some(found) => commands.extend(found.into_iter().next()),
                None => has_other_statements = true,
            },
            BatchStep::Bind(None) => has_other_statements = true,
            BatchStep::Execute | BatchStep::Describe { .. } => {
                has_other_statements |= commands.is_empty()
            }
            BatchStep::Close | BatchStep::Other => {}
        }
    }
    if has_other_statements && !commands.is_empty() {
        let message = "`SET` and the like can't stand in a batch with other statements";
        return Some(vec![SessionCommand::Refuse {
            sqlstate: "0A000",
            message: message.to_owned(),
        }]);
    }
    (!has_other_statements).then_some(commands)
}

/// Answers a batch of session commands; its ready message is left to the caller.
pub(crate) fn answer_batch(
    answer: &mut LocalAnswer,
    steps: &[BatchStep],
    commands: &[SessionCommand],
) {
    if let [refusal @ SessionCommand::Refuse { .. }] = commands {
        answer.execute(refusal);
        return;
    }
    let mut commands = commands.iter();
    let mut current = None;
    for step in steps {
        match step {
            BatchStep::Parse(_) => {
                current = commands.next();
                put(&mut answer.buf, &Out::ParseComplete(ParseComplete::new()));
            }
            BatchStep::Bind(_) => {
                current = commands.next();
                put(&mut answer.buf, &Out::BindComplete(BindComplete::new()));
            }
            BatchStep::Describe { is_statement } => {
                if *is_statement {
                    let none = ParameterDescription::new(Vec::new());
                    put(&mut answer.buf, &Out::ParameterDescription(none));
                }
                if !current.is_some_and(|command| answer.describe(command)) {
                    put_no_data(&mut answer.buf);
                }
            }
            BatchStep::Execute => {
                if !current.is_some_and(|command| answer.execute(command)) {
                    return;
                }
            }
            BatchStep::Close => put(&mut answer.buf, &Out::CloseComplete(CloseComplete::new())),
            BatchStep::Other => {}
        }
    }
}

/// The text of a batch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct BatchText {
    /// The texts that it runs, joined by `;`.
    pub(crate) text: Text,
    /// Whether it runs anything.
    pub(crate) executes: bool,
}

/// Returns the text of a batch, for classification.
///
/// A statement that is only prepared or described runs nothing, whatever it is.
pub(crate) fn batch_text(steps: &[BatchStep]) -> BatchText {
    let executes = steps.contains(&BatchStep::Execute);
    let bound = steps.iter().filter_map(|step| match step {
        BatchStep::Bind(Some(text)) => Some(text.as_ref()),
        _ => None,
    });
    let joined = bound.collect::<Vec<_>>().join(";");
    let text = match executes && !joined.is_empty() {
        true => joined.into(),
        false => DESCRIBES_ONLY.into(),
    };
    BatchText { text, executes }
}
