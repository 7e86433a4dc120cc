// A small deployment on loopback addresses: the project's own daemons as child processes, and stand-ins for workers,
// clients and the operator that keep to the users' pages.
#pragma once
#include <jansson.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Millis = long long;

Millis steadyMs();  // since the program's start
void sleepMs(Millis ms);

// Writes one line, with its time, to the record.
void note(const std::string& line);

struct Reply {
  int status = 0;  // 0: no whole answer came in time
  std::string body;
};

struct Request {
  std::string ip;
  int port = 0;
  std::string method = "GET";
  std::string path;
  std::string body;
  std::vector<std::string> headers;
  Millis timeoutMs = 1000;
};

Reply call(const Request& request);

// A run at a worker, as the worker knows it.
struct Run {
  std::string task;
  long long attempt = 0;
  Millis startedMs = 0;
  Millis workMs = 0;
  int gang = 0;  // members, 0: none
  long long cpu = 0;
};

struct End {
  long long number = 0;
  std::string task;
  long long attempt = 0;
  std::string how;
};

// What was run, by all workers, for the judge.
struct Started {
  Millis ms = 0;
  int worker = 0;
  std::string task;
  long long attempt = 0;
};
struct Ended {
  Millis ms = 0;
  int worker = 0;
  std::string task;
  long long attempt = 0;
  std::string how;
};

struct Bounds {
  Millis holdMostMs = 6000, gangWaitMs = 3000, stopMs = 200;
};

struct Journal {
  std::mutex lock;
  std::vector<Started> starts;
  std::vector<Ended> ends;
  std::map<std::string, std::set<std::string>> gangs;       // of a gang's attempt: members that are there
  std::map<std::string, Millis> gangWholeMs;                // since when all of them were there
  std::set<std::string> gangBroken;                         // attempts of which a member ended other than done
  std::map<std::string, long long> cpuOf;                   // of a job's tasks, by the job's id
};

class Worker {
 public:
  Worker(int number, std::string agentIp, int agentPort, std::string zone, std::string service, Journal& journal,
         Bounds bounds);
  ~Worker();
  void start();
  void stop();
  long long cpu = 16000, memMb = 65536;
  std::vector<std::string> labels;
  // What a start's job text means; by default "WORK_MS,GANG,CPU".
  std::size_t runningOf(const std::string& job);  // tasks of the job that run here
  long long cpuInUse();

 private:
  void loop();
  void work();
  std::string beat();
  void take(const std::string& body, Millis sentMs);
  void finish(const Run& run, const std::string& how);

  int number_;
  std::string ip_;
  int port_;
  std::string zone_, service_;
  Journal& journal_;
  Bounds bounds_;
  std::string id_;
  std::mutex lock_;
  std::map<std::string, Run> runs_;
  std::map<std::string, long long> passed_;  // highest attempt that was stopped or ended, by task
  std::vector<End> ends_;
  std::vector<std::pair<Millis, std::string>> stopping_;
  long long nextEnd_ = 1, calls_ = 0, fence_ = 0;
  Millis holdUntilMs_ = -1, nextBeatMs_ = 0;
  Millis endedMs_ = -1;
  std::atomic<bool> over_{false};
  std::thread thread_;
};

struct Process {
  std::string name, role, ip, zone, folder;
  pid_t pid = -1;
};

class Fleet {
 public:
  Fleet(int edges, int workers);
  ~Fleet();
  bool boot();  // daemons, configuration and workers; false: the case could not run
  void spawn(Process& process, bool firstBoot);
  Reply operatorCall(const std::string& method, const std::string& path, const std::string& body,
                     const std::string& basedOn, Millis forMs);
  // A client's call to one of the front addresses, or to the next ones after a failure.
  Reply clientCall(const std::string& method, const std::string& path, const std::string& body, int first = 0,
                   int tries = 5);

  std::vector<Process> edges, agents;
  std::vector<std::unique_ptr<Worker>> workers;
  Journal journal;
  Bounds bounds;
  std::string folder, service = "svc-a", host = "jobs.example";
  int frontPort = 0, controlPort = 0, readyPort = 0, firstPort = 0;
  std::string config;  // the first one
 private:
  std::string ipOf(int machine) const;
  std::string settings(const Process& process, bool firstBoot) const;
  std::string net_;
};

}  // namespace review
