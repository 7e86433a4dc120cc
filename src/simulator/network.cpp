#include "simulator/network.hpp"

namespace tulip::simulator {

void Network::heal(const std::string& machine) {
  std::erase_if(cuts_, [&](const Link& link) { return link.first == machine || link.second == machine; });
}

void Network::stall(const std::string& from, const std::string& to, Micros untilUs) {
  auto& stall = stalls_[{from, to}];
  if (untilUs > stall.untilUs) stall.untilUs = untilUs;
}

Micros Network::readableAt(const std::string& from, const std::string& to, Micros nowUs) {
  constexpr int kMostWaiting = 256;
  const auto found = stalls_.find({from, to});
  if (found == stalls_.end()) return nowUs;
  auto& stall = found->second;
  if (nowUs >= stall.untilUs) {
    stalls_.erase(found);
    return nowUs;
  }
  return ++stall.waiting > kMostWaiting ? 0 : stall.untilUs;
}

void Network::reset(const std::string& machine, Micros keptUntilUs, Micros nowUs) {
  resets_[machine] = {keptUntilUs, nowUs};
}

bool Network::lostByReset(const std::string& from, const std::string& to, Micros sentUs) const {
  return lostAt(from, sentUs) || lostAt(to, sentUs);
}

bool Network::lostAt(const std::string& machine, Micros sentUs) const {
  const auto found = resets_.find(machine);
  return found != resets_.end() && sentUs > found->second.keptUntilUs && sentUs <= found->second.atUs;
}

}  // namespace tulip::simulator
