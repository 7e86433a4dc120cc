// Elections: when a scheduler becomes a candidate, and how it gathers promises of its term.
//
// A campaign has two phases. A probe first asks every voter whether it would promise the term; nothing is promised by
// it, so it disturbs neither a leader nor another candidate. Only with a majority of such answers are the promises
// asked for. A promise gives its candidate a lease at that voter, in which no other term is promised. A campaign that
// can't win any more gives these leases back and is repeated after a random wait, whose span doubles with each failure.
#include <algorithm>

#include "base/address.hpp"
#include "scheduler/leadership.hpp"

namespace tulip::scheduler {

using namespace transport;

namespace {

constexpr std::uint64_t kMostDoublings = 3;  // of the span that waits are drawn from
constexpr std::uint64_t kMostYields = 3;     // of one scheduler to better placed ones, in one time without a leader

// A promise counts towards a majority of the membership that it was asked in only.
bool ofThisMembership(const SchedulerState& scheduler, const JobLogPromise& promise) {
  return promise.membership == 0 || promise.membership == scheduler.client.membership.version;
}

bool isVoter(const SchedulerState& scheduler, const DaemonId& id) {
  const auto& voters = scheduler.client.membership.voters;
  return std::any_of(voters.begin(), voters.end(), [&](const Voter& voter) { return voter.id == id; });
}

// Whether a voter of the membership runs on the host of the address.
bool besideVoter(const control::ControlClient& client, const Address& address) {
  const auto host = hostOf(address);
  return std::any_of(client.membership.voters.begin(), client.membership.voters.end(),
                     [&](const Voter& voter) { return hostOf(voter.peerAddress) == host; });
}

// Whether this scheduler runs beside no voter, while one that does has a session.
bool hasBetterPlaced(const SchedulerState& scheduler) {
  const auto& client = scheduler.client;
  if (besideVoter(client, client.settings.peerAddress)) return false;
  return std::any_of(client.members.begin(), client.members.end(), [&](const Member& member) {
    return member.role == Role::scheduler && !member.leaving && member.ageMs < bounds(scheduler).leaseMs &&
           besideVoter(client, member.peerAddress);
  });
}

// From 0 up to the span. Drawn from the incarnation, so that candidates that fail together try again apart.
Millis randomWaitMs(const SchedulerState& scheduler, Millis spanMs) {
  const auto& client = scheduler.client;
  const auto seed = client.id.value + "/" + client.incarnation + "/" + std::to_string(scheduler.campaigns) + "/";
  const auto drawn = control::mix("wait", control::mix(seed)) >> 16;
  return static_cast<Millis>(drawn % static_cast<std::uint64_t>(std::max<Millis>(1, spanMs)));
}

// Before the first campaign after a leader: schedulers beside a voter come first. Whether there are any is not known
// yet where everything has just started, so it isn't asked.
Millis firstWaitMs(const SchedulerState& scheduler) {
  const auto& client = scheduler.client;
  const Millis spanMs = bounds(scheduler).heartbeatMs();
  return (besideVoter(client, client.settings.peerAddress) ? 0 : spanMs) + randomWaitMs(scheduler, spanMs);
}

// Before the next campaign after one that failed.
Millis retryWaitMs(const SchedulerState& scheduler) {
  const Millis spanMs = bounds(scheduler).heartbeatMs() << std::min(scheduler.failedCampaigns, kMostDoublings);
  return bounds(scheduler).heartbeatMs() / 2 + randomWaitMs(scheduler, std::min(spanMs, bounds(scheduler).leaseMs));
}

bool isCandidate(const SchedulerState& scheduler) {
  return scheduler.course == Course::probing || scheduler.course == Course::preparing;
}

void startPhase(SchedulerState& scheduler, Course phase, Now now) {
  scheduler.course = phase;
  scheduler.promises.clear();
  scheduler.refusals.clear();
  scheduler.campaignMembership = scheduler.client.membership.version;
  scheduler.prepareStartMs = now.steadyMs;
  scheduler.prepareSentMs = -1000000;
  scheduler.valuesAskedMs = -1000000;
  scheduler.valueAsks = 0;
}

void startCampaign(SchedulerState& scheduler, Now now) {
  const auto& client = scheduler.client;
  ++scheduler.campaigns;
  scheduler.highestSeen = std::max(scheduler.highestSeen, client.leader.term.number);
  scheduler.term = Ballot{scheduler.highestSeen + 1, client.id.value + "/" + client.incarnation};
  startPhase(scheduler, Course::probing, now);
}

// A refused probe has harmed nobody, so it costs no longer wait.
void failCampaign(SchedulerState& scheduler, Now now, Outbox& out) {
  if (scheduler.course == Course::preparing) {
    ++scheduler.counts.outbid;
    ++scheduler.failedCampaigns;
    for (const auto& voter : scheduler.client.membership.voters) out.send(voter.peerAddress, Resign{scheduler.term});
  }
  resetCourse(scheduler, now, out);
  scheduler.tryAtMs = now.steadyMs + retryWaitMs(scheduler);
}

// A voter whose lease for another runs out meanwhile consents when it is probed again.
bool isAnswered(const SchedulerState& scheduler, const DaemonId& voter) {
  if (scheduler.promises.contains(voter)) return true;
  return scheduler.course == Course::preparing && scheduler.refusals.contains(voter);
}

void askVoters(SchedulerState& scheduler, Now now, Outbox& out) {
  scheduler.prepareSentMs = now.steadyMs;
  JobLogPrepare ask{scheduler.client.membership.version, scheduler.term, hintOf(scheduler)};
  ask.probe = scheduler.course == Course::probing;
  const auto host = hostOf(scheduler.client.settings.peerAddress);
  for (const auto& voter : scheduler.client.membership.voters) {
    if (isAnswered(scheduler, voter.id)) continue;
    ask.versionsOnly = hostOf(voter.peerAddress) != host;
    out.send(voter.peerAddress, ask);
  }
}

// Asks one voter for values that no promise has brought, and after a pause without an answer the next one that has
// them.
void askForValues(SchedulerState& scheduler, const std::vector<DaemonId>& holders, Now now, Outbox& out) {
  if (now.steadyMs - scheduler.valuesAskedMs < promisePauseMs(scheduler)) return;
  const auto& holder = holders[scheduler.valueAsks++ % holders.size()];
  scheduler.valuesAskedMs = now.steadyMs;
  for (const auto& voter : scheduler.client.membership.voters)
    if (voter.id == holder)
      out.send(voter.peerAddress,
               JobLogPrepare{scheduler.client.membership.version, scheduler.term, hintOf(scheduler)});
}

bool hasMajority(const SchedulerState& scheduler) {
  return scheduler.promises.size() >= control::majority(scheduler.client.membership.voters.size());
}

// With the promises of a majority the candidate leads, once it has the values of the state that they name.
void leadOnPromises(SchedulerState& scheduler, Now now, Outbox& out) {
  const auto holders = holdersOfMissingValues(scheduler.promises);
  if (holders.empty()) return takeOver(scheduler, now, out);
  askForValues(scheduler, holders, now, out);
}

// A promise that leaves values out says less than one of the same voter that doesn't.
void notePromise(SchedulerState& scheduler, const DaemonId& voter, const JobLogPromise& promise) {
  const auto known = scheduler.promises.find(voter);
  const bool hadValues = known != scheduler.promises.end() && known->second.leftOut.empty();
  if (hadValues && !promise.leftOut.empty()) return;
  scheduler.promises[voter] = promise;
  if (promise.leftOut.empty()) scheduler.valuesAskedMs = -1000000;
}

void onRefusal(SchedulerState& scheduler, const DaemonId& voter, const JobLogPromise& refusal, Now now, Outbox& out) {
  scheduler.refusals.insert(voter);
  const bool termTooLow = scheduler.term < refusal.promised;
  if (scheduler.course == Course::probing && termTooLow) return failCampaign(scheduler, now, out);
  const auto voters = scheduler.client.membership.voters.size();
  if (scheduler.refusals.size() > voters - control::majority(voters)) failCampaign(scheduler, now, out);
}

// The state has a long way to a scheduler beside no voter: over a narrow link it takes many leases, and whatever else
// is sent to that machine waits behind it. So it leaves the chance to those that are better placed, for a wait that
// doubles each time. The number of times is bounded, since they may be unable to lead.
bool mayYield(const SchedulerState& scheduler) { return scheduler.yields < kMostYields && hasBetterPlaced(scheduler); }

void yield(SchedulerState& scheduler, Now now, Outbox& out) {
  const Millis waitMs = 2 * bounds(scheduler).heartbeatMs() << scheduler.yields;
  ++scheduler.yields;
  resetCourse(scheduler, now, out);
  scheduler.tryAtMs = now.steadyMs + waitMs;
}

void onConsent(SchedulerState& scheduler, const DaemonId& voter, const JobLogPromise& promise, Now now, Outbox& out) {
  if (promise.probe && scheduler.course == Course::preparing) return;
  notePromise(scheduler, voter, promise);
  scheduler.refusals.erase(voter);
  if (!hasMajority(scheduler)) return;
  if (scheduler.course == Course::preparing) return leadOnPromises(scheduler, now, out);
  if (mayYield(scheduler)) return yield(scheduler, now, out);
  scheduler.highestSeen = std::max(scheduler.highestSeen, scheduler.term.number);
  startPhase(scheduler, Course::preparing, now);
  askVoters(scheduler, now, out);
}

// A voter that joins a term which is led already.
void onLatePromise(SchedulerState& scheduler, const DaemonId& id, const JobLogPromise& promise, Now now, Outbox& out) {
  auto found = scheduler.voters.find(id);
  if (found == scheduler.voters.end() || found->second.promised) return;
  mergePromise(scheduler, id, promise);
  for (auto& [voterId, voter] : scheduler.voters) sendVoter(scheduler, voter, now, out);
}

}  // namespace

void onPromise(SchedulerState& scheduler, const Heard& heard, const JobLogPromise& promise, Now now, Outbox& out) {
  scheduler.highestSeen = std::max(scheduler.highestSeen, promise.promised.number);
  if (promise.term != scheduler.term) return;
  if (!isVoter(scheduler, heard.fromId) || !ofThisMembership(scheduler, promise)) return;
  noteClock(scheduler.clocks, heard.from, promise.wallMs, now.steadyMs);
  if (isCandidate(scheduler)) {
    std::erase_if(scheduler.promises, [&](const auto& each) { return !ofThisMembership(scheduler, each.second); });
    if (promise.ok) return onConsent(scheduler, heard.fromId, promise, now, out);
    return onRefusal(scheduler, heard.fromId, promise, now, out);
  }
  if (scheduler.course != Course::leading || promise.probe) return;
  if (promise.ok)
    onLatePromise(scheduler, heard.fromId, promise, now, out);
  else if (scheduler.term < promise.promised)
    if (auto found = scheduler.voters.find(heard.fromId); found != scheduler.voters.end())
      onVoterAhead(scheduler, found->second, now, out);
}

void follow(SchedulerState& scheduler, Now now) {
  const auto& client = scheduler.client;
  if (client.leaving || !control::sessionLive(client, now) || client.membership.voters.empty()) return;
  if (!client.leader.http.empty() && client.leader.peerAddress != client.settings.peerAddress) {
    scheduler.tryAtMs = 0;
    scheduler.failedCampaigns = 0;
    scheduler.yields = 0;
    return;
  }
  if (scheduler.tryAtMs == 0) scheduler.tryAtMs = now.steadyMs + firstWaitMs(scheduler);
  if (now.steadyMs >= scheduler.tryAtMs) startCampaign(scheduler, now);
}

void campaign(SchedulerState& scheduler, Now now, Outbox& out) {
  const auto& limits = bounds(scheduler);
  const Millis spanMs = scheduler.course == Course::probing ? limits.leaseMs / 2 : limits.leaseMs;
  if (now.steadyMs - scheduler.prepareStartMs > spanMs || !control::sessionLive(scheduler.client, now))
    return failCampaign(scheduler, now, out);
  if (scheduler.campaignMembership != scheduler.client.membership.version) {
    scheduler.campaignMembership = scheduler.client.membership.version;
    scheduler.refusals.clear();
    scheduler.prepareSentMs = -1000000;
  }
  const Millis pauseMs =
      scheduler.course == Course::probing ? bounds(scheduler).heartbeatMs() : promisePauseMs(scheduler);
  if (now.steadyMs - scheduler.prepareSentMs >= pauseMs) askVoters(scheduler, now, out);
  if (scheduler.course == Course::preparing && hasMajority(scheduler)) leadOnPromises(scheduler, now, out);
}

}  // namespace tulip::scheduler
