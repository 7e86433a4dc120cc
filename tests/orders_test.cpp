#include <CppUTest/TestHarness.h>

#include "daemon/node.hpp"
#include "fixtures.hpp"
#include "platform/adapter.hpp"
#include "platform/parts.hpp"

using namespace tulip;
using namespace tulip::fixture;

namespace {

/// An operator's order: its own number, the number it builds on, and a queue that shows that it is in force.
control::Edit order(Version operatorVersion, Version basedOn, const std::string& marker) {
  control::Edit made;
  made.whole = true;
  made.sections = true;
  made.operatorVersion = operatorVersion;
  made.basedOn = basedOn;
  made.body = "{\"pendings\":{\"" + marker + "\":{}}}";
  made.name = marker;
  return made;
}

control::Edit invalidOrder(Version operatorVersion, Version basedOn, const std::string& marker) {
  auto made = order(operatorVersion, basedOn, marker);
  made.body = "{\"pendings\":{\"" + marker + "\":{\"pool\":\"unknown\"}}}";
  return made;
}

control::Edit named(const std::string& name, Version expected) {
  control::Edit made;
  made.body = "{\"pendings\":{\"" + name + "\":{}}}";
  made.name = name;
  made.expected = expected;
  return made;
}

control::Edit zoneOrder(const std::string& zone, bool emptied, Version madeOn) {
  control::Edit made;
  made.sections = true;
  made.body = "{\"cells\":{\"" + zone + "\":{\"emptied\":" + (emptied ? "true" : "false") + "}}}";
  made.zoneOrder = control::ZoneOrder{zone, emptied, madeOn};
  return made;
}

std::string numberedName(Version number) { return "o" + std::to_string(number); }

/// The register of one configuration, changed by one edit after another.
struct Register {
  std::string value;
  Kind judge(const control::Edit& edit) {
    const auto outcome = control::judgeEdit(edit, value);
    value = outcome.value;
    return outcome.kind;
  }
};

bool emptied(const config::Config& config, const std::string& zone) {
  const auto found = config.emptied.find(zone);
  return found != config.emptied.end() && found->second;
}

}  // namespace

TEST_GROUP(orders){};

TEST(orders, one_sent_again_after_many_others_is_acknowledged_or_left_open_and_never_refused) {
  Register chart;
  constexpr Version kChanges = 1200;
  constexpr Version kRemembered = 1024;
  for (Version number = 1; number <= kChanges; ++number)
    CHECK(chart.judge(order(number, number - 1, numberedName(number))) == Kind::ok);
  for (Version number = 1; number <= kChanges; ++number) {
    const auto kind = chart.judge(order(number, number - 1, numberedName(number)));
    CHECK(kind == (number > kChanges - kRemembered ? Kind::ok : Kind::unknownOutcome));
  }
  LONGS_EQUAL(kChanges, config::readStored(chart.value).version);
  CHECK(chart.value.size() < 20000);
}

TEST(orders, of_two_with_one_number_and_different_content_the_loser_is_refused_for_good) {
  Register chart;
  CHECK(chart.judge(order(5, 0, "mine")) == Kind::ok);
  CHECK(chart.judge(order(5, 0, "yours")) == Kind::raced);
  CHECK(chart.judge(order(5, 0, "mine")) == Kind::ok);
  CHECK(chart.judge(order(9, 5, "next")) == Kind::ok);
  CHECK(chart.judge(order(5, 0, "yours")) == Kind::raced);
  CHECK(chart.judge(order(5, 0, "mine")) == Kind::ok);
  CHECK(chart.judge(order(7, 5, "late")) == Kind::raced);
}

