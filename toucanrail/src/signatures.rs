//! Authentication between the system's own processes: a keyed digest over each message.

use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::paths;

/// Header that carries the seal.
pub const SIGNATURE_HEADER: &str = "toucanrail-seal";

/// The fleet's key, ready for use.
#[derive(Clone)]
pub struct FleetKey {
    mac: Hmac<Sha256>,
}

impl std::fmt::Debug for FleetKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("FleetKey(..)")
    }
}

impl FleetKey {
    /// Makes a key of the secret that all processes of the fleet share.
    pub fn new(secret: &str) -> Self {
        let mac = Hmac::new_from_slice(secret.as_bytes());
        // HMAC takes keys of any length.
        Self { mac: mac.unwrap_or_else(|_| unreachable!()) }
    }

    /// Returns the seal of a message, in hexadecimal.
    ///
    /// # Examples
    /// ```
    /// let key = toucanrail::signatures::FleetKey::new("secret");
    /// let seal = key.sign("/run", b"body");
    /// assert!(key.verify("/run", b"body", &seal));
    /// assert!(!key.verify("/run", b"other", &seal));
    /// ```
    pub fn sign(&self, path: &str, body: &[u8]) -> String {
        let mut mac = self.mac.clone();
        mac.update(path.as_bytes());
        mac.update(b"\n");
        mac.update(body);
        let digits = mac.finalize().into_bytes();
        paths::hex_digits(&digits)
    }

    /// Tells whether a seal is this key's for the message; in constant time.
    pub fn verify(&self, path: &str, body: &[u8], seal: &str) -> bool {
        let expected = self.sign(path, body);
        let same = expected.bytes().zip(seal.bytes()).fold(0, |sum, (a, b)| sum | (a ^ b));
        expected.len() == seal.len() && same == 0
    }
}
