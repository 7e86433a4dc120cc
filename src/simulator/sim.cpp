#include "simulator/sim.hpp"

namespace tulip::simulator {

using namespace transport;

namespace {

std::string_view messageName(const Message& message) {
  constexpr std::string_view kNames[] = {"SessionBeat",     "SessionGrant",     "RegisterPrepare", "RegisterPromise",
                                         "RegisterAccept",  "RegisterAccepted", "RegisterChosen",  "AckQuery",
                                         "AckState",        "RangePrepare",     "RangePromise",    "RangeAccept",
                                         "RangeAccepted",   "Resign",           "ReplicaBeat",     "Form",
                                         "CatchUpAsk",      "CatchUpGive",      "AgentReport",     "Orders",
                                         "CallAsk",         "CallAnswer",       "Referral",        "IncarnationProbe",
                                         "IncarnationProof"};
  static_assert(std::size(kNames) == std::variant_size_v<Message>);
  return kNames[message.index()];
}

}  // namespace

std::string zoneOf(const FleetPlan& fleet, int worker) {
  return std::string(1, static_cast<char>('a' + worker % fleet.zones));
}
std::string rackOf(const FleetPlan& fleet, int worker) {
  return "r" + zoneOf(fleet, worker) + "-" + std::to_string(worker / fleet.zones / fleet.rackSize + 1);
}
std::string kindOf(const FleetPlan& fleet, int worker) { return "kind-" + std::to_string(worker % fleet.kinds + 1); }
std::string poolOf(const FleetPlan& fleet, int worker) {
  return fleet.sizedPool && fleet.kinds > 0 ? kindOf(fleet, worker) : "side";
}

Sim::Sim(std::uint64_t seed, FleetPlan given) : plan(std::move(given)), seed_(seed), random_(seed) {
  for (int i = 0; i < 3; ++i) seeds_.emplace_back("10.0.0." + std::to_string(i + 1) + ":7000");
  auto zone = [&](int i) { return zoneOf(plan, i); };
  for (int i = 0; i < plan.replicas; ++i) addHost(Role::replica, "replica-" + std::to_string(i + 1), zone(i));
  for (int i = 0; i < plan.schedulers; ++i) addHost(Role::scheduler, "scheduler-" + std::to_string(i + 1), zone(i));
  for (int i = 0; i < plan.workers; ++i) {
    const auto number = std::to_string(i + 1);
    auto& agent = addHost(Role::agent, "agent-" + number, zone(i), "worker-" + number);
    hands_.push_back(std::make_unique<Hand>());
    auto& hand = *hands_.back();
    hand.agent = &agent;
    hand.worker.traits.name = "worker-" + number;
    hand.worker.traits.pool = poolOf(plan, i);
    hand.worker.traits.slots = plan.slots;
    hand.worker.traits.selfStop = plan.selfStop;
    hand.worker.traits.capacity = plan.capacity;
    hand.worker.traits.holdMostMs = plan.holdMostMs;
    hand.worker.traits.gangWaitMs = plan.bounds.gangWaitMs;
    hand.worker.traits.checkpointMs = plan.bounds.checkpointMs;
    hand.worker.traits.farFactor = plan.bounds.farFactor;
    if (plan.rackSize > 0) hand.worker.traits.labels["rack"] = rackOf(plan, i);
    if (plan.kinds > 0) hand.worker.traits.labels["kind"] = kindOf(plan, i);
    hand.clockRate =
        1.0 -
        0.0001 * static_cast<double>(std::stoul(commands::digestOf(std::to_string(seed) + number), nullptr, 16) % 200);
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

void Sim::at(Micros whenUs, std::function<void()> act) {
  due_.push({std::max(whenUs, now_), ++serial_, std::move(act)});
}

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
  return {static_cast<Millis>((static_cast<double>(now_) * host.clockRate + static_cast<double>(host.clockOffsetUs)) /
                              1000.0),
          wallMs() + host.wallOffsetMs};
}

bool Sim::troubled(Millis withinMs) const {
  if (now_ - troubleUs_ <= withinMs * 1000 || !cuts_.empty() || plan.sea.drop > 0 || plan.sea.late > 0) return true;
  const Micros since = std::max<Micros>(0, now_ - withinMs * 1000);
  for (const auto& host : hosts_)
    if ((!host->up && !host->gone) || host->frozenUntilUs > since || host->diskFails || host->syncUs > 5000)
      return true;
  for (const auto& hand : hands_) {
    const auto& traits = hand->worker.traits;
    if ((!hand->up && !hand->agent->gone) || hand->cut || hand->frozenUntilUs > since || traits.mute ||
        traits.standsStill || traits.slowFactor > 1 || traits.failEvery > 0 || traits.failShare > 0)
      return true;
  }
  return false;
}

Micros Sim::voyage() { return plan.sea.leastUs + below(plan.sea.mostUs - plan.sea.leastUs); }

Host& Sim::addHost(Role role, const std::string& name, const std::string& zone, const std::string& workerName) {
  hosts_.push_back(std::make_unique<Host>());
  auto& host = *hosts_.back();
  host.name = name;
  host.settings.role = role;
  host.settings.name = name;
  host.settings.zone = ZoneName(zone);
  host.settings.seeds = seeds_;
  host.settings.bounds = plan.bounds;
  host.settings.losses = plan.losses;
  host.settings.worker = workerName;
  host.settings.dataFolder = role == Role::replica ? "simulated" : "";
  const auto ip = "10.0." + std::to_string(addresses_ / 250) + "." + std::to_string(addresses_ % 250 + 1);
  ++addresses_;
  host.settings.peerAddress = Address(ip + ":7000");
  host.settings.http = Address(ip + ":8000");
  host.clockOffsetUs = below(3600LL * 1000000);
  host.clockRate = 1.0 + (unit() - 0.5) * 0.0004;
  byName_[name] = &host;
  bySignal_[host.settings.peerAddress] = &host;
  byHttp_[host.settings.http] = &host;
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
  if (host.settings.role == Role::replica) {
    if (host.disk.id.empty()) host.disk.id = DaemonId(host.name + "-" + incarnation);
    host.id = host.disk.id;
  } else {
    host.id = DaemonId(host.name + "-" + incarnation);
  }
  host.node = daemon::makeNode(host.settings, host.id, incarnation, host.disk, clock(host));
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
  for (const auto& [requestId, done] : asking) order.push_back(requestId);
  std::sort(order.begin(), order.end());
  for (const auto requestId : order) after(voyage(), [done = asking[requestId]] { done({true, 0, 0, {}}); });
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
  host.disk = storage::Image{};
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
  const auto whenUs =
      static_cast<Micros>((static_cast<double>(steadyMs) * 1000.0 - static_cast<double>(host.clockOffsetUs)) /
                          host.clockRate) +
      1;
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
  const auto point = counting ? pointOf(host.settings.role, event) : std::string();
  const bool here =
      !point.empty() && ++points[point] > 0 && place && place->point == point && points[point] == place->nth;
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
  if (meter)
    metered(host, event, out);
  else
    daemon::nodeStep(*host.node, event, clock(host), out);
  if (struck(Side::unsent)) return;
  settle(host, std::move(out));
  struck(Side::sent);
}

std::string Sim::roleAt(const Host& host) const {
  const bool leading = host.up && host.node->scheduler && scheduler::leads(*host.node->scheduler, clock(host));
  return leading ? "leader" : std::string(roleName(host.settings.role));
}

void Sim::metered(Host& host, const Event& event, Outbox& out) {
  const auto role = roleAt(host);
  const auto* heard = std::get_if<Heard>(&event);
  const std::string kind = heard                                 ? std::string(messageName(heard->message))
                           : std::holds_alternative<Ask>(event)  ? "call " + std::get<Ask>(event).method
                           : std::holds_alternative<Tick>(event) ? "tick"
                                                                 : "synced";
  const auto before = host.node->scheduler ? host.node->scheduler->counts : scheduler::SchedulerCounts{};
  const auto fromNs = threadNs();
  daemon::nodeStep(*host.node, event, clock(host), out);
  const auto spanNs = meter->since(fromNs);
  auto& row = meter->rows[{role, kind}];
  ++row.received;
  row.stepNs += spanNs;
  row.mostStepNs = std::max(row.mostStepNs, spanNs);
  if (!host.node->scheduler) return;
  const auto& counts = host.node->scheduler->counts;
  if (counts.takeovers > before.takeovers)
    meter->takeovers.add(spanNs);
  else if (counts.epochs > before.epochs)
    meter->plans.add(spanNs);
  else if (counts.batches > before.batches)
    meter->batches.add(spanNs);
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
  for (auto& answer : out.answers)
    reply(host, answer.requestId, {false, answer.status, answer.retryMs, std::move(answer.body)});
  for (const auto& forward : out.forwards) {
    auto text = host.askText.find(forward.requestId);
    auto to = byHttp_.find(forward.http);
    if (text == host.askText.end()) continue;
    auto onward = text->second;
    ++onward.hops;
    const auto requestId = forward.requestId;
    const int life = host.lives;
    auto back = [this, &host, life, requestId, method = onward.method](Reply got) {
      if (!host.up || host.lives != life) return;
      if (got.lost) {
        const auto& row = rowOf(method == "GET" ? Kind::noLeader : Kind::unknownOutcome);
        got = {false, row.status, plan.bounds.leaseMs / 2, "{\"error\":\"" + std::string(row.name) + "\"}"};
      }
      reply(host, requestId, std::move(got));
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
  const auto incarnation = from.node->incarnations.self;
  Heard heard{from.id, from.settings.peerAddress, send.message, send.to, incarnation, send.toIncarnation};
  const auto frameOf = [&] {
    return Frame{protocolVersionOf(send.message),
                 from.id,
                 from.settings.peerAddress,
                 send.to,
                 send.message,
                 incarnation,
                 send.toIncarnation};
  };
  constexpr std::uint64_t kCodecEvery = 16;
  if (meter) {
    const std::string kind(messageName(send.message));
    auto& out = meter->rows[{roleAt(from), kind}];
    auto fromNs = threadNs();
    const auto bytes = encode(frameOf());
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
    if (decode(encode(frameOf()), frame) != Decoded::ok) std::abort();
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
      for (const auto& entry : persist.entries) storage::apply(host.disk, entry);
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
    const auto requestId = ++host.nextRequest;
    text.requestId = requestId;
    if (text.deadlineMs == 0) text.deadlineMs = plan.bounds.callMs;
    const int life = host.lives;
    host.asking[requestId] = std::move(done);
    host.askText[requestId] = text;
    const auto deadlineUs = text.deadlineMs * 1000;
    after(deadlineUs, [this, &host, life, requestId, method = text.method] {
      if (!host.up || host.lives != life || !host.asking.contains(requestId)) return;
      if (now_ < host.frozenUntilUs) {
        auto lost = std::move(host.asking[requestId]);
        host.asking.erase(requestId);
        host.askText.erase(requestId);
        lost({true, 0, 0, {}});
        return;
      }
      const auto& row = rowOf(method == "GET" ? Kind::deadlinePassed : Kind::unknownOutcome);
      reply(host, requestId,
            {false, row.status, plan.bounds.leaseMs / 2, "{\"error\":\"" + std::string(row.name) + "\"}"});
    });
    give(host, text);
  });
}

void Sim::reply(Host& host, std::uint64_t requestId, Reply reply) {
  auto found = host.asking.find(requestId);
  if (found == host.asking.end()) return;
  auto done = std::move(found->second);
  host.asking.erase(found);
  host.askText.erase(requestId);
  after(voyage(), [done = std::move(done), reply = std::move(reply)] { done(reply); });
}

void Sim::startWorker(Hand& hand) {
  if (hand.up) return;
  hand.up = true;
  ++hand.lives;
  const auto traits = hand.worker.traits;
  hand.worker = commands::Worker{};
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
  for (const auto& [run, running] : hand.worker.running) hand.worker.journal.push_back("end " + run + " crashed");
  hand.worker.running.clear();
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
    const auto found = hand.worker.running.find(run);
    if (found == hand.worker.running.end() || found->second.gang.empty()) return;
    gangs_[found->second.gang];
    gangRuns_.insert(run);
  } else if (line.starts_with("end ")) {
    const auto run = line.substr(4, line.rfind(' ') - 4);
    if (gangRuns_.erase(run) && !line.ends_with(" clean")) gangs_[commands::gangOf(run)].broken = true;
  }
}

void Sim::gangTick() {
  after(plan.handUs, [this] { gangTick(); });
  if (gangRuns_.empty()) return;
  struct Member {
    Hand* hand;
    std::string run;
    const commands::RunningAttempt* running;
  };
  std::map<std::string, std::vector<Member>> present;
  for (const auto& hand : hands_)
    for (const auto& [run, running] : hand->worker.running)
      if (!running.gang.empty()) present[running.gang].push_back({hand.get(), run, &running});
  std::set<Hand*> touched;
  for (auto& [key, members] : present) {
    auto& gang = gangs_[key];
    if (gang.broken) {
      for (const auto& member : members) {
        if (member.running->stopping || now_ < member.hand->frozenUntilUs) continue;
        commands::gangBroken(member.hand->worker, member.run, clockOf(*member.hand));
        touched.insert(member.hand);
      }
      continue;
    }
    const bool frozen = std::any_of(members.begin(), members.end(),
                                    [&](const auto& member) { return now_ < member.hand->frozenUntilUs; });
    if (frozen || static_cast<std::int64_t>(members.size()) < members.front().running->members) continue;
    if (!gang.whole) {
      gang.whole = true;
      std::set<std::string> racks;
      for (const auto& member : members) racks.insert(member.hand->worker.traits.labels["rack"]);
      const double factor = members.front().running->oneRack && racks.size() > 1 ? plan.bounds.farFactor : 1.0;
      for (const auto& member : members)
        commands::gangWhole(member.hand->worker, member.run, factor, clockOf(*member.hand));
      continue;
    }
    if (!std::all_of(members.begin(), members.end(), [](const auto& member) {
          return member.running->workDone && !member.running->stopping && !member.running->fails;
        }))
      continue;
    for (const auto& member : members) {
      commands::gangDone(member.hand->worker, member.run, clockOf(*member.hand));
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
    const bool news = commands::workerTick(hand.worker, clockOf(hand)) || hand.news;
    hand.news = false;
    drainJournal(hand);
    if (!hand.worker.traits.mute && (news || (!hand.calling && clockOf(hand) >= hand.worker.callAtMs)))
      workerCall(hand);
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
  text.body = commands::nextReport(hand.worker, sentMs);
  const auto number = hand.worker.report;
  auto finish = [this, &hand, life, sentMs, number, body = text.body](Reply got) {
    if (!hand.up || hand.lives != life) return;
    auto act = [this, &hand, life, sentMs, number, got, body] {
      if (!hand.up || hand.lives != life) return;
      if (hand.worker.report != number || !hand.calling) {
        if (!got.lost && got.status == 200) commands::heardAnswer(hand.worker, got.body, sentMs, clockOf(hand));
        return;
      }
      commands::workerTick(hand.worker, clockOf(hand));
      if (!got.lost && got.status == 200) {
        commands::heardAnswer(hand.worker, got.body, sentMs, clockOf(hand));
      }
      if (onReported) onReported(hand, body, got.lost ? 0 : got.status);
      drainJournal(hand);
      hand.calling = false;
      if (!got.lost && got.status == 200 && clockOf(hand) >= hand.worker.callAtMs) workerCall(hand);
    };
    if (now_ < hand.frozenUntilUs)
      at(hand.frozenUntilUs + 1, act);
    else
      act();
  };
  if (hand.cut) {
    after(500000, [finish] { finish({true, 0, 0, {}}); });
    return;
  }
  ask(*hand.agent, text, [this, &hand, finish](Reply got) {
    if (hand.cut) got = {true, 0, 0, {}};
    if (got.lost)
      after(50000, [finish, got] { finish(got); });
    else
      finish(std::move(got));
  });
  after(2000000, [finish] { finish({true, 0, 0, {}}); });
}

std::vector<Host*> Sim::hosts(Role role) const {
  std::vector<Host*> found;
  for (const auto& host : hosts_)
    if (host->settings.role == role) found.push_back(host.get());
  return found;
}

Host* Sim::leader() {
  for (const auto& host : hosts_)
    if (host->up && host->node->scheduler && scheduler::leads(*host->node->scheduler, clock(*host))) return host.get();
  return nullptr;
}

}  // namespace tulip::simulator
