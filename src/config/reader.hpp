#pragma once
#include <array>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "config/config.hpp"

namespace tulip::config {

/// Reads a JSON value into plain values, and notes each one that is not allowed by its path. Reading goes on after a
/// fault, so that all of them are told at once.
class Reader {
 public:
  static constexpr std::size_t kMostNames = 10000;

  explicit Reader(std::vector<Fault>& faults) : faults_(faults) {}

  /// Notes that the value at the present path is not one that is allowed.
  void fault(std::string allowed) {
    std::string path;
    for (const auto step : steps_) path.append("/").append(step);
    faults_.push_back({path.empty() ? "/" : path, std::move(allowed)});
  }

  /// Runs `act` one step further down the path.
  template <class Act>
  void within(std::string_view step, Act act) {
    steps_.push_back(step);
    act();
    steps_.pop_back();
  }

  void number(const json_t* value, std::int64_t low, std::int64_t high, std::int64_t& into) {
    if (json_is_integer(value) && json_integer_value(value) >= low && json_integer_value(value) <= high)
      into = json_integer_value(value);
    else
      fault("a whole number from " + std::to_string(low) + " to " + std::to_string(high));
  }

  void flag(const json_t* value, bool& into) {
    if (json_is_boolean(value))
      into = json_is_true(value);
    else
      fault("true or false");
  }

  void text(const json_t* value, std::size_t most, std::string& into) {
    if (json_is_string(value) && json_string_length(value) <= most)
      into.assign(json_string_value(value), json_string_length(value));
    else
      fault("a text of at most " + std::to_string(most) + " bytes");
  }

  void opaque(const json_t* value) {
    if (!json_is_object(value)) fault("an object");
  }

  /// Hands each entry of an object to `act`, within its key.
  template <class Act>
  void each(const json_t* value, const char* allowed, Act act) {
    if (!json_is_object(value)) return fault(allowed);
    const char* key;
    json_t* item;
    json_object_foreach(const_cast<json_t*>(value), key, item) within(key, [&] { act(key, item); });
  }

  /// A field of an object, and how it is read.
  template <class Into>
  struct Field {
    std::string_view key;
    void (*read)(Reader&, const json_t*, Into&);
  };

  /// Reads an object that has these fields and no others.
  template <class Into, std::size_t Count>
  void object(const json_t* value, const std::array<Field<Into>, Count>& fields, Into& into) {
    each(value, "an object", [&](std::string_view key, const json_t* item) {
      for (const auto& field : fields)
        if (field.key == key) return field.read(*this, item, into);
      std::string known;
      for (const auto& field : fields) known.append(known.empty() ? "" : ", ").append(field.key);
      fault("one of: " + known);
    });
  }

  /// Hands each entry of an object whose keys are names to `act`.
  template <class Act>
  void named(const json_t* value, Act act) {
    if (json_object_size(value) > kMostNames) return fault("at most " + std::to_string(kMostNames) + " names");
    each(value, "an object keyed by name", [&](std::string_view name, const json_t* item) {
      bool plain = !name.empty() && name.size() <= 64;
      for (char c : name) plain = plain && (isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' || c == '.');
      if (!plain)
        fault("a name of 1 to 64 letters, digits, '-', '_' or '.'");
      else
        act(name, item);
    });
  }

 private:
  std::vector<Fault>& faults_;
  std::vector<std::string_view> steps_;
};

template <class Into>
using Fields = Reader::Field<Into>;

/// Reads a whole number from `Low` to `High`.
template <auto Member, std::int64_t Low, std::int64_t High, class Into>
void readNumber(Reader& reader, const json_t* value, Into& into) {
  std::int64_t number = static_cast<std::int64_t>(into.*Member);
  reader.number(value, Low, High, number);
  into.*Member = static_cast<std::remove_reference_t<decltype(into.*Member)>>(number);
}

template <auto Member, class Into>
void readFlag(Reader& reader, const json_t* value, Into& into) {
  reader.flag(value, into.*Member);
}

/// Takes any object, which is kept for others.
template <class Into>
void readOpaque(Reader& reader, const json_t* value, Into&) {
  reader.opaque(value);
}

/// Takes a place in a list, which is kept for others.
template <class Into>
void readPlace(Reader& reader, const json_t* value, Into&) {
  std::int64_t place = 0;
  reader.number(value, -(1LL << 50), 1LL << 50, place);
}

}  // namespace tulip::config
