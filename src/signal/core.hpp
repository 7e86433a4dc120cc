#pragma once
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "bearing/errors.hpp"
#include "signal/messages.hpp"

namespace tulip::signal {

struct Now {
  Millis steadyMs = 0;
};

struct Heard {
  DaemonId fromId;
  Address from;
  Message message;
};

struct Ask {
  std::uint64_t transaction = 0;
  std::string method;
  std::string path;
  std::string query;
  std::string body;
  std::string transactionName;
  Millis cutoffMs = 0;
  int hops = 0;
};

struct Persisted {
  std::uint64_t ticket = 0;
  bool ok = true;
};

struct Tick {};
struct PoliteStop {};

using Event = std::variant<Heard, Ask, Persisted, Tick, PoliteStop>;

struct Send {
  Address to;
  Message message;
};

struct Answer {
  std::uint64_t transaction = 0;
  int status = 200;
  Millis retryMs = 0;
  std::string body;
};

struct Proxy {
  std::uint64_t transaction = 0;
  Address http;
};

struct DiskEntry {
  std::string kind;
  Entry entry;
  MSGPACK_DEFINE(kind, entry)
};

struct Persist {
  std::uint64_t ticket = 0;
  std::vector<DiskEntry> entries;
};

struct Outbox {
  std::vector<Send> sends;
  std::vector<Answer> answers;
  std::vector<Proxy> proxies;
  std::vector<Persist> persists;
  std::vector<std::string> alarms;
  bool done = false;

  void send(const Address& to, Message message) { sends.push_back({to, std::move(message)}); }
  void answer(std::uint64_t transaction, int status, std::string body, Millis retryMs = 0) {
    answers.push_back({transaction, status, retryMs, std::move(body)});
  }
};

using Step = std::function<void(const Event&, Now, Outbox&)>;

}  // namespace tulip::signal
