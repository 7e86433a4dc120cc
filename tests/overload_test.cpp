#include <CppUTest/TestHarness.h>

#include "base/ring.hpp"
#include "scheduler/scheduler.hpp"

using namespace tulip;

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
