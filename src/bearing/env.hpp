#pragma once
#include <map>
#include <string>
#include <vector>

#include "bearing/types.hpp"

namespace tulip {

struct Bounds {
  Millis termMs = 1500;
  Millis workerTermMs = 2000;
  Millis stopMs = 5000;
  Millis callMs = 5000;

  Millis beatMs() const { return termMs / 5; }
  Millis reportMs() const { return workerTermMs / 8; }
  Millis longPollMs() const { return workerTermMs / 4; }
  Millis freshMs() const { return workerTermMs / 2; }
  Millis sureMs(std::int64_t terms) const { return terms * (workerTermMs + workerTermMs / 10); }
  Millis lapseMs() const { return 2 * termMs + termMs / 10; }
};

struct Env {
  Role role = Role::pilot;
  std::string name;
  Address signal;
  Address http;
  CellName cell;
  std::vector<Address> seeds;
  std::string dataFolder;
  std::string envFile;
  std::string worker;
  Bounds bounds;
  std::size_t ringItems = 4096;
  std::size_t maxBodyBytes = 1 << 20;
};

struct EnvFault {
  std::string source;
  std::string key;
  std::string allowed;
};

using EnvFlags = std::map<std::string, std::string>;

const std::vector<std::string>& envKeys();
bool readEnv(Role role, const EnvFlags& flags, Env& env, EnvFault& fault);
std::string faultLine(const EnvFault& fault);
bool validAddress(std::string_view text);

}  // namespace tulip
