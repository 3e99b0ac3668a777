//! The text that the stand-in engine generates: a function of the prompt and the position, so
//! that the load tool knows every right answer.

use toucanrail::ids::Tokens;
use toucanrail::routing;

const LETTERS: &[u8; 16] = b"abdefgiklmnoprst";

/// Returns the token at a position, with the space behind it.
pub fn token_text(seed: u64, position: Tokens) -> String {
    let mixed =
        (seed ^ position.wrapping_mul(0x9E37_79B9_7F4A_7C15)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let letters = (0..4).map(|at| LETTERS[(mixed >> (20 + at * 4)) as usize & 15] as char);
    letters.chain([' ']).collect()
}

/// Returns the seed of a prompt.
pub fn prompt_seed(prompt: &str) -> u64 {
    routing::hash_prefix(prompt.as_bytes(), usize::MAX)
}

/// Returns the tokens of a prompt's answer from one position to before another.
pub fn answer_text(prompt: &str, from: Tokens, to: Tokens) -> String {
    let seed = prompt_seed(prompt);
    (from..to).map(|position| token_text(seed, position)).collect()
}

/// Returns the tokens that the stand-in engine counts for a prompt: four bytes each.
pub fn prompt_tokens(bytes: usize) -> Tokens {
    (bytes as Tokens).div_ceil(4)
}
