// What the parts of the replica share. Not for use outside them.
#pragma once
#include "control/replica.hpp"

namespace tulip::control {

inline const Bounds& bounds(const ReplicaState& replica) { return replica.client.settings.bounds; }
inline const Address& self(const ReplicaState& replica) { return replica.client.settings.peerAddress; }

// State (replica.cpp).

// Whether this replica votes: it holds the state of its place and its disk takes writes.
bool mayVote(const ReplicaState& replica);

// Whether the daemon is a voter of the membership.
bool isVoter(const transport::Membership& membership, const DaemonId& id);

// Applies entries to the image at once, and sends what follows once they are synced.
void persist(ReplicaState& replica, std::vector<transport::DiskEntry> entries, std::vector<transport::Send> after,
             transport::Outbox& out);

// The membership that this replica is in, or else the newest that it has heard of.
const transport::Membership& knownMembership(const ReplicaState& replica);

// Sessions (sessions.cpp).

// The sessions granted here within two leases.
std::vector<transport::Member> ownSessions(const ReplicaState& replica, transport::Now now);

// Renews the roster of members and its digests.
void gatherMembers(ReplicaState& replica, transport::Now now);

// The grant that answers the newest heartbeat of a session.
transport::SessionGrant makeGrant(ReplicaState& replica, SessionRow& row, transport::Now now);

// Whether this replica knows the configuration in force, and so may grant sessions and propose for others.
bool mayGrant(const ReplicaState& replica, transport::Now now);

// Grants a session, or refers the daemon to the other replicas.
void onSessionHeartbeat(ReplicaState& replica, const transport::Heard& heard,
                        const transport::SessionHeartbeat& heartbeat, transport::Now now, transport::Outbox& out);

// Configurations in pieces (config_pieces.cpp).

// What is to be sent to a daemon that has a version: a delta to it where there is one, or else the whole text.
struct ConfigContent {
  Version base = 0;  // 0: the whole text
  const std::string* bytes = nullptr;
};
ConfigContent contentFor(ReplicaState& replica, Version has);

// Gives the piece of the configuration that a daemon asks for.
void onConfigAsk(ReplicaState& replica, const transport::Heard& heard, const transport::ConfigAsk& ask,
                 transport::Now now, transport::Outbox& out);

// Heartbeats (heartbeats.cpp).

// Sends heartbeats to all voters, to replicas heard lately, and now and then to the seeds.
void sendReplicaHeartbeats(ReplicaState& replica, transport::Now now, transport::Outbox& out);

// The pause between two rounds of heartbeats.
Millis heartbeatPauseMs(const ReplicaState& replica);

// Whether the other was heard within a lease, and has itself acknowledged a heartbeat of that time.
bool inTouch(const ReplicaState& replica, const PeerReplica& other, transport::Now now);

// Takes in what another replica says of itself.
void onReplicaHeartbeat(ReplicaState& replica, const transport::Heard& heard,
                        const transport::ReplicaHeartbeat& heartbeat, transport::Now now, transport::Outbox& out);

// The configuration as learned (learned_config.cpp).

// Takes in a value of the configuration's register that was chosen, and pushes it down the live sessions.
void learnConfig(ReplicaState& replica, const Ballot& ballot, const std::string& value, transport::Now now,
                 transport::Outbox& out);

// Proposes a change of the configuration for a daemon, where a session would be granted too.
void onEditAsk(ReplicaState& replica, const transport::Heard& heard, const transport::EditAsk& ask, transport::Now now,
               transport::Outbox& out);

// Tells a proposer whether the revision is kept here and which sessions are still short of it.
void onAckQuery(ReplicaState& replica, const transport::Heard& heard, const transport::AckQuery& ask,
                transport::Now now, transport::Outbox& out);

// The replica that proposes changes of the configuration for all, as seen from here: the first voter that is in touch
// with this one, or this one itself (empty) where none before it is. Rounds of several would outbid each other, and
// each costs the whole configuration's way to every voter. Two views may differ for a while; that costs rounds, no
// safety.
Address configProposer(const ReplicaState& replica, transport::Now now);

// Reads the configuration's register to completion after a start, and when a proposer left it open.
void completeConfigRound(ReplicaState& replica, transport::Now now, transport::Outbox& out);

// The first membership (bootstrap.cpp).

// Installs the first membership once every member of it is seen to have promised itself to it: none can then be in
// another.
void tryActivateBootstrap(ReplicaState& replica, transport::Now now, transport::Outbox& out);

// Promises this empty replica to a first membership.
void onBootstrapProposal(ReplicaState& replica, const transport::BootstrapProposal& form, transport::Now now,
                         transport::Outbox& out);

// On the one decider, the lowest seed: names the voters of the first membership and asks for their promises.
void tryBootstrap(ReplicaState& replica, transport::Now now, transport::Outbox& out);

// Membership (membership.cpp).

// The key of the register that decides the next membership.
std::string nextMembershipKey(const ReplicaState& replica);

// How many voters bear the losses that the settings name.
std::size_t wantedVoters(const ReplicaState& replica);

// Installs a membership that was chosen.
void installMembership(ReplicaState& replica, const transport::Membership& membership, transport::Now now,
                       transport::Outbox& out);

// Proposes the next membership where one is wanted and this replica is the one to propose it.
void tryReconfigure(ReplicaState& replica, transport::Now now, transport::Outbox& out);

// Completes a step that this replica has accepted and whose proposer has not told its end.
void completeMembershipStep(ReplicaState& replica, transport::Now now, transport::Outbox& out);

// The acceptor (acceptor.cpp).

// Whether the lease of the leader that this replica last accepted from may still run.
bool leaseLive(const ReplicaState& replica, transport::Now now);

// Ends the lease of a leader, and of a candidate, that gave its term up.
void endLease(ReplicaState& replica, transport::Now now);

// Ends the leader's lease here once a later life of the same daemon is heard.
void endLeaseOfEarlierLife(ReplicaState& replica, const DaemonId& heard, transport::Now now);

// Round one of a register.
void onRegisterPrepare(ReplicaState& replica, const transport::Heard& heard, const transport::RegisterPrepare& ask,
                       transport::Now now, transport::Outbox& out);

// Round two of a register.
void onRegisterAccept(ReplicaState& replica, const transport::Heard& heard, const transport::RegisterAccept& ask,
                      transport::Now now, transport::Outbox& out);

// A value was chosen: the configuration is learned, a membership is installed.
void onRegisterChosen(ReplicaState& replica, const transport::RegisterChosen& chosen, transport::Now now,
                      transport::Outbox& out);

// Round one of the job log: a scheduler that wants to lead.
void onJobLogPrepare(ReplicaState& replica, const transport::Heard& heard, const transport::JobLogPrepare& ask,
                     transport::Now now, transport::Outbox& out);

// Round two of the job log; also renews the leader's lease.
void onJobLogAccept(ReplicaState& replica, const transport::Heard& heard, const transport::JobLogAccept& ask,
                    transport::Now now, transport::Outbox& out);

// Catching up (catch_up.cpp).

// Asks for the final states that this voter needs before it votes.
void askCatchUp(ReplicaState& replica, transport::Now now, transport::Outbox& out);

// Gives the final state of the membership before to a voter without it.
void onCatchUpAsk(ReplicaState& replica, const transport::Heard& heard, const transport::CatchUpAsk& ask,
                  transport::Now now, transport::Outbox& out);

// Takes in a final state; with enough of them, this replica votes.
void onCatchUpGive(ReplicaState& replica, const transport::CatchUpGive& give, transport::Now now,
                   transport::Outbox& out);

// Takes what was given before the membership was known here, with enough of it this replica votes.
void tryFinishCatchUp(ReplicaState& replica, transport::Now now, transport::Outbox& out);

// Adds the state of this replica, which is fenced for the next membership, for the voters that are new in it.
void sendFinalState(const ReplicaState& replica, const transport::Membership& next, transport::Now now,
                    std::vector<transport::Send>& sends);

// Lets a newer proposer complete the step that this replica has accepted, and waits longer before its own next try.
void yieldStep(ReplicaState& replica, const std::string& key, const Ballot& newer, transport::Now now);

}  // namespace tulip::control
