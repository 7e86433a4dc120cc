#include <CppUTest/TestHarness.h>

#include "watch/quay.hpp"

using namespace tulip;
using namespace tulip::signal;

namespace {

const Address kA("10.0.0.1:1"), kB("10.0.0.2:1"), kC("10.0.0.3:1"), kD("10.0.0.4:1");

Env envOf(const Address& address) {
  Env env;
  env.role = Role::quay;
  env.signal = address;
  env.cell = CellName("a");
  env.dataFolder = "simulated";
  env.seeds = {kA, kB, kC};
  return env;
}

watch::QuayState quayOf(const char* id, const Address& address, const Cohort& cohort, bool voting) {
  hold::Image image;
  image.id = DaemonId(id);
  image.cohort = cohort;
  image.voting = voting;
  return watch::makeQuay(envOf(address), image, "i", {100000});
}

Outbox hears(watch::QuayState& quay, const char* from, const Address& address, Message message, Millis nowMs = 100010) {
  Outbox out;
  watch::quayStep(quay, Heard{DaemonId(from), address, std::move(message)}, {nowMs}, out);
  Outbox synced;
  for (const auto& persist : out.persists) watch::quayStep(quay, Persisted{persist.ticket, true}, {nowMs + 1}, synced);
  for (auto& send : synced.sends) out.sends.push_back(std::move(send));
  return out;
}

template <class Body> const Body* only(const Outbox& out) {
  for (const auto& send : out.sends)
    if (const auto* body = std::get_if<Body>(&send.message)) return body;
  return nullptr;
}

}  // namespace

TEST_GROUP(cohort){};

TEST(cohort, a_seat_taken_over_keeps_what_the_others_promised) {
  const Cohort next{2, {{DaemonId("a"), kA}, {DaemonId("b"), kB}, {DaemonId("d"), kD}}};
  auto a = quayOf("a", kA, next, true), b = quayOf("b", kB, next, true), d = quayOf("d", kD, next, false);
  a.image.registers["chart"] = {{9, "x"}, {3, "x"}, "old"};
  b.image.registers["chart"] = {{4, "x"}, {3, "x"}, "old"};
  for (auto* each : {&a, &b}) {
    const auto given = hears(*each, "d", kD, CatchUpAsk{2, DaemonId("d")});
    const auto* give = only<CatchUpGive>(given);
    CHECK(give != nullptr);
    hears(d, each->image.id.value.c_str(), each->crew.env.signal, *give);
  }
  CHECK(d.image.voting);
  STRCMP_EQUAL("old", d.image.registers["chart"].value.c_str());
  const auto answered = hears(d, "p", Address("10.0.0.9:1"), RegisterAccept{2, "chart", {5, "y"}, "new"});
  const auto* accepted = only<RegisterAccepted>(answered);
  CHECK(accepted != nullptr);
  CHECK_FALSE(accepted->ok);
  LONGS_EQUAL(9, accepted->promised.number);
}

TEST(cohort, a_change_without_a_name_that_was_finished_by_another_is_told_as_done) {
  const Cohort cohort{1, {{DaemonId("a"), kA}, {DaemonId("b"), kB}, {DaemonId("c"), kC}}};
  Env env = envOf(Address("10.0.0.9:1"));
  env.role = Role::pilot;
  auto crew = watch::makeCrew(env, DaemonId("p"), "i");
  crew.cohort = cohort;
  Outbox out;
  watch::Edit edit;
  edit.body = "{\"pendings\":{\"gate\":{}}}";
  edit.expected = 0;
  watch::proposeChart(crew, 77, edit, 4000, {100000}, out);
  const auto first = crew.proposals.front().ballot;
  auto tell = [&](const Address& from, Message message, Millis nowMs) {
    watch::crewHeard(crew, Heard{DaemonId("q"), from, std::move(message)}, {nowMs}, out);
  };
  tell(kA, RegisterPromise{"chart", first, true, first, {}, {}}, 100001);
  tell(kB, RegisterPromise{"chart", first, true, first, {}, {}}, 100001);
  const auto value = crew.proposals.front().value;
  CHECK_FALSE(value.empty());
  tell(kA, RegisterAccepted{"chart", first, true, first}, 100002);
  const Ballot theirs{first.number + 1, "other"};
  tell(kB, RegisterAccepted{"chart", first, false, theirs}, 100003);
  watch::crewTick(crew, {100900}, out);
  const auto second = crew.proposals.front().ballot;
  CHECK(theirs < second);
  for (const auto& from : {kA, kB}) tell(from, RegisterPromise{"chart", second, true, second, theirs, value}, 100901);
  for (const auto& from : {kA, kB}) tell(from, RegisterAccepted{"chart", second, true, second}, 100902);
  for (const auto& from : {kA, kB, kC}) tell(from, AckState{1, second.number, true, {}}, 100903);
  LONGS_EQUAL(1, out.answers.size());
  LONGS_EQUAL(200, out.answers.front().status);
  STRCMP_EQUAL("{\"revision\":1}", out.answers.front().body.c_str());
}

