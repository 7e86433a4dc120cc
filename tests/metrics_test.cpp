#include "daemon/metrics.hpp"

#include <CppUTest/TestHarness.h>

#include <set>
#include <sstream>

#include "daemon/metrics_text.hpp"

using namespace tulip;

namespace {

constexpr Millis kNowMs = 100000;

std::vector<std::string> linesOf(const std::string& text) {
  std::istringstream in(text);
  std::vector<std::string> lines;
  for (std::string line; std::getline(in, line);) lines.push_back(line);
  return lines;
}

bool has(const std::string& text, const std::string& line) {
  const auto lines = linesOf(text);
  return std::find(lines.begin(), lines.end(), line) != lines.end();
}

daemon::Node nodeOf(Role role) {
  Settings settings;
  settings.role = role;
  settings.zone = ZoneName("north-a");
  settings.peerAddress = Address("10.0.0.9:7721");
  settings.worker = "w";
  storage::Image image;
  image.id = DaemonId("r");
  return daemon::makeNode(settings, DaemonId("d"), "i", image, {kNowMs});
}

}  // namespace

TEST_GROUP(metrics){};

TEST(metrics, a_family_is_told_with_its_help_its_type_and_all_its_samples_together) {
  daemon::MetricsText text;
  text.gauge("a_seconds", "first", {{"role", "x"}}, 0.25);
  text.counter("b_total", "second", {}, 7);
  text.gauge("a_seconds", "first", {{"role", "y"}}, 3);
  STRCMP_EQUAL(
      "# HELP a_seconds first\n# TYPE a_seconds gauge\na_seconds{role=\"x\"} 0.25\na_seconds{role=\"y\"} 3\n"
      "# HELP b_total second\n# TYPE b_total counter\nb_total 7\n",
      text.text().c_str());
}

TEST(metrics, labels_are_escaped) {
  daemon::MetricsText text;
  text.counter("a_total", "a", {{"l", "q\"b\\s\nn"}}, 1);
  CHECK(has(text.text(), "a_total{l=\"q\\\"b\\\\s\\nn\"} 1"));
}

TEST(metrics, a_histogram_counts_up_to_each_bound_in_seconds) {
  DurationHistogram durations;
  durations.note(5, 1000);       // at the first bound
  durations.note(6, 1000);       // over it
  durations.note(100000, 1000);  // over all
  daemon::MetricsText out;
  out.histogram("t_seconds", "t", {{"role", "r"}}, durations, 1000);
  const auto text = out.text();
  CHECK(has(text, "t_seconds_bucket{role=\"r\",le=\"0.005\"} 1"));
  CHECK(has(text, "t_seconds_bucket{role=\"r\",le=\"0.01\"} 2"));
  CHECK(has(text, "t_seconds_bucket{role=\"r\",le=\"2\"} 2"));
  CHECK(has(text, "t_seconds_bucket{role=\"r\",le=\"+Inf\"} 3"));
  CHECK(has(text, "t_seconds_sum{role=\"r\"} 100.011"));
  CHECK(has(text, "t_seconds_count{role=\"r\"} 3"));
}

TEST(metrics, a_process_tells_the_figures_of_all_its_nodes) {
  auto scheduler = nodeOf(Role::scheduler), replica = nodeOf(Role::replica);
  scheduler.scheduler->client.sessionUntilMs = kNowMs + 500;
  scheduler.scheduler->client.configVersion = 12;
  scheduler.scheduler->counts.overdueRuns = 3;
  scheduler.scheduler->dueDelays.note(250, 1000);
  http::HttpCounts http;
  http.byStatus[503] = 4;
  const std::vector<const daemon::Node*> nodes{&scheduler, &replica};
  const auto text = daemon::metricsOf(nodes, http, {kNowMs});
  CHECK(has(text, "tulippitch_session_live{role=\"scheduler\",zone=\"north-a\"} 1"));
  CHECK(has(text, "tulippitch_session_left_seconds{role=\"scheduler\",zone=\"north-a\"} 0.5"));
  CHECK(has(text, "tulippitch_session_live{role=\"replica\",zone=\"north-a\"} 0"));
  CHECK(has(text, "tulippitch_configuration_version{role=\"scheduler\",zone=\"north-a\"} 12"));
  CHECK(has(text, "tulippitch_attempt_waits_overdue_total{role=\"scheduler\",zone=\"north-a\"} 3"));
  CHECK(has(text, "tulippitch_due_start_delay_seconds_sum{role=\"scheduler\",zone=\"north-a\"} 0.25"));
  CHECK(has(text, "tulippitch_leading{role=\"scheduler\",zone=\"north-a\"} 0"));
  CHECK(has(text, "tulippitch_disk_sync_seconds_count{role=\"replica\",zone=\"north-a\"} 0"));
  CHECK(has(text, "tulippitch_http_answers_total{code=\"503\"} 4"));
  CHECK(text.find("code=\"200\"") == std::string::npos);
}

