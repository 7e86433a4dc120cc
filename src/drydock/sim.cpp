#include "drydock/sim.hpp"

namespace tulip::drydock {

using namespace signal;

namespace {

std::string_view messageName(const Message& message) {
  constexpr std::string_view kNames[] = {"SessionBeat",   "SessionGrant", "RegisterPrepare", "RegisterPromise", "RegisterAccept", "RegisterAccepted", "RegisterChosen", "AckQuery",
                                         "AckState",      "RangePrepare", "RangePromise",    "RangeAccept",     "RangeAccepted",  "Resign",           "QuayBeat",       "Form",
                                         "CatchUpAsk",    "CatchUpGive",  "TenderReport",    "Orders",          "CallAsk",        "CallAnswer",       "Referral"};
  static_assert(std::size(kNames) == std::variant_size_v<Message>);
  return kNames[message.index()];
}

}  // namespace

std::string cellOf(const FleetPlan& fleet, int worker) { return std::string(1, static_cast<char>('a' + worker % fleet.cells)); }
std::string rackOf(const FleetPlan& fleet, int worker) {
  return "r" + cellOf(fleet, worker) + "-" + std::to_string(worker / fleet.cells / fleet.rackSize + 1);
}
std::string kindOf(const FleetPlan& fleet, int worker) { return "kind-" + std::to_string(worker % fleet.kinds + 1); }
std::string poolOf(const FleetPlan& fleet, int worker) { return fleet.sizedPool && fleet.kinds > 0 ? kindOf(fleet, worker) : "side"; }

Sim::Sim(std::uint64_t seed, FleetPlan given) : plan(std::move(given)), seed_(seed), random_(seed) {
  for (int i = 0; i < 3; ++i) seeds_.emplace_back("10.0.0." + std::to_string(i + 1) + ":7000");
  auto cell = [&](int i) { return cellOf(plan, i); };
  for (int i = 0; i < plan.quays; ++i) addHost(Role::quay, "quay-" + std::to_string(i + 1), cell(i));
  for (int i = 0; i < plan.pilots; ++i) addHost(Role::pilot, "pilot-" + std::to_string(i + 1), cell(i));
  for (int i = 0; i < plan.workers; ++i) {
    const auto number = std::to_string(i + 1);
    auto& tender = addHost(Role::tender, "tender-" + number, cell(i), "worker-" + number);
    hands_.push_back(std::make_unique<Hand>());
    auto& hand = *hands_.back();
    hand.tender = &tender;
    hand.worker.traits.name = "worker-" + number;
    hand.worker.traits.pool = poolOf(plan, i);
    hand.worker.traits.slots = plan.slots;
    hand.worker.traits.selfStop = plan.selfStop;
    hand.worker.traits.room = plan.room;
    hand.worker.traits.holdMostMs = plan.holdMostMs;
    hand.worker.traits.gangWaitMs = plan.bounds.gangWaitMs;
    hand.worker.traits.checkpointMs = plan.bounds.checkpointMs;
    hand.worker.traits.farFactor = plan.bounds.farFactor;
    if (plan.rackSize > 0) hand.worker.traits.labels["rack"] = rackOf(plan, i);
    if (plan.kinds > 0) hand.worker.traits.labels["kind"] = kindOf(plan, i);
    hand.clockRate = 1.0 - 0.0001 * static_cast<double>(std::stoul(roles::digestOf(std::to_string(seed) + number), nullptr, 16) % 200);
  }
  after(plan.handUs, [this] { gangTick(); });
}

std::int64_t Sim::below(std::int64_t bound) {
  return bound <= 1 ? 0 : static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(bound));
}
double Sim::unit() { return static_cast<double>(random_() >> 11) / 9007199254740992.0; }
bool Sim::chance(double odds) { return odds > 0 && unit() < odds; }

void Sim::mark(std::string_view text) {
  if (onMark) onMark(text);
  for (unsigned char c : text) trace_ = (trace_ ^ c) * 1099511628211ull;
  trace_ = (trace_ ^ static_cast<std::uint64_t>(now_)) * 1099511628211ull;
}

void Sim::at(Micros whenUs, std::function<void()> act) { due_.push({std::max(whenUs, now_), ++serial_, std::move(act)}); }

