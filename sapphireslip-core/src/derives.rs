//! Macros for common sets of derives, so that all types of one kind have the same traits.

/// Declares plain data types that are cloned, compared and printed, such as events and effects.
#[macro_export]
macro_rules! data {
    ($($item:item)*) => { $( #[derive(Clone, Debug, Eq, PartialEq)] $item )* };
}

/// Declares small `Copy` types that are ordered and used as keys, such as terms and identifiers.
#[macro_export]
macro_rules! key {
    ($($item:item)*) => {
        $( #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)] $item )*
    };
}

pub(crate) use data;
pub(crate) use key;
