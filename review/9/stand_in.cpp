// Stand-ins for the scripts of review/9 and on: a worker that does what PROTOCOL.md says, one HTTP call of a client or
// operator, and a look for free ports. Every address is a loopback address.
#include <arpa/inet.h>
#include <jansson.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace {

using Millis = long long;

Millis steadyMs() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}

Millis wallMs() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

using Options = std::map<std::string, std::string>;

std::string optionOr(const Options& options, const std::string& name, const std::string& usual) {
  const auto found = options.find(name);
  return found == options.end() ? usual : found->second;
}

Millis numberOr(const Options& options, const std::string& name, Millis usual) {
  const auto found = options.find(name);
  return found == options.end() ? usual : std::atoll(found->second.c_str());
}

bool fillAddress(const std::string& text, sockaddr_in& address) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos || text.rfind("127.", 0) != 0) return false;
  address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<unsigned short>(std::atoi(text.c_str() + colon + 1)));
  return inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) == 1;
}

struct Reply {
  int status = 0;  // 0: no complete answer in time
  std::string body;
  std::string why;
  std::size_t arrived = 0;  // bytes of the body that had arrived
};

/// One call on its own connection. An answer that is not complete at the deadline is none.
Reply call(const std::string& to, const std::string& method, const std::string& path, const std::string& headers,
           const std::string& body, Millis timeoutMs) {
  Reply reply;
  sockaddr_in address;
  if (!fillAddress(to, address)) {
    reply.why = "no loopback address";
    return reply;
  }
  const Millis until = steadyMs() + timeoutMs;
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const auto done = [&](std::string why) {
    close(handle);
    reply.why = std::move(why);
    return reply;
  };
  const auto ready = [&](short what) {
    pollfd wait{handle, what, 0};
    const Millis left = until - steadyMs();
    return left > 0 && poll(&wait, 1, static_cast<int>(left)) == 1;
  };
  if (connect(handle, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    if (errno != EINPROGRESS || !ready(POLLOUT)) return done("no connection");
    int failed = 0;
    socklen_t size = sizeof failed;
    getsockopt(handle, SOL_SOCKET, SO_ERROR, &failed, &size);
    if (failed != 0) return done("no connection");
  }
  std::string out = method + " " + path + " HTTP/1.1\r\n";
  if (headers.find("Host:") == std::string::npos) out += "Host: " + to + "\r\n";
  out += headers;
  if (!body.empty()) out += "Content-Type: application/json\r\n";
  out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  for (std::size_t at = 0; at < out.size();) {
    const auto wrote = send(handle, out.data() + at, out.size() - at, MSG_NOSIGNAL);
    if (wrote > 0)
      at += static_cast<std::size_t>(wrote);
    else if (errno != EAGAIN || !ready(POLLOUT))
      return done("not sent");
  }
  std::string in;
  std::vector<char> piece(1 << 16);
  std::size_t head = std::string::npos, length = 0;
  for (;;) {
    if (!ready(POLLIN)) return done("silence");
    const auto got = recv(handle, piece.data(), piece.size(), 0);
    if (got < 0 && errno == EAGAIN) continue;
    if (got <= 0) return done("cut");
    in.append(piece.data(), static_cast<std::size_t>(got));
    if (head == std::string::npos) {
      head = in.find("\r\n\r\n");
      if (head == std::string::npos) continue;
      std::string lower = in.substr(0, head);
      std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) { return std::tolower(c); });
      const auto field = lower.find("content-length:");
      length = field == std::string::npos ? 0 : static_cast<std::size_t>(std::atoll(lower.c_str() + field + 15));
    }
    reply.arrived = in.size() - head - 4;
    if (reply.arrived < length) continue;
    reply.status = std::atoi(in.c_str() + in.find(' ') + 1);
    reply.body = in.substr(head + 4, length);
    return done({});
  }
}

