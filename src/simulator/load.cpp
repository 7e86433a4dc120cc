#include "simulator/load.hpp"

#include <algorithm>
#include <cmath>
#include <random>
#include <set>

namespace tulip::simulator {
namespace {

std::int64_t between(std::int64_t low, std::int64_t high, const Dice& dice) {
  return low + static_cast<std::int64_t>(dice() * static_cast<double>(high - low + 1));
}

JobSketch sketchSteps(const LineLoad& load, const std::string& id, const Dice& dice, const Grounds& grounds) {
  JobSketch job{id, load.line, false, 0, {}};
  const auto drawn = [&](double share) { return share > 0 && dice() < share; };
  const auto whole = static_cast<std::int64_t>(load.perJob);
  const auto count = std::max<std::int64_t>(1, whole + drawn(load.perJob - static_cast<double>(whole)));
  const auto around = [&](std::int64_t mean) {
    return std::max<std::int64_t>(1, static_cast<std::int64_t>(static_cast<double>(mean) * (0.6 + 0.8 * dice())));
  };
  for (std::int64_t i = 0; i < count; ++i) {
    StepSketch step;
    step.name = "s" + std::to_string(i);
    step.count = std::max<std::int64_t>(1, between(load.count / 2, load.count * 3 / 2, dice));
    if (load.cpu) step.capacity["cpu"] = around(load.cpu);
    if (load.memMb) step.capacity["mem_mb"] = around(load.memMb);
    step.runMs = around(load.runMs);
    step.estimateMs = around(step.runMs);
    if (i > 0) step.after.push_back(static_cast<std::size_t>(between(0, i - 1, dice)));
    step.together = drawn(load.together) && step.count > 1;
    step.oneRack = step.together && drawn(load.oneRack);
    step.saves = drawn(load.saves);
    step.repeats = !step.together && drawn(load.repeats);
    if (!grounds.racks.empty() && drawn(load.near))
      step.near =
          grounds
              .racks[static_cast<std::size_t>(between(0, static_cast<std::int64_t>(grounds.racks.size()) - 1, dice))];
    if (!grounds.kinds.empty() && drawn(load.needs))
      step.needs =
          grounds
              .kinds[static_cast<std::size_t>(between(0, static_cast<std::int64_t>(grounds.kinds.size()) - 1, dice))];
    if (drawn(load.apart))
      step.apart = std::max<std::int64_t>(2, (step.count + 4) / 5);  // fits on the five workers of a kind
    if (drawn(0.03)) step.failAttempts = 1;
    job.steps.push_back(std::move(step));
  }
  if (drawn(load.timed)) {
    job.times = between(2, 4, dice);
    job.firstInMs = between(0, 1500, dice);
    job.everyMs = between(500, 2500, dice);
  } else if (drawn(load.standing)) {
    job.steps.resize(1);
    job.steps[0].standing = true;
    job.steps[0].together = job.steps[0].oneRack = job.steps[0].repeats = job.steps[0].saves = false;
    job.steps[0].count = 2;
  }
  return job;
}

Json payloadJson(Millis runMs, bool fails, std::int64_t failAttempts) {
  Json payload(json_object());
  json_object_set_new(payload.get(), "runMs", json_integer(runMs));
  if (fails) json_object_set_new(payload.get(), "fails", json_true());
  if (failAttempts) json_object_set_new(payload.get(), "failAttempts", json_integer(failAttempts));
  return payload;
}

json_t* capacityJson(const std::map<std::string, std::int64_t>& capacity) {
  json_t* made = json_object();
  for (const auto& [kind, amount] : capacity) json_object_set_new(made, kind.c_str(), json_integer(amount));
  return made;
}

void addSteps(json_t* root, const JobSketch& job, Millis wallMs) {
  json_t* steps = json_array();
  for (const auto& step : job.steps) {
    json_t* item = json_object();
    json_object_set_new(item, "name", jsonText(step.name));
    json_object_set_new(item, "count", json_integer(step.count));
    json_object_set_new(item, "slots", json_integer(step.slots));
    if (!step.capacity.empty()) json_object_set_new(item, "room", capacityJson(step.capacity));
    if (!step.after.empty()) {
      json_t* after = json_array();
      for (auto k : step.after) json_array_append_new(after, jsonText(job.steps[k].name));
      json_object_set_new(item, "after", after);
    }
    if (step.estimateMs) json_object_set_new(item, "estimateMs", json_integer(step.estimateMs));
    const std::pair<const char*, bool> flags[] = {{"together", step.together},
                                                  {"oneRack", step.oneRack},
                                                  {"repeats", step.repeats},
                                                  {"standing", step.standing},
                                                  {"saves", step.saves}};
    for (const auto& [name, on] : flags)
      if (on) json_object_set_new(item, name, json_true());
    if (!step.needs.empty()) json_object_set_new(item, "needs", jsonText(step.needs));
    if (!step.near.empty()) json_object_set_new(item, "near", jsonText(step.near));
    if (step.apart) json_object_set_new(item, "apart", json_integer(step.apart));
    if (job.steps.size() > 1) json_object_set_new(item, "payload", parseJson(payloadOf(step)).release());
    json_array_append_new(steps, item);
  }
  json_object_set_new(root, "steps", steps);
  if (job.steps.size() == 1) json_object_set_new(root, "payload", parseJson(payloadOf(job.steps[0])).release());
  if (job.times > 0) {
    json_object_set_new(root, "times", json_integer(job.times));
    json_object_set_new(root, "firstAtMs", json_integer(wallMs + job.firstInMs));
    json_object_set_new(root, "everyMs", json_integer(job.everyMs));
  }
}

}  // namespace

Grounds groundsOf(const FleetPlan& fleet) {
  std::set<std::string> racks, kinds;
  for (int i = 0; i < fleet.workers; ++i) {
    if (fleet.rackSize > 0) racks.insert(rackOf(fleet, i));
    if (fleet.kinds > 0) kinds.insert(kindOf(fleet, i));
  }
  return {{racks.begin(), racks.end()}, {kinds.begin(), kinds.end()}};
}

JobSketch sketchJob(const LineLoad& load, const std::string& id, const Dice& dice, const Grounds& grounds) {
  if (load.perJob > 0) return sketchSteps(load, id, dice, grounds);
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
      task.runMs =
          static_cast<Millis>(static_cast<double>(load.leastRunMs) / std::pow(std::max(1e-3, dice()), load.heavyTail));
    if (dice() < 0.03) task.failAttempts = 1;
    job.tasks.push_back(std::move(task));
  }
  return job;
}

