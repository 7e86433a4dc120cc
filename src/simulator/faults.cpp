#include "simulator/faults.hpp"

#include <algorithm>

namespace tulip::simulator {

const FaultTable& faults() {
  static const FaultTable all = [] {
    FaultTable made;
    for (const auto& table : {processesFaults(), powerFaults(), disksFaults(), membershipFaults(), workersFaults(),
                              networkFaults(), callersFaults(), queuesFaults(), mixedFaults()})
      made.insert(table.begin(), table.end());
    return made;
  }();
  return all;
}

void strike(World& world, Host& host) {
  world.result.placed = true;
  switch (world.plan.place->blow) {
    case Blow::crash:
      return world.crashFor(host, kSecond);
    case Blow::power:
      for (auto* replica : world.sim.hosts(Role::replica))
        if (replica != &host && !world.retired.contains(replica->name))
          world.powerLossFor(*replica, kSecond / 2 + world.sim.below(kSecond));
      return world.powerLossFor(host, kSecond);
    case Blow::disk:
      return world.replaceReplica(host, true);
    case Blow::freeze:
      return world.sim.freeze(host, 4 * kSecond);
    case Blow::cut:
      world.sim.cutOff(host);
      return world.sim.after(4 * kSecond, [&world] { world.sim.heal(); });
  }
}

std::vector<std::string> faultNames() {
  std::vector<std::string> names;
  for (const auto& [name, act] : faults()) names.push_back(name);
  return names;
}

std::vector<std::string> operationNames() {
  std::vector<std::string> names;
  for (const auto& [name, act] : operations()) names.push_back(name);
  return names;
}

DayPlan operationDay(const std::string& operation, std::uint64_t seed) {
  DayPlan plan;
  plan.seed = seed;
  plan.operation = operation;
  plan.load.clear();
  plan.seconds = operation == "cohort-change" ? 24 : 12;
  plan.fleet.network.mostUs = 400;
  return plan;
}

std::vector<std::string> drawFaults(std::uint64_t seed) {
  static const std::set<std::string> takesAReplica{"replica-disk-lost",
                                                   "replica-replaced-elsewhere",
                                                   "replicas-replaced-twice",
                                                   "last-fault",
                                                   "full-disk",
                                                   "cell-lost",
                                                   "replica-lags-then-emptied",
                                                   "disk-dies-replica-lives",
                                                   "core-machine-replaced",
                                                   "core-lost-with-a-disk",
                                                   "all-power-lost-with-disks",
                                                   "all-power-lost-with-disks-in-a-takeover",
                                                   "replica-power-lost-then-replaced",
                                                   "replicas-power-lost-in-turn",
                                                   "replica-replaced-planned",
                                                   "replicas-replaced-in-turn",
                                                   "seeds-change",
                                                   "core-storm",
                                                   "core-storm-under-orders"};
  auto names = faultNames();
  std::erase(names, "two-replicas-emptied");
  std::erase(names, "all-replicas-emptied");
  // A whole configuration of another fault would take their pools away.
  std::erase(names, "queue-moved");
  std::erase(names, "queue-and-pool-removed");
  std::mt19937_64 random(seed * 7919);
  std::vector<std::string> drawn{names[random() % names.size()]};
  if (random() % 3 == 0) return drawn;
  auto second = names[random() % names.size()];
  while (takesAReplica.contains(drawn[0]) && takesAReplica.contains(second)) second = names[random() % names.size()];
  drawn.push_back(std::move(second));
  return drawn;
}

}  // namespace tulip::simulator
