// A worker in trouble answers some requests with a success that lacks its signature.
//
//     case DAEMON FOLDER RECORD      exit status: 1 if the rule was broken, 0 if it held, 2 if it couldn't
//     run
#include "review/stand_in/deployment.h"

#include <atomic>
#include <thread>
#include <vector>

namespace review {
namespace {

constexpr int machineCount = 2;
constexpr int workerCount = 3;
constexpr int callersPerMachine = 6;
// The worker in trouble does this to one answer in 50.
constexpr int troubledAnswer = 50;
constexpr int workMillis = 30;
constexpr int timeLimitMillis = 2000;
constexpr int runMillis = 20000;

const char* configuration = R"({"version":3,"routes":[{"name":"book","host":"shop.example","prefix":"/book/",
    "kind":"unsafe","timeout_ms":2000,"target_latency_ms":200,"priority":0,"service":"desk","attempts":1,
    "public":false}],"services":[{"name":"desk","health_path":"/health","connection_limit":96}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
    "idle_timeout_ms":15000},"tenants":[{"name":"riders","api_keys":["k1"]}]})";

class Case {
public:
    Case(const std::string& daemon, const std::string& folder, const std::string& recordPath)
        : deployment_(daemon, folder, recordPath, machineCount)
    {
        deployment_.platform.put("op/config", configuration);
        for (int number = 0; number < workerCount; ++number) {
            bool isInTrouble = Deployment::hasTrouble() && number == 0;
            deployment_.addWorker("desk", 6,
                [this, isInTrouble](Socket& socket, const HttpMessage& request, const std::string& id) {
                    return answer(socket, request, id, isInTrouble);
                });
        }
    }

    int run()
    {
        if (!deployment_.start())
            return 2;
        std::vector<std::thread> callers;
        for (int number = 0; number < machineCount * callersPerMachine; ++number)
            callers.emplace_back([this, number] { callRepeatedly(number); });
        std::this_thread::sleep_for(Millis(runMillis));
        isEnding_.store(true);
        for (std::thread& caller : callers)
            caller.join();
        deployment_.stop();
        deployment_.record.add("successes: %d, without the worker's signature: %d", successes_.load(),
            unsignedSuccesses_.load());
        if (successes_.load() == 0)
            return 2;
        bool isBroken = unsignedSuccesses_.load() > 0;
        deployment_.record.add("rule MIXED: %s", isBroken ? "broken" : "held");
        return isBroken ? 1 : 0;
    }

private:
    bool answer(Socket& socket, const HttpMessage& request, const std::string& id, bool isInTrouble)
    {
        std::string requestId = request.field("Ragwortwinch-Request-Id");
        bool isSpoilt = isInTrouble && ++answers_ % troubledAnswer == 0;
        deployment_.record.add("worker %s runs request=%s%s", id.c_str(), requestId.c_str(),
            isSpoilt ? " and answers without its signature" : "");
        std::this_thread::sleep_for(Millis(workMillis));
        std::string head = "HTTP/1.1 200 OK\r\nRagwortwinch-Request-Id: " + requestId + "\r\n";
        if (!isSpoilt)
            head += "Ragwortwinch-Server-Signature: " + id + "." + requestId + "\r\n";
        std::string body = isSpoilt ? "wrong bytes" : std::string(800, 'b');
        return socket.send(head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
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
            socket.send("POST /book/1 HTTP/1.1\r\nHost: shop.example\r\nRagwortwinch-Request-Id: " + id
                + "\r\nRagwortwinch-Deadline-Milliseconds: " + std::to_string(timeLimitMillis)
                + "\r\nAuthorization: Bearer k1\r\nContent-Length: 4\r\n\r\nbody");
            HttpMessage reply = socket.readMessage(timeLimitMillis + 500, true);
            std::string signature = reply.field("Ragwortwinch-Server-Signature");
            deployment_.record.add("caller of %s: request=%s status=%d end=%s signature=%s",
                machine.name().c_str(), id.c_str(), reply.status(), nameOf(reply.end), signature.c_str());
            bool isSuccess = reply.end == ReadEnd::Complete && reply.status() / 100 == 2;
            successes_ += isSuccess ? 1 : 0;
            unsignedSuccesses_ += isSuccess && signature.empty() ? 1 : 0;
            if (reply.end != ReadEnd::Complete || reply.field("Connection") == "close")
                socket.close();
            std::this_thread::sleep_for(Millis(50));
        }
    }

    Deployment deployment_;
    std::atomic<bool> isEnding_{false};
    std::atomic<int> answers_{0};
    std::atomic<int> successes_{0};
    std::atomic<int> unsignedSuccesses_{0};
};

} // namespace
} // namespace review

int main(int argc, char** argv)
{
    if (argc != 4)
        return 2;
    return review::Case(argv[1], argv[2], argv[3]).run();
}
