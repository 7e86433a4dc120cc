#pragma once
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "bearing/env.hpp"
#include "chart/chart.hpp"
#include "signal/core.hpp"

namespace tulip::watch {

inline const std::string kChartKey = "chart";

struct Edit {
  bool whole = false;
  std::string body;
  std::optional<Revision> expected;
  std::string name;
  bool sections = false;              // only the top-level sections that body names are replaced, each whole
  Revision edition = 0;               // the operator's own number: must rise; 0: none given
  std::optional<Revision> basedOn;    // the edition that must be current
};

enum class Phase { queued, prepare, accept, learn, done };

struct Proposal {
  std::uint64_t transaction = 0;
  std::string key;
  std::optional<Edit> edit;
  std::string fixedValue;
  Ballot ballot;
  Phase phase = Phase::queued;
  std::map<Address, signal::RegisterPromise> promises;
  std::set<Address> accepts;
  std::string value;
  std::optional<Ballot> judgedOn;  // the accepted ballot that value was made from
  bool changes = false;
  Revision revision = 0;
  int status = 200;
  Kind kind = Kind::ok;
  std::string body;
  Millis startedMs = 0;
  Millis cutoffMs = 0;
  Millis sentMs = 0;
  Millis retryAtMs = 0;
  Millis learnedMs = -1;
  std::uint64_t query = 0;
  std::map<Address, signal::AckState> states;
  std::map<Address, Millis> toldMs;  // when a seat was last sent the chosen value itself
  int attempts = 0;
};

struct Crew {
  Env env;
  DaemonId id;
  std::string incarnation;
  Address home;
  std::vector<Address> referred;
  std::uint64_t beat = 0;
  Millis beatSentMs = -1000000;
  Millis grantedMs = -1000000;
  Millis sessionUntilMs = -1000000;
  Revision chartRevision = 0;
  std::string chartText;
  std::shared_ptr<const chart::Chart> chart = std::make_shared<chart::Chart>();
  signal::LeaderHint leader;
  signal::Cohort cohort;
  std::vector<signal::Member> members;
  std::uint64_t membersDigest = 0;
  Millis fleetMs = 0;
  Millis fleetAtMs = -1;
  bool ready = false;
  bool leaving = false;
  bool strange = false;
  std::vector<Proposal> proposals;
  std::uint64_t ballotNumber = 0;
  Ballot knownBallot;      // a ballot of the configuration's register and its value
  std::string knownValue;
  std::uint64_t proposed = 0, chosen = 0, contended = 0;
};

Crew makeCrew(const Env& env, const DaemonId& id, std::string incarnation);
bool sessionLive(const Crew& crew, signal::Now now);
Millis fleetNow(const Crew& crew, signal::Now now);
void raiseFleet(Crew& crew, Millis fleetMs, signal::Now now);
void setFleet(Crew& crew, Millis fleetMs, signal::Now now);
std::vector<Address> quayAddresses(const Crew& crew);
std::vector<Address> seatAddresses(const Crew& crew);
std::size_t majority(std::size_t count);

bool crewHeard(Crew& crew, const signal::Heard& heard, signal::Now now, signal::Outbox& out);
void crewTick(Crew& crew, signal::Now now, signal::Outbox& out);
void beatNow(Crew& crew, signal::Now now, signal::Outbox& out);
void proposeChart(Crew& crew, std::uint64_t transaction, Edit edit, Millis cutoffMs, signal::Now now, signal::Outbox& out);
void proposeFixed(Crew& crew, std::string key, std::string value, signal::Now now, signal::Outbox& out);
bool proposing(const Crew& crew, std::string_view key);
std::uint64_t mix(std::string_view text, std::uint64_t hash = 1469598103934665603ull);
// Of what matters of the members; ages only as silent for a term or not. Never 0.
std::uint64_t digestOf(const std::vector<signal::Member>& members, Millis termMs, bool withAcked = true);

void answerKind(signal::Outbox& out, std::uint64_t transaction, Kind kind, const Bounds& bounds, std::string_view detail = {});

}  // namespace tulip::watch
