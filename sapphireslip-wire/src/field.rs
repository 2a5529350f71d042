//! Checks of single fields.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use sapphireslip_core::NameError;

use crate::WireError;

/// Checks a name.
pub(crate) fn name<'a, T>(field: &str, text: &'a str) -> Result<T, WireError>
where
    T: TryFrom<&'a str, Error = NameError>,
{
    T::try_from(text).map_err(|err| WireError::Name(field.to_owned(), err))
}

/// Checks an IP number.
pub(crate) fn ip(field: &str, text: &str) -> Result<IpAddr, WireError> {
    let invalid = || WireError::Address(field.to_owned(), text.chars().take(64).collect());
    text.parse().ok().ok_or_else(invalid)
}

/// Reads an IP number with a port.
pub(crate) fn address(field: &str, text: &str) -> Result<SocketAddr, WireError> {
    let invalid = || WireError::Address(field.to_owned(), text.chars().take(64).collect());
    text.parse().ok().ok_or_else(invalid)
}

/// Converts an enumeration, refusing unknown values and the one that stands for none.
pub(crate) fn enumeration<W, C>(field: &str, value: i32) -> Result<C, WireError>
where
    W: TryFrom<i32>,
    C: TryFrom<W>,
{
    W::try_from(value)
        .ok()
        .and_then(|wire| C::try_from(wire).ok())
        .ok_or_else(|| WireError::Enum(field.to_owned(), value))
}

/// Converts a message that must be there.
pub(crate) fn required<W, C>(field: &str, message: Option<W>) -> Result<C, WireError>
where
    C: TryFrom<W, Error = WireError>,
{
    let message = message.ok_or_else(|| WireError::Missing(field.to_owned()))?;
    C::try_from(message).map_err(|err| err.within(field))
}

/// Converts every message of a list.
pub(crate) fn list<W, C>(field: &str, messages: Vec<W>) -> Result<Vec<C>, WireError>
where
    C: TryFrom<W, Error = WireError>,
{
    let convert = |message| C::try_from(message).map_err(|err: WireError| err.within(field));
    messages.into_iter().map(convert).collect()
}

/// Returns whole microseconds, at most what the field holds.
pub(crate) fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
