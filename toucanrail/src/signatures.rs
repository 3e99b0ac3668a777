//! Message authentication between the fleet's own processes: HMAC-SHA256 with a shared key.

use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::paths;

/// HTTP header that carries the signature.
pub const SIGNATURE_HEADER: &str = "toucanrail-seal";

/// The fleet's shared key, initialized for signing and verifying.
#[derive(Clone)]
pub struct FleetKey {
    mac: Hmac<Sha256>,
}

// Keeps the key out of debug output.
impl std::fmt::Debug for FleetKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("FleetKey(..)")
    }
}

impl FleetKey {
    /// Creates the key from the secret that all processes of the fleet share.
    pub fn new(secret: &str) -> Self {
        let mac = Hmac::new_from_slice(secret.as_bytes());
        // HMAC accepts keys of any length.
        Self { mac: mac.unwrap_or_else(|_| unreachable!()) }
    }

    /// Returns the signature of a request path and body, in hexadecimal.
    ///
    /// # Examples
    /// ```
    /// let key = toucanrail::signatures::FleetKey::new("secret");
    /// let signature = key.sign("/run", b"body");
    /// assert!(key.verify("/run", b"body", &signature));
    /// assert!(!key.verify("/run", b"other", &signature));
    /// ```
    pub fn sign(&self, path: &str, body: &[u8]) -> String {
        let mut mac = self.mac.clone();
        mac.update(path.as_bytes());
        mac.update(b"\n");
        mac.update(body);
        let digest = mac.finalize().into_bytes();
        paths::hex_digits(&digest)
    }

    /// Returns whether a signature matches the path and body; compares in constant time.
    pub fn verify(&self, path: &str, body: &[u8], signature: &str) -> bool {
        let expected = self.sign(path, body);
        let difference =
            expected.bytes().zip(signature.bytes()).fold(0, |sum, (a, b)| sum | (a ^ b));
        expected.len() == signature.len() && difference == 0
    }
}
