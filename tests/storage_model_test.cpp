#include <CppUTest/TestHarness.h>

#include <optional>

#include "folder_model.hpp"
#include "storage/disk.hpp"

using namespace tulip;
using storage::FolderModel;

namespace {

constexpr std::string_view kFolder = "/data";
constexpr int kDays = 60;

std::string contentOf(const storage::Image& image) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, storage::snapshot(image));
  return {buffer.data(), buffer.size()};
}

using Batch = std::vector<transport::DiskEntry>;

/// One replica's life over many processes: what it may have after each start is one of two images.
struct ReplicaDay {
  std::mt19937_64 random;
  FolderModel folder;
  storage::Disk disk;
  std::optional<storage::Image> acknowledged;  // none before the first start
  Batch under;                                 // the batch that was being written when the process ended
  std::uint64_t seq = 0;
  bool open = false;

  explicit ReplicaDay(std::uint64_t seed) : random(seed), folder(seed + 1) {}

  std::size_t below(std::size_t bound) { return random() % bound; }

  Batch nextBatch() {
    Batch batch;
    const auto count = 1 + below(3);
    for (std::size_t i = 0; i < count; ++i) {
      ++seq;
      if (below(3) == 0)
        batch.push_back(storage::entry::registerAccept("config", {seq, "p"}, std::string(200000, 'a' + seq % 26)));
      else
        batch.push_back(
            storage::entry::job({"job-" + std::to_string(below(20)), {{1, "p"}, seq}, std::string(below(30000), 'x')}));
    }
    return batch;
  }

  // The folder may be begun under another name only while nothing was told under the first one.
  void start() {
    const DaemonId fresh(acknowledged ? "another" : "replica-" + std::to_string(folder.operations));
    const auto failed = storage::openDisk(disk, kFolder, fresh, folder);
    if (failed) {
      CHECK_TRUE_TEXT(failed == make_error_code(Kind::diskFailed),
                      ("start: " + failed.message() + disk.detail).c_str());
      CHECK_TRUE_TEXT(folder.stopped || folder.failPercent > 0 || folder.full, disk.detail.c_str());
      return;
    }
    open = true;
    if (acknowledged) {
      auto with = *acknowledged;
      for (const auto& entry : under) storage::apply(with, entry);
      const auto found = contentOf(disk.image);
      CHECK_TRUE_TEXT(found == contentOf(*acknowledged) || found == contentOf(with),
                      "what was acknowledged is lost, or something is there that was never written");
    }
    acknowledged = disk.image;
    under.clear();
  }

  // As the disk thread does: the same batch again until it is durable, then what is due besides.
  void write() {
    under = nextBatch();
    constexpr int kTries = 5;
    for (int tries = 0; tries < kTries; ++tries) {
      if (storage::writeDelta(disk, under)) continue;
      for (const auto& entry : under) storage::apply(*acknowledged, entry);
      under.clear();
      storage::compactIfDue(disk);
      return;
    }
    end();
  }

  void end() {
    open = false;
    disk = {};
    if (below(2) == 0)
      folder.losePower();
    else
      folder.killProcess();
  }

  void step() {
    if (below(10) == 0) folder.stopAt = folder.operations + static_cast<int>(below(12));
    folder.failPercent = below(6) == 0 ? 30 : 0;
    folder.full = below(12) == 0;
    if (open)
      write();
    else
      start();
    if (folder.stopped) end();
    if (open && below(15) == 0) end();
  }

  void close() {
    folder.failPercent = 0;
    folder.full = false;
    end();
    start();
    CHECK_TRUE_TEXT(open, disk.detail.c_str());
  }
};

}  // namespace

TEST_GROUP(storage_model){};

TEST(storage_model, whatever_ends_the_process_all_that_was_acknowledged_is_there_at_the_next_start) {
  std::uint64_t fulls = 0;
  for (std::uint64_t seed = 1; seed <= kDays; ++seed) {
    ReplicaDay day(seed);
    constexpr int kSteps = 60;
    for (int i = 0; i < kSteps; ++i) day.step();
    day.close();
    fulls += day.disk.counts.fulls;
  }
}
