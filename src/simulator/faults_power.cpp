#include "simulator/faults.hpp"

/// Machines that lose power, alone and all at once.
namespace tulip::simulator {

namespace {

Host& otherReplica(World& world, const Host& but) {
  while (true)
    if (auto& replica = world.pick(Role::replica); &replica != &but) return replica;
}

/// All of the control side goes, mostly by a loss of power.
void loseCoreOneWay(World& world) {
  constexpr double kPowerShare = 0.7;
  world.loseCore(world.sim.chance(kPowerShare));
}

void acceptedThenLost(World& world) {
  world.submitThen(LineLoad{"checkout"}, [&world](const std::string&) { loseCoreOneWay(world); });
}

void configuredThen(World& world, std::function<void()> act) {
  const auto mark = "mark-" + std::to_string(++world.nextMark);
  world.changeConfig("PATCH", "{\"pendings\":{\"" + mark + "\":{\"rank\":1}}}", mark, "t-" + mark, "",
                     [act = std::move(act)](bool acknowledged) {
                       if (acknowledged) act();
                     });
}

/// Soon after a call was sent, answered or not.
Micros soonAfterSending(World& world) { return 5000 + world.sim.below(395000); }

}  // namespace

FaultTable powerFaults() {
  return {
      {"replicas-power-lost",
       [](World& world) {
         world.sim.at(world.faultTime(), [&world] {
           for (auto* replica : world.sim.hosts(Role::replica))
             world.powerLossFor(*replica, 100000 + world.sim.below(kSecond));
         });
       }},
      {"power-lost-after-yes",
       [](World& world) {
         for (int i = 0; i < 2; ++i)
           world.sim.at(world.faultTime(), [&world] {
             for (auto* replica : world.sim.hosts(Role::replica)) replica->syncUs = 15000;
             world.submitThen(LineLoad{"checkout"}, [&world](const std::string&) {
               for (auto* replica : world.sim.hosts(Role::replica))
                 world.powerLossFor(*replica, 100000 + world.sim.below(kSecond));
               if (auto* leader = world.sim.leader()) world.powerLossFor(*leader, kSecond);
             });
           });
       }},
      {"all-power-lost",
       [](World& world) {
         world.sim.at(world.faultTime(), [&world] {
           for (const auto& host : world.sim.all())
             world.powerLossFor(*host, kSecond / 2 + world.sim.below(2 * kSecond));
           for (const auto& simWorker : world.sim.simWorkers()) {
             auto& each = *simWorker;
             world.sim.crashWorker(each);
             world.sim.after(kSecond / 2 + world.sim.below(2 * kSecond),
                             [&world, &each] { world.sim.startWorker(each); });
           }
         });
       }},
      {"replica-power-lost-then-replaced",
       [](World& world) {
         world.sim.at(world.fromUs, [&world] {
           auto& first = world.pick(Role::replica);
           world.powerLossFor(first, kSecond / 2 + world.sim.below(kSecond));
           world.sim.after(2 * kSecond, [&world, &first] {
             world.whenAffordable([&world, &first] { world.replaceReplica(otherReplica(world, first), false); });
           });
         });
       }},
      {"replicas-power-lost-in-turn",
       [](World& world) {
         for (int i = 0; i < 4; ++i)
           world.sim.at(world.faultTime(), [&world] {
             world.whenAffordable(
                 [&world] { world.powerLossFor(world.pick(Role::replica), world.sim.below(3 * kSecond)); });
           });
       }},
      {"core-lost-after-accept",
       [](World& world) {
         for (int i = 0; i < 2; ++i) world.sim.at(world.faultTime(), [&world] { acceptedThenLost(world); });
       }},
      {"core-lost-after-configuration",
       [](World& world) {
         for (int i = 0; i < 2; ++i)
           world.sim.at(world.faultTime(), [&world] { configuredThen(world, [&world] { loseCoreOneWay(world); }); });
       }},
      {"core-lost-after-sending",
       [](World& world) {
         for (int i = 0; i < 2; ++i)
           world.sim.at(world.faultTime(), [&world] {
             world.markOnce(false);
             world.newJob(world.queueOf("checkout"));
             world.sim.after(soonAfterSending(world), [&world] { loseCoreOneWay(world); });
           });
       }},
      {"core-lost-with-a-disk",
       [](World& world) {
         world.sim.at(world.faultTime(), [&world] {
           configuredThen(world, [&world] {
             auto& emptied = world.pick(Role::replica);
             world.loseCore(true);
             world.sim.loseDisk(emptied);
           });
         });
       }},
  };
}

}  // namespace tulip::simulator
