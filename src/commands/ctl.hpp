#pragma once
#include <string>
#include <vector>

#include "http/call_policy.hpp"
#include "http/http.hpp"

namespace tulip::commands {

/// The daemons that one `ctl` command speaks to, and how.
struct CtlClient {
  std::vector<Address> at;
  std::string journal;  // file for what was seen, for `simulate --journals`; empty: none
  Millis deadlineMs = 15000;
  bool json = false;      // answers are printed as they came
  std::string requestId;  // under which a change may be sent again
};

struct CtlRequest {
  std::string method, target, body;
};

/// Milliseconds of the clock that never steps, as journals have them.
Millis steadyMs();
void writeJournal(const CtlClient& ctl, const std::string& line);
/// What is known of a call by its reply, for the rule of when it may be sent again.
http::Loss lossOf(const http::CallReply& reply);
/// Asks one daemon after another, for as long as the table of calls lets this one be sent again.
http::CallReply ask(const CtlClient& ctl, const CtlRequest& request);

/// Prints an answer. Returns the process's exit code.
int show(const CtlClient& ctl, const http::CallReply& reply);
/// Prints the alarms that are raised at each of the daemons asked, since each tells what it knows itself.
void showAlarms(const CtlClient& ctl);

/// Answers an SQL query on a snapshot of the fleet. Returns the process's exit code.
int runQuery(const CtlClient& ctl, const std::string& sql);
/// Submits jobs as a scenario says and waits for their ends. Returns the process's exit code.
int runLoad(const CtlClient& ctl, const std::string& scenario, double seconds, double factor);

}  // namespace tulip::commands
