#include "simulator/day.hpp"

#include <algorithm>
#include <atomic>
#include <thread>

#include "simulator/audit.hpp"
#include "simulator/faults.hpp"
#include "simulator/long_day.hpp"

namespace tulip::simulator {

void inThreads(int threads, std::size_t count, const std::function<void(std::size_t)>& act) {
  std::atomic<std::size_t> next{0};
  std::vector<std::thread> client;
  client.reserve(static_cast<std::size_t>(std::max(0, threads)));
  for (int i = 0; i < threads; ++i)
    client.emplace_back([&] {
      for (std::size_t at = next++; at < count; at = next++) act(at);
    });
  for (auto& thread : client) thread.join();
}

namespace {

// Keeps an alarm for the day's result; one of a broken invariant is a finding of the judge.
void noteAlarm(World& world, const Host& host, const std::string& text) {
  constexpr std::size_t kMostAlarms = 200;
  const auto nowMs = world.sim.nowMs();
  if (world.result.alarms.size() < kMostAlarms)
    world.result.alarms.push_back(std::to_string(nowMs) + " " + host.name + ": " + text);
  if (text.find("invariant") != std::string::npos)
    world.judge.broken.push_back({nowMs, "inside", host.name + ": " + text});
}

}  // namespace

DayResult runDay(const DayPlan& plan) {
  World world(plan);
  auto& sim = world.sim;
  world.judge.stalls = plan.rule != "fifo" && plan.configPatch.empty();
  world.judge.forgetsEnded = plan.forgetsEnded;
  world.judge.failureLimit = {{"checkout", 3}, {"gate", 3}, {"rebuild", 4}, {"probe", 3}};
  sim.onAlarm = [&world](Host& host, const std::string& text) { noteAlarm(world, host, text); };
  if (plan.trace) sim.onMark = [&](std::string_view text) { *plan.trace << sim.nowUs() << " " << text << "\n"; };
  for (const auto& host : sim.all()) sim.at(sim.below(200000), [&sim, each = host.get()] { sim.start(*each); });
  for (const auto& simWorker : sim.simWorkers())
    sim.at(sim.below(400000), [&sim, each = simWorker.get()] { sim.startWorker(*each); });
  sim.at(kSecond, [&world] {
    world.changeConfig("PUT", world.firstConfig(), "checkout", "t-base", "", [&world](bool) {
      if (!world.plan.arrivals.empty()) {
        for (const auto& arrival : world.plan.arrivals)
          world.sim.after(arrival.atMs * 1000,
                          [&world, &job = arrival.job] { world.submit(job.id, world.enter(job)); });
        return;
      }
      for (const auto& load : world.plan.load) world.arrivals(load);
      world.marks(3 * kSecond);
      world.readConfigs();
    });
  });
  world.sweeps();
  if (plan.longDay) scheduleLongDay(world);
  for (const auto& name : plan.faults) {
    auto found = faults().find(name);
    if (found != faults().end()) found->second(world);
  }
  if (auto found = operations().find(plan.operation); found != operations().end()) {
    sim.place = plan.place;
    sim.onPlace = [&world](Host& host) { strike(world, host); };
    sim.at(world.fromUs, [&world, act = found->second] {
      world.sim.counting = true;
      act(world);
    });
  }
  sim.at(world.quietUs, [&world] { world.healAll(); });
  sim.runUntil(world.endUs);
  const auto probeUs = sim.nowUs();
  const std::string probe = "probe-1";
  world.submit(probe, world.makeJob(LineLoad{"probe", 1, 1, 1, 1, 1, 100, 100, 0, 0, 0}, probe, false, false));
  const Micros lastUs = world.endUs + static_cast<Micros>(plan.tailSeconds * kSecond);
  while (sim.nowUs() < lastUs) {
    sim.runUntil(sim.nowUs() + 100000);
    const auto& job = world.judge.jobs.at(probe);
    if (world.result.recoveredMs < 0 && !job.shown.empty()) world.result.recoveredMs = (sim.nowUs() - probeUs) / 1000;
    const bool over = std::all_of(world.judge.jobs.begin(), world.judge.jobs.end(), [](const auto& row) {
      return row.second.rejected || row.second.turnedAway || (row.second.acceptedMs >= 0 && !row.second.shown.empty());
    });
    if (over && sim.nowUs() > world.endUs + 8 * kSecond) break;
  }
  audit(world);
  return std::move(world.result);
}

}  // namespace tulip::simulator
