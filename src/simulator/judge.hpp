#pragma once
#include "simulator/grace.hpp"
#include "simulator/load.hpp"

namespace tulip::simulator {

struct TaskTruth {
  std::int64_t slots = 1;
  std::vector<std::size_t> after;
  std::map<std::string, SimWorker*> running;
  std::set<std::string> superseded;
  std::int64_t starts = 0, cleanEnds = 0;
  std::set<std::string> failed;                       // runs that failed
  std::set<std::string> acknowledged;                 // runs whose clean end is final
  std::map<std::string, std::string> unacknowledged;  // runs that ended cleanly -> the first run started after that
  Millis acknowledgedMs = -1, failedMs = -1;
  Millis lonelySinceMs = -1;
  Millis waitsSinceMs = -1;  // could run since then, with room in plenty, and doesn't
  std::map<std::string, std::int64_t> capacity;
  std::size_t lead = kItself;  // the first member, which keeps the ends of its whole gang
  std::size_t step = 0;
  std::int64_t instance = 0, members = 1;
  Millis dueMs = 0;
  bool repeats = false, standing = false;
  std::string needs, payload;  // payload: its digest; empty: any
  std::int64_t apart = 0;
  std::set<std::string> issued;                 // checkpoints of its runs
  std::map<std::int64_t, std::string> resumed;  // attempt -> checkpoint it was started from

  static constexpr std::size_t kItself = static_cast<std::size_t>(-1);
};

struct JobTruth {
  std::string id;
  std::string line;
  bool gang = false;
  bool neverSucceeds = false;
  bool mustBeRejected = false;
  bool rejected = false;
  bool turnedAway = false;  // its caller gave up, and each answer had said that
                            // it was not taken
  Millis notBeforeMs = 0;
  Millis submittedMs = 0;
  Millis acceptedMs = -1;
  Millis cancelAskedMs = -1;
  Millis cancelledMs = -1;
  Millis firstStartMs = -1;
  Millis shownEndedMs = -1;
  std::string shown;
  std::string ending;  // told in brief before its last runs have ended
  Millis endingMs = -1;
  Millis acceptedFleetMs = -1, startedFleetMs = -1, endedFleetMs = -1;
  std::int64_t servedMs = 0, preemptions = 0;
  Millis servedSeenMs = 0, servedAskedMs = -1;
  std::vector<std::string> names;
  std::vector<TaskTruth> tasks;
  Millis stalledSinceMs = -1;
  Millis answeredMs = -1;  // when its caller last heard anything of it

  TaskTruth& lead(std::size_t at) { return tasks[tasks[at].lead == TaskTruth::kItself ? at : tasks[at].lead]; }
  const TaskTruth& lead(std::size_t at) const {
    return tasks[tasks[at].lead == TaskTruth::kItself ? at : tasks[at].lead];
  }
  bool clean(std::size_t at) const { return lead(at).cleanEnds > 0; }
  std::int64_t failures(std::size_t at) const;
  bool ready(std::size_t at, Millis nowMs) const;
};

struct Broken {
  Millis atMs;
  std::string rule;
  std::string what;
};

const std::vector<std::string>& ruleNames();

class Judge {
 public:
  explicit Judge(Sim& sim);
  JobTruth& submitted(const std::string& id);
  JobTruth& submitted(const JobSketch& sketch);
  void accepted(const std::string& id);
  void rejected(const std::string& id, int status, const std::string& answer = {});
  void turnedAway(const std::string& id);
  void cancelled(const std::string& id);
  void shown(const std::string& id, int status, const json_t* view, Millis askedMs = -1);
  void configProposed(const std::string& mark);
  /// A version of 0 is not known: the answer does not tell it.
  void configConfirmed(const std::string& mark, Version version);
  void configRejected(const std::string& mark);
  /// Its operator sends the change no more, without knowing whether it is in force.
  void configGivenUp(const std::string& mark) { awaitingAck_.erase(mark); }
  /// An acknowledged change was sent again, and answered with this status.
  void configResent(const std::string& mark, int status);
  /// Whether an acknowledged change is the last that was sent: sent again, it
  /// may not be refused.
  bool isLastChange(const std::string& mark) const;
  /// An operator's change was acknowledged under the number that the operator
  /// picked.
  void numberConfirmed(Version number, const std::string& mark);
  void configRead(Version version, const std::string& text, Millis askedMs, bool final);
  void wholeConfig(bool begins);
  void zoneEmptied(const std::string& zone, bool emptied, bool confirmed);
  void drained(const std::string& worker, bool drained, bool confirmed);
  /// A configuration that may be in force from now on sends the queue's work to this pool.
  void queueSending(const std::string& queue, const std::string& pool) { poolsOfQueue_[queue].insert(pool); }
  /// It is acknowledged: work of the queue that could run there is waited for.
  void queueSent(const std::string& queue, const std::string& pool) { sentTo_[queue] = pool; }
  /// The configuration in force doesn't have the pool any more: only what was sent there by name still belongs there.
  void poolRemoved(const std::string& pool) { removedPools_.insert(pool); }
  void sweep();
  /// At the end of a day, once all is well again: every task that could run with room in plenty is lost.
  void judgeLeftOver();
  /// Whose callers have heard nothing since then are lost, as unknown jobs are.
  void judgeUnanswered(Millis sinceMs);
  /// The machines are back after the loss of the whole control side that ends the day.
  void machinesBack() { backMs_ = sim_.nowMs(); }
  /// From the machines' return until the first request sent after it is served; -1: none was.
  Millis servedAgainMs() const;
  void close();
  Version newestConfirmed() const { return newestConfirmed_; }

