#include <CppUTest/TestHarness.h>
#include <unistd.h>

#include <filesystem>

#include "config/config.hpp"
#include "storage/disk.hpp"

using namespace tulip;
namespace fs = std::filesystem;

namespace {

const fs::path kOldFolder = fs::path(TULIPPITCH_SOURCES).parent_path() / "tests/data/folder-d261702";

}  // namespace

/// The data folder of one replica of three, written by the program of commit d261702: three voters agreed, one
/// configuration was accepted, and the job of scenarios/gang.json was run to its end.
TEST_GROUP(old_folder) {
  fs::path folder;
  void setup() override {
    folder = fs::temp_directory_path() / ("tulip-old-folder-" + std::to_string(getpid()));
    fs::remove_all(folder);
    fs::copy(kOldFolder, folder, fs::copy_options::recursive);
  }
  void teardown() override { fs::remove_all(folder); }
};

TEST(old_folder, a_folder_written_by_an_earlier_release_is_read_whole) {
  storage::Disk disk;
  CHECK_FALSE(static_cast<bool>(storage::openDisk(disk, folder, DaemonId("fresh"))));
  CHECK(disk.image.id != DaemonId("fresh"));
  LONGS_EQUAL(1, disk.image.membership.version);
  LONGS_EQUAL(3, disk.image.membership.voters.size());
  CHECK(disk.image.voting);
  const auto& configuration = disk.image.registers.at("chart");
  CHECK(configuration.accepted == disk.image.learned);
  const auto stored = config::readStored(configuration.value);
  LONGS_EQUAL(1, stored.version);
  CHECK(stored.text.find("rebuild") != std::string::npos);
  CHECK(disk.image.jobLogBase != Ballot{});
  std::size_t jobs = 0;
  for (const auto& [key, entry] : disk.image.jobs) jobs += key.find("rebuild-1") != std::string::npos;
  CHECK(jobs > 0);
}

TEST(old_folder, a_folder_of_an_earlier_release_is_written_on_and_read_again) {
  storage::Disk disk;
  CHECK_FALSE(static_cast<bool>(storage::openDisk(disk, folder, DaemonId("fresh"))));
  const auto id = disk.image.id;
  const auto jobs = disk.image.jobs.size();
  const std::vector<transport::DiskEntry> entries{storage::entry::job({"job-new", {{9, "p"}, 1}, "state"})};
  CHECK_FALSE(static_cast<bool>(storage::writeDelta(disk, entries)));
  disk = {};
  CHECK_FALSE(static_cast<bool>(storage::openDisk(disk, folder, DaemonId("fresh"))));
  CHECK(disk.image.id == id);
  LONGS_EQUAL(jobs + 1, disk.image.jobs.size());
}
