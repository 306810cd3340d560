//! Voters and learners, and changes of one of them at a time.

use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The identity of a replica: random, and new for each new data folder.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct NodeId(pub u64);

/// A replica and its addresses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The identity of the replica.
    pub id: NodeId,
    /// The name of its host.
    pub name: String,
    /// The data hall of the host.
    pub hall: String,
    /// Address for peers.
    pub peer: SocketAddr,
    /// Address for operators.
    pub ops: SocketAddr,
    /// The voter that a learner replaces once it has caught up.
    pub replaces: Option<NodeId>,
}

/// The members of a cluster.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Replicas whose votes and acknowledgements count.
    pub voters: Vec<Member>,
    /// Replicas that are catching up; they do not count towards a majority.
    pub learners: Vec<Member>,
}

/// A change of one member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberChange {
    /// Adds a replica as a learner; it is promoted to voter automatically once it has caught up.
    Add(Member),
    /// Promotes a learner to voter.
    Promote(NodeId),
    /// Removes a voter or learner.
    Remove(NodeId),
}

/// Why a membership change was refused.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum MemberError {
    /// A replica with this identity, name or address is already a member.
    #[display("{_0} is already a member, by identity, name or address")]
    Present(String),
    /// There is no such member.
    #[display("{_0} is not a member")]
    Absent(NodeId),
    /// The last voter cannot be removed.
    #[display("{_0} is the last voter")]
    LastVoter(NodeId),
    /// The previous change is not committed, or the leader has not committed an entry in its term.
    #[display("an earlier membership change is not committed yet")]
    Pending,
}

impl Members {
    /// Finds a voter or learner.
    pub fn find(&self, id: NodeId) -> Option<&Member> {
        self.all().find(|member| member.id == id)
    }

    /// Returns voters and learners.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.voters.iter().chain(self.learners.iter())
    }

    /// Returns whether a replica is a voter.
    pub fn is_voter(&self, id: NodeId) -> bool {
        self.voters.iter().any(|member| member.id == id)
    }

    /// Returns the members after a change.
    ///
    /// # Errors
    ///
    /// [`MemberError`] when the change does not fit the members.
    pub fn with_change(&self, change: &MemberChange) -> Result<Members, MemberError> {
        let mut members = self.clone();
        match change {
            MemberChange::Add(member) => members.add(member)?,
            MemberChange::Promote(id) => members.promote(*id)?,
            MemberChange::Remove(id) => members.remove(*id)?,
        }
        Ok(members)
    }

    // A learner may share name and address with the voter that it replaces, since it is the same
    // host with a new disk.
    fn add(&mut self, member: &Member) -> Result<(), MemberError> {
        let conflicts = self.all().any(|other| {
            let replaced = member.replaces == Some(other.id);
            other.id == member.id
                || (!replaced && (other.name == member.name || other.peer == member.peer))
        });
        if conflicts {
            return Err(MemberError::Present(member.name.clone()));
        }
        if let Some(replaced) = member.replaces {
            self.find(replaced).ok_or(MemberError::Absent(replaced))?;
        }
        self.learners.push(member.clone());
        Ok(())
    }

    fn promote(&mut self, id: NodeId) -> Result<(), MemberError> {
        let index = self.learners.iter().position(|member| member.id == id);
        let mut member = self.learners.remove(index.ok_or(MemberError::Absent(id))?);
        member.replaces = None;
        self.voters.push(member);
        Ok(())
    }

    fn remove(&mut self, id: NodeId) -> Result<(), MemberError> {
        self.find(id).ok_or(MemberError::Absent(id))?;
        if self.voters.len() == 1 && self.is_voter(id) {
            return Err(MemberError::LastVoter(id));
        }
        self.voters.retain(|member| member.id != id);
        self.learners.retain(|member| member.id != id);
        Ok(())
    }
}
