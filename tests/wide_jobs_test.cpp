// What a leader's steps cost as one job grows in width.
#include <CppUTest/TestHarness.h>

#include <ctime>

#include <cstdio>
#include <functional>

#include "config_of.hpp"
#include "leading_scheduler.hpp"

using namespace tulip;
using namespace tulip::transport;

namespace {

const WorkerId kWorker("w");
const Address kAgent("10.1.0.1:1");
const JobId kJob("0123456789abcdef");
constexpr std::int64_t kSlots = 100000;

/// Processor time of this thread, which other processes beside it don't lengthen.
double threadMs() {
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return static_cast<double>(used.tv_sec) * 1e3 + static_cast<double>(used.tv_nsec) / 1e6;
}

/// A job of one wide step at work at one worker, and a second one that waits for it.
jobs::Job wideJob(std::uint32_t width, bool together, int number) {
  jobs::Spec spec;
  spec.id = JobId(kJob.value + std::to_string(number));
  spec.pending = QueueName("q");
  spec.plainNames = false;
  spec.steps.resize(2);
  for (auto& step : spec.steps) {
    step.name = "0";
    step.count = width;
    step.need.slots = 1;
    step.estimateMs = 2000;
    step.together = together;
  }
  spec.steps[1].after = {0};
  auto job = jobs::makeJob(std::make_shared<const jobs::Spec>(std::move(spec)));
  for (std::uint32_t task = 0; task < width; ++task) jobs::startRun(job, task, kWorker, "life", 10);
  return job;
}

/// A leader with wide jobs at one worker, which measures each of its steps.
class WideLeader {
 public:
  WideLeader(std::uint32_t width, bool together, int jobCount) {
    std::vector<Entry> entries;
    for (int number = 0; number < jobCount; ++number) {
      const auto job = wideJob(width, together, number);
      ids_.push_back(job.id);
      for (auto& entry : leader_.entriesOf(job)) entries.push_back(std::move(entry));
    }
    step([&] { leader_.lead(entries, "platform"); });
    leader_.state.client.config = fixture::configOf(R"({"pools":{"side":{"slots":100000,"lostAfterTerms":1}},)"
                                                    R"("pendings":{"q":{"pool":"side","failureLimit":5}}})");
    report(AttemptState::running);
    settle();
  }

  double longestStepMs() const { return longestMs_; }
  std::size_t mostAlarms() const { return mostAlarms_; }
  fixture::LeadingScheduler& leader() { return leader_; }
  std::size_t held() { return leader_.state.held[kWorker].size(); }
  const jobs::Job& job() const { return leader_.state.jobs.at(ids_.front()); }
  const JobId& id() const { return ids_.front(); }

  /// The worker's agent reports all that it was ordered, in this state.
  void report(AttemptState state, AttemptOutcome outcome = AttemptOutcome::none) {
    auto message = emptyReport();
    for (const auto& [run, where] : leader_.state.held[kWorker])
      message.runs.push_back({run, state, outcome, "", "", 0});
    hear(std::move(message));
  }

  /// The worker is back after a crash, and runs nothing.
  void reportNewLife() {
    life_ = "another life";
    hear(emptyReport());
  }

  /// Plans and commits a few times.
  void settle() {
    constexpr int kTurns = 6;
    pass(kTurns * leader_.state.client.settings.bounds.heartbeatMs());
  }

  /// Lets time go by without a word from the worker.
  void pass(Millis spanMs) {
    const auto heartbeatMs = leader_.state.client.settings.bounds.heartbeatMs();
    for (Millis passedMs = 0; passedMs < spanMs; passedMs += heartbeatMs) {
      step([&] { leader_.passEpoch(); });
      step([&] { leader_.acknowledge(); });
      mostAlarms_ = std::max(mostAlarms_, leader_.out.alarms.size());
      leader_.out = {};
    }
  }

  void step(const std::function<void()>& act) {
    const auto before = threadMs();
    act();
    longestMs_ = std::max(longestMs_, threadMs() - before);
  }

 private:
  AgentReport emptyReport() {
    AgentReport message;
    message.agent = DaemonId("agent");
    message.worker = kWorker;
    message.workerIncarnation = life_;
    message.workerHeard = true;
    message.pool = PoolName("side");
    message.slots = kSlots;
    message.acked = leader_.state.client.configVersion;
    message.seq = ++reports_;
    message.ordersTerm = leader_.term;
    message.ordersSeq = leader_.state.workers[kWorker].ordersSeq;
    message.takesSharedSpecs = true;
    return message;
  }

  void hear(AgentReport message) {
    step([&] { leader_.hear("agent", kAgent, message); });
    leader_.out = {};
  }

