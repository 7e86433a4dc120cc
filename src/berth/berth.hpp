#pragma once
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "bearing/types.hpp"
#include "chart/chart.hpp"

namespace tulip::berth {

struct Room {
  std::int64_t slots = 0;
  std::map<std::string, std::int64_t> more;
  bool operator==(const Room&) const = default;
  MSGPACK_DEFINE(slots, more)
};

bool fits(const Room& need, const Room& free);
void add(Room& into, const Room& room);
void take(Room& from, const Room& room);

using Labels = std::map<std::string, std::string>;

struct Berth {
  WorkerId worker;
  CellName cell;
  PoolName pool;
  Labels labels;
  Room total;
  bool usable = true;
  int doubt = 0;
};

struct Need {
  std::size_t task = 0;
  Room room;
  Labels labels;
  WorkerId avoid = {};
};

bool suits(const Need& need, const Berth& berth);

using Match = std::vector<std::size_t>;
std::optional<Match> match(std::span<const Need> needs, std::span<const Berth> berths, std::vector<Room>& free,
                           chart::Layout layout);
bool couldEverFit(std::span<const Need> needs, const chart::Chart& chart);

}  // namespace tulip::berth
