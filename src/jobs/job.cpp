#include "jobs/job.hpp"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <numeric>

namespace tulip::jobs {

using transport::AttemptOutcome;

Job makeJob(std::shared_ptr<const Spec> spec) {
  Job job;
  job.id = spec->id;
  job.tasks = TaskTable(*spec);
  job.spec = std::move(spec);
  return job;
}

std::string taskName(const Job& job, std::size_t at) {
  if (job.spec->plainNames) return job.stepOf(at).name;
  const auto place = job.tasks.placeOf(at);
  return std::to_string(place.instance) + "." + std::to_string(place.step) + "." + std::to_string(place.index);
}

std::optional<std::size_t> taskAt(const Job& job, std::string_view name) {
  if (job.spec->plainNames) {
    for (std::size_t i = 0; i < job.tasks.size(); ++i)
      if (job.stepOf(i).name == name) return i;
    return std::nullopt;
  }
  unsigned instance = 0, step = 0, index = 0;
  char more = 0;
  if (std::sscanf(std::string(name).c_str(), "%u.%u.%u%c", &instance, &step, &index, &more) != 3) return std::nullopt;
  if (instance >= job.spec->instances() || step >= job.spec->steps.size() || index >= job.spec->steps[step].count)
    return std::nullopt;
  return job.tasks.beginOf(instance, step) + index;
}

std::size_t gangBegin(const Job& job, std::size_t at) {
  const auto place = job.tasks.placeOf(at);
  return job.tasks.beginOf(place.instance, place.step);
}

std::int64_t heldSlots(const Job& job) {
  std::int64_t sum = 0;
  if (job.holding > 0)
    for (const auto& [at, task] : job.tasks.rows())
      if (task.holds()) sum += job.stepOf(at).need.slots;
  return sum;
}

bool hasBegun(const Job& job) {
  return job.doneTasks > 0 || std::ranges::any_of(job.tasks.rows(), [](const auto& row) {
           const auto& task = row.second;
           return task.confirmed || task.failures > 0 || task.ranMs > 0;
         });
}

bool hasRuns(const Job& job) { return job.holding > 0; }

bool depsDone(const Job& job, std::size_t at) {
  const auto place = job.tasks.placeOf(at);
  const auto& steps = job.spec->steps;
  return std::ranges::all_of(steps[place.step].after,
                             [&](auto dep) { return job.tasks.tally(place.instance, dep).done == steps[dep].count; });
}

Millis dueMs(const Job& job, std::uint32_t instance) {
  if (job.spec->times <= 0) return job.acceptedMs + job.spec->notBeforeMs;
  return std::max(job.acceptedMs + job.spec->notBeforeMs,
                  job.firstDueMs + static_cast<Millis>(instance) * job.spec->everyMs);
}

std::uint32_t dueInstances(const Job& job, Millis fleetMs) {
  const auto all = static_cast<std::uint32_t>(job.spec->instances());
  if (dueMs(job, 0) > fleetMs) return 0;
  if (job.spec->times <= 0 || job.spec->everyMs <= 0) return all;
  const auto due = static_cast<std::uint64_t>(fleetMs - job.firstDueMs) / static_cast<std::uint64_t>(job.spec->everyMs);
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(due + 1, all));
}

Millis chainMs(const Job& job, std::uint32_t instance, bool whole) {
  const auto& steps = job.spec->steps;
  std::vector<Millis> longest(steps.size(), -1);
  const auto walk = [&](const auto& self, std::size_t at) -> Millis {
    if (longest[at] >= 0) return longest[at];
    Millis before = 0;
    for (const auto dep : steps[at].after) before = std::max(before, self(self, dep));
    const bool done = !whole && job.tasks.tally(instance, static_cast<std::uint32_t>(at)).done == steps[at].count;
    return longest[at] = before + (done ? 0 : steps[at].estimateMs);
  };
  Millis most = 0;
  for (std::size_t i = 0; i < steps.size(); ++i) most = std::max(most, walk(walk, i));
  return most;
}

