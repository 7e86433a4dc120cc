#pragma once
#include <string>
#include <vector>

#include "simulator/meter.hpp"
#include "simulator/sim.hpp"

namespace tulip::simulator {

struct ScalePlan {
  int workers = 100;
  std::int64_t running = 1200;  // tasks at work at any time
  double jobsPerSecond = 0;     // 0: such that a task takes 8 s
  int lines = 10;               // of the configuration, each with a quota
  double seconds = 5;           // simulated, measured, beside filling up, the takeover and the end
  bool kill = true;             // the leader, once, under load
  std::uint64_t seed = 1;
  double mostCpuSeconds = 420;  // of processor time; what is left of the run then is not done
};

struct ScaleResult {
  Meter meter;  // of the measured seconds
  double seconds = 0;
  int workers = 0, known = 0;
  std::int64_t running = 0;  // at the end of the measured seconds
  std::int64_t jobs = 0, accepted = 0, finished = 0, tasks = 0, starts = 0, ends = 0, startedTwice = 0, endedTwice = 0,
               unclean = 0;
  std::int64_t lostByKill = 0;  // runs that ended otherwise than clean after the leader was killed
  std::vector<Millis> startMs;  // hand-in to start, of the jobs of the measured seconds
  Millis configMs = -1, configAnswerMs = -1;
  std::size_t configBytes = 0;
  std::uint64_t takeoverNs = 0;  // the step that took over
  Millis takeoverMs = -1;        // from the kill until another leads
  Millis planAgainMs = -1;       // from the kill until a task started that was handed in after it
  Millis gangMs = -1;            // from hand-in until all of a gang run
  std::int64_t gang = 0;
  std::size_t residentBefore = 0, resident = 0;
  std::size_t leaderBytes = 0, schedulerBytes = 0, replicaBytes = 0,
              agentBytes = 0;               // heap of one, freed when it ends
  std::size_t storedBytes = 0, stored = 0;  // of the leader's entries
  std::vector<std::string> alarms;
  bool cutShort = false;
};

ScaleResult runScale(const ScalePlan& plan);
std::string table(const ScaleResult& result);

}  // namespace tulip::simulator
