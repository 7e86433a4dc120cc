#pragma once
#include <map>
#include <set>
#include <string>
#include <vector>

#include "signal/core.hpp"

namespace tulip::roles {

struct WorkerTraits {
  std::string name;
  std::string pool;
  std::int64_t slots = 8;
  std::map<std::string, std::string> labels;
  std::map<std::string, std::int64_t> room;
  bool selfStop = true;
  double slowFactor = 1.0;
  int failEvery = 0;
  Millis stopTakesMs = 20;
};

struct GoingRun {
  Millis endsMs = 0;
  bool fails = false;
  bool stopping = false;
  std::int64_t slots = 1;
};

struct EndedRun {
  std::string outcome;
  std::string detail;
};

struct Worker {
  WorkerTraits traits;
  std::string incarnation;
  std::uint64_t report = 0;
  Millis goOnUntilMs = -1000000;
  std::map<std::string, GoingRun> going;
  std::map<std::string, EndedRun> ended;
  std::set<std::string> seen;
  bool leaving = false;
  std::int64_t started = 0;
  std::vector<std::string> journal;
};

std::string nextReport(Worker& worker);
void heardAnswer(Worker& worker, std::string_view body, Millis sentMs, Millis nowMs);
bool workerTick(Worker& worker, Millis nowMs);

}  // namespace tulip::roles
