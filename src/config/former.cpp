#include "config/former.hpp"

#include <utility>

namespace tulip::config {

namespace {

/// Removed pools, and moved queues, that are remembered; the longest unchanged are forgotten first.
constexpr std::size_t kMostFormer = 64;

Json copyOf(const json_t* object, const char* section) {
  const json_t* part = json_object_get(object, section);
  return json_is_object(part) ? Json(json_deep_copy(part)) : Json(json_object());
}

void note(json_t* entries, const char* name, const char* field, Json value, Version version) {
  Json entry(json_object());
  json_object_set_new(entry.get(), field, value.release());
  json_object_set_new(entry.get(), "version", json_integer(static_cast<json_int_t>(version)));
  json_object_set_new(entries, name, entry.release());
}

void noteMovedQueues(const Definitions& before, Version version, const json_t* next, json_t* moved) {
  const char* name;
  json_t* queue;
  json_object_foreach(json_object_get(next, "pendings"), name, queue) {
    const auto pool = textAt(queue, "pool");
    const auto earlier = before.queuePools.find(name);
    const json_t* known = json_object_get(moved, name);
    const bool movedNow = earlier != before.queuePools.end() && earlier->second != pool;
    const bool movedSince = known && textAt(known, "pool") != pool;
    if (movedNow || movedSince) note(moved, name, "pool", Json(jsonText(pool)), version);
  }
}

void noteRemovedPools(const Definitions& before, Version version, const json_t* next, json_t* removed) {
  const json_t* pools = json_object_get(next, "pools");
  const char* name;
  json_t* pool;
  json_object_foreach(before.pools.get(), name, pool) {
    if (json_object_get(pools, name)) continue;
    Json definition(json_copy(pool));
    json_object_del(definition.get(), "place");
    json_object_del(definition.get(), "asSent");
    note(removed, name, "definition", std::move(definition), version);
  }
  json_object_foreach(const_cast<json_t*>(pools), name, pool) json_object_del(removed, name);
}

void forgetOldest(json_t* entries) {
  while (json_object_size(entries) > kMostFormer) {
    std::string oldest;
    std::int64_t since = 0;
    const char* name;
    json_t* entry;
    json_object_foreach(entries, name, entry) {
      const auto version = numberAt(entry, "version");
      if (!oldest.empty() && version >= since) continue;
      oldest = name;
      since = version;
    }
    json_object_del(entries, oldest.c_str());
  }
}

void putUnlessEmpty(json_t* object, const char* section, Json entries) {
  if (json_object_size(entries.get()) > 0) json_object_set_new(object, section, entries.release());
}

}  // namespace

Definitions definitionsOf(const json_t* text) {
  Definitions found;
  const char* name;
  json_t* queue;
  json_object_foreach(json_object_get(text, "pendings"), name, queue)
      found.queuePools.emplace(name, textAt(queue, "pool"));
  found.pools = copyOf(text, "pools");
  found.former = copyOf(text, "former");
  return found;
}

void keepFormer(Definitions before, Version version, json_t* next) {
  Json queues = copyOf(before.former.get(), "queues");
  noteMovedQueues(before, version, next, queues.get());
  forgetOldest(queues.get());
  Json pools = copyOf(before.former.get(), "pools");
  noteRemovedPools(before, version, next, pools.get());
  forgetOldest(pools.get());
  Json former(json_object());
  putUnlessEmpty(former.get(), "queues", std::move(queues));
  putUnlessEmpty(former.get(), "pools", std::move(pools));
  json_object_del(next, "former");
  putUnlessEmpty(next, "former", std::move(former));
}

}  // namespace tulip::config
