#include "ragwortwinch/node/load_poller.h"

#include "ragwortwinch/base/json.h"

namespace ragwortwinch {

namespace {

// Load reports call KV blocks "pieces".
EndpointReport parseReport(const Json& body)
{
    EndpointReport report;
    report.running = integerMember(body, "running");
    report.kvBlocksUsed = integerMember(body, "pieces_used");
    report.kvBlocksTotal = integerMember(body, "pieces_total");
    report.queuedPrefillTokens = integerMember(body, "queued_prefill_tokens");
    report.isLeaving = booleanMember(body, "leaving");
    report.role = stringMember(body, "role");
    report.incarnation = static_cast<std::uint64_t>(integerMember(body, "incarnation"));
    return report;
}

} // namespace

LoadPoller::LoadPoller(
    HttpClient& client, EndpointTable& endpoints, Millis interval, std::function<void()> onReport)
    : client_(client)
    , endpoints_(endpoints)
    , interval_(interval)
    , onReport_(std::move(onReport))
{
}

void LoadPoller::tick(Instant now)
{
    if (now < nextPoll_)
        return;
    nextPoll_ = now + interval_;
    for (const EndpointPointer& endpoint : endpoints_.all()) {
        HttpCall call = HttpCallBuilder("GET", "http://" + endpoint->rule().address.text() + "/v1/load")
                            .connectTimeout(interval_ * 2)
                            .totalTimeout(interval_ * 2)
                            .build();
        client_.start(std::move(call), [this, endpoint, sentAt = now](const HttpCallResult& result) {
            Json body = result.isOk() ? parseJsonOrDiscard(result.body) : Json();
            if (!body.is_object())
                return;
            // Dated conservatively: the report was made some time after the request was sent.
            endpoint->setReport(sentAt, parseReport(body));
            onReport_();
        });
    }
}

} // namespace ragwortwinch
