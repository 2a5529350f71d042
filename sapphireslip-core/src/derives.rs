//! The common sets of derives, so that every type of one kind carries the same traits.

/// Declares plain data that is compared and printed, such as events, effects and states.
#[macro_export]
macro_rules! data {
    ($($item:item)*) => { $( #[derive(Clone, Debug, Eq, PartialEq)] $item )* };
}

/// Declares small copied values that are ordered and used as keys, such as terms and identifiers.
#[macro_export]
macro_rules! key {
    ($($item:item)*) => {
        $( #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)] $item )*
    };
}

pub(crate) use data;
pub(crate) use key;
