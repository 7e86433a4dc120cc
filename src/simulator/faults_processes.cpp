#include "simulator/faults.hpp"

/// Killed, frozen and restarted processes, and clocks that are stepped.
namespace tulip::simulator {
namespace {

/// Workers whose reports have place for few ends.
void listFewEnds(World& world) {
  constexpr std::size_t kMostEndsListed = 2;
  world.sim.at(world.fromUs, [&world] {
    for (const auto& simWorker : world.sim.simWorkers()) simWorker->worker.traits.mostEndsListed = kMostEndsListed;
  });
}

}  // namespace

FaultTable processesFaults() {
  return {
      {"leader-kill",
       [](World& world) {
         world.sim.at(world.faultTime(), [&world] {
           if (auto* leader = world.sim.leader()) world.crashFor(*leader, kSecond + world.sim.below(3 * kSecond));
         });
       }},
      {"leader-freeze",
       [](World& world) {
         world.sim.at(world.faultTime(), [&world] {
           if (auto* leader = world.sim.leader()) world.sim.freeze(*leader, kSecond / 2 + world.sim.below(5 * kSecond));
         });
       }},
      {"leader-kill-after-yes",
       [](World& world) {
         for (int i = 0; i < 2; ++i)
           world.sim.at(world.faultTime(), [&world] {
             world.submitThen(LineLoad{"checkout"}, [&world](const std::string&) {
               if (auto* leader = world.sim.leader()) world.crashFor(*leader, kSecond);
               world.crashFor(world.pick(Role::replica), kSecond);
             });
           });
       }},
      {"leader-polite-stop",
       [](World& world) {
         world.sim.at(world.faultTime(), [&world] {
           if (auto* leader = world.sim.leader()) {
             world.sim.stopPolitely(*leader);
             world.sim.after(2 * kSecond, [&world, leader] {
               if (!world.retired.contains(leader->name)) world.sim.start(*leader);
             });
           }
         });
       }},
      {"replica-kill",
       [](World& world) {
         world.sim.at(world.faultTime(), [&world] {
           world.crashFor(world.pick(Role::replica), kSecond / 2 + world.sim.below(3 * kSecond));
         });
       }},
      {"replica-freeze",
       [](World& world) {
         world.sim.at(world.faultTime(), [&world] {
           world.sim.freeze(world.pick(Role::replica), kSecond / 2 + world.sim.below(4 * kSecond));
         });
       }},
      {"scheduler-exchanged",
       [](World& world) {
         world.sim.at(world.faultTime(), [&world] {
           auto& old = world.pick(Role::scheduler);
           world.sim.stopPolitely(old);
           world.sim.after(400000, [&world, &old] { world.sim.crash(old); });
           world.retire(old);
           world.sim.start(world.sim.addHost(Role::scheduler, old.name + "x", old.settings.zone.value));
         });
       }},
      {"agent-kill",
       [](World& world) {
         for (int i = 0; i < 3; ++i)
           world.sim.at(world.faultTime(), [&world] {
             world.crashFor(world.pick(Role::agent), kSecond / 4 + world.sim.below(4 * kSecond));
           });
       }},
      {"agent-freeze",
       [](World& world) {
         for (int i = 0; i < 3; ++i)
           world.sim.at(world.faultTime(), [&world] {
             world.sim.freeze(world.pick(Role::agent), kSecond / 4 + world.sim.below(5 * kSecond));
           });
       }},
      {"agent-freeze-many-ends",
       [](World& world) {
         listFewEnds(world);
         for (int i = 0; i < 6; ++i)
           world.sim.at(world.faultTime(), [&world] {
             world.sim.freeze(world.pick(Role::agent), kSecond + world.sim.below(2 * kSecond));
           });
       }},
      {"agent-kill-many-ends",
       [](World& world) {
         listFewEnds(world);
         for (int i = 0; i < 6; ++i)
           world.sim.at(world.faultTime(),
                        [&world] { world.crashFor(world.pick(Role::agent), kSecond + world.sim.below(kSecond)); });
       }},
      {"all-restart",
       [](World& world) {
         world.sim.at(world.faultTime(), [&world] {
           for (const auto& host : world.sim.all()) world.crashFor(*host, 200000 + world.sim.below(kSecond));
           for (const auto& simWorker : world.sim.simWorkers())
             if (world.sim.chance(0.5)) {
               auto& each = *simWorker;
               world.sim.crashWorker(each);
               world.sim.after(kSecond, [&world, &each] { world.sim.startWorker(each); });
             }
         });
       }},
      {"leader-kill-after-cancel",
       [](World& world) {
         for (int i = 0; i < 3; ++i)
           world.sim.at(world.faultTime(), [&world] {
             world.submitThen(LineLoad{"checkout", 1, 3, 3, 1, 1, 4000, 6000, 0, 1.0, 0},
                              [&world](const std::string& id) {
                                world.cancel(id, [&world] {
                                  if (auto* leader = world.sim.leader()) world.crashFor(*leader, kSecond);
                                });
                              });
           });
       }},
      {"core-killed",
       [](World& world) {
         world.sim.at(world.faultTime(), [&world] {
           for (const auto& host : world.sim.all())
             if (host->settings.role != Role::agent) world.crashFor(*host, 100000 + world.sim.below(9 * kSecond / 10));
         });
       }},
      {"last-fault",
       [](World& world) {
         world.sim.at(world.endUs - 1000, [&world] {
           if (auto* leader = world.sim.leader()) {
             world.retire(*leader);
             world.sim.crash(*leader);
           }
           auto& replica = world.pick(Role::replica);
           world.retire(replica);
           world.sim.crash(replica);
         });
       }},
      {"clock-steps",
       [](World& world) {
         world.judge.clockStepped = true;
         for (int i = 0; i < 6; ++i)
           world.sim.at(world.faultTime(), [&world] {
             auto* leader = world.sim.leader();
             auto& host = leader && world.sim.chance(0.4) ? *leader : world.anyHost();
             host.clock.wallOffsetMs = world.sim.below(8000) - 4000;
             world.sim.trouble();
           });
       }},
      {"cell-lost",
       [](World& world) {
         world.sim.at(world.faultTime(), [&world] {
           const auto zone = std::string(1, static_cast<char>('a' + world.sim.below(3)));
           for (const auto& host : world.sim.all())
             if (host->settings.zone.value == zone) world.sim.crash(*host);
           for (const auto& simWorker : world.sim.simWorkers())
             if (simWorker->agent->settings.zone.value == zone) world.sim.crashWorker(*simWorker);
         });
       }},
      {"freeze-in-answer",
       [](World& world) {
         for (int i = 0; i < 4; ++i)
           world.sim.at(world.faultTime(), [&world] {
             auto* leader = world.sim.leader();
             auto& host = leader && world.sim.chance(0.5) ? *leader : world.pick(Role::replica);
             world.sim.freezeInNextStep(host, kSecond / 4 + world.sim.below(4 * kSecond));
           });
       }},
      {"short-freezes",
       [](World& world) {
         const auto leaseUs = world.plan.fleet.bounds.leaseMs * 1000;
         for (int i = 0; i < 12; ++i)
           world.sim.at(world.faultTime(),
                        [&world, leaseUs] { world.sim.freeze(world.anyHost(), world.sim.below(leaseUs)); });
       }},
  };
}

}  // namespace tulip::simulator
