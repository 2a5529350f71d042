//! Parses durations and addresses as documents write them.

use std::net::SocketAddr;
use std::time::Duration;

use crate::DocumentFault;

/// Parses a whole number followed by `ms`, `s`, `m` or `h`; `None` if the text has another form or
/// the duration overflows.
pub(crate) fn parse_duration(text: &str) -> Option<Duration> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    let number: u64 = number.parse().ok()?;
    let millis_per_unit = match unit {
        "ms" => 1,
        "s" => 1_000,
        "m" => 60_000,
        "h" => 3_600_000,
        _ => return None,
    };
    number
        .checked_mul(millis_per_unit)
        .map(Duration::from_millis)
}

/// Parses an IP address with a port.
///
/// # Errors
///
/// Returns [`DocumentFault::PortZero`] if the port is 0, [`DocumentFault::HostName`] if a host name
/// stands in place of the IP address, and [`DocumentFault::InvalidAddress`] otherwise.
pub(crate) fn parse_address(text: &str) -> Result<SocketAddr, DocumentFault> {
    if let Ok(address) = text.parse::<SocketAddr>() {
        return if address.port() == 0 {
            Err(DocumentFault::PortZero(text.to_owned()))
        } else {
            Ok(address)
        };
    }
    let host = text.rsplit_once(':').map_or(text, |(host, _)| host);
    if host.chars().any(|c| c.is_ascii_alphabetic()) && !host.contains(':') {
        return Err(DocumentFault::HostName(text.to_owned()));
    }
    Err(DocumentFault::InvalidAddress(text.to_owned()))
}
