#include <CppUTest/TestHarness.h>

#include "harbour.hpp"

using namespace tulip;
using namespace tulip::harbour;

namespace {

watch::Edit edit(std::string body, std::string name = {}) {
  watch::Edit made;
  made.whole = true;
  made.body = std::move(body);
  made.name = std::move(name);
  return made;
}

watch::Edit numbered(Revision edition, Revision basedOn, std::string body, std::string name = {}) {
  auto made = edit(std::move(body), std::move(name));
  made.sections = true;
  made.edition = edition;
  made.basedOn = basedOn;
  return made;
}

std::string manyLines(int count) {
  std::string body = R"({"pendings":{)";
  for (int i = 0; i < count; ++i)
    body += (i ? "," : "") + std::string("\"line-") + std::to_string(i) + R"(":{"host":"h.example","prefix":"/p)" + std::to_string(i) +
            R"(/","aimMs":2000,"stretch":2.2,"rank":-1,"asSent":{"name":"r-a3hwrr6","hostname":"h.example","path_prefix":"/p)" + std::to_string(i) +
            R"(/","route_kind":"unsafe","timeout_ms":3000,"target_ms":2000,"rank":1,"backend":"pool-a","tries":4,"stretch":2.2}})";
  return body + "}}";
}

}  // namespace

TEST_GROUP(confirm) {
  Harbour harbour;

  void setup() override {
    for (int number : {1, 2, 3}) harbour.seeds.push_back(Harbour::addressOf(number));
    harbour.quay(1, "a");
    harbour.quay(2, "b");
    harbour.quay(3, "c");
    for (int number : {21, 22, 23, 24, 25, 26}) harbour.crew(number);
    for (int number = 31; number < 42; ++number) harbour.crew(number, Role::tender);
    harbour.run(5000);
  }

  bool answered(int number, std::size_t count = 1) { return harbour.at(number).answers.size() >= count; }
  const signal::Answer& answer(int number, std::size_t place = 0) { return harbour.at(number).answers.at(place); }
  Revision revisionAt(int number) { return harbour.crewAt(number).chartRevision; }
};

TEST(confirm, a_quiet_change_is_confirmed_within_half_a_term_and_known_everywhere) {
  harbour.delayMs = 3;
  harbour.syncMs = 2;
  harbour.propose(21, edit("{}"));
  const auto tookMs = harbour.runUntil(4000, [&] { return answered(21); });
  CHECK(tookMs >= 0 && tookMs <= harbour.bounds.termMs / 2);
  LONGS_EQUAL(200, answer(21).status);
  for (auto& [address, berth] : harbour.all())
    if (berth->crew) LONGS_EQUAL(1, berth->crew->chartRevision);
}

TEST(confirm, dead_frozen_and_restarting_daemons_hold_it_for_two_terms_at_most) {
  harbour.stop(31);
  harbour.freeze(32, 4500);
  harbour.stop(33);
  harbour.start(33);
  harbour.propose(21, edit("{}"));
  const auto tookMs = harbour.runUntil(4000, [&] { return answered(21); });
  CHECK(tookMs >= 0 && tookMs <= 2 * harbour.bounds.termMs);
  LONGS_EQUAL(200, answer(21).status);
  CHECK_FALSE(watch::sessionLive(harbour.crewAt(32), {harbour.nowMs}));
}

TEST(confirm, a_quay_that_just_went_holds_it_for_the_lapse_and_one_long_gone_not_at_all) {
  harbour.bounds.catchUpMs = 0;
  harbour.stop(3);
  harbour.propose(21, edit("{}"));
  const auto tookMs = harbour.runUntil(4000, [&] { return answered(21); });
  CHECK(tookMs >= 0 && tookMs <= harbour.bounds.lapseMs() + harbour.bounds.termMs / 2);
  harbour.run(2000);
  harbour.propose(22, edit("{}"));
  const auto laterMs = harbour.runUntil(4000, [&] { return answered(22); });
  CHECK(laterMs >= 0 && laterMs <= harbour.bounds.termMs / 2);
}

namespace {

// Rounds of cuts, freezes, restarts and, with a spare quay, wipes; each tries a change. Counts the confirmed ones, and
// says where a live session was short of one.
struct Rounds {
  std::uint64_t seed;
  bool spare;
  Revision confirmed = 0;
  std::string broken{};

