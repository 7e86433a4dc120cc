#pragma once
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace tulip {

void openLedger(const std::string& who);
void note(const std::string& text);
void alarm(const std::string& text);
std::vector<std::string> ledgerLines();

}  // namespace tulip
