//! The directory: the routing configuration, the targets and the processes of the system.
//!
//! - [`DirectoryNode`] keeps it on a control host: the configuration by agreement, the rest as
//!   state that every control host relearns from heartbeats and from the others.
//! - [`follow_directory`] keeps a copy of it in an entry host, as a [`DirectoryView`].
//! - Roll-outs of versions are orders of the log too; `node/rollouts` moves them on by what entry hosts count.
//! - [`EvacuationBook`] holds the data halls that an operator took out of work, by agreement too.
//! - [`form_or_join`] makes control hosts a cluster without an operator's hand.
//!
//! A configuration goes from `history`, which holds the newest ones and packs them (`payload`), in
//! parts (`sending`) to `fetch`, which decides what is asked of which control host, and by
//! `document_follower` into the entry host.

mod call;
mod change_reports;
mod document;
mod document_follower;
mod document_sender;
mod entry_host_push;
mod evacuation;
mod fetch;
mod follow;
mod form;
mod held_requests;
mod history;
mod machine;
mod message;
mod message_v1;
mod node;
mod payload;
mod registry;
mod serve;
mod serve_call;
mod view;

pub use call::CallError;
pub use change_reports::{ChangeQuery, ChangeSource, RateLimitSource, SuspectSource};
pub use document::{ContentHash, Document, DocumentKey, StoredDocument};
pub use document_follower::DocumentSink;
pub use evacuation::{EvacuationOrder, EvacuationOutcome, EvacuationStore, HallEvacuation};
pub use follow::{CountSource, FollowConfig, follow_directory};
pub use form::{FormConfig, form_or_join};
pub use machine::{DocumentMachine, DocumentParser, ServiceNames};
pub use message::{
    DirectoryUpdate, DocumentPart, DocumentRequest, EntryHostRecord, LocalEntryHosts,
    SubscriberHello, SubscriberReport, TargetRecord, TargetState,
};
pub use node::{DirectoryCounts, DirectoryError, DirectoryNode, DirectoryTiming};
pub use payload::{DocumentPayload, PayloadError, PayloadKey};
pub use registry::{ChangedTargets, Registry, RegistryChange};
pub use serve::serve_subscriber;
pub use serve_call::serve_call;
pub use view::{DirectoryView, TargetChanges};
