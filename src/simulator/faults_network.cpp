#include "simulator/faults.hpp"

/// Cuts, losses, stalled links and broken connections.
namespace tulip::simulator {

namespace {

/// All links of the machine stall, both ways, or one way only.
void stallLinks(World& world, Host& host, Micros spanUs, bool outward, bool inward) {
  for (const auto& other : world.sim.all()) {
    if (other.get() == &host) continue;
    if (outward) world.sim.stallLink(host, *other, spanUs);
    if (inward) world.sim.stallLink(*other, host, spanUs);
  }
}

/// A scheduler starts anew, again and again, while the answers to its earlier calls are still under way.
void restartBehindStall(World& world, Host& scheduler, int times) {
  if (times == 0 || world.sim.leader() == &scheduler) return;
  constexpr Micros kStallUs = 3 * kSecond / 2;
  stallLinks(world, scheduler, kStallUs, false, true);
  const auto crashAfterUs = kSecond / 2 + world.sim.below(kSecond / 2);
  world.sim.after(crashAfterUs, [&world, &scheduler] { world.crashFor(scheduler, kSecond / 10); });
  world.sim.after(2 * kSecond, [&world, &scheduler, times] { restartBehindStall(world, scheduler, times - 1); });
}

Host& leaderOrReplica(World& world) {
  auto* leader = world.sim.leader();
  return leader && world.sim.chance(0.4) ? *leader : world.pick(Role::replica);
}

/// The machines with a disk are cut into two halves for some seconds; all others reach both.
void cutCoreInHalves(World& world) {
  std::vector<Host*> core;
  for (auto* replica : world.sim.hosts(Role::replica))
    if (!replica->isDiskless()) core.push_back(replica);
  for (std::size_t place = core.size(); place > 1; --place)
    std::swap(core[place - 1], core[static_cast<std::size_t>(world.sim.below(static_cast<std::int64_t>(place)))]);
  const auto middle = core.size() / 2;
  for (std::size_t one = 0; one < middle; ++one)
    for (std::size_t other = middle; other < core.size(); ++other) {
      world.sim.cut(*core[one], *core[other]);
      world.sim.cut(*core[other], *core[one]);
    }
  world.markOnce(false);
  world.sim.after(2 * kSecond + world.sim.below(6 * kSecond), [&world] { world.sim.heal(); });
}

}  // namespace

FaultTable networkFaults() {
  return {
      {"cut-off-alone",
       [](World& world) {
         world.sim.at(world.faultTime(), [&world] {
           world.sim.cutOff(world.anyHost());
           if (auto* leader = world.sim.leader(); leader && world.sim.chance(0.5)) world.sim.cutOff(*leader);
           world.sim.after(kSecond + world.sim.below(5 * kSecond), [&world] { world.sim.heal(); });
         });
       }},
      {"one-way-cut",
       [](World& world) {
         world.sim.at(world.faultTime(), [&world] {
           auto* leader = world.sim.leader();
           auto& one = leader ? *leader : world.anyHost();
           const bool outward = world.sim.chance(0.5);
           for (const auto& other : world.sim.all())
             if (other.get() != &one) outward ? world.sim.cut(one, *other) : world.sim.cut(*other, one);
           world.sim.after(kSecond + world.sim.below(5 * kSecond), [&world] { world.sim.heal(); });
         });
       }},
      {"split",
       [](World& world) {
         world.sim.at(world.faultTime(), [&world] {
           for (const auto& x : world.sim.all())
             for (const auto& y : world.sim.all())
               if ((x->settings.zone.value == "a") != (y->settings.zone.value == "a")) world.sim.cut(*x, *y);
           world.sim.after(kSecond + world.sim.below(6 * kSecond), [&world] { world.sim.heal(); });
         });
       }},
      {"core-halves",
       [](World& world) {
         for (int i = 0; i < 3; ++i) world.sim.at(world.faultTime(), [&world] { cutCoreInHalves(world); });
       }},
      {"lossy-sea",
       [](World& world) {
         world.sim.at(world.fromUs, [&world] {
           world.sim.plan.network.drop = 0.05;
           world.sim.plan.network.duplicate = 0.05;
           world.sim.plan.network.late = 0.1;
         });
       }},
      {"replicas-restart-behind-a-cut",
       [](World& world) {
         world.sim.at(world.fromUs + world.sim.below(kSecond), [&world] {
           auto replicas = world.sim.hosts(Role::replica);
           const auto alone = static_cast<std::size_t>(world.sim.below(3));
           world.sim.cutOff(*replicas[alone]);
           for (std::size_t i = 0; i < 3; ++i)
             if (i != alone) world.crashFor(*replicas[i], kSecond + world.sim.below(kSecond));
           world.sim.after(3 * kSecond + world.sim.below(2 * kSecond), [&world] {
             world.sim.heal();
             if (auto* leader = world.sim.leader()) world.crashFor(*leader, kSecond);
           });
         });
       }},
      {"agent-cut-from-replicas",
       [](World& world) {
         for (int i = 0; i < 3; ++i)
           world.sim.at(world.faultTime(), [&world] {
             auto& agent = world.pick(Role::agent);
             for (auto* replica : world.sim.hosts(Role::replica)) {
               world.sim.cut(agent, *replica);
               world.sim.cut(*replica, agent);
             }
             world.sim.after(2 * kSecond + world.sim.below(5 * kSecond), [&world] { world.sim.heal(); });
           });
       }},
      {"connections-reset",
       [](World& world) {
         for (int i = 0; i < 16; ++i)
           world.sim.at(world.faultTime(), [&world] {
             world.sim.resetConnections(world.sim.chance(0.6) ? leaderOrReplica(world) : world.anyHost());
           });
       }},
      {"reader-blocks",
       [](World& world) {
         for (int i = 0; i < 6; ++i)
           world.sim.at(world.faultTime(), [&world] {
             auto& host = leaderOrReplica(world);
             const bool outward = world.sim.chance(0.5);
             stallLinks(world, host, world.sim.below(3 * kSecond), outward, !outward);
           });
       }},
      {"messages-of-earlier-lives",
       [](World& world) {
         for (int i = 0; i < 3; ++i)
           world.sim.at(world.faultTime(), [&world] {
             auto& host = leaderOrReplica(world);
             const auto backAfterUs = kSecond / 10 + world.sim.below(kSecond);
             stallLinks(world, host, backAfterUs + world.sim.below(2 * kSecond), true, true);
             world.sim.after(world.sim.below(kSecond / 10), [&world, &host, backAfterUs] {
               world.sim.chance(0.5) ? world.powerLossFor(host, backAfterUs) : world.crashFor(host, backAfterUs);
             });
           });
       }},
      {"calls-of-earlier-lives",
       [](World& world) {
         world.throughAdapter = 1;
         world.sim.at(world.fromUs, [&world] { restartBehindStall(world, world.pick(Role::scheduler), 3); });
         world.sim.at(world.fromUs, [&world] { restartBehindStall(world, world.pick(Role::scheduler), 3); });
       }},
      {"replica-cut-one-way",
       [](World& world) {
         for (int i = 0; i < 2; ++i)
           world.sim.at(world.faultTime(), [&world] {
             auto& one = world.pick(Role::replica);
             const bool outward = world.sim.chance(0.5);
             for (const auto& other : world.sim.all())
               if (other.get() != &one) outward ? world.sim.cut(one, *other) : world.sim.cut(*other, one);
             world.sim.after(kSecond / 2 + world.sim.below(6 * kSecond), [&world] { world.sim.heal(); });
           });
       }},
      {"seeds-change",
       [](World& world) {
         world.sim.seedsChange = true;
         for (int i = 0; i < 3; ++i)
           world.sim.at(world.faultTime(), [&world] { world.crashFor(world.anyHost(), world.sim.below(kSecond)); });
         world.sim.at(world.faultTime(), [&world] {
           world.whenAffordable([&world] { world.replaceReplica(world.pick(Role::replica), false); });
         });
       }},
  };
}

}  // namespace tulip::simulator
