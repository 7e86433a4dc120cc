#include "jobs/job.hpp"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <numeric>

namespace tulip::jobs {

using transport::AttemptOutcome;

Job makeJob(std::shared_ptr<const Spec> spec) {
  Job job;
  job.id = spec->id;
  const auto steps = spec->steps.size();
  job.tasks.reserve(spec->perInstance() * spec->instances());
  job.tallies.resize(spec->instances() * steps);
  for (std::uint32_t instance = 0; instance < spec->instances(); ++instance)
    for (std::uint32_t step = 0; step < steps; ++step) {
      job.tallies[instance * steps + step].pending = spec->steps[step].count;
      for (std::uint32_t i = 0; i < spec->steps[step].count; ++i) {
        Task task;
        task.step = step;
        task.instance = instance;
        job.tasks.push_back(std::move(task));
      }
    }
  job.spec = std::move(spec);
  return job;
}

std::string taskName(const Job& job, std::size_t at) {
  const auto& task = job.tasks[at];
  if (job.spec->plainNames) return job.stepOf(at).name;
  return std::to_string(task.instance) + "." + std::to_string(task.step) + "." +
         std::to_string(at - gangBegin(job, at));
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
  std::size_t at = instance * job.spec->perInstance() + index;
  for (unsigned i = 0; i < step; ++i) at += job.spec->steps[i].count;
  return at;
}

std::size_t gangBegin(const Job& job, std::size_t at) {
  const auto& task = job.tasks[at];
  std::size_t begin = task.instance * job.spec->perInstance();
  for (std::uint32_t i = 0; i < task.step; ++i) begin += job.spec->steps[i].count;
  return begin;
}

std::int64_t heldSlots(const Job& job) {
  std::int64_t sum = 0;
  if (job.holding > 0)
    for (std::size_t i = 0; i < job.tasks.size(); ++i)
      if (job.tasks[i].holds()) sum += job.stepOf(i).need.slots;
  return sum;
}

bool hasBegun(const Job& job) {
  return job.doneTasks > 0 || std::ranges::any_of(job.tasks, [](const Task& task) {
           return task.confirmed || task.failures > 0 || task.ranMs > 0;
         });
}

bool hasRuns(const Job& job) { return job.holding > 0; }

bool depsDone(const Job& job, std::size_t at) {
  const auto& task = job.tasks[at];
  const auto& steps = job.spec->steps;
  const auto* tallies = &job.tallies[task.instance * steps.size()];
  return std::all_of(steps[task.step].after.begin(), steps[task.step].after.end(),
                     [&](auto dep) { return tallies[dep].done == steps[dep].count; });
}

Millis dueMs(const Job& job, std::uint32_t instance) {
  if (job.spec->times <= 0) return job.acceptedMs + job.spec->notBeforeMs;
  return std::max(job.acceptedMs + job.spec->notBeforeMs,
                  job.firstDueMs + static_cast<Millis>(instance) * job.spec->everyMs);
}

Millis chainMs(const Job& job, std::uint32_t instance, bool whole) {
  const auto& steps = job.spec->steps;
  const auto* tallies = &job.tallies[instance * steps.size()];
  std::vector<Millis> longest(steps.size(), -1);
  const auto walk = [&](const auto& self, std::size_t at) -> Millis {
    if (longest[at] >= 0) return longest[at];
    Millis before = 0;
    for (const auto dep : steps[at].after) before = std::max(before, self(self, dep));
    const bool done = !whole && tallies[at].done == steps[at].count;
    return longest[at] = before + (done ? 0 : steps[at].estimateMs);
  };
  Millis most = 0;
  for (std::size_t i = 0; i < steps.size(); ++i) most = std::max(most, walk(walk, i));
  return most;
}

std::vector<std::vector<std::uint32_t>> readyGroups(const Job& job, Millis fleetMs) {
  std::vector<std::vector<std::uint32_t>> groups;
  if (job.state != JobState::open || job.ending != JobState::open || fleetMs < job.acceptedMs + job.spec->notBeforeMs)
    return groups;
  const bool gang = job.spec->gang;
  if (gang && hasRuns(job)) return groups;
  const auto& steps = job.spec->steps;
  bool early = false;
  std::size_t begin = 0;
  for (std::uint32_t instance = 0; instance < job.spec->instances(); ++instance) {
    const bool due = dueMs(job, instance) <= fleetMs;
    for (std::uint32_t s = 0; s < steps.size(); begin += steps[s].count, ++s) {
      const auto& tally = job.tallies[instance * steps.size() + s];
      if (!due || tally.pending == 0 || !depsDone(job, begin)) continue;
      std::vector<std::uint32_t> group;
      bool wait = false;
      for (std::size_t i = begin; i < begin + steps[s].count; ++i) {
        const auto& task = job.tasks[i];
        if (steps[s].together && task.holds()) wait = true;
        if (task.state != TaskState::pending || task.holds()) continue;
        if (task.notBeforeMs > fleetMs)
          wait = wait || steps[s].together, early = true;
        else
          group.push_back(static_cast<std::uint32_t>(i));
      }
      if (wait || group.empty()) continue;
      if (gang && !groups.empty())
        groups.front().insert(groups.front().end(), group.begin(), group.end());
      else
        groups.push_back(std::move(group));
    }
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
  auto& task = job.tasks[at];
  auto& tally = job.tallyOf(at);
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
  auto& task = job.tasks[at];
  if (task.holds()) {
    --job.holding;
    job.held -= task.weight;
  }
  task.worker = WorkerId();
  task.workerIncarnation.clear();
  task.weight = 0;
  task.confirmed = task.stopping = false;
}

}  // namespace

void startRun(Job& job, std::size_t at, const WorkerId& worker, const std::string& incarnation, Millis fleetMs,
              std::int64_t weight) {
  accrueTo(job, fleetMs);
  auto& task = job.tasks[at];
  std::int64_t attempt = task.attempts + 1;
  if (job.stepOf(at).together)
    for (std::size_t i = gangBegin(job, at), end = i + job.stepOf(at).count; i < end; ++i)
      attempt = std::max(attempt, job.tasks[i].holds() ? job.tasks[i].attempts : job.tasks[i].attempts + 1);
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
  const bool gang = job.spec->gang || job.stepOf(at).together;
  if (!gang) {
    job.tasks[at].stopping = job.tasks[at].stopping || job.tasks[at].state == TaskState::placed;
    return;
  }
  const auto begin = job.spec->gang ? 0 : gangBegin(job, at);
  const auto end = job.spec->gang ? job.tasks.size() : begin + job.stepOf(at).count;
  for (auto i = begin; i < end; ++i)
    if (job.tasks[i].state == TaskState::placed) job.tasks[i].stopping = true;
}

void stopRuns(Job& job, Millis fleetMs) {
  accrueTo(job, fleetMs);
  for (auto& task : job.tasks)
    if (task.state == TaskState::placed) task.stopping = true;
}

void endRun(Job& job, std::size_t at, AttemptOutcome outcome, const std::string& detail, const config::Queue& line,
            Millis fleetMs) {
  accrueTo(job, fleetMs);
  auto& task = job.tasks[at];
  const auto& step = job.stepOf(at);
  if (task.state == TaskState::done) {
    freeCapacity(job, at);
    closeIfOver(job, fleetMs);
    return;
  }
  const bool failed = outcome == AttemptOutcome::failed && !step.standing;
  if (failed) task.failedOn = task.worker;
  if (outcome != AttemptOutcome::clean && !task.seenSaved.empty()) task.saved = task.seenSaved;
  task.seenSaved.clear();
  freeCapacity(job, at);
  task.detail = outcome == AttemptOutcome::clean ? std::string() : detail.substr(0, 256);
  if (job.spec->plainNames) task.detail = detail.substr(0, 256);
  const auto begin = gangBegin(job, at), end = begin + step.count;
  if (outcome == AttemptOutcome::clean && !step.standing) {
    setState(job, at, TaskState::done);
    task.ranMs = fleetMs - task.orderedMs;
    task.saved.clear();
    if (step.together)
      for (auto i = begin; i < end; ++i)
        if (job.tasks[i].state != TaskState::done) {
          setState(job, i, TaskState::done);
          job.tasks[i].ranMs = job.tasks[i].holds() ? fleetMs - job.tasks[i].orderedMs : task.ranMs;
          job.tasks[i].stopping = false;
        }
  } else {
    setState(job, at, TaskState::pending);
    if (step.together && !task.saved.empty())
      for (auto i = begin; i < end; ++i) job.tasks[i].saved = task.saved;
    if (failed) {
      ++task.failures;
      auto& tally = job.tallyOf(at);
      auto failures = task.failures;
      if (step.together) {
        tally.failures += tally.failedAttempt != task.attempts;
        tally.failedAttempt = task.attempts;
        failures = std::max<std::int64_t>(failures, tally.failures);
      }
      const auto doublings = std::min<std::int64_t>(failures - 1, 6);
      task.notBeforeMs = fleetMs + line.backoffMs * (1LL << doublings);
      if (failures >= line.failureLimit && job.ending == JobState::open)
        endJob(job, JobState::failed, "task " + taskName(job, at) + " failed " + std::to_string(failures) + " times",
               fleetMs);
    } else if (step.standing) {
      task.notBeforeMs = fleetMs + line.backoffMs;
    }
    if (job.spec->gang)
      stopRuns(job, fleetMs);
    else if (step.together)
      for (auto i = begin; i < end; ++i)
        if (job.tasks[i].state == TaskState::placed) job.tasks[i].stopping = true;
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
  std::int64_t holding = 0, done = 0;
  const auto steps = job.spec->steps.size();
  std::vector<std::int8_t> ready(job.tallies.size(), -1);
  for (std::size_t i = 0; i < job.tasks.size(); ++i) {
    const auto& task = job.tasks[i];
    holding += task.holds();
    done += task.state == TaskState::done;
    if (task.state == TaskState::pending && job.state == JobState::finished)
      return "a finished job with an unfinished task";
    if (task.state == TaskState::pending && task.holds()) return "a pending task holds room";
    if (task.state != TaskState::placed) continue;
    if (!task.holds()) return "a placed task without a worker";
    auto& known = ready[task.instance * steps + task.step];
    if (known < 0) known = depsDone(job, i);
    if (!known) return "a task runs before its steps are done";
  }
  if (holding != job.holding || done != job.doneTasks) return "its tallies are off";
  return {};
}

}  // namespace tulip::jobs
