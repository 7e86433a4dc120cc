// Capacity that is kept for a gang while other work could use it.
#include <CppUTest/TestHarness.h>

#include <map>

#include "config_of.hpp"
#include "scheduler/internal.hpp"

using namespace tulip;
using namespace tulip::transport;

namespace {

constexpr Millis kStepMs = 50;
constexpr Millis kReportPauseMs = 200;
constexpr Millis kLeaseMs = 1000;
constexpr Millis kMostIdleWaitMs = 3000;  // LOST of the pages: nothing running beside room, under half in use
constexpr int kWorkers = 11;
constexpr std::int64_t kWorkerCpu = 16000;

/// One kind of work: a job each so often, of alike tasks.
struct Load {
  const char* queue;
  Millis everyMs;
  std::uint32_t count;
  std::int64_t cpu;
  Millis takesMs;
  bool together = false;
};

constexpr Load kUrgent{"urgent", 400, 1, 1100, 1100};
constexpr Load kLowRank{"low", 3000, 2, 800, 4000};
constexpr Load kSameRank{"middle", 3000, 2, 800, 1000};
constexpr Load kWholeFleet{"middle", 0, 22, 8000, 5000, true};

std::string workerName(int worker) { return "w" + std::to_string(worker); }

}  // namespace

/// A leader with eleven workers that run what they are ordered for as long as
/// its load says.
TEST_GROUP(reservation) {
  scheduler::SchedulerState scheduler;
  Millis nowMs = 100000;
  std::uint64_t reportSeq = 0;
  int jobs = 0;
  std::map<JobId, Load> loadOf;
  std::map<JobId, Millis> idleSinceMs;  // of jobs of which nothing runs beside room for them
  Millis longestIdleWaitMs = 0;

  void setup() override {
    Settings settings;
    settings.role = Role::scheduler;
    settings.peerAddress = Address("10.0.0.9:1");
    settings.bounds.leaseMs = kLeaseMs;
    settings.firstThresholdMs = 2000;
    scheduler = scheduler::makeScheduler(settings, DaemonId("me"), "i");
    scheduler.client.config = fixture::configOf(
        R"({"pools":{"p":{"slots":0}},"pendings":{"urgent":{"pool":"p","rank":2,"aimMs":1000,"stretch":1.5},)"
        R"("middle":{"pool":"p","rank":1,"aimMs":2000,"stretch":2.2},"low":{"pool":"p","aimMs":4000,"stretch":3.2}}})");
    scheduler.client.configVersion = 1;
    scheduler.course = scheduler::Course::leading;
    scheduler.committed = 1;
    scheduler.leadSinceMs = nowMs;
    scheduler.leaseUntilMs = scheduler.client.sessionUntilMs = nowMs + 100000000;
    control::setFleet(scheduler.client, 5000, now());
    report();
  }

  Now now() const { return {nowMs, 0}; }

  JobId submit(const Load& load) {
    jobs::Spec spec;
    spec.id = JobId(std::string(load.queue) + std::to_string(1000 + jobs++));
    spec.pending = QueueName(load.queue);
    spec.plainNames = false;
    spec.steps.resize(1);
    auto& step = spec.steps[0];
    step.name = "0";
    step.count = load.count;
    step.need.more["cpu"] = load.cpu;
    step.estimateMs = load.takesMs;
    step.together = load.together;
    const auto id = spec.id;
    loadOf.emplace(id, load);
    Outbox out;
    scheduler::submitSpec(scheduler, {1, true, {}}, std::move(spec), now(), out);
    LONGS_EQUAL(0, out.answers.size());
    return id;
  }

  AttemptReport reportOf(const AttemptId& run, const std::pair<JobId, std::size_t>& where) const {
    const auto& task = scheduler.jobs.at(where.first).tasks[where.second];
    const auto takesMs = loadOf.at(where.first).takesMs;
    const auto ranMs = scheduler::fleet(scheduler, now()) - task.orderedMs;
    if (task.stopping) return {run, AttemptState::ended, AttemptOutcome::stopped, {}, {}, 0};
    if (ranMs >= takesMs) return {run, AttemptState::ended, AttemptOutcome::clean, {}, {}, 100};
    return {run, AttemptState::running, AttemptOutcome::none, {}, {}, 100 * ranMs / takesMs};
  }

  void report() {
    for (int worker = 0; worker < kWorkers; ++worker) {
      AgentReport message;
      message.agent = DaemonId("agent-" + workerName(worker));
      message.worker = WorkerId(workerName(worker));
      message.workerIncarnation = "life";
      message.workerHeard = true;
      message.pool = PoolName("p");
      message.capacity = {{"cpu", kWorkerCpu}};
      message.acked = 1;
      message.seq = ++reportSeq;
      message.sentMs = nowMs;
      for (const auto& [run, where] : scheduler.held[message.worker]) message.runs.push_back(reportOf(run, where));
      Outbox out;
      const Address from("10.0.1." + std::to_string(worker + 1) + ":1");
      scheduler::onReport(scheduler, Heard{message.agent, from, message}, message, now(), out);
    }
  }

  std::int64_t cpuAt(int worker) {
    std::int64_t used = 0;
    for (const auto& [run, where] : scheduler.held[WorkerId(workerName(worker))]) used += loadOf.at(where.first).cpu;
    return used;
  }

  /// How long jobs have had nothing running beside room for them twice over,
  /// under half of the fleet in use.
  void noteIdleWaits() {
    std::int64_t used = 0, roomForSmall = 0;
    for (int worker = 0; worker < kWorkers; ++worker) {
      used += cpuAt(worker);
      roomForSmall += (kWorkerCpu - cpuAt(worker)) / kLowRank.cpu;
    }
    const bool counts = used * 2 < kWorkers * kWorkerCpu;
    for (const auto& id : scheduler.open) {
      const auto& load = loadOf.at(id);
      const bool waits =
          counts && !load.together && scheduler.jobs.at(id).holding == 0 && roomForSmall >= 2 * load.count;
      if (!waits) {
        idleSinceMs.erase(id);
        continue;
      }
      const auto sinceMs = idleSinceMs.emplace(id, nowMs).first->second;
      longestIdleWaitMs = std::max(longestIdleWaitMs, nowMs - sinceMs);
    }
  }

  void run(Millis spanMs, std::initializer_list<Load> loads) {
    for (const auto untilMs = nowMs + spanMs; nowMs < untilMs; nowMs += kStepMs) {
      for (const auto& load : loads)
        if (nowMs % load.everyMs == 0) submit(load);
      if (nowMs % kReportPauseMs == 0) report();
      scheduler::keepHouse(scheduler, now());
      scheduler::runEpoch(scheduler, now());
      noteIdleWaits();
    }
  }

  bool finished(const JobId& id) const { return scheduler.jobs.at(id).state == jobs::JobState::finished; }
  bool begun(const JobId& id) const { return scheduler.jobs.at(id).counters.firstStartMs >= 0; }
};

