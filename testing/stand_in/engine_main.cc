// Stand-in for a model engine: continuous batching, token streams that resume from an offset, a prefix cache,
// a limited number of KV blocks ("pieces" in options and reports), load reports that lag, and orders, which
// it rejects if their epoch is old and --checks-fencing is true.
//
// The text of an answer depends on the prompt only, so that a resumed answer can be compared with an
// uninterrupted one. Control routes: POST /control/fault, POST /control/leave, GET /control/state (orders
// accepted, last headers and body, role, number of running generations).
#include "ragwortwinch/base/time.h"
#include "testing/stand_in/fault.h"
#include "testing/stand_in/program.h"

#include <fmt/format.h>
#include <list>
#include <map>
#include <set>
#include <thread>

namespace ragwortwinch::stand_in {
namespace {

constexpr std::size_t bytesPerToken = 4;
constexpr std::size_t cacheBlockBytes = 256;
constexpr Millis tickInterval{5};
constexpr Millis roleChangePause{2000};

struct Generation {
    std::shared_ptr<HttpResponder> responder;
    std::string requestId;
    std::string model;
    std::size_t seed = 0;
    std::int64_t nextToken = 0;
    std::int64_t end = 0;
    std::int64_t kvBlocks = 0;
    Instant startsAt;
    double tokensDue = 0;
};

class Engine final : public HttpHandler {
public:
    explicit Engine(const ProgramOptions& options)
        : name_(options.at("name"))
        , tokenRate_(std::stod(options.at("token-rate")))
        , prefillRate_(std::stod(options.at("prefill-rate")))
        , kvBlocksTotal_(std::stol(options.at("pieces")))
        , tokensPerKvBlock_(std::stol(options.at("tokens-per-piece")))
        , reportLag_(std::stol(options.at("lag-ms")))
        , checksFencing_(options.at("checks-fencing") == "true")
        , incarnation_(static_cast<std::uint64_t>(clock_.unixMillis()))
        , thread_([this] { run(); })
    {
    }
    ~Engine() override
    {
        isStopping_ = true;
        thread_.join();
    }

    void handle(HttpRequest request, std::shared_ptr<HttpResponder> responder) override
    {
        if (request.path == "/control/fault") {
            fault_.set(request.body);
            responder->send(jsonResponse(200, "{}"));
        } else if (request.path == "/control/leave") {
            isLeaving_ = true;
            responder->send(jsonResponse(200, "{}"));
        } else if (request.path == "/control/state")
            responder->send(state());
        else if (fault_.is(FaultMode::Silent))
            fault_.holdOpen(responder);
        else if (request.path == "/v1/load")
            responder->send(load());
        else if (request.path == "/v1/orders")
            responder->send(order(request));
        else if (request.path == "/v1/chat/completions")
            chat(request, responder);
        else
            responder->send(jsonResponse(404, R"({"error":{"message":"no such route"}})"));
    }

private:
    static HttpResponse refusal()
    {
        HttpResponse response = jsonResponse(503, R"({"error":{"message":"no room"}})");
        response.headers.add("X-Not-Run", "1");
        return response;
    }

    void chat(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder)
    {
        Json body = parseJsonOrDiscard(request.body);
        std::string prompt = body.value("messages", Json::array()).dump();
        Generation generation;
        generation.responder = responder;
        generation.requestId = stringMember(body, "request_id");
        generation.model = stringMember(body, "model");
        generation.seed = std::hash<std::string>()(prompt);
        generation.end = std::max<std::int64_t>(1, integerMember(body, "max_tokens"));
        if (body.contains("continue_from"))
            generation.nextToken = integerMember(body["continue_from"], "offset");
        std::int64_t promptTokens = static_cast<std::int64_t>(prompt.size() / bytesPerToken) + 1;
        generation.kvBlocks = (promptTokens + generation.end + tokensPerKvBlock_ - 1) / tokensPerKvBlock_;

        std::lock_guard<std::mutex> lock(mutex_);
        lastHeaders_ = Json::object();
        for (const HttpHeaders::Field& field : request.headers.fields())
            lastHeaders_[field.first] = field.second;
        lastBody_ = request.body;
        Instant now = clock_.now();
        if (fault_.is(FaultMode::Outage) || now < busyUntil_
            || kvBlocksUsed_ + generation.kvBlocks > kvBlocksTotal_) {
            responder->send(refusal());
            return;
        }
        kvBlocksUsed_ += generation.kvBlocks;
        std::int64_t uncached = promptTokens - lookUpAndFillCache(prompt);
        Millis prefill(static_cast<std::int64_t>(static_cast<double>(uncached) / prefillRate_ * 1000));
        prefillUntil_ = std::max(prefillUntil_, now) + prefill;
        generation.startsAt = prefillUntil_;
        HttpHeaders headers;
        headers.add("Content-Type", "text/event-stream");
        headers.add("X-Attempt-Id",
            fault_.is(FaultMode::WrongId) ? "somebody-else"
                                          : std::string(request.headers.get("X-Attempt-Id")));
        headers.add("X-Prompt-Tokens", std::to_string(promptTokens));
        responder->beginStream(200, std::move(headers));
        running_.push_back(std::move(generation));
    }

    // Returns how many leading prompt tokens are cached, and adds the prompt's blocks to the cache.
    std::int64_t lookUpAndFillCache(const std::string& prompt)
    {
        std::int64_t hits = 0;
        bool isHit = true;
        std::size_t hash = 0;
        for (std::size_t start = 0; start + cacheBlockBytes <= prompt.size(); start += cacheBlockBytes) {
            hash = hash * 31 + std::hash<std::string>()(prompt.substr(start, cacheBlockBytes));
            isHit = isHit && cache_.contains(hash);
            hits += isHit ? 1 : 0;
            cache_.insert(hash);
        }
        return hits * static_cast<std::int64_t>(cacheBlockBytes / bytesPerToken);
    }

