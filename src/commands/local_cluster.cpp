// Boost.Asio 1.74 uses std::exchange without including it.
#include <utility>

#include <boost/asio.hpp>

#include <sys/prctl.h>
#include <sys/wait.h>
#include <tclap/CmdLine.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <thread>

#include "base/errors.hpp"
#include "base/json.hpp"
#include "base/settings.hpp"
#include "commands/commands.hpp"
#include "daemon/daemon.hpp"

namespace tulip::commands {
namespace {

namespace fs = std::filesystem;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int kReplicas = 3;
constexpr milliseconds kIdlePause{20};          // between two looks at the processes
constexpr std::chrono::seconds kFirstFault{4};  // after the start
constexpr std::chrono::seconds kStopWithin{8};  // then what hasn't ended is killed
constexpr long kShortestFaultMs = 200;
constexpr long kMostExtraFaultMs = 4000;

/// What the command line asks for.
struct ClusterOptions {
  std::string folder;
  int basePort = 0;
  int zones = 0, schedulers = 0, workers = 0, slots = 0;
  long leaseMs = 0, workerLeaseMs = 0;
  bool respawn = false;
  std::uint64_t faultSeed = 0;  // 0: no process is killed or frozen
  long faultEveryMs = 0;
};

/// A process of the cluster.
struct Process {
  std::string name;
  std::vector<std::string> words;  // of its command line
  pid_t pid = -1;
  std::string http;
  Clock::time_point startAt;

  bool isReplica() const { return name.starts_with("replica"); }
};

volatile std::sig_atomic_t stopAsked = 0;
void onStop(int) { stopAsked = 1; }

/// Hands out addresses: ports that follow one another, or free ones that stay bound until all are handed out.
struct Ports {
  int next = 0;
  boost::asio::io_context context;  // goes after the acceptors that use it
  std::vector<boost::asio::ip::tcp::acceptor> kept;

  std::string take() {
    if (next > 0) return "127.0.0.1:" + std::to_string(next++);
    kept.emplace_back(context, boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    return "127.0.0.1:" + std::to_string(kept.back().local_endpoint().port());
  }
};

pid_t start(const Process& process, const fs::path& folder) {
  const pid_t pid = fork();
  if (pid != 0) return pid;
  prctl(PR_SET_PDEATHSIG, SIGTERM);
  ::signal(SIGPIPE, SIG_DFL);
  const auto log = (folder / (process.name + ".log")).string();
  if (!freopen(log.c_str(), "a", stderr) || !freopen("/dev/null", "r", stdin)) _exit(127);
  std::vector<char*> args;
  args.reserve(process.words.size() + 1);
  for (const auto& word : process.words) args.push_back(const_cast<char*>(word.c_str()));
  args.push_back(nullptr);
  execv("/proc/self/exe", args.data());
  _exit(127);
}

ClusterOptions readOptions(int argc, char** argv) {
  TCLAP::CmdLine line("a whole fleet on one machine, for trying and testing", ' ', "0.1.0");
  TCLAP::ValueArg<std::string> folder("", "folder", "where data, logs and fleet.json go", false, "fleet", "FOLDER",
                                      line);
  TCLAP::ValueArg<int> base("", "base-port", "first port; 0 picks free ones", false, 7100, "PORT", line);
  TCLAP::ValueArg<int> zones("", "cells", "how many zones", false, 3, "N", line);
  TCLAP::ValueArg<int> schedulers("", "schedulers", "how many schedulers", false, 4, "N", line);
  TCLAP::ValueArg<int> workers("", "workers", "how many agents and workers", false, 11, "N", line);
  TCLAP::ValueArg<int> slots("", "slots", "slots of each worker", false, 8, "N", line);
  TCLAP::ValueArg<long> lease("", "term-ms", "lease of sessions and of the leader", false, 1500, "MS", line);
  TCLAP::ValueArg<long> workerLease("", "worker-term-ms", "lease of workers", false, 2000, "MS", line);
  TCLAP::SwitchArg respawn("", "respawn", "start a daemon again when it ends", line);
  TCLAP::ValueArg<std::uint64_t> stir("", "stir", "seed for killing, freezing and starting again; 0 for none", false, 0,
                                      "SEED", line);
  TCLAP::ValueArg<long> stirEvery("", "stir-every-ms", "mean gap between two such faults", false, 2000, "MS", line);
  line.setExceptionHandling(false);
  line.parse(argc, argv);
  ClusterOptions options{folder.getValue(),
                         base.getValue(),
                         zones.getValue(),
                         schedulers.getValue(),
                         workers.getValue(),
                         slots.getValue(),
                         lease.getValue(),
                         workerLease.getValue(),
                         respawn.getValue() || stir.getValue() != 0,
                         stir.getValue(),
                         std::max(10L, stirEvery.getValue())};
  if (options.zones < 1 || options.zones > 26 || options.schedulers < 1 || options.workers < 0 || options.slots < 1 ||
      options.basePort < 0 || options.basePort > 60000)
    throw TCLAP::ArgException("allowed is 1 to 26 cells, 1 scheduler or more, 1 slot or more, a port up to 60000",
                              "flags");
  return options;
}

/// Makes up the processes of a cluster with their addresses and command lines.
class ClusterPlan {
 public:
  explicit ClusterPlan(const ClusterOptions& options) : options_(options) {
    ports_.next = options.basePort;
    for (int i = 0; i < kReplicas; ++i) seeds_.push_back(ports_.take());
    for (int i = 0; i < kReplicas; ++i)
      addDaemon("replica", i, seeds_[static_cast<std::size_t>(i)],
                {"--data-folder", options.folder + "/replica-" + std::to_string(i + 1)});
    for (int i = 0; i < options.schedulers; ++i) addDaemon("scheduler", i, ports_.take(), {});
    for (int i = 0; i < options.workers; ++i) addWorker(i);
  }

