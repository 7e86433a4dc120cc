#include "fleet.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <random>

namespace review {

namespace {

const auto born = std::chrono::steady_clock::now();
std::mutex recordLock;

struct Socket {
  int handle = -1;
  ~Socket() {
    if (handle >= 0) ::close(handle);
  }
};

bool waitFor(int handle, short what, Millis untilMs) {
  for (;;) {
    const auto left = untilMs - steadyMs();
    if (left <= 0) return false;
    pollfd one{handle, what, 0};
    const int ready = ::poll(&one, 1, static_cast<int>(left));
    if (ready > 0) return true;
    if (ready < 0 && errno != EINTR) return false;
  }
}

bool connectTo(const Socket& socket, const std::string& ip, int port, Millis untilMs) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<uint16_t>(port));
  ::inet_pton(AF_INET, ip.c_str(), &at.sin_addr);
  if (::connect(socket.handle, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0) return true;
  if (errno != EINPROGRESS || !waitFor(socket.handle, POLLOUT, untilMs)) return false;
  int failed = 0;
  socklen_t size = sizeof failed;
  ::getsockopt(socket.handle, SOL_SOCKET, SO_ERROR, &failed, &size);
  return failed == 0;
}

constexpr std::size_t kMostAnswerBytes = 4u << 20;  // that acknowledges a beat

std::string text(const json_t* value) { return json_is_string(value) ? json_string_value(value) : ""; }

std::vector<std::string> split(const std::string& line, char by) {
  std::vector<std::string> parts(1);
  for (const char c : line)
    if (c == by)
      parts.emplace_back();
    else
      parts.back() += c;
  return parts;
}

constexpr int kPorts = 23;  // of a machine: for daemons to talk to each other, and the three listeners

bool areFree(int first, int count) {
  for (int port = first; port < first + count; ++port) {
    Socket socket{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<uint16_t>(port));
    ::inet_pton(AF_INET, "127.0.0.1", &at.sin_addr);
    if (::bind(socket.handle, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) return false;
  }
  return true;
}

// A task's name ID.K.STEP.INDEX as the record has it, with slashes: with dots its end reads like an address.
std::string recorded(std::string task) {
  std::replace(task.begin(), task.end(), '.', '/');
  return task;
}

std::string gangKey(const Run& run) { return run.task.substr(0, run.task.rfind('.')) + "#" + std::to_string(run.attempt); }

}  // namespace

Millis steadyMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - born).count();
}

