#include <CppUTest/TestHarness.h>

#include <csignal>
#include <sys/resource.h>

#include <filesystem>
#include <fstream>
#include <unistd.h>

#include "hold/disk.hpp"

using namespace tulip;
namespace fs = std::filesystem;

TEST_GROUP(hold) {
  fs::path folder;
  void setup() override {
    folder = fs::temp_directory_path() / ("tulip-hold-" + std::to_string(getpid()));
    fs::remove_all(folder);
  }
  void teardown() override { fs::remove_all(folder); }

  signal::Entry jobEntry(int n, std::uint64_t seq) { return {"job-" + std::to_string(n), {{3, "p"}, seq}, std::string(2000, 'x')}; }

  void fill(int count) {
    hold::Disk disk;
    CHECK_FALSE(static_cast<bool>(hold::openDisk(disk, folder, DaemonId("q1"))));
    for (int i = 0; i < count; ++i) {
      const std::vector<signal::DiskEntry> entries{hold::entry::job(jobEntry(i % 7, static_cast<std::uint64_t>(i + 1)))};
      CHECK_FALSE(static_cast<bool>(hold::writeDelta(disk, entries)));
    }
  }
};

TEST(hold, what_was_written_is_read_back_under_the_same_id) {
  fill(20);
  hold::Disk again;
  CHECK_FALSE(static_cast<bool>(hold::openDisk(again, folder, DaemonId("other"))));
  STRCMP_EQUAL("q1", again.image.id.value.c_str());
  LONGS_EQUAL(7, again.image.jobs.size());
  LONGS_EQUAL(20, again.image.jobs.at("job-5").version.seq);
}

TEST(hold, many_deltas_fold_into_a_full_version_and_lose_nothing) {
  fill(1500);
  std::size_t files = 0;
  for (const auto& item : fs::directory_iterator(folder)) files += item.path().extension() != ".lock";
  CHECK(files < 1000);
  hold::Disk again;
  CHECK_FALSE(static_cast<bool>(hold::openDisk(again, folder, DaemonId("other"))));
  LONGS_EQUAL(1500, again.image.jobs.at("job-1").version.seq);
}

TEST(hold, a_torn_file_is_never_believed) {
  fill(5);
  fs::path newest;
  for (const auto& item : fs::directory_iterator(folder))
    if (item.path().extension() == ".delta" && item.path() > newest) newest = item.path();
  fs::resize_file(newest, fs::file_size(newest) - 10);
  hold::Disk again;
  CHECK(hold::openDisk(again, folder, DaemonId("other")) == make_error_code(Kind::tornFile));
}

TEST(hold, a_missing_step_in_the_chain_is_never_skipped) {
  fill(5);
  fs::remove(folder / "v-00000000000000000003.delta");
  hold::Disk again;
  CHECK(hold::openDisk(again, folder, DaemonId("other")) == make_error_code(Kind::tornFile));
}

TEST(hold, a_foreign_folder_s_file_is_never_believed) {
  fill(3);
  const auto mine = folder;
  folder += "-other";
  {
    hold::Disk disk;
    hold::openDisk(disk, folder, DaemonId("q2"));
    const std::vector<signal::DiskEntry> entries{hold::entry::job(jobEntry(1, 99))};
    hold::writeDelta(disk, entries);
  }
  fs::copy_file(folder / "v-00000000000000000002.delta", mine / "v-00000000000000000002.delta", fs::copy_options::overwrite_existing);
  fs::remove_all(folder);
  folder = mine;
  hold::Disk again;
  CHECK(hold::openDisk(again, folder, DaemonId("other")) == make_error_code(Kind::tornFile));
}

TEST(hold, a_file_left_aside_by_a_crash_is_ignored) {
  fill(3);
  std::ofstream(folder / "v-00000000000000000005.delta.aside") << "half";
  hold::Disk again;
  CHECK_FALSE(static_cast<bool>(hold::openDisk(again, folder, DaemonId("other"))));
  LONGS_EQUAL(4, again.lastSeq);
}

TEST(hold, a_quay_reads_back_whom_it_promised_itself_to_and_what_it_had_learned) {
  const signal::Form form{{1, {{DaemonId("q1"), Address("10.0.0.1:1")}, {DaemonId("q2"), Address("10.0.0.2:1")}}}, 3};
  const auto written = [&](std::vector<signal::DiskEntry> entries) {
    hold::Disk disk;
    CHECK_FALSE(static_cast<bool>(hold::openDisk(disk, folder, DaemonId("q1"))));
    CHECK_FALSE(static_cast<bool>(hold::writeDelta(disk, entries)));
    disk = {};
    CHECK_FALSE(static_cast<bool>(hold::openDisk(disk, folder, DaemonId("q1"))));
    hold::Image again;
    for (const auto& entry : hold::snapshot(disk.image)) hold::apply(again, entry);
    return again;
  };
  CHECK(written({hold::entry::joined(form)}).joined == form);
  CHECK(written({hold::entry::learned({4, "b"}), hold::entry::learned({3, "z"})}).learned == (Ballot{4, "b"}));
  const auto seated = written({hold::entry::cohort(form.cohort)});
  CHECK(seated.joined == signal::Form{});
  CHECK(seated.cohort == form.cohort);
  CHECK(seated.learned == (Ballot{4, "b"}));
}

TEST(hold, an_acceptor_keeps_its_promise) {
  hold::Image image;
  std::vector<signal::DiskEntry> writes;
  auto flush = [&] {
    for (const auto& write : writes) hold::apply(image, write);
    writes.clear();
  };
  CHECK(hold::promise(image, {1, "chart", {2, "b"}}, writes).ok);
  flush();
  CHECK_FALSE(hold::promise(image, {1, "chart", {1, "a"}}, writes).ok);
  CHECK_FALSE(hold::accept(image, {1, "chart", {1, "a"}, "old"}, writes).ok);
  CHECK(hold::accept(image, {1, "chart", {2, "b"}, "new"}, writes).ok);
  flush();
  STRCMP_EQUAL("new", hold::promise(image, {1, "chart", {3, "a"}}, writes).value.c_str());
}

TEST(hold, a_disk_that_is_full_for_a_while_takes_the_same_write_again_and_loses_nothing) {
  hold::Disk disk;
  CHECK_FALSE(static_cast<bool>(hold::openDisk(disk, folder, DaemonId("q1"))));
  auto write = [&](int n) {
    const std::vector<signal::DiskEntry> entries{hold::entry::job(jobEntry(n, static_cast<std::uint64_t>(n + 1)))};
    return hold::writeDelta(disk, entries);
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
  hold::Disk again;
  CHECK_FALSE(static_cast<bool>(hold::openDisk(again, folder, DaemonId("other"))));
  LONGS_EQUAL(3, again.image.jobs.size());
}