    static std::string chunk(const Generation& generation, std::int64_t index)
    {
        bool isLast = index + 1 >= generation.end;
        std::size_t word = (generation.seed ^ static_cast<std::size_t>(index) * 2654435761U) % 1000;
        return fmt::format(
            "id: {}\ndata: "
            "{{\"id\":\"{}\",\"object\":\"chat.completion.chunk\",\"model\":\"{}\",\"choices\":[{{\"index\":"
            "0,\"delta\":{{\"content\":\"w{} \"}},\"finish_reason\":{}}}]}}\n\n",
            index, generation.requestId, generation.model, word, isLast ? "\"stop\"" : "null");
    }

    // Writes the tokens that are due; returns false once the generation has ended or its caller has
    // disconnected.
    bool advance(Generation& generation, Instant now)
    {
        if (generation.responder->isClosed())
            return false;
        if (now < generation.startsAt || fault_.is(FaultMode::Silent))
            return true;
        generation.tokensDue += tokenRate_ * static_cast<double>(tickInterval.count()) / 1000;
        std::string output;
        for (; generation.tokensDue >= 1 && generation.nextToken < generation.end; generation.tokensDue -= 1)
            output += chunk(generation, generation.nextToken++);
        bool isEnd = generation.nextToken >= generation.end;
        if (isEnd)
            output += fmt::format("id: {}\ndata: [DONE]\n\n", generation.end);
        generation.responder->writeStream(std::move(output));
        if (isEnd)
            generation.responder->endStream();
        return !isEnd;
    }

    void run()
    {
        while (!isStopping_) {
            std::this_thread::sleep_for(tickInterval);
            std::lock_guard<std::mutex> lock(mutex_);
            Instant now = clock_.now();
            for (auto generation = running_.begin(); generation != running_.end();) {
                if (advance(*generation, now)) {
                    ++generation;
                    continue;
                }
                kvBlocksUsed_ -= generation->kvBlocks;
                generation = running_.erase(generation);
            }
            if (now >= nextReport_) {
                nextReport_ = now + reportLag_;
                std::int64_t queuedPrefill = static_cast<std::int64_t>(
                    static_cast<double>(std::max<std::int64_t>(0, (prefillUntil_ - now).count())) / 1000
                    * prefillRate_);
                report_ = {{"running", running_.size()}, {"pieces_used", kvBlocksUsed_},
                    {"pieces_total", kvBlocksTotal_}, {"queued_prefill_tokens", queuedPrefill},
                    {"role", role_}};
            }
        }
    }

    HttpResponse load()
    {
        std::lock_guard<std::mutex> lock(mutex_);
        Json report = report_;
        report["leaving"] = isLeaving_.load();
        report["incarnation"] = incarnation_;
        return jsonResponse(200, report.dump());
    }

    HttpResponse order(const HttpRequest& request)
    {
        Json body = parseJsonOrDiscard(request.body);
        std::lock_guard<std::mutex> lock(mutex_);
        std::int64_t epoch = integerMember(body, "epoch");
        if (checksFencing_ && epoch < greatestEpoch_)
            return jsonResponse(409, R"({"error":{"message":"old fencing number"}})");
        greatestEpoch_ = std::max(greatestEpoch_, epoch);
        orders_.push_back(body);
        std::string kind = stringMember(body, "kind");
        std::string argument = stringMember(body, "argument");
        if (kind == "set_role" && argument != role_) {
            role_ = argument;
            busyUntil_ = clock_.now() + roleChangePause;
        } else if (kind == "drain")
            isLeaving_ = true;
        else if (kind == "resume") {
            isLeaving_ = false;
            ++incarnation_;
        }
        return jsonResponse(200, "{}");
    }

    HttpResponse state()
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return jsonResponse(200,
            Json({{"orders", orders_}, {"last_headers", lastHeaders_}, {"last_body", lastBody_},
                     {"role", role_}, {"running", running_.size()}})
                .dump());
    }

    std::string name_;
    double tokenRate_;
    double prefillRate_;
    std::int64_t kvBlocksTotal_;
    std::int64_t tokensPerKvBlock_;
    Millis reportLag_;
    bool checksFencing_;
    SystemClock clock_;
    Fault fault_;
    std::mutex mutex_;
    std::list<Generation> running_;
    std::set<std::size_t> cache_;
    std::int64_t kvBlocksUsed_ = 0;
    Instant prefillUntil_;
    Instant busyUntil_;
    Instant nextReport_;
    Json report_ = Json::object();
    std::string role_ = "mixed";
    std::uint64_t incarnation_;
    std::int64_t greatestEpoch_ = 0;
    std::vector<Json> orders_;
    Json lastHeaders_ = Json::object();
    std::string lastBody_;
    std::atomic<bool> isLeaving_{false};
    std::atomic<bool> isStopping_{false};
    std::thread thread_;
};

} // namespace
} // namespace ragwortwinch::stand_in

int main(int argc, char** argv)
{
    using namespace ragwortwinch::stand_in;
    ProgramOptions options = readOptions(argc, argv,
        {{"port", "0"}, {"name", "engine"}, {"token-rate", "100"}, {"prefill-rate", "8000"},
            {"pieces", "2000"}, {"tokens-per-piece", "16"}, {"lag-ms", "300"}, {"checks-fencing", "false"}});
    return serve(options, std::make_shared<Engine>(options));
}
