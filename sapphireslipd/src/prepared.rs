//! A session's prepared statements, kept at the edge.
//!
//! The backend connection changes between batches, so that no statement can be left on one. Each
//! is remembered here, and a batch that uses it is sent with a parse message for the unnamed
//! statement before it.

use std::collections::BTreeMap;

use bytes::{Bytes, BytesMut};
use pgwire::error::PgWireError;
use pgwire::messages::Message;
use pgwire::messages::extendedquery::{Bind, Close, Describe, Parse, TARGET_TYPE_BYTE_STATEMENT};
use quick_error::quick_error;
use sapphireslip_core::Text;

use crate::frames::{decode_checked, first_frame_head, session_context};

/// Prepared statements of one session at the most.
pub const PREPARED_MAX: usize = 512;

/// Bytes that the prepared statements of one session take at the most.
pub const PREPARED_MAX_BYTES: usize = 1024 * 1024;

quick_error! {
    /// Why a batch can't be sent.
    #[derive(Debug)]
    pub enum PreparedError {
        /// The session has too many prepared statements.
        Full {
            display("the session has over {PREPARED_MAX} prepared statements or over {PREPARED_MAX_BYTES} bytes of them: close some")
        }
        /// A message can't be read.
        Malformed {
            display("a message of the batch is malformed")
        }
        /// A message can't be written.
        Encode(error: PgWireError) {
            display("a message of the batch can't be written: {error}")
            source(error)
            from()
        }
    }
}

#[derive(Debug)]
struct Statement {
    text: Text,
    /// The parse message, for the unnamed statement.
    parse: Bytes,
}

/// What a message of a batch does.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Prepares this text.
    Parse(Text),
    /// Binds parameters to this text; none if the statement is unknown.
    Bind(Option<Text>),
    /// Asks what a statement takes and gives; a portal has no parameters to report.
    Describe {
        /// Whether a statement is asked about, not a portal.
        statement: bool,
    },
    /// Runs a portal.
    Execute,
    /// Closes a statement or portal.
    Close,
    /// Anything else.
    Other,
}

/// A batch as it is sent to a backend server.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Rewritten {
    /// The messages.
    pub payload: Bytes,
    /// What each message of the caller does.
    pub steps: Vec<Step>,
    /// For each parse message in `payload`, whether it was put in here.
    pub inserted: Vec<bool>,
}

/// The prepared statements of one session.
#[derive(Debug, Default)]
pub struct PreparedStatements {
    unnamed: Option<Statement>,
    statements: BTreeMap<String, Statement>,
    bytes: usize,
}

/// A batch on its way through [`PreparedStatements::rewrite`].
#[derive(Default)]
struct Output {
    payload: BytesMut,
    steps: Vec<Step>,
    inserted: Vec<bool>,
    /// The statement that the backend server has as the unnamed one.
    current: Option<String>,
}

fn read<M: Message>(frame: &Bytes) -> Result<M, PreparedError> {
    let cx = session_context();
    decode_checked(frame, |buf| M::decode(buf, &cx)).ok_or(PreparedError::Malformed)
}

impl PreparedError {
    /// Returns the SQLSTATE under which callers see it.
    pub(crate) const fn sqlstate(&self) -> &'static str {
        match self {
            Self::Full => "54000",
            Self::Malformed | Self::Encode(_) => "08P01",
        }
    }
}

impl PreparedStatements {
    /// Forgets all.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Takes a batch of whole messages, remembers what it prepares, and makes it fit for any
    /// connection.
    ///
    /// # Errors
    ///
    /// A message is malformed, or the session has too many prepared statements. The batch is not
    /// to be sent then.
    ///
    /// ```
    /// use sapphireslipd::PreparedStatements;
    /// let mut prepared = PreparedStatements::default();
    /// let sync = bytes::Bytes::from_static(b"S\0\0\0\x04");
    /// let batch = prepared.rewrite(&[sync.clone()])?;
    /// assert_eq!(batch.payload, sync);
    /// # Ok::<(), sapphireslipd::PreparedError>(())
    /// ```
    pub fn rewrite(&mut self, frames: &[Bytes]) -> Result<Rewritten, PreparedError> {
        let mut out = Output::default();
        for frame in frames {
            let kind = first_frame_head(frame).map(|head| head.kind);
            let step = match kind {
                Some(b'P') => self.parse(frame, &mut out)?,
                Some(b'B') => self.bind(frame, &mut out)?,
                Some(b'D') => self.describe(frame, &mut out)?,
                Some(b'C') => self.close(frame, &mut out)?,
                Some(b'E') => {
                    out.payload.extend_from_slice(frame);
                    Step::Execute
                }
                // A flush in a batch that is answered as a whole has nothing to do.
                Some(b'H') => Step::Other,
                _ => {
                    out.payload.extend_from_slice(frame);
                    Step::Other
                }
            };
            out.steps.push(step);
        }
        // A large unnamed statement is kept for its own batch only.
        self.unnamed
            .take_if(|statement| statement.size() > PREPARED_MAX_BYTES);
        Ok(Rewritten {
            payload: out.payload.freeze(),
            steps: out.steps,
            inserted: out.inserted,
        })
    }

