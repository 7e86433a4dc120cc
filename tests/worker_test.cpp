#include <CppUTest/TestHarness.h>

#include <algorithm>

#include "base/json.hpp"
#include "commands/stub_worker.hpp"

using namespace tulip;
using namespace tulip::commands;

TEST_GROUP(worker) {
  Worker worker;
  Millis nowMs = 1000;

  void setup() override {
    worker.traits.name = "w";
    worker.traits.slots = 4;
    worker.traits.capacity = {{"cpu", 8000}};
    worker.traits.labels = {{"rack", "r1"}};
    worker.traits.gangWaitMs = 3000;
    worker.traits.stopTakesMs = 200;
    worker.incarnation = "life";
  }
  void hear(const std::string& more, Millis goOnMs = 60000, Millis lateMs = 0) {
    nextReport(worker, nowMs);
    heardAnswer(worker,
                "{\"report\":" + std::to_string(worker.report) +
                    ",\"startWithinMs\":1000,\"goOnMs\":" + std::to_string(goOnMs) + more + "}",
                nowMs, nowMs + lateMs);
  }
  void start(const std::string& run, const std::string& payload, const std::string& saved = {}) {
    hear(R"(,"start":[{"run":")" + run + R"(","payload":)" + payload +
         (saved.empty() ? "" : R"(,"saved":")" + saved + "\"") + "}]");
  }
  void stop(const std::string& run) { hear(R"(,"stop":[")" + run + "\"]"); }
  void pass(Millis span, Millis each = 5) {
    for (Millis past = 0; past < span; past += each) workerTick(worker, nowMs += each);
  }
  std::string outcome(const std::string& run) { return worker.ended.contains(run) ? worker.ended.at(run).outcome : ""; }
  bool journalled(const std::string& line) {
    return std::find(worker.journal.begin(), worker.journal.end(), line) != worker.journal.end();
  }
};

TEST(worker, ends_stay_listed_until_they_are_acknowledged) {
  start("j:a:1", R"({"runMs":100})");
  pass(200);
  STRCMP_EQUAL("clean", outcome("j:a:1").c_str());
  hear("");
  CHECK(worker.ended.contains("j:a:1"));
  hear(R"(,"ack":["j:a:1"])");
  CHECK_FALSE(worker.ended.contains("j:a:1"));
  CHECK(journalled("acked j:a:1"));
}

TEST(worker, a_report_lists_the_oldest_ends_and_says_that_there_are_more) {
  worker.traits.mostEndsListed = 2;
  for (const char* run : {"j:c:1", "j:b:1", "j:a:1"}) {
    start(run, R"({"runMs":100})");
    pass(200);
  }
  const auto listed = [&] {
    Json root = parseJson(nextReport(worker, nowMs));
    std::vector<std::string> runs;
    const json_t* ended = json_object_get(root.get(), "ended");
    for (std::size_t i = 0; i < json_array_size(ended); ++i) runs.push_back(textAt(json_array_get(ended, i), "run"));
    return std::pair(runs, flagAt(root.get(), "moreEnded"));
  };
  CHECK(listed() == std::pair(std::vector<std::string>{"j:c:1", "j:b:1"}, true));
  hear(R"(,"ack":["j:c:1"])");
  CHECK(listed() == std::pair(std::vector<std::string>{"j:a:1", "j:b:1"}, false));
}

TEST(worker, an_end_that_is_acknowledged_after_the_hold_lapsed_is_journalled_so) {
  hear(R"(,"start":[{"run":"j:a:1","payload":{"runMs":100}},{"run":"j:b:1","payload":{"runMs":100}}])", 300);
  pass(200);
  hear(R"(,"ack":["j:a:1"])", 300);
  CHECK(journalled("acked j:a:1"));
  pass(400);
  hear("", 300);
  hear(R"(,"ack":["j:b:1"])", 300);
  CHECK(journalled("acked j:b:1 lapsed"));
}

TEST(worker, a_lapsed_hold_takes_no_acknowledgement_from_a_worker_that_does_not_stop_by_itself) {
  worker.traits.selfStop = false;
  hear(R"(,"start":[{"run":"j:a:1","payload":{"runMs":100}}])", 300);
  pass(400);
  hear(R"(,"ack":["j:a:1"])", 300);
  CHECK(journalled("acked j:a:1"));
}

TEST(worker, what_is_over_its_capacity_starts_all_the_same_and_is_journalled) {
  start("j:0.0.0:1", R"({"runMs":900,"room":{"cpu":5000}})");
  start("j:0.0.1:1", R"({"runMs":900,"room":{"cpu":5000}})");
  LONGS_EQUAL(2, worker.running.size());
  CHECK(journalled("over j:0.0.1:1 cpu"));
  CHECK_FALSE(journalled("over j:0.0.0:1 cpu"));
}

TEST(worker, a_hold_that_lapses_kills_everything) {
  start("j:a:1", R"({"runMs":90000})");
  hear("", 500);
  pass(1000);
  CHECK(worker.running.contains("j:a:1"));
  nowMs = worker.goOnUntilMs;
  workerTick(worker, nowMs);
  STRCMP_EQUAL("lapsed", outcome("j:a:1").c_str());
}