  std::vector<Process> processes() && { return std::move(processes_); }

 private:
  std::string zoneOf(int i) const { return {static_cast<char>('a' + i % options_.zones)}; }

  std::string addDaemon(const std::string& role, int i, const std::string& peerAddress,
                        const std::vector<std::string>& more) {
    const auto name = role + "-" + std::to_string(i + 1);
    auto http = ports_.take();
    std::vector<std::string> words{"tulippitch",       role,
                                   "--name",           name,
                                   "--signal",         peerAddress,
                                   "--http",           http,
                                   "--cell",           zoneOf(i),
                                   "--seeds",          seeds_[0] + "," + seeds_[1] + "," + seeds_[2],
                                   "--term-ms",        std::to_string(options_.leaseMs),
                                   "--worker-term-ms", std::to_string(options_.workerLeaseMs)};
    words.insert(words.end(), more.begin(), more.end());
    processes_.push_back({name, std::move(words), -1, http, {}});
    return http;
  }

  void addWorker(int i) {
    const auto name = "worker-" + std::to_string(i + 1);
    const auto agent = addDaemon("agent", i, ports_.take(), {"--worker", name});
    std::vector<std::string> words{"tulippitch", "stub-worker",
                                   "--agent",    agent,
                                   "--worker",   name,
                                   "--pool",     "side",
                                   "--slots",    std::to_string(options_.slots),
                                   "--journal",  options_.folder + "/" + name + ".journal"};
    processes_.push_back({name, std::move(words), -1, "", {}});
  }

  const ClusterOptions& options_;
  Ports ports_;
  std::vector<std::string> seeds_;
  std::vector<Process> processes_;
};

/// The processes while they run: started again where that is asked for, killed and frozen by a seed.
class Cluster {
 public:
  explicit Cluster(const ClusterOptions& options)
      : options_(options),
        processes_(ClusterPlan(options).processes()),
        random_(options.faultSeed),
        nextFault_(Clock::now() + kFirstFault) {}

  void start() {
    for (auto& process : processes_) process.pid = commands::start(process, options_.folder);
    writeFile();
    std::cout << "fleet of " << processes_.size() << " processes; ask any of";
    for (const auto& process : processes_)
      if (process.name.starts_with("scheduler")) std::cout << " " << process.http;
    std::cout << std::endl;
  }

  void runUntilStopped() {
    while (!stopAsked) {
      const auto now = Clock::now();
      thaw(now);
      if (options_.respawn) startAgain(now);
      if (options_.faultSeed != 0 && now >= nextFault_) injectFault(now);
      if (!reapOne()) std::this_thread::sleep_for(kIdlePause);
    }
  }

  void stop() {
    for (const auto& [until, pid] : frozen_) kill(pid, SIGCONT);
    for (auto at = processes_.rbegin(); at != processes_.rend(); ++at)
      if (at->pid > 0) kill(at->pid, SIGTERM);
    const auto until = Clock::now() + kStopWithin;
    for (auto& process : processes_) {
      while (process.pid > 0 && waitpid(process.pid, nullptr, WNOHANG) == 0) {
        if (Clock::now() > until) kill(process.pid, SIGKILL);
        std::this_thread::sleep_for(milliseconds(10));
      }
    }
  }

