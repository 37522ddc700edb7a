//! Fingerprints of requests: equal for requests of the same workspace with the same content, whatever their ids; and of
//! the parts that prompts share.

use doorswitch_core::ids;
use doorswitch_platform::headers;
use sha2::Digest;

/// Computes the fingerprints of the parts of a prompt that other requests may share: all but the last one, which belongs
/// to its request or session. A part is identified by the service, whose weights decide what it causes, and by the
/// workspace, so that none can have a part of another quarantined.
pub fn shared_parts(
    service: &str,
    workspace: &str,
    parts: &[headers::Part],
) -> Vec<ids::Fingerprint> {
    let Some((_, shared)) = parts.split_last() else { return Vec::new() };
    let fingerprint = |part: &headers::Part| {
        let id = part.id.to_be_bytes();
        let for_all = digest(&[service.as_bytes(), &id]);
        let for_workspace = digest(&[service.as_bytes(), workspace.as_bytes(), &id]);
        let mut whole = [0; 12];
        whole.copy_from_slice(&for_workspace[..12]);
        ids::Fingerprint::of_part(first_number(&for_all), whole)
    };
    shared.iter().map(fingerprint).collect()
}

/// The ids of prompt parts as clients write them, each with its fingerprint, for a log line.
pub fn part_names(parts: &[headers::Part], fingerprints: &[ids::Fingerprint]) -> String {
    let fingerprints = fingerprints.iter().map(Some).chain(std::iter::repeat(None));
    let names = parts.iter().zip(fingerprints).map(|(part, fingerprint)| match fingerprint {
        Some(fingerprint) => format!("{:x}:{fingerprint}", part.id),
        None => format!("{:x}", part.id),
    });
    names.collect::<Vec<_>>().join(",")
}

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
        let fields = [self.workspace, self.method, self.host, self.target];
        HeadDigest(digest(&fields.map(str::as_bytes)))
    }
}

/// A digest of everything in a request but its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeadDigest([u8; 16]);

impl HeadDigest {
    /// The part that the fingerprints of all requests with this head have in common.
    pub fn key(self) -> u64 {
        first_number(&self.0)
    }

    /// The fingerprint of the request with this body, whether it was sent with a content length or in chunks.
    pub fn with_body(self, body: &[u8]) -> ids::Fingerprint {
        let mut hasher = sha2::Sha256::new();
        hasher.update(self.0);
        hasher.update(body);
        ids::Fingerprint { head: self.key(), whole: first_half(&hasher.finalize()) }
    }
}

/// A SHA-256 of several fields, cut to 128 bits.
fn digest(fields: &[&[u8]]) -> [u8; 16] {
    let mut hasher = sha2::Sha256::new();
    for field in fields {
        // The length prefix keeps the boundaries between fields unambiguous.
        hasher.update((field.len() as u64).to_be_bytes());
        hasher.update(field);
    }
    first_half(&hasher.finalize())
}

fn first_half(digest: &[u8]) -> [u8; 16] {
    let mut half = [0; 16];
    half.copy_from_slice(&digest[..16]);
    half
}

fn first_number(digest: &[u8; 16]) -> u64 {
    let mut number = [0; 8];
    number.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(number)
}
