#pragma once
#include <cstdint>
#include <string>
#include <vector>

namespace tulip::simulator {

struct JournalVerdict {
  std::vector<std::string> broken;
  std::int64_t starts = 0, cleanTasks = 0, unacknowledgedReruns = 0;
  std::int64_t accepted = 0, ended = 0, reads = 0, torn = 0;
};

JournalVerdict judgeJournals(const std::string& folder, std::int64_t slotsEach = 8);

}  // namespace tulip::simulator