TEST(cohort, a_quay_whose_disk_hangs_says_so_and_votes_again_when_it_is_through) {
  const Cohort cohort{1, {{DaemonId("a"), kA}, {DaemonId("b"), kB}, {DaemonId("c"), kC}}};
  auto a = quayOf("a", kA, cohort, true);
  Outbox out;
  watch::quayStep(a, Heard{DaemonId("p"), kD, RegisterPrepare{1, "chart", {5, "p"}}}, {101000}, out);
  LONGS_EQUAL(1, out.persists.size());
  const auto ailsAt = [&](Millis nowMs) {
    Outbox beats;
    watch::quayStep(a, Tick{}, {nowMs}, beats);
    const auto* beat = only<QuayBeat>(beats);
    CHECK(beat != nullptr);
    return beat->ailing;
  };
  CHECK_FALSE(ailsAt(102000));
  CHECK(ailsAt(103000));
  const auto denied = hears(a, "p", kD, RegisterPrepare{1, "chart", {7, "p"}}, 103001);
  LONGS_EQUAL(0, denied.persists.size());
  Outbox through;
  watch::quayStep(a, Persisted{out.persists.front().ticket, true}, {104000}, through);
  CHECK(only<RegisterPromise>(through) != nullptr);
  CHECK_FALSE(ailsAt(105000));
}

TEST(cohort, a_quay_that_voted_for_the_next_cohort_takes_no_more_part_in_this_one) {
  const Cohort cohort{1, {{DaemonId("a"), kA}, {DaemonId("b"), kB}, {DaemonId("c"), kC}}};
  auto a = quayOf("a", kA, cohort, true);
  CHECK(only<RegisterPromise>(hears(a, "p", kD, RegisterPrepare{1, "chart", {5, "p"}})) != nullptr);
  hears(a, "b", kB, RegisterAccept{1, "cohort/2", {6, "b"}, "next"});
  CHECK(only<RegisterPromise>(hears(a, "p", kD, RegisterPrepare{1, "chart", {7, "p"}})) == nullptr);
  CHECK(only<RegisterAccepted>(hears(a, "p", kD, RegisterAccept{1, "chart", {7, "p"}, "late"})) == nullptr);
  CHECK(only<RangePromise>(hears(a, "p", kD, RangePrepare{1, {9, "p"}, {}})) == nullptr);
  auto again = watch::makeQuay(envOf(kA), a.image, "j", {200000});
  CHECK(only<RegisterPromise>(hears(again, "p", kD, RegisterPrepare{1, "chart", {8, "p"}}, 200010)) == nullptr);
}

TEST(cohort, a_quay_grants_no_session_before_it_has_read_the_configuration) {
  const Cohort cohort{1, {{DaemonId("a"), kA}, {DaemonId("b"), kB}, {DaemonId("c"), kC}}};
  auto a = quayOf("a", kA, cohort, true);
  QuayBeat beat;
  beat.seat = {DaemonId("b"), kB};
  beat.cohort = cohort;
  beat.sentMs = 1;
  beat.echoMs = 100000;
  hears(a, "b", kB, beat);
  CHECK(watch::standing(a, {100010}));
  SessionBeat me;
  me.me.id = DaemonId("t");
  me.me.role = Role::tender;
  me.sentMs = 5;
  CHECK(only<SessionGrant>(hears(a, "t", kD, me)) == nullptr);
  beat.chartBallot = {4, "p"};
  chart::Stored stored;
  stored.revision = 7;
  stored.text = "{}";
  beat.chartValue = chart::writeStored(stored);
  ++beat.sentMs;
  hears(a, "b", kB, beat);
  const auto granted = hears(a, "t", kD, me);
  CHECK(only<SessionGrant>(granted) != nullptr);
  LONGS_EQUAL(7, only<SessionGrant>(granted)->chartRevision);
  stored.revision = 6;
  hears(a, "p", kD, RegisterChosen{"chart", {3, "p"}, chart::writeStored(stored)});
  LONGS_EQUAL(7, only<SessionGrant>(hears(a, "t", kD, me))->chartRevision);
}
