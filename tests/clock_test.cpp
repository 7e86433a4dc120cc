#include <CppUTest/TestHarness.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

namespace fs = std::filesystem;

namespace {

std::string firstWallClock(const std::string& text) {
  for (const char* word :
       {"system_clock", "gettimeofday", "CLOCK_REALTIME", "std::time(", " time(NULL", " time(nullptr", "localtime",
        "gmtime", "utc_clock", "second_clock", "microsec_clock", "file_clock", "last_write_time"})
    if (text.find(word) != std::string::npos) return word;
  return {};
}

}  // namespace

TEST_GROUP(clock){};

// Due times of jobs are wall times: the daemon's core duty reads the clock in one place, and only what maps those times
// may use it.
TEST(clock, one_place_reads_a_wall_clock_and_only_due_times_use_it) {
  const std::set<std::string> readers{"daemon.cpp"};
  const std::set<std::string> users{"core.hpp",           "messages.hpp",  "agent.cpp",       "acceptor.cpp",
                                    "election.cpp",       "orders.cpp",    "replication.cpp", "machine_clocks.hpp",
                                    "machine_clocks.cpp", "due_times.cpp", "sim.hpp",         "sim.cpp",
                                    "load.hpp",           "load.cpp",      "world.cpp",       "scale.cpp"};
  std::size_t files = 0, reads = 0;
  for (const auto& item : fs::recursive_directory_iterator(TULIPPITCH_SOURCES)) {
    if (item.path().extension() != ".cpp" && item.path().extension() != ".hpp") continue;
    std::stringstream text;
    text << std::ifstream(item.path()).rdbuf();
    ++files;
    const auto name = item.path().filename().string();
    auto code = text.str();
    if (code.find("wallMs") != std::string::npos && !users.contains(name)) FAIL((name + " uses the wall time").c_str());
    if (const auto at = code.find("system_clock"); readers.contains(name) && at != std::string::npos) {
      ++reads;
      const auto maker = code.rfind("Now clockNow()", at);
      CHECK(maker != std::string::npos && at - maker < 400);
      code.erase(at, std::string("system_clock").size());
    }
    STRCMP_EQUAL_TEXT("", firstWallClock(code).c_str(), name.c_str());
  }
  CHECK(files > 50);
  LONGS_EQUAL(1, reads);
}

TEST(clock, the_search_finds_one_where_there_is_one) {
  STRCMP_EQUAL("system_clock", firstWallClock("auto at = std::chrono::system_clock::now();").c_str());
  STRCMP_EQUAL("", firstWallClock("auto at = std::chrono::steady_clock::now();").c_str());
}
