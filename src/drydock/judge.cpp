#include "drydock/judge.hpp"

#include <algorithm>

namespace tulip::drydock {

const std::vector<std::string>& ruleNames() {
  static const std::vector<std::string> all{"asked-for", "cancelled", "chart",  "counters",  "denied", "denied-chart", "draining", "early", "emptied",
                                            "ends",      "failures",  "finished", "forgotten", "gang",   "inside",       "once",     "room",  "shown", "steps"};
  return all;
}

Judge::Judge(Sim& sim) : sim_(sim) {
  sim.onJournal = [this](Hand& hand, const std::string& line) { journal(hand, line); };
  sim.onWorkerCrash = [this](Hand& hand) {
    for (const auto& [run, ended] : hand.worker.ended)
      if (auto [job, at] = find(run); job) {
        job->tasks[at].cleanDelivered = false;
        job->tasks[at].failedEnds -= ended.outcome == "failed";
      }
  };
  sim.onReported = [this](Hand& hand, const std::string& body, int status) { reported(hand, body, status); };
}

void Judge::fault(const char* rule, std::string what) {
  constexpr std::size_t kMostFaults = 50;
  if (broken.size() < kMostFaults) broken.push_back({sim_.nowMs(), rule, std::move(what)});
}

JobTruth& Judge::submitted(const std::string& id) {
  auto& job = jobs[id];
  if (job.id.empty()) {
    job.id = id;
    job.submittedMs = sim_.nowMs();
  }
  return job;
}

void Judge::accepted(const std::string& id) {
  auto& job = jobs.at(id);
  if (job.acceptedMs < 0) job.acceptedMs = sim_.nowMs();
  if (job.mustBeDenied) fault("denied", id + " was accepted though it can never be served");
}

void Judge::denied(const std::string& id, int status) {
  auto& job = jobs.at(id);
  ++checks;
  job.denied = true;
  if (!job.mustBeDenied) fault("denied", id + " was denied with " + std::to_string(status) + " though nothing is wrong with it");
  if (job.acceptedMs >= 0) fault("denied", id + " was denied after it had been accepted");
}

void Judge::cancelled(const std::string& id) {
  auto& job = jobs.at(id);
  if (job.cancelledMs < 0) job.cancelledMs = sim_.nowMs();
}

std::pair<JobTruth*, std::size_t> Judge::find(const std::string& run) {
  const auto first = run.find(':');
  const auto last = run.rfind(':');
  auto found = jobs.find(run.substr(0, first));
  if (found == jobs.end() || first == std::string::npos || last <= first) return {nullptr, 0};
  const auto task = run.substr(first + 1, last - first - 1);
  const auto& names = found->second.names;
  const auto at = std::find(names.begin(), names.end(), task);
  if (at == names.end()) return {nullptr, 0};
  return {&found->second, static_cast<std::size_t>(at - names.begin())};
}

void Judge::journal(Hand& hand, const std::string& line) {
  const auto space = line.find(' ');
  const auto kind = line.substr(0, space);
  auto rest = line.substr(space + 1);
  const Millis now = sim_.nowMs();
  if (kind == "start") {
    rest.resize(std::min(rest.size(), rest.find(' ')));
    ++starts;
    auto [job, at] = find(rest);
    if (!job) return fault("asked-for", "a run nobody asked for: " + rest);
    if (job->denied) fault("asked-for", "a run of a job that was denied: " + rest);
    if (!job->shown.empty()) fault("asked-for", rest + " starts after its job was shown " + job->shown);
    auto& task = job->tasks[at];
    ++task.starts;
    if (job->firstStartMs < 0) job->firstStartMs = now;
    checks += 8;
    for (const auto& [other, where] : task.going) {
      if (where->up && sim_.nowUs() < where->frozenUntilUs) task.superseded.insert(other);
      else fault("once", rest + " starts on " + hand.worker.traits.name + " while " + other + " runs on " + where->worker.traits.name);
    }
    if (task.cleanDelivered) fault("once", rest + " starts after the task ended cleanly");
    for (auto dep : task.after)
      if (job->tasks[dep].cleanEnds == 0) fault("steps", rest + " starts before " + job->names[dep] + " is done");
    if (now + kEarlyGraceMs < job->submittedMs + job->notBeforeMs) fault("early", rest + " starts before its time");
    if (auto limit = failureLimit.find(job->line); limit != failureLimit.end() && task.failedEnds >= limit->second)
      fault("failures", rest + " starts after " + std::to_string(task.failedEnds) + " failures");
    if (job->cancelledMs >= 0 && now > job->cancelledMs + kCancelGraceMs) fault("cancelled", rest + " starts after its cancel was confirmed");
    const auto& cell = hand.tender->env.cell.value;
    if (auto since = emptiedSinceMs_.find(cell); since != emptiedSinceMs_.end() && now > since->second + kEmptyGraceMs)
      fault("emptied", rest + " starts in emptied cell " + cell);
    if (auto since = drainedSinceMs_.find(hand.worker.traits.name); since != drainedSinceMs_.end() && now > since->second + kDrainGraceMs)
      fault("draining", rest + " starts on drained " + hand.worker.traits.name);
    if (auto since = leavingSinceMs_.find(hand.worker.traits.name); since != leavingSinceMs_.end() && now > since->second + kDrainGraceMs)
      fault("draining", rest + " starts on leaving " + hand.worker.traits.name);
    task.going[rest] = &hand;
    std::int64_t held = 0;
    for (const auto& [run, going] : hand.worker.going) held += going.slots;
    if (held > hand.worker.traits.slots) fault("room", hand.worker.traits.name + " runs " + std::to_string(held) + " slots");
  } else if (kind == "end") {
    ++ends;
    const auto gap = rest.rfind(' ');
    const auto outcome = rest.substr(gap + 1);
    rest.resize(gap);
    auto [job, at] = find(rest);
    if (!job) return;
    auto& task = job->tasks[at];
    task.going.erase(rest);
    if (outcome == "clean") {
      ++task.cleanEnds;
      if (task.superseded.contains(rest)) fault("once", rest + " ended cleanly after it was started elsewhere");
    }
    if (outcome == "failed") ++task.failedEnds;
  }
}

void Judge::reported(Hand& hand, const std::string& body, int status) {
  if (status != 200) return;
  Json root = parseJson(body);
  const auto& name = hand.worker.traits.name;
  if (flagAt(root.get(), "leaving")) leavingSinceMs_.try_emplace(name, sim_.nowMs());
  else leavingSinceMs_.erase(name);
  const json_t* ended = json_object_get(root.get(), "ended");
  for (std::size_t i = 0; i < json_array_size(ended); ++i) {
    const json_t* item = json_array_get(ended, i);
    if (textAt(item, "outcome") != "clean") continue;
    auto [job, at] = find(textAt(item, "run"));
    if (job) job->tasks[at].cleanDelivered = true;
  }
}

void Judge::shown(const std::string& id, int status, const json_t* view, Millis askedMs) {
  auto& job = jobs.at(id);
  ++checks;
  if (status == 404) {
    if (job.acceptedMs >= 0 && !(forgetsEnded && !job.shown.empty())) fault("forgotten", id + " is answered as unknown after it was accepted");
    return;
  }
  if (status != 200) return;
  if (const auto served = numberAt(view, "servedSlotMs", -1); served >= 0 && askedMs >= 0) {
    if (served < job.servedSeenMs && askedMs > job.servedAskedMs)
      fault("counters", id + " has served " + std::to_string(served) + " after " + std::to_string(job.servedSeenMs));
    if (served >= job.servedSeenMs) {
      job.servedSeenMs = served;
      job.servedAskedMs = std::max(job.servedAskedMs, sim_.nowMs());
    }
  }
  const auto state = textAt(view, "state");
  const bool ended = state == "finished" || state == "failed" || state == "cancelled" || state == "expired";
  if (!ended) {
    if (!job.shown.empty() && (askedMs < 0 || askedMs > job.shownEndedMs)) fault("shown", id + " is shown " + state + " after " + job.shown);
    return;
  }
  if (!job.shown.empty() && job.shown != state) fault("shown", id + " is shown " + state + " after " + job.shown);
  if (job.shown.empty()) {
    job.shown = state;
    job.shownEndedMs = sim_.nowMs();
    job.acceptedFleetMs = numberAt(view, "acceptedMs", -1);
    job.startedFleetMs = numberAt(view, "firstStartMs", -1);
    job.endedFleetMs = numberAt(view, "finishedMs", -1);
    job.servedMs = numberAt(view, "servedSlotMs");
    job.preemptions = numberAt(view, "preemptions");
  }
  for (std::size_t i = 0; i < job.tasks.size(); ++i) {
    const auto& task = job.tasks[i];
    if (state == "finished" && task.cleanEnds == 0) fault("finished", id + " is shown finished but " + job.names[i] + " never ended cleanly");
    for (const auto& [run, where] : task.going)
      if (!task.superseded.contains(run) && !(where->up && sim_.nowUs() < where->frozenUntilUs))
        fault("finished", id + " is shown " + state + " while " + run + " runs");
  }
  if (state == "finished" && job.neverSucceeds) fault("finished", id + " can not succeed but is shown finished");
}

void Judge::chartProposed(const std::string& mark) { markRevision_.try_emplace(mark, 0); }

void Judge::chartConfirmed(const std::string& mark, Revision revision) {
  auto& known = markRevision_[mark];
  if (known && known != revision) fault("chart", mark + " was confirmed as two revisions");
  known = revision;
  newestConfirmed_ = std::max(newestConfirmed_, revision);
  confirmedMs_.try_emplace(revision, sim_.nowMs());
}

void Judge::chartDenied(const std::string& mark) { denied_.insert(mark); }

void Judge::chartRead(Revision revision, const std::string& text, Millis askedMs, bool final) {
  ++checks;
  auto [slot, fresh] = textOf_.try_emplace(revision, text);
  if (!fresh && slot->second != text) fault("chart", "revision " + std::to_string(revision) + " has two contents");
  for (const auto& mark : denied_)
    if (text.find("\"" + mark + "\"") != std::string::npos) fault("denied-chart", mark + " was denied and is in revision " + std::to_string(revision));
  for (const auto& [each, whenMs] : confirmedMs_)
    if (each > revision && (final || askedMs > whenMs + kChartGraceMs))
      fault("chart", "revision " + std::to_string(each) + " was confirmed, " + std::to_string(revision) + " is still answered " +
                         std::to_string(askedMs - whenMs) + " ms later");
  for (const auto& [mark, at] : markRevision_)
    if (at == revision && at != 0 && text.find("\"" + mark + "\"") == std::string::npos)
      fault("chart", mark + " is missing from its revision");
}

void Judge::wholeChart(bool begins) {
  wholeCharts_ += begins ? 1 : -1;
  emptiedSinceMs_.clear();
  drainedSinceMs_.clear();
}

void Judge::cellEmptied(const std::string& cell, bool emptied, bool confirmed) {
  if (emptied && confirmed && wholeCharts_ == 0) emptiedSinceMs_.try_emplace(cell, sim_.nowMs());
  if (!emptied) emptiedSinceMs_.erase(cell);
}

void Judge::drained(const std::string& worker, bool drained, bool confirmed) {
  if (drained && confirmed && wholeCharts_ == 0) drainedSinceMs_.try_emplace(worker, sim_.nowMs());
  if (!drained) drainedSinceMs_.erase(worker);
}

void Judge::sweep() {
  const auto& bounds = sim_.plan.bounds;
  const Millis lonelyMs = 5000 + 3 * bounds.workerTermMs;
  for (auto& [id, job] : jobs) {
    if (!job.gang) continue;
    for (std::size_t i = 0; i < job.tasks.size(); ++i) {
      auto& task = job.tasks[i];
      ++checks;
      bool alone = false;
      if (!task.going.empty()) {
        for (std::size_t k = 0; k < job.tasks.size(); ++k) {
          const auto& other = job.tasks[k];
          const bool ready = std::all_of(other.after.begin(), other.after.end(), [&](auto dep) { return job.tasks[dep].cleanEnds > 0; });
          const bool sameWave = other.after == task.after;
          if (k != i && ready && sameWave && other.going.empty() && other.cleanEnds == 0) alone = true;
        }
      }
      if (!alone) task.lonelySinceMs = -1;
      else if (task.lonelySinceMs < 0) task.lonelySinceMs = sim_.nowMs();
      else if (sim_.nowMs() - task.lonelySinceMs > lonelyMs) {
        fault("gang", id + ": " + job.names[i] + " waits alone for " + std::to_string(sim_.nowMs() - task.lonelySinceMs) + " ms");
        task.lonelySinceMs = sim_.nowMs();
      }
    }
  }
}

void Judge::close() {
  for (const auto& [id, job] : jobs) {
    ++checks;
    if (job.acceptedMs >= 0 && job.shown.empty()) fault("ends", id + " was accepted and never ended");
    if (job.cancelledMs < 0 && job.acceptedMs >= 0 && !job.neverSucceeds && job.cancelAskedMs < 0 && job.shown == "cancelled")
      fault("shown", id + " is shown cancelled but nobody cancelled it");
  }
}

}  // namespace tulip::drydock
