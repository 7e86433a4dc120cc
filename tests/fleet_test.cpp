#include <CppUTest/TestHarness.h>

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

#include "base/json.hpp"
#include "commands/commands.hpp"
#include "http/http.hpp"

using namespace tulip;
namespace fs = std::filesystem;

TEST_GROUP(fleet) {
  fs::path folder;
  pid_t runner = -1;
  std::string at;

  void setup() override {
    folder = fs::temp_directory_path() / ("tulip-fleet-" + std::to_string(getpid()));
    fs::remove_all(folder);
    fs::create_directories(folder);
    int ends[2];
    CHECK(pipe(ends) == 0);
    runner = fork();
    if (runner == 0) {
      dup2(ends[1], 1);
      close(ends[0]);
      const auto where = (folder / "f").string();
      execl(TULIPPITCH_PROGRAM, "tulippitch", "local-cluster", "--folder", where.c_str(), "--base-port", "0",
            "--workers", "4", "--schedulers", "3", nullptr);
      _exit(127);
    }
    close(ends[1]);
    std::string line;
    char c = 0;
    while (read(ends[0], &c, 1) == 1 && c != '\n') line.push_back(c);
    close(ends[0]);
    CHECK(line.find("fleet of") == 0);
    for (const auto& hand : hands())
      if (hand.name.starts_with("scheduler") || hand.name.starts_with("agent"))
        at += (at.empty() ? "" : ",") + hand.http;
  }

  void teardown() override {
    std::vector<pid_t> left;
    if (runner > 0) {
      for (const auto& hand : hands()) left.push_back(hand.pid);
      kill(runner, SIGTERM);
      int status = 0;
      waitpid(runner, &status, 0);
      CHECK(WIFEXITED(status));
      LONGS_EQUAL(0, WEXITSTATUS(status));
    }
    for (const auto pid : left)
      if (pid > 0) CHECK(kill(pid, 0) != 0);
    fs::remove_all(folder);
  }

  struct Listed {
    std::string name, http;
    pid_t pid;
  };
  std::vector<Listed> hands() {
    std::ifstream in(folder / "f" / "fleet.json");
    std::stringstream text;
    text << in.rdbuf();
    Json root = parseJson(text.str());
    std::vector<Listed> all;
    const json_t* list = json_object_get(root.get(), "hands");
    for (std::size_t i = 0; i < json_array_size(list); ++i) {
      const json_t* item = json_array_get(list, i);
      all.push_back({textAt(item, "name"), textAt(item, "http"), static_cast<pid_t>(numberAt(item, "pid"))});
    }
    return all;
  }

  int ctl(std::vector<std::string> words) {
    words.insert(words.begin(), {"ctl", "--json", "--at", at, "--cutoff-ms", "60000"});
    std::vector<char*> args;
    for (auto& word : words) args.push_back(word.data());
    return commands::runCtl(static_cast<int>(args.size()), args.data());
  }

  std::string file(const std::string& name, const std::string& text) {
    std::ofstream(folder / name) << text;
    return (folder / name).string();
  }
};

TEST(fleet, jobs_outlive_a_killed_leader_and_a_killed_replica_and_run_once) {
  LONGS_EQUAL(
      0, ctl({"config", "put", file("chart", R"({"pendings":{"gate":{}},"pools":{"side":{"slots":8,"workers":4}}})")}));
  constexpr int kJobs = 24;
  auto submit = [&](int n) {
    const auto id = "j" + std::to_string(n);
    return ctl(
        {"submit",
         file(
             id,
             R"({"id":")" + id + R"(","pending":"gate","gang":true,"tasks":[{"name":"a","payload":{"runMs":300}},)" +
                 R"({"name":"b","slots":2,"payload":{"runMs":200}},{"name":"c","after":["a","b"],"payload":{"runMs":50}}]})")});
  };
  for (int i = 0; i < kJobs / 2; ++i) LONGS_EQUAL(0, submit(i));
  http::CallOut ask;
  ask.to = Address(at.substr(0, at.find(',')));
  ask.target = "/leader";
  Json leader = parseJson(http::callNow(ask).body);
  const auto leads = textAt(leader.get(), "http");
  int killed = 0;
  for (const auto& hand : hands())
    if (hand.http == leads || hand.name == "replica-2") killed += kill(hand.pid, SIGKILL) == 0;
  LONGS_EQUAL(2, killed);
  for (int i = kJobs / 2; i < kJobs; ++i) LONGS_EQUAL(0, submit(i));
  LONGS_EQUAL(0, submit(3));
  for (int i = 0; i < kJobs; ++i) LONGS_EQUAL(0, ctl({"wait", "j" + std::to_string(i)}));
  LONGS_EQUAL(4, ctl({"get", "never-submitted"}));
  LONGS_EQUAL(3, ctl({"config", "patch", file("bad", R"({"pendings":{"gate":{"failureLimit":0}}})")}));
  LONGS_EQUAL(5, ctl({"config", "patch", "--expected", "77", file("late", R"({"pendings":{"late":{}}})")}));
  LONGS_EQUAL(0, ctl({"drain", "worker-1"}));
  std::map<std::string, int> clean;
  for (const auto& item : fs::directory_iterator(folder / "f")) {
    if (item.path().extension() != ".journal") continue;
    std::ifstream in(item.path());
    std::string time, worker, life, kind, run, outcome;
    for (std::string line; std::getline(in, line);) {
      std::stringstream words(line);
      outcome.clear();
      words >> time >> worker >> life >> kind >> run >> outcome;
      if (kind == "end" && outcome == "clean") ++clean[run.substr(0, run.rfind(':'))];
    }
  }
  LONGS_EQUAL(3 * kJobs, clean.size());
  for (const auto& [task, count] : clean) LONGS_EQUAL(1, count);
}
