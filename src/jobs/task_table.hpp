#pragma once
#include <map>
#include <string>
#include <vector>

#include "jobs/index_ranges.hpp"
#include "jobs/spec.hpp"

// The tasks of a job. A row is held for a task only while there is something to remember of it: tasks that were never
// started and tasks that are over are known by their index. So a job costs what is at work of it, not what it will
// ever run.
namespace tulip::jobs {

enum class TaskState : std::uint8_t { pending, placed, done };

struct Task {
  TaskState state = TaskState::pending;
  std::int64_t failures = 0;
  std::int64_t attempts = 0;
  Millis notBeforeMs = 0;
  WorkerId worker;  // set while room is held, which may outlast the clean end of a gang
  std::string workerIncarnation;
  Millis orderedMs = 0;
  bool confirmed = false;
  bool stopping = false;
  std::string saved;
  std::string detail;
  Millis ranMs = 0;
  WorkerId failedOn;
  std::int64_t weight = 0;   // its part of W_J while it holds room, in thousandths
  std::int64_t percent = 0;  // as last reported; not kept
  Millis movedMs = 0;        // when percent last moved; not kept
  Millis runningMs = -1;     // when it was first seen at work under this leader, and how far it was; not kept
  std::int64_t runningPercent = 0;
  std::string seenSaved;  // as last reported; kept once it is used

  bool holds() const { return !worker.empty(); }
};

/// How many tasks of one step of one instance are where.
struct Tally {
  std::uint32_t pending = 0, placed = 0, done = 0;
  std::uint32_t failures = 0;
  std::int64_t failedAttempt = 0;
  std::int64_t attempt = 0;       // that the members of a gang were last started with; not kept
  std::uint32_t timed = 0;        // clean ends whose time at work is known; not kept
  Millis timedMs = 0;             // their times, added up; not kept
  std::uint32_t projections = 0;  // of whole times, from tasks at work; not kept
  double projectedMs = 0;         // their moving mean; not kept
};

/// Where a task stands among the steps of its job.
struct TaskPlace {
  std::uint32_t instance = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;  // within the step
};

class TaskTable {
 public:
  using Rows = std::map<std::uint32_t, Task>;
  /// By instance times the number of steps, plus the step.
  using Tallies = std::map<std::uint32_t, Tally>;

  TaskTable() = default;
  explicit TaskTable(const Spec& spec);

  std::size_t size() const { return size_; }
  std::uint32_t perInstance() const { return stepBegins_.empty() ? 0 : stepBegins_.back(); }
  TaskPlace placeOf(std::size_t task) const;
  /// The first task of a step of an instance.
  std::size_t beginOf(std::uint32_t instance, std::uint32_t step) const {
    return std::size_t{instance} * perInstance() + stepBegins_[step];
  }

  /// What is known of a task; of one without a row, what holds for all of its kind.
  const Task& operator[](std::size_t task) const;
  /// The row of a task, which it gets if it has none. Not for a task that was folded.
  Task& edit(std::size_t task) { return rows_[static_cast<std::uint32_t>(task)]; }
  /// The tasks with rows, in their order.
  const Rows& rows() const { return rows_; }
  Rows& rows() { return rows_; }

  Tally tally(std::uint32_t instance, std::uint32_t step) const;
  Tally& editTally(std::uint32_t instance, std::uint32_t step);
  const Tallies& tallies() const { return tallies_; }

  /// Drops the row of a task that is over and holds nothing, where its job shows its tasks by their numbers alone.
  void foldIfOver(std::size_t task);
  /// Adds tasks that are over without rows, as they were stored.
  void addFolded(std::uint32_t begin, std::uint32_t end, Millis ranMs);
  /// Brings the tallies in line with the rows and with what was folded, after both were filled from a stored form.
  void countTallies();
  const IndexRanges& folded() const { return folded_; }
  /// The mean time at work of the folded tasks of a step; 0 while there are none.
  Millis foldedRanMs(std::uint32_t step) const;

  /// The first instance from this one on of which not all tasks are folded; the number of instances if there is none.
  std::uint32_t nextOpenInstance(std::uint32_t instance) const;
  /// Whether no task of the instance has ever been started.
  bool untouched(std::uint32_t instance) const;

  /// Calls visit(index, task) for each task of [begin, end) that isn't folded, in their order.
  template <class Visit>
  void forEachOpen(std::size_t begin, std::size_t end, Visit&& visit) const;

  /// What is wrong with the table itself; empty if nothing is.
  std::string check() const;

 private:
  struct FoldedRuns {
    std::int64_t count = 0;
    Millis totalMs = 0;
  };

  std::uint32_t stepCount() const { return static_cast<std::uint32_t>(stepBegins_.size()) - 1; }
  std::uint32_t countOf(std::uint32_t step) const { return stepBegins_[step + 1] - stepBegins_[step]; }
  std::uint32_t tallyKey(std::uint32_t instance, std::uint32_t step) const { return instance * stepCount() + step; }

  static const Task kNeverStarted;
  static const Task kFolded;

  std::size_t size_ = 0;
  std::vector<std::uint32_t> stepBegins_;  // within an instance, and its end
  bool keepsEndedRows_ = false;            // its tasks have names of their own, and are shown one by one
  Rows rows_;
  Tallies tallies_;  // of steps that are neither untouched nor folded
  IndexRanges folded_;
  std::vector<FoldedRuns> foldedRuns_;  // by step
};

template <class Visit>
void TaskTable::forEachOpen(std::size_t begin, std::size_t end, Visit&& visit) const {
  auto row = rows_.lower_bound(static_cast<std::uint32_t>(begin));
  auto index = folded_.nextAbsent(static_cast<std::uint32_t>(begin));
  while (index < end) {
    while (row != rows_.end() && row->first < index) ++row;
    const bool own = row != rows_.end() && row->first == index;
    visit(index, own ? row->second : kNeverStarted);
    index = folded_.nextAbsent(index + 1);
  }
}

}  // namespace tulip::jobs
