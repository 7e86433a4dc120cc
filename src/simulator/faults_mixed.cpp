#include <array>

#include "simulator/faults.hpp"

/// Many troubles of the control side in one day, as often as the losses setting
/// allows.
namespace tulip::simulator {

namespace {

using Strike = void (*)(World&, Host&);

Micros upTo(World& world, Micros mostUs) { return mostUs / 10 + world.sim.below(mostUs); }

void cutOneWay(World& world, Host& host) {
  const bool outward = world.sim.chance(0.5);
  for (const auto& other : world.sim.all())
    if (other.get() != &host) outward ? world.sim.cut(host, *other) : world.sim.cut(*other, host);
  world.sim.after(upTo(world, 4 * kSecond), [&world] { world.sim.heal(); });
}

void cutOff(World& world, Host& host) {
  world.sim.cutOff(host);
  world.sim.after(upTo(world, 4 * kSecond), [&world] { world.sim.heal(); });
}

void stallDisk(World& world, Host& host) {
  host.diskBlocked = true;
  world.sim.after(upTo(world, 3 * kSecond), [&world, &host] {
    world.sim.trouble();
    host.diskBlocked = false;
  });
}

constexpr std::array<Strike, 10> kStrikes{
    [](World& world, Host& host) { world.crashFor(host, upTo(world, 4 * kSecond)); },
    [](World& world, Host& host) { world.powerLossFor(host, upTo(world, 4 * kSecond)); },
    [](World& world, Host& host) { world.sim.freeze(host, upTo(world, kSecond)); },
    [](World& world, Host& host) { world.sim.freezeInNextStep(host, upTo(world, 4 * kSecond)); },
    [](World& world, Host& host) { world.replaceReplica(host, true); },
    [](World& world, Host& host) { world.replaceReplica(host, false); },
    [](World& world, Host& host) { world.replacePlanned(host); },
    cutOneWay,
    cutOff,
    stallDisk,
};

void strikeAgain(World& world) {
  if (world.sim.nowUs() >= world.quietUs) return;
  world.whenAffordable([&world] {
    const auto drawn = static_cast<std::size_t>(world.sim.below(static_cast<std::int64_t>(kStrikes.size())));
    kStrikes[drawn](world, world.pick(Role::replica));
  });
  world.sim.after(kSecond + world.sim.below(3 * kSecond), [&world] { strikeAgain(world); });
}

void lengthen(World& world, Micros spanUs) {
  world.endUs += spanUs;
  world.quietUs += spanUs;
}

}  // namespace

FaultTable mixedFaults() {
  return {
      {"core-storm",
       [](World& world) {
         lengthen(world, 30 * kSecond);
         world.sim.at(world.fromUs, [&world] { strikeAgain(world); });
       }},
      {"core-storm-under-orders",
       [](World& world) {
         lengthen(world, 30 * kSecond);
         world.ackLoss = 0.1;
         world.sim.at(world.fromUs, [&world] { strikeAgain(world); });
         for (Micros at = world.fromUs; at < world.quietUs; at += kSecond / 4)
           world.sim.at(at, [&world] { world.markOnce(false); });
         for (int i = 0; i < 3; ++i)
           world.sim.at(world.faultTime(), [&world] { world.loseCore(world.sim.chance(0.5)); });
       }},
  };
}

}  // namespace tulip::simulator
