#include "config/text_difference.hpp"

#include <algorithm>
#include <array>

#include "config/reader.hpp"

namespace tulip::config {
namespace {

/// Sections whose entries are read one by one; the others are small.
constexpr std::array<std::string_view, 3> kNamedSections{"pendings", "pools", "tenants"};

struct TextEntry {
  std::string_view key;
  std::string_view value;
};
using TextEntries = std::vector<TextEntry>;

/// Goes through an object's text entry by entry. Only the outermost form is checked.
class EntryScanner {
 public:
  explicit EntryScanner(std::string_view text) : text_(text) {}

  std::optional<TextEntries> entries() {
    if (!take('{')) return {};
    TextEntries found;
    if (take('}')) return finished(found);
    do {
      const auto key = plainKey();
      if (!key || !take(':')) return {};
      if (!found.empty() && *key <= found.back().key) return {};
      const auto value = valueText();
      if (value.empty()) return {};
      found.push_back({*key, value});
    } while (take(','));
    if (!take('}')) return {};
    return finished(found);
  }

 private:
  std::optional<TextEntries> finished(TextEntries& found) const {
    if (at_ != text_.size()) return {};
    return std::move(found);
  }

  bool take(char wanted) {
    if (at_ >= text_.size() || text_[at_] != wanted) return false;
    ++at_;
    return true;
  }

  std::optional<std::string_view> plainKey() {
    if (!take('"')) return {};
    const auto end = text_.find_first_of("\"\\", at_);
    if (end == std::string_view::npos || text_[end] != '"') return {};
    const auto key = text_.substr(at_, end - at_);
    at_ = end + 1;
    return key;
  }

  // Up to the comma or bracket that ends the value.
  std::string_view valueText() {
    const auto from = at_;
    int depth = 0;
    while (at_ < text_.size()) {
      const char c = text_[at_];
      if (c == '"') {
        if (!skipString()) return {};
        continue;
      }
      if (depth == 0 && (c == ',' || c == '}')) return text_.substr(from, at_ - from);
      if (c == '{' || c == '[') ++depth;
      if (c == '}' || c == ']') --depth;
      ++at_;
    }
    return {};
  }

  bool skipString() {
    for (++at_; at_ < text_.size(); ++at_) {
      at_ = text_.find_first_of("\"\\", at_);
      if (at_ == std::string_view::npos) return false;
      if (text_[at_] == '"') {
        ++at_;
        return true;
      }
      ++at_;  // what a backslash escapes
    }
    return false;
  }

  std::string_view text_;
  std::size_t at_ = 0;
};

std::optional<TextEntries> entriesOf(std::string_view text) { return EntryScanner(text).entries(); }

const TextEntry* entryAt(const TextEntries& entries, std::string_view key) {
  const auto found = std::ranges::lower_bound(entries, key, {}, &TextEntry::key);
  return found == entries.end() || found->key != key ? nullptr : &*found;
}

void append(std::string& into, std::string_view key, std::string_view value) {
  if (into.back() != '{') into += ',';
  into.append("\"").append(key).append("\":").append(value);
}

std::vector<std::string_view> droppedEntries(const TextEntries& earlier, const TextEntries& next) {
  std::vector<std::string_view> dropped;
  for (const auto& entry : earlier) {
    const auto* now = entryAt(next, entry.key);
    if (!now || now->value != entry.value) dropped.push_back(entry.key);
  }
  return dropped;
}

std::string changedEntries(const TextEntries& earlier, const TextEntries& next) {
  std::string changed = "{";
  for (const auto& entry : next) {
    const auto* before = entryAt(earlier, entry.key);
    if (!before || before->value != entry.value) append(changed, entry.key, entry.value);
  }
  return changed + "}";
}

bool isNamedSection(std::string_view name) { return std::ranges::find(kNamedSections, name) != kNamedSections.end(); }

}  // namespace

std::optional<TextDifference> differenceOf(std::string_view earlier, std::string_view next) {
  const auto earlierSections = entriesOf(earlier);
  const auto nextSections = entriesOf(next);
  if (!earlierSections || !nextSections) return {};
  TextDifference difference;
  difference.changed = "{";
  for (const auto& section : *nextSections) {
    const auto* before = isNamedSection(section.key) ? entryAt(*earlierSections, section.key) : nullptr;
    const auto entriesBefore = before ? entriesOf(before->value) : std::nullopt;
    const auto entries = entriesBefore ? entriesOf(section.value) : std::nullopt;
    if (!entries) {
      append(difference.changed, section.key, section.value);
      continue;
    }
    if (entries->size() > Reader::kMostNames) return {};
    difference.kept.push_back({section.key, droppedEntries(*entriesBefore, *entries)});
    append(difference.changed, section.key, changedEntries(*entriesBefore, *entries));
  }
  difference.changed += '}';
  return difference;
}

}  // namespace tulip::config
