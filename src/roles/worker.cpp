#include "roles/worker.hpp"

#include "bearing/json.hpp"

namespace tulip::roles {
namespace {

void finish(Worker& worker, const std::string& run, const char* outcome, const char* detail) {
  worker.going.erase(run);
  worker.ended[run] = {outcome, detail};
  worker.journal.push_back(std::string("end ") + run + " " + outcome);
}

std::int64_t attemptOf(const std::string& run) {
  const auto colon = run.rfind(':');
  return colon == std::string::npos ? 1 : std::atoll(run.c_str() + colon + 1);
}

}  // namespace

std::string nextReport(Worker& worker) {
  Json root(json_object());
  json_object_set_new(root.get(), "worker", jsonText(worker.traits.name));
  json_object_set_new(root.get(), "incarnation", jsonText(worker.incarnation));
  json_object_set_new(root.get(), "report", json_integer(static_cast<json_int_t>(++worker.report)));
  json_object_set_new(root.get(), "pool", jsonText(worker.traits.pool));
  json_object_set_new(root.get(), "slots", json_integer(worker.traits.slots));
  json_object_set_new(root.get(), "leaving", json_boolean(worker.leaving));
  json_t *labels = json_object(), *room = json_object(), *going = json_array(), *ended = json_array();
  for (const auto& [name, value] : worker.traits.labels) json_object_set_new(labels, name.c_str(), jsonText(value));
  for (const auto& [name, amount] : worker.traits.room) json_object_set_new(room, name.c_str(), json_integer(amount));
  for (const auto& [run, state] : worker.going) json_array_append_new(going, jsonText(run));
  for (const auto& [run, state] : worker.ended) {
    json_t* item = json_object();
    json_object_set_new(item, "run", jsonText(run));
    json_object_set_new(item, "outcome", jsonText(state.outcome));
    json_object_set_new(item, "detail", jsonText(state.detail));
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
  if (!root || numberAt(root.get(), "report") != static_cast<std::int64_t>(worker.report)) return;
  worker.goOnUntilMs = std::max(worker.goOnUntilMs, sentMs + numberAt(root.get(), "goOnMs"));
  const bool fresh = nowMs - sentMs <= numberAt(root.get(), "startWithinMs") && (nowMs < worker.goOnUntilMs || !worker.traits.selfStop);
  const json_t* stop = json_object_get(root.get(), "stop");
  for (std::size_t i = 0; i < json_array_size(stop); ++i) {
    const char* run = json_string_value(json_array_get(stop, i));
    if (!run) continue;
    worker.seen.insert(run);
    if (auto found = worker.going.find(run); found != worker.going.end() && !found->second.stopping) {
      found->second.stopping = true;
      found->second.endsMs = nowMs + worker.traits.stopTakesMs;
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
    if (run.empty() || !fresh || !worker.seen.insert(run).second) continue;
    const json_t* payload = json_object_get(item, "payload");
    const auto runMs = static_cast<Millis>(static_cast<double>(numberAt(payload, "runMs", 100)) * worker.traits.slowFactor);
    ++worker.started;
    GoingRun going;
    going.endsMs = nowMs + runMs;
    going.slots = numberAt(item, "slots", 1);
    going.fails = attemptOf(run) <= numberAt(payload, "failAttempts") || flagAt(payload, "fails") ||
                  (worker.traits.failEvery > 0 && worker.started % worker.traits.failEvery == 0);
    worker.going[run] = going;
    worker.journal.push_back("start " + run + " " + std::to_string(going.slots));
  }
}

bool workerTick(Worker& worker, Millis nowMs) {
  std::vector<std::pair<std::string, const char*>> over;
  const bool silenced = worker.traits.selfStop && nowMs >= worker.goOnUntilMs;
  for (const auto& [run, going] : worker.going) {
    if (silenced) over.emplace_back(run, "stopped");
    else if (nowMs >= going.endsMs) over.emplace_back(run, going.stopping ? "stopped" : going.fails ? "failed" : "clean");
  }
  for (const auto& [run, outcome] : over) finish(worker, run, outcome, silenced ? "unheard past the term" : "");
  return !over.empty();
}

}  // namespace tulip::roles