TEST(orders, one_refused_before_the_version_that_it_builds_on_came_stays_refused) {
  Register chart;
  CHECK(chart.judge(order(5, 0, "five")) == Kind::ok);
  CHECK(chart.judge(order(9, 7, "nine")) == Kind::raced);
  CHECK(chart.judge(order(7, 5, "seven")) == Kind::ok);
  CHECK(chart.judge(order(9, 7, "nine")) == Kind::raced);
  CHECK(chart.judge(order(9, 7, "another-nine")) == Kind::ok);
}

TEST(orders, one_refused_as_the_very_first_stays_refused) {
  Register chart;
  CHECK(chart.judge(order(9, 7, "nine")) == Kind::raced);
  CHECK(chart.judge(order(7, 0, "seven")) == Kind::ok);
  CHECK(chart.judge(order(9, 7, "nine")) == Kind::raced);
}

TEST(orders, an_invalid_one_stays_refused_when_the_configuration_would_now_take_it) {
  Register chart;
  CHECK(chart.judge(order(5, 0, "five")) == Kind::ok);
  CHECK(chart.judge(invalidOrder(7, 5, "seven")) == Kind::invalidConfig);
  control::Edit pool;
  pool.body = R"({"pools":{"unknown":{}}})";
  CHECK(chart.judge(pool) == Kind::ok);
  CHECK(chart.judge(invalidOrder(7, 5, "seven")) == Kind::invalidConfig);
  CHECK(chart.judge(invalidOrder(7, 5, "seven-again")) == Kind::ok);
}

TEST(orders, a_named_change_that_may_be_forgotten_is_left_open) {
  Register chart;
  constexpr Version kChanges = 300;
  for (Version made = 1; made <= kChanges; ++made)
    CHECK(chart.judge(named("n" + std::to_string(made), made - 1)) == Kind::ok);
  CHECK(chart.judge(named("n1", 0)) == Kind::unknownOutcome);
  CHECK(chart.judge(named("n299", 298)) == Kind::ok);
  CHECK(chart.judge(named("other", 298)) == Kind::raced);
}

TEST(orders, numbers_used_before_the_register_kept_orders_are_left_open) {
  const std::vector<std::pair<std::string, Version>> requests{{"v5/digest", 1}};
  msgpack::sbuffer former;
  msgpack::pack(former, std::make_tuple(Version{1}, std::string(R"({"edition":5})"), requests));
  Register chart{std::string(former.data(), former.size())};
  CHECK(chart.judge(order(5, 0, "five")) == Kind::unknownOutcome);
  CHECK(chart.judge(order(7, 5, "seven")) == Kind::ok);
  CHECK(chart.judge(order(5, 0, "five")) == Kind::unknownOutcome);
  CHECK(chart.judge(order(7, 5, "not-seven")) == Kind::raced);
  LONGS_EQUAL(2, config::readStored(chart.value).version);
}

TEST(orders, an_older_order_for_a_zone_does_not_undo_the_newer_opposite_one) {
  Register chart;
  CHECK(chart.judge(order(5, 0, "five")) == Kind::ok);
  CHECK(chart.judge(zoneOrder("z", true, 1)) == Kind::ok);
  CHECK(chart.judge(zoneOrder("z", false, 2)) == Kind::ok);
  CHECK(chart.judge(zoneOrder("z", true, 1)) == Kind::unknownOutcome);
  LONGS_EQUAL(3, config::readStored(chart.value).version);
  CHECK(chart.judge(zoneOrder("y", true, 1)) == Kind::ok);
  CHECK(chart.judge(zoneOrder("z", true, 3)) == Kind::ok);
}

TEST(orders, bodies_that_are_equal_as_JSON_make_one_order) {
  const auto nameOf = [](const char* body, const char* basedOn) {
    transport::Ask ask;
    ask.path = "/api/Config.Update";
    ask.body = body;
    ask.basedOn = basedOn;
    return platform::readUpdate(ask).edit.name;
  };
  const auto name = nameOf(R"({"version":9,"remove":{"route_table":["r-old"]}})", "7");
  CHECK(name == nameOf("{ \"remove\" : "
                       "{\"route_table\":[\"r-\\u006fld\"]},\n\"version\":9 }",
                       "07"));
  CHECK(name != nameOf(R"({"version":9,"remove":{"route_table":["r-new"]}})", "7"));
  CHECK(name != nameOf(R"({"version":9,"remove":{"route_table":["r-old"]}})", "8"));
}

