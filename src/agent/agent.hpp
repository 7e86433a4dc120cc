#pragma once
#include <deque>

#include "agent/shared_texts.hpp"
#include "control/client.hpp"

namespace tulip::agent {

struct AgentAttempt {
  transport::SharedText spec;  // until the worker lists the attempt; null otherwise
  std::string workerIncarnation;
  transport::AttemptState state = transport::AttemptState::ordered;
  transport::AttemptOutcome outcome = transport::AttemptOutcome::none;
  std::string detail;
  std::string saved;  // to resume from while ordered, as last reported afterwards
  std::int64_t percent = 0;
  bool wanted = false;
  bool stop = false;
  bool listed = false;
  std::uint64_t handedReport = 0;
  std::uint64_t stopReport = 0;
  std::uint64_t number = 0;
  Millis sinceMs = 0;     // when this life of the agent first heard of it
  std::size_t place = 0;  // in the newest orders, which name what goes first before what may wait
};

struct Poll {
  std::uint64_t requestId = 0;
  std::uint64_t report = 0;
  Millis sinceMs = 0;
  Millis holdMs = 0;
  bool brief = false;
  std::vector<transport::EndedAttempt> ended;
};

/// A life of the worker that has reported while another one is believed to be the present.
struct LifeClaim {
  std::string incarnation;
  std::uint64_t report = 0;  // the number of its report, which was answered
};

struct AgentCounts {
  std::uint64_t reports = 0, orders = 0, rejectedOrders = 0, handed = 0, rehanded = 0, rejectedStarts = 0,
                staleReports = 0, silences = 0;
};

struct AgentState {
  control::ControlClient client;
  WorkerId worker;
  std::string incarnation;
  bool heard = false;
  bool proven = false;  // the present life has followed an answer, so it was alive then
  std::optional<LifeClaim> claim;
  bool knowsAllEnds = false;  // the worker's last report listed all of its ends
  std::uint64_t lastReport = 0;
  Millis workerMs = 0;
  Millis workerUntilMs = 0;
  Millis answeredMs = 0;
  PoolName pool;
  std::map<std::string, std::string> labels;
  std::int64_t slots = 0;
  std::map<std::string, std::int64_t> capacity;
  bool leaving = false;
  Millis leavesAtMs = -1;
  std::string leavingLife;               // the life of the worker that announced its leave; empty: none did
  std::deque<std::string> earlierLives;  // of the worker, the latest last: nothing that they say counts any more
  std::optional<Poll> poll;
  std::map<AttemptId, AgentAttempt> runs;
  SharedTexts specs;  // of the runs
  Ballot term;
  std::uint64_t ordersSeq = 0;
  Version orderedVersion = 0;
  Millis acknowledgedMs = -1000000;
  std::uint64_t reportSeq = 0;
  std::uint64_t answeredReport = 0;  // the newest that orders have answered
  Address reportedTo;                // the leader that was sent the last one
  std::uint64_t lastSeen = 0;
  Millis reportedMs = -1000000;
  bool reportDue = false;
  AgentCounts counts;
};

AgentState makeAgent(const Settings& settings, const DaemonId& id, std::string incarnation);
void agentHeard(AgentState& agent, const transport::Heard& heard, transport::Now now, transport::Outbox& out);
void workerReport(AgentState& agent, std::uint64_t requestId, std::string_view body, transport::Now now,
                  transport::Outbox& out);
void workerReport(AgentState& agent, std::uint64_t requestId, const transport::WorkerReport& report, transport::Now now,
                  transport::Outbox& out);
void workerLeaves(AgentState& agent, std::uint64_t requestId, std::string_view incarnation, transport::Now now,
                  transport::Outbox& out);
void agentTick(AgentState& agent, transport::Now now, transport::Outbox& out);
std::string countersJson(const AgentState& agent);

}  // namespace tulip::agent
