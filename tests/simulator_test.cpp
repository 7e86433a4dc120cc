#include <CppUTest/TestHarness.h>

#include "simulator/sim.hpp"

using namespace tulip;
using namespace tulip::simulator;

namespace {

constexpr Micros kSecondUs = 1000000;

Draw drawsFrom(std::uint64_t seed) {
  return [random = std::make_shared<std::mt19937_64>(seed)](std::int64_t bound) {
    return static_cast<std::int64_t>((*random)() % static_cast<std::uint64_t>(bound));
  };
}

}  // namespace

TEST_GROUP(simulator){};

TEST(simulator, a_clock_shows_at_a_time_what_it_was_asked_for) {
  const auto clock = switchedOn({}, 7 * kSecondUs, drawsFrom(1));
  const auto shownMs = read(clock, 9 * kSecondUs).steadyMs + 250;
  LONGS_EQUAL(shownMs, read(clock, whenShows(clock, shownMs)).steadyMs);
}

TEST(simulator, a_machine_switched_on_starts_its_steady_clock_lower_or_higher) {
  int lower = 0, higher = 0;
  MachineClock clock;
  clock.offsetUs = 600 * kSecondUs;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    const auto again = switchedOn(clock, kSecondUs, drawsFrom(seed));
    const auto before = read(clock, kSecondUs).steadyMs, after = read(again, kSecondUs).steadyMs;
    lower += after < before;
    higher += after > before;
    CHECK(after >= 0);
    CHECK(again.rate >= 1.0 - kMostDrift && again.rate <= 1.0 + kMostDrift);
    LONGS_EQUAL(read(clock, kSecondUs).wallMs, read(again, kSecondUs).wallMs);
  }
  CHECK(lower > 5);
  CHECK(higher > 5);
}

TEST(simulator, a_killed_process_keeps_the_clock_and_a_power_loss_does_not) {
  Sim sim(1, FleetPlan{});
  auto& host = *sim.hosts(Role::replica).front();
  sim.start(host);
  const auto first = host.clock;
  sim.crash(host);
  sim.start(host);
  LONGS_EQUAL(first.offsetUs, host.clock.offsetUs);
  DOUBLES_EQUAL(first.rate, host.clock.rate, 0);
  sim.losePower(host);
  sim.start(host);
  CHECK(first.offsetUs != host.clock.offsetUs);
}

TEST(simulator, each_life_numbers_its_requests_anew) {
  Sim sim(1, FleetPlan{});
  auto& host = *sim.hosts(Role::replica).front();
  sim.start(host);
  host.nextRequest = 5;
  sim.crash(host);
  sim.start(host);
  LONGS_EQUAL(0, host.nextRequest);
}

TEST(simulator, a_cut_is_one_way) {
  Network network;
  network.cut("a", "b");
  CHECK(network.isCut("a", "b"));
  CHECK_FALSE(network.isCut("b", "a"));
  network.heal();
  CHECK_FALSE(network.anyCut());
}

TEST(simulator, a_stalled_link_holds_what_fits_its_buffers) {
  Network network;
  network.stall("a", "b", 100);
  LONGS_EQUAL(50, network.readableAt("b", "a", 50));
  for (int i = 0; i < 256; ++i) LONGS_EQUAL(100, network.readableAt("a", "b", 50));
  LONGS_EQUAL(0, network.readableAt("a", "b", 50));
  LONGS_EQUAL(100, network.readableAt("a", "b", 100));
}

TEST(simulator, a_reset_lets_a_prefix_arrive) {
  Network network;
  network.reset("a", 40, 50);
  CHECK_FALSE(network.lostByReset("a", "b", 40));
  CHECK(network.lostByReset("a", "b", 41));
  CHECK(network.lostByReset("b", "a", 50));
  CHECK_FALSE(network.lostByReset("a", "b", 51));
  CHECK_FALSE(network.lostByReset("b", "c", 45));
}
