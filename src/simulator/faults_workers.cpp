#include "simulator/faults.hpp"

/// Workers and their machines.
namespace tulip::simulator {
namespace {

/// The worker crashes, comes back and crashes again before it was heard: the one report of the life between is late.
void liveShortly(World& world, SimWorker& simWorker) {
  if (!simWorker.up) return;
  world.sim.crashWorker(simWorker);
  world.sim.startWorker(simWorker);
  simWorker.worker.traits.mute = true;
  world.sim.after(kSecond / 4, [&world, &simWorker] {
    world.sim.crashWorker(simWorker);
    simWorker.worker.traits.mute = false;
    world.sim.startWorker(simWorker);
  });
}

}  // namespace

FaultTable workersFaults() {
  return {
      {"worker-crash",
       [](World& world) {
         for (int i = 0; i < 4; ++i)
           world.sim.at(world.faultTime(), [&world] {
             auto& simWorker = world.pickWorker();
             world.sim.crashWorker(simWorker);
             world.sim.after(200000 + world.sim.below(2 * kSecond),
                             [&world, &simWorker] { world.sim.startWorker(simWorker); });
           });
       }},
      {"worker-life-heard-late",
       [](World& world) {
         for (int i = 0; i < 6; ++i)
           world.sim.at(world.faultTime(), [&world] { liveShortly(world, world.pickWorker()); });
       }},
      {"worker-vanish",
       [](World& world) {
         world.sim.at(world.faultTime(), [&world] {
           auto& simWorker = world.pickWorker();
           world.sim.crashWorker(simWorker);
           world.sim.crash(*simWorker.agent);
           world.retire(*simWorker.agent);
           if (world.plan.fleet.selfStop) return;
           world.setFlag("workers", simWorker.worker.traits.name, "gone", true, {});
         });
       }},
      {"worker-slow",
       [](World& world) {
         world.sim.at(world.faultTime(), [&world] { world.pickWorker().worker.traits.slowFactor = 8; });
       }},
      {"worker-fails",
       [](World& world) { world.sim.at(world.fromUs, [&world] { world.pickWorker().worker.traits.failEvery = 1; }); }},
      {"worker-cut",
       [](World& world) {
         for (int i = 0; i < 3; ++i)
           world.sim.at(world.faultTime(), [&world] {
             auto& simWorker = world.pickWorker();
             simWorker.cut = true;
             world.sim.after(kSecond / 2 + world.sim.below(6 * kSecond), [&simWorker] { simWorker.cut = false; });
           });
       }},
      {"worker-freeze",
       [](World& world) {
         for (int i = 0; i < 3; ++i)
           world.sim.at(world.faultTime(), [&world] {
             world.sim.freezeWorker(world.pickWorker(), kSecond / 2 + world.sim.below(6 * kSecond));
           });
       }},
      {"worker-leaves",
       [](World& world) {
         for (int i = 0; i < 2; ++i)
           world.sim.at(world.faultTime(), [&world] {
             auto& simWorker = world.pickWorker();
             simWorker.worker.leaving = true;
             world.sim.after(3 * kSecond, [&world, &simWorker] {
               world.sim.crashWorker(simWorker);
               world.sim.startWorker(simWorker);
             });
           });
       }},
      {"worker-machine-cut",
       [](World& world) {
         for (int i = 0; i < 3; ++i)
           world.sim.at(world.faultTime(), [&world] {
             world.sim.cutOff(world.pick(Role::agent));
             world.sim.after(3 * kSecond + world.sim.below(5 * kSecond), [&world] { world.sim.heal(); });
           });
       }},
      {"worker-taken",
       [](World& world) {
         for (int i = 0; i < 3; ++i)
           world.sim.at(world.faultTime(),
                        [&world] { world.takeSoon(world.pickWorker(), 500 + world.sim.below(3000)); });
       }},
      {"worker-stands-still",
       [](World& world) {
         for (int i = 0; i < 2; ++i)
           world.sim.at(world.faultTime(), [&world] {
             auto& simWorker = world.pickWorker();
             simWorker.worker.traits.standsStill = true;
             world.sim.after(3 * kSecond + world.sim.below(5 * kSecond), [&world, &simWorker] {
               world.sim.workerTrouble();
               simWorker.worker.traits.standsStill = false;
             });
           });
       }},
      {"workers-slow",
       [](World& world) {
         for (int i = 0; i < 3; ++i)
           world.sim.at(world.faultTime(),
                        [&world] { world.pickWorker().worker.traits.slowFactor = 2 + 3 * world.sim.unit(); });
       }},
      {"worker-mute",
       [](World& world) {
         for (int i = 0; i < 2; ++i)
           world.sim.at(world.faultTime(), [&world] {
             auto& simWorker = world.pickWorker();
             simWorker.worker.traits.mute = true;
             world.sim.after(kSecond + world.sim.below(6 * kSecond), [&world, &simWorker] {
               world.sim.workerTrouble();
               simWorker.worker.traits.mute = false;
             });
           });
       }},
      {"worker-fails-some",
       [](World& world) {
         for (int i = 0; i < 2; ++i)
           world.sim.at(world.fromUs,
                        [&world] { world.pickWorker().worker.traits.failShare = 0.2 + 0.6 * world.sim.unit(); });
       }},
      {"worker-gone",
       [](World& world) {
         for (int i = 0; i < 2; ++i)
           world.sim.at(world.faultTime(), [&world] { world.sim.crashWorker(world.pickWorker()); });
       }},
      {"worker-gone-agent-restarts",
       [](World& world) {
         for (int i = 0; i < 2; ++i)
           world.sim.at(world.faultTime(), [&world] {
             auto& simWorker = world.pickWorker();
             world.sim.crashWorker(simWorker);
             simWorker.gone = true;
             world.sim.after(kSecond / 2 + world.sim.below(2 * kSecond), [&world, &simWorker] {
               if (simWorker.agent->up) world.crashFor(*simWorker.agent, kSecond);
             });
           });
       }},
      {"workers-flap",
       [](World& world) {
         for (int i = 0; i < 3; ++i)
           world.sim.at(world.fromUs, [&world] {
             auto& simWorker = world.pickWorker();
             const auto flap = [&world, &simWorker](auto again) -> void {
               if (world.sim.nowUs() >= world.quietUs) return;
               if (simWorker.up)
                 world.sim.crashWorker(simWorker);
               else
                 world.sim.startWorker(simWorker);
               world.sim.after(kSecond / 2 + world.sim.below(3 * kSecond / 2), [again] { again(again); });
             };
             flap(flap);
           });
       }},
  };
}

}  // namespace tulip::simulator