 private:
  // fleet.json, whole at any moment.
  void writeFile() const {
    Json root(json_object());
    json_t* list = json_array();
    for (const auto& process : processes_) {
      json_t* item = json_object();
      json_object_set_new(item, "name", jsonText(process.name));
      json_object_set_new(item, "pid", json_integer(process.pid));
      if (!process.http.empty()) json_object_set_new(item, "http", jsonText(process.http));
      json_array_append_new(list, item);
    }
    json_object_set_new(root.get(), "hands", list);
    const auto folder = fs::path(options_.folder);
    const auto aside = folder / "fleet.json.aside";
    std::ofstream(aside) << dumpJson(root.get(), JSON_INDENT(1)) << "\n";
    fs::rename(aside, folder / "fleet.json");
  }

  long below(long bound) { return static_cast<long>(random_() % static_cast<std::uint64_t>(bound)); }

  bool isFrozen(pid_t pid) const {
    return std::any_of(frozen_.begin(), frozen_.end(), [&](const auto& row) { return row.second == pid; });
  }

  // One replica at most is down or catching up at a time.
  bool replicaDown(Clock::time_point now) const {
    for (const auto& process : processes_)
      if (process.isReplica() && (process.pid < 0 || isFrozen(process.pid))) return true;
    return now < replicaSafeAt_;
  }

  void thaw(Clock::time_point now) {
    std::erase_if(frozen_, [&](const auto& row) { return row.first <= now && (kill(row.second, SIGCONT), true); });
  }

  void startAgain(Clock::time_point now) {
    for (auto& process : processes_) {
      if (process.pid >= 0 || process.startAt > now) continue;
      process.pid = commands::start(process, options_.folder);
      writeFile();
    }
  }

  void injectFault(Clock::time_point now) {
    nextFault_ = now + milliseconds(options_.faultEveryMs / 2 + below(options_.faultEveryMs));
    auto& process = processes_[static_cast<std::size_t>(below(static_cast<long>(processes_.size())))];
    if (process.pid <= 0 || isFrozen(process.pid) || (process.isReplica() && replicaDown(now))) return;
    const milliseconds span(kShortestFaultMs + below(kMostExtraFaultMs));
    if (process.isReplica()) replicaSafeAt_ = now + span + milliseconds(3 * options_.leaseMs);
    const bool killed = below(2) != 0;
    kill(process.pid, killed ? SIGKILL : SIGSTOP);
    if (killed)
      process.startAt = now + span;
    else
      frozen_.emplace_back(now + span, process.pid);
    std::cout << (killed ? "killed " : "froze ") << process.name << " for " << span.count() << " ms" << std::endl;
  }

  bool reapOne() {
    int status = 0;
    const pid_t gone = waitpid(-1, &status, WNOHANG);
    if (gone <= 0) return false;
    const auto how = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                         : "exit " + std::to_string(WEXITSTATUS(status));
    for (auto& process : processes_) {
      if (process.pid != gone) continue;
      std::cout << process.name << " ended (" << how << ")" << std::endl;
      process.pid = -1;
      writeFile();
    }
    return true;
  }

  const ClusterOptions& options_;
  std::vector<Process> processes_;
  std::mt19937_64 random_;
  Clock::time_point nextFault_, replicaSafeAt_;
  std::vector<std::pair<Clock::time_point, pid_t>> frozen_;  // until when
};

void catchStops() {
  struct sigaction action {};
  action.sa_handler = onStop;
  sigaction(SIGTERM, &action, nullptr);
  sigaction(SIGINT, &action, nullptr);
  ::signal(SIGPIPE, SIG_IGN);
}

}  // namespace

int runLocalCluster(int argc, char** argv) {
  ClusterOptions options;
  try {
    options = readOptions(argc, argv);
  } catch (const TCLAP::ArgException& failed) {
    std::cerr << "local-cluster: " << failed.argId() << ": " << failed.error() << std::endl;
    return rowOf(Kind::badSettings).exitCode;
  }
  fs::create_directories(options.folder);
  Cluster cluster(options);
  catchStops();
  cluster.start();
  cluster.runUntilStopped();
  cluster.stop();
  return 0;
}

}  // namespace tulip::commands
