//! Configuration changes: one voter at a time. New members first catch up as learners.

use std::collections::BTreeSet;

use shalereel::interface::Nanos;
use thiserror::Error;

use super::replication::SendTrigger;
use super::role::{FollowerProgress, Role};
use super::Raft;
use crate::wire::{Configuration, LogIndex, MemberAddress, MemberId};

/// Why the configuration cannot be changed now.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub(crate) enum ConfigurationError {
    #[error("this member does not lead, or has committed nothing in its term yet")]
    NotLeader,
    #[error("another configuration change is not committed yet")]
    ChangePending,
    #[error("more than one voter changes, or none is left")]
    NotOneVoter,
}

fn voter_ids(configuration: &Configuration) -> BTreeSet<MemberId> {
    configuration.voters.iter().map(|voter| voter.id).collect()
}

impl Raft {
    /// Appends a new configuration to the log.
    ///
    /// # Errors
    ///
    /// Returns the reason why the configuration cannot be appended now; the log is then unchanged.
    pub(crate) fn change_configuration(
        &mut self,
        now: Nanos,
        new_configuration: Configuration,
    ) -> Result<LogIndex, ConfigurationError> {
        if !self.is_leader() {
            return Err(ConfigurationError::NotLeader);
        }
        if self.log.configuration_index() > self.commit_index {
            return Err(ConfigurationError::ChangePending);
        }
        let (old_voters, new_voters) = (voter_ids(&self.log.configuration()), voter_ids(&new_configuration));
        if old_voters.symmetric_difference(&new_voters).count() > 1 || new_configuration.voters.is_empty() {
            return Err(ConfigurationError::NotOneVoter);
        }
        let index = self.append(None, Some(new_configuration));
        self.track_configured_followers();
        self.send_to_followers(now, SendTrigger::NewEntries);
        Ok(index)
    }

    fn track_configured_followers(&mut self) {
        let others = self.other_members();
        let next_index = self.log.last_index();
        let Role::Leader(leader) = &mut self.role else { return };
        leader.followers.retain(|member, _| others.contains(member));
        for member in others {
            leader.followers.entry(member).or_insert_with(|| FollowerProgress::new(next_index));
        }
    }

    /// Whether a learner lacks less than one batch of committed entries, so that it would not delay commitment as a
    /// voter.
    fn is_caught_up(&self, learner: MemberId) -> bool {
        let Role::Leader(leader) = &self.role else { return false };
        let Some(follower) = leader.followers.get(&learner) else { return false };
        let within_one_batch =
            follower.match_index + self.timing.max_batch_entries() as u64 > self.commit_index;
        follower.match_index > 0 && within_one_batch
    }

    /// The next learner that can be promoted to voter now.
    pub(crate) fn learner_ready_to_vote(&self) -> Option<MemberAddress> {
        if self.log.configuration_index() > self.commit_index {
            return None;
        }
        let learners = self.log.configuration().learners;
        learners.into_iter().find(|learner| self.is_caught_up(learner.id))
    }
}
