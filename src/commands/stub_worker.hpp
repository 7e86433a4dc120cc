#pragma once
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "transport/core.hpp"

namespace tulip::commands {

// A stand-in worker: it guards nothing and does what it is told, at the pace and with the faults of its traits. All
// times are its own steady clock's.
struct WorkerTraits {
  std::string name;
  std::string pool;
  std::int64_t slots = 8;
  std::map<std::string, std::string> labels;
  std::map<std::string, std::int64_t> capacity;
  bool selfStop = true;
  double slowFactor = 1.0;   // work takes this many times as long
  int failEvery = 0;         // every Nth run fails; 0: none
  Millis stopTakesMs = 20;   // a stop takes this long at most
  double failShare = 0;      // 0 to 1, drawn from the run's name
  bool standsStill = false;  // work and percent do not move
  bool mute = false;         // sends no reports
  Millis gangWaitMs = 5000;
  Millis checkpointMs = 1000;        // work between two checkpoints
  Millis restoreMs = 250;            // to resume from a checkpoint
  Millis holdMostMs = 0;             // a longer hold is cut to this; 0: any
  double farFactor = 1.5;            // away from the rack that a run names as near
  std::size_t mostEndsListed = 500;  // in one report, the oldest first
};

struct RunningAttempt {
  std::int64_t slots = 1;
  std::map<std::string, std::int64_t> capacity;
  std::string gang;  // what its members have in common; empty: it works by itself
  std::int64_t members = 1;
  bool oneRack = false;
  bool standing = false;
  bool saves = false;
  bool fails = false;
  double farFactor = 1.0;
  Millis workMs = 0;
  double doneMs = 0;
  bool workDone = false;
  bool waits = false;  // for the other members
  Millis waitsSinceMs = 0;
  Millis movedMs = 0;  // until when doneMs is counted
  bool stopping = false;
  Millis stoppedMs = 0;  // when the stop will be over
  std::string saved;
};

struct EndedAttempt {
  std::string outcome;
  std::string detail;
  std::string saved;
  std::uint64_t number = 0;  // rises with each end of the worker's life
  bool holdLapsed = false;   // since its end, before an answer acknowledged it
};

struct Worker {
  WorkerTraits traits;
  std::string incarnation;
  std::uint64_t report = 0;
  std::uint64_t fence = 0;
  Millis goOnUntilMs = -1000000;
  Millis callAtMs = 0;  // when the answer wants the next report
  std::map<std::string, RunningAttempt> running;
  std::map<std::string, EndedAttempt> ended;
  std::map<std::string, std::int64_t> passed;  // task -> highest attempt that was stopped or ended here
  bool leaving = false;
  Millis leavesAtMs = -1;
  std::int64_t started = 0;
  std::uint64_t endedCount = 0;
  std::vector<std::string> journal;
};

std::string nextReport(Worker& worker, Millis nowMs);
void heardAnswer(Worker& worker, std::string_view body, Millis sentMs, Millis nowMs);
bool workerTick(Worker& worker, Millis nowMs);

// What only the world knows of a gang: that all members are there, that one ended otherwise than cleanly, that all are
// done.
void gangWhole(Worker& worker, const std::string& run, double farFactor, Millis nowMs);
void gangBroken(Worker& worker, const std::string& run, Millis nowMs);
void gangDone(Worker& worker, const std::string& run, Millis nowMs);

std::string digestOf(std::string_view text);  // 8 hex digits
std::string taskOf(std::string_view run);
std::string gangOf(std::string_view run);  // what the members of one gang's attempt have in common
std::int64_t attemptOf(std::string_view run);

}  // namespace tulip::commands
