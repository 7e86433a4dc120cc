#include "simulator/long_day.hpp"

#include <algorithm>
#include <array>

namespace tulip::simulator {

namespace {

/// From the end of the troubles to the end of the traffic: the loss of the control side, and the time to recover.
constexpr Micros kClosingUs = 35 * kSecond;
/// Jobs are asked for this long after the traffic.
constexpr Micros kFinishUs = 14 * kSecond;
constexpr Micros kLongestLossUs = 9 * kSecond / 5;
constexpr int kMostChanges = 600;

template <class Value, std::size_t N>
Value oneOf(World& world, const std::array<Value, N>& values) {
  return values[static_cast<std::size_t>(world.sim.below(static_cast<std::int64_t>(N)))];
}

/// How long a trouble lasts, in the usual steps, up to the most.
Micros drawnSpan(World& world, Micros mostUs) {
  constexpr std::array<Micros, 6> kSpansMs{600, 1000, 2000, 4000, 8000, 14000};
  return std::min(mostUs, oneOf(world, kSpansMs) * 1000);
}

/// One node of each machine of the control side that isn't replaced.
std::vector<Host*> coreMachines(World& world) {
  std::vector<Host*> machines;
  for (const auto& host : world.sim.all()) {
    const bool first = world.sim.nodesBeside(*host).front() == host.get();
    if (first && host->settings.role != Role::agent && !world.retired.contains(host->name))
      machines.push_back(host.get());
  }
  return machines;
}

Host& anyCoreMachine(World& world) {
  const auto machines = coreMachines(world);
  return *machines[static_cast<std::size_t>(world.sim.below(static_cast<std::int64_t>(machines.size())))];
}

/// In one case of three the leader's, if there is one.
Host& leaderOrAny(World& world) {
  auto* leader = world.sim.leader();
  return leader && world.sim.below(3) == 0 ? *leader : anyCoreMachine(world);
}

/// Acts on a share of the control side's machines.
void onShare(World& world, double share, const std::function<void(Host&)>& act) {
  for (auto* machine : coreMachines(world))
    if (world.sim.chance(share)) act(*machine);
}

void onShareOfWorkers(World& world, double share, const std::function<void(SimWorker&)>& act) {
  for (const auto& simWorker : world.sim.simWorkers())
    if (!simWorker->gone && !simWorker->agent->gone && world.sim.chance(share)) act(*simWorker);
}

/// Acts once every voter votes and fewer machines are lost than the settings allow: only then may a disk be lost.
void whenSafe(World& world, const std::function<void()>& act) {
  if (world.sim.nowUs() >= world.quietUs - 2 * kSecond) return;
  const auto again = [&world, act] { whenSafe(world, act); };
  if (!world.membershipWhole()) return world.sim.after(kSecond / 4, again);
  world.whenAffordable([&world, act, again] {
    if (world.membershipWhole()) return act();
    world.sim.after(kSecond / 4, again);
  });
}

void lose(World& world, Host& host, bool power, Micros spanUs) {
  power ? world.powerLossFor(host, spanUs) : world.crashFor(host, spanUs);
}

void cutFor(World& world, Host& host, Micros spanUs, bool oneWay) {
  const bool outward = world.sim.chance(0.5);
  for (const auto& other : world.sim.all()) {
    if (!oneWay || outward) world.sim.cut(host, *other);
    if (!oneWay || !outward) world.sim.cut(*other, host);
  }
  world.sim.after(spanUs, [&world, &host] { world.sim.heal(host); });
}

void cutZone(World& world) {
  const auto zone = anyCoreMachine(world).settings.zone;
  for (const auto& one : world.sim.all())
    for (const auto& other : world.sim.all())
      if ((one->settings.zone == zone) != (other->settings.zone == zone)) world.sim.cut(*one, *other);
  world.sim.after(drawnSpan(world, 8 * kSecond), [&world, zone] {
    for (const auto& host : world.sim.all())
      if (host->settings.zone == zone) world.sim.heal(*host);
  });
}

/// What a polite stop may take, how long the process is down, and the gap to the next.
constexpr Micros kGraceUs = 6 * kSecond, kDownUs = kSecond, kGapUs = kSecond / 2;

/// Polite stops of one machine after the other, each begun when the one before is back.
void roll(World& world, std::vector<Host*> left) {
  while (!left.empty() && (world.retired.contains(left.back()->name) || !left.back()->up)) left.pop_back();
  if (left.empty() || world.sim.nowUs() >= world.quietUs) return;
  auto& host = *left.back();
  left.pop_back();
  const int life = host.lives;
  world.sim.stopPolitely(host);
  const auto untilUs = world.sim.nowUs() + kGraceUs;
  const auto next = [&world, &host, left] {
    if (!world.retired.contains(host.name)) world.sim.start(host);
    world.sim.after(kGapUs, [&world, left] { roll(world, left); });
  };
  const auto wait = [&world, &host, life, untilUs, next](auto again) -> void {
    if (host.lives == life && world.sim.nowUs() >= untilUs) world.sim.crash(host);
    if (host.lives != life) return world.sim.after(kDownUs, next);
    world.sim.after(kSecond / 20, [again] { again(again); });
  };
  wait(wait);
}

void rollOver(World& world, double share) {
  std::vector<Host*> rolled;
  onShare(world, share, [&](Host& host) { rolled.push_back(&host); });
  std::shuffle(rolled.begin(), rolled.end(), std::mt19937_64(static_cast<std::uint64_t>(world.sim.nowUs())));
  roll(world, std::move(rolled));
}

void blockDisk(World& world, Host& host, Micros spanUs) {
  host.diskBlocked = true;
  world.sim.after(spanUs, [&world, &host] {
    world.sim.trouble();
    host.diskBlocked = false;
  });
}

void slowDisk(World& world, Host& host, Micros spanUs) {
  constexpr Micros kFactor = 30;
  const auto usualUs = host.syncUs;
  host.syncUs = usualUs * kFactor;
  world.sim.after(spanUs, [&host, usualUs] { host.syncUs = usualUs; });
}

/// A worker that never comes back, alone or with the machine of its agent. A tenth of them go at most.
void goForGood(World& world, SimWorker& simWorker) {
  const auto& all = world.sim.simWorkers();
  const auto gone = std::count_if(all.begin(), all.end(), [](const auto& each) { return each->gone; });
  if (static_cast<std::size_t>(gone) * 10 >= all.size()) return;
  simWorker.gone = true;
  world.sim.crashWorker(simWorker);
  if (world.sim.chance(0.5)) return;
  world.sim.crash(*simWorker.agent);
  world.retire(*simWorker.agent);
}

void crashWorkerFor(World& world, SimWorker& simWorker, Micros spanUs) {
  world.sim.crashWorker(simWorker);
  world.sim.after(spanUs, [&world, &simWorker] {
    if (!simWorker.gone) world.sim.startWorker(simWorker);
  });
}

/// Sets a trait of the workers' for a while.
void withTraits(World& world, double share, const std::function<void(commands::WorkerTraits&, bool)>& set) {
  const auto spanUs = drawnSpan(world, 8 * kSecond);
  onShareOfWorkers(world, share, [&](SimWorker& simWorker) {
    set(simWorker.worker.traits, true);
    world.sim.workerTrouble();
    world.sim.after(spanUs, [&world, &simWorker, set] {
      set(simWorker.worker.traits, false);
      world.sim.workerTrouble();
    });
  });
}

using Trouble = void (*)(World&);

constexpr std::array<Trouble, 26> kTroubles{
    [](World& world) { lose(world, leaderOrAny(world), false, drawnSpan(world, 14 * kSecond)); },
    [](World& world) { lose(world, leaderOrAny(world), true, drawnSpan(world, 14 * kSecond)); },
    [](World& world) { world.sim.freeze(leaderOrAny(world), drawnSpan(world, 8 * kSecond)); },
    [](World& world) { world.sim.freezeInNextStep(leaderOrAny(world), drawnSpan(world, 4 * kSecond)); },
    [](World& world) { whenSafe(world, [&world] { world.replaceReplica(world.pick(Role::replica), true); }); },
    [](World& world) { whenSafe(world, [&world] { world.replaceReplica(world.pick(Role::replica), false); }); },
    [](World& world) { whenSafe(world, [&world] { world.replacePlanned(world.pick(Role::replica)); }); },
    [](World& world) { cutFor(world, leaderOrAny(world), drawnSpan(world, 14 * kSecond), false); },
    [](World& world) { cutFor(world, leaderOrAny(world), drawnSpan(world, 14 * kSecond), true); },
    cutZone,
    [](World& world) {
      const bool power = world.sim.chance(0.5);
      onShare(world, 0.6, [&](Host& host) { lose(world, host, power, kSecond + world.sim.below(2 * kSecond)); });
    },
    [](World& world) { world.loseCore(world.sim.chance(0.5)); },
    [](World& world) { blockDisk(world, world.pick(Role::replica), drawnSpan(world, 8 * kSecond)); },
    [](World& world) { slowDisk(world, world.pick(Role::replica), drawnSpan(world, 14 * kSecond)); },
    [](World& world) { onShare(world, 0.6, [&](Host& host) { world.sim.resetConnections(host); }); },
    [](World& world) {
      world.judge.clockStepped = true;
      onShare(world, 0.4, [&](Host& host) { host.clock.wallOffsetMs = world.sim.below(8000) - 4000; });
    },
    [](World& world) { rollOver(world, 0.3); },
    [](World& world) { rollOver(world, 1.0); },
    [](World& world) { world.sim.seedsChange = true; },
    [](World& world) { cutFor(world, *world.pickWorker().agent, drawnSpan(world, 14 * kSecond), false); },
    [](World& world) {
      const auto spanUs = drawnSpan(world, 14 * kSecond);
      onShareOfWorkers(world, 0.3, [&](SimWorker& each) { crashWorkerFor(world, each, spanUs); });
    },
    [](World& world) { goForGood(world, world.pickWorker()); },
    [](World& world) {
      withTraits(world, 0.2, [](commands::WorkerTraits& traits, bool on) { traits.standsStill = on; });
    },
    [](World& world) { withTraits(world, 0.2, [](commands::WorkerTraits& traits, bool on) { traits.mute = on; }); },
    [](World& world) {
      onShareOfWorkers(world, 0.2, [&](SimWorker& each) { world.takeSoon(each, 500 + world.sim.below(3000)); });
    },
    [](World& world) {
      for (int i = 0; i < 60; ++i)
        world.sim.after(world.sim.below(4 * kSecond), [&world] {
          world.newJob(
              world.plan
                  .load[static_cast<std::size_t>(world.sim.below(static_cast<std::int64_t>(world.plan.load.size())))]);
        });
    },
};

void troubleAgain(World& world, double meanGapUs) {
  if (world.sim.nowUs() >= world.quietUs - 2 * kSecond) return;
  oneOf(world, kTroubles)(world);
  const double drawn = -std::log(1.0 - world.sim.unit()) * meanGapUs;
  const Micros leastUs = world.sim.chance(0.3) ? kSecond / 10 : 3 * kSecond / 2;
  world.sim.after(leastUs + static_cast<Micros>(drawn), [&world, meanGapUs] { troubleAgain(world, meanGapUs); });
}

/// Changes of the configuration all along the day, as often as a storm brings them on one day of three.
void scheduleChanges(World& world) {
  constexpr std::array<Micros, 3> kStormGapsUs{kSecond / 10, kSecond / 5, 3 * kSecond / 10};
  const Micros spanUs = world.quietUs - 2 * kSecond;
  const bool storm = world.plan.seed % 3 == 0;
  const auto gapUs = std::max(spanUs / kMostChanges, storm ? oneOf(world, kStormGapsUs) : kSecond / 2);
  for (Micros at = 2 * kSecond; at < world.quietUs; at += gapUs) {
    world.sim.at(at, [&world] { world.markOnce(false); });
    if (!storm && world.sim.chance(0.3)) at += drawnSpan(world, 4 * kSecond);
  }
}

/// The whole control side is lost, by power or by kill, at times with one disk.
void loseAllAtTheEnd(World& world) {
  const bool disk = world.sim.chance(0.3) && world.membershipWhole();
  auto& emptied = world.pick(Role::replica);
  world.loseCore(disk || world.sim.chance(0.7));
  if (disk) world.sim.loseDisk(emptied);
  world.sim.after(kLongestLossUs, [&world] { world.judge.machinesBack(); });
}

void scheduleClosing(World& world) {
  world.sim.at(world.quietUs + 6 * kSecond, [&world] {
    auto done = std::make_shared<bool>(false);
    const auto once = [&world, done](bool) {
      if (!std::exchange(*done, true)) loseAllAtTheEnd(world);
    };
    const auto mark = "mark-" + std::to_string(++world.nextMark);
    world.changeConfig("PATCH", "{\"pendings\":{\"" + mark + "\":{\"rank\":1}}}", mark, "t-" + mark, "", once);
    world.sim.after(5 * kSecond, [once] { once(false); });
  });
}

}  // namespace

FleetPlan siteFleetOf(const std::string& load) {
  auto fleet = fleetOf(load);
  const bool grown = load.ends_with("-grown");
  fleet.sharedMachines = true;
  fleet.links = grown ? LinkPlan{200, 2, 200} : LinkPlan{1000, 1000, 200};
  fleet.diskMbPerS = 120;
  auto& bounds = fleet.bounds;
  bounds.leaseMs = 1000;
  bounds.workerLeaseMs = 2000;
  bounds.callMs = 3750;
  bounds.stopMs = 4000;
  bounds.catchUpMs = 6000;
  return fleet;
}

DayPlan longDayPlan(const std::string& load, std::uint64_t seed) {
  constexpr std::array<double, 4> kSeconds{90, 120, 180, 300};
  DayPlan plan;
  plan.seed = seed;
  plan.load = builtInLoad(load);
  plan.fleet = siteFleetOf(load);
  plan.seconds = kSeconds[(seed / 3) % kSeconds.size()];
  plan.loadFactor = 0.6;
  plan.longDay = true;
  return plan;
}

void scheduleLongDay(World& world) {
  constexpr std::array<double, 4> kMeanGapsUs{1e6, 3e6, 5e6, 8e6};
  constexpr std::array<Micros, 2> kFirstUs{kSecond / 10, kSecond};
  world.throughAdapter = 0.7;
  world.quietUs = world.endUs - kClosingUs;
  world.weigh();
  scheduleChanges(world);
  const auto meanGapUs = oneOf(world, kMeanGapsUs);
  world.sim.at(oneOf(world, kFirstUs), [&world, meanGapUs] { troubleAgain(world, meanGapUs); });
  scheduleClosing(world);
  world.sim.at(world.endUs + kFinishUs, [&world] { world.judge.judgeLeftOver(); });
}

}  // namespace tulip::simulator