void Sim::runUntil(Micros untilUs) {
  while (!due_.empty() && due_.top().whenUs <= untilUs) {
    auto next = std::move(const_cast<Due&>(due_.top()));
    due_.pop();
    now_ = next.whenUs;
    ++events_;
    next.act();
  }
  now_ = std::max(now_, untilUs);
}

Now Sim::clock(const Host& host) const {
  return {static_cast<Millis>((static_cast<double>(now_) * host.clockRate + static_cast<double>(host.clockOffsetUs)) / 1000.0),
          wallMs() + host.wallOffsetMs};
}

bool Sim::troubled(Millis withinMs) const {
  if (now_ - troubleUs_ <= withinMs * 1000 || !cuts_.empty() || plan.sea.drop > 0 || plan.sea.late > 0) return true;
  const Micros since = std::max<Micros>(0, now_ - withinMs * 1000);
  for (const auto& host : hosts_)
    if ((!host->up && !host->gone) || host->frozenUntilUs > since || host->diskFails || host->syncUs > 5000) return true;
  for (const auto& hand : hands_) {
    const auto& traits = hand->worker.traits;
    if ((!hand->up && !hand->tender->gone) || hand->cut || hand->frozenUntilUs > since || traits.mute || traits.standsStill || traits.slowFactor > 1 || traits.failEvery > 0 ||
        traits.failShare > 0)
      return true;
  }
  return false;
}

Micros Sim::voyage() { return plan.sea.leastUs + below(plan.sea.mostUs - plan.sea.leastUs); }

Host& Sim::addHost(Role role, const std::string& name, const std::string& cell, const std::string& workerName) {
  hosts_.push_back(std::make_unique<Host>());
  auto& host = *hosts_.back();
  host.name = name;
  host.env.role = role;
  host.env.name = name;
  host.env.cell = CellName(cell);
  host.env.seeds = seeds_;
  host.env.bounds = plan.bounds;
  host.env.losses = plan.losses;
  host.env.worker = workerName;
  host.env.dataFolder = role == Role::quay ? "simulated" : "";
  const auto ip = "10.0." + std::to_string(addresses_ / 250) + "." + std::to_string(addresses_ % 250 + 1);
  ++addresses_;
  host.env.signal = Address(ip + ":7000");
  host.env.http = Address(ip + ":8000");
  host.clockOffsetUs = below(3600LL * 1000000);
  host.clockRate = 1.0 + (unit() - 0.5) * 0.0004;
  byName_[name] = &host;
  bySignal_[host.env.signal] = &host;
  byHttp_[host.env.http] = &host;
  return host;
}

void Sim::start(Host& host) {
  if (host.up) return;
  trouble();
  host.up = true;
  ++host.lives;
  host.frozenUntilUs = 0;
  host.wakeUs = -1;
  host.unsynced.clear();
  host.syncing = false;
  const auto incarnation = "i" + std::to_string(++names_);
  if (host.env.role == Role::quay) {
    if (host.disk.id.empty()) host.disk.id = DaemonId(host.name + "-" + incarnation);
    host.id = host.disk.id;
  } else {
    host.id = DaemonId(host.name + "-" + incarnation);
  }
  host.node = roles::makeNode(host.env, host.id, incarnation, host.disk, clock(host));
  mark("start " + host.name);
  const int life = host.lives;
  after(below(plan.tickUs), [this, &host, life] { tick(host, life); });
}

void Sim::crash(Host& host) {
  if (!host.up) return;
  mark("crash " + host.name);
  trouble();
  host.up = false;
  ++host.lives;
  host.held.clear();
  host.unsynced.clear();
  host.node.reset();
  auto asking = std::move(host.asking);
  host.asking.clear();
  host.askText.clear();
  std::vector<std::uint64_t> order;
  for (const auto& [transaction, done] : asking) order.push_back(transaction);
  std::sort(order.begin(), order.end());
  for (const auto transaction : order) after(voyage(), [done = asking[transaction]] { done({true, 0, 0, {}}); });
}

void Sim::freeze(Host& host, Micros spanUs) {
  if (!host.up) return;
  mark("freeze " + host.name);
  host.frozenUntilUs = now_ + spanUs;
  const int life = host.lives;
  after(spanUs, [this, &host, life] {
    if (!host.up || host.lives != life || now_ < host.frozenUntilUs) return;
    auto held = std::move(host.held);
    host.held.clear();
    for (auto& act : held) act();
  });
}

