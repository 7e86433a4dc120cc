// What the cases have in common: configurations, jobs and ids.
#pragma once
#include <string>
#include <vector>

namespace review {

struct Queue {
  std::string name;
  int rank = 0;
  int tries = 3;
  int targetMs = 1000;
  double stretch = 2;
};

std::string configOf(const std::vector<Queue>& queues, int version = 1);
std::string routeOf(const Queue& queue);
// One stage; the text tells a worker: its work in ms, the members of its gang, its thousandths of a core.
std::string jobOf(int count, int cpu, int memMb, int estimateMs, const std::string& text, bool together,
                  const std::string& more = "");
std::string idOf(int kind, int number);  // 16 hex digits

int starve(bool trouble);
int firstBoot(bool trouble);
int bulk(bool trouble);
int timed(bool trouble);

}  // namespace review
