// The first membership: one decider names it, and every member promises itself to it.
#include "control/replica_internal.hpp"

#include <algorithm>
#include <utility>

namespace tulip::control {

using namespace transport;

namespace {

// A replica that can become a voter of the first membership.
struct Candidate {
  ZoneName zone;
  Voter voter;
};

// Takes voters from the zones in turn, so that the loss of one zone leaves a majority where that can be.
std::vector<Voter> pickVoters(const std::vector<Candidate>& candidates, std::size_t count) {
  std::map<ZoneName, std::vector<Voter>> zones;
  for (const auto& candidate : candidates) zones[candidate.zone].push_back(candidate.voter);
  std::vector<Voter> voters;
  for (std::size_t round = 0; voters.size() < count; ++round)
    for (const auto& [zone, list] : zones)
      if (round < list.size() && voters.size() < count) voters.push_back(list[round]);
  return voters;
}

// Whether two lists name the same seeds, in any order.
bool sameSeeds(std::vector<Address> one, std::vector<Address> other) {
  std::sort(one.begin(), one.end());
  std::sort(other.begin(), other.end());
  return one == other;
}

}  // namespace

void tryActivateBootstrap(ReplicaState& replica, Now now, Outbox& out) {
  if (!replica.image.empty() || replica.joined.membership.voters.empty()) return;
  for (const auto& voter : replica.joined.membership.voters) {
    if (voter.id == replica.image.id) continue;
    auto found = replica.others.find(voter.peerAddress);
    if (found == replica.others.end() || found->second.last.voter.id != voter.id ||
        found->second.last.joined != replica.joined)
      return;
  }
  const Membership membership = replica.joined.membership;
  installMembership(replica, membership, now, out);
}

void onBootstrapProposal(ReplicaState& replica, const BootstrapProposal& form, Now now, Outbox& out) {
  if (replica.diskless || !replica.image.empty() || !replica.client.settings.firstBoot ||
      !replica.known.voters.empty() || ailing(replica))
    return;
  if (now.steadyMs - replica.rememberedMs < 4 * bounds(replica).leaseMs) return;
  if (!isVoter(form.membership, replica.image.id) || form.number <= replica.image.joined.number) return;
  replica.joined = {};
  persist(replica, {storage::entry::joined(form)}, {}, out);
  replica.joinedTicket = replica.ticket;
}

void tryBootstrap(ReplicaState& replica, Now now, Outbox& out) {
  const auto& settings = replica.client.settings;
  if (!settings.firstBoot || !knownMembership(replica).voters.empty() || settings.seeds.empty()) return;
  if (self(replica) != *std::min_element(settings.seeds.begin(), settings.seeds.end())) return;
  const auto leaseMs = bounds(replica).leaseMs;
  Version remembered = now.steadyMs - replica.rememberedMs < 4 * leaseMs ? replica.remembered : 0;
  for (const auto& [address, other] : replica.others)
    if (now.steadyMs - other.heardMs < leaseMs) remembered = std::max(remembered, other.last.remembered);
  if (remembered > 0) {
    if (!std::exchange(replica.refusesBootstrap, true))
      out.alarms.push_back("daemons remember cohort " + std::to_string(remembered) +
                           ": no new fleet is formed here; bring back its data folders, or stop every scheduler and "
                           "agent to begin anew");
    return;
  }
  const auto fit = [&](const PeerReplica& other) {
    return inTouch(replica, other, now) && other.last.empty && other.last.membership.voters.empty() &&
           other.last.firstBoot && sameSeeds(other.last.seeds, settings.seeds);
  };
  for (const auto& seed : settings.seeds) {
    if (seed == self(replica)) continue;
    auto found = replica.others.find(seed);
    if (found == replica.others.end() || !fit(found->second)) return;
  }
  std::vector<Candidate> candidates;
  BootstrapProposal joined = replica.image.joined;
  if (!replica.diskless) candidates.push_back({settings.zone, {replica.image.id, self(replica)}});
  for (const auto& [address, other] : replica.others) {
    if (other.last.diskless || !fit(other)) continue;
    candidates.push_back({other.last.zone, other.last.voter});
    if (other.last.joined.number > joined.number) joined = other.last.joined;
  }
  auto& bootstrap = replica.bootstrap;
  if (joined.number > bootstrap.wanted.number) bootstrap.wanted = joined;
  // A member whose address has another identity now is gone with its disk, and its promise with it.
  const bool gone = std::any_of(bootstrap.wanted.membership.voters.begin(), bootstrap.wanted.membership.voters.end(),
                                [&](const Voter& voter) {
                                  return std::any_of(candidates.begin(), candidates.end(), [&](const Candidate& each) {
                                    return each.voter.peerAddress == voter.peerAddress && each.voter.id != voter.id;
                                  });
                                });
  if (bootstrap.wanted.membership.voters.empty() || gone) {
    if (std::exchange(bootstrap.candidates, candidates.size()) != candidates.size()) bootstrap.grownMs = now.steadyMs;
    const auto most = wantedVoters(replica);
    if (candidates.empty() || now.steadyMs - bootstrap.grownMs < (candidates.size() < most ? 2 * leaseMs : leaseMs / 3))
      return;
    auto count = std::min(most, candidates.size());
    if (count % 2 == 0) --count;
    bootstrap.wanted = {Membership{1, pickVoters(candidates, count)}, bootstrap.wanted.number + 1};
  }
  for (const auto& voter : bootstrap.wanted.membership.voters) {
    if (voter.id == replica.image.id)
      onBootstrapProposal(replica, bootstrap.wanted, now, out);
    else if (auto found = replica.others.find(voter.peerAddress);
             found == replica.others.end() || found->second.last.joined != bootstrap.wanted)
      out.send(voter.peerAddress, bootstrap.wanted);
  }
}

}  // namespace tulip::control
