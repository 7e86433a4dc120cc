// The cases of the review that are scripts: standin CASE, with TROUBLE=0 in the environment for the same without the
// disruption. Exit code 1: a rule was broken; 0: it held; 2: the case could not run.
#include <cstdio>
#include <cstdlib>
#include <string>

#include "cases.hpp"

int main(int count, char** words) {
  const std::string name = count > 1 ? words[1] : "";
  const char* setting = std::getenv("TROUBLE");
  const bool trouble = !setting || std::string(setting) != "0";
  for (const auto& one : review::cases())
    if (one.name == name) return one.play(trouble);
  std::fprintf(stderr, "no such case: %s\n", name.c_str());
  return 2;
}