  std::map<std::string, JobTruth> jobs;
  std::map<std::string, std::int64_t> failureLimit;
  std::vector<Broken> broken;
  std::int64_t starts = 0, ends = 0, checks = 0;
  std::map<std::string, std::int64_t> outcomes;  // of runs, as their workers journalled them
  bool forgetsEnded = false;
  bool stalls = true;  // off where the order of work may leave room unused
  bool clockStepped = false;
  Millis ackMs = 5000;       // an operator's change is answered within this, in calm
  Millis recoverMs = 15000;  // requests are served again this long after the machines' return

 private:
  using Capacity = std::map<std::string, std::int64_t>;
  struct Free {
    const SimWorker* simWorker;
    Capacity capacity;
  };
  /// What is free on the workers that may be used.
  struct Room {
    std::vector<Free> free;
    bool plenty = false;  // under half of it is in use
  };
  using Rooms = std::map<std::string, Room>;  // by pool; of the empty name: of all pools that are configured
  void journal(SimWorker& simWorker, const std::string& line);
  void reported(SimWorker& simWorker, const std::string& body, int status);
  void started(SimWorker& simWorker, const std::string& text);
  void runEnded(SimWorker& simWorker, const std::string& run, const std::string& outcome);
  void endAcknowledged(const std::string& run, bool holdLapsed);
  /// A start of a task that has ended cleanly, or has ended so if that end is acknowledged later.
  void judgeRerun(TaskTruth& lead, const TaskTruth& task, const std::string& run);
  void judgeCapacity(SimWorker& simWorker);
  void judgePlace(SimWorker& simWorker, const JobTruth& job, std::size_t at, const std::string& run);
  bool judgeBrief(JobTruth& job, const std::string& state, bool ended, Millis askedMs);
  void judgeEvacuations(Version version, const std::string& text);
  void sweepLonely();
  void sweepCancelled();
  void sweepStalled();
  void sweepLost();
  void sweepAcks();
  void sweepSessions();
  void judgeRecovery();
  Room roomNow(const std::string& pool) const;
  const Room& roomFor(const JobTruth& job, Rooms& rooms) const;
  std::string poolFor(const JobTruth& job) const;
  bool belongs(const SimWorker& simWorker, const std::string& pool) const;
  bool fitsTwice(const Room& room, const JobTruth& job, const std::vector<std::size_t>& unit) const;
  bool mayStart(const JobTruth& job, std::size_t at) const;
  std::vector<std::size_t> gangOf(const JobTruth& job, std::size_t at) const;
  bool couldRun(const Room& room, const JobTruth& job, std::size_t at) const;
  std::string described(const JobTruth& job, std::size_t at) const;
  bool usable(const SimWorker& simWorker) const;
  void fault(const char* rule, std::string what);
  std::pair<JobTruth*, std::size_t> find(const std::string& run);

  Sim& sim_;
  std::uint64_t sweeps_ = 0;
  int wholeConfigs_ = 0;
  std::map<Version, std::string> textOf_;
  std::set<std::string> rejected_;
  std::map<std::string, Version> markVersion_;
  std::map<Version, std::string> markOfVersion_, markOfNumber_;
  std::set<std::string> openChanges_;                // sent, and neither acknowledged nor refused yet
  std::map<std::string, std::size_t> quietlyAcked_;  // with no other open: how many had been sent until then
  std::map<std::string, Version> evacuatedFrom_;     // zone -> the version from which it must be shown emptied
  std::map<std::string, Millis> awaitingAck_;        // when each was sent
  Millis calmSinceMs_ = -1;                          // -1: the control side is not settled
  Millis backMs_ = -1;
  std::set<std::string> withoutSession_;
  Version newestConfirmed_ = 0;
  std::map<Version, Millis> confirmedMs_;
  std::map<std::string, Millis> emptiedSinceMs_, drainedSinceMs_, leavingSinceMs_;
  std::map<std::string, std::set<std::string>> poolsOfQueue_;  // by any configuration; a queue that isn't here: any
  std::map<std::string, std::string> sentTo_;                  // by the newest that is acknowledged
  std::set<std::string> removedPools_;
};

}  // namespace tulip::simulator
