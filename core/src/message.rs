//! What routers say to each other. Every frame carries [`PROTOCOL`]; another one is not decoded.

mod ages;

use crate::{
    evacuation, ids, leaving_servers, log_index, members, quarantine, servers, store, watch,
};
use serde::{Deserialize, Serialize};

/// The version of these types and of how they travel. It changes with every change of either.
pub const PROTOCOL: u16 = 12;

/// A message with its sender and the life that it is meant for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: ids::Incarnation,
    /// The receiver. Another life at its address must not take the message for its own.
    pub to: ids::Incarnation,
    /// The message.
    pub message: Message,
}

/// A message over a connection. It may be lost, repeated or late; the core copes with all three.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Orders a claim through the receiver, the home of its shard.
    Claim(log_index::Claim),
    /// The claim's verdict is durable.
    ClaimReply {
        /// The claim.
        claim: log_index::Claim,
        /// Whether it may run.
        verdict: log_index::Verdict,
    },
    /// Hands over a settlement: the receiver makes it durable even if the sender dies.
    Settle(log_index::Settlement),
    /// The receiver of a settlement has it in memory.
    SettleStored(ids::AttemptId),
    /// The settlement is in the log.
    SettleDurable(ids::AttemptId),
    /// Asks for tokens that the receiver does not need now.
    TransferAsk {
        /// The asker's number for the question; asked again with the same number, it is one question.
        number: u64,
        /// The budget's name.
        budget: String,
        /// Fewer tokens than this are of no use.
        needed_tokens: u64,
        /// How many tokens are lacking in all.
        wanted_tokens: u64,
        /// The asker, so that one who does not know it yet can answer.
        asker: members::Record,
    },
    /// Gives tokens. Applied once for each `(sender, number)`.
    Transfer {
        /// The sender's number for it.
        number: u64,
        /// All of the sender's lower numbers are acknowledged or given up: they come no more.
        open_from: u64,
        /// The question that it answers; 0 if none was asked.
        answers: u64,
        /// The budget's name.
        budget: String,
        /// How many tokens.
        tokens: u64,
    },
    /// The transfer was applied.
    TransferTaken {
        /// The sender's number for it.
        number: u64,
    },
    /// The transfer was not applied and never will be.
    TransferDeclined {
        /// The sender's number for it.
        number: u64,
    },
    /// The question has arrived, and waits until the sender has heard from the store.
    TransferWait {
        /// The question.
        number: u64,
        /// The budget's name.
        budget: String,
    },
    /// Nothing to spare.
    TransferNone {
        /// The question that it answers.
        number: u64,
        /// The budget's name.
        budget: String,
        /// Whether the ledger was read since the question and has nothing left either.
        certain: bool,
    },
    /// Asks for the configuration that is in force at the receiver.
    ConfigAsk,
    /// A configuration.
    Config {
        /// Its version.
        version: u64,
        /// What the sender's copy stands for.
        seen: Seen,
        /// What is evacuated at that position.
        evacuations: evacuation::Evacuations,
        /// The [`crate::config::Published`], encoded with `postcard`: a fifth of its size as JSON, and passed on as it
        /// came.
        value: Vec<u8>,
    },
    /// Asks for the list of VMs, because the platform gives none or too much was missed.
    VmsAsk,
    /// The list of VMs as the sender knows it.
    Vms {
        /// What the sender's copy stands for; the position is the list's index.
        seen: Seen,
        /// The VMs.
        vms: Vec<servers::Vm>,
    },
    /// Asks for the routers that the receiver knows.
    MembersAsk,
    /// The routers that the sender takes to be live.
    Members(Vec<members::Record>),
    /// Asks the router that paces the requests to a limited server for permits to send some.
    PermitAsk {
        /// The asker's number for the question.
        number: u64,
        /// What the asker knows of the server's limit.
        known: servers::LimitUpdate,
        /// What is of use.
        wanted: servers::PermitsRequested,
    },
    /// The answer to [`Message::PermitAsk`].
    Permits {
        /// The question.
        number: u64,
        /// The server's VM.
        vm: String,
        /// The server's life.
        life: ids::ServerLife,
        /// Whether the permits are for a trial.
        trial: bool,
        /// The permits, or when to ask again.
        granted: servers::PermitsGranted,
    },
    /// A copy of a ledger shard that the sender wrote, to be recovered if a restore of the store loses it.
    LedgerCopy {
        /// The shard.
        shard: u32,
        /// The position of the value, or of the one that it replaced.
        position: store::Position,
        /// The [`crate::ledger::Shard`], encoded as in the store.
        value: Vec<u8>,
    },
    /// The sender has stored a [`Message::LedgerCopy`].
    LedgerCopyStored {
        /// The shard.
        shard: u32,
        /// The number of the latest write of the receiver that the copy includes, among those of the receiver.
        write: u64,
    },
    /// The sender read a shard of the ledger in which an earlier life at the receiver's address still holds
    /// grants. Only the present life there can tell for sure that the earlier one is over.
    LeftBehind {
        /// The shard of the ledger.
        shard: u32,
    },
    /// Asks whether the receiver has recovered what it knew of shards of the ledger before a restore of the store.
    RecoveryAsk {
        /// The store's era.
        era: u64,
        /// The shards, and the first era before which draws may be unknown.
        shards: Vec<(u32, u64)>,
        /// A digest of the addresses of the routers that the sender knows.
        routers: u64,
    },
    /// The answer to [`Message::RecoveryAsk`].
    RecoveryReply {
        /// The store's era.
        era: u64,
        /// The shards that the sender was asked about, and what it can say of them.
        shards: Vec<(u32, Recovered)>,
        /// The addresses of the routers that the sender knows, if they are others than the receiver knows.
        addresses: Vec<String>,
    },
}

