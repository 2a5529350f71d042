//! Statements that concern the session alone, and where the others go.

use sapphireslip_core::{SessionId, Text, TransactionStatus};

use crate::job::Work;
use crate::session::{SESSION_NAMES_MAX, Session, Transaction};
use crate::state::State;
use crate::{ErrorCode, Failure, Shape, Statement};

/// What becomes of a statement.
pub(crate) enum StatementAction {
    /// It is done.
    Done,
    /// It fails.
    Failed(Failure),
    /// A backend server is to run it.
    Run(Work, Option<Shape>),
}

impl StatementAction {
    fn malformed(text: &str) -> Self {
        Self::Failed(Failure::new(ErrorCode::Malformed, text))
    }

    fn no_statement(name: &str) -> Self {
        Self::Failed(Failure::new(ErrorCode::NoStatement, name))
    }
}

impl State {
    /// Takes a statement's effects on its session.
    pub(crate) fn apply_statement(
        &mut self,
        id: SessionId,
        statement: Option<&Statement>,
    ) -> StatementAction {
        let Some(session) = self.sessions.get_mut(&id) else {
            return StatementAction::Done;
        };
        let Some(statement) = statement else {
            return StatementAction::malformed("the text is no statement");
        };
        let status = session.status();
        match statement {
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
                let text = "the transaction had failed";
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
                status: TransactionStatus::Open,
                idle_since,
                has_changed_variables: false,
            });
        }
        StatementAction::Done
    }

    /// Returns the failure of a session whose database has lost its route.
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
    fn set(&mut self, name: &Text, value: &Text) -> StatementAction {
        if self.variables.len() >= SESSION_NAMES_MAX && !self.variables.contains_key(name) {
            return StatementAction::malformed("the session holds too many values");
        }
        self.variables.insert(Text::clone(name), Text::clone(value));
        if let Some(transaction) = self.transaction.as_mut() {
            transaction.has_changed_variables = true;
        }
        StatementAction::Done
    }

    fn prepare(&mut self, name: &Text, shape: &Shape) -> StatementAction {
        if self.prepared.len() >= SESSION_NAMES_MAX && !self.prepared.contains_key(name) {
            return StatementAction::malformed("the session holds too many statements");
        }
        self.prepared.insert(Text::clone(name), shape.clone());
        StatementAction::Done
    }

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
