//! Conversions of enumerations.

use sapphireslip_core as core;

use crate::peer;

/// Declares both conversions of an enumeration whose variants have the same names on both sides.
macro_rules! same_variants {
    ($name:ident: $($variant:ident)*) => {
        impl From<core::$name> for peer::$name {
            fn from(value: core::$name) -> Self {
                match value {
                    $( core::$name::$variant => Self::$variant, )*
                }
            }
        }

        impl TryFrom<peer::$name> for core::$name {
            type Error = peer::$name;

            fn try_from(value: peer::$name) -> Result<Self, peer::$name> {
                match value {
                    peer::$name::Unspecified => Err(value),
                    $( peer::$name::$variant => Ok(Self::$variant), )*
                }
            }
        }
    };
}

same_variants!(StatementKind: Read Write Begin BeginReadOnly Commit Rollback);
same_variants!(TransactionStatus: Idle Open Failed);
same_variants!(Certainty: NotRun Unknown);
same_variants!(VmState: Alive Suspect Leaving Dead);
same_variants!(RefusalReason:
    UnknownDatabase BadCredentials QueueFull Deadline NoMajority NoPrimary NoFreshServer
    NoConnection NoHome Draining Quota KeyRefused LostBranch TransactionLost AnswerLost
    Unsupported);
