//! Directives that a server sends in the headers of its answers.

/// The value of one instruction to the routers in a header of a backend server's answer: absent, present, or present
/// but not readable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Directive<T> {
    /// The header is absent.
    #[default]
    Absent,
    /// The header is present with this value.
    Value(T),
    /// The header is present, but its value cannot be parsed.
    Unreadable,
}

/// The instructions to the routers in the headers of one answer of a backend server: the rate of requests that it
/// accepts, whether it is about to stop, for how long this router is to send nothing, and how few requests it may have to
/// reject.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Directives {
    /// Rate of requests that the server accepts from all routers together, in thousandths per
    /// second.
    pub limit_milli_per_s: Directive<u64>,
    /// Whether the server is leaving.
    pub is_leaving: Directive<bool>,
    /// Time for which the server requests a backoff from this router, in milliseconds.
    pub backoff_ms: Directive<u64>,
    /// Number of requests that the server may reject for want of room per second without falling over.
    pub rejections_per_s: Directive<u64>,
}

/// How long ago a request was sent to a backend server and the headers of its answer were received, in milliseconds.
/// The process around the core reports it with the [`Directives`] in these headers: the limit in the answer to the
/// request that was sent last is valid, and a backoff (a time in which the server is sent nothing) counts from the
/// receipt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AnswerAge {
    /// Time since the request was sent.
    pub sent_ms: u64,
    /// Time since the headers of the answer were received.
    pub received_ms: u64,
}

/// One of the headers by which a backend server instructs the routers in its answers, for example to send it fewer
/// requests. The value of each header is one of the [`Directives`]; a log line names the header if its value cannot be
/// parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Header {
    /// The rate of requests that the server accepts: [`Directives::limit_milli_per_s`].
    Limit,
    /// Whether the server is about to stop: [`Directives::is_leaving`].
    Leaving,
    /// The time in which the server is to be sent nothing: [`Directives::backoff_ms`].
    Backoff,
    /// The number of requests that the server may reject: [`Directives::rejections_per_s`].
    Brittle,
}

impl Header {
    /// Value of the key `header` in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Limit => "Limit",
            Self::Leaving => "Leaving",
            Self::Backoff => "Backoff",
            Self::Brittle => "Brittle",
        }
    }
}

impl Directives {
    /// Whether all directives are absent.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Headers whose values cannot be parsed.
    pub fn unreadable(&self) -> impl Iterator<Item = Header> {
        let headers = [
            (Header::Limit, self.limit_milli_per_s == Directive::Unreadable),
            (Header::Leaving, self.is_leaving == Directive::Unreadable),
            (Header::Backoff, self.backoff_ms == Directive::Unreadable),
            (Header::Brittle, self.rejections_per_s == Directive::Unreadable),
        ];
        headers.into_iter().filter(|(_, unreadable)| *unreadable).map(|(header, _)| header)
    }
}
