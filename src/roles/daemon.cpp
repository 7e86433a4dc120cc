#include "roles/daemon.hpp"

#include <malloc.h>
#include <sys/stat.h>

#include <csignal>
#include <iostream>
#include <random>
#include <thread>

#include "bearing/ledger.hpp"
#include "bearing/ring.hpp"
#include "gangway/http.hpp"
#include "hold/disk.hpp"
#include "roles/dialects.hpp"
#include "roles/node.hpp"
#include "signal/wire.hpp"

namespace tulip::roles {
namespace asio = boost::asio;
using namespace signal;

namespace {

constexpr Millis kTicksPerTerm = 40;
constexpr int kMostRounds = 64;

Now clockNow() {
  using std::chrono::duration_cast, std::chrono::milliseconds;
  return {duration_cast<milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count(),
          duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count()};
}

std::chrono::steady_clock::time_point steadyAt(Millis ms) { return std::chrono::steady_clock::time_point(std::chrono::milliseconds(ms)); }

struct Berthed {
  Env env;
  DaemonId id;
  hold::Disk disk;
  Node node;
  Millis wakeMs = -1;
  bool done = false;
};

struct Aimed {
  std::size_t node = 0;
  Event event;
};

struct AimedPersist {
  std::size_t node = 0;
  Persist persist;
};

struct AimedSend {
  std::size_t node = 0;
  Send send;
};

// What steps want done by the other threads, gathered over a batch so that they are woken once.
struct Wants {
  std::vector<AimedSend> sends;
  std::vector<Answer> answers;
  std::vector<Proxy> proxies;
  bool empty() const { return sends.empty() && answers.empty() && proxies.empty(); }
};

using ReadEnvs = std::function<bool(std::vector<Env>&, EnvFault&)>;

// One process: its nodes, the core thread that steps them all, the io thread, and a disk thread beside a quay.
struct Host {
  std::vector<Berthed> berthed;
  std::map<Address, std::size_t> local;
  ReadEnvs readEnvs;
  std::string settingsFile;
  asio::io_context context{1};
  Ring<Aimed> events;
  Ring<AimedPersist> writes;
  std::unique_ptr<Wire> wire;
  std::unique_ptr<gangway::HttpServer> server;
  std::atomic<bool> over{false}, readAgain{false};
  std::function<void()> onDone;  // on the io thread, once every node has left

  const Env& env() const { return berthed.front().env; }
  explicit Host(std::size_t ringItems) : events(ringItems), writes(ringItems) {}
};

void diskDuty(Host& host) {
  while (!host.writes.closed()) {
    auto batch = host.writes.take(host.env().ringItems);
    for (std::size_t node = 0; node < host.berthed.size(); ++node) {
      std::vector<DiskEntry> entries;
      for (auto& [aim, persist] : batch)
        if (aim == node)
          entries.insert(entries.end(), std::make_move_iterator(persist.entries.begin()), std::make_move_iterator(persist.entries.end()));
      if (entries.empty()) continue;
      auto& disk = host.berthed[node].disk;
      std::string said;
      while (auto failed = hold::writeDelta(disk, entries)) {
        const auto text = "disk: " + failed.message() + " " + disk.detail;
        if (text != said) alarm(text);
        said = text;
        if (host.writes.closedWithin(std::chrono::milliseconds(host.env().bounds.beatMs()))) return;
      }
    }
    for (const auto& [node, persist] : batch) host.events.push({node, Persisted{persist.ticket, true}});
  }
}

class Core {
 public:
  explicit Core(Host& host) : host_(host) {}

  void run() {
    nextTickMs_ = clockNow().steadyMs;
    while (!host_.over) {
      auto events = host_.events.takeUntil(steadyAt(nextMs()));
      Wants wants;
      for (auto& [node, event] : events) step(node, event, wants);
      tick(wants);
      for (int round = 0; round < kMostRounds && !inside_.empty(); ++round) {
        const auto heard = std::exchange(inside_, {});
        for (const auto& [node, event] : heard) step(node, event, wants);
      }
      give(std::move(wants));
      if (host_.readAgain.exchange(false) || fileChanged()) readAgain();
    }
  }

 private:
  Millis nextMs() const {
    if (!inside_.empty()) return 0;
    Millis next = nextTickMs_;
    for (const auto& one : host_.berthed)
      if (one.wakeMs >= 0) next = std::min(next, one.wakeMs);
    return next;
  }

