#include "simulator/links.hpp"

#include <algorithm>

namespace tulip::simulator {

namespace {

/// What a daemon queues for one peer before it drops frames.
constexpr double kMostQueuedBytes = 4u << 20;
constexpr double kBitsPerByte = 8;

Micros transferUs(std::size_t bytes, double bytesPerUs) {
  return bytesPerUs > 0 ? static_cast<Micros>(static_cast<double>(bytes) / bytesPerUs) : 0;
}

}  // namespace

void Links::setRate(const std::string& machine, double megabitsPerSecond) {
  ends_[machine].bytesPerUs = megabitsPerSecond / kBitsPerByte;
}

Links::Connection Links::connectionOf(const std::string& one, const std::string& other) {
  return {std::min(one, other), std::max(one, other)};
}

Micros Links::sentUs(const std::string& from, std::size_t bytes, Micros nowUs) {
  auto& end = ends_[from];
  end.sendsUntilUs = std::max(end.sendsUntilUs, nowUs) + transferUs(bytes, end.bytesPerUs);
  return end.sendsUntilUs;
}

Micros Links::receivedUs(const std::string& to, std::size_t bytes, Micros reachedUs) {
  auto& end = ends_[to];
  end.receivesUntilUs = std::max(end.receivesUntilUs, reachedUs) + transferUs(bytes, end.bytesPerUs);
  return end.receivesUntilUs;
}

bool Links::isFull(const End& sender, const End& receiver, Micros nowUs) const {
  const auto waiting = [nowUs](Micros untilUs, double bytesPerUs) {
    return static_cast<double>(std::max<Micros>(0, untilUs - nowUs)) * bytesPerUs;
  };
  return waiting(sender.sendsUntilUs, sender.bytesPerUs) > kMostQueuedBytes ||
         waiting(receiver.receivesUntilUs, receiver.bytesPerUs) > kMostQueuedBytes;
}

std::optional<Micros> Links::arrivalUs(const std::string& from, const std::string& to, std::size_t bytes,
                                       Micros travelUs, Micros nowUs) {
  if (isFull(ends_[from], ends_[to], nowUs)) return std::nullopt;
  const bool opens = !std::exchange(open_[connectionOf(from, to)], true);
  const Micros roundTripUs = opens ? 2 * travelUs : 0;
  const auto reachedUs = sentUs(from, bytes, nowUs + roundTripUs) + travelUs;
  auto& last = lastArrivalUs_[{from, to}];
  last = std::max(last + 1, receivedUs(to, bytes, reachedUs));
  return last;
}

void Links::disconnect(const std::string& machine, Micros nowUs) {
  auto& end = ends_[machine];
  end.sendsUntilUs = std::min(end.sendsUntilUs, nowUs);
  end.receivesUntilUs = std::min(end.receivesUntilUs, nowUs);
  for (auto& [connection, open] : open_)
    if (connection.first == machine || connection.second == machine) open = false;
  for (auto& [way, lastUs] : lastArrivalUs_)
    if (way.first == machine || way.second == machine) lastUs = std::min(lastUs, nowUs);
}

}  // namespace tulip::simulator
