#include <algorithm>

#include "fleet.hpp"
#include "parts.hpp"

namespace review {

namespace {

// Ordinary small jobs of the most urgent queue come all the time, each one task of a second; the service is nearly
// idle. Then one large gang job comes, and after it ordinary jobs of a less urgent queue.
constexpr Millis kUrgentEveryMs = 400;
constexpr Millis kWatchMs = 60000;
constexpr std::size_t kJobs = 12;
constexpr Millis kJobEveryMs = 3000;
constexpr Millis kStarvedMs = 3000;  // of the rule

}  // namespace

int starve(bool trouble) {
  Fleet fleet(3, 11);
  fleet.config = configOf({{"urgent", 0, 4, 1000, 1.5}, {"layout", 1, 4, 2000, 2.2}, {"refresh", 2, 3, 4000, 3.2}});
  if (!fleet.boot()) return 2;
  std::atomic<bool> over{false};
  std::thread urgent([&] {
    for (int i = 0; !over; ++i) {
      fleet.clientCall("POST", "/urgent/" + idOf(0xa, i), jobOf(1, 1100, 3300, 1000, "1000,0,1100", false), i);
      sleepMs(kUrgentEveryMs);
    }
  });
  sleepMs(5000);
  if (trouble) {
    const auto reply = fleet.clientCall("POST", "/layout/" + idOf(0xb, 1),
                                        jobOf(22, 8000, 8200, 5000, "5000,22,8000", true));
    if (reply.status != 200) return over = true, urgent.join(), 2;
  }
  sleepMs(4000);
  struct Waiting {
    std::string id;
    Millis sentMs = 0, idleMs = 0, lastMs = 0;
    bool begun = false, starved = false;
  };
  std::vector<Waiting> jobs;
  const auto watchMs = steadyMs();
  while (steadyMs() - watchMs < kWatchMs) {
    if (jobs.size() < kJobs && steadyMs() - watchMs >= static_cast<Millis>(jobs.size()) * kJobEveryMs) {
      const auto id = idOf(0xc, static_cast<int>(jobs.size()));
      const auto reply = fleet.clientCall("POST", "/refresh/" + id, jobOf(2, 800, 2300, 4000, "1800,0,800", false));
      if (reply.status != 200) return over = true, urgent.join(), 2;
      jobs.push_back({id, steadyMs(), 0, steadyMs()});
    }
    sleepMs(20);
    long long used = 0;
    int roomy = 0;  // tasks of 800 thousandths of a core for which there is room
    for (auto& worker : fleet.workers) {
      const auto mine = worker->cpuInUse();
      used += mine;
      roomy += static_cast<int>((worker->cpu - mine) / 800);
    }
    const bool counts = roomy >= 4 && used * 2 < 16000LL * 11;
    const std::lock_guard held(fleet.journal.lock);
    for (auto& job : jobs) {
      if (job.begun) continue;
      const auto nowMs = steadyMs();
      for (const auto& start : fleet.journal.starts) job.begun = job.begun || start.task.rfind(job.id, 0) == 0;
      if (job.begun) note("job " + job.id + " began " + std::to_string(nowMs - job.sentMs) + " ms after it was accepted");
      job.idleMs = counts ? job.idleMs + nowMs - job.lastMs : 0;
      job.lastMs = nowMs;
      if (job.begun || job.starved || job.idleMs <= kStarvedMs) continue;
      job.starved = true;
      note("RULE: for 3 s job " + job.id + " has nothing running, room for " + std::to_string(roomy) + " such tasks, " +
           std::to_string(used) + " of 176000 thousandths of a core in use");
    }
  }
  std::size_t starvedJobs = 0, never = 0;
  for (const auto& job : jobs) {
    starvedJobs += job.starved;
    never += !job.begun;
  }
  note(std::to_string(starvedJobs) + " of " + std::to_string(jobs.size()) + " jobs had nothing running for over 3 s, " +
       std::to_string(never) + " did not begin at all");
  const bool starved = starvedJobs > 0;
  over = true;
  urgent.join();
  return starved ? 1 : 0;
}

}  // namespace review