namespace {

/// Tasks of one step of one instance that may start now.
struct ReadyStep {
  std::vector<std::uint32_t> tasks;
  bool waits = false;  // a gang that isn't whole
  bool early = false;  // some may not start again yet
};

ReadyStep readyOf(const Job& job, std::uint32_t instance, std::uint32_t step, Millis fleetMs) {
  ReadyStep ready;
  const auto begin = job.tasks.beginOf(instance, step);
  if (job.tasks.tally(instance, step).pending == 0 || !depsDone(job, begin)) return ready;
  const bool together = job.spec->steps[step].together;
  job.tasks.forEachOpen(begin, begin + job.spec->steps[step].count, [&](std::uint32_t index, const Task& task) {
    if (together && task.holds()) ready.waits = true;
    if (task.state != TaskState::pending || task.holds()) return;
    if (task.notBeforeMs <= fleetMs) return ready.tasks.push_back(index);
    ready.waits = ready.waits || together;
    ready.early = true;
  });
  return ready;
}

}  // namespace

std::vector<std::vector<std::uint32_t>> readyGroups(const Job& job, Millis fleetMs) {
  std::vector<std::vector<std::uint32_t>> groups;
  if (job.state != JobState::open || job.ending != JobState::open || fleetMs < job.acceptedMs + job.spec->notBeforeMs)
    return groups;
  const bool gang = job.spec->gang;
  if (gang && hasRuns(job)) return groups;
  bool early = false;
  const auto due = dueInstances(job, fleetMs);
  for (auto instance = job.tasks.nextOpenInstance(0); instance < due;
       instance = job.tasks.nextOpenInstance(instance + 1))
    for (std::uint32_t step = 0; step < job.spec->steps.size(); ++step) {
      auto ready = readyOf(job, instance, step, fleetMs);
      early = early || ready.early;
      if (ready.waits || ready.tasks.empty()) continue;
      if (gang && !groups.empty())
        groups.front().insert(groups.front().end(), ready.tasks.begin(), ready.tasks.end());
      else
        groups.push_back(std::move(ready.tasks));
    }
  if (gang && early) groups.clear();
  return groups;
}

void accrueTo(Job& job, Millis fleetMs) {
  if (job.state != JobState::open) return;
  const bool waiting = job.ending == JobState::open && fleetMs >= dueMs(job, 0);
  admission::accrue(job.counters, job.held, waiting, fleetMs - job.accountedMs);
  job.accountedMs = std::max(job.accountedMs, fleetMs);
}

AttemptId attemptIdOf(const Job& job, std::size_t task, std::int64_t attempt) {
  return AttemptId(job.id.value + ":" + taskName(job, task) + ":" + std::to_string(attempt));
}

AttemptId runIdOf(const Job& job, std::size_t task) { return attemptIdOf(job, task, job.tasks[task].attempts); }

namespace {

void setState(Job& job, std::size_t at, TaskState state) {
  auto& task = job.tasks.edit(at);
  auto& tally = job.editTallyOf(at);
  auto slot = [&](TaskState each) -> std::uint32_t& {
    return each == TaskState::pending ? tally.pending : each == TaskState::placed ? tally.placed : tally.done;
  };
  --slot(task.state);
  job.doneTasks -= task.state == TaskState::done;
  task.state = state;
  ++slot(state);
  job.doneTasks += state == TaskState::done;
}

void freeCapacity(Job& job, std::size_t at) {
  noteHolding(job, at);
  auto& task = job.tasks.edit(at);
  if (task.holds()) {
    --job.holding;
    job.held -= task.weight;
  }
  task.worker = WorkerId();
  task.workerIncarnation.clear();
  task.weight = 0;
  task.confirmed = task.stopping = false;
}

std::size_t stepEnd(const Job& job, std::size_t at) { return gangBegin(job, at) + job.stepOf(at).count; }

/// Stops what is placed of the tasks [begin, end).
void stopPlaced(Job& job, std::size_t begin, std::size_t end) {
  auto& rows = job.tasks.rows();
  for (auto row = rows.lower_bound(static_cast<std::uint32_t>(begin)); row != rows.end() && row->first < end; ++row)
    if (row->second.state == TaskState::placed) row->second.stopping = true;
}

/// One clean end stands for all of the gang at [begin, end).
void endGang(Job& job, std::size_t begin, std::size_t end, Millis ranMs, Millis fleetMs) {
  for (auto i = begin; i < end; ++i) {
    if (job.tasks[i].state == TaskState::done) continue;
    setState(job, i, TaskState::done);
    auto& task = job.tasks.edit(i);
    task.ranMs = task.holds() ? fleetMs - task.orderedMs : ranMs;
    task.stopping = false;
    if (!task.holds()) job.tasks.foldIfOver(i);
  }
}

}  // namespace

