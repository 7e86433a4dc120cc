#pragma once
#include "hold/image.hpp"
#include "watch/crew.hpp"

namespace tulip::watch {

struct OtherQuay {
  signal::QuayBeat last;
  Millis heardMs = -1000000;
  Millis soundMs = -1000000;
  Millis echoMs = -1000000;
};

struct Unsynced {
  Millis sinceMs = 0;
  std::vector<signal::Send> sends;
};

struct SessionRow {
  signal::Member member;
  Millis heardMs = 0;
  std::uint64_t beat = 0;
  Millis sentMs = 0;
};

struct QuayState {
  Crew crew;
  hold::Image image;
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
  bool chartKnown = false;
  bool sealed = false;
  signal::LeaderHint leader;
  Millis leaseUntilMs = 0;
  std::pair<Ballot, Millis> fleetFrom;
  Millis hintUntilMs = 0;
  Millis bornMs = 0;
  Millis beatSentMs = -1000000;
  Revision remembered = 0;
  Millis rememberedMs = -1000000;
  bool deniesForming = false;
  Millis completeAtMs = 0;
  std::map<DaemonId, signal::CatchUpGive> catchUp;
  std::uint64_t rangeAccepts = 0, rangeDenied = 0, grants = 0, grantsDenied = 0, catchUps = 0;
};

QuayState makeQuay(const Env& env, hold::Image image, std::string incarnation, signal::Now now);
bool standing(const QuayState& quay, signal::Now now);
bool ailing(const QuayState& quay);
void quayStep(QuayState& quay, const signal::Event& event, signal::Now now, signal::Outbox& out);

}  // namespace tulip::watch
