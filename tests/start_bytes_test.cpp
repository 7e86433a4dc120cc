// How many bytes of specs and checkpoints are on their way to a worker, at the leader and at the agent.
#include <CppUTest/TestHarness.h>

#include <set>

#include "agent/agent.hpp"
#include "config_of.hpp"
#include "leading_scheduler.hpp"
#include "platform/parts.hpp"
#include "transport/messages.hpp"

using namespace tulip;
using namespace tulip::transport;

namespace {

constexpr std::size_t kTextBytes = 4000;
constexpr std::size_t kMostAnswerBytes = 4u << 20;  // that a worker takes
constexpr std::size_t kMostNamesBytes = 2u << 20;   // of 16,000 attempts in orders
constexpr std::size_t kMostOrdersBytes = 4 * kMostNamesBytes;
const WorkerId kWorker("w");
const Address kAgent("10.1.0.1:1");

JobId jobName(std::size_t number) { return JobId("j" + std::to_string(100000 + number)); }

/// A job whose tasks all run at the worker, with a text of its own.
jobs::Job jobAtWorker(std::size_t number, std::uint32_t tasks, const std::string& queue = "q", char filler = 'x') {
  jobs::Spec spec;
  spec.id = jobName(number);
  spec.pending = QueueName(queue);
  spec.plainNames = false;
  spec.payload = std::to_string(number) + std::string(kTextBytes, filler);
  spec.steps.resize(1);
  spec.steps[0].name = "0";
  spec.steps[0].count = tasks;
  spec.steps[0].need.slots = 1;
  auto job = jobs::makeJob(std::make_shared<const jobs::Spec>(std::move(spec)));
  for (std::uint32_t task = 0; task < tasks; ++task) jobs::startRun(job, task, kWorker, "life", 10);
  return job;
}

std::size_t frameBytes(const Orders& orders) {
  Frame frame;
  frame.message = orders;
  return encode(frame).size();
}

}  // namespace

TEST_GROUP(start_bytes) {
  fixture::LeadingScheduler leader;
  agent::AgentState agent;
  std::map<AttemptId, AttemptState> worker;  // what it has been given, and what its agent lists of it
  std::uint64_t beats = 0, reports = 0;
  std::size_t mostAnswerBytes = 0, mostOrdersBytes = 0, ordersSent = 0;
  std::vector<AttemptId> started;  // in the order in which the worker was told
  bool takesSharedSpecs = true;

  void lead(const std::vector<jobs::Job>& atWorker) {
    std::vector<Entry> entries;
    for (const auto& job : atWorker)
      for (auto& entry : leader.entriesOf(job)) entries.push_back(std::move(entry));
    leader.lead(entries, "platform");
    leader.state.client.config = fixture::configOf(
        R"({"pools":{"side":{"slots":100000}},"pendings":{"q":{"pool":"side"},"urgent":{"pool":"side","rank":9}}})");
    Settings settings;
    settings.role = Role::agent;
    settings.worker = kWorker.value;
    settings.adapter = "platform";
    settings.peerAddress = kAgent;
    agent = agent::makeAgent(settings, DaemonId("agent"), "i");
    agent.client.config = leader.state.client.config;
    agent.client.configVersion = leader.state.client.configVersion;
    agent.client.sessionUntilMs = leader.nowMs + 10000000;
    agent.client.leader = {leader.term, Address("10.0.0.9:1"), Address("10.0.0.9:2")};
    beat();
    beat();
  }

  /// A heartbeat of the worker that lists all that it was given; what it is told to start, it has from then on.
  void beat() {
    WorkerReport report;
    report.incarnation = "life";
    report.number = ++beats;
    report.pool = PoolName("side");
    report.slots = 100000;
    for (const auto& run : started) report.running.push_back({run, {}, 0});
    Outbox told;
    agent::workerReport(agent, beats, report, {leader.nowMs}, told);
    leader.nowMs += agent.client.settings.bounds.reportMs();
    agent::agentTick(agent, {leader.nowMs}, told);
    takeUp(told);
  }

  /// Brings what the agent says to the worker and to the leader, and the leader's orders to the agent.
  void takeUp(Outbox told) {
    for (const auto& answer : told.answers) {
      if (!answer.brief.worker) continue;
      mostAnswerBytes = std::max(mostAnswerBytes, platform::writeOrders(*answer.brief.worker).size());
      for (const auto& start : answer.brief.worker->start) {
        CHECK(start.spec->size() >= kTextBytes);
        started.push_back(start.run);
      }
    }
    for (auto& send : told.sends) {
      auto* report = std::get_if<AgentReport>(&send.message);
      if (!report) continue;
      report->takesSharedSpecs = takesSharedSpecs;
      leader.out = {};
      leader.state.leaseUntilMs = leader.nowMs + leader.state.client.settings.bounds.leaseMs;
      leader.hear("agent", kAgent, *report);
      deliverOrders();
    }
  }

  void deliverOrders() {
    for (const auto& send : std::exchange(leader.out, {}).sends) {
      const auto* orders = std::get_if<Orders>(&send.message);
      if (!orders) continue;
      ++ordersSent;
      mostOrdersBytes = std::max(mostOrdersBytes, frameBytes(*orders));
      Outbox told;
      agent::agentHeard(agent, Heard{DaemonId("me"), Address("10.0.0.9:1"), *orders}, {leader.nowMs}, told);
      takeUp(std::move(told));
    }
  }

  void beatUntilStarted(std::size_t count) {
    constexpr int kMostBeats = 200;
    for (int i = 0; i < kMostBeats && started.size() < count; ++i) beat();
    LONGS_EQUAL(count, started.size());
    LONGS_EQUAL(count, std::set<AttemptId>(started.begin(), started.end()).size());
    LONGS_EQUAL(0, leader.state.counts.lost);
    LONGS_EQUAL(0, agent.counts.silences);
  }
};

