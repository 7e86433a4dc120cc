#include "base/json_footprint.hpp"

namespace tulip {
namespace {

// What the parser's library allocates, with the allocator's own bytes.
constexpr std::size_t kObjectBytes = 256;  // with its first table and value
constexpr std::size_t kArrayBytes = 160;   // with its first places and value
constexpr std::size_t kMemberBytes = 32;   // its part of a table that has grown
constexpr std::size_t kElementBytes = 56;  // a number or a word, and its place
constexpr std::size_t kTextBytes = 80;     // a text or a name, beside its characters

/// Where the text that begins behind this place ends: at its closing quote, or at the end of all.
std::size_t endOfText(std::string_view text, std::size_t at) {
  while (at < text.size() && text[at] != '"') at += text[at] == '\\' ? 2 : 1;
  return at;
}

}  // namespace

std::size_t jsonFootprint(std::string_view text) {
  std::size_t bytes = text.size();
  for (std::size_t at = 0; at < text.size(); ++at) {
    switch (text[at]) {
      case '{':
        bytes += kObjectBytes;
        break;
      case '[':
        bytes += kArrayBytes;
        break;
      case ':':
        bytes += kMemberBytes;
        break;
      case ',':
        bytes += kElementBytes;
        break;
      case '"':
        bytes += kTextBytes;
        at = endOfText(text, at + 1);
        break;
      default:
        break;
    }
  }
  return bytes;
}

}  // namespace tulip
