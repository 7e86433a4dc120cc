#pragma once
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "base/settings.hpp"
#include "config/config.hpp"
#include "transport/core.hpp"

namespace tulip::control {

inline const std::string kConfigKey = "chart";

struct Edit {
  bool whole = false;
  std::string body;
  std::optional<Version> expected;
  std::string name;
  bool sections = false;           // only the top-level sections that body names are replaced, each whole
  Version operatorVersion = 0;     // the operator's own number: must rise; 0: none given
  std::optional<Version> basedOn;  // the edition that must be current
};

enum class Phase { queued, prepare, accept, learn, done };

struct Proposal {
  std::uint64_t requestId = 0;
  std::string key;
  std::optional<Edit> edit;
  std::string fixedValue;
  Ballot ballot;
  Phase phase = Phase::queued;
  std::map<Address, transport::RegisterPromise> promises;
  std::set<Address> accepts;
  std::string value;
  std::optional<Ballot> judgedOn;  // the accepted ballot that value was made from
  bool changes = false;
  Version version = 0;
  int status = 200;
  Kind kind = Kind::ok;
  std::string body;
  Millis startedMs = 0;
  Millis deadlineMs = 0;
  Millis sentMs = 0;
  Millis retryAtMs = 0;
  Millis learnedMs = -1;
  std::map<Address, transport::AckState> states;
  std::map<Address, Millis> committedMs;  // when a voter was last sent the chosen value itself
  int attempts = 0;
};

struct ControlClient {
  Settings settings;
  DaemonId id;
  std::string incarnation;
  Incarnation process;  // the same, as frames carry it
  Address home;
  std::vector<Address> referred;
  std::uint64_t heartbeat = 0;
  std::uint64_t grantedHeartbeat = 0;  // the newest that was answered
  Millis heartbeatSentMs = -1000000;
  Millis grantedMs = -1000000;
  Millis sessionUntilMs = -1000000;
  Version configVersion = 0;
  std::string configText;
  std::shared_ptr<const config::Config> config = std::make_shared<config::Config>();
  transport::LeaderHint leader;
  transport::Membership membership;
  std::vector<transport::Member> members;
  std::uint64_t membersDigest = 0;
  Millis fleetMs = 0;
  Millis fleetAtMs = -1;
  bool ready = false;
  bool leaving = false;
  bool strange = false;
  std::vector<Proposal> proposals;
  std::uint64_t ballotNumber = 0;
  Ballot knownBallot;  // a ballot of the configuration's register and its value
  std::string knownValue;
  std::uint64_t proposed = 0, chosen = 0, contended = 0;
};

ControlClient makeControlClient(const Settings& settings, const DaemonId& id, std::string incarnation);
bool sessionLive(const ControlClient& client, transport::Now now);
Millis fleetNow(const ControlClient& client, transport::Now now);
void raiseFleet(ControlClient& client, Millis fleetMs, transport::Now now);
void setFleet(ControlClient& client, Millis fleetMs, transport::Now now);
std::vector<Address> replicaAddresses(const ControlClient& client);
std::vector<Address> voterAddresses(const ControlClient& client);
std::size_t majority(std::size_t count);

bool clientHeard(ControlClient& client, const transport::Heard& heard, transport::Now now, transport::Outbox& out);
void clientTick(ControlClient& client, transport::Now now, transport::Outbox& out);
void heartbeatNow(ControlClient& client, transport::Now now, transport::Outbox& out);
void proposeConfig(ControlClient& client, std::uint64_t requestId, Edit edit, Millis deadlineMs, transport::Now now,
                   transport::Outbox& out);
void proposeFixed(ControlClient& client, std::string key, std::string value, transport::Now now,
                  transport::Outbox& out);
bool proposing(const ControlClient& client, std::string_view key);
std::uint64_t mix(std::string_view text, std::uint64_t hash = kFnvOffset);
// Of what matters of the members; ages only as silent for a term or not. Never 0.
std::uint64_t digestOf(const std::vector<transport::Member>& members, Millis leaseMs, bool withAcked = true);

void answerKind(transport::Outbox& out, std::uint64_t requestId, Kind kind, const Bounds& bounds,
                std::string_view detail = {});

}  // namespace tulip::control