// A worker. Its tasks take `work=MS` of their text, or the usual time; with `lasts` in it they go on until stopped, with
// `saves` they have a checkpoint of 16 characters once they have worked for checkpoint_s, with `saves=N` one of N, with
// `binary` one whose first character is U+0000.

constexpr std::size_t kMostAnswerBytes = 4u << 20;  // "holds 4 MiB at most"
constexpr Millis kAnswerWithinMs = 1000;            // "if it comes within a second"
constexpr std::size_t kMostEndsListed = 500;        // "500 at once"
constexpr Millis kCheckpointMs = 2000;
constexpr Millis kAfterEndMs = 50;                  // "50 ms after an end"

struct Run {
  std::int64_t attempt = 0;
  Millis startedMs = 0;
  Millis workMs = 0;  // 0: lasts
  std::string saved;
  std::string checkpoint;  // what it will have saved; empty: it saves nothing
};

struct End {
  std::int64_t number = 0;
  std::string task;
  std::int64_t attempt = 0;
  std::string how;
  std::string saved;
};

json_t* textOf(const std::string& text) { return json_stringn(text.data(), text.size()); }

struct Worker {
  Options options;
  std::string id, control;
  std::FILE* log = stdout;
  std::int64_t calls = 0, ends = 0, fence = 0;
  Millis holdUntilMs = 0, bornMs = steadyMs();
  std::map<std::string, Run> running;
  std::map<std::string, std::int64_t> over;  // the highest run of a task that was stopped or has ended here
  std::deque<End> ended;

  void say(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    std::fprintf(log, "%lld %s ", wallMs(), id.c_str());
    va_list args;
    va_start(args, format);
    std::vfprintf(log, format, args);
    va_end(args);
    std::fputc('\n', log);
    std::fflush(log);
  }

  void end(const std::string& task, std::int64_t attempt, const std::string& how, const std::string& saved = {}) {
    ended.push_back({++ends, task, attempt, how, saved});
    over[task] = std::max(over[task], attempt);
    say("end %s %lld %s", task.c_str(), static_cast<long long>(attempt), how.c_str());
  }

  /// Ends what is due by now. True: something ended.
  bool goOn() {
    const auto before = ends;
    const Millis now = steadyMs();
    const bool lapsed = now > holdUntilMs;
    for (auto at = running.begin(); at != running.end();) {
      const bool done = at->second.workMs > 0 && now - at->second.startedMs >= at->second.workMs;
      if (!lapsed && !done) {
        ++at;
        continue;
      }
      end(at->first, at->second.attempt, done ? "done" : "lapsed", done ? std::string() : at->second.saved);
      at = running.erase(at);
    }
    return ends != before;
  }

  std::string beat() {
    json_t* root = json_object();
    const auto text = [&](const char* key, const std::string& value) {
      json_object_set_new(root, key, json_string(value.c_str()));
    };
    text("backend", optionOr(options, "backend", "boxes"));
    text("address", optionOr(options, "address", "127.0.0.1:9"));
    text("zone", optionOr(options, "zone", "z-a"));
    text("version", "v1");
    text("phase", "ready");
    json_object_set_new(root, "slots", json_integer(8));
    json_object_set_new(root, "cold_left_ms", json_integer(0));
    json_object_set_new(root, "clock_ms", json_integer(steadyMs() - bornMs));
    json_object_set_new(root, "call_count", json_integer(++calls));
    json_object_set_new(root, "capacity",
                        json_pack("{s:I,s:I,s:i}", "cpu", static_cast<json_int_t>(numberOr(options, "cpu", 16000)),
                                  "mem_mb", static_cast<json_int_t>(numberOr(options, "mem", 65536)), "gpu", 0));
    json_object_set_new(root, "labels",
                        json_pack("[s,s]", optionOr(options, "kind", "a").c_str(),
                                  optionOr(options, "rack", "r1-1").c_str()));
    json_t* runs = json_array();
    for (auto& [task, run] : running) {
      if (steadyMs() - run.startedMs >= kCheckpointMs && !run.checkpoint.empty()) run.saved = run.checkpoint;
      const auto percent = run.workMs > 0 ? std::min<Millis>(99, 100 * (steadyMs() - run.startedMs) / run.workMs) : 0;
      json_array_append_new(runs, json_pack("[s,I,o,I]", task.c_str(), static_cast<json_int_t>(run.attempt),
                                            textOf(run.saved), static_cast<json_int_t>(percent)));
    }
    json_object_set_new(root, "running", runs);
    json_t* list = json_array();
    for (std::size_t i = 0; i < std::min(ended.size(), kMostEndsListed); ++i)
      json_array_append_new(list, json_pack("[I,s,I,s,o]", static_cast<json_int_t>(ended[i].number),
                                            ended[i].task.c_str(), static_cast<json_int_t>(ended[i].attempt),
                                            ended[i].how.c_str(), textOf(ended[i].saved)));
    json_object_set_new(root, "ended", list);
    char* raw = json_dumps(root, JSON_COMPACT);
    std::string body = raw;
    free(raw);
    json_decref(root);
    return body;
  }

