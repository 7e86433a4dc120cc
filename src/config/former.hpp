#pragma once
#include <map>
#include <string>

#include "base/json.hpp"
#include "base/types.hpp"

/// Keeps, in a configuration's section "former", the definitions that an edit takes away from accepted work: of each
/// removed pool the last one, and of each queue that was ever moved the pool that it was last sent to.
namespace tulip::config {

/// What of a configuration's text an edit may take away.
struct Definitions {
  std::map<std::string, std::string> queuePools;  // by queue
  Json pools;
  Json former;
};

Definitions definitionsOf(const json_t* text);

/// Writes the section "former" of the text that an edit made as `version`; whatever the edit says of it is dropped.
void keepFormer(Definitions before, Version version, json_t* next);

}  // namespace tulip::config
