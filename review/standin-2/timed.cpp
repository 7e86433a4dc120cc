#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>

#include "fleet.hpp"
#include "parts.hpp"

namespace review {

namespace {

constexpr int kTimedJobs = 100, kTimes = 8760;      // every hour for a year
constexpr Millis kHandInMs = 25000;                 // no more of them are handed in after that
constexpr int kTries = 5;                           // of a client: the first and, at this site, four more
constexpr Millis kEveryMs = 3600000;
constexpr Millis kFinishMs = 14000;                 // finish_s
constexpr Millis kRestartMs = 1000;
constexpr long long kEdgeMb = 260, kSideMb = 128;   // memory_mb of the settings

long long residentMb(pid_t pid) {
  const auto file = "/proc/" + std::to_string(pid) + "/statm";
  long long pages = 0, resident = 0;
  if (FILE* in = std::fopen(file.c_str(), "r")) {
    if (std::fscanf(in, "%lld %lld", &pages, &resident) != 2) resident = 0;
    std::fclose(in);
  }
  return resident * ::sysconf(_SC_PAGESIZE) >> 20;
}

// The platform: a process over memory_mb is killed, and started again a second later.
class Platform {
 public:
  explicit Platform(Fleet& fleet) : fleet_(fleet), thread_([this] { loop(); }) {}
  ~Platform() { stop(); }

  void stop() {
    over_ = true;
    if (thread_.joinable()) thread_.join();
  }

  std::map<std::string, int> kills;  // by machine
  long long mostEdgeMb = 0, mostSideMb = 0;

 private:
  void loop() {
    while (!over_) {
      for (auto& edge : fleet_.edges) look(edge, kEdgeMb, mostEdgeMb);
      for (auto& agent : fleet_.agents) look(agent, kSideMb, mostSideMb);
      sleepMs(5);
    }
  }

  void look(Process& process, long long boundMb, long long& mostMb) {
    if (const auto due = dueMs_.find(process.name); due != dueMs_.end()) {
      if (steadyMs() < due->second) return;
      dueMs_.erase(due);
      fleet_.spawn(process, false);
      return;
    }
    const auto mb = residentMb(process.pid);
    mostMb = std::max(mostMb, mb);
    if (mb <= boundMb) return;
    ::kill(process.pid, SIGKILL);
    ::waitpid(process.pid, nullptr, 0);
    process.pid = -1;
    ++kills[process.name];
    dueMs_[process.name] = steadyMs() + kRestartMs;
    note("platform: " + process.name + " holds " + std::to_string(mb) + " MB, over memory_mb, and is killed");
  }

  Fleet& fleet_;
  std::map<std::string, Millis> dueMs_;  // of machines whose process is to be started again
  std::atomic<bool> over_{false};
  std::thread thread_;
};

}  // namespace

// A job that runs each hour for a year, of one small task, is handed in again and again. None of them is due yet.
int timed(bool trouble) {
  Fleet fleet(3, 6);
  fleet.config = configOf({{"urgent", 0, 4, 1000, 1.5}, {"refresh", 2, 3, 4000, 3.2}});
  if (!fleet.boot()) return 2;
  Platform platform(fleet);
  std::vector<std::string> accepted;
  int number = 0;
  const auto ordinary = [&] {
    const auto path = "/urgent/" + idOf(0xa, number);
    const auto body = jobOf(1, 1100, 3300, 1000, "1000,0,1100", false);
    if (fleet.clientCall("POST", path, body, number++, 1).status == 200) accepted.push_back(path);
  };
  for (int i = 0; i < 10; ++i) {
    ordinary();
    sleepMs(300);
  }
  if (trouble) {
    const auto wallMs = std::chrono::duration_cast<std::chrono::milliseconds>(
                            std::chrono::system_clock::now().time_since_epoch())
                            .count();
    auto body = jobOf(1, 500, 256, 1000, "1000,0,500", false);
    body.pop_back();
    body += ",\"times\":" + std::to_string(kTimes) + ",\"first_ms\":" + std::to_string(wallMs + kEveryMs) +
            ",\"every_ms\":" + std::to_string(kEveryMs) + "}";
    const auto untilMs = steadyMs() + kHandInMs;
    for (int i = 0; i < kTimedJobs && steadyMs() < untilMs; ++i) {
      const auto path = "/refresh/" + idOf(0xb, i);
      if (fleet.clientCall("POST", path, body, i, kTries).status == 200) accepted.push_back(path);
      sleepMs(100);
    }
  }
  for (int i = 0; i < 20; ++i) {
    ordinary();
    sleepMs(300);
  }
  note("the traffic has ended; " + std::to_string(accepted.size()) + " jobs were accepted");
  sleepMs(kFinishMs);
  int unanswered = 0, asked = 0;
  for (std::size_t i = 0; i < accepted.size() && asked < 6; i += std::max<std::size_t>(1, accepted.size() / 6), ++asked)
    unanswered += fleet.clientCall("GET", accepted[i], "", static_cast<int>(i), 5).status != 200;
  platform.stop();
  std::string kills;
  for (const auto& [name, times] : platform.kills) kills += " " + name + " " + std::to_string(times) + ",";
  note("most MB held by a scheduler " + std::to_string(platform.mostEdgeMb) + ", by an agent " +
       std::to_string(platform.mostSideMb) + "; killed for memory:" + (kills.empty() ? " none" : kills));
  note(std::to_string(unanswered) + " of " + std::to_string(asked) + " accepted jobs got no answer, at five tries each");
  if (unanswered > 0) note("RULE: finish_s after the end of the traffic an accepted job gets no answer");
  return unanswered > 0 ? 1 : 0;
}

}  // namespace review