  static std::string textAt(const json_t* list, std::size_t at) {
    const json_t* found = json_array_get(list, at);
    return found ? std::string(json_string_value(found), json_string_length(found)) : std::string();
  }

  void start(const json_t* each) {
    const auto task = textAt(each, 0), spec = textAt(each, 2);
    const std::int64_t attempt = json_integer_value(json_array_get(each, 1));
    const auto known = running.find(task);
    if (known != running.end() && known->second.attempt >= attempt) return;
    if (const auto before = over.find(task); before != over.end() && before->second >= attempt)
      return end(task, attempt, "refused");
    Run run{attempt, steadyMs(), numberOr(options, "work", 500), textAt(each, 3), {}};
    if (const auto at = spec.find("work="); at != std::string::npos) run.workMs = std::atoll(spec.c_str() + at + 5);
    if (spec.find("lasts") != std::string::npos) run.workMs = 0;
    if (spec.find("saves") != std::string::npos) run.checkpoint = "00000bb87a21d94b";
    if (const auto at = spec.find("saves="); at != std::string::npos)
      run.checkpoint = std::string(static_cast<std::size_t>(std::atoll(spec.c_str() + at + 6)), 'x');
    if (spec.find("binary") != std::string::npos) run.checkpoint = std::string("\0checkpoint", 11);
    running[task] = run;
    say("start %s %lld", task.c_str(), static_cast<long long>(attempt));
  }

  void stop(const json_t* each) {
    const auto task = textAt(each, 0);
    const std::int64_t attempt = json_integer_value(json_array_get(each, 1));
    over[task] = std::max(over[task], attempt);
    const auto found = running.find(task);
    if (found == running.end() || found->second.attempt != attempt) return;
    end(task, attempt, "stopped", found->second.saved);
    running.erase(found);
  }

  /// Returns after how long the next beat goes out.
  Millis obey(const json_t* answer, Millis sentMs) {
    const Millis again = std::max<Millis>(1, json_integer_value(json_object_get(answer, "retry_in_ms")));
    const auto theirs = json_integer_value(json_object_get(answer, "fence"));
    const Millis seen = json_integer_value(json_object_get(answer, "last_seen"));
    if (theirs < fence) return again;
    fence = theirs;
    while (!ended.empty() && ended.front().number <= seen) ended.pop_front();
    const Millis hold = json_integer_value(json_object_get(answer, "hold_ms"));
    const Millis most = numberOr(options, "hold-max", 6000);
    if (hold > 0) holdUntilMs = std::max(holdUntilMs, sentMs + std::min(hold, most));
    std::size_t at;
    json_t* each;
    json_array_foreach(json_object_get(answer, "stop"), at, each) stop(each);
    if (hold > 0) json_array_foreach(json_object_get(answer, "start"), at, each) start(each);
    return again;
  }

