//! The token that a caller carries between daemons, so that it reads its own writes everywhere.

use std::fmt::{self, Display, Formatter};

use quick_error::quick_error;

use crate::derives::data;
use crate::{DatabaseName, NameError, TermPosition, TermPositionError};

data! {
    /// A session token, such as `stock:3/1042`.
    pub struct SessionToken {
        /// The database whose log it is about; none if the caller left it out.
        pub database: Option<DatabaseName>,
        /// The record that the session has seen.
        pub seen: TermPosition,
    }
}

quick_error! {
    /// Why a session token is refused.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum SessionTokenError {
        /// The database is not a name.
        Database(err: NameError) {
            display("{err}")
            source(err)
            from()
        }
        /// The record has another form.
        Seen(err: TermPositionError) {
            display("{err}")
            source(err)
            from()
        }
        /// The token is of another database.
        OtherDatabase(token: String, database: String) {
            display("token `{token}` is not of database `{database}`: give it only to sessions of its own database")
        }
    }
}

impl SessionToken {
    /// Returns what the token says that a session of `database` has seen.
    ///
    /// # Errors
    ///
    /// [`SessionTokenError::OtherDatabase`] if the token names another database: its records say
    /// nothing of this one's.
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
