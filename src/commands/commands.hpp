#pragma once

// Entry points of the commands that are not daemons: each parses its own flags and returns the process's exit code.
namespace tulip::commands {

int runStubWorker(int argc, char** argv);
int runCtl(int argc, char** argv);
int runLocalCluster(int argc, char** argv);
int runSimulate(int argc, char** argv);
int runModel(int argc, char** argv);

}  // namespace tulip::commands
