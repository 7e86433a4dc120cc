#include "manifest/job.hpp"

#include <absl/container/flat_hash_map.h>

#include <algorithm>

namespace tulip::manifest {

using signal::RunOutcome;

namespace {

std::string digestOf(const json_t* root) {
  const auto text = dumpJson(root);
  std::uint64_t a = 1469598103934665603ull, b = 0x9e3779b97f4a7c15ull;
  for (unsigned char c : text) {
    a = (a ^ c) * 1099511628211ull;
    b = (b + c) * 0xff51afd7ed558ccdull;
    b ^= b >> 29;
  }
  char out[40];
  std::snprintf(out, sizeof out, "%016llx%016llx", static_cast<unsigned long long>(a), static_cast<unsigned long long>(b));
  return out;
}

struct SpecReader {
  Verdict verdict;

  bool deny(Kind kind, std::string field, std::string allowed) {
    if (verdict.kind == Kind::ok) verdict = {kind, std::move(field), std::move(allowed)};
    return false;
  }

  bool count(const json_t* value, const std::string& field, std::int64_t low, std::int64_t high, std::int64_t& into) {
    if (!value) return true;
    if (!json_is_integer(value) || json_integer_value(value) < low || json_integer_value(value) > high)
      return deny(Kind::badValue, field, "a whole number from " + std::to_string(low) + " to " + std::to_string(high));
    into = json_integer_value(value);
    return true;
  }

  bool known(const json_t* object, const std::string& at, std::initializer_list<std::string_view> keys) {
    const char* key;
    json_t* value;
    json_object_foreach(const_cast<json_t*>(object), key, value) {
      if (std::find(keys.begin(), keys.end(), key) != keys.end()) continue;
      std::string all;
      for (auto each : keys) all += (all.empty() ? "" : ", ") + std::string(each);
      return deny(Kind::unknownField, at + key, "one of: " + all);
    }
    return true;
  }

