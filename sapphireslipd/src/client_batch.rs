//! Classifies a client's batch of protocol messages and answers session commands locally.

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

/// The text that classifies a batch that runs nothing: a read, which any server can serve.
const DESCRIBES_ONLY: &str = "SELECT /* describes only */";

/// An answer to session commands, which the daemon gives without a backend server.
#[derive(Debug)]
pub(crate) struct LocalAnswer {
    /// The encoded protocol messages of the answer, without the final ready message.
    pub(crate) buf: BytesMut,
    /// The session token that the client set with these commands, if any.
    pub(crate) token_given: Option<TermPosition>,
    /// The request key that the client set for its next statement, if any.
    pub(crate) key_given: Option<RequestKey>,
    /// Whether the commands discard the session's prepared statements.
    pub(crate) clears_prepared: bool,
    /// The session token that `SHOW` returns.
    token: Option<TermPosition>,
    /// The name of the session's database.
    database: Text,
}

impl LocalAnswer {
    /// Returns an empty answer for a session with the given token and database.
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

    /// Appends the description of a command's result columns; returns false if it has none.
    pub(crate) fn describe(&mut self, command: &SessionCommand) -> bool {
        let has_columns = *command == SessionCommand::ShowToken;
        if has_columns {
            put_text_column(&mut self.buf, TOKEN_PARAMETER);
        }
        has_columns
    }

    /// Executes a command and appends its answer; returns false if the command is refused.
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

/// Formats the session token of a session that has seen the log of its database up to `seen`.
pub(crate) fn token_text(database: &Text, seen: TermPosition) -> String {
    let database = DatabaseName::try_from(database.as_ref()).ok();
    SessionToken { database, seen }.to_string()
}

/// The session commands of a batch, one for each parse or bind message.
pub(crate) type BatchCommands = Vec<SessionCommand>;

/// Returns the session commands of a batch that needs no backend server, or `None` if it needs one.
///
/// A batch needs none if all its statements are session commands, or if it has only closes and a
/// sync. A batch that mixes session commands with other statements yields a single refusal.
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

/// Appends the answer to a batch of session commands, up to the first refused command.
///
/// The ready message is not included.
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

/// The SQL text of a batch, used to classify it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct BatchText {
    /// The texts of the bound statements, joined by `;`, or [`DESCRIBES_ONLY`].
    pub(crate) text: Text,
    /// Whether the batch contains an execute message.
    pub(crate) executes: bool,
}

/// Returns the text of a batch, for classification.
///
/// Preparing or describing a statement runs nothing, so only bound statements count, and only if
/// the batch executes.
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
