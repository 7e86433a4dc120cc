#include <CppUTest/TestHarness.h>

#include <algorithm>

#include "control/alarms.hpp"
#include "fixtures.hpp"
#include "large_config.hpp"

using namespace tulip;
using namespace tulip::fixture;

namespace {

control::Edit edit(std::string body, std::string name = {}) {
  control::Edit made;
  made.whole = true;
  made.body = std::move(body);
  made.name = std::move(name);
  return made;
}

control::Edit numbered(Version operatorVersion, Version basedOn, std::string body, std::string name = {}) {
  auto made = edit(std::move(body), std::move(name));
  made.sections = true;
  made.operatorVersion = operatorVersion;
  made.basedOn = basedOn;
  return made;
}

}  // namespace

TEST_GROUP(confirm) {
  Fixture fixture;

  void setup() override {
    for (int number : {1, 2, 3}) fixture.seeds.push_back(Fixture::addressOf(number));
    fixture.replica(1, "a");
    fixture.replica(2, "b");
    fixture.replica(3, "c");
    for (int number : {21, 22, 23, 24, 25, 26}) fixture.client(number);
    for (int number = 31; number < 42; ++number) fixture.client(number, Role::agent);
    fixture.run(5000);
  }

  bool answered(int number, std::size_t count = 1) { return fixture.at(number).answers.size() >= count; }
  const transport::Answer& answer(int number, std::size_t place = 0) { return fixture.at(number).answers.at(place); }
  Version versionAt(int number) { return fixture.clientAt(number).configVersion; }
};

TEST(confirm, a_quiet_change_is_confirmed_within_half_a_term_and_known_everywhere) {
  fixture.delayMs = 3;
  fixture.syncMs = 2;
  fixture.propose(21, edit("{}"));
  const auto tookMs = fixture.runUntil(4000, [&] { return answered(21); });
  CHECK(tookMs >= 0 && tookMs <= fixture.bounds.leaseMs / 2);
  LONGS_EQUAL(200, answer(21).status);
  for (auto& [address, worker] : fixture.all())
    if (worker->client) LONGS_EQUAL(1, worker->client->configVersion);
}

TEST(confirm, dead_frozen_and_restarting_daemons_hold_it_for_two_terms_at_most) {
  fixture.stop(31);
  fixture.freeze(32, 4500);
  fixture.stop(33);
  fixture.start(33);
  fixture.propose(21, edit("{}"));
  const auto tookMs = fixture.runUntil(4000, [&] { return answered(21); });
  CHECK(tookMs >= 0 && tookMs <= 2 * fixture.bounds.leaseMs);
  LONGS_EQUAL(200, answer(21).status);
  CHECK_FALSE(control::sessionLive(fixture.clientAt(32), {fixture.nowMs}));
}

TEST(confirm, a_replica_that_just_went_holds_it_for_the_lapse_and_one_long_gone_not_at_all) {
  fixture.bounds.catchUpMs = 0;
  fixture.stop(3);
  fixture.propose(21, edit("{}"));
  const auto tookMs = fixture.runUntil(4000, [&] { return answered(21); });
  CHECK(tookMs >= 0 && tookMs <= fixture.bounds.lapseMs() + fixture.bounds.leaseMs / 2);
  fixture.run(2000);
  fixture.propose(22, edit("{}"));
  const auto laterMs = fixture.runUntil(4000, [&] { return answered(22); });
  CHECK(laterMs >= 0 && laterMs <= fixture.bounds.leaseMs / 2);
}

namespace {

// Rounds of cuts, freezes, restarts and, with a spare replica, wipes; each tries a change. Counts the confirmed ones,
// and says where a live session was short of one.
struct Rounds {
  std::uint64_t seed;
  bool spare;
  Version confirmed = 0;
  std::string broken{};

