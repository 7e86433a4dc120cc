#pragma once
#include "drydock/grace.hpp"
#include "drydock/sim.hpp"

namespace tulip::drydock {

struct TaskTruth {
  std::int64_t slots = 1;
  std::vector<std::size_t> after;
  std::map<std::string, Hand*> going;
  std::set<std::string> superseded;
  std::int64_t starts = 0, cleanEnds = 0, failedEnds = 0;
  bool cleanDelivered = false;
  Millis lonelySinceMs = -1;
};

struct JobTruth {
  std::string id;
  std::string line;
  bool gang = false;
  bool neverSucceeds = false;
  bool mustBeDenied = false;
  bool denied = false;
  Millis notBeforeMs = 0;
  Millis submittedMs = 0;
  Millis acceptedMs = -1;
  Millis cancelAskedMs = -1;
  Millis cancelledMs = -1;
  Millis firstStartMs = -1;
  Millis shownEndedMs = -1;
  std::string shown;
  Millis acceptedFleetMs = -1, startedFleetMs = -1, endedFleetMs = -1;
  std::int64_t servedMs = 0, preemptions = 0;
  Millis servedSeenMs = 0, servedAskedMs = -1;
  std::vector<std::string> names;
  std::vector<TaskTruth> tasks;
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
  void accepted(const std::string& id);
  void denied(const std::string& id, int status);
  void cancelled(const std::string& id);
  void shown(const std::string& id, int status, const json_t* view, Millis askedMs = -1);
  void chartProposed(const std::string& mark);
  void chartConfirmed(const std::string& mark, Revision revision);
  void chartDenied(const std::string& mark);
  void chartRead(Revision revision, const std::string& text, Millis askedMs, bool final);
  void wholeChart(bool begins);
  void cellEmptied(const std::string& cell, bool emptied, bool confirmed);
  void drained(const std::string& worker, bool drained, bool confirmed);
  void sweep();
  void close();
  Revision newestConfirmed() const { return newestConfirmed_; }

  std::map<std::string, JobTruth> jobs;
  std::map<std::string, std::int64_t> failureLimit;
  std::vector<Broken> broken;
  std::int64_t starts = 0, ends = 0, checks = 0;
  bool forgetsEnded = false;

 private:
  void journal(Hand& hand, const std::string& line);
  void reported(Hand& hand, const std::string& body, int status);
  void fault(const char* rule, std::string what);
  std::pair<JobTruth*, std::size_t> find(const std::string& run);

  Sim& sim_;
  int wholeCharts_ = 0;
  std::map<std::string, Millis> confirmedAt_;
  std::map<Revision, std::string> textOf_;
  std::set<std::string> denied_;
  std::map<std::string, Revision> markRevision_;
  Revision newestConfirmed_ = 0;
  std::map<Revision, Millis> confirmedMs_;
  std::map<std::string, Millis> emptiedSinceMs_, drainedSinceMs_, leavingSinceMs_;
};

}  // namespace tulip::drydock
