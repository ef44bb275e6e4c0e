// Processes one chat request from its arrival to the end of its answer: queueing, attempts, resumption,
// output.
//
//     std::make_shared<ChatExchange>(context, policy, request, responder)->start();
//
// Each attempt has its own id and its own call. A stream that breaks or stays idle too long resumes on
// another engine (an endpoint that serves a model) at the next token. Once the caller has disconnected, the
// request is withdrawn from the queue or its call is cancelled. Keeps itself alive until the answer has
// ended. Callbacks run one at a time, except for the server's notices that the caller has disconnected or
// that output was written, which come from other threads.
#pragma once

#include "ragwortwinch/dispatch/answer_assembler.h"
#include "ragwortwinch/dispatch/cancellation.h"
#include "ragwortwinch/dispatch/chat_request.h"
#include "ragwortwinch/dispatch/dispatch_context.h"
#include "ragwortwinch/dispatch/event_reader.h"
#include "ragwortwinch/dispatch/run_state.h"
#include "ragwortwinch/net/http_server.h"

#include <atomic>
#include <memory>
#include <string>

namespace ragwortwinch {

class ChatExchange : public std::enable_shared_from_this<ChatExchange> {
public:
    ChatExchange(const DispatchContext& context, RequestPolicy policy, ChatRequest request,
        std::shared_ptr<HttpResponder> responder);

    void start();

private:
    // State of the current attempt.
    struct Attempt {
        std::string id;
        EventReader reader;
        int status = 0;
        bool hasMatchingId = false;
        std::string errorText;
    };

    void queue(Instant deadline);
    void endAfterDisconnect();
    void onPlaced(Placement placement);
    void beginAttempt();
    HttpCall makeCall();
    std::string upstreamBody() const;
    void onHeaders(int status, const HttpHeaders& headers);
    StreamFlow onData(std::string_view bytes);
    StreamFlow processEvents();
    void onAttemptDone(const HttpCallResult& result);
    bool retryIfAllowed();
    void forward(std::string output);
    void finishCompleted();
    void finishWithError(const Error& error);
    void end();
    bool pauseIfBacklogged();
    std::string completeAnswer() const;

    static constexpr int maxAttempts = 6;
    static constexpr std::size_t pauseAboveUnsentBytes = 256 * 1024;
    static constexpr std::size_t resumeBelowUnsentBytes = 64 * 1024;

    DispatchContext context_;
    RequestPolicy policy_;
    ChatRequest request_;
    std::shared_ptr<HttpResponder> responder_;
    RouteQuery query_;
    std::string completionId_;
    Instant deadline_;
    Placement placement_;
    Attempt attempt_;
    AnswerAssembler answer_;
    RunTracker tracker_;
    int attemptCount_ = 0;
    std::int64_t promptTokens_ = 0;
    bool hasBegunStream_ = false;
    std::atomic<bool> isPaused_{false};
    Cancellation cancellation_;
};

} // namespace ragwortwinch
