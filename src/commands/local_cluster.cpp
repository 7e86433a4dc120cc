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

struct Hand {
  std::string name;
  std::vector<std::string> words;
  pid_t pid = -1;
  std::string http;
  std::chrono::steady_clock::time_point startAt;
};

volatile std::sig_atomic_t stopAsked = 0;
void onStop(int) { stopAsked = 1; }

struct Ports {
  int next = 0;
  std::vector<boost::asio::ip::tcp::acceptor> kept;
  boost::asio::io_context context;

  std::string take() {
    if (next > 0) return "127.0.0.1:" + std::to_string(next++);
    kept.emplace_back(context, boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    return "127.0.0.1:" + std::to_string(kept.back().local_endpoint().port());
  }
};

pid_t start(const Hand& hand, const fs::path& folder) {
  const pid_t pid = fork();
  if (pid != 0) return pid;
  prctl(PR_SET_PDEATHSIG, SIGTERM);
  ::signal(SIGPIPE, SIG_DFL);
  const auto log = (folder / (hand.name + ".log")).string();
  if (!freopen(log.c_str(), "a", stderr) || !freopen("/dev/null", "r", stdin)) _exit(127);
  std::vector<char*> args;
  for (const auto& word : hand.words) args.push_back(const_cast<char*>(word.c_str()));
  args.push_back(nullptr);
  execv("/proc/self/exe", args.data());
  _exit(127);
}

void writeFleet(const fs::path& folder, const std::vector<Hand>& hands) {
  Json root(json_object());
  json_t* list = json_array();
  for (const auto& hand : hands) {
    json_t* item = json_object();
    json_object_set_new(item, "name", jsonText(hand.name));
    json_object_set_new(item, "pid", json_integer(hand.pid));
    if (!hand.http.empty()) json_object_set_new(item, "http", jsonText(hand.http));
    json_array_append_new(list, item);
  }
  json_object_set_new(root.get(), "hands", list);
  const auto aside = folder / "fleet.json.aside";
  std::ofstream(aside) << dumpJson(root.get(), JSON_INDENT(1)) << "\n";
  fs::rename(aside, folder / "fleet.json");
}

}  // namespace

