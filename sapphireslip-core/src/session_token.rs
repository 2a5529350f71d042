//! The token that a client carries between daemons so that it reads its own writes on each of them.

use std::fmt::{self, Display, Formatter};

use quick_error::quick_error;

use crate::derives::data;
use crate::{DatabaseName, NameError, TermPosition, TermPositionError};

data! {
    /// A session token, such as `stock:3/1042`: a database and a term and position in its log.
    pub struct SessionToken {
        /// The database whose log the token refers to; `None` if the client left it out.
        pub database: Option<DatabaseName>,
        /// The newest record of the log that the session has seen.
        pub seen: TermPosition,
    }
}

quick_error! {
    /// The reason why a session token is refused.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum SessionTokenError {
        /// The database part is not a valid name.
        Database(err: NameError) {
            display("{err}")
            source(err)
            from()
        }
        /// The record part is not a term and a position.
        Seen(err: TermPositionError) {
            display("{err}")
            source(err)
            from()
        }
        /// The token belongs to another database.
        OtherDatabase(token: String, database: String) {
            display("token `{token}` does not belong to database `{database}`: use it only in sessions of its own database")
        }
    }
}

impl SessionToken {
    /// Returns the newest record that, by the token, a session of `database` has seen.
    ///
    /// # Errors
    ///
    /// Returns [`SessionTokenError::OtherDatabase`] if the token names another database, whose
    /// records can't be compared with those of this one.
    ///
    /// ```
    /// use sapphireslip_core::SessionToken;
    /// let token = SessionToken::try_from("stock:3/1042")?;
    /// assert_eq!(token.seen_in("stock")?.to_string(), "3/1042");
    /// assert!(token.seen_in("ledger").is_err());
    /// # Ok::<(), sapphireslip_core::SessionTokenError>(())
    /// ```
    pub fn seen_in(&self, database: &str) -> Result<TermPosition, SessionTokenError> {
        match &self.database {
            Some(name) if name.as_str() != database => Err(SessionTokenError::OtherDatabase(
                self.to_string(),
                database.to_owned(),
            )),
            _ => Ok(self.seen),
        }
    }
}

impl TryFrom<&str> for SessionToken {
    type Error = SessionTokenError;

    fn try_from(text: &str) -> Result<Self, SessionTokenError> {
        let Some((database, seen)) = text.split_once(':') else {
            return Ok(Self {
                database: None,
                seen: TermPosition::try_from(text)?,
            });
        };
        let database = Some(DatabaseName::try_from(database)?);
        Ok(Self {
            database,
            seen: TermPosition::try_from(seen)?,
        })
    }
}

impl Display for SessionToken {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        if let Some(database) = &self.database {
            write!(f, "{database}:")?;
        }
        write!(f, "{}", self.seen)
    }
}
