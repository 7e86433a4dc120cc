#include <CppUTest/TestHarness.h>
#include <sys/resource.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <filesystem>

#include "storage/disk.hpp"

using namespace tulip;
namespace fs = std::filesystem;

namespace {

constexpr std::uint64_t kMebibyte = 1 << 20;
constexpr std::uint64_t kSmallDiskBytes = 128 * kMebibyte;
constexpr std::size_t kConfigBytes = 262144;
constexpr std::size_t kJobBytes = 1000;

std::uint64_t folderBytes(const fs::path& folder) {
  std::uint64_t bytes = 0;
  for (const auto& item : fs::directory_iterator(folder)) bytes += item.file_size();
  return bytes;
}

long peakKilobytes() {
  rusage used{};
  getrusage(RUSAGE_SELF, &used);
  return used.ru_maxrss;
}

}  // namespace

TEST_GROUP(storage_growth) {
  fs::path folder;
  storage::Disk disk;
  std::uint64_t mostBytes = 0;
  void setup() override {
    folder = fs::temp_directory_path() / ("tulip-growth-" + std::to_string(getpid()));
    fs::remove_all(folder);
    CHECK_FALSE(static_cast<bool>(storage::openDisk(disk, folder, DaemonId("q1"))));
  }
  void teardown() override {
    disk = {};
    fs::remove_all(folder);
  }

  void write(std::vector<transport::DiskEntry> entries) {
    CHECK_FALSE(static_cast<bool>(storage::writeDelta(disk, entries)));
    mostBytes = std::max(mostBytes, folderBytes(folder));
    CHECK_FALSE(static_cast<bool>(storage::compactIfDue(disk)));
  }

  // Prints what docs/measurements.md tells of.
  void reopen(const char* what) {
    const auto counts = disk.counts;
    const auto endBytes = folderBytes(folder);
    disk = {};
    const auto before = std::chrono::steady_clock::now();
    CHECK_FALSE(static_cast<bool>(storage::openDisk(disk, folder, DaemonId("other"))));
    const auto span = std::chrono::steady_clock::now() - before;
    std::printf(
        "%s: %.1f MB at most, %.1f MB at the end, %.1f MB written, %llu deltas, %llu fulls, read in %lld ms, peak %ld "
        "MB\n",
        what, static_cast<double>(mostBytes) / kMebibyte, static_cast<double>(endBytes) / kMebibyte,
        static_cast<double>(counts.bytes) / kMebibyte, static_cast<unsigned long long>(counts.deltas),
        static_cast<unsigned long long>(counts.fulls),
        static_cast<long long>(std::chrono::duration_cast<std::chrono::milliseconds>(span).count()),
        peakKilobytes() / 1024);
  }
};

TEST(storage_growth, a_thousand_changes_of_a_large_configuration_stay_small_on_disk) {
  constexpr std::uint64_t kChanges = 1000;
  for (std::uint64_t change = 1; change <= kChanges; ++change) {
    const Ballot ballot{change, "proposer"};
    write({storage::entry::registerPromise("chart", ballot)});
    write({storage::entry::registerAccept("chart", ballot, std::string(kConfigBytes, 'a' + change % 26))});
    write({storage::entry::learned(ballot)});
  }
  reopen("1000 changes of 262144 bytes");
  CHECK(disk.image.learned == (Ballot{kChanges, "proposer"}));
  CHECK(mostBytes < kSmallDiskBytes / 16);
}

TEST(storage_growth, twenty_thousand_jobs_leave_room_on_a_small_disk) {
  constexpr int kJobs = 20000, kChangesOfAJob = 3, kBatch = 50;
  std::uint64_t seq = 0;
  for (int round = 0; round < kChangesOfAJob; ++round)
    for (int first = 0; first < kJobs; first += kBatch) {
      std::vector<transport::DiskEntry> entries;
      for (int job = first; job < first + kBatch; ++job)
        entries.push_back(
            storage::entry::job({"job-" + std::to_string(job), {{1, "p"}, ++seq}, std::string(kJobBytes, 'x')}));
      write(std::move(entries));
    }
  reopen("20000 jobs of 1000 bytes, written three times");
  LONGS_EQUAL(kJobs, disk.image.jobs.size());
  CHECK(mostBytes < kSmallDiskBytes * 3 / 4);
}
