#include "roles/worker.hpp"

#include <algorithm>
#include <cstdio>

#include "bearing/json.hpp"

namespace tulip::roles {
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

std::string checkpointOwner(const std::string& run, const GoingRun& going) {
  const auto task = taskOf(run);
  return going.gang.empty() ? task : task.substr(0, task.rfind('.'));
}

void passBy(Worker& worker, std::string_view run) {
  auto& highest = worker.passed[taskOf(run)];
  highest = std::max(highest, attemptOf(run));
}

void save(Worker& worker, const std::string& run, GoingRun& going) {
  auto text = hex8(static_cast<std::uint32_t>(going.doneMs)) + digestOf(checkpointOwner(run, going));
  if (text == going.saved) return;
  going.saved = std::move(text);
  worker.journal.push_back("saved " + run + " " + going.saved);
}

void finish(Worker& worker, const std::string& run, const char* outcome, const char* detail) {
  auto found = worker.going.find(run);
  if (found == worker.going.end()) return;
  worker.ended[run] = {outcome, detail, found->second.saved};
  worker.going.erase(found);
  passBy(worker, run);
  worker.journal.push_back("end " + run + " " + outcome);
}

void workOn(Worker& worker, const std::string& run, GoingRun& going, Millis nowMs) {
  const auto span = std::max<Millis>(0, nowMs - going.movedMs);
  going.movedMs = std::max(going.movedMs, nowMs);
  if (going.waits || going.stopping || going.workDone || worker.traits.standsStill) return;
  const auto before = going.doneMs;
  going.doneMs += static_cast<double>(span) / (worker.traits.slowFactor * going.farFactor);
  going.workDone = going.doneMs >= static_cast<double>(going.workMs);
  const auto each = static_cast<double>(std::max<Millis>(1, worker.traits.checkpointMs));
  if (going.saves && !going.workDone && static_cast<std::int64_t>(before / each) != static_cast<std::int64_t>(going.doneMs / each))
    save(worker, run, going);
}

bool drawnToFail(const Worker& worker, const std::string& run) {
  return worker.traits.failShare > 0 && fnv(run + worker.incarnation) % 1000 < static_cast<std::uint32_t>(worker.traits.failShare * 1000);
}

GoingRun readRun(const Worker& worker, const std::string& run, const json_t* item, Millis nowMs) {
  const json_t* payload = json_object_get(item, "payload");
  GoingRun going;
  going.workMs = numberAt(payload, "runMs", 100);
  going.slots = numberAt(payload, "slots", numberAt(item, "slots", 1));
  going.members = numberAt(payload, "together", 1);
  going.oneRack = flagAt(payload, "oneRack");
  going.standing = flagAt(payload, "standing");
  going.saves = flagAt(payload, "saves");
  if (going.members > 1) going.gang = gangOf(run);
  const char* kind;
  json_t* amount;
  json_object_foreach(json_object_get(payload, "room"), kind, amount) {
    if (json_is_integer(amount)) going.room[kind] = json_integer_value(amount);
  }
  if (const auto near = textAt(payload, "near"); !near.empty()) {
    const auto rack = worker.traits.labels.find("rack");
    if (rack == worker.traits.labels.end() || rack->second != near) going.farFactor = worker.traits.farFactor;
  }
  going.fails = attemptOf(run) <= numberAt(payload, "failAttempts") || flagAt(payload, "fails") ||
                (worker.traits.failEvery > 0 && worker.started % worker.traits.failEvery == 0) || drawnToFail(worker, run);
  going.waits = going.members > 1;
  going.waitsSinceMs = nowMs;
  going.movedMs = nowMs;
  going.saved = textAt(item, "saved");
  if (!going.saved.empty()) {
    going.doneMs = static_cast<double>(std::strtoul(going.saved.substr(0, 8).c_str(), nullptr, 16));
    going.movedMs = nowMs + worker.traits.restoreMs;
  }
  return going;
}

void trapRoom(Worker& worker, const std::string& run) {
  std::int64_t slots = 0;
  std::map<std::string, std::int64_t> held;
  for (const auto& [other, going] : worker.going) {
    slots += going.slots;
    for (const auto& [kind, amount] : going.room) held[kind] += amount;
  }
  if (slots > worker.traits.slots) worker.journal.push_back("over " + run + " slots");
  for (const auto& [kind, amount] : held) {
    const auto total = worker.traits.room.find(kind);
    if (amount > 0 && (total == worker.traits.room.end() || amount > total->second)) worker.journal.push_back("over " + run + " " + kind);
  }
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
  if (worker.leaving && worker.leavesAtMs >= 0) json_object_set_new(root.get(), "leavesMs", json_integer(std::max<Millis>(0, worker.leavesAtMs - nowMs)));
  json_t *labels = json_object(), *room = json_object(), *going = json_array(), *ended = json_array();
  for (const auto& [name, value] : worker.traits.labels) json_object_set_new(labels, name.c_str(), jsonText(value));
  for (const auto& [name, amount] : worker.traits.room) json_object_set_new(room, name.c_str(), json_integer(amount));
  for (const auto& [run, state] : worker.going) {
    json_t* item = json_object();
    json_object_set_new(item, "run", jsonText(run));
    if (!state.saved.empty()) json_object_set_new(item, "saved", jsonText(state.saved));
    const auto share = state.workMs > 0 ? std::min(1.0, state.doneMs / static_cast<double>(state.workMs)) : 1.0;
    json_object_set_new(item, "percent", json_integer(static_cast<json_int_t>(share * 100)));
    json_array_append_new(going, item);
  }
  for (const auto& [run, state] : worker.ended) {
    json_t* item = json_object();
    json_object_set_new(item, "run", jsonText(run));
    json_object_set_new(item, "outcome", jsonText(state.outcome));
    json_object_set_new(item, "detail", jsonText(state.detail));
    if (!state.saved.empty()) json_object_set_new(item, "saved", jsonText(state.saved));
    json_array_append_new(ended, item);
  }
  json_object_set_new(root.get(), "labels", labels);
  json_object_set_new(root.get(), "room", room);
  json_object_set_new(root.get(), "going", going);
  json_object_set_new(root.get(), "ended", ended);
  return dumpJson(root.get());
}

void heardAnswer(Worker& worker, std::string_view body, Millis sentMs, Millis nowMs) {
  Json root = parseJson(body);
  if (!root || numberAt(root.get(), "report") > static_cast<std::int64_t>(worker.report)) return;
  const auto fence = static_cast<std::uint64_t>(numberAt(root.get(), "fence"));
  if (fence < worker.fence) return;
  worker.fence = fence;
  auto holdMs = numberAt(root.get(), "goOnMs");
  if (worker.traits.holdMostMs > 0) holdMs = std::min(holdMs, worker.traits.holdMostMs);
  worker.goOnUntilMs = std::max(worker.goOnUntilMs, sentMs + holdMs);
  // An answer to a report that another has followed holds on; what it orders was given up when the later one came without it.
  if (numberAt(root.get(), "report") < static_cast<std::int64_t>(worker.report)) return;
  worker.callAtMs = nowMs + numberAt(root.get(), "nextMs");
  const bool fresh = nowMs - sentMs <= numberAt(root.get(), "startWithinMs") && (nowMs < worker.goOnUntilMs || !worker.traits.selfStop);
  const json_t* stop = json_object_get(root.get(), "stop");
  for (std::size_t i = 0; i < json_array_size(stop); ++i) {
    const char* run = json_string_value(json_array_get(stop, i));
    if (!run) continue;
    passBy(worker, run);
    if (auto found = worker.going.find(run); found != worker.going.end() && !found->second.stopping) {
      workOn(worker, run, found->second, nowMs);
      found->second.stopping = true;
      found->second.stoppedMs = nowMs + 1 + static_cast<Millis>(fnv(run) % static_cast<std::uint32_t>(std::max<Millis>(1, worker.traits.stopTakesMs)));
    }
  }
  const json_t* ack = json_object_get(root.get(), "ack");
  for (std::size_t i = 0; i < json_array_size(ack); ++i)
    if (const char* run = json_string_value(json_array_get(ack, i)); run && worker.ended.erase(run))
      worker.journal.push_back(std::string("acked ") + run);
  const json_t* start = json_object_get(root.get(), "start");
  for (std::size_t i = 0; i < json_array_size(start); ++i) {
    const json_t* item = json_array_get(start, i);
    const auto run = textAt(item, "run");
    if (run.empty() || !fresh || worker.going.contains(run) || worker.ended.contains(run)) continue;
    if (auto passed = worker.passed.find(taskOf(run)); passed != worker.passed.end() && attemptOf(run) <= passed->second) {
      worker.ended[run] = {"refused", "not above one that was stopped or ended here", ""};
      worker.journal.push_back("refused " + run);
      continue;
    }
    ++worker.started;
    const auto& going = worker.going[run] = readRun(worker, run, item, nowMs);
    auto line = "start " + run + " " + std::to_string(going.slots);
    if (const json_t* payload = json_object_get(item, "payload")) line += " payload=" + digestOf(dumpJson(payload));
    if (!going.saved.empty()) line += " saved=" + going.saved;
    worker.journal.push_back(std::move(line));
    trapRoom(worker, run);
  }
}

bool workerTick(Worker& worker, Millis nowMs) {
  struct Over {
    std::string run;
    const char *outcome, *detail;
  };
  std::vector<Over> over;
  const bool silenced = worker.traits.selfStop && nowMs >= worker.goOnUntilMs;
  for (auto& [run, going] : worker.going) {
    if (silenced) {
      over.push_back({run, "lapsed", "unheard past its hold"});
      continue;
    }
    workOn(worker, run, going, nowMs);
    if (going.stopping) {
      if (nowMs < going.stoppedMs) continue;
      if (going.saves && !going.waits) save(worker, run, going);
      over.push_back({run, "stopped", ""});
    } else if (going.waits) {
      if (nowMs - going.waitsSinceMs >= worker.traits.gangWaitMs) over.push_back({run, "alone", "the others did not come"});
    } else if (going.workDone && going.fails) over.push_back({run, "failed", ""});
    else if (going.workDone && going.gang.empty() && !going.standing) over.push_back({run, "clean", ""});
  }
  for (const auto& each : over) finish(worker, each.run, each.outcome, each.detail);
  return !over.empty();
}

void gangWhole(Worker& worker, const std::string& run, double farFactor, Millis nowMs) {
  auto found = worker.going.find(run);
  if (found == worker.going.end() || !found->second.waits) return;
  auto& going = found->second;
  going.waits = false;
  going.farFactor = std::max(going.farFactor, farFactor);
  going.movedMs = std::max(going.movedMs, nowMs);
}

void gangBroken(Worker& worker, const std::string& run, Millis) { finish(worker, run, "broken", "another member ended"); }

void gangDone(Worker& worker, const std::string& run, Millis) { finish(worker, run, "clean", ""); }

}  // namespace tulip::roles
