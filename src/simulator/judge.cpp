#include "simulator/judge.hpp"

#include <algorithm>

namespace tulip::simulator {

const std::vector<std::string>& ruleNames() {
  static const std::vector<std::string> all{
      "acks",     "answers",      "apart",    "asked-for", "cancelled",  "chart", "counters",
      "denied",   "denied-chart", "draining", "early",     "emptied",    "ends",  "failures",
      "finished", "forgotten",    "gang",     "inside",    "lost",       "needs", "number",
      "once",     "pool",         "recover",  "repeated",  "resent",     "room",  "session",
      "shown",    "stale-read",   "stalled",  "steps",     "turned-away"};
  return all;
}

Judge::Judge(Sim& sim) : sim_(sim) {
  sim.onJournal = [this](SimWorker& simWorker, const std::string& line) { journal(simWorker, line); };
  sim.onWorkerCrash = [this](SimWorker& simWorker) {
    for (const auto& [run, ended] : simWorker.worker.ended)
      if (auto [job, at] = find(run); job) {
        job->lead(at).unacknowledged.erase(run);
        job->lead(at).failed.erase(run);
      }
  };
  sim.onReported = [this](SimWorker& simWorker, const std::string& body, int status) {
    reported(simWorker, body, status);
  };
}

void Judge::fault(const char* rule, std::string what) {
  constexpr std::ptrdiff_t kMostOfARule = 50;
  const auto known = std::count_if(broken.begin(), broken.end(), [&](const auto& each) { return each.rule == rule; });
  if (known < kMostOfARule) broken.push_back({sim_.nowMs(), rule, std::move(what)});
}

JobTruth& Judge::submitted(const std::string& id) {
  auto& job = jobs[id];
  if (job.id.empty()) {
    job.id = id;
    job.submittedMs = sim_.nowMs();
  }
  return job;
}

JobTruth& Judge::submitted(const JobSketch& sketch) {
  auto& job = submitted(sketch.id);
  job.line = sketch.line;
  job.gang = sketch.gang;
  job.notBeforeMs = sketch.notBeforeMs;
  for (const auto& task : sketch.tasks) {
    job.neverSucceeds = job.neverSucceeds || task.fails;
    job.names.push_back(task.name);
    auto& truth = job.tasks.emplace_back();
    truth.slots = task.slots;
    truth.after = task.after;
    truth.payload = commands::digestOf(payloadOf(task));
  }
  for (std::int64_t k = 0; !sketch.steps.empty() && k < sketch.instances(); ++k) {
    std::vector<std::size_t> firstOf;
    std::size_t next = job.tasks.size();
    for (const auto& step : sketch.steps) {
      firstOf.push_back(next);
      next += static_cast<std::size_t>(step.count);
    }
    for (std::size_t s = 0; s < sketch.steps.size(); ++s) {
      const auto& step = sketch.steps[s];
      job.neverSucceeds = job.neverSucceeds || step.fails;
      TaskTruth truth;
      truth.slots = step.slots;
      truth.capacity = step.capacity;
      truth.step = s;
      truth.instance = k;
      if (sketch.times > 0) truth.dueMs = sim_.nowMs() + sketch.firstInMs + k * sketch.everyMs;
      truth.repeats = step.repeats;
      truth.standing = step.standing;
      truth.needs = step.needs;
      truth.apart = step.apart;
      truth.payload = commands::digestOf(payloadOf(step));
      if (step.together) {
        truth.lead = firstOf[s];
        truth.members = step.count;
      }
      for (auto dep : step.after)
        for (std::int64_t i = 0; i < sketch.steps[dep].count; ++i)
          truth.after.push_back(firstOf[dep] + static_cast<std::size_t>(i));
      for (std::int64_t i = 0; i < step.count; ++i) {
        job.names.push_back(std::to_string(k) + "." + std::to_string(s) + "." + std::to_string(i));
        job.tasks.push_back(truth);
      }
    }
  }
  return job;
}

std::int64_t JobTruth::failures(std::size_t at) const {
  std::set<std::int64_t> attempts;
  for (const auto& run : lead(at).failed) attempts.insert(commands::attemptOf(run));
  return static_cast<std::int64_t>(attempts.size());
}

bool JobTruth::ready(std::size_t at, Millis nowMs) const {
  const auto& task = tasks[at];
  return !clean(at) && nowMs >= task.dueMs && nowMs >= submittedMs + notBeforeMs &&
         std::all_of(task.after.begin(), task.after.end(), [&](auto dep) { return clean(dep); });
}

void Judge::accepted(const std::string& id) {
  auto& job = jobs.at(id);
  if (job.acceptedMs < 0) job.acceptedMs = sim_.nowMs();
  if (job.mustBeRejected) fault("denied", id + " was accepted though it can never be served");
}

void Judge::rejected(const std::string& id, int status, const std::string& answer) {
  auto& job = jobs.at(id);
  ++checks;
  job.rejected = true;
  if (!job.mustBeRejected)
    fault("denied", id + " was denied with " + std::to_string(status) + " though nothing is wrong with it " + answer);
  if (job.acceptedMs >= 0) fault("denied", id + " was denied after it had been accepted");
}

void Judge::turnedAway(const std::string& id) { jobs.at(id).turnedAway = true; }

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

void Judge::journal(SimWorker& simWorker, const std::string& line) {
  const auto space = line.find(' ');
  const auto kind = line.substr(0, space);
  const auto rest = line.substr(space + 1);
  if (kind == "start") return started(simWorker, rest);
  if (kind == "acked") return endAcknowledged(rest.substr(0, rest.find(' ')), rest.ends_with(" lapsed"));
  const auto gap = rest.rfind(' ');
  if (kind == "end") return runEnded(simWorker, rest.substr(0, gap), rest.substr(gap + 1));
  if (kind == "saved")
    if (auto [job, at] = find(rest.substr(0, gap)); job) job->lead(at).issued.insert(rest.substr(gap + 1));
}

void Judge::started(SimWorker& simWorker, const std::string& text) {
  const auto run = text.substr(0, text.find(' '));
  const auto word = [&](const std::string& key) {
    const auto at = text.find(" " + key + "=");
    return at == std::string::npos ? std::string()
                                   : text.substr(at + key.size() + 2, text.find(' ', at + 1) - at - key.size() - 2);
  };
  const Millis now = sim_.nowMs();
  ++starts;
  auto [job, at] = find(run);
  if (!job) return fault("asked-for", "a run nobody asked for: " + run);
  auto& task = job->tasks[at];
  auto& lead = job->lead(at);
  if (job->rejected) fault("asked-for", "a run of a job that was denied: " + run);
  if (job->turnedAway) fault("turned-away", run + " starts though every try to hand its job in was turned away");
  const bool lateCopy = task.repeats && now <= job->shownEndedMs + kNotedMs;
  if (!job->shown.empty() && !lateCopy) fault("asked-for", run + " starts after its job was shown " + job->shown);
  if (!task.payload.empty() && word("payload") != task.payload)
    fault("asked-for", run + " is started with a payload that is not its own");
  if (const auto saved = word("saved"); !saved.empty() && !lead.issued.contains(saved))
    fault("asked-for", run + " is started from a checkpoint that is not its own: " + saved);
  if (task.members > 1) {
    const auto [first, fresh] = lead.resumed.try_emplace(commands::attemptOf(run), word("saved"));
    if (!fresh && first->second != word("saved"))
      fault("gang", run + " is started from another checkpoint than its gang");
  }
  ++task.starts;
  if (job->firstStartMs < 0) job->firstStartMs = now;
  checks += 12;
  for (const auto& [other, where] : task.running) {
    if (task.repeats) break;
    if (where->up && sim_.nowUs() < where->frozenUntilUs)
      task.superseded.insert(other);
    else
      fault("once", std::string(run)
                        .append(" starts on ")
                        .append(simWorker.worker.traits.name)
                        .append(" while ")
                        .append(other)
                        .append(" runs on ")
                        .append(where->worker.traits.name));
  }
  judgeRerun(lead, task, run);
  for (auto dep : task.after)
    if (!job->clean(dep)) fault("steps", run + " starts before " + job->names[dep] + " is done");
  const Millis earlyMs = std::max(kEarlyGraceMs, sim_.plan.bounds.earlyMs) + (clockStepped ? kClockStepMs : 0);
  if (now + kEarlyGraceMs < job->submittedMs + job->notBeforeMs || now + earlyMs < task.dueMs)
    fault("early", run + " starts before its time");
  const bool counted =
      !task.standing && (!task.repeats || (now > lead.failedMs + kNotedMs && !sim_.troubled(kInTouchMs)));
  if (auto limit = failureLimit.find(job->line);
      counted && limit != failureLimit.end() && job->failures(at) >= limit->second)
    fault("failures", run + " starts after " + std::to_string(job->failures(at)) + " failures");
  if (job->cancelledMs >= 0 && now > job->cancelledMs + kCancelGraceMs)
    fault("cancelled", run + " starts after its cancel was confirmed");
  task.running[run] = &simWorker;
  judgePlace(simWorker, *job, at, run);
  judgeCapacity(simWorker);
}

void Judge::judgePlace(SimWorker& simWorker, const JobTruth& job, std::size_t at, const std::string& run) {
  const Millis now = sim_.nowMs();
  const auto& task = job.tasks[at];
  const auto& traits = simWorker.worker.traits;
  const auto& zone = simWorker.agent->settings.zone.value;
  if (auto since = emptiedSinceMs_.find(zone); since != emptiedSinceMs_.end() && now > since->second + kEmptyGraceMs)
    fault("emptied", run + " starts in emptied cell " + zone);
  if (auto since = drainedSinceMs_.find(traits.name);
      since != drainedSinceMs_.end() && now > since->second + kDrainGraceMs)
    fault("draining", run + " starts on drained " + traits.name);
  if (auto since = leavingSinceMs_.find(traits.name);
      since != leavingSinceMs_.end() && now > since->second + kDrainGraceMs)
    fault("draining", run + " starts on leaving " + traits.name);
  if (!task.needs.empty() && std::none_of(traits.labels.begin(), traits.labels.end(),
                                          [&](const auto& label) { return label.second == task.needs; }))
    fault("needs", run + " starts on " + traits.name + ", which has no label " + task.needs);
  if (const auto sent = poolsOfQueue_.find(job.line);
      sent != poolsOfQueue_.end() && !sent->second.contains(traits.pool))
    fault("pool", run + " starts in pool " + traits.pool + ", to which its queue was never sent");
  if (task.apart > 0) {
    std::int64_t beside = 0;
    for (const auto& other : job.tasks)
      if (other.step == task.step && other.instance == task.instance)
        for (const auto& [name, where] : other.running) beside += where == &simWorker;
    if (beside > task.apart)
      fault("apart", traits.name + " runs " + std::to_string(beside) + " tasks of the step of " + run);
  }
}

void Judge::judgeCapacity(SimWorker& simWorker) {
  const auto& traits = simWorker.worker.traits;
  std::int64_t slots = 0;
  std::map<std::string, std::int64_t> held;
  for (const auto& [run, running] : simWorker.worker.running) {
    slots += running.slots;
    for (const auto& [kind, amount] : running.capacity) held[kind] += amount;
  }
  if (slots > traits.slots) fault("room", traits.name + " runs " + std::to_string(slots) + " slots");
  for (const auto& [kind, amount] : held) {
    const auto total = traits.capacity.find(kind);
    if (amount > (total == traits.capacity.end() ? 0 : total->second))
      fault("room", traits.name + " runs " + std::to_string(amount) + " of " + kind);
  }
}

void Judge::runEnded(SimWorker&, const std::string& run, const std::string& outcome) {
  ++ends;
  ++outcomes[outcome];
  auto [job, at] = find(run);
  if (!job) return;
  auto& task = job->tasks[at];
  task.running.erase(run);
  if (outcome == "clean") {
    ++job->lead(at).cleanEnds;
    job->lead(at).unacknowledged.try_emplace(run);
    if (task.superseded.contains(run)) fault("once", run + " ended cleanly after it was started elsewhere");
  }
  if (outcome == "failed") {
    job->lead(at).failed.insert(run);
    job->lead(at).failedMs = sim_.nowMs();
  }
  if (outcome == "alone" && job->cancelAskedMs < 0 && !sim_.troubled(kInTouchMs + sim_.plan.bounds.gangWaitMs))
    fault("gang", run + " waited in vain for its gang, with no trouble near");
}

/// A clean end is final once its worker is told to forget it, unless the worker's hold lapsed before that: the leader
/// then counts the run as lost. A start between an end and its acknowledgement shows as a fault with the latter only.
void Judge::endAcknowledged(const std::string& run, bool holdLapsed) {
  auto [job, at] = find(run);
  if (!job) return;
  auto& lead = job->lead(at);
  const auto found = lead.unacknowledged.find(run);
  if (found == lead.unacknowledged.end()) return;
  const auto rerun = std::move(found->second);
  lead.unacknowledged.erase(found);
  if (holdLapsed) return;
  ++checks;
  if (!rerun.empty()) fault("once", rerun + " started after " + run + " ended cleanly, which is now acknowledged");
  if (lead.acknowledged.empty()) lead.acknowledgedMs = sim_.nowMs();
  lead.acknowledged.insert(run);
}

void Judge::judgeRerun(TaskTruth& lead, const TaskTruth& task, const std::string& run) {
  const bool noted = !task.repeats || (sim_.nowMs() > lead.acknowledgedMs + kNotedMs && !sim_.troubled(kInTouchMs));
  if (!lead.acknowledged.empty() && noted) fault("once", run + " starts after the task ended cleanly");
  if (task.repeats) return;
  for (auto& [ended, rerun] : lead.unacknowledged)
    if (rerun.empty()) rerun = run;
}

void Judge::reported(SimWorker& simWorker, const std::string& body, int status) {
  if (status != 200) return;
  Json root = parseJson(body);
  const auto& name = simWorker.worker.traits.name;
  if (flagAt(root.get(), "leaving"))
    leavingSinceMs_.try_emplace(name, sim_.nowMs());
  else
    leavingSinceMs_.erase(name);
}

void Judge::shown(const std::string& id, int status, const json_t* view, Millis askedMs) {
  auto& job = jobs.at(id);
  ++checks;
  constexpr int kNotFound = 404, kGone = 410;
  const bool unknown = status == kNotFound || status == kGone;
  if (unknown || status == 200) job.answeredMs = sim_.nowMs();
  if (unknown) {
    if (job.acceptedMs >= 0 && !(forgetsEnded && !job.shown.empty()))
      fault("forgotten", id + " is answered with " + std::to_string(status) + " after it was accepted");
    return;
  }
  if (status != 200) return;
  if (const auto told = textAt(view, "id"); !told.empty() && told != id)
    fault("answers", "a call for " + id + " is answered with " + told);
  if (const auto served = numberAt(view, "servedSlotMs", -1); served >= 0 && askedMs >= 0) {
    if (served < job.servedSeenMs && askedMs > job.servedAskedMs)
      fault("counters", id + " has served " + std::to_string(served) + " after " + std::to_string(job.servedSeenMs));
    if (served >= job.servedSeenMs) {
      job.servedSeenMs = served;
      job.servedAskedMs = std::max(job.servedAskedMs, sim_.nowMs());
    }
  }
  const auto state = textAt(view, "state");
  if (state.empty()) return;
  const bool ended = state == "finished" || state == "failed" || state == "cancelled" || state == "expired";
  if (flagAt(view, "brief") && !judgeBrief(job, state, ended, askedMs)) return;
  if (ended && !job.ending.empty() && job.ending != state)
    fault("shown", id + " is shown " + state + " after it was told " + job.ending);
  if (!ended) {
    if (!job.shown.empty() && (askedMs < 0 || askedMs > job.shownEndedMs))
      fault("shown", id + " is shown " + state + " after " + job.shown);
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
    if (state == "finished" && !job.clean(i))
      fault("finished", id + " is shown finished but " + job.names[i] + " never ended cleanly");
    for (const auto& [run, where] : task.running)
      if (!task.repeats && !task.superseded.contains(run) && !(where->up && sim_.nowUs() < where->frozenUntilUs))
        fault("finished",
              std::string(id).append(" is shown ").append(state).append(" while ").append(run).append(" runs"));
  }
  if (state == "finished" && job.neverSucceeds) fault("finished", id + " can not succeed but is shown finished");
}

/// A brief answer tells that a job fails or is cancelled while its last runs are still being stopped. Returns whether
/// the answer is to be judged as the whole view is.
bool Judge::judgeBrief(JobTruth& job, const std::string& state, bool ended, Millis askedMs) {
  if (!ended) {
    if (!job.ending.empty() && askedMs > job.endingMs)
      fault("shown", job.id + " is shown " + state + " after it was told " + job.ending);
    return true;
  }
  if (state == "finished" || !job.shown.empty()) return true;
  if (!job.ending.empty() && job.ending != state) fault("shown", job.id + " is told " + state + " after " + job.ending);
  if (job.ending.empty()) job.endingMs = sim_.nowMs();
  job.ending = state;
  return false;
}

void Judge::configProposed(const std::string& mark) {
  markVersion_.try_emplace(mark, 0);
  openChanges_.insert(mark);
  awaitingAck_.try_emplace(mark, sim_.nowMs());
}

void Judge::configConfirmed(const std::string& mark, Version version) {
  openChanges_.erase(mark);
  awaitingAck_.erase(mark);
  if (openChanges_.empty()) quietlyAcked_[mark] = markVersion_.size();
  if (rejected_.contains(mark)) fault("denied-chart", mark + " was denied and then confirmed");
  if (version == 0) return;
  auto& known = markVersion_[mark];
  if (known && known != version) fault("chart", mark + " was confirmed as two revisions");
  const auto [first, fresh] = markOfVersion_.try_emplace(version, mark);
  if (!fresh && first->second != mark)
    fault("number", mark + " and " + first->second + " were both confirmed as revision " + std::to_string(version));
  known = version;
  newestConfirmed_ = std::max(newestConfirmed_, version);
  confirmedMs_.try_emplace(version, sim_.nowMs());
}

void Judge::configRejected(const std::string& mark) {
  openChanges_.erase(mark);
  awaitingAck_.erase(mark);
  rejected_.insert(mark);
}

bool Judge::isLastChange(const std::string& mark) const {
  const auto quiet = quietlyAcked_.find(mark);
  return quiet != quietlyAcked_.end() && quiet->second == markVersion_.size() && openChanges_.empty();
}

void Judge::configResent(const std::string& mark, int status) {
  ++checks;
  constexpr int kTimeout = 408, kTooMany = 429;
  const bool refused = status >= 400 && status < 500 && status != kTimeout && status != kTooMany;
  if (refused && isLastChange(mark))
    fault("resent", mark + " was acknowledged, is sent again and refused with " + std::to_string(status));
}

void Judge::numberConfirmed(Version number, const std::string& mark) {
  ++checks;
  const auto [first, fresh] = markOfNumber_.try_emplace(number, mark);
  if (!fresh && first->second != mark)
    fault("number", mark + " and " + first->second + " were both acknowledged as number " + std::to_string(number));
}

void Judge::configRead(Version version, const std::string& text, Millis askedMs, bool final) {
  ++checks;
  auto [slot, fresh] = textOf_.try_emplace(version, text);
  if (!fresh && slot->second != text) fault("chart", "revision " + std::to_string(version) + " has two contents");
  for (const auto& mark : rejected_)
    if (text.find("\"" + mark + "\"") != std::string::npos)
      fault("denied-chart", mark + " was denied and is in revision " + std::to_string(version));
  if (version > markVersion_.size())
    fault("repeated", "revision " + std::to_string(version) + " after " + std::to_string(markVersion_.size()) +
                          " changes: one had two effects");
  judgeEvacuations(version, text);
  for (const auto& [each, whenMs] : confirmedMs_)
    if (each > version && askedMs > whenMs) {
      fault("stale-read", "revision " + std::to_string(version) + " is answered " + std::to_string(askedMs - whenMs) +
                              " ms after " + std::to_string(each) + " was confirmed");
      break;
    }
  for (const auto& [each, whenMs] : confirmedMs_)
    if (each > version && (final || askedMs > whenMs + kConfigGraceMs))
      fault("chart", "revision " + std::to_string(each) + " was confirmed, " + std::to_string(version) +
                         " is still answered " + std::to_string(askedMs - whenMs) + " ms later");
  for (const auto& [mark, at] : markVersion_)
    if (at == version && at != 0 && text.find("\"" + mark + "\"") == std::string::npos)
      fault("chart", mark + " is missing from its revision");
}

void Judge::judgeEvacuations(Version version, const std::string& text) {
  if (evacuatedFrom_.empty()) return;
  const Json config = parseJson(text);
  const json_t* zones = json_object_get(config.get(), "cells");
  for (const auto& [zone, from] : evacuatedFrom_)
    if (version >= from && !flagAt(json_object_get(zones, zone.c_str()), "emptied"))
      fault("emptied", "revision " + std::to_string(version) + " takes back the emptying of " + zone +
                           ", which was acknowledged by revision " + std::to_string(from));
}

void Judge::wholeConfig(bool begins) {
  wholeConfigs_ += begins ? 1 : -1;
  evacuatedFrom_.clear();
  emptiedSinceMs_.clear();
  drainedSinceMs_.clear();
}

void Judge::zoneEmptied(const std::string& zone, bool emptied, bool confirmed) {
  if (emptied && confirmed && wholeConfigs_ == 0) {
    emptiedSinceMs_.try_emplace(zone, sim_.nowMs());
    evacuatedFrom_.try_emplace(zone, newestConfirmed_);
  }
  if (emptied) return;
  emptiedSinceMs_.erase(zone);
  evacuatedFrom_.erase(zone);
}

void Judge::drained(const std::string& worker, bool drained, bool confirmed) {
  if (drained && confirmed && wholeConfigs_ == 0) drainedSinceMs_.try_emplace(worker, sim_.nowMs());
  if (!drained) drainedSinceMs_.erase(worker);
}

std::string Judge::described(const JobTruth& job, std::size_t at) const {
  const auto& task = job.tasks[at];
  auto text =
      job.names[at] + " (" + std::to_string(task.starts) + " starts, " + std::to_string(job.failures(at)) + " failures";
  if (task.members > 1) text += ", one of " + std::to_string(task.members);
  if (task.apart > 0) text += ", " + std::to_string(task.apart) + " on a worker";
  if (!task.needs.empty()) text += ", needs " + task.needs;
  return text + ")";
}

void Judge::sweep() {
  sweepLonely();
  sweepCancelled();
  sweepAcks();
  sweepSessions();
  constexpr std::uint64_t kStallSweeps = 5;
  if (!stalls || ++sweeps_ % kStallSweeps != 0) return;
  sweepStalled();
  sweepLost();
}

void Judge::sweepLonely() {
  const auto& bounds = sim_.plan.bounds;
  const Millis lonelyMs = 5000 + 3 * bounds.workerLeaseMs;
  for (auto& [id, row] : jobs) {
    auto& job = row;  // a structured binding can't be captured by every compiler
    if (!job.gang) continue;
    for (std::size_t i = 0; i < job.tasks.size(); ++i) {
      auto& task = job.tasks[i];
      ++checks;
      bool alone = false;
      if (!task.running.empty()) {
        for (std::size_t k = 0; k < job.tasks.size(); ++k) {
          const auto& other = job.tasks[k];
          const bool ready =
              std::all_of(other.after.begin(), other.after.end(), [&](auto dep) { return job.clean(dep); });
          const bool sameWave = other.after == task.after;
          if (k != i && ready && sameWave && other.running.empty() && other.cleanEnds == 0) alone = true;
        }
      }
      if (!alone)
        task.lonelySinceMs = -1;
      else if (task.lonelySinceMs < 0)
        task.lonelySinceMs = sim_.nowMs();
      else if (sim_.nowMs() - task.lonelySinceMs > lonelyMs) {
        fault("gang", id + ": " + job.names[i] + " waits alone for " +
                          std::to_string(sim_.nowMs() - task.lonelySinceMs) + " ms");
        task.lonelySinceMs = sim_.nowMs();
      }
    }
  }
}

void Judge::sweepCancelled() {
  const Millis lastMs = kCancelGraceMs + sim_.plan.bounds.runStopMs;
  for (auto& [id, job] : jobs) {
    if (job.cancelledMs < 0 || sim_.nowMs() <= job.cancelledMs + lastMs || !job.shown.empty()) continue;
    for (std::size_t i = 0; i < job.tasks.size(); ++i) {
      ++checks;
      if (!job.tasks[i].running.empty() && !sim_.troubled(lastMs + kInTouchMs))
        fault("cancelled", id + ": " + job.names[i] + " still runs after its cancel was confirmed");
    }
  }
}

void Judge::close() {
  judgeRecovery();
  for (const auto& [id, job] : jobs) {
    ++checks;
    if (job.acceptedMs >= 0 && job.shown.empty()) {
      std::size_t open = 0;
      while (open + 1 < job.tasks.size() && !job.ready(open, sim_.nowMs())) ++open;
      fault("ends", id + " was accepted and never ended" + (job.tasks.empty() ? "" : ": " + described(job, open)));
    }
    if (job.cancelledMs < 0 && job.acceptedMs >= 0 && !job.neverSucceeds && job.cancelAskedMs < 0 &&
        job.shown == "cancelled")
      fault("shown", id + " is shown cancelled but nobody cancelled it");
  }
}

}  // namespace tulip::simulator
