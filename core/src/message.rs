//! The messages between routers. Every frame carries [`PROTOCOL`]; a frame of another version is not decoded.

mod ages;

use crate::{
    evacuation, ids, leaving_servers, log_index, members, quarantine, servers, store, streams,
    version_record, watch,
};
use serde::{Deserialize, Serialize};

/// The version of these types and of their transport encoding. It changes with every change of either.
pub const PROTOCOL: u16 = 17;

/// A [`Message`] from one router to another, with the router incarnations that sent it and that it is addressed to. An
/// incarnation is one run of a router process; a later one at the same address ignores the message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The router incarnation that sent the message, to which a reply is addressed.
    pub from: ids::Incarnation,
    /// The receiver's incarnation. Another incarnation at the same address must ignore the message.
    pub to: ids::Incarnation,
    /// The message to deliver.
    pub message: Message,
}

/// The first frame on a connection between routers, and each further one unless it is a [`Frame::Connect`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// A message, which the receiver acknowledges with an empty frame.
    Message(Envelope),
    /// Requests a connection to a server. The receiver answers with a [`ConnectReply`]; after
    /// [`ConnectReply::Connected`] it forwards the bytes between the two connections without frames.
    Connect(Connect),
}

/// A request of one router to another to connect it to a backend server that the sender does not reach itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Connect {
    /// The router incarnation that sent the request.
    pub from: ids::Incarnation,
    /// The receiver's incarnation. Another incarnation at the same address must refuse the request.
    pub to: ids::Incarnation,
    /// The address of the server, which must be in the receiver's list.
    pub address: String,
}

/// The answer to a [`Connect`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConnectReply {
    /// The receiver is connected to the server.
    Connected,
    /// The server's address refuses connections, and the receiver reaches other servers.
    Refused,
    /// The server does not respond, and the receiver reaches other servers.
    Unresponsive,
    /// The receiver reaches no server itself, is stopping, or forwards too many connections already.
    Unavailable,
    /// The sender is not a live router of the receiver's fleet, or no server with this address is in its list.
    NotAllowed,
}

