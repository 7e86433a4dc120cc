#pragma once
/// Sessions of a daemon with a replica: heartbeats, grants, referrals, and the fleet's clock that comes with them.
#include <string>
#include <vector>

#include "transport/core.hpp"

namespace tulip::control {

struct ControlClient;

/// Whether what the daemon knows holds every change of the configuration that was acknowledged before now.
bool sessionLive(const ControlClient& client, transport::Now now);

Millis fleetNow(const ControlClient& client, transport::Now now);
void raiseFleet(ControlClient& client, Millis fleetMs, transport::Now now);
void setFleet(ControlClient& client, Millis fleetMs, transport::Now now);

/// Takes the membership, and starts the changes that are under way anew at its voters.
void adoptMembership(ControlClient& client, const transport::Membership& membership, transport::Now now,
                     transport::Outbox& out);

/// Acts on a newer version of the configuration, and acknowledges it.
void installConfig(ControlClient& client, Version version, std::string text, transport::Now now,
                   transport::Outbox& out);

void heartbeatNow(ControlClient& client, transport::Now now, transport::Outbox& out);
void sessionTick(ControlClient& client, transport::Now now, transport::Outbox& out);
void heardGrant(ControlClient& client, const Address& from, const transport::SessionGrant& grant, transport::Now now,
                transport::Outbox& out);
void heardReferral(ControlClient& client, const Address& from, const transport::Referral& referral);

std::uint64_t mix(std::string_view text, std::uint64_t hash = kFnvOffset);
/// Of what matters of the members; ages only as silent for a lease or not. Never 0.
std::uint64_t digestOf(const std::vector<transport::Member>& members, Millis leaseMs, bool withAcked = true);

}  // namespace tulip::control
