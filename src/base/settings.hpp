#pragma once
#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "base/resource_limits.hpp"
#include "base/types.hpp"

namespace tulip {

struct Bounds {
  Millis leaseMs = 1500;
  Millis workerLeaseMs = 2000;
  Millis stopMs = 5000;
  Millis callMs = 5000;
  Millis gangWaitMs = 5000;    // a gang member waits this long for the others before its worker gives it up
  Millis runStopMs = 2000;     // a worker takes this long at most to stop a run
  Millis statusMs = 0;         // how long an ended job is told of; 0: as the configuration's keep says
  Millis drainMs = 0;          // a worker that announces its leave serves on for this long at least; 0: not known
  Millis earlyMs = 0;          // how far ahead of its due time a task may start
  Millis catchUpMs = 0;        // an empty replica at a new address is to be seated within this; 0: four terms
  Millis checkpointMs = 1000;  // work between two checkpoints
  double farFactor = 1.5;      // how much longer work takes away from its data or across racks

  Millis heartbeatMs() const { return leaseMs / 5; }
  Millis reportMs() const { return workerLeaseMs / 8; }
  Millis longPollMs() const { return workerLeaseMs / 4; }
  Millis nextHeartbeatMs() const {
    return std::max<Millis>(20, workerLeaseMs / 40);
  }                                                         // between heartbeats of a busy worker
  Millis newsHoldMs() const { return workerLeaseMs / 50; }  // a heartbeat that brings ends waits this long for new work
  Millis idleHoldMs() const { return workerLeaseMs / 10; }  // one of an idle worker waits this long
  Millis freshMs() const { return workerLeaseMs / 2; }
  Millis sureMs(std::int64_t leases) const { return leases * (workerLeaseMs + workerLeaseMs / 10); }
  Millis lapseMs() const { return 2 * leaseMs + leaseMs / 10; }
};

enum class FaceKind : std::uint8_t { own, callers, ready, control, worker, metrics };

struct Face {
  FaceKind kind = FaceKind::own;
  Address at;
};

struct Settings {
  Role role = Role::scheduler;
  std::string name;
  Address peerAddress;
  Address http;
  ZoneName zone;
  std::vector<Address> seeds;   // signal addresses of replicas or of daemons beside them
  std::vector<Face> faces;      // listeners beside the own interface, spoken to in the protocol adapter
  std::string adapter;          // empty: the own interface only
  bool firstBoot = true;        // a new fleet may be formed
  std::int64_t losses = 1;      // replicas that may be lost at once; the membership has twice as many voters and one
  std::int64_t linkKbps = 0;    // what the machine's own link carries, in kilobits a second; 0: not known
  Millis firstThresholdMs = 0;  // usual first demotion threshold, in worker milliseconds; 0: as configured
  std::string dataFolder;
  std::string settingsFile;
  std::string metricsPath;  // under which the metrics listener answers; empty: there is none
  std::string worker;
  Bounds bounds;
  std::size_t ringItems = 4096;
  std::size_t maxBodyBytes = 1 << 20;
  ResourceLimits limits;
};

struct SettingsFault {
  std::string source;
  std::string key;
  std::string allowed;
};

using SettingsFlags = std::map<std::string, std::string>;

const std::vector<std::string>& settingsKeys();
bool readSettings(Role role, const SettingsFlags& flags, Settings& settings, SettingsFault& fault);
std::string faultLine(const SettingsFault& fault);
bool validAddress(std::string_view text);
/// Reads "PORT/PATH" into the metrics listener at that IP number. False, and nothing changed, if it can't be read.
bool readMetricsSetting(std::string_view text, std::string_view ip, Settings& settings);

}  // namespace tulip