  void play() {
    Fixture fixture;
    for (int number : {1, 2, 3}) fixture.seeds.push_back(Fixture::addressOf(number));
    const char* zones[] = {"a", "b", "c", "a"};
    const int replicas = spare ? 4 : 3;
    for (int number = 1; number <= replicas; ++number) fixture.replica(number, zones[number - 1]);
    for (int number : {21, 22, 23, 31, 32, 33, 34, 35, 36})
      fixture.client(number, number < 30 ? Role::scheduler : Role::agent);
    fixture.run(5000);
    std::mt19937_64 random(seed);
    const auto below = [&](int bound) { return static_cast<int>(random() % static_cast<std::uint64_t>(bound)); };
    for (int round = 0; round < 40 && broken.empty(); ++round) {
      fixture.heal();
      for (int k = 0; k < 4; ++k) {
        const int others[] = {1, 2, 3, 4, 21, 22, 31, 32, 33, 34};
        const int one = 1 + below(replicas), other = others[below(10)];
        if (one != other) fixture.cut(one, other);
      }
      if (round % 5 == 0) {
        const int replica = 1 + below(replicas);
        fixture.freeze(replica, below(3000));
      }
      if (round % 7 == 0) {
        const int replica = 1 + below(replicas);
        fixture.stop(replica);
        if (spare && below(3) == 0) fixture.wipe(replica);
        fixture.run(below(400));
        fixture.start(replica);
      }
      const int by = 21 + below(3);
      const auto count = fixture.at(by).answers.size();
      fixture.propose(by, edit("{}"), static_cast<std::uint64_t>(round + 1));
      fixture.runUntil(200 + below(4000), [&] { return fixture.at(by).answers.size() > count; });
      if (fixture.at(by).answers.size() <= count) continue;
      const auto& given = fixture.at(by).answers[count];
      if (given.status == 200)
        confirmed = std::max(confirmed, static_cast<Version>(numberAt(parseJson(given.body).get(), "revision")));
      for (auto& [address, worker] : fixture.all())
        if (worker->client && control::sessionLive(*worker->client, {fixture.nowMs}) &&
            worker->client->configVersion < confirmed)
          broken = "seed " + std::to_string(seed) + " round " + std::to_string(round) + " " + address.value + " at " +
                   std::to_string(worker->client->configVersion) + " after " + std::to_string(confirmed);
      if (!fixture.oneFleet()) broken = "seed " + std::to_string(seed) + ": two cohorts of one revision";
    }
  }
};

}  // namespace

TEST(confirm, no_daemon_acts_on_an_older_one_after_it_whatever_is_cut_off_frozen_or_restarted) {
  Version confirmed = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Rounds rounds{seed, false};
    rounds.play();
    STRCMP_EQUAL("", rounds.broken.c_str());
    confirmed += rounds.confirmed;
  }
  CHECK(confirmed > 20 * 15);
}

TEST(confirm, nor_while_replicas_lose_their_disks_and_a_spare_takes_voters) {
  Version confirmed = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Rounds rounds{seed, true};
    rounds.play();
    STRCMP_EQUAL("", rounds.broken.c_str());
    confirmed += rounds.confirmed;
  }
  CHECK(confirmed > 20 * 10);
}

TEST(confirm, six_daemons_that_contend_are_through_within_a_second) {
  fixture.delayMs = 3;
  fixture.spreadMs = 1;
  fixture.syncMs = 2;
  for (int number = 21; number <= 26; ++number) fixture.propose(number, edit("{}"));
  const auto tookMs = fixture.runUntil(4000, [&] {
    for (int number = 21; number <= 26; ++number)
      if (!answered(number)) return false;
    return true;
  });
  CHECK(tookMs >= 0 && tookMs <= fixture.bounds.leaseMs);
  for (int number = 21; number <= 26; ++number) LONGS_EQUAL(200, answer(number).status);
  fixture.run(500);
  LONGS_EQUAL(6, versionAt(31));
}

