//! Parsers of values; the errors describe the expected value.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;

/// Placeholder for a missing address.
pub const UNSPECIFIED: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Maximum length of a name.
const MAX_NAME_BYTES: usize = 64;
/// Maximum number of streams over which claims are distributed.
const MAX_SHARDS: u16 = 256;

/// A parsed value, or a description of the expected value.
pub type Parsed<T> = Result<T, &'static str>;

/// Parses a duration such as `1s 100ms`.
///
/// ```
/// use std::time::Duration;
/// use pistachiohall::settings::unit;
/// assert_eq!(unit::duration("55ms"), Ok(Duration::from_millis(55)));
/// assert!(unit::duration("55").is_err());
/// ```
pub fn duration(text: &str) -> Parsed<Duration> {
    match humantime::parse_duration(text) {
        Ok(period) if !period.is_zero() => Ok(period),
        _ => Err("a duration above zero with a unit, such as `1s 100ms`"),
    }
}

/// Parses a size such as `4MiB` into bytes.
///
/// ```
/// assert_eq!(pistachiohall::settings::unit::size("2KiB"), Ok(2048));
/// ```
pub fn size(text: &str) -> Parsed<usize> {
    const EXPECTED: &str = "a size with the unit B, KiB or MiB, such as `4MiB`";
    let digits = text.trim_end_matches(|c: char| !c.is_ascii_digit());
    let scale = match text[digits.len()..].trim() {
        "B" => 1,
        "KiB" => 1 << 10,
        "MiB" => 1 << 20,
        _ => return Err(EXPECTED),
    };
    let number: usize = digits.parse().map_err(|_| EXPECTED)?;
    number
        .checked_mul(scale)
        .filter(|size| *size > 0)
        .ok_or(EXPECTED)
}

/// Parses the memory of a host such as `120MiB` or `122.5MiB` into bytes.
///
/// ```
/// use pistachiohall::settings::unit;
/// assert_eq!(unit::memory("120MiB"), Ok(120 << 20));
/// assert_eq!(unit::memory("0.5MiB"), Ok(512 << 10));
/// assert!(unit::memory("-1MiB").is_err());
/// ```
pub fn memory(text: &str) -> Parsed<usize> {
    text.strip_suffix("MiB")
        .and_then(|number| number.trim().parse().ok())
        .filter(|number: &f64| number.is_finite() && *number > 0.0)
        .map(|number| (number * f64::from(1 << 20)) as usize)
        .ok_or("the host's memory in MiB, such as `120MiB`")
}

/// Parses a count above zero.
pub fn count(text: &str) -> Parsed<usize> {
    text.parse()
        .ok()
        .filter(|count| *count > 0)
        .ok_or("a whole number above zero")
}

/// Parses a number of claim shards.
pub fn shards(text: &str) -> Parsed<u16> {
    text.parse()
        .ok()
        .filter(|count| (1..=MAX_SHARDS).contains(count))
        .ok_or("a whole number from 1 to 256")
}

/// Parses the rank of a class; 0 is the most urgent.
pub fn rank(text: &str) -> Parsed<u8> {
    text.parse().map_err(|_| "a whole number from 0 to 255")
}

/// Parses a weight of zero or more.
pub fn weight(text: &str) -> Parsed<f64> {
    text.parse()
        .ok()
        .filter(|weight: &f64| weight.is_finite() && *weight >= 0.0)
        .ok_or("a number of zero or more")
}

/// Parses a share from 0 to 1.
pub fn share(text: &str) -> Parsed<f64> {
    text.parse()
        .ok()
        .filter(|share| (0.0..=1.0).contains(share))
        .ok_or("a number from 0 to 1")
}

/// Parses `yes` or `no`.
pub fn flag(text: &str) -> Parsed<bool> {
    match text {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err("`yes` or `no`"),
    }
}

/// Parses an IP address and port.
pub fn address(text: &str) -> Parsed<SocketAddr> {
    text.parse()
        .map_err(|_| "an IP address and port, such as `127.0.0.1:8080`")
}

/// Parses IP addresses and ports, separated by commas.
///
/// ```
/// use pistachiohall::settings::unit;
/// assert_eq!(unit::addresses("127.0.0.1:1, 127.0.0.1:2").unwrap().len(), 2);
/// ```
pub fn addresses(text: &str) -> Parsed<Vec<SocketAddr>> {
    text.split(',').map(|part| address(part.trim())).collect()
}

/// Parses a name of letters, digits, `-`, `_` and `.`.
pub fn name(text: &str) -> Parsed<CompactString> {
    let fits = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    match !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(fits) {
        true => Ok(text.into()),
        false => Err("a name of 1 to 64 letters, digits, `-`, `_` or `.`"),
    }
}

/// Parses a SHA-256 digest of 64 hexadecimal digits.
pub fn digest(text: &str) -> Parsed<CompactString> {
    match text.len() == 64 && text.bytes().all(|b| b.is_ascii_hexdigit()) {
        true => Ok(text.to_ascii_lowercase().into()),
        false => Err("a SHA-256 digest of 64 hexadecimal digits"),
    }
}
