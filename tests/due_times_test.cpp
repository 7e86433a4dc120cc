#include <CppUTest/TestHarness.h>

#include <map>
#include <vector>

#include "config_of.hpp"
#include "scheduler/due_times.hpp"
#include "scheduler/internal.hpp"

using namespace tulip;
using namespace tulip::transport;

namespace {

constexpr Millis kWallStartMs = 1796420400000;
constexpr Millis kStepMs = 20;
constexpr Millis kReportPauseMs = 200;
constexpr Millis kEarlyMs = 250;  // `early_ms` of the pages
constexpr Millis kLateMs = 500;   // two reports and a plan
constexpr Millis kFirstInMs = 3000, kEveryMs = 4000;
constexpr std::int64_t kTimes = 8;
constexpr int kWorkers = 3;
const JobId kJob("j");
const Address kA("10.0.0.1:1"), kB("10.0.0.2:1"), kC("10.0.0.3:1");

std::string workerName(int worker) { return "w" + std::to_string(worker); }

}  // namespace

/// A leader with three workers, whose clocks the test sets, and a job that runs at eight times of day.
TEST_GROUP(due_times) {
  scheduler::SchedulerState scheduler;
  Millis elapsedMs = 0;           // true time
  Millis steadyStartMs = 100000;  // what the leader's steady clock showed at the start
  Millis leaderSkewMs = 0;
  std::vector<Millis> workerSkewMs = std::vector<Millis>(kWorkers, 0);
  int workers = kWorkers;  // that report
  std::uint64_t reportSeq = 0;
  Millis firstWallMs = 0;
  std::map<std::uint32_t, std::vector<Millis>> startsOf;  // by instance, as true times of day

  void setup() override { lead(makeLeader()); }

  Now now() const { return {steadyStartMs + elapsedMs, kWallStartMs + elapsedMs + leaderSkewMs}; }
  Millis trueWallMs() const { return kWallStartMs + elapsedMs; }

  static scheduler::SchedulerState makeLeader() {
    Settings settings;
    settings.role = Role::scheduler;
    settings.peerAddress = Address("10.0.0.9:1");
    auto made = scheduler::makeScheduler(settings, DaemonId("me"), "i");
    made.client.membership = {1, {{DaemonId("a"), kA}, {DaemonId("b"), kB}, {DaemonId("c"), kC}}};
    made.client.config = fixture::configOf(R"({"pools":{"p":{"slots":8}},"pendings":{"q":{"pool":"p"}}})");
    made.client.configVersion = 1;
    return made;
  }

  void lead(scheduler::SchedulerState made) {
    scheduler = std::move(made);
    scheduler.course = scheduler::Course::leading;
    scheduler.committed = 1;
    scheduler.leadSinceMs = now().steadyMs;
    scheduler.leaseUntilMs = scheduler.client.sessionUntilMs = now().steadyMs + 100000000;
    if (scheduler.client.fleetAtMs < 0) control::setFleet(scheduler.client, 5000, now());
  }

  enum class First { given, ofAcceptance };

  void submit(First first = First::given) {
    jobs::Spec spec;
    spec.id = kJob;
    spec.pending = QueueName("q");
    spec.plainNames = false;
    spec.times = kTimes;
    firstWallMs = trueWallMs();
    if (first == First::given) spec.firstWallMs = firstWallMs += kFirstInMs;
    spec.everyMs = kEveryMs;
    spec.steps.resize(1);
    spec.steps[0].name = "s";
    spec.steps[0].need.slots = 1;
    report();
    Outbox out;
    scheduler::submitSpec(scheduler, {1, true, {}}, std::move(spec), now(), out);
    LONGS_EQUAL(0, out.answers.size());
  }

  const jobs::Job& job() const { return scheduler.jobs.at(kJob); }

  /// Each worker's agent reports; what was started before has ended cleanly.
  void report() {
    for (int worker = 0; worker < workers; ++worker) {
      AgentReport message;
      message.agent = DaemonId("agent-" + workerName(worker));
      message.worker = WorkerId(workerName(worker));
      message.workerIncarnation = "life";
      message.workerHeard = true;
      message.pool = PoolName("p");
      message.slots = 8;
      message.acked = 1;
      message.seq = ++reportSeq;
      message.sentMs = elapsedMs;
      message.wallMs = trueWallMs() + workerSkewMs[static_cast<std::size_t>(worker)];
      for (const auto& [run, where] : scheduler.held[message.worker])
        message.runs.push_back({run, AttemptState::ended, AttemptOutcome::clean, {}, {}, 0});
      Outbox out;
      const Address from("10.0.1." + std::to_string(worker + 1) + ":1");
      scheduler::onReport(scheduler, Heard{message.agent, from, message}, message, now(), out);
    }
  }

  void plan() {
    scheduler::keepHouse(scheduler, now());
    scheduler::runEpoch(scheduler, now());
    const auto found = scheduler.jobs.find(kJob);
    if (found == scheduler.jobs.end()) return;
    for (std::size_t at = 0; at < found->second.tasks.size(); ++at) {
      const auto& task = found->second.tasks[at];
      auto& starts = startsOf[found->second.instanceOf(at)];
      while (static_cast<std::int64_t>(starts.size()) < task.attempts) starts.push_back(trueWallMs());
    }
  }

  void run(Millis spanMs) {
    for (const auto untilMs = elapsedMs + spanMs; elapsedMs < untilMs; elapsedMs += kStepMs) {
      if (elapsedMs % kReportPauseMs == 0) report();
      plan();
    }
  }

  /// The whole control side is without power for a while: a scheduler elsewhere leads with what was committed.
  void outage(Millis spanMs) {
    const auto promise = promiseNow();
    elapsedMs += spanMs;
    takeOver(promise);
  }

  JobLogPromise promiseNow() const {
    JobLogPromise promise;
    promise.ok = true;
    promise.base = {1, "earlier"};
    promise.fleetMs = control::fleetNow(scheduler.client, now());
    promise.entries = {{kJob.value, {promise.base, 1}, jobs::packJob(job())},
                       {scheduler::specKey(kJob), {promise.base, 1}, jobs::packSpec(*job().spec)}};
    return promise;
  }

  void takeOver(JobLogPromise promise) {
    constexpr Millis kNewSteadyMs = 7000000;
    steadyStartMs = kNewSteadyMs - elapsedMs;
    auto made = makeLeader();
    made.client.sessionUntilMs = now().steadyMs + 200000;
    made.course = scheduler::Course::preparing;
    made.term = promise.term = promise.promised = {scheduler.term.number + 2, "me/i"};
    made.prepareStartMs = now().steadyMs;
    promise.wallMs = trueWallMs();
    scheduler = std::move(made);
    Outbox out;
    scheduler::schedulerHeard(scheduler, Heard{DaemonId("a"), kA, promise}, now(), out);
    scheduler::schedulerHeard(scheduler, Heard{DaemonId("b"), kB, promise}, now(), out);
    CHECK(scheduler.course == scheduler::Course::leading);
    lead(std::move(scheduler));
  }

  Millis dueMs(std::uint32_t instance) const { return firstWallMs + static_cast<Millis>(instance) * kEveryMs; }

  /// Each time has started once: not early, and not late but for an outage in which it fell due.
  void eachTimeStartedOnceAndOnTime(const std::vector<std::pair<Millis, Millis>>& outages = {}) const {
    LONGS_EQUAL(kTimes, startsOf.size());
    for (const auto& [instance, starts] : startsOf) {
      LONGS_EQUAL(1, starts.size());
      auto owedMs = dueMs(instance);
      for (const auto& [fromMs, untilMs] : outages)
        if (owedMs >= kWallStartMs + fromMs && owedMs < kWallStartMs + untilMs) owedMs = kWallStartMs + untilMs;
      CHECK(starts.front() >= dueMs(instance) - kEarlyMs);
      CHECK(starts.front() <= owedMs + kLateMs);
    }
  }

  static constexpr Millis kWholeMs = kFirstInMs + kTimes * kEveryMs;
};

