#pragma once
/// A small fleet of real processes with the users' settings files, on loopback addresses of its own: three machines
/// with a scheduler and a replica each, and agents beside workers that this test plays.
#include <CppUTest/TestHarness.h>

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <limits>
#include <random>
#include <set>
#include <sstream>
#include <thread>

#include "base/json.hpp"
#include "http/http.hpp"
#include "transport/wire.hpp"

namespace tulip::fixture {

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
/// A sanitizer's own bookkeeping is a multiple of the program's memory.
inline constexpr bool kMemoryIsComparable = false;
#else
inline constexpr bool kMemoryIsComparable = true;
#endif

/// Nothing is expected within it: a process that hangs fails the test instead of holding it up for ever.
inline constexpr auto kPatience = std::chrono::seconds(60);
inline constexpr auto kPollPause = std::chrono::milliseconds(20);
inline constexpr std::int64_t kHeldBackDescriptors = 200;  // of a machine's, for files outside the data folder
inline constexpr std::int64_t kMegabyte = 1 << 20;

template <class Done>
bool within(std::chrono::steady_clock::duration patience, Done done) {
  const auto until = std::chrono::steady_clock::now() + patience;
  while (!done()) {
    if (std::chrono::steady_clock::now() > until) return false;
    std::this_thread::sleep_for(kPollPause);
  }
  return true;
}

/// The `[limits]` of a machine.
struct MachineLimits {
  std::int64_t memoryMb = 0;
  std::int64_t fileHandles = 0;
};

/// What a process holds now, and the most memory that it has held.
struct ProcessUse {
  std::int64_t peakResidentBytes = 0;
  std::int64_t unreadBytes = 0;  // that have arrived and wait in its sockets
  std::int64_t descriptors = 0;
};

inline std::int64_t peakResidentBytes(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);)
    if (line.starts_with("VmHWM:")) return std::atoll(line.c_str() + 6) * 1024;
  return 0;
}

/// The sockets of a process, by inode; each descriptor adds one to the count.
inline std::set<std::string> socketsOf(pid_t pid, std::int64_t& descriptors) {
  constexpr std::string_view kPrefix = "socket:[";
  std::set<std::string> inodes;
  std::error_code ignored;
  for (const auto& entry : std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/fd", ignored)) {
    ++descriptors;
    const auto target = std::filesystem::read_symlink(entry.path(), ignored).string();
    if (target.starts_with(kPrefix)) inodes.insert(target.substr(kPrefix.size(), target.size() - kPrefix.size() - 1));
  }
  return inodes;
}

inline ProcessUse useOf(pid_t pid) {
  constexpr const char* kListening = "0A";
  ProcessUse use;
  use.peakResidentBytes = peakResidentBytes(pid);
  const auto inodes = socketsOf(pid, use.descriptors);
  std::ifstream connections("/proc/net/tcp");
  std::string line;
  std::getline(connections, line);
  while (std::getline(connections, line)) {
    std::istringstream words(line);
    std::string slot, local, remote, state, queues, timer, retransmits, owner, timeout, inode;
    words >> slot >> local >> remote >> state >> queues >> timer >> retransmits >> owner >> timeout >> inode;
    if (state != kListening && inodes.contains(inode))
      use.unreadBytes += std::stoll(queues.substr(queues.find(':') + 1), nullptr, 16);
  }
  return use;
}

/// Tells a parent when its child runs the program: until then the child's memory and descriptors are the parent's own.
class ExecWatch {
 public:
  ExecWatch() { CHECK(pipe2(ends_, O_CLOEXEC) == 0); }
  ~ExecWatch() {
    close(ends_[0]);
    if (ends_[1] >= 0) close(ends_[1]);
  }
  ExecWatch(const ExecWatch&) = delete;
  ExecWatch& operator=(const ExecWatch&) = delete;

  /// In the child: closes every descriptor but the standard ones and the pipe's end, which goes with the exec.
  void keepAlone() {
    constexpr int kKept = STDERR_FILENO + 1;
    dup3(ends_[1], kKept, O_CLOEXEC);
    close_range(kKept + 1, std::numeric_limits<unsigned>::max(), 0);
  }

  void awaitExec() {
    char none = 0;
    close(std::exchange(ends_[1], -1));
    while (read(ends_[0], &none, 1) < 0 && errno == EINTR) {
    }
  }

 private:
  int ends_[2] = {-1, -1};
};

/// A process of the fleet and where it listens.
struct FleetProcess {
  std::string name, role, ip;
  pid_t pid = -1;
  std::filesystem::path folder;
};

class ProcessFleet {
 public:
  static constexpr int kMachines = 3;
  static constexpr int kPorts = 7;  // three listeners, and a range of four for daemons

  explicit ProcessFleet(MachineLimits limits, int agents = 1) : limits_(limits) {
    folder_ = std::filesystem::temp_directory_path() / ("tulip-processes-" + std::to_string(getpid()));
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
    choosePlace(kMachines + agents);
    for (int i = 0; i < kMachines; ++i) add("machine-" + std::to_string(i + 1), "scheduler", i);
    for (int i = 0; i < agents; ++i) add("side-" + std::to_string(i + 1), "agent", kMachines + i);
    for (auto& process : processes_) start(process);
  }