TEST(confirm, a_change_sent_again_each_second_at_other_daemons_is_made_once) {
  fixture.delayMs = 3;
  fixture.syncMs = 2;
  fixture.stop(3);
  for (int number : {21, 22, 23}) {
    fixture.propose(number, numbered(5, 0, "{}", "five"));
    fixture.propose(number, numbered(5, 0, "{}", "five"), 2);
    fixture.run(700);
  }
  fixture.run(3000);
  for (int number : {21, 22, 23})
    for (std::size_t place : {0u, 1u}) {
      LONGS_EQUAL(200, answer(number, place).status);
      STRCMP_EQUAL("{\"revision\":1}", answer(number, place).body.c_str());
    }
  LONGS_EQUAL(1, versionAt(31));
}

TEST(confirm, of_two_changes_on_the_same_operatorVersion_one_wins_and_the_other_raced) {
  fixture.delayMs = 3;
  fixture.syncMs = 2;
  for (int round = 0; round < 20; ++round) {
    const Version on = fixture.clientAt(31).config->operatorVersion;
    const auto place = fixture.at(21).answers.size();
    fixture.propose(21, numbered(on + 1, on, "{}", "one-" + std::to_string(round)));
    fixture.run(round);
    fixture.propose(22, numbered(on + 2, on, "{}", "two-" + std::to_string(round)));
    CHECK(fixture.runUntil(2000, [&] { return answered(21, place + 1) && answered(22, place + 1); }) >= 0);
    const bool first = answer(21, place).kind == Kind::ok, second = answer(22, place).kind == Kind::ok;
    CHECK(first != second);
    CHECK((first ? answer(22, place) : answer(21, place)).kind == Kind::raced);
    fixture.run(300);
    LONGS_EQUAL(on + (first ? 1 : 2), fixture.clientAt(31).config->operatorVersion);
  }
}

TEST(confirm, operatorVersions_rise_and_a_name_that_was_taken_is_committed_again_much_later) {
  const auto outcome = [&](control::Edit made) {
    const auto place = fixture.at(21).answers.size();
    fixture.propose(21, std::move(made));
    fixture.runUntil(4000, [&] { return answered(21, place + 1); });
    return answer(21, place).kind;
  };
  CHECK(outcome(numbered(3, 0, R"({"pools":{"p":{}},"pendings":{"x":{"pool":"p"}}})", "a")) == Kind::ok);
  CHECK(outcome(numbered(3, 3, "{}", "b")) == Kind::invalidConfig);
  CHECK(outcome(numbered(2, 3, "{}", "c")) == Kind::invalidConfig);
  CHECK(outcome(numbered(4, 2, "{}", "d")) == Kind::raced);
  CHECK(outcome(numbered(4, 3, R"({"pools":{}})", "e")) == Kind::invalidConfig);
  auto zone = edit(R"({"cells":{"z":{"emptied":true}}})", "empty-z");
  zone.whole = false;
  CHECK(outcome(zone) == Kind::ok);
  LONGS_EQUAL(3, fixture.clientAt(21).config->operatorVersion);
  CHECK(outcome(numbered(4, 3, R"({"pendings":{"y":{}}})", "f")) == Kind::ok);
  fixture.run(300);
  const auto& config = *fixture.clientAt(31).config;
  LONGS_EQUAL(4, config.operatorVersion);
  CHECK(config.emptied.at("z"));
  CHECK(config.pools.contains("p") && config.queues.contains("y") && !config.queues.contains("x"));
  auto patch = numbered(6, 4, R"({"pendings":{"y":{"rank":3},"unknown":null,"w":{}},"cells":{"z":null}})", "g");
  patch.whole = false;
  CHECK(outcome(patch) == Kind::ok);
  fixture.run(300);
  CHECK(fixture.clientAt(31).config->emptied.empty());
  LONGS_EQUAL(3, fixture.clientAt(31).config->queues.at("y").rank);
  CHECK(outcome(numbered(3, 0, R"({"pools":{"p":{}},"pendings":{"x":{"pool":"p"}}})", "a")) == Kind::ok);
  LONGS_EQUAL(6, fixture.clientAt(21).config->operatorVersion);
}