/// What one router sends to another apart from [`Gossip`]: for example a [`log_index::Claim`] (of the sole right to run
/// a request), a [`log_index::Settlement`] (what a request cost), a transfer of budget tokens, a copy of the
/// configuration, or permits to send requests to a backend server that limits its request rate. A message may be lost,
/// duplicated or delayed; the core handles all three.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests a claim through the receiver, the router responsible for the claim's shard of the log.
    Claim(log_index::Claim),
    /// The reply to [`Message::Claim`], sent once the verdict is durable.
    ClaimReply {
        /// The claim that was requested.
        claim: log_index::Claim,
        /// Whether the request may run.
        verdict: log_index::ClaimVerdict,
    },
    /// Hands over a settlement: the receiver makes it durable even if the sender fails.
    Settle(log_index::Settlement),
    /// The sender has stored a [`Message::Settle`] in memory.
    SettleStored(ids::AttemptId),
    /// The settlement of this attempt is in the log.
    SettleDurable(ids::AttemptId),
    /// Requests tokens that the receiver does not need now.
    TransferRequest {
        /// The requester's number for the request; a retransmission has the same number.
        number: u64,
        /// The budget, as `workspace/budget`.
        budget: String,
        /// The smallest number of tokens that is useful to the requester.
        needed_tokens: u64,
        /// The number of tokens that the requester lacks in total.
        wanted_tokens: u64,
        /// The requester's own record, so that a receiver without it can reply.
        requester: members::Record,
    },
    /// Transfers tokens to the receiver, which applies it once for each `(sender, number)`.
    Transfer {
        /// The sender's number for the transfer.
        number: u64,
        /// All lower numbers of the sender are acknowledged or abandoned and are not sent again.
        open_from: u64,
        /// The number of the receiver's request that this is the reply to; 0 if there is none.
        in_reply_to: u64,
        /// The budget, as `workspace/budget`.
        budget: String,
        /// The number of tokens transferred.
        tokens: u64,
    },
    /// The sender has applied a [`Message::Transfer`].
    TransferApplied {
        /// The number of the transfer.
        number: u64,
    },
    /// The sender has not applied a [`Message::Transfer`] and never will.
    TransferDeclined {
        /// The number of the transfer.
        number: u64,
    },
    /// The transfer request was received and is deferred until the sender has read the store.
    TransferDeferred {
        /// The number of the request.
        number: u64,
        /// The budget, as `workspace/budget`.
        budget: String,
    },
    /// The sender has no tokens to transfer.
    TransferUnavailable {
        /// The number of the request.
        number: u64,
        /// The budget, as `workspace/budget`.
        budget: String,
        /// Why there are none.
        shortage: Shortage,
    },
    /// Requests the configuration that is in force at the receiver.
    ConfigRequest,
    /// The configuration that is in force at the sender.
    Config {
        /// The version of the configuration.
        version: u64,
        /// The position and age of the sender's copy.
        copy_state: CopyState,
        /// The evacuations at that position.
        evacuations: evacuation::Evacuations,
        /// The [`crate::config::Published`], encoded with `postcard` in a fifth of the size of its JSON, and forwarded
        /// unchanged.
        value: Vec<u8>,
    },
    /// Requests the list of VMs, because the platform is unavailable or too many changes were missed.
    VmsRequest,
    /// The sender's copy of the list of VMs.
    Vms {
        /// The position and age of the sender's copy; the position is the index of the list.
        copy_state: CopyState,
        /// All VMs in the list.
        vms: Vec<servers::Vm>,
    },
    /// Requests the receiver's list of live routers.
    MembersRequest,
    /// The routers that the sender considers live.
    Members(Vec<members::Record>),
    /// Requests permits from the pacer of a limited server.
    PermitRequest {
        /// The requester's number for the request.
        number: u64,
        /// The limit of the server as known to the requester.
        limit_update: servers::LimitUpdate,
        /// The permits that the requester can use.
        requested: servers::PermitsRequested,
    },
    /// The reply to [`Message::PermitRequest`].
    PermitReply {
        /// The number of the request.
        number: u64,
        /// The VM that runs the server.
        vm: String,
        /// The server incarnation that the permits are for.
        incarnation: ids::ServerIncarnation,
        /// Whether the permits are for trial requests.
        trial: bool,
        /// The permits, or when to send the next request.
        granted: servers::PermitsGranted,
    },
    /// A copy of a ledger shard that the sender wrote, from which it is recovered if a restore of the store loses it.
    LedgerCopy {
        /// The number of the ledger shard.
        shard: u32,
        /// The position of the value, or of the value that it replaced.
        position: store::Position,
        /// The [`crate::ledger::Shard`], encoded as in the store.
        value: Vec<u8>,
    },
    /// The sender has stored a [`Message::LedgerCopy`].
    LedgerCopyStored {
        /// The number of the ledger shard.
        shard: u32,
        /// The number of the receiver's latest write that the copy includes; each router counts its own writes.
        write: u64,
    },
    /// The sender read a ledger shard in which an earlier incarnation at the receiver's address still holds grants.
    /// Only the present incarnation there can be certain that the earlier one has terminated.
    StaleHolder {
        /// The number of the ledger shard.
        shard: u32,
    },
    /// Asks whether the receiver has recovered what was known at its address of ledger shards before a restore of the
    /// store.
    RecoveryRequest {
        /// The store's era as known to the sender.
        era: u64,
        /// The numbers of the shards, each with the first era before which draws may be unknown.
        shards: Vec<(u32, u64)>,
        /// A digest of the addresses of the routers known to the sender.
        routers: u64,
    },
    /// The reply to [`Message::RecoveryRequest`].
    RecoveryReply {
        /// The store's era as known to the sender.
        era: u64,
        /// The numbers of the requested shards, each with what the sender has recovered.
        shards: Vec<(u32, Recovered)>,
        /// The addresses of the routers known to the sender, if the digests differ.
        addresses: Vec<String>,
    },
    /// The origin of streams, of which the receiver keeps copies.
    StreamOrigins {
        /// The sender's number for the message; a retransmission has the same number.
        number: u64,
        /// The origin that the streams have in common.
        origin: streams::Origin,
        /// The streams.
        streams: Vec<streams::StreamCopy>,
    },
    /// The sender has stored a [`Message::StreamOrigins`].
    StreamOriginsStored {
        /// The number of the message.
        number: u64,
    },
    /// Asks for the origin of a stream that a client continues.
    StreamOriginRequest {
        /// The requester's number for the request; a retransmission has the same number.
        number: u64,
        /// The stream.
        stream: ids::StreamId,
        /// The services to which the client's request may go.
        services: Vec<String>,
    },
    /// The reply to a [`Message::StreamOriginRequest`].
    StreamOriginReply {
        /// The number of the request.
        number: u64,
        /// What the sender knows of the stream.
        reply: streams::Reply,
    },
    /// Requests seats at a brittle server from the router that deals them.
    SeatRequest {
        /// The statement of the server as known to the requester.
        brittle: servers::BrittleUpdate,
        /// The seats that the requester has and wants.
        requested: servers::SeatsRequested,
    },
    /// The reply to [`Message::SeatRequest`].
    SeatReply {
        /// The number of the request.
        number: u64,
        /// The VM that runs the server.
        vm: String,
        /// The server incarnation that the seats are for.
        incarnation: ids::ServerIncarnation,
        /// The seats of the requester.
        dealt: servers::SeatsDealt,
    },
    /// Asks the receiver to read the store's record of versions for the sender, which does not reach the store.
    VersionRecordRequest {
        /// The requester's number for the request; a retransmission has the same number.
        number: u64,
    },
    /// The reply to a [`Message::VersionRecordRequest`].
    VersionRecordReply {
        /// The number of the request.
        number: u64,
        /// What a read that began after the request arrived has shown; `None` if there was none.
        copy: Option<version_record::Copy>,
    },
}