  ~ProcessFleet() {
    for (auto& process : processes_)
      if (process.pid > 0) kill(process.pid, SIGKILL);
    for (auto& process : processes_)
      if (process.pid > 0) waitpid(process.pid, nullptr, 0);
    std::filesystem::remove_all(folder_);
  }
  ProcessFleet(const ProcessFleet&) = delete;
  ProcessFleet& operator=(const ProcessFleet&) = delete;

  FleetProcess& machine(int i) { return processes_.at(static_cast<std::size_t>(i)); }
  FleetProcess& agent(int i) { return processes_.at(static_cast<std::size_t>(kMachines + i)); }
  std::vector<FleetProcess>& processes() { return processes_; }
  const MachineLimits& limits() const { return limits_; }

  Address front(const FleetProcess& process) const { return at(process, 0); }
  Address ready(const FleetProcess& process) const { return at(process, 1); }
  Address control(const FleetProcess& process) const { return at(process, 2); }
  Address worker(const FleetProcess& agent) const { return at(agent, 2); }
  Address peers(const FleetProcess& process) const { return at(process, 3); }
  Address own(const FleetProcess& process) const { return at(process, process.role == "agent" ? 4 : 5); }

  void start(FleetProcess& process, bool firstBoot = true) {
    std::filesystem::create_directories(process.folder);
    const auto settings = (process.folder / "settings.toml").string();
    std::ofstream(settings) << settingsText(process, firstBoot);
    const auto log = (process.folder / "log").string();
    ExecWatch watch;
    process.pid = fork();
    if (process.pid != 0) return watch.awaitExec();
    setenv("TULIPPITCH_SETTINGS", settings.c_str(), 1);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    watch.keepAlone();
    execl(TULIPPITCH_PROGRAM, "tulippitch", process.role.c_str(), nullptr);
    _exit(127);
  }

