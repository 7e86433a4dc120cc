#include "model/fingerprint.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <concepts>
#include <ranges>
#include <tuple>
#include <variant>

#include "model/aggregate.hpp"

namespace tulip::model {
namespace {

template <class Type>
inline constexpr bool kIsUnordered = false;
template <class... Types>
inline constexpr bool kIsUnordered<absl::flat_hash_map<Types...>> = true;
template <class... Types>
inline constexpr bool kIsUnordered<absl::flat_hash_set<Types...>> = true;

template <class Type>
inline constexpr bool kIsVariant = false;
template <class... Types>
inline constexpr bool kIsVariant<std::variant<Types...>> = true;

template <class Type>
concept Pointer = requires(const Type& value) {
  typename Type::element_type;
  value.get();
};
template <class Type>
concept Optional = requires(const Type& value) {
  value.has_value();
  *value;
};
template <class Type>
concept Tuple = requires {
  std::tuple_size<Type>::value;
};
template <class Type>
concept NameLike = requires(const Type& value) {
  value.view();
};

class Hasher {
 public:
  explicit Hasher(Millis nowMs) : nowMs_(nowMs) {}

  std::uint64_t value() const { return hash_; }

  template <class Type>
  void add(const Type& value) {
    if constexpr (std::is_same_v<Type, Millis>)
      addTime(value);
    else if constexpr (std::is_arithmetic_v<Type> || std::is_enum_v<Type>)
      mix(static_cast<std::uint64_t>(value));
    else if constexpr (std::convertible_to<const Type&, std::string_view>)
      addText(value);
    else if constexpr (NameLike<Type>)
      addText(value.view());
    else if constexpr (std::is_same_v<Type, Settings> || std::is_same_v<Type, const transport::WireCounts*> ||
                       std::is_same_v<Type, const daemon::StepTimes*> ||
                       std::is_same_v<Type, std::shared_ptr<const http::ProtocolAdapter>>)
      return;  // the same for the whole of a life
    else if constexpr (kIsVariant<Type>)
      addVariant(value);
    else if constexpr (Pointer<Type>)
      addPresent(value.get() != nullptr, value);
    else if constexpr (Optional<Type>)
      addPresent(value.has_value(), value);
    else if constexpr (kIsUnordered<Type>)
      addUnordered(value);
    else if constexpr (std::ranges::range<Type>)
      addRange(value);
    else if constexpr (Tuple<Type>)
      std::apply([&](const auto&... each) { (add(each), ...); }, value);
    else
      visitFields(value, [&](const auto&... each) { (add(each), ...); });
  }

 private:
  void mix(std::uint64_t value) {
    value *= 0x9ddfea08eb382d69ull;
    value ^= value >> 47;
    hash_ = (hash_ ^ value) * 0xc6a4a7935bd1e995ull;
    hash_ ^= hash_ >> 29;
  }

  void addText(std::string_view text) {
    mix(text.size());
    for (; text.size() >= sizeof(std::uint64_t); text.remove_prefix(sizeof(std::uint64_t))) {
      std::uint64_t word = 0;
      std::copy_n(text.data(), sizeof word, reinterpret_cast<char*>(&word));
      mix(word);
    }
    for (const char letter : text) mix(static_cast<unsigned char>(letter));
  }

  // Clocks stand far above every count and span; each life's clock is a whole
  // number of steps from the world's time.
  void addTime(Millis value) {
    if (value < kFirstClockMs / 2) return mix(static_cast<std::uint64_t>(value));
    const auto relative = value - nowMs_;
    const auto life = (relative + kClockStepMs / 2) / kClockStepMs;
    mix(static_cast<std::uint64_t>(life));
    mix(static_cast<std::uint64_t>(relative - life * kClockStepMs));
  }

  template <class Variant>
  void addVariant(const Variant& value) {
    mix(value.index());
    std::visit([&](const auto& each) { add(each); }, value);
  }

  template <class Holder>
  void addPresent(bool present, const Holder& holder) {
    mix(present);
    if (present) add(*holder);
  }

  template <class Range>
  void addRange(const Range& range) {
    std::uint64_t count = 0;
    for (const auto& each : range) {
      add(each);
      ++count;
    }
    mix(count);
  }

  template <class Set>
  void addUnordered(const Set& set) {
    std::uint64_t sum = 0;
    for (const auto& each : set) {
      Hasher one(nowMs_);
      one.add(each);
      sum += one.value();
    }
    mix(sum);
  }

  Millis nowMs_;
  std::uint64_t hash_ = 0x9e3779b97f4a7c15ull;
};

// Messages of one link and kind keep their order; the order between links means
// nothing.
std::uint64_t flightsOf(const World& world) {
  std::map<std::tuple<std::size_t, std::string_view, std::string_view>, Hasher> links;
  for (const auto& flight : world.inFlight()) {
    const auto key = std::tuple(flight.from, flight.to.view(), kindOf(*flight.message));
    auto& hasher = links.try_emplace(key, world.nowMs()).first->second;
    hasher.add(flight.fromId);
    hasher.add(flight.fromIncarnation);
    hasher.add(flight.toIncarnation);
    hasher.add(*flight.message);
    hasher.add(flight.delayed);
  }
  Hasher all(world.nowMs());
  for (const auto& [key, hasher] : links) {
    all.add(std::get<0>(key));
    all.add(std::get<1>(key));
    all.add(std::get<2>(key));
    all.add(hasher.value());
  }
  return all.value();
}

}  // namespace

std::uint64_t fingerprintOf(const World& world) {
  Hasher hasher(world.nowMs());
  for (const auto& machine : world.machines()) {
    hasher.add(machine.node);
    hasher.add(machine.disk);
    hasher.add(machine.unsynced);
    hasher.add(machine.id);
    hasher.add(machine.settings.peerAddress);
    hasher.add(machine.powerLost);
    hasher.add(machine.diskEmptied);
    hasher.add(machine.diskFailed);
    hasher.add(machine.soundSinceMs < 0 ? Millis{-1} : world.nowMs() - machine.soundSinceMs);
  }
  hasher.add(world.cuts());
  hasher.add(flightsOf(world));
  const auto& history = world.history();
  hasher.add(history.orders);
  hasher.add(history.inForce);
  hasher.add(history.newestVersion);
  return hasher.value();
}

}  // namespace tulip::model