TEST(metrics, an_agent_tells_its_attempts_by_state) {
  auto agent = nodeOf(Role::agent);
  agent.agent->runs[AttemptId("j:a:1")].state = transport::AttemptState::running;
  agent.agent->runs[AttemptId("j:b:1")].state = transport::AttemptState::running;
  agent.agent->runs[AttemptId("j:c:1")].state = transport::AttemptState::stopping;
  const std::vector<const daemon::Node*> nodes{&agent};
  const auto text = daemon::metricsOf(nodes, {}, {kNowMs});
  CHECK(has(text, "tulippitch_attempts{role=\"agent\",zone=\"north-a\",state=\"running\"} 2"));
  CHECK(has(text, "tulippitch_attempts{role=\"agent\",zone=\"north-a\",state=\"stopping\"} 1"));
  CHECK(has(text, "tulippitch_worker_heard{role=\"agent\",zone=\"north-a\"} 0"));
}

TEST(metrics, steps_are_told_by_the_kind_of_event_and_slow_ones_in_a_line) {
  daemon::StepTimes times;
  times.note(daemon::EventKind::report, 2000, 5);
  times.note(daemon::EventKind::report, 1000, 40);
  STRCMP_EQUAL("", times.takeSlowLine(1000).c_str());
  times.note(daemon::EventKind::tick, 101000, 0);
  times.note(daemon::EventKind::replication, 100, 300);
  STRCMP_EQUAL(
      "slow steps: tick 1 in 101 ms, longest 101 ms, waited 0 ms; report 2 in 3 ms, longest 2 ms, waited 40 ms;"
      " replication 1 in 0 ms, longest 0 ms, waited 300 ms;",
      times.takeSlowLine(1000).c_str());
  STRCMP_EQUAL("", times.takeSlowLine(1000).c_str());
  auto scheduler = nodeOf(Role::scheduler);
  scheduler.stepTimes = &times;
  const std::vector<const daemon::Node*> nodes{&scheduler};
  const auto text = daemon::metricsOf(nodes, {}, {kNowMs});
  CHECK(has(text, "tulippitch_steps_total{event=\"report\"} 2"));
  CHECK(has(text, "tulippitch_steps_processor_seconds{event=\"tick\"} 0.101"));
  CHECK(has(text, "tulippitch_step_longest_seconds{event=\"report\"} 0.002"));
  CHECK(has(text, "tulippitch_event_longest_wait_seconds{event=\"replication\"} 0.3"));
  CHECK(text.find("event=\"call\"") == std::string::npos);
}

TEST(metrics, an_event_is_of_the_kind_that_its_message_is_of) {
  const auto heard = [](transport::Message message) {
    return daemon::kindOf(transport::Heard{DaemonId("a"), Address("10.0.0.1:1"), std::move(message)});
  };
  CHECK(heard(transport::JobLogAccepted{}) == daemon::EventKind::replication);
  CHECK(heard(transport::AgentReport{}) == daemon::EventKind::report);
  CHECK(heard(transport::SessionGrant{}) == daemon::EventKind::session);
  CHECK(heard(transport::AckState{}) == daemon::EventKind::configuration);
  CHECK(heard(transport::CallAsk{}) == daemon::EventKind::call);
  CHECK(daemon::kindOf(transport::Ask{}) == daemon::EventKind::request);
  CHECK(daemon::kindOf(transport::Persisted{}) == daemon::EventKind::disk);
}

TEST(metrics, every_sample_belongs_to_the_family_above_it_and_each_family_is_told_once) {
  auto scheduler = nodeOf(Role::scheduler), replica = nodeOf(Role::replica);
  const std::vector<const daemon::Node*> nodes{&scheduler, &replica};
  std::set<std::string> families;
  std::string family;
  std::size_t samples = 0;
  for (const auto& line : linesOf(daemon::metricsOf(nodes, {}, {kNowMs}))) {
    if (line.starts_with("# TYPE ")) {
      family = line.substr(7, line.find(' ', 7) - 7);
      CHECK(families.insert(family).second);
    } else if (!line.starts_with("#")) {
      ++samples;
      CHECK(line.starts_with(family));
    }
  }
  CHECK(samples > families.size());
}
