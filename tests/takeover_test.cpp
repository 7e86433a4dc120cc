#include <CppUTest/TestHarness.h>

#include "manifest/pilot.hpp"
#include "watch/quay.hpp"

using namespace tulip;
using namespace tulip::signal;

namespace {

const Address kA("10.0.0.1:1"), kB("10.0.0.2:1"), kC("10.0.0.3:1");

std::shared_ptr<const manifest::Spec> oneTask() {
  manifest::Spec spec;
  spec.id = JobId("j");
  spec.steps.resize(1);
  spec.steps[0].name = std::string(1, 't');
  spec.steps[0].need.slots = 1;
  return std::make_shared<const manifest::Spec>(std::move(spec));
}

std::string jobOn(const char* worker, std::int64_t attempts) {
  auto job = manifest::makeJob(oneTask());
  if (attempts > 0) {
    job.tasks[0].attempts = attempts - 1;
    manifest::startRun(job, 0, WorkerId(worker), "life", 10);
  }
  return manifest::packJob(job);
}

RangePromise promiseOf(const Ballot& term, const Ballot& base, Millis fleetMs, std::vector<Entry> entries) {
  RangePromise promise;
  promise.term = promise.promised = term;
  promise.ok = true;
  promise.base = base;
  promise.fleetMs = fleetMs;
  promise.entries = std::move(entries);
  if (!promise.entries.empty()) promise.entries.push_back({"~j", {base, 1}, manifest::packSpec(*oneTask())});
  return promise;
}

}  // namespace

TEST_GROUP(takeover) {
  manifest::PilotState pilot;
  const Ballot first{1, "p1"}, second{2, "p2"}, third{3, "me/i"};
  Outbox out;

  void setup() override {
    Env env;
    env.role = Role::pilot;
    env.signal = Address("10.0.0.9:1");
    pilot = manifest::makePilot(env, DaemonId("me"), "i");
    pilot.crew.cohort = {1, {{DaemonId("a"), kA}, {DaemonId("b"), kB}, {DaemonId("c"), kC}}};
    pilot.crew.sessionUntilMs = 200000;
    pilot.course = manifest::Course::preparing;
    pilot.term = third;
    pilot.prepareStartMs = 100000;
  }

  void hear(const char* id, const Address& from, RangePromise promise) {
    manifest::pilotHeard(pilot, Heard{DaemonId(id), from, std::move(promise)}, {100010}, out);
  }
};

TEST(takeover, what_an_older_term_left_at_one_quay_is_not_taken_for_newer) {
  hear("b", kB, promiseOf(third, second, 5000, {{"j", {first, 3}, jobOn("", 0)}}));
  hear("c", kC, promiseOf(third, first, 9000, {{"j", {first, 9}, jobOn("left-over", 1)}}));
  CHECK(pilot.course == manifest::Course::leading);
  CHECK(pilot.jobs.at(JobId("j")).tasks[0].state == manifest::TaskState::pending);
  LONGS_EQUAL(5000, watch::fleetNow(pilot.crew, {100010}));
  std::size_t rewrites = 0;
  for (const auto& send : out.sends)
    if (const auto* accept = std::get_if<RangeAccept>(&send.message); accept && !accept->entries.empty()) {
      ++rewrites;
      CHECK(accept->entries[0].version.ballot == third);
    }
  LONGS_EQUAL(2, rewrites);
}

TEST(takeover, of_two_quays_of_the_newest_base_the_newer_version_is_kept) {
  hear("a", kA, promiseOf(third, second, 5000, {{"j", {second, 4}, jobOn("w", 1)}}));
  hear("b", kB, promiseOf(third, second, 6000, {{"j", {second, 3}, jobOn("", 0)}}));
  CHECK(pilot.course == manifest::Course::leading);
  CHECK(pilot.jobs.at(JobId("j")).tasks[0].state == manifest::TaskState::placed);
  LONGS_EQUAL(6000, watch::fleetNow(pilot.crew, {100010}));
}

TEST(takeover, nothing_leads_on_the_word_of_one_quay_or_of_a_stranger) {
  hear("a", kA, promiseOf(third, second, 5000, {}));
  hear("x", Address("10.0.0.4:1"), promiseOf(third, second, 5000, {}));
  CHECK(pilot.course == manifest::Course::preparing);
}

TEST(takeover, a_leader_gives_way_when_one_quay_keeps_to_a_newer_term_that_nobody_leads) {
  hear("a", kA, promiseOf(third, second, 5000, {}));
  hear("b", kB, promiseOf(third, second, 5000, {}));
  CHECK(pilot.course == manifest::Course::leading);
  RangePromise denial;
  denial.term = third;
  denial.promised = {3, "other"};
  const auto termMs = pilot.crew.env.bounds.termMs;
  manifest::pilotHeard(pilot, Heard{DaemonId("c"), kC, denial}, {100010 + termMs}, out);
  CHECK(pilot.course == manifest::Course::leading);
  out = {};
  manifest::pilotHeard(pilot, Heard{DaemonId("c"), kC, denial}, {100010 + 4 * termMs}, out);
  CHECK(pilot.course == manifest::Course::following);
  std::size_t resigned = 0;
  for (const auto& send : out.sends) resigned += std::holds_alternative<Resign>(send.message);
  LONGS_EQUAL(3, resigned);
}

TEST(takeover, a_later_life_of_the_leader_ends_its_lease_at_a_quay_that_restarted) {
  for (const char* beats : {"pilot-a-2", "pilot-c-1", "pilot-a-1"}) {
    Env env;
    env.role = Role::quay;
    env.signal = kA;
    env.dataFolder = "d";
    hold::Image image;
    image.id = DaemonId("a");
    image.voting = true;
    image.cohort = {1, {{DaemonId("a"), kA}, {DaemonId("b"), kB}, {DaemonId("c"), kC}}};
    image.rangePromised = {5, "pilot-a-1/1"};
    auto quay = watch::makeQuay(env, image, "i", {1000});
    auto asks = [&](Millis atMs) {
      Outbox got;
      watch::quayStep(quay, Heard{DaemonId("pilot-b-1"), kB, RangePrepare{1, {6, "pilot-b-1/1"}, {}}}, {atMs}, got);
      return !got.persists.empty();
    };
    CHECK_FALSE(asks(1010));
    Outbox got;
    SessionBeat beat;
    beat.me.id = DaemonId(beats);
    watch::quayStep(quay, Heard{beat.me.id, kC, beat}, {1020}, got);
    CHECK_EQUAL(std::string_view(beats) == "pilot-a-2", asks(1030));
  }
}
