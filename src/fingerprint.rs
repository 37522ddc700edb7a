//! Fingerprints of requests: equal for requests of the same workspace with the same content, whatever their ids.

use doorswitch_core::ids;
use sha2::Digest;

/// Everything but the body that goes into the fingerprint of a request.
#[derive(Clone, Copy, Debug)]
pub struct Head<'a> {
    /// The workspace whose budget pays, so that none can affect the requests of another; empty without one.
    pub workspace: &'a str,
    /// The HTTP method, as the client sent it.
    pub method: &'a str,
    /// The host to which the request was sent; empty if requests are not distinguished by host.
    pub host: &'a str,
    /// The path and query string.
    pub target: &'a str,
}

impl Head<'_> {
    /// Computes the digest: a SHA-256 cut to 128 bits, for which finding another request with the digest of a given one
    /// is still infeasible.
    pub fn digest(&self) -> HeadDigest {
        let mut hasher = sha2::Sha256::new();
        for field in [self.workspace, self.method, self.host, self.target] {
            // The length prefix keeps the boundaries between fields unambiguous.
            hasher.update((field.len() as u64).to_be_bytes());
            hasher.update(field.as_bytes());
        }
        HeadDigest(first_half(&hasher.finalize()))
    }
}

/// A digest of everything in a request but its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeadDigest([u8; 16]);

impl HeadDigest {
    /// The part that the fingerprints of all requests with this head have in common.
    pub fn key(self) -> u64 {
        let mut key = [0; 8];
        key.copy_from_slice(&self.0[..8]);
        u64::from_be_bytes(key)
    }

    /// The fingerprint of the request with this body, whether it was sent with a content length or in chunks.
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
