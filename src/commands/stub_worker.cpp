#include "commands/stub_worker.hpp"

#include <algorithm>
#include <cstdio>

#include "base/json.hpp"

namespace tulip::commands {
namespace {

std::uint32_t fnv(std::string_view text) {
  std::uint32_t sum = 2166136261u;
  for (unsigned char c : text) sum = (sum ^ c) * 16777619u;
  return sum;
}

std::string hex8(std::uint32_t value) {
  char text[9];
  std::snprintf(text, sizeof text, "%08x", value);
  return text;
}

std::string checkpointOwner(const std::string& run, const RunningAttempt& running) {
  const auto task = taskOf(run);
  return running.gang.empty() ? task : task.substr(0, task.rfind('.'));
}

void passBy(Worker& worker, std::string_view run) {
  auto& highest = worker.passed[taskOf(run)];
  highest = std::max(highest, attemptOf(run));
}

void save(Worker& worker, const std::string& run, RunningAttempt& running) {
  auto text = hex8(static_cast<std::uint32_t>(running.doneMs)) + digestOf(checkpointOwner(run, running));
  if (text == running.saved) return;
  running.saved = std::move(text);
  worker.journal.push_back("saved " + run + " " + running.saved);
}

void finish(Worker& worker, const std::string& run, const char* outcome, const char* detail) {
  auto found = worker.running.find(run);
  if (found == worker.running.end()) return;
  worker.ended[run] = {outcome, detail, found->second.saved, ++worker.endedCount};
  worker.running.erase(found);
  passBy(worker, run);
  worker.journal.push_back("end " + run + " " + outcome);
}

void workOn(Worker& worker, const std::string& run, RunningAttempt& running, Millis nowMs) {
  const auto span = std::max<Millis>(0, nowMs - running.movedMs);
  running.movedMs = std::max(running.movedMs, nowMs);
  if (running.waits || running.stopping || running.workDone || worker.traits.standsStill) return;
  const auto before = running.doneMs;
  running.doneMs += static_cast<double>(span) / (worker.traits.slowFactor * running.farFactor);
  running.workDone = running.doneMs >= static_cast<double>(running.workMs);
  const auto each = static_cast<double>(std::max<Millis>(1, worker.traits.checkpointMs));
  if (running.saves && !running.workDone &&
      static_cast<std::int64_t>(before / each) != static_cast<std::int64_t>(running.doneMs / each))
    save(worker, run, running);
}

bool drawnToFail(const Worker& worker, const std::string& run) {
  return worker.traits.failShare > 0 &&
         fnv(run + worker.incarnation) % 1000 < static_cast<std::uint32_t>(worker.traits.failShare * 1000);
}

RunningAttempt readRun(const Worker& worker, const std::string& run, const json_t* item, Millis nowMs) {
  const json_t* payload = json_object_get(item, "payload");
  RunningAttempt running;
  running.workMs = numberAt(payload, "runMs", 100);
  running.slots = numberAt(payload, "slots", numberAt(item, "slots", 1));
  running.members = numberAt(payload, "together", 1);
  running.oneRack = flagAt(payload, "oneRack");
  running.standing = flagAt(payload, "standing");
  running.saves = flagAt(payload, "saves");
  if (running.members > 1) running.gang = gangOf(run);
  const char* kind;
  json_t* amount;
  json_object_foreach(json_object_get(payload, "room"), kind, amount) {
    if (json_is_integer(amount)) running.capacity[kind] = json_integer_value(amount);
  }
  if (const auto near = textAt(payload, "near"); !near.empty()) {
    const auto rack = worker.traits.labels.find("rack");
    if (rack == worker.traits.labels.end() || rack->second != near) running.farFactor = worker.traits.farFactor;
  }
  running.fails = attemptOf(run) <= numberAt(payload, "failAttempts") || flagAt(payload, "fails") ||
                  (worker.traits.failEvery > 0 && worker.started % worker.traits.failEvery == 0) ||
                  drawnToFail(worker, run);
  running.waits = running.members > 1;
  running.waitsSinceMs = nowMs;
  running.movedMs = nowMs;
  running.saved = textAt(item, "saved");
  if (!running.saved.empty()) {
    running.doneMs = static_cast<double>(std::strtoul(running.saved.substr(0, 8).c_str(), nullptr, 16));
    running.movedMs = nowMs + worker.traits.restoreMs;
  }
  return running;
}

void trapCapacity(Worker& worker, const std::string& run) {
  std::int64_t slots = 0;
  std::map<std::string, std::int64_t> held;
  for (const auto& [other, running] : worker.running) {
    slots += running.slots;
    for (const auto& [kind, amount] : running.capacity) held[kind] += amount;
  }
  if (slots > worker.traits.slots) worker.journal.push_back("over " + run + " slots");
  for (const auto& [kind, amount] : held) {
    const auto total = worker.traits.capacity.find(kind);
    if (amount > 0 && (total == worker.traits.capacity.end() || amount > total->second))
      worker.journal.push_back(std::string("over ").append(run).append(" ").append(kind));
  }
}

struct ListedEnd {
  std::string_view run;
  const EndedAttempt* ended;
};

/// The ends that the next report lists: the oldest, as many as it takes.
std::vector<ListedEnd> listedEnds(const Worker& worker) {
  std::vector<ListedEnd> ends;
  ends.reserve(worker.ended.size());
  for (const auto& [run, ended] : worker.ended) ends.push_back({run, &ended});
  if (ends.size() <= worker.traits.mostEndsListed) return ends;
  std::ranges::sort(ends, {}, [](const ListedEnd& end) { return end.ended->number; });
  ends.resize(worker.traits.mostEndsListed);
  return ends;
}

json_t* endedJson(const ListedEnd& end) {
  json_t* item = json_object();
  json_object_set_new(item, "run", jsonText(end.run));
  json_object_set_new(item, "outcome", jsonText(end.ended->outcome));
  json_object_set_new(item, "detail", jsonText(end.ended->detail));
  if (!end.ended->saved.empty()) json_object_set_new(item, "saved", jsonText(end.ended->saved));
  return item;
}

}  // namespace

std::string digestOf(std::string_view text) { return hex8(fnv(text)); }

std::string taskOf(std::string_view run) { return std::string(run.substr(0, run.rfind(':'))); }

std::string gangOf(std::string_view run) {
  const auto task = taskOf(run);
  return task.substr(0, task.rfind('.')) + ":" + std::to_string(attemptOf(run));
}

std::int64_t attemptOf(std::string_view run) {
  const auto colon = run.rfind(':');
  return colon == std::string_view::npos ? 1 : std::atoll(std::string(run.substr(colon + 1)).c_str());
}

std::string nextReport(Worker& worker, Millis nowMs) {
  Json root(json_object());
  json_object_set_new(root.get(), "worker", jsonText(worker.traits.name));
  json_object_set_new(root.get(), "incarnation", jsonText(worker.incarnation));
  json_object_set_new(root.get(), "report", json_integer(static_cast<json_int_t>(++worker.report)));
  json_object_set_new(root.get(), "pool", jsonText(worker.traits.pool));
  json_object_set_new(root.get(), "slots", json_integer(worker.traits.slots));
  json_object_set_new(root.get(), "leaving", json_boolean(worker.leaving));
  if (worker.leaving && worker.leavesAtMs >= 0)
    json_object_set_new(root.get(), "leavesMs", json_integer(std::max<Millis>(0, worker.leavesAtMs - nowMs)));
  json_t *labels = json_object(), *capacity = json_object(), *running = json_array(), *ended = json_array();
  for (const auto& [name, value] : worker.traits.labels) json_object_set_new(labels, name.c_str(), jsonText(value));
  for (const auto& [name, amount] : worker.traits.capacity)
    json_object_set_new(capacity, name.c_str(), json_integer(amount));
  for (const auto& [run, state] : worker.running) {
    json_t* item = json_object();
    json_object_set_new(item, "run", jsonText(run));
    if (!state.saved.empty()) json_object_set_new(item, "saved", jsonText(state.saved));
    const auto share = state.workMs > 0 ? std::min(1.0, state.doneMs / static_cast<double>(state.workMs)) : 1.0;
    json_object_set_new(item, "percent", json_integer(static_cast<json_int_t>(share * 100)));
    json_array_append_new(running, item);
  }
  const auto ends = listedEnds(worker);
  for (const auto& end : ends) json_array_append_new(ended, endedJson(end));
  json_object_set_new(root.get(), "labels", labels);
  json_object_set_new(root.get(), "room", capacity);
  json_object_set_new(root.get(), "going", running);
  json_object_set_new(root.get(), "ended", ended);
  if (ends.size() < worker.ended.size()) json_object_set_new(root.get(), "moreEnded", json_true());
  return dumpJson(root.get());
}

namespace {

/// An end that is acknowledged only after the hold lapsed counts as never acknowledged.
void noteLapse(Worker& worker, Millis nowMs) {
  if (!worker.traits.selfStop || nowMs < worker.goOnUntilMs) return;
  for (auto& [run, ended] : worker.ended) ended.holdLapsed = true;
}

void forgetEnded(Worker& worker, const std::string& run) {
  const auto found = worker.ended.find(run);
  if (found == worker.ended.end()) return;
  worker.journal.push_back("acked " + run + (found->second.holdLapsed ? " lapsed" : ""));
  worker.ended.erase(found);
}

}  // namespace

void heardAnswer(Worker& worker, std::string_view body, Millis sentMs, Millis nowMs) {
  Json root = parseJson(body);
  if (!root || numberAt(root.get(), "report") > static_cast<std::int64_t>(worker.report)) return;
  const auto fence = static_cast<std::uint64_t>(numberAt(root.get(), "fence"));
  if (fence < worker.fence) return;
  worker.fence = fence;
  auto holdMs = numberAt(root.get(), "goOnMs");
  if (worker.traits.holdMostMs > 0) holdMs = std::min(holdMs, worker.traits.holdMostMs);
  noteLapse(worker, nowMs);
  worker.goOnUntilMs = std::max(worker.goOnUntilMs, sentMs + holdMs);
  // An answer to a report that another has followed holds on; what it orders was given up when the later one came
  // without it.
  if (numberAt(root.get(), "report") < static_cast<std::int64_t>(worker.report)) return;
  worker.callAtMs = nowMs + numberAt(root.get(), "nextMs");
  const bool fresh = nowMs - sentMs <= numberAt(root.get(), "startWithinMs") &&
                     (nowMs < worker.goOnUntilMs || !worker.traits.selfStop);
  const json_t* stop = json_object_get(root.get(), "stop");
  for (std::size_t i = 0; i < json_array_size(stop); ++i) {
    const char* run = json_string_value(json_array_get(stop, i));
    if (!run) continue;
    passBy(worker, run);
    if (auto found = worker.running.find(run); found != worker.running.end() && !found->second.stopping) {
      workOn(worker, run, found->second, nowMs);
      found->second.stopping = true;
      found->second.stoppedMs =
          nowMs + 1 +
          static_cast<Millis>(fnv(run) % static_cast<std::uint32_t>(std::max<Millis>(1, worker.traits.stopTakesMs)));
    }
  }
  const json_t* ack = json_object_get(root.get(), "ack");
  for (std::size_t i = 0; i < json_array_size(ack); ++i)
    if (const char* run = json_string_value(json_array_get(ack, i))) forgetEnded(worker, run);
  const json_t* start = json_object_get(root.get(), "start");
  for (std::size_t i = 0; i < json_array_size(start); ++i) {
    const json_t* item = json_array_get(start, i);
    const auto run = textAt(item, "run");
    if (run.empty() || !fresh || worker.running.contains(run) || worker.ended.contains(run)) continue;
    if (auto passed = worker.passed.find(taskOf(run));
        passed != worker.passed.end() && attemptOf(run) <= passed->second) {
      worker.ended[run] = {"refused", "not above one that was stopped or ended here", "", ++worker.endedCount};
      worker.journal.push_back("refused " + run);
      continue;
    }
    ++worker.started;
    const auto& running = worker.running[run] = readRun(worker, run, item, nowMs);
    auto line = "start " + run + " " + std::to_string(running.slots);
    if (const json_t* payload = json_object_get(item, "payload")) line += " payload=" + digestOf(dumpJson(payload));
    if (!running.saved.empty()) line += " saved=" + running.saved;
    worker.journal.push_back(std::move(line));
    trapCapacity(worker, run);
  }
}

bool workerTick(Worker& worker, Millis nowMs) {
  struct Over {
    std::string run;
    const char *outcome, *detail;
  };
  std::vector<Over> over;
  const bool silenced = worker.traits.selfStop && nowMs >= worker.goOnUntilMs;
  for (auto& [run, running] : worker.running) {
    if (silenced) {
      over.push_back({run, "lapsed", "unheard past its hold"});
      continue;
    }
    workOn(worker, run, running, nowMs);
    if (running.stopping) {
      if (nowMs < running.stoppedMs) continue;
      if (running.saves && !running.waits) save(worker, run, running);
      over.push_back({run, "stopped", ""});
    } else if (running.waits) {
      if (nowMs - running.waitsSinceMs >= worker.traits.gangWaitMs)
        over.push_back({run, "alone", "the others did not come"});
    } else if (running.workDone && running.fails)
      over.push_back({run, "failed", ""});
    else if (running.workDone && running.gang.empty() && !running.standing)
      over.push_back({run, "clean", ""});
  }
  for (const auto& each : over) finish(worker, each.run, each.outcome, each.detail);
  return !over.empty();
}

void gangWhole(Worker& worker, const std::string& run, double farFactor, Millis nowMs) {
  auto found = worker.running.find(run);
  if (found == worker.running.end() || !found->second.waits) return;
  auto& running = found->second;
  running.waits = false;
  running.farFactor = std::max(running.farFactor, farFactor);
  running.movedMs = std::max(running.movedMs, nowMs);
}

void gangBroken(Worker& worker, const std::string& run, Millis) {
  finish(worker, run, "broken", "another member ended");
}

void gangDone(Worker& worker, const std::string& run, Millis) { finish(worker, run, "clean", ""); }

}  // namespace tulip::commands