  bool plain(const json_t* value, const std::string& field, std::string& into) {
    const std::string text = json_is_string(value) ? json_string_value(value) : "";
    bool good = !text.empty() && text.size() <= 128;
    for (char c : text) good = good && (isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' || c == '.');
    if (!good) return deny(Kind::badValue, field, "1 to 128 letters, digits, '-', '_' or '.'");
    into = text;
    return true;
  }
};

}  // namespace

std::string_view stateName(JobState state) {
  switch (state) {
    case JobState::open: return "open";
    case JobState::finished: return "finished";
    case JobState::failed: return "failed";
    case JobState::cancelled: return "cancelled";
    case JobState::expired: return "expired";
  }
  return "?";
}

Verdict readJob(std::string_view body, const chart::Chart& chart, Job& job) {
  SpecReader reader;
  job = Job{};
  Json root = parseJson(body);
  if (!root || !json_is_object(root.get())) return {Kind::malformed, "/", "one JSON object without repeated keys"};
  constexpr Millis longestMs = 366LL * 86400000;
  if (!reader.known(root.get(), "/", {"id", "pending", "gang", "labels", "notBeforeMs", "cutoffMs", "tasks"})) return reader.verdict;
  std::string id;
  if (!reader.plain(json_object_get(root.get(), "id"), "/id", id)) return reader.verdict;
  job.id = JobId(id);
  const json_t* line = json_object_get(root.get(), "pending");
  if (!json_is_string(line)) return {Kind::badValue, "/pending", "the name of a configured pending line"};
  job.pending = PendingName(json_string_value(line));
  if (const json_t* gang = json_object_get(root.get(), "gang")) {
    if (!json_is_boolean(gang)) return {Kind::badValue, "/gang", "true or false"};
    job.gang = json_is_true(gang);
  }
  if (!reader.count(json_object_get(root.get(), "notBeforeMs"), "/notBeforeMs", 0, longestMs, job.notBeforeMs)) return reader.verdict;
  if (!reader.count(json_object_get(root.get(), "cutoffMs"), "/cutoffMs", 1, longestMs, job.cutoffMs)) return reader.verdict;
  if (const json_t* labels = json_object_get(root.get(), "labels")) {
    if (!json_is_object(labels)) return {Kind::badValue, "/labels", "an object of texts"};
    const char* key;
    json_t* value;
    json_object_foreach(const_cast<json_t*>(labels), key, value) {
      if (!json_is_string(value)) return {Kind::badValue, std::string("/labels/") + key, "a text"};
      job.labels[key] = json_string_value(value);
    }
  }
  const json_t* tasks = json_object_get(root.get(), "tasks");
  const auto count = json_array_size(tasks);
  if (!json_is_array(tasks) || count < 1 || static_cast<std::int64_t>(count) > chart.gangway.mostTasks)
    return {Kind::badValue, "/tasks", "a list of 1 to " + std::to_string(chart.gangway.mostTasks) + " tasks"};
  absl::flat_hash_map<std::string, std::uint32_t> byName;
  for (std::size_t i = 0; i < count; ++i) {
    const json_t* item = json_array_get(tasks, i);
    const auto at = "/tasks/" + std::to_string(i);
    if (!json_is_object(item)) return {Kind::badValue, at, "an object"};
    if (!reader.known(item, at + "/", {"name", "slots", "room", "after", "payload"})) return reader.verdict;
    Task task;
    if (!reader.plain(json_object_get(item, "name"), at + "/name", task.name)) return reader.verdict;
    if (!byName.emplace(task.name, i).second) return {Kind::badValue, at + "/name", "a name no other task of the job has"};
    task.need.slots = 1;
    if (!reader.count(json_object_get(item, "slots"), at + "/slots", 1, 100000, task.need.slots)) return reader.verdict;
    if (const json_t* room = json_object_get(item, "room")) {
      if (!json_is_object(room)) return {Kind::badValue, at + "/room", "an object of whole numbers"};
      const char* key;
      json_t* value;
      json_object_foreach(const_cast<json_t*>(room), key, value) {
        std::int64_t amount = 0;
        if (!reader.count(value, at + "/room/" + key, 0, 1LL << 50, amount)) return reader.verdict;
        task.need.more[key] = amount;
      }
    }
    if (const json_t* payload = json_object_get(item, "payload")) task.payload = dumpJson(payload);
    job.tasks.push_back(std::move(task));
  }
  for (std::size_t i = 0; i < count; ++i) {
    const json_t* after = json_object_get(json_array_get(tasks, i), "after");
    const auto at = "/tasks/" + std::to_string(i) + "/after";
    if (after && !json_is_array(after)) return {Kind::badValue, at, "a list of task names"};
    for (std::size_t k = 0; k < json_array_size(after); ++k) {
      const char* name = json_string_value(json_array_get(after, k));
      auto found = byName.find(name ? name : "");
      if (found == byName.end()) return {Kind::badValue, at + "/" + std::to_string(k), "the name of another task of the job"};
      job.tasks[i].after.push_back(found->second);
    }
  }
  std::vector<int> depth(count, 0);
  std::size_t settled = 0;
  std::vector<bool> done(count, false);
  for (int level = 1; settled < count; ++level) {
    std::vector<std::size_t> wave;
    for (std::size_t i = 0; i < count; ++i)
      if (!done[i] && std::all_of(job.tasks[i].after.begin(), job.tasks[i].after.end(), [&](auto dep) { return done[dep]; }))
        wave.push_back(i);
    if (wave.empty()) return {Kind::cycle, "/tasks", "tasks whose 'after' lists make no ring"};
    std::vector<berth::Need> together;
    for (auto i : wave) {
      done[i] = true;
      ++settled;
      together.push_back({i, job.tasks[i].need, job.labels});
      if (!berth::couldEverFit(std::span(&together.back(), 1), chart))
        return {Kind::neverFits, "/tasks/" + std::to_string(i), "no more room and labels than one worker of a configured pool has"};
    }
    if (job.gang && !berth::couldEverFit(together, chart))
      return {Kind::neverFits, "/tasks", "a gang that the configured pools could hold whole"};
    const auto line = chart.pendings.find(job.pending.value);
    std::int64_t slots = 0, widest = 0;
    for (const auto& need : together) {
      slots += need.room.slots;
      widest = std::max(widest, need.room.slots);
    }
    if (line != chart.pendings.end() && line->second.quotaSlots > 0 && (job.gang ? slots : widest) > line->second.quotaSlots)
      return {Kind::neverFits, "/tasks", "no more slots at once than the pending line's quota"};
  }
  if (!chart.pendings.contains(job.pending.value)) return {Kind::noSuchPending, "/pending", "the name of a configured pending line"};
  job.digest = digestOf(root.get());
  return {};
}

std::string packJob(const Job& job) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, job);
  return std::string(buffer.data(), buffer.size());
}

