#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <random>

#include "agent/agent.hpp"
#include "commands/stub_worker.hpp"
#include "scheduler/internal.hpp"

using namespace tulip;
using namespace tulip::transport;

namespace {

constexpr Millis kTickMs = 20;
constexpr Millis kHouseMs = 100;
constexpr Millis kAnswerLostMs = 1000;
constexpr double kWorkerClock = 0.98;
const AttemptId kRun("j:0.0.0:1");
const Address kLeader("10.0.0.9:1"), kAgent("10.0.0.8:1");

std::shared_ptr<const jobs::Spec> longTask() {
  jobs::Spec spec;
  spec.id = JobId("j");
  spec.steps.resize(1);
  spec.steps[0].name = std::string(1, 't');
  spec.plainNames = false;
  spec.steps[0].need.slots = 1;
  spec.steps[0].payload = R"({"runMs":100000000})";
  return std::make_shared<const jobs::Spec>(std::move(spec));
}

/// One run on its whole path: the leader's, the agent's and the worker's own code, each of which can be replaced by a
/// new life or vanish, and messages that get lost. What the leader decides is committed at once.
struct RunPath {
  std::mt19937_64 random;
  std::shared_ptr<config::Config> config = std::make_shared<config::Config>();
  scheduler::SchedulerState scheduler;
  std::optional<agent::AgentState> agent;
  std::optional<commands::Worker> worker;
  Millis nowMs = 100000;
  std::uint64_t term = 0, lives = 0, request = 0;
  double loss = 0;
  std::optional<Millis> answerDueMs;  // the worker waits for an answer until then
  Millis askedMs = 0;
  std::size_t alarms = 0;
  bool unsafe = false;  // the leader took the run as over while it ran

  explicit RunPath(std::uint64_t seed) : random(seed) {
    std::vector<config::Fault> faults;
    CHECK(config::readConfigText(R"({"pools":{"side":{"slots":8,"lostAfterTerms":1}}})", *config, faults));
    newLeader();
    newAgent();
    newWorker();
  }

  Bounds bounds() const { return scheduler.client.settings.bounds; }
  Millis boundMs() const { return scheduler::runWaitBoundMs(bounds(), 1); }
  Millis below(Millis bound) { return static_cast<Millis>(random() % static_cast<std::uint64_t>(bound)); }
  bool arrives() { return static_cast<double>(below(1000)) >= loss * 1000; }
  bool holds() const {
    const auto job = scheduler.jobs.find(JobId("j"));
    return job != scheduler.jobs.end() && job->second.tasks[0].holds();
  }

  /// A new leader takes over what its predecessor committed.
  void newLeader() {
    const auto jobs = scheduler.jobs;
    Settings settings;
    settings.role = Role::scheduler;
    scheduler = scheduler::makeScheduler(settings, DaemonId("s" + std::to_string(++lives)), "i");
    scheduler.client.config = config;
    scheduler.client.configVersion = 1;
    scheduler.client.sessionUntilMs = scheduler.leaseUntilMs = nowMs + 1000000000;
    scheduler.course = scheduler::Course::leading;
    scheduler.term = {++term, "s"};
    scheduler.committed = 1;
    scheduler.leadSinceMs = nowMs;
    scheduler.jobs = jobs;
    for (const auto& [id, job] : scheduler.jobs) scheduler.open.insert(id);
    for (const auto& [id, job] : scheduler.jobs) scheduler::addHoldings(scheduler.held, job);
    commit();
    if (agent) agent->client.leader = {scheduler.term, kLeader, kLeader};
  }

  void newAgent() {
    Settings settings;
    settings.role = Role::agent;
    settings.worker = "w";
    const auto name = "a" + std::to_string(++lives);
    agent = agent::makeAgent(settings, DaemonId(name), name);
    agent->client.config = config;
    agent->client.configVersion = 1;
    agent->client.sessionUntilMs = nowMs + 1000000000;
    agent->client.leader = {scheduler.term, kLeader, kLeader};
    answerDueMs.reset();
  }

  void newWorker() {
    worker.emplace();
    worker->traits.name = "w";
    worker->traits.pool = "side";
    worker->incarnation = "w" + std::to_string(++lives);
    answerDueMs.reset();
  }

  void commit() {
    scheduler.committedJobs.clear();
    for (const auto& [id, job] : scheduler.jobs) scheduler.committedJobs[id] = std::make_shared<const jobs::Job>(job);
    scheduler.committedHeld = scheduler.held;
  }

  void order() {
    auto job = jobs::makeJob(longTask());
    jobs::startRun(job, 0, WorkerId("w"), worker->incarnation, nowMs);
    scheduler.open.insert(job.id);
    scheduler::addHoldings(scheduler.held, job);
    scheduler.jobs.emplace(job.id, std::move(job));
    commit();
  }

  void stop() {
    if (!holds()) return;
    scheduler::change(scheduler, JobId("j"), [&](jobs::Job& job) { jobs::stopRun(job, 0, nowMs); });
    commit();
  }

  Millis workerMs() const { return static_cast<Millis>(static_cast<double>(nowMs) * kWorkerClock); }

  void settleAgent(Outbox&& out) {
    for (const auto& answer : out.answers)
      if (worker && answer.requestId == request && answerDueMs) {
        answerDueMs.reset();
        if (answer.status == 200 && arrives()) commands::heardAnswer(*worker, answer.body, askedMs, workerMs());
      }
    for (const auto& send : out.sends)
      if (const auto* report = std::get_if<AgentReport>(&send.message); report && arrives()) {
        Outbox orders;
        scheduler::onReport(scheduler, Heard{agent->client.id, kAgent, *report}, *report, {nowMs}, orders);
        commit();
        settleLeader(std::move(orders));
      }
  }