void Sim::loseDisk(Host& host) {
  mark("lose disk " + host.name);
  trouble();
  host.disk = hold::Image{};
}

void Sim::stopPolitely(Host& host) {
  trouble();
  if (host.up) give(host, PoliteStop{});
}

void Sim::cutOff(const Host& host) {
  for (const auto& other : hosts_) {
    if (other.get() == &host) continue;
    cut(host, *other);
    cut(*other, host);
  }
}

void Sim::tick(Host& host, int life) {
  if (!host.up || host.lives != life) return;
  host.wakeUs = -1;
  if (now_ >= host.frozenUntilUs) give(host, Tick{});
  after(plan.tickUs, [this, &host, life] { tick(host, life); });
}

void Sim::wake(Host& host, Millis steadyMs) {
  const auto whenUs = static_cast<Micros>((static_cast<double>(steadyMs) * 1000.0 - static_cast<double>(host.clockOffsetUs)) / host.clockRate) + 1;
  const auto wakeUs = std::max(now_ + 100, whenUs);
  if (host.wakeUs >= 0 && host.wakeUs <= wakeUs) return;
  host.wakeUs = wakeUs;
  const int life = host.lives;
  at(wakeUs, [this, &host, life, wakeUs] {
    if (!host.up || host.lives != life || host.wakeUs != wakeUs) return;
    host.wakeUs = -1;
    if (now_ >= host.frozenUntilUs) give(host, Tick{});
  });
}

void Sim::give(Host& host, Event event) {
  if (!host.up) return;
  if (now_ < host.frozenUntilUs) {
    const int life = host.lives;
    constexpr std::size_t kMostHeld = 2000;
    if (host.held.size() < kMostHeld)
      host.held.push_back([this, &host, life, event = std::move(event)] {
        if (host.up && host.lives == life) give(host, event);
      });
    return;
  }
  const auto point = counting ? pointOf(host.env.role, event) : std::string();
  const bool here = !point.empty() && ++points[point] > 0 && place && place->point == point && points[point] == place->nth;
  const auto struck = [&](Side side) {
    if (!here || place->side != side) return false;
    mark("place " + placeText(*place) + " " + host.name);
    const int life = host.lives;
    onPlace(host);
    return !host.up || host.lives != life;
  };
  if (struck(Side::before)) return;
  if (now_ < host.frozenUntilUs) return give(host, std::move(event));
  Outbox out;
  if (meter) metered(host, event, out);
  else roles::nodeStep(*host.node, event, clock(host), out);
  if (struck(Side::unsent)) return;
  settle(host, std::move(out));
  struck(Side::sent);
}

std::string Sim::roleAt(const Host& host) const {
  const bool leading = host.up && host.node->pilot && manifest::leads(*host.node->pilot, clock(host));
  return leading ? "leader" : std::string(roleName(host.env.role));
}

void Sim::metered(Host& host, const Event& event, Outbox& out) {
  const auto role = roleAt(host);
  const auto* heard = std::get_if<Heard>(&event);
  const std::string kind = heard                                 ? std::string(messageName(heard->message))
                           : std::holds_alternative<Ask>(event)  ? "call " + std::get<Ask>(event).method
                           : std::holds_alternative<Tick>(event) ? "tick"
                                                                 : "synced";
  const auto before = host.node->pilot ? host.node->pilot->counts : manifest::PilotCounts{};
  const auto fromNs = threadNs();
  roles::nodeStep(*host.node, event, clock(host), out);
  const auto spanNs = meter->since(fromNs);
  auto& row = meter->rows[{role, kind}];
  ++row.received;
  row.stepNs += spanNs;
  row.mostStepNs = std::max(row.mostStepNs, spanNs);
  if (!host.node->pilot) return;
  const auto& counts = host.node->pilot->counts;
  if (counts.takeovers > before.takeovers) meter->takeovers.add(spanNs);
  else if (counts.epochs > before.epochs) meter->plans.add(spanNs);
  else if (counts.batches > before.batches) meter->batches.add(spanNs);
}

