#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <set>

#include "agent/agent.hpp"

using namespace tulip;
using namespace tulip::transport;

TEST_GROUP(agent) {
  agent::AgentState agent;
  Millis nowMs = 100000;
  std::uint64_t report = 0, orders = 0;
  std::set<std::string> lives;  // that have reported

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

  /// What a life of the worker reports; its first report comes twice, so that it has followed an answer.
  Outbox reports(const std::string& running = "[]", const std::string& life = "w1") {
    if (lives.insert(life).second) reportsOnce(running, life);
    return reportsOnce(running, life);
  }

  Outbox reportsOnce(const std::string& running = "[]", const std::string& life = "w1") {
    Outbox out;
    ++report;
    agent::workerReport(agent, report,
                        R"({"worker":"w","incarnation":")" + life + R"(","report":)" + std::to_string(report) +
                            R"(,"pool":"side","slots":8,"going":)" + running + "}",
                        {nowMs}, out);
    return out;
  }

  /// A report that lists ends, and says whether there are more than it has place for.
  Outbox reportsEnds(const std::string& running, const std::string& ended, bool more) {
    Outbox out;
    ++report;
    agent::workerReport(agent, report,
                        R"({"worker":"w","incarnation":"w1","report":)" + std::to_string(report) +
                            R"(,"pool":"side","slots":8,"going":)" + running + R"(,"ended":)" + ended +
                            R"(,"moreEnded":)" + (more ? "true" : "false") + "}",
                        {nowMs}, out);
    return out;
  }

  const agent::AgentAttempt& run(const char* id) const { return agent.runs.at(AttemptId(id)); }

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

  Outbox leaves(const std::string& life = "w1") {
    Outbox out;
    agent::workerLeaves(agent, ++report, life, {nowMs}, out);
    return out;
  }

  /// What the agent tells the leader at its next pause between two reports.
  AgentReport nextReport() {
    nowMs += agent.client.settings.bounds.reportMs();
    Outbox out;
    agent::agentTick(agent, {nowMs}, out);
    const AgentReport* last = nullptr;
    for (const auto& send : out.sends)
      if (const auto* message = std::get_if<AgentReport>(&send.message)) last = message;
    CHECK(last != nullptr);
    return *last;
  }

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

TEST(agent, an_order_for_another_life_of_the_worker_starts_nothing) {
  reports("[]", "w2");
  LONGS_EQUAL(0, started(ordered({go("j:a:1", "w1")}, nowMs)));
  CHECK(run("j:a:1").outcome == AttemptOutcome::lost);
}

TEST(agent, nor_does_one_that_came_before_the_worker_was_heard) {
  ordered({go("j:a:1", "w1")}, nowMs);
  LONGS_EQUAL(0, started(reports("[]", "w2")));
  CHECK(run("j:a:1").outcome == AttemptOutcome::lost);
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

// Guards against a run that is never given up: the silence of a removed pool's worker proved nothing any more.
TEST(agent, a_run_of_a_removed_pool_ends_once_its_silent_worker_has_surely_stopped_it) {
  reports();
  ordered({go("j:a:1")}, nowMs);
  configure(R"({"pools":{"side":null},
    "former":{"pools":{"side":{"definition":{"slots":8,"lostAfterTerms":1},"version":2}}}})",
            2);
  const auto& bounds = agent.client.settings.bounds;
  Outbox out;
  agent::agentTick(agent, {nowMs + bounds.workerLeaseMs}, out);
  CHECK(agent.runs.at(AttemptId("j:a:1")).state != AttemptState::ended);
  agent::agentTick(agent, {nowMs + bounds.longPollMs() + 2 * bounds.sureMs(1)}, out);
  agent::agentTick(agent, {nowMs + bounds.longPollMs() + 4 * bounds.sureMs(1)}, out);
  CHECK(agent.runs.at(AttemptId("j:a:1")).outcome == AttemptOutcome::lost);
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

// Guards against tasks that are done twice: an end that waits for its place in the list was taken for a run that is
// gone.
TEST(agent, what_a_part_of_the_ends_leaves_out_is_neither_gone_nor_handed_again) {
  reports();
  ordered({go("j:a:1"), go("j:b:1"), go("j:c:1")}, nowMs);
  reports(R"(["j:a:1","j:b:1"])");
  const auto part = reportsEnds("[]", R"([{"run":"j:a:1","outcome":"clean"}])", true);
  LONGS_EQUAL(0, started(part));
  CHECK(run("j:a:1").outcome == AttemptOutcome::clean);
  CHECK(run("j:b:1").state == AttemptState::running);
  CHECK(run("j:c:1").state == AttemptState::ordered);
  ordered({stop("j:a:1"), go("j:b:1"), go("j:c:1")}, nowMs);
  reportsEnds("[]", R"([{"run":"j:b:1","outcome":"clean"},{"run":"j:c:1","outcome":"failed"}])", false);
  CHECK(run("j:b:1").outcome == AttemptOutcome::clean);
  CHECK(run("j:c:1").outcome == AttemptOutcome::failed);
}

// Guards against the same after a restart: the agent knows of a run from the worker's list alone.
TEST(agent, after_its_restart_it_says_of_no_run_that_it_never_started_while_it_knows_a_part_of_the_ends) {
  reportsEnds("[]", R"([{"run":"j:a:1","outcome":"clean"}])", true);
  LONGS_EQUAL(0, started(ordered({go("j:b:1"), stop("j:c:1")}, nowMs)));
  configure(R"({"cells":{"a":{"emptied":true}}})", 2);
  ordered({go("j:b:1"), stop("j:c:1")}, nowMs);
  Outbox out;
  agent::agentTick(agent, {nowMs + 5}, out);
  CHECK(run("j:b:1").state == AttemptState::ordered);
  CHECK(run("j:c:1").state == AttemptState::stopping);
  reportsEnds("[]", R"([{"run":"j:b:1","outcome":"clean"},{"run":"j:c:1","outcome":"clean"}])", false);
  CHECK(run("j:b:1").outcome == AttemptOutcome::clean);
  CHECK(run("j:c:1").outcome == AttemptOutcome::clean);
}

TEST(agent, once_it_knows_all_ends_a_run_that_is_not_listed_is_over) {
  reports();
  ordered({go("j:a:1")}, nowMs);
  reports(R"(["j:a:1"])");
  reportsEnds("[]", R"([{"run":"j:z:1","outcome":"clean"}])", true);
  reportsEnds("[]", "[]", false);
  CHECK(run("j:a:1").outcome == AttemptOutcome::lost);
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

TEST(agent, what_runs_on_a_worker_that_announces_its_leave_goes_on_until_its_end_is_heard) {
  reports();
  ordered({go("j:a:1")}, nowMs);
  reports(R"(["j:a:1"])");
  leaves();
  CHECK(agent.runs.at(AttemptId("j:a:1")).state == AttemptState::running);
  nowMs += 50;
  reports(R"(["j:a:1"])");
  CHECK(agent.runs.at(AttemptId("j:a:1")).state == AttemptState::running);
}

TEST(agent, what_runs_on_a_worker_that_left_is_lost_once_its_lease_has_surely_lapsed) {
  auto config = std::make_shared<config::Config>(*agent.client.config);
  config->pools.at("side").lostAfterLeases = 1;
  agent.client.config = config;
  const auto leaseMs = agent.client.settings.bounds.workerLeaseMs;
  reports();
  ordered({go("j:a:1")}, nowMs);
  reports(R"(["j:a:1"])");
  Outbox out;
  agent::agentTick(agent, {nowMs + agent.client.settings.bounds.longPollMs()}, out);
  leaves();
  agent::agentTick(agent, {nowMs + leaseMs / 2}, out);
  CHECK(agent.runs.at(AttemptId("j:a:1")).state == AttemptState::running);
  agent::agentTick(agent, {nowMs + 3 * leaseMs}, out);
  CHECK(agent.runs.at(AttemptId("j:a:1")).outcome == AttemptOutcome::lost);
}

TEST(agent, a_heartbeat_after_a_leave_does_not_undo_it) {
  reports();
  leaves();
  reports();
  CHECK(nextReport().leaving);
  LONGS_EQUAL(0, started(ordered({go("j:a:1")}, nowMs)));
  CHECK(agent.runs.at(AttemptId("j:a:1")).outcome == AttemptOutcome::lost);
}

TEST(agent, a_leave_is_remembered_before_its_worker_is_heard_and_forgotten_with_its_life) {
  leaves();
  reports();
  CHECK(nextReport().leaving);
  reports("[]", "w2");
  CHECK_FALSE(nextReport().leaving);
  reports("[]", "w2");
  LONGS_EQUAL(1, started(ordered({go("j:a:1", "w2")}, nowMs)));
}

TEST(agent, an_unfetched_order_is_given_back_at_once_when_its_worker_announces_its_leave) {
  reports();
  agent.client.sessionUntilMs = nowMs;
  ordered({go("j:a:1")}, nowMs);
  agent.client.sessionUntilMs = nowMs + 60000;
  leaves();
  const auto told = nextReport();
  LONGS_EQUAL(1, told.runs.size());
  CHECK(told.runs[0].state == AttemptState::ended && told.runs[0].outcome == AttemptOutcome::lost);
}

TEST(agent, a_leave_without_a_time_says_that_the_worker_stays_for_the_drain_time) {
  const auto pauseMs = agent.client.settings.bounds.reportMs();
  agent.client.settings.bounds.drainMs = 2000;
  reports();
  leaves();
  LONGS_EQUAL(2000 - pauseMs, nextReport().leavesMs);
  reports();
  LONGS_EQUAL(2000 - 2 * pauseMs, nextReport().leavesMs);
}

TEST(agent, a_late_report_of_an_earlier_life_of_the_worker_is_rejected) {
  reports();
  reports("[]", "w2");
  ordered({go("j:a:1", "w2")}, nowMs);
  reports(R"(["j:a:1"])", "w2");
  const auto late = reports();
  LONGS_EQUAL(rowOf(Kind::staleTerm).status, late.answers.at(0).status);
  CHECK(agent.runs.at(AttemptId("j:a:1")).state == AttemptState::running);
  STRCMP_EQUAL("w2", agent.incarnation.c_str());
}

TEST(agent, a_life_taken_for_an_earlier_one_is_heard_again_once_the_other_is_silent) {
  reports();
  reports("[]", "w2");
  const auto freshMs = agent.client.settings.bounds.freshMs();
  nowMs += freshMs;
  reports();
  STRCMP_EQUAL("w2", agent.incarnation.c_str());
  nowMs += 1;
  reports();
  STRCMP_EQUAL("w2", agent.incarnation.c_str());
  reports();
  STRCMP_EQUAL("w1", agent.incarnation.c_str());
  reports();
  STRCMP_EQUAL("w1", agent.incarnation.c_str());
}

// Guards against tasks that are done twice: the late report of a life that nobody had heard ended what ran in the
// present one.
TEST(agent, a_late_report_of_a_life_that_was_never_heard_displaces_nobody_who_reports) {
  reports();
  ordered({go("j:a:1")}, nowMs);
  reports(R"(["j:a:1"])");
  for (int i = 0; i < 2; ++i) {
    const auto late = reportsOnce("[]", "w0");
    LONGS_EQUAL(200, late.answers.back().status);
    LONGS_EQUAL(0, started(late));
    STRCMP_EQUAL("w1", agent.incarnation.c_str());
    CHECK(run("j:a:1").state == AttemptState::running);
    for (const auto& answer : reportsOnce(R"(["j:a:1"])").answers) LONGS_EQUAL(200, answer.status);
  }
}

TEST(agent, a_new_life_is_believed_once_it_has_followed_an_answer) {
  reports();
  ordered({go("j:a:1")}, nowMs);
  reports(R"(["j:a:1"])");
  const auto first = reportsOnce("[]", "w2");
  LONGS_EQUAL(200, first.answers.back().status);
  CHECK(run("j:a:1").state == AttemptState::running);
  reportsOnce("[]", "w2");
  STRCMP_EQUAL("w2", agent.incarnation.c_str());
  CHECK(run("j:a:1").outcome == AttemptOutcome::lost);
}

// Guards against the same after the agent's restart, when the late report is the first that it hears.
TEST(agent, after_its_restart_a_late_report_of_an_earlier_life_ends_nothing) {
  reportsOnce("[]", "w0");
  CHECK_FALSE(nextReport().workerHeard);
  LONGS_EQUAL(0, started(ordered({go("j:a:1"), stop("j:b:1")}, nowMs)));
  CHECK(run("j:a:1").state == AttemptState::ordered);
  CHECK(run("j:b:1").state == AttemptState::stopping);
  reports(R"(["j:a:1","j:b:1"])");
  STRCMP_EQUAL("w1", agent.incarnation.c_str());
  CHECK(nextReport().workerHeard);
  CHECK(run("j:a:1").state == AttemptState::running);
  CHECK(run("j:b:1").state == AttemptState::stopping);
}

TEST(agent, a_life_of_another_kind_has_nothing_of_the_one_before) {
  Outbox out;
  WorkerReport message;
  message.incarnation = "w1";
  message.number = 1;
  message.pool = PoolName("side");
  message.slots = 8;
  message.labels = {{"kind", "a"}, {"rack", "r1"}};
  message.capacity = {{"cpu", 16000}, {"gpu", 2}};
  agent::workerReport(agent, 1, message, {nowMs}, out);
  message.incarnation = "w2";
  message.pool = PoolName("other");
  message.labels = {{"kind", "b"}};
  message.capacity = {{"cpu", 4000}};
  message.running = {{AttemptId("j:a:1"), {}, 5}};
  Outbox next;
  agent::workerReport(agent, 2, message, {nowMs}, next);
  const auto told = nextReport();
  STRCMP_EQUAL("other", told.pool.value.c_str());
  CHECK(told.labels == message.labels);
  CHECK(told.capacity == message.capacity);
}

// Every heartbeat of a worker that brought news made a report, however far the leader was behind with the ones before.
TEST(agent, has_one_report_at_a_time_on_its_way_and_another_after_half_a_lease) {
  const auto reportsIn = [](const Outbox& out) {
    return std::ranges::count_if(out.sends,
                                 [](const Send& send) { return std::holds_alternative<AgentReport>(send.message); });
  };
  const auto& bounds = agent.client.settings.bounds;
  ordered({go("j:a:1"), go("j:b:1"), go("j:c:1")}, nowMs);
  LONGS_EQUAL(1, reportsIn(reports()));
  LONGS_EQUAL(0, reportsIn(reports(R"(["j:a:1"])")));
  LONGS_EQUAL(0, reportsIn(reports(R"(["j:a:1","j:b:1"])")));
  LONGS_EQUAL(1, reportsIn(ordered({go("j:a:1"), go("j:b:1"), go("j:c:1")}, nowMs)));
  LONGS_EQUAL(0, reportsIn(reports(R"(["j:a:1","j:b:1","j:c:1"])")));
  nowMs += bounds.leaseMs / 2;
  LONGS_EQUAL(1, reportsIn(reports(R"(["j:a:1","j:b:1","j:c:1"])")));
}

// A leader takes reports once its first batch is at a majority, which may be after its agents have heard of it.
TEST(agent, a_new_leader_is_told_at_once_and_again_until_it_answers) {
  const auto reportsWithin = [&](Millis spanMs) {
    std::size_t sent = 0;
    for (const Millis untilMs = nowMs + spanMs; nowMs < untilMs; nowMs += 10) {
      Outbox each;
      agent::agentTick(agent, {nowMs}, each);
      sent += each.sends.size();
    }
    return sent;
  };
  const auto& bounds = agent.client.settings.bounds;
  ordered({}, nowMs);
  reports();
  agent.client.leader = {{4, "p"}, Address("10.0.0.7:1"), Address("10.0.0.7:2")};
  agent.reportDue = true;
  LONGS_EQUAL(4, reportsWithin(2 * bounds.heartbeatMs()));
  ordered({}, nowMs, 4);
  LONGS_EQUAL(0, reportsWithin(bounds.reportMs() / 4));
}

TEST(agent, a_new_leader_is_told_at_once) {
  Outbox out;
  ordered({go("j:a:1")}, nowMs);
  reports();
  reports(R"(["j:a:1"])");
  CHECK(agent.reportDue);
  agent.client.leader = {{4, "q"}, Address("10.0.0.7:1"), Address("10.0.0.7:2")};
  agent::agentTick(agent, {nowMs}, out);
  LONGS_EQUAL(1, out.sends.size());
  STRCMP_EQUAL("10.0.0.7:1", out.sends.front().to.value.c_str());
}
