#include <CppUTest/TestHarness.h>

#include "manifest/tender.hpp"

using namespace tulip;
using namespace tulip::signal;

TEST_GROUP(tender) {
  manifest::TenderState tender;
  Millis nowMs = 100000;
  std::uint64_t report = 0, orders = 0;

  void setup() override {
    Env env;
    env.role = Role::tender;
    env.worker = "w";
    env.cell = CellName("a");
    tender = manifest::makeTender(env, DaemonId("tender"), "i");
    configure("{}", 1);
    tender.crew.sessionUntilMs = nowMs + 60000;
    tender.crew.leader = {{3, "p"}, Address("10.0.0.9:1"), Address("10.0.0.9:2")};
  }

  void configure(const char* more, Revision revision) {
    auto chart = std::make_shared<chart::Chart>();
    std::vector<chart::Fault> faults;
    Json base = parseJson(R"({"pools":{"side":{"slots":8}}})");
    Json patch = parseJson(more);
    CHECK(chart::readChart(chart::mergePatch(base.get(), patch.get()).get(), *chart, faults));
    tender.crew.chart = chart;
    tender.crew.chartRevision = revision;
  }

  Outbox reports(const std::string& going = "[]", const std::string& life = "w1") {
    Outbox out;
    ++report;
    manifest::workerReport(tender, report,
                           R"({"worker":"w","incarnation":")" + life + R"(","report":)" + std::to_string(report) +
                               R"(,"pool":"side","slots":8,"going":)" + going + "}",
                           {nowMs}, out);
    return out;
  }

  Outbox ordered(std::vector<WantedRun> wanted, Millis echoMs, std::uint64_t term = 3) {
    Outbox out;
    Orders message;
    message.term = {term, "p"};
    message.seq = ++orders;
    message.tender = DaemonId("tender");
    message.echoSeq = tender.reportSeq;
    message.echoMs = echoMs;
    message.chartRevision = 1;
    message.wanted = std::move(wanted);
    manifest::tenderHeard(tender, Heard{DaemonId("p"), Address("10.0.0.9:1"), message}, {nowMs}, out);
    return out;
  }

  WantedRun go(const char* run, const char* life = "w1") { return {RunId(run), false, "{}", life, {}, true}; }

  static std::size_t started(const Outbox& out) {
    std::size_t count = 0;
    for (const auto& answer : out.answers) count += json_array_size(json_object_get(parseJson(answer.body).get(), "start"));
    return count;
  }
};

TEST(tender, a_fresh_order_reaches_the_held_report_at_once) {
  LONGS_EQUAL(0, reports().answers.size());
  LONGS_EQUAL(1, started(ordered({go("j:a:1")}, nowMs)));
}

TEST(tender, an_order_that_waited_while_the_tender_was_frozen_starts_nothing) {
  reports();
  const Millis sentMs = nowMs;
  nowMs += tender.crew.env.bounds.freshMs() + 1;
  LONGS_EQUAL(0, started(ordered({go("j:a:1")}, sentMs)));
  LONGS_EQUAL(1, started(ordered({go("j:a:1")}, nowMs)));
}

TEST(tender, an_older_term_is_denied) {
  reports();
  LONGS_EQUAL(0, started(ordered({go("j:a:1")}, nowMs, 2)));
  LONGS_EQUAL(1, tender.counts.deniedOrders);
}

TEST(tender, nothing_starts_without_a_session_or_short_of_the_revision) {
  reports();
  tender.crew.sessionUntilMs = nowMs;
  LONGS_EQUAL(0, started(ordered({go("j:a:1")}, nowMs)));
  tender.crew.sessionUntilMs = nowMs + 1000;
  tender.crew.chartRevision = 0;
  LONGS_EQUAL(0, started(ordered({go("j:a:1")}, nowMs)));
}

TEST(tender, an_emptied_cell_or_a_drained_worker_takes_no_late_order) {
  reports();
  configure(R"({"cells":{"a":{"emptied":true}}})", 2);
  LONGS_EQUAL(0, started(ordered({go("j:a:1")}, nowMs)));
  CHECK(tender.runs.at(RunId("j:a:1")).outcome == RunOutcome::lost);
  configure(R"({"workers":{"w":{"drained":true}}})", 3);
  LONGS_EQUAL(0, started(ordered({go("j:b:1")}, nowMs)));
  configure("{}", 4);
  LONGS_EQUAL(1, started(ordered({go("j:c:1")}, nowMs)));
}