std::string payloadOf(const TaskSketch& task) {
  return dumpJson(payloadJson(task.runMs, task.fails, task.failAttempts).get());
}

std::string payloadOf(const StepSketch& step) {
  Json payload = payloadJson(step.runMs, step.fails, step.failAttempts);
  json_object_set_new(payload.get(), "slots", json_integer(step.slots));
  if (!step.capacity.empty()) json_object_set_new(payload.get(), "room", capacityJson(step.capacity));
  if (step.together) json_object_set_new(payload.get(), "together", json_integer(step.count));
  const std::pair<const char*, bool> flags[] = {
      {"oneRack", step.oneRack}, {"standing", step.standing}, {"saves", step.saves}};
  for (const auto& [name, on] : flags)
    if (on) json_object_set_new(payload.get(), name, json_true());
  if (!step.near.empty()) json_object_set_new(payload.get(), "near", jsonText(step.near));
  return dumpJson(payload.get());
}

std::string jobBody(const JobSketch& job, Millis wallMs) {
  Json root(json_object());
  json_object_set_new(root.get(), "id", jsonText(job.id));
  json_object_set_new(root.get(), "pending", jsonText(job.line));
  json_object_set_new(root.get(), "gang", json_boolean(job.gang));
  if (job.notBeforeMs) json_object_set_new(root.get(), "notBeforeMs", json_integer(job.notBeforeMs));
  if (!job.steps.empty()) {
    json_object_del(root.get(), "gang");
    addSteps(root.get(), job, wallMs);
    return dumpJson(root.get());
  }
  json_t* tasks = json_array();
  for (const auto& task : job.tasks) {
    json_t* item = json_object();
    json_object_set_new(item, "name", jsonText(task.name));
    json_object_set_new(item, "slots", json_integer(task.slots));
    if (!task.after.empty()) {
      json_t* after = json_array();
      for (auto k : task.after) json_array_append_new(after, jsonText(job.tasks[k].name));
      json_object_set_new(item, "after", after);
    }
    json_object_set_new(item, "payload", parseJson(payloadOf(task)).release());
    json_array_append_new(tasks, item);
  }
  json_object_set_new(root.get(), "tasks", tasks);
  return dumpJson(root.get());
}

const std::vector<std::string>& loadNames() {
  static const std::vector<std::string> all{
      "leatherwood", "kerala", "heavy", "leatherwood-steps", "kerala-steps", "leatherwood-grown", "kerala-grown"};
  return all;
}

