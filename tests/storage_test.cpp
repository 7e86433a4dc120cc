#include <CppUTest/TestHarness.h>

#include <sys/resource.h>
#include <csignal>

#include <unistd.h>
#include <filesystem>
#include <fstream>

#include "storage/disk.hpp"

using namespace tulip;
namespace fs = std::filesystem;

TEST_GROUP(storage) {
  fs::path folder;
  void setup() override {
    folder = fs::temp_directory_path() / ("tulip-hold-" + std::to_string(getpid()));
    fs::remove_all(folder);
  }
  void teardown() override { fs::remove_all(folder); }

  transport::Entry jobEntry(int n, std::uint64_t seq) {
    return {"job-" + std::to_string(n), {{3, "p"}, seq}, std::string(2000, 'x')};
  }

  void fill(int count) {
    storage::Disk disk;
    CHECK_FALSE(static_cast<bool>(storage::openDisk(disk, folder, DaemonId("q1"))));
    for (int i = 0; i < count; ++i) {
      const std::vector<transport::DiskEntry> entries{
          storage::entry::job(jobEntry(i % 7, static_cast<std::uint64_t>(i + 1)))};
      CHECK_FALSE(static_cast<bool>(storage::writeDelta(disk, entries)));
      CHECK_FALSE(static_cast<bool>(storage::compactIfDue(disk)));
    }
  }
};

TEST(storage, what_was_written_is_read_back_under_the_same_id) {
  fill(20);
  storage::Disk again;
  CHECK_FALSE(static_cast<bool>(storage::openDisk(again, folder, DaemonId("other"))));
  STRCMP_EQUAL("q1", again.image.id.value.c_str());
  LONGS_EQUAL(7, again.image.jobs.size());
  LONGS_EQUAL(20, again.image.jobs.at("job-5").version.seq);
}

TEST(storage, many_deltas_fold_into_a_full_version_and_lose_nothing) {
  fill(1500);
  std::size_t files = 0;
  for (const auto& item : fs::directory_iterator(folder)) files += item.path().extension() != ".lock";
  CHECK(files < 1000);
  storage::Disk again;
  CHECK_FALSE(static_cast<bool>(storage::openDisk(again, folder, DaemonId("other"))));
  LONGS_EQUAL(1500, again.image.jobs.at("job-1").version.seq);
}

TEST(storage, a_torn_file_is_never_believed) {
  fill(5);
  fs::path newest;
  for (const auto& item : fs::directory_iterator(folder))
    if (item.path().extension() == ".delta" && item.path() > newest) newest = item.path();
  fs::resize_file(newest, fs::file_size(newest) - 10);
  storage::Disk again;
  CHECK(storage::openDisk(again, folder, DaemonId("other")) == make_error_code(Kind::tornFile));
}

TEST(storage, a_missing_step_in_the_chain_is_never_skipped) {
  fill(5);
  fs::remove(folder / "v-00000000000000000003.delta");
  storage::Disk again;
  CHECK(storage::openDisk(again, folder, DaemonId("other")) == make_error_code(Kind::tornFile));
}

TEST(storage, a_foreign_folder_s_file_is_never_believed) {
  fill(3);
  const auto mine = folder;
  folder += "-other";
  {
    storage::Disk disk;
    storage::openDisk(disk, folder, DaemonId("q2"));
    const std::vector<transport::DiskEntry> entries{storage::entry::job(jobEntry(1, 99))};
    storage::writeDelta(disk, entries);
  }
  fs::copy_file(folder / "v-00000000000000000002.delta", mine / "v-00000000000000000002.delta",
                fs::copy_options::overwrite_existing);
  fs::remove_all(folder);
  folder = mine;
  storage::Disk again;
  CHECK(storage::openDisk(again, folder, DaemonId("other")) == make_error_code(Kind::tornFile));
}

TEST(storage, a_file_left_aside_by_a_crash_is_ignored) {
  fill(3);
  std::ofstream(folder / "v-00000000000000000005.delta.aside") << "half";
  storage::Disk again;
  CHECK_FALSE(static_cast<bool>(storage::openDisk(again, folder, DaemonId("other"))));
  LONGS_EQUAL(4, again.lastSeq);
}

TEST(storage, a_replica_reads_back_whom_it_promised_itself_to_and_what_it_had_learned) {
  const transport::BootstrapProposal form{
      {1, {{DaemonId("q1"), Address("10.0.0.1:1")}, {DaemonId("q2"), Address("10.0.0.2:1")}}}, 3};
  const auto written = [&](std::vector<transport::DiskEntry> entries) {
    storage::Disk disk;
    CHECK_FALSE(static_cast<bool>(storage::openDisk(disk, folder, DaemonId("q1"))));
    CHECK_FALSE(static_cast<bool>(storage::writeDelta(disk, entries)));
    disk = {};
    CHECK_FALSE(static_cast<bool>(storage::openDisk(disk, folder, DaemonId("q1"))));
    storage::Image again;
    for (const auto& entry : storage::snapshot(disk.image)) storage::apply(again, entry);
    return again;
  };
  CHECK(written({storage::entry::joined(form)}).joined == form);
  CHECK(written({storage::entry::learned({4, "b"}), storage::entry::learned({3, "z"})}).learned == (Ballot{4, "b"}));
  const auto isVoter = written({storage::entry::membership(form.membership)});
  CHECK(isVoter.joined == transport::BootstrapProposal{});
  CHECK(isVoter.membership == form.membership);
  CHECK(isVoter.learned == (Ballot{4, "b"}));
}

