#include "jobs/spec.hpp"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <numeric>

#include "base/unpack.hpp"

namespace tulip::jobs {

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

constexpr Millis kLongestMs = 366LL * 86400000;

// Reads when the job starts, how often it is repeated and when it is given up.
bool readTimes(SpecReader& reader, const json_t* root, Spec& spec) {
  if (!reader.count(json_object_get(root, "notBeforeMs"), "/notBeforeMs", 0, kLongestMs, spec.notBeforeMs))
    return false;
  if (!reader.count(json_object_get(root, "cutoffMs"), "/cutoffMs", 1, kLongestMs, spec.deadlineMs)) return false;
  if (!reader.count(json_object_get(root, "times"), "/times", 0, 10000, spec.times)) return false;
  if (!reader.count(json_object_get(root, "firstAtMs"), "/firstAtMs", 0, 1LL << 50, spec.firstWallMs)) return false;
  if (!reader.count(json_object_get(root, "everyMs"), "/everyMs", 0, kLongestMs, spec.everyMs)) return false;
  return true;
}

using StepIndexes = absl::flat_hash_map<std::string, std::uint32_t>;

// Reads which steps each step of the list waits for.
Verdict readDependencies(const json_t* items, const std::string& list, const StepIndexes& byName, Spec& spec) {
  for (std::size_t i = 0; i < json_array_size(items); ++i) {
    const json_t* after = json_object_get(json_array_get(items, i), "after");
    const auto at = list + "/" + std::to_string(i) + "/after";
    if (after && !json_is_array(after)) return {Kind::badValue, at, "a list of task names"};
    for (std::size_t k = 0; k < json_array_size(after); ++k) {
      const char* name = json_string_value(json_array_get(after, k));
      auto found = byName.find(name ? name : "");
      if (found == byName.end())
        return {Kind::badValue, at + "/" + std::to_string(k), "the name of another task of the job"};
      spec.steps[i].after.push_back(found->second);
    }
  }
  return {};
}

// Reads the list of tasks, or of steps of several tasks each.
Verdict readSteps(SpecReader& reader, const json_t* root, const config::Config& config, Spec& spec) {
  const json_t* steps = json_object_get(root, "steps");
  const bool whole = steps != nullptr;
  const char* list = whole ? "/steps" : "/tasks";
  const json_t* items = whole ? steps : json_object_get(root, "tasks");
  if (whole && json_object_get(root, "tasks")) return {Kind::badValue, "/tasks", "either tasks or steps"};
  const auto count = json_array_size(items);
  if (!json_is_array(items) || count < 1 || static_cast<std::int64_t>(count) > config.http.mostTasks)
    return {Kind::badValue, list, "a list of 1 to " + std::to_string(config.http.mostTasks) + " tasks"};
  spec.plainNames = !whole;
  StepIndexes byName;
  for (std::size_t i = 0; i < count; ++i) {
    const auto at = std::string(list) + "/" + std::to_string(i);
    Step step;
    if (!readStep(reader, json_array_get(items, i), at, whole, step)) return reader.verdict;
    if (!byName.emplace(step.name, i).second)
      return {Kind::badValue, at + "/name", "a name no other task of the job has"};
    spec.steps.push_back(std::move(step));
  }
  return readDependencies(items, list, byName, spec);
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
  if (!readTimes(reader, root.get(), spec)) return reader.verdict;
  if (!readLabels(reader, json_object_get(root.get(), "labels"), spec.labels)) return reader.verdict;
  if (const json_t* payload = json_object_get(root.get(), "payload")) spec.payload = dumpJson(payload);
  if (auto verdict = readSteps(reader, root.get(), config, spec); verdict.kind != Kind::ok) return verdict;
  spec.digest = digestOf(dumpJson(root.get()));
  if (auto found = config.queues.find(spec.pending.value); found != config.queues.end()) {
    spec.line = found->second;
    spec.pool = found->second.pool;
  }
  return checkSpec(spec, config);
}

std::string packSpec(const Spec& spec) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, spec);
  return std::string(buffer.data(), buffer.size());
}

bool unpackSpec(std::string_view bytes, Spec& spec) {
  try {
    spec = unpackBounded(bytes).get().as<Spec>();
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

}  // namespace tulip::jobs
