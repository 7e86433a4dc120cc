#include "control/edit.hpp"

#include <algorithm>
#include <utility>

#include "config/former.hpp"
#include "control/session.hpp"

namespace tulip::control {

namespace {

/// Outcomes of the newest edits that the register keeps: of those with a name, of those with an operator's number, and
/// refusals that are not final by themselves.
constexpr std::size_t kMostRequests = 256;
constexpr std::size_t kMostOrders = 1024;
constexpr std::size_t kMostRejected = 256;

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

bool replacedByEntry(std::string_view section) {
  return section == "pendings" || section == "pools" || section == "tenants";
}

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

// The name of an order with a number already stands for its content; other names are chosen by hand.
std::uint64_t digestOf(const Edit& edit) {
  if (edit.operatorVersion > 0) return mix(edit.name);
  return mix(edit.body, mix(edit.expected ? std::to_string(*edit.expected) : std::string(), mix(edit.name)));
}

bool numbered(const Edit& edit) { return edit.operatorVersion > 0; }

template <class List>
void keepNewest(List& list, std::size_t most) {
  if (list.size() > most) list.erase(list.begin(), list.end() - static_cast<std::ptrdiff_t>(most));
}

/// What one value of the register says of the edits made before.
struct History {
  config::Stored stored;
  Json text;
  Version operatorVersion = 0;
};

History readHistory(const std::string& value) {
  History history;
  history.stored = config::readStored(value);
  history.text = history.stored.text.empty() ? Json(json_object()) : parseJson(history.stored.text);
  history.operatorVersion = static_cast<Version>(numberAt(history.text.get(), "edition"));
  return history;
}

std::optional<Version> takenAs(const Edit& edit, const config::Stored& stored) {
  if (edit.name.empty()) return {};
  if (numbered(edit)) {
    for (const auto& order : stored.orders)
      if (order.operatorVersion == edit.operatorVersion && order.digest == digestOf(edit)) return order.version;
    return {};
  }
  for (const auto& [name, version] : stored.requests)
    if (name == edit.name) return version;
  return {};
}

std::optional<Kind> rejectedAs(const Edit& edit, const config::Stored& stored) {
  for (const auto& rejected : stored.rejected)
    if (rejected.digest == digestOf(edit)) return static_cast<Kind>(rejected.kind);
  return {};
}

// Numbers that were used before the register kept orders, or that it dropped for newer ones.
Version forgottenOrders(const History& history) {
  return history.stored.orders.empty() ? std::max(history.stored.forgottenOrders, history.operatorVersion)
                                       : history.stored.forgottenOrders;
}

// Whether the edit may have been taken so long ago that its outcome is no longer kept.
bool mayBeForgotten(const Edit& edit, const History& history) {
  if (numbered(edit)) return edit.operatorVersion <= forgottenOrders(history);
  const auto& requests = history.stored.requests;
  if (edit.nameGiven || !edit.expected || requests.size() < kMostRequests) return false;
  return *edit.expected + 1 < requests.front().second;
}

const config::ZoneMark* markOf(const config::Stored& stored, const std::string& zone) {
  for (const auto& mark : stored.zoneMarks)
    if (mark.zone == zone) return &mark;
  return nullptr;
}

// Whether the opposite was ordered after this order came: it would undo what may have been acknowledged since.
bool overtaken(const Edit& edit, const config::Stored& stored) {
  if (!edit.zoneOrder) return false;
  const auto* mark = markOf(stored, edit.zoneOrder->zone);
  return mark && mark->version > edit.zoneOrder->madeOn && mark->emptied != edit.zoneOrder->emptied;
}

void markZone(const ZoneOrder& order, config::Stored& stored) {
  std::erase_if(stored.zoneMarks, [&](const config::ZoneMark& mark) { return mark.zone == order.zone; });
  stored.zoneMarks.push_back({order.zone, order.emptied, stored.version});
}

void rememberOrder(const Edit& edit, const History& history, config::Stored& stored) {
  stored.forgottenOrders = forgottenOrders(history);
  stored.orders.push_back({edit.operatorVersion, digestOf(edit), stored.version});
  if (stored.orders.size() <= kMostOrders) return;
  stored.forgottenOrders = stored.orders.front().operatorVersion;
  keepNewest(stored.orders, kMostOrders);
}

void remember(const Edit& edit, const History& history, config::Stored& stored) {
  if (edit.zoneOrder) markZone(*edit.zoneOrder, stored);
  if (edit.name.empty()) return;
  if (numbered(edit)) return rememberOrder(edit, history, stored);
  stored.requests.emplace_back(edit.name, stored.version);
  keepNewest(stored.requests, kMostRequests);
}

// Versions and numbers only rise, so a refusal of what was made on an older one stands by itself.
bool finalByItself(const Edit& edit, const History& history) {
  if (edit.name.empty() || edit.nameGiven) return true;
  if (edit.expected && *edit.expected < history.stored.version) return true;
  if (edit.basedOn && *edit.basedOn < history.operatorVersion) return true;
  return numbered(edit) && edit.operatorVersion <= history.operatorVersion;
}

// The same edit may be under way at another daemon too, so the register itself must say that it was refused.
EditOutcome reject(const Edit& edit, const History& history, Kind kind, std::string body, const std::string& current) {
  if (finalByItself(edit, history)) return rejected(kind, std::move(body), current);
  auto stored = history.stored;
  stored.rejected.push_back({digestOf(edit), static_cast<std::int64_t>(kind)});
  keepNewest(stored.rejected, kMostRejected);
  return rejected(kind, std::move(body), config::writeStored(stored));
}

EditOutcome undecided(const std::string& current) { return rejected(Kind::unknownOutcome, {}, current); }

EditOutcome apply(const Edit& edit, const History& history, const json_t* next) {
  auto stored = history.stored;
  stored.text = dumpJson(next);
  ++stored.version;
  remember(edit, history, stored);
  return accepted(stored.version, stored.version, config::writeStored(stored));
}

}  // namespace

EditOutcome judgeEdit(const Edit& edit, const std::string& current) {
  auto history = readHistory(current);
  const auto& stored = history.stored;
  if (const auto made = takenAs(edit, stored)) return accepted(*made, stored.version, current);
  if (const auto kind = rejectedAs(edit, stored)) return rejected(*kind, config::faultsJson(*kind, {}), current);
  if (mayBeForgotten(edit, history) || overtaken(edit, stored)) return undecided(current);
  if (edit.expected && *edit.expected != stored.version)
    return reject(edit, history, Kind::raced, racedBody("expected", *edit.expected, "revision", stored.version),
                  current);
  if (edit.basedOn && *edit.basedOn != history.operatorVersion)
    return reject(edit, history, Kind::raced, racedBody("basedOn", *edit.basedOn, "edition", history.operatorVersion),
                  current);
  auto before = config::definitionsOf(history.text.get());
  const Json next = applyEdit(edit, std::move(history.text));
  if (next) config::keepFormer(std::move(before), stored.version + 1, next.get());
  const auto faults = next ? check(edit, next.get(), history.operatorVersion) : std::vector<config::Fault>{};
  if (!next || !faults.empty())
    return reject(edit, history, Kind::invalidConfig, config::faultsJson(Kind::invalidConfig, faults), current);
  return apply(edit, history, next.get());
}

}  // namespace tulip::control