  fixture::LeadingScheduler leader_;
  std::vector<JobId> ids_;
  std::string life_ = "life";
  std::uint64_t reports_ = 0;
  double longestMs_ = 0;
  std::size_t mostAlarms_ = 0;
};

/// What happens to all attempts of a job at once.
struct Disruption {
  const char* name;
  std::function<void(WideLeader&)> act;
};

void crash(WideLeader& wide) {
  wide.reportNewLife();
  wide.settle();
}

void endClean(WideLeader& wide) {
  wide.report(AttemptState::ended, AttemptOutcome::clean);
  wide.settle();
}

void fail(WideLeader& wide) {
  wide.report(AttemptState::ended, AttemptOutcome::failed);
  wide.settle();
}

void goSilent(WideLeader& wide) {
  wide.pass(wide.leader().state.client.settings.bounds.sureMs(1));
  LONGS_EQUAL(0, wide.held());
  wide.settle();
}

void standStill(WideLeader& wide) {
  const auto& bounds = wide.leader().state.client.settings.bounds;
  for (int i = 0; i < 40; ++i) {
    wide.report(AttemptState::running);
    wide.pass(bounds.heartbeatMs());
  }
  CHECK(wide.leader().state.counts.stops >= static_cast<std::uint64_t>(wide.job().holding));
}

void cancel(WideLeader& wide) {
  auto& leader = wide.leader();
  wide.step([&] { scheduler::cancelJob(leader.state, {1, true, {}}, wide.id(), leader.now(), leader.out); });
  wide.settle();
  wide.report(AttemptState::ended, AttemptOutcome::stopped);
  wide.settle();
  CHECK(wide.job().state == jobs::JobState::cancelled);
}

const std::vector<Disruption>& disruptions() {
  static const std::vector<Disruption> all{{"crash", crash},      {"clean ends", endClean},       {"failures", fail},
                                           {"silence", goSilent}, {"standing still", standStill}, {"cancel", cancel}};
  return all;
}

/// The least of a few measurements: what the steps cost themselves.
double longestStepMs(const Disruption& disruption, std::uint32_t width, bool together, int jobCount = 1) {
  constexpr int kTries = 3;
  double least = 0;
  for (int i = 0; i < kTries; ++i) {
    WideLeader wide(width, together, jobCount);
    disruption.act(wide);
    CHECK_TEXT(wide.leader().state.course == scheduler::Course::leading, disruption.name);
    least = i == 0 ? wide.longestStepMs() : std::min(least, wide.longestStepMs());
  }
  return least;
}

constexpr std::uint32_t kNarrow = 500, kTimesWider = 8;
constexpr double kMostGrowth = 3.0 * kTimesWider;  // of what grows in step with the width; its square is 64

void checkGrowth(bool together) {
  for (const auto& disruption : disruptions()) {
    const auto narrowMs = longestStepMs(disruption, kNarrow, together);
    const auto wideMs = longestStepMs(disruption, kTimesWider * kNarrow, together);
    const auto text = std::string(disruption.name) + ": " + std::to_string(narrowMs) + " ms, " + std::to_string(wideMs);
    if (wideMs > kMostGrowth * narrowMs) FAIL(text.c_str());
  }
}

}  // namespace

TEST_GROUP(wide_jobs){};

// Guards against review case 9: what ends at once of one job took a leader time by the square of the job's width, past
// its lease, so that no leader ever kept anything of it.
TEST(wide_jobs, what_happens_to_all_attempts_of_a_job_takes_time_by_their_number) { checkGrowth(false); }

// Guards against the same where the attempts are one gang.
TEST(wide_jobs, what_happens_to_a_whole_gang_takes_time_by_its_size) { checkGrowth(true); }

// Guards against a table of held attempts that has other attempts than the jobs themselves.
TEST(wide_jobs, the_held_attempts_are_those_of_the_jobs_after_each_disruption) {
  for (const bool together : {false, true})
    for (const auto& disruption : disruptions()) {
      WideLeader wide(100, together, 3);
      disruption.act(wide);
      scheduler::HeldAttempts expected;
      for (const auto& [id, job] : wide.leader().state.jobs) scheduler::addHoldings(expected, job);
      auto& held = wide.leader().state.held;
      std::erase_if(held, [](const auto& row) { return row.second.empty(); });
      if (held != expected) FAIL(disruption.name);
    }
}

// Guards against a line in the log for each run, where thousands are past their bounds at once.
TEST(wide_jobs, runs_that_are_overdue_together_are_told_in_a_few_lines) {
  WideLeader wide(1000, false, 1);
  standStill(wide);
  LONGS_EQUAL(1000, wide.leader().state.counts.overdueRuns);
  CHECK(wide.mostAlarms() > 0);
  CHECK(wide.mostAlarms() < 40);
}

// Prints what docs/CAPACITY.md tells of, by hand: TULIPPITCH_WIDE_JOBS=1.
TEST(wide_jobs, step_times_by_width) {
  if (!std::getenv("TULIPPITCH_WIDE_JOBS")) return;
  for (const bool together : {false, true})
    for (const auto& disruption : disruptions())
      for (const auto& [width, jobCount] : {std::pair(100u, 1), {1000u, 1}, {3000u, 1}, {10000u, 1}, {10000u, 10}})
        std::printf("%s%s, %d x %u: longest step %.1f ms\n", disruption.name, together ? ", gang" : "", jobCount, width,
                    longestStepMs(disruption, width, together, jobCount));
}
