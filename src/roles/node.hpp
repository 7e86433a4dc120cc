#pragma once
#include <optional>

#include "gangway/dialect.hpp"
#include "gangway/front.hpp"
#include "manifest/pilot.hpp"
#include "manifest/tender.hpp"
#include "watch/quay.hpp"

namespace tulip::roles {

struct Node {
  std::optional<watch::QuayState> quay;
  std::optional<manifest::PilotState> pilot;
  std::optional<manifest::TenderState> tender;
  std::vector<gangway::Rule> rules;
  Revision compiledFor = 0;
  Millis leavingSinceMs = -1;
  std::shared_ptr<const gangway::Dialect> dialect;  // for the faces beside the own interface
  std::map<std::uint64_t, gangway::Call> dialectCalls;
  std::uint64_t asks = 0, deniedAsks = 0, proxiedAsks = 0;
};

Node makeNode(const Env& env, const DaemonId& id, const std::string& incarnation, hold::Image image, signal::Now now);
watch::Crew& crewOf(Node& node);
void nodeStep(Node& node, const signal::Event& event, signal::Now now, signal::Outbox& out);

}  // namespace tulip::roles