    fn parse(&mut self, frame: &Bytes, out: &mut Output) -> Result<Step, PreparedError> {
        let mut message: Parse = read(frame)?;
        let name = message.name.take().unwrap_or_default();
        let mut parse = BytesMut::new();
        message.encode(&mut parse)?;
        out.payload.extend_from_slice(&parse);
        out.inserted.push(false);
        out.current = Some(name.clone());
        let text = Text::from(message.query);
        let statement = Statement {
            text: Text::clone(&text),
            parse: parse.freeze(),
        };
        self.insert(name, statement)?;
        Ok(Step::Parse(text))
    }

    fn insert(&mut self, name: String, statement: Statement) -> Result<(), PreparedError> {
        if name.is_empty() {
            self.unnamed = Some(statement);
            return Ok(());
        }
        self.remove(&name);
        let bytes = name.len() + statement.size();
        let full = self.statements.len() >= PREPARED_MAX;
        if full || self.bytes + bytes > PREPARED_MAX_BYTES {
            return Err(PreparedError::Full);
        }
        self.bytes += bytes;
        self.statements.insert(name, statement);
        Ok(())
    }

    fn get(&self, name: &str) -> Option<&Statement> {
        match name {
            "" => self.unnamed.as_ref(),
            _ => self.statements.get(name),
        }
    }

    fn remove(&mut self, name: &str) {
        if name.is_empty() {
            self.unnamed = None;
        }
        if let Some(statement) = self.statements.remove(name) {
            self.bytes -= name.len() + statement.size();
        }
    }

    /// Makes a statement the unnamed one; returns its text if it is known.
    fn use_statement(&self, name: &str, out: &mut Output) -> Option<Text> {
        let statement = self.get(name)?;
        if out.current.as_deref() != Some(name) {
            out.payload.extend_from_slice(&statement.parse);
            out.inserted.push(true);
            out.current = Some(name.to_owned());
        }
        Some(Text::clone(&statement.text))
    }

    fn bind(&self, frame: &Bytes, out: &mut Output) -> Result<Step, PreparedError> {
        let mut message: Bind = read(frame)?;
        let name = message.statement_name.take().unwrap_or_default();
        let text = self.use_statement(&name, out);
        if text.is_some() {
            message.encode(&mut out.payload)?;
        } else {
            // The server's own refusal is the caller's answer.
            out.payload.extend_from_slice(frame);
        }
        Ok(Step::Bind(text))
    }

    fn describe(&self, frame: &Bytes, out: &mut Output) -> Result<Step, PreparedError> {
        let mut message: Describe = read(frame)?;
        let statement = message.target_type == TARGET_TYPE_BYTE_STATEMENT;
        let name = message.name.clone().unwrap_or_default();
        if statement && self.use_statement(&name, out).is_some() {
            message.name = None;
            message.encode(&mut out.payload)?;
        } else {
            out.payload.extend_from_slice(frame);
        }
        Ok(Step::Describe { statement })
    }

    fn close(&mut self, frame: &Bytes, out: &mut Output) -> Result<Step, PreparedError> {
        let message: Close = read(frame)?;
        if message.target_type == TARGET_TYPE_BYTE_STATEMENT {
            self.remove(message.name.as_deref().unwrap_or(""));
        }
        out.payload.extend_from_slice(frame);
        Ok(Step::Close)
    }
}

impl Statement {
    fn size(&self) -> usize {
        self.text.len() + self.parse.len()
    }
}
