#include <signal.h>
#include <sys/wait.h>

#include <cstdlib>

#include "fleet.hpp"
#include "parts.hpp"

namespace review {

namespace {

constexpr Millis kDownMs = 1000;
constexpr Millis kWatchMs = 45000;

}  // namespace

// The whole system starts for the first time. One of its three core processes is killed soon after its start, and
// started again a second later with its disk and with the settings of that time.
int firstBoot(bool trouble) {
  Fleet fleet(3, 3);
  fleet.config = configOf({{"urgent", 0, 4, 1000, 1.5}});
  const char* at = std::getenv("KILL_AT_MS");
  const Millis killAtMs = at ? std::atoll(at) : 200;
  const char* which = std::getenv("KILL_EDGE");
  auto& victim = fleet.edges[which ? std::atoi(which) - 1 : 0];
  for (auto& edge : fleet.edges) fleet.spawn(edge, true);
  for (auto& agent : fleet.agents) fleet.spawn(agent, true);
  if (trouble) {
    sleepMs(killAtMs);
    ::kill(victim.pid, SIGKILL);
    ::waitpid(victim.pid, nullptr, 0);
    note("killed " + victim.name + " " + std::to_string(killAtMs) + " ms after its start");
    sleepMs(kDownMs);
    // For comparison only: a platform that would keep first_boot = true.
    const bool stays = std::getenv("FIRST_BOOT_STAYS") != nullptr;
    fleet.spawn(victim, stays);
    note("started " + victim.name + " again, first_boot = " + (stays ? "true" : "false"));
  }
  const auto sentMs = steadyMs();
  Reply reply;
  while (steadyMs() - sentMs < kWatchMs && reply.status != 200)
    reply = fleet.operatorCall("POST", "/api/Config.Replace", fleet.config, "0", 3000);
  if (reply.status != 200) {
    note("RULE: no configuration was taken and no request can be served for " + std::to_string(kWatchMs) + " ms");
    const auto asked = fleet.clientCall("POST", "/urgent/" + idOf(0xa, 1), jobOf(1, 500, 256, 900, "900,0,500", false));
    return asked.status == 200 ? 2 : 1;
  }
  return 0;
}

}  // namespace review
