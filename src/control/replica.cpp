// The replica: its state, and the step that gives each event to the part it is for.
#include "control/replica_internal.hpp"

#include <algorithm>
#include <utility>

namespace tulip::control {

using namespace transport;

namespace {

// The periodic work: heartbeats, catching up, reconfiguration and the rounds that others left open.
void doPeriodicWork(ReplicaState& replica, Now now, Outbox& out) {
  if (now.steadyMs - replica.heartbeatSentMs >= heartbeatPauseMs(replica)) {
    tryBootstrap(replica, now, out);
    gatherMembers(replica, now);
    sendReplicaHeartbeats(replica, now, out);
    askCatchUp(replica, now, out);
    tryReconfigure(replica, now, out);
    std::erase_if(replica.sessions,
                  [&](const auto& row) { return now.steadyMs - row.second.heardMs > 4 * bounds(replica).leaseMs; });
  }
  if (!mayVote(replica) || replica.image.empty()) return;
  completeConfigRound(replica, now, out);
  completeMembershipStep(replica, now, out);
}

// Passes a message to the part of the replica that it is for.
void onHeard(ReplicaState& replica, const Heard& heard, Now now, Outbox& out) {
  if (clientHeard(replica.client, heard, now, out)) {
    for (auto& proposal : replica.client.proposals)
      if (proposal.phase == Phase::done && !proposal.edit && proposal.key == kConfigKey && proposal.value.empty() &&
          replica.image.learned == Ballot{})
        replica.configKnown = true;
    return;
  }
  std::visit(
      [&](const auto& body) {
        using Body = std::decay_t<decltype(body)>;
        if constexpr (std::is_same_v<Body, SessionHeartbeat>)
          onSessionHeartbeat(replica, heard, body, now, out);
        else if constexpr (std::is_same_v<Body, ReplicaHeartbeat>)
          onReplicaHeartbeat(replica, heard, body, now, out);
        else if constexpr (std::is_same_v<Body, RegisterPrepare>)
          onRegisterPrepare(replica, heard, body, now, out);
        else if constexpr (std::is_same_v<Body, RegisterAccept>)
          onRegisterAccept(replica, heard, body, now, out);
        else if constexpr (std::is_same_v<Body, RegisterChosen>)
          onRegisterChosen(replica, body, now, out);
        else if constexpr (std::is_same_v<Body, EditAsk>)
          onEditAsk(replica, heard, body, now, out);
        else if constexpr (std::is_same_v<Body, ConfigAsk>)
          onConfigAsk(replica, heard, body, now, out);
        else if constexpr (std::is_same_v<Body, AckQuery>)
          onAckQuery(replica, heard, body, now, out);
        else if constexpr (std::is_same_v<Body, JobLogPrepare>)
          onJobLogPrepare(replica, heard, body, now, out);
        else if constexpr (std::is_same_v<Body, JobLogAccept>)
          onJobLogAccept(replica, heard, body, now, out);
        else if constexpr (std::is_same_v<Body, CatchUpAsk>)
          onCatchUpAsk(replica, heard, body, now, out);
        else if constexpr (std::is_same_v<Body, CatchUpGive>)
          onCatchUpGive(replica, body, now, out);
        else if constexpr (std::is_same_v<Body, BootstrapProposal>)
          onBootstrapProposal(replica, body, now, out);
        else if constexpr (std::is_same_v<Body, Resign>) {
          if (replica.image.jobLogPromised != body.term) return;
          endLease(replica, now);
          replica.hintUntilMs = std::min(replica.hintUntilMs, now.steadyMs);
        }
      },
      heard.message);
}

// A batch was synced, or failed to be: what waited for it goes out, or never does.
void onPersisted(ReplicaState& replica, const Persisted& persisted, Now now, Outbox& out) {
  auto found = replica.waiting.find(persisted.ticket);
  if (found == replica.waiting.end()) return;
  auto sends = std::move(found->second.sends);
  if (persisted.ok) replica.syncTimes.note(now.steadyMs - found->second.sinceMs, bounds(replica).leaseMs);
  if (persisted.ok) replica.keptVersion = std::max(replica.keptVersion, found->second.learned);
  replica.waiting.erase(found);
  if (persisted.ok && persisted.ticket == replica.votingTicket) sendReplicaHeartbeats(replica, now, out);
  if (persisted.ok && persisted.ticket == replica.joinedTicket) {
    replica.joined = replica.image.joined;
    sendReplicaHeartbeats(replica, now, out);
    tryActivateBootstrap(replica, now, out);
  }
  if (!persisted.ok) {
    replica.diskFailed = true;
  }
  if (!replica.diskFailed)
    for (auto& send : sends) out.sends.push_back(std::move(send));
}

const JobLogPromise* promiseOf(const Send& send) {
  const auto* promise = std::get_if<JobLogPromise>(&send.message);
  return promise && promise->ok ? promise : nullptr;
}

bool hasValues(const JobLogPromise& promise) { return promise.leftOut.empty(); }

// Keeps one promise with values at most among the answers that wait for the disk, since each holds the whole job log:
// one that waits already answers the same question, and one of an older term is worth nothing once a newer term is
// promised. A promise without values doesn't answer a question for them.
void keepOnePromise(ReplicaState& replica, std::vector<Send>& after) {
  for (const auto& send : after) {
    const auto* newest = promiseOf(send);
    if (!newest) continue;
    const auto term = newest->term;
    bool waits = false;
    for (auto& [ticket, unsynced] : replica.waiting) {
      std::erase_if(unsynced.sends, [&](const Send& each) { return promiseOf(each) && promiseOf(each)->term < term; });
      waits = waits || std::ranges::any_of(unsynced.sends, [&](const Send& each) {
                const auto* waiting = promiseOf(each);
                return waiting && (hasValues(*waiting) || !hasValues(*newest));
              });
    }
    if (waits) std::erase_if(after, [](const Send& each) { return promiseOf(each) != nullptr; });
    return;
  }
}

// A tick of the replica and of the control client within it.
void onTick(ReplicaState& replica, Now now, Outbox& out) {
  if (ailing(replica) != replica.ailed) {
    replica.ailed = !replica.ailed;
    out.alarms.emplace_back(replica.ailed ? "the disk takes no writes: this replica no longer votes"
                                          : "the disk takes writes again: this replica votes");
  }
  doPeriodicWork(replica, now, out);
  replica.client.configProposer = configProposer(replica, now);
  clientTick(replica.client, now, out);
  replica.client.ready = mayVote(replica) && hasQuorumLease(replica, now) && sessionLive(replica.client, now) &&
                         !replica.client.leader.http.empty() && !replica.client.leaving;
}

}  // namespace

bool mayVote(const ReplicaState& replica) { return replica.image.voting && !ailing(replica); }

bool isVoter(const Membership& membership, const DaemonId& id) {
  return std::any_of(membership.voters.begin(), membership.voters.end(),
                     [&](const Voter& voter) { return voter.id == id; });
}

void persist(ReplicaState& replica, std::vector<DiskEntry> entries, std::vector<Send> after, Outbox& out) {
  keepOnePromise(replica, after);
  for (const auto& entry : entries) storage::apply(replica.image, entry);
  if (entries.empty()) {
    for (auto& send : after) out.sends.push_back(std::move(send));
    return;
  }
  replica.waiting[++replica.ticket] = {replica.stepMs, std::move(after), 0};
  out.persists.push_back({replica.ticket, std::move(entries)});
}

const Membership& knownMembership(const ReplicaState& replica) {
  return replica.image.empty() ? replica.known : replica.image.membership;
}

ReplicaState makeReplica(const Settings& settings, storage::Image image, std::string incarnation, Now now) {
  ReplicaState replica;
  replica.client = makeControlClient(settings, image.id, std::move(incarnation));
  replica.client.membership = image.membership;
  replica.client.fleetMs = image.fleetMs;
  replica.client.fleetAtMs = now.steadyMs;
  replica.bornMs = now.steadyMs;
  replica.diskless = settings.dataFolder.empty();
  for (const auto& [key, slot] : image.registers)
    replica.client.ballotNumber = std::max(replica.client.ballotNumber, slot.promised.number);
  replica.image = std::move(image);
  replica.joined = replica.image.joined;
  if (auto found = replica.image.registers.find(kConfigKey); found != replica.image.registers.end() &&
                                                             found->second.accepted == replica.image.learned &&
                                                             !found->second.value.empty()) {
    replica.learnedBallot = found->second.accepted;
    replica.learnedValue = found->second.value;
    replica.learned = config::readStored(replica.learnedValue);
    replica.keptVersion = replica.learned.version;
    replica.configKnown = true;
  }
  if (auto found = replica.image.registers.find(nextMembershipKey(replica)); found != replica.image.registers.end())
    replica.fenced = !found->second.value.empty();
  if (!replica.image.empty()) replica.leaseUntilMs = now.steadyMs + settings.bounds.leaseMs;
  const auto& voters = replica.image.membership.voters;
  const auto place =
      std::find_if(voters.begin(), voters.end(), [&](const Voter& voter) { return voter.id == replica.image.id; }) -
      voters.begin();
  replica.completeAtMs = now.steadyMs + place * settings.bounds.heartbeatMs() / 4;
  return replica;
}

bool ailing(const ReplicaState& replica) {
  return replica.diskFailed || (!replica.waiting.empty() &&
                                replica.stepMs - replica.waiting.begin()->second.sinceMs > bounds(replica).leaseMs);
}

void replicaStep(ReplicaState& replica, const Event& event, Now now, Outbox& out) {
  replica.stepMs = now.steadyMs;
  if (const auto* heard = std::get_if<Heard>(&event))
    onHeard(replica, *heard, now, out);
  else if (const auto* persisted = std::get_if<Persisted>(&event))
    onPersisted(replica, *persisted, now, out);
  else if (std::holds_alternative<Tick>(event))
    onTick(replica, now, out);
}

}  // namespace tulip::control
