#include "drydock/load.hpp"

#include <algorithm>
#include <cmath>

namespace tulip::drydock {
namespace {

std::int64_t between(std::int64_t low, std::int64_t high, const Dice& dice) {
  return low + static_cast<std::int64_t>(dice() * static_cast<double>(high - low + 1));
}

}  // namespace

JobSketch sketchJob(const LineLoad& load, const std::string& id, const Dice& dice) {
  JobSketch job{id, load.line, dice() < load.gang, 0, {}};
  if (dice() < 0.05) job.notBeforeMs = between(200, 1700, dice);
  const auto count = between(load.leastTasks, load.mostTasks, dice);
  const bool steps = dice() < load.steps && count > 1;
  for (std::int64_t i = 0; i < count; ++i) {
    TaskSketch task;
    task.name = "t" + std::to_string(i);
    task.slots = between(load.leastSlots, load.mostSlots, dice);
    if (steps && i + 1 == count)
      for (std::int64_t k = 0; k < i; ++k) task.after.push_back(static_cast<std::size_t>(k));
    task.runMs = between(load.leastRunMs, load.mostRunMs, dice);
    if (load.heavyTail > 0)
      task.runMs = static_cast<Millis>(static_cast<double>(load.leastRunMs) / std::pow(std::max(1e-3, dice()), load.heavyTail));
    if (dice() < 0.03) task.failAttempts = 1;
    job.tasks.push_back(std::move(task));
  }
  return job;
}

std::string jobBody(const JobSketch& job) {
  Json root(json_object());
  json_object_set_new(root.get(), "id", jsonText(job.id));
  json_object_set_new(root.get(), "pending", jsonText(job.line));
  json_object_set_new(root.get(), "gang", json_boolean(job.gang));
  if (job.notBeforeMs) json_object_set_new(root.get(), "notBeforeMs", json_integer(job.notBeforeMs));
  json_t* tasks = json_array();
  for (const auto& task : job.tasks) {
    json_t *item = json_object(), *payload = json_object();
    json_object_set_new(item, "name", jsonText(task.name));
    json_object_set_new(item, "slots", json_integer(task.slots));
    if (!task.after.empty()) {
      json_t* after = json_array();
      for (auto k : task.after) json_array_append_new(after, jsonText(job.tasks[k].name));
      json_object_set_new(item, "after", after);
    }
    json_object_set_new(payload, "runMs", json_integer(task.runMs));
    if (task.fails) json_object_set_new(payload, "fails", json_true());
    if (task.failAttempts) json_object_set_new(payload, "failAttempts", json_integer(task.failAttempts));
    json_object_set_new(item, "payload", payload);
    json_array_append_new(tasks, item);
  }
  json_object_set_new(root.get(), "tasks", tasks);
  return dumpJson(root.get());
}

std::vector<LineLoad> builtInLoad(const std::string& name) {
  if (name == "kerala")
    return {{"checkout", 9.0, 1, 2, 1, 2, 50, 300, 0.2, 0.1, 0},
            {"gate", 2.0, 2, 5, 1, 3, 200, 900, 0.6, 0.3, 0},
            {"rebuild", 0.5, 3, 8, 2, 4, 800, 3000, 0.8, 0.5, 0}};
  if (name == "heavy")
    return {{"checkout", 8.0, 1, 2, 1, 2, 40, 200, 0.3, 0.0, 0.9},
            {"rebuild", 0.4, 3, 6, 3, 6, 300, 900, 0.9, 0.0, 1.0}};
  return {{"checkout", 7.0, 1, 3, 1, 2, 80, 400, 0.5, 0.1, 0},
          {"gate", 1.5, 2, 4, 1, 2, 300, 1200, 0.5, 0.3, 0},
          {"rebuild", 0.8, 2, 6, 2, 4, 800, 3000, 0.8, 0.5, 0}};
}

bool readLoad(std::string_view text, std::vector<LineLoad>& lines, chart::Fault& fault) {
  Json root = parseJson(text);
  const json_t* list = json_object_get(root.get(), "lines");
  auto deny = [&](std::string path, std::string allowed) {
    fault = {std::move(path), std::move(allowed)};
    return false;
  };
  if (!json_is_array(list) || json_array_size(list) == 0) return deny("/lines", "a list of at least one line");
  lines.clear();
  for (std::size_t i = 0; i < json_array_size(list); ++i) {
    const json_t* item = json_array_get(list, i);
    const auto at = "/lines/" + std::to_string(i);
    LineLoad line;
    line.line = textAt(item, "pending");
    if (line.line.empty()) return deny(at + "/pending", "the name of a pending line");
    line.perSecond = json_number_value(json_object_get(item, "perSecond"));
    if (!(line.perSecond > 0)) return deny(at + "/perSecond", "a number above 0");
    auto range = [&](const char* key, std::int64_t& low, std::int64_t& high) {
      const json_t* pair = json_object_get(item, key);
      low = json_integer_value(json_array_get(pair, 0));
      high = json_integer_value(json_array_get(pair, 1));
      return (json_array_size(pair) == 2 && low >= 1 && low <= high) || deny(at + "/" + key, "[least, most], each 1 or more");
    };
    if (!range("tasks", line.leastTasks, line.mostTasks) || !range("slots", line.leastSlots, line.mostSlots) ||
        !range("runMs", line.leastRunMs, line.mostRunMs))
      return false;
    line.gang = json_number_value(json_object_get(item, "gang"));
    line.steps = json_number_value(json_object_get(item, "steps"));
    line.heavyTail = json_number_value(json_object_get(item, "heavyTail"));
    lines.push_back(std::move(line));
  }
  return true;
}

double gapSeconds(const LineLoad& load, double factor, const Dice& dice) { return -std::log(1.0 - dice()) / (load.perSecond * factor); }

}  // namespace tulip::drydock
