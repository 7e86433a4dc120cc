#include <CppUTest/TestHarness.h>

#include "control/replica.hpp"
#include "scheduler/scheduler.hpp"

using namespace tulip;
using namespace tulip::transport;

namespace {

const Address kA("10.0.0.1:1"), kB("10.0.0.2:1"), kC("10.0.0.3:1");

std::shared_ptr<const jobs::Spec> oneTask() {
  jobs::Spec spec;
  spec.id = JobId("j");
  spec.steps.resize(1);
  spec.steps[0].name = std::string(1, 't');
  spec.steps[0].need.slots = 1;
  return std::make_shared<const jobs::Spec>(std::move(spec));
}

std::string jobOn(const char* worker, std::int64_t attempts) {
  auto job = jobs::makeJob(oneTask());
  if (attempts > 0) {
    job.tasks.edit(0).attempts = attempts - 1;
    jobs::startRun(job, 0, WorkerId(worker), "life", 10);
  }
  return jobs::packJob(job);
}

JobLogPromise promiseOf(const Ballot& term, const Ballot& base, Millis fleetMs, std::vector<Entry> entries) {
  JobLogPromise promise;
  promise.term = promise.promised = term;
  promise.ok = true;
  promise.base = base;
  promise.fleetMs = fleetMs;
  promise.entries = std::move(entries);
  if (!promise.entries.empty()) promise.entries.push_back({"~j", {base, 1}, jobs::packSpec(*oneTask())});
  return promise;
}

}  // namespace

TEST_GROUP(takeover) {
  scheduler::SchedulerState scheduler;
  const Ballot first{1, "p1"}, second{2, "p2"}, third{3, "me/i"};
  Outbox out;

  void setup() override {
    Settings settings;
    settings.role = Role::scheduler;
    settings.peerAddress = Address("10.0.0.9:1");
    scheduler = scheduler::makeScheduler(settings, DaemonId("me"), "i");
    scheduler.client.membership = {1, {{DaemonId("a"), kA}, {DaemonId("b"), kB}, {DaemonId("c"), kC}}};
    scheduler.client.sessionUntilMs = 200000;
    scheduler.course = scheduler::Course::preparing;
    scheduler.term = third;
    scheduler.prepareStartMs = 100000;
  }

  static JobLogPromise withoutValues(JobLogPromise promise) {
    for (auto& entry : promise.entries) {
      promise.leftOut.push_back(entry.value.size());
      entry.value.clear();
    }
    return promise;
  }

  std::size_t asksForValues(const Address& voter) const {
    std::size_t asks = 0;
    for (const auto& send : out.sends)
      if (const auto* ask = std::get_if<JobLogPrepare>(&send.message); ask && send.to == voter)
        asks += !ask->versionsOnly;
    return asks;
  }

  void hear(const char* id, const Address& from, JobLogPromise promise) {
    scheduler::schedulerHeard(scheduler, Heard{DaemonId(id), from, std::move(promise)}, {100010}, out);
  }
};

TEST(takeover, what_an_older_term_left_at_one_replica_is_not_taken_for_newer) {
  hear("b", kB, promiseOf(third, second, 5000, {{"j", {first, 3}, jobOn("", 0)}}));
  hear("c", kC, promiseOf(third, first, 9000, {{"j", {first, 9}, jobOn("left-over", 1)}}));
  CHECK(scheduler.course == scheduler::Course::leading);
  CHECK(scheduler.jobs.at(JobId("j")).tasks[0].state == jobs::TaskState::pending);
  LONGS_EQUAL(5000, control::fleetNow(scheduler.client, {100010}));
  std::size_t rewrites = 0;
  for (const auto& send : out.sends)
    if (const auto* accept = std::get_if<JobLogAccept>(&send.message); accept && !accept->entries.empty()) {
      ++rewrites;
      CHECK(accept->entries[0].version.ballot == third);
    }
  LONGS_EQUAL(2, rewrites);
}

TEST(takeover, of_two_replicas_of_the_newest_base_the_newer_version_is_kept) {
  hear("a", kA, promiseOf(third, second, 5000, {{"j", {second, 4}, jobOn("w", 1)}}));
  hear("b", kB, promiseOf(third, second, 6000, {{"j", {second, 3}, jobOn("", 0)}}));
  CHECK(scheduler.course == scheduler::Course::leading);
  CHECK(scheduler.jobs.at(JobId("j")).tasks[0].state == jobs::TaskState::placed);
  LONGS_EQUAL(6000, control::fleetNow(scheduler.client, {100010}));
}

