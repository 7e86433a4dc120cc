// standin CASE ROOT FOLDER RECORD TROUBLE
// Plays one case. Exit code 1: the rule was broken, 0: it held, 2: the case couldn't run.
#include <signal.h>

#include <iostream>

#include "fleet.hpp"

using namespace standin;

namespace {

constexpr int kBroken = 1, kHeld = 0, kNotRun = 2;

struct Task {
  int count = 1, cpu = 500, memMb = 256;
  Millis estimateMs = 500;
  std::string needs = {};
};

std::string jobBody(const std::string& text, const Task& task, const std::string& more = "") {
  return "{\"job\":" + quoted(text) + ",\"stages\":[{\"count\":" + std::to_string(task.count) +
         ",\"cpu\":" + std::to_string(task.cpu) + ",\"mem_mb\":" + std::to_string(task.memMb) +
         ",\"estimate_ms\":" + std::to_string(task.estimateMs) +
         (task.needs.empty() ? "" : ",\"needs\":" + quoted(task.needs)) + "}]" + more + "}";
}

const std::string kPrefix = "/one/";

// A fleet that has its first configuration and has done a first job; the first worker is of kind b, the others of a.
struct Stage {
  Fleet fleet;
  Workers workers;
  Client client{fleet};
  bool ready = false;

  Stage(const std::string& root, const std::string& folder, int sides, std::vector<std::string> services = {"svc"})
      : fleet(root, folder, sides) {
    // The last workers are of the last service.
    for (std::size_t i = 0; i < fleet.sides.size(); ++i)
      fleet.sides[i]->service = services[i * services.size() / fleet.sides.size()];
    fleet.start();
    for (int i = 0; i < sides; ++i)
      workers.list.push_back(
          std::make_unique<Worker>(fleet, workers, i, i == 0 ? "b" : "a", "r1-" + std::to_string(i / 3)));
    if (!configure(fleet, {7, 0, {{"r-one", kPrefix, services.front(), 1, 4, 4000, 3}}, services}, 20000)) return;
    const auto first = freshId();
    if (client.submit(kPrefix, first, jobBody("ms=500", {2}), steadyMs() + 10000) != 200) return;
    ready = ended(first, steadyMs() + 10000);
    record(ready ? "the first job is finished" : "the first job is not finished");
  }

  ~Stage() {
    for (auto& worker : workers.list) worker->stop();
    fleet.stopAll();
  }

