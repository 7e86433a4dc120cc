#pragma once
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace tulip {

void openLedger(const std::string& who);
void note(std::string text);
void alarm(std::string text);
std::vector<std::string> ledgerLines();

}  // namespace tulip
