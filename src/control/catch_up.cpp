// Catching up: a voter without state takes that of enough other voters before it votes.
#include "control/replica_internal.hpp"

#include <algorithm>
#include <utility>

namespace tulip::control {

using namespace transport;

namespace {

// One question for each membership: its versions only rise, so they number the questions of this process.
CatchUpId catchUpId(const ReplicaState& replica) { return {replica.client.process, replica.image.membership.version}; }

// A giver of the protocol before incarnations repeats no id.
bool answersCatchUp(const ReplicaState& replica, const CatchUpGive& give) {
  return give.question == CatchUpId{} || give.question == catchUpId(replica);
}

}  // namespace

void askCatchUp(ReplicaState& replica, Now now, Outbox& out) {
  if (replica.image.empty() || replica.image.voting || !isVoter(replica.image.membership, replica.image.id)) return;
  if (now.steadyMs - replica.askedMs < bounds(replica).leaseMs / 2) return;
  replica.askedMs = now.steadyMs;
  for (const auto& voter : replica.image.membership.voters)
    if (voter.id != replica.image.id && !replica.catchUp.contains(voter.id))
      out.send(voter.peerAddress, CatchUpAsk{replica.image.membership.version, replica.image.id, catchUpId(replica)});
}

void onCatchUpAsk(ReplicaState& replica, const Heard& heard, const CatchUpAsk& ask, Now now, Outbox& out) {
  if (!mayVote(replica) || ask.membership != replica.image.membership.version ||
      !isVoter(replica.image.membership, ask.id))
    return;
  CatchUpGive give{ask.membership,
                   replica.image.id,
                   replica.image.jobLogPromised,
                   fleetNow(replica.client, now),
                   {},
                   {},
                   replica.image.jobLogBase,
                   {},
                   replica.image.learned,
                   ask.question};
  for (const auto& [key, entry] : replica.image.jobs) give.entries.push_back(entry);
  for (const auto& [key, slot] : replica.image.registers) {
    give.registers.push_back({key, {slot.accepted, 0}, slot.value});
    give.promises.push_back({key, {slot.promised, 0}, {}});
  }
  out.reply(heard, std::move(give));
}

void onCatchUpGive(ReplicaState& replica, const CatchUpGive& give, Now now, Outbox& out) {
  if (replica.image.voting || give.membership != replica.image.membership.version ||
      !isVoter(replica.image.membership, give.id) || !answersCatchUp(replica, give))
    return;
  replica.catchUp[give.id] = give;
  const auto& membership = replica.image.membership;
  if (replica.catchUp.size() < (membership.givers > 0 ? membership.givers : majority(membership.voters.size()))) return;
  std::vector<DiskEntry> writes{storage::entry::clear()};
  storage::apply(replica.image, writes.front());
  Ballot base;
  Millis fleetMs = 0;
  for (const auto& [id, each] : replica.catchUp) base = std::max(base, each.base);
  for (const auto& [id, each] : replica.catchUp)
    if (each.base == base) fleetMs = std::max(fleetMs, each.fleetMs);
  writes.push_back(storage::entry::fleet(base, fleetMs));
  setFleet(replica.client, fleetMs, now);
  writes.push_back(storage::entry::jobLogBase(base));
  for (const auto& [id, each] : replica.catchUp) {
    writes.push_back(storage::entry::jobLogPromise(each.jobLogPromised));
    if (each.learned != Ballot{}) writes.push_back(storage::entry::learned(each.learned));
    if (each.base == base)
      for (const auto& entry : each.entries) writes.push_back(storage::entry::job(entry));
    for (const auto& entry : each.registers) {
      auto found = replica.image.registers.find(entry.key);
      if (found == replica.image.registers.end() || found->second.accepted < entry.version.ballot) {
        writes.push_back(storage::entry::registerAccept(entry.key, entry.version.ballot, entry.value));
        storage::apply(replica.image, writes.back());
      }
    }
    for (const auto& entry : each.promises)
      writes.push_back(storage::entry::registerPromise(entry.key, entry.version.ballot));
  }
  writes.push_back(storage::entry::voting(true));
  ++replica.catchUps;
  replica.leaseUntilMs = now.steadyMs + bounds(replica).leaseMs;
  replica.catchUp.clear();
  persist(replica, std::move(writes), {}, out);
}

}  // namespace tulip::control
