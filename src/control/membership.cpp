// Steps of the membership: which change is wanted, proposing it, and installing what was chosen.
#include "control/replica_internal.hpp"

#include <algorithm>
#include <utility>

namespace tulip::control {

using namespace transport;

namespace {

// A voter as this replica sees it.
struct VoterView {
  Voter voter;
  const PeerReplica* peer = nullptr;  // none for this replica itself, and for one that was never heard
  ZoneName zone;
  bool self = false;
  bool alive = false;
  bool votes = false;
  bool leaving = false;
};

using VoterViews = std::vector<VoterView>;
using Spares = std::vector<const ReplicaHeartbeat*>;

// The voters wanted next.
struct Change {
  std::vector<Voter> voters;
};

// A replica that is told to stop says so in its own session.
bool isLeaving(const PeerReplica& peer) {
  return std::any_of(peer.sessions.begin(), peer.sessions.end(),
                     [&](const Member& member) { return member.id == peer.last.voter.id && member.leaving; });
}

VoterView viewOf(const ReplicaState& replica, const Voter& voter, Now now) {
  VoterView view;
  view.voter = voter;
  view.self = voter.id == replica.image.id;
  if (view.self) {
    view.zone = replica.client.settings.zone;
    view.alive = view.votes = true;
    view.leaving = replica.client.leaving;
    return view;
  }
  auto found = replica.others.find(voter.peerAddress);
  if (found == replica.others.end() || found->second.last.voter.id != voter.id) return view;
  view.peer = &found->second;
  view.zone = view.peer->last.zone;
  view.alive = now.steadyMs - view.peer->soundMs < bounds(replica).leaseMs;
  view.votes = view.alive && view.peer->last.voting;
  view.leaving = view.alive && isLeaving(*view.peer);
  return view;
}

VoterViews viewVoters(const ReplicaState& replica, Now now) {
  VoterViews views;
  for (const auto& voter : replica.image.membership.voters) views.push_back(viewOf(replica, voter, now));
  return views;
}

// The voting replica with the lowest id proposes, one that stays before one that leaves.
bool proposes(const VoterViews& views) {
  const VoterView* first = nullptr;
  for (const auto& view : views)
    if (view.votes && (!first || std::pair(view.leaving, view.voter.id) < std::pair(first->leaving, first->voter.id)))
      first = &view;
  return first && first->self;
}

bool allVote(const VoterViews& views) {
  return std::all_of(views.begin(), views.end(), [](const VoterView& view) { return view.votes; });
}

// The step before is open while a voter that is there has not caught up.
bool stepOpen(const VoterViews& views) {
  return std::any_of(views.begin(), views.end(), [](const VoterView& view) { return view.alive && !view.votes; });
}

Spares findSpares(const ReplicaState& replica, Now now) {
  Spares spares;
  for (const auto& [address, other] : replica.others)
    if (!other.last.diskless && inTouch(replica, other, now) &&
        !isVoter(replica.image.membership, other.last.voter.id) &&
        other.last.membership.version <= replica.image.membership.version)
      spares.push_back(&other.last);
  return spares;
}

std::ptrdiff_t votersIn(const VoterViews& views, const ZoneName& zone, const DaemonId& without) {
  return std::count_if(views.begin(), views.end(), [&](const VoterView& view) {
    return view.voter.id != without && (view.self || view.peer) && view.zone == zone;
  });
}

// The spare in the zone with the fewest voters, the one to be replaced left out.
const ReplicaHeartbeat& bestSpare(const VoterViews& views, const Spares& spares, const DaemonId& without) {
  const auto order = [&](const ReplicaHeartbeat* spare) {
    return std::pair(votersIn(views, spare->zone, without), spare->voter.id);
  };
  return **std::min_element(
      spares.begin(), spares.end(),
      [&](const ReplicaHeartbeat* one, const ReplicaHeartbeat* other) { return order(one) < order(other); });
}

Change replaced(const VoterViews& views, std::size_t place, const Voter& by) {
  Change change;
  for (const auto& view : views) change.voters.push_back(view.voter);
  change.voters[place] = by;
  return change;
}

// A voter whose address has another identity now is gone for good.
std::optional<Change> replaceGone(const VoterViews& views, const Spares& spares) {
  for (std::size_t i = 0; i < views.size(); ++i)
    for (const auto* spare : spares)
      if (spare->voter.peerAddress == views[i].voter.peerAddress && !views[i].self)
        return replaced(views, i, spare->voter);
  return {};
}

std::optional<Change> replaceLeaving(const VoterViews& views, const Spares& spares) {
  for (std::size_t i = 0; i < views.size(); ++i)
    if (views[i].leaving && !views[i].self)
      return replaced(views, i, bestSpare(views, spares, views[i].voter.id).voter);
  return {};
}

std::optional<Change> replaceSilent(const ReplicaState& replica, const VoterViews& views, const Spares& spares,
                                    Now now) {
  const Millis patientMs = 4 * bounds(replica).leaseMs;
  const Millis catchUpMs = bounds(replica).catchUpMs;
  const Millis silentMs = catchUpMs > 0 ? std::min(patientMs, catchUpMs / 3) : patientMs;
  if (now.steadyMs < replica.bornMs + silentMs) return {};
  for (std::size_t i = 0; i < views.size(); ++i) {
    if (views[i].self) continue;
    if (!views[i].peer || now.steadyMs - views[i].peer->soundMs > silentMs)
      return replaced(views, i, bestSpare(views, spares, views[i].voter.id).voter);
  }
  return {};
}

// Never to an even number that it would stay at.
std::optional<Change> addVoter(const ReplicaState& replica, const VoterViews& views, const Spares& spares) {
  const auto wanted = wantedVoters(replica);
  const bool toOdd = views.size() % 2 == 0;
  if (views.size() >= wanted || !(toOdd || spares.size() >= 2)) return {};
  Change change;
  for (const auto& view : views) change.voters.push_back(view.voter);
  change.voters.push_back(bestSpare(views, spares, {}).voter);
  return change;
}

// Moves a voter out of a zone whose loss would take the majority.
std::optional<Change> moveZone(const VoterViews& views, const Spares& spares) {
  const auto bearable = static_cast<std::ptrdiff_t>(views.size() - majority(views.size()));
  for (std::size_t i = views.size(); i-- > 0;) {
    if (views[i].self || votersIn(views, views[i].zone, {}) <= bearable) continue;
    const auto& spare = bestSpare(views, spares, views[i].voter.id);
    if (votersIn(views, spare.zone, views[i].voter.id) < bearable) return replaced(views, i, spare.voter);
  }
  return {};
}

// The next membership that is wanted, when this replica is the one to propose it. One voter changes at a time, and none
// while the change before is open.
std::optional<Change> nextVoters(const ReplicaState& replica, Now now) {
  const auto views = viewVoters(replica, now);
  if (!proposes(views) || stepOpen(views)) return {};
  const auto spares = findSpares(replica, now);
  if (spares.empty()) return {};
  if (auto change = replaceGone(views, spares)) return change;
  if (auto change = replaceSilent(replica, views, spares, now)) return change;
  if (auto change = replaceLeaving(views, spares)) return change;
  if (!allVote(views)) return {};
  if (auto change = addVoter(replica, views, spares)) return change;
  return moveZone(views, spares);
}

// A step that nobody has accepted yet is given up when it is no longer wanted.
void withdrawStep(ReplicaState& replica, const std::string& wanted) {
  const auto key = nextMembershipKey(replica);
  std::erase_if(replica.client.proposals, [&](const Proposal& proposal) {
    return proposal.key == key && !proposal.fixedValue.empty() && proposal.fixedValue != wanted &&
           (proposal.phase == Phase::queued || proposal.phase == Phase::prepare);
  });
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
  replica.leftIn =
      voted && !keeps && membership.version == replica.image.membership.version + 1 ? membership.version : 0;
  replica.fenced = false;
  std::erase_if(replica.catchUp, [&](const auto& each) { return each.second.membership != membership.version; });
  replica.stepYields = 0;
  if (votes && !voted) replica.leaseUntilMs = now.steadyMs + bounds(replica).leaseMs;
  persist(replica, std::move(writes), {}, out);
  adoptMembership(replica.client, membership, now, out);
  replica.joined = {};
  sendReplicaHeartbeats(replica, now, out);
  replica.askedMs = -1000000;
  tryFinishCatchUp(replica, now, out);
  askCatchUp(replica, now, out);
  if (!votes || !hasQuorumLease(replica, now) || !replica.configKnown) return;
  for (auto& [id, row] : replica.sessions)
    if (row.member.role == Role::scheduler && now.steadyMs - row.heardMs <= bounds(replica).leaseMs)
      out.send(row.member.peerAddress, makeGrant(replica, row, now));
}

void tryReconfigure(ReplicaState& replica, Now now, Outbox& out) {
  if (replica.image.empty() || !mayVote(replica) || !hasQuorumLease(replica, now)) return;
  const auto change = nextVoters(replica, now);
  if (!change) return withdrawStep(replica, {});
  const auto& membership = replica.image.membership;
  const auto givers = static_cast<std::uint32_t>(majority(membership.voters.size()));
  const auto wanted = storage::packMembership({membership.version + 1, change->voters, givers});
  withdrawStep(replica, wanted);
  const auto key = nextMembershipKey(replica);
  if (proposing(replica.client, key)) return;
  proposeFixed(replica.client, key, wanted, now, out);
}

bool mayLeave(const ReplicaState& replica, Now now) {
  if (replica.image.empty()) return true;
  const auto views = viewVoters(replica, now);
  if (isVoter(replica.image.membership, replica.image.id))
    return !mayVote(replica) || !hasQuorumLease(replica, now) || findSpares(replica, now).empty();
  return replica.leftIn == 0 || allVote(views);
}

void yieldStep(ReplicaState& replica, const std::string& key, const Ballot& newer, Now now) {
  constexpr int kMostYields = 4;
  const auto own = [&](const Proposal& proposal) {
    return proposal.key == key && proposal.phase != Phase::learn && proposal.ballot < newer;
  };
  if (!replica.fenced || std::erase_if(replica.client.proposals, own) == 0) return;
  replica.stepSinceMs = now.steadyMs;
  replica.stepYields = std::min(replica.stepYields + 1, kMostYields);
}

void completeMembershipStep(ReplicaState& replica, Now now, Outbox& out) {
  const auto step = replica.image.registers.find(nextMembershipKey(replica));
  if (step == replica.image.registers.end() || step->second.value.empty()) {
    replica.stepSinceMs = -1;
    return;
  }
  if (replica.stepSinceMs < 0) replica.stepSinceMs = now.steadyMs;
  const Millis patienceMs = bounds(replica).heartbeatMs() << replica.stepYields;
  if (now.steadyMs - replica.stepSinceMs >= patienceMs && !proposing(replica.client, step->first))
    proposeFixed(replica.client, step->first, "", now, out);
}

}  // namespace tulip::control
