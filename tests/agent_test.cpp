#include <CppUTest/TestHarness.h>

#include "agent/agent.hpp"

using namespace tulip;
using namespace tulip::transport;

TEST_GROUP(agent) {
  agent::AgentState agent;
  Millis nowMs = 100000;
  std::uint64_t report = 0, orders = 0;

  void setup() override {
    Settings settings;
    settings.role = Role::agent;
    settings.worker = "w";
    settings.zone = ZoneName("a");
    agent = agent::makeAgent(settings, DaemonId("agent"), "i");
    configure("{}", 1);
    agent.client.sessionUntilMs = nowMs + 60000;
    agent.client.leader = {{3, "p"}, Address("10.0.0.9:1"), Address("10.0.0.9:2")};
  }

  void configure(const char* more, Version version) {
    auto config = std::make_shared<config::Config>();
    std::vector<config::Fault> faults;
    Json base = parseJson(R"({"pools":{"side":{"slots":8}}})");
    Json patch = parseJson(more);
    CHECK(config::readConfig(config::mergePatch(base.get(), patch.get()).get(), *config, faults));
    agent.client.config = config;
    agent.client.configVersion = version;
  }

  Outbox reports(const std::string& running = "[]", const std::string& life = "w1") {
    Outbox out;
    ++report;
    agent::workerReport(agent, report,
                        R"({"worker":"w","incarnation":")" + life + R"(","report":)" + std::to_string(report) +
                            R"(,"pool":"side","slots":8,"going":)" + running + "}",
                        {nowMs}, out);
    return out;
  }

  Outbox ordered(std::vector<WantedAttempt> wanted, Millis acknowledgedMs, std::uint64_t term = 3) {
    Outbox out;
    Orders message;
    message.term = {term, "p"};
    message.seq = ++orders;
    message.agent = DaemonId("agent");
    message.acknowledgedSeq = agent.reportSeq;
    message.acknowledgedMs = acknowledgedMs;
    message.configVersion = 1;
    message.wanted = std::move(wanted);
    agent::agentHeard(agent, Heard{DaemonId("p"), Address("10.0.0.9:1"), message}, {nowMs}, out);
    return out;
  }

  WantedAttempt go(const char* run, const char* life = "w1") { return {AttemptId(run), false, "{}", life, {}, true}; }

  WantedAttempt stop(const char* run, const char* life = "w1") { return {AttemptId(run), true, {}, life}; }

  static std::size_t started(const Outbox& out) {
    std::size_t count = 0;
    for (const auto& answer : out.answers)
      count += json_array_size(json_object_get(parseJson(answer.body).get(), "start"));
    return count;
  }
};

TEST(agent, a_fresh_order_reaches_the_held_report_at_once) {
  LONGS_EQUAL(0, reports().answers.size());
  LONGS_EQUAL(1, started(ordered({go("j:a:1")}, nowMs)));
}

TEST(agent, an_order_that_waited_while_the_agent_was_frozen_starts_nothing) {
  reports();
  const Millis sentMs = nowMs;
  nowMs += agent.client.settings.bounds.freshMs() + 1;
  LONGS_EQUAL(0, started(ordered({go("j:a:1")}, sentMs)));
  LONGS_EQUAL(1, started(ordered({go("j:a:1")}, nowMs)));
}

TEST(agent, an_older_term_is_rejected) {
  reports();
  LONGS_EQUAL(0, started(ordered({go("j:a:1")}, nowMs, 2)));
  LONGS_EQUAL(1, agent.counts.rejectedOrders);
}

TEST(agent, nothing_starts_without_a_session_or_short_of_the_version) {
  reports();
  agent.client.sessionUntilMs = nowMs;
  LONGS_EQUAL(0, started(ordered({go("j:a:1")}, nowMs)));
  agent.client.sessionUntilMs = nowMs + 1000;
  agent.client.configVersion = 0;
  LONGS_EQUAL(0, started(ordered({go("j:a:1")}, nowMs)));
}