impl Message {
    /// Whether it is small and sent again by its sender until it is answered: such a message goes as
    /// a datagram, so that it does not wait behind a connection that hangs.
    pub fn by_datagram(&self) -> bool {
        matches!(
            self,
            Self::TransferAsk { .. }
                | Self::Transfer { .. }
                | Self::TransferTaken { .. }
                | Self::TransferDeclined { .. }
                | Self::TransferWait { .. }
                | Self::TransferNone { .. }
                | Self::PermitAsk { .. }
                | Self::Permits { .. }
        )
    }
}

/// What a router has recovered of what was known at its address of a shard of the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Recovered {
    /// Not yet what it knows itself.
    Nothing,
    /// What it knows itself; an earlier life at its address may have drawn what it does not know of.
    OwnLife,
    /// All.
    All,
}

/// A datagram between two routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// The sender, as it describes itself.
    pub from: members::Record,
    /// A question, the answer to one, or news that want no answer.
    pub kind: GossipKind,
    /// What the sender knows of the store.
    pub digest: Digest,
    /// What the sender heard lately of some others.
    pub news: Vec<members::Record>,
    /// Backend server VMs that are leaving, with the index of the list that said so.
    pub leaving: Vec<Leaving>,
    /// Requests that crash servers.
    pub quarantine: quarantine::Updates,
    /// What servers say of how many requests they take.
    pub limits: Vec<servers::LimitUpdate>,
}

/// Whether a datagram is half of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipKind {
    /// Wants an answer.
    Ping,
    /// Is one.
    Ack,
    /// Passes news on.
    Push,
}

/// What a router's copy of something in the store stands for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// The position in the store's history; [`store::Position::START`] if there is no copy.
    pub position: store::Position,
    /// How long before the datagram was sent the copy held all that the store had, in milliseconds; `None` if
    /// that is not known.
    pub age_ms: Option<u64>,
}

/// What a router knows of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The store's era as known to the sender.
    pub era: u64,
    /// The configuration version in force.
    pub config_version: u64,
    /// What the copy of the configuration stands for.
    pub configuration: Seen,
    /// What is evacuated.
    pub evacuations: evacuation::Evacuations,
    /// What the copy of the list of VMs stands for.
    pub servers: Seen,
    /// `changes` are all changes of servers' records after this position, up to the copy's.
    pub changes_after: store::Position,
    /// The latest changes, the oldest first.
    pub changes: Vec<watch::ServerChange>,
    /// How many routers are known, with the sender.
    pub routers: u64,
}

/// What one datagram carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// News of members.
    Gossip(Gossip),
    /// A message that is sent again until it is answered.
    Message(Envelope),
}

/// News of a VM that is leaving.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Leaving {
    /// The VM.
    pub vm: String,
    /// The life of its server that is leaving.
    pub life: ids::ServerLife,
    /// Who told that.
    pub source: leaving_servers::Source,
}
