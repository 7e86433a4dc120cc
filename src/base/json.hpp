#pragma once
#include <jansson.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace tulip {

struct JsonDrop {
  void operator()(json_t* value) const { json_decref(value); }
};
using Json = std::unique_ptr<json_t, JsonDrop>;

inline Json parseJson(std::string_view text) {
  return Json(json_loadb(text.data(), text.size(), JSON_REJECT_DUPLICATES, nullptr));
}

inline std::string dumpJson(const json_t* value, std::size_t flags = JSON_COMPACT | JSON_SORT_KEYS) {
  char* raw = json_dumps(value, flags | JSON_ENCODE_ANY);
  std::string text = raw ? raw : "null";
  free(raw);
  return text;
}

inline json_t* jsonText(std::string_view text) {
  json_t* made = json_stringn(text.data(), text.size());
  return made ? made : json_string("(not utf-8)");
}

// Appends the text as JSON, for what is written too often to be built as a tree; the text is UTF-8.
inline void appendJsonText(std::string& into, std::string_view text) {
  constexpr const char* kHex = "0123456789abcdef";
  into.push_back('"');
  for (const unsigned char c : text) {
    if (c == '"' || c == '\\') into.push_back('\\');
    if (c >= 0x20)
      into.push_back(static_cast<char>(c));
    else
      into.append("\\u00").append(1, kHex[c >> 4]).append(1, kHex[c & 15]);
  }
  into.push_back('"');
}

/// The bytes that appendJsonText writes.
inline std::size_t jsonTextBytes(std::string_view text) {
  constexpr std::size_t kQuotes = 2, kControlEscape = 6, kShortEscape = 2;
  std::size_t bytes = kQuotes;
  for (const unsigned char c : text) bytes += c < 0x20 ? kControlEscape : c == '"' || c == '\\' ? kShortEscape : 1;
  return bytes;
}

inline std::string textAt(const json_t* object, const char* key, std::string_view fallback = {}) {
  const json_t* found = json_object_get(object, key);
  return json_is_string(found) ? std::string(json_string_value(found), json_string_length(found))
                               : std::string(fallback);
}

inline std::int64_t numberAt(const json_t* object, const char* key, std::int64_t fallback = 0) {
  const json_t* found = json_object_get(object, key);
  return json_is_integer(found) ? json_integer_value(found) : fallback;
}

inline bool flagAt(const json_t* object, const char* key, bool fallback = false) {
  const json_t* found = json_object_get(object, key);
  return json_is_boolean(found) ? json_is_true(found) : fallback;
}

}  // namespace tulip