TEST(takeover, a_value_that_one_promise_brings_need_not_be_in_the_others) {
  hear("a", kA, promiseOf(third, second, 5000, {{"j", {second, 4}, jobOn("w", 1)}}));
  hear("b", kB, withoutValues(promiseOf(third, second, 6000, {{"j", {second, 4}, jobOn("w", 1)}})));
  CHECK(scheduler.course == scheduler::Course::leading);
  CHECK(scheduler.jobs.at(JobId("j")).tasks[0].state == jobs::TaskState::placed);
  LONGS_EQUAL(0, scheduler.counts.rewritten);
}

TEST(takeover, a_value_that_no_promise_brings_is_asked_for_before_anything_is_led) {
  const std::vector<Entry> newest{{"j", {second, 4}, jobOn("w", 1)}};
  hear("a", kA, promiseOf(third, second, 5000, {{"j", {second, 3}, jobOn("", 0)}}));
  hear("b", kB, withoutValues(promiseOf(third, second, 6000, newest)));
  CHECK(scheduler.course == scheduler::Course::preparing);
  LONGS_EQUAL(1, asksForValues(kB));
  LONGS_EQUAL(0, asksForValues(kA));
  hear("b", kB, promiseOf(third, second, 6000, newest));
  CHECK(scheduler.course == scheduler::Course::leading);
  CHECK(scheduler.jobs.at(JobId("j")).tasks[0].state == jobs::TaskState::placed);
  LONGS_EQUAL(6000, control::fleetNow(scheduler.client, {100010}));
}

TEST(takeover, a_voter_that_brings_no_values_is_left_for_another_that_has_them) {
  const auto bare = withoutValues(promiseOf(third, second, 5000, {{"j", {second, 4}, jobOn("w", 1)}}));
  hear("a", kA, bare);
  hear("b", kB, bare);
  LONGS_EQUAL(1, asksForValues(kA));
  hear("a", kA, bare);
  LONGS_EQUAL(1, asksForValues(kA));
  const auto pauseMs = scheduler.client.settings.bounds.leaseMs / 2;
  scheduler::schedulerTick(scheduler, {100010 + pauseMs}, out);
  LONGS_EQUAL(1, asksForValues(kA));
  LONGS_EQUAL(1, asksForValues(kB));
}

TEST(takeover, a_value_of_an_older_base_is_not_asked_for) {
  hear("a", kA, promiseOf(third, second, 5000, {{"j", {first, 3}, jobOn("", 0)}}));
  hear("b", kB, withoutValues(promiseOf(third, first, 9000, {{"j", {first, 9}, jobOn("left-over", 1)}})));
  CHECK(scheduler.course == scheduler::Course::leading);
  CHECK(scheduler.jobs.at(JobId("j")).tasks[0].state == jobs::TaskState::pending);
  LONGS_EQUAL(0, asksForValues(kB));
}

TEST(takeover, a_job_dropped_everywhere_needs_no_value) {
  auto promise = withoutValues(promiseOf(third, second, 5000, {}));
  promise.entries = {{"j", {second, 4}, {}}, {"~j", {second, 4}, {}}};
  promise.leftOut = {0, 0};
  hear("a", kA, promise);
  hear("b", kB, promise);
  CHECK(scheduler.course == scheduler::Course::leading);
  CHECK(scheduler.jobs.empty());
}

TEST(takeover, nothing_leads_on_the_word_of_one_replica_or_of_a_stranger) {
  hear("a", kA, promiseOf(third, second, 5000, {}));
  hear("x", Address("10.0.0.4:1"), promiseOf(third, second, 5000, {}));
  CHECK(scheduler.course == scheduler::Course::preparing);
}

TEST(takeover, a_leader_gives_way_when_one_replica_keeps_to_a_newer_term_that_nobody_leads) {
  hear("a", kA, promiseOf(third, second, 5000, {}));
  hear("b", kB, promiseOf(third, second, 5000, {}));
  CHECK(scheduler.course == scheduler::Course::leading);
  JobLogPromise rejection;
  rejection.term = third;
  rejection.promised = {3, "other"};
  const auto leaseMs = scheduler.client.settings.bounds.leaseMs;
  scheduler::schedulerHeard(scheduler, Heard{DaemonId("c"), kC, rejection}, {100010 + leaseMs}, out);
  CHECK(scheduler.course == scheduler::Course::leading);
  out = {};
  scheduler::schedulerHeard(scheduler, Heard{DaemonId("c"), kC, rejection}, {100010 + 4 * leaseMs}, out);
  CHECK(scheduler.course == scheduler::Course::following);
  std::size_t resigned = 0;
  for (const auto& send : out.sends) resigned += std::holds_alternative<Resign>(send.message);
  LONGS_EQUAL(3, resigned);
}

