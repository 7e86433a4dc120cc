#include <algorithm>

#include "model/order_adapter.hpp"
#include "model/properties.hpp"

namespace tulip::model {
namespace {

constexpr int kLeasesToSettle = 30;
constexpr int kLeasesToAnswer = 8;
constexpr int kLeasesToLead = 2;
constexpr int kLeasesToKeep = 6;

const transport::Membership* newestMembership(const World& world) {
  const transport::Membership* newest = nullptr;
  for (const auto& machine : world.machines()) {
    if (!machine.node || !machine.isReplica()) continue;
    const auto& membership = machine.node->replica->image.membership;
    if (!newest || newest->version < membership.version) newest = &membership;
  }
  return newest;
}

const Machine* holderOf(const World& world, const transport::Voter& voter) {
  const auto* machine = world.at(voter.peerAddress);
  return machine && machine->node && machine->isReplica() && machine->id == voter.id ? machine : nullptr;
}

// A replica that is no voter holds no session.
bool isSpare(const Machine& machine, const transport::Membership& membership) {
  return machine.isReplica() && std::none_of(membership.voters.begin(), membership.voters.end(),
                                             [&](const transport::Voter& voter) { return voter.id == machine.id; });
}

const Machine* leaderOf(const World& world) {
  const auto& machines = world.machines();
  const auto found = std::find_if(machines.begin(), machines.end(), [&](const Machine& machine) {
    return machine.node && machine.node->scheduler &&
           scheduler::leads(*machine.node->scheduler, world.clockOf(machine));
  });
  return found == machines.end() ? nullptr : &*found;
}

// What is still missing of a cluster that serves; empty when nothing is.
std::string missing(const World& world) {
  const auto* membership = newestMembership(world);
  if (!membership || membership->voters.empty()) return "no membership";
  if (static_cast<int>(membership->voters.size()) < world.plan().voters)
    return "the membership has " + std::to_string(membership->voters.size()) + " voters";
  for (const auto& voter : membership->voters) {
    const auto* machine = holderOf(world, voter);
    if (!machine) return "voter " + voter.id.value + " is gone";
    const auto& replica = *machine->node->replica;
    if (replica.image.membership != *membership) return machine->name + " is in another membership";
    if (!replica.image.voting) return machine->name + " has not caught up";
    if (!control::hasQuorumLease(replica, world.clockOf(*machine))) return machine->name + " sees no majority";
  }
  if (!leaderOf(world)) return "no scheduler leads";
  const auto& inForce = world.history().inForce;
  const Version newest = inForce.empty() ? 0 : inForce.rbegin()->first;
  for (const auto& machine : world.machines()) {
    if (isSpare(machine, *membership)) continue;
    const auto& client = daemon::clientOf(*machine.node);
    if (!control::sessionLive(client, world.clockOf(machine))) return machine.name + " has no session";
    if (client.configVersion < std::max(newest, world.history().acknowledgedVersion))
      return machine.name + " has configuration " + std::to_string(client.configVersion);
  }
  return {};
}

bool runUntilServing(World& world) {
  for (int lease = 0; lease < kLeasesToSettle; ++lease) {
    world.run(world.plan().bounds.leaseMs);
    if (missing(world).empty()) return true;
  }
  return false;
}

std::int64_t nextOrder(const World& world) {
  const auto& inForce = world.history().inForce;
  const auto current = inForce.empty() ? -1 : inForce.rbegin()->second.order;
  const auto number = current < 0 ? 0 : static_cast<std::int64_t>(orderOf(current).number);
  return number * kOrdersPerNumber + kOrdersPerNumber - 1;
}

bool isAcknowledged(World& world, const std::string& node, std::int64_t order) {
  const auto sentBefore = world.history().requests.size();
  if (!world.apply({Action::order, node, {}, {}, order})) return false;
  for (int lease = 0; lease < kLeasesToAnswer && world.history().requests.size() > sentBefore; ++lease)
    world.run(world.plan().bounds.leaseMs);
  const auto* record = world.history().recordOf(order);
  return record && record->acknowledged;
}

// Every node takes the newest acknowledged order again, and a new one.
void checkOrders(World& world) {
  auto& history = world.history();
  for (const auto& machine : world.machines())
    for (const auto& [order, record] : std::map(history.orders))
      if (record.acknowledged && record.version == history.newestVersion)
        world.apply({Action::order, machine.name, {}, {}, order});
  world.run(world.plan().bounds.leaseMs);
  const auto voter = holderOf(world, newestMembership(world)->voters.front())->name;
  for (const auto& node : {std::string("s1"), voter}) {
    const auto order = nextOrder(world);
    if (!isAcknowledged(world, node, order))
      history.fail(std::string(property::kProgress),
                   node + " does not get order " + std::to_string(order) + " acknowledged");
  }
}

}  // namespace

std::vector<Violation> checkProgress(World world) {
  world.endFaults();
  // Requests that are under way come to their deadlines.
  world.run(world.plan().bounds.callMs);
  if (!runUntilServing(world))
    world.history().fail(std::string(property::kProgress), missing(world));
  else if (world.history().violations.empty())
    checkOrders(world);
  return world.history().violations;
}

std::vector<Violation> checkRecovery(World world) {
  auto& history = world.history();
  const auto fail = [&](const std::string& detail) {
    history.fail(std::string(property::kRecovery), detail);
    return history.violations;
  };
  world.endFaults();
  world.run(kLeasesToLead * world.plan().bounds.leaseMs);
  const auto* leader = leaderOf(world);
  if (!leader) return fail("no scheduler leads after " + std::to_string(kLeasesToLead) + " leases");
  const auto term = leader->node->scheduler->term;
  for (int lease = 1; lease <= kLeasesToKeep; ++lease) {
    world.run(world.plan().bounds.leaseMs);
    leader = leaderOf(world);
    if (!leader || leader->node->scheduler->term != term)
      return fail("term " + std::to_string(term.number) + " is led for " + std::to_string(lease) + " leases only");
  }
  return history.violations;
}

}  // namespace tulip::model
