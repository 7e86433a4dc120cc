#include "chart/chart.hpp"

#include <functional>

namespace tulip::chart {
namespace {

struct Reader {
  std::vector<Fault>& faults;

  void fault(const std::string& path, std::string allowed) { faults.push_back({path, std::move(allowed)}); }

  void number(const json_t* value, const std::string& path, std::int64_t low, std::int64_t high, std::int64_t& into) {
    if (json_is_integer(value) && json_integer_value(value) >= low && json_integer_value(value) <= high)
      into = json_integer_value(value);
    else
      fault(path, "a whole number from " + std::to_string(low) + " to " + std::to_string(high));
  }

  void flag(const json_t* value, const std::string& path, bool& into) {
    if (json_is_boolean(value)) into = json_is_true(value);
    else fault(path, "true or false");
  }

  void texts(const json_t* value, const std::string& path, std::map<std::string, std::string>& into) {
    if (!json_is_object(value)) return fault(path, "an object of texts");
    const char* key;
    json_t* item;
    json_object_foreach(const_cast<json_t*>(value), key, item) {
      if (json_is_string(item)) into[key] = json_string_value(item);
      else fault(path + "/" + key, "a text");
    }
  }

  void numbers(const json_t* value, const std::string& path, std::map<std::string, std::int64_t>& into) {
    if (!json_is_object(value)) return fault(path, "an object of whole numbers");
    const char* key;
    json_t* item;
    json_object_foreach(const_cast<json_t*>(value), key, item) number(item, path + "/" + key, 0, 1LL << 50, into[key]);
  }

  using Field = std::function<void(const json_t*, const std::string&)>;
  void object(const json_t* value, const std::string& path, const std::map<std::string, Field>& fields) {
    if (!json_is_object(value)) return fault(path.empty() ? "/" : path, "an object");
    const char* key;
    json_t* item;
    json_object_foreach(const_cast<json_t*>(value), key, item) {
      const auto field = fields.find(key);
      if (field != fields.end()) {
        field->second(item, path + "/" + key);
        continue;
      }
      std::string known;
      for (const auto& [name, ignored] : fields) known += (known.empty() ? "" : ", ") + name;
      fault(path + "/" + key, "one of: " + known);
    }
  }

