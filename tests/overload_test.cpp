#include <CppUTest/TestHarness.h>

#include "base/ring.hpp"
#include "control/replica.hpp"
#include "scheduler/scheduler.hpp"

using namespace tulip;

namespace {

constexpr std::size_t kJobs = 100;
constexpr std::size_t kJobBytes = 1000;
constexpr Millis kNowMs = 100000;

std::vector<transport::Entry> jobLog() {
  std::vector<transport::Entry> entries;
  for (std::size_t i = 0; i < kJobs; ++i)
    entries.push_back({"job" + std::to_string(i), {}, std::string(kJobBytes, 'j')});
  return entries;
}

/// A voter with a job log, whose leader's lease is over.
control::ReplicaState voterWithJobs() {
  const Address self("10.0.0.1:1");
  Settings settings;
  settings.role = Role::replica;
  settings.peerAddress = self;
  settings.dataFolder = "d";
  storage::Image image;
  image.id = DaemonId("a");
  image.voting = true;
  image.membership = {1, {{image.id, self}}};
  for (const auto& entry : jobLog()) image.jobs.emplace(entry.key, entry);
  return control::makeReplica(settings, std::move(image), "i", {kNowMs - 10 * settings.bounds.leaseMs});
}

std::size_t entriesOf(const transport::Send& send) {
  const auto* promise = std::get_if<transport::JobLogPromise>(&send.message);
  return promise ? promise->entries.size() : 0;
}

std::size_t entriesWaiting(const control::ReplicaState& replica) {
  std::size_t entries = 0;
  for (const auto& [ticket, unsynced] : replica.waiting)
    for (const auto& send : unsynced.sends) entries += entriesOf(send);
  return entries;
}

}  // namespace

TEST_GROUP(overload){};

TEST(overload, callers_never_fill_a_ring_that_daemons_need) {
  Ring<int> ring(8);
  int taken = 0;
  while (ring.offerWithin(1, 2)) ++taken;
  LONGS_EQUAL(2, taken);
  while (ring.offer(2)) ++taken;
  LONGS_EQUAL(8, taken);
  LONGS_EQUAL(8, ring.take(100).size());
  CHECK(ring.offerWithin(1, 2));
}

TEST(overload, a_flood_on_one_queue_line_leaves_the_others_their_share) {
  auto scheduler = scheduler::makeScheduler(Settings{}, DaemonId("p"), "i");
  auto config = std::make_shared<config::Config>();
  std::vector<config::Fault> faults;
  CHECK(config::readConfigText(
      R"({"pendings":{"a":{},"b":{}},"pools":{"s":{"slots":8,"workers":2}},"gangway":{"mostOpenJobs":40}})", *config,
      faults));
  scheduler.client.config = config;
  transport::Outbox out;
  int id = 0;
  auto submit = [&](const char* line) {
    const auto rejected = scheduler.counts.rejected;
    scheduler::submitJob(
        scheduler, 1, R"({"id":"j)" + std::to_string(++id) + R"(","pending":")" + line + R"(","tasks":[{"name":"t"}]})",
        {1}, out);
    return scheduler.counts.rejected == rejected;
  };
  int a = 0, b = 0;
  for (int i = 0; i < 1000; ++i) a += submit("a");
  for (int i = 0; i < 1000; ++i) b += submit("b");
  LONGS_EQUAL(20, a);
  LONGS_EQUAL(10, b);
  LONGS_EQUAL(30, scheduler.jobs.size());
  LONGS_EQUAL(1970, out.answers.size());
  for (const auto& answer : out.answers) {
    LONGS_EQUAL(503, answer.status);
    CHECK(answer.retryMs > 0);
  }
}

TEST(overload, a_replica_holds_its_job_log_once_for_all_promises_that_wait_for_the_disk) {
  auto replica = voterWithJobs();
  transport::Outbox out;
  std::uint64_t last = 0;
  for (std::uint64_t term = 1; term <= 30; ++term)
    for (int repeat = 0; repeat < 3; ++repeat) {
      const transport::JobLogPrepare prepare{1, {last = term, "candidate"}, {}};
      control::replicaStep(replica, transport::Heard{DaemonId("p"), Address("10.0.0.2:1"), prepare},
                           {kNowMs + static_cast<Millis>(term)}, out);
      CHECK(entriesWaiting(replica) <= kJobs);
    }
  LONGS_EQUAL(0, out.sends.size());
  for (const auto& persist : out.persists)
    control::replicaStep(replica, transport::Persisted{persist.ticket, true}, {kNowMs + 100}, out);
  std::size_t promised = 0;
  for (const auto& send : out.sends) {
    if (!entriesOf(send)) continue;
    ++promised;
    LONGS_EQUAL(last, std::get<transport::JobLogPromise>(send.message).term.number);
  }
  LONGS_EQUAL(1, promised);
}
