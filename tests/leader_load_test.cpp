#include <CppUTest/TestHarness.h>

#include "scheduler/scheduler.hpp"

using namespace tulip;
using namespace tulip::transport;

namespace {

constexpr std::uint32_t kTasks = 40;
constexpr Millis kNowMs = 100000;
const Address kVoterA("10.0.0.1:1"), kVoterB("10.0.0.2:1"), kVoterC("10.0.0.3:1");
const JobId kJob("j");

std::string workerName(std::size_t number) { return "w" + std::to_string(number); }
Address agentAddress(std::size_t number) { return Address("10.1.0." + std::to_string(number) + ":1"); }

std::shared_ptr<const jobs::Spec> wideSpec() {
  jobs::Spec spec;
  spec.id = kJob;
  spec.plainNames = false;
  spec.steps.resize(1);
  spec.steps[0].name = "0";
  spec.steps[0].count = kTasks;
  spec.steps[0].need.slots = 1;
  return std::make_shared<const jobs::Spec>(std::move(spec));
}

/// A job each of whose tasks runs on a worker of its own.
jobs::Job wideJob() {
  auto job = jobs::makeJob(wideSpec());
  for (std::size_t task = 0; task < kTasks; ++task) jobs::startRun(job, task, WorkerId(workerName(task)), "life", 10);
  return job;
}

}  // namespace

/// What a leader does for each event, as jobs and workers grow in number.
TEST_GROUP(leader_load) {
  scheduler::SchedulerState scheduler;
  const Ballot term{3, "me/i"}, base{2, "p2"};
  Outbox out;
  Millis nowMs = kNowMs;

  void setup() override {
    Settings settings;
    settings.role = Role::scheduler;
    settings.peerAddress = Address("10.0.0.9:1");
    scheduler = scheduler::makeScheduler(settings, DaemonId("me"), "i");
    scheduler.client.membership = {1, {{DaemonId("a"), kVoterA}, {DaemonId("b"), kVoterB}, {DaemonId("c"), kVoterC}}};
    scheduler.client.sessionUntilMs = kNowMs + 1000000;
    scheduler.course = scheduler::Course::preparing;
    scheduler.term = term;
    scheduler.prepareStartMs = kNowMs;
    const auto job = wideJob();
    for (const auto& [id, from] : {std::pair("a", kVoterA), std::pair("b", kVoterB)}) {
      JobLogPromise promise;
      promise.term = promise.promised = term;
      promise.ok = true;
      promise.base = base;
      promise.entries = {{kJob.value, {base, 1}, jobs::packJob(job)}, {"~j", {base, 1}, jobs::packSpec(*job.spec)}};
      hear(id, from, std::move(promise));
    }
    acknowledge();
    CHECK(scheduler::leads(scheduler, {nowMs}));
  }

  void hear(const char* id, const Address& from, Message message) {
    scheduler::schedulerHeard(scheduler, Heard{DaemonId(id), from, std::move(message)}, {nowMs}, out);
  }

  /// Two of the three voters have synced everything that was sent.
  void acknowledge() {
    for (const auto& [id, from] : {std::pair("a", kVoterA), std::pair("b", kVoterB)})
      hear(id, from, JobLogAccepted{term, scheduler.seq, nowMs, true, true, term});
  }

  void report(std::size_t number, std::uint64_t seq, AttemptState state) {
    AgentReport report;
    report.agent = DaemonId("agent-" + workerName(number));
    report.worker = WorkerId(workerName(number));
    report.workerIncarnation = "life";
    report.workerHeard = true;
    report.seq = seq;
    const auto outcome = state == AttemptState::ended ? AttemptOutcome::clean : AttemptOutcome::none;
    report.runs = {{jobs::runIdOf(scheduler.jobs.at(kJob), number), state, outcome, "", "", 0}};
    hear(report.agent.value.c_str(), agentAddress(number), report);
  }

  std::map<Address, std::size_t> ordersSent() const {
    std::map<Address, std::size_t> sent;
    for (const auto& send : out.sends)
      if (std::holds_alternative<Orders>(send.message)) ++sent[send.to];
    return sent;
  }

  void passEpoch() {
    nowMs += scheduler.client.settings.bounds.heartbeatMs();
    scheduler::schedulerTick(scheduler, {nowMs}, out);
  }
};

// All workers of the job were sent their whole list of orders anew: a job of n tasks cost n times n lists.
TEST(leader_load, the_end_of_one_attempt_is_told_to_its_worker_and_to_no_other) {
  for (std::size_t number = 0; number < kTasks; ++number) report(number, 1, AttemptState::running);
  passEpoch();
  acknowledge();
  report(7, 2, AttemptState::ended);
  passEpoch();
  out = {};
  acknowledge();
  const auto sent = ordersSent();
  LONGS_EQUAL(1, sent.size());
  LONGS_EQUAL(1, sent.count(agentAddress(7)));
  LONGS_EQUAL(1, scheduler.jobs.at(kJob).doneTasks);
}

// Orders come from the committed state. While the loss of an attempt waited for its batch, a report of the agent was
// answered with the attempt's start, good from that report on, and the next attempt started elsewhere once the batch
// was committed.
TEST(leader_load, an_attempt_given_up_for_silence_is_not_started_before_that_is_committed) {
  constexpr std::size_t kWorker = 7;
  auto config = std::make_shared<config::Config>();
  std::vector<config::Fault> faults;
  CHECK(config::readConfigText(R"({"pools":{"side":{"slots":8,"lostAfterTerms":1}}})", *config, faults));
  scheduler.client.config = config;
  nowMs += scheduler.client.settings.bounds.sureMs(1);
  scheduler.leaseUntilMs = nowMs + scheduler.client.settings.bounds.leaseMs;
  scheduler::schedulerTick(scheduler, {nowMs}, out);
  CHECK(scheduler.held[WorkerId(workerName(kWorker))].empty());
  out = {};
  AgentReport report;
  report.agent = DaemonId("agent-" + workerName(kWorker));
  report.worker = WorkerId(workerName(kWorker));
  report.workerIncarnation = "life";
  report.workerHeard = true;
  report.pool = PoolName("side");
  report.seq = 1;
  hear(report.agent.value.c_str(), agentAddress(kWorker), report);
  std::size_t told = 0;
  for (const auto& send : out.sends)
    if (const auto* orders = std::get_if<Orders>(&send.message))
      for (const auto& wanted : orders->wanted) {
        ++told;
        CHECK(wanted.stop);
        CHECK_FALSE(wanted.whole);
      }
  LONGS_EQUAL(1, told);
}