namespace {

/// The number that the members of a gang share, which is worked out for the first one that starts.
std::int64_t gangAttempt(Job& job, std::size_t at) {
  auto& tally = job.editTallyOf(at);
  if (tally.placed > 0 && tally.attempt > 0) return tally.attempt;
  std::int64_t attempt = 1;
  for (std::size_t i = gangBegin(job, at), end = stepEnd(job, at); i < end; ++i)
    attempt = std::max(attempt, job.tasks[i].holds() ? job.tasks[i].attempts : job.tasks[i].attempts + 1);
  return tally.attempt = attempt;
}

}  // namespace

void startRun(Job& job, std::size_t at, const WorkerId& worker, const std::string& incarnation, Millis fleetMs,
              std::int64_t weight) {
  accrueTo(job, fleetMs);
  noteHolding(job, at);
  const auto attempt = job.stepOf(at).together ? gangAttempt(job, at) : job.tasks[at].attempts + 1;
  auto& task = job.tasks.edit(at);
  task.attempts = attempt;
  setState(job, at, TaskState::placed);
  task.worker = worker;
  task.workerIncarnation = incarnation;
  task.weight = weight > 0 ? weight : 1000 * job.stepOf(at).need.slots;
  ++job.holding;
  job.held += task.weight;
  task.orderedMs = fleetMs;
  task.confirmed = false;
  task.stopping = false;
  task.percent = task.runningPercent = 0;
  task.movedMs = fleetMs;
  task.runningMs = -1;
  if (!task.seenSaved.empty()) task.saved = task.seenSaved;
  task.seenSaved.clear();
  if (job.counters.firstStartMs < 0) job.counters.firstStartMs = fleetMs;
}

void stopRun(Job& job, std::size_t at, Millis fleetMs) {
  accrueTo(job, fleetMs);
  if (job.tasks[at].stopping) return;
  if (job.spec->gang) return stopPlaced(job, 0, job.tasks.size());
  if (job.stepOf(at).together) return stopPlaced(job, gangBegin(job, at), stepEnd(job, at));
  stopPlaced(job, at, at + 1);
}

void stopRuns(Job& job, Millis fleetMs) {
  accrueTo(job, fleetMs);
  stopPlaced(job, 0, job.tasks.size());
}

namespace {

/// Counts a failure of the attempt that has just ended, and puts off the next one; ends the job past its limit.
void noteFailure(Job& job, std::size_t at, const config::Queue& line, Millis fleetMs) {
  auto& task = job.tasks.edit(at);
  ++task.failures;
  auto failures = task.failures;
  if (job.stepOf(at).together) {
    auto& tally = job.editTallyOf(at);
    tally.failures += tally.failedAttempt != task.attempts;
    tally.failedAttempt = task.attempts;
    failures = std::max<std::int64_t>(failures, tally.failures);
  }
  constexpr std::int64_t kMostDoublings = 6;
  const auto doublings = std::min<std::int64_t>(failures - 1, kMostDoublings);
  task.notBeforeMs = fleetMs + line.backoffMs * (1LL << doublings);
  if (failures < line.failureLimit || job.ending != JobState::open) return;
  endJob(job, JobState::failed, "task " + taskName(job, at) + " failed " + std::to_string(failures) + " times",
         fleetMs);
}

void endCleanly(Job& job, std::size_t at, Millis fleetMs) {
  setState(job, at, TaskState::done);
  auto& task = job.tasks.edit(at);
  task.ranMs = fleetMs - task.orderedMs;
  task.saved.clear();
  if (job.stepOf(at).together) endGang(job, gangBegin(job, at), stepEnd(job, at), task.ranMs, fleetMs);
}

/// The checkpoint of one member of a gang is good for all. The others have one checkpoint in common.
void shareCheckpoint(Job& job, std::size_t at, std::size_t begin, std::size_t end) {
  const auto saved = job.tasks[at].saved;
  const auto other = at == begin ? begin + 1 : begin;
  if (saved.empty() || (other < end && job.tasks[other].saved == saved)) return;
  for (auto i = begin; i < end; ++i) job.tasks.edit(i).saved = saved;
}

/// The task goes back to the queue, with the rest of its gang, which is stopped unless it was already.
void endUncleanly(Job& job, std::size_t at, bool failed, bool wasStopping, const config::Queue& line, Millis fleetMs) {
  const auto& step = job.stepOf(at);
  const auto begin = gangBegin(job, at), end = stepEnd(job, at);
  setState(job, at, TaskState::pending);
  if (step.together) shareCheckpoint(job, at, begin, end);
  if (failed)
    noteFailure(job, at, line, fleetMs);
  else if (step.standing)
    job.tasks.edit(at).notBeforeMs = fleetMs + line.backoffMs;
  if (wasStopping) return;
  if (job.spec->gang)
    stopRuns(job, fleetMs);
  else if (step.together)
    stopPlaced(job, begin, end);
}

}  // namespace

