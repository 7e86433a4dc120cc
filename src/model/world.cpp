#include "model/world.hpp"

#include <algorithm>
#include <utility>

#include "model/order_adapter.hpp"
#include "model/properties.hpp"

namespace tulip::model {

using namespace transport;

namespace {

constexpr Millis kHopMs = 5;            // a message's way, and a sync
constexpr Millis kTickMs = 4 * kHopMs;  // between two ticks of a daemon
constexpr std::size_t kSeeds = 3;

bool losesPower(const Choice& choice) { return choice.action == Action::losePower; }

Address addressOf(std::size_t index, int replacements, int port) {
  return Address("10.0." + std::to_string(replacements) + "." + std::to_string(index + 1) + ":" + std::to_string(port));
}

// The name of a type without its namespace, as the compiler spells it in the
// signature.
template <class Type>
constexpr std::string_view typeName() {
  std::string_view name = __PRETTY_FUNCTION__;
  constexpr std::string_view kBefore = "Type = ";
  name.remove_prefix(name.find(kBefore) + kBefore.size());
  name = name.substr(0, name.find_first_of(";]"));
  return name.substr(name.rfind(':') + 1);
}

constexpr int kPeerPort = 7000;
constexpr int kHttpPort = 8000;

}  // namespace

std::string_view kindOf(const Message& message) {
  return std::visit([](const auto& body) { return typeName<std::decay_t<decltype(body)>>(); }, message);
}

WorldPlan usualPlan() {
  WorldPlan plan;
  plan.bounds.leaseMs = 1000;
  plan.bounds.workerLeaseMs = 1000;
  plan.bounds.callMs = 4000;
  plan.bounds.catchUpMs = 4000;
  return plan;
}

World::World(const WorldPlan& plan) : plan_(plan) {
  for (int i = 0; i < plan.voters + plan.spares; ++i) addMachine(Role::replica, i + 1);
  for (int i = 0; i < plan.schedulers; ++i) addMachine(Role::scheduler, i + 1);
  for (auto& machine : machines_) {
    machine.settings.seeds = seedAddresses();
    machine.settings.firstBoot = true;
    start(machine, {});
  }
}

void World::addMachine(Role role, int number) {
  const auto index = machines_.size();
  Machine machine;
  machine.name = (role == Role::replica ? "r" : "s") + std::to_string(number);
  machine.clockBaseMs = kFirstClockMs * static_cast<Millis>(index + 1);
  auto& settings = machine.settings;
  settings.role = role;
  settings.name = machine.name;
  settings.peerAddress = addressOf(index, 0, kPeerPort);
  settings.http = addressOf(index, 0, kHttpPort);
  settings.zone = ZoneName("zone-" + std::to_string(number));
  settings.losses = plan_.losses;
  settings.bounds = plan_.bounds;
  settings.dataFolder = role == Role::replica ? "modelled" : "";
  machines_.push_back(std::move(machine));
}

std::vector<Address> World::seedAddresses() const {
  std::vector<Address> seeds;
  for (std::size_t i = 0; i < kSeeds && i < machines_.size(); ++i) seeds.push_back(machines_[i].settings.peerAddress);
  return seeds;
}

std::size_t World::indexOf(const Machine& machine) const {
  return static_cast<std::size_t>(&machine - machines_.data());
}

Machine* World::findMachine(std::string_view name) {
  const auto found = std::find_if(machines_.begin(), machines_.end(), [&](const Machine& m) { return m.name == name; });
  return found == machines_.end() ? nullptr : &*found;
}

const Machine* World::find(std::string_view name) const { return const_cast<World*>(this)->findMachine(name); }

const Machine* World::at(const Address& address) const {
  const auto found = std::find_if(machines_.begin(), machines_.end(),
                                  [&](const Machine& m) { return m.settings.peerAddress == address; });
  return found == machines_.end() ? nullptr : &*found;
}

Now World::clockOf(const Machine& machine) const { return {nowMs_ + machine.clockBaseMs, nowMs_}; }

// Choices.

bool World::apply(const Choice& choice) {
  switch (choice.action) {
    case Action::run:
      run(choice.amount);
      return choice.amount > 0;
    case Action::advance:
      advance(choice.amount);
      return choice.amount > 0;
    case Action::deliver:
    case Action::drop:
    case Action::duplicate:
    case Action::delay:
      return applyToFlight(choice);
    case Action::heal:
      return heal();
    default:
      break;
  }
  bool changed = false;
  if (choice.node == kAllNodes)
    changed = applyToAll(choice);
  else if (auto* machine = findMachine(choice.node))
    changed = applyToMachine(choice, *machine);
  if (changed) refreshSoundness();
  if (changed) observeWorld(*this);
  return changed;
}

bool World::applyToFlight(const Choice& choice) {
  const auto found = findFlight(choice);
  if (found == inFlight_.end()) return false;
  if (choice.action == Action::delay) {
    if (found->delayed) return false;
    found->delayed = true;
    return true;
  }
  const InFlight flight = *found;
  if (choice.action != Action::duplicate) inFlight_.erase(found);
  if (choice.action != Action::drop) arrive(flight);
  observeWorld(*this);
  return true;
}

bool World::applyToMachine(const Choice& choice, Machine& machine) {
  switch (choice.action) {
    case Action::sync:
      return syncOne(machine, true);
    case Action::failSync:
      return bearsLossOf(machine) && syncOne(machine, false);
    case Action::kill:
    case Action::losePower:
      return bearsLossOf(machine) && goDown(machine, losesPower(choice));
    case Action::start:
      return start(machine, choice.kind);
    case Action::wipe:
      return bearsEmptyDiskOf(machine) && wipe(machine);
    case Action::replace:
      return bearsLossOf(machine) && bearsEmptyDiskOf(machine) && replace(machine);
    case Action::cut:
      return bearsLossOf(machine) && cut(machine, choice.other);
    case Action::order:
      return order(machine, choice.amount);
    case Action::stop:
      if (!machine.node || !bearsLossOf(machine)) return false;
      step(machine, PoliteStop{});
      return true;
    default:
      return false;
  }
}

bool World::applyToAll(const Choice& choice) {
  bool changed = false;
  for (auto& machine : machines_) {
    if (choice.action == Action::kill || choice.action == Action::losePower)
      changed = goDown(machine, losesPower(choice)) || changed;
    if (choice.action == Action::start) changed = start(machine, choice.kind) || changed;
  }
  return changed;
}

bool World::start(Machine& machine, std::string_view clock) {
  if (machine.node) return false;
  ++machine.lives;
  if (machine.powerLost) machine.clockBaseMs += clock == kClockHigher ? kClockStepMs : -kClockStepMs;
  machine.powerLost = false;
  machine.diskFailed = false;
  machine.incarnation = "i" + std::to_string(++lives_);
  const auto freshId = DaemonId(machine.name + "-" + machine.incarnation);
  if (machine.isReplica()) {
    if (machine.disk->id.empty()) {
      machine.disk = std::make_shared<storage::Image>(*machine.disk);
      machine.disk->id = freshId;
    }
    machine.id = machine.disk->id;
  } else {
    machine.id = freshId;
  }
  machine.node = std::make_shared<daemon::Node>(
      daemon::makeNode(machine.settings, machine.id, machine.incarnation, *machine.disk, clockOf(machine)));
  machine.node->adapter = orderAdapter();
  return true;
}

bool World::goDown(Machine& machine, bool powerLost) {
  if (!machine.node) return false;
  machine.node.reset();
  if (!powerLost)
    for (auto& persist : std::exchange(machine.unsynced, {})) {
      machine.disk = std::make_shared<storage::Image>(*machine.disk);
      for (const auto& entry : persist.entries) storage::apply(*machine.disk, entry);
      observeSync(history_, machine, persist);
    }
  machine.unsynced.clear();
  machine.powerLost = powerLost;
  machine.soundSinceMs = -1;
  machine.settings.firstBoot = false;
  return true;
}

bool World::wipe(Machine& machine) {
  if (machine.node || !machine.isReplica()) return false;
  machine.disk = std::make_shared<storage::Image>();
  machine.diskEmptied = true;
  machine.configOnDisk = 0;
  return true;
}

bool World::replace(Machine& machine) {
  goDown(machine, true);
  wipe(machine);
  ++machine.replacements;
  const auto index = indexOf(machine);
  machine.settings.peerAddress = addressOf(index, machine.replacements, kPeerPort);
  machine.settings.http = addressOf(index, machine.replacements, kHttpPort);
  machine.settings.seeds = seedAddresses();
  return start(machine, kClockHigher);
}

bool World::cut(const Machine& from, const std::string& other) {
  const auto index = indexOf(from);
  const auto before = cuts_.size();
  if (!other.empty()) {
    const auto* to = find(other);
    if (!to || to == &from) return false;
    cuts_.insert({index, indexOf(*to)});
    return cuts_.size() > before;
  }
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    if (i == index) continue;
    cuts_.insert({index, i});
    cuts_.insert({i, index});
  }
  return cuts_.size() > before;
}

