//! Keys of callers and operators: kept as digests, compared in constant time.

use sha2::Digest;
use subtle::ConstantTimeEq;

/// SHA-256 of a key.
pub type KeyDigest = [u8; 32];

/// The digest of a key.
pub fn digest(key: &str) -> KeyDigest {
    sha2::Sha256::digest(key.as_bytes()).into()
}

/// The digest of a key, as configurations hold it.
pub fn digest_hex(key: &str) -> String {
    digest(key).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Reads a digest from a configuration.
pub fn parse_digest(text: &str) -> Option<KeyDigest> {
    let mut digest = [0; 32];
    if text.len() != 64 || !text.is_ascii() {
        return None;
    }
    for (place, byte) in digest.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[place * 2..place * 2 + 2], 16).ok()?;
    }
    Some(digest)
}

/// Whether two digests are the same, in a time that does not depend on where they differ.
pub fn same(one: &KeyDigest, other: &KeyDigest) -> bool {
    one.ct_eq(other).into()
}

/// The key in an `Authorization: Bearer` header.
pub fn bearer(headers: &actix_web::http::header::HeaderMap) -> Option<&str> {
    let value = headers.get(actix_web::http::header::AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ")
}
