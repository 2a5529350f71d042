//! Statements that concern the session alone, and where the others go.

use sapphireslip_core::{SessionId, Text, TransactionStatus};

use crate::job::Work;
use crate::session::{SESSION_NAMES_MAX, Session, Transaction};
use crate::state::State;
use crate::{ErrorCode, Failure, Shape, Statement};

/// What becomes of a statement.
pub(crate) enum Step {
    /// It is done.
    Done,
    /// It fails.
    Failed(Failure),
    /// A backend server is to run it.
    Run(Work, Option<Shape>),
}

impl Step {
    fn malformed(text: &str) -> Self {
        Self::Failed(Failure::new(ErrorCode::Malformed, text))
    }

    fn no_statement(name: &str) -> Self {
        Self::Failed(Failure::new(ErrorCode::NoStatement, name))
    }
}

impl State {
    /// Takes a statement's effects on its session.
    pub(crate) fn step(&mut self, id: SessionId, statement: Option<&Statement>) -> Step {
        let Some(session) = self.sessions.get_mut(&id) else {
            return Step::Done;
        };
        let Some(statement) = statement else {
            return Step::malformed("the text is no statement");
        };
        let status = session.status();
        match statement {
            Statement::Begin { .. } | Statement::Commit | Statement::Rollback => {
                self.step_transaction(id, statement, status)
            }
            _ if status == TransactionStatus::Failed => {
                Step::malformed("the transaction has failed: roll it back")
            }
            Statement::Set { name, value } => session.set(name, value),
            Statement::Prepare { name, shape } => session.prepare(name, shape),
            Statement::Deallocate { name } => match session.prepared.remove(name) {
                Some(_) => Step::Done,
                None => Step::no_statement(name),
            },
            Statement::Read => Step::Run(Work::Read, None),
            Statement::Write => Step::Run(Work::Write, None),
            Statement::Execute { name, .. } => session.execute(name),
        }
    }

    fn step_transaction(
        &mut self,
        id: SessionId,
        statement: &Statement,
        status: TransactionStatus,
    ) -> Step {
        match (statement, status) {
            (Statement::Rollback, TransactionStatus::Open | TransactionStatus::Failed) => {
                self.end_transaction(id);
                Step::Done
            }
            (Statement::Commit, TransactionStatus::Failed) => {
                self.end_transaction(id);
                let text = "the transaction had failed";
                Step::Failed(Failure::new(ErrorCode::Aborted, text))
            }
            (Statement::Commit, TransactionStatus::Open) => Step::Run(Work::Commit, None),
            (Statement::Begin { reads_only }, TransactionStatus::Idle) => {
                self.begin(id, *reads_only)
            }
            (_, TransactionStatus::Failed) => {
                Step::malformed("the transaction has failed: roll it back")
            }
            (Statement::Begin { .. }, _) => Step::malformed("a transaction is open already"),
            _ => Step::malformed("no transaction is open"),
        }
    }

    fn begin(&mut self, id: SessionId, reads_only: bool) -> Step {
        let Some(route) = self.route_of(id) else {
            return Step::Failed(self.no_route(id));
        };
        let rested = self.now;
        if let Some(session) = self.sessions.get_mut(&id) {
            session.transaction = Some(Transaction {
                route,
                reads_only,
                has_written: false,
                connection: None,
                status: TransactionStatus::Open,
                rested,
                has_set: false,
            });
        }
        Step::Done
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
    fn set(&mut self, name: &Text, value: &Text) -> Step {
        if self.values.len() >= SESSION_NAMES_MAX && !self.values.contains_key(name) {
            return Step::malformed("the session holds too many values");
        }
        self.values.insert(Text::clone(name), Text::clone(value));
        if let Some(transaction) = self.transaction.as_mut() {
            transaction.has_set = true;
        }
        Step::Done
    }

    fn prepare(&mut self, name: &Text, shape: &Shape) -> Step {
        if self.prepared.len() >= SESSION_NAMES_MAX && !self.prepared.contains_key(name) {
            return Step::malformed("the session holds too many statements");
        }
        self.prepared.insert(Text::clone(name), shape.clone());
        Step::Done
    }

    fn execute(&self, name: &Text) -> Step {
        let Some(shape) = self.prepared.get(name).cloned() else {
            return Step::no_statement(name);
        };
        let work = if shape.writes {
            Work::Write
        } else {
            Work::Read
        };
        Step::Run(work, Some(shape))
    }
}
