#include "simulator/sim.hpp"

namespace tulip::simulator {

using namespace transport;

void Sim::ask(Host& host, Ask text, std::function<void(Reply)> done) {
  const auto travelUs = callTravelUs(host, text.body.size(), false);
  after(travelUs, [this, &host, text = std::move(text), done = std::move(done)]() mutable {
    if (!host.up) {
      after(travelTime(), [done] { done({true, 0, 0, {}}); });
      return;
    }
    const auto requestId = ++host.nextRequest;
    text.requestId = requestId;
    if (text.deadlineMs == 0) text.deadlineMs = plan.bounds.callMs;
    const int life = host.lives;
    host.asking[requestId] = std::move(done);
    host.askText[requestId] = text;
    const auto deadlineUs = text.deadlineMs * 1000;
    after(deadlineUs, [this, &host, life, requestId, method = text.method] {
      if (!host.up || host.lives != life || !host.asking.contains(requestId)) return;
      if (now_ < host.frozenUntilUs) {
        auto lost = std::move(host.asking[requestId]);
        host.asking.erase(requestId);
        host.askText.erase(requestId);
        lost({true, 0, 0, {}});
        return;
      }
      const auto& row = rowOf(method == "GET" ? Kind::deadlinePassed : Kind::unknownOutcome);
      reply(host, requestId,
            {false, row.status, plan.bounds.leaseMs / 2, "{\"error\":\"" + std::string(row.name) + "\"}"});
    });
    give(host, text);
  });
}

void Sim::loseCallers(Host& host, double share) {
  std::vector<std::uint64_t> lost;
  for (const auto& [requestId, done] : host.asking) lost.push_back(requestId);
  std::sort(lost.begin(), lost.end());
  for (const auto requestId : lost) {
    if (share < 1.0 && !chance(share)) continue;
    after(travelTime(), [done = std::move(host.asking[requestId])] { done({true, 0, 0, {}}); });
    host.asking.erase(requestId);
    host.askText.erase(requestId);
  }
}

void Sim::reply(Host& host, std::uint64_t requestId, Reply reply) {
  auto found = host.asking.find(requestId);
  if (found == host.asking.end()) return;
  auto done = std::move(found->second);
  host.asking.erase(found);
  host.askText.erase(requestId);
  const auto travelUs = callTravelUs(host, reply.body.size(), true);
  after(travelUs, [done = std::move(done), reply = std::move(reply)] { done(reply); });
}

}  // namespace tulip::simulator