void Sim::settle(Host& host, Outbox&& out) {
  for (const auto& text : out.alarms) {
    mark(text);
    if (onAlarm) onAlarm(host, text);
  }
  if (out.wakeMs >= 0) wake(host, out.wakeMs);
  for (auto& persist : out.persists) host.unsynced.push_back(std::move(persist));
  if (!host.unsynced.empty()) sync(host);
  for (const auto& send : out.sends) carry(host, send);
  for (auto& answer : out.answers) reply(host, answer.transaction, {false, answer.status, answer.retryMs, std::move(answer.body)});
  for (const auto& proxy : out.proxies) {
    auto text = host.askText.find(proxy.transaction);
    auto to = byHttp_.find(proxy.http);
    if (text == host.askText.end()) continue;
    auto onward = text->second;
    ++onward.hops;
    const auto transaction = proxy.transaction;
    const int life = host.lives;
    auto back = [this, &host, life, transaction, method = onward.method](Reply got) {
      if (!host.up || host.lives != life) return;
      if (got.lost) {
        const auto& row = rowOf(method == "GET" ? Kind::noLeader : Kind::unknownOutcome);
        got = {false, row.status, plan.bounds.termMs / 2, "{\"error\":\"" + std::string(row.name) + "\"}"};
      }
      reply(host, transaction, std::move(got));
    };
    if (to == byHttp_.end() || isCut(host, *to->second) || isCut(*to->second, host)) {
      after(100000, [back] { back({true, 0, 0, {}}); });
      continue;
    }
    ask(*to->second, std::move(onward), std::move(back));
  }
  if (out.done) crash(host);
}

void Sim::carry(Host& from, const Send& send) {
  auto found = bySignal_.find(send.to);
  if (found == bySignal_.end()) return;
  Host& to = *found->second;
  ++frames_;
  const bool self = &to == &from;
  if (!self && (isCut(from, to) || chance(plan.sea.drop))) return;
  Heard heard{from.id, from.env.signal, send.message, send.to};
  constexpr std::uint64_t kCodecEvery = 16;
  if (meter) {
    const std::string kind(messageName(send.message));
    auto& out = meter->rows[{roleAt(from), kind}];
    auto fromNs = threadNs();
    const auto bytes = encode(Frame{kRevision, from.id, from.env.signal, send.to, send.message});
    out.encodeNs += meter->since(fromNs);
    ++out.sent;
    out.sentBytes += bytes.size();
    auto& in = meter->rows[{roleAt(to), kind}];
    Frame frame;
    fromNs = threadNs();
    if (decode(bytes, frame) != Decoded::ok) std::abort();
    in.decodeNs += meter->since(fromNs);
    in.receivedBytes += bytes.size();
    heard.message = std::move(frame.message);
  } else if (frames_ % kCodecEvery == 0) {
    Frame frame;
    if (decode(encode(Frame{kRevision, from.id, from.env.signal, send.to, send.message}), frame) != Decoded::ok) std::abort();
    heard.message = std::move(frame.message);
  }
  const int copies = !self && chance(plan.sea.twice) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    Micros span = self ? 1 : voyage();
    if (!self && chance(plan.sea.late)) span += below(plan.sea.lateUs);
    after(span, [this, &to, heard, name = from.name, self] {
      if (!self && cuts_.contains({name, to.name})) return;
      give(to, heard);
    });
  }
}

void Sim::sync(Host& host) {
  if (host.syncing) return;
  host.syncing = true;
  const int life = host.lives;
  auto batch = std::move(host.unsynced);
  host.unsynced.clear();
  ++host.syncs;
  const Micros span = host.diskFails ? 100000 : host.syncUs + below(host.syncUs);
  after(span, [this, &host, life, batch = std::move(batch)] {
    if (!host.up || host.lives != life) return;
    host.syncing = false;
    if (host.diskFails) {
      host.unsynced.insert(host.unsynced.begin(), batch.begin(), batch.end());
      return sync(host);
    }
    for (const auto& persist : batch) {
      for (const auto& entry : persist.entries) hold::apply(host.disk, entry);
      give(host, Persisted{persist.ticket, true});
      if (!host.up || host.lives != life) return;
    }
    if (!host.unsynced.empty()) sync(host);
  });
}

