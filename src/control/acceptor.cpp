// The acceptor: rounds of the registers and of the job log, with promises synced before they are answered.
#include "control/replica_internal.hpp"

#include <algorithm>
#include <utility>

namespace tulip::control {

using namespace transport;

namespace {

// The ROLE-NAME part of the id of a daemon with a name; empty for one without.
std::string_view hostOf(std::string_view id) {
  id = id.substr(0, id.find('/'));
  const auto life = id.rfind('-');
  if (life == std::string_view::npos || id.substr(0, life).find('-') == std::string_view::npos) return {};
  return id.substr(0, life);
}

// Whether a request for the given version of the membership may be answered by this replica.
bool membershipMatches(const ReplicaState& replica, Version version) {
  return version == replica.image.membership.version && !replica.fenced && mayVote(replica) &&
         isVoter(replica.image.membership, replica.image.id);
}

Ballot acceptedIn(const ReplicaState& replica, const std::string& key) {
  const auto found = replica.image.registers.find(key);
  return found == replica.image.registers.end() ? Ballot{} : found->second.accepted;
}

}  // namespace

namespace {

// A higher term asked for by the process that holds the present one: it has given that one up, and its lease with it.
bool givesUpItsTerm(const Ballot& promised, const Ballot& asked) {
  return promised.owner == asked.owner && promised < asked;
}

}  // namespace

void endLeaseOfEarlierLife(ReplicaState& replica, const DaemonId& heard, Now now) {
  const std::string_view owner = replica.image.jobLogPromised.owner;
  const auto host = hostOf(owner);
  if (host.empty() || hostOf(heard.view()) != host || owner.substr(0, owner.find('/')) == heard.view()) return;
  endLease(replica, now);
}

void endLease(ReplicaState& replica, Now now) {
  replica.leaseUntilMs = std::min(replica.leaseUntilMs, now.steadyMs);
  replica.candidateUntilMs = std::min(replica.candidateUntilMs, now.steadyMs);
}

bool leaseLive(const ReplicaState& replica, Now now) { return now.steadyMs < replica.leaseUntilMs; }

void onRegisterPrepare(ReplicaState& replica, const Heard& heard, const RegisterPrepare& ask, Now now, Outbox& out) {
  const bool membershipKey = ask.key == nextMembershipKey(replica);
  if (!mayVote(replica) || ask.membership != replica.image.membership.version ||
      (!membershipKey && !membershipMatches(replica, ask.membership)))
    return;
  std::vector<DiskEntry> writes;
  auto reply = storage::promise(replica.image, ask, writes);
  if (membershipKey && reply.ok) yieldStep(replica, ask.key, ask.ballot, now);
  persist(replica, std::move(writes), {{heard.from, reply, heard.incarnation}}, out);
}

void onRegisterAccept(ReplicaState& replica, const Heard& heard, const RegisterAccept& ask, Now now, Outbox& out) {
  const bool membershipKey = ask.key == nextMembershipKey(replica);
  if (!mayVote(replica) || ask.membership != replica.image.membership.version ||
      (!membershipKey && !membershipMatches(replica, ask.membership)))
    return;
  const bool again = acceptedIn(replica, ask.key) == ask.ballot;
  std::vector<DiskEntry> writes;
  auto reply = storage::accept(replica.image, ask, writes);
  std::vector<Send> after{{heard.from, reply, heard.incarnation}};
  if (membershipKey && reply.ok) {
    replica.fenced = true;
    if (!again) sendFinalState(replica, storage::unpackMembership(ask.value), now, after);
  }
  persist(replica, std::move(writes), std::move(after), out);
}

void onRegisterChosen(ReplicaState& replica, const RegisterChosen& chosen, Now now, Outbox& out) {
  if (chosen.key == kConfigKey) {
    const auto found = replica.image.registers.find(kConfigKey);
    const bool held = found != replica.image.registers.end() && found->second.accepted == chosen.ballot;
    learnConfig(replica, chosen.ballot, chosen.value.empty() && held ? found->second.value : chosen.value, now, out);
  }
  if (chosen.key != nextMembershipKey(replica) || replica.image.empty()) return;
  const auto found = replica.image.registers.find(chosen.key);
  const bool held = found != replica.image.registers.end() && found->second.accepted == chosen.ballot;
  installMembership(
      replica, storage::unpackMembership(chosen.value.empty() && held ? found->second.value : chosen.value), now, out);
}

namespace {

// How long no other term is promised here: for the lease of a leader, or of a candidate that was given a promise.
Millis leaseLeftMs(const ReplicaState& replica, const Ballot& asked, Now now) {
  const auto& promised = replica.image.jobLogPromised;
  if (promised == asked || givesUpItsTerm(promised, asked)) return 0;
  return std::max<Millis>(0, std::max(replica.leaseUntilMs, replica.candidateUntilMs) - now.steadyMs);
}

// The answer to a candidate without what is held here: whether its term is, or for a probe would be, promised.
JobLogPromise answerTo(const ReplicaState& replica, const JobLogPrepare& ask, Now now) {
  JobLogPromise reply;
  reply.term = ask.term;
  reply.membership = ask.membership;
  reply.promised = replica.image.jobLogPromised;
  reply.fleetMs = fleetNow(replica.client, now);
  reply.leaseLeftMs = leaseLeftMs(replica, ask.term, now);
  reply.ok = ask.term >= reply.promised && reply.leaseLeftMs == 0;
  reply.probe = ask.probe;
  reply.wallMs = now.wallMs;
  return reply;
}

// What is held here of the job log, with the values or with their sizes.
void addEntries(const ReplicaState& replica, bool versionsOnly, JobLogPromise& reply) {
  reply.entries.reserve(replica.image.jobs.size());
  for (const auto& [key, entry] : replica.image.jobs) {
    if (!versionsOnly) {
      reply.entries.push_back(entry);
      continue;
    }
    reply.entries.push_back({entry.key, entry.version, {}});
    reply.leftOut.push_back(entry.value.size());
  }
}

}  // namespace

void onJobLogPrepare(ReplicaState& replica, const Heard& heard, const JobLogPrepare& ask, Now now, Outbox& out) {
  endLeaseOfEarlierLife(replica, heard.fromId, now);
  if (!membershipMatches(replica, ask.membership)) return;
  auto reply = answerTo(replica, ask, now);
  if (!reply.ok || ask.probe) return out.reply(heard, std::move(reply));
  replica.candidateUntilMs = now.steadyMs + bounds(replica).leaseMs;
  reply.base = replica.image.jobLogBase;
  addEntries(replica, ask.versionsOnly, reply);
  std::vector<DiskEntry> writes{storage::entry::jobLogPromise(ask.term)};
  persist(replica, std::move(writes), {{heard.from, std::move(reply), heard.incarnation}}, out);
}

void onJobLogAccept(ReplicaState& replica, const Heard& heard, const JobLogAccept& ask, Now now, Outbox& out) {
  JobLogAccepted reply{ask.term, ask.seq, ask.sentMs, false, ask.seq > 0, replica.image.jobLogPromised, now.wallMs};
  if (!membershipMatches(replica, ask.membership) || ask.term < replica.image.jobLogPromised) {
    ++replica.jobLogRejected;
    out.reply(heard, std::move(reply));
    return;
  }
  std::vector<DiskEntry> writes;
  if (replica.image.jobLogPromised < ask.term) {
    out.reply(heard, std::move(reply));
    return;
  }
  ++replica.jobLogAccepts;
  reply.ok = true;
  replica.leader = ask.hint;
  replica.leaseUntilMs = replica.hintUntilMs = now.steadyMs + bounds(replica).leaseMs;
  if (std::pair(ask.term, ask.number) >= replica.fleetFrom) {
    replica.fleetFrom = {ask.term, ask.number};
    setFleet(replica.client, ask.fleetMs, now);
  }
  if (ask.seq > 0) {
    writes.push_back(storage::entry::jobLogBase(ask.term));
    writes.push_back(storage::entry::fleet(ask.term, ask.fleetMs));
  }
  for (const auto& entry : ask.entries) writes.push_back(storage::entry::job(entry));
  persist(replica, std::move(writes), {{heard.from, std::move(reply), heard.incarnation}}, out);
}

}  // namespace tulip::control
