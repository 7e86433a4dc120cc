#include <CppUTest/TestHarness.h>

#include "misbehaving_clients.hpp"
#include "process_fleet.hpp"

// Clients that keep to no limit, against real processes. Asserted is what doesn't depend on how fast the machine is:
// that every process lives, that its memory and its descriptors stay within what the settings say of its machine, and
// that an ordinary caller is answered while the crowd is still connected.

using namespace tulip;
using namespace tulip::fixture;
namespace bad = tulip::fixture::misbehaviour;

namespace {

constexpr MachineLimits kSmallMachine{48, 4096};
constexpr MachineLimits kFewDescriptors{48, kHeldBackDescriptors + 128};
constexpr MachineLimits kEntryMachine{160, 4100};  // the smallest one of the pages that callers reach

constexpr std::size_t kFlood = 8u << 20;
constexpr int kFloodClients = 12;
constexpr std::size_t kLargestBody = 1u << 20;
constexpr std::size_t kCutShortAt = 960u << 10;
constexpr int kCutShortClients = 120;
constexpr std::size_t kHeaderBytes = 15000;
constexpr int kHeaderClients = 200;
constexpr int kJsonClients = 3;
constexpr std::size_t kJsonBytes = 1000000;
constexpr int kUnreadClients = 100;
constexpr std::size_t kUnreadRequestBytes = 40000;
constexpr int kLargeConfigQueues = 1500;
constexpr int kIdleClients = 400;
constexpr std::uint32_t kHugeFrame = 200u << 20;
constexpr std::uint32_t kLargeFrame = 7u << 20;
constexpr std::size_t kPartOfLargeFrame = 6u << 20;
constexpr std::uint32_t kFrameOfManyElements = 8u << 20;

constexpr auto kNoProgress = std::chrono::seconds(2);  // then clients that haven't finished count as held up

}  // namespace

TEST_GROUP(untrusted_clients) {
  std::unique_ptr<ProcessFleet> fleet;
  std::unique_ptr<MisbehavingClients> clients;

  void teardown() override {
    clients.reset();
    fleet.reset();
  }

  void begin(const MachineLimits& limits, int queues = 1) {
    fleet = std::make_unique<ProcessFleet>(limits);
    clients = std::make_unique<MisbehavingClients>();
    CHECK_TEXT(fleet->configure(1, 0, queues), "the first configuration is taken");
    CHECK_TEXT(fleet->servesOrdinaryCaller(fleet->machine(0)), "callers are served in calm");
  }

  /// Until every client has sent all it would, was refused, or can send no more.
  void pressOn() {
    auto seen = clients->sentBytes();
    auto since = std::chrono::steady_clock::now();
    CHECK(within(kPatience, [&] {
      if (clients->finished() == clients->added()) return true;
      const auto now = std::chrono::steady_clock::now();
      if (clients->sentBytes() != std::exchange(seen, clients->sentBytes())) since = now;
      return now - since > kNoProgress;
    }));
  }

  void checkBounds(FleetProcess & process) {
    CHECK_TEXT(fleet->lives(process), process.name.c_str());
    const auto use = useOf(process.pid);
    const auto memory = use.peakResidentBytes + use.unreadBytes;
    std::printf("%s: %.1f MB, %lld descriptors\n", process.name.c_str(), static_cast<double>(memory) / kMegabyte,
                static_cast<long long>(use.descriptors));
    if (kMemoryIsComparable)
      CHECK_TEXT(memory <= fleet->limits().memoryMb * kMegabyte, "memory over the machine's limit");
    CHECK_TEXT(use.descriptors <= fleet->limits().fileHandles - kHeldBackDescriptors, "descriptors over the limit");
  }

  void checkAll() {
    for (auto& process : fleet->processes()) checkBounds(process);
  }

  /// The whole course of most tests: a crowd presses one process, and everyone else goes on.
  void press(const Address& to, const Misbehaviour& misbehaviour, int count) {
    clients->add(to, misbehaviour, count);
    pressOn();
    checkAll();
    CHECK_TEXT(fleet->servesOrdinaryCaller(fleet->machine(0)), "an ordinary caller is served");
    CHECK_TEXT(fleet->servesWorker(fleet->agent(0)), "a worker is served");
    checkAll();
  }
};

