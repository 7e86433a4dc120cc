#include "drydock/load.hpp"

#include <algorithm>
#include <cmath>
#include <random>
#include <set>

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

std::vector<Arrival> drawArrivals(const std::vector<LineLoad>& lines, double seconds, double factor, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const Dice dice = [&] { return static_cast<double>(random() >> 11) / 9007199254740992.0; };
  std::vector<Arrival> all;
  for (const auto& line : lines)
    for (double at = gapSeconds(line, factor, dice); at < seconds; at += gapSeconds(line, factor, dice)) {
      const auto id = line.line + "-" + std::to_string(all.size() + 1);
      all.push_back({static_cast<Millis>(at * 1000), sketchJob(line, id, dice)});
    }
  std::stable_sort(all.begin(), all.end(), [](const Arrival& a, const Arrival& b) { return a.atMs < b.atMs; });
  return all;
}

bool readTrace(std::string_view text, std::vector<Arrival>& arrivals, std::size_t& badLine, std::string& allowed) {
  arrivals.clear();
  badLine = 0;
  Millis firstMs = -1, lastMs = -1;
  std::set<std::string> ids;
  while (!text.empty()) {
    ++badLine;
    const auto line = text.substr(0, text.find('\n'));
    text.remove_prefix(std::min(text.size(), line.size() + 1));
    if (line.empty()) continue;
    auto deny = [&](const char* what) {
      allowed = what;
      return false;
    };
    Json root = parseJson(line);
    if (!json_is_object(root.get())) return deny("one JSON object");
    Arrival made;
    made.atMs = numberAt(root.get(), "atMs", -1);
    if (made.atMs < 0 || made.atMs < lastMs) return deny("an atMs of 0 or more, not below the line before");
    if (firstMs < 0) firstMs = made.atMs;
    lastMs = made.atMs;
    made.atMs -= firstMs;
    made.job.id = textAt(root.get(), "id");
    if (made.job.id.empty() || made.job.id.find(':') != std::string::npos || !ids.insert(made.job.id).second)
      return deny("an id of its own, without ':'");
    made.job.line = textAt(root.get(), "pending");
    if (made.job.line.empty()) return deny("a pending line's name");
    made.job.gang = flagAt(root.get(), "gang");
    made.job.notBeforeMs = numberAt(root.get(), "notBeforeMs");
    const json_t* tasks = json_object_get(root.get(), "tasks");
    if (json_array_size(tasks) == 0 || json_array_size(tasks) > 256) return deny("1 to 256 tasks");
    for (std::size_t i = 0; i < json_array_size(tasks); ++i) {
      const json_t* item = json_array_get(tasks, i);
      TaskSketch task;
      task.name = "t" + std::to_string(i);
      task.slots = numberAt(item, "slots");
      task.runMs = numberAt(item, "runMs");
      if (task.slots < 1 || task.runMs < 1) return deny("slots and runMs of 1 or more");
      const json_t* after = json_object_get(item, "after");
      for (std::size_t k = 0; k < json_array_size(after); ++k) {
        const auto dep = json_integer_value(json_array_get(after, k));
        if (dep < 0 || dep >= static_cast<json_int_t>(json_array_size(tasks)) || dep == static_cast<json_int_t>(i))
          return deny("after: numbers of other tasks, from 0");
        task.after.push_back(static_cast<std::size_t>(dep));
      }
      made.job.tasks.push_back(std::move(task));
    }
    arrivals.push_back(std::move(made));
  }
  if (arrivals.empty()) allowed = "at least one line";
  return !arrivals.empty();
}

Millis shortestMs(const JobSketch& job) {
  std::vector<Millis> ends(job.tasks.size(), 0);
  for (std::size_t round = 0; round < job.tasks.size(); ++round)
    for (std::size_t i = 0; i < job.tasks.size(); ++i) {
      Millis begins = 0;
      for (auto dep : job.tasks[i].after) begins = std::max(begins, ends[dep]);
      ends[i] = begins + job.tasks[i].runMs;
    }
  return job.notBeforeMs + *std::max_element(ends.begin(), ends.end());
}

std::int64_t workMs(const JobSketch& job) {
  std::int64_t sum = 0;
  for (const auto& task : job.tasks) sum += task.slots * task.runMs;
  return sum;
}

double gapSeconds(const LineLoad& load, double factor, const Dice& dice) { return -std::log(1.0 - dice()) / (load.perSecond * factor); }

}  // namespace tulip::drydock
