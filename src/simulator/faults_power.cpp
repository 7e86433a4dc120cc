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

/// A job that runs at eight times of day, over 37 s.
void submitTimedJob(World& world) {
  JobSketch sketch{"timed-" + std::to_string(++world.nextJob), "gate", false, 0, {}};
  StepSketch step;
  step.name = "s";
  step.count = 2;
  step.runMs = step.estimateMs = 200;
  if (!world.plan.fleet.capacity.empty()) step.capacity = {{"cpu", 500}, {"mem_mb", 256}};
  sketch.steps.push_back(std::move(step));
  sketch.times = 8;
  sketch.firstInMs = 2000;
  sketch.everyMs = 5000;
  world.submit(sketch.id, world.enter(sketch));
}

/// All of the control side is without power for several leases.
void loseCoreForLong(World& world) {
  const auto spanUs = 5 * kSecond + world.sim.below(9 * kSecond);
  for (const auto& host : world.sim.all())
    if (host->settings.role != Role::agent) world.powerLossFor(*host, spanUs + world.sim.below(kSecond / 5));
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

/// Replicas whose disks may be lost now without a loss beyond what the settings allow.
std::vector<Host*> affordableDisks(World& world) {
  std::vector<Host*> sound;
  std::int64_t lost = 0;
  for (auto* replica : world.sim.hosts(Role::replica)) {
    if (replica->isDiskless() || world.retired.contains(replica->name)) continue;
    if (world.sim.isLost(*replica) || world.deadDisks.contains(replica->name))
      ++lost;
    else
      sound.push_back(replica);
  }
  const auto most = std::max<std::int64_t>(0, world.plan.fleet.losses - lost);
  while (static_cast<std::int64_t>(sound.size()) > most)
    sound.erase(sound.begin() + world.sim.below(static_cast<std::int64_t>(sound.size())));
  return sound;
}

/// Every machine loses power at the same moment, whether its loss counts or not, and as many disks are lost with it as
/// the settings allow.
void loseAllPowerAndDisks(World& world) {
  const auto emptied = world.membershipWhole() ? affordableDisks(world) : std::vector<Host*>{};
  for (const auto& host : world.sim.all()) {
    if (world.retired.contains(host->name)) continue;
    world.powerLossFor(*host, kSecond / 5 + world.sim.below(3 * kSecond / 2));
  }
  for (const auto& simWorker : world.sim.simWorkers()) {
    auto& each = *simWorker;
    if (each.gone) continue;
    world.sim.crashWorker(each);
    world.sim.after(kSecond / 2 + world.sim.below(2 * kSecond), [&world, &each] { world.sim.startWorker(each); });
  }
  for (auto* replica : emptied) world.sim.loseDisk(*replica);
}

/// Right after one of the kinds of acknowledgement, or soon after something was sent.
void onceAcknowledged(World& world, std::function<void()> act) {
  const LineLoad longTasks{"checkout", 1, 3, 3, 1, 1, 4000, 6000, 0, 1};
  switch (world.sim.below(4)) {
    case 0:
      return world.submitThen(LineLoad{"checkout"}, [act = std::move(act)](const std::string&) { act(); });
    case 1:
      return configuredThen(world, std::move(act));
    case 2:
      return world.submitThen(longTasks, [&world, act = std::move(act)](const std::string& id) {
        world.sim.after(kSecond, [&world, id, act] { world.cancel(id, act); });
      });
    default:
      world.markOnce(false);
      world.newJob(world.queueOf("checkout"));
      return world.sim.after(soonAfterSending(world), std::move(act));
  }
}

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
      {"core-lost-for-long",
       [](World& world) {
         const auto fromUs = world.fromUs + world.sim.below(4 * kSecond);
         for (int i = 0; i < 3; ++i)
           world.sim.at(fromUs - world.sim.below(kSecond), [&world] { submitTimedJob(world); });
         world.sim.at(fromUs, [&world] { loseCoreForLong(world); });
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
      {"all-power-lost-with-disks",
       [](World& world) {
         for (int i = 0; i < 2; ++i)
           world.sim.at(world.faultTime(),
                        [&world] { onceAcknowledged(world, [&world] { loseAllPowerAndDisks(world); }); });
       }},
      {"all-power-lost-with-disks-in-a-takeover",
       [](World& world) {
         world.sim.at(world.faultTime(), [&world] {
           if (auto* leader = world.sim.leader()) world.crashFor(*leader, kSecond / 2);
           world.sim.after(soonAfterSending(world) * 4, [&world] { loseAllPowerAndDisks(world); });
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