bool World::heal() {
  if (cuts_.empty()) return false;
  cuts_.clear();
  refreshSoundness();
  return true;
}

// An operator sends an order again until it has a clear answer, and may repeat
// one that was acknowledged.
bool World::order(Machine& machine, std::int64_t index) {
  if (!machine.node) return false;
  auto& record = history_.orders[index];
  if (record.refused) return false;
  ++record.sent;
  const auto requestId = ++machine.lastRequest;
  history_.requests[{indexOf(machine), machine.lives, requestId}] = {index, record.acknowledged};
  step(machine, requestOf(orderOf(index), requestId, plan_.bounds.callMs));
  return true;
}

void World::endFaults() {
  heal();
  for (auto& machine : machines_) {
    if (machine.node && (machine.diskFailed || machine.node->leavingSinceMs >= 0)) goDown(machine, false);
    start(machine, {});
  }
  refreshSoundness();
}

// What the plan bears.

bool World::isSound(std::size_t index) const {
  const auto& machine = machines_[index];
  if (!machine.node || machine.diskFailed) return false;
  return std::none_of(cuts_.begin(), cuts_.end(), [&](const auto& link) { return link.first == index; });
}

bool World::isLost(const Machine& machine) const {
  return machine.soundSinceMs < 0 || nowMs_ - machine.soundSinceMs < plan_.bounds.catchUpMs;
}

