#pragma once
#include <cstdint>

#include "jobs/job.hpp"

// How long tasks take against what is expected of them: from their peers of the same step, which share whatever is
// wrong with its estimate, or else from the estimate, less the error that estimates of the queue usually have.
namespace tulip::scheduler {

/// The error of a queue's estimates, in natural logarithms of the time taken over the time estimated.
struct EstimateError {
  double bias = 0;         // mean
  double spread = 0.5;     // mean distance from the bias
  std::int64_t steps = 0;  // that it was learned from
};

/// Learns from a step whose tasks took `ratio` times their estimate.
void noteEstimate(EstimateError& error, double ratio);

/// The part of `ratio`, the time taken over the time estimated, that the usual error of estimates doesn't explain; 1
/// where it explains all.
double unexplained(const EstimateError& error, double ratio);

/// Ends or projections from which on the tasks of a step are judged against one another, and no longer against their
/// estimate.
inline constexpr std::uint32_t kFewestPeers = 3;

/// How long a task of the step takes: the mean of its peers that ended, or else of those at work, or else its estimate.
Millis expectedMs(const jobs::Job& job, std::size_t task);

/// How many times as long as expected a task takes whose whole time is `tookMs`.
double slowness(const jobs::Job& job, std::size_t task, Millis tookMs, const EstimateError& error);

/// Counts the clean end of a task that took `tookMs`. True if that makes half of its step: its peers now tell how far
/// off the estimate was.
bool noteEnd(jobs::Job& job, std::size_t task, Millis tookMs);

/// Learns from a task at work that it will have taken `wholeMs` by its end.
void noteProjection(jobs::Job& job, std::size_t task, Millis wholeMs);

}  // namespace tulip::scheduler
