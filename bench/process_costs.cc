// Measures a node process: processor time per short request (compared with a server that only sends a fixed
// response) and per streamed token, memory per open stream, control-plane cost when idle, and the delay added
// to the first token. Prints one key=value line per measurement.
//
//     build/bench/process_costs [requests | control | streams]
#include "testing/process/test_system.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <cstdio>
#include <fmt/format.h>
#include <fstream>
#include <mutex>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace ragwortwinch::process {
namespace {

// Processor time that a process has used so far, in microseconds.
double processorMicros(const std::string& pid)
{
    std::ifstream file("/proc/" + pid + "/stat");
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string ignored;
    // The fields between the name of the program and its user time.
    for (int index = 0; index < 11; ++index)
        fields >> ignored;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK)) * 1e6;
}

double processorMicros(const ChildProcess& process) { return processorMicros(std::to_string(process.pid())); }

// Keeps `concurrency` calls in flight until `total` calls have ended.
class LoadGenerator {
public:
    LoadGenerator(HttpClient& client, int concurrency, int total, std::function<HttpCall()> makeCall)
        : client_(client)
        , total_(total)
        , makeCall_(std::move(makeCall))
    {
        for (int index = 0; index < concurrency; ++index)
            startNext();
    }
    void wait()
    {
        std::unique_lock<std::mutex> lock(mutex_);
        done_.wait(lock, [this] { return ended_ >= started_ && started_ >= total_; });
    }
    int failed() const { return failed_; }

private:
    void startNext()
    {
        {
            std::lock_guard<std::mutex> lock(mutex_);
            if (started_ >= total_)
                return;
            ++started_;
        }
        client_.start(makeCall_(), [this](const HttpCallResult& result) {
            failed_ += result.isOk() ? 0 : 1;
            startNext();
            std::lock_guard<std::mutex> lock(mutex_);
            ++ended_;
            done_.notify_all();
        });
    }

    HttpClient& client_;
    int total_;
    std::function<HttpCall()> makeCall_;
    std::mutex mutex_;
    std::condition_variable done_;
    int started_ = 0;
    int ended_ = 0;
    std::atomic<int> failed_{0};
};

std::string chatBody(int tokens)
{
    return Json({{"model", "brew-model"}, {"stream", true}, {"max_tokens", tokens},
                    {"messages", {{{"role", "user"}, {"content", "hello"}}}}})
        .dump();
}

HttpCall chatCall(const std::string& url, int tokens, std::function<StreamFlow(std::string_view)> onData)
{
    return HttpCallBuilder("POST", url + "/v1/chat/completions")
        .header("Authorization", std::string("Bearer ") + TestSystem::key)
        .body(chatBody(tokens))
        .onData(std::move(onData))
        .build();
}

void measureShortRequests(TestSystem& system)
{
    constexpr int requests = 20000;
    constexpr int concurrency = 32;
    ChildProcess bare("build/bench/bare_reply", {});
    std::string bareUrl = fmt::format("http://127.0.0.1:{}/open/x", bare.port("port"));
    std::string self = std::to_string(getpid());
    double clientBefore = processorMicros(self);
    double bareBefore = processorMicros(bare);
    LoadGenerator(system.client(), concurrency, requests, [&] {
        return HttpCallBuilder("POST", bareUrl).body("{}").build();
    }).wait();
    double bareMicros = (processorMicros(bare) - bareBefore) / requests;
    // The client's cost per call, used as an estimate of the cost of the node's call to the endpoint.
    double clientMicros = (processorMicros(self) - clientBefore) / requests;
    double nodeBefore = processorMicros(*system.nodes[0]);
    LoadGenerator load(system.client(), concurrency, requests, [&] {
        return HttpCallBuilder("POST", system.entryUrl(0) + "/open/x").body("{\"id\":\"x\"}").build();
    });
    load.wait();
    double nodeMicros = (processorMicros(*system.nodes[0]) - nodeBefore) / requests;
    fmt::print("short_request bare_us={:.1f} node_us={:.1f} upstream_call_us={:.1f} "
               "ratio_without_upstream={:.2f} failed={}\n",
        bareMicros, nodeMicros, clientMicros, (nodeMicros - clientMicros) / bareMicros, load.failed());
}

void measureStreamedTokens(TestSystem& system)
{
    constexpr int streams = 100;
    constexpr int tokens = 4000;
    double before = processorMicros(*system.nodes[0]);
    SystemClock clock;
    Instant start = clock.now();
    LoadGenerator load(system.client(), streams, streams, [&] {
        return chatCall(system.entryUrl(0), tokens, [](std::string_view) { return StreamFlow::Continue; });
    });
    load.wait();
    double seconds = static_cast<double>((clock.now() - start).count()) / 1000;
    double micros = processorMicros(*system.nodes[0]) - before;
    double total = static_cast<double>(streams) * tokens;
    fmt::print("streamed_tokens us_per_token={:.2f} tokens_per_core_second={:.0f} "
               "wall_tokens_per_second={:.0f} failed={}\n",
        micros / total, total / micros * 1e6, total / seconds, load.failed());
}