bool World::bearsLossOf(const Machine& machine) const {
  if (!machine.isReplica()) return true;
  const auto lost = std::count_if(machines_.begin(), machines_.end(), [&](const Machine& other) {
    return &other != &machine && other.isReplica() && isLost(other);
  });
  return lost < plan_.losses;
}

// Where all have gone down at once their disks come back with them, but for as
// many as may be lost.
bool World::bearsEmptyDiskOf(const Machine& machine) const {
  const auto emptied = std::count_if(machines_.begin(), machines_.end(),
                                     [&](const Machine& other) { return &other != &machine && other.diskEmptied; });
  const bool allDown =
      std::none_of(machines_.begin(), machines_.end(), [](const Machine& other) { return other.node != nullptr; });
  return emptied < plan_.losses && (allDown || bearsLossOf(machine));
}

void World::refreshSoundness() {
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    auto& machine = machines_[i];
    if (!isSound(i))
      machine.soundSinceMs = -1;
    else if (machine.soundSinceMs < 0)
      machine.soundSinceMs = nowMs_;
    if (!isLost(machine)) machine.diskEmptied = false;
  }
}

// Time, messages and disks.

void World::run(Millis spanMs) {
  const auto untilMs = nowMs_ + spanMs;
  while (nowMs_ < untilMs) {
    nowMs_ += kHopMs;
    const bool tickDue = nowMs_ % kTickMs == 0;
    if (tickDue) tickAll();
    deliverAll();
    syncAll();
    if (!tickDue) continue;
    refreshSoundness();
    observeWorld(*this);
  }
}

void World::advance(Millis spanMs) {
  const auto untilMs = nowMs_ + spanMs;
  while (nowMs_ < untilMs) {
    nowMs_ += std::min(kTickMs, untilMs - nowMs_);
    tickAll();
  }
  refreshSoundness();
  observeWorld(*this);
}

