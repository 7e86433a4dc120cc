#include "jobs/job.hpp"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <numeric>

namespace tulip::jobs {

using transport::AttemptOutcome;

namespace {

struct SpecReader {
  Verdict verdict;

  bool reject(Kind kind, std::string field, std::string allowed) {
    if (verdict.kind == Kind::ok) verdict = {kind, std::move(field), std::move(allowed)};
    return false;
  }

  bool count(const json_t* value, const std::string& field, std::int64_t low, std::int64_t high, std::int64_t& into) {
    if (!value) return true;
    if (!json_is_integer(value) || json_integer_value(value) < low || json_integer_value(value) > high)
      return reject(Kind::badValue, field,
                    "a whole number from " + std::to_string(low) + " to " + std::to_string(high));
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
      return reject(Kind::unknownField, at + key, "one of: " + all);
    }
    return true;
  }

  bool plain(const json_t* value, const std::string& field, std::string& into) {
    const std::string text = json_is_string(value) ? json_string_value(value) : "";
    bool good = !text.empty() && text.size() <= 128;
    for (char c : text) good = good && (isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' || c == '.');
    if (!good) return reject(Kind::badValue, field, "1 to 128 letters, digits, '-', '_' or '.'");
    into = text;
    return true;
  }
};

}  // namespace

std::string_view stateName(JobState state) {
  switch (state) {
    case JobState::open:
      return "open";
    case JobState::finished:
      return "finished";
    case JobState::failed:
      return "failed";
    case JobState::cancelled:
      return "cancelled";
    case JobState::expired:
      return "expired";
  }
  return "?";
}

std::string digestOf(std::string_view text) {
  std::uint64_t a = 1469598103934665603ull, b = 0x9e3779b97f4a7c15ull;
  for (unsigned char c : text) {
    a = (a ^ c) * 1099511628211ull;
    b = (b + c) * 0xff51afd7ed558ccdull;
    b ^= b >> 29;
  }
  char out[40];
  std::snprintf(out, sizeof out, "%016llx%016llx", static_cast<unsigned long long>(a),
                static_cast<unsigned long long>(b));
  return out;
}

std::size_t Spec::perInstance() const {
  std::size_t sum = 0;
  for (const auto& step : steps) sum += step.count;
  return sum;
}

namespace {

bool readLabels(SpecReader& reader, const json_t* labels, placement::Labels& into) {
  if (!labels) return true;
  if (!json_is_object(labels)) return reader.reject(Kind::badValue, "/labels", "an object of texts");
  const char* key;
  json_t* value;
  json_object_foreach(const_cast<json_t*>(labels), key, value) {
    if (!json_is_string(value)) return reader.reject(Kind::badValue, std::string("/labels/") + key, "a text");
    into[key] = json_string_value(value);
  }
  return true;
}

bool readStep(SpecReader& reader, const json_t* item, const std::string& at, bool whole, Step& step) {
  if (!json_is_object(item)) return reader.reject(Kind::badValue, at, "an object");
  const bool known = whole
                         ? reader.known(item, at + "/",
                                        {"name", "count", "slots", "room", "after", "payload", "estimateMs", "together",
                                         "oneRack", "repeats", "standing", "saves", "needs", "near", "apart"})
                         : reader.known(item, at + "/", {"name", "slots", "room", "after", "payload"});
  if (!known || !reader.plain(json_object_get(item, "name"), at + "/name", step.name)) return false;
  step.need.slots = whole && json_object_get(item, "room") ? 0 : 1;
  if (!reader.count(json_object_get(item, "slots"), at + "/slots", whole ? 0 : 1, 100000, step.need.slots))
    return false;
  if (const json_t* capacity = json_object_get(item, "room")) {
    if (!json_is_object(capacity)) return reader.reject(Kind::badValue, at + "/room", "an object of whole numbers");
    const char* key;
    json_t* value;
    json_object_foreach(const_cast<json_t*>(capacity), key, value) {
      std::int64_t amount = 0;
      if (!reader.count(value, at + "/room/" + key, 0, 1LL << 50, amount)) return false;
      step.need.more[key] = amount;
    }
  }
  if (const json_t* payload = json_object_get(item, "payload")) step.payload = dumpJson(payload);
  if (!whole) return true;
  std::int64_t count = 1;
  if (!reader.count(json_object_get(item, "count"), at + "/count", 1, 10000, count)) return false;
  step.count = static_cast<std::uint32_t>(count);
  if (!reader.count(json_object_get(item, "estimateMs"), at + "/estimateMs", 0, 366LL * 86400000, step.estimateMs))
    return false;
  if (!reader.count(json_object_get(item, "apart"), at + "/apart", 0, 10000, step.apart)) return false;
  const std::pair<const char*, bool*> flags[] = {{"together", &step.together},
                                                 {"oneRack", &step.oneRack},
                                                 {"repeats", &step.repeats},
                                                 {"standing", &step.standing},
                                                 {"saves", &step.saves}};
  for (const auto& [key, into] : flags)
    if (const json_t* value = json_object_get(item, key)) {
      if (!json_is_boolean(value)) return reader.reject(Kind::badValue, at + "/" + key, "true or false");
      *into = json_is_true(value);
    }
  const std::pair<const char*, std::string*> texts[] = {{"needs", &step.needs}, {"near", &step.near}};
  for (const auto& [key, into] : texts)
    if (const json_t* value = json_object_get(item, key)) {
      if (!json_is_string(value)) return reader.reject(Kind::badValue, at + "/" + key, "a text");
      *into = json_string_value(value);
    }
  return true;
}

admission::Unit unitOf(const Spec& spec, const Step& step, placement::Kinds& kinds) {
  admission::Unit unit;
  unit.tasks.resize(step.together ? step.count : 1);
  std::iota(unit.tasks.begin(), unit.tasks.end(), 0u);
  unit.loads.push_back(kinds.load(step.need));
  unit.whole = step.together;
  unit.pool = spec.pool;
  unit.labels = spec.labels;
  unit.needs = step.needs;
  unit.apart = step.apart;
  return unit;
}

}  // namespace

Verdict checkSpec(const Spec& spec, const config::Config& config) {
  const auto count = spec.steps.size();
  const auto most = config.http.mostTasks;
  std::int64_t tasks = 0;
  for (const auto& step : spec.steps) tasks += step.count;
  if (count < 1 || tasks < 1 || tasks > most || (spec.times > 0 && spec.times > most / tasks))
    return {Kind::badValue, spec.plainNames ? "/tasks" : "/steps", "1 to " + std::to_string(most) + " tasks"};
  for (std::size_t i = 0; i < count; ++i)
    for (auto dep : spec.steps[i].after)
      if (dep >= count)
        return {Kind::badValue, "/steps/" + std::to_string(i) + "/after", "the number of another step of the job"};
  placement::Kinds kinds;
  std::size_t settled = 0;
  std::vector<bool> done(count, false);
  while (settled < count) {
    std::vector<std::size_t> wave;
    for (std::size_t i = 0; i < count; ++i)
      if (!done[i] &&
          std::all_of(spec.steps[i].after.begin(), spec.steps[i].after.end(), [&](auto dep) { return done[dep]; }))
        wave.push_back(i);
    if (wave.empty())
      return {Kind::cycle, spec.plainNames ? "/tasks" : "/steps", "tasks whose 'after' lists make no ring"};
    admission::Unit together;
    together.whole = true;
    together.labels = spec.labels;
    together.pool = spec.pool;
    std::int64_t slots = 0, widest = 0;
    for (auto i : wave) {
      done[i] = true;
      ++settled;
      const auto& step = spec.steps[i];
      const auto unit = unitOf(spec, step, kinds);
      if (!admission::couldEverFit(unit, config, kinds))
        return {Kind::neverFits, (spec.plainNames ? "/tasks/" : "/steps/") + std::to_string(i),
                "no more room and labels than one worker of a configured pool has"};
      for (std::uint32_t k = 0; k < step.count; ++k) {
        together.tasks.push_back(static_cast<std::uint32_t>(together.tasks.size()));
        together.loads.push_back(unit.loads.front());
      }
      slots += step.need.slots * step.count;
      widest = std::max(widest, step.need.slots);
    }
    if (spec.gang && !admission::couldEverFit(together, config, kinds))
      return {Kind::neverFits, "/tasks", "a gang that the configured pools could hold whole"};
    const auto line = config.queues.find(spec.pending.value);
    if (line != config.queues.end() && line->second.quotaSlots > 0 &&
        (spec.gang ? slots : widest) > line->second.quotaSlots)
      return {Kind::neverFits, "/tasks", "no more slots at once than the pending line's quota"};
  }
  if (!config.queues.contains(spec.pending.value))
    return {Kind::noSuchQueue, "/pending", "the name of a configured pending line"};
  return {};
}

Verdict readSpec(std::string_view body, const config::Config& config, Spec& spec) {
  SpecReader reader;
  spec = Spec{};
  Json root = parseJson(body);
  if (!root || !json_is_object(root.get())) return {Kind::malformed, "/", "one JSON object without repeated keys"};
  constexpr Millis longestMs = 366LL * 86400000;
  if (!reader.known(root.get(), "/",
                    {"id", "pending", "gang", "labels", "notBeforeMs", "cutoffMs", "tasks", "steps", "times",
                     "firstAtMs", "everyMs", "payload"}))
    return reader.verdict;
  std::string id;
  if (!reader.plain(json_object_get(root.get(), "id"), "/id", id)) return reader.verdict;
  spec.id = JobId(id);
  const json_t* line = json_object_get(root.get(), "pending");
  if (!json_is_string(line)) return {Kind::badValue, "/pending", "the name of a configured pending line"};
  spec.pending = QueueName(json_string_value(line));
  if (const json_t* gang = json_object_get(root.get(), "gang")) {
    if (!json_is_boolean(gang)) return {Kind::badValue, "/gang", "true or false"};
    spec.gang = json_is_true(gang);
  }
  if (!reader.count(json_object_get(root.get(), "notBeforeMs"), "/notBeforeMs", 0, longestMs, spec.notBeforeMs))
    return reader.verdict;
  if (!reader.count(json_object_get(root.get(), "cutoffMs"), "/cutoffMs", 1, longestMs, spec.deadlineMs))
    return reader.verdict;
  if (!reader.count(json_object_get(root.get(), "times"), "/times", 0, 10000, spec.times)) return reader.verdict;
  if (!reader.count(json_object_get(root.get(), "firstAtMs"), "/firstAtMs", 0, 1LL << 50, spec.firstWallMs))
    return reader.verdict;
  if (!reader.count(json_object_get(root.get(), "everyMs"), "/everyMs", 0, longestMs, spec.everyMs))
    return reader.verdict;
  if (!readLabels(reader, json_object_get(root.get(), "labels"), spec.labels)) return reader.verdict;
  if (const json_t* payload = json_object_get(root.get(), "payload")) spec.payload = dumpJson(payload);
  const json_t* steps = json_object_get(root.get(), "steps");
  const bool whole = steps != nullptr;
  const char* list = whole ? "/steps" : "/tasks";
  const json_t* items = whole ? steps : json_object_get(root.get(), "tasks");
  if (whole && json_object_get(root.get(), "tasks")) return {Kind::badValue, "/tasks", "either tasks or steps"};
  const auto count = json_array_size(items);
  if (!json_is_array(items) || count < 1 || static_cast<std::int64_t>(count) > config.http.mostTasks)
    return {Kind::badValue, list, "a list of 1 to " + std::to_string(config.http.mostTasks) + " tasks"};
  spec.plainNames = !whole;
  absl::flat_hash_map<std::string, std::uint32_t> byName;
  for (std::size_t i = 0; i < count; ++i) {
    const auto at = std::string(list) + "/" + std::to_string(i);
    Step step;
    if (!readStep(reader, json_array_get(items, i), at, whole, step)) return reader.verdict;
    if (!byName.emplace(step.name, i).second)
      return {Kind::badValue, at + "/name", "a name no other task of the job has"};
    spec.steps.push_back(std::move(step));
  }
  for (std::size_t i = 0; i < count; ++i) {
    const json_t* after = json_object_get(json_array_get(items, i), "after");
    const auto at = std::string(list) + "/" + std::to_string(i) + "/after";
    if (after && !json_is_array(after)) return {Kind::badValue, at, "a list of task names"};
    for (std::size_t k = 0; k < json_array_size(after); ++k) {
      const char* name = json_string_value(json_array_get(after, k));
      auto found = byName.find(name ? name : "");
      if (found == byName.end())
        return {Kind::badValue, at + "/" + std::to_string(k), "the name of another task of the job"};
      spec.steps[i].after.push_back(found->second);
    }
  }
  spec.digest = digestOf(dumpJson(root.get()));
  if (auto found = config.queues.find(spec.pending.value); found != config.queues.end()) {
    spec.line = found->second;
    spec.pool = found->second.pool;
  }
  return checkSpec(spec, config);
}

Job makeJob(std::shared_ptr<const Spec> spec) {
  Job job;
  job.id = spec->id;
  const auto steps = spec->steps.size();
  job.tasks.reserve(spec->perInstance() * spec->instances());
  job.tallies.resize(spec->instances() * steps);
  for (std::uint32_t instance = 0; instance < spec->instances(); ++instance)
    for (std::uint32_t step = 0; step < steps; ++step) {
      job.tallies[instance * steps + step].pending = spec->steps[step].count;
      for (std::uint32_t i = 0; i < spec->steps[step].count; ++i) {
        Task task;
        task.step = step;
        task.instance = instance;
        job.tasks.push_back(std::move(task));
      }
    }
  job.spec = std::move(spec);
  return job;
}

std::string packSpec(const Spec& spec) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, spec);
  return std::string(buffer.data(), buffer.size());
}

