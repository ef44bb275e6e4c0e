// A small deployment: machines that run the program of the deploy file with its settings template, the record
// of a case, and its verdict.
#pragma once

#include "review/stand_in-2/platform.h"

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>

namespace review {

// Exit codes of a case.
inline constexpr int exitHeld = 0;
inline constexpr int exitBroken = 1;
inline constexpr int exitNotRun = 2;

inline bool isTroubled()
{
    const char* trouble = std::getenv("TROUBLE");
    return !trouble || std::string_view(trouble) != "0";
}

// Lines of record.txt, with the time since the start of the case.
class Record {
public:
    explicit Record(const std::string& path)
        : file_(path)
        , start_(Clock::now())
    {
    }
    void line(const std::string& text) { lineAt(Clock::now(), text); }
    void lineAt(Clock::time_point at, const std::string& text)
    {
        std::lock_guard<std::mutex> lock(mutex_);
        file_ << millis(at) << " ms  " << text << "\n";
    }
    std::int64_t millis(Clock::time_point at) const
    {
        return std::chrono::duration_cast<Millis>(at - start_).count();
    }
    std::int64_t now() const { return millis(Clock::now()); }
    int end(int exitCode, const std::string& verdict)
    {
        line(verdict);
        std::printf("%s\n", verdict.c_str());
        std::fflush(stdout);
        std::lock_guard<std::mutex> lock(mutex_);
        file_.flush();
        return exitCode;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
    Clock::time_point start_;
};

// Fills in the placeholders of the settings template. `values` holds the text for each name as DEPLOY.md
// renders it.
inline std::string filledTemplate(std::string text, const std::map<std::string, std::string>& values)
{
    std::size_t start = 0;
    while ((start = text.find("{{#")) != std::string::npos) {
        std::size_t nameEnd = text.find("}}", start);
        std::string name = text.substr(start + 3, nameEnd - start - 3);
        std::string close = "{{/" + name + "}}";
        std::size_t end = text.find(close, start);
        std::map<std::string, std::string>::const_iterator found = values.find(name);
        std::string content;
        if (found != values.end()) {
            content = text.substr(nameEnd + 2, end - nameEnd - 2);
            std::size_t here = content.find("{{.}}");
            if (here != std::string::npos)
                content.replace(here, 5, found->second);
        }
        text.replace(start, end + close.size() - start, content);
    }
    while ((start = text.find("{{")) != std::string::npos) {
        std::size_t end = text.find("}}", start);
        std::string name = text.substr(start + 2, end - start - 2);
        std::map<std::string, std::string>::const_iterator found = values.find(name);
        text.replace(start, end + 2 - start, found == values.end() ? std::string() : found->second);
    }
    return text;
}

// A folder for settings and logs that is removed at the end.
class TemporaryFolder {
public:
    TemporaryFolder()
    {
        std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        if (!mkdtemp(name.data()))
            throw std::runtime_error("can't create a temporary folder");
        path_ = name;
    }
    ~TemporaryFolder()
    {
        std::error_code ignored;
        if (!std::getenv("KEEP"))
            std::filesystem::remove_all(path_, ignored);
    }
    std::string path(const std::string& name) const { return (path_ / name).string(); }

private:
    std::filesystem::path path_;
};

// The zones of the small site chaba-route.
inline const std::map<std::string, std::string> regions{
    {"north-cnx", "north"}, {"central-bkk", "central"}, {"south-hdy", "south"}};

// One machine, with a loopback address of its own. `start` begins its process, also again after `kill`.
class Machine {
public:
    Machine(const TemporaryFolder& folder, int number, const std::string& name, const std::string& zone)
        : folder_(folder)
        , name_(name)
        , zone_(zone)
        , ip_("127." + std::to_string(64 + getpid() % 128) + "." + std::to_string(getpid() / 128 % 250) + "."
              + std::to_string(number))
    {
    }
    ~Machine() { kill(); }
    Machine(const Machine&) = delete;
    Machine& operator=(const Machine&) = delete;

    const std::string& name() const { return name_; }
    const std::string& zone() const { return zone_; }
    const std::string& ip() const { return ip_; }
    pid_t pid() const { return pid_; }
    std::string frontAddress() const { return ip_ + ":8405"; }
    std::string controlAddress() const { return ip_ + ":8407"; }
    static constexpr std::uint16_t frontPort = 8405;
    static constexpr std::uint16_t readyPort = 8406;
    static constexpr std::uint16_t directoryPort = 8404;