void Sim::ask(Host& host, Ask text, std::function<void(Reply)> done) {
  after(voyage(), [this, &host, text = std::move(text), done = std::move(done)]() mutable {
    if (!host.up) {
      after(voyage(), [done] { done({true, 0, 0, {}}); });
      return;
    }
    const auto transaction = ++host.nextTransaction;
    text.transaction = transaction;
    if (text.cutoffMs == 0) text.cutoffMs = plan.bounds.callMs;
    const int life = host.lives;
    host.asking[transaction] = std::move(done);
    host.askText[transaction] = text;
    const auto cutoffUs = text.cutoffMs * 1000;
    after(cutoffUs, [this, &host, life, transaction, method = text.method] {
      if (!host.up || host.lives != life || !host.asking.contains(transaction)) return;
      if (now_ < host.frozenUntilUs) {
        auto lost = std::move(host.asking[transaction]);
        host.asking.erase(transaction);
        host.askText.erase(transaction);
        lost({true, 0, 0, {}});
        return;
      }
      const auto& row = rowOf(method == "GET" ? Kind::cutoffPassed : Kind::unknownOutcome);
      reply(host, transaction, {false, row.status, plan.bounds.termMs / 2, "{\"error\":\"" + std::string(row.name) + "\"}"});
    });
    give(host, text);
  });
}

void Sim::reply(Host& host, std::uint64_t transaction, Reply reply) {
  auto found = host.asking.find(transaction);
  if (found == host.asking.end()) return;
  auto done = std::move(found->second);
  host.asking.erase(found);
  host.askText.erase(transaction);
  after(voyage(), [done = std::move(done), reply = std::move(reply)] { done(reply); });
}

void Sim::startWorker(Hand& hand) {
  if (hand.up) return;
  hand.up = true;
  ++hand.lives;
  const auto traits = hand.worker.traits;
  hand.worker = roles::Worker{};
  hand.worker.traits = traits;
  hand.worker.incarnation = "w" + std::to_string(++names_);
  hand.news = false;
  trouble();
  hand.calling = false;
  hand.frozenUntilUs = 0;
  const int life = hand.lives;
  after(below(plan.handUs), [this, &hand, life] { workerTick(hand, life); });
}

void Sim::crashWorker(Hand& hand) {
  if (!hand.up) return;
  mark("crash " + hand.worker.traits.name);
  trouble();
  if (onWorkerCrash) onWorkerCrash(hand);
  hand.up = false;
  ++hand.lives;
  for (const auto& [run, going] : hand.worker.going) hand.worker.journal.push_back("end " + run + " crashed");
  hand.worker.going.clear();
  drainJournal(hand);
}

void Sim::freezeWorker(Hand& hand, Micros spanUs) { hand.frozenUntilUs = now_ + spanUs; }

void Sim::drainJournal(Hand& hand) {
  auto lines = std::move(hand.worker.journal);
  hand.worker.journal.clear();
  for (const auto& line : lines) {
    mark(hand.worker.traits.name + " " + line);
    noteGang(hand, line);
    if (onJournal) onJournal(hand, line);
  }
}

void Sim::noteGang(Hand& hand, const std::string& line) {
  if (line.starts_with("start ")) {
    const auto run = line.substr(6, line.find(' ', 6) - 6);
    const auto found = hand.worker.going.find(run);
    if (found == hand.worker.going.end() || found->second.gang.empty()) return;
    gangs_[found->second.gang];
    gangRuns_.insert(run);
  } else if (line.starts_with("end ")) {
    const auto run = line.substr(4, line.rfind(' ') - 4);
    if (gangRuns_.erase(run) && !line.ends_with(" clean")) gangs_[roles::gangOf(run)].broken = true;
  }
}

