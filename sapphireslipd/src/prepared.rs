//! A session's prepared statements, which the client edge keeps.
//!
//! The backend connection may change between batches, so prepared statements can't be kept on one.
//! Instead, they are stored here, and a batch that uses one is sent with a parse message that
//! prepares it again as the unnamed statement.

use std::collections::BTreeMap;

use bytes::{Bytes, BytesMut};
use pgwire::error::PgWireError;
use pgwire::messages::Message;
use pgwire::messages::extendedquery::{Bind, Close, Describe, Parse, TARGET_TYPE_BYTE_STATEMENT};
use quick_error::quick_error;
use sapphireslip_core::Text;

use crate::frames::{decode_checked, first_frame_head, session_context};

/// The most named prepared statements of one session.
pub const PREPARED_MAX: usize = 512;

/// The most bytes that the named prepared statements of one session may take, and the most bytes of
/// an unnamed statement that is kept after its batch.
pub const PREPARED_MAX_BYTES: usize = 1024 * 1024;

quick_error! {
    /// The reason why a batch can't be sent.
    #[derive(Debug)]
    pub enum PreparedError {
        /// The session's prepared statements would exceed a limit.
        Full {
            display("the session has over {PREPARED_MAX} prepared statements or over {PREPARED_MAX_BYTES} bytes of them: close some")
        }
        /// A message can't be decoded.
        Malformed {
            display("a message of the batch is malformed")
        }
        /// A message can't be encoded.
        Encode(error: PgWireError) {
            display("a message of the batch can't be written: {error}")
            source(error)
            from()
        }
    }
}

/// A prepared statement.
#[derive(Debug)]
struct Statement {
    /// The SQL text.
    text: Text,
    /// A parse message that prepares the statement as the unnamed one.
    parse: Bytes,
}

/// The action of one message of a batch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BatchStep {
    /// Prepares a statement with this text.
    Parse(Text),
    /// Binds parameters to a statement with this text; `None` if the statement is unknown.
    Bind(Option<Text>),
    /// Asks for the parameters and columns of a statement, or for the columns of a portal.
    Describe {
        /// Whether the message asks about a statement, not a portal.
        is_statement: bool,
    },
    /// Executes a portal.
    Execute,
    /// Closes a statement or a portal.
    Close,
    /// Does anything else, such as a sync or flush.
    Other,
}

/// A batch rewritten for any backend connection.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RewrittenBatch {
    /// The protocol messages to send to a backend server.
    pub payload: Bytes,
    /// The action of each message of the client's batch.
    pub steps: Vec<BatchStep>,
    /// For each parse message in `payload`, whether the rewriting inserted it.
    pub inserted: Vec<bool>,
}

/// The prepared statements of one session.
#[derive(Debug, Default)]
pub struct PreparedStatements {
    /// The unnamed statement, if it is prepared.
    unnamed: Option<Statement>,
    /// The named statements by name.
    statements: BTreeMap<String, Statement>,
    /// The bytes that the names and statements in `statements` take.
    named_bytes: usize,
}

/// The result so far of [`PreparedStatements::rewrite`].
#[derive(Default)]
struct RewriteOutput {
    /// The messages to send to a backend server.
    payload: BytesMut,
    /// The actions of the client's messages.
    steps: Vec<BatchStep>,
    /// For each parse message in `payload`, whether the rewriting inserted it.
    inserted: Vec<bool>,
    /// The client's name of the statement that the batch prepared last, always as the server's
    /// unnamed one; `None` before the first.
    server_unnamed: Option<String>,
}

/// Decodes a message.
fn decode_message<M: Message>(frame: &Bytes) -> Result<M, PreparedError> {
    let cx = session_context();
    decode_checked(frame, |buf| M::decode(buf, &cx)).ok_or(PreparedError::Malformed)
}

impl PreparedError {
    /// Returns the SQLSTATE that the client sees.
    pub(crate) const fn sqlstate(&self) -> &'static str {
        match self {
            Self::Full => "54000",
            Self::Malformed | Self::Encode(_) => "08P01",
        }
    }
}

impl PreparedStatements {
    /// Discards all prepared statements.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Rewrites a batch of whole messages so that any backend connection can run it, and stores the
    /// statements that it prepares.
    ///
    /// # Errors
    ///
    /// Returns an error if a message is malformed or the session would have too many prepared
    /// statements. The batch must not be sent then.
    ///
    /// ```
    /// use sapphireslipd::PreparedStatements;
    /// let mut prepared = PreparedStatements::default();
    /// let sync = bytes::Bytes::from_static(b"S\0\0\0\x04");
    /// let batch = prepared.rewrite(&[sync.clone()])?;
    /// assert_eq!(batch.payload, sync);
    /// # Ok::<(), sapphireslipd::PreparedError>(())
    /// ```
    pub fn rewrite(&mut self, frames: &[Bytes]) -> Result<RewrittenBatch, PreparedError> {
        let mut out = RewriteOutput::default();
        for frame in frames {
            let kind = first_frame_head(frame).map(|head| head.kind);
            let step = match kind {
                Some(b'P') => self.parse(frame, &mut out)?,
                Some(b'B') => self.bind(frame, &mut out)?,
                Some(b'D') => self.describe(frame, &mut out)?,
                Some(b'C') => self.close(frame, &mut out)?,
                Some(b'E') => {
                    out.payload.extend_from_slice(frame);
                    BatchStep::Execute
                }
                // The batch is answered as a whole, so a flush within it has no effect.
                Some(b'H') => BatchStep::Other,
                _ => {
                    out.payload.extend_from_slice(frame);
                    BatchStep::Other
                }
            };
            out.steps.push(step);
        }
        // A large unnamed statement is only kept for the batch that prepares it.
        self.unnamed
            .take_if(|statement| statement.size() > PREPARED_MAX_BYTES);
        Ok(RewrittenBatch {
            payload: out.payload.freeze(),
            steps: out.steps,
            inserted: out.inserted,
        })
    }

