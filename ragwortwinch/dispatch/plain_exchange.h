// Processes one request to a plain service from its arrival to its response: claim, queueing, attempts,
// recorded outcome.
//
//     std::make_shared<PlainExchange>(context, policy, request, responder)->start();
//
// On a route that is not idempotent, a request that may have run is not sent again: once its first byte may
// have been sent, a failure other than a definitive refusal is "outcome unknown". With an Idempotency-Key on
// such a route, a repeated request to any node gets the recorded outcome. Once the caller has disconnected,
// the request is withdrawn from the queue or its call is cancelled; but a call under a claim runs to its end,
// since the caller may repeat the request to get its outcome. Keeps itself alive until it has responded.
// Callbacks run one at a time, except for the notice that the caller has disconnected, which comes from
// another thread.
#pragma once

#include "ragwortwinch/dispatch/cancellation.h"
#include "ragwortwinch/dispatch/dispatch_context.h"
#include "ragwortwinch/dispatch/idempotency_claim.h"
#include "ragwortwinch/dispatch/run_state.h"
#include "ragwortwinch/net/http_server.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace ragwortwinch {

class PlainExchange : public std::enable_shared_from_this<PlainExchange> {
public:
    PlainExchange(const DispatchContext& context, RequestPolicy policy, HttpRequest request,
        std::shared_ptr<HttpResponder> responder);

    void start();

private:
    void executeClaimOps(StoreOps ops);
    void onClaimAnswer(const StoreAnswer& answer);
    void onClaimDecided();
    void queue();
    void endAfterDisconnect();
    bool holdsClaim() const;
    void onPlaced(Placement placement);
    HttpCall makeCall() const;
    void onAttemptDone(const HttpCallResult& result);
    void finishWithResponse(const HttpCallResult& result);
    void finishWithError(const Error& error);
    // Returns operations that remove the claim if the request was not run, or else record an unknown outcome.
    StoreOps settleClaim(RunState run);
    void settleThenAnswer(StoreOps ops, HttpResponse response);
    void answer(HttpResponse response);

    static constexpr int maxAttempts = 3;

    DispatchContext context_;
    RequestPolicy policy_;
    HttpRequest request_;
    std::shared_ptr<HttpResponder> responder_;
    RouteQuery query_;
    // Sent as X-Attempt-Id with every attempt.
    std::string requestId_;
    Instant deadline_;
    std::optional<IdempotencyClaim> claim_;
    Placement placement_;
    RunTracker tracker_;
    Cancellation cancellation_;
    int attemptCount_ = 0;
    // Set once the response is known and only updating or removing the claim remains.
    std::optional<HttpResponse> finalResponse_;
};

} // namespace ragwortwinch