TEST_GROUP(orders_under_way) {
  Fixture fixture;

  void setup() override {
    for (int number : {1, 2, 3}) fixture.seeds.push_back(Fixture::addressOf(number));
    fixture.replica(1, "a");
    fixture.replica(2, "b");
    fixture.replica(3, "c");
    for (int number : {21, 22, 23, 24}) fixture.client(number);
    fixture.client(31, Role::agent);
    fixture.run(5000);
  }

  void cutOffReplicas(int number) {
    for (int replica : {1, 2, 3}) fixture.cut(number, replica);
  }

  const transport::Answer* answerTo(int number, std::uint64_t requestId) {
    for (const auto& answer : fixture.at(number).answers)
      if (answer.requestId == requestId) return &answer;
    return nullptr;
  }

  Kind await(int number, std::uint64_t requestId) {
    fixture.runUntil(6000, [&] { return answerTo(number, requestId) != nullptr; });
    const auto* answer = answerTo(number, requestId);
    return answer ? answer->kind : Kind::deadlinePassed;
  }

  Version versionAt(int number) { return fixture.clientAt(number).configVersion; }
};

TEST(orders_under_way, eight_without_a_number_at_one_daemon_at_once_are_all_carried_out) {
  for (std::uint64_t id = 1; id <= 8; ++id) fixture.propose(21, zoneOrder("z" + std::to_string(id), true, 0), id);
  for (std::uint64_t id = 1; id <= 8; ++id) CHECK(await(21, id) == Kind::ok);
  fixture.run(500);
  for (std::uint64_t id = 1; id <= 8; ++id) CHECK(emptied(*fixture.clientAt(31).config, "z" + std::to_string(id)));
}

TEST(orders_under_way, a_zone_taken_back_is_not_emptied_by_an_older_try_at_another_daemon) {
  cutOffReplicas(22);
  fixture.propose(22, zoneOrder("z", true, versionAt(22)), 1);
  fixture.run(100);
  fixture.propose(21, zoneOrder("z", true, versionAt(21)), 2);
  CHECK(await(21, 2) == Kind::ok);
  fixture.propose(21, zoneOrder("z", false, versionAt(21)), 3);
  CHECK(await(21, 3) == Kind::ok);
  fixture.heal();
  CHECK(await(22, 1) != Kind::ok);
  fixture.run(3000);
  CHECK_FALSE(emptied(*fixture.clientAt(31).config, "z"));
}

TEST(orders_under_way, a_refusal_at_one_daemon_is_final_for_the_try_at_another) {
  cutOffReplicas(22);
  fixture.propose(22, order(7, 5, "seven"), 1);
  fixture.propose(21, order(7, 5, "seven"), 2);
  CHECK(await(21, 2) == Kind::raced);
  fixture.propose(21, order(5, 0, "five"), 3);
  CHECK(await(21, 3) == Kind::ok);
  fixture.heal();
  CHECK(await(22, 1) != Kind::ok);
  fixture.run(3000);
  LONGS_EQUAL(5, fixture.clientAt(31).config->operatorVersion);
}

TEST(orders_under_way, one_whose_proposer_died_between_the_rounds_is_acknowledged_at_any_daemon) {
  for (int replica : {2, 3}) fixture.cut(21, replica);
  fixture.propose(21, order(5, 0, "five"), 1);
  fixture.run(30);
  fixture.heal();
  fixture.run(60);
  fixture.stop(21);
  for (int number : {22, 23, 24}) {
    fixture.propose(number, order(5, 0, "five"), 2);
    CHECK(await(number, 2) == Kind::ok);
  }
  LONGS_EQUAL(5, fixture.clientAt(31).config->operatorVersion);
  LONGS_EQUAL(1, versionAt(31));
}

