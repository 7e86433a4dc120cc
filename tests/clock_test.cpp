#include <CppUTest/TestHarness.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace fs = std::filesystem;

namespace {

std::string firstWallClock(const std::string& text) {
  for (const char* word : {"system_clock", "gettimeofday", "CLOCK_REALTIME", "std::time(", " time(NULL", " time(nullptr", "localtime", "gmtime", "utc_clock",
                           "second_clock", "microsec_clock", "file_clock", "last_write_time"})
    if (text.find(word) != std::string::npos) return word;
  return {};
}

}  // namespace

TEST_GROUP(clock){};

TEST(clock, nothing_reads_a_wall_clock) {
  std::size_t files = 0;
  for (const auto& item : fs::recursive_directory_iterator(TULIPPITCH_SOURCES)) {
    if (item.path().extension() != ".cpp" && item.path().extension() != ".hpp") continue;
    std::stringstream text;
    text << std::ifstream(item.path()).rdbuf();
    ++files;
    STRCMP_EQUAL_TEXT("", firstWallClock(text.str()).c_str(), item.path().filename().c_str());
  }
  CHECK(files > 50);
}

TEST(clock, the_search_finds_one_where_there_is_one) {
  STRCMP_EQUAL("system_clock", firstWallClock("auto at = std::chrono::system_clock::now();").c_str());
  STRCMP_EQUAL("", firstWallClock("auto at = std::chrono::steady_clock::now();").c_str());
}
