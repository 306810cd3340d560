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
mod evacuation;
mod fetch;
mod first_form;
mod follow;
mod form;
mod gateway_push;
mod held_requests;
mod history;
mod machine;
mod message;
mod node;
mod payload;
mod registry;
mod sending;
mod serve;
mod serve_call;
mod view;

pub use call::CallError;
pub use change_reports::{ChangeAsk, ChangeSource, RateSource, SuspectSource};
pub use document::{ContentHash, Document, DocumentKey, HeldDocument};
pub use document_follower::DocumentSink;
pub use evacuation::{EvacuationBook, EvacuationOrder, EvacuationOutcome, HallEvacuation};
pub use follow::{CountSource, FollowConfig, follow_directory};
pub use form::{FormConfig, form_or_join};
pub use machine::{DocumentMachine, DocumentParser, ServiceNames};
pub use message::{
    DirectoryUpdate, DocumentPart, DocumentWant, GatewayRecord, OwnGateways, SubscriberHello,
    SubscriberReport, TargetRecord, TargetState,
};
pub use node::{DirectoryCounts, DirectoryError, DirectoryNode, DirectoryTiming};
pub use payload::{DocumentPayload, PayloadFault, PayloadKey};
pub use registry::{ChangedTargets, Registry, RegistryChange};
pub use serve::serve_subscriber;
pub use serve_call::serve_call;
pub use view::{DirectoryView, TargetChanges};
