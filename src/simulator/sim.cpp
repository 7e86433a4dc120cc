#include "simulator/sim.hpp"

#include <array>

namespace tulip::simulator {

using namespace transport;

std::string zoneOf(const FleetPlan& fleet, int worker) {
  return std::string(1, static_cast<char>('a' + worker % fleet.zones));
}
std::string rackOf(const FleetPlan& fleet, int worker) {
  return "r" + zoneOf(fleet, worker) + "-" + std::to_string(worker / fleet.zones / fleet.rackSize + 1);
}
std::string kindOf(const FleetPlan& fleet, int worker) { return "kind-" + std::to_string(worker % fleet.kinds + 1); }
std::string poolOf(const FleetPlan& fleet, int worker) {
  return fleet.sizedPool && fleet.kinds > 0 ? kindOf(fleet, worker) : "side";
}

Sim::Sim(std::uint64_t seed, FleetPlan given) : plan(std::move(given)), seed_(seed), random_(seed) {
  auto zone = [&](int i) { return zoneOf(plan, i); };
  const int machines = plan.replicas + plan.schedulers;
  const std::array<int, 3> seeding =
      plan.sharedMachines ? std::array{0, plan.replicas - 1, machines - 1} : std::array{0, 1, 2};
  for (const int i : seeding) seeds_.emplace_back("10.0.0." + std::to_string(i + 1) + ":7000");
  if (plan.sharedMachines) {
    for (int i = 0; i < machines; ++i) addSharedMachine("edge-" + std::to_string(i + 1), zone(i), i < plan.replicas);
  } else {
    for (int i = 0; i < plan.replicas; ++i) addHost(Role::replica, "replica-" + std::to_string(i + 1), zone(i));
    for (int i = 0; i < plan.schedulers; ++i) addHost(Role::scheduler, "scheduler-" + std::to_string(i + 1), zone(i));
  }
  for (int i = 0; i < plan.workers; ++i) {
    const auto number = std::to_string(i + 1);
    auto& agent = addHost(Role::agent, "agent-" + number, zone(i), "worker-" + number);
    simWorkers_.push_back(std::make_unique<SimWorker>());
    auto& simWorker = *simWorkers_.back();
    simWorker.agent = &agent;
    simWorker.worker.traits.name = "worker-" + number;
    simWorker.worker.traits.pool = poolOf(plan, i);
    simWorker.worker.traits.slots = plan.slots;
    simWorker.worker.traits.selfStop = plan.selfStop;
    simWorker.worker.traits.capacity = plan.capacity;
    simWorker.worker.traits.holdMostMs = plan.holdMostMs;
    simWorker.worker.traits.gangWaitMs = plan.bounds.gangWaitMs;
    simWorker.worker.traits.checkpointMs = plan.bounds.checkpointMs;
    simWorker.worker.traits.farFactor = plan.bounds.farFactor;
    if (plan.rackSize > 0) simWorker.worker.traits.labels["rack"] = rackOf(plan, i);
    if (plan.kinds > 0) simWorker.worker.traits.labels["kind"] = kindOf(plan, i);
    simWorker.clockRate =
        1.0 -
        0.0001 * static_cast<double>(std::stoul(commands::digestOf(std::to_string(seed) + number), nullptr, 16) % 200);
  }
  after(plan.workerStepUs, [this] { gangTick(); });
}

std::int64_t Sim::below(std::int64_t bound) {
  return bound <= 1 ? 0 : static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(bound));
}

double Sim::unit() { return static_cast<double>(random_() >> 11) / 9007199254740992.0; }

bool Sim::chance(double odds) { return odds > 0 && unit() < odds; }

void Sim::mark(std::string_view text) {
  if (onMark) onMark(text);
  for (unsigned char c : text) trace_ = (trace_ ^ c) * 1099511628211ull;
  trace_ = (trace_ ^ static_cast<std::uint64_t>(now_)) * 1099511628211ull;
}

void Sim::at(Micros whenUs, std::function<void()> act) {
  due_.push({std::max(whenUs, now_), ++serial_, std::move(act)});
}

void Sim::runUntil(Micros untilUs) {
  while (!due_.empty() && due_.top().whenUs <= untilUs) {
    auto next = std::move(const_cast<Due&>(due_.top()));
    due_.pop();
    now_ = next.whenUs;
    ++events_;
    next.act();
  }
  now_ = std::max(now_, untilUs);
}

bool Sim::isNodeTroubled(const Host& host, Micros sinceUs) const {
  constexpr Micros kSlowSyncUs = 5000;
  return (!host.up && !host.gone) || host.frozenUntilUs > sinceUs || host.diskBlocked || host.syncUs > kSlowSyncUs;
}

bool Sim::coreTroubled(Millis withinMs) const {
  if (now_ - coreTroubleUs_ <= withinMs * 1000 || network_.anyCut() || plan.network.drop > 0 || plan.network.late > 0)
    return true;
  const Micros sinceUs = std::max<Micros>(0, now_ - withinMs * 1000);
  return std::any_of(hosts_.begin(), hosts_.end(), [&](const auto& host) {
    return host->settings.role != Role::agent && isNodeTroubled(*host, sinceUs);
  });
}

bool Sim::troubled(Millis withinMs) const {
  if (now_ - troubleUs_ <= withinMs * 1000 || network_.anyCut() || plan.network.drop > 0 || plan.network.late > 0)
    return true;
  const Micros since = std::max<Micros>(0, now_ - withinMs * 1000);
  for (const auto& host : hosts_)
    if (isNodeTroubled(*host, since)) return true;
  for (const auto& simWorker : simWorkers_) {
    const auto& traits = simWorker->worker.traits;
    const bool gone = simWorker->gone || simWorker->agent->gone;
    if ((!simWorker->up && !gone) || simWorker->cut || simWorker->frozenUntilUs > since || traits.mute ||
        traits.standsStill || traits.slowFactor > 1 || traits.failEvery > 0 || traits.failShare > 0)
      return true;
  }
  return false;
}

Micros Sim::travelTime() { return plan.network.leastUs + below(plan.network.mostUs - plan.network.leastUs); }

std::vector<Host*> Sim::hosts(Role role) const {
  std::vector<Host*> found;
  for (const auto& host : hosts_)
    if (host->settings.role == role) found.push_back(host.get());
  return found;
}

Host* Sim::leader() {
  for (const auto& host : hosts_)
    if (host->up && host->node->scheduler && scheduler::leads(*host->node->scheduler, clock(*host))) return host.get();
  return nullptr;
}

}  // namespace tulip::simulator