TEST(tender, a_stop_before_the_start_was_handed_over_ends_it_for_good) {
  tender.crew.sessionUntilMs = nowMs;
  reports();
  ordered({go("j:a:1")}, nowMs);
  tender.crew.sessionUntilMs = nowMs + 1000;
  ordered({{RunId("j:a:1"), true, "", "w1"}}, nowMs);
  CHECK(tender.runs.at(RunId("j:a:1")).outcome == RunOutcome::stopped);
  LONGS_EQUAL(0, started(ordered({go("j:a:1")}, nowMs)));
}

TEST(tender, a_lost_answer_is_given_again_and_a_new_life_gets_none_of_it) {
  reports();
  LONGS_EQUAL(1, started(ordered({go("j:a:1")}, nowMs)));
  LONGS_EQUAL(1, started(reports()));
  LONGS_EQUAL(0, started(reports("[\"j:a:1\"]")));
  CHECK(tender.runs.at(RunId("j:a:1")).state == RunState::going);
  LONGS_EQUAL(0, started(reports("[]", "w2")));
  CHECK(tender.runs.at(RunId("j:a:1")).outcome == RunOutcome::lost);
}

TEST(tender, a_run_nobody_wants_is_stopped) {
  reports("[\"stranger:a:1\"]");
  ordered({}, nowMs);
  CHECK(tender.runs.at(RunId("stranger:a:1")).state == RunState::stopping);
}

TEST(tender, after_its_own_restart_it_waits_out_what_its_earlier_life_may_have_granted) {
  auto chart = std::make_shared<chart::Chart>(*tender.crew.chart);
  chart->pools.at("side").lostAfterTerms = 1;
  tender.crew.chart = chart;
  reports(R"(["j:a:1"])");
  Outbox out;
  nowMs += 600;
  manifest::tenderTick(tender, {nowMs}, out);
  manifest::tenderTick(tender, {nowMs + tender.crew.env.bounds.workerTermMs / 2}, out);
  CHECK(tender.runs.at(RunId("j:a:1")).state == RunState::going);
  manifest::tenderTick(tender, {nowMs + 2 * tender.crew.env.bounds.workerTermMs}, out);
  CHECK(tender.runs.at(RunId("j:a:1")).outcome == RunOutcome::lost);
}

TEST(tender, an_order_that_its_silent_worker_never_fetched_is_given_back) {
  auto chart = std::make_shared<chart::Chart>(*tender.crew.chart);
  chart->pools.at("side").lostAfterTerms = 1;
  tender.crew.chart = chart;
  const auto wTMs = tender.crew.env.bounds.workerTermMs;
  reports();
  Outbox out;
  nowMs += wTMs;
  manifest::tenderTick(tender, {nowMs}, out);
  ordered({go("j:a:1")}, nowMs);
  manifest::tenderTick(tender, {nowMs + wTMs / 2}, out);
  CHECK(tender.runs.at(RunId("j:a:1")).state == RunState::ordered);
  manifest::tenderTick(tender, {nowMs + 3 * wTMs}, out);
  CHECK(tender.runs.at(RunId("j:a:1")).outcome == RunOutcome::lost);
}

TEST(tender, so_is_one_for_a_worker_that_was_never_heard) {
  const auto wTMs = tender.crew.env.bounds.workerTermMs;
  ordered({go("j:a:1")}, nowMs);
  Outbox out;
  manifest::tenderTick(tender, {nowMs + wTMs / 2}, out);
  CHECK(tender.runs.at(RunId("j:a:1")).state == RunState::ordered);
  manifest::tenderTick(tender, {nowMs + 20 * wTMs}, out);
  CHECK(tender.runs.at(RunId("j:a:1")).outcome == RunOutcome::lost);
}

TEST(tender, until_it_has_heard_its_worker_it_says_of_no_run_that_it_never_started) {
  configure(R"({"cells":{"a":{"emptied":true}}})", 2);
  ordered({go("j:a:1")}, nowMs);
  ordered({{RunId("j:b:1"), false, "{}", "w1", {}, true}, go("j:a:1")}, nowMs);
  Outbox out;
  manifest::tenderTick(tender, {nowMs + 5}, out);
  CHECK(tender.runs.at(RunId("j:a:1")).state == RunState::ordered);
  nowMs += 10;
  reports(R"(["j:a:1"])");
  CHECK(tender.runs.at(RunId("j:a:1")).state == RunState::going);
}
