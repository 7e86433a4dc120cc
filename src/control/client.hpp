#pragma once
/// What each daemon knows of the control side, and what it asks of it: its session, the configuration and its changes.
#include <memory>
#include <set>
#include <vector>

#include "base/settings.hpp"
#include "config/config.hpp"
#include "control/config_transfer.hpp"
#include "control/edit.hpp"
#include "control/edit_forwarding.hpp"
#include "control/proposal.hpp"
#include "control/session.hpp"
#include "transport/core.hpp"

namespace tulip::control {

struct ControlClient {
  Settings settings;
  DaemonId id;
  std::string incarnation;
  Incarnation process;  // the same, as frames carry it
  Address home;
  std::vector<Address> referred;
  std::uint64_t heartbeat = 0;
  std::uint64_t grantedHeartbeat = 0;   // the newest whose grant renewed the session
  std::uint64_t answeredHeartbeat = 0;  // the newest that was answered, with or without renewing the session
  Millis heartbeatSentMs = -1000000;
  Millis grantedMs = -1000000;
  Millis renewedMs = -1000000;  // when a grant last renewed the session
  Millis sessionUntilMs = -1000000;
  Version configVersion = 0;
  std::string configText;
  std::shared_ptr<const config::Config> config = std::make_shared<config::Config>();
  bool configReads = false;       // config was read from configText without a fault
  ConfigTransfer configTransfer;  // of a newer version, where it is read in pieces
  transport::LeaderHint leader;
  transport::Membership membership;
  std::vector<transport::Member> members;
  std::uint64_t membersDigest = 0;
  Millis fleetMs = 0;
  Millis fleetAtMs = -1;
  bool ready = false;
  bool leaving = false;
  bool strange = false;
  std::set<Address> editTakers;  // replicas whose grants say that they propose edits for others
  std::vector<ForwardedEdit> forwardedEdits;
  std::uint64_t editsForwarded = 0;
  std::vector<Proposal> proposals;
  std::uint64_t ballotNumber = 0;
  std::uint64_t namesGiven = 0;  // to edits that came without one
  Ballot knownBallot;            // a ballot of the configuration's register and its value
  std::string knownValue;
  Ballot chosenBallot;          // the newest of that register under which a proposal of this daemon was chosen
  Millis changedMs = -1000000;  // when the rounds of the last change began
  Millis roundsMs = 0;          // how long the two rounds of its last chosen value there took
  Address configProposer;       // on a replica: the other that proposes changes for all; empty: itself
  std::uint64_t proposed = 0, chosen = 0, contended = 0;
};

ControlClient makeControlClient(const Settings& settings, const DaemonId& id, std::string incarnation);

std::vector<Address> replicaAddresses(const ControlClient& client);
std::vector<Address> voterAddresses(const ControlClient& client);
std::size_t majority(std::size_t count);

/// False for a message that is none of the client's.
bool clientHeard(ControlClient& client, const transport::Heard& heard, transport::Now now, transport::Outbox& out);
void clientTick(ControlClient& client, transport::Now now, transport::Outbox& out);

/// Answers a request by an error of the closed list, with its usual pause before the next try.
void answerKind(transport::Outbox& out, std::uint64_t requestId, Kind kind, const Bounds& bounds,
                std::string_view detail = {});

}  // namespace tulip::control
