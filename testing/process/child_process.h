// Starts a program for a test, reads its ports, sends it signals and ends it.
//
//     ChildProcess engine("build/testing/engine_stand_in", {"--token-rate", "200"});
//     engine.port("port");
//     engine.signal(SIGKILL);
//
// Not thread-safe.
#pragma once

#include <csignal>
#include <cstdint>
#include <string>
#include <sys/types.h>
#include <vector>

namespace ragwortwinch::process {

class ChildProcess {
public:
    // Starts the program and waits for the line that lists its ports. Throws std::runtime_error if it ends
    // without one.
    ChildProcess(const std::string& program, const std::vector<std::string>& arguments);
    // Kills the program, also a suspended one, and waits for its end, unless `wait` was called.
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    // Returns the number after `name=` in the line of ports. Throws std::runtime_error if there is none.
    std::uint16_t port(const std::string& name) const;
    pid_t pid() const { return pid_; }
    void signal(int number) const { kill(pid_, number); }
    // Waits for the end; returns the exit code, or the negated number of the signal that ended it.
    int wait();
    // Resident memory in kilobytes.
    long residentKilobytes() const;

private:
    bool isPortLine() const;

    pid_t pid_ = -1;
    std::string portLine_;
    bool hasEnded_ = false;
};

} // namespace ragwortwinch::process
