#include "daemon/metrics.hpp"

#include <algorithm>

#include "control/session.hpp"
#include "daemon/metrics_text.hpp"
#include "scheduler/due_times.hpp"

namespace tulip::daemon {
namespace {

using transport::AttemptState;
using transport::Now;

double seconds(Millis ms) { return static_cast<double>(ms) / 1000; }

double processorSeconds(ProcessorMicros micros) { return static_cast<double>(micros) / 1e6; }

double leftSeconds(Millis untilMs, Now now) { return seconds(std::max<Millis>(0, untilMs - now.steadyMs)); }

MetricLabels with(MetricLabels labels, std::string name, std::string value) {
  labels.emplace_back(std::move(name), std::move(value));
  return labels;
}

void addClient(MetricsText& out, const MetricLabels& labels, const Node& node, Now now) {
  const auto& client = clientOf(node);
  const bool live = control::sessionLive(client, now);
  out.gauge("tulippitch_ready", "1 while the daemon says that it is ready", labels, client.ready);
  out.gauge("tulippitch_session_live", "1 while the daemon has a session at a replica", labels, live);
  out.gauge("tulippitch_session_left_seconds", "time until the session lapses unless it is renewed", labels,
            leftSeconds(client.sessionUntilMs, now));
  out.gauge("tulippitch_configuration_version", "version of the configuration that is acted on", labels,
            static_cast<double>(client.configVersion));
  out.gauge("tulippitch_leader_term", "term of the leader that is followed", labels,
            static_cast<double>(client.leader.term.number));
  const auto raised = std::ranges::count_if(node.alarms.active, [](const auto& row) { return row.second.raised; });
  out.gauge("tulippitch_alarms", "alarms that are raised now", labels, static_cast<double>(raised));
  out.counter("tulippitch_alarms_raised_total", "alarms that were raised", labels, node.alarms.raised);
  out.counter("tulippitch_requests_total", "requests that reached the daemon", labels, node.asks);
  out.counter("tulippitch_requests_rejected_total", "requests that the daemon itself rejected", labels,
              node.rejectedAsks);
  out.counter("tulippitch_proposals_outbid_total", "proposals that another daemon's overtook", labels,
              client.contended);
}

void addReplica(MetricsText& out, const MetricLabels& labels, const control::ReplicaState& replica, Now now) {
  const auto leaseMs = replica.client.settings.bounds.leaseMs;
  const bool votes = replica.image.voting && !control::ailing(replica);
  out.gauge("tulippitch_replica_voting", "1 while the replica votes and its disk takes writes", labels, votes);
  out.gauge("tulippitch_replica_quorum_lease", "1 while a majority has acknowledged the replica within a lease", labels,
            control::hasQuorumLease(replica, now));
  out.gauge("tulippitch_replica_sessions", "sessions that the replica grants", labels,
            static_cast<double>(replica.sessions.size()));
  out.gauge("tulippitch_replica_jobs", "jobs that the replica keeps", labels,
            static_cast<double>(replica.image.jobs.size()));
  out.gauge("tulippitch_replica_unsynced_batches", "batches that wait for the disk", labels,
            static_cast<double>(replica.waiting.size()));
  out.gauge("tulippitch_membership_version", "version of the membership", labels,
            static_cast<double>(replica.image.membership.version));
  out.counter("tulippitch_replica_grants_total", "sessions granted or renewed", labels, replica.grants);
  out.counter("tulippitch_replica_catch_ups_total", "times that the replica caught up with others", labels,
              replica.catchUps);
  out.histogram("tulippitch_disk_sync_seconds", "time from a write to its acknowledgement by the disk", labels,
                replica.syncTimes, leaseMs);
}

struct AttemptsByState {
  std::size_t ordered = 0, running = 0, stopping = 0, ended = 0;
};

void addAttempts(MetricsText& out, const MetricLabels& labels, const AttemptsByState& attempts) {
  const std::pair<const char*, std::size_t> rows[] = {{"ordered", attempts.ordered},
                                                      {"running", attempts.running},
                                                      {"stopping", attempts.stopping},
                                                      {"ended", attempts.ended}};
  for (const auto& [state, count] : rows)
    out.gauge("tulippitch_attempts", "task attempts by state", with(labels, "state", state),
              static_cast<double>(count));
}

AttemptsByState attemptsOf(const scheduler::SchedulerState& scheduler) {
  AttemptsByState attempts;
  for (const auto& [worker, held] : scheduler.held)
    for (const auto& [id, where] : held) {
      const auto& task = scheduler.jobs.at(where.first).tasks[where.second];
      ++(task.stopping ? attempts.stopping : task.confirmed ? attempts.running : attempts.ordered);
    }
  return attempts;
}

void addScheduler(MetricsText& out, const MetricLabels& labels, const scheduler::SchedulerState& scheduler, Now now) {
  const auto& counts = scheduler.counts;
  const bool leads = scheduler::leads(scheduler, now);
  out.gauge("tulippitch_leading", "1 while the scheduler leads under a lease", labels, leads);
  out.gauge("tulippitch_leader_lease_left_seconds", "time until the leader's lease lapses", labels,
            leads ? leftSeconds(scheduler.leaseUntilMs, now) : 0);
  out.gauge("tulippitch_jobs_open", "accepted jobs that have not ended, at the leader", labels,
            leads ? static_cast<double>(scheduler.open.size()) : 0);
  out.gauge("tulippitch_calls_forwarded_waiting", "calls that wait for the leader's answer", labels,
            static_cast<double>(scheduler.forwards.size()));
  if (leads) addAttempts(out, labels, attemptsOf(scheduler));
  out.histogram("tulippitch_batch_commit_seconds", "time from sealing a batch to its commit at a majority", labels,
                scheduler.batchTimes, scheduler.client.settings.bounds.leaseMs);
  out.histogram("tulippitch_due_start_delay_seconds",
                "time from when an instance fell due, by the time of day, to the order of its first task", labels,
                scheduler.dueDelays, scheduler.client.settings.bounds.leaseMs);
  if (const auto offsetMs = leads ? scheduler::fleetTimeOffsetMs(scheduler, now) : std::nullopt)
    out.gauge("tulippitch_fleet_time_offset_seconds",
              "the time of day less the fleet's time, at the leader: rises by each outage of the whole control side",
              labels, seconds(*offsetMs));
  const std::pair<const char*, std::pair<const char*, std::uint64_t>> rows[] = {
      {"tulippitch_takeovers_total", {"times that the scheduler came to lead", counts.takeovers}},
      {"tulippitch_step_downs_total", {"times that the scheduler ceased to lead", counts.steppedDown}},
      {"tulippitch_campaigns_outbid_total", {"campaigns that another candidate won", counts.outbid}},
      {"tulippitch_epochs_total", {"plans that were made", counts.epochs}},
      {"tulippitch_jobs_submitted_total", {"jobs that were handed in to the leader", counts.submitted}},
      {"tulippitch_jobs_rejected_total", {"jobs that the leader rejected", counts.rejected}},
      {"tulippitch_attempts_started_total", {"task attempts that were ordered", counts.starts}},
      {"tulippitch_attempts_clean_total", {"task attempts that ended cleanly", counts.cleans}},
      {"tulippitch_attempts_failed_total", {"task attempts that failed", counts.failures}},
      {"tulippitch_attempts_lost_total", {"task attempts whose worker was lost", counts.lost}},
      {"tulippitch_attempts_preempted_total", {"task attempts stopped for other work", counts.preempted}},
      {"tulippitch_attempt_waits_overdue_total", {"waits of attempts past their bound", counts.overdueRuns}},
      {"tulippitch_workers_shunned_total", {"times that a worker was shunned", counts.shuns}}};
  for (const auto& [name, row] : rows) out.counter(name, row.first, labels, row.second);
}

void addAgent(MetricsText& out, const MetricLabels& labels, const agent::AgentState& agent, Now now) {
  AttemptsByState attempts;
  for (const auto& [id, attempt] : agent.runs) {
    attempts.ordered += attempt.state == AttemptState::ordered;
    attempts.running += attempt.state == AttemptState::running;
    attempts.stopping += attempt.state == AttemptState::stopping;
    attempts.ended += attempt.state == AttemptState::ended;
  }
  addAttempts(out, labels, attempts);
  out.gauge("tulippitch_worker_heard", "1 once this process has heard its worker", labels, agent.heard);
  if (agent.heard)
    out.gauge("tulippitch_worker_silent_seconds", "time since the worker was heard", labels,
              seconds(now.steadyMs - agent.workerMs));
  const auto& counts = agent.counts;
  out.counter("tulippitch_agent_reports_total", "reports sent to the leader", labels, counts.reports);
  out.counter("tulippitch_agent_orders_total", "orders taken from the leader", labels, counts.orders);
  out.counter("tulippitch_agent_orders_rejected_total", "orders rejected as late or of an older term", labels,
              counts.rejectedOrders);
  out.counter("tulippitch_agent_lost_by_silence_total", "attempts ended since their worker was silent", labels,
              counts.silences);
}

void addSteps(MetricsText& out, const StepCosts& costs) {
  for (std::size_t place = 0; place < costs.size(); ++place) {
    const auto& cost = costs.at(place);
    if (cost.steps == 0) continue;
    const MetricLabels labels{{"event", std::string(nameOf(static_cast<EventKind>(place)))}};
    out.counter("tulippitch_steps_total", "steps of the core thread by the kind of event", labels, cost.steps);
    out.gauge("tulippitch_steps_processor_seconds", "processor time of these steps since the start", labels,
              processorSeconds(cost.processorUs));
    out.gauge("tulippitch_step_longest_seconds", "processor time of the longest of these steps", labels,
              processorSeconds(cost.longestUs));
    out.gauge("tulippitch_event_longest_wait_seconds", "longest time that such an event waited for its step", labels,
              seconds(cost.longestWaitMs));
  }
}

void addProcess(MetricsText& out, const http::HttpCounts& http, const transport::WireCounts* wire) {
  out.gauge("tulippitch_http_connections", "open connections of callers, operators and workers", {},
            static_cast<double>(http.open.load()));
  for (std::size_t status = 0; status < http.byStatus.size(); ++status)
    if (const auto count = http.byStatus[status].load(); count > 0)
      out.counter("tulippitch_http_answers_total", "answers by status", {{"code", std::to_string(status)}}, count);
  out.counter("tulippitch_http_deadlines_total", "requests whose deadline passed first", {}, http.deadlines);
  out.counter("tulippitch_http_overloaded_total", "requests rejected since too many waited", {}, http.overloaded);
  out.counter("tulippitch_http_closed_for_others_total", "connections that gave their place or memory to others", {},
              http.closedForOthers);
  if (!wire) return;
  out.counter("tulippitch_peer_closed_unproven_total", "connections that gave way before a readable frame", {},
              wire->closedUnproven);
  out.gauge("tulippitch_peer_queued_bytes", "bytes that wait for connections to other daemons", {},
            static_cast<double>(wire->queuedBytes.load()));
  out.counter("tulippitch_peer_frames_sent_total", "frames sent to other daemons", {}, wire->sent);
  out.counter("tulippitch_peer_frames_received_total", "frames received from other daemons", {}, wire->received);
  out.counter("tulippitch_peer_frames_dropped_total", "frames dropped with their connection", {}, wire->dropped);
}

}  // namespace

std::string metricsOf(std::span<const Node* const> nodes, const http::HttpCounts& http, Now now) {
  MetricsText out;
  const transport::WireCounts* wire = nullptr;
  const StepTimes* stepTimes = nullptr;
  for (const auto* node : nodes) {
    const auto& settings = clientOf(*node).settings;
    const MetricLabels labels{{"role", std::string(roleName(settings.role))}, {"zone", settings.zone.value}};
    addClient(out, labels, *node, now);
    if (node->replica) addReplica(out, labels, *node->replica, now);
    if (node->scheduler) addScheduler(out, labels, *node->scheduler, now);
    if (node->agent) addAgent(out, labels, *node->agent, now);
    if (node->wire) wire = node->wire;
    if (node->stepTimes) stepTimes = node->stepTimes;
  }
  addProcess(out, http, wire);
  if (stepTimes) addSteps(out, stepTimes->total());
  return out.text();
}

}  // namespace tulip::daemon