TEST(worker, a_hold_is_cut_to_the_longest_it_takes_and_never_gets_shorter) {
  worker.traits.holdMostMs = 6000;
  hear("", 90000);
  LONGS_EQUAL(nowMs + 6000, worker.goOnUntilMs);
  hear("", 10);
  LONGS_EQUAL(nowMs + 6000, worker.goOnUntilMs);
}

TEST(worker, a_late_answer_to_an_earlier_report_holds_on_and_orders_nothing) {
  nextReport(worker, nowMs);
  nextReport(worker, nowMs);
  heardAnswer(worker, R"({"report":1,"goOnMs":2000,"startWithinMs":1000,"start":[{"run":"j:a:1"}]})", nowMs,
              nowMs + 100);
  LONGS_EQUAL(nowMs + 2000, worker.goOnUntilMs);
  CHECK(worker.running.empty());
}

TEST(worker, a_run_not_above_one_stopped_or_ended_here_is_refused) {
  stop("j:a:3");
  start("j:a:3", "{}");
  STRCMP_EQUAL("refused", outcome("j:a:3").c_str());
  start("j:a:4", "{}");
  CHECK(worker.running.contains("j:a:4"));
  start("j:a:2", "{}");
  STRCMP_EQUAL("refused", outcome("j:a:2").c_str());
}

TEST(worker, an_older_fence_is_given_no_heed) {
  hear(R"(,"fence":7)");
  start("j:a:1", "{}");
  CHECK(worker.running.empty());
  hear(R"(,"fence":7,"start":[{"run":"j:a:1"}])");
  LONGS_EQUAL(1, worker.running.size());
}

TEST(worker, checkpoints_come_with_work_and_at_a_stop_and_are_resumed_from) {
  start("j:0.0.0:1", R"({"runMs":10000,"saves":true})");
  pass(900);
  STRCMP_EQUAL("", worker.running.at("j:0.0.0:1").saved.c_str());
  pass(200);
  CHECK_FALSE(worker.running.at("j:0.0.0:1").saved.empty());
  pass(500);
  stop("j:0.0.0:1");
  pass(200);
  STRCMP_EQUAL("stopped", outcome("j:0.0.0:1").c_str());
  const auto saved = worker.ended.at("j:0.0.0:1").saved;
  Worker other;
  other.traits = worker.traits;
  worker = other;
  start("j:0.0.0:2", R"({"runMs":10000,"saves":true})", saved);
  CHECK(worker.running.at("j:0.0.0:2").doneMs >= 1500);
  pass(8300);
  CHECK(worker.running.contains("j:0.0.0:2"));
  pass(700);
  STRCMP_EQUAL("clean", outcome("j:0.0.0:2").c_str());
}

TEST(worker, gang_members_wait_work_and_end_as_the_world_says) {
  const char* payload = R"({"runMs":500,"together":2})";
  start("j:0.0.0:1", payload);
  start("j:0.1.0:1", payload);
  start("j:0.2.0:1", payload);
  pass(1000);
  LONGS_EQUAL(0, static_cast<long>(worker.running.at("j:0.0.0:1").doneMs));
  gangWhole(worker, "j:0.0.0:1", 1, nowMs);
  pass(600);
  CHECK(worker.running.at("j:0.0.0:1").workDone);
  gangDone(worker, "j:0.0.0:1", nowMs);
  gangBroken(worker, "j:0.1.0:1", nowMs);
  STRCMP_EQUAL("clean", outcome("j:0.0.0:1").c_str());
  STRCMP_EQUAL("broken", outcome("j:0.1.0:1").c_str());
  pass(1500);
  STRCMP_EQUAL("alone", outcome("j:0.2.0:1").c_str());
}

TEST(worker, standing_runs_go_on_until_they_are_stopped) {
  start("j:0.0.0:1", R"({"runMs":100,"standing":true})");
  pass(5000);
  CHECK(worker.running.contains("j:0.0.0:1"));
  stop("j:0.0.0:1");
  pass(200);
  STRCMP_EQUAL("stopped", outcome("j:0.0.0:1").c_str());
}

TEST(worker, a_run_that_stands_still_moves_no_percent) {
  worker.traits.standsStill = true;
  start("j:a:1", R"({"runMs":100})");
  pass(5000);
  Json report = parseJson(nextReport(worker, nowMs));
  const json_t* running = json_array_get(json_object_get(report.get(), "going"), 0);
  LONGS_EQUAL(0, numberAt(running, "percent", -1));
  STRCMP_EQUAL("j:a:1", textAt(running, "run").c_str());
}

TEST(worker, work_away_from_its_data_takes_longer) {
  start("j:0.0.0:1", R"({"runMs":1000,"near":"r1"})");
  start("j:0.0.1:1", R"({"runMs":1000,"near":"r2"})");
  pass(1100);
  CHECK(worker.ended.contains("j:0.0.0:1"));
  CHECK_FALSE(worker.ended.contains("j:0.0.1:1"));
  pass(500);
  CHECK(worker.ended.contains("j:0.0.1:1"));
}
