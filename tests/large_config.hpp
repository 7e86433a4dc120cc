#pragma once
/// Configurations that are large beside one change of them.
#include <string>

namespace tulip::fixture {

/// A configuration of that many queues, each of some 300 bytes.
inline std::string manyLines(int count) {
  std::string body = R"({"pendings":{)";
  for (int i = 0; i < count; ++i)
    body +=
        (i ? "," : "") + std::string("\"line-") + std::to_string(i) + R"(":{"host":"h.example","prefix":"/p)" +
        std::to_string(i) +
        R"(/","aimMs":2000,"stretch":2.2,"rank":-1,"asSent":{"name":"r-a3hwrr6","hostname":"h.example","path_prefix":"/p)" +
        std::to_string(i) +
        R"(/","route_kind":"unsafe","timeout_ms":3000,"target_ms":2000,"rank":1,"backend":"pool-a","tries":4,"stretch":2.2}})";
  return body + "}}";
}

}  // namespace tulip::fixture
