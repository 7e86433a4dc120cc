#pragma once
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "commands/stub_worker.hpp"
#include "daemon/node.hpp"
#include "simulator/call_adapter.hpp"
#include "simulator/clock.hpp"
#include "simulator/links.hpp"
#include "simulator/meter.hpp"
#include "simulator/network.hpp"
#include "simulator/place.hpp"

/// The simulated machines, their network, disks and clocks, and the daemons'
/// own code that runs on them.
namespace tulip::simulator {

struct FleetPlan {
  int zones = 3;
  int schedulers = 4;
  int workers = 11;
  std::int64_t slots = 8;
  Bounds bounds;
  Micros tickUs = 10000;
  bool selfStop = true;
  NetworkPlan network;
  int replicas = 3;
  std::int64_t losses = 1;
  std::map<std::string, std::int64_t> capacity;  // each worker's, beside its slots
  int rackSize = 0;                              // workers a rack, within one zone; 0: no racks
  int kinds = 0;                                 // of workers, told by a label; 0: none
  bool sizedPool = true;                         // the configuration says how large the pool's workers are
  Millis holdMostMs = 0;                         // a worker cuts a longer hold to this; 0: any
  Micros workerStepUs = 5000;                    // between two steps of a simulated worker
  bool sharedMachines = false;                   // a replica and a scheduler are one process; those of the machines
                                                 // beyond the replicas have no disk
  LinkPlan links;
  double diskMbPerS = 0;  // what a sync takes beside its fixed time; 0: no time by the byte
};

std::string zoneOf(const FleetPlan& fleet, int worker);
std::string rackOf(const FleetPlan& fleet, int worker);
std::string kindOf(const FleetPlan& fleet, int worker);
std::string poolOf(const FleetPlan& fleet,
                   int worker);  // by kind where pools are sized, as a pool has
                                 // the labels of all its workers

struct Reply {
  bool lost = false;
  int status = 0;
  Millis retryMs = 0;
  std::string body;
};

/// A node of a process on a machine.
struct Host {
  std::string name;
  std::string machine;  // where it runs; one process holds all nodes of a machine
  Settings settings;
  DaemonId id;
  int lives = 0;
  bool up = false;
  bool gone = false;      // for good, and replaced or not missed
  bool powered = true;    // the steady clock has gone on since the last life
  Micros returnedUs = 0;  // when the process last started or thawed
  Micros frozenUntilUs = 0;
  Micros freezeInStepUs = 0;  // the next step is done, but what it sends leaves
                              // only after a freeze this long
  MachineClock clock;
  Micros wakeUs = -1;  // when it wants its next tick; -1: with the others
  std::optional<daemon::Node> node;
  storage::Image disk;
  bool diskBlocked = false;  // stalled or full: no write ends
  Micros syncUs = 800;
  std::vector<transport::Persist> unsynced;
  std::vector<transport::Persist> writing;  // the batch under way: a crash keeps all of it or nothing
  std::uint64_t nextRequest = 0;
  std::unordered_map<std::uint64_t, std::function<void(Reply)>> asking;
  std::unordered_map<std::uint64_t, transport::Ask> askText;
  std::vector<std::function<void()>> held;
  std::uint64_t syncs = 0;
  bool left = false;  // has done its part of a polite stop

  bool isDiskless() const { return settings.role == Role::replica && settings.dataFolder.empty(); }
};

struct SimWorker {
  commands::Worker worker;
  Host* agent = nullptr;
  bool up = false;
  bool cut = false;
  bool gone = false;  // for good, though its agent may live on
  Micros frozenUntilUs = 0;
  int lives = 0;
  bool calling = false;
  bool news = false;
  double clockRate = 1.0;  // its steady clock is up to 2 % slow
};

class Sim {
 public:
  Sim(std::uint64_t seed, FleetPlan plan);

  Micros nowUs() const { return now_; }
  Millis nowMs() const { return now_ / 1000; }
  Millis wallMs() const { return kWallEpochMs + nowMs(); }
  Millis clockOf(const SimWorker& simWorker) const {
    return static_cast<Millis>(static_cast<double>(now_) * simWorker.clockRate / 1000.0);
  }
  transport::Now clock(const Host& host) const { return read(host.clock, now_); }
  void at(Micros whenUs, std::function<void()> act);
  void after(Micros spanUs, std::function<void()> act) { at(now_ + spanUs, std::move(act)); }
  void runUntil(Micros untilUs);
  std::int64_t below(std::int64_t bound);
  bool chance(double odds);
  double unit();

  Host& addHost(Role role, const std::string& name, const std::string& zone, const std::string& workerName = {});
  /// A machine with a replica and a scheduler in one process; returns the replica.
  Host& addSharedMachine(const std::string& name, const std::string& zone, bool disk);
  /// The nodes of the machine's process.
  const std::vector<Host*>& nodesBeside(const Host& host) const { return nodesOf_.at(host.machine); }
  void start(Host& host);
  /// The process is killed: the machine's clock goes on.
  void crash(Host& host);
  /// The machine loses power: its steady clock starts anew with its next life.
  void losePower(Host& host);
  void freeze(Host& host, Micros spanUs);
  /// The process stops in the middle of its next answer.
  void freezeInNextStep(Host& host, Micros spanUs) { host.freezeInStepUs = spanUs; }
  void loseDisk(Host& host);
  void stopPolitely(Host& host);
  void ask(Host& host, transport::Ask ask, std::function<void(Reply)> done);
  void cut(const Host& from, const Host& to) {
    if (from.machine == to.machine) return;
    network_.cut(from.machine, to.machine);
    trouble();
  }
  void cutOff(const Host& host);
  void heal() {
    network_.heal();
    trouble();
  }
  void heal(const Host& host) {
    network_.heal(host.machine);
    trouble();
  }
  /// What one machine sends to the other waits in buffers for this long.
  void stallLink(const Host& from, const Host& to, Micros spanUs);
  /// All connections of the machine's process break, those of its callers too.
  void resetConnections(Host& host);
  /// Whether the machine counts as lost: down, frozen, cut off or not yet
  /// caught up after its return.
  bool isLost(const Host& host) const;
  /// A trouble of the control side or of a link.
  void trouble() { troubleUs_ = coreTroubleUs_ = now_; }
  void workerTrouble() { troubleUs_ = now_; }
  bool troubled(Millis withinMs) const;  // anything beyond load and configurations
                                         // happened within this time, or goes on
  /// Whether a trouble of the control side or of a link happened within this time, or goes on.
  bool coreTroubled(Millis withinMs) const;
  bool isCut(const Host& from, const Host& to) const { return network_.isCut(from.machine, to.machine); }

