// A worker in trouble sends bytes without end where the next chunk of its answer is due. The platform ends
// processes that exceed the memory of their machine, as it does for all machines.
//
//     case DAEMON FOLDER RECORD      exit status: 1 if the rule was broken, 0 if it held, 2 if it couldn't
//     run
#include "review/stand_in/deployment.h"

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

namespace review {
namespace {

// 260 MB, read as the larger unit.
constexpr double machineMegabytes = 260 * 1.048576;
// 1,000 Mbit/s.
constexpr double linkBytesPerMilli = 125000;
constexpr int machineCount = 3;
constexpr int workerCount = 3;
constexpr int callersPerMachine = 6;
// The worker in trouble does this to one answer in 50.
constexpr int troubledAnswer = 50;
constexpr int workMillis = 30;
constexpr int timeLimitMillis = 2000;
constexpr int runMillis = 30000;
constexpr int restartMillis = 500;
// Processes of two machines that end three times each break the rule.
constexpr int endsOfMachine = 3;
constexpr int endingMachines = 2;

const char* configuration
    = R"({"version":3,"routes":[{"name":"verdict","host":"shop.example","prefix":"/verdict/",
    "kind":"streaming","timeout_ms":2000,"target_latency_ms":200,"target_gap_ms":150,"priority":0,
    "service":"model","attempts":1,"resumable":false,"public":false}],"services":[{"name":"model","health_path":"/health","connection_limit":180}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
    "idle_timeout_ms":15000},"tenants":[{"name":"riders","api_keys":["k1"]}]})";

class Case {
public:
    Case(const std::string& daemon, const std::string& folder, const std::string& recordPath)
        : deployment_(daemon, folder, recordPath, machineCount)
        , ends_(machineCount)
        , peaks_(machineCount)
    {
        deployment_.platform.put("op/config", configuration);
        for (int number = 0; number < workerCount; ++number) {
            bool isInTrouble = Deployment::hasTrouble() && number == 0;
            deployment_.addWorker("model", 16,
                [this, isInTrouble](Socket& socket, const HttpMessage& request, const std::string& id) {
                    return answer(socket, request, id, isInTrouble);
                });
        }
    }

    int run()
    {
        if (!deployment_.start())
            return 2;
        std::thread watcher([this] { watchMemory(); });
        std::vector<std::thread> callers;
        for (int number = 0; number < machineCount * callersPerMachine; ++number)
            callers.emplace_back([this, number] { callRepeatedly(number); });
        std::this_thread::sleep_for(Millis(runMillis));
        isEnding_.store(true);
        for (std::thread& caller : callers)
            caller.join();
        watcher.join();
        deployment_.stop();
        return verdict();
    }

private:
    bool answer(Socket& socket, const HttpMessage& request, const std::string& id, bool isInTrouble)
    {
        std::string requestId = request.field("Ragwortwinch-Request-Id");
        deployment_.record.add("worker %s runs request=%s", id.c_str(), requestId.c_str());
        std::this_thread::sleep_for(Millis(workMillis));
        std::string head = "HTTP/1.1 200 OK\r\nRagwortwinch-Request-Id: " + requestId
            + "\r\nRagwortwinch-Server-Signature: " + id + "." + requestId
            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        const std::string event = "13\r\nid: 1\ndata: sound\n\n\r\n";
        // One such answer at a time, so that it has the link for itself.
        bool isSpoilt = isInTrouble && ++answers_ % troubledAnswer == 0 && !isSendingBytes_.exchange(true);
        if (!isSpoilt)
            return socket.send(head + event + "0\r\n\r\n");
        deployment_.record.add(
            "worker %s sends bytes without end to request=%s", id.c_str(), requestId.c_str());
        socket.send(head + event + "1;");
        SteadyClock::time_point start = SteadyClock::now();
        std::string bytes(65536, 'x');
        double sent = 0;
        while (!isEnding_.load() && socket.send(bytes)) {
            sent += static_cast<double>(bytes.size());
            while (sent > static_cast<double>(millisSince(start) + 1) * linkBytesPerMilli)
                std::this_thread::sleep_for(std::chrono::microseconds(200));
        }
        deployment_.record.add("worker %s: the caller closed after %.0f MB in %lld ms", id.c_str(),
            sent / 1e6, static_cast<long long>(millisSince(start)));
        isSendingBytes_.store(false);
        return false;
    }

