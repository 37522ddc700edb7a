//! Tells whether two requests are the same: by the caller and by all that is sent, whatever their ids.

use doorswitch_core::ids;
use sha2::Digest;

/// What a request is told by, without its body.
#[derive(Clone, Copy, Debug)]
pub struct Head<'a> {
    /// The workspace that pays, so that none can speak for another; empty without one.
    pub workspace: &'a str,
    /// The method.
    pub method: &'a str,
    /// The host that it was sent to; empty where hosts do not matter.
    pub host: &'a str,
    /// The path and query.
    pub target: &'a str,
}

impl Head<'_> {
    /// A digest of it. A SHA-256 is cut to 128 bits: nobody finds another request with the digest of a given one.
    pub fn digest(&self) -> HeadDigest {
        let mut hasher = sha2::Sha256::new();
        for field in [self.workspace, self.method, self.host, self.target] {
            // The length keeps what belongs to one field out of the next.
            hasher.update((field.len() as u64).to_be_bytes());
            hasher.update(field.as_bytes());
        }
        HeadDigest(first_half(&hasher.finalize()))
    }
}

/// A digest of a request without its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeadDigest([u8; 16]);

impl HeadDigest {
    /// What fingerprints of requests with this head have in common.
    pub fn key(self) -> u64 {
        let mut key = [0; 8];
        key.copy_from_slice(&self.0[..8]);
        u64::from_be_bytes(key)
    }

    /// The fingerprint of the request with this body, however its length was told.
    pub fn with_body(self, body: &[u8]) -> ids::Fingerprint {
        let mut hasher = sha2::Sha256::new();
        hasher.update(self.0);
        hasher.update(body);
        ids::Fingerprint { head: self.key(), whole: first_half(&hasher.finalize()) }
    }
}

fn first_half(digest: &[u8]) -> [u8; 16] {
    let mut half = [0; 16];
    half.copy_from_slice(&digest[..16]);
    half
}
