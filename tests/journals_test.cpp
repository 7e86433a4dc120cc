#include <CppUTest/TestHarness.h>

#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "simulator/journals.hpp"

using namespace tulip::simulator;
namespace fs = std::filesystem;

TEST_GROUP(journals) {
  fs::path folder;
  void setup() override {
    folder = fs::temp_directory_path() / ("tulip-journals-" + std::to_string(getpid()));
    fs::create_directories(folder);
  }
  void teardown() override { fs::remove_all(folder); }
  JournalVerdict judge(const char* one, const char* two = "") {
    std::ofstream(folder / "w1.journal") << one;
    std::ofstream(folder / "w2.journal") << two;
    return judgeJournals(folder.string());
  }
};

TEST(journals, an_ordinary_course_breaks_nothing) {
  const auto verdict = judge("1 w1 x start j:a:1 2\n5 w1 x end j:a:1 failed\n6 w1 x acked j:a:1\n",
                             "9 w2 y start j:a:2 2\n12 w2 y end j:a:2 clean\n");
  LONGS_EQUAL(0, verdict.broken.size());
  LONGS_EQUAL(2, verdict.starts);
  LONGS_EQUAL(1, verdict.cleanTasks);
}

TEST(journals, running_twice_at_once_fires) {
  LONGS_EQUAL(1, judge("1 w1 x start j:a:1 2\n15 w1 x end j:a:1 clean\n", "9 w2 y start j:a:2 2\n").broken.size());
}

TEST(journals, running_again_after_an_acknowledged_end_fires) {
  LONGS_EQUAL(1, judge("1 w1 x start j:a:1 2\n5 w1 x end j:a:1 clean\n6 w1 x acked j:a:1\n", "9 w2 y start j:a:2 2\n")
                     .broken.size());
  const auto lost = judge("1 w1 x start j:a:1 2\n5 w1 x end j:a:1 clean\n", "9 w2 y start j:a:2 2\n");
  LONGS_EQUAL(0, lost.broken.size());
  LONGS_EQUAL(1, lost.unacknowledgedReruns);
  const auto lapsed =
      judge("1 w1 x start j:a:1 2\n5 w1 x end j:a:1 clean\n20 w1 x acked j:a:1 lapsed\n", "9 w2 y start j:a:2 2\n");
  LONGS_EQUAL(0, lapsed.broken.size());
  LONGS_EQUAL(1, lapsed.unacknowledgedReruns);
}

TEST(journals, too_much_on_a_worker_fires) {
  LONGS_EQUAL(1, judge("1 w1 x start j:a:1 5\n2 w1 x start j:b:1 4\n").broken.size());
  LONGS_EQUAL(0, judge("1 w1 x start j:a:1 5\n2 w1 z start j:b:1 4\n").broken.size());
}

TEST(journals, a_worker_that_says_it_is_over_its_capacity_fires) {
  LONGS_EQUAL(1, judge("1 w1 x start j:0.0.0:1 1 payload=00\n1 w1 x over j:0.0.0:1 cpu\n").broken.size());
}

TEST(journals, jobs_of_steps_are_judged_by_their_numbers) {
  const std::string submit =
      R"(10 submit {"id":"j","pending":"gate","times":2,"steps":[{"name":"a","count":2,"together":true},{"name":"b","after":["a"],"repeats":true}]})"
      "\n";
  const auto brokenOf = [&](const std::string& more, const char* runs) {
    std::ofstream(folder / "c.calls") << submit << "15 accepted j\n" << more;
    return judge(runs).broken.size();
  };
  const char* whole =
      "20 w1 x start j:0.0.0:1 1\n20 w1 x start j:0.0.1:1 1\n30 w1 x end j:0.0.1:1 clean\n30 w1 x end j:0.0.0:1 "
      "crashed\n"
      "40 w1 x start j:0.1.0:1 1\n41 w1 x start j:0.1.0:2 1\n50 w1 x end j:0.1.0:1 clean\n51 w1 x end j:0.1.0:2 clean\n"
      "60 w1 x start j:1.0.0:1 1\n60 w1 x start j:1.0.1:1 1\n70 w1 x end j:1.0.0:1 clean\n70 w1 x end j:1.0.1:1 clean\n"
      "80 w1 x start j:1.1.0:1 1\n90 w1 x end j:1.1.0:1 clean\n";
  LONGS_EQUAL(0, brokenOf("99 shown j finished\n", whole));
  LONGS_EQUAL(1, brokenOf("85 shown j finished\n", whole));
  LONGS_EQUAL(2, brokenOf("99 shown j cancelled\n", "20 w1 x start j:0.1.0:1 1\n"));
}

TEST(journals, what_callers_and_operators_saw_is_judged_with_it) {
  const std::string submit =
      R"(10 submit {"id":"j","pending":"gate","notBeforeMs":0,"tasks":[{"name":"a"},{"name":"b","after":["a"]}]})"
      "\n";
  const auto fires = [&](const std::string& calls, const char* runs, const char* rule) {
    std::ofstream(folder / "c.calls") << calls;
    const auto verdict = judge(runs);
    for (const auto& each : verdict.broken)
      if (each.find(rule) == 0) return true;
    return false;
  };
  const char* whole =
      "20 w1 x start j:a:1 1\n30 w1 x end j:a:1 clean\n40 w1 x start j:b:1 1\n50 w1 x end j:b:1 clean\n";
  const auto good = submit + "12 limit gate 1\n15 accepted j\n60 shown j finished\n";
  std::ofstream(folder / "c.calls") << good;
  LONGS_EQUAL(0, judge(whole).broken.size());
  LONGS_EQUAL(1, judge(whole).accepted);
  CHECK(fires(good + "70 unknown j\n", whole, "forgotten"));
  CHECK(fires(submit + "15 accepted j\n", whole, "ends"));
  CHECK(fires(submit + "15 accepted j\n45 shown j finished\n", whole, "finished"));
  CHECK(fires(submit + "15 denied j\n", whole, "asked-for"));
  CHECK(fires(good, "20 w1 x start k:a:1 1\n", "asked-for"));
  CHECK(fires(good, "20 w1 x start j:b:1 1\n", "steps"));
  CHECK(fires(good, "20 w1 x start j:a:1 1\n21 w1 x end j:a:1 failed\n22 w1 x acked j:a:1\n23 w1 x start j:a:2 1\n",
              "failures"));
  CHECK(fires(submit + "15 accepted j\n16 cancelled j\n", "3100 w1 x start j:a:1 1\n", "cancelled"));
  CHECK(fires(good + "16 drained w1\n", "2100 w1 x start j:a:1 1\n", "draining"));
  CHECK_FALSE(fires(good + "16 drained w1\n1000 undrained w1\n", "2100 w1 x start j:a:1 1\n", "draining"));
  CHECK(fires(good + "16 confirmed 4\n3000 read 3 2990\n", whole, "chart"));
  CHECK_FALSE(fires(good + "16 confirmed 4\n3000 read 3 900\n", whole, "chart"));
  std::ofstream(folder / "c.calls") << good << "70 sho";
  LONGS_EQUAL(1, judge(whole).torn);
}
