//! The directory: the routing configuration, the targets and the processes of the system.
//!
//! - [`DirectoryNode`] maintains the directory on a control host: the configuration in the
//!   replicated log, and the rest as state that every control host relearns from heartbeats and
//!   from the other control hosts.
//! - [`follow_directory`] maintains a copy of the directory in an entry host, as a
//!   [`DirectoryView`].
//! - Roll-outs of versions are commands of the log too; `node/rollouts` advances them by the counts
//!   that entry hosts report.
//! - [`EvacuationStore`] records the data halls that an operator evacuated; it is replicated by the
//!   log too.
//! - [`form_or_join`] makes control hosts a cluster without operator action.
//!
//! A configuration passes from `history`, which retains the newest ones and packs them (`payload`),
//! in parts (`document_sender`) to `fetch`, which decides what to request from which control host,
//! and through `document_follower` into the entry host.

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
mod held_records;
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
pub use change_reports::{ChangeQuery, ChangeSource, PartSource, RateLimitSource, SuspectSource};
pub use document::{ContentHash, Document, DocumentKey, StoredDocument};
pub use document_follower::DocumentSink;
pub use evacuation::{EvacuationOrder, EvacuationOutcome, EvacuationStore, HallEvacuation};
pub use follow::{CountSource, FollowConfig, follow_directory};
pub use form::{FormConfig, form_or_join};
pub use machine::{DocumentMachine, DocumentParser, ServiceNames};
pub use message::{
    DirectoryUpdate, DocumentPart, DocumentRequest, EntryHostRecord, HostDelay, LocalEntryHosts,
    RoleStatement, SubscriberHello, SubscriberReport, TargetRecord, TargetState,
};
pub use node::{DirectoryCounts, DirectoryError, DirectoryNode, DirectoryTiming};
pub use payload::{DocumentPayload, PayloadError, PayloadKey};
pub use registry::{ChangedTargets, Registry, RegistryChange};
pub use serve::serve_subscriber;
pub use serve_call::serve_call;
pub use view::{DirectoryView, TargetChanges};