  /// Whether the process has not ended by itself. One that has is told of with the end of its log.
  bool lives(FleetProcess& process) const {
    int status = 0;
    if (process.pid <= 0 || waitpid(process.pid, &status, WNOHANG) != process.pid) return process.pid > 0;
    std::ifstream in(process.folder / "log");
    std::stringstream log;
    log << in.rdbuf();
    const auto text = log.str();
    std::printf("%s ended: %s %d\n%s\n", process.name.c_str(), WIFSIGNALED(status) ? "signal" : "exit",
                WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status),
                text.substr(text.size() > 2000 ? text.size() - 2000 : 0).c_str());
    process.pid = -1;
    return false;
  }

  /// Sends a polite stop and waits. True where the process ended by it, with exit code 0.
  bool stopPolitely(FleetProcess& process) const {
    kill(process.pid, SIGTERM);
    int status = 0;
    const bool ended = within(kPatience, [&] { return waitpid(process.pid, &status, WNOHANG) == process.pid; });
    if (!ended) return false;
    process.pid = -1;
    if (!WIFEXITED(status) || WEXITSTATUS(status) != 0) std::printf("%s: status %d\n", process.name.c_str(), status);
    return WIFEXITED(status) && WEXITSTATUS(status) == 0;
  }

  void killHard(FleetProcess& process) const {
    kill(process.pid, SIGKILL);
    waitpid(process.pid, nullptr, 0);
    process.pid = -1;
  }

  static http::CallReply call(const Address& to, std::string method, std::string target, std::string body = {},
                              std::map<std::string, std::string> headers = {}) {
    http::CallOut out;
    out.to = to;
    out.method = std::move(method);
    out.target = std::move(target);
    out.body = std::move(body);
    out.headers = std::move(headers);
    return http::callNow(std::move(out));
  }

  /// Until the call is answered with success, at one of the addresses in turn.
  static bool callUntilDone(const std::vector<Address>& to, const std::string& method, const std::string& target,
                            const std::string& body, const std::map<std::string, std::string>& headers) {
    std::size_t tries = 0;
    return within(kPatience, [&] {
      const auto status = call(to[tries++ % to.size()], method, target, body, headers).status;
      return status >= 200 && status < 300;
    });
  }

  /// A configuration of the given version with so many queues; the first one serves the callers of the tests.
  static std::string configuration(int version, int queues = 1) {
    std::string routes;
    for (int i = 0; i < queues; ++i)
      routes +=
          std::string(i ? "," : "") + R"({"name":"r)" + std::to_string(i) +
          R"(","hostname":"queue.example","path_prefix":"/q)" + (i ? std::to_string(i) : "") +
          R"(/","route_kind":"unsafe","timeout_ms":3000,"target_ms":2000,"rank":1,"backend":"boxes","tries":4,"stretch":2})";
    return R"({"version":)" + std::to_string(version) + R"(,"route_table":[)" + routes +
           R"(],"backends":[{"name":"boxes","health_path":"/health","max_conns":64,"protocol":"h1","tls":false,"cold_s":0,"cold_per_s":0,"guards":false}],)"
           R"("limits":{"header_bytes":16384,"body_bytes":262144,"header_ms":3000,"idle_ms":15000}})";
  }

  bool configure(int version, int basedOn, int queues = 1) {
    std::vector<Address> controls;
    for (int i = 0; i < kMachines; ++i) controls.push_back(control(machine(i)));
    return callUntilDone(controls, "POST", "/api/Config.Replace", configuration(version, queues),
                         {{"Based-On", std::to_string(basedOn)}});
  }

  /// An ordinary caller hands in a job at this machine and is then told of it.
  bool servesOrdinaryCaller(const FleetProcess& process) {
    char id[17];
    std::snprintf(id, sizeof id, "%016x", ++jobs_);
    const std::map<std::string, std::string> host{{"Host", "queue.example"}};
    const auto target = std::string("/q/") + id;
    const std::string job =
        R"({"job":"text","stages":[{"count":1,"cpu":100,"mem_mb":10,"estimate_ms":100,"long_running":true}]})";
    return callUntilDone({front(process)}, "POST", target, job, host) &&
           callUntilDone({front(process)}, "GET", target, {}, host);
  }

  /// A worker of the first service reports to this agent.
  bool servesWorker(const FleetProcess& process) {
    return callUntilDone({worker(process)}, "POST", "/api/Servers.Heartbeat/i-1", workerReport(++reports_), {});
  }

  static std::string workerReport(int number) {
    return R"({"backend":"boxes","address":"127.0.0.1:1","zone":"north-a","version":"v1","slots":8,"phase":"ready","cold_left_ms":0,)"
           R"("capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1-3"],"clock_ms":)" +
           std::to_string(1000 + number) + R"(,"call_count":)" + std::to_string(number) + "}";
  }

 private:
  static constexpr int kFirstPort = 20000, kLastPort = 30000;

  Address at(const FleetProcess& process, int offset) const {
    return Address(process.ip + ":" + std::to_string(port_ + offset));
  }

  /// An address range of the loopback network and ports that nobody uses.
  void choosePlace(int machines) {
    std::random_device device;
    do {
      network_ = "127." + std::to_string(1 + device() % 250) + "." + std::to_string(1 + device() % 250) + ".";
      port_ = static_cast<int>(kFirstPort + device() % (kLastPort - kFirstPort));
    } while (!placeIsFree(machines));
  }

  bool placeIsFree(int machines) const {
    boost::asio::io_context context;
    for (int machine = 0; machine < machines; ++machine)
      for (int offset = 0; offset < kPorts; ++offset) {
        const auto address = Address(network_ + std::to_string(machine + 1) + ":" + std::to_string(port_ + offset));
        boost::system::error_code failed;
        boost::asio::ip::tcp::acceptor acceptor(context);
        acceptor.open(boost::asio::ip::tcp::v4());
        acceptor.bind(transport::endpointOf(address), failed);
        if (failed) return false;
      }
    return true;
  }

  void add(const std::string& name, const std::string& role, int place) {
    processes_.push_back({name, role, network_ + std::to_string(place + 1), -1, folder_ / name});
  }

  std::string settingsText(const FleetProcess& process, bool firstBoot) const {
    const bool agent = process.role == "agent";
    const auto quoted = [](const std::string& text) { return "\"" + text + "\""; };
    std::string text = "node = " + quoted(process.name) + "\nrole = " + quoted(process.role) +
                       "\nip = " + quoted(process.ip) +
                       "\nzone = " + quoted("north-" + std::string(1, process.name.back())) + "\nport_range = [" +
                       std::to_string(port_ + 3) + "," + std::to_string(port_ + 6) + "]\nseed_nodes = [";
    for (int i = 0; i < kMachines; ++i)
      text += std::string(i ? "," : "") + quoted(control(processes_.at(static_cast<std::size_t>(i))).value);
    text += "]\nfirst_boot = " + std::string(firstBoot ? "true" : "false") + "\norders = \"heartbeat\"\n";
    if (!agent) text += "data_dir = " + quoted((process.folder / "data").string()) + "\n";
    text += "[listen]\n";
    if (!agent) text += "front = " + quoted(front(process).value) + "\nready = " + quoted(ready(process).value) + "\n";
    text += "control = " + quoted(control(process).value) +
            "\n[limits]\nmemory_mb = " + std::to_string(limits_.memoryMb) +
            "\nfile_handles = " + std::to_string(limits_.fileHandles) + "\n";
    return text +
           "[tolerate]\nmachines = 1\n[bounds]\nin_touch_ms = 3000\nack_ms = 4000\ncatch_up_s = 4\ngrace_s = 6\n"
           "hold_max_ms = 6000\nstop_ms = 200\ngang_wait_ms = 3000\nearly_ms = 250\nstatus_s = 120\nspread_factor = "
           "1.5\n"
           "checkpoint_s = 1\n";
  }

  MachineLimits limits_;
  std::filesystem::path folder_;
  std::string network_;
  int port_ = 0;
  std::vector<FleetProcess> processes_;
  unsigned jobs_ = 0;
  int reports_ = 0;
};

}  // namespace tulip::fixture