  void tick(Wants& wants) {
    const auto now = clockNow();
    const bool all = now.steadyMs >= nextTickMs_;
    for (std::size_t node = 0; node < host_.berthed.size(); ++node) {
      auto& one = host_.berthed[node];
      if (all || (one.wakeMs >= 0 && one.wakeMs <= now.steadyMs)) {
        one.wakeMs = -1;
        step(node, Tick{}, wants);
      }
    }
    if (all) nextTickMs_ = now.steadyMs + std::max<Millis>(1, host_.env().bounds.termMs / kTicksPerTerm);
  }

  void step(std::size_t node, const Event& event, Wants& wants) {
    auto& one = host_.berthed[node];
    Outbox out;
    nodeStep(one.node, event, clockNow(), out);
    if (out.wakeMs >= 0) one.wakeMs = one.wakeMs < 0 ? out.wakeMs : std::min(one.wakeMs, out.wakeMs);
    for (auto& persist : out.persists) {
      const auto ticket = persist.ticket;
      if (!host_.writes.offer({node, std::move(persist)})) inside_.push_back({node, Persisted{ticket, false}});
    }
    for (auto& text : out.alarms) alarm(std::move(text));
    for (auto& send : out.sends) {
      auto near = host_.local.find(send.to);
      if (near == host_.local.end()) wants.sends.push_back({node, std::move(send)});
      else inside_.push_back({near->second, Heard{one.id, one.env.signal, std::move(send.message), send.to}});
    }
    std::move(out.answers.begin(), out.answers.end(), std::back_inserter(wants.answers));
    std::move(out.proxies.begin(), out.proxies.end(), std::back_inserter(wants.proxies));
    if (!out.done || one.done) return;
    one.done = true;
    if (std::ranges::all_of(host_.berthed, &Berthed::done)) asio::post(host_.context, [this] { host_.onDone(); });
  }

  void give(Wants&& wants) {
    if (wants.empty()) return;
    asio::post(host_.context, [this, wants = std::move(wants)]() mutable {
      for (auto& [node, send] : wants.sends) {
        const auto& from = host_.berthed[node];
        host_.wire->send(from.id, from.env.signal, send.to, std::move(send.message));
      }
      for (const auto& answer : wants.answers) host_.server->answer(answer);
      for (const auto& proxy : wants.proxies) host_.server->proxy(proxy);
      host_.wire->flush();
    });
  }

  bool fileChanged() {
    const auto nowMs = clockNow().steadyMs;
    if (host_.settingsFile.empty() || nowMs < lookAtMs_) return false;
    const bool first = lookAtMs_ < 0;
    lookAtMs_ = nowMs + host_.env().bounds.termMs;
    struct stat seen {};
    if (::stat(host_.settingsFile.c_str(), &seen) != 0) return false;
    const bool same = seen.st_mtim.tv_sec == seen_.st_mtim.tv_sec && seen.st_mtim.tv_nsec == seen_.st_mtim.tv_nsec && seen.st_size == seen_.st_size &&
                      seen.st_ino == seen_.st_ino;
    seen_ = seen;
    return !first && !same;
  }

  void readAgain() {
    std::vector<Env> next;
    EnvFault fault;
    if (!host_.readEnvs(next, fault)) return alarm("settings kept as they were: " + faultLine(fault));
    std::string fixed;
    auto differs = [&](bool same, const char* key) {
      if (!same && fixed.find(key) == std::string::npos) fixed += (fixed.empty() ? "" : ", ") + std::string(key);
    };
    differs(next.size() == host_.berthed.size(), "roles");
    for (std::size_t node = 0; node < std::min(next.size(), host_.berthed.size()); ++node) {
      auto& one = host_.berthed[node];
      const auto& then = one.env;
      const auto& read = next[node];
      differs(read.role == then.role, "role");
      differs(read.signal == then.signal, "signal");
      differs(read.http == then.http, "http");
      differs(std::ranges::equal(read.faces, then.faces, [](const Face& a, const Face& b) { return a.kind == b.kind && a.at == b.at; }), "faces");
      differs(read.cell == then.cell, "cell");
      differs(read.worker == then.worker, "worker");
      differs(read.dataFolder == then.dataFolder, "data-folder");
      differs(read.bounds.termMs == then.bounds.termMs, "term-ms");
      differs(read.bounds.workerTermMs == then.bounds.workerTermMs, "worker-term-ms");
      differs(read.ringItems == then.ringItems, "ring-items");
      differs(read.maxBodyBytes == then.maxBodyBytes, "max-body-bytes");
      if (then.role == Role::quay) differs(read.seeds == then.seeds, "seeds");
      auto bounds = read.bounds;
      bounds.termMs = then.bounds.termMs;
      bounds.workerTermMs = then.bounds.workerTermMs;
      one.env.bounds = bounds;
      auto& crew = crewOf(one.node);
      crew.env.bounds = bounds;
      if (then.role == Role::quay) continue;
      one.env.seeds = read.seeds;
      crew.env.seeds = read.seeds;
    }
    if (!fixed.empty()) alarm("settings that need a restart to change: " + fixed);
    asio::post(host_.context, [this, bounds = host_.env().bounds] { host_.server->rebound(bounds); });
    note("settings read again");
  }