bool unpackSpec(std::string_view bytes, Spec& spec) {
  try {
    spec = msgpack::unpack(bytes.data(), bytes.size()).get().as<Spec>();
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

namespace {

void putCount(std::string& into, std::uint64_t value) {
  while (value >= 0x80) {
    into.push_back(static_cast<char>(value | 0x80));
    value >>= 7;
  }
  into.push_back(static_cast<char>(value));
}

void putSigned(std::string& into, std::int64_t value) {
  putCount(into, (static_cast<std::uint64_t>(value) << 1) ^ static_cast<std::uint64_t>(value >> 63));
}

void putText(std::string& into, std::string_view text) {
  putCount(into, text.size());
  into += text;
}

struct Taker {
  std::string_view rest;
  bool good = true;

  std::uint64_t count() {
    std::uint64_t value = 0;
    for (int shift = 0; shift < 64; shift += 7) {
      if (rest.empty()) break;
      const auto byte = static_cast<unsigned char>(rest.front());
      rest.remove_prefix(1);
      value |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
      if (!(byte & 0x80)) return value;
    }
    good = false;
    return 0;
  }

  std::int64_t number() {
    const auto raw = count();
    return static_cast<std::int64_t>(raw >> 1) ^ -static_cast<std::int64_t>(raw & 1);
  }

  std::string text() {
    const auto size = count();
    if (!good || size > rest.size()) {
      good = false;
      return {};
    }
    std::string taken(rest.substr(0, size));
    rest.remove_prefix(size);
    return taken;
  }
};

enum Mark : std::uint8_t { kStopping = 4, kHolds = 8, kStory = 16 };

void packTask(std::string& into, const Job& job, const Task& task, std::size_t place) {
  const bool story =
      task.failures || task.notBeforeMs || !task.saved.empty() || !task.detail.empty() || !task.failedOn.empty();
  into.push_back(static_cast<char>(static_cast<std::uint8_t>(task.state) | (task.stopping ? kStopping : 0) |
                                   (task.holds() ? kHolds : 0) | (story ? kStory : 0)));
  putCount(into, static_cast<std::uint64_t>(task.attempts));
  if (task.holds()) {
    putCount(into, place);
    putSigned(into, task.orderedMs - job.acceptedMs);
    putCount(into, static_cast<std::uint64_t>(task.weight));
  } else {
    putCount(into, static_cast<std::uint64_t>(std::max<Millis>(0, task.ranMs)));
  }
  if (!story) return;
  putCount(into, static_cast<std::uint64_t>(task.failures));
  putSigned(into, task.notBeforeMs);
  putText(into, task.saved);
  putText(into, task.detail);
  putText(into, task.failedOn.value);
}

}  // namespace

std::string packJob(const Job& job) {
  std::string bytes;
  bytes.reserve(64 + 6 * job.tasks.size());
  putCount(bytes, 1);
  putText(bytes, job.id.value);
  for (const auto number : {job.acceptedMs, job.firstDueMs, job.accountedMs, job.finishedMs}) putSigned(bytes, number);
  putCount(bytes, static_cast<std::uint64_t>(job.state));
  putCount(bytes, static_cast<std::uint64_t>(job.ending));
  putText(bytes, job.reason);
  const auto& c = job.counters;
  for (const auto number :
       {c.lane, c.servedMs, c.ranMs, c.waitMs, c.firstStartMs, c.totalServedMs, c.promotions, c.preemptions})
    putSigned(bytes, number);
  std::map<std::pair<std::string_view, std::string_view>, std::size_t> places;
  for (const auto& task : job.tasks)
    if (task.holds())
      places.emplace(std::pair<std::string_view, std::string_view>(task.worker.view(), task.workerIncarnation), 0);
  putCount(bytes, places.size());
  std::size_t next = 0;
  for (auto& [where, place] : places) {
    place = next++;
    putText(bytes, where.first);
    putText(bytes, where.second);
  }
  std::size_t failing = 0;
  for (const auto& tally : job.tallies) failing += tally.failures > 0;
  putCount(bytes, failing);
  for (std::size_t i = 0; i < job.tallies.size(); ++i)
    if (job.tallies[i].failures > 0) {
      putCount(bytes, i);
      putCount(bytes, job.tallies[i].failures);
      putCount(bytes, static_cast<std::uint64_t>(job.tallies[i].failedAttempt));
    }
  std::string last, packed;
  std::uint64_t alike = 0;
  auto flush = [&] {
    if (alike) putCount(bytes, alike), bytes += last;
  };
  for (const auto& task : job.tasks) {
    packed.clear();
    packTask(packed, job, task, task.holds() ? places.at({task.worker.view(), task.workerIncarnation}) : 0);
    if (alike && packed == last) {
      ++alike;
      continue;
    }
    flush();
    last.swap(packed);
    alike = 1;
  }
  flush();
  return bytes;
}

bool unpackJob(std::string_view bytes, std::shared_ptr<const Spec> spec, Job& job) {
  Taker taker{bytes};
  if (!spec || taker.count() != 1) return false;
  job = makeJob(std::move(spec));
  if (taker.text() != job.id.value) return false;
  for (auto* number : {&job.acceptedMs, &job.firstDueMs, &job.accountedMs, &job.finishedMs}) *number = taker.number();
  job.state = static_cast<JobState>(taker.count());
  job.ending = static_cast<JobState>(taker.count());
  job.reason = taker.text();
  auto& c = job.counters;
  for (auto* number :
       {&c.lane, &c.servedMs, &c.ranMs, &c.waitMs, &c.firstStartMs, &c.totalServedMs, &c.promotions, &c.preemptions})
    *number = taker.number();
  std::vector<std::pair<std::string, std::string>> places(std::min<std::uint64_t>(taker.count(), bytes.size()));
  for (auto& [worker, incarnation] : places) {
    worker = taker.text();
    incarnation = taker.text();
  }
  const auto failing = taker.count();
  for (std::uint64_t i = 0; i < failing && taker.good; ++i) {
    const auto at = taker.count();
    if (at >= job.tallies.size()) return false;
    job.tallies[at].failures = static_cast<std::uint32_t>(taker.count());
    job.tallies[at].failedAttempt = static_cast<std::int64_t>(taker.count());
  }
  for (auto& tally : job.tallies) tally.pending = 0;
  for (std::size_t i = 0; i < job.tasks.size();) {
    const auto alike = taker.count();
    if (!taker.good || taker.rest.empty() || alike < 1 || alike > job.tasks.size() - i) return false;
    auto& task = job.tasks[i];
    const auto mark = static_cast<std::uint8_t>(taker.rest.front());
    taker.rest.remove_prefix(1);
    if ((mark & 3) > 2) return false;
    task.state = static_cast<TaskState>(mark & 3);
    task.stopping = mark & kStopping;
    task.attempts = static_cast<std::int64_t>(taker.count());
    if (mark & kHolds) {
      const auto place = taker.count();
      if (place >= places.size()) return false;
      task.worker = WorkerId(places[place].first);
      task.workerIncarnation = places[place].second;
      task.orderedMs = job.acceptedMs + taker.number();
      task.weight = static_cast<std::int64_t>(taker.count());
    } else {
      task.ranMs = static_cast<Millis>(taker.count());
    }
    if (mark & kStory) {
      task.failures = static_cast<std::int64_t>(taker.count());
      task.notBeforeMs = taker.number();
      task.saved = taker.text();
      task.detail = taker.text();
      task.failedOn = WorkerId(taker.text());
    }
    const Task whole = task;
    for (std::uint64_t k = 0; k < alike; ++k, ++i) {
      auto& each = job.tasks[i];
      const auto step = each.step, instance = each.instance;
      each = whole;
      each.step = step;
      each.instance = instance;
      auto& tally = job.tallyOf(i);
      ++(each.state == TaskState::pending  ? tally.pending
         : each.state == TaskState::placed ? tally.placed
                                           : tally.done);
      job.doneTasks += each.state == TaskState::done;
      job.holding += each.holds();
      if (each.holds()) job.held += each.weight;
    }
  }
  return taker.good && taker.rest.empty();
}

std::string taskName(const Job& job, std::size_t at) {
  const auto& task = job.tasks[at];
  if (job.spec->plainNames) return job.stepOf(at).name;
  return std::to_string(task.instance) + "." + std::to_string(task.step) + "." +
         std::to_string(at - gangBegin(job, at));
}

std::optional<std::size_t> taskAt(const Job& job, std::string_view name) {
  if (job.spec->plainNames) {
    for (std::size_t i = 0; i < job.tasks.size(); ++i)
      if (job.stepOf(i).name == name) return i;
    return std::nullopt;
  }
  unsigned instance = 0, step = 0, index = 0;
  char more = 0;
  if (std::sscanf(std::string(name).c_str(), "%u.%u.%u%c", &instance, &step, &index, &more) != 3) return std::nullopt;
  if (instance >= job.spec->instances() || step >= job.spec->steps.size() || index >= job.spec->steps[step].count)
    return std::nullopt;
  std::size_t at = instance * job.spec->perInstance() + index;
  for (unsigned i = 0; i < step; ++i) at += job.spec->steps[i].count;
  return at;
}

std::size_t gangBegin(const Job& job, std::size_t at) {
  const auto& task = job.tasks[at];
  std::size_t begin = task.instance * job.spec->perInstance();
  for (std::uint32_t i = 0; i < task.step; ++i) begin += job.spec->steps[i].count;
  return begin;
}

json_t* viewJob(const Job& job, bool brief) {
  json_t* root = json_object();
  json_object_set_new(root, "id", jsonText(job.id.view()));
  json_object_set_new(root, "pending", jsonText(job.pending().view()));
  const bool running = hasRuns(job);
  const bool ended = job.state != JobState::open;
  std::string_view shown = stateName(job.state);
  if (!ended) shown = job.ending != JobState::open ? "ending" : running ? "running" : "pending";
  json_object_set_new(root, "state", jsonText(shown));
  if (!ended && job.ending != JobState::open) json_object_set_new(root, "endsAs", jsonText(stateName(job.ending)));
  if (!job.reason.empty()) json_object_set_new(root, "reason", jsonText(job.reason));
  json_object_set_new(root, "tasksDone", json_integer(job.doneTasks));
  json_object_set_new(root, "acceptedMs", json_integer(job.acceptedMs));
  json_object_set_new(root, "firstStartMs", json_integer(job.counters.firstStartMs));
  if (ended) json_object_set_new(root, "finishedMs", json_integer(job.finishedMs));
  json_object_set_new(root, "taskCount", json_integer(static_cast<json_int_t>(job.tasks.size())));
  if (brief) return root;
  json_object_set_new(root, "gang", json_boolean(job.spec->gang));
  json_object_set_new(root, "lane", json_integer(job.counters.lane + 1));
  json_object_set_new(root, "servedSlotMs", json_integer(job.counters.totalServedMs));
  json_object_set_new(root, "preemptions", json_integer(job.counters.preemptions));
  json_object_set_new(root, "promotions", json_integer(job.counters.promotions));
  json_t* tasks = json_array();
  for (std::size_t i = 0; i < job.tasks.size(); ++i) {
    const auto& task = job.tasks[i];
    json_t* item = json_object();
    json_object_set_new(item, "name", jsonText(taskName(job, i)));
    const char* state = task.state == TaskState::done      ? "done"
                        : task.state == TaskState::pending ? "pending"
                        : task.stopping                    ? "stopping"
                        : task.confirmed                   ? "running"
                                                           : "starting";
    json_object_set_new(item, "state", json_string(state));
    json_object_set_new(item, "slots", json_integer(job.stepOf(i).need.slots));
    json_object_set_new(item, "attempts", json_integer(task.attempts));
    json_object_set_new(item, "failures", json_integer(task.failures));
    if (task.state == TaskState::placed) {
      json_object_set_new(item, "worker", jsonText(task.worker.view()));
      json_object_set_new(item, "run", jsonText(runIdOf(job, i).view()));
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
  json_object_set_new(root.get(), "pending", jsonText(job.pending().view()));
  json_object_set_new(root.get(), "gang", json_boolean(job.spec->gang));
  json_object_set_new(root.get(), "notBeforeMs", json_integer(job.spec->notBeforeMs));
  json_t* tasks = json_array();
  for (std::size_t i = 0; i < job.tasks.size(); ++i) {
    const auto& task = job.tasks[i];
    json_t *item = json_object(), *after = json_array();
    for (auto dep : job.stepOf(i).after) {
      std::size_t first = task.instance * job.spec->perInstance();
      for (std::uint32_t k = 0; k < dep; ++k) first += job.spec->steps[k].count;
      for (std::uint32_t k = 0; k < job.spec->steps[dep].count; ++k)
        json_array_append_new(after, json_integer(static_cast<json_int_t>(first + k)));
    }
    json_object_set_new(item, "slots", json_integer(std::max<std::int64_t>(1, job.stepOf(i).need.slots)));
    json_object_set_new(item, "runMs", json_integer(std::max<Millis>(1, task.ranMs)));
    json_object_set_new(item, "after", after);
    json_array_append_new(tasks, item);
  }
  json_object_set_new(root.get(), "tasks", tasks);
  return dumpJson(root.get());
}

std::int64_t heldSlots(const Job& job) {
  std::int64_t sum = 0;
  if (job.holding > 0)
    for (std::size_t i = 0; i < job.tasks.size(); ++i)
      if (job.tasks[i].holds()) sum += job.stepOf(i).need.slots;
  return sum;
}

bool hasRuns(const Job& job) { return job.holding > 0; }

transport::JobPhase phaseOf(const Job& job) {
  using transport::JobPhase;
  const auto shown = job.state != JobState::open ? job.state : job.ending;
  switch (shown) {
    case JobState::finished:
      return JobPhase::finished;
    case JobState::failed:
      return JobPhase::failed;
    case JobState::cancelled:
    case JobState::expired:
      return JobPhase::cancelled;
    case JobState::open:
      break;
  }
  return hasRuns(job) ? JobPhase::running : JobPhase::waiting;
}

bool depsDone(const Job& job, std::size_t at) {
  const auto& task = job.tasks[at];
  const auto& steps = job.spec->steps;
  const auto* tallies = &job.tallies[task.instance * steps.size()];
  return std::all_of(steps[task.step].after.begin(), steps[task.step].after.end(),
                     [&](auto dep) { return tallies[dep].done == steps[dep].count; });
}

Millis dueMs(const Job& job, std::uint32_t instance) {
  if (job.spec->times <= 0) return job.acceptedMs + job.spec->notBeforeMs;
  return std::max(job.acceptedMs + job.spec->notBeforeMs,
                  job.firstDueMs + static_cast<Millis>(instance) * job.spec->everyMs);
}

Millis chainMs(const Job& job, std::uint32_t instance, bool whole) {
  const auto& steps = job.spec->steps;
  const auto* tallies = &job.tallies[instance * steps.size()];
  std::vector<Millis> longest(steps.size(), -1);
  const auto walk = [&](const auto& self, std::size_t at) -> Millis {
    if (longest[at] >= 0) return longest[at];
    Millis before = 0;
    for (const auto dep : steps[at].after) before = std::max(before, self(self, dep));
    const bool done = !whole && tallies[at].done == steps[at].count;
    return longest[at] = before + (done ? 0 : steps[at].estimateMs);
  };
  Millis most = 0;
  for (std::size_t i = 0; i < steps.size(); ++i) most = std::max(most, walk(walk, i));
  return most;
}

std::vector<std::vector<std::uint32_t>> readyGroups(const Job& job, Millis fleetMs) {
  std::vector<std::vector<std::uint32_t>> groups;
  if (job.state != JobState::open || job.ending != JobState::open || fleetMs < job.acceptedMs + job.spec->notBeforeMs)
    return groups;
  const bool gang = job.spec->gang;
  if (gang && hasRuns(job)) return groups;
  const auto& steps = job.spec->steps;
  bool early = false;
  std::size_t begin = 0;
  for (std::uint32_t instance = 0; instance < job.spec->instances(); ++instance) {
    const bool due = dueMs(job, instance) <= fleetMs;
    for (std::uint32_t s = 0; s < steps.size(); begin += steps[s].count, ++s) {
      const auto& tally = job.tallies[instance * steps.size() + s];
      if (!due || tally.pending == 0 || !depsDone(job, begin)) continue;
      std::vector<std::uint32_t> group;
      bool wait = false;
      for (std::size_t i = begin; i < begin + steps[s].count; ++i) {
        const auto& task = job.tasks[i];
        if (steps[s].together && task.holds()) wait = true;
        if (task.state != TaskState::pending || task.holds()) continue;
        if (task.notBeforeMs > fleetMs)
          wait = wait || steps[s].together, early = true;
        else
          group.push_back(static_cast<std::uint32_t>(i));
      }
      if (wait || group.empty()) continue;
      if (gang && !groups.empty())
        groups.front().insert(groups.front().end(), group.begin(), group.end());
      else
        groups.push_back(std::move(group));
    }
  }
  if (gang && early) groups.clear();
  return groups;
}

void accrueTo(Job& job, Millis fleetMs) {
  if (job.state != JobState::open) return;
  const bool waiting = job.ending == JobState::open && fleetMs >= dueMs(job, 0);
  admission::accrue(job.counters, job.held, waiting, fleetMs - job.accountedMs);
  job.accountedMs = std::max(job.accountedMs, fleetMs);
}

AttemptId runIdOf(const Job& job, std::size_t task) {
  return AttemptId(job.id.value + ":" + taskName(job, task) + ":" + std::to_string(job.tasks[task].attempts));
}

namespace {

void setState(Job& job, std::size_t at, TaskState state) {
  auto& task = job.tasks[at];
  auto& tally = job.tallyOf(at);
  auto slot = [&](TaskState each) -> std::uint32_t& {
    return each == TaskState::pending ? tally.pending : each == TaskState::placed ? tally.placed : tally.done;
  };
  --slot(task.state);
  job.doneTasks -= task.state == TaskState::done;
  task.state = state;
  ++slot(state);
  job.doneTasks += state == TaskState::done;
}

void freeCapacity(Job& job, std::size_t at) {
  auto& task = job.tasks[at];
  if (task.holds()) {
    --job.holding;
    job.held -= task.weight;
  }
  task.worker = WorkerId();
  task.workerIncarnation.clear();
  task.weight = 0;
  task.confirmed = task.stopping = false;
}

}  // namespace

void startRun(Job& job, std::size_t at, const WorkerId& worker, const std::string& incarnation, Millis fleetMs,
              std::int64_t weight) {
  accrueTo(job, fleetMs);
  auto& task = job.tasks[at];
  std::int64_t attempt = task.attempts + 1;
  if (job.stepOf(at).together)
    for (std::size_t i = gangBegin(job, at), end = i + job.stepOf(at).count; i < end; ++i)
      attempt = std::max(attempt, job.tasks[i].holds() ? job.tasks[i].attempts : job.tasks[i].attempts + 1);
  task.attempts = attempt;
  setState(job, at, TaskState::placed);
  task.worker = worker;
  task.workerIncarnation = incarnation;
  task.weight = weight > 0 ? weight : 1000 * job.stepOf(at).need.slots;
  ++job.holding;
  job.held += task.weight;
  task.orderedMs = fleetMs;
  task.confirmed = false;
  task.stopping = false;
  task.percent = task.runningPercent = 0;
  task.movedMs = fleetMs;
  task.runningMs = -1;
  if (!task.seenSaved.empty()) task.saved = task.seenSaved;
  task.seenSaved.clear();
  if (job.counters.firstStartMs < 0) job.counters.firstStartMs = fleetMs;
}

void stopRun(Job& job, std::size_t at, Millis fleetMs) {
  accrueTo(job, fleetMs);
  const bool gang = job.spec->gang || job.stepOf(at).together;
  if (!gang) {
    job.tasks[at].stopping = job.tasks[at].stopping || job.tasks[at].state == TaskState::placed;
    return;
  }
  const auto begin = job.spec->gang ? 0 : gangBegin(job, at);
  const auto end = job.spec->gang ? job.tasks.size() : begin + job.stepOf(at).count;
  for (auto i = begin; i < end; ++i)
    if (job.tasks[i].state == TaskState::placed) job.tasks[i].stopping = true;
}

void stopRuns(Job& job, Millis fleetMs) {
  accrueTo(job, fleetMs);
  for (auto& task : job.tasks)
    if (task.state == TaskState::placed) task.stopping = true;
}

void endRun(Job& job, std::size_t at, AttemptOutcome outcome, const std::string& detail, const config::Queue& line,
            Millis fleetMs) {
  accrueTo(job, fleetMs);
  auto& task = job.tasks[at];
  const auto& step = job.stepOf(at);
  if (task.state == TaskState::done) {
    freeCapacity(job, at);
    closeIfOver(job, fleetMs);
    return;
  }
  const bool failed = outcome == AttemptOutcome::failed && !step.standing;
  if (failed) task.failedOn = task.worker;
  if (outcome != AttemptOutcome::clean && !task.seenSaved.empty()) task.saved = task.seenSaved;
  task.seenSaved.clear();
  freeCapacity(job, at);
  task.detail = outcome == AttemptOutcome::clean ? std::string() : detail.substr(0, 256);
  if (job.spec->plainNames) task.detail = detail.substr(0, 256);
  const auto begin = gangBegin(job, at), end = begin + step.count;
  if (outcome == AttemptOutcome::clean && !step.standing) {
    setState(job, at, TaskState::done);
    task.ranMs = fleetMs - task.orderedMs;
    task.saved.clear();
    if (step.together)
      for (auto i = begin; i < end; ++i)
        if (job.tasks[i].state != TaskState::done) {
          setState(job, i, TaskState::done);
          job.tasks[i].ranMs = job.tasks[i].holds() ? fleetMs - job.tasks[i].orderedMs : task.ranMs;
          job.tasks[i].stopping = false;
        }
  } else {
    setState(job, at, TaskState::pending);
    if (step.together && !task.saved.empty())
      for (auto i = begin; i < end; ++i) job.tasks[i].saved = task.saved;
    if (failed) {
      ++task.failures;
      auto& tally = job.tallyOf(at);
      auto failures = task.failures;
      if (step.together) {
        tally.failures += tally.failedAttempt != task.attempts;
        tally.failedAttempt = task.attempts;
        failures = std::max<std::int64_t>(failures, tally.failures);
      }
      const auto doublings = std::min<std::int64_t>(failures - 1, 6);
      task.notBeforeMs = fleetMs + line.backoffMs * (1LL << doublings);
      if (failures >= line.failureLimit && job.ending == JobState::open)
        endJob(job, JobState::failed, "task " + taskName(job, at) + " failed " + std::to_string(failures) + " times",
               fleetMs);
    } else if (step.standing) {
      task.notBeforeMs = fleetMs + line.backoffMs;
    }
    if (job.spec->gang)
      stopRuns(job, fleetMs);
    else if (step.together)
      for (auto i = begin; i < end; ++i)
        if (job.tasks[i].state == TaskState::placed) job.tasks[i].stopping = true;
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
  const bool allDone = job.doneTasks == static_cast<std::int64_t>(job.tasks.size());
  if (!allDone && job.ending == JobState::open) return false;
  accrueTo(job, fleetMs);
  job.state = job.ending != JobState::open ? job.ending : JobState::finished;
  job.finishedMs = fleetMs;
  return true;
}

std::string checkJob(const Job& job) {
  if (job.state != JobState::open && job.holding != 0) return "an ended job still holds room";
  std::int64_t holding = 0, done = 0;
  const auto steps = job.spec->steps.size();
  std::vector<std::int8_t> ready(job.tallies.size(), -1);
  for (std::size_t i = 0; i < job.tasks.size(); ++i) {
    const auto& task = job.tasks[i];
    holding += task.holds();
    done += task.state == TaskState::done;
    if (task.state == TaskState::pending && job.state == JobState::finished)
      return "a finished job with an unfinished task";
    if (task.state == TaskState::pending && task.holds()) return "a pending task holds room";
    if (task.state != TaskState::placed) continue;
    if (!task.holds()) return "a placed task without a worker";
    auto& known = ready[task.instance * steps + task.step];
    if (known < 0) known = depsDone(job, i);
    if (!known) return "a task runs before its steps are done";
  }
  if (holding != job.holding || done != job.doneTasks) return "its tallies are off";
  return {};
}

}  // namespace tulip::jobs
