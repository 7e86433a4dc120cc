// The configuration's fields: what each may be, and which must agree.
#include "config/config.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <array>

#include "config/reader.hpp"
#include "config/text_difference.hpp"

namespace tulip::config {
namespace {

constexpr std::array queueFields{
    Fields<Queue>{"rank", readNumber<&Queue::rank, -1000, 1000, Queue>},
    Fields<Queue>{"failureLimit", readNumber<&Queue::failureLimit, 1, 1000, Queue>},
    Fields<Queue>{"backoffMs", readNumber<&Queue::backoffMs, 0, 3600000, Queue>},
    Fields<Queue>{"quotaSlots", readNumber<&Queue::quotaSlots, 0, 1000000, Queue>},
    Fields<Queue>{"mostJobs", readNumber<&Queue::mostJobs, 1, 1000000, Queue>},
    Fields<Queue>{"host", [](Reader& reader, const json_t* value, Queue& into) { reader.text(value, 256, into.host); }},
    Fields<Queue>{"prefix",
                  [](Reader& reader, const json_t* value, Queue& into) { reader.text(value, 4096, into.prefix); }},
    Fields<Queue>{"pool",
                  [](Reader& reader, const json_t* value, Queue& into) { reader.text(value, 64, into.pool.value); }},
    Fields<Queue>{"aimMs", readNumber<&Queue::aimMs, 0, 1LL << 50, Queue>},
    Fields<Queue>{"stretch",
                  [](Reader& reader, const json_t* value, Queue& into) {
                    if (json_is_number(value) && json_number_value(value) >= 0 && json_number_value(value) <= 1e9)
                      into.stretch = json_number_value(value);
                    else
                      reader.fault("a number from 0 to 1000000000");
                  }},
    Fields<Queue>{"needsKey", readFlag<&Queue::needsKey, Queue>},
    Fields<Queue>{"place", readPlace<Queue>},
    Fields<Queue>{"asSent", readOpaque<Queue>},
};

constexpr std::array poolFields{
    Fields<Pool>{"labels",
                 [](Reader& reader, const json_t* value, Pool& into) {
                   reader.each(value, "an object of texts", [&](const char* key, const json_t* item) {
                     if (json_is_string(item))
                       into.labels[key] = json_string_value(item);
                     else
                       reader.fault("a text");
                   });
                 }},
    Fields<Pool>{"slots", readNumber<&Pool::slots, 0, 100000, Pool>},
    Fields<Pool>{"workers", readNumber<&Pool::workers, 1, 100000, Pool>},
    Fields<Pool>{"room",
                 [](Reader& reader, const json_t* value, Pool& into) {
                   reader.each(value, "an object of whole numbers", [&](const char* key, const json_t* item) {
                     reader.number(item, 0, 1LL << 50, into.capacity[key]);
                   });
                 }},
    Fields<Pool>{"lostAfterTerms", readNumber<&Pool::lostAfterLeases, 1, 1000, Pool>},
    Fields<Pool>{"selfStop", readFlag<&Pool::selfStop, Pool>},
    Fields<Pool>{"guards", readFlag<&Pool::guards, Pool>},
    Fields<Pool>{"place", readPlace<Pool>},
    Fields<Pool>{"asSent", readOpaque<Pool>},
};

void readKeys(Reader& reader, const json_t* value, Tenant& into) {
  constexpr std::size_t kMostKeys = 1000;
  constexpr std::size_t kMostKeyBytes = 512;
  if (!json_is_array(value) || json_array_size(value) > kMostKeys)
    return reader.fault("a list of at most " + std::to_string(kMostKeys) + " texts");
  for (std::size_t i = 0; i < json_array_size(value); ++i) {
    const auto place = std::to_string(i);
    reader.within(place, [&] {
      const json_t* key = json_array_get(value, i);
      if (json_string_length(key) == 0 || json_string_length(key) > kMostKeyBytes)
        return reader.fault("a text of 1 to " + std::to_string(kMostKeyBytes) + " bytes");
      into.keys.emplace_back(json_string_value(key), json_string_length(key));
    });
  }
}

constexpr std::array tenantFields{
    Fields<Tenant>{"keys", readKeys},
    Fields<Tenant>{"atMost",
                   [](Reader& reader, const json_t* value, Tenant& into) {
                     reader.each(value, "an object of whole numbers", [&](const char* key, const json_t* item) {
                       reader.number(item, 0, 1LL << 50, into.atMost[key]);
                     });
                   }},
    Fields<Tenant>{"place", readPlace<Tenant>},
    Fields<Tenant>{"asSent", readOpaque<Tenant>},
};

struct ZoneEntry {
  bool emptied = false;
};
constexpr std::array zoneFields{Fields<ZoneEntry>{"emptied", readFlag<&ZoneEntry::emptied, ZoneEntry>}};

struct WorkerEntry {
  bool drained = false, gone = false;
};
constexpr std::array workerFields{Fields<WorkerEntry>{"drained", readFlag<&WorkerEntry::drained, WorkerEntry>},
                                  Fields<WorkerEntry>{"gone", readFlag<&WorkerEntry::gone, WorkerEntry>}};

constexpr std::array httpFields{
    Fields<Http>{"maxBodyBytes", readNumber<&Http::maxBodyBytes, 1024, 1 << 24, Http>},
    Fields<Http>{"mostTasks", readNumber<&Http::mostTasks, 1, 10000, Http>},
    Fields<Http>{"mostOpenJobs", readNumber<&Http::mostOpenJobs, 1, 1000000, Http>},
};

constexpr std::array keepFields{
    Fields<Keep>{"finishedMs", readNumber<&Keep::finishedMs, 60000, 366LL * 86400000, Keep>},
    Fields<Keep>{"finishedMost", readNumber<&Keep::finishedMost, 100, 10000000, Keep>},
};

void readRule(Reader& reader, const json_t* value, Admission& into) {
  const std::string_view text = json_is_string(value) ? json_string_value(value) : "";
  if (text == "las")
    into.rule = Rule::las;
  else if (text == "gittins")
    into.rule = Rule::gittins;
  else if (text == "fifo")
    into.rule = Rule::fifo;
  else
    reader.fault("\"las\", \"gittins\" or \"fifo\"");
}

void readLayout(Reader& reader, const json_t* value, Admission& into) {
  const std::string_view text = json_is_string(value) ? json_string_value(value) : "";
  if (text == "pack")
    into.layout = Layout::pack;
  else if (text == "spread")
    into.layout = Layout::spread;
  else
    reader.fault("\"pack\" or \"spread\"");
}

void readThresholds(Reader& reader, const json_t* value, Admission& into) {
  into.thresholdsMs.clear();
  if (!json_is_array(value) || json_array_size(value) > 15)
    return reader.fault("a rising list of at most 15 slot milliseconds");
  for (std::size_t i = 0; i < json_array_size(value); ++i) {
    const auto place = std::to_string(i);
    reader.within(place, [&] {
      Millis threshold = 0;
      reader.number(json_array_get(value, i), 1, 1LL << 50, threshold);
      if (!into.thresholdsMs.empty() && threshold <= into.thresholdsMs.back())
        reader.fault("more than the threshold before it");
      into.thresholdsMs.push_back(threshold);
    });
  }
}

void readKnob(Reader& reader, const json_t* value, Admission& into) {
  if (json_is_null(value) || (json_is_string(value) && std::string_view(json_string_value(value)) == "infinity"))
    into.promoteKnob.reset();
  else if (json_is_number(value) && json_number_value(value) > 0 && json_number_value(value) <= 1e9)
    into.promoteKnob = json_number_value(value);
  else
    reader.fault("a number above 0, or \"infinity\"");
}

template <double Admission::*field>
void readMultiple(Reader& reader, const json_t* value, Admission& into) {
  if (json_is_number(value) && json_number_value(value) >= 0 && json_number_value(value) <= 1e6)
    into.*field = json_number_value(value);
  else
    reader.fault("a number from 0 to 1000000");
}

std::string mechanismNames() {
  std::string names;
  for (const auto name : kMechanismNames) names += (names.empty() ? "\"" : ", \"") + std::string(name) + "\"";
  return names;
}

void readWithout(Reader& reader, const json_t* value, Admission& into) {
  into.without = {};
  if (!json_is_array(value)) return reader.fault("a list of mechanisms");
  for (std::size_t i = 0; i < json_array_size(value); ++i)
    reader.within(std::to_string(i), [&] {
      const json_t* item = json_array_get(value, i);
      const std::string_view text = json_is_string(item) ? json_string_value(item) : "";
      const auto* const found = std::find(kMechanismNames.begin(), kMechanismNames.end(), text);
      if (found == kMechanismNames.end()) return reader.fault("one of " + mechanismNames());
      into.without.insert(static_cast<Mechanism>(found - kMechanismNames.begin()));
    });
}

constexpr std::array admissionFields{
    Fields<Admission>{"rule", readRule},
    Fields<Admission>{"lanes", readNumber<&Admission::lanes, 1, 16, Admission>},
    Fields<Admission>{"thresholdsMs", readThresholds},
    Fields<Admission>{"promoteKnob", readKnob},
    Fields<Admission>{"reserveAfterMs", readNumber<&Admission::reserveAfterMs, 100, 86400000, Admission>},
    Fields<Admission>{"layout", readLayout},
    Fields<Admission>{"epochMs", readNumber<&Admission::epochMs, 5, 1000, Admission>},
    Fields<Admission>{"rankFirst", readFlag<&Admission::rankFirst, Admission>},
    Fields<Admission>{"mostLoss", readMultiple<&Admission::mostLoss>},
    Fields<Admission>{"mostRackLoss", readMultiple<&Admission::mostRackLoss>},
    Fields<Admission>{"without", readWithout},
    Fields<Admission>{"mostPushes", readNumber<&Admission::mostPushes, 0, 1000000, Admission>},
    Fields<Admission>{"gangStartMs", readNumber<&Admission::gangStartMs, 100, 600000, Admission>},
};

void readQueues(Reader& reader, const json_t* value, Config& config) {
  reader.named(value, [&](std::string_view name, const json_t* item) {
    Queue made;
    made.name = QueueName(name);
    reader.object(item, queueFields, made);
    config.queues.insert_or_assign(std::string(name), std::move(made));
  });
}

void readPools(Reader& reader, const json_t* value, Config& config) {
  reader.named(value, [&](std::string_view name, const json_t* item) {
    Pool made;
    made.name = PoolName(name);
    reader.object(item, poolFields, made);
    config.pools.insert_or_assign(std::string(name), std::move(made));
  });
}

// What is only kept to know the oldest by.
template <class Into>
constexpr Fields<Into> kVersionField{"version", readPlace<Into>};

constexpr std::array formerPoolFields{
    Fields<Pool>{"definition",
                 [](Reader& reader, const json_t* value, Pool& into) { reader.object(value, poolFields, into); }},
    kVersionField<Pool>,
};

constexpr std::array formerQueueFields{
    Fields<PoolName>{"pool",
                     [](Reader& reader, const json_t* value, PoolName& into) { reader.text(value, 64, into.value); }},
    kVersionField<PoolName>,
};

void readFormerPools(Reader& reader, const json_t* value, Former& former) {
  reader.named(value, [&](std::string_view name, const json_t* item) {
    Pool made;
    made.name = PoolName(name);
    reader.object(item, formerPoolFields, made);
    former.pools.insert_or_assign(std::string(name), std::move(made));
  });
}

void readFormerQueues(Reader& reader, const json_t* value, Former& former) {
  reader.named(value, [&](std::string_view name, const json_t* item) {
    PoolName pool;
    reader.object(item, formerQueueFields, pool);
    former.queuePools.insert_or_assign(std::string(name), std::move(pool));
  });
}

constexpr std::array formerFields{Fields<Former>{"pools", readFormerPools}, Fields<Former>{"queues", readFormerQueues}};

void readTenants(Reader& reader, const json_t* value, Config& config) {
  if (json_is_null(value)) return;  // as if it were left out
  config.tenantsGiven = true;
  reader.named(value, [&](std::string_view name, const json_t* item) {
    Tenant made;
    made.name = TenantName(name);
    reader.object(item, tenantFields, made);
    config.tenants.insert_or_assign(std::string(name), std::move(made));
  });
}

void readZones(Reader& reader, const json_t* value, Config& config) {
  reader.named(value, [&](std::string_view name, const json_t* item) {
    ZoneEntry zone;
    reader.object(item, zoneFields, zone);
    config.emptied[std::string(name)] = zone.emptied;
  });
}

void readWorkers(Reader& reader, const json_t* value, Config& config) {
  reader.named(value, [&](std::string_view name, const json_t* item) {
    WorkerEntry worker;
    reader.object(item, workerFields, worker);
    config.drained[std::string(name)] = worker.drained || worker.gone;
    config.gone[std::string(name)] = worker.gone;
  });
}

void readAdmission(Reader& reader, const json_t* value, Config& config) {
  auto& rules = config.admission;
  config.admissionGiven = true;
  reader.object(value, admissionFields, rules);
  if (!json_object_get(value, "thresholdsMs")) {
    rules.thresholdsMs.clear();
    for (std::int64_t i = 1; i < rules.lanes; ++i) rules.thresholdsMs.push_back(3600000 * (1LL << (2 * (i - 1))));
  }
  if (static_cast<std::int64_t>(rules.thresholdsMs.size()) != rules.lanes - 1)
    reader.within("thresholdsMs", [&] { reader.fault("one entry fewer than lanes"); });
}

constexpr std::array configFields{
    Fields<Config>{"edition", readNumber<&Config::operatorVersion, 0, 1LL << 62, Config>},
    Fields<Config>{"origin", readOpaque<Config>},
    Fields<Config>{"pendings", readQueues},
    Fields<Config>{"pools", readPools},
    Fields<Config>{"former", [](Reader& reader, const json_t* value,
                                Config& into) { reader.object(value, formerFields, into.former); }},
    Fields<Config>{"tenants", readTenants},
    Fields<Config>{"cells", readZones},
    Fields<Config>{"workers", readWorkers},
    Fields<Config>{"gangway", [](Reader& reader, const json_t* value,
                                 Config& into) { reader.object(value, httpFields, into.http); }},
    Fields<Config>{"admission", readAdmission},
    Fields<Config>{
        "keep", [](Reader& reader, const json_t* value, Config& into) { reader.object(value, keepFields, into.keep); }},
};

void checkLines(Reader& reader, const Config& config) {
  absl::flat_hash_set<std::pair<std::string_view, std::string_view>> taken;
  for (const auto& [queueName, line] : config.queues) {
    const auto& name = queueName;  // a structured binding can't be captured by every compiler
    const auto at = [&](std::string_view field, const char* allowed) {
      reader.within("pendings",
                    [&] { reader.within(name, [&] { reader.within(field, [&] { reader.fault(allowed); }); }); });
    };
    if (!line.pool.empty() && !config.pools.contains(line.pool.value)) at("pool", "a pool of this configuration");
    if (!line.prefix.empty() && !taken.emplace(line.host, line.prefix).second)
      at("prefix", "a prefix that no other line of the host has");
  }
}

// A key must say whose it is. The fault names no key.
void checkKeys(Reader& reader, const Config& config) {
  absl::flat_hash_map<std::string_view, std::string_view> owners;
  for (const auto& [tenantName, tenant] : config.tenants) {
    const auto& name = tenantName;  // a structured binding can't be captured by every compiler
    const bool shared = std::ranges::any_of(
        tenant.keys, [&](const std::string& key) { return owners.try_emplace(key, name).first->second != name; });
    if (!shared) continue;
    reader.within("tenants", [&] {
      reader.within(name, [&] { reader.within("keys", [&] { reader.fault("keys that no other tenant has"); }); });
    });
  }
}

// Reads the sections that the root names into a configuration that may hold entries of them already, then checks all.
bool readInto(const json_t* root, Config& config, std::vector<Fault>& faults) {
  Reader reader{faults};
  const std::size_t before = faults.size();
  reader.object(root, configFields, config);
  checkLines(reader, config);
  checkKeys(reader, config);
  return faults.size() == before;
}

template <class Entries>
void keepEntries(const Entries& earlier, const std::vector<std::string_view>& dropped, Entries& into) {
  into = earlier;
  for (const auto name : dropped) into.erase(std::string(name));
}

// The entries of an earlier configuration that the difference leaves as they are.
Config keptOf(const Config& earlier, const TextDifference& difference) {
  Config kept;
  for (const auto& section : difference.kept) {
    if (section.name == "pendings") keepEntries(earlier.queues, section.dropped, kept.queues);
    if (section.name == "pools") keepEntries(earlier.pools, section.dropped, kept.pools);
    if (section.name == "tenants") keepEntries(earlier.tenants, section.dropped, kept.tenants);
  }
  return kept;
}

}  // namespace

std::string_view ruleName(Rule rule) { return rule == Rule::las ? "las" : rule == Rule::gittins ? "gittins" : "fifo"; }

bool readConfig(const json_t* root, Config& config, std::vector<Fault>& faults) {
  config = Config{};
  return readInto(root, config, faults);
}

bool readNextText(const ReadText& earlier, std::string_view text, Config& config, std::vector<Fault>& faults) {
  if (const auto difference = differenceOf(earlier.text, text)) {
    const Json changed = parseJson(difference->changed);
    std::vector<Fault> found;
    auto next = keptOf(earlier.config, *difference);
    if (changed && readInto(changed.get(), next, found)) {
      config = std::move(next);
      return true;
    }
  }
  return readConfigText(text, config, faults);
}

bool readConfigText(std::string_view text, Config& config, std::vector<Fault>& faults) {
  Json root = parseJson(text);
  if (!root) {
    faults.push_back({"/", "one JSON object without repeated keys"});
    return false;
  }
  return readConfig(root.get(), config, faults);
}

std::string faultsJson(Kind kind, const std::vector<Fault>& faults) {
  Json root(json_object());
  json_object_set_new(root.get(), "error", jsonText(rowOf(kind).name));
  json_object_set_new(root.get(), "meaning", jsonText(rowOf(kind).meaning));
  json_t* list = json_array();
  for (const auto& fault : faults) {
    json_t* item = json_object();
    json_object_set_new(item, "path", jsonText(fault.path));
    json_object_set_new(item, "allowed", jsonText(fault.allowed));
    json_array_append_new(list, item);
  }
  json_object_set_new(root.get(), "faults", list);
  return dumpJson(root.get());
}

}  // namespace tulip::config