  Host& host_;
  std::vector<Aimed> inside_;
  Millis nextTickMs_ = 0;
  Millis lookAtMs_ = -1;
  struct stat seen_ {};
};

// From the first polite signal: leave, answer callers until new ones are sent elsewhere, then end.
class Ending {
 public:
  Ending(Host& host) : host_(host), polite_(host.context, SIGTERM, SIGINT), again_(host.context, SIGHUP), hard_(host.context), soft_(host.context) {
    for (const auto& one : host.berthed)
      for (const auto& face : one.env.faces) lingers_ = lingers_ || face.kind == FaceKind::callers;
    host.onDone = [this] {
      left_ = true;
      tryEnd();
    };
    onPolite();
    onAgain();
  }

 private:
  void onPolite() {
    polite_.async_wait([this](boost::system::error_code failed, int) {
      if (failed) return;
      if (asked_) return end();
      asked_ = true;
      host_.server->leave();
      for (std::size_t node = 0; node < host_.berthed.size(); ++node) host_.events.offer({node, PoliteStop{}});
      const std::chrono::milliseconds stop(host_.env().bounds.stopMs);
      hard_.expires_after(stop);
      hard_.async_wait([this](boost::system::error_code cancelled) {
        if (!cancelled) end();
      });
      if (lingers_) {
        soft_.expires_after(stop / 2);
        soft_.async_wait([this](boost::system::error_code cancelled) {
          if (cancelled) return;
          lingers_ = false;
          tryEnd();
        });
      }
      onPolite();
    });
  }

  void onAgain() {
    again_.async_wait([this](boost::system::error_code failed, int) {
      if (failed) return;
      host_.readAgain = true;
      onAgain();
    });
  }

  void tryEnd() {
    if (!left_ || lingers_) return;
    host_.server->stopListening();
    if (host_.server->answered()) return end();
    soft_.expires_after(std::chrono::milliseconds(std::max<Millis>(1, host_.env().bounds.stopMs / 200)));
    soft_.async_wait([this](boost::system::error_code cancelled) {
      if (!cancelled) tryEnd();
    });
  }

  void end() {
    host_.over = true;
    host_.context.stop();
  }

