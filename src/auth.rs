//! API keys of callers and operators, which are stored as digests and compared in constant time.

use sha2::Digest;
use subtle::ConstantTimeEq;

/// The SHA-256 digest of a key.
pub type KeyDigest = [u8; 32];

/// Computes the digest of a key.
pub fn digest(key: &str) -> KeyDigest {
    sha2::Sha256::digest(key.as_bytes()).into()
}

/// Computes the digest of a key in the hexadecimal form that is used in configurations.
pub fn digest_hex(key: &str) -> String {
    digest(key).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Parses the hexadecimal form of a digest; `None` if the text is not 64 hexadecimal digits.
pub fn parse_digest(text: &str) -> Option<KeyDigest> {
    let mut digest = [0; 32];
    if text.len() != 64 || !text.is_ascii() {
        return None;
    }
    for (index, byte) in digest.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[index * 2..index * 2 + 2], 16).ok()?;
    }
    Some(digest)
}

/// Whether two digests are equal. The time of the comparison does not depend on where they differ.
pub fn digests_equal(a: &KeyDigest, b: &KeyDigest) -> bool {
    a.ct_eq(b).into()
}

/// Returns the key from an `Authorization: Bearer` header.
pub fn bearer(headers: &actix_web::http::header::HeaderMap) -> Option<&str> {
    let value = headers.get(actix_web::http::header::AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ")
}
