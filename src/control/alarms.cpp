#include "control/alarms.hpp"

#include <algorithm>
#include <utility>

#include "base/json.hpp"

namespace tulip::control {

using namespace transport;

namespace {

constexpr Millis kHoldOffLeases = 3;
constexpr Millis kGapsPerLease =
    2;  // a gap of this part of a lease between two looks means that the process stood still

bool isVoter(const ReplicaState& replica) {
  const auto& voters = replica.image.membership.voters;
  return std::any_of(voters.begin(), voters.end(), [&](const Voter& voter) { return voter.id == replica.image.id; });
}

bool selfVotes(const ReplicaState& replica) { return replica.image.voting && !ailing(replica); }

/// The newest state heard from a voter in this membership; null when none was heard from this identity.
const PeerReplica* peerOf(const ReplicaState& replica, const Voter& voter) {
  const auto found = replica.others.find(voter.peerAddress);
  if (found == replica.others.end() || found->second.last.voter.id != voter.id) return nullptr;
  return &found->second;
}

std::string nameOf(const Voter& voter) { return voter.id.value + "@" + voter.peerAddress.value; }

enum class VoterState : std::uint8_t { voting, notVoting, silent };

VoterState stateOf(const ReplicaState& replica, const Voter& voter, Now now) {
  if (voter.id == replica.image.id) return selfVotes(replica) ? VoterState::voting : VoterState::notVoting;
  const auto* peer = peerOf(replica, voter);
  if (!peer || now.steadyMs - peer->heardMs >= replica.client.settings.bounds.leaseMs) return VoterState::silent;
  return peer->last.voting ? VoterState::voting : VoterState::notVoting;
}

Condition silentCondition(const ReplicaState& replica, const Voter& voter) {
  const auto* peer = peerOf(replica, voter);
  const Millis heardMs = peer ? std::max(peer->heardMs, replica.bornMs) : replica.bornMs;
  return {{AlarmKind::voterSilent, nameOf(voter)}, heardMs, "not heard"};
}

Condition notVotingCondition(const ReplicaState& replica, const Voter& voter) {
  const bool self = voter.id == replica.image.id;
  const auto* peer = peerOf(replica, voter);
  const bool disk = self ? ailing(replica) : peer && peer->last.ailing;
  return {{AlarmKind::voterNotVoting, nameOf(voter)},
          Condition::kSinceNow,
          disk ? "its disk takes no writes" : "it has not caught up"};
}

std::string sinceText(Millis sinceMs, Now now) { return std::to_string(now.steadyMs - sinceMs) + " ms ago"; }

bool wasSentNewest(const ReplicaState& replica, const SessionRow& row) {
  return row.textVersion == replica.learned.version;
}

std::string behindText(const ReplicaState& replica, const SessionRow& row, Now now) {
  std::string text = "has version " + std::to_string(row.member.acked) + " of " +
                     std::to_string(replica.learned.version) + ", heard " + sinceText(row.heardMs, now);
  if (!wasSentNewest(replica, row)) return text + ", not sent it yet";
  const auto how = row.textBase == 0 ? std::string("whole") : "as a delta to " + std::to_string(row.textBase);
  return text + ", sent it " + how + " " + sinceText(row.textSentMs, now);
}

/// The acknowledgement of a change waits for these.
std::vector<const SessionRow*> sessionsBehind(const ReplicaState& replica, Now now) {
  const auto& bounds = replica.client.settings.bounds;
  std::vector<const SessionRow*> behind;
  for (const auto& [id, row] : replica.sessions)
    if (row.behindSinceMs >= 0 && now.steadyMs - row.heardMs <= bounds.leaseMs + bounds.heartbeatMs())
      behind.push_back(&row);
  return behind;
}

bool knowsLeader(const ReplicaState& replica, Now now) {
  return now.steadyMs < replica.hintUntilMs || now.steadyMs < replica.leaseUntilMs;
}

std::string lineOf(const AlarmKey& key) {
  return key.subject.empty() ? std::string(alarmName(key.kind)) : std::string(alarmName(key.kind)) + " " + key.subject;
}

/// After a gap in which this process stood still, nothing that it did not hear counts against the others.
void noteGap(AlarmState& alarms, const Bounds& bounds, Now now) {
  const bool gap = alarms.checkedMs < 0 || now.steadyMs - alarms.checkedMs >= bounds.leaseMs / kGapsPerLease;
  if (gap) alarms.awakeMs = now.steadyMs;
  alarms.checkedMs = now.steadyMs;
}

}  // namespace

std::string_view alarmName(AlarmKind kind) {
  switch (kind) {
    case AlarmKind::noMajority:
      return "no-majority";
    case AlarmKind::noLeader:
      return "no-leader";
    case AlarmKind::noSession:
      return "no-session";
    case AlarmKind::voterSilent:
      return "voter-silent";
    case AlarmKind::voterNotVoting:
      return "voter-not-voting";
    case AlarmKind::fewerLosses:
      return "fewer-losses-bearable";
    case AlarmKind::sessionBehind:
      return "session-behind";
  }
  return "?";
}

Millis alarmHoldOffMs(AlarmKind kind, const Bounds& bounds) {
  // A daemon that answers takes a change within a heartbeat or two. One that fell silent, or went to another replica,
  // is waited for until its session has lapsed, which is no reason for an alarm.
  if (kind == AlarmKind::sessionBehind) return bounds.leaseMs + bounds.leaseMs / 2;
  // A leader that died is followed within about two leases: its own must lapse, and the next one must be chosen.
  return (kind == AlarmKind::noLeader ? kHoldOffLeases + 1 : kHoldOffLeases) * bounds.leaseMs;
}

std::vector<Condition> replicaConditions(const ReplicaState& replica, Now now) {
  std::vector<Condition> conditions;
  if (replica.diskless) return conditions;
  if (replica.image.empty()) {
    if (replica.known.voters.empty())
      conditions.push_back({{AlarmKind::noMajority, {}}, replica.bornMs, "no membership is known here"});
    return conditions;
  }
  if (!isVoter(replica)) return conditions;
  const auto& voters = replica.image.membership.voters;
  std::size_t voting = 0;
  for (const auto& voter : voters) {
    const auto state = stateOf(replica, voter, now);
    voting += state == VoterState::voting;
    if (state == VoterState::silent) conditions.push_back(silentCondition(replica, voter));
    if (state == VoterState::notVoting) conditions.push_back(notVotingCondition(replica, voter));
  }
  const auto needed = majority(voters.size());
  const auto seen = std::to_string(voting) + " of " + std::to_string(voters.size()) + " voters vote";
  if (!hasQuorumLease(replica, now)) {
    conditions.push_back({{AlarmKind::noMajority, {}}, Condition::kSinceNow, seen});
    return conditions;
  }
  for (const auto* row : sessionsBehind(replica, now))
    conditions.push_back(
        {{AlarmKind::sessionBehind, row->member.id.value}, row->behindSinceMs, behindText(replica, *row, now)});
  if (!knowsLeader(replica, now))
    conditions.push_back({{AlarmKind::noLeader, {}}, Condition::kSinceNow, "no scheduler holds the lease"});
  const auto bearable = static_cast<std::int64_t>(voting) - static_cast<std::int64_t>(needed);
  const auto wanted = replica.client.settings.losses;
  if (bearable < wanted)
    conditions.push_back({{AlarmKind::fewerLosses, {}},
                          Condition::kSinceNow,
                          std::to_string(bearable) + " of " + std::to_string(wanted) + ", " + seen});
  return conditions;
}

std::vector<Condition> clientConditions(const ControlClient& client, bool knowsLeader, Now now) {
  if (!sessionLive(client, now))
    return {{{AlarmKind::noSession, {}}, Condition::kSinceNow, "no replica grants a session"}};
  if (!knowsLeader) return {{{AlarmKind::noLeader, {}}, Condition::kSinceNow, "no scheduler holds the lease"}};
  return {};
}

void updateAlarms(AlarmState& alarms, const std::vector<Condition>& conditions, const Bounds& bounds, Now now,
                  std::vector<std::string>& lines) {
  noteGap(alarms, bounds, now);
  std::map<AlarmKey, const Condition*> holding;
  for (const auto& condition : conditions) holding[condition.key] = &condition;
  for (auto at = alarms.active.begin(); at != alarms.active.end();) {
    if (holding.contains(at->first)) {
      ++at;
      continue;
    }
    if (at->second.raised) {
      ++alarms.cleared;
      lines.push_back(lineOf(at->first) + ": over after " + std::to_string(now.steadyMs - at->second.sinceMs) + " ms");
    }
    at = alarms.active.erase(at);
  }
  for (const auto& [key, condition] : holding) {
    const Millis sinceMs = condition->sinceMs == Condition::kSinceNow ? now.steadyMs : condition->sinceMs;
    auto& alarm = alarms.active.try_emplace(key, ActiveAlarm{sinceMs, false, {}}).first->second;
    alarm.detail = condition->detail;
    const Millis heldMs = now.steadyMs - std::max(alarm.sinceMs, alarms.awakeMs);
    if (alarm.raised || heldMs < alarmHoldOffMs(key.kind, bounds)) continue;
    alarm.raised = true;
    ++alarms.raised;
    lines.push_back(lineOf(key) + " for " + std::to_string(now.steadyMs - alarm.sinceMs) + " ms: " + alarm.detail);
  }
}

json_t* sessionsBehindView(const ReplicaState& replica, Now now) {
  json_t* list = json_array();
  for (const auto* row : sessionsBehind(replica, now)) {
    json_t* item = json_object();
    json_object_set_new(item, "daemon", jsonText(row->member.id.view()));
    json_object_set_new(item, "revision", json_integer(static_cast<json_int_t>(row->member.acked)));
    json_object_set_new(item, "wanted", json_integer(static_cast<json_int_t>(replica.learned.version)));
    json_object_set_new(item, "forMs", json_integer(now.steadyMs - row->behindSinceMs));
    json_object_set_new(item, "heardMs", json_integer(now.steadyMs - row->heardMs));
    if (wasSentNewest(replica, *row)) {
      json_object_set_new(item, "sentMs", json_integer(now.steadyMs - row->textSentMs));
      json_object_set_new(item, "base", json_integer(static_cast<json_int_t>(row->textBase)));
    }
    json_array_append_new(list, item);
  }
  return list;
}

json_t* alarmsView(const AlarmState& alarms, Now now) {
  json_t* list = json_array();
  for (const auto& [key, alarm] : alarms.active) {
    if (!alarm.raised) continue;
    json_t* item = json_object();
    json_object_set_new(item, "alarm", jsonText(alarmName(key.kind)));
    json_object_set_new(item, "subject", jsonText(key.subject));
    json_object_set_new(item, "forMs", json_integer(now.steadyMs - alarm.sinceMs));
    json_object_set_new(item, "detail", jsonText(alarm.detail));
    json_array_append_new(list, item);
  }
  return list;
}

}  // namespace tulip::control
