#include "control/client.hpp"

#include <algorithm>
#include <utility>

namespace tulip::control {

using namespace transport;

namespace {

Millis resendMs(Phase phase, const Bounds& bounds) {
  return phase == Phase::learn    ? bounds.heartbeatMs() / 5
         : phase == Phase::accept ? bounds.heartbeatMs()
                                  : bounds.heartbeatMs() / 2;
}

std::string versionBody(Version version) { return "{\"revision\":" + std::to_string(version) + "}"; }

void reject(Proposal& proposal, Kind kind, std::string body) {
  proposal.kind = kind;
  proposal.status = rowOf(kind).status;
  proposal.body = std::move(body);
}

void replaceEntries(json_t* base, const char* section, const json_t* entries) {
  json_t* into = json_object_get(base, section);
  if (!json_is_object(into)) {
    into = json_object();
    json_object_set_new(base, section, into);
  }
  const char* name;
  json_t* entry;
  json_object_foreach(const_cast<json_t*>(entries), name, entry) {
    if (json_is_null(entry)) {
      json_object_del(into, name);
      continue;
    }
    json_t* place = json_incref(json_object_get(json_object_get(into, name), "place"));
    json_t* next = json_copy(entry);
    if (place) json_object_set_new(next, "place", place);
    json_object_set_new(into, name, next);
  }
}

// The configuration that the edit makes of base, which is used up; null when the edit's body is no object.
Json edited(const Edit& edit, Json base) {
  Json body = parseJson(edit.body);
  if (!json_is_object(body.get())) return nullptr;
  if (edit.whole && !edit.sections) {
    const json_t* operatorVersion = json_object_get(base.get(), "edition");
    if (operatorVersion && !json_object_get(body.get(), "edition"))
      json_object_set(body.get(), "edition", const_cast<json_t*>(operatorVersion));
    base = std::move(body);
  } else if (!edit.sections) {
    config::mergeInto(base.get(), body.get());
  } else {
    const char* section;
    json_t* part;
    json_object_foreach(body.get(), section, part) {
      const std::string_view name = section;
      if (json_is_null(part))
        json_object_del(base.get(), section);
      else if (edit.whole || !json_is_object(part))
        json_object_set(base.get(), section, part);
      else if (name == "pendings" || name == "pools")
        replaceEntries(base.get(), section, part);
      else {
        Json one(json_object());
        json_object_set(one.get(), section, part);
        config::mergeInto(base.get(), one.get());
      }
    }
  }
  if (edit.operatorVersion > 0)
    json_object_set_new(base.get(), "edition", json_integer(static_cast<json_int_t>(edit.operatorVersion)));
  return base;
}

void judgeEdit(Proposal& proposal, const std::string& current) {
  const auto& edit = *proposal.edit;
  auto stored = config::readStored(current);
  for (const auto& [name, version] : stored.requests)
    if (!edit.name.empty() && name == edit.name) {
      proposal.status = 200;
      proposal.body = versionBody(version);
      proposal.version = stored.version;
      proposal.changes = true;
      return;
    }
  if (edit.expected && *edit.expected != stored.version)
    return reject(proposal, Kind::raced,
                  "{\"error\":\"raced\",\"expected\":" + std::to_string(*edit.expected) +
                      ",\"revision\":" + std::to_string(stored.version) + "}");
  Json base = stored.text.empty() ? Json(json_object()) : parseJson(stored.text);
  const auto operatorVersion = static_cast<Version>(numberAt(base.get(), "edition"));
  if (edit.basedOn && *edit.basedOn != operatorVersion)
    return reject(proposal, Kind::raced,
                  "{\"error\":\"raced\",\"basedOn\":" + std::to_string(*edit.basedOn) +
                      ",\"edition\":" + std::to_string(operatorVersion) + "}");
  Json next = edited(edit, std::move(base));
  config::Config checked;
  std::vector<config::Fault> faults;
  bool good = next && config::readConfig(next.get(), checked, faults);
  if (good && (checked.operatorVersion < operatorVersion ||
               (edit.operatorVersion > 0 && checked.operatorVersion == operatorVersion))) {
    faults.push_back({"/edition", "above the current one, " + std::to_string(operatorVersion)});
    good = false;
  }
  if (!good) return reject(proposal, Kind::invalidConfig, config::faultsJson(Kind::invalidConfig, faults));
  stored.text = dumpJson(next.get());
  ++stored.version;
  if (!edit.name.empty()) stored.requests.emplace_back(edit.name, stored.version);
  constexpr std::size_t kMostRequests = 256;
  if (stored.requests.size() > kMostRequests) stored.requests.erase(stored.requests.begin());
  proposal.value = config::writeStored(stored);
  proposal.changes = true;
  proposal.version = stored.version;
  proposal.status = 200;
  proposal.body = versionBody(stored.version);
}

void judge(Proposal& proposal, const Ballot& ballot, const std::string& current) {
  if (proposal.judgedOn == ballot) return;
  proposal.judgedOn = ballot;
  proposal.value = current;
  proposal.changes = false;
  proposal.kind = Kind::ok;
  if (proposal.edit)
    judgeEdit(proposal, current);
  else if (current.empty())
    proposal.value = proposal.fixedValue;
}

void sendPhase(ControlClient& client, Proposal& proposal, Now now, Outbox& out) {
  proposal.sentMs = now.steadyMs;
  out.wakeBy(now.steadyMs + resendMs(proposal.phase, client.settings.bounds));
  const bool config = proposal.key == kConfigKey;
  for (const auto& voter : voterAddresses(client)) {
    if (proposal.phase == Phase::prepare && !proposal.promises.contains(voter))
      out.send(voter, RegisterPrepare{client.membership.version, proposal.key, proposal.ballot,
                                      config ? client.knownBallot : Ballot{}});
    if (proposal.phase == Phase::accept && !proposal.accepts.contains(voter))
      out.send(voter, RegisterAccept{client.membership.version, proposal.key, proposal.ballot, proposal.value});
    if (proposal.phase != Phase::learn) continue;
    const auto state = proposal.states.find(voter);
    const bool learned = state != proposal.states.end() && state->second.learned;
    if (!learned) {
      auto [committedJobs, first] = proposal.committedMs.emplace(voter, now.steadyMs);
      if (first)
        out.send(voter, RegisterChosen{proposal.key, proposal.ballot,
                                       proposal.accepts.contains(voter) ? std::string() : proposal.value});
      else if (now.steadyMs - committedJobs->second >= client.settings.bounds.heartbeatMs()) {
        committedJobs->second = now.steadyMs;
        out.send(voter, RegisterChosen{proposal.key, proposal.ballot, proposal.value});
      }
    }
    if (proposal.changes && !(learned && state->second.waiting.empty()))
      out.send(voter, AckQuery{proposal.version, proposal.ballot.number, proposal.ballot});
  }
}

void restart(ControlClient& client, Proposal& proposal, Now now, Outbox& out) {
  proposal.ballot = Ballot{++client.ballotNumber, client.id.value + "/" + client.incarnation};
  proposal.phase = Phase::prepare;
  proposal.promises.clear();
  proposal.accepts.clear();
  proposal.retryAtMs = 0;
  ++proposal.attempts;
  sendPhase(client, proposal, now, out);
}

// Proposals of one daemon for the same register go one after another: side by side they would outbid each other.
void startQueued(ControlClient& client, Now now, Outbox& out) {
  for (auto& proposal : client.proposals) {
    if (proposal.phase != Phase::queued) continue;
    const bool busy = std::any_of(client.proposals.begin(), client.proposals.end(), [&](const Proposal& other) {
      return other.key == proposal.key && (other.phase == Phase::prepare || other.phase == Phase::accept);
    });
    if (!busy) restart(client, proposal, now, out);
  }
}

void backOff(ControlClient& client, Proposal& proposal, Now now, Outbox& out) {
  if (proposal.retryAtMs) return;
  ++client.contended;
  const Millis span = std::max<Millis>(1, client.settings.bounds.heartbeatMs() / 8);
  const auto spread =
      mix(client.id.value + std::to_string(proposal.ballot.number)) % (1 + std::min(proposal.attempts, 6));
  proposal.retryAtMs = now.steadyMs + span * static_cast<Millis>(1 + spread);
  out.wakeBy(proposal.retryAtMs);
}

void finish(Proposal& proposal, Outbox& out) {
  if (proposal.requestId) out.answer(proposal.requestId, proposal.status, proposal.body, 0, proposal.kind);
  proposal.requestId = 0;
  proposal.phase = Phase::done;
}

void heardPromise(ControlClient& client, const Address& from, const RegisterPromise& reply, Now now, Outbox& out) {
  client.ballotNumber = std::max(client.ballotNumber, reply.promised.number);
  for (auto& proposal : client.proposals) {
    if (proposal.phase != Phase::prepare || proposal.ballot != reply.ballot || proposal.key != reply.key) continue;
    if (!reply.ok) return backOff(client, proposal, now, out);
    const auto voters = voterAddresses(client);
    if (std::find(voters.begin(), voters.end(), from) == voters.end()) return;
    proposal.promises[from] = reply;
    if (proposal.promises.size() < majority(voters.size())) return;
    const RegisterPromise* newest = nullptr;
    for (const auto& [voter, promise] : proposal.promises)
      if (!newest || newest->accepted < promise.accepted) newest = &promise;
    const bool config = proposal.key == kConfigKey;
    if (config && newest->accepted != Ballot{} && newest->accepted != client.knownBallot) {
      client.knownBallot = newest->accepted;
      client.knownValue = newest->value;
    }
    judge(proposal, newest->accepted, config && newest->accepted != Ballot{} ? client.knownValue : newest->value);
    if (proposal.value.empty()) return finish(proposal, out);
    if (config) {
      client.knownBallot = proposal.ballot;
      client.knownValue = proposal.value;
    }
    proposal.phase = Phase::accept;
    ++client.proposed;
    return sendPhase(client, proposal, now, out);
  }
}

void heardAccepted(ControlClient& client, const Address& from, const RegisterAccepted& reply, Now now, Outbox& out) {
  client.ballotNumber = std::max(client.ballotNumber, reply.promised.number);
  for (auto& proposal : client.proposals) {
    if (proposal.phase != Phase::accept || proposal.ballot != reply.ballot || proposal.key != reply.key) continue;
    if (!reply.ok) return backOff(client, proposal, now, out);
    const auto voters = voterAddresses(client);
    if (std::find(voters.begin(), voters.end(), from) == voters.end()) return;
    proposal.accepts.insert(from);
    if (proposal.accepts.size() < majority(voters.size())) return;
    ++client.chosen;
    proposal.phase = Phase::learn;
    proposal.retryAtMs = 0;
    sendPhase(client, proposal, now, out);
    if (!proposal.changes) finish(proposal, out);
    return startQueued(client, now, out);
  }
}

// A replica of the protocol before incarnations repeats the ballot's number only.
bool answersAckQuery(const Proposal& proposal, const AckState& reply) {
  if (proposal.phase != Phase::learn || proposal.version != reply.configVersion) return false;
  return reply.ballot == Ballot{} ? proposal.ballot.number == reply.query : proposal.ballot == reply.ballot;
}

void heardAcks(ControlClient& client, const Address& from, const AckState& reply, Now now, Outbox& out) {
  for (auto& proposal : client.proposals) {
    if (!answersAckQuery(proposal, reply)) continue;
    proposal.states[from] = reply;
    const auto& voters = client.membership.voters;
    const auto needed = majority(voters.size());
    std::size_t learned = 0;
    std::map<DaemonId, std::size_t> silent;
    for (const auto& voter : voters) {
      auto found = proposal.states.find(voter.peerAddress);
      if (found == proposal.states.end() || !found->second.learned) continue;
      ++learned;
      for (const auto& id : found->second.silent) ++silent[id];
    }
    // A voter that this many others, all of whom have learned, have not heard for so long holds no session short of the
    // change, and can't stand again without having learned from one of them.
    const auto enough = voters.size() - needed + 1;
    const bool allIn = std::all_of(voters.begin(), voters.end(), [&](const Voter& voter) {
      auto found = proposal.states.find(voter.peerAddress);
      if (found != proposal.states.end() && found->second.learned && found->second.waiting.empty()) return true;
      auto by = silent.find(voter.id);
      return by != silent.end() && by->second >= enough;
    });
    if (allIn && learned >= needed) return finish(proposal, out);
    if (learned >= needed && proposal.learnedMs < 0) proposal.learnedMs = now.steadyMs;
    return;
  }
}

void adoptMembership(ControlClient& client, const Membership& membership, Now now, Outbox& out) {
  if (client.membership == membership) return;
  client.membership = membership;
  for (auto& proposal : client.proposals) {
    proposal.promises.clear();
    proposal.accepts.clear();
    proposal.states.clear();
    if (proposal.phase != Phase::queued && proposal.phase != Phase::done && !proposal.retryAtMs)
      sendPhase(client, proposal, now, out);
  }
}

void hearReferral(ControlClient& client, const Address& from, const Referral& referral) {
  if (client.settings.role == Role::replica || from != client.home || referral.replicas.empty()) return;
  client.referred = referral.replicas;
  client.home = referral.replicas[(mix(client.id.view()) + client.heartbeat) % referral.replicas.size()];
}

// Whether the grant answers a heartbeat of this process, so that its times are of this process's clock. A replica of
// the protocol before incarnations names no grantee.
bool answersThisProcess(const ControlClient& client, const SessionGrant& grant) {
  return grant.grantee == Incarnation{} || grant.grantee == client.process;
}

// Whether the daemon has the configuration that the grant names, after taking what the grant carries of it.
bool takeConfig(ControlClient& client, const SessionGrant& grant, Now now, Outbox& out) {
  if (grant.configVersion <= client.configVersion) return true;
  std::string text = grant.configText;
  if (grant.configBase > 0) {
    if (grant.configBase != client.configVersion) return false;
    text = config::applyDelta(client.configText, grant.configText);
  }
  if (text.empty()) return false;
  auto made = std::make_shared<config::Config>();
  std::vector<config::Fault> faults;
  if (!config::readConfigText(text, *made, faults))
    out.alarms.push_back("a confirmed configuration does not read here");
  client.config = made;
  client.configText = std::move(text);
  client.configVersion = grant.configVersion;
  heartbeatNow(client, now, out);
  return true;
}

}  // namespace

std::uint64_t mix(std::string_view text, std::uint64_t hash) { return fnv1a(text, hash); }

std::uint64_t digestOf(const std::vector<Member>& members, Millis leaseMs, bool withAcked) {
  std::uint64_t digest = mix("members");
  for (const auto& member : members) {
    for (const std::string_view text :
         {member.id.view(), member.zone.view(), member.peerAddress.view(), member.http.view()})
      digest = mix("/", mix(text, digest));
    const char flags[] = {static_cast<char>(member.role), member.ready ? 'r' : '-', member.leaving ? 'l' : '-',
                          member.ageMs > leaseMs ? 's' : '-'};
    digest = mix({flags, sizeof flags}, digest);
    if (withAcked) digest = mix(std::to_string(member.acked), digest);
  }
  return digest ? digest : 1;
}

std::size_t majority(std::size_t count) { return count / 2 + 1; }

ControlClient makeControlClient(const Settings& settings, const DaemonId& id, std::string incarnation) {
  ControlClient client;
  client.settings = settings;
  client.id = id;
  client.incarnation = std::move(incarnation);
  client.process = incarnationOf(client.incarnation);
  return client;
}

bool sessionLive(const ControlClient& client, Now now) { return now.steadyMs < client.sessionUntilMs; }

Millis fleetNow(const ControlClient& client, Now now) {
  if (client.fleetAtMs < 0) return client.fleetMs;
  return client.fleetMs + std::max<Millis>(0, now.steadyMs - client.fleetAtMs);
}

void raiseFleet(ControlClient& client, Millis fleetMs, Now now) {
  if (client.fleetAtMs < 0 || fleetMs > fleetNow(client, now)) setFleet(client, fleetMs, now);
}

void setFleet(ControlClient& client, Millis fleetMs, Now now) {
  client.fleetMs = fleetMs;
  client.fleetAtMs = now.steadyMs;
}

std::vector<Address> voterAddresses(const ControlClient& client) {
  std::vector<Address> all;
  for (const auto& voter : client.membership.voters) all.push_back(voter.peerAddress);
  return all;
}

std::vector<Address> replicaAddresses(const ControlClient& client) {
  if (client.settings.role == Role::replica) return {client.settings.peerAddress};
  auto all = voterAddresses(client);
  for (const auto* more : {&client.settings.seeds, &client.referred})
    for (const auto& address : *more)
      if (std::find(all.begin(), all.end(), address) == all.end()) all.push_back(address);
  return all;
}

void answerKind(Outbox& out, std::uint64_t requestId, Kind kind, const Bounds& bounds, std::string_view detail) {
  const auto& row = rowOf(kind);
  Json root(json_object());
  json_object_set_new(root.get(), "error", jsonText(row.name));
  json_object_set_new(root.get(), "meaning", jsonText(row.meaning));
  if (!detail.empty()) json_object_set_new(root.get(), "detail", jsonText(detail));
  out.answer(requestId, row.status, dumpJson(root.get()),
             static_cast<Millis>(row.retryLeases * static_cast<double>(bounds.leaseMs)), kind);
}

void heartbeatNow(ControlClient& client, Now now, Outbox& out) {
  const auto replicas = replicaAddresses(client);
  if (replicas.empty()) return;
  if (std::find(replicas.begin(), replicas.end(), client.home) == replicas.end()) {
    const auto first = client.membership.voters.empty() ? replicas.size() : client.membership.voters.size();
    client.home = replicas[mix(client.id.view()) % std::min(first, replicas.size())];
  }
  client.heartbeatSentMs = now.steadyMs;
  Member me{client.id,
            client.settings.role,
            client.settings.zone,
            client.settings.peerAddress,
            client.settings.http,
            client.configVersion,
            client.ready,
            client.leaving,
            0,
            {}};
  out.send(client.home, SessionHeartbeat{std::move(me), ++client.heartbeat, now.steadyMs, client.membership.version,
                                         client.membersDigest});
}

bool clientHeard(ControlClient& client, const Heard& heard, Now now, Outbox& out) {
  if (const auto* grant = std::get_if<SessionGrant>(&heard.message)) {
    if (!answersThisProcess(client, *grant)) return true;
    if (grant->sentMs > now.steadyMs || grant->sentMs + grant->leaseMs <= now.steadyMs) return true;
    const bool foreign =
        grant->membership.version == client.membership.version && grant->membership != client.membership;
    if (client.settings.role != Role::replica && (foreign || grant->membership.version < client.membership.version)) {
      if (!std::exchange(client.strange, true))
        out.alarms.push_back("a replica of another cohort than the one known here is not listened to");
      return true;
    }
    client.strange = false;
    client.grantedMs = now.steadyMs;
    if (!takeConfig(client, *grant, now, out)) return true;
    client.sessionUntilMs = std::max(client.sessionUntilMs, grant->sentMs + grant->leaseMs);
    const bool newest = grant->heartbeat >= client.grantedHeartbeat;
    client.grantedHeartbeat = std::max(client.grantedHeartbeat, grant->heartbeat);
    if (newest) client.leader = grant->leader;
    adoptMembership(client, grant->membership, now, out);
    if (newest && grant->membersDigest != 0 && grant->membersDigest != client.membersDigest) {
      client.members = grant->members;
      client.membersDigest = grant->membersDigest;
    }
    raiseFleet(client, grant->fleetMs, now);
    return true;
  }
  if (const auto* referral = std::get_if<Referral>(&heard.message))
    return hearReferral(client, heard.from, *referral), true;
  if (const auto* promise = std::get_if<RegisterPromise>(&heard.message))
    return heardPromise(client, heard.from, *promise, now, out), true;
  if (const auto* accepted = std::get_if<RegisterAccepted>(&heard.message))
    return heardAccepted(client, heard.from, *accepted, now, out), true;
  if (const auto* acks = std::get_if<AckState>(&heard.message))
    return heardAcks(client, heard.from, *acks, now, out), true;
  return false;
}

void clientTick(ControlClient& client, Now now, Outbox& out) {
  const auto& bounds = client.settings.bounds;
  const bool sessionless = client.settings.role == Role::replica && client.settings.dataFolder.empty();
  if (!sessionless && now.steadyMs - client.heartbeatSentMs >= bounds.heartbeatMs()) {
    if (client.settings.role != Role::replica && now.steadyMs - client.grantedMs > bounds.leaseMs / 2) {
      const auto replicas = replicaAddresses(client);
      const auto at = std::find(replicas.begin(), replicas.end(), client.home);
      if (at != replicas.end()) client.home = at + 1 == replicas.end() ? replicas.front() : *(at + 1);
      client.grantedMs = now.steadyMs - bounds.leaseMs / 4;
    }
    heartbeatNow(client, now, out);
  }
  for (auto& proposal : client.proposals) {
    if (proposal.phase == Phase::done) continue;
    if (proposal.deadlineMs && now.steadyMs >= proposal.deadlineMs) {
      const bool maybe = proposal.phase != Phase::prepare || proposal.attempts > 1;
      if (proposal.requestId)
        answerKind(out, proposal.requestId, maybe ? Kind::unknownOutcome : Kind::noMajority, bounds);
      proposal.requestId = 0;
      proposal.phase = Phase::done;
      continue;
    }
    if (proposal.phase == Phase::learn && proposal.learnedMs >= 0 &&
        now.steadyMs - proposal.learnedMs >= bounds.lapseMs()) {
      finish(proposal, out);
      continue;
    }
    if (proposal.phase == Phase::queued) continue;
    if (proposal.retryAtMs && now.steadyMs >= proposal.retryAtMs)
      restart(client, proposal, now, out);
    else if (!proposal.retryAtMs &&
             now.steadyMs - proposal.sentMs >= std::max<Millis>(5, resendMs(proposal.phase, bounds)))
      sendPhase(client, proposal, now, out);
  }
  startQueued(client, now, out);
  std::erase_if(client.proposals, [](const Proposal& proposal) { return proposal.phase == Phase::done; });
}

bool proposing(const ControlClient& client, std::string_view key) {
  return std::any_of(client.proposals.begin(), client.proposals.end(), [&](const Proposal& p) { return p.key == key; });
}

void proposeConfig(ControlClient& client, std::uint64_t requestId, Edit edit, Millis deadlineMs, Now now, Outbox& out) {
  constexpr std::size_t kMostProposals = 64;
  if (client.membership.voters.empty()) return answerKind(out, requestId, Kind::noMajority, client.settings.bounds);
  if (client.proposals.size() >= kMostProposals)
    return answerKind(out, requestId, Kind::overloaded, client.settings.bounds);
  if (edit.name.empty())
    edit.name = client.id.value + "/" + client.incarnation + "/" + std::to_string(client.ballotNumber + 1);
  Proposal proposal;
  proposal.requestId = requestId;
  proposal.key = kConfigKey;
  proposal.edit = std::move(edit);
  proposal.startedMs = now.steadyMs;
  proposal.deadlineMs = now.steadyMs + deadlineMs;
  client.proposals.push_back(std::move(proposal));
  startQueued(client, now, out);
}

void proposeFixed(ControlClient& client, std::string key, std::string value, Now now, Outbox& out) {
  Proposal proposal;
  proposal.key = std::move(key);
  proposal.fixedValue = std::move(value);
  proposal.startedMs = now.steadyMs;
  proposal.deadlineMs = now.steadyMs + 4 * client.settings.bounds.leaseMs;
  client.proposals.push_back(std::move(proposal));
  startQueued(client, now, out);
}

}  // namespace tulip::control
