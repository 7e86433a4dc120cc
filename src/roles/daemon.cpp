#include "roles/daemon.hpp"

#include <csignal>
#include <iostream>
#include <random>
#include <thread>

#include "bearing/ledger.hpp"
#include "bearing/ring.hpp"
#include "gangway/http.hpp"
#include "hold/disk.hpp"
#include "roles/node.hpp"
#include "signal/wire.hpp"

namespace tulip::roles {
namespace asio = boost::asio;
using namespace signal;

namespace {

Now steadyNow() {
  return {std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count()};
}

struct Berthed {
  Env env;
  EnvFlags flags;
  DaemonId id;
  asio::io_context context;
  Ring<Event> events;
  Ring<Persist> writes;
  hold::Disk disk;
  std::unique_ptr<Wire> wire;
  std::unique_ptr<gangway::HttpServer> server;
  std::atomic<bool> over{false};

  Berthed(Env given, EnvFlags from) : env(std::move(given)), flags(std::move(from)), events(env.ringItems), writes(env.ringItems) {}
};

void diskDuty(Berthed& daemon) {
  while (!daemon.writes.closed()) {
    auto batch = daemon.writes.take(daemon.env.ringItems);
    if (batch.empty()) continue;
    std::vector<DiskEntry> entries;
    for (auto& persist : batch)
      entries.insert(entries.end(), std::make_move_iterator(persist.entries.begin()), std::make_move_iterator(persist.entries.end()));
    std::string said;
    while (auto failed = hold::writeDelta(daemon.disk, entries)) {
      const auto text = "disk: " + failed.message() + " " + daemon.disk.detail;
      if (text != said) alarm(text);
      said = text;
      if (daemon.writes.closedWithin(std::chrono::milliseconds(daemon.env.bounds.beatMs()))) return;
    }
    for (const auto& persist : batch) daemon.events.push(Persisted{persist.ticket, true});
  }
}

void dispatch(Berthed& daemon, Outbox&& out) {
  for (auto& persist : out.persists) {
    const auto ticket = persist.ticket;
    if (!daemon.writes.offer(std::move(persist))) daemon.events.offer(Persisted{ticket, false});
  }
  for (auto& text : out.alarms) alarm(std::move(text));
  if (out.sends.empty() && out.answers.empty() && out.proxies.empty()) return;
  asio::post(daemon.context, [&daemon, sends = std::move(out.sends), answers = std::move(out.answers),
                              proxies = std::move(out.proxies)]() mutable {
    for (auto& send : sends) daemon.wire->send(send.to, std::move(send.message));
    for (const auto& answer : answers) daemon.server->answer(answer);
    for (const auto& proxy : proxies) daemon.server->proxy(proxy);
  });
}

void coreDuty(Berthed& daemon, Node& node) {
  const auto tick = std::chrono::milliseconds(std::max<Millis>(1, daemon.env.bounds.termMs / 300));
  auto nextTick = std::chrono::steady_clock::now();
  while (!daemon.over) {
    auto events = daemon.events.takeUntil(nextTick);
    Outbox out;
    for (const auto& event : events) nodeStep(node, event, steadyNow(), out);
    if (std::chrono::steady_clock::now() >= nextTick) {
      nodeStep(node, Tick{}, steadyNow(), out);
      nextTick = std::chrono::steady_clock::now() + tick;
    }
    const bool done = out.done;
    dispatch(daemon, std::move(out));
    if (done) {
      daemon.over = true;
      asio::post(daemon.context, [&daemon] { daemon.context.stop(); });
    }
  }
}

void reload(Berthed& daemon) {
  Env next;
  EnvFault fault;
  if (!readEnv(daemon.env.role, daemon.flags, next, fault)) return alarm("settings kept as they were: " + faultLine(fault));
  std::string fixed;
  auto differs = [&](bool same, const char* key) {
    if (!same) fixed += (fixed.empty() ? "" : ", ") + std::string(key);
  };
  const auto& now = daemon.env;
  differs(next.signal == now.signal, "signal");
  differs(next.http == now.http, "http");
  differs(next.cell == now.cell, "cell");
  differs(next.seeds == now.seeds, "seeds");
  differs(next.worker == now.worker, "worker");
  differs(next.dataFolder == now.dataFolder, "data-folder");
  differs(next.bounds.termMs == now.bounds.termMs, "term-ms");
  differs(next.bounds.workerTermMs == now.bounds.workerTermMs, "worker-term-ms");
  differs(next.ringItems == now.ringItems, "ring-items");
  differs(next.maxBodyBytes == now.maxBodyBytes, "max-body-bytes");
  if (!fixed.empty()) alarm("settings that need a restart to change: " + fixed);
  daemon.env.bounds.callMs = next.bounds.callMs;
  daemon.env.bounds.stopMs = next.bounds.stopMs;
  daemon.server->rebound(daemon.env.bounds);
  note("settings read again");
}

}  // namespace

std::string freshName() {
  std::random_device device;
  char text[33];
  std::snprintf(text, sizeof text, "%08x%08x", device(), device());
  return text;
}

int runDaemon(Role role, const EnvFlags& flags) {
  Env env;
  EnvFault fault;
  if (!readEnv(role, flags, env, fault)) {
    std::cerr << faultLine(fault) << std::endl;
    return rowOf(Kind::badEnv).exitCode;
  }
  Berthed daemon(env, flags);
  const std::string incarnation = freshName();
  daemon.id = DaemonId(std::string(roleName(role)) + "-" + (env.name.empty() ? "" : env.name + "-") + incarnation);
  if (role == Role::quay) {
    if (auto failed = hold::openDisk(daemon.disk, env.dataFolder, daemon.id)) {
      std::cerr << env.dataFolder << ": " << failed.message() << ": " << daemon.disk.detail
                << "; empty the folder to rejoin as a new quay" << std::endl;
      return rowOf(Kind::tornFile).exitCode;
    }
    daemon.id = daemon.disk.image.id;
  }
  openLedger(std::string(roleName(role)) + (env.name.empty() ? "" : " " + env.name));
  Node node = makeNode(env, daemon.id, incarnation, daemon.disk.image, steadyNow());
  daemon.wire = std::make_unique<Wire>(
      daemon.context, env.signal, daemon.id,
      [&daemon](Frame&& frame) { daemon.events.offer(Heard{std::move(frame.fromId), std::move(frame.from), std::move(frame.message)}); },
      [](std::string text) { alarm(std::move(text)); });
  daemon.server = std::make_unique<gangway::HttpServer>(daemon.context, env.http, env.bounds, env.maxBodyBytes,
                                                        [&daemon](Ask&& ask) { return daemon.events.offerWithin(std::move(ask), daemon.env.ringItems / 4); });
  try {
    daemon.wire->listen();
    daemon.server->listen();
  } catch (const std::exception& failed) {
    std::cerr << "cannot listen on " << env.signal.value << " and " << env.http.value << ": " << failed.what() << std::endl;
    return rowOf(Kind::badEnv).exitCode;
  }
  asio::signal_set polite(daemon.context, SIGTERM, SIGINT), again(daemon.context, SIGHUP);
  asio::steady_timer hard(daemon.context);
  bool asked = false;
  std::function<void(boost::system::error_code, int)> onPolite = [&](boost::system::error_code failed, int) {
    if (failed) return;
    if (asked) {
      daemon.over = true;
      daemon.context.stop();
      return;
    }
    asked = true;
    daemon.events.offer(PoliteStop{});
    hard.expires_after(std::chrono::milliseconds(daemon.env.bounds.stopMs));
    hard.async_wait([&](boost::system::error_code cancelled) {
      if (cancelled) return;
      daemon.over = true;
      daemon.context.stop();
    });
    polite.async_wait(onPolite);
  };
  polite.async_wait(onPolite);
  std::function<void(boost::system::error_code, int)> onAgain = [&](boost::system::error_code failed, int) {
    if (failed) return;
    reload(daemon);
    again.async_wait(onAgain);
  };
  again.async_wait(onAgain);
  std::thread core([&] { coreDuty(daemon, node); });
  std::thread disk;
  if (role == Role::quay) disk = std::thread([&] { diskDuty(daemon); });
  daemon.context.run();
  daemon.over = true;
  daemon.writes.close();
  daemon.events.close();
  core.join();
  if (disk.joinable()) disk.join();
  daemon.server->close();
  daemon.wire->close();
  daemon.context.restart();
  daemon.context.poll();
  return 0;
}

}  // namespace tulip::roles