void World::tickAll() {
  for (auto& machine : machines_)
    if (machine.node) step(machine, Tick{});
}

void World::deliverAll() {
  std::vector<InFlight> arriving;
  std::vector<InFlight> staying;
  for (auto& flight : inFlight_)
    (flight.delayed || nowMs_ < flight.arrivesMs ? staying : arriving).push_back(std::move(flight));
  inFlight_ = std::move(staying);
  for (const auto& flight : arriving) arrive(flight);
}

void World::syncAll() {
  for (auto& machine : machines_)
    for (auto count = machine.unsynced.size(); count > 0 && machine.node; --count) syncOne(machine, true);
}

bool World::syncOne(Machine& machine, bool ok) {
  if (!machine.node || machine.unsynced.empty()) return false;
  if (machine.diskFailed) ok = false;
  const auto persist = std::move(machine.unsynced.front());
  machine.unsynced.erase(machine.unsynced.begin());
  if (ok) {
    if (machine.disk.use_count() > 1) machine.disk = std::make_shared<storage::Image>(*machine.disk);
    for (const auto& entry : persist.entries) storage::apply(*machine.disk, entry);
    observeSync(history_, machine, persist);
  } else {
    machine.diskFailed = true;
  }
  step(machine, Persisted{persist.ticket, ok});
  return true;
}

std::vector<InFlight>::iterator World::findFlight(const Choice& choice) {
  const auto* from = find(choice.node);
  const auto* to = find(choice.other);
  if (!from || !to) return inFlight_.end();
  const auto fromIndex = indexOf(*from);
  return std::find_if(inFlight_.begin(), inFlight_.end(), [&](const InFlight& flight) {
    return flight.from == fromIndex && flight.to == to->settings.peerAddress && kindOf(*flight.message) == choice.kind;
  });
}

bool World::reachable(std::size_t from, std::size_t to) const { return !cuts_.contains({from, to}); }

void World::arrive(const InFlight& flight) {
  const auto* found = at(flight.to);
  if (!found) return;
  auto& machine = machines_[indexOf(*found)];
  if (!machine.node || !reachable(flight.from, indexOf(machine))) return;
  step(machine, Heard{flight.fromId, flight.fromAddress, *flight.message, flight.to, flight.fromIncarnation,
                      flight.toIncarnation});
}

void World::step(Machine& machine, const Event& event) {
  if (machine.node.use_count() > 1) machine.node = std::make_shared<daemon::Node>(*machine.node);
  Outbox out;
  daemon::nodeStep(*machine.node, event, clockOf(machine), out);
  settle(machine, std::move(out));
}

// A small message arrives with the next hop, unless a state is moving on its way.
Millis World::arrivalOf(std::size_t from, std::size_t to, const Message& message) {
  if (plan_.stateMs == 0) return 0;
  auto& busyUntilMs = busyUntilMs_[{from, to}];
  const auto* promise = std::get_if<JobLogPromise>(&message);
  if (promise && promise->ok && !promise->probe) busyUntilMs = std::max(busyUntilMs, nowMs_) + plan_.stateMs;
  return busyUntilMs;
}

void World::settle(Machine& machine, Outbox&& out) {
  const auto index = indexOf(machine);
  for (auto& persist : out.persists) machine.unsynced.push_back(std::move(persist));
  for (auto& send : out.sends) {
    observeSend(history_, machine, send.message);
    const auto* to = at(send.to);
    if (!to || !reachable(index, indexOf(*to))) continue;
    const auto arrivesMs = arrivalOf(index, indexOf(*to), send.message);
    inFlight_.push_back({index, machine.settings.peerAddress, machine.id, send.to,
                         std::make_shared<const Message>(std::move(send.message)), machine.node->incarnations.self,
                         send.toIncarnation, false, arrivesMs});
  }
  for (const auto& answer : out.answers) observeAnswer(history_, machine, index, answer);
  observeMachine(history_, machine);
  if (out.done) goDown(machine, false);
}

}  // namespace tulip::model