TEST(confirm, the_text_of_a_large_configuration_travels_once_and_a_small_change_as_a_delta) {
  fixture.propose(21, edit(manyLines(400)));
  CHECK(fixture.runUntil(4000, [&] { return answered(21); }) >= 0);
  fixture.run(3000);
  const auto size = fixture.clientAt(31).configText.size();
  CHECK(size > 80000);
  const auto proposer = fixture.clientAt(21).home;
  const auto sent = [&](bool byProposer) {
    std::size_t bytes = 0;
    for (int number : {1, 2, 3})
      if ((Fixture::addressOf(number) == proposer) == byProposer) bytes += fixture.at(number).bytes;
    return bytes;
  };
  std::size_t texts = 0;
  fixture.loses = [&](const Address&, const Address&, const transport::Message& message) {
    if (const auto* grant = std::get_if<transport::SessionGrant>(&message)) texts += grant->configText.size();
    return false;
  };
  fixture.weigh = true;
  const auto byProposer = sent(true), byOthers = sent(false);
  auto patch = edit(R"({"pendings":{"line-77":{"rank":4}},"edition":2})");
  patch.whole = false;
  fixture.propose(21, patch);
  CHECK(fixture.runUntil(4000, [&] { return answered(21, 2); }) >= 0);
  for (int number = 31; number < 42; ++number) {
    LONGS_EQUAL(2, versionAt(number));
    STRCMP_EQUAL(fixture.clientAt(21).configText.c_str(), fixture.clientAt(number).configText.c_str());
  }
  // The replica that proposes sends the value to each of the three voters, and once more to the one that had not
  // answered when the other two had accepted it; nobody is sent it otherwise.
  CHECK(sent(true) - byProposer < 5 * size);
  CHECK(sent(false) - byOthers < size);
  CHECK(texts < size / 10);
  CHECK(fixture.at(21).bytes < size / 10);
}

TEST(confirm, messages_at_rest_carry_only_what_changed) {
  fixture.weigh = true;
  const auto bytesOf = [&](int number) { return fixture.at(number).bytes; };
  const auto before = bytesOf(1) + bytesOf(2) + bytesOf(3);
  const auto agent = bytesOf(31);
  fixture.run(10000);
  const auto perSecond = (bytesOf(1) + bytesOf(2) + bytesOf(3) - before) / 30;
  const auto agentPerSecond = (bytesOf(31) - agent) / 10;
  if (getenv("TULIP_SHOW")) printf("\na replica sends %zu bytes a second, a agent %zu\n", perSecond, agentPerSecond);
  CHECK(perSecond < 20000);
  CHECK(fixture.clientAt(31).members.size() == 20);
}

namespace {

constexpr double kNarrowBytesPerMs = 250;  // 2 Mbit/s

}  // namespace

// A daemon on a narrow link took the register's whole value from every voter, and sent it to every voter, again at each
// try: its heartbeats and its grants waited behind that for seconds.
TEST(confirm, a_daemon_on_a_narrow_link_keeps_its_session_while_it_changes_a_large_configuration) {
  fixture.delayMs = 3;
  fixture.syncMs = 2;
  fixture.propose(22, edit(manyLines(200)));
  CHECK(fixture.runUntil(4000, [&] { return answered(22); }) >= 0);
  fixture.run(3000);
  fixture.linkBytesPerMs[21] = kNarrowBytesPerMs;
  fixture.propose(21, edit(manyLines(200)));
  const auto tookMs = fixture.runUntil(4000, [&] {
    CHECK(control::sessionLive(fixture.clientAt(21), {fixture.nowMs}));
    return answered(21);
  });
  CHECK(tookMs >= 0 && tookMs <= fixture.bounds.leaseMs);
  LONGS_EQUAL(200, answer(21).status);
  for (int number : {22, 31}) LONGS_EQUAL(2, versionAt(number));
}

