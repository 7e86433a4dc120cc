// How service counts against a job, and the order in which jobs are considered.
#include <algorithm>
#include <limits>
#include <numeric>
#include <tuple>

#include "admission/planner.hpp"

namespace tulip::admission {

namespace {
constexpr std::size_t kFewestSizes = 16;  // ended jobs known before the Gittins index is used

/// What jobs are ordered by, the lowest first.
struct OrderKey {
  std::int64_t rank = 0, lane = 0;
  double index = 0;
  std::int64_t firstStartMs = 0, rankInLane = 0;
  bool passed = false;
  Millis dueInMs = 0, acceptedMs = 0;

  auto tie() const { return std::tie(rank, lane, index, firstStartMs, rankInLane, passed, dueInMs, acceptedMs); }
};

OrderKey keyOf(const Candidate& job, const config::Admission& rules, double index) {
  const bool fresh = job.counters.firstStartMs < 0;
  OrderKey key;
  key.rank = rules.rankFirst ? -job.rank : 0;
  key.acceptedMs = job.acceptedMs;
  if (rules.rule == config::Rule::fifo) return key;
  key.lane = laneOf(job.counters, rules);
  key.index = -index;
  key.firstStartMs = fresh ? std::numeric_limits<Millis>::max() : job.counters.firstStartMs;
  key.rankInLane = -job.rank;
  key.passed = fresh && job.dueInMs < 0 && job.readyForMs < rules.reserveAfterMs;
  key.dueInMs = !fresh ? 0 : job.dueInMs == 0 ? rules.reserveAfterMs : job.dueInMs;
  return key;
}
}  // namespace

std::int64_t laneOf(const Counters& counters, const config::Admission& rules) {
  return std::min(counters.lane, rules.lanes - 1);
}

void accrue(Counters& counters, std::int64_t held, bool waiting, Millis spanMs) {
  if (spanMs <= 0) return;
  if (held > 0) {
    const auto served = held * spanMs + counters.rest;
    counters.servedMs += served / 1000;
    counters.totalServedMs += served / 1000;
    counters.rest = served % 1000;
    counters.ranMs += spanMs;
    counters.waitMs = 0;
  } else if (waiting) {
    counters.waitMs += spanMs;
  }
}

bool settle(Counters& counters, const config::Admission& rules, bool holds) {
  const auto before = counters.lane;
  counters.lane = std::min(counters.lane, rules.lanes - 1);
  while (counters.lane < rules.lanes - 1 &&
         counters.servedMs >= rules.thresholdsMs[static_cast<std::size_t>(counters.lane)])
    ++counters.lane;
  if (rules.promoteKnob && counters.lane > 0 && !holds && counters.ranMs > 0 &&
      static_cast<double>(counters.waitMs) >= *rules.promoteKnob * static_cast<double>(counters.ranMs)) {
    counters.lane = 0;
    counters.servedMs = counters.ranMs = counters.waitMs = 0;
    ++counters.promotions;
  }
  return counters.lane != before;
}

double gittinsIndex(std::int64_t servedMs, std::span<const std::int64_t> sizes, std::int64_t quantumMs) {
  double done = 0, spent = 0;
  for (const auto size : sizes) {
    if (size <= servedMs) continue;
    const auto left = size - servedMs;
    done += left <= quantumMs;
    spent += static_cast<double>(std::min(left, quantumMs));
  }
  return spent > 0 ? done / spent : 0;
}

std::vector<std::size_t> order(std::span<const Candidate> jobs, const config::Admission& rules,
                               std::span<const std::int64_t> sizes) {
  std::vector<std::size_t> ranking(jobs.size());
  std::iota(ranking.begin(), ranking.end(), 0);
  const bool byIndex = rules.rule == config::Rule::gittins && sizes.size() >= kFewestSizes;
  std::vector<double> index(jobs.size(), 0);
  if (byIndex)
    for (std::size_t i = 0; i < jobs.size(); ++i) {
      const auto lane = laneOf(jobs[i].counters, rules);
      if (lane < rules.lanes - 1)
        index[i] = gittinsIndex(jobs[i].counters.servedMs, sizes, rules.thresholdsMs[static_cast<std::size_t>(lane)]);
    }
  std::vector<OrderKey> keys;
  keys.reserve(jobs.size());
  for (std::size_t i = 0; i < jobs.size(); ++i) keys.push_back(keyOf(jobs[i], rules, index[i]));
  std::sort(ranking.begin(), ranking.end(), [&](std::size_t a, std::size_t b) {
    const auto x = keys[a].tie(), y = keys[b].tie();
    return x != y ? x < y : jobs[a].id != jobs[b].id ? jobs[a].id < jobs[b].id : a < b;
  });
  return ranking;
}

}  // namespace tulip::admission