  void startWorker(SimWorker& simWorker);
  void crashWorker(SimWorker& simWorker);
  void freezeWorker(SimWorker& simWorker, Micros spanUs);
  /// What the crashed life would have reported next is heard seconds later, if another life has begun by then.
  void sendLastReportLate(SimWorker& simWorker);

  std::vector<Host*> hosts(Role role) const;
  Host* leader();
  bool knows(const std::string& name) const { return byName_.contains(name); }
  bool knowsMachine(const std::string& name) const { return nodesOf_.contains(name); }
  Host& host(const std::string& name) { return *byName_.at(name); }
  const std::vector<std::unique_ptr<SimWorker>>& simWorkers() const { return simWorkers_; }
  const std::vector<std::unique_ptr<Host>>& all() const { return hosts_; }

  std::function<void(SimWorker&, const std::string&)> onJournal;
  std::function<void(SimWorker&, const std::string&, int)> onReported;
  std::function<void(Host&, const std::string&)> onAlarm;
  std::function<void(std::string_view)> onMark;
  std::function<void(SimWorker&)> onWorkerCrash;
  std::function<void(Host&)> onPlace;
  std::optional<Place> place;
  bool counting = false;
  bool seedsChange = false;  // each further life is given other seeds
  Meter* meter = nullptr;    // when set, every message is encoded, decoded and weighed
  std::map<std::string, int> points;

  std::uint64_t seed() const { return seed_; }
  std::uint64_t traceSum() const { return trace_; }
  std::uint64_t events() const { return events_; }
  std::uint64_t frames() const { return frames_; }
  FleetPlan plan;

 private:
  struct Due {
    Micros whenUs;
    std::uint64_t serial;
    std::function<void()> act;
    bool operator<(const Due& other) const { return std::tie(whenUs, serial) > std::tie(other.whenUs, other.serial); }
  };
  void give(Host& host, transport::Event event);
  void settle(Host& host, transport::Outbox&& out);
  void metered(Host& host, const transport::Event& event, transport::Outbox& out);
  std::string roleAt(const Host& host) const;
  void carry(Host& from, const transport::Send& send);
  transport::Heard weighed(Host& from, Host& to, const transport::Send& send, std::size_t& bytes);
  void travel(Host& from, Host& to, const transport::Heard& heard, Micros spanUs);
  void travelTimed(Host& from, Host& to, const transport::Heard& heard, std::size_t bytes);
  void arrive(const Host& from, Host& to, const transport::Heard& heard, Micros sentUs);
  Micros callTravelUs(const Host& host, std::size_t bytes, bool answer);
  Host& addNode(Role role, const std::string& name, const std::string& machine, const std::string& zone, int port);
  void startNode(Host& host);
  void freezeNode(Host& host, Micros spanUs);
  bool isNodeTroubled(const Host& host, Micros sinceUs) const;
  std::vector<Address> drawSeeds();
  void tick(Host& host, int life);
  void wake(Host& host, Millis steadyMs);
  void sync(Host& host);
  void finishSync(Host& host, int life);
  void endProcess(Host& host);
  void endNode(Host& host);
  void endWrites(Host& host);
  void loseCallers(Host& host, double share);
  void reply(Host& host, std::uint64_t requestId, Reply reply);
  void workerTick(SimWorker& simWorker, int life);
  void gangTick();
  void noteGang(SimWorker& simWorker, const std::string& line);
  void workerCall(SimWorker& simWorker);
  void drainJournal(SimWorker& simWorker);
  void mark(std::string_view text);
  Micros travelTime();

  std::uint64_t seed_;
  std::mt19937_64 random_;
  Micros now_ = 0;
  std::uint64_t serial_ = 0, events_ = 0, frames_ = 0, names_ = 0;
  std::uint64_t trace_ = 1469598103934665603ull;
  std::priority_queue<Due> due_;
  std::vector<std::unique_ptr<Host>> hosts_;
  std::vector<std::unique_ptr<SimWorker>> simWorkers_;
  std::map<std::string, Host*> byName_;
  std::map<std::string, std::vector<Host*>> nodesOf_;  // by machine
  std::map<std::string, std::string> ipOf_;            // by machine
  std::map<Address, Host*> bySignal_, byHttp_;
  std::vector<Address> seeds_;
  Network network_;
  Links links_;
  std::shared_ptr<const http::ProtocolAdapter> adapter_ = std::make_shared<CallAdapter>();
  int addresses_ = 0;
  struct Gang {
    bool whole = false, broken = false;
  };
  std::map<std::string, Gang> gangs_;
  std::set<std::string> gangRuns_;
  Micros troubleUs_ = -1000000000, coreTroubleUs_ = -1000000000;
};

}  // namespace tulip::simulator