// A grant that came after the lease of its heartbeat was dropped with the configuration in it, which was then sent
// again, as late, for ever.
TEST(confirm, a_configuration_that_takes_longer_than_a_lease_to_arrive_is_taken) {
  fixture.delayMs = 3;
  fixture.propose(22, edit("{}"));
  CHECK(fixture.runUntil(4000, [&] { return answered(22); }) >= 0);
  fixture.run(3000);
  const auto& leaseMs = fixture.bounds.leaseMs;
  auto grown = edit(manyLines(400));
  fixture.linkBytesPerMs[31] = static_cast<double>(grown.body.size()) / static_cast<double>(2 * leaseMs);
  fixture.propose(22, std::move(grown));
  CHECK(fixture.runUntil(10 * leaseMs, [&] { return versionAt(31) == 2; }) >= 0);
  CHECK(fixture.runUntil(20 * leaseMs, [&] { return control::sessionLive(fixture.clientAt(31), {fixture.nowMs}); }) >=
        0);
}

namespace {

/// The bytes of configurations that messages to each machine carried.
struct ConfigTraffic {
  std::map<Address, std::size_t> bytes;

  void note(const Address& to, const transport::Message& message) {
    if (const auto* grant = std::get_if<transport::SessionGrant>(&message)) bytes[to] += grant->configText.size();
  }
};

}  // namespace

// Every replica that such a daemon turned to sent it the whole text, while the first copy was still under way: its
// heartbeats and grants waited behind the copies, and acknowledgements of later changes behind them.
TEST(confirm, a_large_configuration_passes_a_narrow_link_once_and_is_in_force_a_lease_later) {
  fixture.delayMs = 3;
  fixture.syncMs = 2;
  const std::vector<int> narrow{21, 22, 23, 24, 25};
  for (const int number : narrow) {
    fixture.linkBytesPerMs[number] = kNarrowBytesPerMs;
    fixture.clientAt(number).settings.linkKbps = static_cast<std::int64_t>(kNarrowBytesPerMs * 8);
  }
  ConfigTraffic traffic;
  fixture.loses = [&](const Address&, const Address& to, const transport::Message& message) {
    traffic.note(to, message);
    return false;
  };
  const auto& leaseMs = fixture.bounds.leaseMs;
  fixture.propose(26, edit(manyLines(620)));
  const auto everywhere = [&] {
    return std::ranges::all_of(narrow, [&](int number) {
      return versionAt(number) == 1 && control::sessionLive(fixture.clientAt(number), {fixture.nowMs});
    });
  };
  const auto tookMs = fixture.runUntil(10 * leaseMs, everywhere);
  const auto size = fixture.clientAt(26).configText.size();
  CHECK(size > 160000);
  const auto transferMs = static_cast<Millis>(static_cast<double>(size) / kNarrowBytesPerMs);
  CHECK(tookMs >= 0 && tookMs <= transferMs + leaseMs);
  fixture.run(2 * leaseMs);
  for (const int number : narrow) CHECK(traffic.bytes[Fixture::addressOf(number)] < size + size / 4);
  LONGS_EQUAL(200, answer(26).status);
}

namespace {

bool bringsConfig(const transport::Message& message) {
  const auto* grant = std::get_if<transport::SessionGrant>(&message);
  return grant && !grant->configText.empty();
}

}  // namespace

