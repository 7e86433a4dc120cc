// The configuration as learned: what was chosen, how far the sessions have it, and completing a round that was
// abandoned.
#include "control/replica_internal.hpp"

#include <algorithm>
#include <utility>

namespace tulip::control {

using namespace transport;

namespace {

/// For how many heartbeats a replica leaves the completion of a round to one before it.
constexpr int kMostCompletionsLeft = 2;

}  // namespace

void learnConfig(ReplicaState& replica, const Ballot& ballot, const std::string& value, Now now, Outbox& out) {
  if (value.empty() || ballot <= replica.learnedBallot) return;
  auto stored = config::readStored(value);
  if (stored.version < replica.learned.version) return;
  const bool newer = stored.version > replica.learned.version;
  if (newer) {
    constexpr std::size_t kOlderTexts = 3;
    if (replica.learned.version > 0)
      replica.olderTexts.emplace_back(replica.learned.version, std::move(replica.learned.text));
    if (replica.olderTexts.size() > kOlderTexts) replica.olderTexts.erase(replica.olderTexts.begin());
    replica.deltas.clear();
    replica.textDigests.clear();
  }
  replica.learnedBallot = ballot;
  replica.learnedValue = value;
  replica.learned = std::move(stored);
  replica.learnedMs = now.steadyMs;
  if (replica.image.learned < ballot && isVoter(replica.image.membership, replica.image.id)) {
    persist(replica, {storage::entry::learned(ballot)}, {}, out);
    replica.waiting[replica.ticket].learned = replica.learned.version;
  }
  replica.configKnown = replica.configKnown || !(ballot < replica.image.learned);
  if (!newer) return;
  for (auto& [id, row] : replica.sessions)
    if (row.behindSinceMs < 0 && row.member.acked < replica.learned.version) row.behindSinceMs = now.steadyMs;
  if (!hasQuorumLease(replica, now)) return;
  for (auto& [id, row] : replica.sessions)
    if (now.steadyMs - row.heardMs <= bounds(replica).leaseMs)
      out.send(row.member.peerAddress, makeGrant(replica, row, now));
}

void onEditAsk(ReplicaState& replica, const Heard& heard, const EditAsk& ask, Now now, Outbox& out) {
  if (!mayGrant(replica, now)) return refuseEdit(heard, ask, out);
  proposeForAnother(replica.client, heard, ask, now, out);
}

void onAckQuery(ReplicaState& replica, const Heard& heard, const AckQuery& ask, Now now, Outbox& out) {
  AckState state{ask.configVersion, ask.query, replica.keptVersion >= ask.configVersion, {}, {}, ask.ballot};
  for (const auto& [id, row] : replica.sessions)
    if (row.member.acked < ask.configVersion &&
        now.steadyMs - row.heardMs <= bounds(replica).leaseMs + bounds(replica).heartbeatMs())
      state.waiting.push_back(id);
  // A life before this one may have granted sessions that it no longer knows of.
  if (now.steadyMs < replica.bornMs + bounds(replica).leaseMs + bounds(replica).heartbeatMs())
    state.waiting.push_back(replica.image.id);
  for (const auto& [id, untilMs] : replica.formerUntilMs)
    if (now.steadyMs < untilMs) state.waiting.push_back(id);
  const auto lapseMs = bounds(replica).lapseMs();
  for (const auto& voter : replica.image.membership.voters) {
    if (voter.id == replica.image.id || now.steadyMs - replica.bornMs < lapseMs) continue;
    auto found = replica.others.find(voter.peerAddress);
    if (found == replica.others.end() || now.steadyMs - found->second.heardMs >= lapseMs)
      state.silent.push_back(voter.id);
  }
  out.reply(heard, std::move(state));
}

namespace {

// Whether the first voter that the condition holds of stands before this replica.
template <class Condition>
const Voter* voterBefore(const ReplicaState& replica, Condition holds) {
  for (const auto& voter : replica.image.membership.voters) {
    if (voter.id == replica.image.id) return nullptr;
    const auto found = replica.others.find(voter.peerAddress);
    if (found != replica.others.end() && found->second.last.voter.id == voter.id && holds(found->second)) return &voter;
  }
  return nullptr;
}

// Whether another replica that is short of the value as well is to complete the open round, and has time left for it:
// replicas that come back together would outbid each other, each with the whole value.
bool leavesCompletionToAnother(ReplicaState& replica, Now now) {
  const auto open = replica.image.registers.find(kConfigKey);
  if (open == replica.image.registers.end()) return false;
  const auto awakeSinceMs = now.steadyMs - bounds(replica).leaseMs;
  const auto* earlier = voterBefore(replica, [&](const PeerReplica& other) {
    const bool isShort = other.last.configBallot < open->second.accepted;
    return isShort && other.last.voting && !other.last.ailing && other.heardMs >= awakeSinceMs;
  });
  if (!earlier || replica.completionsLeft >= kMostCompletionsLeft) {
    replica.completionsLeft = 0;
    return false;
  }
  ++replica.completionsLeft;
  return true;
}

}  // namespace

Address configProposer(const ReplicaState& replica, Now now) {
  const auto* earlier = voterBefore(replica, [&](const PeerReplica& other) {
    return other.last.takesEdits && other.last.voting && !other.last.ailing && inTouch(replica, other, now);
  });
  return earlier ? earlier->peerAddress : Address();
}

void completeConfigRound(ReplicaState& replica, Now now, Outbox& out) {
  auto found = replica.image.registers.find(kConfigKey);
  const bool open = found != replica.image.registers.end() && replica.learnedBallot < found->second.accepted;
  if (!open)
    replica.openSinceMs = -1;
  else if (replica.openSinceMs < 0)
    replica.openSinceMs = now.steadyMs;
  // Reading the register waits for no one to stand: replicas that forgot what they had learned let none stand before.
  const bool abandoned =
      open && hasQuorumLease(replica, now) && now.steadyMs - replica.openSinceMs >= bounds(replica).leaseMs / 2;
  if ((!replica.configKnown || abandoned) && now.steadyMs >= replica.completeAtMs &&
      !proposing(replica.client, kConfigKey)) {
    replica.completeAtMs = now.steadyMs + bounds(replica).heartbeatMs();
    if (leavesCompletionToAnother(replica, now)) return;
    replica.completeAtMs = now.steadyMs + bounds(replica).leaseMs;
    proposeFixed(replica.client, kConfigKey, "", now, out);
  }
}

}  // namespace tulip::control
