#pragma once
#include <absl/container/btree_map.h>

#include <cstddef>
#include <cstdint>

namespace tulip::jobs {

/// A set of indexes, held as ranges that don't touch: its size in memory goes with the gaps, not with the indexes.
class IndexRanges {
 public:
  using Ranges = absl::btree_map<std::uint32_t, std::uint32_t>;  // begin, end

  /// None of [begin, end) may be in the set yet.
  void insert(std::uint32_t begin, std::uint32_t end);
  bool contains(std::uint32_t index) const { return endAt(index) != index; }
  /// The first index from this one on that isn't in the set.
  std::uint32_t nextAbsent(std::uint32_t index) const { return endAt(index); }
  /// How many indexes of [begin, end) are in the set.
  std::uint32_t countIn(std::uint32_t begin, std::uint32_t end) const;
  std::size_t size() const { return size_; }
  const Ranges& ranges() const { return ranges_; }

 private:
  /// The end of the range that holds the index, or the index itself if none does.
  std::uint32_t endAt(std::uint32_t index) const;

  Ranges ranges_;
  std::size_t size_ = 0;
};

}  // namespace tulip::jobs