int runLocalCluster(int argc, char** argv) {
  std::string folder;
  int base = 0, zones = 0, schedulers = 0, workers = 0, slots = 0;
  long leaseMs = 0, workerLeaseMs = 0;
  bool respawn = false;
  std::uint64_t stir = 0;
  long stirEveryMs = 0;
  try {
    TCLAP::CmdLine line("a whole fleet on one machine, for trying and testing", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> folderArg("", "folder", "where data, logs and fleet.json go", false, "fleet", "FOLDER",
                                           line);
    TCLAP::ValueArg<int> baseArg("", "base-port", "first port; 0 picks free ones", false, 7100, "PORT", line);
    TCLAP::ValueArg<int> zonesArg("", "cells", "how many cells", false, 3, "N", line);
    TCLAP::ValueArg<int> schedulersArg("", "schedulers", "how many schedulers", false, 4, "N", line);
    TCLAP::ValueArg<int> workersArg("", "workers", "how many agents and workers", false, 11, "N", line);
    TCLAP::ValueArg<int> slotsArg("", "slots", "slots of each worker", false, 8, "N", line);
    TCLAP::ValueArg<long> termArg("", "term-ms", "term of sessions and of the leader", false, 1500, "MS", line);
    TCLAP::ValueArg<long> workerTermArg("", "worker-term-ms", "term of workers", false, 2000, "MS", line);
    TCLAP::SwitchArg respawnArg("", "respawn", "start a daemon again when it ends", line);
    TCLAP::ValueArg<std::uint64_t> stirArg("", "stir", "seed for killing, freezing and starting again; 0 for none",
                                           false, 0, "SEED", line);
    TCLAP::ValueArg<long> stirEveryArg("", "stir-every-ms", "mean gap between two such blows", false, 2000, "MS", line);
    line.setExceptionHandling(false);
    line.parse(argc, argv);
    stir = stirArg.getValue();
    stirEveryMs = std::max(10L, stirEveryArg.getValue());
    folder = folderArg.getValue();
    base = baseArg.getValue();
    zones = zonesArg.getValue();
    schedulers = schedulersArg.getValue();
    workers = workersArg.getValue();
    slots = slotsArg.getValue();
    leaseMs = termArg.getValue();
    workerLeaseMs = workerTermArg.getValue();
    respawn = respawnArg.getValue() || stir != 0;
    if (zones < 1 || zones > 26 || schedulers < 1 || workers < 0 || slots < 1 || base < 0 || base > 60000)
      throw TCLAP::ArgException("allowed is 1 to 26 cells, 1 scheduler or more, 1 slot or more, a port up to 60000",
                                "flags");
  } catch (const TCLAP::ArgException& failed) {
    std::cerr << "local-cluster: " << failed.argId() << ": " << failed.error() << std::endl;
    return rowOf(Kind::badSettings).exitCode;
  }
  fs::create_directories(folder);
  Ports ports;
  ports.next = base;
  std::vector<Hand> hands;
  auto zoneOf = [&](int i) { return std::string(1, static_cast<char>('a' + i % zones)); };
  std::vector<std::string> seeds{ports.take(), ports.take(), ports.take()};
  const auto joined = seeds[0] + "," + seeds[1] + "," + seeds[2];
  auto daemon = [&](const std::string& role, int i, const std::string& peerAddress, std::vector<std::string> more) {
    const auto name = role + "-" + std::to_string(i + 1);
    const auto http = ports.take();
    std::vector<std::string> words{"tulippitch",       role,
                                   "--name",           name,
                                   "--signal",         peerAddress,
                                   "--http",           http,
                                   "--cell",           zoneOf(i),
                                   "--seeds",          joined,
                                   "--term-ms",        std::to_string(leaseMs),
                                   "--worker-term-ms", std::to_string(workerLeaseMs)};
    words.insert(words.end(), more.begin(), more.end());
    hands.push_back({name, words, -1, http, {}});
    return http;
  };
  for (int i = 0; i < 3; ++i)
    daemon("replica", i, seeds[static_cast<std::size_t>(i)],
           {"--data-folder", folder + "/replica-" + std::to_string(i + 1)});
  for (int i = 0; i < schedulers; ++i) daemon("scheduler", i, ports.take(), {});
  for (int i = 0; i < workers; ++i) {
    const auto name = "worker-" + std::to_string(i + 1);
    const auto http = daemon("agent", i, ports.take(), {"--worker", name});
    hands.push_back({name,
                     {"tulippitch", "stub-worker", "--agent", http, "--worker", name, "--pool", "side", "--slots",
                      std::to_string(slots), "--journal", folder + "/" + name + ".journal"},
                     -1,
                     "",
                     {}});
  }
  ports.kept.clear();
  struct sigaction action {};
  action.sa_handler = onStop;
  sigaction(SIGTERM, &action, nullptr);
  sigaction(SIGINT, &action, nullptr);
  ::signal(SIGPIPE, SIG_IGN);
  for (auto& hand : hands) hand.pid = start(hand, folder);
  writeFleet(folder, hands);
  std::cout << "fleet of " << hands.size() << " processes; ask any of";
  for (const auto& hand : hands)
    if (hand.name.starts_with("scheduler")) std::cout << " " << hand.http;
  std::cout << std::endl;
  std::mt19937_64 random(stir);
  auto nextBlow = std::chrono::steady_clock::now() + std::chrono::seconds(4);
  std::vector<std::pair<std::chrono::steady_clock::time_point, pid_t>> frozen;
  std::chrono::steady_clock::time_point replicaSafeAt;
  auto below = [&](long bound) { return static_cast<long>(random() % static_cast<std::uint64_t>(bound)); };
  const auto isFrozen = [&](pid_t pid) {
    return std::any_of(frozen.begin(), frozen.end(), [&](const auto& row) { return row.second == pid; });
  };
  const auto replicaDown = [&] {
    for (const auto& hand : hands) {
      if (hand.name.starts_with("replica") && (hand.pid < 0 || isFrozen(hand.pid))) return true;
    }
    return std::chrono::steady_clock::now() < replicaSafeAt;
  };
  while (!stopAsked) {
    const auto now = std::chrono::steady_clock::now();
    std::erase_if(frozen, [&](const auto& row) { return row.first <= now && (kill(row.second, SIGCONT), true); });
    for (auto& hand : hands)
      if (hand.pid < 0 && hand.startAt <= now && respawn) {
        hand.pid = start(hand, folder);
        writeFleet(folder, hands);
      }
    if (stir != 0 && now >= nextBlow) {
      nextBlow = now + std::chrono::milliseconds(stirEveryMs / 2 + below(stirEveryMs));
      auto& hand = hands[static_cast<std::size_t>(below(static_cast<long>(hands.size())))];
      const bool replica = hand.name.starts_with("replica");
      if (hand.pid > 0 && !isFrozen(hand.pid) && !(replica && replicaDown())) {
        const long spanMs = 200 + below(4000);
        if (replica) replicaSafeAt = now + std::chrono::milliseconds(spanMs + 3 * leaseMs);
        if (below(2)) {
          kill(hand.pid, SIGKILL);
          hand.startAt = now + std::chrono::milliseconds(spanMs);
          std::cout << "killed " << hand.name << " for " << spanMs << " ms" << std::endl;
        } else {
          kill(hand.pid, SIGSTOP);
          frozen.emplace_back(now + std::chrono::milliseconds(spanMs), hand.pid);
          std::cout << "froze " << hand.name << " for " << spanMs << " ms" << std::endl;
        }
      }
    }
    int status = 0;
    const pid_t gone = waitpid(-1, &status, WNOHANG);
    if (gone <= 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
      continue;
    }
    for (auto& hand : hands)
      if (hand.pid == gone) {
        std::cout << hand.name << " ended ("
                  << (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                          : "exit " + std::to_string(WEXITSTATUS(status)))
                  << ")" << std::endl;
        hand.pid = -1;
        writeFleet(folder, hands);
      }
  }
  for (const auto& [until, pid] : frozen) kill(pid, SIGCONT);
  for (auto at = hands.rbegin(); at != hands.rend(); ++at)
    if (at->pid > 0) kill(at->pid, SIGTERM);
  const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(8);
  for (auto& hand : hands) {
    while (hand.pid > 0 && waitpid(hand.pid, nullptr, WNOHANG) == 0) {
      if (std::chrono::steady_clock::now() > until) kill(hand.pid, SIGKILL);
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
  }
  return 0;
}

}  // namespace tulip::commands