  Host& host_;
  asio::signal_set polite_, again_;
  asio::steady_timer hard_, soft_;
  bool asked_ = false, left_ = false, lingers_ = false;
};

bool listenAll(Host& host) {
  std::string at;
  try {
    for (std::size_t node = 0; node < host.berthed.size(); ++node) {
      const auto& env = host.berthed[node].env;
      host.wire->listen(Address(at = env.signal.value));
      if (!env.http.empty()) host.server->listen(Address(at = env.http.value), FaceKind::own, node);
      for (const auto& face : env.faces) host.server->listen(Address(at = face.at.value), face.kind, node);
    }
    return true;
  } catch (const std::exception& failed) {
    std::cerr << "cannot listen on " << at << ": " << failed.what() << std::endl;
    return false;
  }
}

int runHost(const ReadEnvs& readEnvs, const std::string& settingsFile) {
  ::mallopt(M_ARENA_MAX, 1);
  std::signal(SIGPIPE, SIG_IGN);
  std::vector<Env> envs;
  EnvFault fault;
  if (!readEnvs(envs, fault)) {
    std::cerr << faultLine(fault) << std::endl;
    return rowOf(Kind::badEnv).exitCode;
  }
  Host host(envs.front().ringItems);
  host.readEnvs = readEnvs;
  host.settingsFile = settingsFile;
  std::shared_ptr<const gangway::Dialect> dialect;
  bool keeps = false;
  std::size_t maxBodyBytes = 0;
  host.berthed.resize(envs.size());
  for (std::size_t node = 0; node < envs.size(); ++node) {
    auto& one = host.berthed[node];
    one.env = std::move(envs[node]);
    const auto& env = one.env;
    maxBodyBytes = std::max(maxBodyBytes, env.maxBodyBytes);
    const std::string incarnation = freshName();
    one.id = DaemonId(std::string(roleName(env.role)) + "-" + (env.name.empty() ? "" : env.name + "-") + incarnation);
    if (env.role == Role::quay && !env.dataFolder.empty()) {
      keeps = true;
      if (auto failed = hold::openDisk(one.disk, env.dataFolder, one.id)) {
        std::cerr << env.dataFolder << ": " << failed.message() << ": " << one.disk.detail << "; empty the folder to rejoin as a new quay"
                  << std::endl;
        return rowOf(Kind::tornFile).exitCode;
      }
      one.id = one.disk.image.id;
    }
    if (!dialect && !env.dialect.empty()) dialect = std::shared_ptr<const gangway::Dialect>(dialectNamed(env.dialect)->make());
    one.node = makeNode(env, one.id, incarnation, one.disk.image, clockNow());
    one.node.dialect = dialect;
    host.local[env.signal] = node;
  }
  openLedger(std::string(roleName(host.env().role)) + (host.env().name.empty() ? "" : " " + host.env().name));
  host.wire = std::make_unique<Wire>(
      host.context, host.env().bounds.termMs,
      [&host](Frame&& frame) {
        const auto found = host.local.find(frame.to);
        if (found == host.local.end()) return;
        host.events.offer({found->second, Heard{std::move(frame.fromId), std::move(frame.from), std::move(frame.message), std::move(frame.to)}});
      },
      [](std::string text) { alarm(std::move(text)); });
  host.server = std::make_unique<gangway::HttpServer>(
      host.context, host.env().bounds, maxBodyBytes,
      [&host](std::size_t node, Ask&& ask) { return host.events.offerWithin({node, std::move(ask)}, host.env().ringItems / 4); }, dialect);
  if (!listenAll(host)) return rowOf(Kind::badEnv).exitCode;
  Ending ending(host);
  Core core(host);
  std::thread coreThread([&] { core.run(); });
  std::thread diskThread;
  if (keeps) diskThread = std::thread([&] { diskDuty(host); });
  host.context.run();
  host.over = true;
  host.writes.close();
  host.events.close();
  coreThread.join();
  if (diskThread.joinable()) diskThread.join();
  host.server->close();
  host.wire->close();
  host.context.restart();
  host.context.poll();
  return 0;
}

std::map<std::string, DialectEntry, std::less<>>& dialects() {
  static std::map<std::string, DialectEntry, std::less<>> all;
  return all;
}

}  // namespace

bool registerDialect(std::string_view name, DialectEntry entry) { return dialects().emplace(name, entry).second; }

const DialectEntry* dialectNamed(std::string_view name) {
  const auto found = dialects().find(name);
  return found == dialects().end() ? nullptr : &found->second;
}

const DialectEntry* dialectWithSettings() {
  for (const auto& [name, entry] : dialects())
    if (!entry.settingsFile().empty()) return &entry;
  return nullptr;
}

std::string freshName() {
  std::random_device device;
  char text[33];
  std::snprintf(text, sizeof text, "%08x%08x", device(), device());
  return text;
}

int runDaemon(Role role, const EnvFlags& flags) {
  if (const auto* dialect = flags.empty() ? dialectWithSettings() : nullptr) {
    const auto file = dialect->settingsFile();
    return runHost([dialect, file, role](std::vector<Env>& envs, EnvFault& fault) { return dialect->readSettings(file, role, envs, fault); }, file);
  }
  const auto file = flags.find("env-file");
  return runHost(
      [role, flags](std::vector<Env>& envs, EnvFault& fault) {
        envs.resize(1);
        return readEnv(role, flags, envs.front(), fault);
      },
      file == flags.end() ? "" : file->second);
}

}  // namespace tulip::roles
