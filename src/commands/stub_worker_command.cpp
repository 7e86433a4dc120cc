#include <tclap/CmdLine.h>

#include <csignal>
#include <fstream>
#include <iostream>

#include "base/settings.hpp"
#include "commands/commands.hpp"
#include "commands/stub_worker.hpp"
#include "daemon/daemon.hpp"
#include "http/http.hpp"

namespace tulip::commands {
namespace asio = boost::asio;

namespace {

Millis steadyMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

struct Quayside {
  asio::io_context context;
  asio::steady_timer pulse{context};
  Worker worker;
  Address agent;
  bool calling = false;
  Millis callAgainMs = 0;
  bool leaveWhenIdle = false;
  Millis leaveByMs = 0;
  std::ofstream journal;

  void writeJournal() {
    for (const auto& line : worker.journal)
      if (journal)
        journal << steadyMs() << " " << worker.traits.name << " " << worker.incarnation << " " << line << "\n";
    journal.flush();
    worker.journal.clear();
  }

  // A process can't see the other members of a gang: each works and ends by itself.
  bool gangsByThemselves() {
    std::vector<std::string> done;
    for (const auto& [run, running] : worker.running) {
      if (running.gang.empty() || running.stopping) continue;
      if (running.waits)
        gangWhole(worker, run, 1.0, steadyMs());
      else if (running.workDone && !running.fails)
        done.push_back(run);
    }
    for (const auto& run : done) gangDone(worker, run, steadyMs());
    return !done.empty();
  }

  void call() {
    calling = true;
    http::CallOut out;
    out.to = agent;
    out.method = "POST";
    out.target = "/worker/report";
    const auto sentMs = steadyMs();
    out.body = nextReport(worker, sentMs);
    out.deadlineMs = 2000;
    http::callHttp(context, std::move(out), [this, sentMs, number = worker.report](const http::CallReply& reply) {
      if (number != worker.report) {
        if (reply.status == 200) heardAnswer(worker, reply.body, sentMs, steadyMs());
        return;
      }
      workerTick(worker, steadyMs());
      if (reply.status == 200) heardAnswer(worker, reply.body, sentMs, steadyMs());
      writeJournal();
      calling = false;
      if (reply.status != 200)
        callAgainMs = steadyMs() + 50;
      else if (steadyMs() >= worker.callAtMs)
        call();
      else
        callAgainMs = worker.callAtMs;
    });
  }

  void heartbeat() {
    pulse.expires_after(std::chrono::milliseconds(5));
    pulse.async_wait([this](boost::system::error_code) {
      bool news = workerTick(worker, steadyMs());
      news = gangsByThemselves() || news;
      writeJournal();
      if ((!calling && steadyMs() >= callAgainMs) || news) call();
      if (worker.leaving &&
          ((leaveWhenIdle && worker.running.empty() && worker.ended.empty()) || steadyMs() >= leaveByMs))
        return context.stop();
      heartbeat();
    });
  }
};

}  // namespace

int runStubWorker(int argc, char** argv) {
  Quayside side;
  try {
    TCLAP::CmdLine line("stand-in worker", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> agent("", "agent", "the agent's http address", true, "", "IP:PORT", line);
    TCLAP::ValueArg<std::string> worker("", "worker", "this worker's name", true, "", "NAME", line);
    TCLAP::ValueArg<std::string> pool("", "pool", "the pool it belongs to", false, "side", "NAME", line);
    TCLAP::ValueArg<int> slots("", "slots", "how many slots it has", false, 8, "N", line);
    TCLAP::MultiArg<std::string> capacity("", "room", "further room it has", false, "KIND=AMOUNT", line);
    TCLAP::MultiArg<std::string> label("", "label", "a label, such as rack or kind", false, "NAME=VALUE", line);
    TCLAP::ValueArg<double> slow("", "slow", "how many times longer its runs take", false, 1.0, "FACTOR", line);
    TCLAP::ValueArg<int> failEvery("", "fail-every", "every Nth run fails", false, 0, "N", line);
    TCLAP::ValueArg<std::string> journal("", "journal", "file for its own history of starts and ends", false, "",
                                         "FILE", line);
    TCLAP::SwitchArg stays("", "no-self-stop", "goes on when unheard past its term", line);
    line.setExceptionHandling(false);
    line.parse(argc, argv);
    if (!validAddress(agent.getValue()) || slots.getValue() < 1) {
      std::cerr << "flags: agent, slots: allowed is an IP number and a port, and at least 1 slot" << std::endl;
      return rowOf(Kind::badSettings).exitCode;
    }
    side.agent = Address(agent.getValue());
    auto& traits = side.worker.traits;
    traits.name = worker.getValue();
    traits.pool = pool.getValue();
    traits.slots = slots.getValue();
    traits.selfStop = !stays.getValue();
    traits.slowFactor = slow.getValue();
    traits.failEvery = failEvery.getValue();
    for (const auto& text : label.getValue()) {
      const auto equals = text.find('=');
      if (equals == 0 || equals == std::string::npos) throw TCLAP::ArgException("allowed is NAME=VALUE", "label");
      traits.labels[text.substr(0, equals)] = text.substr(equals + 1);
    }
    for (const auto& text : capacity.getValue()) {
      const auto equals = text.find('=');
      const auto amount = equals == std::string::npos ? 0 : std::atoll(text.c_str() + equals + 1);
      if (equals == 0 || amount < 1)
        throw TCLAP::ArgException("allowed is KIND=AMOUNT, an amount of 1 or more", "room");
      traits.capacity[text.substr(0, equals)] = amount;
    }
    side.worker.incarnation = daemon::freshName();
    if (!journal.getValue().empty()) side.journal.open(journal.getValue(), std::ios::app);
  } catch (const TCLAP::ArgException& failed) {
    std::cerr << "flags: " << failed.argId() << ": " << failed.error() << std::endl;
    return rowOf(Kind::badSettings).exitCode;
  }
  asio::signal_set polite(side.context, SIGTERM, SIGINT);
  polite.async_wait([&](boost::system::error_code failed, int) {
    if (failed) return;
    side.worker.leaving = true;
    side.leaveWhenIdle = true;
    side.leaveByMs = steadyMs() + 3000;
    side.worker.leavesAtMs = side.leaveByMs;
  });
  side.heartbeat();
  side.call();
  side.context.run();
  return 0;
}

}  // namespace tulip::commands