  bool ended(const std::string& id, Millis untilMs) {
    while (steadyMs() < untilMs) {
      if (client.phase(kPrefix, id, untilMs) == "finished") return true;
      sleepMs(100);
    }
    return false;
  }
};

int verdict(const std::vector<std::string>& broken) {
  for (const auto& each : broken) {
    record("BROKEN " + each);
    std::cout << each << std::endl;
  }
  record(broken.empty() ? "the rule held" : "the rule was broken");
  return broken.empty() ? kHeld : kBroken;
}

// A worker goes down and up twice; the only beat of the life between comes 3 s late.
int lateBeat(const std::string& root, const std::string& folder, bool trouble) {
  constexpr Millis kHalfPeriodMs = 600, kLateMs = 3000;
  Stage stage(root, folder, 4);
  if (!stage.ready) return kNotRun;
  auto& worker = *stage.workers.list.front();
  Proxy proxy(stage.fleet.edges.front()->ip, stage.fleet.sideControl(0), kLateMs);
  if (proxy.address().empty()) return kNotRun;
  if (trouble) {
    worker.sendBy(proxy.address());
    worker.crash(kHalfPeriodMs);  // down, then up
    sleepMs(2 * kHalfPeriodMs);
    worker.crash(kHalfPeriodMs);
    worker.sendBy("");
  }
  sleepMs(1200);
  const auto id = freshId();
  const Task task{6, 500, 256, 3500, "b"};
  if (stage.client.submit(kPrefix, id, jobBody("ms=3500", task), steadyMs() + 5000) != 200) return kNotRun;
  const auto endMs = steadyMs() + 30000;
  stage.ended(id, endMs);
  record("job " + id + ": " + std::to_string(task.count) + " tasks, " + std::to_string(stage.workers.startsOf(id)) +
         " starts, " + std::to_string(stage.workers.doneOf(id)) + " ends done");
  if (stage.workers.doneOf(id) < static_cast<std::size_t>(task.count)) return kNotRun;
  sleepMs(1000);
  return verdict(stage.workers.twice());
}

// A queue is moved to another service and the service before is removed, by one configuration.
int movedQueue(const std::string& root, const std::string& folder, bool trouble) {
  constexpr Millis kWatchMs = 30000, kMostMs = 3000;
  Stage stage(root, folder, 4, {"svc-old", "svc-new"});
  if (!stage.ready) return kNotRun;
  // Two steps: the second one's turn comes when the first is done.
  const auto id = freshId();
  const std::string steps =
      "{\"job\":\"ms=3000\",\"stages\":[{\"count\":2,\"cpu\":500,\"mem_mb\":256,\"estimate_ms\":3000},"
      "{\"count\":2,\"cpu\":500,\"mem_mb\":256,\"estimate_ms\":3000,\"depends_on\":[0]}]}";
  if (stage.client.submit(kPrefix, id, steps, steadyMs() + 5000) != 200) return kNotRun;
  sleepMs(1000);
  if (trouble &&
      !configure(stage.fleet, {9, 7, {{"r-one", kPrefix, "svc-new", 1, 4, 4000, 3}}, {"svc-new"}}, steadyMs() + 6000))
    return kNotRun;
  const auto changedMs = steadyMs();
  const auto probe = freshId();
  if (stage.client.submit(kPrefix, probe, jobBody("ms=500", {2}), steadyMs() + 5000) != 200) return kNotRun;
  if (!stage.ended(probe, steadyMs() + 10000)) return kNotRun;
  record("a job handed in after the change is finished");
  Millis idleSinceMs = -1, longestMs = 0;
  bool ends = false;
  while (steadyMs() < changedMs + kWatchMs && !ends) {
    sleepMs(200);
    ends = stage.client.phase(kPrefix, id, steadyMs() + 1500) == "finished";
    const std::lock_guard lock(stage.workers.guard);
    int firstDone = 0;
    bool runs = false;
    for (const auto& life : stage.workers.lives) {
      firstDone += life.task.rfind(id + ".0.0.", 0) == 0 && life.how == "done" && life.notedMs >= 0;
      runs = runs || (life.toMs < 0 && life.task.rfind(id + ".", 0) == 0);
    }
    if (ends || runs || firstDone < 2)
      idleSinceMs = -1;
    else if (idleSinceMs < 0)
      idleSinceMs = steadyMs();
    else
      longestMs = std::max(longestMs, steadyMs() - idleSinceMs);
  }
  const auto text = "job " + id + ": " + std::to_string(stage.workers.startsOf(id)) + " starts, " +
                    std::to_string(stage.workers.doneOf(id)) + " of 4 tasks done, " +
                    (ends ? "finished" : "not finished " + std::to_string(kWatchMs / 1000) + " s after the change") +
                    "; nothing running for " + std::to_string(longestMs) + " ms with its second step's turn come";
  record(text);
  return verdict(ends || longestMs <= kMostMs ? std::vector<std::string>{} : std::vector<std::string>{text});
}

// All machines of the core lose power for 5 s. A job with times was accepted before that.
int timesLate(const std::string& root, const std::string& folder, bool trouble) {
  constexpr Millis kDarkMs = 5000, kFirstInMs = 34000, kEveryMs = 6000, kMostMs = 3000;
  constexpr int kTimes = 3;
  Stage stage(root, folder, 4);
  if (!stage.ready) return kNotRun;
  const auto id = freshId();
  const auto firstWallMs = wallMs() + kFirstInMs;
  const auto firstMs = steadyMs() + kFirstInMs;
  const auto times = ",\"times\":" + std::to_string(kTimes) + ",\"first_ms\":" + std::to_string(firstWallMs) +
                     ",\"every_ms\":" + std::to_string(kEveryMs);
  if (stage.client.submit(kPrefix, id, jobBody("ms=500", {1}, times), steadyMs() + 5000) != 200) return kNotRun;
  sleepMs(1000);
  if (trouble) {
    for (auto& edge : stage.fleet.edges) stage.fleet.setWanted(*edge, false);
    for (auto& edge : stage.fleet.edges) stage.fleet.kill(*edge, SIGKILL);
    sleepMs(kDarkMs);
    for (auto& edge : stage.fleet.edges) stage.fleet.setWanted(*edge, true);
    record("the core has power again");
  }
  // The fleet is whole and serves long before the first time falls due.
  const auto probe = freshId();
  sleepMs(3000);
  if (stage.client.submit(kPrefix, probe, jobBody("ms=500", {1}), steadyMs() + 12000) != 200) return kNotRun;
  if (!stage.ended(probe, steadyMs() + 5000) || steadyMs() > firstMs - 7000) return kNotRun;
  record("a job handed in after that is finished " + std::to_string(firstMs - steadyMs()) +
         " ms before the first time falls due");
  stage.ended(id, firstMs + (kTimes - 1) * kEveryMs + kDarkMs + 14000);
  std::vector<std::string> broken;
  for (int k = 0; k < kTimes; ++k) {
    const auto task = id + "." + std::to_string(k) + ".0.0";
    const auto dueMs = firstMs + k * kEveryMs;
    Millis startedMs = -1;
    for (const auto& life : stage.workers.lives)
      if (life.task == task && startedMs < 0) startedMs = life.fromMs;
    const auto text = "time " + std::to_string(k) + " was due at " + std::to_string(dueMs) + " ms and " +
                      (startedMs < 0 ? "did not start"
                                     : "started at " + std::to_string(startedMs) + " ms, " +
                                           std::to_string(startedMs - dueMs) + " ms later");
    record(text);
    if (startedMs < 0 || startedMs - dueMs > kMostMs) broken.push_back(text + ", with all workers idle");
  }
  return verdict(broken);
}

// The agent beside a worker freezes for 3 s, while more small tasks end there than a worker lists ends in one beat.
int manyEnds(const std::string& root, const std::string& folder, bool trouble) {
  constexpr Millis kRunsMs = 2000, kFrozenMs = 3000;
  Stage stage(root, folder, 4);
  if (!stage.ready) return kNotRun;
  const auto id = freshId();
  const Task task{600, 100, 200, 3000, "b"};
  if (stage.client.submit(kPrefix, id, jobBody("ms=3000 spread=20", task), steadyMs() + 8000) != 200) return kNotRun;
  sleepMs(kRunsMs);
  if (trouble) {
    stage.fleet.kill(*stage.fleet.sides.front(), SIGSTOP);
    sleepMs(kFrozenMs);
    stage.fleet.kill(*stage.fleet.sides.front(), SIGCONT);
  }
  const bool ends = stage.ended(id, steadyMs() + 60000);
  record("job " + id + ": " + std::to_string(task.count) + " tasks, " + std::to_string(stage.workers.startsOf(id)) +
         " starts, " + std::to_string(stage.workers.doneOf(id)) + " ends done, " +
         std::to_string(stage.workers.endsOf("lapsed")) + " lapsed, " + (ends ? "finished" : "not finished"));
  if (!ends) return kNotRun;
  sleepMs(1000);
  auto broken = stage.workers.twice();
  const auto count = broken.size();
  constexpr std::size_t kMostTold = 5;
  if (count > kMostTold) {
    broken.resize(kMostTold);
    broken.push_back("and " + std::to_string(count - kMostTold) + " more like these");
  }
  return verdict(broken);
}

// A large job comes: many small tasks, each with a text of 4,000 bytes.
int largeJob(const std::string& root, const std::string& folder, bool trouble) {
  constexpr std::size_t kTextBytes = 4000;
  constexpr Millis kWatchMs = 45000, kMostMs = 3000;
  Stage stage(root, folder, 4);
  if (!stage.ready) return kNotRun;
  const auto small = freshId(), large = freshId();
  const Task smallTask{8, 500, 256, 12000, "b"}, largeTask{1200, 20, 40, 2000, "b"};
  if (stage.client.submit(kPrefix, small, jobBody("ms=12000", smallTask), steadyMs() + 5000) != 200) return kNotRun;
  sleepMs(1000);
  std::string text = "ms=2000;";
  text.resize(trouble ? kTextBytes : 40, 'x');
  if (stage.client.submit(kPrefix, large, jobBody(text, largeTask), steadyMs() + 8000) != 200) return kNotRun;
  const auto sinceMs = steadyMs();
  Millis idleMs = 0, longestMs = 0;
  bool largeEnds = false, smallEnds = false;
  while (steadyMs() < sinceMs + kWatchMs && !(largeEnds && smallEnds)) {
    sleepMs(500);
    largeEnds = largeEnds || stage.client.phase(kPrefix, large, steadyMs() + 1500) == "finished";
    smallEnds = smallEnds || stage.client.phase(kPrefix, small, steadyMs() + 1500) == "finished";
    bool runs = largeEnds;
    {
      const std::lock_guard lock(stage.workers.guard);
      for (const auto& life : stage.workers.lives)
        runs = runs || (life.toMs < 0 && life.task.rfind(large + ".", 0) == 0);
    }
    if (runs) idleMs = steadyMs();
    longestMs = std::max(longestMs, steadyMs() - std::max(idleMs, sinceMs));
  }
  const auto tell = [&](const char* name, const std::string& id, const Task& task, bool ends) {
    return std::string(name) + " job " + id + ": " + std::to_string(task.count) + " tasks, " +
           std::to_string(stage.workers.startsOf(id)) + " starts, " + std::to_string(stage.workers.doneOf(id)) +
           " ends done, " + (ends ? "finished" : "not finished " + std::to_string(kWatchMs / 1000) + " s later");
  };
  record(tell("the small", small, smallTask, smallEnds));
  record(tell("the large", large, largeTask, largeEnds));
  record("runs that lapsed: " + std::to_string(stage.workers.endsOf("lapsed")) +
         ", answers of over 4 MiB: " + std::to_string(stage.workers.list.front()->tooLarge));
  std::vector<std::string> broken;
  if (!largeEnds && longestMs > kMostMs)
    broken.push_back("the large job had nothing running for " + std::to_string(longestMs) +
                     " ms with its turn come and three quarters of the service idle; " +
                     tell("the large", large, largeTask, largeEnds));
  if (!smallEnds) broken.push_back(tell("the small", small, smallTask, smallEnds));
  return verdict(broken);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 6) return kNotRun;
  const std::string which = argv[1], root = argv[2], folder = argv[3];
  const bool trouble = std::string(argv[5]) != "0";
  ::signal(SIGPIPE, SIG_IGN);
  openRecord(argv[4]);
  record(which + (trouble ? ", with the disruption" : ", without the disruption"));
  int code = kNotRun;
  if (which == "late-beat") code = lateBeat(root, folder, trouble);
  if (which == "times-late") code = timesLate(root, folder, trouble);
  if (which == "many-ends") code = manyEnds(root, folder, trouble);
  if (which == "moved-queue") code = movedQueue(root, folder, trouble);
  if (which == "large-job") code = largeJob(root, folder, trouble);
  record("exit code " + std::to_string(code));
  return code;
}
