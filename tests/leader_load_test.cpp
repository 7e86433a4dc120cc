#include <CppUTest/TestHarness.h>

#include "config_of.hpp"
#include "leading_scheduler.hpp"

using namespace tulip;
using namespace tulip::transport;

namespace {

constexpr std::uint32_t kTasks = 40;
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
  fixture::LeadingScheduler leader;
  scheduler::SchedulerState& scheduler = leader.state;
  Outbox& out = leader.out;

  void setup() override { leader.lead(leader.entriesOf(wideJob())); }

  void report(std::size_t number, std::uint64_t seq, AttemptState state) {
    AgentReport report;
    report.agent = DaemonId("agent-" + workerName(number));
    report.worker = WorkerId(workerName(number));
    report.workerIncarnation = "life";
    report.workerHeard = true;
    report.seq = seq;
    const auto outcome = state == AttemptState::ended ? AttemptOutcome::clean : AttemptOutcome::none;
    report.runs = {{jobs::runIdOf(scheduler.jobs.at(kJob), number), state, outcome, "", "", 0}};
    leader.hear(report.agent.value, agentAddress(number), report);
  }

  std::map<Address, std::size_t> ordersSent() const {
    std::map<Address, std::size_t> sent;
    for (const auto& send : out.sends)
      if (std::holds_alternative<Orders>(send.message)) ++sent[send.to];
    return sent;
  }
};

// All workers of the job were sent their whole list of orders anew: a job of n tasks cost n times n lists.
TEST(leader_load, the_end_of_one_attempt_is_told_to_its_worker_and_to_no_other) {
  for (std::size_t number = 0; number < kTasks; ++number) report(number, 1, AttemptState::running);
  leader.passEpoch();
  leader.acknowledge();
  report(7, 2, AttemptState::ended);
  leader.passEpoch();
  out = {};
  leader.acknowledge();
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
  scheduler.client.config = fixture::configOf(R"({"pools":{"side":{"slots":8,"lostAfterTerms":1}}})");
  leader.nowMs += scheduler.client.settings.bounds.sureMs(1);
  scheduler.leaseUntilMs = leader.nowMs + scheduler.client.settings.bounds.leaseMs;
  leader.tick();
  CHECK(scheduler.held[WorkerId(workerName(kWorker))].empty());
  out = {};
  AgentReport report;
  report.agent = DaemonId("agent-" + workerName(kWorker));
  report.worker = WorkerId(workerName(kWorker));
  report.workerIncarnation = "life";
  report.workerHeard = true;
  report.pool = PoolName("side");
  report.seq = 1;
  leader.hear(report.agent.value, agentAddress(kWorker), report);
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
