#pragma once
/// What the parts of leadership share: elections, takeover and replication.
#include "scheduler/internal.hpp"

namespace tulip::scheduler {

/// After which a voter that has not answered is asked for its promise again. Its answer brings its whole state, so
/// asking sooner than that can have arrived only fills the asker's link with copies, behind which all acknowledgements
/// wait.
inline Millis promisePauseMs(const SchedulerState& scheduler) { return bounds(scheduler).leaseMs / 2; }

// Elections (election.cpp).

/// Starts a campaign once no leader is heard.
void follow(SchedulerState& scheduler, transport::Now now);

/// Goes on with a campaign: asks the voters again, and gives up once its time is over.
void campaign(SchedulerState& scheduler, transport::Now now, transport::Outbox& out);

void onPromise(SchedulerState& scheduler, const transport::Heard& heard, const transport::JobLogPromise& promise,
               transport::Now now, transport::Outbox& out);

// Takeover (takeover.cpp).

/// Leads on the promises of a majority: takes the newest of what they hold.
void takeOver(SchedulerState& scheduler, transport::Now now, transport::Outbox& out);

/// Works out what a voter that has promised the term is owed.
void mergePromise(SchedulerState& scheduler, const DaemonId& id, const transport::JobLogPromise& promise);

// Replication (replication.cpp).

transport::LeaderHint hintOf(const SchedulerState& scheduler);

/// The version that entries written now get.
transport::EntryVersion versionNow(const SchedulerState& scheduler);

/// Writes an entry under the present version, and owes it to every voter.
void write(SchedulerState& scheduler, const std::string& key, std::string value);

/// Brings the rows of voters in line with the membership.
void refreshVoters(SchedulerState& scheduler);

/// Sends every voter what is due: a request for its promise, a batch, a batch again, a heartbeat.
void replicate(SchedulerState& scheduler, transport::Now now, transport::Outbox& out);

/// Sends a voter what it is owed, unless an earlier batch is still unacknowledged.
void sendVoter(SchedulerState& scheduler, VoterRow& voter, transport::Now now, transport::Outbox& out);

void onAccepted(SchedulerState& scheduler, const transport::Heard& heard, const transport::JobLogAccepted& reply,
                transport::Now now, transport::Outbox& out);

/// A voter promised a newer term. This leader goes on while a majority keeps to its term, but gives way when nobody
/// comes to lead the newer one: the voter would stay out of step.
void onVoterAhead(SchedulerState& scheduler, VoterRow& voter, transport::Now now, transport::Outbox& out);

/// Makes a batch of the changes since the last one.
void sealBatch(SchedulerState& scheduler, transport::Now now, transport::Outbox& out);

// The scheduler's course (leadership.cpp).

void stepDown(SchedulerState& scheduler, transport::Now now, transport::Outbox& out, std::string_view why);

/// Gives up what a candidate or leader holds and follows again.
void resetCourse(SchedulerState& scheduler, transport::Now now, transport::Outbox& out);

}  // namespace tulip::scheduler
