#include "jobs/index_ranges.hpp"

#include <algorithm>
#include <iterator>

namespace tulip::jobs {

std::uint32_t IndexRanges::endAt(std::uint32_t index) const {
  const auto after = ranges_.upper_bound(index);
  if (after == ranges_.begin()) return index;
  return std::max(index, std::prev(after)->second);
}

void IndexRanges::insert(std::uint32_t begin, std::uint32_t end) {
  if (begin >= end) return;
  size_ += end - begin;
  if (const auto after = ranges_.find(end); after != ranges_.end()) {
    end = after->second;
    ranges_.erase(after);
  }
  const auto next = ranges_.upper_bound(begin);
  if (next != ranges_.begin() && std::prev(next)->second == begin)
    std::prev(next)->second = end;
  else
    ranges_.emplace(begin, end);
}

std::uint32_t IndexRanges::countIn(std::uint32_t begin, std::uint32_t end) const {
  std::uint32_t count = 0;
  auto range = ranges_.upper_bound(begin);
  if (range != ranges_.begin()) --range;
  for (; range != ranges_.end() && range->first < end; ++range) {
    const auto low = std::max(begin, range->first);
    const auto high = std::min(end, range->second);
    if (low < high) count += high - low;
  }
  return count;
}

}  // namespace tulip::jobs
