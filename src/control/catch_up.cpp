// Catching up: a new voter takes the final state of a majority of the membership before its own, whoever of them holds
// it, before it votes.
#include "control/replica_internal.hpp"

#include <algorithm>
#include <utility>

namespace tulip::control {

using namespace transport;

namespace {

// One question for each membership: its versions only rise, so they number the questions of this process.
CatchUpId catchUpId(const ReplicaState& replica) { return {replica.client.process, replica.image.membership.version}; }

// The state that a fenced acceptor sends unasked, and a giver of the protocol before incarnations, repeat no id.
bool answersCatchUp(const ReplicaState& replica, const CatchUpGive& give) {
  return give.question == CatchUpId{} || give.question == catchUpId(replica);
}

using States = std::map<DaemonId, CatchUpGive>;

CatchUpGive makeState(const ReplicaState& replica, Version membership, Now now) {
  CatchUpGive give;
  give.membership = membership;
  give.id = replica.image.id;
  give.jobLogPromised = replica.image.jobLogPromised;
  give.fleetMs = fleetNow(replica.client, now);
  give.base = replica.image.jobLogBase;
  give.learned = replica.image.learned;
  for (const auto& [key, entry] : replica.image.jobs) give.entries.push_back(entry);
  for (const auto& [key, slot] : replica.image.registers) {
    give.registers.push_back({key, {slot.accepted, 0}, slot.value});
    give.promises.push_back({key, {slot.promised, 0}, {}});
  }
  return give;
}

Ballot newestBase(const States& states) {
  Ballot base;
  for (const auto& [id, state] : states) base = std::max(base, state.base);
  return base;
}

Millis latestFleet(const States& states, const Ballot& base) {
  Millis fleetMs = 0;
  for (const auto& [id, state] : states)
    if (state.base == base) fleetMs = std::max(fleetMs, state.fleetMs);
  return fleetMs;
}

void addRegisters(const States& states, std::vector<DiskEntry>& writes) {
  std::map<std::string, const Entry*> newest;
  for (const auto& [id, state] : states)
    for (const auto& entry : state.registers) {
      auto [slot, fresh] = newest.emplace(entry.key, &entry);
      if (!fresh && slot->second->version < entry.version) slot->second = &entry;
    }
  for (const auto& [key, entry] : newest)
    writes.push_back(storage::entry::registerAccept(key, entry->version.ballot, entry->value));
  for (const auto& [id, state] : states)
    for (const auto& entry : state.promises)
      writes.push_back(storage::entry::registerPromise(entry.key, entry.version.ballot));
}

// What replaces the state of this replica by the newest of all that was given.
std::vector<DiskEntry> merged(const States& states) {
  const Ballot base = newestBase(states);
  std::vector<DiskEntry> writes{storage::entry::clear()};
  writes.push_back(storage::entry::fleet(base, latestFleet(states, base)));
  writes.push_back(storage::entry::jobLogBase(base));
  for (const auto& [id, state] : states) {
    writes.push_back(storage::entry::jobLogPromise(state.jobLogPromised));
    if (state.learned != Ballot{}) writes.push_back(storage::entry::learned(state.learned));
    if (state.base != base) continue;
    for (const auto& entry : state.entries) writes.push_back(storage::entry::job(entry));
  }
  addRegisters(states, writes);
  return writes;
}

std::vector<Address> catchUpTargets(const ReplicaState& replica, Now now) {
  std::set<Address> targets;
  for (const auto& voter : knownMembership(replica).voters) targets.insert(voter.peerAddress);
  // A voter that the membership left out may be the one that still holds the state.
  for (const auto& [address, other] : replica.others)
    if (!other.last.diskless && now.steadyMs - other.heardMs < bounds(replica).leaseMs) targets.insert(address);
  targets.erase(self(replica));
  return {targets.begin(), targets.end()};
}

}  // namespace

void askCatchUp(ReplicaState& replica, Now now, Outbox& out) {
  if (replica.image.empty() || replica.image.voting || !isVoter(replica.image.membership, replica.image.id)) return;
  if (now.steadyMs - replica.askedMs < bounds(replica).leaseMs / 2) return;
  replica.askedMs = now.steadyMs;
  for (const auto& target : catchUpTargets(replica, now))
    out.send(target, CatchUpAsk{replica.image.membership.version, replica.image.id, catchUpId(replica)});
}

void onCatchUpAsk(ReplicaState& replica, const Heard& heard, const CatchUpAsk& ask, Now now, Outbox& out) {
  const bool votes = mayVote(replica) && isVoter(replica.image.membership, replica.image.id) &&
                     ask.membership == replica.image.membership.version;
  const bool left = replica.leftIn > 0 && ask.membership == replica.leftIn;
  if (!votes && !left) return;
  auto give = makeState(replica, ask.membership, now);
  give.question = ask.question;
  out.reply(heard, std::move(give));
}

void sendFinalState(const ReplicaState& replica, const Membership& next, Now now, std::vector<Send>& sends) {
  for (const auto& voter : next.voters)
    if (!isVoter(replica.image.membership, voter.id))
      sends.push_back({voter.peerAddress, makeState(replica, replica.image.membership.version + 1, now)});
}

void onCatchUpGive(ReplicaState& replica, const CatchUpGive& give, Now now, Outbox& out) {
  if (replica.image.voting || !answersCatchUp(replica, give)) return;
  const bool voter = isVoter(replica.image.membership, replica.image.id);
  const auto version = knownMembership(replica).version;
  // An acceptor that is fenced sends its state before the newcomer knows that the step was chosen.
  if (give.membership != (voter ? version : version + 1)) return;
  replica.catchUp[give.id] = give;
  tryFinishCatchUp(replica, now, out);
}

void tryFinishCatchUp(ReplicaState& replica, Now now, Outbox& out) {
  const auto& membership = replica.image.membership;
  if (replica.image.voting || !isVoter(membership, replica.image.id)) return;
  const auto givers = membership.givers > 0 ? membership.givers : majority(membership.voters.size());
  if (replica.catchUp.size() < givers) return;
  auto writes = merged(replica.catchUp);
  writes.push_back(storage::entry::voting(true));
  setFleet(replica.client, latestFleet(replica.catchUp, newestBase(replica.catchUp)), now);
  ++replica.catchUps;
  replica.leaseUntilMs = now.steadyMs + bounds(replica).leaseMs;
  replica.catchUp.clear();
  persist(replica, std::move(writes), {}, out);
  replica.votingTicket = replica.ticket;
}

}  // namespace tulip::control
