#pragma once
#include "watch/crew.hpp"

namespace tulip::manifest {

struct TenderRun {
  std::string spec;
  std::string workerIncarnation;
  signal::RunState state = signal::RunState::ordered;
  signal::RunOutcome outcome = signal::RunOutcome::none;
  std::string detail;
  std::string saved;  // to resume from while ordered, as last reported afterwards
  std::int64_t percent = 0;
  bool wanted = false;
  bool stop = false;
  bool listed = false;
  std::uint64_t handedReport = 0;
  std::uint64_t stopReport = 0;
  std::uint64_t number = 0;
  Millis sinceMs = 0;  // when this life of the tender first heard of it
};

struct Poll {
  std::uint64_t transaction = 0;
  std::uint64_t report = 0;
  Millis sinceMs = 0;
  Millis holdMs = 0;
  bool brief = false;
  std::vector<signal::EndedRun> ended;
};

struct TenderCounts {
  std::uint64_t reports = 0, orders = 0, deniedOrders = 0, handed = 0, rehanded = 0, deniedStarts = 0, staleReports = 0, silences = 0;
};

struct TenderState {
  watch::Crew crew;
  WorkerId worker;
  std::string incarnation;
  bool heard = false;
  std::uint64_t lastReport = 0;
  Millis workerMs = 0;
  Millis workerUntilMs = 0;
  Millis answeredMs = 0;
  PoolName pool;
  std::map<std::string, std::string> labels;
  std::int64_t slots = 0;
  std::map<std::string, std::int64_t> room;
  bool leaving = false;
  Millis leavesAtMs = -1;
  bool gone = false;  // its worker said that it ends
  std::optional<Poll> poll;
  std::map<RunId, TenderRun> runs;
  Ballot term;
  std::uint64_t ordersSeq = 0;
  Revision orderedRevision = 0;
  Millis echoMs = -1000000;
  std::uint64_t reportSeq = 0;
  std::uint64_t lastSeen = 0;
  Millis reportedMs = -1000000;
  bool reportDue = false;
  TenderCounts counts;
};

TenderState makeTender(const Env& env, const DaemonId& id, std::string incarnation);
void tenderHeard(TenderState& tender, const signal::Heard& heard, signal::Now now, signal::Outbox& out);
void workerReport(TenderState& tender, std::uint64_t transaction, std::string_view body, signal::Now now, signal::Outbox& out);
void workerReport(TenderState& tender, std::uint64_t transaction, const signal::WorkerReport& report, signal::Now now, signal::Outbox& out);
void workerLeaves(TenderState& tender, std::uint64_t transaction, std::string_view incarnation, signal::Now now, signal::Outbox& out);
void tenderTick(TenderState& tender, signal::Now now, signal::Outbox& out);
std::string countersJson(const TenderState& tender);

}  // namespace tulip::manifest