  void play() {
    Harbour harbour;
    for (int number : {1, 2, 3}) harbour.seeds.push_back(Harbour::addressOf(number));
    const char* cells[] = {"a", "b", "c", "a"};
    const int quays = spare ? 4 : 3;
    for (int number = 1; number <= quays; ++number) harbour.quay(number, cells[number - 1]);
    for (int number : {21, 22, 23, 31, 32, 33, 34, 35, 36}) harbour.crew(number, number < 30 ? Role::pilot : Role::tender);
    harbour.run(5000);
    std::mt19937_64 random(seed);
    const auto below = [&](int bound) { return static_cast<int>(random() % static_cast<std::uint64_t>(bound)); };
    for (int round = 0; round < 40 && broken.empty(); ++round) {
      harbour.heal();
      for (int k = 0; k < 4; ++k) {
        const int others[] = {1, 2, 3, 4, 21, 22, 31, 32, 33, 34};
        const int one = 1 + below(quays), other = others[below(10)];
        if (one != other) harbour.cut(one, other);
      }
      if (round % 5 == 0) {
        const int quay = 1 + below(quays);
        harbour.freeze(quay, below(3000));
      }
      if (round % 7 == 0) {
        const int quay = 1 + below(quays);
        harbour.stop(quay);
        if (spare && below(3) == 0) harbour.wipe(quay);
        harbour.run(below(400));
        harbour.start(quay);
      }
      const int by = 21 + below(3);
      const auto count = harbour.at(by).answers.size();
      harbour.propose(by, edit("{}"), static_cast<std::uint64_t>(round + 1));
      harbour.runUntil(200 + below(4000), [&] { return harbour.at(by).answers.size() > count; });
      if (harbour.at(by).answers.size() <= count) continue;
      const auto& given = harbour.at(by).answers[count];
      if (given.status == 200) confirmed = std::max(confirmed, static_cast<Revision>(numberAt(parseJson(given.body).get(), "revision")));
      for (auto& [address, berth] : harbour.all())
        if (berth->crew && watch::sessionLive(*berth->crew, {harbour.nowMs}) && berth->crew->chartRevision < confirmed)
          broken = "seed " + std::to_string(seed) + " round " + std::to_string(round) + " " + address.value + " at " +
                   std::to_string(berth->crew->chartRevision) + " after " + std::to_string(confirmed);
      if (!harbour.oneFleet()) broken = "seed " + std::to_string(seed) + ": two cohorts of one revision";
    }
  }
};

}  // namespace

TEST(confirm, no_daemon_acts_on_an_older_one_after_it_whatever_is_cut_off_frozen_or_restarted) {
  Revision confirmed = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Rounds rounds{seed, false};
    rounds.play();
    STRCMP_EQUAL("", rounds.broken.c_str());
    confirmed += rounds.confirmed;
  }
  CHECK(confirmed > 20 * 15);
}

TEST(confirm, nor_while_quays_lose_their_disks_and_a_spare_takes_seats) {
  Revision confirmed = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Rounds rounds{seed, true};
    rounds.play();
    STRCMP_EQUAL("", rounds.broken.c_str());
    confirmed += rounds.confirmed;
  }
  CHECK(confirmed > 20 * 10);
}

TEST(confirm, six_daemons_that_contend_are_through_within_a_second) {
  harbour.delayMs = 3;
  harbour.spreadMs = 1;
  harbour.syncMs = 2;
  for (int number = 21; number <= 26; ++number) harbour.propose(number, edit("{}"));
  const auto tookMs = harbour.runUntil(4000, [&] {
    for (int number = 21; number <= 26; ++number)
      if (!answered(number)) return false;
    return true;
  });
  CHECK(tookMs >= 0 && tookMs <= harbour.bounds.termMs);
  for (int number = 21; number <= 26; ++number) LONGS_EQUAL(200, answer(number).status);
  harbour.run(500);
  LONGS_EQUAL(6, revisionAt(31));
}

TEST(confirm, a_change_sent_again_each_second_at_other_daemons_is_made_once) {
  harbour.delayMs = 3;
  harbour.syncMs = 2;
  harbour.stop(3);
  for (int number : {21, 22, 23}) {
    harbour.propose(number, numbered(5, 0, "{}", "five"));
    harbour.propose(number, numbered(5, 0, "{}", "five"), 2);
    harbour.run(700);
  }
  harbour.run(3000);
  for (int number : {21, 22, 23})
    for (std::size_t place : {0u, 1u}) {
      LONGS_EQUAL(200, answer(number, place).status);
      STRCMP_EQUAL("{\"revision\":1}", answer(number, place).body.c_str());
    }
  LONGS_EQUAL(1, revisionAt(31));
}

TEST(confirm, of_two_changes_on_the_same_edition_one_wins_and_the_other_raced) {
  harbour.delayMs = 3;
  harbour.syncMs = 2;
  for (int round = 0; round < 20; ++round) {
    const Revision on = harbour.crewAt(31).chart->edition;
    const auto place = harbour.at(21).answers.size();
    harbour.propose(21, numbered(on + 1, on, "{}", "one-" + std::to_string(round)));
    harbour.run(round);
    harbour.propose(22, numbered(on + 2, on, "{}", "two-" + std::to_string(round)));
    CHECK(harbour.runUntil(2000, [&] { return answered(21, place + 1) && answered(22, place + 1); }) >= 0);
    const bool first = answer(21, place).kind == Kind::ok, second = answer(22, place).kind == Kind::ok;
    CHECK(first != second);
    CHECK((first ? answer(22, place) : answer(21, place)).kind == Kind::raced);
    harbour.run(300);
    LONGS_EQUAL(on + (first ? 1 : 2), harbour.crewAt(31).chart->edition);
  }
}