namespace {

/// Two operators send orders on top of the newest version, each to several daemons, while daemons die and links are
/// cut. Says where an answer contradicts another one or the configuration in force.
class Storm {
 public:
  explicit Storm(std::uint64_t seed) : seed_(seed), random_(seed) {
    for (int number : {1, 2, 3}) fixture_.seeds.push_back(Fixture::addressOf(number));
    const char* zones[] = {"a", "b", "c"};
    for (int number : {1, 2, 3}) fixture_.replica(number, zones[number - 1]);
    for (int number : kDaemons) fixture_.client(number);
    fixture_.client(kWitness, Role::agent);
    fixture_.delayMs = 2;
    fixture_.spreadMs = 6;
    fixture_.run(5000);
  }

  std::string play(int rounds) {
    for (int round = 0; round < rounds && broken_.empty(); ++round) playRound(round);
    return broken_;
  }

  int acknowledged() const { return acknowledged_; }
  int refused() const { return refused_; }

 private:
  static constexpr int kDaemons[] = {21, 22, 23, 24, 25};
  static constexpr int kWitness = 31;

  struct Sent {
    control::Edit edit;
    std::vector<std::pair<int, std::uint64_t>> tries;  // daemon, request
    bool acknowledged = false;
    bool refused = false;
  };

  int below(int bound) { return static_cast<int>(random_() % static_cast<std::uint64_t>(bound)); }
  int anyDaemon() { return kDaemons[below(std::size(kDaemons))]; }

  void trouble() {
    fixture_.heal();
    for (int each = 0; each < 3; ++each) fixture_.cut(1 + below(3), anyDaemon());
    if (below(3) == 0) fixture_.freeze(anyDaemon(), 200 + below(2500));
    if (below(2) == 0) killLater(anyDaemon(), below(60));
    if (below(6) == 0) killLater(1 + below(3), below(60));
  }

  void killLater(int number, Millis inMs) {
    fixture_.after(inMs, [this, number] {
      if (!fixture_.at(number).up) return;
      fixture_.stop(number);
      fixture_.after(300, [this, number] { fixture_.start(number); });
    });
  }

  void send(Sent& sent, int number) {
    if (!fixture_.at(number).up) return;
    sent.tries.emplace_back(number, ++requests_);
    fixture_.propose(number, sent.edit, requests_, 3600);
  }

  void readAnswers(Sent& sent) {
    for (const auto& [number, request] : sent.tries)
      for (const auto& answer : fixture_.at(number).answers) {
        if (answer.requestId != request) continue;
        sent.acknowledged = sent.acknowledged || answer.kind == Kind::ok;
        sent.refused = sent.refused || answer.kind == Kind::raced || answer.kind == Kind::invalidConfig;
      }
  }

  Version newestNumber() { return fixture_.clientAt(kWitness).config->operatorVersion; }

  void playRound(int round) {
    const Version on = newestNumber();
    const auto name = "s" + std::to_string(round);
    std::vector<Sent> orders(3);
    orders[0].edit = order(on + 2, on, name + "-a");
    orders[1].edit = order(on + 2 + static_cast<Version>(below(2)), on, name + "-b");
    orders[2].edit = order(on + 5, on + 2, name + "-c");  // builds on what may come
    trouble();
    for (int attempt = 0; attempt < 3; ++attempt) {
      for (auto& sent : orders)
        if (below(4) > 0) send(sent, anyDaemon());
      fixture_.run(below(400));
    }
    fixture_.heal();
    fixture_.run(5000);
    for (auto& sent : orders)
      if (!sent.tries.empty()) send(sent, anyDaemon());
    fixture_.run(4500);
    judge(round, orders);
  }