    /// Rewrites a parse message to prepare the unnamed statement, and stores the statement.
    fn parse(
        &mut self,
        frame: &Bytes,
        out: &mut RewriteOutput,
    ) -> Result<BatchStep, PreparedError> {
        let mut message: Parse = decode_message(frame)?;
        let name = message.name.take().unwrap_or_default();
        let mut parse = BytesMut::new();
        message.encode(&mut parse)?;
        out.payload.extend_from_slice(&parse);
        out.inserted.push(false);
        out.server_unnamed = Some(name.clone());
        let text = Text::from(message.query);
        let statement = Statement {
            text: Text::clone(&text),
            parse: parse.freeze(),
        };
        self.insert(name, statement)?;
        Ok(BatchStep::Parse(text))
    }

    /// Stores a statement under a name, in place of an older one of the same name.
    fn insert(&mut self, name: String, statement: Statement) -> Result<(), PreparedError> {
        if name.is_empty() {
            self.unnamed = Some(statement);
            return Ok(());
        }
        self.remove(&name);
        let bytes = name.len() + statement.size();
        let is_full = self.statements.len() >= PREPARED_MAX;
        if is_full || self.named_bytes + bytes > PREPARED_MAX_BYTES {
            return Err(PreparedError::Full);
        }
        self.named_bytes += bytes;
        self.statements.insert(name, statement);
        Ok(())
    }

    /// Returns the statement of a name; the empty name is the unnamed statement's.
    fn get(&self, name: &str) -> Option<&Statement> {
        match name {
            "" => self.unnamed.as_ref(),
            _ => self.statements.get(name),
        }
    }

    /// Removes the statement of a name, if it is stored.
    fn remove(&mut self, name: &str) {
        if name.is_empty() {
            self.unnamed = None;
        }
        if let Some(statement) = self.statements.remove(name) {
            self.named_bytes -= name.len() + statement.size();
        }
    }

    /// Makes sure that a statement is the unnamed one at the server, by a parse message if needed.
    ///
    /// Returns the statement's text, or `None` if the statement is unknown.
    fn ensure_unnamed(&self, name: &str, out: &mut RewriteOutput) -> Option<Text> {
        let statement = self.get(name)?;
        if out.server_unnamed.as_deref() != Some(name) {
            out.payload.extend_from_slice(&statement.parse);
            out.inserted.push(true);
            out.server_unnamed = Some(name.to_owned());
        }
        Some(Text::clone(&statement.text))
    }

    /// Rewrites a bind message to use the unnamed statement.
    fn bind(&self, frame: &Bytes, out: &mut RewriteOutput) -> Result<BatchStep, PreparedError> {
        let mut message: Bind = decode_message(frame)?;
        let name = message.statement_name.take().unwrap_or_default();
        let text = self.ensure_unnamed(&name, out);
        if text.is_some() {
            message.encode(&mut out.payload)?;
        } else {
            // The server refuses the unknown name, and the client gets that answer.
            out.payload.extend_from_slice(frame);
        }
        Ok(BatchStep::Bind(text))
    }

    /// Rewrites a describe message to use the unnamed statement, unless it is about a portal.
    fn describe(&self, frame: &Bytes, out: &mut RewriteOutput) -> Result<BatchStep, PreparedError> {
        let mut message: Describe = decode_message(frame)?;
        let is_statement = message.target_type == TARGET_TYPE_BYTE_STATEMENT;
        let name = message.name.clone().unwrap_or_default();
        if is_statement && self.ensure_unnamed(&name, out).is_some() {
            message.name = None;
            message.encode(&mut out.payload)?;
        } else {
            out.payload.extend_from_slice(frame);
        }
        Ok(BatchStep::Describe { is_statement })
    }

    /// Removes the statement that a close message names; the message itself is sent unchanged.
    fn close(
        &mut self,
        frame: &Bytes,
        out: &mut RewriteOutput,
    ) -> Result<BatchStep, PreparedError> {
        let message: Close = decode_message(frame)?;
        if message.target_type == TARGET_TYPE_BYTE_STATEMENT {
            self.remove(message.name.as_deref().unwrap_or(""));
        }
        out.payload.extend_from_slice(frame);
        Ok(BatchStep::Close)
    }
}

impl Statement {
    /// Returns the bytes that the statement takes.
    fn size(&self) -> usize {
        self.text.len() + self.parse.len()
    }
}
