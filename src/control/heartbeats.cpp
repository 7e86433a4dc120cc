// Heartbeats among replicas, and the quorum lease that their acknowledgements make.
#include "control/replica_internal.hpp"

#include <algorithm>
#include <utility>

namespace tulip::control {

using namespace transport;

namespace {

// The heartbeat of this moment, without what differs from target to target.
ReplicaHeartbeat makeReplicaHeartbeat(const ReplicaState& replica, Now now) {
  ReplicaHeartbeat heartbeat;
  heartbeat.voter = {replica.image.id, self(replica)};
  heartbeat.seeds = replica.client.settings.seeds;
  heartbeat.empty = replica.image.empty();
  heartbeat.ailing = ailing(replica);
  if (now.steadyMs - replica.rememberedMs < 4 * bounds(replica).leaseMs) heartbeat.remembered = replica.remembered;
  heartbeat.membership = knownMembership(replica);
  heartbeat.sentMs = now.steadyMs;
  heartbeat.configBallot = replica.learnedBallot;
  if (leaseLive(replica, now)) {
    heartbeat.leader = replica.leader;
    heartbeat.leaseLeftMs = replica.leaseUntilMs - now.steadyMs;
  }
  heartbeat.fleetMs = fleetNow(replica.client, now);
  heartbeat.zone = replica.client.settings.zone;
  heartbeat.diskless = replica.diskless;
  heartbeat.voting = mayVote(replica) && !replica.waiting.contains(replica.votingTicket);
  heartbeat.firstBoot = replica.client.settings.firstBoot;
  heartbeat.takesEdits = true;
  heartbeat.checksConfigBallot = true;
  heartbeat.joined = replica.joined;
  if (!replica.diskless) {
    heartbeat.sessions = ownSessions(replica, now);
    heartbeat.sessionsDigest = digestOf(heartbeat.sessions, bounds(replica).leaseMs);
  }
  return heartbeat;
}

// Whether this replica may acknowledge the heartbeats of others, whose quorum leases rest on it. Not so while it may
// have forgotten what it had learned, has no vote in the membership yet, or has voted for the next one.
bool mayAcknowledge(const ReplicaState& replica) {
  if (replica.image.empty() || !isVoter(replica.image.membership, replica.image.id)) return true;
  return replica.image.voting && !replica.fenced && !(replica.learnedBallot < replica.image.learned);
}

// Whether a peer that is behind is sent the chosen value itself. A peer that checks the ballot learns what it has
// accepted from the ballot alone, so only one that has learned nothing for two heartbeats is sent it: copies of a large
// value to voters that have it would hold up the rounds that bring the next. Any other peer is sent it a heartbeat
// after the last change, or, while changes come faster than that, a heartbeat after it fell behind: a storm of changes
// would else withhold every acknowledgement, and with it the peer's quorum lease.
bool valueDue(const ReplicaState& replica, PeerReplica& peer, Now now) {
  const auto pauseMs = bounds(replica).heartbeatMs();
  const bool checks = peer.last.checksConfigBallot;
  if (!peer.behindSinceMs || (checks && peer.behindAt < peer.last.configBallot)) {
    peer.behindSinceMs = now.steadyMs;
    peer.behindAt = peer.last.configBallot;
  }
  if (checks) return now.steadyMs - *peer.behindSinceMs >= 2 * pauseMs;
  return now.steadyMs - replica.learnedMs >= pauseMs || now.steadyMs - *peer.behindSinceMs >= pauseMs;
}

// Sends one heartbeat, with the acknowledgement and the configuration as the target needs them.
void sendReplicaHeartbeat(ReplicaState& replica, const Address& target, ReplicaHeartbeat heartbeat, Now now,
                          Outbox& out) {
  heartbeat.number = ++replica.heartbeatNumber;
  heartbeat.acknowledgedMs = -1000000;
  if (auto found = replica.others.find(target); found != replica.others.end()) {
    auto& other = found->second;
    other.repliedMs = now.steadyMs;
    heartbeat.acknowledgedDigest = other.sessionsDigest;
    heartbeat.sameSessions = heartbeat.sessionsDigest != 0 && other.last.acknowledgedDigest == heartbeat.sessionsDigest;
    // No acknowledgement gives a replica a quorum lease that lacks what is chosen: the replica checks that itself, or
    // it is withheld until the value has come, or comes with it.
    const bool behind = other.last.configBallot < replica.learnedBallot && !other.last.diskless;
    const bool give = behind && valueDue(replica, other, now);
    if (!behind) other.behindSinceMs.reset();
    if (give) {
      heartbeat.configValue = replica.learnedValue;
      other.behindSinceMs = now.steadyMs;
    }
    if (mayAcknowledge(replica) && (!behind || give || other.last.checksConfigBallot)) {
      heartbeat.acknowledgedMs = other.last.sentMs;
      heartbeat.acknowledgedIncarnation = other.incarnation;
    }
    if (other.last.diskless) heartbeat.sameSessions = true;
  }
  if (heartbeat.sameSessions) heartbeat.sessions.clear();
  out.send(target, std::move(heartbeat));
}

}  // namespace

void sendReplicaHeartbeats(ReplicaState& replica, Now now, Outbox& out) {
  replica.heartbeatSentMs = now.steadyMs;
  const auto& membership = knownMembership(replica);
  std::set<Address> targets;
  for (const auto& voter : membership.voters) targets.insert(voter.peerAddress);
  for (const auto& voter : replica.image.joined.membership.voters) targets.insert(voter.peerAddress);
  const bool seeds = membership.voters.empty() || now.steadyMs - replica.seedsMs >= bounds(replica).leaseMs;
  if (seeds) {
    replica.seedsMs = now.steadyMs;
    targets.insert(replica.client.settings.seeds.begin(), replica.client.settings.seeds.end());
  }
  if (!replica.diskless || membership.voters.empty())
    for (const auto& [address, other] : replica.others)
      if (!other.last.diskless && now.steadyMs - other.heardMs < 4 * bounds(replica).leaseMs) targets.insert(address);
  targets.erase(self(replica));
  const auto heartbeat = makeReplicaHeartbeat(replica, now);
  for (const auto& target : targets) sendReplicaHeartbeat(replica, target, heartbeat, now, out);
}

Millis heartbeatPauseMs(const ReplicaState& replica) {
  return replica.diskless && !replica.known.voters.empty() ? bounds(replica).leaseMs : bounds(replica).heartbeatMs();
}

bool inTouch(const ReplicaState& replica, const PeerReplica& other, Now now) {
  const auto since = now.steadyMs - bounds(replica).leaseMs;
  return other.soundMs >= since && other.acknowledgedMs >= since;
}

namespace {

// Whether the newest heartbeat known of the peer came before this one. Numbers order those of one incarnation. Times of
// its clock order those of a voter of the protocol before incarnations, which has no numbers.
bool isNewer(const PeerReplica& peer, const ReplicaHeartbeat& heartbeat, bool sameProcess) {
  if (!sameProcess) return true;
  return heartbeat.number > 0 ? heartbeat.number > peer.last.number : heartbeat.sentMs >= peer.last.sentMs;
}

// Whether the heartbeat acknowledges one of this process, so that its time is one of this process's clock. A voter of
// the protocol before incarnations names no process; the time must then at least be one since this one's start.
bool acknowledgesThisProcess(const ReplicaState& replica, const ReplicaHeartbeat& heartbeat, Now now) {
  if (heartbeat.acknowledgedMs < replica.bornMs || heartbeat.acknowledgedMs > now.steadyMs) return false;
  return heartbeat.number == 0 || heartbeat.acknowledgedIncarnation == replica.client.process;
}

// The sender has learned that the value of its ballot was chosen. If this replica accepted it, it holds that value.
void learnFromHeartbeat(ReplicaState& replica, const ReplicaHeartbeat& heartbeat, Now now, Outbox& out) {
  const auto held = replica.image.registers.find(kConfigKey);
  const bool holds = held != replica.image.registers.end() && held->second.accepted == heartbeat.configBallot;
  learnConfig(replica, heartbeat.configBallot, holds ? held->second.value : heartbeat.configValue, now, out);
}

// Whether this replica knows everything of the configuration that the sender of the heartbeat knew.
bool knowsConfigOf(const ReplicaState& replica, const ReplicaHeartbeat& heartbeat) {
  return replica.diskless || heartbeat.configBallot <= replica.learnedBallot;
}

}  // namespace

void onReplicaHeartbeat(ReplicaState& replica, const Heard& heard, const ReplicaHeartbeat& heartbeat, Now now,
                        Outbox& out) {
  auto& other = replica.others[heard.from];
  // A voter is its data folder: what it acknowledged stays acknowledged when its process starts again. Its numbers
  // don't.
  const bool sameVoter = other.last.voter.id == heartbeat.voter.id;
  const bool sameProcess = sameVoter && other.incarnation == heard.incarnation;
  if (!isNewer(other, heartbeat, sameProcess)) return;
  other.incarnation = heard.incarnation;
  other.last = heartbeat;
  other.last.configValue.clear();
  other.last.sessions.clear();
  other.heardMs = now.steadyMs;
  if (!heartbeat.ailing) other.soundMs = now.steadyMs;
  if (!sameVoter) other.acknowledgedMs = -1000000;
  if (!replica.diskless) learnFromHeartbeat(replica, heartbeat, now, out);
  const bool acknowledges = acknowledgesThisProcess(replica, heartbeat, now) && knowsConfigOf(replica, heartbeat);
  if (acknowledges) other.acknowledgedMs = std::max(other.acknowledgedMs, heartbeat.acknowledgedMs);
  if (!heartbeat.sameSessions) {
    other.sessions = heartbeat.sessions;
    other.sessionsDigest = heartbeat.sessionsDigest;
  } else if (!sameVoter || other.sessionsDigest != heartbeat.sessionsDigest) {
    other.sessionsDigest = 0;
  }
  if (heartbeat.membership.version > replica.image.membership.version &&
      (!replica.image.empty() || isVoter(heartbeat.membership, replica.image.id))) {
    installMembership(replica, heartbeat.membership, now, out);
  } else if (replica.image.empty() && heartbeat.membership.version > replica.known.version) {
    replica.known = heartbeat.membership;
    sendReplicaHeartbeats(replica, now, out);
  }
  tryActivateBootstrap(replica, now, out);
  const bool lost =
      (!acknowledges || heartbeat.acknowledgedMs < now.steadyMs - bounds(replica).leaseMs) && !replica.diskless;
  const bool behind = heartbeat.membership.version < knownMembership(replica).version;
  if ((lost || behind || (heartbeat.diskless && !replica.diskless)) &&
      now.steadyMs - other.repliedMs >= bounds(replica).heartbeatMs() / 4)
    sendReplicaHeartbeat(replica, heard.from, makeReplicaHeartbeat(replica, now), now, out);
  if (!heartbeat.leader.term.owner.empty() && replica.leader.term <= heartbeat.leader.term &&
      heartbeat.leaseLeftMs > 0) {
    replica.leader = heartbeat.leader;
    replica.hintUntilMs = std::max(replica.hintUntilMs, now.steadyMs + heartbeat.leaseLeftMs);
  }
}

bool hasQuorumLease(const ReplicaState& replica, Now now) {
  if (replica.image.empty()) return false;
  std::size_t count = 0;
  for (const auto& voter : replica.image.membership.voters) {
    if (voter.id == replica.image.id) {
      ++count;
      continue;
    }
    auto found = replica.others.find(voter.peerAddress);
    if (found != replica.others.end() && found->second.last.voter.id == voter.id &&
        found->second.acknowledgedMs >= now.steadyMs - bounds(replica).leaseMs)
      ++count;
  }
  return isVoter(replica.image.membership, replica.image.id) &&
         count >= majority(replica.image.membership.voters.size());
}

}  // namespace tulip::control
