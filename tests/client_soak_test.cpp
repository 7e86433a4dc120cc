#include <CppUTest/TestHarness.h>

#include <cstdlib>

#include "misbehaving_clients.hpp"
#include "process_fleet.hpp"

// A soak: clients that keep to no limit, signals, restarts and changes of the configuration, drawn from a seed, in
// series and overlapping. Clients go on using their connections until the process is gone. Asserted is what doesn't
// depend on how fast the machine is: no process ends by itself or outlasts a polite stop, each stays within the memory
// and the descriptors of its machine, and ordinary callers and workers are served afterwards.
//
// TULIPPITCH_SOAK_SEEDS=FIRST-LAST plays these seeds instead of those of the usual run. TULIPPITCH_SOAK_AGENTS=N gives
// every tenth seed N agents.

using namespace tulip;
using namespace tulip::fixture;
namespace bad = tulip::fixture::misbehaviour;

namespace {

constexpr std::uint64_t kFirstSeed = 1, kLastSeed = 3;
constexpr int kActions = 24;
constexpr std::uint64_t kLargeFleetEvery = 10;
constexpr std::size_t kMostFlood = 4u << 20;
constexpr std::size_t kLargestBody = 1u << 20;
constexpr int kMostClientsAtOnce = 40;
constexpr int kMostSignals = 5;
constexpr int kMostQueues = 200;

struct SeedRange {
  std::uint64_t first = kFirstSeed, last = kLastSeed;
};

SeedRange seedRange() {
  SeedRange range;
  if (const char* given = std::getenv("TULIPPITCH_SOAK_SEEDS")) {
    char* rest = nullptr;
    range.first = range.last = std::strtoull(given, &rest, 10);
    if (*rest == '-') range.last = std::strtoull(rest + 1, nullptr, 10);
  }
  return range;
}

int agentsOfLargeFleet() {
  const char* given = std::getenv("TULIPPITCH_SOAK_AGENTS");
  return given ? std::atoi(given) : 2;
}

/// One seed's run.
class Soak {
 public:
  explicit Soak(std::uint64_t seed)
      : seed_(seed),
        random_(seed),
        fleet_({48 + 16 * below(2), kHeldBackDescriptors + 128 * (1 + below(4))},
               seed % kLargeFleetEvery == 0 ? agentsOfLargeFleet() : 2),
        clients_(std::make_unique<MisbehavingClients>()) {}

  void run() {
    check(fleet_.configure(version_ = 1, 0), "the first configuration is taken");
    serveAll();
    for (int action = 0; action < kActions; ++action) act();
    startAgain();
    serveAll();
    clients_.reset();
    serveAll();
    checkBounds();
    for (auto& process : fleet_.processes()) check(fleet_.stopPolitely(process), "ends by a polite stop");
  }

 private:
  std::int64_t below(std::int64_t bound) {
    return static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(bound));
  }

  void check(bool holds, const std::string& what) const {
    if (!holds) std::printf("seed %llu: not so: %s\n", static_cast<unsigned long long>(seed_), what.c_str());
    CHECK_TEXT(holds, what.c_str());
  }