bool unpackJob(std::string_view bytes, Job& job) {
  try {
    job = msgpack::unpack(bytes.data(), bytes.size()).get().as<Job>();
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

json_t* viewJob(const Job& job, bool brief) {
  json_t* root = json_object();
  json_object_set_new(root, "id", jsonText(job.id.view()));
  json_object_set_new(root, "pending", jsonText(job.pending.view()));
  const bool running = hasRuns(job);
  const bool ended = job.state != JobState::open;
  std::string_view shown = stateName(job.state);
  if (!ended) shown = job.ending != JobState::open ? "ending" : running ? "running" : "pending";
  json_object_set_new(root, "state", jsonText(shown));
  if (!ended && job.ending != JobState::open) json_object_set_new(root, "endsAs", jsonText(stateName(job.ending)));
  if (!job.reason.empty()) json_object_set_new(root, "reason", jsonText(job.reason));
  std::int64_t done = 0;
  for (const auto& task : job.tasks) done += task.state == TaskState::done;
  json_object_set_new(root, "tasksDone", json_integer(done));
  json_object_set_new(root, "acceptedMs", json_integer(job.acceptedMs));
  json_object_set_new(root, "firstStartMs", json_integer(job.counters.firstStartMs));
  if (ended) json_object_set_new(root, "finishedMs", json_integer(job.finishedMs));
  json_object_set_new(root, "taskCount", json_integer(static_cast<json_int_t>(job.tasks.size())));
  if (brief) return root;
  json_object_set_new(root, "gang", json_boolean(job.gang));
  json_object_set_new(root, "lane", json_integer(job.counters.lane + 1));
  json_object_set_new(root, "servedSlotMs", json_integer(job.counters.totalServedMs));
  json_object_set_new(root, "preemptions", json_integer(job.counters.preemptions));
  json_object_set_new(root, "promotions", json_integer(job.counters.promotions));
  json_t* tasks = json_array();
  for (const auto& task : job.tasks) {
    json_t* item = json_object();
    json_object_set_new(item, "name", jsonText(task.name));
    const char* state = task.state == TaskState::done ? "done"
                        : task.state == TaskState::pending ? "pending"
                        : task.stopping ? "stopping"
                        : task.confirmed ? "running"
                                         : "starting";
    json_object_set_new(item, "state", json_string(state));
    json_object_set_new(item, "slots", json_integer(task.need.slots));
    json_object_set_new(item, "attempts", json_integer(task.attempts));
    json_object_set_new(item, "failures", json_integer(task.failures));
    if (task.state == TaskState::placed) {
      json_object_set_new(item, "worker", jsonText(task.worker.view()));
      json_object_set_new(item, "run", jsonText(task.run.view()));
    }
    if (!task.detail.empty()) json_object_set_new(item, "detail", jsonText(task.detail));
    json_array_append_new(tasks, item);
  }
  json_object_set_new(root, "tasks", tasks);
  return root;
}

std::string traceLine(const Job& job) {
  Json root(json_object());
  json_object_set_new(root.get(), "atMs", json_integer(job.acceptedMs));
  json_object_set_new(root.get(), "id", jsonText(job.id.view()));
  json_object_set_new(root.get(), "pending", jsonText(job.pending.view()));
  json_object_set_new(root.get(), "gang", json_boolean(job.gang));
  json_object_set_new(root.get(), "notBeforeMs", json_integer(job.notBeforeMs));
  json_t* tasks = json_array();
  for (const auto& task : job.tasks) {
    json_t *item = json_object(), *after = json_array();
    for (auto dep : task.after) json_array_append_new(after, json_integer(dep));
    json_object_set_new(item, "slots", json_integer(task.need.slots));
    json_object_set_new(item, "runMs", json_integer(std::max<Millis>(1, task.ranMs)));
    json_object_set_new(item, "after", after);
    json_array_append_new(tasks, item);
  }
  json_object_set_new(root.get(), "tasks", tasks);
  return dumpJson(root.get());
}

std::int64_t heldSlots(const Job& job) {
  std::int64_t sum = 0;
  for (const auto& task : job.tasks)
    if (task.state == TaskState::placed) sum += task.need.slots;
  return sum;
}

bool hasRuns(const Job& job) {
  return std::any_of(job.tasks.begin(), job.tasks.end(), [](const Task& task) { return task.state == TaskState::placed; });
}

bool depsDone(const Job& job, const Task& task) {
  return std::all_of(task.after.begin(), task.after.end(), [&](auto dep) { return job.tasks[dep].state == TaskState::done; });
}

std::vector<std::size_t> readyTasks(const Job& job, Millis fleetMs) {
  std::vector<std::size_t> ready;
  if (job.state != JobState::open || job.ending != JobState::open || fleetMs < job.acceptedMs + job.notBeforeMs) return ready;
  if (job.gang && hasRuns(job)) return ready;
  bool early = false;
  for (std::size_t i = 0; i < job.tasks.size(); ++i) {
    const auto& task = job.tasks[i];
    if (task.state != TaskState::pending || !depsDone(job, task)) continue;
    if (task.notBeforeMs > fleetMs) early = true;
    else ready.push_back(i);
  }
  if (job.gang && early) ready.clear();
  return ready;
}

void accrueTo(Job& job, Millis fleetMs) {
  if (job.state != JobState::open) return;
  const bool waiting = job.ending == JobState::open && fleetMs >= job.acceptedMs + job.notBeforeMs;
  admission::accrue(job.counters, heldSlots(job), waiting, fleetMs - job.accountedMs);
  job.accountedMs = std::max(job.accountedMs, fleetMs);
}

RunId runIdOf(const Job& job, std::size_t task) {
  return RunId(job.id.value + ":" + job.tasks[task].name + ":" + std::to_string(job.tasks[task].attempts));
}

void startRun(Job& job, std::size_t at, const WorkerId& worker, const std::string& incarnation, Millis fleetMs) {
  accrueTo(job, fleetMs);
  auto& task = job.tasks[at];
  ++task.attempts;
  task.state = TaskState::placed;
  task.run = runIdOf(job, at);
  task.worker = worker;
  task.workerIncarnation = incarnation;
  task.orderedMs = fleetMs;
  task.confirmed = false;
  task.stopping = false;
  if (job.counters.firstStartMs < 0) job.counters.firstStartMs = fleetMs;
}

void stopRuns(Job& job, Millis fleetMs) {
  accrueTo(job, fleetMs);
  for (auto& task : job.tasks)
    if (task.state == TaskState::placed) task.stopping = true;
}

void endRun(Job& job, std::size_t at, RunOutcome outcome, const std::string& detail, const chart::Pending& line, Millis fleetMs) {
  accrueTo(job, fleetMs);
  auto& task = job.tasks[at];
  if (outcome == RunOutcome::failed) task.failedOn = task.worker;
  task.run = RunId();
  task.worker = WorkerId();
  task.workerIncarnation.clear();
  task.confirmed = task.stopping = false;
  task.detail = detail.substr(0, 256);
  if (outcome == RunOutcome::clean) {
    task.state = TaskState::done;
    task.ranMs = fleetMs - task.orderedMs;
  } else {
    task.state = TaskState::pending;
    if (outcome == RunOutcome::failed) {
      ++task.failures;
      const auto doublings = std::min<std::int64_t>(task.failures - 1, 6);
      task.notBeforeMs = fleetMs + line.backoffMs * (1LL << doublings);
      if (task.failures >= line.failureLimit && job.ending == JobState::open)
        endJob(job, JobState::failed, "task " + task.name + " failed " + std::to_string(task.failures) + " times", fleetMs);
    }
    if (job.gang) stopRuns(job, fleetMs);
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
  const bool allDone = std::all_of(job.tasks.begin(), job.tasks.end(), [](const Task& task) { return task.state == TaskState::done; });
  if (!allDone && job.ending == JobState::open) return false;
  accrueTo(job, fleetMs);
  job.state = job.ending != JobState::open ? job.ending : JobState::finished;
  job.finishedMs = fleetMs;
  for (auto& task : job.tasks) task.payload.clear();
  return true;
}

std::string checkJob(const Job& job) {
  std::set<std::string> runs;
  for (const auto& task : job.tasks) {
    if (task.state == TaskState::placed) {
      if (task.worker.empty() || task.run.empty()) return "a placed task without worker or run";
      if (!runs.insert(task.run.value).second) return "two tasks share a run";
      if (!depsDone(job, task)) return "a task runs before its steps are done";
      if (job.state != JobState::open) return "an ended job still holds room";
    }
    if (task.state == TaskState::pending && job.state == JobState::finished) return "a finished job with an unfinished task";
  }
  return {};
}

}  // namespace tulip::manifest
