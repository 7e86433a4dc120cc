#pragma once
#include <string>
#include <vector>

namespace review {

struct Case {
  std::string name;
  int (*play)(bool trouble);
};

std::vector<Case> cases();

}  // namespace review