// What was just sent was not sent again for a whole lease, also where it could be seen to be lost.
TEST(confirm, a_lost_configuration_is_sent_again_before_the_session_lapses) {
  fixture.propose(21, edit("{}"));
  CHECK(fixture.runUntil(4000, [&] { return answered(21); }) >= 0);
  fixture.run(2000);
  bool lost = false;
  fixture.loses = [&](const Address&, const Address& to, const transport::Message& message) {
    return to == Fixture::addressOf(31) && bringsConfig(message) && !std::exchange(lost, true);
  };
  fixture.propose(22, edit("{}"));
  const auto tookMs = fixture.runUntil(4000, [&] {
    CHECK(control::sessionLive(fixture.clientAt(31), {fixture.nowMs}));
    return answered(22);
  });
  CHECK(lost);
  CHECK(tookMs >= 0 && tookMs <= 3 * fixture.bounds.heartbeatMs());
  LONGS_EQUAL(2, versionAt(31));
}

// A delta was made for the version that a distant daemon had said it had, while a newer one was on its way to it: it
// could not use the delta, and was sent no other for a whole lease.
TEST(confirm, changes_that_follow_each_other_faster_than_a_daemon_answers_end_no_session) {
  fixture.propose(21, edit(manyLines(20)));
  CHECK(fixture.runUntil(4000, [&] { return answered(21); }) >= 0);
  fixture.run(2000);
  fixture.farMs[31] = 150;
  fixture.run(2000);
  const auto patched = [](int rank) {
    auto made = edit(R"({"pendings":{"line-7":{"rank":)" + std::to_string(rank) + "}}}");
    made.whole = false;
    return made;
  };
  for (int number : {22, 23, 24}) {
    fixture.propose(number, patched(number));
    fixture.run(60);
  }
  const auto tookMs = fixture.runUntil(4000, [&] {
    CHECK(control::sessionLive(fixture.clientAt(31), {fixture.nowMs}));
    return answered(22) && answered(23) && answered(24);
  });
  CHECK(tookMs >= 0 && tookMs <= fixture.bounds.leaseMs);
  LONGS_EQUAL(4, versionAt(31));
}

TEST(confirm, a_replica_that_grants_without_giving_the_configuration_is_left_for_another) {
  fixture.propose(21, edit("{}"));
  CHECK(fixture.runUntil(4000, [&] { return answered(21); }) >= 0);
  fixture.run(2000);
  const auto bad = fixture.clientAt(31).home;
  fixture.loses = [&](const Address& from, const Address& to, const transport::Message& message) {
    return from == bad && to == Fixture::addressOf(31) && bringsConfig(message);
  };
  fixture.propose(22, edit("{}"));
  const auto tookMs = fixture.runUntil(4000, [&] {
    CHECK(control::sessionLive(fixture.clientAt(31), {fixture.nowMs}));
    return answered(22);
  });
  CHECK(tookMs >= 0 && tookMs <= fixture.bounds.lapseMs());
  LONGS_EQUAL(2, versionAt(31));
  CHECK(fixture.clientAt(31).home != bad);
}

TEST(confirm, whom_an_acknowledgement_waits_for_stands_in_an_alarm_with_what_it_was_last_sent) {
  fixture.propose(21, edit("{}"));
  CHECK(fixture.runUntil(4000, [&] { return answered(21); }) >= 0);
  fixture.run(2000);
  auto* home = &fixture.replicaAt(1);
  for (int number : {2, 3})
    if (fixture.clientAt(31).home == Fixture::addressOf(number)) home = &fixture.replicaAt(number);
  fixture.loses = [&](const Address&, const Address& to, const transport::Message& message) {
    return to == Fixture::addressOf(31) && bringsConfig(message);
  };
  const auto behind = [&] {
    std::vector<control::Condition> found;
    for (auto& condition : control::replicaConditions(*home, {fixture.nowMs}))
      if (condition.key.kind == control::AlarmKind::sessionBehind) found.push_back(std::move(condition));
    return found;
  };
  CHECK(behind().empty());
  fixture.propose(22, edit("{}"));
  fixture.run(fixture.bounds.leaseMs / 2);
  const auto conditions = behind();
  LONGS_EQUAL(1, conditions.size());
  STRCMP_EQUAL(fixture.clientAt(31).id.value.c_str(), conditions.front().key.subject.c_str());
  CHECK(conditions.front().sinceMs > fixture.nowMs - fixture.bounds.leaseMs / 2);
  STRCMP_CONTAINS("has version 1 of 2, heard ", conditions.front().detail.c_str());
  STRCMP_CONTAINS(", sent it ", conditions.front().detail.c_str());
  Json view(control::sessionsBehindView(*home, {fixture.nowMs}));
  LONGS_EQUAL(1, json_array_size(view.get()));
  STRCMP_EQUAL(fixture.clientAt(31).id.value.c_str(),
               json_string_value(json_object_get(json_array_get(view.get(), 0), "daemon")));
  fixture.loses = {};
  CHECK(fixture.runUntil(4000, [&] { return answered(22); }) >= 0);
  fixture.run(fixture.bounds.leaseMs);
  CHECK(behind().empty());
}