TEST(storage, an_acceptor_keeps_its_promise) {
  storage::Image image;
  std::vector<transport::DiskEntry> writes;
  auto flush = [&] {
    for (const auto& write : writes) storage::apply(image, write);
    writes.clear();
  };
  CHECK(storage::promise(image, {1, "chart", {2, "b"}}, writes).ok);
  flush();
  CHECK_FALSE(storage::promise(image, {1, "chart", {1, "a"}}, writes).ok);
  CHECK_FALSE(storage::accept(image, {1, "chart", {1, "a"}, "old"}, writes).ok);
  CHECK(storage::accept(image, {1, "chart", {2, "b"}, "new"}, writes).ok);
  flush();
  STRCMP_EQUAL("new", storage::promise(image, {1, "chart", {3, "a"}}, writes).value.c_str());
}

TEST(storage, a_disk_that_is_full_for_a_while_takes_the_same_write_again_and_loses_nothing) {
  storage::Disk disk;
  CHECK_FALSE(static_cast<bool>(storage::openDisk(disk, folder, DaemonId("q1"))));
  auto write = [&](int n) {
    const std::vector<transport::DiskEntry> entries{
        storage::entry::job(jobEntry(n, static_cast<std::uint64_t>(n + 1)))};
    return storage::writeDelta(disk, entries);
  };
  CHECK_FALSE(static_cast<bool>(write(0)));
  auto before = std::signal(SIGXFSZ, SIG_IGN);
  rlimit usual{};
  getrlimit(RLIMIT_FSIZE, &usual);
  const rlimit tight{100, usual.rlim_max};
  setrlimit(RLIMIT_FSIZE, &tight);
  for (int i = 0; i < 3; ++i) CHECK(static_cast<bool>(write(1)));
  setrlimit(RLIMIT_FSIZE, &usual);
  std::signal(SIGXFSZ, before);
  CHECK_FALSE(static_cast<bool>(write(1)));
  CHECK_FALSE(static_cast<bool>(write(2)));
  disk = {};
  storage::Disk again;
  CHECK_FALSE(static_cast<bool>(storage::openDisk(again, folder, DaemonId("other"))));
  LONGS_EQUAL(3, again.image.jobs.size());
}

TEST(storage, a_start_removes_what_came_back_of_older_versions_and_counts_what_stays) {
  fill(600);
  std::ofstream(folder / "v-00000000000000000001.full") << "came back";
  storage::Disk again;
  CHECK_FALSE(static_cast<bool>(storage::openDisk(again, folder, DaemonId("other"))));
  CHECK_FALSE(fs::exists(folder / "v-00000000000000000001.full"));
  CHECK(again.fullBytes > 0);
  CHECK(again.deltaBytes > 0);
}

TEST(storage, many_short_lives_do_not_let_the_deltas_grow) {
  constexpr int kLives = 30, kWrites = 50;
  for (int life = 0; life < kLives; ++life) {
    storage::Disk disk;
    CHECK_FALSE(static_cast<bool>(storage::openDisk(disk, folder, DaemonId("q1"))));
    for (int i = 0; i < kWrites; ++i) {
      const auto seq = static_cast<std::uint64_t>(life * kWrites + i + 1);
      const std::vector<transport::DiskEntry> entries{storage::entry::job(jobEntry(i % 7, seq))};
      CHECK_FALSE(static_cast<bool>(storage::writeDelta(disk, entries)));
      CHECK_FALSE(static_cast<bool>(storage::compactIfDue(disk)));
    }
  }
  std::size_t files = 0;
  for ([[maybe_unused]] const auto& item : fs::directory_iterator(folder)) ++files;
  CHECK(files < 300);
}

TEST(storage, a_name_that_no_version_has_is_no_version) {
  fill(3);
  std::ofstream(folder / "v-00000000000000000009.full.bak") << "copied by hand";
  storage::Disk again;
  CHECK_FALSE(static_cast<bool>(storage::openDisk(again, folder, DaemonId("other"))));
  LONGS_EQUAL(4, again.lastSeq);
}

TEST(storage, a_folder_that_another_process_holds_is_told_apart_from_a_torn_one) {
  fill(1);
  storage::Disk one, other;
  CHECK_FALSE(static_cast<bool>(storage::openDisk(one, folder, DaemonId("q1"))));
  CHECK(storage::openDisk(other, folder, DaemonId("q1")) == make_error_code(Kind::folderInUse));
}
