// Changes of a configuration that name only what they change, by RFC 7396.
#include "config/config.hpp"

namespace tulip::config {

void mergeInto(json_t* target, const json_t* patch) {
  const char* key;
  json_t* value;
  json_object_foreach(const_cast<json_t*>(patch), key, value) {
    if (json_is_null(value)) {
      json_object_del(target, key);
      continue;
    }
    if (!json_is_object(value)) {
      json_object_set(target, key, value);
      continue;
    }
    json_t* inner = json_object_get(target, key);
    if (!json_is_object(inner)) {
      inner = json_object();
      json_object_set_new(target, key, inner);
    }
    mergeInto(inner, value);
  }
}

Json mergePatch(const json_t* target, const json_t* patch) {
  if (!json_is_object(patch)) return Json(json_deep_copy(patch));
  Json result(json_is_object(target) ? json_deep_copy(target) : json_object());
  mergeInto(result.get(), patch);
  return result;
}

}  // namespace tulip::config
