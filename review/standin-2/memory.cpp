#include <signal.h>
#include <sys/wait.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "fleet.hpp"
#include "parts.hpp"

namespace review {

namespace {

constexpr Millis kWatchMs = 50000;
constexpr long long kEdgeMb = 260, kSideMb = 128;  // memory_mb of the settings

long long residentMb(pid_t pid) {
  const auto file = "/proc/" + std::to_string(pid) + "/statm";
  long long pages = 0, resident = 0;
  if (FILE* in = std::fopen(file.c_str(), "r")) {
    if (std::fscanf(in, "%lld %lld", &pages, &resident) != 2) resident = 0;
    std::fclose(in);
  }
  return resident * 4096 >> 20;
}

}  // namespace

// The platform keeps its bound for memory: a process over memory_mb is killed, and started again a second later.
int memory(bool trouble) {
  Fleet fleet(3, 11);
  fleet.config = configOf({{"urgent", 0, 4, 1000, 1.5}, {"refresh", 2, 3, 4000, 3.2}});
  if (!fleet.boot()) return 2;
  std::atomic<bool> over{false};
  std::atomic<int> killed{0};
  long long most[2] = {0, 0};
  std::thread platform([&] {
    while (!over) {
      for (auto* list : {&fleet.edges, &fleet.agents})
        for (auto& process : *list) {
          const bool edge = list == &fleet.edges;
          const auto mb = residentMb(process.pid);
          most[edge] = std::max(most[edge], mb);
          if (mb <= (edge ? kEdgeMb : kSideMb) || std::getenv("NO_BOUND")) continue;  // NO_BOUND: only measures
          ::kill(process.pid, SIGKILL);
          ::waitpid(process.pid, nullptr, 0);
          ++killed;
          note("platform: " + process.name + " holds " + std::to_string(mb) + " MB, over memory_mb, and is killed");
          sleepMs(1000);
          fleet.spawn(process, false);
        }
      sleepMs(5);
    }
  });
  sleepMs(1000);
  const auto id = idOf(0xb, 1);
  if (trouble) {
    const char* given = std::getenv("TASKS");
    std::string text = "1000,0,1,";
    text.append(4000 - text.size(), 'x');
    fleet.clientCall("POST", "/refresh/" + id, jobOf(given ? std::atoi(given) : 10000, 1, 4, 1000, text, false));
  }
  const auto sentMs = steadyMs();
  int sent = 0, taken = 0;
  while (steadyMs() - sentMs < kWatchMs) {
    const auto reply =
        fleet.clientCall("POST", "/urgent/" + idOf(0xa, sent), jobOf(1, 1100, 3300, 1000, "1000,0,1100", false), sent, 1);
    ++sent;
    taken += reply.status == 200;
    sleepMs(300);
  }
  over = true;
  platform.join();
  note("most MB held by a scheduler " + std::to_string(most[1]) + ", by an agent " + std::to_string(most[0]) +
       "; killed by the platform " + std::to_string(killed) + "; urgent jobs taken " + std::to_string(taken) + " of " +
       std::to_string(sent));
  return killed > 0 ? 1 : 0;
}

}  // namespace review
