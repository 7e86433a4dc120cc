#pragma once
#include <optional>

#include "base/duration_histogram.hpp"
#include "control/client.hpp"

#include "storage/image.hpp"

namespace tulip::control {

struct PeerReplica {
  Incarnation incarnation;  // that last and the times below are of
  transport::ReplicaHeartbeat last;
  Millis heardMs = -1000000;
  Millis soundMs = -1000000;
  Millis acknowledgedMs = -1000000;
  Millis repliedMs = -1000000;
  std::optional<Millis> behindSinceMs;  // since when it is not known to have what is chosen, or was last sent it
  Ballot behindAt;                      // what it had learned then
  std::vector<transport::Member> sessions;
  std::uint64_t sessionsDigest = 0;
};

struct Unsynced {
  Millis sinceMs = 0;
  std::vector<transport::Send> sends;
  Version learned = 0;  // the configuration's revision that is then kept as learned
};

struct SessionRow {
  transport::Member member;
  Millis heardMs = 0;
  std::uint64_t heartbeat = 0;
  Millis sentMs = 0;
  Incarnation incarnation{};        // that sentMs is a time of the clock of
  std::uint64_t membersDigest = 0;  // of the list that the daemon said it has
  Millis membersSentMs = -1000000;
  Version textVersion = 0;  // the configuration last sent to it
  Millis textSentMs = -1000000;
  Version textBase = 0;                 // the version that it was sent as a delta to; 0: whole
  std::uint64_t textHeartbeat = 0;      // that the grant with it answered
  std::uint64_t answeredHeartbeat = 0;  // the newest to which the daemon has received a grant
  std::uint64_t mostConfigBytes = 0;    // that it takes in one message; 0: any amount
  Millis behindSinceMs = -1;  // since when it is short of what is learned and has taken nothing newer; -1: not
};

struct Bootstrap {
  std::size_t candidates = 0;
  Millis grownMs = 0;
  transport::BootstrapProposal wanted;
};

struct ReplicaState {
  ControlClient client;
  storage::Image image;
  bool diskless = false;
  transport::Membership known;          // the newest membership heard of while holding none
  transport::BootstrapProposal joined;  // image.joined once it is synced
  std::uint64_t joinedTicket = 0;
  Bootstrap bootstrap;
  bool diskFailed = false;
  std::uint64_t ticket = 0;
  std::map<std::uint64_t, Unsynced> waiting;
  Millis stepMs = 0;
  bool ailed = false;
  std::map<Address, PeerReplica> others;
  std::map<DaemonId, SessionRow> sessions;
  Ballot learnedBallot;
  std::string learnedValue;
  config::Stored learned;
  Millis learnedMs = -1000000;
  std::vector<std::pair<Version, std::string>> olderTexts;
  std::map<Version, std::string> deltas;         // from an older revision to the learned one
  std::map<Version, std::uint64_t> textDigests;  // of the texts that are kept, once one was asked for
  std::vector<transport::Member> members;
  std::uint64_t membersDigest = 0;
  std::uint64_t rosterDigest = 0;  // of the members without what they acknowledged
  Version keptVersion = 0;         // learned, and synced as learned
  bool configKnown = false;
  std::map<DaemonId, Millis> formerUntilMs;  // voters no longer in the membership: when none of their
                                             // sessions can be left
  bool fenced = false;
  transport::LeaderHint leader;
  Millis leaseUntilMs = 0;
  Millis candidateUntilMs = 0;  // until then the candidate whose term was promised last may use that promise
  std::pair<Ballot, std::uint64_t> fleetFrom;  // term and number of the accept that the fleet's time was taken from
  Millis hintUntilMs = 0;
  Millis bornMs = 0;
  Millis heartbeatSentMs = -1000000;
  std::uint64_t heartbeatNumber = 0;
  Millis seedsMs = -1000000;
  Version remembered = 0;
  Millis rememberedMs = -1000000;
  bool refusesBootstrap = false;
  Millis completeAtMs = 0;
  int completionsLeft = 0;  // how often in a row this replica has left the completion of a round to another
  Millis openSinceMs = -1;
  Millis stepSinceMs = -1;
  Millis askedMs = -1000000;
  std::map<DaemonId, transport::CatchUpGive> catchUp;  // final states of the membership before
  std::uint64_t votingTicket = 0;                      // the batch with which this replica began to vote
  int stepYields = 0;                                  // how often this replica has let another complete the open step
  Version leftIn = 0;                                  // the membership that left this voter out, whose new
                                                       // voter may need its state
  DurationHistogram syncTimes;                         // from a write to its acknowledgement by the disk
  std::uint64_t jobLogAccepts = 0, jobLogRejected = 0, grants = 0, grantsRejected = 0, catchUps = 0;
};

ReplicaState makeReplica(const Settings& settings, storage::Image image, std::string incarnation, transport::Now now);
bool hasQuorumLease(const ReplicaState& replica, transport::Now now);
bool ailing(const ReplicaState& replica);
// Whether the daemon may end: nothing is left to hand over, or nobody is there to take it.
bool mayLeave(const ReplicaState& replica, transport::Now now);
void replicaStep(ReplicaState& replica, const transport::Event& event, transport::Now now, transport::Outbox& out);

}  // namespace tulip::control
