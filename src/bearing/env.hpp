#pragma once
#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "bearing/types.hpp"

namespace tulip {

struct Bounds {
  Millis termMs = 1500;
  Millis workerTermMs = 2000;
  Millis stopMs = 5000;
  Millis callMs = 5000;
  Millis gangWaitMs = 5000;    // a gang member waits this long for the others before its worker gives it up
  Millis runStopMs = 2000;     // a worker takes this long at most to stop a run
  Millis statusMs = 0;         // how long an ended job is told of; 0: as the configuration's keep says
  Millis earlyMs = 0;          // how far ahead of its due time a task may start
  Millis catchUpMs = 0;        // an empty quay at a new address is to be seated within this; 0: four terms
  Millis checkpointMs = 1000;  // work between two checkpoints
  double farFactor = 1.5;      // how much longer work takes away from its data or across racks

  Millis beatMs() const { return termMs / 5; }
  Millis reportMs() const { return workerTermMs / 8; }
  Millis longPollMs() const { return workerTermMs / 4; }
  Millis nextBeatMs() const { return std::max<Millis>(20, workerTermMs / 40); }   // between beats of a busy worker
  Millis newsHoldMs() const { return workerTermMs / 50; }   // a beat that brings ends waits this long for new work
  Millis idleHoldMs() const { return workerTermMs / 10; }   // one of an idle worker waits this long
  Millis freshMs() const { return workerTermMs / 2; }
  Millis sureMs(std::int64_t terms) const { return terms * (workerTermMs + workerTermMs / 10); }
  Millis lapseMs() const { return 2 * termMs + termMs / 10; }
};

enum class FaceKind : std::uint8_t { own, callers, ready, control, worker };

struct Face {
  FaceKind kind = FaceKind::own;
  Address at;
};

struct Env {
  Role role = Role::pilot;
  std::string name;
  Address signal;
  Address http;
  CellName cell;
  std::vector<Address> seeds;          // signal addresses of quays or of daemons beside them
  std::vector<Face> faces;             // listeners beside the own interface, spoken to in the dialect
  std::string dialect;                 // empty: the own interface only
  bool firstBoot = true;               // a new fleet may be formed
  std::int64_t losses = 1;             // quays that may be lost at once; the cohort has twice as many seats and one
  Millis firstThresholdMs = 0;         // usual first demotion threshold, in worker milliseconds; 0: as configured
  std::string dataFolder;
  std::string envFile;
  std::string worker;
  Bounds bounds;
  std::size_t ringItems = 4096;
  std::size_t maxBodyBytes = 1 << 20;
};

struct EnvFault {
  std::string source;
  std::string key;
  std::string allowed;
};

using EnvFlags = std::map<std::string, std::string>;

const std::vector<std::string>& envKeys();
bool readEnv(Role role, const EnvFlags& flags, Env& env, EnvFault& fault);
std::string faultLine(const EnvFault& fault);
bool validAddress(std::string_view text);

}  // namespace tulip
