// Sessions: heartbeats of daemons, the grants that answer them, and the roster of members.
#include "control/replica_internal.hpp"

#include <algorithm>
#include <utility>

namespace tulip::control {

using namespace transport;

namespace {

// The members known here and through the other replicas, the freshest word of each.
std::vector<Member> allMembers(const ReplicaState& replica, Now now) {
  std::map<DaemonId, Member> all;
  auto put = [&](Member member, Millis ageMs, const DaemonId& home) {
    if (ageMs > 4 * bounds(replica).leaseMs) return;
    member.ageMs = ageMs;
    member.home = home;
    auto [slot, fresh] = all.emplace(member.id, member);
    if (!fresh && slot->second.ageMs > ageMs) slot->second = member;
  };
  for (const auto& [id, row] : replica.sessions) put(row.member, now.steadyMs - row.heardMs, replica.image.id);
  for (const auto& [address, other] : replica.others)
    for (const auto& member : other.sessions)
      put(member, member.ageMs + now.steadyMs - other.heardMs, other.last.voter.id);
  std::vector<Member> list;
  list.reserve(all.size());
  for (auto& [id, member] : all) list.push_back(std::move(member));
  return list;
}

// Whether the configuration that was last sent is the newest, and may still arrive and be of use. It is neither when
// the daemon has since received a later grant, or has taken another version than the one that the delta is for.
bool textUnderWay(const ReplicaState& replica, const SessionRow& row, Now now) {
  if (row.textVersion != replica.learned.version) return false;
  if (now.steadyMs - row.textSentMs >= bounds(replica).leaseMs) return false;
  if (row.textBase != 0 && row.textBase != row.member.acked) return false;
  return row.answeredHeartbeat <= row.textHeartbeat;
}

// Puts the configuration into a grant, or, where the daemon takes less in one message, that it can be read in pieces.
void putConfig(ReplicaState& replica, SessionRow& row, SessionGrant& grant) {
  const auto content = contentFor(replica, row.member.acked);
  if (row.mostConfigBytes > 0 && content.bytes->size() > row.mostConfigBytes) {
    grant.configBytes = content.bytes->size();
    return;
  }
  grant.configBase = content.base;
  grant.configText = *content.bytes;
  row.textVersion = replica.learned.version;
  row.textBase = grant.configBase;
  row.textHeartbeat = row.heartbeat;
}

// Keeps since when the daemon has been short of the configuration and taken nothing newer.
void noteProgress(const ReplicaState& replica, SessionRow& row, Version acked, Now now) {
  if (acked >= replica.learned.version)
    row.behindSinceMs = -1;
  else if (row.behindSinceMs < 0 || acked > row.member.acked)
    row.behindSinceMs = now.steadyMs;
}

// Tells a daemon that is not granted a session which replicas to ask instead.
void refer(const ReplicaState& replica, const Address& to, Outbox& out) {
  Referral referral;
  for (const auto& voter : knownMembership(replica).voters)
    if (voter.peerAddress != self(replica)) referral.replicas.push_back(voter.peerAddress);
  if (!referral.replicas.empty()) out.send(to, std::move(referral));
}

}  // namespace

std::vector<Member> ownSessions(const ReplicaState& replica, Now now) {
  std::vector<Member> list;
  for (const auto& [id, row] : replica.sessions) {
    if (now.steadyMs - row.heardMs > 2 * bounds(replica).leaseMs) continue;
    list.push_back(row.member);
    list.back().ageMs = now.steadyMs - row.heardMs;
  }
  return list;
}

void gatherMembers(ReplicaState& replica, Now now) {
  replica.members = allMembers(replica, now);
  replica.membersDigest = digestOf(replica.members, bounds(replica).leaseMs);
  replica.rosterDigest = digestOf(replica.members, bounds(replica).leaseMs, false);
}

SessionGrant makeGrant(ReplicaState& replica, SessionRow& row, Now now) {
  const auto leaseMs = bounds(replica).leaseMs;
  SessionGrant grant;
  grant.heartbeat = row.heartbeat;
  grant.sentMs = row.sentMs;
  grant.grantee = row.incarnation;
  grant.leaseMs = leaseMs;
  grant.configVersion = replica.learned.version;
  grant.takesEdits = true;
  // A daemon takes no session from a grant of a revision that it lacks, so what is on its way need not come again.
  if (row.member.acked < replica.learned.version && !textUnderWay(replica, row, now)) {
    putConfig(replica, row, grant);
    row.textSentMs = now.steadyMs;
  }
  if (now.steadyMs < replica.hintUntilMs) grant.leader = replica.leader;
  grant.membership = replica.image.membership;
  const bool agent = row.member.role == Role::agent;
  const Millis pauseMs = agent ? 2 * leaseMs : leaseMs / 4;
  // A new configuration changes what every member has acknowledged; that alone is not told to every agent.
  const auto& digest = agent ? replica.rosterDigest : replica.membersDigest;
  if (row.membersDigest == 0 || (row.membersDigest != digest && now.steadyMs - row.membersSentMs >= pauseMs)) {
    if (replica.members.empty()) gatherMembers(replica, now);
    grant.members = replica.members;
    grant.membersDigest = digest;
    row.membersSentMs = now.steadyMs;
  }
  grant.fleetMs = fleetNow(replica.client, now);
  return grant;
}

bool mayGrant(const ReplicaState& replica, Now now) {
  return hasQuorumLease(replica, now) && replica.configKnown && mayVote(replica) && !replica.fenced;
}

void onSessionHeartbeat(ReplicaState& replica, const Heard& heard, const SessionHeartbeat& heartbeat, Now now,
                        Outbox& out) {
  endLeaseOfEarlierLife(replica, heartbeat.me.id, now);
  if (!mayGrant(replica, now)) {
    if (replica.image.empty() && heartbeat.me.role != Role::replica && heartbeat.membership > 0) {
      replica.remembered = std::max(replica.remembered, heartbeat.membership);
      replica.rememberedMs = now.steadyMs;
    }
    ++replica.grantsRejected;
    if (heard.from != self(replica) && !replica.fenced) refer(replica, heard.from, out);
    return;
  }
  ++replica.grants;
  auto [found, fresh] = replica.sessions.try_emplace(heartbeat.me.id);
  auto& row = found->second;
  const bool sameProcess = !fresh && row.incarnation == heard.incarnation;
  if (sameProcess && heartbeat.heartbeat < row.heartbeat) return;
  if (!sameProcess || heartbeat.me.acked < row.member.acked) row.textSentMs = -1000000;
  noteProgress(replica, row, heartbeat.me.acked, now);
  row.member = heartbeat.me;
  row.answeredHeartbeat = heartbeat.answeredHeartbeat;
  row.heardMs = now.steadyMs;
  row.incarnation = heard.incarnation;
  row.heartbeat = heartbeat.heartbeat;
  row.sentMs = heartbeat.sentMs;
  row.membersDigest = heartbeat.membersDigest;
  row.mostConfigBytes = heartbeat.mostConfigBytes;
  if (fresh) gatherMembers(replica, now);
  out.reply(heard, makeGrant(replica, row, now));
}

}  // namespace tulip::control
