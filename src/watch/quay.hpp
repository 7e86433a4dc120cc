#pragma once
#include "hold/image.hpp"
#include "watch/crew.hpp"

namespace tulip::watch {

struct OtherQuay {
  signal::QuayBeat last;
  Millis heardMs = -1000000;
  Millis soundMs = -1000000;
  Millis echoMs = -1000000;
  Millis repliedMs = -1000000;
  std::vector<signal::Member> sessions;
  std::uint64_t sessionsDigest = 0;
};

struct Unsynced {
  Millis sinceMs = 0;
  std::vector<signal::Send> sends;
  Revision learned = 0;  // the configuration's revision that is then kept as learned
};

struct SessionRow {
  signal::Member member;
  Millis heardMs = 0;
  std::uint64_t beat = 0;
  Millis sentMs = 0;
  std::uint64_t membersDigest = 0;  // of the list that the daemon said it has
  Millis membersSentMs = -1000000;
  Revision textRevision = 0;        // the configuration last sent to it
  Millis textSentMs = -1000000;
};

struct Forming {
  std::size_t candidates = 0;
  Millis grownMs = 0;
  signal::Form wanted;
};

struct QuayState {
  Crew crew;
  hold::Image image;
  bool diskless = false;
  signal::Cohort known;  // the newest cohort heard of while holding none
  signal::Form joined;   // image.joined once it is synced
  std::uint64_t joinedTicket = 0;
  Forming forming;
  bool diskFailed = false;
  std::uint64_t ticket = 0;
  std::map<std::uint64_t, Unsynced> waiting;
  Millis stepMs = 0;
  bool ailed = false;
  std::map<Address, OtherQuay> others;
  std::map<DaemonId, SessionRow> sessions;
  Ballot learnedBallot;
  std::string learnedValue;
  chart::Stored learned;
  Millis learnedMs = -1000000;
  std::vector<std::pair<Revision, std::string>> olderTexts;
  std::map<Revision, std::string> deltas;  // from an older revision to the learned one
  std::vector<signal::Member> members;
  std::uint64_t membersDigest = 0;
  std::uint64_t rosterDigest = 0;   // of the members without what they acknowledged
  Revision keptRevision = 0;  // learned, and synced as learned
  bool chartKnown = false;
  std::map<DaemonId, Millis> formerUntilMs;  // seats no longer in the cohort: when none of their sessions can be left
  bool sealed = false;
  signal::LeaderHint leader;
  Millis leaseUntilMs = 0;
  std::pair<Ballot, Millis> fleetFrom;
  Millis hintUntilMs = 0;
  Millis bornMs = 0;
  Millis beatSentMs = -1000000;
  Millis seedsMs = -1000000;
  Revision remembered = 0;
  Millis rememberedMs = -1000000;
  bool deniesForming = false;
  Millis completeAtMs = 0;
  Millis openSinceMs = -1;
  Millis stepSinceMs = -1;
  Millis askedMs = -1000000;
  std::map<DaemonId, signal::CatchUpGive> catchUp;
  std::uint64_t rangeAccepts = 0, rangeDenied = 0, grants = 0, grantsDenied = 0, catchUps = 0;
};

QuayState makeQuay(const Env& env, hold::Image image, std::string incarnation, signal::Now now);
bool standing(const QuayState& quay, signal::Now now);
bool ailing(const QuayState& quay);
void quayStep(QuayState& quay, const signal::Event& event, signal::Now now, signal::Outbox& out);

}  // namespace tulip::watch
