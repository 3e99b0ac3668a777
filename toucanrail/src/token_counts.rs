//! Token counts from outside the fleet, and their sums.

#![deny(clippy::arithmetic_side_effects)]

use crate::ids::Tokens;

/// The largest count, in tokens, that is accepted from outside. Thousands of them add up without an
/// overflow, and no model has a context of this size.
pub const MAX_COUNT: Tokens = 1 << 40;

/// Parses a decimal count of at most [`MAX_COUNT`] tokens; blanks around it are allowed, a sign is
/// not.
///
/// # Examples
/// ```
/// use toucanrail::token_counts;
/// assert_eq!(token_counts::parse_count(" 1460"), Some(1_460));
/// assert_eq!(token_counts::parse_count("+1460"), None);
/// assert_eq!(token_counts::parse_count("18446744073709551615"), None);
/// ```
pub fn parse_count(text: &str) -> Option<Tokens> {
    let digits = text.trim_matches([' ', '\t']);
    let is_decimal = digits.bytes().all(|byte| byte.is_ascii_digit());
    digits.parse().ok().filter(|count| is_decimal && *count <= MAX_COUNT)
}

/// Adds counts; a sum that is too large becomes the largest one, which nothing covers.
///
/// # Examples
/// ```
/// use toucanrail::token_counts;
/// assert_eq!(token_counts::sum([2, 3]), 5);
/// assert_eq!(token_counts::sum([u64::MAX, 3]), u64::MAX);
/// ```
pub fn sum<Counts>(counts: Counts) -> Tokens
where
    Counts: IntoIterator<Item = Tokens>,
{
    counts.into_iter().fold(0, Tokens::saturating_add)
}
