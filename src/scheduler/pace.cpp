#include "scheduler/pace.hpp"

#include <algorithm>
#include <cmath>

namespace tulip::scheduler {

namespace {

constexpr double kLeastWeight = 0.05;  // of one step, once many are known
constexpr double kLeastRatio = 0.01;
constexpr std::uint32_t kMostProjections = 16;  // that the moving mean reaches back to

}  // namespace

void noteEstimate(EstimateError& error, double ratio) {
  ++error.steps;
  const double weight = std::max(kLeastWeight, 1.0 / static_cast<double>(error.steps + 1));
  const double distance = std::log(std::max(kLeastRatio, ratio)) - error.bias;
  error.spread += weight * (std::abs(distance) - error.spread);
  error.bias += weight * distance;
}

double unexplained(const EstimateError& error, double ratio) {
  const double distance = std::log(std::max(kLeastRatio, ratio)) - error.bias;
  const double beyond = std::max(0.0, std::abs(distance) - error.spread);
  return std::exp(std::copysign(beyond, distance));
}

Millis expectedMs(const jobs::Job& job, std::size_t task) {
  const auto tally = job.tallyOf(task);
  if (tally.timed >= kFewestPeers) return std::max<Millis>(1, tally.timedMs / tally.timed);
  if (tally.projections >= kFewestPeers) return std::max<Millis>(1, std::llround(tally.projectedMs));
  return job.stepOf(task).estimateMs;
}

double slowness(const jobs::Job& job, std::size_t task, Millis tookMs, const EstimateError& error) {
  const auto tally = job.tallyOf(task);
  const bool byPeers = std::max(tally.timed, tally.projections) >= kFewestPeers;
  const double ratio = static_cast<double>(tookMs) / static_cast<double>(expectedMs(job, task));
  return byPeers ? ratio : unexplained(error, ratio);
}

bool noteEnd(jobs::Job& job, std::size_t task, Millis tookMs) {
  auto& tally = job.editTallyOf(task);
  ++tally.timed;
  tally.timedMs += tookMs;
  return tally.timed == (job.stepOf(task).count + 1) / 2;
}

void noteProjection(jobs::Job& job, std::size_t task, Millis wholeMs) {
  auto& tally = job.editTallyOf(task);
  tally.projections = std::min(tally.projections + 1, kMostProjections);
  tally.projectedMs += (static_cast<double>(wholeMs) - tally.projectedMs) / tally.projections;
}

}  // namespace tulip::scheduler
