#include <CppUTest/TestHarness.h>

#include "simulator/footprint.hpp"
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

TEST(simulator, a_heartbeat_waits_behind_the_bulk_before_it) {
  Links links;
  links.setRate("large", 200);
  links.setRate("small", 2);
  constexpr std::size_t kBulkBytes = 25000;
  const auto opened = links.arrivalUs("large", "small", 0, 500, 0);
  LONGS_EQUAL(1500, *opened);  // a round trip, and the way
  const auto bulk = links.arrivalUs("large", "small", kBulkBytes, 500, 10000);
  LONGS_EQUAL(10000 + 1000 + 500 + 100000, *bulk);  // 25 bytes a microsecond, then a quarter of one
  const auto heartbeat = links.arrivalUs("large", "small", 100, 500, 11000);
  CHECK(*heartbeat > *bulk);
  CHECK(*heartbeat < *bulk + 1000);
}

TEST(simulator, what_waits_for_the_sender_of_bulk_holds_up_no_other_link) {
  Links links;
  links.setRate("large", 200);
  links.setRate("small", 2);
  links.setRate("other", 200);
  links.arrivalUs("large", "small", 100000, 500, 0);
  CHECK(*links.arrivalUs("other", "large", 100, 500, 0) < 2000);
}

TEST(simulator, a_link_that_has_too_much_waiting_drops_frames) {
  Links links;
  links.setRate("large", 200);
  links.setRate("small", 2);
  constexpr std::size_t kFrameBytes = 1u << 20;
  int taken = 0;
  for (int i = 0; i < 10; ++i) taken += links.arrivalUs("large", "small", kFrameBytes, 500, 0).has_value();
  CHECK(taken >= 4);
  CHECK(taken < 10);
}

TEST(simulator, a_connection_that_broke_is_opened_anew_and_keeps_nothing) {
  Links links;
  links.setRate("a", 2);
  links.setRate("b", 2);
  links.arrivalUs("a", "b", 100000, 500, 0);
  links.disconnect("b", 1000);
  links.disconnect("a", 1000);
  LONGS_EQUAL(2000 + 3 * 500, *links.arrivalUs("a", "b", 0, 500, 2000));
}

TEST(simulator, a_machine_holds_a_replica_and_a_scheduler_in_one_process) {
  FleetPlan plan;
  plan.sharedMachines = true;
  Sim sim(1, plan);
  auto& replica = *sim.hosts(Role::replica).front();
  auto& scheduler = *sim.hosts(Role::scheduler).front();
  LONGS_EQUAL(2, sim.nodesBeside(replica).size());
  CHECK(sim.nodesBeside(replica).back() == &scheduler);
  sim.start(scheduler);
  CHECK(replica.up);
  LONGS_EQUAL(replica.clock.offsetUs, scheduler.clock.offsetUs);
  sim.cut(replica, scheduler);
  CHECK_FALSE(sim.isCut(replica, scheduler));
  sim.losePower(replica);
  CHECK_FALSE(scheduler.up);
  CHECK_FALSE(scheduler.powered);
  int diskless = 0;
  for (const auto* each : sim.hosts(Role::replica)) diskless += each->isDiskless();
  LONGS_EQUAL(plan.schedulers, diskless);
}

TEST(simulator, what_a_daemon_keeps_is_weighed) {
  Sim sim(1, FleetPlan{});
  auto& host = *sim.hosts(Role::scheduler).front();
  sim.start(host);
  const auto before = footprintOf(*host.node);
  constexpr std::size_t kBytes = 100000;
  daemon::clientOf(*host.node).configText.assign(kBytes, 'x');
  const auto after = footprintOf(*host.node);
  CHECK(after >= before + kBytes);
  CHECK(after < before + 2 * kBytes);
}