TEST(takeover, a_later_life_of_the_leader_ends_its_lease_at_a_replica_that_restarted) {
  for (const char* heartbeats : {"scheduler-a-2", "scheduler-c-1", "scheduler-a-1"}) {
    Settings settings;
    settings.role = Role::replica;
    settings.peerAddress = kA;
    settings.dataFolder = "d";
    storage::Image image;
    image.id = DaemonId("a");
    image.voting = true;
    image.membership = {1, {{DaemonId("a"), kA}, {DaemonId("b"), kB}, {DaemonId("c"), kC}}};
    image.jobLogPromised = {5, "scheduler-a-1/1"};
    auto replica = control::makeReplica(settings, image, "i", {1000});
    auto asks = [&](Millis atMs) {
      Outbox got;
      control::replicaStep(replica, Heard{DaemonId("scheduler-b-1"), kB, JobLogPrepare{1, {6, "scheduler-b-1/1"}, {}}},
                           {atMs}, got);
      return !got.persists.empty();
    };
    CHECK_FALSE(asks(1010));
    Outbox got;
    SessionHeartbeat heartbeat;
    heartbeat.me.id = DaemonId(heartbeats);
    control::replicaStep(replica, Heard{heartbeat.me.id, kC, heartbeat}, {1020}, got);
    CHECK_EQUAL(std::string_view(heartbeats) == "scheduler-a-2", asks(1030));
  }
}

TEST(takeover, a_leader_that_asks_again_or_resigned_waits_for_no_lease_of_its_own) {
  const Ballot promised{5, "scheduler-a-1/1"};
  auto restarted = [&] {
    Settings settings;
    settings.role = Role::replica;
    settings.peerAddress = kA;
    settings.dataFolder = "d";
    storage::Image image;
    image.id = DaemonId("a");
    image.voting = true;
    image.membership = {1, {{DaemonId("a"), kA}, {DaemonId("b"), kB}, {DaemonId("c"), kC}}};
    image.jobLogPromised = promised;
    return control::makeReplica(settings, image, "i", {1000});
  };
  auto asks = [&](control::ReplicaState& replica, const Ballot& term) {
    Outbox got;
    control::replicaStep(replica, Heard{DaemonId("scheduler"), kB, JobLogPrepare{1, term, {}}}, {1020}, got);
    return !got.persists.empty();
  };
  auto another = restarted();
  CHECK_FALSE(asks(another, {6, "scheduler-b-1/1"}));
  auto same = restarted();
  CHECK_FALSE(asks(same, {4, "scheduler-a-1/1"}));
  CHECK(asks(same, {6, "scheduler-a-1/1"}));

  auto resigned = restarted();
  Outbox got;
  control::replicaStep(resigned, Heard{DaemonId("scheduler-a-1"), kB, Resign{{4, "scheduler-a-1/1"}}}, {1010}, got);
  CHECK_FALSE(asks(resigned, {6, "scheduler-b-1/1"}));
  control::replicaStep(resigned, Heard{DaemonId("scheduler-a-1"), kB, Resign{promised}}, {1010}, got);
  CHECK(asks(resigned, {6, "scheduler-b-1/1"}));
}

TEST(takeover, promises_of_an_earlier_membership_make_no_majority_of_the_present_one) {
  auto earlier = promiseOf(third, second, 5000, {});
  earlier.membership = 1;
  hear("a", kA, earlier);
  const Membership next{2, {{DaemonId("a"), kA}, {DaemonId("b"), kB}, {DaemonId("d"), kC}}};
  scheduler.client.membership = next;
  auto present = promiseOf(third, second, 5000, {});
  present.membership = 2;
  hear("b", kB, present);
  CHECK(scheduler.course == scheduler::Course::preparing);
  hear("a", kA, earlier);
  CHECK(scheduler.course == scheduler::Course::preparing);
  hear("a", kA, present);
  CHECK(scheduler.course == scheduler::Course::leading);
}

TEST(takeover, orders_to_an_agent_go_on_rising_after_a_delayed_report_of_the_agent_before) {
  hear("a", kA, promiseOf(third, second, 5000, {}));
  hear("b", kB, promiseOf(third, second, 5000, {}));
  for (const auto& [id, from] : {std::pair("a", kA), std::pair("b", kB)})
    scheduler::schedulerHeard(scheduler, Heard{DaemonId(id), from, JobLogAccepted{third, 1, 100010, true, true, third}},
                              {100011}, out);
  CHECK(scheduler::leads(scheduler, {100011}));
  const auto reported = [&](const char* agent, std::uint64_t seq) {
    AgentReport report;
    report.agent = DaemonId(agent);
    report.worker = WorkerId("w");
    report.seq = seq;
    Outbox got;
    scheduler::schedulerHeard(scheduler, Heard{DaemonId(agent), kC, report}, {100012}, got);
    for (const auto& send : got.sends)
      if (const auto* orders = std::get_if<Orders>(&send.message)) return orders->seq;
    return std::uint64_t{0};
  };
  reported("earlier", 1);
  const auto first = reported("later", 1);
  CHECK(reported("earlier", 2) > 0);
  CHECK(reported("later", 2) > first);
}