void endRun(Job& job, std::size_t at, AttemptOutcome outcome, const std::string& detail, const config::Queue& line,
            Millis fleetMs) {
  accrueTo(job, fleetMs);
  auto& task = job.tasks.edit(at);
  const auto& step = job.stepOf(at);
  if (task.state == TaskState::done) {
    freeCapacity(job, at);
    job.tasks.foldIfOver(at);
    closeIfOver(job, fleetMs);
    return;
  }
  const bool failed = outcome == AttemptOutcome::failed && !step.standing;
  const bool wasStopping = task.stopping;
  if (failed) task.failedOn = task.worker;
  if (outcome != AttemptOutcome::clean && !task.seenSaved.empty()) task.saved = task.seenSaved;
  task.seenSaved.clear();
  freeCapacity(job, at);
  constexpr std::size_t kMostDetailBytes = 256;
  const bool keepsDetail = outcome != AttemptOutcome::clean || job.spec->plainNames;
  task.detail = keepsDetail ? detail.substr(0, kMostDetailBytes) : std::string();
  if (outcome == AttemptOutcome::clean && !step.standing) {
    endCleanly(job, at, fleetMs);
    job.tasks.foldIfOver(at);
  } else {
    endUncleanly(job, at, failed, wasStopping, line, fleetMs);
  }
  closeIfOver(job, fleetMs);
}

void endJob(Job& job, JobState ending, std::string reason, Millis fleetMs) {
  if (job.state != JobState::open || job.ending != JobState::open) return;
  job.ending = ending;
  job.reason = std::move(reason);
  stopRuns(job, fleetMs);
}

bool closeIfOver(Job& job, Millis fleetMs) {
  if (job.state != JobState::open || hasRuns(job)) return false;
  const bool allDone = job.doneTasks == static_cast<std::int64_t>(job.tasks.size());
  if (!allDone && job.ending == JobState::open) return false;
  accrueTo(job, fleetMs);
  job.state = job.ending != JobState::open ? job.ending : JobState::finished;
  job.finishedMs = fleetMs;
  return true;
}

std::string checkJob(const Job& job) {
  if (job.state != JobState::open && job.holding != 0) return "an ended job still holds room";
  if (job.state == JobState::finished && job.doneTasks != static_cast<std::int64_t>(job.tasks.size()))
    return "a finished job with an unfinished task";
  std::int64_t holding = 0, done = static_cast<std::int64_t>(job.tasks.folded().size());
  std::optional<std::pair<std::size_t, bool>> ready;  // of the step that was looked at last: its begin, its answer
  for (const auto& [index, task] : job.tasks.rows()) {
    holding += task.holds();
    done += task.state == TaskState::done;
    if (task.state == TaskState::pending && task.holds()) return "a pending task holds room";
    if (task.state != TaskState::placed) continue;
    if (!task.holds()) return "a placed task without a worker";
    const auto begin = gangBegin(job, index);
    if (!ready || ready->first != begin) ready.emplace(begin, depsDone(job, index));
    if (!ready->second) return "a task runs before its steps are done";
  }
  if (holding != job.holding || done != job.doneTasks) return "its tallies are off";
  return job.tasks.check();
}

}  // namespace tulip::jobs
