// Workers preempt streams: they stay silent for 1.2 s in the middle and then go on. Meanwhile the machines
// are stopped with SIGTERM and started again in turn.
//
//     case DAEMON FOLDER RECORD      exit status: 1 if the rule was broken, 0 if it held, 2 if it couldn't
//     run
#include "review/stand_in/deployment.h"

#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

namespace review {
namespace {

constexpr int machineCount = 2;
constexpr int workerCount = 3;
constexpr int callersPerMachine = 5;
constexpr int events = 6;
constexpr int eventMillis = 40;
// The event before which a run is preempted.
constexpr int preemptedEvent = 4;
constexpr int preemptionMillis = 1200;
constexpr int timeLimitMillis = 15000;
// Callers abandon a stream after a gap of this length.
constexpr int patienceMillis = 2000;
constexpr int graceMillis = 8000;
// Requests sent up to this long after the SIGTERM are checked, and their answers end long before the grace
// period does.
constexpr int checkedMillis = 2000;

const char* configuration = R"({"version":3,"routes":[{"name":"answer","host":"shop.example",
    "prefix":"/answer/","kind":"streaming","timeout_ms":15000,"target_latency_ms":150,"target_gap_ms":150,
    "priority":0,"service":"model","attempts":2,"resumable":true,"public":false}],
    "services":[{"name":"model","health_path":"/health","connection_limit":180}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
    "idle_timeout_ms":15000},"tenants":[{"name":"riders","api_keys":["k1"]}]})";

// A request whose channel ended without a complete answer.
struct CutRequest {
    int machine = 0;
    std::int64_t sentAt = 0;
    std::int64_t cutAt = 0;
};

class Case {
public:
    Case(const std::string& daemon, const std::string& folder, const std::string& recordPath)
        : deployment_(daemon, folder, recordPath, machineCount)
    {
        deployment_.platform.put("op/config", configuration);
        for (int number = 0; number < workerCount; ++number)
            deployment_.addWorker(
                "model", 16, [this](Socket& socket, const HttpMessage& request, const std::string& id) {
                    return answer(socket, request, id);
                });
    }

    int run()
    {
        if (!deployment_.start())
            return 2;
        std::vector<std::thread> callers;
        for (int number = 0; number < machineCount * callersPerMachine; ++number)
            callers.emplace_back([this, number] { callRepeatedly(number); });
        // A process has no share of the retry budget in its first ten seconds.
        std::this_thread::sleep_for(Millis(13000));
        bool couldStop = true;
        for (int number = 0; number < machineCount; ++number) {
            couldStop = couldStop && stopAndStart(number);
            std::this_thread::sleep_for(Millis(2000));
        }
        isEnding_.store(true);
        for (std::thread& caller : callers)
            caller.join();
        deployment_.stop();
        return couldStop ? verdict() : 2;
    }

private:
    bool stopAndStart(int number)
    {
        Machine& machine = *deployment_.machines[static_cast<std::size_t>(number)];
        std::int64_t now = deployment_.record.millis();
        {
            std::lock_guard<std::mutex> lock(mutex_);
            stops_.emplace_back(number, now);
        }
        deployment_.record.add("machine %s: SIGTERM", machine.name().c_str());
        machine.signal(SIGTERM);
        std::string how;
        while (!machine.hasEnded(how)) {
            if (deployment_.record.millis() > now + graceMillis) {
                deployment_.record.add("machine %s: SIGKILL after the grace period", machine.name().c_str());
                machine.kill();
                break;
            }
            std::this_thread::sleep_for(Millis(20));
        }
        deployment_.record.add("machine %s: process ended, %s", machine.name().c_str(), how.c_str());
        machine.start();
        return machine.waitUntilReady(15000);
    }

    bool answer(Socket& socket, const HttpMessage& request, const std::string& id)
    {
        std::string requestId = request.field("Ragwortwinch-Request-Id");
        int last = std::atoi(request.field("Last-Event-Id").c_str());
        deployment_.record.add(
            "worker %s runs request=%s after event %d", id.c_str(), requestId.c_str(), last);
        bool isSent = socket.send("HTTP/1.1 200 OK\r\nRagwortwinch-Request-Id: " + requestId
            + "\r\nRagwortwinch-Server-Signature: " + id + "." + requestId
            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int number = last + 1; number <= events && isSent; ++number) {
            bool isPreempted = Deployment::hasTrouble() && number == preemptedEvent;
            std::this_thread::sleep_for(Millis(isPreempted ? preemptionMillis : eventMillis));
            if (socket.hasPeerGone()) {
                deployment_.record.add("worker %s: request=%s was closed before event %d", id.c_str(),
                    requestId.c_str(), number);
                return false;
            }
            std::string event = "id: " + std::to_string(number) + "\ndata: piece\n\n";
            isSent = socket.send(chunkOf(event));
        }
        return isSent && socket.send("0\r\n\r\n");
    }

    static std::string chunkOf(const std::string& bytes)
    {
        char size[20];
        std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
        return size + bytes + "\r\n";
    }

    void callRepeatedly(int number)
    {
        int machineNumber = number % machineCount;
        const Machine& machine = *deployment_.machines[static_cast<std::size_t>(machineNumber)];
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
            std::int64_t sentAt = deployment_.record.millis();
            socket.send("POST /answer/1 HTTP/1.1\r\nHost: shop.example\r\nRagwortwinch-Request-Id: " + id
                + "\r\nRagwortwinch-Deadline-Milliseconds: " + std::to_string(timeLimitMillis)
                + "\r\nAuthorization: Bearer k1\r\nContent-Length: 4\r\n\r\nbody");
            HttpMessage reply = socket.readMessage(timeLimitMillis, true, patienceMillis);
            deployment_.record.add("caller of %s: request=%s status=%d end=%s bytes=%zu",
                machine.name().c_str(), id.c_str(), reply.status(), nameOf(reply.end), reply.body.size());
            bool isCut = reply.end == ReadEnd::Closed || reply.end == ReadEnd::Reset;
            answers_ += reply.status() == 200 && !isCut ? 1 : 0;
            if (isCut && reply.status() == 200) {
                std::lock_guard<std::mutex> lock(mutex_);
                cut_.push_back({machineNumber, sentAt, deployment_.record.millis()});
            }
            if (reply.end != ReadEnd::Complete || reply.field("Connection") == "close")
                socket.close();
            std::this_thread::sleep_for(Millis(100));
        }
    }

    int verdict()
    {
        int lost = 0;
        for (const CutRequest& request : cut_) {
            for (const auto& [machine, at] : stops_) {
                bool isDuringStop = request.machine == machine && request.cutAt >= at
                    && request.sentAt <= at + checkedMillis && request.cutAt < at + graceMillis * 5 / 6;
                lost += isDuringStop ? 1 : 0;
            }
        }
        deployment_.record.add("complete answers: %d, cut streams: %zu, of these during the planned stop: %d",
            answers_.load(), cut_.size(), lost);
        if (answers_.load() == 0 && cut_.empty())
            return 2;
        deployment_.record.add("rule LOST: %s", lost > 0 ? "broken" : "held");
        return lost > 0 ? 1 : 0;
    }

    Deployment deployment_;
    std::atomic<bool> isEnding_{false};
    std::atomic<int> answers_{0};
    std::mutex mutex_;
    // The machine and the time of each SIGTERM.
    std::vector<std::pair<int, std::int64_t>> stops_;
    std::vector<CutRequest> cut_;
};

} // namespace
} // namespace review

int main(int argc, char** argv)
{
    if (argc != 4)
        return 2;
    return review::Case(argv[1], argv[2], argv[3]).run();
}
