#include "watch/quay.hpp"

#include <algorithm>
#include <utility>

namespace tulip::watch {

using namespace signal;

namespace {

Bounds const& bounds(const QuayState& quay) { return quay.crew.env.bounds; }
const Address& self(const QuayState& quay) { return quay.crew.env.signal; }

bool mayVote(const QuayState& quay) { return quay.image.voting && !ailing(quay); }

bool seated(const Cohort& cohort, const DaemonId& id) {
  return std::any_of(cohort.seats.begin(), cohort.seats.end(), [&](const Seat& seat) { return seat.id == id; });
}

void persist(QuayState& quay, std::vector<DiskEntry> entries, std::vector<Send> after, Outbox& out) {
  for (const auto& entry : entries) hold::apply(quay.image, entry);
  if (entries.empty()) {
    for (auto& send : after) out.sends.push_back(std::move(send));
    return;
  }
  quay.waiting[++quay.ticket] = {quay.stepMs, std::move(after)};
  out.persists.push_back({quay.ticket, std::move(entries)});
}

std::string nextCohortKey(const QuayState& quay) { return "cohort/" + std::to_string(quay.image.cohort.revision + 1); }

bool leaseLive(const QuayState& quay, Now now) { return now.steadyMs < quay.leaseUntilMs; }

std::vector<Member> allMembers(const QuayState& quay, Now now) {
  std::map<DaemonId, Member> all;
  auto put = [&](Member member, Millis ageMs, const DaemonId& home) {
    if (ageMs > 4 * bounds(quay).termMs) return;
    member.ageMs = ageMs;
    member.home = home;
    auto [slot, fresh] = all.emplace(member.id, member);
    if (!fresh && slot->second.ageMs > ageMs) slot->second = member;
  };
  for (const auto& [id, row] : quay.sessions) put(row.member, now.steadyMs - row.heardMs, quay.image.id);
  for (const auto& [address, other] : quay.others)
    for (const auto& member : other.last.sessions) put(member, member.ageMs + now.steadyMs - other.heardMs, other.last.seat.id);
  std::vector<Member> list;
  for (auto& [id, member] : all) list.push_back(std::move(member));
  return list;
}

SessionGrant makeGrant(const QuayState& quay, const SessionRow& row, Now now) {
  SessionGrant grant;
  grant.beat = row.beat;
  grant.sentMs = row.sentMs;
  grant.termMs = bounds(quay).termMs;
  grant.chartRevision = quay.learned.revision;
  if (row.member.acked < quay.learned.revision) grant.chartText = quay.learned.text;
  if (now.steadyMs < quay.hintUntilMs) grant.leader = quay.leader;
  grant.cohort = quay.image.cohort;
  grant.members = allMembers(quay, now);
  grant.fleetMs = fleetNow(quay.crew, now);
  return grant;
}

void learnChart(QuayState& quay, const Ballot& ballot, const std::string& value, Now now, Outbox& out) {
  if (value.empty() || ballot <= quay.learnedBallot) return;
  auto stored = chart::readStored(value);
  if (stored.revision < quay.learned.revision) return;
  const bool newer = stored.revision > quay.learned.revision;
  quay.learnedBallot = ballot;
  quay.learnedValue = value;
  quay.learned = std::move(stored);
  quay.chartKnown = true;
  if (!newer || !standing(quay, now)) return;
  for (const auto& [id, row] : quay.sessions)
    if (now.steadyMs - row.heardMs <= bounds(quay).termMs) out.send(row.member.signal, makeGrant(quay, row, now));
}

void onSessionBeat(QuayState& quay, const Heard& heard, const SessionBeat& beat, Now now, Outbox& out) {
  if (!standing(quay, now) || !quay.chartKnown || !mayVote(quay)) {
    if (quay.image.empty() && beat.me.role != Role::quay && beat.cohort > 0) {
      quay.remembered = std::max(quay.remembered, beat.cohort);
      quay.rememberedMs = now.steadyMs;
    }
    ++quay.grantsDenied;
    return;
  }
  ++quay.grants;
  auto& row = quay.sessions[beat.me.id];
  row = {beat.me, now.steadyMs, beat.beat, beat.sentMs};
  out.send(heard.from, makeGrant(quay, row, now));
}

void sendQuayBeats(QuayState& quay, Now now, Outbox& out) {
  quay.beatSentMs = now.steadyMs;
  QuayBeat beat;
  beat.seat = {quay.image.id, self(quay)};
  beat.seeds = quay.crew.env.seeds;
  beat.empty = quay.image.empty();
  beat.ailing = ailing(quay);
  if (now.steadyMs - quay.rememberedMs < 4 * bounds(quay).termMs) beat.remembered = quay.remembered;
  beat.cohort = quay.image.cohort;
  beat.sentMs = now.steadyMs;
  beat.chartBallot = quay.learnedBallot;
  if (leaseLive(quay, now)) {
    beat.leader = quay.leader;
    beat.leaseLeftMs = quay.leaseUntilMs - now.steadyMs;
  }
  beat.fleetMs = fleetNow(quay.crew, now);
  for (const auto& [id, row] : quay.sessions) {
    if (now.steadyMs - row.heardMs > 2 * bounds(quay).termMs) continue;
    beat.sessions.push_back(row.member);
    beat.sessions.back().ageMs = now.steadyMs - row.heardMs;
  }
  std::set<Address> targets(quay.crew.env.seeds.begin(), quay.crew.env.seeds.end());
  for (const auto& seat : quay.image.cohort.seats) targets.insert(seat.signal);
  for (const auto& [address, other] : quay.others)
    if (now.steadyMs - other.heardMs < 4 * bounds(quay).termMs) targets.insert(address);
  targets.erase(self(quay));
  for (const auto& target : targets) {
    beat.echoMs = -1000000;
    beat.chartValue.clear();
    if (auto found = quay.others.find(target); found != quay.others.end()) {
      beat.echoMs = found->second.last.sentMs;
      if (found->second.last.chartBallot < quay.learnedBallot) beat.chartValue = quay.learnedValue;
    }
    out.send(target, beat);
  }
}

void installCohort(QuayState& quay, const Cohort& cohort, Now now, Outbox& out) {
  if (cohort.revision <= quay.image.cohort.revision) return;
  const bool keeps = seated(cohort, quay.image.id);
  const bool voted = quay.image.voting && seated(quay.image.cohort, quay.image.id);
  std::vector<DiskEntry> writes{hold::entry::cohort(cohort)};
  const bool first = quay.image.empty() && cohort.revision == 1 && keeps;
  const bool votes = keeps && (first || (voted && cohort.revision == quay.image.cohort.revision + 1));
  writes.push_back(hold::entry::voting(votes));
  quay.sealed = false;
  quay.catchUp.clear();
  if (votes && !voted) quay.leaseUntilMs = now.steadyMs + bounds(quay).termMs;
  persist(quay, std::move(writes), {}, out);
  quay.crew.cohort = cohort;
  sendQuayBeats(quay, now, out);
}

void tryForm(QuayState& quay, Now now, Outbox& out) {
  const auto& seeds = quay.crew.env.seeds;
  if (!quay.image.empty() || self(quay) != seeds.front()) return;
  Cohort cohort{1, {}};
  Revision remembered = now.steadyMs - quay.rememberedMs < 4 * bounds(quay).termMs ? quay.remembered : 0;
  for (const auto& [address, other] : quay.others)
    if (now.steadyMs - other.heardMs < bounds(quay).termMs) remembered = std::max(remembered, other.last.remembered);
  if (remembered > 0) {
    if (!std::exchange(quay.deniesForming, true))
      out.alarms.push_back("daemons remember cohort " + std::to_string(remembered) +
                           ": no new fleet is formed here; bring back its data folders, or stop every pilot and tender to begin anew");
    return;
  }
  for (const auto& seed : seeds) {
    if (seed == self(quay)) {
      cohort.seats.push_back({quay.image.id, seed});
      continue;
    }
    auto found = quay.others.find(seed);
    if (found == quay.others.end()) return;
    const auto& other = found->second;
    if (now.steadyMs - other.heardMs > bounds(quay).termMs || !other.last.empty || other.last.seeds != seeds) return;
    if (other.echoMs < now.steadyMs - bounds(quay).termMs) return;
    cohort.seats.push_back(other.last.seat);
  }
  installCohort(quay, cohort, now, out);
}

void tryReplace(QuayState& quay, Now now, Outbox& out) {
  if (quay.image.empty() || !mayVote(quay) || !standing(quay, now) || proposing(quay.crew, nextCohortKey(quay))) return;
  const Millis silentMs = 4 * bounds(quay).termMs;
  const Seat* lowest = nullptr;
  for (const auto& seat : quay.image.cohort.seats) {
    auto found = quay.others.find(seat.signal);
    const bool alive = seat.id == quay.image.id || (found != quay.others.end() && found->second.last.seat.id == seat.id &&
                                                    now.steadyMs - found->second.soundMs < bounds(quay).termMs);
    if (alive && (!lowest || seat.id < lowest->id)) lowest = &seat;
  }
  if (!lowest || lowest->id != quay.image.id) return;
  for (const auto& [address, other] : quay.others) {
    if (now.steadyMs - other.soundMs > bounds(quay).termMs || seated(quay.image.cohort, other.last.seat.id)) continue;
    if (other.echoMs < now.steadyMs - bounds(quay).termMs) continue;
    if (other.last.cohort.revision > quay.image.cohort.revision) continue;
    for (std::size_t i = 0; i < quay.image.cohort.seats.size(); ++i) {
      const auto& seat = quay.image.cohort.seats[i];
      if (seat.id == quay.image.id) continue;
      auto old = quay.others.find(seat.signal);
      const bool sameAddress = seat.signal == address;
      const bool silent = old == quay.others.end() || now.steadyMs - old->second.soundMs > silentMs;
      if (!sameAddress && (!silent || now.steadyMs < quay.bornMs + silentMs)) continue;
      Cohort next = quay.image.cohort;
      ++next.revision;
      next.seats[i] = other.last.seat;
      return proposeFixed(quay.crew, nextCohortKey(quay), hold::packCohort(next), now, out);
    }
  }
}

void onQuayBeat(QuayState& quay, const Heard& heard, const QuayBeat& beat, Now now, Outbox& out) {
  auto& other = quay.others[heard.from];
  if (other.last.seat.id == beat.seat.id && beat.sentMs < other.last.sentMs) return;
  const bool sameLife = other.last.seat.id == beat.seat.id;
  other.last = beat;
  other.last.chartValue.clear();
  other.heardMs = now.steadyMs;
  if (!beat.ailing) other.soundMs = now.steadyMs;
  if (!sameLife) other.echoMs = -1000000;
  if (beat.echoMs <= now.steadyMs) other.echoMs = std::max(other.echoMs, beat.echoMs);
  learnChart(quay, beat.chartBallot, beat.chartValue, now, out);
  if (beat.cohort.revision > quay.image.cohort.revision) {
    const bool empty = quay.image.empty();
    if (!empty || seated(beat.cohort, quay.image.id)) installCohort(quay, beat.cohort, now, out);
  }
  if (!beat.leader.term.owner.empty() && quay.leader.term <= beat.leader.term && beat.leaseLeftMs > 0) {
    quay.leader = beat.leader;
    quay.hintUntilMs = std::max(quay.hintUntilMs, now.steadyMs + beat.leaseLeftMs);
  }
}

bool cohortMatches(const QuayState& quay, Revision revision) {
  return revision == quay.image.cohort.revision && !quay.sealed && mayVote(quay) && seated(quay.image.cohort, quay.image.id);
}

void onRegisterPrepare(QuayState& quay, const Heard& heard, const RegisterPrepare& ask, Outbox& out) {
  const bool cohortKey = ask.key == nextCohortKey(quay);
  if (!mayVote(quay) || ask.cohort != quay.image.cohort.revision || (!cohortKey && !cohortMatches(quay, ask.cohort))) return;
  std::vector<DiskEntry> writes;
  auto reply = hold::promise(quay.image, ask, writes);
  persist(quay, std::move(writes), {{heard.from, reply}}, out);
}

void onRegisterAccept(QuayState& quay, const Heard& heard, const RegisterAccept& ask, Outbox& out) {
  const bool cohortKey = ask.key == nextCohortKey(quay);
  if (!mayVote(quay) || ask.cohort != quay.image.cohort.revision || (!cohortKey && !cohortMatches(quay, ask.cohort))) return;
  std::vector<DiskEntry> writes;
  auto reply = hold::accept(quay.image, ask, writes);
  if (cohortKey && reply.ok) quay.sealed = true;
  persist(quay, std::move(writes), {{heard.from, reply}}, out);
}

void onRegisterChosen(QuayState& quay, const RegisterChosen& chosen, Now now, Outbox& out) {
  if (chosen.key == kChartKey) learnChart(quay, chosen.ballot, chosen.value, now, out);
  else if (chosen.key == nextCohortKey(quay) && !quay.image.empty()) installCohort(quay, hold::unpackCohort(chosen.value), now, out);
}

void onAckQuery(QuayState& quay, const Heard& heard, const AckQuery& ask, Now now, Outbox& out) {
  AckState state{ask.chartRevision, ask.query, quay.learned.revision >= ask.chartRevision, {}};
  for (const auto& [id, row] : quay.sessions)
    if (row.member.acked < ask.chartRevision && now.steadyMs - row.heardMs <= bounds(quay).termMs + bounds(quay).beatMs())
      state.waiting.push_back(id);
  out.send(heard.from, std::move(state));
}

void onRangePrepare(QuayState& quay, const Heard& heard, const RangePrepare& ask, Now now, Outbox& out) {
  if (!cohortMatches(quay, ask.cohort)) return;
  RangePromise reply;
  reply.term = ask.term;
  reply.promised = quay.image.rangePromised;
  reply.fleetMs = fleetNow(quay.crew, now);
  const bool again = quay.image.rangePromised == ask.term;
  if (!again && (ask.term < quay.image.rangePromised || leaseLive(quay, now))) {
    reply.leaseLeftMs = std::max<Millis>(0, quay.leaseUntilMs - now.steadyMs);
    out.send(heard.from, std::move(reply));
    return;
  }
  reply.ok = true;
  reply.base = quay.image.rangeBase;
  for (const auto& [key, entry] : quay.image.jobs) reply.entries.push_back(entry);
  std::vector<DiskEntry> writes{hold::entry::rangePromise(ask.term)};
  persist(quay, std::move(writes), {{heard.from, std::move(reply)}}, out);
}

void onRangeAccept(QuayState& quay, const Heard& heard, const RangeAccept& ask, Now now, Outbox& out) {
  RangeAccepted reply{ask.term, ask.seq, ask.sentMs, false, ask.seq > 0, quay.image.rangePromised};
  if (!cohortMatches(quay, ask.cohort) || ask.term < quay.image.rangePromised) {
    ++quay.rangeDenied;
    out.send(heard.from, std::move(reply));
    return;
  }
  std::vector<DiskEntry> writes;
  if (quay.image.rangePromised < ask.term) {
    out.send(heard.from, std::move(reply));
    return;
  }
  ++quay.rangeAccepts;
  reply.ok = true;
  quay.leader = ask.hint;
  quay.leaseUntilMs = quay.hintUntilMs = now.steadyMs + bounds(quay).termMs;
  if (std::pair(ask.term, ask.sentMs) >= quay.fleetFrom) {
    quay.fleetFrom = {ask.term, ask.sentMs};
    setFleet(quay.crew, ask.fleetMs, now);
  }
  if (ask.seq > 0) {
    writes.push_back(hold::entry::rangeBase(ask.term));
    writes.push_back(hold::entry::fleet(ask.term, ask.fleetMs));
  }
  for (const auto& entry : ask.entries) writes.push_back(hold::entry::job(entry));
  persist(quay, std::move(writes), {{heard.from, std::move(reply)}}, out);
}

void onCatchUpAsk(QuayState& quay, const Heard& heard, const CatchUpAsk& ask, Now now, Outbox& out) {
  if (!mayVote(quay) || ask.cohort != quay.image.cohort.revision || !seated(quay.image.cohort, ask.id)) return;
  CatchUpGive give{ask.cohort, quay.image.id, quay.image.rangePromised, fleetNow(quay.crew, now), {}, {}, quay.image.rangeBase, {}};
  for (const auto& [key, entry] : quay.image.jobs) give.entries.push_back(entry);
  for (const auto& [key, slot] : quay.image.registers) {
    give.registers.push_back({key, {slot.accepted, 0}, slot.value});
    give.promises.push_back({key, {slot.promised, 0}, {}});
  }
  out.send(heard.from, std::move(give));
}

void onCatchUpGive(QuayState& quay, const CatchUpGive& give, Now now, Outbox& out) {
  if (quay.image.voting || give.cohort != quay.image.cohort.revision || !seated(quay.image.cohort, give.id)) return;
  quay.catchUp[give.id] = give;
  if (quay.catchUp.size() < majority(quay.image.cohort.seats.size())) return;
  std::vector<DiskEntry> writes{hold::entry::clear()};
  hold::apply(quay.image, writes.front());
  Ballot base;
  Millis fleetMs = 0;
  for (const auto& [id, each] : quay.catchUp) base = std::max(base, each.base);
  for (const auto& [id, each] : quay.catchUp)
    if (each.base == base) fleetMs = std::max(fleetMs, each.fleetMs);
  writes.push_back(hold::entry::fleet(base, fleetMs));
  setFleet(quay.crew, fleetMs, now);
  writes.push_back(hold::entry::rangeBase(base));
  for (const auto& [id, each] : quay.catchUp) {
    writes.push_back(hold::entry::rangePromise(each.rangePromised));
    if (each.base == base)
      for (const auto& entry : each.entries) writes.push_back(hold::entry::job(entry));
    for (const auto& entry : each.registers) {
      auto found = quay.image.registers.find(entry.key);
      if (found == quay.image.registers.end() || found->second.accepted < entry.version.ballot) {
        writes.push_back(hold::entry::registerAccept(entry.key, entry.version.ballot, entry.value));
        hold::apply(quay.image, writes.back());
      }
    }
    for (const auto& entry : each.promises) writes.push_back(hold::entry::registerPromise(entry.key, entry.version.ballot));
  }
  writes.push_back(hold::entry::voting(true));
  ++quay.catchUps;
  quay.leaseUntilMs = now.steadyMs + bounds(quay).termMs;
  quay.catchUp.clear();
  persist(quay, std::move(writes), {}, out);
}

void onTick(QuayState& quay, Now now, Outbox& out) {
  if (now.steadyMs - quay.beatSentMs >= bounds(quay).beatMs()) {
    tryForm(quay, now, out);
    sendQuayBeats(quay, now, out);
    if (!quay.image.empty() && !quay.image.voting && seated(quay.image.cohort, quay.image.id))
      for (const auto& seat : quay.image.cohort.seats)
        if (seat.id != quay.image.id) out.send(seat.signal, CatchUpAsk{quay.image.cohort.revision, quay.image.id});
    tryReplace(quay, now, out);
    std::erase_if(quay.sessions, [&](const auto& row) { return now.steadyMs - row.second.heardMs > 4 * bounds(quay).termMs; });
  }
  if (!mayVote(quay) || quay.image.empty()) return;
  if (standing(quay, now) && now.steadyMs >= quay.completeAtMs) {
    quay.completeAtMs = now.steadyMs + bounds(quay).termMs;
    auto found = quay.image.registers.find(kChartKey);
    const bool open = found != quay.image.registers.end() && quay.learnedBallot < found->second.accepted;
    if ((!quay.chartKnown || open) && !proposing(quay.crew, kChartKey)) proposeFixed(quay.crew, kChartKey, "", now, out);
    auto step = quay.image.registers.find(nextCohortKey(quay));
    if (step != quay.image.registers.end() && !step->second.value.empty() && !proposing(quay.crew, step->first))
      proposeFixed(quay.crew, step->first, "", now, out);
  }
}

}  // namespace

QuayState makeQuay(const Env& env, hold::Image image, std::string incarnation, Now now) {
  QuayState quay;
  quay.crew = makeCrew(env, image.id, std::move(incarnation));
  quay.crew.cohort = image.cohort;
  quay.crew.fleetMs = image.fleetMs;
  quay.crew.fleetAtMs = now.steadyMs;
  quay.bornMs = now.steadyMs;
  for (const auto& [key, slot] : image.registers)
    quay.crew.ballotNumber = std::max(quay.crew.ballotNumber, slot.promised.number);
  quay.image = std::move(image);
  if (auto found = quay.image.registers.find(nextCohortKey(quay)); found != quay.image.registers.end())
    quay.sealed = !found->second.value.empty();
  if (!quay.image.empty()) quay.leaseUntilMs = now.steadyMs + env.bounds.termMs;
  return quay;
}

bool standing(const QuayState& quay, Now now) {
  if (quay.image.empty()) return false;
  std::size_t count = 0;
  for (const auto& seat : quay.image.cohort.seats) {
    if (seat.id == quay.image.id) {
      ++count;
      continue;
    }
    auto found = quay.others.find(seat.signal);
    if (found != quay.others.end() && found->second.last.seat.id == seat.id &&
        found->second.echoMs >= now.steadyMs - bounds(quay).termMs)
      ++count;
  }
  return seated(quay.image.cohort, quay.image.id) && count >= majority(quay.image.cohort.seats.size());
}

bool ailing(const QuayState& quay) {
  return quay.diskFailed || (!quay.waiting.empty() && quay.stepMs - quay.waiting.begin()->second.sinceMs > bounds(quay).termMs);
}

void quayStep(QuayState& quay, const Event& event, Now now, Outbox& out) {
  quay.stepMs = now.steadyMs;
  if (const auto* heard = std::get_if<Heard>(&event)) {
    if (crewHeard(quay.crew, *heard, now, out)) {
      for (auto& proposal : quay.crew.proposals)
        if (proposal.phase == Phase::done && !proposal.edit && proposal.key == kChartKey && proposal.value.empty())
          quay.chartKnown = true;
      return;
    }
    std::visit(
        [&](const auto& body) {
          using Body = std::decay_t<decltype(body)>;
          if constexpr (std::is_same_v<Body, SessionBeat>) onSessionBeat(quay, *heard, body, now, out);
          else if constexpr (std::is_same_v<Body, QuayBeat>) onQuayBeat(quay, *heard, body, now, out);
          else if constexpr (std::is_same_v<Body, RegisterPrepare>) onRegisterPrepare(quay, *heard, body, out);
          else if constexpr (std::is_same_v<Body, RegisterAccept>) onRegisterAccept(quay, *heard, body, out);
          else if constexpr (std::is_same_v<Body, RegisterChosen>) onRegisterChosen(quay, body, now, out);
          else if constexpr (std::is_same_v<Body, AckQuery>) onAckQuery(quay, *heard, body, now, out);
          else if constexpr (std::is_same_v<Body, RangePrepare>) onRangePrepare(quay, *heard, body, now, out);
          else if constexpr (std::is_same_v<Body, RangeAccept>) onRangeAccept(quay, *heard, body, now, out);
          else if constexpr (std::is_same_v<Body, CatchUpAsk>) onCatchUpAsk(quay, *heard, body, now, out);
          else if constexpr (std::is_same_v<Body, CatchUpGive>) onCatchUpGive(quay, body, now, out);
          else if constexpr (std::is_same_v<Body, Resign>) {
            if (quay.leader.term == body.term) quay.leaseUntilMs = quay.hintUntilMs = now.steadyMs;
          }
        },
        heard->message);
  } else if (const auto* persisted = std::get_if<Persisted>(&event)) {
    auto found = quay.waiting.find(persisted->ticket);
    if (found == quay.waiting.end()) return;
    auto sends = std::move(found->second.sends);
    quay.waiting.erase(found);
    if (!persisted->ok) {
      quay.diskFailed = true;
    }
    if (!quay.diskFailed)
      for (auto& send : sends) out.sends.push_back(std::move(send));
  } else if (std::holds_alternative<Tick>(event)) {
    if (ailing(quay) != quay.ailed) {
      quay.ailed = !quay.ailed;
      out.alarms.push_back(quay.ailed ? "the disk takes no writes: this quay no longer votes" : "the disk takes writes again: this quay votes");
    }
    onTick(quay, now, out);
    crewTick(quay.crew, now, out);
    quay.crew.ready = mayVote(quay) && standing(quay, now) && sessionLive(quay.crew, now) && !quay.crew.leader.http.empty() && !quay.crew.leaving;
  }
}

}  // namespace tulip::watch
