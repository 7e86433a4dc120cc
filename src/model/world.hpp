#pragma once
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "daemon/node.hpp"
#include "model/choice.hpp"
#include "model/history.hpp"

namespace tulip::model {

/// How large a world is, and how many losses at once it must bear.
struct WorldPlan {
  int voters = 3;
  int spares = 1;
  int schedulers = 2;
  std::int64_t losses = 1;
  Millis stateMs = 0;  ///< a promise's whole state takes this long on its way, and what is sent after it waits
  Bounds bounds;
};

/// The plan that searches and walks start from; its bounds have the ratios of a
/// deployment.
WorldPlan usualPlan();

/// Between the clocks of two lives that a loss of power divides, and between
/// those of two machines.
inline constexpr Millis kClockStepMs = 3600000;
inline constexpr Millis kFirstClockMs = 1000 * kClockStepMs;

/// Every node at once, as the operand of `kill` and `lose-power`.
inline constexpr std::string_view kAllNodes = "all";

/// One daemon, its disk and its clock. Copies share what neither has changed
/// since.
struct Machine {
  std::string name;
  Settings settings;
  std::shared_ptr<daemon::Node> node;  ///< null while it is down
  std::shared_ptr<storage::Image> disk = std::make_shared<storage::Image>();
  std::vector<transport::Persist> unsynced;
  DaemonId id;
  std::string incarnation;
  int lives = 0;
  int replacements = 0;
  Millis clockBaseMs = 0;    ///< its steady clock shows the world's time and this
  Millis soundSinceMs = -1;  ///< since when it has been up and reachable; -1: it is not
  bool powerLost = false;    ///< went down by a loss of power: its clock starts anew
  bool diskEmptied = false;  ///< lost its disk and has not had the time to catch up
  bool diskFailed = false;
  std::uint64_t lastRequest = 0;
  Version configOnDisk = 0;  ///< the newest version that its disk has accepted

  bool isReplica() const { return settings.role == Role::replica; }
};

struct InFlight {
  std::size_t from = 0;
  Address fromAddress;
  DaemonId fromId;
  Address to;
  std::shared_ptr<const transport::Message> message;
  Incarnation fromIncarnation;
  Incarnation toIncarnation;
  bool delayed = false;
  Millis arrivesMs = 0;  ///< not before then by itself
};

/// A whole cluster as one copyable value: every choice changes it in a
/// determined way.
class World {
 public:
  explicit World(const WorldPlan& plan);

  /// Applies the choice. False when it means nothing here (no such message, a
  /// node that is down already, a loss beyond what the plan bears): then
  /// nothing has changed.
  bool apply(const Choice& choice);

  /// Time passes without new faults; messages arrive in order and writes are
  /// synced.
  void run(Millis spanMs);
  /// Cuts heal, and what is down starts.
  void endFaults();

  const WorldPlan& plan() const { return plan_; }
  const std::vector<Machine>& machines() const { return machines_; }
  const std::vector<InFlight>& inFlight() const { return inFlight_; }
  const std::set<std::pair<std::size_t, std::size_t>>& cuts() const { return cuts_; }
  const History& history() const { return history_; }
  History& history() { return history_; }
  Millis nowMs() const { return nowMs_; }
  transport::Now clockOf(const Machine& machine) const;
  const Machine* find(std::string_view name) const;
  const Machine* at(const Address& address) const;

 private:
  Machine* findMachine(std::string_view name);
  void addMachine(Role role, int number);
  std::vector<Address> seedAddresses() const;
  std::size_t indexOf(const Machine& machine) const;

  bool applyToFlight(const Choice& choice);
  bool applyToMachine(const Choice& choice, Machine& machine);
  bool applyToAll(const Choice& choice);
  bool start(Machine& machine, std::string_view clock);
  bool goDown(Machine& machine, bool powerLost);
  bool wipe(Machine& machine);
  bool replace(Machine& machine);
  bool cut(const Machine& from, const std::string& other);
  bool heal();
  bool order(Machine& machine, std::int64_t index);

  void step(Machine& machine, const transport::Event& event);
  void settle(Machine& machine, transport::Outbox&& out);
  Millis arrivalOf(std::size_t from, std::size_t to, const transport::Message& message);
  void advance(Millis spanMs);
  void tickAll();
  void deliverAll();
  void arrive(const InFlight& flight);
  bool syncOne(Machine& machine, bool ok);
  void syncAll();
  std::vector<InFlight>::iterator findFlight(const Choice& choice);

  bool reachable(std::size_t from, std::size_t to) const;
  bool isSound(std::size_t index) const;
  bool isLost(const Machine& machine) const;
  bool bearsLossOf(const Machine& machine) const;
  bool bearsEmptyDiskOf(const Machine& machine) const;
  void refreshSoundness();

  WorldPlan plan_;
  std::vector<Machine> machines_;
  std::vector<InFlight> inFlight_;
  std::set<std::pair<std::size_t, std::size_t>> cuts_;
  std::map<std::pair<std::size_t, std::size_t>, Millis> busyUntilMs_;  ///< ways on which a state is moving
  Millis nowMs_ = 0;
  int lives_ = 0;
  History history_;
};

/// The kind of a message as choices name it.
std::string_view kindOf(const transport::Message& message);

}  // namespace tulip::model