TEST(agent, an_emptied_zone_or_a_drained_worker_takes_no_late_order) {
  reports();
  configure(R"({"cells":{"a":{"emptied":true}}})", 2);
  LONGS_EQUAL(0, started(ordered({go("j:a:1")}, nowMs)));
  CHECK(agent.runs.at(AttemptId("j:a:1")).outcome == AttemptOutcome::lost);
  configure(R"({"workers":{"w":{"drained":true}}})", 3);
  LONGS_EQUAL(0, started(ordered({go("j:b:1")}, nowMs)));
  configure("{}", 4);
  LONGS_EQUAL(1, started(ordered({go("j:c:1")}, nowMs)));
}

TEST(agent, a_stop_before_the_start_was_handed_over_ends_it_for_good) {
  agent.client.sessionUntilMs = nowMs;
  reports();
  ordered({go("j:a:1")}, nowMs);
  agent.client.sessionUntilMs = nowMs + 1000;
  ordered({{AttemptId("j:a:1"), true, "", "w1"}}, nowMs);
  CHECK(agent.runs.at(AttemptId("j:a:1")).outcome == AttemptOutcome::stopped);
  LONGS_EQUAL(0, started(ordered({go("j:a:1")}, nowMs)));
}

TEST(agent, a_lost_answer_is_given_again_and_a_new_life_gets_none_of_it) {
  reports();
  LONGS_EQUAL(1, started(ordered({go("j:a:1")}, nowMs)));
  LONGS_EQUAL(1, started(reports()));
  LONGS_EQUAL(0, started(reports("[\"j:a:1\"]")));
  CHECK(agent.runs.at(AttemptId("j:a:1")).state == AttemptState::running);
  LONGS_EQUAL(0, started(reports("[]", "w2")));
  CHECK(agent.runs.at(AttemptId("j:a:1")).outcome == AttemptOutcome::lost);
}

TEST(agent, a_run_nobody_wants_is_stopped) {
  reports("[\"stranger:a:1\"]");
  ordered({}, nowMs);
  CHECK(agent.runs.at(AttemptId("stranger:a:1")).state == AttemptState::stopping);
}

TEST(agent, after_its_own_restart_it_waits_out_what_its_earlier_life_may_have_granted) {
  auto config = std::make_shared<config::Config>(*agent.client.config);
  config->pools.at("side").lostAfterLeases = 1;
  agent.client.config = config;
  reports(R"(["j:a:1"])");
  Outbox out;
  nowMs += 600;
  agent::agentTick(agent, {nowMs}, out);
  agent::agentTick(agent, {nowMs + agent.client.settings.bounds.workerLeaseMs / 2}, out);
  CHECK(agent.runs.at(AttemptId("j:a:1")).state == AttemptState::running);
  agent::agentTick(agent, {nowMs + 2 * agent.client.settings.bounds.workerLeaseMs}, out);
  CHECK(agent.runs.at(AttemptId("j:a:1")).outcome == AttemptOutcome::lost);
}

TEST(agent, an_order_that_its_silent_worker_never_fetched_is_given_back) {
  auto config = std::make_shared<config::Config>(*agent.client.config);
  config->pools.at("side").lostAfterLeases = 1;
  agent.client.config = config;
  const auto wTMs = agent.client.settings.bounds.workerLeaseMs;
  reports();
  Outbox out;
  nowMs += wTMs;
  agent::agentTick(agent, {nowMs}, out);
  ordered({go("j:a:1")}, nowMs);
  agent::agentTick(agent, {nowMs + wTMs / 2}, out);
  CHECK(agent.runs.at(AttemptId("j:a:1")).state == AttemptState::ordered);
  agent::agentTick(agent, {nowMs + 3 * wTMs}, out);
  CHECK(agent.runs.at(AttemptId("j:a:1")).outcome == AttemptOutcome::lost);
}

