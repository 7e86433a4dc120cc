#pragma once
#include <functional>
#include <ostream>

#include "simulator/judge.hpp"
#include "simulator/load.hpp"

namespace tulip::simulator {

struct DayPlan {
  std::uint64_t seed = 1;
  std::vector<LineLoad> load = builtInLoad("leatherwood");
  std::vector<std::string> faults;
  double seconds = 16;
  double loadFactor = 1;
  std::string rule = "las";
  FleetPlan fleet;
  std::ostream* trace = nullptr;
  std::vector<Arrival> arrivals;
  std::string configPatch;
  double tailSeconds = 90;
  bool forgetsEnded = false;
  bool longDay = false;  // overlapping troubles at any hour, changes all along, and the loss of the whole control side
  std::string operation;
  std::optional<Place> place;
};

struct DayResult {
  std::uint64_t seed = 0;
  std::vector<std::string> faults;
  std::vector<Broken> broken;
  std::uint64_t traceSum = 0;
  std::uint64_t events = 0;
  std::int64_t jobs = 0, accepted = 0, finished = 0, failed = 0, cancelled = 0;
  std::int64_t starts = 0, checks = 0, submitTries = 0;
  Millis recoveredMs = -1;
  Millis leaderGapMs = 0;
  Millis servedAgainMs = -1;  // from the machines' return after a long day's closing fault to the first served request
  std::vector<Millis> submitMs, startMs, finishMs;
  std::uint64_t syncs = 0;
  std::uint64_t dropped = 0;
  std::size_t leaderKeys = 0, leaderJobs = 0, mostReplicaKeys = 0;
  std::map<std::string, JobTruth> truth;
  std::map<std::string, std::int64_t> outcomes;
  std::vector<std::string> alarms;
  std::string leaderCounters;  // of the leader at the end
  std::size_t peakBytes = 0;   // what a daemon of the control side kept in memory at most, on long days
  std::string peakAt;          // which one, and when
  std::map<std::string, int> points;
  bool placed = false;
};

std::vector<std::string> faultNames();
std::vector<std::string> operationNames();
DayPlan operationDay(const std::string& operation, std::uint64_t seed);
std::vector<std::string> drawFaults(std::uint64_t seed);
DayResult runDay(const DayPlan& plan);
void inThreads(int threads, std::size_t count, const std::function<void(std::size_t)>& act);
Millis quantile(std::vector<Millis> values, double at);
std::string summary(const DayResult& result);

}  // namespace tulip::simulator