TEST(confirm, an_edit_is_handed_to_another_replica_when_its_home_dies_and_is_made_once) {
  fixture.delayMs = 3;
  fixture.syncMs = 20;
  fixture.run(2000);
  int home = 0;
  for (int number : {1, 2, 3})
    if (fixture.clientAt(21).home == Fixture::addressOf(number)) home = number;
  fixture.propose(21, edit("{}"));
  LONGS_EQUAL(0, fixture.clientAt(21).proposals.size());
  LONGS_EQUAL(1, fixture.clientAt(21).forwardedEdits.size());
  fixture.run(60);
  fixture.stop(home);
  const auto tookMs = fixture.runUntil(4000, [&] { return answered(21); });
  CHECK(tookMs >= 0 && tookMs <= fixture.bounds.lapseMs() + 2 * fixture.bounds.leaseMs);
  LONGS_EQUAL(200, answer(21).status);
  STRCMP_EQUAL("{\"revision\":1}", answer(21).body.c_str());
  fixture.run(1000);
  LONGS_EQUAL(1, versionAt(31));
}

TEST(confirm, an_edit_that_no_replica_took_is_answered_by_its_deadline) {
  fixture.run(1000);
  for (int number : {1, 2, 3}) fixture.stop(number);
  fixture.propose(21, edit("{}"), 1, 2000);
  LONGS_EQUAL(1, fixture.clientAt(21).forwardedEdits.size());
  const auto tookMs = fixture.runUntil(4000, [&] { return answered(21); });
  CHECK(tookMs >= 0 && tookMs <= 2000 + fixture.tickMs);
  CHECK(answer(21).kind == Kind::unknownOutcome);
  CHECK(fixture.clientAt(21).forwardedEdits.empty());
}

TEST(confirm, a_replica_that_took_no_edit_speaks_for_no_other_that_was_handed_it) {
  fixture.run(1000);
  fixture.loses = [](const Address&, const Address&, const transport::Message& message) {
    return std::holds_alternative<transport::EditAsk>(message);
  };
  const auto refuse = [&](std::size_t place, Kind kind) {
    auto& client = fixture.clientAt(21);
    transport::Outbox out;
    const transport::EditAnswer answer{
        client.forwardedEdits.at(place).ask.id, static_cast<std::int64_t>(kind), 503, {}};
    control::clientHeard(client, {DaemonId("a"), client.home, answer}, {fixture.nowMs}, out);
    return out.answers.empty() ? Kind::ok : out.answers.front().kind;
  };
  fixture.propose(21, edit("{}"));
  CHECK(refuse(0, Kind::notReady) == Kind::ok);
  CHECK(refuse(0, Kind::overloaded) == Kind::overloaded);
  fixture.propose(21, edit("{}"), 2);
  fixture.run(fixture.bounds.leaseMs + 2 * fixture.bounds.heartbeatMs());
  LONGS_EQUAL(2, fixture.clientAt(21).forwardedEdits.front().timesSent);
  CHECK(refuse(0, Kind::overloaded) == Kind::unknownOutcome);
  CHECK(fixture.clientAt(21).forwardedEdits.empty());
}
