#include "control/edit.hpp"

#include <utility>

namespace tulip::control {

namespace {

/// Outcomes of the latest named edits that the register keeps.
constexpr std::size_t kMostRequests = 256;

std::string versionBody(Version version) { return "{\"revision\":" + std::to_string(version) + "}"; }

std::string racedBody(const char* wantedName, Version wanted, const char* currentName, Version current) {
  return "{\"error\":\"raced\",\"" + std::string(wantedName) + "\":" + std::to_string(wanted) + ",\"" + currentName +
         "\":" + std::to_string(current) + "}";
}

EditOutcome rejected(Kind kind, std::string body, const std::string& current) {
  return {kind, rowOf(kind).status, std::move(body), current, false, 0};
}

EditOutcome accepted(Version made, Version current, std::string value) {
  return {Kind::ok, 200, versionBody(made), std::move(value), true, current};
}

// An entry keeps its place in the list when it is replaced.
Json replacement(const json_t* former, json_t* entry) {
  Json next(json_copy(entry));
  if (json_t* place = json_object_get(former, "place")) json_object_set(next.get(), "place", place);
  return next;
}

void replaceEntries(json_t* base, const char* section, json_t* entries) {
  json_t* into = json_object_get(base, section);
  if (!json_is_object(into)) {
    into = json_object();
    json_object_set_new(base, section, into);
  }
  const char* name;
  json_t* entry;
  json_object_foreach(entries, name, entry) {
    if (json_is_null(entry))
      json_object_del(into, name);
    else
      json_object_set_new(into, name, replacement(json_object_get(into, name), entry).release());
  }
}

bool replacedByEntry(std::string_view section) { return section == "pendings" || section == "pools"; }

void applySection(json_t* base, const char* section, json_t* part, bool whole) {
  if (json_is_null(part)) {
    json_object_del(base, section);
  } else if (whole || !json_is_object(part)) {
    json_object_set(base, section, part);
  } else if (replacedByEntry(section)) {
    replaceEntries(base, section, part);
  } else {
    Json patch(json_object());
    json_object_set(patch.get(), section, part);
    config::mergeInto(base, patch.get());
  }
}

Json applyWhole(const json_t* base, Json body) {
  json_t* operatorVersion = json_object_get(base, "edition");
  if (operatorVersion && !json_object_get(body.get(), "edition"))
    json_object_set(body.get(), "edition", operatorVersion);
  return body;
}

// The configuration that the edit makes of base, which is used up; null when the edit's body is no object.
Json applyEdit(const Edit& edit, Json base) {
  Json body = parseJson(edit.body);
  if (!json_is_object(body.get())) return nullptr;
  if (edit.sections) {
    const char* section;
    json_t* part;
    json_object_foreach(body.get(), section, part) applySection(base.get(), section, part, edit.whole);
  } else if (edit.whole) {
    base = applyWhole(base.get(), std::move(body));
  } else {
    config::mergeInto(base.get(), body.get());
  }
  if (edit.operatorVersion > 0)
    json_object_set_new(base.get(), "edition", json_integer(static_cast<json_int_t>(edit.operatorVersion)));
  return base;
}

// The operator's number must not fall, and must rise where the edit brings one.
bool numberRises(const Edit& edit, Version next, Version current) {
  return edit.operatorVersion > 0 ? next > current : next >= current;
}

std::vector<config::Fault> check(const Edit& edit, const json_t* next, Version current) {
  config::Config checked;
  std::vector<config::Fault> faults;
  if (!config::readConfig(next, checked, faults)) return faults;
  if (!numberRises(edit, checked.operatorVersion, current))
    faults.push_back({"/edition", "above the current one, " + std::to_string(current)});
  return faults;
}

std::optional<Version> takenAs(const Edit& edit, const config::Stored& stored) {
  if (edit.name.empty()) return {};
  for (const auto& [name, version] : stored.requests)
    if (name == edit.name) return version;
  return {};
}

void remember(const Edit& edit, config::Stored& stored) {
  if (edit.name.empty()) return;
  stored.requests.emplace_back(edit.name, stored.version);
  if (stored.requests.size() > kMostRequests) stored.requests.erase(stored.requests.begin());
}

}  // namespace

EditOutcome judgeEdit(const Edit& edit, const std::string& current) {
  auto stored = config::readStored(current);
  if (const auto made = takenAs(edit, stored)) return accepted(*made, stored.version, current);
  if (edit.expected && *edit.expected != stored.version)
    return rejected(Kind::raced, racedBody("expected", *edit.expected, "revision", stored.version), current);
  Json base = stored.text.empty() ? Json(json_object()) : parseJson(stored.text);
  const auto operatorVersion = static_cast<Version>(numberAt(base.get(), "edition"));
  if (edit.basedOn && *edit.basedOn != operatorVersion)
    return rejected(Kind::raced, racedBody("basedOn", *edit.basedOn, "edition", operatorVersion), current);
  const Json next = applyEdit(edit, std::move(base));
  const auto faults = next ? check(edit, next.get(), operatorVersion) : std::vector<config::Fault>{};
  if (!next || !faults.empty())
    return rejected(Kind::invalidConfig, config::faultsJson(Kind::invalidConfig, faults), current);
  stored.text = dumpJson(next.get());
  ++stored.version;
  remember(edit, stored);
  return accepted(stored.version, stored.version, config::writeStored(stored));
}

}  // namespace tulip::control