void Sim::gangTick() {
  after(plan.handUs, [this] { gangTick(); });
  if (gangRuns_.empty()) return;
  struct Member {
    Hand* hand;
    std::string run;
    const roles::GoingRun* going;
  };
  std::map<std::string, std::vector<Member>> present;
  for (const auto& hand : hands_)
    for (const auto& [run, going] : hand->worker.going)
      if (!going.gang.empty()) present[going.gang].push_back({hand.get(), run, &going});
  std::set<Hand*> touched;
  for (auto& [key, members] : present) {
    auto& gang = gangs_[key];
    if (gang.broken) {
      for (const auto& member : members) {
        if (member.going->stopping || now_ < member.hand->frozenUntilUs) continue;
        roles::gangBroken(member.hand->worker, member.run, clockOf(*member.hand));
        touched.insert(member.hand);
      }
      continue;
    }
    const bool frozen = std::any_of(members.begin(), members.end(), [&](const auto& member) { return now_ < member.hand->frozenUntilUs; });
    if (frozen || static_cast<std::int64_t>(members.size()) < members.front().going->members) continue;
    if (!gang.whole) {
      gang.whole = true;
      std::set<std::string> racks;
      for (const auto& member : members) racks.insert(member.hand->worker.traits.labels["rack"]);
      const double factor = members.front().going->oneRack && racks.size() > 1 ? plan.bounds.farFactor : 1.0;
      for (const auto& member : members) roles::gangWhole(member.hand->worker, member.run, factor, clockOf(*member.hand));
      continue;
    }
    if (!std::all_of(members.begin(), members.end(), [](const auto& member) { return member.going->workDone && !member.going->stopping && !member.going->fails; }))
      continue;
    for (const auto& member : members) {
      roles::gangDone(member.hand->worker, member.run, clockOf(*member.hand));
      touched.insert(member.hand);
    }
  }
  for (const auto& hand : hands_) {
    if (!touched.contains(hand.get())) continue;
    hand->news = true;
    drainJournal(*hand);
  }
}

void Sim::workerTick(Hand& hand, int life) {
  if (!hand.up || hand.lives != life) return;
  if (now_ >= hand.frozenUntilUs) {
    const bool news = roles::workerTick(hand.worker, clockOf(hand)) || hand.news;
    hand.news = false;
    drainJournal(hand);
    if (!hand.worker.traits.mute && (news || (!hand.calling && clockOf(hand) >= hand.worker.callAtMs))) workerCall(hand);
  }
  after(plan.handUs, [this, &hand, life] { workerTick(hand, life); });
}

void Sim::workerCall(Hand& hand) {
  hand.calling = true;
  const int life = hand.lives;
  const auto sentMs = clockOf(hand);
  Ask text;
  text.method = "POST";
  text.path = "/worker/report";
  text.body = roles::nextReport(hand.worker, sentMs);
  const auto number = hand.worker.report;
  auto finish = [this, &hand, life, sentMs, number, body = text.body](Reply got) {
    if (!hand.up || hand.lives != life) return;
    auto act = [this, &hand, life, sentMs, number, got, body] {
      if (!hand.up || hand.lives != life) return;
      if (hand.worker.report != number || !hand.calling) {
        if (!got.lost && got.status == 200) roles::heardAnswer(hand.worker, got.body, sentMs, clockOf(hand));
        return;
      }
      roles::workerTick(hand.worker, clockOf(hand));
      if (!got.lost && got.status == 200) {
        roles::heardAnswer(hand.worker, got.body, sentMs, clockOf(hand));
      }
      if (onReported) onReported(hand, body, got.lost ? 0 : got.status);
      drainJournal(hand);
      hand.calling = false;
      if (!got.lost && got.status == 200 && clockOf(hand) >= hand.worker.callAtMs) workerCall(hand);
    };
    if (now_ < hand.frozenUntilUs) at(hand.frozenUntilUs + 1, act);
    else act();
  };
  if (hand.cut) {
    after(500000, [finish] { finish({true, 0, 0, {}}); });
    return;
  }
  ask(*hand.tender, text, [this, &hand, finish](Reply got) {
    if (hand.cut) got = {true, 0, 0, {}};
    if (got.lost) after(50000, [finish, got] { finish(got); });
    else finish(std::move(got));
  });
  after(2000000, [finish] { finish({true, 0, 0, {}}); });
}

std::vector<Host*> Sim::hosts(Role role) const {
  std::vector<Host*> found;
  for (const auto& host : hosts_)
    if (host->env.role == role) found.push_back(host.get());
  return found;
}

Host* Sim::leader() {
  for (const auto& host : hosts_)
    if (host->up && host->node->pilot && manifest::leads(*host->node->pilot, clock(*host))) return host.get();
  return nullptr;
}

}  // namespace tulip::drydock
