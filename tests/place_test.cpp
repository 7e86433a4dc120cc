#include <CppUTest/TestHarness.h>

#include <thread>

#include "simulator/day.hpp"

using namespace tulip;
using namespace tulip::simulator;

namespace {

void everyStepOf(const char* operation, std::size_t fewest) {
  const auto plan = operationDay(operation, 1);
  const auto quiet = runDay(plan);
  LONGS_EQUAL(0, quiet.broken.size());
  const auto places = allPlaces(quiet.points, 1, plan.operation != "cohort-change");
  CHECK(places.size() >= fewest);
  std::vector<DayResult> results(places.size());
  inThreads(static_cast<int>(std::max(1u, std::thread::hardware_concurrency())), places.size(), [&](std::size_t at) {
    auto struck = plan;
    struck.place = places[at];
    results[at] = runDay(struck);
  });
  for (std::size_t i = 0; i < places.size(); ++i) {
    for (const auto& each : results[i].broken)
      UT_PRINT((plan.operation + "@" + placeText(places[i]) + " " + each.rule + ": " + each.what).c_str());
    LONGS_EQUAL(0, results[i].broken.size());
    CHECK(results[i].placed);
  }
}

}  // namespace

TEST_GROUP(place){};

TEST(place, a_blow_at_the_first_of_each_step_of_a_gang_breaks_nothing) { everyStepOf("gang", 150); }
TEST(place, nor_of_a_cancel) { everyStepOf("cancel", 150); }
TEST(place, nor_of_a_configuration) { everyStepOf("configuration", 200); }
TEST(place, nor_of_a_takeover) { everyStepOf("takeover", 200); }

TEST(place, a_place_is_read_as_it_is_printed) {
  Place place;
  CHECK(readPlace("replica.Persisted:3:unsent:power", place));
  STRCMP_EQUAL("replica.Persisted:3:unsent:power", placeText(place).c_str());
  CHECK_FALSE(readPlace("replica.Persisted:0:unsent:power", place));
  CHECK_FALSE(readPlace("replica.Persisted:3:often:power", place));
  CHECK_FALSE(readPlace("replica.Persisted", place));
}