    void start(const std::string& platform, const std::vector<std::string>& seeds)
    {
        std::ifstream file("deploy/settings.jsonc");
        std::stringstream text;
        text << file.rdbuf();
        std::map<std::string, std::string> values{{"node_name", name_}, {"zone", zone_},
            {"region", regions.at(zone_)}, {"listen_addresses.front", frontAddress()},
            {"listen_addresses.ready", ip_ + ":8406"}, {"listen_addresses.directory", ip_ + ":8404"},
            {"listen_addresses.control", controlAddress()}, {"ip_address", ip_},
            {"platform.address", platform}, {"cloud.address", platform}, {"seeds|json", Json(seeds).dump()},
            {"zones|json", Json(regions).dump()}, {"bounds.usage_window_s", "5"},
            {"limits.link_mbps", "1000.0"}, {"limits.cpu_share", "0.25"}, {"limits.cpu_cores", "1"},
            {"limits.memory_mb", "260"}, {"limits.file_descriptors", "4100"},
            {"bounds.retry_budget_ratio", "0.2"}, {"bounds.budget_window_s", "10"},
            {"bounds.retry_budget_slack", "52"}};
        std::string settings = folder_.path(name_ + ".jsonc");
        std::ofstream(settings) << filledTemplate(text.str(), values);
        std::string log = folder_.path(name_ + ".log");
        pid_ = fork();
        if (pid_ != 0)
            return;
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        rlimit descriptors{4100, 4100};
        setrlimit(RLIMIT_NOFILE, &descriptors);
        int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        execl("target/ragwortwinch/ragwortwinchd", "target/ragwortwinch/ragwortwinchd", "--settings",
            settings.c_str(), nullptr);
        _exit(127);
    }

    // Sends SIGTERM, and SIGKILL after the grace period, and waits for the end.
    void stop(Millis gracePeriod)
    {
        ::kill(pid_, SIGTERM);
        for (Clock::time_point end = Clock::now() + gracePeriod; Clock::now() < end; sleepFor(Millis(20))) {
            if (waitpid(pid_, nullptr, WNOHANG) == pid_) {
                pid_ = -1;
                return;
            }
        }
        kill();
    }
    // Ends the process with SIGKILL.
    void kill()
    {
        if (pid_ <= 0)
            return;
        ::kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }

    // What the process holds of the machine's memory; 0 if it doesn't run.
    double residentMegabytes() const
    {
        std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
        double total = 0;
        double resident = 0;
        file >> total >> resident;
        return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1024 * 1024);
    }

    bool isReady() const
    {
        Channel channel = Channel::connectTo(ip_, readyPort);
        channel.send("GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        std::optional<Message> answer = channel.read(Millis(1000));
        return answer && answer->status() == 200;
    }
    bool waitUntilReady(Millis most) const
    {
        for (Clock::time_point end = Clock::now() + most; Clock::now() < end; sleepFor(Millis(50))) {
            if (isReady())
                return true;
        }
        return false;
    }

private:
    const TemporaryFolder& folder_;
    std::string name_;
    std::string zone_;
    std::string ip_;
    pid_t pid_ = -1;
};

// Writes a worker's entry now and every `heartbeat_interval_ms`.
class Registration {
public:
    Registration(Platform& platform, const std::string& id, Json entry)
        : platform_(platform)
        , key_("servers/" + id)
        , entry_(std::move(entry))
    {
        thread_ = std::thread([this] {
            for (std::int64_t sequence = 1; !isEnded_; ++sequence) {
                entry_["sequence"] = sequence;
                platform_.put(key_, entry_);
                for (int step = 0; step < 12 && !isEnded_; ++step)
                    sleepFor(Millis(100));
            }
        });
    }
    ~Registration()
    {
        isEnded_ = true;
        thread_.join();
    }
    Registration(const Registration&) = delete;
    Registration& operator=(const Registration&) = delete;

private:
    Platform& platform_;
    std::string key_;
    Json entry_;
    std::atomic<bool> isEnded_{false};
    std::thread thread_;
};

inline std::int64_t unixMillis()
{
    return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
}

inline Json plainEntry(
    const std::string& service, const std::string& address, const std::string& zone, int slots)
{
    return {{"service", service}, {"address", address}, {"zone", zone}, {"version", "v1"}, {"slots", slots},
        {"state", "ready"}, {"cold_remaining_ms", 0}, {"sequence", 1}, {"born", unixMillis()}};
}

inline Json callerLimits()
{
    return {{"max_header_bytes", 16384}, {"max_body_bytes", 4194304}, {"header_timeout_ms", 3000},
        {"idle_timeout_ms", 15000}};
}

} // namespace review
