// One machine: the daemon of the deploy file as a separate process, with the settings template filled in.
#pragma once

#include "review/stand_in/record.h"
#include "review/stand_in/sockets.h"

#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <string>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

struct MachinePlan {
    std::string name;
    std::string folder;
    std::string daemon;
    std::uint16_t storePort = 0;
    std::uint16_t dutyPort = 0;
    std::vector<std::uint16_t> seedPorts;
    std::uint16_t peerPort = 0;
};

class Machine {
public:
    Machine(Record& record, MachinePlan plan)
        : record_(record)
        , plan_(std::move(plan))
        , frontPort_(freePort())
        , readyPort_(freePort())
        , directoryPort_(freePort())
        , adminPort_(freePort())
    {
        writeSettings();
    }
    ~Machine() { kill(); }

    const std::string& name() const { return plan_.name; }
    std::uint16_t frontPort() const { return frontPort_; }
    std::uint16_t adminPort() const { return adminPort_; }
    pid_t pid() const { return pid_; }

    void start()
    {
        std::string log = plan_.folder + "/" + plan_.name + ".log";
        std::string settings = settingsPath();
        const char* daemon = plan_.daemon.c_str();
        const char* settingsText = settings.c_str();
        const char* logText = log.c_str();
        pid_ = fork();
        if (pid_ == 0) {
            int output = open(logText, O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(output, 1);
            dup2(output, 2);
            execl(daemon, daemon, "--settings", settingsText, nullptr);
            _exit(127);
        }
        record_.add("machine %s: process started", plan_.name.c_str());
    }
    void signal(int number) const
    {
        if (pid_ > 0)
            ::kill(pid_, number);
    }
    // Whether the process has ended by itself since the last call; `how` then says how.
    bool hasEnded(std::string& how)
    {
        int status = 0;
        if (pid_ <= 0 || waitpid(pid_, &status, WNOHANG) != pid_)
            return false;
        pid_ = -1;
        how = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                  : "exit status " + std::to_string(WEXITSTATUS(status));
        return true;
    }
    void kill()
    {
        if (pid_ <= 0)
            return;
        ::kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }
    bool isReady() const
    {
        Socket socket = Socket::connectTo(readyPort_);
        return socket.isOpen() && socket.send("GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            && socket.readMessage(1000).status() == 200;
    }
    bool waitUntilReady(int millis) const
    {
        SteadyClock::time_point start = SteadyClock::now();
        while (millisSince(start) < millis) {
            if (isReady())
                return true;
            std::this_thread::sleep_for(Millis(50));
        }
        return false;
    }
    // Megabytes (10^6 bytes) of memory that the process has in use, or had at most ("VmRSS", "VmHWM").
    double memoryMegabytes(const std::string& field) const
    {
        std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
        std::string line;
        while (std::getline(file, line)) {
            if (line.rfind(field + ":", 0) == 0)
                return std::atof(line.c_str() + field.size() + 1) * 1024 / 1e6;
        }
        return 0;
    }

private:
    std::string settingsPath() const { return plan_.folder + "/" + plan_.name + ".jsonc"; }

    void writeSettings() const
    {
        std::string seeds;
        for (std::uint16_t port : plan_.seedPorts)
            seeds += (seeds.empty() ? "\"127.0.0.1:" : ",\"127.0.0.1:") + std::to_string(port) + "\"";
        std::ofstream file(settingsPath());
        file << "{\n  \"mode\": \"gateway\",\n  \"node\": \"" << plan_.name
             << "\",\n  \"availability_zone\": \"zone-a\",\n  \"region\": \"region-1\",\n"
             << "  \"entry_address\": \"127.0.0.1:" << frontPort_
             << "\",\n  \"readiness_address\": \"127.0.0.1:" << readyPort_
             << "\",\n  \"directory_address\": \"127.0.0.1:" << directoryPort_
             << "\",\n  \"admin_address\": \"127.0.0.1:" << adminPort_
             << "\",\n  \"peer_address\": \"127.0.0.1:" << plan_.peerPort
             << "\",\n  \"store_url\": \"http://127.0.0.1:" << plan_.storePort
             << "\",\n  \"duty_url\": \"http://127.0.0.1:" << plan_.dutyPort << "\",\n  \"seed_peers\": ["
             << seeds << "],\n  \"regions\": {\"zone-a\": \"region-1\"},\n  \"usage_window_s\": 5,\n"
             << "  \"link_mbps\": 1000.0,\n  \"processor_share\": 0.25,\n  \"processor_speed\": 1,\n"
             << "  \"repeat_ratio\": 0.2,\n  \"repeat_window_s\": 10,\n  \"repeat_slack\": 52\n}\n";
    }

    Record& record_;
    MachinePlan plan_;
    std::uint16_t frontPort_;
    std::uint16_t readyPort_;
    std::uint16_t directoryPort_;
    std::uint16_t adminPort_;
    pid_t pid_ = -1;
};

} // namespace review
