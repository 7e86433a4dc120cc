#include "daemon/daemon.hpp"

#include <malloc.h>
#include <sys/stat.h>

#include <csignal>
#include <iostream>
#include <random>
#include <thread>

#include "base/log.hpp"
#include "base/ring.hpp"
#include "daemon/event_queue.hpp"
#include "daemon/metrics.hpp"
#include "daemon/node.hpp"
#include "daemon/protocol_adapters.hpp"
#include "daemon/step_times.hpp"
#include "http/http.hpp"
#include "storage/disk.hpp"
#include "transport/wire.hpp"

namespace tulip::daemon {
namespace asio = boost::asio;
using namespace transport;

namespace {

constexpr Millis kTicksPerTerm = 40;
constexpr int kMostRounds = 64;
constexpr std::size_t kOrdinaryAtOnce = 16;  // events after which what is urgent is looked at again, and sent
constexpr int kEventsPerTick = 2;            // processor time that waiting events get for that of a tick
constexpr Millis kLatestTicksPerLease = 4;   // a tick waits for events no longer than this part of a lease
constexpr int kAnswersPerStop = 10;          // this part of a polite stop is kept for the last answers

Now clockNow() {
  using std::chrono::duration_cast, std::chrono::milliseconds;
  return {duration_cast<milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count(),
          duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count()};
}

std::chrono::steady_clock::time_point steadyAt(Millis ms) {
  return std::chrono::steady_clock::time_point(std::chrono::milliseconds(ms));
}

struct Berthed {
  Settings settings;
  DaemonId id;
  Incarnation incarnation;
  storage::Disk disk;
  Node node;
  Millis wakeMs = -1;
  bool done = false;
};

QueuedEvent queued(std::size_t node, Event event) { return {node, std::move(event), clockNow().steadyMs}; }

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
  std::vector<ForwardRequest> forwards;
  bool empty() const { return sends.empty() && answers.empty() && forwards.empty(); }
};

using ReadEnvs = std::function<bool(std::vector<Settings>&, SettingsFault&)>;

// One process: its nodes, the core thread that steps them all, the io thread, and a disk thread beside a replica.
struct Host {
  std::vector<Berthed> berthed;
  std::map<Address, std::size_t> local;
  ReadEnvs readEnvs;
  std::string settingsFile;
  asio::io_context context{1};
  EventQueue events;
  Ring<AimedPersist> writes;
  StepTimes stepTimes;  // of the core thread
  std::unique_ptr<Wire> wire;
  std::unique_ptr<http::HttpServer> server;
  std::atomic<bool> over{false}, readAgain{false};
  std::function<void()> onDone;  // on the io thread, once every node has left

  const Settings& settings() const { return berthed.front().settings; }
  explicit Host(std::size_t ringItems) : events(ringItems), writes(ringItems) {}
};

// Writes the batch again until the disk takes it. False once the process is to end.
bool makeDurable(Host& host, storage::Disk& disk, std::span<const DiskEntry> entries) {
  std::string said;
  while (auto failed = storage::writeDelta(disk, entries)) {
    const auto text = "disk: " + failed.message() + " " + disk.detail;
    if (text != said) alarm(text);
    said = text;
    if (host.writes.closedWithin(std::chrono::milliseconds(host.settings().bounds.heartbeatMs()))) return false;
  }
  return true;
}

// What is durable is told before the folder is compacted: a slow or full disk holds up no answer twice.
void diskDuty(Host& host) {
  while (!host.writes.closed()) {
    auto batch = host.writes.take(host.settings().ringItems);
    for (std::size_t node = 0; node < host.berthed.size(); ++node) {
      std::vector<DiskEntry> entries;
      for (auto& [aim, persist] : batch)
        if (aim == node)
          entries.insert(entries.end(), std::make_move_iterator(persist.entries.begin()),
                         std::make_move_iterator(persist.entries.end()));
      if (!entries.empty() && !makeDurable(host, host.berthed[node].disk, entries)) return;
    }
    for (const auto& [node, persist] : batch) host.events.push(queued(node, Persisted{persist.ticket, true}));
    for (auto& one : host.berthed)
      if (one.disk.files)
        if (auto failed = storage::compactIfDue(one.disk))
          alarm("disk: not compacted: " + failed.message() + " " + one.disk.detail);
  }
}

// Opens a replica's data folder. A disk that is full or gives errors is waited for: its content may be sound, and a
// process that ended would only be started again.
std::error_code openDataFolder(storage::Disk& disk, const Settings& settings, const DaemonId& freshId) {
  std::string said;
  for (;;) {
    const auto failed = storage::openDisk(disk, settings.dataFolder, freshId);
    if (failed != make_error_code(Kind::diskFailed) || !storage::mayPass(disk.cause)) return failed;
    const auto text = settings.dataFolder + ": waiting for the disk: " + disk.detail;
    if (text != said) alarm(text);
    said = text;
    std::this_thread::sleep_for(std::chrono::milliseconds(settings.bounds.heartbeatMs()));
  }
}

class Core {
 public:
  explicit Core(Host& host) : host_(host) {}