TEST(due_times, each_time_starts_when_it_falls_due) {
  submit();
  run(kWholeMs);
  eachTimeStartedOnceAndOnTime();
}

// Guards against times that start late for good by as long as the whole control side was down.
TEST(due_times, they_hold_to_the_time_of_day_after_the_whole_control_side_was_down) {
  for (const Millis spanMs : {5000, 9500, 14000}) {
    submit();
    run(4000);
    const auto fromMs = elapsedMs;
    outage(spanMs);
    run(kWholeMs);
    eachTimeStartedOnceAndOnTime({{fromMs, fromMs + spanMs}});
    startsOf.clear();
    lead(makeLeader());
  }
}

// Guards against outages whose lengths add up.
TEST(due_times, they_hold_to_the_time_of_day_after_several_outages) {
  submit();
  std::vector<std::pair<Millis, Millis>> outages;
  for (const Millis spanMs : {5000, 3000, 5000}) {
    run(2000);
    outages.emplace_back(elapsedMs, elapsedMs + spanMs);
    outage(spanMs);
  }
  run(kWholeMs);
  eachTimeStartedOnceAndOnTime(outages);
}

// Guards against the same for a job that leaves its first time to the acceptance.
TEST(due_times, those_that_count_from_the_acceptance_hold_to_the_time_of_day_too) {
  submit(First::ofAcceptance);
  run(4000);
  const auto fromMs = elapsedMs;
  outage(9500);
  run(kWholeMs);
  eachTimeStartedOnceAndOnTime({{fromMs, fromMs + 9500}});
}

