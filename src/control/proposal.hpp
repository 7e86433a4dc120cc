#pragma once
/// Changes of registers: two rounds at a majority of the voters, and for the configuration the wait until every daemon
/// with a live session has the change.
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "control/edit_forwarding.hpp"
#include "transport/core.hpp"

namespace tulip::control {

struct ControlClient;

/// The register that holds the configuration.
inline const std::string kConfigKey = "chart";

/// Changes on their way at one daemon, and as many more that it has handed on.
constexpr std::size_t kMostProposals = 64;

enum class Phase { queued, prepare, accept, learn, done };

/// One change on its way, from the request until its answer.
struct Proposal {
  std::uint64_t requestId = 0;
  std::vector<EditAsker> askers;  // that are answered in place of a request
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
  Millis acceptingMs = -1;  // when its second round began
  Millis chosenMs = -1;
  Millis deadlineMs = 0;
  Millis sentMs = 0;
  int resends = 0;         // of the present phase's messages
  Millis roundsAtMs = -1;  // when the present ballot's rounds began
  Millis retryAtMs = 0;
  Millis learnedMs = -1;
  std::map<Address, transport::AckState> states;
  std::map<Address, Millis> committedMs;  // when a voter was last sent the chosen value itself
  int attempts = 0;
};

/// Proposes a change of the configuration, or hands it to the home replica to propose; the request is answered by
/// deadlineMs from now.
void proposeConfig(ControlClient& client, std::uint64_t requestId, Edit edit, Millis deadlineMs, transport::Now now,
                   transport::Outbox& out);

/// Proposes a change of the configuration at this daemon, whoever proposes for others.
void proposeHere(ControlClient& client, std::uint64_t requestId, Edit edit, Millis deadlineMs, transport::Now now,
                 transport::Outbox& out);

/// On a replica: proposes a change of the configuration for another daemon.
void proposeConfigFor(ControlClient& client, EditAsker asker, Edit edit, Millis deadlineMs, transport::Now now,
                      transport::Outbox& out);

/// Proposes a value for a register that is still empty; completes what is there otherwise.
void proposeFixed(ControlClient& client, std::string key, std::string value, transport::Now now,
                  transport::Outbox& out);

bool proposing(const ControlClient& client, std::string_view key);

void heardPromise(ControlClient& client, const Address& from, const transport::RegisterPromise& reply,
                  transport::Now now, transport::Outbox& out);
void heardAccepted(ControlClient& client, const Address& from, const transport::RegisterAccepted& reply,
                   transport::Now now, transport::Outbox& out);
void heardAckState(ControlClient& client, const Address& from, const transport::AckState& reply, transport::Now now,
                   transport::Outbox& out);

/// Resends, retries and gives up what is due.
void proposalsTick(ControlClient& client, transport::Now now, transport::Outbox& out);

/// Starts the rounds under way again at the voters of the membership that the client now knows.
void proposalsMembershipChanged(ControlClient& client, transport::Now now, transport::Outbox& out);

}  // namespace tulip::control