  void run() {
    nextTickMs_ = clockNow().steadyMs;
    while (!host_.over) {
      auto events = host_.events.takeUntil(steadyAt(nextMs()), kOrdinaryAtOnce);
      Wants wants;
      const auto beganUs = threadProcessorTime();
      for (const auto& event : events) take(event, wants);
      eventsUs_ += threadProcessorTime() - beganUs;
      if (mayTick(events.size())) tick(wants);
      for (int round = 0; round < kMostRounds && !inside_.empty(); ++round) {
        const auto heard = std::exchange(inside_, {});
        for (const auto& event : heard) step(event, wants);
      }
      give(std::move(wants));
      tellSlowSteps();
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

  /// Ticks that take longer than the pause between two of them would leave no time for the events that wait.
  bool mayTick(std::size_t eventsTaken) const {
    const bool noneWaits = eventsTaken < kOrdinaryAtOnce;
    const bool late = clockNow().steadyMs - tickedMs_ >= host_.settings().bounds.leaseMs / kLatestTicksPerLease;
    return noneWaits || late || eventsUs_ >= kEventsPerTick * tickUs_;
  }

  void tick(Wants& wants) {
    const auto beganUs = threadProcessorTime();
    tickAll(wants);
    tickUs_ = threadProcessorTime() - beganUs;
    eventsUs_ = 0;
  }

  void tickAll(Wants& wants) {
    const auto now = clockNow();
    tickedMs_ = now.steadyMs;
    const bool all = now.steadyMs >= nextTickMs_;
    for (std::size_t node = 0; node < host_.berthed.size(); ++node) {
      auto& one = host_.berthed[node];
      if (all || (one.wakeMs >= 0 && one.wakeMs <= now.steadyMs)) {
        const Millis dueMs = one.wakeMs >= 0 ? std::min(one.wakeMs, nextTickMs_) : nextTickMs_;
        one.wakeMs = -1;
        step({node, Tick{}, std::min(dueMs, now.steadyMs)}, wants);
      }
    }
    if (all) nextTickMs_ = now.steadyMs + std::max<Millis>(1, host_.settings().bounds.leaseMs / kTicksPerTerm);
  }

  void take(const QueuedEvent& event, Wants& wants) {
    const auto* ask = std::get_if<Ask>(&event.event);
    if (ask && ask->face == FaceKind::metrics) return answerMetrics(event.node, *ask, wants);
    step(event, wants);
  }

  /// Once a lease, a line in the ring on steps that were slow: written out with the next alarm.
  void tellSlowSteps() {
    const auto nowMs = clockNow().steadyMs;
    if (nowMs < slowStepsToldMs_ + host_.settings().bounds.leaseMs) return;
    slowStepsToldMs_ = nowMs;
    noteSlowSteps();
  }

  void noteSlowSteps() {
    if (const auto line = host_.stepTimes.takeSlowLine(host_.settings().bounds.leaseMs); !line.empty()) note(line);
  }

  /// The figures of the whole process; no node's step has a part in it.
  void answerMetrics(std::size_t node, const Ask& ask, Wants& wants) const {
    const auto& settings = host_.berthed[node].settings;
    if (ask.method != "GET" || ask.path != settings.metricsPath) {
      wants.answers.push_back({ask.requestId, rowOf(Kind::noSuchRoute).status, 0, {}, Kind::noSuchRoute});
      return;
    }
    std::vector<const Node*> nodes;
    for (const auto& one : host_.berthed) nodes.push_back(&one.node);
    wants.answers.push_back({ask.requestId, 200, 0, metricsOf(nodes, host_.server->counts(), clockNow())});
  }

  void step(const QueuedEvent& event, Wants& wants) {
    const auto node = event.node;
    auto& one = host_.berthed[node];
    Outbox out;
    const auto now = clockNow();
    const auto beganUs = threadProcessorTime();
    nodeStep(one.node, event.event, now, out);
    host_.stepTimes.note(kindOf(event.event), threadProcessorTime() - beganUs, now.steadyMs - event.queuedMs);
    if (out.wakeMs >= 0) one.wakeMs = one.wakeMs < 0 ? out.wakeMs : std::min(one.wakeMs, out.wakeMs);
    for (auto& persist : out.persists) {
      const auto ticket = persist.ticket;
      if (!host_.writes.offer({node, std::move(persist)})) inside_.push_back(queued(node, Persisted{ticket, false}));
    }
    if (!out.alarms.empty()) noteSlowSteps();
    for (const auto& text : out.alarms) alarm(text);
    for (auto& send : out.sends) {
      auto near = host_.local.find(send.to);
      if (near == host_.local.end())
        wants.sends.push_back({node, std::move(send)});
      else
        inside_.push_back(queued(near->second, Heard{one.id, one.settings.peerAddress, std::move(send.message), send.to,
                                                     one.incarnation, send.toIncarnation}));
    }
    std::move(out.answers.begin(), out.answers.end(), std::back_inserter(wants.answers));
    std::move(out.forwards.begin(), out.forwards.end(), std::back_inserter(wants.forwards));
    if (!out.done || one.done) return;
    one.done = true;
    if (std::ranges::all_of(host_.berthed, &Berthed::done)) asio::post(host_.context, [this] { host_.onDone(); });
  }

  void give(Wants&& wants) {
    if (wants.empty()) return;
    asio::post(host_.context, [this, wants = std::move(wants)]() mutable {
      for (auto& [node, send] : wants.sends) {
        const auto& from = host_.berthed[node];
        const auto version = protocolVersionOf(send.message);
        host_.wire->send({version, from.id, from.settings.peerAddress, send.to, std::move(send.message),
                          from.incarnation, send.toIncarnation});
      }
      for (auto& answer : wants.answers) host_.server->answer(std::move(answer));
      for (const auto& forward : wants.forwards) host_.server->forward(forward);
      host_.wire->flush();
    });
  }

  bool fileChanged() {
    const auto nowMs = clockNow().steadyMs;
    if (host_.settingsFile.empty() || nowMs < lookAtMs_) return false;
    const bool first = lookAtMs_ < 0;
    lookAtMs_ = nowMs + host_.settings().bounds.leaseMs;
    struct stat seen {};
    if (::stat(host_.settingsFile.c_str(), &seen) != 0) return false;
    const bool same = seen.st_mtim.tv_sec == seen_.st_mtim.tv_sec && seen.st_mtim.tv_nsec == seen_.st_mtim.tv_nsec &&
                      seen.st_size == seen_.st_size && seen.st_ino == seen_.st_ino;
    seen_ = seen;
    return !first && !same;
  }

  void readAgain() {
    std::vector<Settings> next;
    SettingsFault fault;
    if (!host_.readEnvs(next, fault)) return alarm("settings kept as they were: " + faultLine(fault));
    std::string fixed;
    auto differs = [&](bool same, const char* key) {
      if (!same && fixed.find(key) == std::string::npos) fixed += (fixed.empty() ? "" : ", ") + std::string(key);
    };
    differs(next.size() == host_.berthed.size(), "roles");
    for (std::size_t node = 0; node < std::min(next.size(), host_.berthed.size()); ++node) {
      auto& one = host_.berthed[node];
      const auto& then = one.settings;
      const auto& read = next[node];
      differs(read.role == then.role, "role");
      differs(read.peerAddress == then.peerAddress, "signal");
      differs(read.http == then.http, "http");
      differs(std::ranges::equal(read.faces, then.faces,
                                 [](const Face& a, const Face& b) { return a.kind == b.kind && a.at == b.at; }),
              "faces");
      differs(read.zone == then.zone, "cell");
      differs(read.worker == then.worker, "worker");
      differs(read.dataFolder == then.dataFolder, "data-folder");
      differs(read.bounds.leaseMs == then.bounds.leaseMs, "term-ms");
      differs(read.bounds.workerLeaseMs == then.bounds.workerLeaseMs, "worker-term-ms");
      differs(read.ringItems == then.ringItems, "ring-items");
      differs(read.maxBodyBytes == then.maxBodyBytes, "max-body-bytes");
      differs(read.limits.memoryBytes == then.limits.memoryBytes, "memory-mb");
      differs(read.limits.descriptors == then.limits.descriptors, "file-handles");
      if (then.role == Role::replica) differs(read.seeds == then.seeds, "seeds");
      auto bounds = read.bounds;
      bounds.leaseMs = then.bounds.leaseMs;
      bounds.workerLeaseMs = then.bounds.workerLeaseMs;
      one.settings.bounds = bounds;
      one.settings.linkKbps = read.linkKbps;
      auto& client = clientOf(one.node);
      client.settings.bounds = bounds;
      client.settings.linkKbps = read.linkKbps;
      if (then.role == Role::replica) continue;
      one.settings.seeds = read.seeds;
      client.settings.seeds = read.seeds;
    }
    if (!fixed.empty()) alarm("settings that need a restart to change: " + fixed);
    asio::post(host_.context, [this, bounds = host_.settings().bounds] { host_.server->rebound(bounds); });
    note("settings read again");
  }

  Host& host_;
  std::vector<QueuedEvent> inside_;
  Millis nextTickMs_ = 0;
  Millis tickedMs_ = 0;
  ProcessorMicros tickUs_ = 0;    // that the last tick took
  ProcessorMicros eventsUs_ = 0;  // that events took since then
  Millis slowStepsToldMs_ = 0;
  Millis lookAtMs_ = -1;
  struct stat seen_ {};
};

// From the first polite signal: leave, answer callers until new ones are sent elsewhere, then end.
class Ending {
 public:
  Ending(Host& host)
      : host_(host),
        polite_(host.context, SIGTERM, SIGINT),
        again_(host.context, SIGHUP),
        hard_(host.context),
        soft_(host.context) {
    for (const auto& one : host.berthed)
      for (const auto& face : one.settings.faces) lingers_ = lingers_ || face.kind == FaceKind::callers;
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
      for (std::size_t node = 0; node < host_.berthed.size(); ++node) host_.events.offer(queued(node, PoliteStop{}));
      const std::chrono::milliseconds stop(host_.settings().bounds.stopMs);
      hard_.expires_after(stop - stop / kAnswersPerStop);
      hard_.async_wait([this, stop](boost::system::error_code cancelled) {
        if (!cancelled) answerAndEnd(stop / kAnswersPerStop);
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

  // No caller is left without a whole answer: what is still asked is answered as of unknown outcome.
  void answerAndEnd(std::chrono::milliseconds left) {
    host_.server->answerOutstanding();
    left_ = true;
    lingers_ = false;
    hard_.expires_after(left);
    hard_.async_wait([this](boost::system::error_code cancelled) {
      if (!cancelled) end();
    });
    tryEnd();
  }

  void tryEnd() {
    if (!left_ || lingers_) return;
    host_.server->stopListening();
    if (host_.server->answered()) return end();
    soft_.expires_after(std::chrono::milliseconds(std::max<Millis>(1, host_.settings().bounds.stopMs / 200)));
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
      const auto& settings = host.berthed[node].settings;
      host.wire->listen(Address(at = settings.peerAddress.value));
      if (!settings.http.empty()) host.server->listen(Address(at = settings.http.value), FaceKind::own, node);
      for (const auto& face : settings.faces) host.server->listen(Address(at = face.at.value), face.kind, node);
    }
    return true;
  } catch (const std::exception& failed) {
    std::cerr << "cannot listen on " << at << ": " << failed.what() << std::endl;
    return false;
  }
}

using SharedAdapter = std::shared_ptr<const http::ProtocolAdapter>;

bool keepsData(const Settings& settings) { return settings.role == Role::replica && !settings.dataFolder.empty(); }

// Opens the replica's data folder and takes its id from there. False, with the reason printed, if it can't be used.
bool openReplica(Berthed& one) {
  if (auto failed = openDataFolder(one.disk, one.settings, one.id)) {
    const bool torn = failed == make_error_code(Kind::tornFile);
    std::cerr << one.settings.dataFolder << ": " << failed.message() << ": " << one.disk.detail
              << (torn ? "; empty the folder to rejoin as a new replica" : "") << std::endl;
    return false;
  }
  one.id = one.disk.image.id;
  return true;
}

// Makes one node of the host from its settings. The nodes of a process share the first adapter that one of them names.
bool makeHostedNode(Berthed& one, SharedAdapter& adapter) {
  const auto& settings = one.settings;
  const std::string incarnation = freshName();
  one.incarnation = incarnationOf(incarnation);
  one.id = DaemonId(std::string(roleName(settings.role)) + "-" + (settings.name.empty() ? "" : settings.name + "-") +
                    incarnation);
  if (keepsData(settings) && !openReplica(one)) return false;
  if (!adapter && !settings.adapter.empty()) adapter = SharedAdapter(adapterNamed(settings.adapter)->make());
  one.node = makeNode(settings, one.id, incarnation, one.disk.image, clockNow());
  one.node.adapter = adapter;
  return true;
}

bool makeNodes(Host& host, std::vector<Settings> settings, SharedAdapter& adapter) {
  host.berthed.resize(settings.size());
  for (std::size_t node = 0; node < settings.size(); ++node) {
    auto& one = host.berthed[node];
    one.settings = std::move(settings[node]);
    if (!makeHostedNode(one, adapter)) return false;
    host.local[one.settings.peerAddress] = node;
  }
  return true;
}

void makeWire(Host& host) {
  host.wire = std::make_unique<Wire>(
      host.context, host.settings().bounds.leaseMs,
      [&host](Frame&& frame) {
        const auto found = host.local.find(frame.to);
        if (found == host.local.end()) return;
        host.events.offer(
            queued(found->second, Heard{std::move(frame.fromId), std::move(frame.from), std::move(frame.message),
                                        std::move(frame.to), frame.fromIncarnation, frame.toIncarnation}));
      },
      [](const std::string& text) { alarm(text); }, connectionLimits(host.settings().limits));
  for (auto& one : host.berthed) one.node.wire = &host.wire->counts();
  for (auto& one : host.berthed) one.node.stepTimes = &host.stepTimes;
}

void makeServer(Host& host, const SharedAdapter& adapter) {
  std::size_t maxBodyBytes = 0;
  for (const auto& one : host.berthed) maxBodyBytes = std::max(maxBodyBytes, one.settings.maxBodyBytes);
  host.server = std::make_unique<http::HttpServer>(
      host.context, host.settings().bounds, maxBodyBytes,
      [&host](std::size_t node, Ask&& ask) {
        return host.events.offerWithin(queued(node, std::move(ask)), host.settings().ringItems / 4);
      },
      adapter, connectionLimits(host.settings().limits));
  host.server->countPeers([&host] { return host.wire->connections(); });
}

// Runs the host's threads until its nodes have left, then closes what they used.
void runThreads(Host& host) {
  const bool keeps =
      std::any_of(host.berthed.begin(), host.berthed.end(), [](const Berthed& one) { return keepsData(one.settings); });
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
}

int runHost(const ReadEnvs& readEnvs, const std::string& settingsFile) {
  ::mallopt(M_ARENA_MAX, 1);
  std::signal(SIGPIPE, SIG_IGN);
  std::vector<Settings> nodes;
  SettingsFault fault;
  if (!readEnvs(nodes, fault)) {
    std::cerr << faultLine(fault) << std::endl;
    return rowOf(Kind::badSettings).exitCode;
  }
  Host host(nodes.front().ringItems);
  host.readEnvs = readEnvs;
  host.settingsFile = settingsFile;
  SharedAdapter adapter;
  if (!makeNodes(host, std::move(nodes), adapter)) return rowOf(Kind::tornFile).exitCode;
  openLedger(std::string(roleName(host.settings().role)) +
             (host.settings().name.empty() ? "" : " " + host.settings().name));
  makeWire(host);
  makeServer(host, adapter);
  if (!listenAll(host)) return rowOf(Kind::badSettings).exitCode;
  runThreads(host);
  return 0;
}

std::map<std::string, ProtocolAdapterEntry, std::less<>>& adapters() {
  static std::map<std::string, ProtocolAdapterEntry, std::less<>> all;
  return all;
}

}  // namespace

bool registerAdapter(std::string_view name, ProtocolAdapterEntry entry) {
  return adapters().emplace(name, entry).second;
}

const ProtocolAdapterEntry* adapterNamed(std::string_view name) {
  const auto found = adapters().find(name);
  return found == adapters().end() ? nullptr : &found->second;
}

const ProtocolAdapterEntry* adapterWithSettings() {
  for (const auto& [name, entry] : adapters())
    if (!entry.settingsFile().empty()) return &entry;
  return nullptr;
}

std::string freshName() {
  std::random_device device;
  char text[33];
  std::snprintf(text, sizeof text, "%08x%08x", device(), device());
  return text;
}

int runDaemon(Role role, const SettingsFlags& flags) {
  if (const auto* adapter = flags.empty() ? adapterWithSettings() : nullptr) {
    const auto file = adapter->settingsFile();
    return runHost(
        [adapter, file, role](std::vector<Settings>& nodes, SettingsFault& fault) {
          return adapter->readSettings(file, role, nodes, fault);
        },
        file);
  }
  const auto file = flags.find("env-file");
  return runHost(
      [role, flags](std::vector<Settings>& nodes, SettingsFault& fault) {
        nodes.resize(1);
        return readSettings(role, flags, nodes.front(), fault);
      },
      file == flags.end() ? "" : file->second);
}

}  // namespace tulip::daemon