  void judge(int round, std::vector<Sent>& orders) {
    const auto where = "seed " + std::to_string(seed_) + " round " + std::to_string(round) + ": ";
    for (auto& sent : orders) {
      readAnswers(sent);
      acknowledged_ += sent.acknowledged;
      refused_ += sent.refused;
      const bool inForce = fixture_.clientAt(kWitness).config->queues.contains(sent.edit.name);
      if (sent.acknowledged && sent.refused) broken_ = where + sent.edit.name + " acknowledged and refused";
      if (inForce && sent.refused) broken_ = where + sent.edit.name + " refused and in force";
    }
    if (orders[0].acknowledged && orders[1].acknowledged) broken_ = where + "two on one version acknowledged";
  }

  std::uint64_t seed_;
  std::mt19937_64 random_;
  Fixture fixture_;
  std::uint64_t requests_ = 0;
  int acknowledged_ = 0;
  int refused_ = 0;
  std::string broken_;
};

}  // namespace

TEST(orders_under_way, no_answer_contradicts_another_or_what_is_in_force_whatever_dies_or_is_cut) {
  int acknowledged = 0;
  int refused = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Storm storm(seed);
    STRCMP_EQUAL("", storm.play(15).c_str());
    acknowledged += storm.acknowledged();
    refused += storm.refused();
  }
  CHECK(acknowledged > 20 * 10);
  CHECK(refused > 20 * 10);
}

TEST_GROUP(cut_off) {
  daemon::Node node;
  std::uint64_t requests = 0;

  void setup() override {
    Settings settings;
    settings.role = Role::scheduler;
    settings.bounds.leaseMs = 1000;
    node = daemon::makeNode(settings, DaemonId("d"), "i", {}, {100000});
    node.adapter = std::make_shared<platform::PlatformAdapter>();
    auto& client = daemon::clientOf(node);
    auto config = std::make_shared<config::Config>();
    std::vector<config::Fault> faults;
    client.configText = R"({"edition":3,"pools":{"p":{}},"pendings":{"q":{"host":"h","prefix":"/q/","pool":"p"}}})";
    CHECK(config::readConfigText(client.configText, *config, faults));
    client.config = config;
    client.configVersion = 1;
    client.sessionUntilMs = 101000;
    client.leader.http = Address("10.0.0.1:2");
    client.ready = true;
  }

  int statusOf(FaceKind face, const char* method, const char* path, Millis nowMs) {
    transport::Ask ask;
    ask.requestId = ++requests;
    ask.face = face;
    ask.method = method;
    ask.path = path;
    ask.host = "h";
    ask.deadlineMs = 1000;
    transport::Outbox out;
    daemon::nodeStep(node, ask, {nowMs}, out);
    return out.answers.empty() ? 0 : out.answers.front().status;
  }
};

TEST(cut_off, a_daemon_without_a_session_denies_and_serves_nothing_by_what_it_last_knew) {
  constexpr Millis kLive = 100500;
  constexpr Millis kLapsed = 101000;
  const std::tuple<FaceKind, const char*, const char*, int> rows[] = {
      {FaceKind::callers, "POST", "/gone/0123456789abcdef", 404},
      {FaceKind::callers, "GET", "/gone/", 404},
      {FaceKind::callers, "GET", "/q/none", 400},
      {FaceKind::callers, "GET", "/q/", 0},
      {FaceKind::ready, "GET", "/api/ready", 200},
      {FaceKind::control, "GET", "/api/Config.Read", 200},
      {FaceKind::own, "GET", "/configuration", 200},
      {FaceKind::own, "GET", "/leader", 200},
      {FaceKind::own, "GET", "/members", 200}};
  for (const auto& [face, method, path, status] : rows) {
    LONGS_EQUAL_TEXT(status, statusOf(face, method, path, kLive), path);
    LONGS_EQUAL_TEXT(503, statusOf(face, method, path, kLapsed), path);
  }
}
