#include "daemon/config_reader.hpp"

#include <CppUTest/TestHarness.h>

#include "daemon/node.hpp"
#include "platform/adapter.hpp"

using namespace tulip;
using namespace tulip::transport;

namespace {

constexpr Millis kNowMs = 100000;
constexpr std::uint64_t kRequest = 7;
constexpr std::int64_t kNarrowKbps = 2000;
constexpr std::int64_t kWideKbps = 200000;
constexpr std::size_t kLargeBytes = 170000;

}  // namespace

/// A scheduler with a session, asked for the configuration through the users' protocol.
TEST_GROUP(config_reader) {
  daemon::Node node;

  void setup() override {
    Settings settings;
    settings.role = Role::scheduler;
    settings.adapter = "platform";
    settings.peerAddress = Address("10.0.0.9:7721");
    settings.faces = {{FaceKind::callers, Address("10.0.0.9:8161")}, {FaceKind::control, Address("10.0.0.9:8166")}};
    settings.linkKbps = kNarrowKbps;
    node = daemon::makeNode(settings, DaemonId("s"), "i", {}, {kNowMs});
    node.adapter = std::make_shared<platform::PlatformAdapter>();
    auto& client = node.scheduler->client;
    client.home = Address("10.0.0.1:7720");
    client.sessionUntilMs = kNowMs + 1000;
    client.configVersion = 3;
    client.configText = textOf(kLargeBytes);
  }

  static std::string textOf(std::size_t bytes) {
    return R"({"edition":7,"origin":{"filler":")" + std::string(bytes, 'x') + "\"}}";
  }

  Answer read() {
    Ask ask;
    ask.requestId = kRequest;
    ask.face = FaceKind::control;
    ask.method = "GET";
    ask.path = "/api/Config.Read";
    Outbox out;
    daemon::nodeStep(node, ask, {kNowMs}, out);
    LONGS_EQUAL(1, out.answers.size());
    return out.answers.front();
  }

  void answeredHere() {
    const auto answer = read();
    LONGS_EQUAL(200, answer.status);
    CHECK(answer.location.empty());
    CHECK(answer.body.find("\"version\":7") != std::string::npos);
  }
};

TEST(config_reader, a_large_configuration_is_read_at_the_replica_s_machine_where_the_own_link_is_narrow) {
  const auto answer = read();
  LONGS_EQUAL(307, answer.status);
  STRCMP_EQUAL("10.0.0.1:8166", answer.location.value.c_str());
  LONGS_EQUAL(0, answer.retryMs);
  CHECK(answer.body.size() < 200);
}

TEST(config_reader, a_small_one_is_answered_here) {
  node.scheduler->client.configText = textOf(1000);
  answeredHere();
}

TEST(config_reader, so_is_any_on_a_wide_link_or_on_one_whose_width_is_not_known) {
  node.scheduler->client.settings.linkKbps = kWideKbps;
  answeredHere();
  node.scheduler->client.settings.linkKbps = 0;
  answeredHere();
}

TEST(config_reader, nobody_is_sent_to_the_machine_that_is_asked) {
  node.scheduler->client.home = Address("10.0.0.9:7720");
  answeredHere();
}

TEST(config_reader, without_a_session_nobody_is_sent_anywhere) {
  node.scheduler->client.sessionUntilMs = kNowMs;
  const auto answer = read();
  LONGS_EQUAL(503, answer.status);
  CHECK(answer.location.empty());
}

TEST(config_reader, a_large_change_is_taken_at_the_replica_s_machine_where_the_own_link_is_narrow) {
  const auto change = [&](std::size_t bytes) {
    Ask ask;
    ask.requestId = kRequest;
    ask.face = FaceKind::control;
    ask.method = "POST";
    ask.path = "/api/Config.Replace";
    ask.basedOn = "7";
    ask.body = R"({"version":8,"route_table":[],"backends":[],"filler":")" + std::string(bytes, 'x') + "\"}";
    ask.deadlineMs = 4000;
    Outbox out;
    daemon::nodeStep(node, ask, {kNowMs}, out);
    return out;
  };
  const auto large = change(kLargeBytes);
  LONGS_EQUAL(1, large.answers.size());
  LONGS_EQUAL(307, large.answers.front().status);
  STRCMP_EQUAL("10.0.0.1:8166", large.answers.front().location.value.c_str());
  CHECK(node.scheduler->client.proposals.empty() && node.scheduler->client.forwardedEdits.empty());
  auto& client = node.scheduler->client;
  client.membership = {1, {{DaemonId("a"), client.home}}};
  CHECK(change(1000).answers.empty());
  LONGS_EQUAL(1, client.proposals.size());
  client.settings.linkKbps = kWideKbps;
  CHECK(change(kLargeBytes).answers.empty());
  LONGS_EQUAL(2, client.proposals.size());
}

// Reading half a megabyte held a machine of a twentieth of a core for 0.6 s, to answer that another was to be asked.
TEST(config_reader, a_large_change_that_is_taken_elsewhere_is_not_read_here) {
  Ask ask;
  ask.requestId = kRequest;
  ask.face = FaceKind::control;
  ask.method = "POST";
  ask.path = "/api/Config.Update";
  ask.body = "no JSON" + std::string(kLargeBytes, 'x');
  ask.deadlineMs = 4000;
  Outbox out;
  daemon::nodeStep(node, ask, {kNowMs}, out);
  LONGS_EQUAL(1, out.answers.size());
  LONGS_EQUAL(307, out.answers.front().status);
  STRCMP_EQUAL("10.0.0.1:8166", out.answers.front().location.value.c_str());
  node.scheduler->client.sessionUntilMs = kNowMs;
  Outbox later;
  daemon::nodeStep(node, ask, {kNowMs}, later);
  LONGS_EQUAL(1, later.answers.size());
  LONGS_EQUAL(503, later.answers.front().status);
}

TEST(config_reader, the_bound_is_a_heartbeat_s_pause_of_the_link) {
  auto& client = node.scheduler->client;
  const auto pauseBytes = static_cast<std::size_t>(client.settings.bounds.heartbeatMs() * kNarrowKbps / 8);
  client.configText = std::string(pauseBytes, ' ');
  CHECK_FALSE(daemon::configReader(client).has_value());
  client.configText = std::string(pauseBytes + kNarrowKbps / 8, ' ');
  CHECK(daemon::configReader(client).has_value());
}