impl Message {
    /// Returns whether the message is sent as a datagram. This holds for small messages that the sender retransmits
    /// until they are answered, so that they don't wait behind a stalled connection.
    pub fn by_datagram(&self) -> bool {
        matches!(
            self,
            Self::TransferRequest { .. }
                | Self::Transfer { .. }
                | Self::TransferApplied { .. }
                | Self::TransferDeclined { .. }
                | Self::TransferDeferred { .. }
                | Self::TransferUnavailable { .. }
                | Self::PermitRequest { .. }
                | Self::PermitReply { .. }
                | Self::SeatRequest { .. }
                | Self::SeatReply { .. }
                | Self::StreamOrigins { .. }
                | Self::StreamOriginsStored { .. }
                | Self::StreamOriginRequest { .. }
                | Self::StreamOriginReply { .. }
                | Self::VersionRecordRequest { .. }
                | Self::VersionRecordReply { .. }
        )
    }
}

/// Why a router has no tokens to transfer to another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shortage {
    /// The ledger could not be read in time, so there may be more tokens in it.
    Unknown,
    /// The ledger was read since the request was received, and has too few tokens left as well.
    Exhausted,
    /// So little of the budget is left that it is spent slowly, and this request is refused.
    Low,
}

/// A router's reply, after the store was restored from a backup, on what it has recovered of the ledger (the stored
/// record of token budgets) that was known at its address before: nothing, the data of its present process, or also
/// those of earlier processes at the address. Another router uses it to decide whether tokens withheld because of the
/// restore can be released.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Recovered {
    /// Its own part is not recovered yet.
    Nothing,
    /// Its own part; draws of an earlier incarnation at its address may be missing.
    OwnIncarnation,
    /// The parts of all incarnations at its address.
    All,
}

