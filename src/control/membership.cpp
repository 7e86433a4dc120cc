// Steps of the membership: which change is wanted, proposing it, and installing what was chosen.
#include "control/replica_internal.hpp"

#include <algorithm>
#include <utility>

namespace tulip::control {

using namespace transport;

namespace {

// The voters wanted next, and how many states a new one takes before it votes (0: a majority of the new membership).
struct Change {
  std::vector<Voter> voters;
  std::uint32_t givers = 0;
};

// The next membership that is wanted: one voter replaced, added, or moved to another zone.
std::optional<Change> nextVoters(const ReplicaState& replica, Now now) {
  const auto& voters = replica.image.membership.voters;
  const auto leaseMs = bounds(replica).leaseMs;
  std::map<DaemonId, ZoneName> zones{{replica.image.id, replica.client.settings.zone}};
  const Voter* proposer = nullptr;
  bool calm = true;
  const auto holder = [&](const Voter& voter) -> const PeerReplica* {
    auto found = replica.others.find(voter.peerAddress);
    return found != replica.others.end() && found->second.last.voter.id == voter.id ? &found->second : nullptr;
  };
  for (const auto& voter : voters) {
    const auto* other = holder(voter);
    if (other) zones[voter.id] = other->last.zone;
    const bool alive = voter.id == replica.image.id || (other && now.steadyMs - other->soundMs < leaseMs);
    const bool votes = voter.id == replica.image.id || (alive && other->last.voting);
    calm = calm && votes;
    if (votes && (!proposer || voter.id < proposer->id)) proposer = &voter;
  }
  if (!proposer || proposer->id != replica.image.id) return {};
  std::vector<const ReplicaHeartbeat*> spares;
  for (const auto& [address, other] : replica.others)
    if (!other.last.diskless && inTouch(replica, other, now) &&
        !isVoter(replica.image.membership, other.last.voter.id) &&
        other.last.membership.version <= replica.image.membership.version)
      spares.push_back(&other.last);
  if (spares.empty()) return {};
  const auto inZone = [&](const ZoneName& zone, const DaemonId& without) {
    return std::count_if(voters.begin(), voters.end(), [&](const Voter& voter) {
      auto found = zones.find(voter.id);
      return voter.id != without && found != zones.end() && found->second == zone;
    });
  };
  const auto best = [&](const DaemonId& without) {
    return *std::min_element(spares.begin(), spares.end(),
                             [&](const ReplicaHeartbeat* one, const ReplicaHeartbeat* other) {
                               return std::pair(inZone(one->zone, without), one->voter.id) <
                                      std::pair(inZone(other->zone, without), other->voter.id);
                             });
  };
  const auto replaced = [&](std::size_t place, const Voter& by) {
    Change change{voters, 0};
    change.voters[place] = by;
    return change;
  };
  for (std::size_t i = 0; i < voters.size(); ++i)
    for (const auto* spare : spares)
      if (spare->voter.peerAddress == voters[i].peerAddress && voters[i].id != replica.image.id)
        return replaced(i, spare->voter);
  const Millis patientMs = 4 * leaseMs;
  const Millis silentMs =
      bounds(replica).catchUpMs > 0 ? std::min(patientMs, bounds(replica).catchUpMs / 3) : patientMs;
  if (now.steadyMs >= replica.bornMs + silentMs)
    for (std::size_t i = 0; i < voters.size(); ++i) {
      if (voters[i].id == replica.image.id) continue;
      const auto* other = holder(voters[i]);
      if (!other || now.steadyMs - other->soundMs > silentMs) return replaced(i, best(voters[i].id)->voter);
    }
  if (!calm) return {};
  const auto most = wantedVoters(replica);
  const bool toOdd = voters.size() % 2 == 0;
  if (voters.size() < most && (toOdd || spares.size() >= 2 || voters.size() + 1 == most)) {
    Change change{voters, static_cast<std::uint32_t>(majority(voters.size()))};
    change.voters.push_back(best({})->voter);
    return change;
  }
  const auto bearable = static_cast<std::ptrdiff_t>(voters.size() - majority(voters.size()));
  for (std::size_t i = voters.size(); i-- > 0;) {
    if (voters[i].id == replica.image.id || inZone(zones[voters[i].id], {}) <= bearable) continue;
    const auto* spare = best(voters[i].id);
    if (inZone(spare->zone, voters[i].id) < bearable) return replaced(i, spare->voter);
  }
  return {};
}

}  // namespace

std::string nextMembershipKey(const ReplicaState& replica) {
  return "cohort/" + std::to_string(replica.image.membership.version + 1);
}

std::size_t wantedVoters(const ReplicaState& replica) {
  return static_cast<std::size_t>(2 * std::max<std::int64_t>(0, replica.client.settings.losses) + 1);
}

void installMembership(ReplicaState& replica, const Membership& membership, Now now, Outbox& out) {
  if (membership.version <= replica.image.membership.version) return;
  const bool keeps = isVoter(membership, replica.image.id);
  const bool voted = replica.image.voting && isVoter(replica.image.membership, replica.image.id);
  std::vector<DiskEntry> writes{storage::entry::membership(membership)};
  const bool first = replica.image.empty() && membership.version == 1 && keeps;
  const bool votes = keeps && (first || (voted && membership.version == replica.image.membership.version + 1));
  writes.push_back(storage::entry::voting(votes));
  for (const auto& voter : replica.image.membership.voters) {
    if (voter.id == replica.image.id || isVoter(membership, voter.id)) continue;
    auto found = replica.others.find(voter.peerAddress);
    const bool heard = found != replica.others.end() && found->second.last.voter.id == voter.id;
    replica.formerUntilMs[voter.id] = (heard ? found->second.heardMs : now.steadyMs) + bounds(replica).lapseMs();
  }
  replica.fenced = false;
  replica.catchUp.clear();
  if (votes && !voted) replica.leaseUntilMs = now.steadyMs + bounds(replica).leaseMs;
  persist(replica, std::move(writes), {}, out);
  replica.client.membership = membership;
  replica.joined = {};
  sendReplicaHeartbeats(replica, now, out);
  replica.askedMs = -1000000;
  askCatchUp(replica, now, out);
  if (!votes || !hasQuorumLease(replica, now) || !replica.configKnown) return;
  for (auto& [id, row] : replica.sessions)
    if (row.member.role == Role::scheduler && now.steadyMs - row.heardMs <= bounds(replica).leaseMs)
      out.send(row.member.peerAddress, makeGrant(replica, row, now));
}

void tryReconfigure(ReplicaState& replica, Now now, Outbox& out) {
  if (replica.image.empty() || !mayVote(replica) || !hasQuorumLease(replica, now) ||
      proposing(replica.client, nextMembershipKey(replica)))
    return;
  if (auto change = nextVoters(replica, now))
    proposeFixed(replica.client, nextMembershipKey(replica),
                 storage::packMembership(
                     Membership{replica.image.membership.version + 1, std::move(change->voters), change->givers}),
                 now, out);
}

void completeMembershipStep(ReplicaState& replica, Now now, Outbox& out) {
  auto step = replica.image.registers.find(nextMembershipKey(replica));
  if (step == replica.image.registers.end() || step->second.value.empty())
    replica.stepSinceMs = -1;
  else if (replica.stepSinceMs < 0)
    replica.stepSinceMs = now.steadyMs;
  else if (now.steadyMs - replica.stepSinceMs >= bounds(replica).heartbeatMs() &&
           !proposing(replica.client, step->first))
    proposeFixed(replica.client, step->first, "", now, out);
}

}  // namespace tulip::control
