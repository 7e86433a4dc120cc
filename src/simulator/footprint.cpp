#include "simulator/footprint.hpp"

#include <concepts>
#include <ranges>
#include <string>
#include <tuple>
#include <unordered_set>
#include <variant>

#include "model/aggregate.hpp"

namespace tulip::simulator {

namespace {

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
concept Name = requires(const Type& value) {
  { value.view() } -> std::convertible_to<std::string_view>;
};

/// What an element of a container costs beside itself: a node's pointers or a free slot.
constexpr std::size_t kElementBytes = 16;

class Footprint {
 public:
  std::size_t bytes() const { return bytes_; }

  /// Adds what the value holds beyond its own size.
  template <class Type>
  void addHeld(const Type& value) {
    if constexpr (std::is_arithmetic_v<Type> || std::is_enum_v<Type> || std::is_same_v<Type, std::string_view> ||
                  std::is_pointer_v<Type> || std::is_same_v<Type, std::shared_ptr<const http::ProtocolAdapter>>)
      return;
    else if constexpr (std::convertible_to<const Type&, std::string_view>)
      addText(value);
    else if constexpr (Name<Type>)
      addText(value.view());
    else if constexpr (kIsVariant<Type>)
      std::visit([&](const auto& each) { addHeld(each); }, value);
    else if constexpr (Pointer<Type>)
      addPointed(value.get());
    else if constexpr (Optional<Type>)
      addOptional(value);
    else if constexpr (std::ranges::range<Type>)
      addRange(value);
    else if constexpr (Tuple<Type>)
      std::apply([&](const auto&... each) { (addHeld(each), ...); }, value);
    else
      model::visitFields(value, [&](const auto&... each) { (addHeld(each), ...); });
  }

 private:
  void addText(std::string_view text) {
    constexpr std::size_t kInPlace = 15;
    if (text.size() > kInPlace) bytes_ += text.size() + 1;
  }

  template <class Type>
  void addPointed(const Type* value) {
    if (!value || !seen_.insert(value).second) return;
    bytes_ += sizeof(Type);
    addHeld(*value);
  }

  template <class Holder>
  void addOptional(const Holder& holder) {
    if (holder.has_value()) addHeld(*holder);
  }

  template <class Range>
  void addRange(const Range& range) {
    for (const auto& each : range) {
      bytes_ += sizeof each + kElementBytes;
      addHeld(each);
    }
  }

  std::size_t bytes_ = 0;
  std::unordered_set<const void*> seen_;
};

}  // namespace

std::size_t footprintOf(const daemon::Node& node) {
  Footprint footprint;
  footprint.addHeld(node);
  return sizeof node + footprint.bytes();
}

}  // namespace tulip::simulator
