#include "agent/worker_json.hpp"

#include <array>
#include <utility>

#include "base/json.hpp"

namespace tulip::agent {

using namespace transport;

namespace {

AttemptOutcome outcomeOf(std::string_view text) {
  constexpr std::array<std::pair<std::string_view, AttemptOutcome>, 6> rows{{{"clean", AttemptOutcome::clean},
                                                                             {"stopped", AttemptOutcome::stopped},
                                                                             {"lapsed", AttemptOutcome::lapsed},
                                                                             {"broken", AttemptOutcome::broken},
                                                                             {"alone", AttemptOutcome::alone},
                                                                             {"refused", AttemptOutcome::refused}}};
  for (const auto& [name, outcome] : rows)
    if (name == text) return outcome;
  return AttemptOutcome::failed;
}

/// The worker's labels and capacity.
void readTraits(json_t* root, WorkerReport& report) {
  const char* key;
  json_t* value;
  json_object_foreach(json_object_get(root, "labels"), key, value) {
    if (json_is_string(value)) report.labels[key] = json_string_value(value);
  }
  json_object_foreach(json_object_get(root, "room"), key, value) {
    if (json_is_integer(value)) report.capacity[key] = json_integer_value(value);
  }
}

void readRunning(const json_t* running, WorkerReport& report) {
  for (std::size_t i = 0; i < json_array_size(running); ++i) {
    const json_t* item = json_array_get(running, i);
    if (json_is_string(item))
      report.running.push_back({AttemptId(json_string_value(item)), {}, 0});
    else if (auto run = textAt(item, "run"); !run.empty())
      report.running.push_back({AttemptId(run), textAt(item, "saved"), numberAt(item, "percent")});
  }
}

void readEnded(const json_t* ended, WorkerReport& report) {
  for (std::size_t i = 0; i < json_array_size(ended); ++i) {
    const json_t* item = json_array_get(ended, i);
    if (auto run = textAt(item, "run"); !run.empty())
      report.ended.push_back(
          {0, AttemptId(run), outcomeOf(textAt(item, "outcome")), textAt(item, "saved"), textAt(item, "detail")});
  }
}

}  // namespace

std::variant<WorkerReport, ReportFault> readWorkerReport(std::string_view body, const WorkerId& worker) {
  const Json root = parseJson(body);
  if (!root || !json_is_object(root.get())) return ReportFault{Kind::malformed, "/", "one JSON object"};
  if (textAt(root.get(), "worker") != worker.value)
    return ReportFault{Kind::badValue, "/worker", "the name of this agent's worker"};
  WorkerReport report;
  report.incarnation = textAt(root.get(), "incarnation");
  if (report.incarnation.empty())
    return ReportFault{Kind::badValue, "/incarnation", "a text, new at each start of the worker"};
  const auto number = numberAt(root.get(), "report");
  if (number < 1) return ReportFault{Kind::badValue, "/report", "a number that grows with each report"};
  report.number = static_cast<std::uint64_t>(number);
  report.slots = numberAt(root.get(), "slots");
  if (report.slots < 1) return ReportFault{Kind::badValue, "/slots", "a whole number of at least 1"};
  report.leaving = flagAt(root.get(), "leaving");
  report.leavesMs = numberAt(root.get(), "leavesMs", -1);
  report.pool = PoolName(textAt(root.get(), "pool"));
  readTraits(root.get(), report);
  readRunning(json_object_get(root.get(), "going"), report);
  readEnded(json_object_get(root.get(), "ended"), report);
  report.moreEnded = flagAt(root.get(), "moreEnded");
  return report;
}

std::string answerJson(const WorkerAnswer& answer) {
  Json root(json_object());
  json_t *start = json_array(), *stop = json_array(), *ack = json_array();
  for (const auto& each : answer.start) {
    Json spec = parseJson(*each.spec);
    if (!json_is_object(spec.get())) spec.reset(json_object());
    json_object_set_new(spec.get(), "run", jsonText(each.run.view()));
    if (!each.saved.empty()) json_object_set_new(spec.get(), "saved", jsonText(each.saved));
    json_array_append_new(start, spec.release());
  }
  for (const auto& run : answer.stop) json_array_append_new(stop, jsonText(run.view()));
  for (const auto& run : answer.acknowledged) json_array_append_new(ack, jsonText(run.view()));
  json_object_set_new(root.get(), "report", json_integer(static_cast<json_int_t>(answer.number)));
  json_object_set_new(root.get(), "goOnMs", json_integer(answer.goOnMs));
  json_object_set_new(root.get(), "startWithinMs", json_integer(answer.startWithinMs));
  json_object_set_new(root.get(), "start", start);
  json_object_set_new(root.get(), "stop", stop);
  json_object_set_new(root.get(), "ack", ack);
  return dumpJson(root.get());
}

}  // namespace tulip::agent