  void settleLeader(Outbox&& out) {
    alarms += static_cast<std::size_t>(std::count_if(out.alarms.begin(), out.alarms.end(), [](const auto& alarm) {
      return alarm.find("past its bound") != std::string::npos;
    }));
    for (const auto& send : out.sends)
      if (const auto* orders = std::get_if<Orders>(&send.message); orders && agent && arrives()) {
        Outbox more;
        agent::agentHeard(*agent, Heard{DaemonId("s"), kLeader, *orders}, {nowMs}, more);
        settleAgent(std::move(more));
      }
  }

  void callAgent() {
    askedMs = workerMs();
    const auto body = commands::nextReport(*worker, askedMs);
    answerDueMs = nowMs + kAnswerLostMs;
    if (!agent || !arrives()) return;
    Outbox out;
    agent::workerReport(*agent, ++request, body, {nowMs}, out);
    settleAgent(std::move(out));
  }

  void tick() {
    nowMs += kTickMs;
    if (worker) {
      commands::workerTick(*worker, workerMs());
      if (answerDueMs && nowMs >= *answerDueMs) answerDueMs.reset();
      if (!answerDueMs && workerMs() >= worker->callAtMs) callAgent();
    }
    if (agent) {
      Outbox out;
      agent::agentTick(*agent, {nowMs}, out);
      settleAgent(std::move(out));
    }
    if (nowMs % kHouseMs == 0) {
      Outbox out;
      scheduler::keepHouse(scheduler, {nowMs});
      scheduler::tellLongWaits(scheduler, {nowMs}, out);
      commit();
      settleLeader(std::move(out));
    }
    unsafe = unsafe || (!holds() && !scheduler.jobs.empty() && worker && worker->running.contains(kRun.value));
  }

  void pass(Millis spanMs) {
    for (const Millis untilMs = nowMs + spanMs; nowMs < untilMs;) tick();
  }

  bool overWithin(Millis spanMs) {
    for (const Millis untilMs = nowMs + spanMs; holds() && nowMs < untilMs;) tick();
    return !holds();
  }
};

enum class Trouble : std::uint8_t { workerRestarts, workerGone, agentRestarts, agentGone, leaderChanges, messagesLost };
constexpr int kTroubles = 6;

void strike(RunPath& path, Trouble trouble) {
  const Millis outMs = 1 + path.below(path.bounds().workerLeaseMs / 2);
  switch (trouble) {
    case Trouble::workerRestarts:
      if (!path.worker) return;
      path.worker.reset();
      path.pass(outMs);
      return path.newWorker();
    case Trouble::workerGone:
      return path.worker.reset();
    case Trouble::agentRestarts:
      if (!path.agent) return;
      path.agent.reset();
      path.pass(outMs);
      return path.newAgent();
    case Trouble::agentGone:
      path.agent.reset();
      return path.worker.reset();
    case Trouble::leaderChanges:
      return path.newLeader();
    case Trouble::messagesLost:
      path.loss = 0.2 + 0.1 * static_cast<double>(path.below(8));
      path.pass(outMs);
      path.loss = 0;
      return;
  }
}

}  // namespace

TEST_GROUP(run_path){};

TEST(run_path, a_stop_without_trouble_is_over_at_once) {
  RunPath path(1);
  path.pass(1000);
  path.order();
  path.pass(1000);
  CHECK(path.worker->running.contains(kRun.value));
  path.stop();
  CHECK(path.overWithin(2 * path.bounds().reportMs() + path.bounds().runStopMs));
  CHECK_FALSE(path.unsafe);
}

TEST(run_path, whoever_restarts_or_is_gone_in_between_a_stop_is_over_within_its_bound) {
  constexpr std::uint64_t kSeeds = 3000;
  constexpr int kMostTroubles = 3;
  std::size_t stuck = 0, unsafe = 0, overdue = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RunPath path(seed);
    path.pass(path.below(1000));
    path.order();
    const auto troubles = 1 + path.below(kMostTroubles);
    const auto stopAfter = path.below(troubles + 1);
    bool agentRestarted = false;
    for (Millis i = 0; i <= troubles; ++i) {
      path.pass(path.below(path.bounds().workerLeaseMs));
      if (i == stopAfter) path.stop();
      const auto trouble = static_cast<Trouble>(path.below(kTroubles));
      if (i == troubles || (trouble == Trouble::agentRestarts && agentRestarted)) continue;
      agentRestarted = agentRestarted || trouble == Trouble::agentRestarts;
      strike(path, trouble);
    }
    stuck += !path.overWithin(path.boundMs());
    unsafe += path.unsafe;
    overdue += path.alarms > 0;
  }
  LONGS_EQUAL(0, stuck);
  LONGS_EQUAL(0, unsafe);
  LONGS_EQUAL(0, overdue);
}

TEST(run_path, an_agent_that_restarts_again_and_again_delays_a_stop_by_a_bound_at_most) {
  RunPath path(1);
  path.pass(1000);
  path.order();
  path.pass(1000);
  path.worker.reset();
  path.stop();
  const auto sureMs = path.bounds().sureMs(1);
  const auto mostMs = path.boundMs() + 2 * sureMs;
  Millis tookMs = 0;
  for (const auto fromMs = path.nowMs; path.holds() && tookMs <= mostMs; tookMs = path.nowMs - fromMs) {
    path.newAgent();
    path.pass(sureMs / 2);
  }
  CHECK_FALSE(path.holds());
  CHECK(tookMs <= mostMs);
  LONGS_EQUAL(1, path.alarms);
}
