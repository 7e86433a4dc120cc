#pragma once
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/errors.hpp"
#include "base/json.hpp"
#include "base/types.hpp"
#include "config/mechanisms.hpp"

namespace tulip::config {

struct Queue {
  QueueName name;
  std::int64_t rank = 0;
  std::int64_t failureLimit = 3;
  Millis backoffMs = 200;
  std::int64_t quotaSlots = 0;
  std::int64_t mostJobs = 10000;
  std::string host;  // with prefix: callers reach this queue by host and longest prefix
  std::string prefix;
  PoolName pool;     // empty: any pool
  Millis aimMs = 0;  // wanted from hand-in to end beyond stretch times the work; 0: none
  double stretch = 0;
  bool needsKey = true;  // of a tenant, where there are tenants
  bool operator==(const Queue&) const = default;
  MSGPACK_DEFINE(name, rank, failureLimit, backoffMs, quotaSlots, mostJobs, host, prefix, pool, aimMs, stretch)
};

struct Pool {
  PoolName name;
  std::map<std::string, std::string> labels;
  std::int64_t slots = 1;  // 0: as many as each worker says
  std::int64_t workers = 1;
  std::map<std::string, std::int64_t> capacity;
  bool selfStop = true;
  std::int64_t lostAfterLeases = 5;
  bool guards = false;  // its workers reject what doesn't fit
  bool operator==(const Pool&) const = default;
};

/// Whose keys callers come with, and what its jobs may have running at a time.
struct Tenant {
  TenantName name;
  std::vector<std::string> keys;
  std::map<std::string, std::int64_t> atMost;  // of each kind of capacity; absent or 0: no limit
  bool operator==(const Tenant&) const = default;
};

enum class Rule { las, gittins, fifo };
enum class Layout { pack, spread };

struct Admission {
  Rule rule = Rule::las;
  std::int64_t lanes = 2;
  std::vector<Millis> thresholdsMs{3600000};
  std::optional<double> promoteKnob = 8.0;
  Millis reserveAfterMs = 10000;
  Layout layout = Layout::pack;
  Millis epochMs = 50;
  Millis gangStartMs = 5000;
  std::int64_t mostPushes = 3;
  bool rankFirst = false;   // rank goes before the lane, and higher rank may preempt lower
  double mostLoss = 0;      // work a preemption may lose, as a multiple of the work it lets start; 0: no bound
  double mostRackLoss = 0;  // work of lower rank on a rack that may be done again for work that asks for the rack, as a
                            // multiple of what running away from it costs; 0: none
  Mechanisms without;       // mechanisms that are switched off
  bool operator==(const Admission&) const = default;
};

struct Keep {
  Millis finishedMs = 7LL * 24 * 3600 * 1000;
  std::int64_t finishedMost = 100000;
  bool operator==(const Keep&) const = default;
};

struct Http {
  std::int64_t maxBodyBytes = 1 << 18;
  std::int64_t mostTasks = 256;
  std::int64_t mostOpenJobs = 20000;
  bool operator==(const Http&) const = default;
};

/// Definitions that the configuration no longer has, and that work accepted under them may still need.
struct Former {
  std::map<std::string, Pool> pools;           // removed ones, as they were last
  std::map<std::string, PoolName> queuePools;  // where a queue was last sent, of the queues that were ever moved
  bool operator==(const Former&) const = default;
};

struct Config {
  Version operatorVersion = 0;  // the operator's own number, rising; 0: none given
  std::map<std::string, Queue> queues;
  std::map<std::string, Pool> pools;
  Former former;
  std::map<std::string, Tenant> tenants;
  bool tenantsGiven = false;  // callers need a key of one of them
  std::map<std::string, bool> emptied;
  std::map<std::string, bool> drained;
  std::map<std::string, bool> gone;
  Admission admission;
  bool admissionGiven = false;  // otherwise a daemon's settings may bring usual rules of their own
  Keep keep;
  Http http;
  bool operator==(const Config&) const = default;
};

struct Fault {
  std::string path;
  std::string allowed;
};

bool readConfig(const json_t* root, Config& config, std::vector<Fault>& faults);
bool readConfigText(std::string_view text, Config& config, std::vector<Fault>& faults);
/// A text and the configuration that was read from it without a fault.
struct ReadText {
  std::string_view text;
  const Config& config;
};
/// As readConfigText, for a text of which the most stands in an earlier one: costs what differs, not what there is.
bool readNextText(const ReadText& earlier, std::string_view text, Config& config, std::vector<Fault>& faults);
// RFC 7396. mergeInto changes target, an object that shares no part with another owner; patch is an object.
void mergeInto(json_t* target, const json_t* patch);
Json mergePatch(const json_t* target, const json_t* patch);
std::string faultsJson(Kind kind, const std::vector<Fault>& faults);
std::string_view ruleName(Rule rule);

/// A change that the operator numbered and that was taken.
struct TakenOrder {
  Version operatorVersion = 0;
  std::uint64_t digest = 0;  // of the edit's name
  Version version = 0;       // that it made
  auto operator<=>(const TakenOrder&) const = default;
  MSGPACK_DEFINE(operatorVersion, digest, version)
};

/// A refusal that a later configuration alone would not make final.
struct RejectedEdit {
  std::uint64_t digest = 0;  // of the edit's name
  std::int64_t kind = 0;
  auto operator<=>(const RejectedEdit&) const = default;
  MSGPACK_DEFINE(digest, kind)
};

/// The newest order to empty a zone or to take it back.
struct ZoneMark {
  std::string zone;
  bool emptied = false;
  Version version = 0;  // that it made
  auto operator<=>(const ZoneMark&) const = default;
  MSGPACK_DEFINE(zone, emptied, version)
};

/// What the register keeps; reading it back doesn't touch the JSON.
struct Stored {
  Version version = 0;
  std::string text;
  std::vector<std::pair<std::string, Version>> requests;
  std::vector<TakenOrder> orders;  // the newest ones, their numbers rising
  Version forgottenOrders = 0;     // orders up to this number may have been taken and forgotten
  std::vector<RejectedEdit> rejected;
  std::vector<ZoneMark> zoneMarks;
  MSGPACK_DEFINE(version, text, requests, orders, forgottenOrders, rejected, zoneMarks)
};
Stored readStored(std::string_view value);
std::string writeStored(const Stored& stored);

// What turns base into next, in pieces between the ends of entries; empty when it would save less than half.
std::string makeDelta(std::string_view base, std::string_view next);
// Empty when the delta was made for another base.
std::string applyDelta(std::string_view base, std::string_view delta);

}  // namespace tulip::config
