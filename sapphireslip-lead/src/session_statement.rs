//! Effects of statements on their sessions: statements that need no backend server are completed
//! here.

use sapphireslip_core::{SessionId, Text, TransactionStatus};

use crate::job::Work;
use crate::session::{SESSION_NAMES_MAX, Session, Transaction};
use crate::state::State;
use crate::{ErrorCode, Failure, Shape, Statement};

/// How a statement proceeds after its effects on the session.
pub(crate) enum StatementAction {
    /// The statement is complete.
    Done,
    /// The statement fails without reaching a server.
    Failed(Failure),
    /// A backend server has to run the statement, which is the given shape if it is an `EXECUTE`.
    Run(Work, Option<Shape>),
}

impl StatementAction {
    /// Returns a failure with [`ErrorCode::Malformed`].
    fn malformed(text: &str) -> Self {
        Self::Failed(Failure::new(ErrorCode::Malformed, text))
    }

    /// Returns the failure for a name under which the session has prepared nothing.
    fn no_statement(name: &str) -> Self {
        Self::Failed(Failure::new(ErrorCode::NoStatement, name))
    }
}

impl State {
    /// Applies a statement's effects on its session, and returns how the statement proceeds.
    pub(crate) fn apply_statement(
        &mut self,
        id: SessionId,
        statement: Option<&Statement>,
    ) -> StatementAction {
        let Some(session) = self.sessions.get_mut(&id) else {
            return StatementAction::Done;
        };
        let Some(statement) = statement else {
            return StatementAction::malformed("the text is not a known statement");
        };
        let status = session.status();
        match statement {
            Statement::Unreadable { fault } => StatementAction::malformed(fault),
            Statement::Begin { .. } | Statement::Commit | Statement::Rollback => {
                self.apply_transaction_statement(id, statement, status)
            }
            _ if status == TransactionStatus::Failed => {
                StatementAction::malformed("the transaction has failed: roll it back")
            }
            Statement::Set { name, value } => session.set(name, value),
            Statement::Prepare { name, shape } => session.prepare(name, shape),
            Statement::Deallocate { name } => match session.prepared.remove(name) {
                Some(_) => StatementAction::Done,
                None => StatementAction::no_statement(name),
            },
            Statement::Read => StatementAction::Run(Work::Read, None),
            Statement::Write => StatementAction::Run(Work::Write, None),
            Statement::Execute { name, .. } => session.execute(name),
        }
    }

    /// Applies `BEGIN`, `COMMIT` or `ROLLBACK` to a session whose transaction is in state `status`.
    fn apply_transaction_statement(
        &mut self,
        id: SessionId,
        statement: &Statement,
        status: TransactionStatus,
    ) -> StatementAction {
        match (statement, status) {
            (Statement::Rollback, TransactionStatus::Open | TransactionStatus::Failed) => {
                self.end_transaction(id);
                StatementAction::Done
            }
            (Statement::Commit, TransactionStatus::Failed) => {
                self.end_transaction(id);
                let text = "the transaction had failed and was rolled back";
                StatementAction::Failed(Failure::new(ErrorCode::Aborted, text))
            }
            (Statement::Commit, TransactionStatus::Open) => {
                StatementAction::Run(Work::Commit, None)
            }
            (Statement::Begin { reads_only }, TransactionStatus::Idle) => {
                self.begin(id, *reads_only)
            }
            (_, TransactionStatus::Failed) => {
                StatementAction::malformed("the transaction has failed: roll it back")
            }
            (Statement::Begin { .. }, _) => {
                StatementAction::malformed("a transaction is open already")
            }
            _ => StatementAction::malformed("no transaction is open"),
        }
    }

    /// Opens a transaction in the session; it begins at a server with its first statement.
    fn begin(&mut self, id: SessionId, reads_only: bool) -> StatementAction {
        let Some(route) = self.route_of(id) else {
            return StatementAction::Failed(self.no_route(id));
        };
        let idle_since = self.now;
        if let Some(session) = self.sessions.get_mut(&id) {
            session.transaction = Some(Transaction {
                route,
                reads_only,
                has_sent_write: false,
                connection: None,
                term: None,
                has_run: false,
                status: TransactionStatus::Open,
                idle_since,
                has_changed_variables: false,
            });
        }
        StatementAction::Done
    }

    /// Returns the failure for a session whose database has no route in the current configuration.
    pub(crate) fn no_route(&self, id: SessionId) -> Failure {
        let database = self.sessions.get(&id).map(|s| Text::clone(&s.database));
        let text = format!(
            "no route leads to database `{}` any more",
            database.unwrap_or_default()
        );
        Failure::new(ErrorCode::NoDatabase, &text)
    }
}

impl Session {
    /// Sets a session variable; the server connections follow before the next statement.
    fn set(&mut self, name: &Text, value: &Text) -> StatementAction {
        if self.variables.len() >= SESSION_NAMES_MAX && !self.variables.contains_key(name) {
            return StatementAction::malformed("the session has too many variables");
        }
        self.variables.insert(Text::clone(name), Text::clone(value));
        if let Some(transaction) = self.transaction.as_mut() {
            transaction.has_changed_variables = true;
        }
        StatementAction::Done
    }

    /// Prepares a statement in the session; a server prepares it before its first use there.
    fn prepare(&mut self, name: &Text, shape: &Shape) -> StatementAction {
        if self.prepared.len() >= SESSION_NAMES_MAX && !self.prepared.contains_key(name) {
            return StatementAction::malformed(
                "the session has too many prepared statements: deallocate some first",
            );
        }
        self.prepared.insert(Text::clone(name), shape.clone());
        StatementAction::Done
    }

    /// Looks up the prepared statement that an `EXECUTE` runs.
    fn execute(&self, name: &Text) -> StatementAction {
        let Some(shape) = self.prepared.get(name).cloned() else {
            return StatementAction::no_statement(name);
        };
        let work = if shape.writes {
            Work::Write
        } else {
            Work::Read
        };
        StatementAction::Run(work, Some(shape))
    }
}
