#include "control/replica.hpp"

#include <algorithm>
#include <utility>

namespace tulip::control {

using namespace transport;

namespace {

Bounds const& bounds(const ReplicaState& replica) { return replica.client.settings.bounds; }
const Address& self(const ReplicaState& replica) { return replica.client.settings.peerAddress; }

bool mayVote(const ReplicaState& replica) { return replica.image.voting && !ailing(replica); }

bool isVoter(const Membership& membership, const DaemonId& id) {
  return std::any_of(membership.voters.begin(), membership.voters.end(),
                     [&](const Voter& voter) { return voter.id == id; });
}

void persist(ReplicaState& replica, std::vector<DiskEntry> entries, std::vector<Send> after, Outbox& out) {
  for (const auto& entry : entries) storage::apply(replica.image, entry);
  if (entries.empty()) {
    for (auto& send : after) out.sends.push_back(std::move(send));
    return;
  }
  replica.waiting[++replica.ticket] = {replica.stepMs, std::move(after), 0};
  out.persists.push_back({replica.ticket, std::move(entries)});
}

std::string nextMembershipKey(const ReplicaState& replica) {
  return "cohort/" + std::to_string(replica.image.membership.version + 1);
}

// ROLE-NAME of a daemon with a name; empty for one without.
std::string_view hostOf(std::string_view id) {
  id = id.substr(0, id.find('/'));
  const auto life = id.rfind('-');
  if (life == std::string_view::npos || id.substr(0, life).find('-') == std::string_view::npos) return {};
  return id.substr(0, life);
}

// Whoever was promised the jobs last is the only one whose lease can stand here; a later life of the same daemon says
// that it is over.
void endLeaseOfEarlierLife(ReplicaState& replica, const DaemonId& heard, Now now) {
  const std::string_view owner = replica.image.jobLogPromised.owner;
  const auto host = hostOf(owner);
  if (host.empty() || hostOf(heard.view()) != host || owner.substr(0, owner.find('/')) == heard.view()) return;
  replica.leaseUntilMs = std::min(replica.leaseUntilMs, now.steadyMs);
}

bool leaseLive(const ReplicaState& replica, Now now) { return now.steadyMs < replica.leaseUntilMs; }

const Membership& knownMembership(const ReplicaState& replica) {
  return replica.image.empty() ? replica.known : replica.image.membership;
}

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
  for (auto& [id, member] : all) list.push_back(std::move(member));
  return list;
}

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

// The delta from a text that the daemon has, or the whole.
void putConfig(ReplicaState& replica, SessionRow& row, SessionGrant& grant) {
  for (const auto& [version, text] : replica.olderTexts) {
    if (version != row.member.acked) continue;
    auto [delta, made] = replica.deltas.try_emplace(version);
    if (made) delta->second = config::makeDelta(text, replica.learned.text);
    if (delta->second.empty()) break;
    grant.configBase = version;
    grant.configText = delta->second;
    return;
  }
  grant.configText = replica.learned.text;
}

SessionGrant makeGrant(ReplicaState& replica, SessionRow& row, Now now) {
  const auto leaseMs = bounds(replica).leaseMs;
  SessionGrant grant;
  grant.heartbeat = row.heartbeat;
  grant.sentMs = row.sentMs;
  grant.leaseMs = leaseMs;
  grant.configVersion = replica.learned.version;
  // A daemon takes no session from a grant of a revision that it lacks, so what was just sent need not come again.
  const bool sent = row.textVersion == replica.learned.version && now.steadyMs - row.textSentMs < leaseMs;
  if (row.member.acked < replica.learned.version && !sent) {
    putConfig(replica, row, grant);
    row.textVersion = replica.learned.version;
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

void learnConfig(ReplicaState& replica, const Ballot& ballot, const std::string& value, Now now, Outbox& out) {
  if (value.empty() || ballot <= replica.learnedBallot) return;
  auto stored = config::readStored(value);
  if (stored.version < replica.learned.version) return;
  const bool newer = stored.version > replica.learned.version;
  if (newer) {
    constexpr std::size_t kOlderTexts = 3;
    if (replica.learned.version > 0)
      replica.olderTexts.emplace_back(replica.learned.version, std::move(replica.learned.text));
    if (replica.olderTexts.size() > kOlderTexts) replica.olderTexts.erase(replica.olderTexts.begin());
    replica.deltas.clear();
  }
  replica.learnedBallot = ballot;
  replica.learnedValue = value;
  replica.learned = std::move(stored);
  replica.learnedMs = now.steadyMs;
  if (replica.image.learned < ballot && isVoter(replica.image.membership, replica.image.id)) {
    persist(replica, {storage::entry::learned(ballot)}, {}, out);
    replica.waiting[replica.ticket].learned = replica.learned.version;
  }
  replica.configKnown = replica.configKnown || !(ballot < replica.image.learned);
  if (!newer || !hasQuorumLease(replica, now)) return;
  for (auto& [id, row] : replica.sessions)
    if (now.steadyMs - row.heardMs <= bounds(replica).leaseMs)
      out.send(row.member.peerAddress, makeGrant(replica, row, now));
}

void refer(const ReplicaState& replica, const Address& to, Outbox& out) {
  Referral referral;
  for (const auto& voter : knownMembership(replica).voters)
    if (voter.peerAddress != self(replica)) referral.replicas.push_back(voter.peerAddress);
  if (!referral.replicas.empty()) out.send(to, std::move(referral));
}

void onSessionHeartbeat(ReplicaState& replica, const Heard& heard, const SessionHeartbeat& heartbeat, Now now,
                        Outbox& out) {
  endLeaseOfEarlierLife(replica, heartbeat.me.id, now);
  if (!hasQuorumLease(replica, now) || !replica.configKnown || !mayVote(replica) || replica.fenced) {
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
  if (heartbeat.me.acked < row.member.acked) row.textSentMs = -1000000;
  row.member = heartbeat.me;
  row.heardMs = now.steadyMs;
  row.heartbeat = heartbeat.heartbeat;
  row.sentMs = heartbeat.sentMs;
  row.membersDigest = heartbeat.membersDigest;
  if (fresh) gatherMembers(replica, now);
  out.send(heard.from, makeGrant(replica, row, now));
}

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
  heartbeat.voting = mayVote(replica);
  heartbeat.firstBoot = replica.client.settings.firstBoot;
  heartbeat.joined = replica.joined;
  if (!replica.diskless) {
    heartbeat.sessions = ownSessions(replica, now);
    heartbeat.sessionsDigest = digestOf(heartbeat.sessions, bounds(replica).leaseMs);
  }
  return heartbeat;
}

// Others stand by this echo. So none is given by a replica that may have forgotten what it had learned, that has no
// vote in the membership yet, or that has voted for the next one.
bool mayAcknowledge(const ReplicaState& replica) {
  if (replica.image.empty() || !isVoter(replica.image.membership, replica.image.id)) return true;
  return replica.image.voting && !replica.fenced && !(replica.learnedBallot < replica.image.learned);
}

void sendReplicaHeartbeat(ReplicaState& replica, const Address& target, ReplicaHeartbeat heartbeat, Now now,
                          Outbox& out) {
  heartbeat.acknowledgedMs = -1000000;
  if (auto found = replica.others.find(target); found != replica.others.end()) {
    auto& other = found->second;
    other.repliedMs = now.steadyMs;
    heartbeat.acknowledgedDigest = other.sessionsDigest;
    heartbeat.sameSessions = heartbeat.sessionsDigest != 0 && other.last.acknowledgedDigest == heartbeat.sessionsDigest;
    // No echo lets a replica stand that was not given what is chosen: it comes with the value, or after the replica has
    // it.
    const bool behind = other.last.configBallot < replica.learnedBallot && !other.last.diskless;
    const bool give = behind && now.steadyMs - replica.learnedMs >= bounds(replica).heartbeatMs();
    if (give) heartbeat.configValue = replica.learnedValue;
    if (mayAcknowledge(replica) && (!behind || give)) heartbeat.acknowledgedMs = other.last.sentMs;
    if (other.last.diskless) heartbeat.sameSessions = true;
  }
  if (heartbeat.sameSessions) heartbeat.sessions.clear();
  out.send(target, std::move(heartbeat));
}

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

void askCatchUp(ReplicaState& replica, Now now, Outbox& out) {
  if (replica.image.empty() || replica.image.voting || !isVoter(replica.image.membership, replica.image.id)) return;
  if (now.steadyMs - replica.askedMs < bounds(replica).leaseMs / 2) return;
  replica.askedMs = now.steadyMs;
  for (const auto& voter : replica.image.membership.voters)
    if (voter.id != replica.image.id && !replica.catchUp.contains(voter.id))
      out.send(voter.peerAddress, CatchUpAsk{replica.image.membership.version, replica.image.id});
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
  replica.fenced = false;
  replica.catchUp.clear();
  if (votes && !voted) replica.leaseUntilMs = now.steadyMs + bounds(replica).leaseMs;
  persist(replica, std::move(writes), {}, out);
  replica.client.membership = membership;
  replica.joined = {};
  sendReplicaHeartbeats(replica, now, out);
  replica.askedMs = -1000000;
  askCatchUp(replica, now, out);
  if (!votes || !hasQuorumLease(replica, now) || !replica.configKnown) return;
  for (auto& [id, row] : replica.sessions)
    if (row.member.role == Role::scheduler && now.steadyMs - row.heardMs <= bounds(replica).leaseMs)
      out.send(row.member.peerAddress, makeGrant(replica, row, now));
}

// Once every member of the first membership is seen to have promised itself to it, none can be in another.
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

struct Candidate {
  ZoneName zone;
  Voter voter;
};

// Taken from the zones in turn, so that the loss of one zone leaves a majority where that can be.
std::vector<Voter> pickVoters(const std::vector<Candidate>& candidates, std::size_t count) {
  std::map<ZoneName, std::vector<Voter>> zones;
  for (const auto& candidate : candidates) zones[candidate.zone].push_back(candidate.voter);
  std::vector<Voter> voters;
  for (std::size_t round = 0; voters.size() < count; ++round)
    for (const auto& [zone, list] : zones)
      if (round < list.size() && voters.size() < count) voters.push_back(list[round]);
  return voters;
}

std::size_t wantedVoters(const ReplicaState& replica) {
  return static_cast<std::size_t>(2 * std::max<std::int64_t>(0, replica.client.settings.losses) + 1);
}

bool sameSeeds(std::vector<Address> one, std::vector<Address> other) {
  std::sort(one.begin(), one.end());
  std::sort(other.begin(), other.end());
  return one == other;
}

// Heard within a term, and its word back to us too.
bool inTouch(const ReplicaState& replica, const PeerReplica& other, Now now) {
  const auto since = now.steadyMs - bounds(replica).leaseMs;
  return other.soundMs >= since && other.acknowledgedMs >= since;
}

// One decider, the lowest seed, names the members of the first membership.
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

struct Change {
  std::vector<Voter> voters;
  std::uint32_t givers = 0;
};

// The next membership that is wanted: one voter replaced or added.
std::optional<Change> nextVoters(const ReplicaState& replica, Now now) {
  const auto& voters = replica.image.membership.voters;
  const auto leaseMs = bounds(replica).leaseMs;
  std::map<DaemonId, ZoneName> zones{{replica.image.id, replica.client.settings.zone}};
  const Voter* proposer = nullptr;
  bool calm = true;
  const auto holder = [&](const Voter& voter) -> const PeerReplica* {
    auto found = replica.others.find(voter.peerAddress);
    return found != replica.others.end() && found->second.last.voter.id == voter.id ? &found->second : nullptr;
  };
  for (const auto& voter : voters) {
    const auto* other = holder(voter);
    if (other) zones[voter.id] = other->last.zone;
    const bool alive = voter.id == replica.image.id || (other && now.steadyMs - other->soundMs < leaseMs);
    const bool votes = voter.id == replica.image.id || (alive && other->last.voting);
    calm = calm && votes;
    if (votes && (!proposer || voter.id < proposer->id)) proposer = &voter;
  }
  if (!proposer || proposer->id != replica.image.id) return {};
  std::vector<const ReplicaHeartbeat*> spares;
  for (const auto& [address, other] : replica.others)
    if (!other.last.diskless && inTouch(replica, other, now) &&
        !isVoter(replica.image.membership, other.last.voter.id) &&
        other.last.membership.version <= replica.image.membership.version)
      spares.push_back(&other.last);
  if (spares.empty()) return {};
  const auto inZone = [&](const ZoneName& zone, const DaemonId& without) {
    return std::count_if(voters.begin(), voters.end(), [&](const Voter& voter) {
      auto found = zones.find(voter.id);
      return voter.id != without && found != zones.end() && found->second == zone;
    });
  };
  const auto best = [&](const DaemonId& without) {
    return *std::min_element(spares.begin(), spares.end(),
                             [&](const ReplicaHeartbeat* one, const ReplicaHeartbeat* other) {
                               return std::pair(inZone(one->zone, without), one->voter.id) <
                                      std::pair(inZone(other->zone, without), other->voter.id);
                             });
  };
  const auto replaced = [&](std::size_t place, const Voter& by) {
    Change change{voters, 0};
    change.voters[place] = by;
    return change;
  };
  for (std::size_t i = 0; i < voters.size(); ++i)
    for (const auto* spare : spares)
      if (spare->voter.peerAddress == voters[i].peerAddress && voters[i].id != replica.image.id)
        return replaced(i, spare->voter);
  const Millis patientMs = 4 * leaseMs;
  const Millis silentMs =
      bounds(replica).catchUpMs > 0 ? std::min(patientMs, bounds(replica).catchUpMs / 3) : patientMs;
  if (now.steadyMs >= replica.bornMs + silentMs)
    for (std::size_t i = 0; i < voters.size(); ++i) {
      if (voters[i].id == replica.image.id) continue;
      const auto* other = holder(voters[i]);
      if (!other || now.steadyMs - other->soundMs > silentMs) return replaced(i, best(voters[i].id)->voter);
    }
  if (!calm) return {};
  const auto most = wantedVoters(replica);
  const bool toOdd = voters.size() % 2 == 0;
  if (voters.size() < most && (toOdd || spares.size() >= 2 || voters.size() + 1 == most)) {
    Change change{voters, static_cast<std::uint32_t>(majority(voters.size()))};
    change.voters.push_back(best({})->voter);
    return change;
  }
  const auto bearable = static_cast<std::ptrdiff_t>(voters.size() - majority(voters.size()));
  for (std::size_t i = voters.size(); i-- > 0;) {
    if (voters[i].id == replica.image.id || inZone(zones[voters[i].id], {}) <= bearable) continue;
    const auto* spare = best(voters[i].id);
    if (inZone(spare->zone, voters[i].id) < bearable) return replaced(i, spare->voter);
  }
  return {};
}

void tryReconfigure(ReplicaState& replica, Now now, Outbox& out) {
  if (replica.image.empty() || !mayVote(replica) || !hasQuorumLease(replica, now) ||
      proposing(replica.client, nextMembershipKey(replica)))
    return;
  if (auto change = nextVoters(replica, now))
    proposeFixed(replica.client, nextMembershipKey(replica),
                 storage::packMembership(
                     Membership{replica.image.membership.version + 1, std::move(change->voters), change->givers}),
                 now, out);
}

void onReplicaHeartbeat(ReplicaState& replica, const Heard& heard, const ReplicaHeartbeat& heartbeat, Now now,
                        Outbox& out) {
  auto& other = replica.others[heard.from];
  if (other.last.voter.id == heartbeat.voter.id && heartbeat.sentMs < other.last.sentMs) return;
  const bool sameLife = other.last.voter.id == heartbeat.voter.id;
  other.last = heartbeat;
  other.last.configValue.clear();
  other.last.sessions.clear();
  other.heardMs = now.steadyMs;
  if (!heartbeat.ailing) other.soundMs = now.steadyMs;
  if (!sameLife) other.acknowledgedMs = -1000000;
  if (heartbeat.acknowledgedMs <= now.steadyMs)
    other.acknowledgedMs = std::max(other.acknowledgedMs, heartbeat.acknowledgedMs);
  if (!heartbeat.sameSessions) {
    other.sessions = heartbeat.sessions;
    other.sessionsDigest = heartbeat.sessionsDigest;
  } else if (!sameLife || other.sessionsDigest != heartbeat.sessionsDigest) {
    other.sessionsDigest = 0;
  }
  if (!replica.diskless) learnConfig(replica, heartbeat.configBallot, heartbeat.configValue, now, out);
  if (heartbeat.membership.version > replica.image.membership.version &&
      (!replica.image.empty() || isVoter(heartbeat.membership, replica.image.id))) {
    installMembership(replica, heartbeat.membership, now, out);
  } else if (replica.image.empty() && heartbeat.membership.version > replica.known.version) {
    replica.known = heartbeat.membership;
    sendReplicaHeartbeats(replica, now, out);
  }
  tryActivateBootstrap(replica, now, out);
  const bool lost = heartbeat.acknowledgedMs < now.steadyMs - bounds(replica).leaseMs && !replica.diskless;
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

bool membershipMatches(const ReplicaState& replica, Version version) {
  return version == replica.image.membership.version && !replica.fenced && mayVote(replica) &&
         isVoter(replica.image.membership, replica.image.id);
}

void onRegisterPrepare(ReplicaState& replica, const Heard& heard, const RegisterPrepare& ask, Outbox& out) {
  const bool membershipKey = ask.key == nextMembershipKey(replica);
  if (!mayVote(replica) || ask.membership != replica.image.membership.version ||
      (!membershipKey && !membershipMatches(replica, ask.membership)))
    return;
  std::vector<DiskEntry> writes;
  auto reply = storage::promise(replica.image, ask, writes);
  persist(replica, std::move(writes), {{heard.from, reply}}, out);
}

void onRegisterAccept(ReplicaState& replica, const Heard& heard, const RegisterAccept& ask, Outbox& out) {
  const bool membershipKey = ask.key == nextMembershipKey(replica);
  if (!mayVote(replica) || ask.membership != replica.image.membership.version ||
      (!membershipKey && !membershipMatches(replica, ask.membership)))
    return;
  std::vector<DiskEntry> writes;
  auto reply = storage::accept(replica.image, ask, writes);
  if (membershipKey && reply.ok) replica.fenced = true;
  persist(replica, std::move(writes), {{heard.from, reply}}, out);
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

void onAckQuery(ReplicaState& replica, const Heard& heard, const AckQuery& ask, Now now, Outbox& out) {
  AckState state{ask.configVersion, ask.query, replica.keptVersion >= ask.configVersion, {}};
  for (const auto& [id, row] : replica.sessions)
    if (row.member.acked < ask.configVersion &&
        now.steadyMs - row.heardMs <= bounds(replica).leaseMs + bounds(replica).heartbeatMs())
      state.waiting.push_back(id);
  // A life before this one may have granted sessions that it no longer knows of.
  if (now.steadyMs < replica.bornMs + bounds(replica).leaseMs + bounds(replica).heartbeatMs())
    state.waiting.push_back(replica.image.id);
  for (const auto& [id, untilMs] : replica.formerUntilMs)
    if (now.steadyMs < untilMs) state.waiting.push_back(id);
  const auto lapseMs = bounds(replica).lapseMs();
  for (const auto& voter : replica.image.membership.voters) {
    if (voter.id == replica.image.id || now.steadyMs - replica.bornMs < lapseMs) continue;
    auto found = replica.others.find(voter.peerAddress);
    if (found == replica.others.end() || now.steadyMs - found->second.heardMs >= lapseMs)
      state.silent.push_back(voter.id);
  }
  out.send(heard.from, std::move(state));
}

void onJobLogPrepare(ReplicaState& replica, const Heard& heard, const JobLogPrepare& ask, Now now, Outbox& out) {
  endLeaseOfEarlierLife(replica, heard.fromId, now);
  if (!membershipMatches(replica, ask.membership)) return;
  JobLogPromise reply;
  reply.term = ask.term;
  reply.promised = replica.image.jobLogPromised;
  reply.fleetMs = fleetNow(replica.client, now);
  const bool again = replica.image.jobLogPromised == ask.term;
  if (!again && (ask.term < replica.image.jobLogPromised || leaseLive(replica, now))) {
    reply.leaseLeftMs = std::max<Millis>(0, replica.leaseUntilMs - now.steadyMs);
    out.send(heard.from, std::move(reply));
    return;
  }
  reply.ok = true;
  reply.base = replica.image.jobLogBase;
  for (const auto& [key, entry] : replica.image.jobs) reply.entries.push_back(entry);
  std::vector<DiskEntry> writes{storage::entry::jobLogPromise(ask.term)};
  persist(replica, std::move(writes), {{heard.from, std::move(reply)}}, out);
}

void onJobLogAccept(ReplicaState& replica, const Heard& heard, const JobLogAccept& ask, Now now, Outbox& out) {
  JobLogAccepted reply{ask.term, ask.seq, ask.sentMs, false, ask.seq > 0, replica.image.jobLogPromised};
  if (!membershipMatches(replica, ask.membership) || ask.term < replica.image.jobLogPromised) {
    ++replica.jobLogRejected;
    out.send(heard.from, std::move(reply));
    return;
  }
  std::vector<DiskEntry> writes;
  if (replica.image.jobLogPromised < ask.term) {
    out.send(heard.from, std::move(reply));
    return;
  }
  ++replica.jobLogAccepts;
  reply.ok = true;
  replica.leader = ask.hint;
  replica.leaseUntilMs = replica.hintUntilMs = now.steadyMs + bounds(replica).leaseMs;
  if (std::pair(ask.term, ask.sentMs) >= replica.fleetFrom) {
    replica.fleetFrom = {ask.term, ask.sentMs};
    setFleet(replica.client, ask.fleetMs, now);
  }
  if (ask.seq > 0) {
    writes.push_back(storage::entry::jobLogBase(ask.term));
    writes.push_back(storage::entry::fleet(ask.term, ask.fleetMs));
  }
  for (const auto& entry : ask.entries) writes.push_back(storage::entry::job(entry));
  persist(replica, std::move(writes), {{heard.from, std::move(reply)}}, out);
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
                   replica.image.learned};
  for (const auto& [key, entry] : replica.image.jobs) give.entries.push_back(entry);
  for (const auto& [key, slot] : replica.image.registers) {
    give.registers.push_back({key, {slot.accepted, 0}, slot.value});
    give.promises.push_back({key, {slot.promised, 0}, {}});
  }
  out.send(heard.from, std::move(give));
}

void onCatchUpGive(ReplicaState& replica, const CatchUpGive& give, Now now, Outbox& out) {
  if (replica.image.voting || give.membership != replica.image.membership.version ||
      !isVoter(replica.image.membership, give.id))
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

void onTick(ReplicaState& replica, Now now, Outbox& out) {
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
  auto found = replica.image.registers.find(kConfigKey);
  const bool open = found != replica.image.registers.end() && replica.learnedBallot < found->second.accepted;
  if (!open)
    replica.openSinceMs = -1;
  else if (replica.openSinceMs < 0)
    replica.openSinceMs = now.steadyMs;
  // Reading the register waits for no one to stand: replicas that forgot what they had learned let none stand before.
  const bool abandoned =
      open && hasQuorumLease(replica, now) && now.steadyMs - replica.openSinceMs >= bounds(replica).leaseMs / 2;
  if ((!replica.configKnown || abandoned) && now.steadyMs >= replica.completeAtMs &&
      !proposing(replica.client, kConfigKey)) {
    replica.completeAtMs = now.steadyMs + bounds(replica).leaseMs;
    proposeFixed(replica.client, kConfigKey, "", now, out);
  }
  auto step = replica.image.registers.find(nextMembershipKey(replica));
  if (step == replica.image.registers.end() || step->second.value.empty())
    replica.stepSinceMs = -1;
  else if (replica.stepSinceMs < 0)
    replica.stepSinceMs = now.steadyMs;
  else if (now.steadyMs - replica.stepSinceMs >= bounds(replica).heartbeatMs() &&
           !proposing(replica.client, step->first))
    proposeFixed(replica.client, step->first, "", now, out);
}

}  // namespace

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

bool ailing(const ReplicaState& replica) {
  return replica.diskFailed || (!replica.waiting.empty() &&
                                replica.stepMs - replica.waiting.begin()->second.sinceMs > bounds(replica).leaseMs);
}

void replicaStep(ReplicaState& replica, const Event& event, Now now, Outbox& out) {
  replica.stepMs = now.steadyMs;
  if (const auto* heard = std::get_if<Heard>(&event)) {
    if (clientHeard(replica.client, *heard, now, out)) {
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
            onSessionHeartbeat(replica, *heard, body, now, out);
          else if constexpr (std::is_same_v<Body, ReplicaHeartbeat>)
            onReplicaHeartbeat(replica, *heard, body, now, out);
          else if constexpr (std::is_same_v<Body, RegisterPrepare>)
            onRegisterPrepare(replica, *heard, body, out);
          else if constexpr (std::is_same_v<Body, RegisterAccept>)
            onRegisterAccept(replica, *heard, body, out);
          else if constexpr (std::is_same_v<Body, RegisterChosen>)
            onRegisterChosen(replica, body, now, out);
          else if constexpr (std::is_same_v<Body, AckQuery>)
            onAckQuery(replica, *heard, body, now, out);
          else if constexpr (std::is_same_v<Body, JobLogPrepare>)
            onJobLogPrepare(replica, *heard, body, now, out);
          else if constexpr (std::is_same_v<Body, JobLogAccept>)
            onJobLogAccept(replica, *heard, body, now, out);
          else if constexpr (std::is_same_v<Body, CatchUpAsk>)
            onCatchUpAsk(replica, *heard, body, now, out);
          else if constexpr (std::is_same_v<Body, CatchUpGive>)
            onCatchUpGive(replica, body, now, out);
          else if constexpr (std::is_same_v<Body, BootstrapProposal>)
            onBootstrapProposal(replica, body, now, out);
          else if constexpr (std::is_same_v<Body, Resign>) {
            if (replica.leader.term == body.term) replica.leaseUntilMs = replica.hintUntilMs = now.steadyMs;
          }
        },
        heard->message);
  } else if (const auto* persisted = std::get_if<Persisted>(&event)) {
    auto found = replica.waiting.find(persisted->ticket);
    if (found == replica.waiting.end()) return;
    auto sends = std::move(found->second.sends);
    if (persisted->ok) replica.keptVersion = std::max(replica.keptVersion, found->second.learned);
    replica.waiting.erase(found);
    if (persisted->ok && persisted->ticket == replica.joinedTicket) {
      replica.joined = replica.image.joined;
      sendReplicaHeartbeats(replica, now, out);
      tryActivateBootstrap(replica, now, out);
    }
    if (!persisted->ok) {
      replica.diskFailed = true;
    }
    if (!replica.diskFailed)
      for (auto& send : sends) out.sends.push_back(std::move(send));
  } else if (std::holds_alternative<Tick>(event)) {
    if (ailing(replica) != replica.ailed) {
      replica.ailed = !replica.ailed;
      out.alarms.push_back(replica.ailed ? "the disk takes no writes: this replica no longer votes"
                                         : "the disk takes writes again: this replica votes");
    }
    onTick(replica, now, out);
    clientTick(replica.client, now, out);
    replica.client.ready = mayVote(replica) && hasQuorumLease(replica, now) && sessionLive(replica.client, now) &&
                           !replica.client.leader.http.empty() && !replica.client.leaving;
  }
}

}  // namespace tulip::control