std::vector<LineLoad> builtInLoad(const std::string& name) {
  const auto steps = [](LineLoad line, double perJob, std::int64_t count, std::int64_t cpu, Millis runMs, Millis aimMs,
                        double stretch, std::int64_t rank) {
    line.perJob = perJob;
    line.count = count;
    line.cpu = cpu;
    line.memMb = cpu / 4;
    line.runMs = runMs;
    line.aimMs = aimMs;
    line.stretch = stretch;
    line.rank = rank;
    line.apart = line.needs = 0.06;
    line.near = 0.25;
    return line;
  };
  const auto threeLines = [&](LineLoad big, LineLoad middle, LineLoad small) {
    big.together = 0.4;
    big.oneRack = 0.5;
    big.saves = 0.6;
    big.failureLimit = 4;
    middle.together = 0.15;
    middle.saves = 0.2;
    middle.repeats = 0.1;
    middle.timed = 0.08;
    middle.standing = 0.03;
    small.repeats = 0.1;
    return std::vector<LineLoad>{small, middle, big};
  };
  if (name == "leatherwood-steps")
    return threeLines(steps({"rebuild", 0.65}, 1.2, 4, 2900, 5000, 2000, 2.2, 0),
                      steps({"gate", 1.25}, 1.5, 10, 800, 1800, 4000, 3.2, 5),
                      steps({"checkout", 5.9}, 1, 2, 1100, 1000, 1000, 1.5, 10));
  if (name == "kerala-steps")
    return threeLines(steps({"rebuild", 0.53}, 1.2, 4, 11000, 6200, 2000, 2.2, 0),
                      steps({"gate", 1.6}, 1.5, 10, 3200, 1400, 4000, 3.2, 5),
                      steps({"checkout", 7.4}, 1, 2, 4600, 800, 1200, 1.5, 10));
  if (name == "leatherwood-grown")
    return threeLines(steps({"rebuild", 0.9}, 1.2, 20, 2900, 5000, 1500, 2.2, 0),
                      steps({"gate", 3.2}, 1.5, 25, 800, 1800, 4000, 3.2, 5),
                      steps({"checkout", 23}, 1, 3, 1100, 1000, 800, 1.5, 10));
  if (name == "kerala-grown")
    return threeLines(steps({"rebuild", 0.95}, 1.2, 20, 11000, 6200, 2000, 2.2, 0),
                      steps({"gate", 4.1}, 1.5, 25, 3200, 1800, 4000, 3.2, 5),
                      steps({"checkout", 48}, 1, 3, 4600, 640, 1200, 1.5, 10));
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

FleetPlan fleetOf(const std::string& load) {
  FleetPlan fleet;
  if (!load.ends_with("-steps") && !load.ends_with("-grown")) return fleet;
  const bool kerala = load.starts_with("kerala"), grown = load.ends_with("-grown");
  const std::int64_t cores = kerala ? 64 : 16, memMb = !kerala ? 65536 : grown ? 262144 : 131072;
  fleet.capacity = {{"cpu", cores * 1000}, {"mem_mb", memMb}};
  fleet.slots = cores * 4;
  fleet.rackSize = grown ? 9 : 3;
  fleet.kinds = 2;
  fleet.sizedPool = !kerala;
  fleet.schedulers = grown ? (kerala ? 11 : 8) : kerala ? 3 : 4;
  fleet.network.mostUs = kerala ? 1400 : 1900;
  fleet.network.leastUs = kerala ? 900 : 1400;
  auto& bounds = fleet.bounds;
  bounds.gangWaitMs = grown ? 4000 : 3000;
  bounds.runStopMs = 200;
  bounds.earlyMs = 250;
  bounds.checkpointMs = kerala ? (grown ? 500 : 1000) : 2000;
  bounds.farFactor = grown && !kerala ? 3 : 1.5;
  fleet.holdMostMs = kerala ? 10000 : 6000;
  if (grown) {
    fleet.replicas = kerala ? 8 : 6;
    fleet.losses = 2;
    fleet.zones = kerala ? 4 : 3;
    fleet.workers = kerala ? 74 : 58;
  }
  return fleet;
}

bool readLoad(std::string_view text, std::vector<LineLoad>& lines, config::Fault& fault) {
  Json root = parseJson(text);
  const json_t* list = json_object_get(root.get(), "lines");
  auto reject = [&](std::string path, std::string allowed) {
    fault = {std::move(path), std::move(allowed)};
    return false;
  };
  if (!json_is_array(list) || json_array_size(list) == 0) return reject("/lines", "a list of at least one line");
  lines.clear();
  for (std::size_t i = 0; i < json_array_size(list); ++i) {
    const json_t* item = json_array_get(list, i);
    const auto at = "/lines/" + std::to_string(i);
    LineLoad line;
    line.line = textAt(item, "pending");
    if (line.line.empty()) return reject(at + "/pending", "the name of a pending line");
    line.perSecond = json_number_value(json_object_get(item, "perSecond"));
    if (!(line.perSecond > 0)) return reject(at + "/perSecond", "a number above 0");
    auto range = [&](const char* key, std::int64_t& low, std::int64_t& high) {
      const json_t* pair = json_object_get(item, key);
      low = json_integer_value(json_array_get(pair, 0));
      high = json_integer_value(json_array_get(pair, 1));
      return (json_array_size(pair) == 2 && low >= 1 && low <= high) ||
             reject(at + "/" + key, "[least, most], each 1 or more");
    };
    if (!range("tasks", line.leastTasks, line.mostTasks) || !range("slots", line.leastSlots, line.mostSlots) ||
        !range("runMs", line.leastRunMs, line.mostRunMs))
      return false;
    line.gang = json_number_value(json_object_get(item, "gang"));
    line.steps = json_number_value(json_object_get(item, "steps"));
    line.heavyTail = json_number_value(json_object_get(item, "heavyTail"));
    line.perJob = json_number_value(json_object_get(item, "perJob"));
    line.count = numberAt(item, "count", 1);
    line.cpu = numberAt(item, "cpu");
    line.memMb = numberAt(item, "mem_mb");
    line.runMs = line.perJob > 0 ? (line.leastRunMs + line.mostRunMs) / 2 : 0;
    line.rank = numberAt(item, "rank");
    const std::pair<const char*, double*> shares[] = {
        {"together", &line.together}, {"oneRack", &line.oneRack}, {"saves", &line.saves},
        {"near", &line.near},         {"apart", &line.apart},     {"needs", &line.needs},
        {"repeats", &line.repeats},   {"timed", &line.timed},     {"standing", &line.standing}};
    for (const auto& [key, share] : shares) {
      *share = json_number_value(json_object_get(item, key));
      if (*share < 0 || *share > 1) return reject(at + "/" + key, "a number from 0 to 1");
    }
    lines.push_back(std::move(line));
  }
  return true;
}

std::vector<Arrival> drawArrivals(const std::vector<LineLoad>& lines, double seconds, double factor,
                                  std::uint64_t seed) {
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
    auto reject = [&](const char* what) {
      allowed = what;
      return false;
    };
    Json root = parseJson(line);
    if (!json_is_object(root.get())) return reject("one JSON object");
    Arrival made;
    made.atMs = numberAt(root.get(), "atMs", -1);
    if (made.atMs < 0 || made.atMs < lastMs) return reject("an atMs of 0 or more, not below the line before");
    if (firstMs < 0) firstMs = made.atMs;
    lastMs = made.atMs;
    made.atMs -= firstMs;
    made.job.id = textAt(root.get(), "id");
    if (made.job.id.empty() || made.job.id.find(':') != std::string::npos || !ids.insert(made.job.id).second)
      return reject("an id of its own, without ':'");
    made.job.line = textAt(root.get(), "pending");
    if (made.job.line.empty()) return reject("a pending line's name");
    made.job.gang = flagAt(root.get(), "gang");
    made.job.notBeforeMs = numberAt(root.get(), "notBeforeMs");
    const json_t* tasks = json_object_get(root.get(), "tasks");
    if (json_array_size(tasks) == 0 || json_array_size(tasks) > 256) return reject("1 to 256 tasks");
    for (std::size_t i = 0; i < json_array_size(tasks); ++i) {
      const json_t* item = json_array_get(tasks, i);
      TaskSketch task;
      task.name = "t" + std::to_string(i);
      task.slots = numberAt(item, "slots");
      task.runMs = numberAt(item, "runMs");
      if (task.slots < 1 || task.runMs < 1) return reject("slots and runMs of 1 or more");
      const json_t* after = json_object_get(item, "after");
      for (std::size_t k = 0; k < json_array_size(after); ++k) {
        const auto dep = json_integer_value(json_array_get(after, k));
        if (dep < 0 || dep >= static_cast<json_int_t>(json_array_size(tasks)) || dep == static_cast<json_int_t>(i))
          return reject("after: numbers of other tasks, from 0");
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
  const auto longest = [](const auto& parts) {
    std::vector<Millis> ends(parts.size(), 0);
    for (std::size_t round = 0; round < parts.size(); ++round)
      for (std::size_t i = 0; i < parts.size(); ++i) {
        Millis begins = 0;
        for (auto dep : parts[i].after) begins = std::max(begins, ends[dep]);
        ends[i] = begins + parts[i].runMs;
      }
    return ends.empty() ? 0 : *std::max_element(ends.begin(), ends.end());
  };
  if (!job.steps.empty()) return longest(job.steps) + job.firstInMs + (job.instances() - 1) * job.everyMs;
  return job.notBeforeMs + longest(job.tasks);
}

std::int64_t workMs(const JobSketch& job) {
  std::int64_t sum = 0;
  for (const auto& task : job.tasks) sum += task.slots * task.runMs;
  for (const auto& step : job.steps) sum += step.slots * step.runMs * step.count * job.instances();
  return sum;
}

double gapSeconds(const LineLoad& load, double factor, const Dice& dice) {
  return -std::log(1.0 - dice()) / (load.perSecond * factor);
}

}  // namespace tulip::simulator