TEST(confirm, editions_rise_and_a_name_that_was_taken_is_told_again_much_later) {
  const auto outcome = [&](watch::Edit made) {
    const auto place = harbour.at(21).answers.size();
    harbour.propose(21, std::move(made));
    harbour.runUntil(4000, [&] { return answered(21, place + 1); });
    return answer(21, place).kind;
  };
  CHECK(outcome(numbered(3, 0, R"({"pools":{"p":{}},"pendings":{"x":{"pool":"p"}}})", "a")) == Kind::ok);
  CHECK(outcome(numbered(3, 3, "{}", "b")) == Kind::invalidChart);
  CHECK(outcome(numbered(2, 3, "{}", "c")) == Kind::invalidChart);
  CHECK(outcome(numbered(4, 2, "{}", "d")) == Kind::raced);
  CHECK(outcome(numbered(4, 3, R"({"pools":{}})", "e")) == Kind::invalidChart);
  auto cell = edit(R"({"cells":{"z":{"emptied":true}}})", "empty-z");
  cell.whole = false;
  CHECK(outcome(cell) == Kind::ok);
  LONGS_EQUAL(3, harbour.crewAt(21).chart->edition);
  CHECK(outcome(numbered(4, 3, R"({"pendings":{"y":{}}})", "f")) == Kind::ok);
  harbour.run(300);
  const auto& chart = *harbour.crewAt(31).chart;
  LONGS_EQUAL(4, chart.edition);
  CHECK(chart.emptied.at("z"));
  CHECK(chart.pools.contains("p") && chart.pendings.contains("y") && !chart.pendings.contains("x"));
  auto patch = numbered(6, 4, R"({"pendings":{"y":{"rank":3},"unknown":null,"w":{}},"cells":{"z":null}})", "g");
  patch.whole = false;
  CHECK(outcome(patch) == Kind::ok);
  harbour.run(300);
  CHECK(harbour.crewAt(31).chart->emptied.empty());
  LONGS_EQUAL(3, harbour.crewAt(31).chart->pendings.at("y").rank);
  CHECK(outcome(numbered(3, 0, R"({"pools":{"p":{}},"pendings":{"x":{"pool":"p"}}})", "a")) == Kind::ok);
  LONGS_EQUAL(6, harbour.crewAt(21).chart->edition);
}

TEST(confirm, the_text_of_a_large_configuration_travels_once_and_a_small_change_as_a_delta) {
  harbour.propose(21, edit(manyLines(400)));
  CHECK(harbour.runUntil(4000, [&] { return answered(21); }) >= 0);
  harbour.run(3000);
  const auto size = harbour.crewAt(31).chartText.size();
  CHECK(size > 80000);
  const auto sent = [&] {
    std::size_t bytes = 0;
    for (int number : {1, 2, 3}) bytes += harbour.at(number).bytes;
    return bytes;
  };
  harbour.weigh = true;
  const auto before = sent();
  auto patch = edit(R"({"pendings":{"line-77":{"rank":4}},"edition":2})");
  patch.whole = false;
  harbour.propose(21, patch);
  CHECK(harbour.runUntil(4000, [&] { return answered(21, 2); }) >= 0);
  const auto took = sent() - before;
  for (int number = 31; number < 42; ++number) {
    LONGS_EQUAL(2, revisionAt(number));
    STRCMP_EQUAL(harbour.crewAt(21).chartText.c_str(), harbour.crewAt(number).chartText.c_str());
  }
  CHECK(took < size);
}

TEST(confirm, messages_at_rest_carry_only_what_changed) {
  harbour.weigh = true;
  const auto bytesOf = [&](int number) { return harbour.at(number).bytes; };
  const auto before = bytesOf(1) + bytesOf(2) + bytesOf(3);
  const auto tender = bytesOf(31);
  harbour.run(10000);
  const auto perSecond = (bytesOf(1) + bytesOf(2) + bytesOf(3) - before) / 30;
  const auto tenderPerSecond = (bytesOf(31) - tender) / 10;
  if (getenv("TULIP_SHOW")) printf("\na quay sends %zu bytes a second, a tender %zu\n", perSecond, tenderPerSecond);
  CHECK(perSecond < 20000);
  CHECK(harbour.crewAt(31).members.size() == 20);
}
