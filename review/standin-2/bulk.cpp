#include <algorithm>
#include <cstdlib>

#include "fleet.hpp"
#include "parts.hpp"

namespace review {

namespace {

constexpr Millis kWatchMs = 40000;
constexpr Millis kStarvedMs = 3000;  // of the rule
constexpr int kTasks = 1200, kCpu = 10;

}  // namespace

// Ordinary small jobs come all the time. Then one job of many small tasks comes, with a text of 4,000 bytes.
int bulk(bool trouble) {
  Fleet fleet(3, 11);
  fleet.config = configOf({{"urgent", 0, 4, 1000, 1.5}, {"refresh", 2, 3, 4000, 3.2}});
  if (!fleet.boot()) return 2;
  std::atomic<bool> over{false};
  std::atomic<int> sent{0};
  std::thread urgent([&] {
    for (int i = 0; !over; ++i) {
      fleet.clientCall("POST", "/urgent/" + idOf(0xa, i), jobOf(1, 1100, 3300, 1000, "1000,0,1100", false), i);
      ++sent;
      sleepMs(400);
    }
  });
  sleepMs(5000);
  const auto id = idOf(0xb, 1);
  if (trouble) {
    std::string text = "1000,0," + std::to_string(kCpu) + ",";
    text.append(4000 - text.size(), 'x');
    const auto reply = fleet.clientCall("POST", "/refresh/" + id, jobOf(kTasks, kCpu, 16, 1000, text, false));
    if (reply.status != 200) return over = true, urgent.join(), 2;
  }
  const auto sentMs = steadyMs();
  bool starved = false;
  Millis idleMs = 0, lastMs = steadyMs();
  while (steadyMs() - sentMs < kWatchMs) {
    sleepMs(50);
    const auto nowMs = steadyMs();
    long long used = 0;
    std::size_t mine = 0;
    for (auto& worker : fleet.workers) {
      used += worker->cpuInUse();
      mine += worker->runningOf(id);
    }
    const bool counts = trouble && mine == 0 && used * 2 < 16000LL * 11;
    idleMs = counts ? idleMs + nowMs - lastMs : 0;
    lastMs = nowMs;
    if (idleMs > kStarvedMs && !starved) {
      starved = true;
      note("RULE: for 3 s the job has nothing running, " + std::to_string(used) +
           " of 176000 thousandths of a core in use, a task of it takes " + std::to_string(kCpu));
    }
  }
  over = true;
  urgent.join();
  long long done = 0;
  std::set<std::string> urgentBegun;
  {
    const std::lock_guard held(fleet.journal.lock);
    for (const auto& end : fleet.journal.ends) done += end.how == "done" && end.task.rfind(id, 0) == 0;
    for (const auto& start : fleet.journal.starts)
      if (start.task[0] == 'a') urgentBegun.insert(start.task);
  }
  if (trouble)
    note("after " + std::to_string(kWatchMs) + " ms: " + std::to_string(done) + " of " + std::to_string(kTasks) +
         " tasks of the large job are done");
  note("of " + std::to_string(sent.load()) + " urgent jobs " + std::to_string(urgentBegun.size()) + " have begun");
  if (trouble) fleet.clientCall("GET", "/refresh/" + id, "");
  return starved ? 1 : 0;
}

}  // namespace review
