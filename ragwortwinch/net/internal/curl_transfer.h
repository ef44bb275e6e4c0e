// State of one call of the libcurl client, and the mapping between HttpCall and libcurl options and results.
#pragma once

#include "ragwortwinch/net/http_client.h"
#include "ragwortwinch/net/reply_head_reader.h"

#include <cstdint>
#include <curl/curl.h>
#include <functional>

namespace ragwortwinch::internal {

// Owns the curl handle and the result that its callbacks fill in. Used on the client's thread only.
struct Transfer {
    Transfer(std::uint64_t id, HttpCall call, std::function<void(HttpCallResult)> onDone)
        : id(id)
        , call(std::move(call))
        , onDone(std::move(onDone))
    {
    }
    ~Transfer()
    {
        curl_slist_free_all(headerList);
        if (easy)
            curl_easy_cleanup(easy);
    }
    Transfer(const Transfer&) = delete;
    Transfer& operator=(const Transfer&) = delete;

    std::uint64_t id;
    HttpCall call;
    std::function<void(HttpCallResult)> onDone;
    CURL* easy = nullptr;
    curl_slist* headerList = nullptr;
    HttpCallResult result;
    ReplyHeadReader headReader;
    Instant lastActivity;
    bool headersDelivered = false;
    bool isPaused = false;
    bool wasCancelled = false;
    bool wasIdle = false;
    bool wasTooLarge = false;
    // Why the reply is invalid although libcurl takes it; empty if it isn't.
    std::string problem;
};

// Sets the handle's options from the call.
void setTransferOptions(Transfer& transfer);

// Stores the status in the result and calls `onHeaders`, unless that has been done.
void deliverHeaders(Transfer& transfer);

// Maps libcurl's result code to how the call ended.
CallEnd classifyEnd(const Transfer& transfer, CURLcode code, bool mayHaveBeenSent);

} // namespace ragwortwinch::internal
