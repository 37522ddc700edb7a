//! What a server says of itself in the head of an answer.

/// What one header says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stated<T> {
    /// It is not there.
    #[default]
    Nothing,
    /// It says this.
    Value(T),
    /// It is there, and what it says is not understood.
    Unreadable,
}

/// What the head of one answer says of the server that gave it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Said {
    /// Requests a second that the server takes from all routers together, in thousandths.
    pub limit_milli_per_s: Stated<u64>,
    /// Whether the server leaves.
    pub leaves: Stated<bool>,
    /// For how long the server wants no more requests from this router, in milliseconds.
    pub backoff_ms: Stated<u64>,
}

/// How long ago an answer's request was sent and its head came, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerAge {
    /// Since the request was sent.
    pub sent_ms: u64,
    /// Since the head of the answer came.
    pub heard_ms: u64,
}

/// A header of which [`Said`] tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Header {
    /// [`Said::limit_milli_per_s`].
    Limit,
    /// [`Said::leaves`].
    Leaving,
    /// [`Said::backoff_ms`].
    Backoff,
}

impl Header {
    /// The value of the key `header` in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Limit => "Limit",
            Self::Leaving => "Leaving",
            Self::Backoff => "Backoff",
        }
    }
}

impl Said {
    /// Whether none of these headers is there.
    pub fn is_silent(&self) -> bool {
        *self == Self::default()
    }

    /// The headers that are not understood.
    pub fn unreadable(&self) -> impl Iterator<Item = Header> {
        let headers = [
            (Header::Limit, self.limit_milli_per_s == Stated::Unreadable),
            (Header::Leaving, self.leaves == Stated::Unreadable),
            (Header::Backoff, self.backoff_ms == Stated::Unreadable),
        ];
        headers.into_iter().filter(|(_, unreadable)| *unreadable).map(|(header, _)| header)
    }
}
