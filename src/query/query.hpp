#pragma once
#include <string>
#include <string_view>
#include <vector>

#include "base/errors.hpp"
#include "base/json.hpp"

namespace tulip::query {

struct Table {
  std::vector<std::string> columns;
  std::vector<std::vector<std::string>> rows;
};

struct Bounds {
  std::int64_t mostSteps = 50000000;
  std::size_t mostRows = 10000;
};

std::error_code query(const json_t* snapshot, std::string_view sql, Table& table, std::string& detail,
                      Bounds bounds = {});

}  // namespace tulip::query