// Guards against review case 10: the text of a job was copied for each task that was ordered, at the leader and at the
// agent, and both went over their memory.
TEST(start_bytes, sixteen_wide_jobs_with_long_texts_are_ordered_with_each_text_once) {
  constexpr std::size_t kJobs = 16, kTasks = 1000;
  std::vector<jobs::Job> wide;
  for (std::size_t number = 0; number < kJobs; ++number) wide.push_back(jobAtWorker(number, kTasks));
  lead(wide);
  CHECK(agent.specs.size() <= kJobs);
  beatUntilStarted(kJobs * kTasks);
  CHECK(mostOrdersBytes < kMostNamesBytes);
  CHECK(mostAnswerBytes < kMostAnswerBytes);
  beat();
  beat();
  agent.specs.dropUnused();
  LONGS_EQUAL(0, agent.specs.size());
}

// Guards against orders and answers that grow with all that waits at a worker, where no two texts are alike.
TEST(start_bytes, many_jobs_with_texts_of_their_own_are_ordered_a_part_at_a_time) {
  constexpr std::size_t kJobs = 4000;
  std::vector<jobs::Job> narrow;
  for (std::size_t number = 0; number < kJobs; ++number) narrow.push_back(jobAtWorker(number, 1));
  lead(narrow);
  beatUntilStarted(kJobs);
  CHECK(mostOrdersBytes < kMostOrdersBytes);
  CHECK(mostAnswerBytes < kMostAnswerBytes);
}

// Guards against answers that are counted by their texts and not by what these take as JSON.
TEST(start_bytes, texts_that_take_six_bytes_a_character_fit_the_answers_that_a_worker_takes) {
  lead({jobAtWorker(0, 3000, "q", '\x01')});
  beatUntilStarted(3000);
  CHECK(mostAnswerBytes < kMostAnswerBytes);
}

// Guards against an agent of an earlier build that is sent texts in a form that it doesn't know.
TEST(start_bytes, an_agent_that_takes_no_shared_specs_is_sent_each_with_its_attempt) {
  takesSharedSpecs = false;
  lead({jobAtWorker(0, 2000)});
  beatUntilStarted(2000);
  CHECK(mostOrdersBytes < kMostOrdersBytes);
  CHECK(mostAnswerBytes < kMostAnswerBytes);
}

// Guards against urgent work that waits behind all that was put off before it.
TEST(start_bytes, what_was_put_off_follows_by_rank) {
  lead({jobAtWorker(0, 3000), jobAtWorker(1, 3000), jobAtWorker(2, 10, "urgent")});
  const auto isUrgent = [](const AttemptId& run) { return run.value.starts_with(jobName(2).value); };
  beatUntilStarted(6010);
  const auto last = std::find_if(started.rbegin(), started.rend(), isUrgent);
  CHECK(std::distance(last, started.rend()) <= 2 * 1100);
}

// Guards against an attempt that is taken for lost because its worker's agent has not been told of it yet.
TEST(start_bytes, an_attempt_that_was_put_off_is_not_lost_and_stops_when_told) {
  lead({jobAtWorker(0, 3000)});
  CHECK(started.size() < 3000);
  scheduler::cancelJob(leader.state, {1, true, {}}, jobName(0), leader.now(), leader.out);
  leader.commit();
  deliverOrders();
  const auto before = started.size();
  for (int i = 0; i < 4; ++i) {
    beat();
    leader.commit();
    deliverOrders();
  }
  LONGS_EQUAL(before, started.size());
  LONGS_EQUAL(before, leader.state.held[kWorker].size());
}