// Guards against times taken from one clock: the new leader's own is off, and few workers are there.
TEST(due_times, a_takeover_by_a_machine_whose_clock_is_off_moves_none) {
  for (const Millis skewMs : {-3000, 3000}) {
    leaderSkewMs = 0;
    submit();
    run(4000);
    const auto fromMs = elapsedMs;
    leaderSkewMs = skewMs;
    outage(kEveryMs);
    run(kWholeMs);
    eachTimeStartedOnceAndOnTime({{fromMs, fromMs + kEveryMs}});
    startsOf.clear();
    leaderSkewMs = 0;
    lead(makeLeader());
  }
}

TEST(due_times, a_clock_that_jumps_moves_none) {
  submit();
  run(3500);
  workerSkewMs[1] = 3000;
  run(8000);
  workerSkewMs[1] = 0;
  leaderSkewMs = 4000;
  run(8000);
  leaderSkewMs = -4000;
  run(kWholeMs);
  eachTimeStartedOnceAndOnTime();
}

// Guards against starting early when only two clocks are known and one of them is ahead.
TEST(due_times, of_two_clocks_the_earlier_one_counts) {
  workers = 1;
  leaderSkewMs = 3000;
  submit();
  run(kWholeMs);
  eachTimeStartedOnceAndOnTime();
}

// Guards against a first plan by the new leader's clock alone: its voters have told theirs with their promises.
TEST(due_times, a_new_leader_knows_the_clocks_of_its_voters) {
  submit();
  leaderSkewMs = 3000;
  outage(5000);
  LONGS_EQUAL(trueWallMs(), *scheduler::wallNow(scheduler, now()));
}

// Guards against times of day that are old by as long as a voter's disk took.
TEST(due_times, an_acknowledgement_that_took_long_tells_no_time_of_day) {
  submit();
  outage(5000);
  const auto accepted = [&](Millis tookMs) {
    JobLogAccepted reply;
    reply.term = scheduler.term;
    reply.ok = true;
    reply.sentMs = now().steadyMs - tookMs;
    reply.wallMs = trueWallMs() - 1000;
    scheduler.leaseUntilMs = now().steadyMs + 100000000;
    Outbox out;
    scheduler::schedulerHeard(scheduler, Heard{DaemonId("c"), kC, reply}, now(), out);
    return scheduler.clocks.contains("10.0.0.3");
  };
  CHECK_FALSE(accepted(scheduler.client.settings.bounds.heartbeatMs() + 1));
  CHECK(accepted(1));
}

// Service, and the wait that promotion goes by, are of the time in which the fleet could act.
TEST(due_times, an_outage_is_no_wait_and_no_service) {
  submit();
  run(4000);
  const auto before = job().counters;
  outage(9500);
  plan();
  LONGS_EQUAL(before.servedMs, job().counters.servedMs);
  CHECK(job().counters.waitMs - before.waitMs <= kLateMs);
}

TEST(due_times, how_late_they_start_is_counted_by_the_time_of_day) {
  submit();
  run(4000);
  std::uint64_t counted = 0;
  for (const auto count : scheduler.dueDelays.counts) counted += count;
  LONGS_EQUAL(1, counted);
  CHECK(scheduler.dueDelays.sumMs <= kLateMs);
}