TEST(untrusted_clients, trailers_without_end) {
  begin(kSmallMachine);
  press(fleet->front(fleet->machine(0)), bad::trailersWithoutEnd("/q/00000000000000aa", kFlood), kFloodClients);
}

TEST(untrusted_clients, a_chunk_extension_without_end) {
  begin(kSmallMachine);
  press(fleet->front(fleet->machine(0)), bad::chunkExtensionWithoutEnd("/q/00000000000000aa", kFlood), kFloodClients);
}

TEST(untrusted_clients, chunks_without_end) {
  begin(kSmallMachine);
  press(fleet->front(fleet->machine(0)), bad::chunksWithoutEnd("/q/00000000000000aa", kFlood), kFloodClients);
}

TEST(untrusted_clients, a_body_far_over_the_limit) {
  begin(kSmallMachine);
  press(fleet->front(fleet->machine(0)), bad::bodyFarOverTheLimit("/q/00000000000000aa", kFlood), kFloodClients);
}

TEST(untrusted_clients, headers_without_end) {
  begin(kSmallMachine);
  press(fleet->front(fleet->machine(0)), bad::headersWithoutEnd("/q/00000000000000aa", kFlood), kFloodClients);
}

TEST(untrusted_clients, trailers_without_end_at_the_control_listener) {
  begin(kSmallMachine);
  press(fleet->control(fleet->machine(0)), bad::trailersWithoutEnd("/api/Config.Replace", kFlood), kFloodClients);
}

TEST(untrusted_clients, trailers_without_end_at_the_own_interface) {
  begin(kSmallMachine);
  press(fleet->own(fleet->machine(0)), bad::trailersWithoutEnd("/jobs", kFlood), kFloodClients);
}

TEST(untrusted_clients, trailers_without_end_beside_a_worker) {
  begin(kSmallMachine);
  press(fleet->worker(fleet->agent(0)), bad::trailersWithoutEnd("/api/Servers.Heartbeat/i-2", kFlood), kFloodClients);
}

TEST(untrusted_clients, announced_bodies_that_stop_short) {
  begin(kSmallMachine);
  press(fleet->front(fleet->machine(0)), bad::bodyCutShort("/q/00000000000000aa", kLargestBody, kCutShortAt),
        kCutShortClients);
}

TEST(untrusted_clients, chunks_that_stop_short) {
  begin(kSmallMachine);
  press(fleet->front(fleet->machine(0)), bad::chunkCutShort("/q/00000000000000aa", kLargestBody, kCutShortAt),
        kCutShortClients);
}

TEST(untrusted_clients, bodies_that_stop_short_beside_a_worker) {
  begin(kSmallMachine);
  press(fleet->worker(fleet->agent(0)), bad::bodyCutShort("/api/Servers.Heartbeat/i-2", kLargestBody, kCutShortAt),
        kCutShortClients);
}

TEST(untrusted_clients, many_short_headers_of_requests_that_stop_short) {
  begin(kSmallMachine);
  press(fleet->front(fleet->machine(0)), bad::manyShortHeaders("/q/00000000000000aa", kHeaderBytes), kHeaderClients);
}

TEST(untrusted_clients, bodies_of_empty_objects) {
  begin(kSmallMachine);
  press(fleet->control(fleet->machine(0)), bad::bodyOfEmptyObjects("/api/Config.Replace", kJsonBytes), kJsonClients);
}

TEST(untrusted_clients, bodies_of_empty_objects_at_the_own_interface) {
  begin(kSmallMachine);
  press(fleet->own(fleet->machine(0)), bad::bodyOfEmptyObjects("/configuration", kJsonBytes, "PUT"), kJsonClients);
}

TEST(untrusted_clients, bodies_of_empty_objects_beside_a_worker) {
  begin(kSmallMachine);
  press(fleet->worker(fleet->agent(0)), bad::bodyOfEmptyObjects("/api/Servers.Heartbeat/i-2", kJsonBytes),
        kJsonClients);
}