/// A datagram from one router to another that may probe whether the receiver is alive, and passes on recent changes of
/// the routers, the configuration, the list of VMs, the leaving servers, the requests that crash servers, the request
/// limits of servers and the brittle servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// The sender's own record.
    pub from: members::Record,
    /// Whether the datagram is a probe, the reply to one, or neither.
    pub kind: GossipKind,
    /// A summary of the sender's copies of the store's contents.
    pub digest: Digest,

    /// Recently changed records of other routers.
    pub member_updates: Vec<members::Record>,
    /// Updates on VMs whose backend server is leaving.
    pub leaving: Vec<LeavingUpdate>,
    /// Updates on requests that crash servers.
    pub quarantine: quarantine::Updates,
    /// Updates on the request limits that servers state.
    pub limits: Vec<servers::LimitUpdate>,
    /// Updates on servers that are brittle.
    pub brittle: Vec<servers::BrittleUpdate>,
    /// What follows the other fields in a datagram; `None` from a build that sends no such part. A build that does not
    /// know it ignores it.
    #[serde(skip)]
    pub extension: Option<GossipExtension>,
    /// What follows the extension in a datagram; `None` from a build that sends no such part.
    #[serde(skip)]
    pub confirmations: Option<Confirmations>,
}

/// The polls of the store to which the ages in a [`Digest`] refer. A receiver recognizes by them that it knows a
/// confirmation already.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmations {
    /// The poll that confirmed the copy of the configuration; `None` if the copy has no age or a router of an older build
    /// stated it.
    pub configuration: Option<watch::Confirmation>,
    /// The same for the list of VMs.
    pub servers: Option<watch::Confirmation>,
}

/// The part of a [`Gossip`] datagram that follows the fields which all builds of the protocol's version know. A router
/// that sends it writes the store's record of the software versions at which streams begin.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipExtension {
    /// The position of the sender's copy of the record.
    pub versions_position: store::Position,
    /// The sender's copy, if it is later than the receiver's.
    pub versions: Option<version_record::Record>,
    /// How long ago gossip of a router without this part was last received, by the sender or by one that told it, in
    /// milliseconds.
    pub older_build_age_ms: Option<u64>,
}

/// Whether a [`Gossip`] datagram is a probe that requests a reply, the reply to a probe, or contains updates only.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipKind {
    /// A probe that requests a reply.
    Ping,
    /// The reply to a probe.
    Ack,
    /// Updates without a probe, which get no reply.
    Push,
}

/// The position in the store's history and the age of a router's copy of the configuration or of the list of VMs. The
/// receiver of this state compares it with its own copy, to decide whether its copy is current.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopyState {
    /// The position in the store's history; [`store::Position::START`] if there is no copy.
    pub position: store::Position,
    /// How long before the message was sent the copy was last known to match the store, in milliseconds; `None` if it
    /// never was.
    pub age_ms: Option<u64>,
}

/// A summary of what one router has read from the store: the versions, positions and ages of its copies of the
/// configuration and of the list of VMs, and the latest changes of the records that list backend servers. Each
/// [`Gossip`] datagram contains the sender's summary, so that the receiver applies the changes or requests what it
/// lacks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The store's era as known to the sender.
    pub era: u64,
    /// The configuration version in force.
    pub config_version: u64,
    /// The position and age of the copy of the configuration.
    pub configuration: CopyState,
    /// The evacuations known to the sender.
    pub evacuations: evacuation::Evacuations,
    /// The position and age of the copy of the list of VMs.
    pub servers: CopyState,
    /// The position after which `changes` contains all changes of server records, up to the position of the copy.
    pub changes_after: store::Position,
    /// The latest changes of server records, oldest first.
    pub changes: Vec<watch::ServerChange>,
    /// The number of routers known to the sender, including itself.
    pub routers: u64,
}

/// The content of one datagram from a router to another: either [`Gossip`], or a [`Message`] that is sent again until
/// it is answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// Updates, possibly with a probe.
    Gossip(Box<Gossip>),
    /// A message that is retransmitted until it is answered.
    Message(Envelope),
}

/// The report that one incarnation of a backend server is leaving: it is going to end as planned and gets no new
/// requests. Routers pass it on to each other.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeavingUpdate {
    /// The name of the VM.
    pub vm: String,
    /// The server incarnation that is leaving.
    pub incarnation: ids::ServerIncarnation,

    /// Where the update comes from.
    pub source: leaving_servers::Source,
}
