#include <CppUTest/TestHarness.h>

#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "drydock/journals.hpp"

using namespace tulip::drydock;
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
  const auto verdict = judge("1 w1 x start j:a:1 2\n5 w1 x end j:a:1 failed\n6 w1 x acked j:a:1\n", "9 w2 y start j:a:2 2\n12 w2 y end j:a:2 clean\n");
  LONGS_EQUAL(0, verdict.broken.size());
  LONGS_EQUAL(2, verdict.starts);
  LONGS_EQUAL(1, verdict.cleanTasks);
}

TEST(journals, running_twice_at_once_fires) {
  LONGS_EQUAL(1, judge("1 w1 x start j:a:1 2\n15 w1 x end j:a:1 clean\n", "9 w2 y start j:a:2 2\n").broken.size());
}

TEST(journals, running_again_after_an_acknowledged_end_fires) {
  LONGS_EQUAL(1, judge("1 w1 x start j:a:1 2\n5 w1 x end j:a:1 clean\n6 w1 x acked j:a:1\n", "9 w2 y start j:a:2 2\n").broken.size());
  const auto lost = judge("1 w1 x start j:a:1 2\n5 w1 x end j:a:1 clean\n", "9 w2 y start j:a:2 2\n");
  LONGS_EQUAL(0, lost.broken.size());
  LONGS_EQUAL(1, lost.unacknowledgedReruns);
}

TEST(journals, too_much_on_a_worker_fires) {
  LONGS_EQUAL(1, judge("1 w1 x start j:a:1 5\n2 w1 x start j:b:1 4\n").broken.size());
  LONGS_EQUAL(0, judge("1 w1 x start j:a:1 5\n2 w1 z start j:b:1 4\n").broken.size());
}