  void named(const json_t* value, const std::string& path, const Field& each) {
    if (!json_is_object(value)) return fault(path, "an object keyed by name");
    if (json_object_size(value) > 1000) return fault(path, "at most 1000 names");
    const char* key;
    json_t* item;
    json_object_foreach(const_cast<json_t*>(value), key, item) {
      const std::string_view name = key;
      bool plain = !name.empty() && name.size() <= 64;
      for (char c : name) plain = plain && (isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' || c == '.');
      if (!plain) fault(path + "/" + key, "a name of 1 to 64 letters, digits, '-', '_' or '.'");
      else each(item, key);
    }
  }
};

}  // namespace

std::string_view ruleName(Rule rule) {
  return rule == Rule::las ? "las" : rule == Rule::gittins ? "gittins" : "fifo";
}

bool readChart(const json_t* root, Chart& chart, std::vector<Fault>& faults) {
  chart = Chart{};
  Reader reader{faults};
  const std::size_t before = faults.size();
  bool thresholdsGiven = false;
  auto pendings = [&](const json_t* value, const std::string& path) {
    reader.named(value, path, [&](const json_t* item, const std::string& name) {
      Pending made;
      made.name = PendingName(name);
      reader.object(item, path + "/" + name,
                    {{"rank", [&](auto* v, auto& p) { reader.number(v, p, -1000, 1000, made.rank); }},
                     {"failureLimit", [&](auto* v, auto& p) { reader.number(v, p, 1, 1000, made.failureLimit); }},
                     {"backoffMs", [&](auto* v, auto& p) { reader.number(v, p, 0, 3600000, made.backoffMs); }},
                     {"quotaSlots", [&](auto* v, auto& p) { reader.number(v, p, 0, 1000000, made.quotaSlots); }},
                     {"mostJobs", [&](auto* v, auto& p) { reader.number(v, p, 1, 1000000, made.mostJobs); }}});
      chart.pendings[name] = made;
    });
  };
  auto pools = [&](const json_t* value, const std::string& path) {
    reader.named(value, path, [&](const json_t* item, const std::string& name) {
      Pool made;
      made.name = PoolName(name);
      reader.object(item, path + "/" + name,
                    {{"labels", [&](auto* v, auto& p) { reader.texts(v, p, made.labels); }},
                     {"slots", [&](auto* v, auto& p) { reader.number(v, p, 1, 100000, made.slots); }},
                     {"workers", [&](auto* v, auto& p) { reader.number(v, p, 1, 100000, made.workers); }},
                     {"room", [&](auto* v, auto& p) { reader.numbers(v, p, made.room); }},
                     {"lostAfterTerms", [&](auto* v, auto& p) { reader.number(v, p, 1, 1000, made.lostAfterTerms); }},
                     {"selfStop", [&](auto* v, auto& p) { reader.flag(v, p, made.selfStop); }}});
      chart.pools[name] = made;
    });
  };
  auto cells = [&](const json_t* value, const std::string& path) {
    reader.named(value, path, [&](const json_t* item, const std::string& name) {
      bool emptied = false;
      reader.object(item, path + "/" + name, {{"emptied", [&](auto* v, auto& p) { reader.flag(v, p, emptied); }}});
      chart.emptied[name] = emptied;
    });
  };
  auto workers = [&](const json_t* value, const std::string& path) {
    reader.named(value, path, [&](const json_t* item, const std::string& name) {
      bool drained = false, gone = false;
      reader.object(item, path + "/" + name,
                    {{"drained", [&](auto* v, auto& p) { reader.flag(v, p, drained); }},
                     {"gone", [&](auto* v, auto& p) { reader.flag(v, p, gone); }}});
      chart.drained[name] = drained || gone;
      chart.gone[name] = gone;
    });
  };
  auto gangway = [&](const json_t* value, const std::string& path) {
    reader.object(value, path,
                  {{"maxBodyBytes", [&](auto* v, auto& p) { reader.number(v, p, 1024, 1 << 24, chart.gangway.maxBodyBytes); }},
                   {"mostTasks", [&](auto* v, auto& p) { reader.number(v, p, 1, 10000, chart.gangway.mostTasks); }},
                   {"mostOpenJobs", [&](auto* v, auto& p) { reader.number(v, p, 1, 1000000, chart.gangway.mostOpenJobs); }}});
  };
  auto& rules = chart.admission;
  auto rule = [&](const json_t* value, const std::string& path) {
    const std::string text = json_is_string(value) ? json_string_value(value) : "";
    if (text == "las") rules.rule = Rule::las;
    else if (text == "gittins") rules.rule = Rule::gittins;
    else if (text == "fifo") rules.rule = Rule::fifo;
    else reader.fault(path, "\"las\", \"gittins\" or \"fifo\"");
  };
  auto layout = [&](const json_t* value, const std::string& path) {
    const std::string text = json_is_string(value) ? json_string_value(value) : "";
    if (text == "pack") rules.layout = Layout::pack;
    else if (text == "spread") rules.layout = Layout::spread;
    else reader.fault(path, "\"pack\" or \"spread\"");
  };
  auto thresholds = [&](const json_t* value, const std::string& path) {
    thresholdsGiven = true;
    rules.thresholdsMs.clear();
    if (!json_is_array(value) || json_array_size(value) > 15) return reader.fault(path, "a rising list of at most 15 slot milliseconds");
    for (std::size_t i = 0; i < json_array_size(value); ++i) {
      Millis each = 0;
      reader.number(json_array_get(value, i), path + "/" + std::to_string(i), 1, 1LL << 50, each);
      if (!rules.thresholdsMs.empty() && each <= rules.thresholdsMs.back())
        reader.fault(path + "/" + std::to_string(i), "more than the threshold before it");
      rules.thresholdsMs.push_back(each);
    }
  };
  auto knob = [&](const json_t* value, const std::string& path) {
    if (json_is_null(value) || (json_is_string(value) && std::string_view(json_string_value(value)) == "infinity"))
      rules.promoteKnob.reset();
    else if (json_is_number(value) && json_number_value(value) > 0 && json_number_value(value) <= 1e9)
      rules.promoteKnob = json_number_value(value);
    else reader.fault(path, "a number above 0, or \"infinity\"");
  };
  auto mostLoss = [&](const json_t* value, const std::string& path) {
    if (json_is_number(value) && json_number_value(value) >= 0 && json_number_value(value) <= 1e6) rules.mostLoss = json_number_value(value);
    else reader.fault(path, "a number from 0 to 1000000");
  };
  auto admission = [&](const json_t* value, const std::string& path) {
    reader.object(value, path,
                  {{"rule", rule},
                   {"lanes", [&](auto* v, auto& p) { reader.number(v, p, 1, 16, rules.lanes); }},
                   {"thresholdsMs", thresholds},
                   {"promoteKnob", knob},
                   {"reserveAfterMs", [&](auto* v, auto& p) { reader.number(v, p, 100, 86400000, rules.reserveAfterMs); }},
                   {"layout", layout},
                   {"epochMs", [&](auto* v, auto& p) { reader.number(v, p, 5, 1000, rules.epochMs); }},
                   {"rankFirst", [&](auto* v, auto& p) { reader.flag(v, p, rules.rankFirst); }},
                   {"mostLoss", mostLoss},
                   {"mostPushes", [&](auto* v, auto& p) { reader.number(v, p, 0, 1000000, rules.mostPushes); }},
                   {"gangStartMs", [&](auto* v, auto& p) { reader.number(v, p, 100, 600000, rules.gangStartMs); }}});
    if (!thresholdsGiven) {
      rules.thresholdsMs.clear();
      for (std::int64_t i = 1; i < rules.lanes; ++i) rules.thresholdsMs.push_back(3600000 * (1LL << (2 * (i - 1))));
    }
    if (static_cast<std::int64_t>(rules.thresholdsMs.size()) != rules.lanes - 1)
      reader.fault(path + "/thresholdsMs", "one entry fewer than lanes");
  };
  auto keep = [&](const json_t* value, const std::string& path) {
    reader.object(value, path,
                  {{"finishedMs", [&](auto* v, auto& p) { reader.number(v, p, 60000, 366LL * 86400000, chart.keep.finishedMs); }},
                   {"finishedMost", [&](auto* v, auto& p) { reader.number(v, p, 100, 10000000, chart.keep.finishedMost); }}});
  };
  reader.object(root, "",
                {{"pendings", pendings}, {"pools", pools}, {"cells", cells}, {"workers", workers}, {"gangway", gangway}, {"admission", admission}, {"keep", keep}});
  return faults.size() == before;
}

bool readChartText(std::string_view text, Chart& chart, std::vector<Fault>& faults) {
  Json root = parseJson(text);
  if (!root) {
    faults.push_back({"/", "one JSON object without repeated keys"});
    return false;
  }
  return readChart(root.get(), chart, faults);
}

Json mergePatch(const json_t* target, const json_t* patch) {
  if (!json_is_object(patch)) return Json(json_deep_copy(patch));
  Json result(json_is_object(target) ? json_deep_copy(target) : json_object());
  const char* key;
  json_t* value;
  json_object_foreach(const_cast<json_t*>(patch), key, value) {
    if (json_is_null(value)) json_object_del(result.get(), key);
    else json_object_set_new(result.get(), key, mergePatch(json_object_get(result.get(), key), value).release());
  }
  return result;
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

Stored readStored(std::string_view value) {
  Stored stored;
  if (value.empty()) return stored;
  Json root = parseJson(value);
  if (!root) return stored;
  stored.revision = static_cast<Revision>(numberAt(root.get(), "revision"));
  if (const json_t* chart = json_object_get(root.get(), "chart")) stored.text = dumpJson(chart);
  const json_t* done = json_object_get(root.get(), "transactions");
  for (std::size_t i = 0; i < json_array_size(done); ++i) {
    const json_t* pair = json_array_get(done, i);
    stored.transactions.emplace_back(json_string_value(json_array_get(pair, 0)),
                                     static_cast<Revision>(json_integer_value(json_array_get(pair, 1))));
  }
  return stored;
}

std::string writeStored(const Stored& stored) {
  Json root(json_object());
  json_object_set_new(root.get(), "revision", json_integer(static_cast<json_int_t>(stored.revision)));
  if (Json chart = parseJson(stored.text)) json_object_set_new(root.get(), "chart", chart.release());
  json_t* done = json_array();
  for (const auto& [name, revision] : stored.transactions) {
    json_t* pair = json_array();
    json_array_append_new(pair, jsonText(name));
    json_array_append_new(pair, json_integer(static_cast<json_int_t>(revision)));
    json_array_append_new(done, pair);
  }
  json_object_set_new(root.get(), "transactions", done);
  return dumpJson(root.get());
}

}  // namespace tulip::chart
