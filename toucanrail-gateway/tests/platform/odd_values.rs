//! JSON that the fake store cannot hold as a value: it holds marks, which stand for it in responses.

/// Marks, in quotes as in a response, of values that are nested 200 and 20,000 deep, of a number with 400
/// digits, and of one beyond the range of all types.
pub const MARKS: [&str; 4] = ["@nested", "@deeper", "@digits", "@beyond"];

/// Replaces the marks in a response by what they stand for.
pub fn expand(text: &str) -> String {
    let nested = |depth: usize| "[".repeat(depth) + &"]".repeat(depth);
    let values = [nested(200), nested(20_000), "7".repeat(400), "1e400".to_owned()];
    let mut text = text.to_owned();
    for (mark, value) in MARKS.iter().zip(values) {
        text = text.replace(&format!("\"{mark}\""), &value);
    }
    text
}
