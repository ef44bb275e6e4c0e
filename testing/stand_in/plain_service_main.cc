// Stand-in for a plain service: accepts bookings and counts how often each ran.
//
// Control routes: POST /control/fault, /control/leave, GET /control/state (runs by booking, last headers,
// number of requests held open, and of those whose caller has disconnected).
#include "ragwortwinch/base/time.h"
#include "testing/stand_in/fault.h"
#include "testing/stand_in/program.h"

#include <fmt/format.h>
#include <map>
#include <thread>

namespace ragwortwinch::stand_in {
namespace {

class PlainService final : public HttpHandler {
public:
    explicit PlainService(std::string name)
        : name_(std::move(name))
    {
    }

    void handle(HttpRequest request, std::shared_ptr<HttpResponder> responder) override
    {
        if (request.path == "/control/fault") {
            fault_.set(request.body);
            responder->send(jsonResponse(200, "{}"));
        } else if (request.path == "/control/state")
            responder->send(state());
        else if (request.path == "/control/leave") {
            isLeaving_ = true;
            responder->send(jsonResponse(200, "{}"));
        } else if (request.path == "/v1/load")
            responder->send(jsonResponse(
                200, Json({{"running", 0}, {"leaving", isLeaving_.load()}, {"incarnation", 1}}).dump()));
        else if (fault_.is(FaultMode::Silent))
            fault_.holdOpen(responder);
        else if (fault_.is(FaultMode::Outage)) {
            HttpResponse refusal = jsonResponse(503, R"({"error":"not now"})");
            refusal.headers.add("X-Not-Run", "1");
            responder->send(std::move(refusal));
        } else
            run(request, responder);
    }

private:
    void run(const HttpRequest& request, const std::shared_ptr<HttpResponder>& responder)
    {
        if (fault_.delayMillis() > 0)
            std::this_thread::sleep_for(Millis(fault_.delayMillis()));
        Json body = parseJsonOrDiscard(request.body);
        std::string id = stringMember(body, "id");
        int runs = 0;
        {
            std::lock_guard<std::mutex> lock(mutex_);
            runs = ++runs_[id];
            lastHeaders_ = Json::object();
            for (const HttpHeaders::Field& field : request.headers.fields())
                lastHeaders_[field.first] = field.second;
        }
        if (fault_.is(FaultMode::LostAnswer)) {
            fault_.holdOpen(responder);
            return;
        }
        HttpResponse response
            = jsonResponse(200, Json({{"service", name_}, {"id", id}, {"runs", runs}}).dump());
        bool isWrong = fault_.is(FaultMode::WrongId);
        response.headers.add(
            "X-Attempt-Id", isWrong ? "somebody-else" : std::string(request.headers.get("X-Attempt-Id")));
        responder->send(std::move(response));
    }

    HttpResponse state()
    {
        std::lock_guard<std::mutex> lock(mutex_);
        return jsonResponse(200,
            Json({{"runs", runs_}, {"last_headers", lastHeaders_}, {"held", fault_.held()},
                     {"abandoned", fault_.abandoned()}})
                .dump());
    }

    std::string name_;
    Fault fault_;
    std::atomic<bool> isLeaving_{false};
    std::mutex mutex_;
    std::map<std::string, int> runs_;
    Json lastHeaders_ = Json::object();
};

} // namespace
} // namespace ragwortwinch::stand_in

int main(int argc, char** argv)
{
    using namespace ragwortwinch::stand_in;
    ProgramOptions options = readOptions(argc, argv, {{"port", "0"}, {"name", "plain"}});
    return serve(options, std::make_shared<PlainService>(options["name"]));
}
