//! The text that the simulated engine generates. It is a pure function of the prompt and the token
//! position, so the load generator can compute the expected response of every request.

use toucanrail::ids::Tokens;
use toucanrail::routing;

const ALPHABET: &[u8; 16] = b"abdefgiklmnoprst";

/// Returns the token at a position, followed by a space.
pub fn token_text(seed: u64, position: Tokens) -> String {
    let hash =
        (seed ^ position.wrapping_mul(0x9E37_79B9_7F4A_7C15)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let letters = (0..4).map(|index| ALPHABET[(hash >> (20 + index * 4)) as usize & 15] as char);
    letters.chain([' ']).collect()
}

/// Returns the seed of the tokens generated for a prompt: a hash of the whole prompt.
pub fn prompt_seed(prompt: &str) -> u64 {
    routing::hash_prefix(prompt.as_bytes(), usize::MAX)
}

/// Returns the generated text of a prompt for the token positions `from..to`.
pub fn answer_text(prompt: &str, from: Tokens, to: Tokens) -> String {
    let seed = prompt_seed(prompt);
    (from..to).map(|position| token_text(seed, position)).collect()
}

/// Returns the number of tokens the simulated engine counts for a prompt: one for every four bytes,
/// rounded up.
pub fn prompt_tokens(bytes: usize) -> Tokens {
    (bytes as Tokens).div_ceil(4)
}
