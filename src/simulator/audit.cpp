#include "simulator/audit.hpp"

#include <algorithm>

namespace tulip::simulator {

using transport::Ask;

void audit(World& world) {
  auto& sim = world.sim;
  auto& result = world.result;
  for (auto& [id, job] : world.judge.jobs)
    if (!job.rejected && !job.turnedAway) world.poll(id);
  std::size_t reads = 0;
  for (const auto& host : sim.all()) {
    if (!host->up || host->settings.http.empty()) continue;
    Ask ask;
    ask.method = "GET";
    ask.path = "/configuration";
    sim.ask(*host, ask, [&world, &reads](const Reply& reply) {
      if (reply.lost || reply.status != 200) return;
      ++reads;
      world.readConfig(reply.body, world.sim.nowMs(), true);
    });
  }
  const auto askedMs = sim.nowMs();
  sim.runUntil(sim.nowUs() + 5 * kSecond);
  world.judge.judgeUnanswered(askedMs);
  world.judge.close();
  result.servedAgainMs = world.judge.servedAgainMs();
  if (reads < 3)
    world.judge.broken.push_back({sim.nowMs(), "chart",
                                  "fewer than three daemons answer the "
                                  "configuration at the end of the day"});
  if (world.awaitsWhole)
    world.judge.broken.push_back({sim.nowMs(), "inside", "the seat of a lost replica is never taken"});
  result.seed = world.plan.seed;
  result.faults = world.plan.faults;
  result.broken = world.judge.broken;
  result.traceSum = sim.traceSum();
  result.events = sim.events();
  result.starts = world.judge.starts;
  result.checks = world.judge.checks;
  for (const auto& [id, job] : world.judge.jobs) {
    ++result.jobs;
    result.finished += job.shown == "finished";
    result.failed += job.shown == "failed";
    result.cancelled += job.shown == "cancelled";
    if (job.firstStartMs >= 0) result.startMs.push_back(job.firstStartMs - job.submittedMs);
    if (job.shown == "finished") result.finishMs.push_back(job.shownEndedMs - job.submittedMs);
  }
  for (const auto& host : sim.all()) {
    result.syncs += host->syncs;
    result.mostReplicaKeys = std::max(result.mostReplicaKeys, host->disk.jobs.size());
  }
  if (auto* leader = sim.leader()) {
    result.leaderCounters = scheduler::countersJson(*leader->node->scheduler);
    result.dropped = leader->node->scheduler->counts.dropped;
    result.leaderKeys = leader->node->scheduler->current.size();
    result.leaderJobs = leader->node->scheduler->committedJobs.size();
  }
  result.outcomes = world.judge.outcomes;
  result.points = sim.points;
  result.truth = std::move(world.judge.jobs);
}

Millis quantile(std::vector<Millis> values, double at) {
  if (values.empty()) return -1;
  std::sort(values.begin(), values.end());
  return values[std::min(values.size() - 1, static_cast<std::size_t>(at * static_cast<double>(values.size())))];
}

std::string summary(const DayResult& result) {
  std::string faults;
  for (const auto& name : result.faults) faults += (faults.empty() ? "" : "+") + name;
  char text[512];
  std::snprintf(
      text, sizeof text,
      "seed %llu %s: %s jobs %lld finished %lld failed %lld "
      "cancelled %lld; submit p50/p99 %lld/%lld start %lld/%lld "
      "finish %lld/%lld ms; "
      "gap %lld recovered %lld ms; %llu events, trace %016llx",
      static_cast<unsigned long long>(result.seed), faults.empty() ? "(no fault)" : faults.c_str(),
      result.broken.empty() ? "kept" : "BROKEN", static_cast<long long>(result.jobs),
      static_cast<long long>(result.finished), static_cast<long long>(result.failed),
      static_cast<long long>(result.cancelled), static_cast<long long>(quantile(result.submitMs, 0.5)),
      static_cast<long long>(quantile(result.submitMs, 0.99)), static_cast<long long>(quantile(result.startMs, 0.5)),
      static_cast<long long>(quantile(result.startMs, 0.99)), static_cast<long long>(quantile(result.finishMs, 0.5)),
      static_cast<long long>(quantile(result.finishMs, 0.99)), static_cast<long long>(result.leaderGapMs),
      static_cast<long long>(result.recoveredMs), static_cast<unsigned long long>(result.events),
      static_cast<unsigned long long>(result.traceSum));
  if (result.peakBytes == 0) return text;
  return std::string(text) + ", served again after " + std::to_string(result.servedAgainMs) + " ms, peak " +
         std::to_string(result.peakBytes / 1024) + " kB (" + result.peakAt + "), " +
         std::to_string(result.alarms.size()) + " alarms";
}

}  // namespace tulip::simulator
