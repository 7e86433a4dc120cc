#include "simulator/faults.hpp"

/// Disks that stall, fill up or die.
namespace tulip::simulator {

FaultTable disksFaults() {
  return {
      {"slow-disk",
       [](World& world) { world.sim.at(world.faultTime(), [&world] { world.pick(Role::replica).syncUs = 400000; }); }},
      {"disk-dies-replica-lives",
       [](World& world) {
         world.sim.at(world.fromUs, [&world] {
           auto& old = world.pick(Role::replica);
           old.diskBlocked = true;
           world.deadDisks.insert(old.name);
           world.sim.start(world.sim.addHost(Role::replica, old.name + "x", old.settings.zone.value));
           world.sim.after(14 * kSecond, [&world, &old] {
             world.whenWhole([&world, &old] {
               for (auto* replica : world.sim.hosts(Role::replica)) {
                 if (replica == &old || replica->name == old.name + "x") continue;
                 world.retire(*replica);
                 return world.sim.crash(*replica);
               }
             });
           });
         });
       }},
      {"full-disk",
       [](World& world) {
         world.sim.at(world.faultTime(), [&world] { world.pick(Role::replica).diskBlocked = true; });
       }},
      {"disk-stalls",
       [](World& world) {
         for (int i = 0; i < 3; ++i)
           world.sim.at(world.faultTime(), [&world] {
             auto& replica = world.pick(Role::replica);
             replica.diskBlocked = true;
             world.sim.after(kSecond / 2 + world.sim.below(2 * kSecond), [&world, &replica] {
               world.sim.trouble();
               replica.diskBlocked = world.deadDisks.contains(replica.name);
             });
           });
       }},
  };
}

}  // namespace tulip::simulator
