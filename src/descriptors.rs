//! The files and sockets that this process may have open, and how many of them connections of clients and to backend
//! servers may take. The rest is left for peers, operators, the platform and files.

/// The part of the descriptors that the connections of clients may take, and those to backend servers.
const SHARE_PERCENT: u64 = 37;
/// The limit that is assumed where the system does not tell it.
const LIMIT_DEFAULT: u64 = 1_024;

/// How many connections may be open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shares {
    /// The connections of clients.
    pub clients: usize,
    /// The connections to backend servers. Idle ones are closed beyond this; each request may have one.
    pub servers: usize,
}

impl Shares {
    /// Divides the process's limit of open descriptors.
    pub fn of(limit: u64) -> Self {
        let share = usize::try_from(limit.saturating_mul(SHARE_PERCENT) / 100);
        let share = share.unwrap_or(usize::MAX).max(1);
        Self { clients: share, servers: share }
    }
}

/// Raises the process's limit of open descriptors as far as the system allows it, and returns it.
pub fn raise_limit() -> u64 {
    match rlimit::increase_nofile_limit(rlimit::INFINITY) {
        Ok(limit) => limit,
        Err(error) => {
            log::warn!("event=descriptor_limit_unknown fault={}", crate::logging::quoted(error));
            LIMIT_DEFAULT
        }
    }
}
