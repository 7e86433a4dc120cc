#include "control/proposal.hpp"

#include <algorithm>
#include <utility>

#include "control/client.hpp"

namespace tulip::control {

using namespace transport;

namespace {

constexpr Millis kShortestResendMs = 5;
constexpr int kMostSpread = 6;
constexpr int kMostDoublings = 2;

/// The pause before the messages of the present phase are sent again. In a round of the configuration's register each
/// of them, or its answer, may hold the whole value: copies would make a slow round slower, so the pause follows what
/// rounds take, and doubles.
Millis resendMs(const ControlClient& client, const Proposal& proposal) {
  const auto& bounds = client.settings.bounds;
  if (proposal.phase == Phase::learn) return bounds.heartbeatMs() / 5;
  const auto usualMs = proposal.phase == Phase::accept ? bounds.heartbeatMs() : bounds.heartbeatMs() / 2;
  if (proposal.key != kConfigKey) return usualMs;
  const auto roundsMs = std::min(2 * client.roundsMs, bounds.leaseMs);
  return std::max(usualMs, roundsMs) << std::min(proposal.resends, kMostDoublings);
}

bool isVoterAddress(const ControlClient& client, const Address& address) {
  const auto voters = voterAddresses(client);
  return std::find(voters.begin(), voters.end(), address) != voters.end();
}

bool isMajority(const ControlClient& client, std::size_t count) {
  return count >= majority(client.membership.voters.size());
}

void judge(Proposal& proposal, const Ballot& ballot, const std::string& current) {
  if (proposal.judgedOn == ballot) return;
  proposal.judgedOn = ballot;
  if (!proposal.edit) {
    proposal.value = current.empty() ? proposal.fixedValue : current;
    return;
  }
  auto outcome = judgeEdit(*proposal.edit, current);
  proposal.value = std::move(outcome.value);
  proposal.changes = outcome.confirms;
  proposal.version = outcome.version;
  proposal.kind = outcome.kind;
  proposal.status = outcome.status;
  proposal.body = std::move(outcome.body);
}

void sendPrepare(const ControlClient& client, const Proposal& proposal, const Address& voter, Outbox& out) {
  const bool config = proposal.key == kConfigKey;
  out.send(voter, RegisterPrepare{client.membership.version, proposal.key, proposal.ballot,
                                  config ? client.knownBallot : Ballot{}});
}

// The value of an edit goes only to a voter that has not learned it a heartbeat later: the others hold it, or receive
// it before this message, as it was sent to them to accept. A proposal without an edit doesn't wait to see who learned
// it, so voters that did not accept are sent the value at once.
void sendChosen(const ControlClient& client, Proposal& proposal, const Address& voter, Now now, Outbox& out) {
  const auto [last, first] = proposal.committedMs.emplace(voter, now.steadyMs);
  if (first) {
    const bool comesAnyway = proposal.edit.has_value() || proposal.accepts.contains(voter);
    out.send(voter, RegisterChosen{proposal.key, proposal.ballot, comesAnyway ? std::string() : proposal.value});
    return;
  }
  if (now.steadyMs - last->second < client.settings.bounds.heartbeatMs()) return;
  last->second = now.steadyMs;
  out.send(voter, RegisterChosen{proposal.key, proposal.ballot, proposal.value});
}

void sendLearn(const ControlClient& client, Proposal& proposal, const Address& voter, Now now, Outbox& out) {
  const auto state = proposal.states.find(voter);
  const bool learned = state != proposal.states.end() && state->second.learned;
  if (!learned) sendChosen(client, proposal, voter, now, out);
  if (proposal.changes && !(learned && state->second.waiting.empty()))
    out.send(voter, AckQuery{proposal.version, proposal.ballot.number, proposal.ballot});
}

void sendPhase(ControlClient& client, Proposal& proposal, Now now, Outbox& out) {
  proposal.sentMs = now.steadyMs;
  out.wakeBy(now.steadyMs + resendMs(client, proposal));
  for (const auto& voter : voterAddresses(client)) {
    if (proposal.phase == Phase::prepare && !proposal.promises.contains(voter))
      sendPrepare(client, proposal, voter, out);
    if (proposal.phase == Phase::accept && !proposal.accepts.contains(voter))
      out.send(voter, RegisterAccept{client.membership.version, proposal.key, proposal.ballot, proposal.value});
    if (proposal.phase == Phase::learn) sendLearn(client, proposal, voter, now, out);
  }
}

void startPhase(ControlClient& client, Proposal& proposal, Phase phase, Now now, Outbox& out) {
  proposal.phase = phase;
  proposal.resends = 0;
  sendPhase(client, proposal, now, out);
}

void startRounds(ControlClient& client, Proposal& proposal, Now now, Outbox& out) {
  proposal.ballot = Ballot{++client.ballotNumber, client.id.value + "/" + client.incarnation};
  proposal.promises.clear();
  proposal.accepts.clear();
  proposal.retryAtMs = 0;
  proposal.roundsAtMs = now.steadyMs;
  ++proposal.attempts;
  startPhase(client, proposal, Phase::prepare, now, out);
}

bool inRounds(const Proposal& proposal) { return proposal.phase == Phase::prepare || proposal.phase == Phase::accept; }

// The pause between the starts of two changes of the configuration.
Millis changePauseMs(const Bounds& bounds) { return bounds.heartbeatMs() / 5; }

// The shortest pause after being outbid.
Millis shortestPauseMs(const Bounds& bounds) { return std::max<Millis>(1, bounds.heartbeatMs() / 8); }

// Each version goes to every daemon and back. While they come faster than that, the fleet does little else.
bool tooSoon(const ControlClient& client, const Proposal& proposal, Now now, Outbox& out) {
  if (!proposal.edit) return false;
  const auto soonestMs = client.changedMs + changePauseMs(client.settings.bounds);
  if (now.steadyMs >= soonestMs) return false;
  out.wakeBy(soonestMs);
  return true;
}

// Proposals of one daemon for the same register go one after another: side by side they would outbid each other.
void startQueued(ControlClient& client, Now now, Outbox& out) {
  for (auto& proposal : client.proposals) {
    if (proposal.phase != Phase::queued) continue;
    const bool busy = std::any_of(client.proposals.begin(), client.proposals.end(),
                                  [&](const Proposal& other) { return other.key == proposal.key && inRounds(other); });
    if (busy || tooSoon(client, proposal, now, out)) continue;
    if (proposal.edit) client.changedMs = now.steadyMs;
    startRounds(client, proposal, now, out);
  }
}

// How long whoever outbid this proposal needs for its own rounds: who comes back sooner outbids it in the middle of
// them, and neither ends. Only the configuration is large enough for rounds to take more than the shortest pause.
Millis rivalRoundsMs(const ControlClient& client, const Proposal& proposal, Now now) {
  const auto& bounds = client.settings.bounds;
  if (proposal.key != kConfigKey) return shortestPauseMs(bounds);
  const auto takenMs = std::max(client.roundsMs, now.steadyMs - proposal.roundsAtMs);
  return std::clamp(takenMs, shortestPauseMs(bounds), std::max(shortestPauseMs(bounds), bounds.leaseMs / 4));
}

void backOff(ControlClient& client, Proposal& proposal, Now now, Outbox& out) {
  if (proposal.retryAtMs) return;
  ++client.contended;
  const Millis span = rivalRoundsMs(client, proposal, now);
  const auto spread =
      mix(client.id.value + std::to_string(proposal.ballot.number)) % (1 + std::min(proposal.attempts, kMostSpread));
  proposal.retryAtMs = now.steadyMs + span * static_cast<Millis>(1 + spread);
  out.wakeBy(proposal.retryAtMs);
}

// Tells whoever asked, once; with an empty body, what the kind means.
void tell(const ControlClient& client, Proposal& proposal, Kind kind, int status, std::string body, Outbox& out) {
  for (const auto& asker : std::exchange(proposal.askers, {}))
    out.sends.push_back(
        {asker.from, EditAnswer{asker.id, static_cast<std::int64_t>(kind), status, body}, asker.incarnation});
  const auto requestId = std::exchange(proposal.requestId, 0);
  if (!requestId) return;
  if (body.empty())
    answerKind(out, requestId, kind, client.settings.bounds);
  else
    out.answer(requestId, status, std::move(body), 0, kind);
}

std::string waitedForText(const Proposal& proposal) {
  std::string text;
  for (const auto& [voter, state] : proposal.states) {
    if (!state.learned) text += " " + voter.value + " has not learned it;";
    for (const auto& daemon : state.waiting) text += " " + daemon.value + " at " + voter.value + ";";
  }
  return text;
}

/// A change that took longer than the sessions of silent daemons last is worth a line that says where the time went.
void tellSlowChange(const ControlClient& client, const Proposal& proposal, Now now, Outbox& out) {
  if (!proposal.edit || now.steadyMs - proposal.startedMs <= client.settings.bounds.lapseMs()) return;
  const auto spanText = [&](Millis fromMs, Millis untilMs) {
    return fromMs < 0 ? std::string("-") : std::to_string((untilMs < 0 ? now.steadyMs : untilMs) - fromMs);
  };
  out.alarms.push_back(
      "slow change of " + std::to_string(proposal.edit->body.size()) + " bytes, " +
      std::string(rowOf(proposal.kind).name) + ", ms of first round, second round, acknowledgements: " +
      spanText(proposal.startedMs, proposal.acceptingMs) + ", " + spanText(proposal.acceptingMs, proposal.chosenMs) +
      ", " + spanText(proposal.chosenMs, -1) + "; last waited for:" + waitedForText(proposal));
}

void finish(const ControlClient& client, Proposal& proposal, Now now, Outbox& out) {
  tellSlowChange(client, proposal, now, out);
  const bool unknown = proposal.kind == Kind::unknownOutcome;
  tell(client, proposal, proposal.kind, proposal.status, unknown ? std::string() : proposal.body, out);
  proposal.phase = Phase::done;
}

void giveUp(const ControlClient& client, Proposal& proposal, Now now, Outbox& out) {
  tellSlowChange(client, proposal, now, out);
  const bool maybeTaken = proposal.phase != Phase::prepare || proposal.attempts > 1;
  const auto kind = maybeTaken ? Kind::unknownOutcome : Kind::noMajority;
  tell(client, proposal, kind, rowOf(kind).status, {}, out);
  proposal.phase = Phase::done;
}

const RegisterPromise& newestPromise(const Proposal& proposal) {
  const RegisterPromise* newest = nullptr;
  for (const auto& [voter, promise] : proposal.promises)
    if (!newest || newest->accepted < promise.accepted) newest = &promise;
  return *newest;
}

// The value that the promise tells of: a voter leaves out one that the client said it has.
const std::string& valueOf(ControlClient& client, const Proposal& proposal, const RegisterPromise& promise) {
  if (proposal.key != kConfigKey || promise.accepted == Ballot{}) return promise.value;
  if (promise.accepted != client.knownBallot) {
    client.knownBallot = promise.accepted;
    client.knownValue = promise.value;
  }
  return client.knownValue;
}

// From here on the proposal only waits for those that are to have the change.
void learnRound(ControlClient& client, Proposal& proposal, Now now, Outbox& out) {
  proposal.chosenMs = now.steadyMs;
  proposal.retryAtMs = 0;
  if (proposal.key == kConfigKey) client.roundsMs = now.steadyMs - proposal.roundsAtMs;
  startPhase(client, proposal, Phase::learn, now, out);
  if (!proposal.changes) finish(client, proposal, now, out);
  startQueued(client, now, out);
}

// Whether the register already holds, as chosen, what the proposal would put there. A majority has promised and none of
// it accepted anything newer, so nothing newer was chosen before: a second round with the same value says no more.
bool holdsItAlready(const ControlClient& client, const Proposal& proposal, const RegisterPromise& newest) {
  return proposal.key == kConfigKey && newest.accepted != Ballot{} && newest.accepted == client.chosenBallot &&
         proposal.value == client.knownValue;
}

void acceptRound(ControlClient& client, Proposal& proposal, Now now, Outbox& out) {
  const auto& newest = newestPromise(proposal);
  judge(proposal, newest.accepted, valueOf(client, proposal, newest));
  if (proposal.value.empty()) return finish(client, proposal, now, out);
  if (holdsItAlready(client, proposal, newest)) {
    proposal.ballot = newest.accepted;
    return learnRound(client, proposal, now, out);
  }
  if (proposal.key == kConfigKey) {
    client.knownBallot = proposal.ballot;
    client.knownValue = proposal.value;
  }
  proposal.acceptingMs = now.steadyMs;
  ++client.proposed;
  startPhase(client, proposal, Phase::accept, now, out);
}

void valueChosen(ControlClient& client, Proposal& proposal, Now now, Outbox& out) {
  ++client.chosen;
  if (proposal.key == kConfigKey) client.chosenBallot = proposal.ballot;
  learnRound(client, proposal, now, out);
}

const AckState* learnedState(const Proposal& proposal, const Voter& voter) {
  const auto found = proposal.states.find(voter.peerAddress);
  return found != proposal.states.end() && found->second.learned ? &found->second : nullptr;
}

std::size_t countLearned(const ControlClient& client, const Proposal& proposal) {
  const auto& voters = client.membership.voters;
  return static_cast<std::size_t>(std::count_if(
      voters.begin(), voters.end(), [&](const Voter& voter) { return learnedState(proposal, voter) != nullptr; }));
}

// How many voters that have learned the change have not heard each voter for so long that its sessions have lapsed.
std::map<DaemonId, std::size_t> countSilent(const ControlClient& client, const Proposal& proposal) {
  std::map<DaemonId, std::size_t> silent;
  for (const auto& voter : client.membership.voters)
    if (const auto* state = learnedState(proposal, voter))
      for (const auto& id : state->silent) ++silent[id];
  return silent;
}

// No voter holds a live session short of the change: it says so, or so many others, all of whom have learned, have not
// heard it that it can't stand again without having learned from one of them.
bool everySessionHasIt(const ControlClient& client, const Proposal& proposal) {
  const auto& voters = client.membership.voters;
  const auto silent = countSilent(client, proposal);
  const auto enough = voters.size() - majority(voters.size()) + 1;
  return std::all_of(voters.begin(), voters.end(), [&](const Voter& voter) {
    const auto* state = learnedState(proposal, voter);
    if (state && state->waiting.empty()) return true;
    const auto by = silent.find(voter.id);
    return by != silent.end() && by->second >= enough;
  });
}

bool due(const ControlClient& client, const Proposal& proposal, Now now) {
  return now.steadyMs - proposal.sentMs >= std::max(kShortestResendMs, resendMs(client, proposal));
}

void tick(ControlClient& client, Proposal& proposal, Now now, Outbox& out) {
  const auto& bounds = client.settings.bounds;
  if (proposal.phase == Phase::done) return;
  if (proposal.deadlineMs && now.steadyMs >= proposal.deadlineMs) return giveUp(client, proposal, now, out);
  const bool lapsed = proposal.learnedMs >= 0 && now.steadyMs - proposal.learnedMs >= bounds.lapseMs();
  if (proposal.phase == Phase::learn && lapsed) return finish(client, proposal, now, out);
  if (proposal.phase == Phase::queued) return;
  if (proposal.retryAtMs) {
    if (now.steadyMs >= proposal.retryAtMs) startRounds(client, proposal, now, out);
  } else if (due(client, proposal, now)) {
    ++proposal.resends;
    sendPhase(client, proposal, now, out);
  }
}

// A proposer that was outbid must know its own edit again, and no other for it.
void giveName(ControlClient& client, Edit& edit) {
  edit.name = client.id.value + "/" + client.incarnation + "/#" + std::to_string(++client.namesGiven);
  edit.nameGiven = true;
}

void propose(ControlClient& client, Proposal proposal, Millis deadlineMs, Now now, Outbox& out) {
  proposal.startedMs = now.steadyMs;
  proposal.deadlineMs = now.steadyMs + deadlineMs;
  client.proposals.push_back(std::move(proposal));
  startQueued(client, now, out);
}

}  // namespace

void heardPromise(ControlClient& client, const Address& from, const RegisterPromise& reply, Now now, Outbox& out) {
  client.ballotNumber = std::max(client.ballotNumber, reply.promised.number);
  for (auto& proposal : client.proposals) {
    if (proposal.phase != Phase::prepare || proposal.ballot != reply.ballot || proposal.key != reply.key) continue;
    if (!reply.ok) return backOff(client, proposal, now, out);
    if (!isVoterAddress(client, from)) return;
    proposal.promises[from] = reply;
    if (isMajority(client, proposal.promises.size())) acceptRound(client, proposal, now, out);
    return;
  }
}

void heardAccepted(ControlClient& client, const Address& from, const RegisterAccepted& reply, Now now, Outbox& out) {
  client.ballotNumber = std::max(client.ballotNumber, reply.promised.number);
  for (auto& proposal : client.proposals) {
    if (proposal.phase != Phase::accept || proposal.ballot != reply.ballot || proposal.key != reply.key) continue;
    if (!reply.ok) return backOff(client, proposal, now, out);
    if (!isVoterAddress(client, from)) return;
    proposal.accepts.insert(from);
    if (isMajority(client, proposal.accepts.size())) valueChosen(client, proposal, now, out);
    return;
  }
}

namespace {

// A replica of the protocol before incarnations repeats the ballot's number only.
bool answersAckQuery(const Proposal& proposal, const AckState& reply) {
  if (proposal.phase != Phase::learn || proposal.version != reply.configVersion) return false;
  return reply.ballot == Ballot{} ? proposal.ballot.number == reply.query : proposal.ballot == reply.ballot;
}

}  // namespace

void heardAckState(ControlClient& client, const Address& from, const AckState& reply, Now now, Outbox& out) {
  for (auto& proposal : client.proposals) {
    if (!answersAckQuery(proposal, reply)) continue;
    proposal.states[from] = reply;
    const bool learned = isMajority(client, countLearned(client, proposal));
    if (learned && everySessionHasIt(client, proposal)) return finish(client, proposal, now, out);
    if (learned && proposal.learnedMs < 0) proposal.learnedMs = now.steadyMs;
    return;
  }
}

void proposalsTick(ControlClient& client, Now now, Outbox& out) {
  for (auto& proposal : client.proposals) tick(client, proposal, now, out);
  startQueued(client, now, out);
  std::erase_if(client.proposals, [](const Proposal& proposal) { return proposal.phase == Phase::done; });
}

void proposalsMembershipChanged(ControlClient& client, Now now, Outbox& out) {
  for (auto& proposal : client.proposals) {
    proposal.promises.clear();
    proposal.accepts.clear();
    proposal.states.clear();
    const bool underWay = proposal.phase != Phase::queued && proposal.phase != Phase::done;
    if (underWay && !proposal.retryAtMs) sendPhase(client, proposal, now, out);
  }
}

bool proposing(const ControlClient& client, std::string_view key) {
  return std::any_of(client.proposals.begin(), client.proposals.end(),
                     [&](const Proposal& proposal) { return proposal.key == key; });
}

void proposeConfig(ControlClient& client, std::uint64_t requestId, Edit edit, Millis deadlineMs, Now now, Outbox& out) {
  const auto& bounds = client.settings.bounds;
  if (client.membership.voters.empty()) return answerKind(out, requestId, Kind::noMajority, bounds);
  if (client.proposals.size() + client.forwardedEdits.size() >= kMostProposals)
    return answerKind(out, requestId, Kind::overloaded, bounds);
  if (edit.name.empty()) giveName(client, edit);
  if (forwardsEdits(client, now)) return forwardEdit(client, requestId, std::move(edit), deadlineMs, now, out);
  proposeHere(client, requestId, std::move(edit), deadlineMs, now, out);
}

namespace {

bool sameEdit(const Edit& one, const Edit& other) {
  return !one.name.empty() && one.name == other.name && one.body == other.body && one.whole == other.whole &&
         one.expected == other.expected && one.operatorVersion == other.operatorVersion && one.basedOn == other.basedOn;
}

/// An edit that came again, through whichever daemon, has one outcome: its asker waits for the one under way.
bool joinSameEdit(ControlClient& client, const EditAsker& asker, const Edit& edit, Millis deadlineMs, Now now) {
  for (auto& proposal : client.proposals) {
    if (!proposal.edit || proposal.phase == Phase::done || !sameEdit(*proposal.edit, edit)) continue;
    std::erase_if(proposal.askers, [&](const EditAsker& earlier) { return earlier.id == asker.id; });
    proposal.askers.push_back(asker);
    if (!proposal.requestId) proposal.deadlineMs = std::max(proposal.deadlineMs, now.steadyMs + deadlineMs);
    return true;
  }
  return false;
}

}  // namespace

void proposeConfigFor(ControlClient& client, EditAsker asker, Edit edit, Millis deadlineMs, Now now, Outbox& out) {
  if (joinSameEdit(client, asker, edit, deadlineMs, now)) return;
  Proposal proposal;
  proposal.askers.push_back(std::move(asker));
  proposal.key = kConfigKey;
  proposal.edit = std::move(edit);
  if (client.proposals.size() >= kMostProposals)
    return tell(client, proposal, Kind::overloaded, rowOf(Kind::overloaded).status, {}, out);
  propose(client, std::move(proposal), deadlineMs, now, out);
}

void proposeHere(ControlClient& client, std::uint64_t requestId, Edit edit, Millis deadlineMs, Now now, Outbox& out) {
  Proposal proposal;
  proposal.requestId = requestId;
  proposal.key = kConfigKey;
  proposal.edit = std::move(edit);
  propose(client, std::move(proposal), deadlineMs, now, out);
}

void proposeFixed(ControlClient& client, std::string key, std::string value, Now now, Outbox& out) {
  Proposal proposal;
  proposal.key = std::move(key);
  proposal.fixedValue = std::move(value);
  propose(client, std::move(proposal), 4 * client.settings.bounds.leaseMs, now, out);
}

}  // namespace tulip::control