TEST(agent, so_is_one_for_a_worker_that_was_never_heard) {
  const auto wTMs = agent.client.settings.bounds.workerLeaseMs;
  ordered({go("j:a:1")}, nowMs);
  Outbox out;
  agent::agentTick(agent, {nowMs + wTMs / 2}, out);
  CHECK(agent.runs.at(AttemptId("j:a:1")).state == AttemptState::ordered);
  agent::agentTick(agent, {nowMs + 20 * wTMs}, out);
  CHECK(agent.runs.at(AttemptId("j:a:1")).outcome == AttemptOutcome::lost);
}

TEST(agent, a_stop_for_a_worker_that_this_life_never_heard_ends_once_it_is_surely_over) {
  const auto leaseMs = agent.client.settings.bounds.workerLeaseMs;
  ordered({stop("j:a:1")}, nowMs);
  Outbox out;
  agent::agentTick(agent, {nowMs + leaseMs}, out);
  CHECK(agent.runs.at(AttemptId("j:a:1")).state == AttemptState::stopping);
  agent::agentTick(agent, {nowMs + 20 * leaseMs}, out);
  CHECK(agent.runs.at(AttemptId("j:a:1")).outcome == AttemptOutcome::lost);
}

TEST(agent, so_does_an_order_that_is_stopped_before_the_worker_was_heard) {
  const auto leaseMs = agent.client.settings.bounds.workerLeaseMs;
  ordered({go("j:a:1")}, nowMs);
  ordered({stop("j:a:1")}, nowMs);
  Outbox out;
  agent::agentTick(agent, {nowMs + leaseMs}, out);
  CHECK(agent.runs.at(AttemptId("j:a:1")).state == AttemptState::stopping);
  agent::agentTick(agent, {nowMs + 20 * leaseMs}, out);
  CHECK(agent.runs.at(AttemptId("j:a:1")).outcome == AttemptOutcome::lost);
}

TEST(agent, where_workers_do_not_stop_by_themselves_a_stop_waits_until_the_worker_is_heard) {
  configure(R"({"pools":{"side":{"selfStop":false}}})", 2);
  ordered({stop("j:a:1")}, nowMs);
  Outbox out;
  agent::agentTick(agent, {nowMs + 20 * agent.client.settings.bounds.workerLeaseMs}, out);
  CHECK(agent.runs.at(AttemptId("j:a:1")).state == AttemptState::stopping);
}

TEST(agent, after_its_restart_it_acknowledges_ends_from_where_its_earlier_life_left_off) {
  agent.client.settings.adapter = "numbered";
  ordered({}, nowMs);
  WorkerReport message;
  message.incarnation = "w1";
  message.pool = PoolName("side");
  message.slots = 8;
  message.number = 1;
  message.ended = {{58, AttemptId("j:a:1"), AttemptOutcome::clean, {}, {}},
                   {59, AttemptId("j:b:1"), AttemptOutcome::clean, {}, {}}};
  Outbox out;
  agent::workerReport(agent, 1, message, {nowMs}, out);
  agent::agentTick(agent, {nowMs + agent.client.settings.bounds.longPollMs()}, out);
  LONGS_EQUAL(59, agent.lastSeen);
  message.number = 2;
  message.ended.clear();
  agent::workerReport(agent, 2, message, {nowMs}, out);
  LONGS_EQUAL(0, agent.runs.size());
}

TEST(agent, until_it_has_heard_its_worker_it_says_of_no_run_that_it_never_started) {
  configure(R"({"cells":{"a":{"emptied":true}}})", 2);
  ordered({go("j:a:1")}, nowMs);
  ordered({{AttemptId("j:b:1"), false, "{}", "w1", {}, true}, go("j:a:1")}, nowMs);
  Outbox out;
  agent::agentTick(agent, {nowMs + 5}, out);
  CHECK(agent.runs.at(AttemptId("j:a:1")).state == AttemptState::ordered);
  nowMs += 10;
  reports(R"(["j:a:1"])");
  CHECK(agent.runs.at(AttemptId("j:a:1")).state == AttemptState::running);
}
