#pragma once
#include <optional>

#include "agent/agent.hpp"
#include "control/alarms.hpp"
#include "control/replica.hpp"
#include "daemon/step_times.hpp"
#include "http/front.hpp"
#include "http/protocol_adapter.hpp"
#include "scheduler/scheduler.hpp"
#include "transport/peer_incarnations.hpp"
#include "transport/wire_counts.hpp"

namespace tulip::daemon {

struct Node {
  transport::PeerIncarnations incarnations;
  std::optional<control::ReplicaState> replica;
  std::optional<scheduler::SchedulerState> scheduler;
  std::optional<agent::AgentState> agent;
  std::vector<http::Rule> rules;
  Version compiledFor = 0;
  Millis leavingSinceMs = -1;
  std::shared_ptr<const http::ProtocolAdapter> adapter;  // for the faces beside the own interface
  std::map<std::uint64_t, http::Call> adapterCalls;
  control::AlarmState alarms;
  const transport::WireCounts* wire = nullptr;  // of its process; none in a simulated one
  const StepTimes* stepTimes = nullptr;         // likewise
  std::uint64_t asks = 0, rejectedAsks = 0, proxiedAsks = 0;
};

Node makeNode(const Settings& settings, const DaemonId& id, const std::string& incarnation, storage::Image image,
              transport::Now now);
control::ControlClient& clientOf(Node& node);
const control::ControlClient& clientOf(const Node& node);
void nodeStep(Node& node, const transport::Event& event, transport::Now now, transport::Outbox& out);

}  // namespace tulip::daemon