// Returns the median and the 95th percentile of the time to the first byte, in milliseconds.
std::pair<double, double> measureFirstToken(TestSystem& system, const std::string& url)
{
    std::vector<double> delays;
    for (int index = 0; index < 400; ++index) {
        auto start = std::chrono::steady_clock::now();
        double delay = -1;
        callAndWait(system.client(), chatCall(url, 1, [&](std::string_view) {
            if (delay < 0)
                delay = std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start)
                            .count();
            return StreamFlow::Continue;
        }));
        delays.push_back(delay);
    }
    std::sort(delays.begin(), delays.end());
    return {delays[delays.size() / 2], delays[delays.size() * 95 / 100]};
}

void measureAddedDelay(TestSystem& system)
{
    std::pair<double, double> direct
        = measureFirstToken(system, fmt::format("http://127.0.0.1:{}", system.engines[0]->port("port")));
    std::pair<double, double> through = measureFirstToken(system, system.entryUrl(0));
    fmt::print("first_token direct_p50_ms={:.2f} node_p50_ms={:.2f} direct_p95_ms={:.2f} node_p95_ms={:.2f} "
               "added_p95_ms={:.2f}\n",
        direct.first, through.first, direct.second, through.second, through.second - direct.second);
}

void measureIdleControl(TestSystem& system)
{
    constexpr double seconds = 10;
    double processor = processorMicros(*system.nodes[0]);
    Json dumpBefore = system.admin(0, "GET", "/dump");
    Json storeBefore = system.control(*system.platform, "state");
    std::this_thread::sleep_for(std::chrono::seconds(10));
    double used = processorMicros(*system.nodes[0]) - processor;
    Json dumpAfter = system.admin(0, "GET", "/dump");
    Json storeAfter = system.control(*system.platform, "state");
    auto perSecond = [&](const Json& before, const Json& after, const char* name) {
        return static_cast<double>(integerMember(after, name) - integerMember(before, name)) / seconds;
    };
    fmt::print("idle_control nodes={} endpoints={} core_percent={:.2f} peer_bytes_per_second={:.0f} "
               "store_reads_per_second_all={:.1f} store_writes_per_second_all={:.1f} resident_mb={:.1f}\n",
        system.nodes.size(), system.engines.size() + system.services.size(), used / seconds / 1e4,
        perSecond(dumpBefore, dumpAfter, "peer_bytes_sent"), perSecond(storeBefore, storeAfter, "reads"),
        perSecond(storeBefore, storeAfter, "writes"),
        static_cast<double>(system.nodes[0]->residentKilobytes()) / 1024);
}

void measureOpenStreams(TestSystem& system)
{
    constexpr int streams = 5000;
    std::unique_ptr<HttpClient> client = makeCurlHttpClient();
    double before = static_cast<double>(system.nodes[0]->residentKilobytes());
    std::atomic<int> startedStreams{0};
    LoadGenerator load(*client, streams, streams, [&] {
        auto isFirst = std::make_shared<bool>(true);
        return chatCall(system.entryUrl(0), 20000, [isFirst, &startedStreams](std::string_view) {
            startedStreams += std::exchange(*isFirst, false) ? 1 : 0;
            return StreamFlow::Continue;
        });
    });
    SystemClock clock;
    Instant deadline = clock.now() + std::chrono::seconds(60);
    while (startedStreams.load() < streams && clock.now() < deadline && load.failed() == 0)
        std::this_thread::sleep_for(Millis(50));
    double after = static_cast<double>(system.nodes[0]->residentKilobytes());
    fmt::print("open_streams open={} resident_mb={:.1f} kb_per_stream={:.1f}\n", startedStreams.load(),
        after / 1024, (after - before) / std::max(1, startedStreams.load()));
    std::fflush(stdout);
    // Ends the open streams before `load`, which their callbacks use, is destroyed.
    client.reset();
}

} // namespace
} // namespace ragwortwinch::process

int main(int argc, char** argv)
{
    using namespace ragwortwinch::process;
    std::string section = argc > 1 ? argv[1] : "";
    if (section.empty() || section == "requests") {
        TestSystem system(
            {.nodes = 1, .engines = 1, .services = 1, .tokenRate = "1000", .kvBlocks = "100000000"});
        measureShortRequests(system);
        measureAddedDelay(system);
        measureStreamedTokens(system);
    }
    if (section.empty() || section == "control") {
        for (int nodes : {1, 3, 6}) {
            TestSystem system({.nodes = nodes, .engines = 3, .services = 2});
            measureIdleControl(system);
        }
    }
    if (section.empty() || section == "streams") {
        TestSystem system(
            {.nodes = 1, .engines = 1, .services = 1, .tokenRate = "2", .kvBlocks = "100000000"});
        measureOpenStreams(system);
    }
    std::fflush(stdout);
    return 0;
}