    void callRepeatedly(int number)
    {
        const Machine& machine = *deployment_.machines[static_cast<std::size_t>(number % machineCount)];
        int count = 0;
        Socket socket;
        while (!isEnding_.load()) {
            std::string id = "r" + std::to_string(number) + "-" + std::to_string(++count);
            if (!socket.isOpen())
                socket = Socket::connectTo(machine.frontPort());
            if (!socket.isOpen()) {
                std::this_thread::sleep_for(Millis(100));
                continue;
            }
            socket.send("POST /verdict/1 HTTP/1.1\r\nHost: shop.example\r\nRagwortwinch-Request-Id: " + id
                + "\r\nRagwortwinch-Deadline-Milliseconds: " + std::to_string(timeLimitMillis)
                + "\r\nAuthorization: Bearer k1\r\nContent-Length: 4\r\n\r\nbody");
            HttpMessage reply = socket.readMessage(timeLimitMillis + 500, true);
            deployment_.record.add("caller of %s: request=%s status=%d end=%s", machine.name().c_str(),
                id.c_str(), reply.status(), nameOf(reply.end));
            bool isCut = reply.status() == 0 && (reply.end == ReadEnd::Closed || reply.end == ReadEnd::Reset);
            cutRequests_ += isCut ? 1 : 0;
            if (reply.end != ReadEnd::Complete || reply.field("Connection") == "close")
                socket.close();
            std::this_thread::sleep_for(Millis(100));
        }
    }

    void watchMemory()
    {
        std::vector<SteadyClock::time_point> restarts(deployment_.machines.size());
        while (!isEnding_.load()) {
            std::this_thread::sleep_for(Millis(5));
            for (std::size_t index = 0; index < deployment_.machines.size(); ++index) {
                Machine& machine = *deployment_.machines[index];
                std::string how;
                if (machine.pid() < 0) {
                    if (SteadyClock::now() >= restarts[index])
                        machine.start();
                    continue;
                }
                double peak = machine.memoryMegabytes("VmHWM");
                peaks_[index] = std::max(peaks_[index], peak);
                bool isOverLimit = peak > machineMegabytes;
                if (!isOverLimit && !machine.hasEnded(how))
                    continue;
                ++ends_[index];
                restarts[index] = SteadyClock::now() + Millis(restartMillis);
                deployment_.record.add("machine %s: process ends, %s, peak memory %.0f MB of %.0f MB",
                    machine.name().c_str(), isOverLimit ? "over the memory limit" : how.c_str(), peak,
                    machineMegabytes);
                machine.kill();
            }
        }
    }

    int verdict()
    {
        int broken = 0;
        for (std::size_t index = 0; index < deployment_.machines.size(); ++index) {
            deployment_.record.add("machine %s: %d ends, peak memory %.0f MB",
                deployment_.machines[index]->name().c_str(), ends_[index], peaks_[index]);
            broken += ends_[index] >= endsOfMachine ? 1 : 0;
        }
        deployment_.record.add("requests cut without an answer: %d", cutRequests_.load());
        bool isBroken = broken >= endingMachines;
        deployment_.record.add("rule Fault: %s", isBroken ? "broken" : "held");
        return isBroken ? 1 : 0;
    }

    Deployment deployment_;
    std::atomic<bool> isEnding_{false};
    std::atomic<int> answers_{0};
    // Requests that ended with their connection, without an answer.
    std::atomic<int> cutRequests_{0};
    std::atomic<bool> isSendingBytes_{false};
    std::vector<int> ends_;
    std::vector<double> peaks_;
};

} // namespace
} // namespace review

int main(int argc, char** argv)
{
    if (argc != 4)
        return 2;
    return review::Case(argv[1], argv[2], argv[3]).run();
}
