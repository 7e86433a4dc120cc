#include "simulator/faults.hpp"

/// Replicas that lose their disks or are replaced.
namespace tulip::simulator {

namespace {

void replaceOne(World& world) {
  auto& old = world.pick(Role::replica);
  world.sim.chance(0.5) ? world.replacePlanned(old) : world.replaceReplica(old, false);
}

}  // namespace

FaultTable membershipFaults() {
  return {
      {"replica-disk-lost",
       [](World& world) {
         world.sim.at(world.faultTime(), [&world] { world.replaceReplica(world.pick(Role::replica), true); });
       }},
      {"replica-replaced-elsewhere",
       [](World& world) {
         world.sim.at(world.faultTime(), [&world] { world.replaceReplica(world.pick(Role::replica), false); });
       }},
      {"replicas-replaced-twice",
       [](World& world) {
         world.sim.at(world.fromUs, [&world] { world.replaceReplica(world.pick(Role::replica), false); });
         world.sim.at(world.fromUs + 14 * kSecond, [&world] {
           world.whenWhole([&world] { world.replaceReplica(world.pick(Role::replica), false); });
         });
       }},
      {"all-replicas-emptied",
       [](World& world) {
         world.judge.stalls = false;
         world.sim.at(world.faultTime(), [&world] {
           for (auto* replica : world.sim.hosts(Role::replica)) world.replaceReplica(*replica, true);
         });
       }},
      {"two-replicas-emptied",
       [](World& world) {
         world.judge.stalls = false;
         world.sim.at(world.faultTime(), [&world] {
           auto replicas = world.sim.hosts(Role::replica);
           for (std::size_t i = 0; i < 2; ++i) world.replaceReplica(*replicas[i], true);
         });
       }},
      {"replica-lags-then-emptied",
       [](World& world) {
         world.sim.at(world.faultTime(), [&world] {
           auto* leader = world.sim.leader();
           if (!leader) return;
           auto replicas = world.sim.hosts(Role::replica);
           const auto first = static_cast<std::size_t>(world.sim.below(3));
           auto &lags = *replicas[first], &emptied = *replicas[(first + 1) % 3];
           world.sim.cut(*leader, lags);
           world.sim.cut(lags, *leader);
           world.sim.after(kSecond / 2 + world.sim.below(kSecond), [&world, leader, &emptied] {
             world.crashFor(*leader, 2 * kSecond);
             world.replaceReplica(emptied, true);
             world.sim.heal();
           });
         });
       }},
      {"core-machine-replaced",
       [](World& world) {
         world.sim.at(world.faultTime(), [&world] {
           auto& replica = world.pick(Role::replica);
           for (auto* scheduler : world.sim.hosts(Role::scheduler)) {
             if (scheduler->settings.zone != replica.settings.zone || world.retired.contains(scheduler->name)) continue;
             world.sim.crash(*scheduler);
             world.retire(*scheduler);
             auto& fresh = world.sim.addHost(Role::scheduler, scheduler->name + "x", scheduler->settings.zone.value);
             world.sim.after(300000 + world.sim.below(kSecond), [&world, &fresh] { world.sim.start(fresh); });
             break;
           }
           world.replaceReplica(replica, false);
         });
       }},
      {"replica-replaced-planned",
       [](World& world) { world.sim.at(world.fromUs, [&world] { world.replacePlanned(world.pick(Role::replica)); }); }},
      {"replicas-replaced-in-turn",
       [](World& world) {
         world.endUs += 30 * kSecond;
         world.quietUs += 30 * kSecond;
         for (int i = 0; i < 4; ++i)
           world.sim.at(world.fromUs + i * (8 * kSecond),
                        [&world] { world.whenAffordable([&world] { replaceOne(world); }); });
       }},
  };
}

}  // namespace tulip::simulator