TEST(untrusted_clients, large_answers_that_are_never_read) {
  begin(kSmallMachine, kLargeConfigQueues);
  press(fleet->control(fleet->machine(0)), bad::answersNeverRead("/api/Config.Read", kUnreadRequestBytes),
        kUnreadClients);
}

TEST(untrusted_clients, frames_that_announce_more_than_they_hold) {
  begin(kSmallMachine);
  press(fleet->peers(fleet->machine(0)), bad::frameAnnounced(kHugeFrame, 16), kFloodClients);
}

TEST(untrusted_clients, large_frames_that_stop_short) {
  begin(kSmallMachine);
  press(fleet->peers(fleet->machine(0)), bad::frameAnnounced(kLargeFrame, kPartOfLargeFrame), kFloodClients);
}

TEST(untrusted_clients, a_frame_of_many_elements) {
  begin(kSmallMachine);
  press(fleet->peers(fleet->machine(0)), bad::frameOfManyElements(kFrameOfManyElements), 1);
}

TEST(untrusted_clients, idle_connections_beyond_the_descriptors) {
  begin(kFewDescriptors);
  press(fleet->front(fleet->machine(0)), bad::silence(), kIdleClients);
}

TEST(untrusted_clients, requests_that_stop_short_beyond_the_descriptors) {
  begin(kFewDescriptors);
  press(fleet->front(fleet->machine(0)), bad::halfARequestBehindAWholeOne("/q/00000000000000aa"), kIdleClients);
}

TEST(untrusted_clients, idle_connections_at_the_daemons_own_port) {
  begin(kFewDescriptors);
  press(fleet->peers(fleet->machine(0)), bad::silence(), kIdleClients);
}

TEST(untrusted_clients, idle_connections_beside_a_worker) {
  begin(kFewDescriptors);
  press(fleet->worker(fleet->agent(0)), bad::silence(), kIdleClients);
}

TEST(untrusted_clients, a_polite_stop_amid_all_of_them) {
  begin(kSmallMachine);
  const auto front = fleet->front(fleet->machine(0));
  clients->add(front, bad::halfARequestBehindAWholeOne("/q/00000000000000aa"), kFloodClients);
  clients->add(front, bad::answersNeverRead("/q/", kUnreadRequestBytes), kFloodClients);
  clients->add(front, bad::bodyCutShort("/q/00000000000000aa", kLargestBody, kCutShortAt), kFloodClients);
  clients->add(front, bad::silence(), kFloodClients);
  pressOn();
  checkAll();
  CHECK_TEXT(fleet->stopPolitely(fleet->machine(0)), "the process ends by the polite stop");
  CHECK_TEXT(fleet->servesOrdinaryCaller(fleet->machine(1)), "an ordinary caller is served elsewhere");
}

// What a single client inside the limits of the pages may send is still served.
TEST(untrusted_clients, the_largest_requests_within_the_limits_are_served) {
  constexpr int kQueues = 5700;
  constexpr std::size_t kStages = 1300;
  begin(kEntryMachine);
  CHECK(ProcessFleet::configuration(2, kQueues).size() > kLargestBody * 9 / 10);
  CHECK_TEXT(fleet->configure(2, 1, kQueues), "a large configuration is taken");
  std::string job =
      R"({"job":")" + std::string(4000, 'j') + R"(","stages":[{"count":1,"cpu":100,"mem_mb":10,"estimate_ms":100})";
  for (std::size_t stage = 1; stage < kStages; ++stage)
    job += R"(,{"count":1,"cpu":100,"mem_mb":10,"estimate_ms":100,"depends_on":[)" + std::to_string(stage - 1) + "]}";
  job += "]}";
  const auto reply = ProcessFleet::call(fleet->front(fleet->machine(0)), "POST", "/q/00000000000000bb", job,
                                        {{"Host", "queue.example"}});
  std::printf("a job of %zu bytes: %d\n", job.size(), reply.status);
  LONGS_EQUAL(200, reply.status);
  checkAll();
}