  void note(const std::string& text) const {
    std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed_), text.c_str());
  }

  void act() {
    switch (below(10)) {
      case 0:
      case 1:
      case 2:
      case 3:
        addClients();
        break;
      case 4:
        note("clients gone");
        clients_ = std::make_unique<MisbehavingClients>();
        break;
      case 5:
        signalSeries(SIGHUP);
        break;
      case 6:
        changeConfiguration();
        break;
      case 7:
        takeDown(true);
        break;
      case 8:
        takeDown(false);
        break;
      default:
        startAgain();
        serveAll();
        break;
    }
    checkBounds();
  }

  FleetProcess& anyProcess() {
    auto& all = fleet_.processes();
    return all[static_cast<std::size_t>(below(static_cast<std::int64_t>(all.size())))];
  }

  Address anyDoor(const FleetProcess& process) {
    if (process.role == "agent") return below(4) ? fleet_.worker(process) : fleet_.own(process);
    switch (below(6)) {
      case 0:
        return fleet_.control(process);
      case 1:
        return fleet_.ready(process);
      case 2:
        return fleet_.own(process);
      case 3:
        return fleet_.peers(process);
      default:
        return fleet_.front(process);
    }
  }

  Misbehaviour anyMisbehaviour() {
    const auto flood = static_cast<std::size_t>(1 + below(kMostFlood));
    const std::string targets[] = {"/q/00000000000000aa",        "/q/",   "/api/Config.Replace",
                                   "/api/Servers.Heartbeat/i-2", "/jobs", "/api/Config.Read"};
    const auto& target = targets[static_cast<std::size_t>(below(std::size(targets)))];
    switch (below(14)) {
      case 0:
        return bad::trailersWithoutEnd(target, flood);
      case 1:
        return bad::chunkExtensionWithoutEnd(target, flood);
      case 2:
        return bad::chunksWithoutEnd(target, flood);
      case 3:
        return bad::bodyFarOverTheLimit(target, flood);
      case 4:
        return bad::bodyCutShort(target, kLargestBody, std::min(flood, kLargestBody - 1));
      case 5:
        return bad::chunkCutShort(target, kLargestBody, std::min(flood, kLargestBody - 1));
      case 6:
        return bad::headersWithoutEnd(target, flood);
      case 7:
        return bad::manyShortHeaders(target, 15000);
      case 8:
        return bad::bodyOfEmptyObjects(target, kLargestBody - 1000);
      case 9:
        return bad::answersNeverRead(target, flood / 64);
      case 10:
        return bad::halfARequestBehindAWholeOne(target);
      case 11:
        return bad::frameAnnounced(static_cast<std::uint32_t>(1 + below(1u << 28)), flood);
      case 12:
        return bad::silence();
      default:
        return bad::requestsUntilClosed(target);
    }
  }

  void addClients() {
    const auto& process = anyProcess();
    const auto count = static_cast<int>(1 + below(kMostClientsAtOnce));
    note(std::to_string(count) + " clients at " + process.name);
    clients_->add(anyDoor(process), anyMisbehaviour(), count);
  }

  void signalSeries(int signal) {
    const auto count = 1 + below(kMostSignals);
    note("signals " + std::to_string(signal));
    for (std::int64_t i = 0; i < count; ++i)
      if (const auto pid = anyProcess().pid; pid > 0) kill(pid, signal);
  }

  /// A change that is sent while clients press, machines are down and signals come; it need not be taken at once.
  void changeConfiguration() {
    note("change of the configuration");
    const int next = version_ + 1;
    for (int i = 0; i < ProcessFleet::kMachines; ++i) {
      if (fleet_.machine(i).pid < 0) continue;
      const auto status =
          ProcessFleet::call(fleet_.control(fleet_.machine(i)), "POST", "/api/Config.Replace",
                             ProcessFleet::configuration(next, static_cast<int>(1 + below(kMostQueues))),
                             {{"Based-On", std::to_string(version_)}})
              .status;
      if (status == 200) {
        version_ = next;
        return;
      }
    }
  }

  /// Two machines may be down at once, and any number of agents; who is down stays so until they are started again.
  void takeDown(bool politely) {
    auto& process = anyProcess();
    if (process.pid < 0) return;
    note((politely ? "stop of " : "kill of ") + process.name);
    if (politely)
      check(fleet_.stopPolitely(process), process.name + " ends by a polite stop");
    else
      fleet_.killHard(process);
    if (below(2)) fleet_.start(process, false);
  }

  void startAgain() {
    for (auto& process : fleet_.processes())
      if (process.pid < 0) fleet_.start(process, false);
  }

  void serveAll() {
    for (int i = 0; i < ProcessFleet::kMachines; ++i)
      check(fleet_.machine(i).pid < 0 || fleet_.servesOrdinaryCaller(fleet_.machine(i)),
            "an ordinary caller is served at " + fleet_.machine(i).name);
    check(fleet_.agent(0).pid < 0 || fleet_.servesWorker(fleet_.agent(0)), "a worker is served");
  }

  void checkBounds() {
    for (auto& process : fleet_.processes()) {
      if (process.pid < 0) continue;
      check(fleet_.lives(process), process.name + " lives");
      const auto use = useOf(process.pid);
      const auto memory = use.peakResidentBytes + use.unreadBytes;
      check(!kMemoryIsComparable || memory <= fleet_.limits().memoryMb * kMegabyte,
            process.name + " holds " + std::to_string(memory / kMegabyte) + " MB of " +
                std::to_string(fleet_.limits().memoryMb));
      check(use.descriptors <= fleet_.limits().fileHandles - kHeldBackDescriptors,
            process.name + " holds " + std::to_string(use.descriptors) + " descriptors of " +
                std::to_string(fleet_.limits().fileHandles - kHeldBackDescriptors));
    }
  }

  std::uint64_t seed_;
  std::mt19937_64 random_;
  ProcessFleet fleet_;
  std::unique_ptr<MisbehavingClients> clients_;
  int version_ = 0;
};

}  // namespace

TEST_GROUP(client_soak){};

TEST(client_soak, processes_outlast_clients_signals_restarts_and_changes) {
  const auto seeds = seedRange();
  for (auto seed = seeds.first; seed <= seeds.last; ++seed) {
    Soak(seed).run();
    std::printf("seed %llu held\n", static_cast<unsigned long long>(seed));
    std::fflush(stdout);
  }
}
