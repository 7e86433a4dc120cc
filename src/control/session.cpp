#include "control/session.hpp"

#include <algorithm>
#include <utility>

#include "control/client.hpp"

namespace tulip::control {

using namespace transport;

namespace {

bool isReplica(const ControlClient& client) { return client.settings.role == Role::replica; }

// A replica without a disk holds no session: it only tells where the others are.
bool holdsSession(const ControlClient& client) { return !isReplica(client) || !client.settings.dataFolder.empty(); }

bool inTime(const SessionGrant& grant, Now now) { return now.steadyMs < grant.sentMs + grant.leaseMs; }

bool ofAnotherFleet(const ControlClient& client, const Membership& membership) {
  if (isReplica(client)) return false;
  if (membership.version < client.membership.version) return true;
  return membership.version == client.membership.version && membership != client.membership;
}

// The text that the grant brings, whole or as a delta; empty when it can't be had.
std::string textOf(const ControlClient& client, const SessionGrant& grant) {
  if (grant.configBase == 0) return grant.configText;
  if (grant.configBase != client.configVersion) return {};
  return config::applyDelta(client.configText, grant.configText);
}

// Whether the daemon has the configuration that the grant names, after taking what the grant carries of it.
bool takeConfig(ControlClient& client, const SessionGrant& grant, Now now, Outbox& out) {
  if (grant.configVersion <= client.configVersion) return true;
  auto text = textOf(client, grant);
  if (text.empty()) return false;
  installConfig(client, grant.configVersion, std::move(text), now, out);
  return true;
}

void takeMembers(ControlClient& client, const SessionGrant& grant) {
  if (grant.membersDigest == 0 || grant.membersDigest == client.membersDigest) return;
  client.members = grant.members;
  client.membersDigest = grant.membersDigest;
}

void pickHome(ControlClient& client, const std::vector<Address>& replicas) {
  if (std::find(replicas.begin(), replicas.end(), client.home) != replicas.end()) return;
  const auto voters = client.membership.voters.size();
  const auto first = voters == 0 ? replicas.size() : std::min(voters, replicas.size());
  client.home = replicas[mix(client.id.view()) % first];
}

void nextHome(ControlClient& client) {
  const auto replicas = replicaAddresses(client);
  const auto at = std::find(replicas.begin(), replicas.end(), client.home);
  if (at == replicas.end()) return;
  client.home = at + 1 == replicas.end() ? replicas.front() : *(at + 1);
}

Member describe(const ControlClient& client) {
  const auto& settings = client.settings;
  Member me;
  me.id = client.id;
  me.role = settings.role;
  me.zone = settings.zone;
  me.peerAddress = settings.peerAddress;
  me.http = settings.http;
  me.acked = client.configVersion;
  me.ready = client.ready;
  me.leaving = client.leaving;
  return me;
}

// Whether another replica is to be asked: the home answers no more, or its answers have not renewed the session for so
// long that there is just time left for another to renew it.
bool homeIsOfNoUse(const ControlClient& client, Now now) {
  const auto leaseMs = client.settings.bounds.leaseMs;
  if (now.steadyMs - client.grantedMs > leaseMs / 2) return true;
  return now.steadyMs - client.renewedMs > leaseMs * 3 / 5 && !configArrives(client, now);
}

void renewSession(ControlClient& client, const SessionGrant& grant, Now now, Outbox& out) {
  client.renewedMs = now.steadyMs;
  client.sessionUntilMs = std::max(client.sessionUntilMs, grant.sentMs + grant.leaseMs);
  const bool newest = grant.heartbeat >= client.grantedHeartbeat;
  client.grantedHeartbeat = std::max(client.grantedHeartbeat, grant.heartbeat);
  if (newest) client.leader = grant.leader;
  adoptMembership(client, grant.membership, now, out);
  if (newest) takeMembers(client, grant);
  raiseFleet(client, grant.fleetMs, now);
}

// Whether the grant answers a heartbeat of this process, so that its times are of this process's clock. A replica of
// the protocol before incarnations names no grantee.
bool answersThisProcess(const ControlClient& client, const SessionGrant& grant) {
  return grant.grantee == Incarnation{} || grant.grantee == client.process;
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

void adoptMembership(ControlClient& client, const Membership& membership, Now now, Outbox& out) {
  if (client.membership == membership) return;
  client.membership = membership;
  proposalsMembershipChanged(client, now, out);
}

void installConfig(ControlClient& client, Version version, std::string text, Now now, Outbox& out) {
  auto made = std::make_shared<config::Config>();
  std::vector<config::Fault> faults;
  client.configReads = client.configReads
                           ? config::readNextText({client.configText, *client.config}, text, *made, faults)
                           : config::readConfigText(text, *made, faults);
  if (!client.configReads) out.alarms.push_back("a confirmed configuration does not read here");
  client.config = made;
  client.configText = std::move(text);
  client.configVersion = version;
  heartbeatNow(client, now, out);
}

void heartbeatNow(ControlClient& client, Now now, Outbox& out) {
  const auto replicas = replicaAddresses(client);
  if (replicas.empty()) return;
  pickHome(client, replicas);
  client.heartbeatSentMs = now.steadyMs;
  out.send(client.home,
           SessionHeartbeat{describe(client), ++client.heartbeat, now.steadyMs, client.membership.version,
                            client.membersDigest, client.answeredHeartbeat, mostConfigBytes(client.settings)});
}

void sessionTick(ControlClient& client, Now now, Outbox& out) {
  const auto& bounds = client.settings.bounds;
  if (!holdsSession(client) || now.steadyMs - client.heartbeatSentMs < bounds.heartbeatMs()) return;
  if (!isReplica(client) && homeIsOfNoUse(client, now)) {
    nextHome(client);
    client.grantedMs = now.steadyMs - bounds.leaseMs / 4;
    client.renewedMs = now.steadyMs;
  }
  heartbeatNow(client, now, out);
}

void heardGrant(ControlClient& client, const Address& from, const SessionGrant& grant, Now now, Outbox& out) {
  if (!answersThisProcess(client, grant) || grant.sentMs > now.steadyMs) return;
  if (ofAnotherFleet(client, grant.membership)) {
    if (!std::exchange(client.strange, true))
      out.alarms.push_back("a replica of another membership than the one known here is not listened to");
    return;
  }
  client.strange = false;
  client.grantedMs = now.steadyMs;
  client.answeredHeartbeat = std::max(client.answeredHeartbeat, grant.heartbeat);
  if (grant.takesEdits)
    client.editTakers.insert(from);
  else
    client.editTakers.erase(from);
  heardConfigOffer(client, from, grant, now, out);
  // A chosen configuration is one however late it arrives. A narrow link may take longer than a lease to bring it.
  if (!takeConfig(client, grant, now, out) || !inTime(grant, now)) return;
  renewSession(client, grant, now, out);
}

void heardReferral(ControlClient& client, const Address& from, const Referral& referral) {
  if (isReplica(client) || from != client.home || referral.replicas.empty()) return;
  client.referred = referral.replicas;
  client.home = referral.replicas[(mix(client.id.view()) + client.heartbeat) % referral.replicas.size()];
}

}  // namespace tulip::control