void sleepMs(Millis ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

void note(const std::string& line) {
  const std::lock_guard held(recordLock);
  std::printf("%8lld ms  %s\n", steadyMs(), line.c_str());
  std::fflush(stdout);
}

Reply call(const Request& request) {
  const auto untilMs = steadyMs() + request.timeoutMs;
  Socket socket{::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
  if (!connectTo(socket, request.ip, request.port, untilMs)) return {};
  std::string bytes = request.method + " " + request.path + " HTTP/1.1\r\n";
  bool host = false;
  for (const auto& header : request.headers) {
    bytes += header + "\r\n";
    host = host || header.rfind("Host:", 0) == 0;
  }
  if (!host) bytes += "Host: " + request.ip + "\r\n";
  bytes += "Connection: close\r\n";
  if (!request.body.empty() || request.method == "POST")
    bytes += "Content-Type: application/json\r\nContent-Length: " + std::to_string(request.body.size()) + "\r\n";
  bytes += "\r\n" + request.body;
  for (std::size_t at = 0; at < bytes.size();) {
    const auto wrote = ::send(socket.handle, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (wrote > 0)
      at += static_cast<std::size_t>(wrote);
    else if (errno != EAGAIN || !waitFor(socket.handle, POLLOUT, untilMs))
      return {};
  }
  std::string in;
  char buffer[16384];
  for (;;) {
    const auto head = in.find("\r\n\r\n");
    if (head != std::string::npos) {
      std::string lower = in.substr(0, head);
      std::transform(lower.begin(), lower.end(), lower.begin(), ::tolower);
      const auto length = lower.find("content-length: ");
      const auto size = length == std::string::npos ? 0 : static_cast<std::size_t>(std::atoll(lower.c_str() + length + 16));
      if (in.size() >= head + 4 + size) return {std::atoi(in.c_str() + 9), in.substr(head + 4, size)};
    }
    const auto got = ::recv(socket.handle, buffer, sizeof buffer, 0);
    if (got > 0)
      in.append(buffer, static_cast<std::size_t>(got));
    else if (got == 0 || errno != EAGAIN || !waitFor(socket.handle, POLLIN, untilMs))
      return {};
  }
}

Worker::Worker(int number, std::string agentIp, int agentPort, std::string zone, std::string service, Journal& journal,
               Bounds bounds)
    : number_(number),
      ip_(std::move(agentIp)),
      port_(agentPort),
      zone_(std::move(zone)),
      service_(std::move(service)),
      journal_(journal),
      bounds_(bounds) {
  char id[32];
  std::snprintf(id, sizeof id, "i-%02d%06x", number, std::random_device()() & 0xffffff);
  id_ = id;
}

Worker::~Worker() { stop(); }

void Worker::start() {
  thread_ = std::thread([this] { loop(); });
}

void Worker::stop() {
  over_ = true;
  if (thread_.joinable()) thread_.join();
}

std::size_t Worker::runningOf(const std::string& job) {
  const std::lock_guard held(lock_);
  return static_cast<std::size_t>(
      std::count_if(runs_.begin(), runs_.end(), [&](const auto& run) { return run.first.rfind(job, 0) == 0; }));
}

long long Worker::cpuInUse() {
  const std::lock_guard held(lock_);
  long long sum = 0;
  for (const auto& [task, run] : runs_) sum += run.cpu;
  return sum;
}

void Worker::loop() {
  std::thread worker([this] {
    while (!over_) {
      work();
      sleepMs(5);
    }
  });
  while (!over_) {
    const auto sentMs = steadyMs();
    const auto body = beat();
    auto reply = call({ip_, port_, "POST", "/api/Servers.Heartbeat/" + id_, body, {}, 1000});
    if (reply.body.size() > kMostAnswerBytes) {
      note("worker " + std::to_string(number_) + " got an answer of " + std::to_string(reply.body.size()) +
           " bytes to its beat, more than 4 MiB: not acknowledged");
      reply = {};
    }
    if (reply.status == 200 && steadyMs() - sentMs <= 1000) take(reply.body, sentMs);
    if (reply.status != 200) {
      const std::lock_guard held(lock_);
      nextBeatMs_ = steadyMs() + 200;
    }
    for (;;) {
      {
        const std::lock_guard held(lock_);
        const auto dueMs = endedMs_ >= 0 ? std::min(nextBeatMs_, endedMs_ + 50) : nextBeatMs_;
        if (over_ || steadyMs() >= dueMs) {
          endedMs_ = -1;
          break;
        }
      }
      sleepMs(2);
    }
  }
  worker.join();
}

std::string Worker::beat() {
  const std::scoped_lock held(lock_, journal_.lock);
  json_t* root = json_object();
  const auto put = [&](const char* key, const std::string& value) { json_object_set_new(root, key, json_string(value.c_str())); };
  put("backend", service_);
  put("address", ip_ + ":9");
  put("zone", zone_);
  put("version", "v1");
  put("phase", "ready");
  json_object_set_new(root, "slots", json_integer(8));
  json_object_set_new(root, "cold_left_ms", json_integer(0));
  json_object_set_new(root, "clock_ms", json_integer(steadyMs()));
  json_object_set_new(root, "call_count", json_integer(++calls_));
  json_object_set_new(root, "capacity", json_pack("{s:I,s:I,s:i}", "cpu", (json_int_t)cpu, "mem_mb", (json_int_t)memMb, "gpu", 0));
  json_t* own = json_array();
  for (const auto& label : labels) json_array_append_new(own, json_string(label.c_str()));
  json_object_set_new(root, "labels", own);
  json_t* running = json_array();
  const auto nowMs = steadyMs();
  for (const auto& [task, run] : runs_) {
    auto sinceMs = run.startedMs;  // a gang works from the moment that all of it are there
    if (run.gang > 0) {
      const auto whole = journal_.gangWholeMs.find(gangKey(run));
      sinceMs = whole == journal_.gangWholeMs.end() ? nowMs : whole->second;
    }
    const auto percent = std::min<Millis>(99, 100 * (nowMs - sinceMs) / std::max<Millis>(1, run.workMs));
    json_array_append_new(running, json_pack("[s,I,s,I]", task.c_str(), (json_int_t)run.attempt, "", (json_int_t)percent));
  }
  json_object_set_new(root, "running", running);
  json_t* ended = json_array();
  for (std::size_t i = 0; i < ends_.size() && i < 500; ++i)
    json_array_append_new(ended, json_pack("[I,s,I,s,s]", (json_int_t)ends_[i].number, ends_[i].task.c_str(),
                                           (json_int_t)ends_[i].attempt, ends_[i].how.c_str(), ""));
  json_object_set_new(root, "ended", ended);
  char* raw = json_dumps(root, JSON_COMPACT);
  std::string made(raw);
  free(raw);
  json_decref(root);
  return made;
}

// Both locks are held by the caller.
void Worker::finish(const Run& run, const std::string& how) {
  ends_.push_back({nextEnd_++, run.task, run.attempt, how});
  auto& highest = passed_[run.task];
  highest = std::max(highest, run.attempt);
  endedMs_ = steadyMs();
  journal_.ends.push_back({steadyMs(), number_, run.task, run.attempt, how});
  if (run.gang > 0) {
    journal_.gangs[gangKey(run)].erase(run.task);
    if (how != "done") journal_.gangBroken.insert(gangKey(run));
  }
  note("worker " + std::to_string(number_) + " ends " + recorded(run.task) + " run " + std::to_string(run.attempt) + " " + how);
}

void Worker::take(const std::string& body, Millis sentMs) {
  json_t* root = json_loads(body.c_str(), 0, nullptr);
  if (!root) return;
  const std::scoped_lock held(lock_, journal_.lock);
  const auto number = [&](const char* key, long long usual) {
    const json_t* found = json_object_get(root, key);
    return json_is_number(found) ? static_cast<long long>(json_number_value(found)) : usual;
  };
  const auto retryMs = number("retry_in_ms", 1400);
  nextBeatMs_ = std::max(sentMs, steadyMs() - 1) + std::max(1LL, retryMs);
  const auto fence = number("fence", 0);
  if (fence < fence_) {
    json_decref(root);
    return;
  }
  fence_ = fence;
  const auto seen = number("last_seen", 0);
  std::erase_if(ends_, [&](const End& end) { return end.number <= seen; });
  const auto holdMs = std::min<long long>(number("hold_ms", 0), bounds_.holdMostMs);
  if (holdMs > 0) holdUntilMs_ = std::max(holdUntilMs_, sentMs + holdMs);
  std::size_t at;
  json_t* one;
  json_array_foreach(json_object_get(root, "stop"), at, one) {
    const auto task = text(json_array_get(one, 0));
    const auto attempt = static_cast<long long>(json_number_value(json_array_get(one, 1)));
    auto& highest = passed_[task];
    highest = std::max(highest, attempt);
    const auto found = runs_.find(task);
    if (found == runs_.end() || found->second.attempt != attempt) continue;
    const auto run = found->second;
    runs_.erase(found);
    finish(run, "stopped");
  }
  if (holdMs > 0) {
    json_array_foreach(json_object_get(root, "start"), at, one) {
      Run run;
      run.task = text(json_array_get(one, 0));
      run.attempt = static_cast<long long>(json_number_value(json_array_get(one, 1)));
      const auto parts = split(text(json_array_get(one, 2)), ',');
      run.workMs = std::atoll(parts[0].c_str());
      run.gang = parts.size() > 1 ? std::atoi(parts[1].c_str()) : 0;
      run.cpu = parts.size() > 2 ? std::atoll(parts[2].c_str()) : 0;
      run.startedMs = steadyMs();
      if (runs_.contains(run.task)) continue;
      if (const auto passed = passed_.find(run.task); passed != passed_.end() && passed->second >= run.attempt) {
        ends_.push_back({nextEnd_++, run.task, run.attempt, "refused"});
        continue;
      }
      runs_[run.task] = run;
      journal_.starts.push_back({run.startedMs, number_, run.task, run.attempt});
      note("worker " + std::to_string(number_) + " starts " + recorded(run.task) + " run " + std::to_string(run.attempt));
      if (run.gang > 0) {
        auto& members = journal_.gangs[gangKey(run)];
        members.insert(run.task);
        if (static_cast<int>(members.size()) == run.gang) journal_.gangWholeMs[gangKey(run)] = steadyMs();
      }
    }
  }
  json_decref(root);
}

void Worker::work() {
  const std::scoped_lock held(lock_, journal_.lock);
  const auto nowMs = steadyMs();
  for (auto at = runs_.begin(); at != runs_.end();) {
    const auto run = at->second;
    std::string how;
    if (nowMs > holdUntilMs_) {
      how = "lapsed";
    } else if (run.gang == 0) {
      if (nowMs - run.startedMs >= run.workMs) how = "done";
    } else {
      const auto whole = journal_.gangWholeMs.find(gangKey(run));
      if (journal_.gangBroken.contains(gangKey(run)))
        how = "broken";
      else if (whole != journal_.gangWholeMs.end())
        how = nowMs - whole->second >= run.workMs ? "done" : "";
      else if (nowMs - run.startedMs >= bounds_.gangWaitMs)
        how = "alone";
    }
    if (how.empty()) {
      ++at;
      continue;
    }
    at = runs_.erase(at);
    finish(run, how);
  }
}

Fleet::Fleet(int edgeCount, int workerCount) {
  std::random_device device;
  net_ = "127." + std::to_string(10 + device() % 200) + "." + std::to_string(device() % 250) + ".";
  do firstPort = 20000 + static_cast<int>(device() % 10000);
  while (!areFree(firstPort, kPorts));
  frontPort = firstPort + 20;
  controlPort = firstPort + 21;
  readyPort = firstPort + 22;
  char made[] = "/tmp/review-XXXXXX";
  folder = ::mkdtemp(made);
  for (int i = 0; i < edgeCount; ++i)
    edges.push_back({"edge-" + std::to_string(i + 1), "scheduler", ipOf(i + 1), "zone-" + std::to_string(i % 3 + 1),
                     folder + "/edge-" + std::to_string(i + 1), -1});
  for (int i = 0; i < workerCount; ++i)
    agents.push_back({"side-" + std::to_string(i + 1), "agent", ipOf(50 + i), "zone-" + std::to_string(i % 3 + 1),
                      folder + "/side-" + std::to_string(i + 1), -1});
}

Fleet::~Fleet() {
  for (auto& worker : workers) worker->stop();
  for (auto* list : {&edges, &agents})
    for (auto& process : *list)
      if (process.pid > 0) {
        ::kill(process.pid, SIGCONT);
        ::kill(process.pid, SIGKILL);
        ::waitpid(process.pid, nullptr, 0);
      }
  std::error_code ignored;
  std::filesystem::remove_all(folder, ignored);
}

std::string Fleet::ipOf(int machine) const { return net_ + std::to_string(machine); }

// The settings of a small deployment, as the users' page of settings shows them.
std::string Fleet::settings(const Process& process, bool firstBoot) const {
  const bool edge = process.role == "scheduler";
  std::string seeds;
  for (std::size_t i = 0; i < edges.size() && i < 3; ++i)
    seeds += (i ? "," : "") + ("\"" + edges[i].ip + ":" + std::to_string(controlPort) + "\"");
  std::string out;
  out += "node = \"" + process.name + "\"\nrole = \"" + process.role + "\"\n";
  out += std::string("machine_class = \"") + (edge ? "edge" : "side") + "\"\n";
  out += edge ? "serves = [\"edge\",\"control\"]\n" : "serves = [\"side\"]\n";
  out += "ip = \"" + process.ip + "\"\nzone = \"" + process.zone + "\"\nregion = \"r1\"\n";
  out += "port_range = [" + std::to_string(firstPort) + "," + std::to_string(firstPort + 15) + "]\n";
  out += "seed_nodes = [" + seeds + "]\n";
  out += std::string("first_boot = ") + (firstBoot ? "true" : "false") + "\n";
  out += std::string("loss_counts = ") + (edge ? "true" : "false") + "\n";
  if (edge) out += "data_dir = \"" + process.folder + "/data\"\n";
  out += "discovery = \"local\"\nentry = \"virtual_ip\"\nbeat_ms = 1400\n";
  out += "rules_in_force = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"places\"]\norders = \"heartbeat\"\n";
  out += "[zones]\nzone-1 = \"r1\"\nzone-2 = \"r1\"\nzone-3 = \"r1\"\n[listen]\n";
  const auto at = [&](int port) { return "\"" + process.ip + ":" + std::to_string(port) + "\"\n"; };
  if (edge) out += "front = " + at(frontPort) + "ready = " + at(readyPort);
  out += "control = " + at(controlPort);
  out += edge ? "[limits]\ncpu_share = 0.5\ncores = 1\nmemory_mb = 260\nfile_handles = 4100\nlink_mbps = 1000.0\ndisk_mb = 128\n"
              : "[limits]\ncpu_share = 0.15\ncores = 1\nmemory_mb = 128\nfile_handles = 4096\nlink_mbps = 1000.0\ndisk_mb = 0\n";
  out += "[tolerate]\nmachines = 1\nzones = 1\nregions = 0\n";
  out += "[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\nin_touch_ms = 3000\nack_ms = 4000\ncatch_up_s = 4\n"
         "drain_ms = 2000\ngrace_s = 6\nlost_slack_ms = 200\nconfig_apply_ms = 2000\nrollback_slack_ms = 250\n"
         "max_stretch_ms = 5000\ncold_over = 1.5\ncold_slack = 5\nevacuate_ms = 5000\nrecover_s = 12\n"
         "hold_max_ms = 6000\nstop_ms = 200\ngang_wait_ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\n"
         "early_ms = 250\nfinish_s = 14\nstatus_s = 120\nspread_factor = 1.5\ncheckpoint_s = 2\nrestore_ms = 600\n";
  return out;
}

void Fleet::spawn(Process& process, bool firstBoot) {
  std::filesystem::create_directories(process.folder);
  const auto file = process.folder + "/settings.toml";
  std::ofstream(file) << settings(process, firstBoot);
  const auto log = process.folder + "/log";
  const std::string setting = "TULIPPITCH_SETTINGS=" + file;
  std::string path = "PATH=" + std::string(::getenv("PATH") ? ::getenv("PATH") : "/usr/bin:/bin");
  char* const env[] = {const_cast<char*>(setting.c_str()), path.data(), nullptr};
  char* const args[] = {const_cast<char*>("target/tulippitch"), const_cast<char*>(process.role.c_str()), nullptr};
  const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  process.pid = ::fork();
  if (process.pid != 0) {
    ::close(out);
    return;
  }
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // no daemon outlives the script
  ::dup2(out, 1);
  ::dup2(out, 2);
  ::execve("target/tulippitch", args, env);
  ::_exit(127);
}

Reply Fleet::operatorCall(const std::string& method, const std::string& path, const std::string& body,
                          const std::string& basedOn, Millis forMs) {
  const auto untilMs = steadyMs() + forMs;
  Reply reply;
  for (std::size_t at = 0; steadyMs() < untilMs; ++at) {
    Request request{edges[at % edges.size()].ip, controlPort, method, path, body, {}, 1000};
    if (!basedOn.empty()) request.headers.push_back("Based-On: " + basedOn);
    reply = call(request);
    note("operator " + method + " " + path + " at " + edges[at % edges.size()].name + ": " + std::to_string(reply.status));
    if (reply.status == 200 || reply.status == 400 || reply.status == 412) return reply;
    sleepMs(150);
  }
  return reply;
}

Reply Fleet::clientCall(const std::string& method, const std::string& path, const std::string& body, int first,
                        int tries) {
  Reply reply;
  for (int i = 0; i < tries; ++i) {
    const auto& edge = edges[static_cast<std::size_t>(first + i) % edges.size()];
    reply = call({edge.ip, frontPort, method, path, body, {"Host: " + host, "Time-Left-Ms: 3000"}, 3000});
    note("client " + method + " " + path + " at " + edge.name + ": " + std::to_string(reply.status) + " " + reply.body);
    if (reply.status != 0 && reply.status != 503 && reply.status != 502 && reply.status != 504 && reply.status != 429)
      return reply;
    sleepMs(200);
  }
  return reply;
}

bool Fleet::boot() {
  for (auto& edge : edges) spawn(edge, true);
  for (auto& agent : agents) spawn(agent, true);
  for (std::size_t i = 0; i < agents.size(); ++i) {
    workers.push_back(std::make_unique<Worker>(static_cast<int>(i + 1), agents[i].ip, controlPort, agents[i].zone,
                                               service, journal, bounds));
    workers.back()->labels = {i % 2 ? "b" : "a", "r1-" + std::to_string(i / 3 + 1)};
    workers.back()->start();
  }
  const auto reply = operatorCall("POST", "/api/Config.Replace", config, "0", 20000);
  if (reply.status != 200) return false;
  const auto untilMs = steadyMs() + 10000;
  for (const auto& edge : edges) {
    while (call({edge.ip, readyPort, "GET", "/api/ready", "", {}, 500}).status != 200) {
      if (steadyMs() > untilMs) return false;
      sleepMs(50);
    }
  }
  sleepMs(2500);
  return true;
}

}  // namespace review
