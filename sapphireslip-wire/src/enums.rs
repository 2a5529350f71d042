//! Conversions between the enumerations of the wire and those of the core.

use sapphireslip_core as core;

use crate::peer;

/// Implements both conversions for an enumeration whose variants have the same names on the wire
/// and in the core. The wire's `Unspecified` has no counterpart and is rejected.
macro_rules! convert_enum {
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

convert_enum!(StatementKind: Read Write Begin BeginReadOnly Commit Rollback);
convert_enum!(TransactionStatus: Idle Open Failed);
convert_enum!(Certainty: NotRun Unknown);
convert_enum!(VmState: Alive Suspect Leaving Dead);
convert_enum!(RefusalReason:
    UnknownDatabase BadCredentials QueueFull Deadline NoMajority NoPrimary NoFreshServer
    NoConnection NoHome Draining Quota KeyRefused LostBranch TransactionLost AnswerLost
    Unsupported);
