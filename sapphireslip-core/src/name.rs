//! Validated names, stored as shared immutable strings.

use std::fmt::{self, Display, Formatter};
use std::sync::Arc;

use quick_error::quick_error;

/// The maximum length of a name, in bytes.
pub const NAME_MAX_BYTES: usize = 63;

quick_error! {
    /// The reason why a text is not a valid name.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum NameError {
        /// The text is empty.
        Empty(what: &'static str) {
            display("{what} is empty: give 1 to {NAME_MAX_BYTES} characters")
        }
        /// The text is too long.
        Long(what: &'static str, length: usize) {
            display("{what} has {length} bytes: give at most {NAME_MAX_BYTES}")
        }
        /// The text has a character that is not allowed in names.
        Character(what: &'static str, text: String, character: char) {
            display("{what} `{text}` has `{character}`: use a-z, 0-9, `-` and `_`")
        }
    }
}

/// Checks that a text is a valid name; `what` is the kind of name, for error messages.
fn check(what: &'static str, text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty(what));
    }
    if text.len() > NAME_MAX_BYTES {
        return Err(NameError::Long(what, text.len()));
    }
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '_';
    match text.chars().find(|c| !allowed(*c)) {
        Some(c) => Err(NameError::Character(what, text.to_owned(), c)),
        None => Ok(()),
    }
}

/// Defines a type for one kind of name, so that kinds can't be mixed up.
macro_rules! name {
    ($(#[$meta:meta])* $name:ident, $what:literal) => {
        $(#[$meta])*
        #[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the text of the name.
            ///
            /// ```
            #[doc = concat!("use sapphireslip_core::", stringify!($name), ";")]
            #[doc = concat!("let name = ", stringify!($name), "::try_from(\"stock-1\")?;")]
            /// assert_eq!(name.as_str(), "stock-1");
            /// # Ok::<(), sapphireslip_core::NameError>(())
            /// ```
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<&str> for $name {
            type Error = NameError;

            fn try_from(text: &str) -> Result<Self, NameError> {
                check($what, text)?;
                Ok(Self(Arc::from(text)))
            }
        }

        impl Display for $name {
            fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name!(
    /// The name of a VM, which runs one daemon.
    VmId,
    "VM"
);
name!(
    /// The name of an availability zone.
    ZoneName,
    "availability zone"
);
name!(
    /// The name of a member of the consortium, which is one business.
    MemberName,
    "member"
);
name!(
    /// The name of a member's service, which is declared by one document.
    ServiceName,
    "service"
);
name!(
    /// The name of a database, which is served by one group of backend servers.
    DatabaseName,
    "database"
);
name!(
    /// The name of one backend server of a database group.
    ServerId,
    "backend server"
);
name!(
    /// The name of a user that clients log in as.
    UserName,
    "caller"
);
name!(
    /// The name of a client account.
    AccountName,
    "client account"
);
