// One request to a plain service, from its arrival to its answer: claim, queueing, attempts, recorded
// outcome.
//
//     std::make_shared<PlainExchange>(context, terms, request, responder)->start();
//
// A request on a route that is not idempotent is never sent twice: once its first byte may have left, a
// failure is "outcome unknown". With an Idempotency-Key a repeat through any node gets the recorded outcome.
// Once the caller has gone, the request leaves the queue or its call is cancelled; only a call under a claim
// runs to its end, since the caller's repeat asks for its outcome. Keeps itself alive until it has answered.
// Callbacks come one at a time; only the word that the caller has gone comes from another thread.
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
    PlainExchange(const DispatchContext& context, RequestTerms terms, HttpRequest request,
        std::shared_ptr<HttpResponder> responder);

    void start();

private:
    void runClaim(StoreOps ops);
    void onClaimAnswer(const StoreAnswer& answer);
    void onVerdict();
    void queue();
    void endWithoutCaller();
    bool hasClaim() const;
    void onPlaced(Placement placement);
    HttpCall makeCall() const;
    void onAttemptDone(const HttpCallResult& result);
    void finishRan(const HttpCallResult& result);
    void refuse(const Error& error);
    StoreOps releaseClaim(RunState run);
    void settleThenAnswer(StoreOps ops, HttpResponse response);
    void answer(HttpResponse response);

    static constexpr int maxAttempts = 3;

    DispatchContext context_;
    RequestTerms terms_;
    HttpRequest request_;
    std::shared_ptr<HttpResponder> responder_;
    RouteQuery query_;
    std::string attemptId_;
    Instant deadline_;
    std::optional<IdempotencyClaim> claim_;
    Placement placement_;
    RunTracker tracker_;
    Cancellation cancellation_;
    int attempts_ = 0;
    // Set once the answer is known and only the claim's record is outstanding.
    std::optional<HttpResponse> finalResponse_;
};

} // namespace ragwortwinch