// Guards against review case 6: while room was kept for a gang that never
// started, work of lower rank stood still in an idle fleet.
TEST(reservation, work_of_lower_rank_goes_on_beside_a_gang_that_can_not_start) {
  run(5000, {kUrgent});
  const auto gang = submit(kWholeFleet);
  run(60000, {kUrgent, kLowRank});
  CHECK_FALSE(begun(gang));
  CHECK(longestIdleWaitMs < kMostIdleWaitMs);
}

TEST(reservation, work_of_the_gangs_rank_goes_on_beside_gangs_that_can_not_start) {
  run(5000, {kUrgent});
  for (int i = 0; i < 3; ++i) submit(kWholeFleet);
  run(60000, {kUrgent, kSameRank, kLowRank});
  CHECK(longestIdleWaitMs < kMostIdleWaitMs);
}

// A gang that starves instead would be the same fault the other way round.
TEST(reservation, a_gang_starts_once_work_of_higher_rank_leaves_room) {
  run(5000, {kUrgent});
  const auto gang = submit(kWholeFleet);
  run(60000, {kUrgent, kLowRank});
  CHECK_FALSE(begun(gang));
  run(30000, {kLowRank});
  CHECK(finished(gang));
}

// Where the fleet is in use, capacity is kept for a gang until its turn comes.
TEST(reservation, a_gang_starts_beside_a_stream_of_small_work_of_its_rank) {
  constexpr Load kStream{"middle", 100, 1, 8000, 2000};
  run(10000, {kStream});
  const auto gang = submit(kWholeFleet);
  run(60000, {kStream});
  CHECK(finished(gang));
}
