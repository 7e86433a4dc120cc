#pragma once
#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/errors.hpp"
#include "base/settings.hpp"
#include "transport/messages.hpp"

namespace tulip::transport {

struct Now {
  Millis steadyMs = 0;
  Millis wallMs = 0;  // time of day; only due times of jobs are mapped from it
};

struct Heard {
  DaemonId fromId;
  Address from;
  Message message;
  Address to = {};
  Incarnation incarnation = {};    // the sender's; Incarnation{} of a process of the protocol before incarnations
  Incarnation toIncarnation = {};  // the addressee's, where the sender knew one
};

struct Ask {
  std::uint64_t requestId = 0;
  std::string method;
  std::string path;
  std::string query;
  std::string body;
  std::string requestName;
  Millis deadlineMs = 0;
  int hops = 0;
  FaceKind face = FaceKind::own;
  std::string host;
  std::string basedOn;
  std::string key;  // that the caller came with as a bearer; empty: none
};

struct RunningAttempt {
  AttemptId run;
  std::string saved;
  std::int64_t percent = 0;
};

struct EndedAttempt {
  std::uint64_t number = 0;  // 0: acknowledged by its name, otherwise by the highest number without gaps
  AttemptId run;
  AttemptOutcome outcome = AttemptOutcome::none;
  std::string saved;
  std::string detail;
};

struct WorkerReport {
  std::string incarnation;
  std::uint64_t number = 0;
  PoolName pool;
  std::map<std::string, std::string> labels;
  std::int64_t slots = 0;
  std::map<std::string, std::int64_t> capacity;
  bool leaving = false;
  Millis leavesMs = -1;  // time left at least until it goes; -1: not said
  std::vector<RunningAttempt> running;
  std::vector<EndedAttempt> ended;
  bool moreEnded = false;  // than are listed: what is in neither list may have ended
};

/// A text that many attempts have, held once.
using SharedText = std::shared_ptr<const std::string>;

struct StartOrder {
  AttemptId run;
  SharedText spec;  // never null
  std::string saved;
};

struct WorkerAnswer {
  std::uint64_t number = 0;
  Millis goOnMs = 0;  // from the sending of the report that is answered
  Millis startWithinMs = 0;
  Millis nextMs = 0;  // when the next report is wanted; 0: at once
  std::uint64_t fence = 0;
  std::uint64_t lastSeen = 0;
  std::vector<StartOrder> start;
  std::vector<AttemptId> stop;
  std::vector<AttemptId> acknowledged;
};

enum class JobPhase : std::uint8_t { none, waiting, running, finished, failed, cancelled };

struct CallResult {
  JobPhase phase = JobPhase::none;
  std::int64_t count = 0;
  std::string text;
  std::optional<WorkerAnswer> worker;
};

struct Persisted {
  std::uint64_t ticket = 0;
  bool ok = true;
};

struct Tick {};
struct PoliteStop {};

using Event = std::variant<Heard, Ask, Persisted, Tick, PoliteStop>;

struct Send {
  Address to;
  Message message;
  Incarnation toIncarnation = {};  // the addressee's, where it is known
};

struct Answer {
  std::uint64_t requestId = 0;
  int status = 200;
  Millis retryMs = 0;
  std::string body;
  Kind kind = Kind::ok;
  CallResult brief = {};  // the same in plain values, for callers through a protocol adapter
  Address location = {};  // of askElsewhere: the listener that answers the same request
};

struct ForwardRequest {
  std::uint64_t requestId = 0;
  Address http;
};

struct DiskEntry {
  std::string kind;
  Entry entry;
  MSGPACK_DEFINE(kind, entry)
};

struct Persist {
  std::uint64_t ticket = 0;
  std::vector<DiskEntry> entries;
};

struct Outbox {
  std::vector<Send> sends;
  std::vector<Answer> answers;
  std::vector<ForwardRequest> forwards;
  std::vector<Persist> persists;
  std::vector<std::string> alarms;
  bool done = false;
  Millis wakeMs = -1;  // steady time by which the next tick is wanted; -1: the usual one will do
  void wakeBy(Millis atMs) { wakeMs = wakeMs < 0 ? atMs : std::min(wakeMs, atMs); }

  void send(const Address& to, Message message) { sends.push_back({to, std::move(message), {}}); }
  // To the process that asked, and to no later one at its address.
  void reply(const Heard& heard, Message message) {
    sends.push_back({heard.from, std::move(message), heard.incarnation});
  }
  void answer(std::uint64_t requestId, int status, std::string body, Millis retryMs = 0, Kind kind = Kind::ok) {
    answers.push_back({requestId, status, retryMs, std::move(body), kind, {}});
  }
  void reject(std::uint64_t requestId, Kind kind, std::string body, Millis retryMs = 0) {
    answers.push_back({requestId, rowOf(kind).status, retryMs, std::move(body), kind, {}});
  }
  void redirect(std::uint64_t requestId, const Address& to) {
    answers.push_back({requestId, rowOf(Kind::askElsewhere).status, 0, {}, Kind::askElsewhere, {}, to});
  }
  void tell(std::uint64_t requestId, Kind kind, CallResult brief, Millis retryMs = 0) {
    answers.push_back({requestId, rowOf(kind).status, retryMs, {}, kind, std::move(brief)});
  }
};

using Step = std::function<void(const Event&, Now, Outbox&)>;

}  // namespace tulip::transport