  void work() {
    const Millis until = steadyMs() + 1000 * numberOr(options, "for-s", 115);
    Millis nextMs = 0;
    while (steadyMs() < until) {
      if (goOn()) nextMs = std::min(nextMs, steadyMs() + kAfterEndMs);
      if (steadyMs() < nextMs) {
        usleep(5000);
        continue;
      }
      const auto body = beat();
      const Millis sentMs = steadyMs();
      const auto reply = call(control, "POST", "/api/Servers.Heartbeat/" + id, "", body, kAnswerWithinMs);
      nextMs = steadyMs() + 200;
      if (reply.status < 200 || reply.status > 299) {
        say("beat %lld not acknowledged: status %d %s, %zu bytes had come", static_cast<long long>(calls), reply.status,
            reply.why.c_str(), reply.arrived);
        continue;
      }
      if (reply.body.size() > kMostAnswerBytes) {
        say("beat %lld not acknowledged: its answer holds %zu bytes", static_cast<long long>(calls), reply.body.size());
        continue;
      }
      if (json_t* answer = json_loadb(reply.body.data(), reply.body.size(), JSON_ALLOW_NUL, nullptr)) {
        nextMs = steadyMs() + obey(answer, sentMs);
        json_decref(answer);
      }
    }
  }
};

int runWorker(const Options& options) {
  Worker worker;
  worker.options = options;
  worker.id = optionOr(options, "id", "i-1");
  worker.control = optionOr(options, "control", "");
  if (const auto file = optionOr(options, "log", ""); !file.empty()) worker.log = std::fopen(file.c_str(), "a");
  if (!worker.log) return 2;
  worker.work();
  return 0;
}

std::string readFile(const std::string& name) {
  std::string all;
  if (std::FILE* file = std::fopen(name.c_str(), "r")) {
    char piece[65536];
    for (std::size_t got; (got = std::fread(piece, 1, sizeof piece, file)) > 0;) all.append(piece, got);
    std::fclose(file);
  }
  return all;
}

/// Prints the status, and the body behind it. 0 stands for no answer.
int runCall(const Options& options) {
  std::string headers;
  for (const char* name : {"Host", "Based-On", "Time-Left-Ms", "Authorization"})
    if (options.contains(name)) headers += std::string(name) + ": " + options.at(name) + "\r\n";
  auto body = optionOr(options, "body", "");
  if (options.contains("body-file")) body = readFile(options.at("body-file"));
  const auto reply = call(optionOr(options, "to", ""), optionOr(options, "method", "GET"),
                          optionOr(options, "path", "/"), headers, body, numberOr(options, "timeout", 3000));
  std::printf("%d %s\n", reply.status, reply.status ? reply.body.c_str() : reply.why.c_str());
  return 0;
}

/// Prints the first of `count` ports in a row that are free at all loopback addresses of a small deployment.
int findPorts(const Options& options) {
  const auto count = numberOr(options, "count", 20);
  for (int tries = 0; tries < 200; ++tries) {
    const int first = 20000 + static_cast<int>((getpid() * 37 + tries * 101 + steadyMs()) % 11000);
    bool free = true;
    for (int port = first; free && port < first + count; ++port) {
      const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      sockaddr_in any{};
      any.sin_family = AF_INET;
      any.sin_port = htons(static_cast<unsigned short>(port));
      any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
      free = bind(handle, reinterpret_cast<sockaddr*>(&any), sizeof any) == 0;
      close(handle);
    }
    if (!free) continue;
    std::printf("%d\n", first);
    return 0;
  }
  return 2;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  Options options;
  for (int i = 2; i + 1 < argc; i += 2) options[std::string(argv[i]).substr(2)] = argv[i + 1];
  const std::string what = argc > 1 ? argv[1] : "";
  if (what == "worker") return runWorker(options);
  if (what == "call") return runCall(options);
  if (what == "ports") return findPorts(options);
  std::fprintf(stderr, "worker | call | ports, each with --NAME VALUE\n");
  return 2;
}
