// Sends a prompt to a prefill engine and returns the handle of its KV cache.
//
//     step = std::make_shared<PrefillStep>(context, endpoint, onDone);
//     step->start(head, body, options);
//
// Confined to the forwarding thread.
#pragma once

#include "ragwortwinch/forward/attempt.h"
#include "ragwortwinch/forward/forward_context.h"

#include <functional>
#include <memory>
#include <string>

namespace ragwortwinch {

struct PrefillResult {
    AttemptEnd end = AttemptEnd::Broken;
    // Identifies the prompt's KV cache at the engine; empty if the engine returned none.
    std::string handle;
    UpstreamPointer endpoint;
};

class PrefillStep final : private AttemptListener {
public:
    // `cancelIfUnwanted` and `mayEndSilent` are as in AttemptListener.
    PrefillStep(ForwardContext& context, UpstreamPointer endpoint, std::function<bool()> cancelIfUnwanted,
        std::function<bool()> mayEndSilent, std::function<void(const PrefillResult&)> onDone);
    ~PrefillStep() override;

    void start(std::string head, std::shared_ptr<const std::string> body, AttemptOptions options);
    void cancel();
    const UpstreamPointer& endpoint() const { return endpoint_; }

private:
    bool cancelIfUnwanted() override { return cancelIfUnwanted_(); }
    SilenceDecision onSilence(Millis) override { return {.mayEnd = mayEndSilent_()}; }
    void onReplyHead(int status, std::string_view reason, const HttpFields& fields) override;
    void onReplyBody(std::string chunk) override;
    void onAttemptEnd(AttemptEnd end) override;

    ForwardContext& context_;
    UpstreamPointer endpoint_;
    std::function<bool()> cancelIfUnwanted_;
    std::function<bool()> mayEndSilent_;
    std::function<void(const PrefillResult&)> onDone_;
    std::shared_ptr<Attempt> attempt_;
    int status_ = 0;
    std::string body_;
};

// Asks an engine to free the KV cache of a prompt that won't be fetched. Ignores the reply.
void freeHandle(ForwardContext& context, const UpstreamPointer& endpoint, const std::string& handle);

} // namespace ragwortwinch
