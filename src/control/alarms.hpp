/// Alarms of the control side: conditions that an operator must be told of, with one log line when a condition has
/// held for longer than its hold-off and one line when it is over.
///
/// The module is pure: the conditions are derived from the state of a replica or of a control client, and the alarms
/// from the conditions and the time handed in.
#pragma once
#include <jansson.h>

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "control/replica.hpp"

namespace tulip::control {

enum class AlarmKind : std::uint8_t {
  noMajority,
  noLeader,
  noSession,
  voterSilent,
  voterNotVoting,
  fewerLosses,
  sessionBehind
};

/// How an alarm is named in the log, in the counters and in the operators' page.
std::string_view alarmName(AlarmKind kind);

/// One alarm: its kind, and the voter or daemon that it is about (empty where it is about the whole).
struct AlarmKey {
  AlarmKind kind = AlarmKind::noMajority;
  std::string subject;
  auto operator<=>(const AlarmKey&) const = default;
};

/// A condition that holds now. `sinceMs` is the steady time from which it is known to hold, or kSinceNow.
struct Condition {
  static constexpr Millis kSinceNow = -1;
  AlarmKey key;
  Millis sinceMs = kSinceNow;
  std::string detail;
};

/// A condition that has been seen and is not over yet. It is raised once it has held for its hold-off.
struct ActiveAlarm {
  Millis sinceMs = 0;
  bool raised = false;
  std::string detail;
};

struct AlarmState {
  std::map<AlarmKey, ActiveAlarm> active;
  Millis checkedMs = -1;  ///< when the conditions were last looked at
  Millis awakeMs = 0;     ///< since when they have been looked at without a gap
  std::uint64_t raised = 0;
  std::uint64_t cleared = 0;
};

/// How long a condition must hold before it is told of: longer than an ordinary change of leader or a restart of one
/// process takes, as a multiple of the lease.
Millis alarmHoldOffMs(AlarmKind kind, const Bounds& bounds);

/// What a replica knows: its majority, the leader, each other voter, how many losses can be borne, and each daemon with
/// a session here that is short of the configuration, for which its acknowledgement waits.
std::vector<Condition> replicaConditions(const ReplicaState& replica, transport::Now now);

/// What any other daemon knows: its session with the replicas and, where it has one, the leader.
std::vector<Condition> clientConditions(const ControlClient& client, bool knowsLeader, transport::Now now);

/// Brings the alarms up to the conditions that hold now, and adds one line for each that was raised or is over.
void updateAlarms(AlarmState& alarms, const std::vector<Condition>& conditions, const Bounds& bounds,
                  transport::Now now, std::vector<std::string>& lines);

/// The daemons that the acknowledgement of the newest configuration waits for here, as a JSON array of `daemon`,
/// `revision`, `wanted`, `forMs`, `heardMs` ago and, where it was sent, `sentMs` ago and the revision it was sent as a
/// delta to, `base`.
json_t* sessionsBehindView(const ReplicaState& replica, transport::Now now);

/// The raised alarms as a JSON array of `alarm`, `subject`, `forMs` and `detail`.
json_t* alarmsView(const AlarmState& alarms, transport::Now now);

}  // namespace tulip::control
