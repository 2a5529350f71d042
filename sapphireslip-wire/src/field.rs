//! Validation of single fields; errors name the field that was given.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use sapphireslip_core::NameError;

use crate::WireError;

/// Validates a name and converts it to its type.
pub(crate) fn name<'a, T>(field: &str, text: &'a str) -> Result<T, WireError>
where
    T: TryFrom<&'a str, Error = NameError>,
{
    T::try_from(text).map_err(|err| WireError::Name(field.to_owned(), err))
}

/// Parses an IP address. The error quotes the first 64 characters of the text.
pub(crate) fn ip(field: &str, text: &str) -> Result<IpAddr, WireError> {
    let invalid = || WireError::Address(field.to_owned(), text.chars().take(64).collect());
    text.parse().ok().ok_or_else(invalid)
}

/// Parses an IP address with a port. The error quotes the first 64 characters of the text.
pub(crate) fn address(field: &str, text: &str) -> Result<SocketAddr, WireError> {
    let invalid = || WireError::Address(field.to_owned(), text.chars().take(64).collect());
    text.parse().ok().ok_or_else(invalid)
}

/// Converts the value of an enumeration; rejects unknown values and the one for "unspecified".
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

/// Converts a message that must be present.
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

/// Returns a duration in whole microseconds, or `u64::MAX` if it is too long.
pub(crate) fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
